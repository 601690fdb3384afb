package stepplan

import (
	"cmp"
	"slices"
	"time"

	"celerypoint.example/celerypoint/steps"
)

// coresPerGPU is the number of cores that one accelerator counts as when work is
// measured in core-seconds. It follows the ratio of the users' prices for an
// accelerator and a core.
const coresPerGPU = 8

// countedNeeds is the part of a VM's capacity that a task of the step occupies.
// Best-effort CPU is not counted.
func countedNeeds(s *steps.Step) steps.Resources {
	needs := s.Needs
	if s.BestEffortCPU {
		needs.CPU = 0
	}
	return needs
}

// chooseEviction chooses VMs for a unit that does not fit, and runs to stop so that it
// fits in a later pass. It counts on runs that are about to end. A unit of an organisation
// within its guarantee may always preempt, others only if the lost work is not more than
// estimatedWork of the unit. It returns nil if there is no such choice.
func (p *pass) chooseEviction(u unit) *eviction {
	best := p.cheapestEviction(u, paceLimit{})
	if best == nil || !p.orgsWithinGuarantee[u.job.Spec.Org] && best.cost > p.estimatedWork(u) {
		return nil
	}
	return best
}

// cheapestEviction returns the eviction that costs the least on VMs within the limit.
func (p *pass) cheapestEviction(u unit, limit paceLimit) *eviction {
	var best *eviction
	for _, set := range p.candidateSets(u) {
		e := p.planEviction(u, limit.within(set))
		if e != nil && (best == nil || e.cost < best.cost) {
			best = e
		}
	}
	return best
}

// evict requests the victims to stop and, for the rest of this pass, claims the capacity
// that the unit needs.
func (p *pass) evict(u unit, e *eviction) {
	for _, t := range e.victims {
		p.scheduler.requestStop(t, p.now, "preempted for "+u.tasks[0].ID.String())
		delete(p.evictable, p.scheduler.VMs[t.Agent])
	}
	for _, vm := range e.chosen {
		p.claim(vm, countedNeeds(u.step.Spec))
	}
}

// estimatedWork is the work of the unit according to the caller's estimate, in
// core-seconds.
func (p *pass) estimatedWork(u unit) float64 {
	return float64(len(u.tasks)) * coreEquivalents(countedNeeds(u.step.Spec)) * u.step.Spec.Estimate.Seconds()
}

func coreEquivalents(r steps.Resources) float64 {
	return float64(r.CPU)/1000 + float64(coresPerGPU*r.GPUs)
}

// eviction is a choice of VMs for a unit and of the runs to stop so that the
// unit fits on them.
type eviction struct {
	chosen  []*VM
	victims []*Task
	// cost is the sum of lostWork of the victims, in core-seconds.
	cost float64
}

// evictionChoice is what one more task of the unit costs on a VM.
type evictionChoice struct {
	vm *VM
	// available is the capacity that is free, or will be without another stop.
	available steps.Resources
	placed    int
	// victims, cost and fits are the results of pass.victims for available. known is
	// false while they have to be computed.
	victims []*Task
	cost    float64
	fits    bool
	known   bool
}

// planEviction chooses a VM for each task of the unit in turn, always the one on
// which the least work is lost. It returns nil if the tasks do not all fit.
func (p *pass) planEviction(u unit, vms []*VM) *eviction {
	need := countedNeeds(u.step.Spec)
	e := &eviction{}
	choices := make([]evictionChoice, len(vms))
	byVM := make(map[*VM]*evictionChoice, len(vms))
	for i, active := range u.step.activePerVM(vms) {
		choices[i] = evictionChoice{vm: vms[i], available: vms[i].free.Plus(p.beingFreed(u, vms[i])), placed: active}
		byVM[vms[i]] = &choices[i]
	}
	stopped := map[*Task]bool{}
	for range u.tasks {
		var best *evictionChoice
		for i := range choices {
			c := &choices[i]
			if u.step.Spec.MaxPerVM > 0 && c.placed >= u.step.Spec.MaxPerVM {
				continue
			}
			if !c.known {
				c.victims, c.cost, c.fits = p.victims(u, c.vm, c.available, need, stopped)
				c.known = true
			}
			if c.fits && (best == nil || c.cost < best.cost) {
				best = c
			}
		}
		if best == nil {
			return nil
		}
		e.victims = append(e.victims, best.victims...)
		e.cost += best.cost
		for _, t := range best.victims {
			stopped[t] = true
			if c := byVM[p.scheduler.VMs[t.Agent]]; c != nil {
				c.available, c.known = c.available.Plus(t.needs), false
			}
		}
		if slices.ContainsFunc(best.victims, p.hasDisruptionBudget) {
			// What may be stopped on the other VMs depends on what is stopped here.
			for i := range choices {
				choices[i].known = false
			}
		}
		best.available, best.known = best.available.Minus(need), false
		best.placed++
		e.chosen = append(e.chosen, best.vm)
	}
	return e
}

