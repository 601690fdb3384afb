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
// again, and reservations that stay, when the planner dies between reserving
// and committing, between committing and starting, and between two starts.
func TestPlannerKilled(t *testing.T) {
	c := startCluster(t, 3, vmsIn(3))
	c.putOrg("crews", wire.Shape{})
	var calls []*call
	// Slow links stretch the attempt from some 10 ms to about half a second, so
	// that the kill comes between two of its steps. In the first round the commit
	// takes longer than the agents' announcements of the reservations.
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
		survivor := c.other(victim)
		c.disturb(victim.proxy, faultproxy.Faults{Down: slow})
		c.disturb(victim.toLog, stage.toLog)
		r := once(fmt.Sprintf("planner-%d", round), 12, 1500, 500, round)
		if round%2 == 1 {
			r = gangOf(12, 1500, 500, round)
		}
		k := c.submit(survivor, r, 0)
		c.Assert(k.err, qt.IsNil)
		calls = append(calls, k)
		deadline := time.Now().Add(5 * time.Second)
		for !stage.reached(k) && time.Now().Before(deadline) {
			time.Sleep(2 * time.Millisecond)
		}
		// The cut drops the orders that the proxy still delays.
		c.disturb(victim.proxy, faultproxy.Faults{Cut: true})
		c.disturb(victim.toLog, faultproxy.Faults{Cut: true})
		c.Logf("round %d: stage reached: %t", round, stage.reached(k))
		victim.process.kill()
		c.disturb(victim.proxy, faultproxy.Faults{})
		c.disturb(victim.toLog, faultproxy.Faults{})
		time.Sleep(time.Duration(2+c.random.IntN(3)) * time.Second)
		c.startEntry(victim)
		c.waitReady()
	}
	for i, k := range calls {
		c.await(k, 40*time.Second)
		c.Logf("job %d: %s %s", i, k.kind(), k.view.Outcome.Reason)
		if k.request.Idempotent {
			c.Check(k.kind(), qt.Equals, wire.OutcomeKindAnswer, qt.Commentf("%+v", k.view.Outcome))
		}
	}
	starts := map[string]int{}
	for _, r := range c.runs() {
		starts[r.attempt]++
	}
	c.Logf("tasks started, by attempt: %v", starts)
	c.check()
}

// reserved reports whether some agent has reserved for the job, as the timeline
// of an entry shows it.
func (c *cluster) reserved(k *call) bool {
	for _, e := range c.entries {
		var timeline wire.EventsResult
		if getJSON("http://"+e.http+"/v1/timeline", &timeline) != nil {
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

// started reports whether some task of the job started.
func (c *cluster) started(k *call) bool {
	for _, r := range c.runs() {
		if r.job == k.view.ID {
			return true
		}
	}
	return false
}

// TestAgentFrozen guards against a part that goes on beyond its lease, or
// starts again, when its agent is stopped for longer than the lease. The tasks
// run for so long that one without a lease would still run, alone, long after
// the others were stopped.
func TestAgentFrozen(t *testing.T) {
	for name, r := range map[string]wire.SubmitRequest{
		"idempotent": gangOf(16, 14_000, 100, 1), "once": once("frozen", 16, 14_000, 100, 2),
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			c := startCluster(t, 2, vmsIn(3))
			c.putOrg("crews", wire.Shape{})
			k := c.submit(c.entries[0], r, 0)
			c.awaitPhase(k, wire.JobPhaseRunning, 10*time.Second)
			frozen := c.vm(k.view.VMs[c.random.IntN(2)])
			frozen.agent.signal(syscall.SIGSTOP)
			time.Sleep(12 * time.Second)
			frozen.agent.signal(syscall.SIGCONT)
			c.await(k, 60*time.Second)
			c.Logf("%s %s", k.kind(), k.view.Outcome.Reason)
			if r.Idempotent {
				c.Check(k.kind(), qt.Equals, wire.OutcomeKindAnswer, qt.Commentf("%+v", k.view.Outcome))
			} else {
				c.Check(k.kind(), qt.Not(qt.Equals), wire.OutcomeKindNotRun)
			}
			c.check()
		})
	}
}

// TestOneWayCut guards against a gang that runs on in part when the link
// between one agent and the entries passes bytes in one direction only.
func TestOneWayCut(t *testing.T) {
	for name, f := range map[string]faultproxy.Faults{
		"orders held":        {Down: faultproxy.DirectionFaults{Block: faultproxy.BlockHold}},
		"announcements held": {Up: faultproxy.DirectionFaults{Block: faultproxy.BlockHold}},
		"replies discarded":  {Up: faultproxy.DirectionFaults{Block: faultproxy.BlockDiscard}},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			c := startCluster(t, 2, vmsIn(3))
			c.putOrg("crews", wire.Shape{})
			gang := c.submit(c.entries[0], gangOf(16, 5000, 100, 1), 0)
			c.awaitPhase(gang, wire.JobPhaseRunning, 5*time.Second)
			f.ConnectionMatch = onlyVM(gang.view.VMs[0])
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
