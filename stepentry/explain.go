package stepentry

import (
	"celerypoint.example/celerypoint/access"
	"celerypoint.example/celerypoint/boottime"
	"celerypoint.example/celerypoint/interference"
	"celerypoint.example/celerypoint/stepplan"
	"celerypoint.example/celerypoint/steps"
)

// FindQueue finds the queue of the name in the newest configuration.
func (d *Daemon) FindQueue(name string) (access.Queue, bool) {
	d.config.mu.Lock()
	defer d.config.mu.Unlock()
	for _, q := range d.config.current.Queues {
		if q.Name == name {
			return q, true
		}
	}
	return access.Queue{}, false
}

// PlannerName is the name of the entry that plans by the newest record, empty if none is known.
func (d *Daemon) PlannerName() string {
	d.records.mu.Lock()
	defer d.records.mu.Unlock()
	return d.records.state.Planner.Entry
}

// Explain tells where the tasks of a job would go that is accepted now. Nothing is stored or
// sent. It reports false unless this entry is the planner, which alone knows the VMs.
func (d *Daemon) Explain(j steps.Job) ([]stepplan.UnitExplanation, bool) {
	d.planner.mu.Lock()
	defer d.planner.mu.Unlock()
	if d.planner.scheduler == nil {
		return nil, false
	}
	d.counters.Count("placementExplained")
	return d.planner.scheduler.Explain(j, boottime.Now()), true
}

// ExplainJob tells what would happen now to the waiting tasks of an accepted job. known says
// whether there is such a job, planning whether this entry is the planner.
func (d *Daemon) ExplainJob(id string) (e stepplan.JobExplanation, known, planning bool) {
	d.planner.mu.Lock()
	defer d.planner.mu.Unlock()
	if d.planner.scheduler == nil {
		return e, false, false
	}
	d.counters.Count("placementExplained")
	e, known = d.planner.scheduler.ExplainJob(id, boottime.Now())
	return e, known, true
}

// Neighbours lists the kinds of tasks that are known to slow others down on one VM, and the
// operator's decisions about kinds. separated says whether tasks are kept apart, planning
// whether this entry is the planner, which alone observes runs.
func (d *Daemon) Neighbours() (found []interference.Finding, overrides []interference.Override, separated, planning bool) {
	d.planner.mu.Lock()
	defer d.planner.mu.Unlock()
	if d.planner.scheduler == nil {
		return nil, nil, false, false
	}
	found, overrides, separated = d.planner.scheduler.Neighbours()
	return found, overrides, separated, true
}
