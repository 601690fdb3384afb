package placement

import (
	"cmp"
	"slices"
	"time"
)

// headPatience is how long the oldest waiting gang may be passed by jobs that
// the order puts before it; after that only urgent work goes first. Jobs of
// the design size run for hours, so minutes cost them little.
const headPatience = 10 * time.Minute

// Decide makes a plan for the waiting jobs. Every job of the input is in
// exactly one list of the plan. The result depends on the input only.
func Decide(in Input) Plan {
	p := newPass(in)
	requests := make([]*request, 0, len(in.Waiting))
	for i := range in.Waiting {
		requests = append(requests, p.request(&in.Waiting[i]))
	}
	slices.SortStableFunc(requests, bySince)
	if in.Policy == PolicyBaseline {
		p.baseline(requests)
	} else {
		p.adjacent(requests)
	}
	return p.plan
}

func bySince(a, b *request) int {
	return cmp.Or(a.WaitingSince.Compare(b.WaitingSince), cmp.Compare(a.Job.ID, b.Job.ID))
}

// baseline serves the queue in the order of arrival. A job that can never run
// does not block it.
func (p *pass) baseline(requests []*request) {
	blocked := ""
	for _, r := range requests {
		if p.refuse(r) {
			continue
		}
		if blocked != "" {
			p.wait(r, RuleBehindQueueHead, false, "job %s waits before it", blocked)
			continue
		}
		if found := p.firstFit(r); found != nil {
			p.place(r, found)
			continue
		}
		blocked = r.Job.ID
		p.explain(r)
	}
}

// firstFit takes the first VMs by ID, in the first domain that holds the job.
func (p *pass) firstFit(r *request) []member {
	level := r.widest()
	domains := p.index.Domains[level]
	members := make([][]member, p.index.DomainCounts[level])
	tasks := make([]int, len(members))
	for _, i := range p.candidates(r) {
		m, d := &p.machines[i], domains[i]
		a := m.account(r.org)
		own, _ := m.ownRoom(r)
		room := min(own, max(0, a.share-a.used)+max(0, m.unowed-m.over))
		n := min(m.tasks(r, room), r.Job.Tasks-tasks[d])
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

// adjacent serves urgent work first, then the oldest gang when it has waited
// for headPatience, then organisations below their guarantee, then by arrival.
func (p *pass) adjacent(requests []*request) {
	p.markBelow(requests)
	oldest := slices.IndexFunc(requests, func(r *request) bool { return r.Job.IsGang() })
	if oldest >= 0 && p.in.Now.Sub(requests[oldest].WaitingSince) >= headPatience {
		p.chooseHead(requests)
	}
	patient := p.head != nil && p.in.Now.Sub(p.head.WaitingSince) >= headPatience
	turns := slices.Clone(requests)
	slices.SortStableFunc(turns, func(a, b *request) int {
		return cmp.Compare(p.turn(a, patient), p.turn(b, patient))
	})
	for _, r := range turns {
		if p.refuse(r) {
			continue
		}
		if found := p.fit(r); found != nil {
			p.place(r, found)
			continue
		}
		if r.Job.IsGang() && p.head == nil {
			p.chooseHead(requests)
		}
		if r == p.head {
			p.reserveForHead()
		}
		p.explain(r)
	}
}

// turn ranks a request; requests of one rank go by arrival.
func (p *pass) turn(r *request, patient bool) int {
	rank := urgencyRank(r.Job.Urgency)
	switch {
	case r == p.head && patient && rank > 0:
		return 2
	case r.below:
		return 3 * rank
	case rank == 0:
		return 1
	default:
		return 3*rank + 1
	}
}

// markBelow finds the requests that begin within their organisation's
// guarantee when the earlier ones of the organisation are served.
func (p *pass) markBelow(requests []*request) {
	use := slices.Clone(p.used)
	for _, r := range requests {
		r.below = use[r.org] < p.owed[r.org]
		use[r.org] += r.Job.Accelerators()
	}
}
