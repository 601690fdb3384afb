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

// gangRequest returns a request for a gang of n tasks with one accelerator
// each.
func gangRequest(n, runMs, answerBytes, seed int) wire.SubmitRequest {
	return wire.SubmitRequest{
		Org: "crews", Tasks: n, AcceleratorsPerTask: 1, Adjacency: "region", Idempotent: true, Preemptible: true,
		Payload: payload(runMs, answerBytes, seed),
	}
}

// urgentRequest returns a short request, which is not recorded in the log.
func urgentRequest(runMs, answerBytes, seed int) wire.SubmitRequest {
	return wire.SubmitRequest{
		Org: "crews", AcceleratorsPerTask: 1, Urgency: "urgent", Idempotent: true, Payload: payload(runMs, answerBytes, seed),
	}
}

// nonIdempotentRequest returns a request for a gang that may run only once.
func nonIdempotentRequest(key string, tasks, runMs, answerBytes, seed int) wire.SubmitRequest {
	r := gangRequest(tasks, runMs, answerBytes, seed)
	r.Idempotent, r.Preemptible, r.IdempotencyKey = false, false, key
	return r
}

// TestGangAndUrgent guards against processes that do not work together even
// without faults. It runs a gang of 16 accelerators on 2 VMs, and an urgent
// request while the gang runs.
func TestGangAndUrgent(t *testing.T) {
	c := startCluster(t, 2, newVMs(3))
	c.putOrg("crews", wire.Shape{})
	gang := c.submit(c.entries[0], gangRequest(16, 2000, 1000, 1), 0)
	c.awaitPhase(gang, wire.JobPhaseRunning, 5*time.Second)
	began := time.Now()
	short := c.submit(c.entries[1], urgentRequest(50, 200, 2), 10_000)
	c.await(short, 5*time.Second)
	c.Assert(short.outcomeKind(), qt.Equals, wire.OutcomeKindAnswer, qt.Commentf("%+v", short.view.Outcome))
	c.Logf("urgent request answered after %s", time.Since(began).Round(time.Millisecond))
	c.await(gang, 10*time.Second)
	c.Assert(gang.outcomeKind(), qt.Equals, wire.OutcomeKindAnswer, qt.Commentf("%+v", gang.view.Outcome))
	c.checkAll()
}

// TestPlannerKilled guards against a gang that runs in part, a job that starts
// again, and reservations that are never released, when the planner crashes
// between reserving and committing, between committing and starting, and
// between the starts of two tasks.
func TestPlannerKilled(t *testing.T) {
	c := startCluster(t, 3, newVMs(3))
	c.putOrg("crews", wire.Shape{})
	var calls []*call
	// Slow links stretch an attempt from about 10 ms to about half a second, so
	// that the kill comes between two of its steps. In the first round the append
	// of the commit record is delayed until after the agents have announced their
	// reservations.
	slow := faultproxy.DirectionFaults{DelayMs: 20, JitterMs: 150}
	lateCommit := faultproxy.Faults{Up: faultproxy.DirectionFaults{DelayMs: 800}}
	for round, stage := range []struct {
		reached func(*call) bool
		toLog   faultproxy.Faults
	}{
		{c.reserved, lateCommit}, {c.committed, faultproxy.Faults{Down: slow}}, {c.started, faultproxy.Faults{}},
		{c.started, faultproxy.Faults{}}, {c.committed, faultproxy.Faults{Down: slow}},
	} {
		victim := c.planner()
		survivor := c.otherEntry(victim)
		c.setFaults(victim.rpcProxy, faultproxy.Faults{Down: slow})
		c.setFaults(victim.logProxy, stage.toLog)
		r := nonIdempotentRequest(fmt.Sprintf("planner-%d", round), 12, 1500, 500, round)
		if round%2 == 1 {
			r = gangRequest(12, 1500, 500, round)
		}
		k := c.submit(survivor, r, 0)
		c.Assert(k.err, qt.IsNil)
		calls = append(calls, k)
		deadline := time.Now().Add(5 * time.Second)
		for !stage.reached(k) && time.Now().Before(deadline) {
			time.Sleep(2 * time.Millisecond)
		}
		// Cutting the connections drops the messages that the proxies still delay.
		c.setFaults(victim.rpcProxy, faultproxy.Faults{Cut: true})
		c.setFaults(victim.logProxy, faultproxy.Faults{Cut: true})
		c.Logf("round %d: stage reached: %t", round, stage.reached(k))
		victim.process.kill()
		c.setFaults(victim.rpcProxy, faultproxy.Faults{})
		c.setFaults(victim.logProxy, faultproxy.Faults{})
		time.Sleep(time.Duration(2+c.random.IntN(3)) * time.Second)
		c.startEntry(victim)
		c.waitReady()
	}
	for i, k := range calls {
		c.await(k, 40*time.Second)
		c.Logf("job %d: %s %s", i, k.outcomeKind(), k.view.Outcome.Reason)
		if k.request.Idempotent {
			c.Check(k.outcomeKind(), qt.Equals, wire.OutcomeKindAnswer, qt.Commentf("%+v", k.view.Outcome))
		}
	}
	starts := map[string]int{}
	for _, r := range c.runs() {
		starts[r.attempt]++
	}
	c.Logf("tasks started, by attempt: %v", starts)
	c.checkAll()
}

