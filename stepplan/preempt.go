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

// preempt requests runs to stop so that the unit fits in a later pass. For the rest
// of this pass, it claims the capacity that the unit needs. A unit of an
// organisation within its guarantee may always preempt, others only if the lost
// work is not more than estimatedWork of the unit.
func (p *pass) preempt(u unit) {
	var best *eviction
	for _, set := range p.candidateSets(u) {
		e := p.planEviction(u, set)
		if e != nil && (best == nil || e.cost < best.cost) {
			best = e
		}
	}
	if best == nil || !p.orgsWithinGuarantee[u.job.Spec.Org] && best.cost > p.estimatedWork(u) {
		return
	}
	for _, t := range best.victims {
		p.scheduler.requestStop(t, p.now, "preempted for "+u.tasks[0].ID.String())
	}
	for _, vm := range best.chosen {
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

// planEviction chooses a VM for each task of the unit in turn, always the one on
// which the least work is lost. It returns nil if the tasks do not all fit.
func (p *pass) planEviction(u unit, vms []*VM) *eviction {
	need := countedNeeds(u.step.Spec)
	e := &eviction{}
	available := map[*VM]steps.Resources{}
	placed := map[*VM]int{}
	for _, vm := range vms {
		available[vm] = p.free[vm].Plus(p.beingFreed(vm))
		placed[vm] = u.step.activeOn(vm)
	}
	for range u.tasks {
		var best *VM
		var bestVictims []*Task
		bestCost := 0.0
		for _, vm := range vms {
			if u.step.Spec.MaxPerVM > 0 && placed[vm] >= u.step.Spec.MaxPerVM {
				continue
			}
			victims, cost, fits := p.victims(u, vm, available[vm], need, e.victims)
			if fits && (best == nil || cost < bestCost) {
				best, bestVictims, bestCost = vm, victims, cost
			}
		}
		if best == nil {
			return nil
		}
		for _, t := range bestVictims {
			if vm := p.scheduler.VMs[t.Agent]; t.StopRequestedAt.IsZero() {
				available[vm] = available[vm].Plus(t.needs)
			}
		}
		e.victims = append(e.victims, bestVictims...)
		e.cost += bestCost
		available[best] = available[best].Minus(need)
		placed[best]++
		e.chosen = append(e.chosen, best)
	}
	return e
}

// beingFreed is the capacity of those active runs on the VM that are about to end:
// runs that were requested to stop, and runs of gangs that have succeeded.
func (p *pass) beingFreed(vm *VM) steps.Resources {
	var sum steps.Resources
	for _, t := range vm.ActiveTasks {
		if !t.StopRequestedAt.IsZero() || t.Done {
			sum = sum.Plus(t.needs)
		}
	}
	return sum
}

// victims chooses runs on the VM to stop, the least lost work first, until a task
// of the unit with the given need fits. It returns the tasks of these runs, the
// lost work, and whether the task of the unit fits then. chosen holds the tasks
// whose runs are already chosen to be stopped for other tasks of the unit.
func (p *pass) victims(u unit, vm *VM, available, need steps.Resources, chosen []*Task) ([]*Task, float64, bool) {
	if available.Holds(need) {
		return nil, 0, true
	}
	var all []*Task
	for _, t := range p.scheduler.activeTasksOn(vm) {
		if t.StopRequestedAt.IsZero() && !t.Done && !slices.Contains(chosen, t) && p.mayBePreempted(t, u) {
			all = append(all, t)
		}
	}
	slices.SortStableFunc(all, func(x, y *Task) int { return cmp.Compare(p.lostWork(x), p.lostWork(y)) })
	var victims []*Task
	cost := 0.0
	for _, t := range all {
		if available.Holds(need) {
			break
		}
		if slices.Contains(victims, t) {
			continue
		}
		cost += p.lostWork(t)
		for _, member := range p.stoppedTogether(t) {
			victims = append(victims, member)
			if member.Agent == vm.Agent {
				available = available.Plus(member.needs)
			}
		}
	}
	return victims, cost, available.Holds(need)
}

// stoppedTogether lists the tasks whose active runs are stopped when the task is
// preempted. This is the task alone or, for a gang, all members that have an active
// run, have not succeeded and were not requested to stop.
func (p *pass) stoppedTogether(t *Task) []*Task {
	s := p.scheduler.stepOf(t)
	if !s.Spec.Gang {
		return []*Task{t}
	}
	return slices.DeleteFunc(slices.Clone(s.Tasks), func(m *Task) bool { return !m.Active || m.Done || !m.StopRequestedAt.IsZero() })
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
	cost := float64(len(p.stoppedTogether(t))) * coreEquivalents(t.needs) * p.now.Sub(since).Seconds()
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
