package proof

import (
	"fmt"
	"syscall"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"celerypoint.example/celerypoint/faultproxy"
	"celerypoint.example/celerypoint/wire"
)

// gangOf is a gang of n tasks with one accelerator each.
func gangOf(n, runMs, answerBytes, seed int) wire.SubmitRequest {
	return wire.SubmitRequest{
		Org: "crews", Tasks: n, AcceleratorsPerTask: 1, Adjacency: "region", Idempotent: true, Preemptible: true,
		Payload: payload(runMs, answerBytes, seed),
	}
}

// urgent is a short request that the log does not see.
func urgent(runMs, answerBytes, seed int) wire.SubmitRequest {
	return wire.SubmitRequest{
		Org: "crews", AcceleratorsPerTask: 1, Urgency: "urgent", Idempotent: true, Payload: payload(runMs, answerBytes, seed),
	}
}

// once is a request that may run only once.
func once(key string, tasks, runMs, answerBytes, seed int) wire.SubmitRequest {
	r := gangOf(tasks, runMs, answerBytes, seed)
	r.Idempotent, r.Preemptible, r.IdempotencyKey = false, false, key
	return r
}

// TestGangAndUrgent guards against processes that do not work together at all:
// a gang of 16 accelerators on 2 VMs, and an urgent request while it runs.
func TestGangAndUrgent(t *testing.T) {
	c := startCluster(t, 2, vmsIn(3))
	c.putOrg("crews", wire.Shape{})
	gang := c.submit(c.entries[0], gangOf(16, 2000, 1000, 1), 0)
	c.awaitPhase(gang, wire.JobPhaseRunning, 5*time.Second)
	began := time.Now()
	short := c.submit(c.entries[1], urgent(50, 200, 2), 10_000)
	c.await(short, 5*time.Second)
	c.Assert(short.kind(), qt.Equals, wire.OutcomeKindAnswer, qt.Commentf("%+v", short.view.Outcome))
	c.Logf("urgent request answered after %s", time.Since(began).Round(time.Millisecond))
	c.await(gang, 10*time.Second)
	c.Assert(gang.kind(), qt.Equals, wire.OutcomeKindAnswer, qt.Commentf("%+v", gang.view.Outcome))
	c.check()
}

// TestPlannerKilled guards against a gang that runs in part, a job that starts
// again, and reservations that stay, when the planner dies at any point
// between reserving and starting.
func TestPlannerKilled(t *testing.T) {
	c := startCluster(t, 3, vmsIn(3))
	c.putOrg("crews", wire.Shape{})
	var calls []*call
	for round := range 3 {
		victim := c.planner()
		survivor := c.other(victim)
		calls = append(calls,
			c.submit(survivor, gangOf(12, 1500, 500, round), 0),
			c.submit(survivor, once(fmt.Sprintf("planner-%d", round), 12, 1500, 500, round), 0))
		// An attempt takes some 10 ms from the reservation to the start.
		time.Sleep(time.Duration(c.random.IntN(60)) * time.Millisecond)
		victim.process.kill()
		time.Sleep(time.Duration(2+c.random.IntN(3)) * time.Second)
		c.startEntry(victim)
		c.waitReady()
	}
	for i, k := range calls {
		c.await(k, 40*time.Second)
		c.Logf("job %d: %s %+v", i, k.kind(), k.view.Outcome.Reason)
		if k.request.Idempotent {
			c.Check(k.kind(), qt.Equals, wire.OutcomeKindAnswer, qt.Commentf("%+v", k.view.Outcome))
		}
	}
	c.check()
}

// TestAgentFrozen guards against a part that goes on beyond its lease, or
// starts again, when its agent is stopped for longer than the lease.
func TestAgentFrozen(t *testing.T) {
	c := startCluster(t, 2, vmsIn(3))
	c.putOrg("crews", wire.Shape{})
	gang := c.submit(c.entries[0], gangOf(16, 6000, 100, 1), 0)
	single := c.submit(c.entries[1], once("frozen", 8, 6000, 100, 2), 0)
	c.awaitPhase(gang, wire.JobPhaseRunning, 5*time.Second)
	c.awaitPhase(single, wire.JobPhaseRunning, 10*time.Second)
	frozen := c.vm(single.view.VMs[0])
	frozen.agent.signal(syscall.SIGSTOP)
	time.Sleep(7 * time.Second)
	frozen.agent.signal(syscall.SIGCONT)
	c.await(gang, 40*time.Second)
	c.await(single, 40*time.Second)
	c.Logf("gang: %+v; not idempotent: %+v", gang.kind(), single.view.Outcome)
	c.Check(gang.kind(), qt.Equals, wire.OutcomeKindAnswer)
	c.check()
}

// TestOneWayCut guards against a gang that runs on in part when the link
// between one agent and the entries passes bytes in one direction only.
func TestOneWayCut(t *testing.T) {
	for name, f := range map[string]faultproxy.Faults{
		"orders held":        {Down: faultproxy.Lane{Block: faultproxy.BlockHold}},
		"announcements held": {Up: faultproxy.Lane{Block: faultproxy.BlockHold}},
		"replies discarded":  {Up: faultproxy.Lane{Block: faultproxy.BlockDiscard}},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			c := startCluster(t, 2, vmsIn(3))
			c.putOrg("crews", wire.Shape{})
			gang := c.submit(c.entries[0], gangOf(16, 5000, 100, 1), 0)
			c.awaitPhase(gang, wire.JobPhaseRunning, 5*time.Second)
			f.Only = onlyVM(gang.view.VMs[0])
			for _, e := range c.entries {
				c.disturb(e.proxy, f)
			}
			time.Sleep(9 * time.Second)
			for _, e := range c.entries {
				c.disturb(e.proxy, faultproxy.Faults{})
			}
			c.await(gang, 40*time.Second)
			c.Check(gang.kind(), qt.Equals, wire.OutcomeKindAnswer, qt.Commentf("%+v", gang.view.Outcome))
			c.check()
		})
	}
}
