package placement

import (
	"cmp"
	"fmt"
	"slices"
	"time"

	"celerypoint.example/celerypoint/job"
	"celerypoint.example/celerypoint/shape"
	"celerypoint.example/celerypoint/vm"
	"celerypoint.example/celerypoint/vmindex"
)

// request is a waiting job with the data that the pass derives from it.
type request struct {
	*WaitingJob
	// org is the organisation's index in slices such as pass.used. The map
	// pass.orgs holds it by the organisation's name.
	org                 int
	acceleratorsPerTask int
	nonPreemptible      bool
	// matching holds the positions of the VMs that the selector matches.
	matching []int
	// avoided holds the positions of the VMs in AvoidVMs.
	avoided []int
	// levels holds the adjacencies (how close together the VMs of the gang are) that
	// the job allows, the narrowest first.
	levels []shape.Adjacency
	// belowGuarantee says that the organisation is below its guarantee without
	// the job; see markBelowGuarantee.
	belowGuarantee bool
	// placed says that the pass has placed the job.
	placed bool
}

// mayProbe reports whether the job may be the probe of a VM whose quarantine
// period has ended. A failure there costs little if the job is one task that can
// run again and is not urgent.
func (r *request) mayProbe() bool {
	return !r.Job.IsGang() && r.Job.Idempotent && r.Job.Urgency != job.UrgencyUrgent
}

// adjacency returns the widest adjacency that the job allows.
func (r *request) adjacency() shape.Adjacency { return r.levels[len(r.levels)-1] }

// requestClass holds what determines whether a job fits, except for its number
// of tasks and the VMs that it avoids. Jobs of one class share cached results.
type requestClass struct {
	org, acceleratorsPerTask int
	nonPreemptible           bool
	selector                 string
	adjacency                shape.Adjacency
	// backfills says that the job is expected to end before the reserved gang
	// can start, and mayProbe that it may run on a VM that needs a probe.
	backfills, mayProbe bool
}

// pass is the state of one planning pass. Slices of VMs are indexed by the
// position of the VM in index.VMs, and slices of organisations by the position
// that orgs assigns to the name.
type pass struct {
	in    Input
	index *vmindex.Index
	vms   []vmCapacity
	orgs  map[string]int
	// guaranteed sums the shares of each organisation on the VMs that are not
	// lost. used sums the accelerators that all its work uses on these VMs, and
	// nonPreemptibleUsed those that its non-preemptible work uses.
	guaranteed, used, nonPreemptibleUsed []int
	// sharesOn lists, for each organisation, the VMs on which it has a share.
	sharesOn [][]int

	// reservedGang is the oldest gang without a placement that fits once all
	// attempts have ended. If it does not fit now, VMs are reserved for it. It is
	// nil until chooseReservedGang has set it.
	reservedGang *request
	// initialAllocations lists what attempts held before the pass, and is nil
	// until it is needed. placedAllocations lists what the pass has placed.
	initialAllocations, placedAllocations []allocation
	// reservedVMs marks the VMs that are reserved for reservedGang, and
	// reservedStart is when the gang is expected to start on them. It is zero
	// until reserveForGang has set it.
	reservedVMs   []bool
	reservedStart time.Time
	// reservationReclaims says that reservedGang fits at reservedStart only if
	// it reclaims from borrowers. The gang's organisation must then stay within
	// its guarantee, so the pass places no other job of it that may still run at
	// that time.
	reservationReclaims bool

	// minTasksNotFitting maps a class to the number of tasks of the smallest job
	// for which fit found no VMs. Capacity only shrinks during a pass, so a job of
	// the class with as many tasks or more does not fit either.
	minTasksNotFitting map[requestClass]int
	// minTasksNotFittingOwn is the same for jobs for which fitOneVM found no VM
	// without borrowing.
	minTasksNotFittingOwn map[requestClass]int
	// freeIndex finds the VM on which a request fits most tightly. fitOneVM
	// creates it on its first use; until then it is nil.
	freeIndex *freeIndex
	// largestVM is the largest number of accelerators of a VM.
	largestVM int
	// matchingSets caches the results of matchingSet by selector.
	matchingSets map[string][]bool
	// candidateLists caches the results of candidates.
	candidateLists map[candidatesKey][]int
	// ownTasks and allTasks hold how many tasks of the current request each VM
	// can take. ownTasks is without borrowing. After fitFree, allTasks includes
	// what a preemptible request may borrow, but no reclaiming. After fitReclaim,
	// which sets only allTasks, it is the number without borrowing, or the number
	// with reclaiming if that is larger and reclaiming is allowed on the VM. Both
	// are valid for the VMs in offeringVMs, from which fitLevel chooses.
	ownTasks, allTasks []int
	offeringVMs        []int
	// domainOffers is the scratch space of fitLevel.
	domainOffers []domainOffer
	// maxTasks caches the largest number of tasks in one domain that fit on the
	// known VMs if all of them are empty.
	maxTasks map[capacityKey]int
	// usableCounts caches, for each selector, how many of the VMs that it
	// matches are usable.
	usableCounts map[string]int
	// notFittingReasons caches the results of notFittingReason.
	notFittingReasons map[notFittingKey]UnplacedJob
	plan              Plan
}

