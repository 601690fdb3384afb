package stepplan

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"celerypoint.example/celerypoint/worker"
)

// TestEndOfFormerRunKeepsItsRepetition guards against a second run of a task whose worker
// repeats the order after its restart, although the run of before has ended.
func TestEndOfFormerRunKeepsItsRepetition(t *testing.T) {
	for _, test := range []struct {
		reason worker.EndReason
		active bool
	}{
		{worker.EndFailed, true},
		{worker.EndStopped, true},
		{worker.EndDone, false},
	} {
		t.Run(string(test.reason), func(t *testing.T) {
			ct := newCrashTest(t, 2)
			ct.add("a", oneGPU)
			order := ct.pass()[0]
			key := worker.Run{Task: order.Task.String(), Number: order.Run}
			f := FormerWorker{Worker: ct.worker(order.Agent), End: worker.IncarnationCrashed, Ended: []worker.Ended{{EndNumber: 1, Run: key, Reason: test.reason}}}
			ct.former[order.Agent] = []FormerWorker{f}
			ct.restarts[order.Agent]++
			for range 3 {
				ct.report(300 * time.Millisecond)
				ct.c.Check(ct.pass(), qt.HasLen, 0)
			}
			ct.c.Check(ct.task("a").Active, qt.Equals, test.active)
		})
	}
}
