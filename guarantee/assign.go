package guarantee

import (
	"cmp"
	"maps"
	"slices"

	"celerypoint.example/celerypoint/org"
	"celerypoint.example/celerypoint/shape"
	"celerypoint.example/celerypoint/vm"
	"celerypoint.example/celerypoint/vmindex"
)

// Assign packs the guaranteed shape of each organisation onto VMs that its
// selector allows and that are neither lost nor draining. Quarantined VMs
// count, because a quarantine is short and moving shares costs evictions.
//
// A share of the previous assignment stays where it is as long as it is valid,
// unless another shape fits only when it moves to a place that holds it, too.
// A shape is n parts of k accelerators in one domain of its adjacency. Two
// parts share a VM only when the domain has no further VM with room, or when
// the adjacency is AdjacencyVM. New shares keep off accelerators that
// non-preemptible work of others holds, as long as they fit elsewhere. The
// result does not depend on the order of the arguments.
func Assign(orgs []org.Org, vms []vm.View, previous Assignment) Assignment {
	p := newPacking(orgs, vms)
	for _, d := range p.demands {
		p.keep(d, previous.Shares[d.name])
	}
	p.complete()
	p.displaceForUnmet()
	p.fillPartly()
	return p.assignment()
}

// demand is one organisation's shape and the parts placed so far.
type demand struct {
	name      string
	parts     int
	size      int
	adjacency shape.Adjacency
	matching  []int
	// selective says that the selector excludes some VM.
	selective bool
	// placed maps the position of a VM to the number of parts on it.
	placed map[int]int
	count  int
}

type packing struct {
	index *vmindex.Index
	// free is 0 for VMs that are lost or draining.
	free []int
	// firm is what non-preemptible work holds on each VM in service, and over
	// sums what it holds beyond the shares of its organisations.
	firm [][]firmUse
	over []int
	// wanted counts the selective organisations that each VM matches.
	wanted  []int
	demands []*demand
	// rooms is reused by roomsOf, because allocating it for each shape took a
	// fifth of the time at 4,800 VMs.
	rooms []room
}

func newPacking(orgs []org.Org, vms []vm.View) *packing {
	p := &packing{index: vmindex.New(vms)}
	p.free = make([]int, len(p.index.VMs))
	p.wanted = make([]int, len(p.index.VMs))
	p.over = make([]int, len(p.index.VMs))
	p.firm = make([][]firmUse, len(p.index.VMs))
	for i := range p.index.VMs {
		if v := &p.index.VMs[i]; !v.Lost && !v.Draining {
			p.free[i] = v.Accelerators
		}
	}
	for _, o := range orgs {
		if o.Guarantee.Zero() {
			continue
		}
		levels := vmindex.LevelsWithin(o.Guarantee.Adjacency)
		d := &demand{
			name:      o.Name,
			parts:     o.Guarantee.VMs,
			size:      o.Guarantee.AcceleratorsPerVM,
			adjacency: levels[len(levels)-1],
			matching:  p.index.Matching(o.Selector),
			placed:    map[int]int{},
		}
		d.selective = len(d.matching) < len(p.index.VMs)
		if d.selective {
			for _, i := range d.matching {
				p.wanted[i]++
			}
		}
		p.demands = append(p.demands, d)
	}
	slices.SortFunc(p.demands, compareDemands)
	p.loadFirm()
	return p
}

// compareDemands puts the shapes first that fit in the fewest places: large on
// one VM, then near, then large in all, then matching few VMs.
func compareDemands(a, b *demand) int {
	return cmp.Or(
		cmp.Compare(b.onOneVM(), a.onOneVM()),
		cmp.Compare(len(vmindex.LevelsWithin(a.adjacency)), len(vmindex.LevelsWithin(b.adjacency))),
		cmp.Compare(b.parts*b.size, a.parts*a.size),
		cmp.Compare(len(a.matching), len(b.matching)),
		cmp.Compare(a.name, b.name),
	)
}

func (d *demand) onOneVM() int {
	if d.adjacency == shape.AdjacencyVM {
		return d.parts * d.size
	}
	return d.size
}

func (p *packing) put(d *demand, i, parts int) {
	p.over[i] -= p.uncovered(d, i)
	p.free[i] -= parts * d.size
	d.count += parts
	if d.placed[i] += parts; d.placed[i] == 0 {
		delete(d.placed, i)
	}
	p.over[i] += p.uncovered(d, i)
}

func (p *packing) clear(d *demand) {
	for i, n := range d.placed {
		p.put(d, i, -n)
	}
}

func (p *packing) restore(d *demand, placed map[int]int) {
	p.clear(d)
	for i, n := range placed {
		p.put(d, i, n)
	}
}

// keep puts the previous parts back that are still valid. When they lie in
// several domains, the domain with the most parts counts.
func (p *packing) keep(d *demand, shares map[string]int) {
	valid := map[int]int{}
	inDomain := map[int]int{}
	domains := p.index.Domains[d.adjacency]
	for _, id := range slices.Sorted(maps.Keys(shares)) {
		i, ok := p.index.Find(id)
		if !ok {
			continue
		}
		if _, ok := slices.BinarySearch(d.matching, i); !ok {
			continue
		}
		if n := min(shares[id], p.free[i]) / d.size; n > 0 {
			valid[i] = n
			inDomain[domains[i]] += n
		}
	}
	best := -1
	for _, domain := range slices.Sorted(maps.Keys(inDomain)) {
		if best < 0 || inDomain[domain] > inDomain[best] {
			best = domain
		}
	}
	for _, i := range slices.Sorted(maps.Keys(valid)) {
		if n := min(valid[i], d.parts-d.count); n > 0 && domains[i] == best {
			p.put(d, i, n)
		}
	}
}

