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

// request is a waiting job with what the pass looks up about it.
type request struct {
	*WaitingJob
	org int
	// size is the number of accelerators of a task.
	size int
	// firm says that the job is not preemptible.
	firm     bool
	matching []int
	// avoid holds the positions of AvoidVMs.
	avoid  []int
	levels []shape.Adjacency
	// below says that the organisation is below its guarantee without the job.
	below bool
	// placed says that the pass has placed the job.
	placed bool
}

// probes reports whether the job may go to a VM that was set aside. A failure
// there costs little when it is one task that can run again.
func (r *request) probes() bool {
	return !r.Job.IsGang() && r.Job.Idempotent && r.Job.Urgency != job.UrgencyUrgent
}

func (r *request) widest() shape.Adjacency { return r.levels[len(r.levels)-1] }

// class is what decides whether a job fits, apart from its number of tasks.
type class struct {
	org, size int
	firm      bool
	selector  string
	adjacency shape.Adjacency
	// passes says that the job ends before the head can start, probes that it
	// may probe a VM.
	passes, probes bool
}

// pass is the state of one planning pass.
type pass struct {
	in       Input
	index    *vmindex.Index
	machines []machine
	orgs     map[string]int
	// owed, used and firm sum the shares and the use of each organisation on
	// the VMs that are not lost.
	owed, used, firm []int
	// shareOn lists the VMs on which an organisation has a share.
	shareOn [][]int

	// head is the oldest waiting gang; see reserveForHead.
	head *request
	// ran lists what ran before the pass, nil until it is needed, and placed
	// what the pass has placed.
	ran, placed []running
	held        []bool
	heldUntil   time.Time
	// headReclaims says that the head depends on its organisation staying
	// within its guarantee.
	headReclaims bool

	// failed maps a class to the fewest tasks that did not fit. Capacity only
	// shrinks during a pass, so neither do larger jobs of the class.
	failed map[class]int
	// failedOwn is the same for what fits on one VM without borrowing.
	failedOwn map[class]int
	// freeIndex is nil until it is needed.
	freeIndex *freeIndex
	// largest is the most accelerators of one VM.
	largest int
	// sets holds matchingSet for each selector.
	sets map[string][]bool
	open map[openKey][]int
	// own and all are the tasks that each VM takes of the request at hand,
	// within its own share and what nobody is owed, and in all. They are valid
	// for the VMs in offering.
	own, all []int
	offering []int
	spans    []span
	// never maps what decides it to the most tasks that could ever fit.
	never map[neverKey]int
	// usable counts the usable VMs that a selector allows.
	usable map[string]int
	why    map[whyKey]UnplacedJob
	plan   Plan
}

type openKey struct {
	selector string
	slotOnly bool
}

func newPass(in Input) *pass {
	p := &pass{
		in:    in,
		index: vmindex.New(in.VMs),
		orgs:  map[string]int{},
	}
	p.prepare()
	p.machines = make([]machine, len(p.index.VMs))
	for i := range p.index.VMs {
		p.load(&p.machines[i], &p.index.VMs[i])
	}
	for name, shares := range in.Assignment.Shares {
		o := p.org(name)
		for id, share := range shares {
			if i, ok := p.index.Find(id); ok {
				p.machines[i].charge(o, account{share: share})
				p.machines[i].unowed -= share
				if !p.index.VMs[i].Lost {
					p.owed[o] += share
				}
				p.shareOn[o] = append(p.shareOn[o], i)
			}
		}
		slices.Sort(p.shareOn[o])
	}
	return p
}

// prepare makes the tables that belong to one pass.
func (p *pass) prepare() {
	n := len(p.index.VMs)
	p.held = make([]bool, n)
	p.own, p.all = make([]int, n), make([]int, n)
	p.failed, p.failedOwn = map[class]int{}, map[class]int{}
	p.sets = map[string][]bool{}
	for i := range p.index.VMs {
		p.largest = max(p.largest, p.index.VMs[i].Accelerators)
	}
	p.open = map[openKey][]int{}
	p.never = map[neverKey]int{}
	p.usable = map[string]int{}
	p.why = map[whyKey]UnplacedJob{}
}

