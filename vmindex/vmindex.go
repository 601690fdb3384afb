// Package vmindex indexes the known VMs for the packages that pack work onto
// them (guarantee and placement): by ID, by the labels that selectors test, and
// by rack, zone and region. An Index is made for one run of such an algorithm.
// It takes no lock and is not safe for concurrent use.
package vmindex

import (
	"cmp"
	"slices"

	"celerypoint.example/celerypoint/selector"
	"celerypoint.example/celerypoint/shape"
	"celerypoint.example/celerypoint/vm"
)

// Index holds VMs and their domains. A domain is one VM, one rack, one zone or
// one region.
type Index struct {
	// VMs is sorted by ID. The other fields and the methods identify a VM by its
	// position in VMs.
	VMs []vm.View
	// Domains maps an adjacency to a slice with the number of the domain of that
	// adjacency that each VM is in. The domains of an adjacency are numbered from
	// 0.
	Domains map[shape.Adjacency][]int
	// DomainCounts maps an adjacency to the number of its domains.
	DomainCounts map[shape.Adjacency]int

	// byLabel maps a label to the VMs that have it. candidates creates it on its
	// first use; until then it is nil.
	byLabel map[label][]int
	// matching caches the results of Matching by the text of the selector.
	matching map[string][]int
}

type label struct{ key, value string }

// domainKey identifies a domain. Rack names are unique only within a zone, and
// zone names only within a region. In the key of a zone the rack is empty, and
// in the key of a region the zone too.
type domainKey struct{ region, zone, rack string }

// New returns an index of the VMs. It does not change the slice.
func New(vms []vm.View) *Index {
	x := &Index{
		VMs:          slices.Clone(vms),
		Domains:      map[shape.Adjacency][]int{},
		DomainCounts: map[shape.Adjacency]int{},
		matching:     map[string][]int{},
	}
	slices.SortFunc(x.VMs, func(a, b vm.View) int { return cmp.Compare(a.ID, b.ID) })
	positions := make([]int, len(x.VMs))
	for i := range positions {
		positions[i] = i
	}
	x.Domains[shape.AdjacencyVM], x.DomainCounts[shape.AdjacencyVM] = positions, len(positions)
	x.groupDomains(shape.AdjacencyRack, func(v *vm.View) domainKey { return domainKey{v.Region, v.Zone, v.Rack} })
	x.groupDomains(shape.AdjacencyZone, func(v *vm.View) domainKey { return domainKey{v.Region, v.Zone, ""} })
	x.groupDomains(shape.AdjacencyRegion, func(v *vm.View) domainKey { return domainKey{v.Region, "", ""} })
	return x
}

// groupDomains numbers the domains of the adjacency; keyOf returns the key of the
// domain that a VM is in.
func (x *Index) groupDomains(a shape.Adjacency, keyOf func(*vm.View) domainKey) {
	numbers := map[domainKey]int{}
	domains := make([]int, len(x.VMs))
	for i := range x.VMs {
		key := keyOf(&x.VMs[i])
		n, ok := numbers[key]
		if !ok {
			n = len(numbers)
			numbers[key] = n
		}
		domains[i] = n
	}
	x.Domains[a], x.DomainCounts[a] = domains, len(numbers)
}

// Find returns the position of the VM with the ID, and whether there is one.
func (x *Index) Find(id string) (int, bool) {
	return slices.BinarySearchFunc(x.VMs, id, func(v vm.View, id string) int { return cmp.Compare(v.ID, id) })
}

// Matching returns the sorted positions of the VMs that the selector matches. A
// selector that cannot be parsed matches none. The caller must not change the
// result.
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

// candidates returns the VMs that satisfy the selector's first term of the form
// key=value, or all VMs if it has no such term. With the selectors of 790
// organisations, testing every VM against each selector would take longer than
// guarantee.Assign needs for the packing itself.
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

// LevelsWithin lists the adjacencies that satisfy a, from the narrowest to the
// widest, which is a itself. An empty or invalid adjacency counts as
// AdjacencyRegion.
func LevelsWithin(a shape.Adjacency) []shape.Adjacency {
	all := []shape.Adjacency{shape.AdjacencyVM, shape.AdjacencyRack, shape.AdjacencyZone, shape.AdjacencyRegion}
	if i := slices.Index(all, a); i >= 0 {
		return all[:i+1]
	}
	return all
}