// complete fills the shapes that fit whole, and leaves the others as they are.
func (p *packing) complete() {
	for _, d := range p.demands {
		if d.count == d.parts {
			continue
		}
		kept := maps.Clone(d.placed)
		if d.count > 0 {
			domain := p.domainOf(d)
			if p.fill(d, d.adjacency, domain, true) || p.fill(d, d.adjacency, domain, false) {
				continue
			}
		}
		p.clear(d)
		if p.placeWhole(d) {
			continue
		}
		p.restore(d, kept)
	}
}

func (p *packing) domainOf(d *demand) int {
	for i := range d.placed {
		return p.index.Domains[d.adjacency][i]
	}
	return -1
}

// placeWhole puts the shape into the nearest and tightest domain that holds it,
// if possible where it can be reclaimed at once.
func (p *packing) placeWhole(d *demand) bool {
	levels := vmindex.LevelsWithin(d.adjacency)
	if len(levels) > 1 {
		levels = levels[1:]
	}
	for _, reclaimable := range []bool{true, false} {
		for _, level := range levels {
			rooms := p.roomsOf(d, level, reclaimable)
			best := -1
			for n := range rooms {
				if rooms[n].parts >= d.parts && (best < 0 || rooms[n].better(rooms[best], d.parts)) {
					best = n
				}
			}
			if best >= 0 {
				return p.fill(d, level, best, reclaimable)
			}
		}
	}
	return false
}

// room is what a domain has left for a demand.
type room struct {
	// parts counts the parts that fit, vms the VMs with room for at least one.
	parts, vms int
	free       int
}

func (r room) better(other room, parts int) bool {
	if a, b := r.vms >= parts, other.vms >= parts; a != b {
		return a
	}
	return r.free < other.free
}

// roomsOf returns what each domain of the level has left. The result is valid
// until the next call.
func (p *packing) roomsOf(d *demand, level shape.Adjacency, reclaimable bool) []room {
	n := p.index.DomainCounts[level]
	if len(p.rooms) < n {
		p.rooms = make([]room, n)
	}
	rooms := p.rooms[:n]
	clear(rooms)
	domains := p.index.Domains[level]
	for _, i := range d.matching {
		if n := p.room(d, i, reclaimable); n >= d.size {
			r := &rooms[domains[i]]
			r.parts += n / d.size
			r.vms++
			r.free += p.free[i]
		}
	}
	return rooms
}

// fill puts parts into the domain until the shape is whole or the domain is
// full, and reports whether it is whole. VMs that few selective organisations
// match and that have little left come first.
func (p *packing) fill(d *demand, level shape.Adjacency, domain int, reclaimable bool) bool {
	var candidates []int
	domains := p.index.Domains[level]
	for _, i := range d.matching {
		if domains[i] == domain && p.room(d, i, reclaimable) >= d.size {
			candidates = append(candidates, i)
		}
	}
	slices.SortFunc(candidates, func(a, b int) int {
		return cmp.Or(cmp.Compare(d.placed[a], d.placed[b]), cmp.Compare(p.wanted[a], p.wanted[b]),
			cmp.Compare(p.free[a], p.free[b]), cmp.Compare(a, b))
	})
	for d.count < d.parts {
		before := d.count
		for _, i := range candidates {
			if d.count < d.parts && p.room(d, i, reclaimable) >= d.size {
				p.put(d, i, 1)
			}
		}
		if d.count == before {
			return false
		}
	}
	return true
}

// fillPartly gives shapes that do not fit whole as many parts as one domain
// has, after all whole shapes have their place.
func (p *packing) fillPartly() {
	for _, d := range p.demands {
		if d.count == d.parts {
			continue
		}
		rooms := p.roomsOf(d, d.adjacency, false)
		best := p.domainOf(d)
		if best >= 0 {
			rooms[best].parts += d.count
		}
		current := best
		for n := range rooms {
			if rooms[n].parts > 0 && (best < 0 || rooms[n].parts > rooms[best].parts) {
				best = n
			}
		}
		if best < 0 {
			continue
		}
		if best != current {
			p.clear(d)
		}
		p.fill(d, d.adjacency, best, false)
	}
}

func (p *packing) unmet() []string {
	var names []string
	for _, d := range p.demands {
		if d.count < d.parts {
			names = append(names, d.name)
		}
	}
	slices.Sort(names)
	return names
}

func (p *packing) assignment() Assignment {
	a := Assignment{Shares: map[string]map[string]int{}, Unmet: p.unmet()}
	for _, d := range p.demands {
		if d.count == 0 {
			continue
		}
		shares := make(map[string]int, len(d.placed))
		for i, n := range d.placed {
			shares[p.index.VMs[i].ID] = n * d.size
		}
		a.Shares[d.name] = shares
	}
	return a
}
