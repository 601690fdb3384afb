package stepentry

import (
	"fmt"
	"io"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"celerypoint.example/celerypoint/access"
	"celerypoint.example/celerypoint/codec"
	"celerypoint.example/celerypoint/counters"
	"celerypoint.example/celerypoint/eventlog"
	"celerypoint.example/celerypoint/platform"
	"celerypoint.example/celerypoint/recordlog"
	"celerypoint.example/celerypoint/rpc"
	"celerypoint.example/celerypoint/standinstore"
	"celerypoint.example/celerypoint/stepfold"
	"celerypoint.example/celerypoint/stepplan"
	"celerypoint.example/celerypoint/steps"
	"celerypoint.example/celerypoint/wire"
)

func stored(c *qt.C, offset int64, r stepfold.Record) recordlog.StoredRecord {
	record, err := codec.EncodeStepRecord(r)
	c.Assert(err, qt.IsNil)
	return recordlog.StoredRecord{Offset: offset, Record: record}
}

// Guards against running a cancelled job. Each entry notifies the planner over
// its own connection, so a cancellation can arrive before the acceptance of the
// same job.
func TestCancelledBeforeAccepted(t *testing.T) {
	c := qt.New(t)
	d := &Daemon{counters: counters.New(), records: recordTable{state: stepfold.New()}}
	d.planner.scheduler = stepplan.New(stepplan.Timing{})
	d.planner.passRequested = make(chan struct{}, 1)
	job := steps.Job{ID: "00000000000000a1", Steps: []steps.Step{{Count: 1}}}
	d.applyOutOfOrder(stored(c, 6, stepfold.Cancelled{ID: job.ID}))
	d.applyRecords([]recordlog.StoredRecord{stored(c, 5, stepfold.Accepted{Job: job}), stored(c, 6, stepfold.Cancelled{ID: job.ID})})
	c.Assert(d.planner.scheduler.Jobs[job.ID], qt.IsNotNil)
	c.Check(d.planner.scheduler.Jobs[job.ID].Phase, qt.Equals, stepfold.PhaseCancelled)
}

// TestConfirmConfig guards against keys that are accepted after their removal because a
// peer that has not read the removal either confirms the configuration, or because a pong
// that was under way for long counts from its arrival.
func TestConfirmConfig(t *testing.T) {
	sent := time.Unix(1000, 0)
	read := sent.Add(-3 * time.Second)
	for _, test := range []struct {
		name  string
		known bool
		pong  wire.PlannerPong
		want  time.Time
	}{
		{"same version", true, wire.PlannerPong{ConfigVersion: 7, ConfigAgeMs: 500}, sent.Add(-500 * time.Millisecond)},
		{"older version", true, wire.PlannerPong{ConfigVersion: 5, ConfigAgeMs: 500}, sent.Add(-500 * time.Millisecond)},
		{"newer version", true, wire.PlannerPong{ConfigVersion: 8, ConfigAgeMs: 500}, read},
		{"older than the own read", true, wire.PlannerPong{ConfigVersion: 7, ConfigAgeMs: 4000}, read},
		{"peer without configuration", true, wire.PlannerPong{}, read},
		{"no configuration", false, wire.PlannerPong{ConfigVersion: 7, ConfigAgeMs: 500}, read},
	} {
		t.Run(test.name, func(t *testing.T) {
			d := &Daemon{
				counters: counters.New(), log: eventlog.New(io.Discard, "e", nil),
				config: configTable{known: test.known, current: access.Config{Version: 7}, currentAsOf: read},
			}
			defer d.log.Close()
			d.confirmConfig(test.pong, sent)
			qt.Assert(t, d.config.currentAsOf, qt.Equals, test.want)
		})
	}
}

// TestDialOrder guards against a planner that dials hundreds of agents at once and gives
// none enough time, against runs whose leases expire while idle VMs are attached first,
// and against dialling an agent that refuses without a pause.
func TestDialOrder(t *testing.T) {
	c := qt.New(t)
	now := time.Unix(1000, 0)
	links, vms := map[string]*agentLink{}, map[string]*stepplan.VM{}
	for i := range 200 {
		links[fmt.Sprintf("vm%03d", i)] = &agentLink{}
	}
	links["vm000"].dialedAt = now.Add(-attachInterval / 2)
	links["vm001"].conn = &rpc.Conn{}
	links["vm002"].dialing = true
	vms["vm150"] = &stepplan.VM{ActiveTasks: map[steps.TaskID]*stepplan.Task{{}: {}}}
	order := dialOrder(links, vms, now)
	c.Assert(order, qt.HasLen, maxDialing-1)
	c.Assert(order[:2], qt.DeepEquals, []string{"vm150", "vm003"})
}

// TestClaimHandicap guards against a planner on a VM that is too small for it while a
// larger one could plan.
func TestClaimHandicap(t *testing.T) {
	for share, want := range map[float64]time.Duration{0: 0, 0.8: 0, 0.4: 0, 0.32: 62500 * time.Microsecond, 0.2: maxClaimHandicap, 0.05: maxClaimHandicap} {
		qt.Check(t, claimHandicap(share).Round(time.Microsecond), qt.Equals, want, qt.Commentf("share %g", share))
	}
}

// TestDialPause guards against VMs that have left for good and take the planner's time, and
// against an agent that is dialled late after its session has ended.
func TestDialPause(t *testing.T) {
	now := time.Unix(1000, 0)
	for _, test := range []struct {
		link agentLink
		want time.Duration
	}{
		{agentLink{}, attachInterval},
		{agentLink{dialedAt: now}, attachInterval},
		{agentLink{dialedAt: now, unreachableSince: now.Add(-19 * time.Second)}, attachInterval},
		{agentLink{dialedAt: now, unreachableSince: now.Add(-21 * time.Second)}, time.Second},
		{agentLink{dialedAt: now, unreachableSince: now.Add(-3 * time.Minute)}, 15 * time.Second},
	} {
		qt.Check(t, test.link.dialPause(), qt.Equals, test.want, qt.Commentf("%+v", test.link))
	}
}

// TestEvacuationDeletedWhileAway guards against a zone that stays evacuated for good: its
// record was deleted while this entry could not read, and the tombstone has expired.
func TestEvacuationDeletedWhileAway(t *testing.T) {
	c := qt.New(t)
	store, err := standinstore.New("127.0.0.1:0")
	c.Assert(err, qt.IsNil)
	defer store.Close()
	store.Put("keyed.op", "evacuate/a", []byte("{}"))
	store.Put("keyed.op", "evacuate/b", []byte("{}"))
	d, err := New(Config{
		Name: "e", Listen: "127.0.0.1:0", Topic: "t", ConfigTopic: platform.TopicConfiguration, Log: platform.NewStore(store.Address()),
		DecodeOperator: platform.DecodeOperatorRecord,
	})
	c.Assert(err, qt.IsNil)
	defer d.Kill()
	evacuated := func() int {
		d.config.mu.Lock()
		defer d.config.mu.Unlock()
		return len(d.config.evacuatedZones())
	}
	await := func(n int) {
		for deadline := time.Now().Add(10 * time.Second); evacuated() != n; time.Sleep(5 * time.Millisecond) {
			c.Assert(time.Now().Before(deadline), qt.IsTrue, qt.Commentf("%d zones are evacuated, want %d", evacuated(), n))
		}
	}
	await(2)
	store.SetFaults(standinstore.Faults{Down: true})
	store.Put("keyed.op", "evacuate/a", nil)
	store.Compact("keyed.op")
	store.SetFaults(standinstore.Faults{})
	await(1)
}