// candidatesKey holds what determines the result of candidates.
type candidatesKey struct {
	selector string
	// slotOnly says that the tasks need no accelerators.
	slotOnly bool
}

func newPass(in Input) *pass {
	p := &pass{
		in:    in,
		index: vmindex.New(in.VMs),
		orgs:  map[string]int{},
	}
	p.initTables()
	p.vms = make([]vmCapacity, len(p.index.VMs))
	for i := range p.index.VMs {
		p.loadVM(&p.vms[i], &p.index.VMs[i])
	}
	for name, shares := range in.Assignment.Shares {
		org := p.orgIndex(name)
		for id, share := range shares {
			if i, ok := p.index.Find(id); ok {
				p.vms[i].charge(org, account{share: share})
				p.vms[i].unassigned -= share
				if !p.index.VMs[i].Lost {
					p.guaranteed[org] += share
				}
				p.sharesOn[org] = append(p.sharesOn[org], i)
			}
		}
		slices.Sort(p.sharesOn[org])
	}
	return p
}

// initTables creates the tables that a pass does not share with the copies that
// stateAfter makes of it.
func (p *pass) initTables() {
	n := len(p.index.VMs)
	p.reservedVMs = make([]bool, n)
	p.ownTasks, p.allTasks = make([]int, n), make([]int, n)
	p.minTasksNotFitting, p.minTasksNotFittingOwn = map[requestClass]int{}, map[requestClass]int{}
	p.matchingSets = map[string][]bool{}
	for i := range p.index.VMs {
		p.largestVM = max(p.largestVM, p.index.VMs[i].Accelerators)
	}
	p.candidateLists = map[candidatesKey][]int{}
	p.maxTasks = map[capacityKey]int{}
	p.usableCounts = map[string]int{}
	p.notFittingReasons = map[notFittingKey]UnplacedJob{}
}

// loadVM initializes the capacity from the VM's holdings and state. Unless the
// VM is lost, it adds the holdings to used and nonPreemptibleUsed.
func (p *pass) loadVM(c *vmCapacity, v *vm.View) {
	c.unassigned = v.Accelerators
	free, slots := v.Accelerators, v.Slots
	for k := range v.Holdings {
		h := &v.Holdings[k]
		free -= h.Accelerators
		slots -= h.Tasks
		org := p.orgIndex(h.Org)
		nonPreemptible := h.Accelerators
		if h.Preemptible {
			nonPreemptible = 0
			c.largestTask = max(c.largestTask, (h.Accelerators+h.Tasks-1)/max(1, h.Tasks))
		}
		change := account{used: h.Accelerators, nonPreemptible: nonPreemptible}
		if h.Preemptible && h.Accelerators == 0 {
			change.slotOnlyTasks = h.Tasks
		}
		c.charge(org, change)
		if !v.Lost {
			p.used[org] += h.Accelerators
			p.nonPreemptibleUsed[org] += nonPreemptible
		}
	}
	// The holdings can exceed what the VM has, so free and slots can be negative
	// here. The tasks can outnumber the slots because a VM admits some urgent short
	// tasks even when all its slots are in use; see ledger.Ledger.ExtraSlots.
	if c.usable = v.Usable(p.in.Now); c.usable {
		c.needsProbe = !v.QuarantinedUntil.IsZero()
		c.free, c.slots = max(0, free), max(0, slots)
	}
}

// orgIndex returns the position that orgs assigns to the organisation. It adds
// an organisation that has none yet.
func (p *pass) orgIndex(name string) int {
	index, ok := p.orgs[name]
	if !ok {
		index = len(p.orgs)
		p.orgs[name] = index
		p.guaranteed = append(p.guaranteed, 0)
		p.used = append(p.used, 0)
		p.nonPreemptibleUsed = append(p.nonPreemptibleUsed, 0)
		p.sharesOn = append(p.sharesOn, nil)
	}
	return index
}

