package stepplan

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"celerypoint.example/celerypoint/stepfold"
	"celerypoint.example/celerypoint/steps"
	"celerypoint.example/celerypoint/worker"
)

// restoredRun is a run of half an hour that a new planner has restored.
type restoredRun struct {
	c         *qt.C
	scheduler *Scheduler
	task      *Task
	now       time.Time
}

func newRestoredRun(t *testing.T) *restoredRun {
	r := &restoredRun{c: qt.New(t), scheduler: newCluster(1, bootTime), now: bootTime}
	job := newJob("a", "normal", bootTime, steps.Step{Count: 1, Needs: steps.Resources{GPUs: 1}})
	job.Steps[0].Estimate = 30 * time.Minute
	progress := stepfold.Progress{Phase: stepfold.PhaseRunning, Begun: true, Tasks: map[steps.TaskID]stepfold.TaskProgress{{}: {Run: 1, Agent: "vm0", Worker: "vm0"}}}
	r.scheduler.RestoreJob(stepfold.JobState{Job: &job, Progress: progress}, wallTime, bootTime)
	r.task = r.scheduler.Jobs["a"].Occurrences[0][0].Tasks[0]
	return r
}

// report lets the agent report the progress every 0.4 s for a time, and returns the number of
// orders to stop the run.
func (r *restoredRun) report(progress int, length time.Duration, drain time.Duration) int {
	stops := 0
	for end := r.now.Add(length); r.now.Before(end); {
		r.now = r.now.Add(400 * time.Millisecond)
		r.scheduler.HandleReport(Report{
			Agent: "vm0", Session: 1, Version: 2, WorkerPresent: true, Worker: "vm0", Rack: "r0", Capacity: steps.Resources{CPU: 32000, MemMB: 64000, GPUs: 8},
			Draining: drain > 0, RemainingMs: int(drain.Milliseconds()),
			Running: []RunningTask{{Running: worker.Running{Run: worker.Run{Task: r.task.ID.String(), Number: 1}, Progress: progress}}},
		}, r.now)
		r.scheduler.LeaseGranted("vm0", r.now)
		stops += len(r.scheduler.TakeStops())
	}
	return stops
}

// TestLongRunsSurviveHandOver guards against stopping sound runs as stalled after a change of the planner, because their progress of before counts as made since.
func TestLongRunsSurviveHandOver(t *testing.T) {
	for _, first := range []time.Duration{400 * time.Millisecond, 2 * time.Second, 17 * time.Second} {
		t.Run(fmt.Sprint(first), func(t *testing.T) {
			r := newRestoredRun(t)
			r.c.Assert(r.report(40, first, 0), qt.Equals, 0)
			for progress := 41; progress < 50; progress++ {
				r.c.Assert(r.report(progress, 18*time.Second, 0), qt.Equals, 0, qt.Commentf("at %d %%", progress))
			}
			// A run that stands still is found by its rate.
			r.c.Check(r.report(49, 2*time.Minute, 0) > 0, qt.IsTrue)
		})
	}
}

// TestRestoredRunIsStoppedBeforeItsWorkerExits guards against a forecast that takes the progress of before a change of the planner as made since.
func TestRestoredRunIsStoppedBeforeItsWorkerExits(t *testing.T) {
	r := newRestoredRun(t)
	r.c.Check(r.report(40, 400*time.Millisecond, 5*time.Second), qt.Equals, 1)
}
