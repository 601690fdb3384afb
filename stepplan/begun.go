package stepplan

import (
	"celerypoint.example/celerypoint/stepfold"
	"celerypoint.example/celerypoint/steps"
)

// Callers are told how many jobs no task of has started, and that a job is queued until then.
// A start order does not show a start: the worker may refuse it, it may not be sent, or be lost
// with the worker. So a job begins with the first run that a worker is known to have started.
// An order whose answer is lost leaves the job queued until a report lists the run or its end.

// recordStarted records that a worker has started the run of the task.
func (sc *Scheduler) recordStarted(t *Task, run int) {
	j := sc.Jobs[t.ID.Job]
	if j.Begun || j.Phase.Over() || run > t.Run {
		return
	}
	j.Begun, j.Phase = true, stepfold.PhaseRunning
	sc.begun[t.ID.Job] = true
	sc.addEvent(Event{Kind: "jobBegun", Job: t.ID.Job, Task: t.ID.String(), Run: run, VM: t.Agent})
}

// recordFormerStarted records that an incarnation of a worker that has ended had started the
// run, unless it had not answered the start order.
func (sc *Scheduler) recordFormerStarted(r FormerRun) {
	if r.Unanswered {
		return
	}
	id, err := steps.ParseTaskID(r.Task)
	if err != nil {
		return
	}
	if _, _, t := sc.findTask(id); t != nil {
		sc.recordStarted(t, r.Number)
	}
}

// StoreBegun makes the next TakeOutput return the progress of the jobs that have begun since
// their progress was last returned. Without a call, it is returned with the next other change
// of the job. The caller chooses the time, because a record for each beginning would add one
// to the two that a short job has.
func (sc *Scheduler) StoreBegun() {
	for id := range sc.begun {
		sc.dirty[id] = true
	}
}