// reserved reports whether any entry lists the event, under /v1/timeline, that
// an agent has made a reservation for the job.
func (c *cluster) reserved(k *call) bool {
	for _, e := range c.entries {
		var timeline wire.EventsResult
		if getJSON("http://"+e.httpAddress+"/v1/timeline", &timeline) != nil {
			continue
		}
		for _, event := range timeline.Events {
			if event.Kind == "memberReserved" && event.Job == k.view.ID {
				return true
			}
		}
	}
	return false
}

// committed reports whether the log holds a commit record of the job.
func (c *cluster) committed(k *call) bool {
	for _, r := range c.jobRecords() {
		if r.Kind == wire.JobRecordKindCommit && r.JobID == k.view.ID {
			return true
		}
	}
	return false
}

// started reports whether any task of the job has started.
func (c *cluster) started(k *call) bool {
	for _, r := range c.runs() {
		if r.job == k.view.ID {
			return true
		}
	}
	return false
}

// TestAgentFrozen guards against part of a gang that continues to run after its
// lease has expired, or starts again, when the agent of one of the gang's VMs is
// suspended for longer than the lease. The tasks run for so long that a task that
// ignored its lease would still be running, alone, long after the others were
// stopped.
func TestAgentFrozen(t *testing.T) {
	for name, r := range map[string]wire.SubmitRequest{
		"idempotent": gangRequest(16, 14_000, 100, 1), "non-idempotent": nonIdempotentRequest("frozen", 16, 14_000, 100, 2),
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			c := startCluster(t, 2, newVMs(3))
			c.putOrg("crews", wire.Shape{})
			k := c.submit(c.entries[0], r, 0)
			c.awaitPhase(k, wire.JobPhaseRunning, 10*time.Second)
			frozen := c.vm(k.view.VMs[c.random.IntN(2)])
			frozen.agentProcess.signal(syscall.SIGSTOP)
			time.Sleep(12 * time.Second)
			frozen.agentProcess.signal(syscall.SIGCONT)
			c.await(k, 60*time.Second)
			c.Logf("%s %s", k.outcomeKind(), k.view.Outcome.Reason)
			if r.Idempotent {
				c.Check(k.outcomeKind(), qt.Equals, wire.OutcomeKindAnswer, qt.Commentf("%+v", k.view.Outcome))
			} else {
				c.Check(k.outcomeKind(), qt.Not(qt.Equals), wire.OutcomeKindNotRun)
			}
			c.checkAll()
		})
	}
}

// TestOneWayPartition guards against a gang of which only a part continues to
// run when the link between one agent and the entries passes bytes in one
// direction only.
func TestOneWayPartition(t *testing.T) {
	for name, f := range map[string]faultproxy.Faults{
		"orders held":        {Down: faultproxy.DirectionFaults{Block: faultproxy.BlockHold}},
		"announcements held": {Up: faultproxy.DirectionFaults{Block: faultproxy.BlockHold}},
		"replies discarded":  {Up: faultproxy.DirectionFaults{Block: faultproxy.BlockDiscard}},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			c := startCluster(t, 2, newVMs(3))
			c.putOrg("crews", wire.Shape{})
			gang := c.submit(c.entries[0], gangRequest(16, 5000, 100, 1), 0)
			c.awaitPhase(gang, wire.JobPhaseRunning, 5*time.Second)
			f.ConnectionMatch = connectionsOfVM(gang.view.VMs[0])
			for _, e := range c.entries {
				c.setFaults(e.rpcProxy, f)
			}
			time.Sleep(9 * time.Second)
			for _, e := range c.entries {
				c.setFaults(e.rpcProxy, faultproxy.Faults{})
			}
			c.await(gang, 40*time.Second)
			c.Check(gang.outcomeKind(), qt.Equals, wire.OutcomeKindAnswer, qt.Commentf("%+v", gang.view.Outcome))
			c.checkAll()
		})
	}
}
