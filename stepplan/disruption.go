package stepplan

import "celerypoint.example/celerypoint/disruption"

// available reports whether the users of a task of a long-running step can use it: its run is
// at work, as far as the agent's newest report shows, and is not being stopped.
func (sc *Scheduler) available(t *Task) bool {
	vm := sc.VMs[t.Agent]
	return t.Active && t.Running && t.Progress >= 100 && t.StopRequestedAt.IsZero() && vm != nil && vm.Attached && !vm.Unreachable
}

// hasDisruptionBudget reports whether the number of unavailable tasks of the task's step is
// limited. Only tasks that run until their job is cancelled have users that notice.
func (p *pass) hasDisruptionBudget(t *Task) bool {
	s := p.scheduler.stepOf(t)
	return s.Spec.LongRunning && s.Spec.MaxUnavailable > 0
}

// mayDisrupt reports whether the runs of the given tasks, which belong to one step, may be
// stopped together. chosen says which tasks are to be stopped besides.
func (p *pass) mayDisrupt(tasks []*Task, chosen func(*Task) bool) bool {
	if len(tasks) == 0 || !p.hasDisruptionBudget(tasks[0]) {
		return true
	}
	s := p.scheduler.stepOf(tasks[0])
	stopping := make(map[*Task]bool, len(tasks))
	available := 0
	for _, t := range tasks {
		stopping[t] = true
		if p.scheduler.available(t) {
			available++
		}
	}
	budget := disruption.Budget{Limit: s.Spec.MaxUnavailable}
	for _, t := range s.Tasks {
		if !stopping[t] && (chosen(t) || !p.scheduler.available(t)) {
			budget.Unavailable++
		}
	}
	return budget.Allows(available)
}