// load sets the machine from what the VM's agent announced.
func (p *pass) load(m *machine, v *vm.View) {
	m.unowed = v.Accelerators
	free, slots := v.Accelerators, v.Slots
	for k := range v.Holdings {
		h := &v.Holdings[k]
		free -= h.Accelerators
		slots -= h.Tasks
		o := p.org(h.Org)
		firm := h.Accelerators
		if h.Preemptible {
			firm = 0
			m.widest = max(m.widest, (h.Accelerators+h.Tasks-1)/max(1, h.Tasks))
		}
		by := account{used: h.Accelerators, firm: firm}
		if h.Preemptible && h.Accelerators == 0 {
			by.loose = h.Tasks
		}
		m.charge(o, by)
		if !v.Lost {
			p.used[o] += h.Accelerators
			p.firm[o] += firm
		}
	}
	// Urgent tasks may exceed the slots, so the difference can be negative.
	if m.usable = v.Usable(p.in.Now); m.usable {
		m.probed = !v.QuarantinedUntil.IsZero()
		m.free, m.slots = max(0, free), max(0, slots)
	}
}

func (p *pass) org(name string) int {
	n, ok := p.orgs[name]
	if !ok {
		n = len(p.orgs)
		p.orgs[name] = n
		p.owed = append(p.owed, 0)
		p.used = append(p.used, 0)
		p.firm = append(p.firm, 0)
		p.shareOn = append(p.shareOn, nil)
	}
	return n
}

func (p *pass) request(w *WaitingJob) *request {
	r := &request{
		WaitingJob: w,
		org:        p.org(w.Job.Org),
		size:       w.Job.AcceleratorsPerTask,
		firm:       !w.Job.Preemptible,
		matching:   p.index.Matching(w.Job.Selector),
		levels:     vmindex.LevelsWithin(w.Job.Adjacency),
	}
	for id, avoid := range w.AvoidVMs {
		if i, ok := p.index.Find(id); ok && avoid {
			r.avoid = append(r.avoid, i)
		}
	}
	return r
}

func (p *pass) class(r *request) class {
	return class{
		org: r.org, size: r.size, firm: r.firm, selector: r.Job.Selector, adjacency: r.widest(),
		passes: p.passesHead(r), probes: r.probes(),
	}
}

// candidates lists the matching VMs that can still take something of the
// request's kind. The list only shrinks during a pass.
func (p *pass) candidates(r *request) []int {
	key := openKey{r.Job.Selector, r.size == 0}
	list, ok := p.open[key]
	if !ok {
		list = slices.Clone(r.matching)
	}
	list = slices.DeleteFunc(list, func(i int) bool {
		m := &p.machines[i]
		return m.slots == 0 || r.size > 0 && m.free == 0
	})
	p.open[key] = list
	return list
}

// allowed reports whether the request may be placed on the VM at all.
func (p *pass) allowed(r *request, i int) bool {
	if (p.held[i] || p.headReclaims && r.org == p.head.org) && r != p.head && !p.passesHead(r) {
		return false
	}
	if p.machines[i].probed && !r.probes() {
		return false
	}
	return !slices.Contains(r.avoid, i)
}

func (p *pass) take(r *request, m member) (reclaim bool) {
	at := &p.machines[m.at]
	if p.freeIndex != nil {
		p.freeIndex.remove(at, m.at)
		defer p.freeIndex.add(at, m.at)
	}
	return at.take(r, m.tasks)
}

// place takes the capacity and adds the placement to the plan. Members are in
// the order of their VMs, so that near ranks are near each other.
func (p *pass) place(r *request, members []member) {
	slices.SortFunc(members, func(a, b member) int { return cmp.Compare(a.at, b.at) })
	r.placed = true
	pl := Placement{JobID: r.Job.ID}
	end := p.expectedEnd(r).UnixNano()
	for _, m := range members {
		reclaim := p.take(r, m)
		pl.Members = append(pl.Members, Member{VM: p.index.VMs[m.at].ID, Tasks: m.tasks, Reclaim: reclaim})
		p.placed = append(p.placed, running{
			at: m.at, org: r.org, tasks: m.tasks, accelerators: m.tasks * r.size, firm: r.firm, placed: true, end: end,
		})
	}
	n := r.Job.Accelerators()
	p.used[r.org] += n
	if r.firm {
		p.firm[r.org] += n
	}
	p.plan.Placements = append(p.plan.Placements, pl)
}

func (p *pass) wait(r *request, rule string, never bool, format string, args ...any) {
	p.plan.Unplaced = append(p.plan.Unplaced, UnplacedJob{
		JobID: r.Job.ID, Rule: rule, Unsatisfiable: never, Reason: fmt.Sprintf(format, args...),
	})
}

// urgencyRank orders the lanes.
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
