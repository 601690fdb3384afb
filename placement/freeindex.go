package placement

import "slices"

// bucketIndex sorts the VMs that can take a task by a key, so that the VM that
// fits most tightly is found without a scan of all VMs. With scans, placing
// 10,000 jobs on 4,800 idle VMs took 1.7 s.
type bucketIndex struct {
	// lowestKey is the key of the first bucket.
	lowestKey int
	// buckets has one sorted list of VM positions for each key.
	buckets [][]int
}

// bucket returns the bucket of the key, or the nearest one if there is none.
func (b *bucketIndex) bucket(key int) *[]int {
	return &b.buckets[min(max(key-b.lowestKey, 0), len(b.buckets)-1)]
}

func (b *bucketIndex) add(key, position int) {
	bucket := b.bucket(key)
	if k, ok := slices.BinarySearch(*bucket, position); !ok {
		*bucket = slices.Insert(*bucket, k, position)
	}
}

func (b *bucketIndex) remove(key, position int) {
	bucket := b.bucket(key)
	if k, ok := slices.BinarySearch(*bucket, position); ok {
		*bucket = slices.Delete(*bucket, k, k+1)
	}
}

// freeIndex holds two indexes of the VMs with a free slot. byFreeAccelerators is
// for tasks with accelerators; its key is the number of free accelerators.
// bySlotSurplus is for tasks that need only a slot; its key is the number of
// free accelerators minus the number of free slots, so that the VMs with the
// most slots beyond their free accelerators come first.
type freeIndex struct{ byFreeAccelerators, bySlotSurplus bucketIndex }

func (p *pass) newFreeIndex() *freeIndex {
	accelerators, slots := 0, 0
	for i := range p.index.VMs {
		accelerators = max(accelerators, p.index.VMs[i].Accelerators)
		slots = max(slots, p.index.VMs[i].Slots)
	}
	index := &freeIndex{
		byFreeAccelerators: bucketIndex{buckets: make([][]int, accelerators+1)},
		bySlotSurplus:      bucketIndex{lowestKey: -slots, buckets: make([][]int, accelerators+slots+1)},
	}
	for i := range p.vms {
		index.add(&p.vms[i], i)
	}
	return index
}

func (f *freeIndex) add(c *vmCapacity, position int) {
	if c.slots == 0 {
		return
	}
	f.bySlotSurplus.add(c.free-c.slots, position)
	if c.free > 0 {
		f.byFreeAccelerators.add(c.free, position)
	}
}

func (f *freeIndex) remove(c *vmCapacity, position int) {
	f.bySlotSurplus.remove(c.free-c.slots, position)
	f.byFreeAccelerators.remove(c.free, position)
}

// fitOneVM returns the position of the VM that all tasks of the request fit on
// most tightly, or -1 if there is none. It first tries the organisation's own
// share, then also unassigned accelerators, then, if the request is preemptible,
// also shares of others.
func (p *pass) fitOneVM(r *request) int {
	if r.Job.Accelerators() > p.largestVM {
		return -1
	}
	if p.freeIndex == nil {
		p.freeIndex = p.newFreeIndex()
	}
	if position := p.fitOnOwnShares(r); position >= 0 {
		return position
	}
	key := p.classOf(r)
	if n, ok := p.minTasksNotFittingOwn[key]; !ok || r.Job.Tasks < n {
		position := p.tightestFit(r, func(m *vmCapacity) int { own, _ := m.roomWithoutBorrowing(r); return own })
		if position >= 0 {
			return position
		}
		if len(r.avoided) == 0 {
			p.minTasksNotFittingOwn[key] = r.Job.Tasks
		}
	}
	if r.nonPreemptible {
		return -1
	}
	return p.tightestFit(r, func(m *vmCapacity) int { return m.free })
}

// fitOnOwnShares returns the position of the VM with the fewest free
// accelerators on which all tasks fit within the organisation's share, or -1 if
// there is none or the tasks need no accelerators.
func (p *pass) fitOnOwnShares(r *request) int {
	best, fewestFree := -1, 0
	for _, i := range p.sharesOn[r.org] {
		c := &p.vms[i]
		own, inShare := c.roomWithoutBorrowing(r)
		if r.acceleratorsPerTask == 0 || inShare < r.Job.Accelerators() || c.tasks(r, own) < r.Job.Tasks || !p.allowed(r, i) {
			continue
		}
		if _, ok := slices.BinarySearch(r.matching, i); ok && (best < 0 || c.free < fewestFree) {
			best, fewestFree = i, c.free
		}
	}
	return best
}

// tightestFit returns the position of the first VM in the order of the freeIndex
// on which all tasks fit, or -1. The function room returns the number of
// accelerators that the request may use on a VM.
func (p *pass) tightestFit(r *request, room func(*vmCapacity) int) int {
	index, key := &p.freeIndex.byFreeAccelerators, r.Job.Accelerators()
	if r.acceleratorsPerTask == 0 {
		index, key = &p.freeIndex.bySlotSurplus, p.freeIndex.bySlotSurplus.lowestKey
	}
	matches := p.matchingSet(r)
	for _, bucket := range index.buckets[key-index.lowestKey:] {
		for _, i := range bucket {
			if c := &p.vms[i]; matches[i] && c.tasks(r, room(c)) >= r.Job.Tasks && p.allowed(r, i) {
				return i
			}
		}
	}
	return -1
}

// matchingSet returns, for each VM, whether the request's selector matches it.
func (p *pass) matchingSet(r *request) []bool {
	set, ok := p.matchingSets[r.Job.Selector]
	if !ok {
		set = make([]bool, len(p.vms))
		for _, i := range r.matching {
			set[i] = true
		}
		p.matchingSets[r.Job.Selector] = set
	}
	return set
}
