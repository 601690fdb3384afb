package stepplan

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"celerypoint.example/celerypoint/steps"
)

// TestBrokenJobDoesNotStopOthers guards against a job that ends every planner in turn,
// because each fails unexpectedly when it places the job's tasks.
func TestBrokenJobDoesNotStopOthers(t *testing.T) {
	for name, broken := range map[string]func(j *Job){
		"order": func(j *Job) { j.Occurrences[0][0].Spec.After = []int{7} },
		"place": func(j *Job) { j.Occurrences[0][0].Tasks[0].Active, j.Occurrences[0][0].Tasks[0].Agent = true, "none" },
	} {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			now := time.Unix(1000, 0)
			sc := newCluster(2, now)
			sc.AddJob(newJob("broken", "urgent", now, steps.Step{Count: 2, Needs: steps.Resources{GPUs: 1}, SameRack: true}), now)
			sc.AddJob(newJob("sound", "normal", now, steps.Step{Count: 2, Needs: steps.Resources{GPUs: 1}}), now)
			broken(sc.Jobs["broken"])
			for range 3 {
				sc.Plan(now)
			}
			c.Check(sc.runsPerRack("broken"), qt.HasLen, 0)
			running := 0
			for _, n := range sc.runsPerRack("sound") {
				running += n
			}
			c.Check(running, qt.Equals, 2)
			aside := 0
			for _, e := range sc.TakeOutput(now).Events {
				if e.Kind == "jobSetAside" {
					aside++
					c.Check(e.Job, qt.Equals, "broken")
				}
			}
			c.Check(aside, qt.Equals, 1)
		})
	}
}
