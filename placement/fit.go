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
	if found := p.fitAnyhow(r); found != nil {
		return found
	}
	if len(r.avoid) > 0 {
		// When the VMs to avoid make no difference, the others of the class
		// need not be tried.
		free := *r
		free.avoid = nil
		if p.fitAnyhow(&free) != nil {
			return nil
		}
	}
	p.failed[key] = r.Job.Tasks
	return nil
}

func (p *pass) fitAnyhow(r *request) []member {
	if found := p.fitFree(r); found != nil {
		return found
	}
	return p.fitReclaim(r)
}

// fitFree uses free accelerators only.
func (p *pass) fitFree(r *request) []member {
	if at := p.fitOneVM(r); at >= 0 {
		return []member{{at, r.Job.Tasks}}
	}
	if !r.Job.IsGang() {
		return nil
	}
	p.offering = p.offering[:0]
	total := 0
	for _, i := range p.candidates(r) {
		m := &p.machines[i]
		if !p.allowed(r, i) {
			continue
		}
		own, _ := m.ownRoom(r)
		p.own[i] = m.tasks(r, own)
		p.all[i] = p.own[i]
		if !r.firm {
			p.all[i] = m.tasks(r, m.free)
		}
		if p.all[i] > 0 {
			p.offering = append(p.offering, i)
			total += p.all[i]
		}
	}
	if total < r.Job.Tasks {
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

// tightest prefers domains with little free, so that large holes stay.
func tightest(s span) int { return s.free }

// fewestEvictions prefers domains with much free.
func fewestEvictions(s span) int { return -s.free }

// fitLevel finds the best domain of the level among the offering VMs.
func (p *pass) fitLevel(r *request, level shape.Adjacency, caps []int, score func(span) int) []member {
	domains := p.index.Domains[level]
	n := p.index.DomainCounts[level]
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
// shares although others borrow them. It evicts nothing on VMs that are
// reserved for the head, because that changes what ends there and when.
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
			own, _ := m.ownRoom(r)
			p.all[i] = m.tasks(r, own)
			if !p.held[i] {
				p.all[i] = max(p.all[i], m.reclaimTasks(r))
			}
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
