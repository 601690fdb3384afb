// Package vmindex arranges the known VMs for the decisions that pack work onto
// them: in the order of their IDs, by the labels that selectors ask for, and by
// rack, zone and region. An index belongs to one decision; it takes no lock and
// is not safe for concurrent use.
package vmindex

import (
	"cmp"
	"slices"

	"celerypoint.example/celerypoint/selector"
	"celerypoint.example/celerypoint/shape"
	"celerypoint.example/celerypoint/vm"
)

// Index holds the VMs and their domains.
type Index struct {
	// VMs are in the order of their IDs. Other fields refer to them by
	// position.
	VMs []vm.View
	// Domains maps an adjacency to the domain of each VM, numbered from 0.
	Domains map[shape.Adjacency][]int
	// DomainCounts maps an adjacency to its number of domains.
	DomainCounts map[shape.Adjacency]int

	byLabel  map[label][]int
	matching map[string][]int
}

type label struct{ key, value string }

type place struct{ region, zone, rack string }

// New indexes the VMs. It does not change the slice.
func New(vms []vm.View) *Index {
	x := &Index{
		VMs:          slices.Clone(vms),
		Domains:      map[shape.Adjacency][]int{},
		DomainCounts: map[shape.Adjacency]int{},
		matching:     map[string][]int{},
	}
	slices.SortFunc(x.VMs, func(a, b vm.View) int { return cmp.Compare(a.ID, b.ID) })
	each := make([]int, len(x.VMs))
	for i := range each {
		each[i] = i
	}
	x.Domains[shape.AdjacencyVM], x.DomainCounts[shape.AdjacencyVM] = each, len(each)
	x.group(shape.AdjacencyRack, func(v *vm.View) place { return place{v.Region, v.Zone, v.Rack} })
	x.group(shape.AdjacencyZone, func(v *vm.View) place { return place{v.Region, v.Zone, ""} })
	x.group(shape.AdjacencyRegion, func(v *vm.View) place { return place{v.Region, "", ""} })
	return x
}

func (x *Index) group(a shape.Adjacency, of func(*vm.View) place) {
	numbers := map[place]int{}
	domains := make([]int, len(x.VMs))
	for i := range x.VMs {
		p := of(&x.VMs[i])
		n, ok := numbers[p]
		if !ok {
			n = len(numbers)
			numbers[p] = n
		}
		domains[i] = n
	}
	x.Domains[a], x.DomainCounts[a] = domains, len(numbers)
}

// Find returns the position of the VM with the ID.
func (x *Index) Find(id string) (int, bool) {
	return slices.BinarySearchFunc(x.VMs, id, func(v vm.View, id string) int { return cmp.Compare(v.ID, id) })
}

// Matching returns the positions of the VMs that the selector allows, in
// order. A selector that does not parse allows none. The caller must not
// change the result.
func (x *Index) Matching(text string) []int {
	if m, ok := x.matching[text]; ok {
		return m
	}
	m := []int{}
	if s, err := selector.Parse(text); err == nil {
		for _, i := range x.candidates(s) {
			if s.Matches(x.VMs[i].EffectiveLabels) {
				m = append(m, i)
			}
		}
	}
	x.matching[text] = m
	return m
}

// candidates narrows the VMs by the first term that names one value, because
// testing every VM for each of 790 selectors costs more than the packing.
func (x *Index) candidates(s selector.Selector) []int {
	for _, t := range s.Terms {
		if t.Operator != selector.OperatorEqual {
			continue
		}
		if x.byLabel == nil {
			x.byLabel = map[label][]int{}
			for i := range x.VMs {
				for k, v := range x.VMs[i].EffectiveLabels {
					x.byLabel[label{k, v}] = append(x.byLabel[label{k, v}], i)
				}
			}
		}
		return x.byLabel[label{t.Key, t.Values[0]}]
	}
	return x.Domains[shape.AdjacencyVM]
}

// LevelsWithin lists the adjacencies that meet a, from the nearest to the farthest.
// The empty adjacency means AdjacencyRegion.
func LevelsWithin(a shape.Adjacency) []shape.Adjacency {
	all := []shape.Adjacency{shape.AdjacencyVM, shape.AdjacencyRack, shape.AdjacencyZone, shape.AdjacencyRegion}
	if i := slices.Index(all, a); i >= 0 {
		return all[:i+1]
	}
	return all
}
