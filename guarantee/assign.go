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

// Assign packs the guaranteed shape of each organisation onto VMs that the
// organisation's selector matches and that are neither lost nor draining.
// Quarantined VMs are used, because a quarantine is short and moving shares
// causes evictions.
//
// A shape is n parts of k accelerators in one domain (VM, rack, zone or region,
// as its adjacency says). A part is placed on a VM that already has one of the
// same shape only if no other VM of the domain has room, or if the adjacency is
// AdjacencyVM.
//
// Shares of the previous assignment that are still valid stay where they are. If
// they are a complete shape, they move only if another shape does not fit
// otherwise, and if they fit as a whole elsewhere. If they are not, they also
// move to a domain that holds the whole shape, or more of it than their own
// domain, and they give way to shapes that fit only in their place.
//
// New shares avoid accelerators that non-preemptible work of other organisations
// holds beyond the shares of those organisations, if the new shares fit
// elsewhere. The result does not depend on the order of the elements of orgs and
// vms.
func Assign(orgs []org.Org, vms []vm.View, previous Assignment) Assignment {
	p := newPacking(orgs, vms)
	for _, d := range p.demands {
		p.keepPrevious(d, previous.Shares[d.orgName])
	}
	p.placeWholeShapes()
	p.placeByDisplacing()
	p.placePartially()
	return p.assignment()
}

// demand is the guaranteed shape of one organisation and the parts of it that
// are placed so far.
type demand struct {
	orgName string
	// parts is the number of parts of the shape, and partSize the number of
	// accelerators of each.
	parts     int
	partSize  int
	adjacency shape.Adjacency
	// matching holds the sorted positions of the VMs that the organisation's
	// selector matches.
	matching []int
	// selective says that the selector does not match every VM.
	selective bool
	// partsOn maps the position of a VM to the number of parts placed on it.
	partsOn map[int]int
	// placedCount is the number of parts placed on all VMs.
	placedCount int
}

// packing is the state of one call of Assign. Its slices of VMs are indexed by
// the position of the VM in index.VMs.
type packing struct {
	index *vmindex.Index
	// free is the number of accelerators of each VM that are in no share. It is
	// 0 for VMs that are lost or draining.
	free []int
	// nonPreemptible lists what non-preemptible work holds on each VM that is
	// neither lost nor draining. overShares is the number of accelerators on each
	// VM that this work holds beyond the shares of its organisations.
	nonPreemptible [][]nonPreemptibleUse
	overShares     []int
	// selectiveDemands is the number of selective demands whose selector matches
	// each VM.
	selectiveDemands []int
	// demands is sorted by compareDemands.
	demands []*demand
	// roomsBuffer is reused by domainRooms, because allocating it for each shape
	// took a fifth of the time of Assign at 4,800 VMs.
	roomsBuffer []domainRoom
}

func newPacking(orgs []org.Org, vms []vm.View) *packing {
	p := &packing{index: vmindex.New(vms)}
	p.free = make([]int, len(p.index.VMs))
	p.selectiveDemands = make([]int, len(p.index.VMs))
	p.overShares = make([]int, len(p.index.VMs))
	p.nonPreemptible = make([][]nonPreemptibleUse, len(p.index.VMs))
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
			orgName:   o.Name,
			parts:     o.Guarantee.VMs,
			partSize:  o.Guarantee.AcceleratorsPerVM,
			adjacency: levels[len(levels)-1],
			matching:  p.index.Matching(o.Selector),
			partsOn:   map[int]int{},
		}
		d.selective = len(d.matching) < len(p.index.VMs)
		if d.selective {
			for _, i := range d.matching {
				p.selectiveDemands[i]++
			}
		}
		p.demands = append(p.demands, d)
	}
	slices.SortFunc(p.demands, compareDemands)
	p.loadNonPreemptible()
	return p
}

