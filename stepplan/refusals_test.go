package stepplan

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"celerypoint.example/celerypoint/steps"
)

// passRefused runs a planning pass and refuses what it orders.
func (ct *crashTest) passRefused() []StartOrder {
	ct.scheduler.Plan(ct.now)
	var refused []StartOrder
	for _, o := range ct.scheduler.TakeOutput(wallTime).Orders {
		if order, ok := o.(StartOrder); ok {
			ct.scheduler.StartRefused(order, "unhealthy", ct.now)
			refused = append(refused, order)
		}
	}
	return refused
}

// TestRefusedTaskStartsOnceTheWorkerIsHealthy guards against a task that leaves a worker idle
// for good which refused it once, because other workers, which are full, could hold it.
func TestRefusedTaskStartsOnceTheWorkerIsHealthy(t *testing.T) {
	ct := newCrashTest(t, 2)
	ct.add("long", steps.Step{Count: 1, Needs: steps.Resources{GPUs: 8}})
	full := ct.pass()[0].Agent
	ct.add("a", oneGPU)
	ct.c.Assert(ct.passRefused()[0].Agent, qt.Not(qt.Equals), full)
	ct.c.Check(ct.startsWithin("a", unhealthyVMBackoff+200*time.Millisecond), qt.IsTrue)
}

// TestRefusedTaskStartsElsewhere guards against a task that waits for the worker which refused
// it while another has room.
func TestRefusedTaskStartsElsewhere(t *testing.T) {
	ct := newCrashTest(t, 2)
	ct.add("a", oneGPU)
	order := ct.passRefused()[0]
	ct.c.Assert(ct.startsWithin("a", refusedTaskBackoff+200*time.Millisecond), qt.IsTrue)
	ct.c.Check(ct.task("a").Agent, qt.Not(qt.Equals), order.Agent)
}

// TestTaskThatIsAlwaysRefused guards against a task that keeps the only worker with room from
// all other work, because each refusal makes the worker unusable for a time.
func TestTaskThatIsAlwaysRefused(t *testing.T) {
	ct := newCrashTest(t, 2)
	ct.add("long", steps.Step{Count: 1, Needs: steps.Resources{GPUs: 8}})
	ct.pass()
	ct.add("a", oneGPU)
	refused := 0
	for end := ct.now.Add(time.Minute); ct.now.Before(end); ct.report(100 * time.Millisecond) {
		refused += len(ct.passRefused())
	}
	// Refusals at 0, 1.5, 4.5, 10.5, 22.5 and 46.5 s.
	ct.c.Check(refused, qt.Equals, 6)
}

// TestRefusalsDoNotRestartTheWait guards against a task that waits for its rack from the
// newest refused start on, so that a VM there that refuses it keeps it from other racks.
func TestRefusalsDoNotRestartTheWait(t *testing.T) {
	ct := newCrashTest(t, 4)
	ct.add("long", steps.Step{Count: 1, Needs: steps.Resources{GPUs: 8}, PreferredRack: "r0"})
	full := ct.pass()[0].Agent
	ct.add("a", steps.Step{Count: 1, Needs: steps.Resources{GPUs: 1}, PreferredRack: "r0"})
	added := ct.now
	for ct.now.Sub(added) < unhealthyVMBackoff+100*time.Millisecond {
		for _, o := range ct.passRefused() {
			ct.c.Assert(ct.scheduler.VMs[o.Agent].Rack, qt.Equals, "r0")
			ct.c.Assert(o.Agent, qt.Not(qt.Equals), full)
		}
		ct.report(100 * time.Millisecond)
	}
	// The step's estimate is 2 s, and another rack would add twice as much, of which the task
	// waits for half.
	ct.c.Assert(ct.startsWithin("a", added.Add(2100*time.Millisecond).Sub(ct.now)), qt.IsTrue)
	ct.c.Check(ct.scheduler.VMs[ct.task("a").Agent].Rack, qt.Equals, "r1")
}
