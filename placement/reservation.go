package placement

import (
	"math"
	"slices"
	"time"

	"celerypoint.example/celerypoint/vm"
)

// assumedRunTime is the remaining run time that is assumed for attempts without
// an expected end, and for jobs without ExpectedRun that the pass places. If
// such an attempt is the last that the reserved gang waits for, only jobs that
// are expected to end within that time are backfilled onto the VMs that are
// reserved for the gang.
const assumedRunTime = 10 * time.Minute

// assumedOverrun is the remaining run time that is assumed for attempts that run
// longer than expected.
const assumedOverrun = time.Minute

// allocation is what one attempt holds on one VM, which is given by its position
// in pass.vms.
type allocation struct {
	vm, org             int
	tasks, accelerators int
	nonPreemptible      bool
	// placed says that this pass has placed the attempt.
	placed bool
	// end is when the attempt is expected to end, as a Unix time in nanoseconds.
	// It is not a time.Time, because reserveForGang compares up to 40,000 of
	// them several times.
	end int64
}

// endsBeforeReservation reports whether the request, started now, is expected to
// end by reservedStart. It returns false if no VMs are reserved or the request's
// run time is unknown.
func (p *pass) endsBeforeReservation(r *request) bool {
	return !p.reservedStart.IsZero() && r.ExpectedRun > 0 && !p.in.Now.Add(r.ExpectedRun).After(p.reservedStart)
}

// chooseReservedGang sets reservedGang to the oldest gang that is not placed and
// that fits once every attempt has ended, if there is one. The requests are in
// the order of arrival.
func (p *pass) chooseReservedGang(requests []*request) {
	var empty *pass
	for _, r := range requests {
		if r.placed || !r.Job.IsGang() || p.unsatisfiableReason(r) != "" {
			continue
		}
		if empty == nil {
			empty = p.stateAfter(p.allocations(), math.MaxInt64)
		}
		if empty.fit(r) != nil {
			p.reservedGang = r
			return
		}
	}
}

// reserveForGang finds the earliest time at which the reserved gang fits if all
// attempts end as expected, and reserves the VMs that it would use then. If there
// is no such time, it reserves nothing.
func (p *pass) reserveForGang() {
	allocations := p.allocations()
	times := make([]int64, 0, len(allocations))
	for _, a := range allocations {
		times = append(times, a.end)
	}
	slices.Sort(times)
	times = slices.Compact(times)
	var members []member
	k, _ := slices.BinarySearchFunc(times, true, func(t int64, _ bool) int {
		if fit := p.stateAfter(allocations, t).fit(p.reservedGang); fit != nil {
			members = fit
			return 0
		}
		return -1
	})
	if k == len(times) {
		return
	}
	p.reservedStart = time.Unix(0, times[k])
	p.reservationReclaims = p.stateAfter(allocations, times[k]).fitFree(p.reservedGang) == nil
	for _, m := range members {
		p.reservedVMs[m.vm] = true
	}
}

// allocations returns what attempts held before the pass, followed by what the
// pass has placed so far.
func (p *pass) allocations() []allocation {
	if p.initialAllocations == nil {
		p.initialAllocations = p.loadAllocations()
	}
	return slices.Concat(p.initialAllocations, p.placedAllocations)
}

func (p *pass) loadAllocations() []allocation {
	n := 0
	for i := range p.index.VMs {
		n += len(p.index.VMs[i].Holdings)
	}
	all := make([]allocation, 0, n)
	for i := range p.index.VMs {
		for k := range p.index.VMs[i].Holdings {
			h := &p.index.VMs[i].Holdings[k]
			all = append(all, allocation{
				vm: i, org: p.orgIndex(h.Org), tasks: h.Tasks, accelerators: h.Accelerators,
				nonPreemptible: !h.Preemptible, end: p.holdingEnd(h).UnixNano(),
			})
		}
	}
	return all
}

func (p *pass) holdingEnd(h *vm.Holding) time.Time {
	t, ok := p.in.ExpectedEnds[h.Attempt]
	switch {
	case !ok:
		return p.in.Now.Add(assumedRunTime)
	case !t.After(p.in.Now):
		return p.in.Now.Add(assumedOverrun)
	default:
		return t
	}
}

func (p *pass) requestEnd(r *request) time.Time {
	if r.ExpectedRun <= 0 {
		return p.in.Now.Add(assumedRunTime)
	}
	return p.in.Now.Add(r.ExpectedRun)
}

// stateAfter returns a copy of the pass in which the allocations that end at or
// before end, a Unix time in nanoseconds, are released, and in which no VMs are
// reserved.
func (p *pass) stateAfter(allocations []allocation, end int64) *pass {
	after := &pass{
		in: p.in, index: p.index, orgs: p.orgs, guaranteed: p.guaranteed, sharesOn: p.sharesOn,
		used: slices.Clone(p.used), nonPreemptibleUsed: slices.Clone(p.nonPreemptibleUsed), vms: slices.Clone(p.vms),
		reservedGang: p.reservedGang,
	}
	after.initTables()
	n := 0
	for i := range after.vms {
		n += len(after.vms[i].accounts)
	}
	accounts := make([]account, 0, n)
	for i := range after.vms {
		c := &after.vms[i]
		n := len(accounts)
		accounts = append(accounts, c.accounts...)
		c.accounts = accounts[n:len(accounts):len(accounts)]
	}
	for _, a := range allocations {
		if a.end <= end {
			after.release(a)
		}
	}
	return after
}

// release frees what an attempt holds on a VM, except for what the pass has
// already reclaimed by evictions there.
func (p *pass) release(a allocation) {
	c := &p.vms[a.vm]
	accelerators, slots := a.accelerators, a.tasks
	if !a.nonPreemptible && !a.placed {
		evicted, reclaimedSlots := min(accelerators, c.evicted), min(slots, c.reclaimedSlots)
		c.evicted -= evicted
		c.reclaimedSlots -= reclaimedSlots
		accelerators -= evicted
		slots -= reclaimedSlots
	}
	if c.usable {
		c.free += accelerators
		c.slots += slots
	}
	change := account{used: -accelerators}
	switch {
	case a.nonPreemptible:
		change.nonPreemptible = -accelerators
	case a.placed:
		change.newPreemptible = -accelerators
	case a.accelerators == 0:
		change.slotOnlyTasks = -a.tasks
	}
	c.charge(a.org, change)
	if !p.index.VMs[a.vm].Lost {
		p.used[a.org] -= accelerators
		p.nonPreemptibleUsed[a.org] += change.nonPreemptible
	}
}