func (p *pass) request(w *WaitingJob) *request {
	r := &request{
		WaitingJob:          w,
		org:                 p.orgIndex(w.Job.Org),
		acceleratorsPerTask: w.Job.AcceleratorsPerTask,
		nonPreemptible:      !w.Job.Preemptible,
		matching:            p.index.Matching(w.Job.Selector),
		levels:              vmindex.LevelsWithin(w.Job.Adjacency),
	}
	for id, isAvoided := range w.AvoidVMs {
		if i, ok := p.index.Find(id); ok && isAvoided {
			r.avoided = append(r.avoided, i)
		}
	}
	return r
}

func (p *pass) classOf(r *request) requestClass {
	return requestClass{
		org: r.org, acceleratorsPerTask: r.acceleratorsPerTask, nonPreemptible: r.nonPreemptible, selector: r.Job.Selector, adjacency: r.adjacency(),
		backfills: p.endsBeforeReservation(r), mayProbe: r.mayProbe(),
	}
}

// candidates lists the matching VMs that have a free slot and, if the request
// needs accelerators, a free accelerator. The list only shrinks during a pass.
func (p *pass) candidates(r *request) []int {
	key := candidatesKey{r.Job.Selector, r.acceleratorsPerTask == 0}
	list, ok := p.candidateLists[key]
	if !ok {
		list = slices.Clone(r.matching)
	}
	list = slices.DeleteFunc(list, func(i int) bool {
		c := &p.vms[i]
		return c.slots == 0 || r.acceleratorsPerTask > 0 && c.free == 0
	})
	p.candidateLists[key] = list
	return list
}

// allowed reports whether the request may be placed on the VM at position i, if
// it fits. A request that may delay the reserved gang may not use the VMs that
// are reserved for it nor, if the gang has to reclaim and both are of the same
// organisation, any VM at all. A VM that needs a probe takes only requests that
// may probe it, and a request does not use the VMs that it avoids.
func (p *pass) allowed(r *request, i int) bool {
	if (p.reservedVMs[i] || p.reservationReclaims && r.org == p.reservedGang.org) && r != p.reservedGang && !p.endsBeforeReservation(r) {
		return false
	}
	if p.vms[i].needsProbe && !r.mayProbe() {
		return false
	}
	return !slices.Contains(r.avoided, i)
}

// take places the tasks on the VM, updates freeIndex, and reports whether work
// of other organisations has to be evicted.
func (p *pass) take(r *request, m member) (reclaim bool) {
	capacity := &p.vms[m.vm]
	if p.freeIndex != nil {
		p.freeIndex.remove(capacity, m.vm)
		defer p.freeIndex.add(capacity, m.vm)
	}
	return capacity.take(r, m.tasks)
}

// place takes the members' capacity from the pass's VMs and adds the placement to
// the plan. Its members are in the order of the VM IDs. The tasks of a job are numbered in the order of the
// members, so tasks with neighbouring numbers run on VMs with neighbouring IDs.
func (p *pass) place(r *request, members []member) {
	slices.SortFunc(members, func(a, b member) int { return cmp.Compare(a.vm, b.vm) })
	r.placed = true
	placement := Placement{JobID: r.Job.ID}
	end := p.requestEnd(r).UnixNano()
	for _, m := range members {
		reclaim := p.take(r, m)
		placement.Members = append(placement.Members, Member{VM: p.index.VMs[m.vm].ID, Tasks: m.tasks, Reclaim: reclaim})
		p.placedAllocations = append(p.placedAllocations, allocation{
			vm: m.vm, org: r.org, tasks: m.tasks, accelerators: m.tasks * r.acceleratorsPerTask, nonPreemptible: r.nonPreemptible, placed: true, end: end,
		})
	}
	n := r.Job.Accelerators()
	p.used[r.org] += n
	if r.nonPreemptible {
		p.nonPreemptibleUsed[r.org] += n
	}
	p.plan.Placements = append(p.plan.Placements, placement)
}

func (p *pass) addUnplaced(r *request, rule string, unsatisfiable bool, format string, args ...any) {
	p.plan.Unplaced = append(p.plan.Unplaced, UnplacedJob{
		JobID: r.Job.ID, Rule: rule, Unsatisfiable: unsatisfiable, Reason: fmt.Sprintf(format, args...),
	})
}

// urgencyRank returns the place of the urgency in the queue order, 0 first.
func urgencyRank(u job.Urgency) int {
	switch u {
	case job.UrgencyUrgent:
		return 0
	case job.UrgencyBatch:
		return 2
	default:
		return 1
	}
}
