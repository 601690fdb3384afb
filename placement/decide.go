package placement

import (
	"cmp"
	"slices"
	"time"
)

// maxGangBypass is how long a gang may wait while jobs that come before it in
// the queue order are placed first. After that only urgent work goes before the
// oldest gang that fits once all attempts have ended. Large gangs run for hours,
// so a delay of minutes costs them little.
const maxGangBypass = 10 * time.Minute

// Decide makes a plan for the waiting jobs. Every job of the input is in
// exactly one list of the plan. The result depends only on the input.
func Decide(in Input) Plan {
	p := newPass(in)
	requests := make([]*request, 0, len(in.Waiting))
	for i := range in.Waiting {
		requests = append(requests, p.request(&in.Waiting[i]))
	}
	slices.SortStableFunc(requests, compareArrival)
	if in.Policy == PolicyBaseline {
		p.baseline(requests)
	} else {
		p.adjacent(requests)
	}
	return p.plan
}

func compareArrival(a, b *request) int {
	return cmp.Or(a.WaitingSince.Compare(b.WaitingSince), cmp.Compare(a.Job.ID, b.Job.ID))
}

// baseline implements PolicyBaseline: it serves the jobs in the order of
// arrival, and the first that does not fit blocks those after it. A job that no
// free capacity could help does not block the queue.
func (p *pass) baseline(requests []*request) {
	queueHead := ""
	for _, r := range requests {
		if p.refuseImpossible(r) {
			continue
		}
		if queueHead != "" {
			p.addUnplaced(r, RuleBehindQueueHead, false, "job %s waits before it", queueHead)
			continue
		}
		if found := p.firstFit(r); found != nil {
			p.place(r, found)
			continue
		}
		queueHead = r.Job.ID
		p.addNotFitting(r)
	}
}

// firstFit adds up, in the order of the VM IDs, the tasks that the VMs of each
// domain of the job's adjacency can take without borrowing. It returns the VMs
// of the domain that is the first to have room for all tasks, or nil.
func (p *pass) firstFit(r *request) []member {
	level := r.adjacency()
	domains := p.index.Domains[level]
	members := make([][]member, p.index.DomainCounts[level])
	tasks := make([]int, len(members))
	for _, i := range p.candidates(r) {
		c, d := &p.vms[i], domains[i]
		orgAccount := c.account(r.org)
		ownFree, _ := c.roomWithoutBorrowing(r)
		room := min(ownFree, max(0, orgAccount.share-orgAccount.used)+max(0, c.unassigned-c.overShare))
		n := min(c.tasks(r, room), r.Job.Tasks-tasks[d])
		if n <= 0 || !p.allowed(r, i) {
			continue
		}
		members[d] = append(members[d], member{i, n})
		if tasks[d] += n; tasks[d] == r.Job.Tasks {
			return members[d]
		}
	}
	return nil
}

// adjacent implements PolicyAdjacent. It serves urgent work first, then the
// oldest gang that fits once all attempts have ended, if it has waited for
// maxGangBypass, then the other urgencies, normal before batch. Within an
// urgency, jobs of organisations that are below their guarantee come first, then
// jobs in the order of arrival.
func (p *pass) adjacent(requests []*request) {
	p.markBelowGuarantee(requests)
	oldest := slices.IndexFunc(requests, func(r *request) bool { return r.Job.IsGang() })
	if oldest >= 0 && p.in.Now.Sub(requests[oldest].WaitingSince) >= maxGangBypass {
		p.chooseReservedGang(requests)
	}
	gangFirst := p.reservedGang != nil && p.in.Now.Sub(p.reservedGang.WaitingSince) >= maxGangBypass
	ordered := slices.Clone(requests)
	slices.SortStableFunc(ordered, func(a, b *request) int {
		return cmp.Compare(p.queueRank(a, gangFirst), p.queueRank(b, gangFirst))
	})
	for _, r := range ordered {
		if p.refuseImpossible(r) {
			continue
		}
		if found := p.fit(r); found != nil {
			p.place(r, found)
			continue
		}
		if r.Job.IsGang() && p.reservedGang == nil {
			p.chooseReservedGang(requests)
		}
		if r == p.reservedGang {
			p.reserveForGang()
		}
		p.addNotFitting(r)
	}
}

// queueRank returns the position of a request in the queue order, lowest first.
// Requests of equal rank are served in the order of arrival. If gangFirst is
// set, reservedGang comes right after the urgent requests.
func (p *pass) queueRank(r *request, gangFirst bool) int {
	rank := urgencyRank(r.Job.Urgency)
	switch {
	case r == p.reservedGang && gangFirst && rank > 0:
		return 2
	case r.belowGuarantee:
		return 3 * rank
	case rank == 0:
		return 1
	default:
		return 3*rank + 1
	}
}

// markBelowGuarantee marks the requests whose organisation would still be below
// its guarantee if all its earlier requests were placed. The requests are in the
// order of arrival.
func (p *pass) markBelowGuarantee(requests []*request) {
	used := slices.Clone(p.used)
	for _, r := range requests {
		r.belowGuarantee = used[r.org] < p.guaranteed[r.org]
		used[r.org] += r.Job.Accelerators()
	}
}
