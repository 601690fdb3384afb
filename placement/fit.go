package placement

import (
	"cmp"
	"slices"

	"celerypoint.example/celerypoint/shape"
)

// member is a number of tasks on one VM, which is given by its position in
// pass.vms.
type member struct{ vm, tasks int }

// domainOffer is the capacity of one domain for a request.
type domainOffer struct {
	// tasks is the number of tasks of the request that the domain can take.
	tasks int
	// free sums the free accelerators of the VMs that can take a task.
	free int
}

// fit returns VMs for all tasks of the request, or nil if they do not fit. It
// prefers narrow domains. Among the domains of one adjacency it first tries the
// organisation's own share and unassigned accelerators, then borrowing.
// Reclaiming comes last, after all adjacencies.
func (p *pass) fit(r *request) []member {
	key := p.classOf(r)
	if n, ok := p.minTasksNotFitting[key]; ok && r.Job.Tasks >= n {
		return nil
	}
	if found := p.fitUncached(r); found != nil {
		return found
	}
	if len(r.avoided) > 0 {
		// A requestClass does not include the VMs that a request avoids. So the
		// failure is recorded for the class only if the request does not fit
		// when it may use these VMs, too.
		unrestricted := *r
		unrestricted.avoided = nil
		if p.fitUncached(&unrestricted) != nil {
			return nil
		}
	}
	p.minTasksNotFitting[key] = r.Job.Tasks
	return nil
}

// fitUncached is fit without the results of earlier requests of the class.
func (p *pass) fitUncached(r *request) []member {
	if found := p.fitFree(r); found != nil {
		return found
	}
	return p.fitReclaim(r)
}

// fitFree returns VMs with enough free capacity for all tasks of the request, so
// that nothing is evicted, or nil.
func (p *pass) fitFree(r *request) []member {
	if vm := p.fitOneVM(r); vm >= 0 {
		return []member{{vm, r.Job.Tasks}}
	}
	if !r.Job.IsGang() {
		return nil
	}
	p.offeringVMs = p.offeringVMs[:0]
	total := 0
	for _, i := range p.candidates(r) {
		c := &p.vms[i]
		if !p.allowed(r, i) {
			continue
		}
		own, _ := c.roomWithoutBorrowing(r)
		p.ownTasks[i] = c.tasks(r, own)
		p.allTasks[i] = p.ownTasks[i]
		if !r.nonPreemptible {
			p.allTasks[i] = c.tasks(r, c.free)
		}
		if p.allTasks[i] > 0 {
			p.offeringVMs = append(p.offeringVMs, i)
			total += p.allTasks[i]
		}
	}
	if total < r.Job.Tasks {
		return nil
	}
	for _, level := range r.levels[1:] {
		for _, capacities := range [][]int{p.ownTasks, p.allTasks} {
			if found := p.fitLevel(r, level, capacities, scoreFewestFree); found != nil {
				return found
			}
		}
	}
	return nil
}

// bestChoice keeps the position with the smallest score. Of equal scores the
// first wins. An empty choice has position -1.
type bestChoice struct{ position, score int }

func (c *bestChoice) offer(position, score int) {
	if c.position < 0 || score < c.score {
		c.position, c.score = position, score
	}
}

// scoreFewestFree is a score for fitLevel that prefers domains with few free
// accelerators, so that large free blocks remain elsewhere.
func scoreFewestFree(offer domainOffer) int { return offer.free }

// scoreMostFree is a score for fitLevel that prefers domains with many free
// accelerators, because fewer have to be reclaimed there.
func scoreMostFree(offer domainOffer) int { return -offer.free }

// fitLevel returns VMs for all tasks of the request in the domain of the level
// that has the smallest score, or nil if no domain holds them. It considers the
// VMs in offeringVMs; capacities holds the number of tasks that each can take.
func (p *pass) fitLevel(r *request, level shape.Adjacency, capacities []int, score func(domainOffer) int) []member {
	domains := p.index.Domains[level]
	n := p.index.DomainCounts[level]
	if len(p.domainOffers) < n {
		p.domainOffers = make([]domainOffer, n)
	}
	offers := p.domainOffers[:n]
	clear(offers)
	for _, i := range p.offeringVMs {
		if capacities[i] > 0 {
			offers[domains[i]].tasks += capacities[i]
			offers[domains[i]].free += p.vms[i].free
		}
	}
	best := bestChoice{position: -1}
	for d, offer := range offers {
		if offer.tasks >= r.Job.Tasks {
			best.offer(d, score(offer))
		}
	}
	if best.position < 0 {
		return nil
	}
	var vms []int
	for _, i := range p.offeringVMs {
		if domains[i] == best.position && capacities[i] > 0 {
			vms = append(vms, i)
		}
	}
	return pack(r.Job.Tasks, vms, capacities)
}

// pack distributes the tasks over few VMs: it takes the smallest VM that holds
// all remaining tasks, or else the largest VM, until no task remains. Together
// the VMs must have capacity for all tasks.
func pack(tasks int, vms, capacities []int) []member {
	slices.SortStableFunc(vms, func(a, b int) int { return cmp.Compare(capacities[a], capacities[b]) })
	var found []member
	for tasks > 0 {
		k, _ := slices.BinarySearchFunc(vms, tasks, func(i, n int) int { return cmp.Compare(capacities[i], n) })
		k = min(k, len(vms)-1)
		n := min(tasks, capacities[vms[k]])
		found = append(found, member{vms[k], n})
		tasks -= n
		vms = slices.Delete(vms, k, k+1)
	}
	return found
}

// fitReclaim returns VMs for all tasks of the request, or nil if they do not fit
// or if its organisation's use would exceed its guarantee. For a non-preemptible
// request, only the use by non-preemptible work counts. The organisation's own
// shares are available even if others borrow them, except on VMs in reservedVMs:
// an eviction would change which attempts end there and when.
func (p *pass) fitReclaim(r *request) []member {
	used := p.used[r.org]
	if r.nonPreemptible {
		used = p.nonPreemptibleUsed[r.org]
	}
	if r.acceleratorsPerTask == 0 || used+r.Job.Accelerators() > p.guaranteed[r.org] {
		return nil
	}
	vms := slices.Clone(p.candidates(r))
	for _, i := range p.sharesOn[r.org] {
		if _, ok := slices.BinarySearch(r.matching, i); ok && p.vms[i].usable {
			vms = append(vms, i)
		}
	}
	slices.Sort(vms)
	p.offeringVMs = p.offeringVMs[:0]
	for _, i := range slices.Compact(vms) {
		c := &p.vms[i]
		if p.allowed(r, i) {
			own, _ := c.roomWithoutBorrowing(r)
			p.allTasks[i] = c.tasks(r, own)
			if !p.reservedVMs[i] {
				p.allTasks[i] = max(p.allTasks[i], c.reclaimTasks(r))
			}
			p.offeringVMs = append(p.offeringVMs, i)
		}
	}
	for _, level := range r.levels {
		if found := p.fitLevel(r, level, p.allTasks, scoreMostFree); found != nil {
			return found
		}
	}
	return nil
}