// beingFreed is the capacity of those active runs on the VM that are about to end:
// runs that were requested to stop, runs of gangs that have succeeded, and runs that
// end by themselves at least as early as a run that is stopped for the unit.
func (p *pass) beingFreed(u unit, vm *VM) steps.Resources {
	var sum steps.Resources
	for _, t := range vm.ActiveTasks {
		if !t.StopRequestedAt.IsZero() || t.Done || p.endsWithoutStop(u, t) {
			sum = sum.Plus(t.needs)
		}
	}
	return sum
}

// endsWithoutStop reports whether the task's run is expected to end by itself within the
// time that stopping a run takes, so that stopping it or another run for the unit would
// waste work without an earlier start. A guaranteed unit relies on it only as long as
// runs can still be stopped for it in time, because the forecast can be wrong.
func (p *pass) endsWithoutStop(u unit, t *Task) bool {
	if u.guaranteed && p.now.Sub(u.waitingSince) >= p.latestReclaim() {
		return false
	}
	return t.Running && t.Progress >= minProgressForForecast && !p.scheduler.stalled(t, p.now) &&
		!p.scheduler.stepOf(t).Spec.LongRunning && p.scheduler.remainingTime(t, p.now) <= p.scheduler.Timing.MaxStopTime
}

// candidate is a run that may be stopped, with its lostWork.
type candidate struct {
	task *Task
	cost float64
}

// candidates lists the runs on the VM that have neither succeeded nor were requested to
// stop, the least lost work first. The list is computed once a pass.
func (p *pass) candidates(vm *VM) []candidate {
	if all, found := p.evictable[vm]; found {
		return all
	}
	all := make([]candidate, 0, len(vm.ActiveTasks))
	for _, t := range vm.ActiveTasks {
		if t.StopRequestedAt.IsZero() && !t.Done {
			all = append(all, candidate{t, p.lostWork(t)})
		}
	}
	slices.SortFunc(all, func(x, y candidate) int {
		return cmp.Or(cmp.Compare(x.cost, y.cost), compareTaskIDs(x.task.ID, y.task.ID))
	})
	p.evictable[vm] = all
	return all
}

// stopGroup is what is stopped together with a run, with what that frees on the run's VM.
type stopGroup struct {
	members []*Task
	cost    float64
	freed   steps.Resources
}

// victims chooses runs on the VM to stop, the least lost work first, until a task
// of the unit with the given need fits, and leaves out those that a later choice has
// made unnecessary. It returns the tasks of these runs, the
// lost work, and whether the task of the unit fits then. stopped holds the tasks
// whose runs are already chosen to be stopped for other tasks of the unit.
func (p *pass) victims(u unit, vm *VM, available, need steps.Resources, stopped map[*Task]bool) ([]*Task, float64, bool) {
	if available.Holds(need) {
		return nil, 0, true
	}
	var groups []stopGroup
	chosen := func(t *Task) bool {
		return stopped[t] || slices.ContainsFunc(groups, func(g stopGroup) bool { return slices.Contains(g.members, t) })
	}
	for _, c := range p.candidates(vm) {
		if available.Holds(need) {
			break
		}
		t := c.task
		if chosen(t) || !p.mayBePreempted(t, u) || p.endsWithoutStop(u, t) {
			continue
		}
		together := p.stoppedTogether(t)
		if !p.mayDisrupt(together, chosen) {
			continue
		}
		g := stopGroup{members: together, cost: c.cost}
		for _, member := range together {
			if member.Agent == vm.Agent {
				g.freed = g.freed.Plus(member.needs)
			}
		}
		groups = append(groups, g)
		available = available.Plus(g.freed)
	}
	if !available.Holds(need) {
		return nil, 0, false
	}
	groups = necessary(groups, available, need)
	var victims []*Task
	cost := 0.0
	for _, g := range groups {
		victims, cost = append(victims, g.members...), cost+g.cost
	}
	return victims, cost, true
}

