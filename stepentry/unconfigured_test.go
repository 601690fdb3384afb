package stepentry

import (
	"context"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"celerypoint.example/celerypoint/boottime"
	"celerypoint.example/celerypoint/codec"
	"celerypoint.example/celerypoint/platform"
	"celerypoint.example/celerypoint/recordlog"
	"celerypoint.example/celerypoint/standinstore"
	"celerypoint.example/celerypoint/stepfold"
	"celerypoint.example/celerypoint/stepplan"
	"celerypoint.example/celerypoint/steps"
)

// TestUnconfiguredPlannerStartsNothing guards against a planner that places tasks by what
// it assumes of the queues before it has read a configuration.
func TestUnconfiguredPlannerStartsNothing(t *testing.T) {
	c := qt.New(t)
	store, err := standinstore.New("127.0.0.1:0")
	c.Assert(err, qt.IsNil)
	defer store.Close()
	log := platform.NewStore(store.Address())
	job := steps.Job{
		ID: "00000000000000a1", Queue: "q", QueuePolicy: &steps.QueuePolicy{Service: "old", MaxAttempts: 1, LatencyFactor: 1}, AcceptedAt: time.Now(),
		Steps: []steps.Step{{Count: 1, Needs: steps.Resources{CPU: 1}, Estimate: time.Second}},
	}
	record, err := codec.EncodeStepRecord(stepfold.Accepted{Job: job})
	c.Assert(err, qt.IsNil)
	_, err = recordlog.AppendWithRetry(context.Background(), log, "t", nil, []recordlog.Record{record})
	c.Assert(err, qt.IsNil)
	d, err := New(Config{
		Name: "e", Listen: "127.0.0.1:0", Topic: "t", ConfigTopic: platform.TopicConfiguration, Log: log,
		DecodeOperator: platform.DecodeOperatorRecord, Timing: stepplan.Timing{LeaseDuration: time.Second, MaxReclaimTime: time.Second}, KeyGrace: time.Second,
	})
	c.Assert(err, qt.IsNil)
	defer d.Kill()
	// lastRunOn returns the newest run of the job's task and its agent, after a report of each VM.
	lastRunOn := func() (run int, agent string) {
		d.planner.mu.Lock()
		defer d.planner.mu.Unlock()
		sc := d.planner.scheduler
		if sc == nil || sc.Jobs[job.ID] == nil {
			return 0, ""
		}
		now := boottime.Now()
		for i, service := range []string{"old", "new"} {
			if vm := sc.VMs[service]; vm == nil || !vm.Attached {
				sc.AgentAttached(service, i+1)
			}
			sc.HandleReport(stepplan.Report{
				Agent: service, Session: i + 1, WorkerPresent: true, Worker: service, Service: service, Capacity: steps.Resources{CPU: 1000, MemMB: 1000},
			}, now)
			sc.LeaseGranted(service, now)
		}
		sc.Plan(now)
		task := sc.Jobs[job.ID].Occurrences[0][0].Tasks[0]
		return task.Run, task.Agent
	}
	reports := 0
	for deadline := time.Now().Add(5 * time.Second); reports < 20 && time.Now().Before(deadline); time.Sleep(10 * time.Millisecond) {
		run, agent := lastRunOn()
		c.Assert(run, qt.Equals, 0, qt.Commentf("started on %q", agent))
		if d.isPlanner() {
			reports++
		}
	}
	c.Assert(reports, qt.Equals, 20)
	store.Put("keyed.op", "config", []byte(`{"version":1,"routes":[{"name":"q","path_prefix":"/q/","service":"new","max_attempts":1}],"tenants":[]}`))
	run, agent := 0, ""
	for deadline := time.Now().Add(5 * time.Second); run == 0 && time.Now().Before(deadline); time.Sleep(10 * time.Millisecond) {
		run, agent = lastRunOn()
	}
	c.Assert([]any{run, agent}, qt.DeepEquals, []any{1, "new"})
}
