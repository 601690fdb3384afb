package placement

import (
	"maps"
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

// passesHead reports whether the request is expected to end before the head
// can start.
func (p *pass) passesHead(r *request) bool {
	return !p.heldUntil.IsZero() && r.ExpectedRun > 0 && !p.in.Now.Add(r.ExpectedRun).After(p.heldUntil)
}

// chooseHead picks the oldest gang that fits once every attempt has ended.
func (p *pass) chooseHead(requests []*request) {
	var empty *pass
	for _, r := range requests {
		if !r.Job.Gang() || p.neverReason(r) != "" {
			continue
		}
		if empty == nil {
			in := p.in
			in.VMs = p.remaining(func(vm.Holding) bool { return false })
			empty = newPass(in)
		}
		if empty.fit(empty.request(r.Waiting)) != nil {
			p.head = r
			return
		}
	}
}

// reserveForHead finds the earliest time at which the head fits when running
// attempts end as expected, and holds the VMs that it would use then.
func (p *pass) reserveForHead() {
	times := p.endTimes()
	var found []member
	at, _ := slices.BinarySearchFunc(times, true, func(t time.Time, _ bool) int {
		if f := p.fitAt(t); f != nil {
			found = f
			return 1
		}
		return -1
	})
	if at == len(times) {
		return
	}
	p.heldUntil = times[at]
	for _, m := range found {
		p.held[m.at] = true
	}
}

// endTimes lists the times at which attempts are expected to end, in order.
func (p *pass) endTimes() []time.Time {
	seen := map[time.Time]bool{}
	for i := range p.index.VMs {
		for k := range p.index.VMs[i].Holdings {
			seen[p.endOf(&p.index.VMs[i].Holdings[k])] = true
		}
		for k := range p.placed[i] {
			seen[p.endOf(&p.placed[i][k])] = true
		}
	}
	return slices.SortedFunc(maps.Keys(seen), time.Time.Compare)
}

func (p *pass) endOf(h *vm.Holding) time.Time {
	if t, ok := p.ends[h.Attempt]; ok {
		return t
	}
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

// placedAttempt names the attempt of a job that this pass has placed.
func placedAttempt(jobID string) string { return "placed/" + jobID }

// fitAt fits the head into the capacity at the time.
func (p *pass) fitAt(t time.Time) []member {
	in := p.in
	in.VMs = p.remaining(func(h vm.Holding) bool { return p.endOf(&h).After(t) })
	later := newPass(in)
	return later.fit(later.request(p.head.Waiting))
}

// remaining copies the VMs with the holdings that stay, those that this pass
// has placed included.
func (p *pass) remaining(stays func(vm.Holding) bool) []vm.View {
	vms := slices.Clone(p.index.VMs)
	for i := range vms {
		var holdings []vm.Holding
		for _, h := range slices.Concat(vms[i].Holdings, p.placed[i]) {
			if stays(h) {
				holdings = append(holdings, h)
			}
		}
		vms[i].Holdings = holdings
	}
	return vms
}
