package placement

import (
	"math"
	"slices"
	"time"

	"celerypoint.example/celerypoint/vm"
)

// unknownEnd is the span after which attempts without an expected end are
// taken to end. It bounds how long backfill on reserved VMs may run.
const unknownEnd = 10 * time.Minute

// overdueEnd is the span after which attempts that run longer than expected
// are taken to end.
const overdueEnd = time.Minute

// running is one attempt's part on a VM. Times are Unix times in nanoseconds,
// because the search compares 40,000 of them several times.
type running struct {
	at, org             int
	tasks, accelerators int
	firm                bool
	// placed says that the pass has placed it.
	placed bool
	end    int64
}

// passesHead reports whether the request is expected to end before the head
// can start.
func (p *pass) passesHead(r *request) bool {
	return !p.heldUntil.IsZero() && r.ExpectedRun > 0 && !p.in.Now.Add(r.ExpectedRun).After(p.heldUntil)
}

// chooseHead picks the oldest gang that is not placed and that fits once every
// attempt has ended. Earlier requests come first.
func (p *pass) chooseHead(requests []*request) {
	var empty *pass
	for _, r := range requests {
		if r.placed || !r.Job.IsGang() || p.neverReason(r) != "" {
			continue
		}
		if empty == nil {
			empty = p.later(p.attempts(), math.MaxInt64)
		}
		if empty.fit(r) != nil {
			p.head = r
			return
		}
	}
}

// reserveForHead finds the earliest time at which the head fits when running
// attempts end as expected, and holds the VMs that it would use then.
func (p *pass) reserveForHead() {
	attempts := p.attempts()
	times := make([]int64, 0, len(attempts))
	for _, a := range attempts {
		times = append(times, a.end)
	}
	slices.Sort(times)
	times = slices.Compact(times)
	var found []member
	k, _ := slices.BinarySearchFunc(times, true, func(t int64, _ bool) int {
		if f := p.later(attempts, t).fit(p.head); f != nil {
			found = f
			return 0
		}
		return -1
	})
	if k == len(times) {
		return
	}
	p.heldUntil = time.Unix(0, times[k])
	p.headReclaims = p.later(attempts, times[k]).fitFree(p.head) == nil
	for _, m := range found {
		p.held[m.at] = true
	}
}

// attempts lists what ran before the pass and what the pass has placed.
func (p *pass) attempts() []running {
	if p.ran == nil {
		p.ran = p.ranBefore()
	}
	return slices.Concat(p.ran, p.placed)
}

func (p *pass) ranBefore() []running {
	n := 0
	for i := range p.index.VMs {
		n += len(p.index.VMs[i].Holdings)
	}
	all := make([]running, 0, n)
	for i := range p.index.VMs {
		for k := range p.index.VMs[i].Holdings {
			h := &p.index.VMs[i].Holdings[k]
			all = append(all, running{
				at: i, org: p.org(h.Org), tasks: h.Tasks, accelerators: h.Accelerators,
				firm: !h.Preemptible, end: p.endOf(h).UnixNano(),
			})
		}
	}
	return all
}

func (p *pass) endOf(h *vm.Holding) time.Time {
	t, ok := p.in.ExpectedEnds[h.Attempt]
	switch {
	case !ok:
		return p.in.Now.Add(unknownEnd)
	case !t.After(p.in.Now):
		return p.in.Now.Add(overdueEnd)
	default:
		return t
	}
}

func (p *pass) expectedEnd(r *request) time.Time {
	if r.ExpectedRun <= 0 {
		return p.in.Now.Add(unknownEnd)
	}
	return p.in.Now.Add(r.ExpectedRun)
}

// later copies the pass as it is when the attempts that end by then are gone.
func (p *pass) later(attempts []running, end int64) *pass {
	q := &pass{
		in: p.in, index: p.index, orgs: p.orgs, owed: p.owed, shareOn: p.shareOn,
		used: slices.Clone(p.used), firm: slices.Clone(p.firm), machines: slices.Clone(p.machines),
		head: p.head,
	}
	q.prepare()
	n := 0
	for i := range q.machines {
		n += len(q.machines[i].accounts)
	}
	accounts := make([]account, 0, n)
	for i := range q.machines {
		m := &q.machines[i]
		n := len(accounts)
		accounts = append(accounts, m.accounts...)
		m.accounts = accounts[n:len(accounts):len(accounts)]
	}
	for _, a := range attempts {
		if a.end <= end {
			q.release(a)
		}
	}
	return q
}

// release ends an attempt's part. What the pass has reclaimed is gone already.
func (p *pass) release(a running) {
	m := &p.machines[a.at]
	n, slots := a.accelerators, a.tasks
	if !a.firm && !a.placed {
		gone, won := min(n, m.evicted), min(slots, m.slotsWon)
		m.evicted -= gone
		m.slotsWon -= won
		n -= gone
		slots -= won
	}
	if m.usable {
		m.free += n
		m.slots += slots
	}
	by := account{used: -n}
	switch {
	case a.firm:
		by.firm = -n
	case a.placed:
		by.fresh = -n
	case a.accelerators == 0:
		by.loose = -a.tasks
	}
	m.charge(a.org, by)
	if !p.index.VMs[a.at].Lost {
		p.used[a.org] -= n
		p.firm[a.org] += by.firm
	}
}
