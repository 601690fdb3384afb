package stepplan

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"celerypoint.example/celerypoint/access"
	"celerypoint.example/celerypoint/steps"
	"celerypoint.example/celerypoint/worker"
)

// reportProgress makes each agent report that its active runs are at the given progress.
func (sc *Scheduler) reportProgress(progress int, version int, now time.Time) {
	for _, vm := range sc.VMs {
		r := Report{Agent: vm.Agent, Session: vm.Session, Version: version, WorkerPresent: true, Worker: vm.Worker, Rack: vm.Rack, Capacity: vm.Capacity}
		for _, t := range sc.activeTasksOn(vm) {
			r.Running = append(r.Running, RunningTask{Running: worker.Running{Run: worker.Run{Task: t.ID.String(), Number: t.Run}, Progress: progress}})
		}
		sc.HandleReport(r, now)
		sc.LeaseGranted(vm.Agent, now)
	}
}

// TestDisruptionBudget guards against urgent work that stops more tasks of a long-running step
// at the same time than may be unavailable, and against urgent work that waits although runs
// may be stopped for it.
func TestDisruptionBudget(t *testing.T) {
	for _, test := range []struct {
		limit int
		// urgent is the number of VMs that the urgent job needs. One is free.
		urgent int
		// progress is that of the long-running tasks, which are at work at 100.
		progress, stops int
	}{
		{0, 4, 100, 3},
		{1, 1, 100, 0},
		{1, 2, 100, 1},
		{1, 3, 100, 0},
		{2, 3, 100, 2},
		{2, 4, 100, 0},
		// Tasks that are not at work yet are unavailable anyway.
		{1, 3, 40, 2},
	} {
		t.Run(fmt.Sprintf("%+v", test), func(t *testing.T) {
			c := qt.New(t)
			now := time.Unix(1000, 0)
			sc := newCluster(5, now)
			sc.Configure(access.Config{
				Queues: []access.Queue{{Name: "urgent", MaxAttempts: 3, LatencyFactor: 1.5}, {Name: "normal", Priority: 1, MaxAttempts: 3, LatencyFactor: 3}},
				Orgs:   []access.Org{{Name: "a"}, {Name: "b", Guaranteed: steps.Resources{CPU: 160000, MemMB: 320000, GPUs: 40}}},
			})
			sc.AddJob(newJob("lasting", "normal", now, steps.Step{Count: 4, Needs: steps.Resources{GPUs: 8}, LongRunning: true, MaxUnavailable: test.limit}), now)
			for i := range 8 {
				now = now.Add(time.Second)
				sc.Plan(now)
				for _, o := range sc.TakeOutput(wallTime).Orders {
					if start, ok := o.(StartOrder); ok {
						sc.StartAnswered(start, i, true)
					}
				}
				sc.reportProgress(test.progress, i+1, now)
			}
			c.Assert(sc.runsOf("lasting"), qt.Equals, 4)
			urgent := newJob("urgent", "urgent", now, steps.Step{Count: test.urgent, Needs: steps.Resources{GPUs: 8}, Gang: true})
			urgent.Org = "b"
			sc.AddJob(urgent, now)
			sc.Plan(now)
			c.Check(sc.TakeStops(), qt.HasLen, test.stops)
			sc.Plan(now.Add(100 * time.Millisecond))
			c.Check(sc.TakeStops(), qt.HasLen, 0)
		})
	}
}

func (sc *Scheduler) runsOf(job string) int {
	n := 0
	for _, at := range sc.runsPerRack(job) {
		n += at
	}
	return n
}
