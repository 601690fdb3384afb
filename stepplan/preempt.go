package stepplan

import (
	"cmp"
	"slices"
	"time"

	"celerypoint.example/celerypoint/steps"
)

// coresPerGPU weighs accelerators against cores in what a stop throws away,
// as the users' prices do.
const coresPerGPU = 8

// counted is what a task takes of its VM's capacity.
func counted(s *steps.Step) steps.Resources {
	needs := s.Needs
	if s.BestEffortCPU {
		needs.CPU = 0
	}
	return needs
}

// preempt stops less urgent runs until the unit fits, and claims what they
// free. A unit within its organisation's guarantee always may; another one
// only if less work is thrown away than it does itself.
func (p *pass) preempt(u unit) {
	var best *eviction
	for _, set := range p.candidates(u) {
		e := p.evict(u, set)
		if e != nil && (best == nil || e.cost < best.cost) {
			best = e
		}
	}
	if best == nil || !p.guaranteed[u.job.Spec.Org] && best.cost > p.work(u) {
		return
	}
	for _, t := range best.victims {
		p.b.stop(t, p.now, "room for "+u.tasks[0].ID.String())
	}
	for _, vm := range best.chosen {
		p.claim(vm, counted(u.step.Spec))
	}
}

// work is about what the unit does, in core-seconds.
func (p *pass) work(u unit) float64 {
	return float64(len(u.tasks)) * cores(counted(u.step.Spec)) * u.step.Spec.Estimate.Seconds()
}

func cores(r steps.Resources) float64 { return float64(r.CPU)/1000 + float64(coresPerGPU*r.GPUs) }

// eviction is a choice of runs to stop, so that the unit fits.
type eviction struct {
	chosen  []*VM
	victims []*Task
	// cost is the work that is thrown away, in core-seconds.
	cost float64
}

// evict chooses VMs for the unit one task at a time, each time the one on
// which the least work is thrown away.
func (p *pass) evict(u unit, vms []*VM) *eviction {
	need := counted(u.step.Spec)
	e := &eviction{}
	room := map[*VM]steps.Resources{}
	placed := map[*VM]int{}
	for _, vm := range vms {
		room[vm] = p.free[vm].Plus(p.stopping(vm))
		placed[vm] = u.step.openOn(vm)
	}
	for range u.tasks {
		var best *VM
		var bestVictims []*Task
		bestCost := 0.0
		for _, vm := range vms {
			if u.step.Spec.MaxPerVM > 0 && placed[vm] >= u.step.Spec.MaxPerVM {
				continue
			}
			victims, cost, fits := p.victims(u, vm, room[vm], need, e.victims)
			if fits && (best == nil || cost < bestCost) {
				best, bestVictims, bestCost = vm, victims, cost
			}
		}
		if best == nil {
			return nil
		}
		for _, t := range bestVictims {
			if vm := p.b.VMs[t.Agent]; t.StopRequestedAt.IsZero() {
				room[vm] = room[vm].Plus(t.needs)
			}
		}
		e.victims = append(e.victims, bestVictims...)
		e.cost += bestCost
		room[best] = room[best].Minus(need)
		placed[best]++
		e.chosen = append(e.chosen, best)
	}
	return e
}

// stopping is what runs that are being stopped will free.
func (p *pass) stopping(vm *VM) steps.Resources {
	var sum steps.Resources
	for _, t := range vm.ActiveTasks {
		if !t.StopRequestedAt.IsZero() || t.Done {
			sum = sum.Plus(t.needs)
		}
	}
	return sum
}

// victims chooses runs on the VM to stop until the task fits.
func (p *pass) victims(u unit, vm *VM, room, need steps.Resources, chosen []*Task) ([]*Task, float64, bool) {
	if room.Holds(need) {
		return nil, 0, true
	}
	var all []*Task
	for _, t := range p.b.openOn(vm) {
		if t.StopRequestedAt.IsZero() && !t.Done && !slices.Contains(chosen, t) && p.yields(t, u) {
			all = append(all, t)
		}
	}
	slices.SortStableFunc(all, func(x, y *Task) int { return cmp.Compare(p.waste(x), p.waste(y)) })
	var victims []*Task
	cost := 0.0
	for _, t := range all {
		if room.Holds(need) {
			break
		}
		if slices.Contains(victims, t) {
			continue
		}
		cost += p.waste(t)
		for _, member := range p.together(t) {
			victims = append(victims, member)
			if member.Agent == vm.Agent {
				room = room.Plus(member.needs)
			}
		}
	}
	return victims, cost, room.Holds(need)
}

// together lists the open runs that end with the task's.
func (p *pass) together(t *Task) []*Task {
	s := p.b.stepOf(t)
	if !s.Spec.Gang {
		return []*Task{t}
	}
	return slices.DeleteFunc(slices.Clone(s.Tasks), func(m *Task) bool { return !m.Active || m.Done || !m.StopRequestedAt.IsZero() })
}

// yields reports whether the run may be stopped for the unit: it is less
// urgent, or its organisation uses more than its guarantee while the unit's
// does not.
func (p *pass) yields(t *Task, u unit) bool {
	j := p.b.Jobs[t.ID.Job]
	if j.Queue.Priority > u.job.Queue.Priority {
		return true
	}
	return p.guaranteed[u.job.Spec.Org] && !p.guaranteed[j.Spec.Org]
}

// waste is the work that a stop throws away, in core-seconds, with that of the
// run's other members.
func (p *pass) waste(t *Task) float64 {
	s := p.b.stepOf(t)
	since := t.StartedAt
	if s.Spec.Checkpointing {
		// A checkpoint is made at a stop; little is lost.
		since = p.now.Add(-min(p.now.Sub(since), checkpointLoss))
	}
	cost := float64(len(p.together(t))) * cores(t.needs) * p.now.Sub(since).Seconds()
	if p.b.Jobs[t.ID.Job].Queue.Priority == 0 {
		cost *= urgentWaste
	}
	return cost
}

// urgentWaste weighs the work of urgent runs, whose jobs become late when they
// start again.
const urgentWaste = 8

// checkpointLoss is the time that a stop and a resumption cost.
const checkpointLoss = 500 * time.Millisecond