// necessary drops groups, the most lost work first, without which the need still fits in what
// is available with all of them. The cheapest runs are chosen first, and a larger one that is
// chosen after them can make room enough alone. groups is in the order of cost.
func necessary(groups []stopGroup, available, need steps.Resources) []stopGroup {
	for i := len(groups) - 1; i >= 0; i-- {
		if without := available.Minus(groups[i].freed); without.Holds(need) {
			available = without
			groups = slices.Delete(groups, i, i+1)
		}
	}
	return groups
}

// stoppedTogether lists the tasks whose active runs are stopped when the task is
// preempted. This is the task alone or, for a gang, all members that have an active
// run, have not succeeded and were not requested to stop.
func (p *pass) stoppedTogether(t *Task) []*Task {
	s := p.scheduler.stepOf(t)
	if !s.Spec.Gang {
		return []*Task{t}
	}
	var members []*Task
	for _, m := range s.Tasks {
		if m.Active && !m.Done && m.StopRequestedAt.IsZero() {
			members = append(members, m)
		}
	}
	return members
}

// countStoppedTogether is the length of stoppedTogether. It is computed once a pass for
// each gang.
func (p *pass) countStoppedTogether(t *Task) int {
	s := p.scheduler.stepOf(t)
	if !s.Spec.Gang {
		return 1
	}
	n, found := p.membersToStop[s]
	if !found {
		n = len(p.stoppedTogether(t))
		p.membersToStop[s] = n
	}
	return n
}

// mayBePreempted reports whether the task's run may be stopped for the unit. It
// may if the task's queue has a lower priority than the unit's, which is a larger
// number, or if the task's organisation needs more than its guarantee and the
// unit's organisation does not.
func (p *pass) mayBePreempted(t *Task, u unit) bool {
	j := p.scheduler.Jobs[t.ID.Job]
	if j.Queue.Priority > u.job.Queue.Priority {
		return true
	}
	return p.orgsWithinGuarantee[u.job.Spec.Org] && !p.orgsWithinGuarantee[j.Spec.Org]
}

// lostWork is the work, in core-seconds, that is lost if the task's run is stopped,
// together with those of its gang. An accelerator counts as coresPerGPU cores, and
// the work of urgent runs counts urgentWorkWeight times.
func (p *pass) lostWork(t *Task) float64 {
	s := p.scheduler.stepOf(t)
	since := t.StartedAt
	if s.Spec.Checkpointing {
		// The worker makes a checkpoint when it stops the run, so little is lost.
		since = p.now.Add(-min(p.now.Sub(since), checkpointLoss))
	}
	cost := float64(p.countStoppedTogether(t)) * coreEquivalents(t.needs) * p.now.Sub(since).Seconds()
	if p.scheduler.Jobs[t.ID.Job].Queue.Priority == 0 {
		cost *= urgentWorkWeight
	}
	return cost
}

// urgentWorkWeight multiplies the lost work of urgent runs, because their jobs
// become late when the runs start again. Urgent runs are those of queues with
// priority 0.
const urgentWorkWeight = 8

// checkpointLoss is the run time that is lost when a run of a Checkpointing step is
// stopped and the task's next run resumes from the checkpoint.
const checkpointLoss = 500 * time.Millisecond
