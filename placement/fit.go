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
	open := p.candidates(r)
	rooms := []func(*machine, *request) int{(*machine).ownRoom}
	if !r.firm {
		rooms = append(rooms, func(m *machine, _ *request) int { return m.free })
	}
	for _, level := range r.levels {
		for _, room := range rooms {
			if found := p.fitLevel(r, open, level, room); found != nil {
				return found
			}
		}
	}
	if found := p.fitReclaim(r, open); found != nil {
		return found
	}
	if len(r.AvoidVMs) == 0 {
		p.failed[key] = r.Job.Tasks
	}
	return nil
}

// fitLevel finds the tightest domain of the level that holds the request.
func (p *pass) fitLevel(r *request, open []int, level shape.Adjacency, room func(*machine, *request) int) []member {
	domains := p.index.Domains[level]
	spans := make([]span, p.index.Counts[level])
	for _, i := range open {
		m := &p.machines[i]
		p.caps[i] = 0
		if !p.allowed(r, i) {
			continue
		}
		if n := m.tasks(r, room(m, r)); n > 0 {
			p.caps[i] = n
			spans[domains[i]].tasks += n
			spans[domains[i]].free += p.leftover(r, m)
		}
	}
	best := -1
	for n, s := range spans {
		if s.tasks >= r.Job.Tasks && (best < 0 || s.free < spans[best].free) {
			best = n
		}
	}
	if best < 0 {
		return nil
	}
	return p.pack(r, open, domains, best)
}

// leftover measures the hole that a placement would break up. A task that
// needs a slot only goes where slots remain that no accelerator needs.
func (p *pass) leftover(r *request, m *machine) int {
	if r.size == 0 {
		return m.free - m.slots
	}
	return m.free
}

// pack chooses VMs in the domain by their caps: the tightest that takes the
// rest, or else the largest, so that the gang is on few VMs.
func (p *pass) pack(r *request, open []int, domains []int, domain int) []member {
	var in []int
	for _, i := range open {
		if domains[i] == domain && p.caps[i] > 0 {
			in = append(in, i)
		}
	}
	slices.SortStableFunc(in, func(a, b int) int { return cmp.Compare(p.caps[a], p.caps[b]) })
	var found []member
	for rest := r.Job.Tasks; rest > 0; {
		at, _ := slices.BinarySearchFunc(in, rest, func(i, n int) int { return cmp.Compare(p.caps[i], n) })
		if at == len(in) {
			at--
		}
		n := min(rest, p.caps[in[at]])
		found = append(found, member{in[at], n})
		rest -= n
		in = slices.Delete(in, at, at+1)
	}
	return found
}

// fitReclaim lets an organisation that is within its guarantee use its own
// shares although others borrow them.
func (p *pass) fitReclaim(r *request, open []int) []member {
	use := p.used[r.org]
	if r.firm {
		use = p.firm[r.org]
	}
	if r.size == 0 || use+r.Job.Accelerators() > p.owed[r.org] {
		return nil
	}
	all := slices.Clone(open)
	for _, i := range p.shareOn[r.org] {
		if _, ok := slices.BinarySearch(r.matching, i); ok && p.index.VMs[i].Usable(p.in.Now) {
			all = append(all, i)
		}
	}
	slices.Sort(all)
	all = slices.Compact(all)
	for _, level := range r.levels {
		found := p.fitLevel(r, all, level, func(m *machine, r *request) int {
			return max(m.ownRoom(r), m.reclaimRoom(r))
		})
		if found != nil {
			return found
		}
	}
	return nil
}