// compareDemands sorts the shapes that fit in the fewest places first: by the
// accelerators needed on one VM (most first), by the adjacency (narrowest
// first), by the accelerators in all (most first), and by the number of matching
// VMs (fewest first).
func compareDemands(a, b *demand) int {
	return cmp.Or(
		cmp.Compare(b.minOnOneVM(), a.minOnOneVM()),
		cmp.Compare(len(vmindex.LevelsWithin(a.adjacency)), len(vmindex.LevelsWithin(b.adjacency))),
		cmp.Compare(b.parts*b.partSize, a.parts*a.partSize),
		cmp.Compare(len(a.matching), len(b.matching)),
		cmp.Compare(a.orgName, b.orgName),
	)
}

// minOnOneVM returns the number of accelerators that have to be on the same VM.
func (d *demand) minOnOneVM() int {
	if d.adjacency == shape.AdjacencyVM {
		return d.parts * d.partSize
	}
	return d.partSize
}

// addParts places parts of the demand on the VM at position i, or removes them
// if parts is negative.
func (p *packing) addParts(d *demand, i, parts int) {
	p.overShares[i] -= p.beyondShare(d, i)
	p.free[i] -= parts * d.partSize
	d.placedCount += parts
	if d.partsOn[i] += parts; d.partsOn[i] == 0 {
		delete(d.partsOn, i)
	}
	p.overShares[i] += p.beyondShare(d, i)
}

// removeAll removes all parts of the demand from the VMs.
func (p *packing) removeAll(d *demand) {
	for i, n := range d.partsOn {
		p.addParts(d, i, -n)
	}
}

// restore replaces the parts of the demand by the given ones, a former value of
// d.partsOn.
func (p *packing) restore(d *demand, placed map[int]int) {
	p.removeAll(d)
	for i, n := range placed {
		p.addParts(d, i, n)
	}
}

// keepPrevious places those parts of the previous shares that still fit on VMs
// that the selector matches and that are neither lost nor draining. If these
// parts are in several domains, it keeps only those in the domain with the most
// parts.
func (p *packing) keepPrevious(d *demand, shares map[string]int) {
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
		if n := min(shares[id], p.free[i]) / d.partSize; n > 0 {
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
		if n := min(valid[i], d.parts-d.placedCount); n > 0 && domains[i] == best {
			p.addParts(d, i, n)
		}
	}
}

// placeWholeShapes completes the shapes of which all parts fit, and leaves the
// others unchanged. It completes a shape in its current domain if possible.
func (p *packing) placeWholeShapes() {
	for _, d := range p.demands {
		if d.placedCount == d.parts {
			continue
		}
		kept := maps.Clone(d.partsOn)
		if d.placedCount > 0 {
			domain := p.domainOf(d)
			if p.fillDomain(d, d.adjacency, domain, true) || p.fillDomain(d, d.adjacency, domain, false) {
				continue
			}
		}
		p.removeAll(d)
		if p.placeWhole(d) {
			continue
		}
		p.restore(d, kept)
	}
}

// domainOf returns the domain that the placed parts of the demand are in, or -1
// if none are placed.
func (p *packing) domainOf(d *demand) int {
	for i := range d.partsOn {
		return p.index.Domains[d.adjacency][i]
	}
	return -1
}

// placeWhole places the shape in the narrowest and tightest domain that holds
// it, and reports whether there is one. It considers single VMs only if the
// adjacency is AdjacencyVM. It prefers accelerators that can be reclaimed at
// once, because no non-preemptible work of others holds them.
func (p *packing) placeWhole(d *demand) bool {
	levels := vmindex.LevelsWithin(d.adjacency)
	if len(levels) > 1 {
		levels = levels[1:]
	}
	for _, reclaimable := range []bool{true, false} {
		for _, level := range levels {
			rooms := p.domainRooms(d, level, reclaimable)
			best := -1
			for n := range rooms {
				if rooms[n].parts >= d.parts && (best < 0 || rooms[n].betterThan(rooms[best], d.parts)) {
					best = n
				}
			}
			if best >= 0 {
				return p.fillDomain(d, level, best, reclaimable)
			}
		}
	}
	return false
}

