package placement

import (
	"cmp"
	"slices"

	"celerypoint.example/celerypoint/shape"
)

// member is a number of tasks on the VM at a position of the index.
type member struct{ at, tasks int }

// span is what one domain offers to a request.
type span struct {
	tasks int
	// free sums the free accelerators of the VMs that offer something.
	free int
}

// fit finds VMs for the whole request, or nil. The nearest domain comes first;
// in it, the organisation's own share and what nobody is owed come before
// borrowing, and reclaiming comes last.
func (p *pass) fit(r *request) []member {
	key := p.class(r)
	if n, ok := p.failed[key]; ok && r.Job.Tasks >= n {
		return nil
	}
	if found := p.fitFree(r); found != nil {
		return found
	}
	if found := p.fitReclaim(r); found != nil {
		return found
	}
	if len(r.AvoidVMs) == 0 {
		p.failed[key] = r.Job.Tasks
	}
	return nil
}

// fitFree uses free accelerators only.
func (p *pass) fitFree(r *request) []member {
	own, all := choice{at: -1}, choice{at: -1}
	p.offering = p.offering[:0]
	total := 0
	for _, i := range p.candidates(r) {
		m := &p.machines[i]
		if !p.allowed(r, i) {
			continue
		}
		p.own[i] = m.tasks(r, m.ownRoom(r))
		p.all[i] = p.own[i]
		if !r.firm {
			p.all[i] = m.tasks(r, m.free)
		}
		if p.all[i] == 0 {
			continue
		}
		p.offering = append(p.offering, i)
		total += p.all[i]
		hole := p.leftover(r, m)
		if p.own[i] >= r.Job.Tasks {
			own.offer(i, hole)
			if r.size > 0 && hole == 0 {
				break
			}
		}
		if p.all[i] >= r.Job.Tasks {
			all.offer(i, hole)
		}
	}
	switch {
	case own.at >= 0:
		return []member{{own.at, r.Job.Tasks}}
	case all.at >= 0:
		return []member{{all.at, r.Job.Tasks}}
	case total < r.Job.Tasks || !r.Job.Gang():
		return nil
	}
	for _, level := range r.levels[1:] {
		for _, caps := range [][]int{p.own, p.all} {
			if found := p.fitLevel(r, level, caps, tightest); found != nil {
				return found
			}
		}
	}
	return nil
}

// choice keeps the position with the smallest score; of equal ones the first.
type choice struct{ at, score int }

func (c *choice) offer(at, score int) {
	if c.at < 0 || score < c.score {
		c.at, c.score = at, score
	}
}

// leftover measures the hole that would remain. A task that needs a slot only
// goes where slots remain that no accelerator needs.
func (p *pass) leftover(r *request, m *machine) int {
	if r.size == 0 {
		return m.free - m.slots
	}
	return m.free - r.Job.Accelerators()
}

// tightest prefers domains with little free, so that large holes stay.
func tightest(s span) int { return s.free }

// fewestEvictions prefers domains with much free.
func fewestEvictions(s span) int { return -s.free }

// fitLevel finds the best domain of the level among the offering VMs.
func (p *pass) fitLevel(r *request, level shape.Adjacency, caps []int, score func(span) int) []member {
	domains := p.index.Domains[level]
	n := p.index.Counts[level]
	if len(p.spans) < n {
		p.spans = make([]span, n)
	}
	spans := p.spans[:n]
	clear(spans)
	for _, i := range p.offering {
		if caps[i] > 0 {
			spans[domains[i]].tasks += caps[i]
			spans[domains[i]].free += p.machines[i].free
		}
	}
	best := choice{at: -1}
	for d, s := range spans {
		if s.tasks >= r.Job.Tasks {
			best.offer(d, score(s))
		}
	}
	if best.at < 0 {
		return nil
	}
	var in []int
	for _, i := range p.offering {
		if domains[i] == best.at && caps[i] > 0 {
			in = append(in, i)
		}
	}
	return pack(r.Job.Tasks, in, caps)
}

// pack chooses VMs by what they take: the tightest that takes the rest, or
// else the largest, so that the gang is on few VMs.
func pack(tasks int, vms, caps []int) []member {
	slices.SortStableFunc(vms, func(a, b int) int { return cmp.Compare(caps[a], caps[b]) })
	var found []member
	for tasks > 0 {
		k, _ := slices.BinarySearchFunc(vms, tasks, func(i, n int) int { return cmp.Compare(caps[i], n) })
		k = min(k, len(vms)-1)
		n := min(tasks, caps[vms[k]])
		found = append(found, member{vms[k], n})
		tasks -= n
		vms = slices.Delete(vms, k, k+1)
	}
	return found
}

// fitReclaim lets an organisation that is within its guarantee use its own
// shares although others borrow them.
func (p *pass) fitReclaim(r *request) []member {
	use := p.used[r.org]
	if r.firm {
		use = p.firm[r.org]
	}
	if r.size == 0 || use+r.Job.Accelerators() > p.owed[r.org] {
		return nil
	}
	vms := slices.Clone(p.candidates(r))
	for _, i := range p.shareOn[r.org] {
		if _, ok := slices.BinarySearch(r.matching, i); ok && p.machines[i].usable {
			vms = append(vms, i)
		}
	}
	slices.Sort(vms)
	p.offering = p.offering[:0]
	for _, i := range slices.Compact(vms) {
		m := &p.machines[i]
		if p.allowed(r, i) {
			p.all[i] = m.tasks(r, max(m.ownRoom(r), m.reclaimRoom(r)))
			p.offering = append(p.offering, i)
		}
	}
	for _, level := range r.levels {
		if found := p.fitLevel(r, level, p.all, fewestEvictions); found != nil {
			return found
		}
	}
	return nil
}
