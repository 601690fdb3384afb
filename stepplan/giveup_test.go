package stepplan

import (
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"celerypoint.example/celerypoint/stepfold"
	"celerypoint.example/celerypoint/steps"
)

// TestGiveUpKeepsRuns guards against a job that is given up because of the size of its
// progress and whose progress stays as large, or no longer names the runs to be stopped.
func TestGiveUpKeepsRuns(t *testing.T) {
	c := qt.New(t)
	sc := newCluster(1, bootTime)
	sc.AddJob(newJob("a", "normal", bootTime, steps.Step{Count: 3, Needs: steps.Resources{GPUs: 2}}), bootTime)
	sc.Plan(bootTime)
	c.Assert(sc.TakeOutput(wallTime).Progress[0].Progress.Tasks, qt.HasLen, 2)
	var active *Task
	for _, task := range sc.Jobs["a"].Occurrences[0][0].Tasks {
		if task.Checkpoint = strings.Repeat("c", 200); task.Active {
			active = task
		}
	}
	for _, task := range sc.Jobs["a"].Occurrences[0][0].Tasks {
		if task.Active && task != active {
			sc.markLost(task, bootTime, "test")
		}
	}
	p := sc.GiveUp("a", "too large", wallTime, bootTime).Progress
	c.Assert(p.Phase, qt.Equals, stepfold.PhaseFailed)
	c.Assert(p.EndedAt, qt.Equals, wallTime)
	id := active.ID
	id.Job = ""
	c.Assert(p.Tasks, qt.DeepEquals, map[steps.TaskID]stepfold.TaskProgress{id: {Run: active.Run, Agent: active.Agent, Worker: active.Worker}})
	// A successor stops the run and starts none.
	successor := newCluster(1, bootTime)
	spec := sc.Jobs["a"].Spec
	successor.EarlierLeasesUntil = bootTime.Add(time.Second)
	successor.RestoreJob(stepfold.JobState{Job: &spec, Progress: p}, wallTime, bootTime)
	successor.Plan(bootTime)
	c.Assert(successor.TakeStops(), qt.HasLen, 1)
	c.Assert(successor.TakeOutput(wallTime).Orders, qt.HasLen, 0)
}