// domainRoom is the room that a domain has for a demand.
type domainRoom struct {
	// parts is the number of parts that fit, and vms the number of VMs with room
	// for at least one part.
	parts, vms int
	// free sums the accelerators of these VMs that are in no share.
	free int
}

// betterThan reports whether r is preferred for a demand with that many parts:
// a domain in which each part can be on a VM of its own, then the domain with
// the fewest free accelerators.
func (r domainRoom) betterThan(other domainRoom, parts int) bool {
	if a, b := r.vms >= parts, other.vms >= parts; a != b {
		return a
	}
	return r.free < other.free
}

// domainRooms returns the room that each domain of the level has for the demand;
// see roomOnVM for reclaimable. The result is valid until the next call.
func (p *packing) domainRooms(d *demand, level shape.Adjacency, reclaimable bool) []domainRoom {
	n := p.index.DomainCounts[level]
	if len(p.roomsBuffer) < n {
		p.roomsBuffer = make([]domainRoom, n)
	}
	rooms := p.roomsBuffer[:n]
	clear(rooms)
	domains := p.index.Domains[level]
	for _, i := range d.matching {
		if n := p.roomOnVM(d, i, reclaimable); n >= d.partSize {
			r := &rooms[domains[i]]
			r.parts += n / d.partSize
			r.vms++
			r.free += p.free[i]
		}
	}
	return rooms
}

// fillDomain places parts in the domain until the shape is complete or the
// domain is full, and reports whether the shape is complete. It places one part
// on each VM before it places a further one. VMs with few parts of the demand
// come first, then VMs that few selective demands match, then VMs with few free
// accelerators.
func (p *packing) fillDomain(d *demand, level shape.Adjacency, domain int, reclaimable bool) bool {
	var candidates []int
	domains := p.index.Domains[level]
	for _, i := range d.matching {
		if domains[i] == domain && p.roomOnVM(d, i, reclaimable) >= d.partSize {
			candidates = append(candidates, i)
		}
	}
	slices.SortFunc(candidates, func(a, b int) int {
		return cmp.Or(cmp.Compare(d.partsOn[a], d.partsOn[b]), cmp.Compare(p.selectiveDemands[a], p.selectiveDemands[b]),
			cmp.Compare(p.free[a], p.free[b]), cmp.Compare(a, b))
	})
	for d.placedCount < d.parts {
		before := d.placedCount
		for _, i := range candidates {
			if d.placedCount < d.parts && p.roomOnVM(d, i, reclaimable) >= d.partSize {
				p.addParts(d, i, 1)
			}
		}
		if d.placedCount == before {
			return false
		}
	}
	return true
}

// placePartially gives shapes that do not fit as a whole as many parts as fit in
// one domain. A shape stays in its current domain unless another holds more of
// its parts. It runs after all shapes that fit are placed.
func (p *packing) placePartially() {
	for _, d := range p.demands {
		if d.placedCount == d.parts {
			continue
		}
		rooms := p.domainRooms(d, d.adjacency, false)
		best := p.domainOf(d)
		if best >= 0 {
			rooms[best].parts += d.placedCount
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
			p.removeAll(d)
		}
		p.fillDomain(d, d.adjacency, best, false)
	}
}

func (p *packing) unmet() []string {
	var names []string
	for _, d := range p.demands {
		if d.placedCount < d.parts {
			names = append(names, d.orgName)
		}
	}
	slices.Sort(names)
	return names
}

func (p *packing) assignment() Assignment {
	a := Assignment{Shares: map[string]map[string]int{}, Unmet: p.unmet()}
	for _, d := range p.demands {
		if d.placedCount == 0 {
			continue
		}
		shares := make(map[string]int, len(d.partsOn))
		for i, n := range d.partsOn {
			shares[p.index.VMs[i].ID] = n * d.partSize
		}
		a.Shares[d.orgName] = shares
	}
	return a
}
