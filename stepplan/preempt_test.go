package stepplan

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"celerypoint.example/celerypoint/access"
	"celerypoint.example/celerypoint/steps"
)

// TestEvictionsAreNecessary guards against stopping a run whose room an urgent task does not need.
func TestEvictionsAreNecessary(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		sc := New(Timing{LeaseDuration: 5 * time.Second, KeepStatus: time.Minute, MaxStopTime: time.Second, MaxReclaimTime: 3 * time.Second, FarFactor: 3})
		sc.Configure(access.Config{
			Queues: []access.Queue{{Name: "urgent", MaxAttempts: 3, LatencyFactor: 1.5}, {Name: "normal", Priority: 2, MaxAttempts: 3, LatencyFactor: 3}},
			Orgs:   []access.Org{{Name: "a"}},
		})
		now := bootTime
		sc.AgentAttached("vm", 1)
		capacity := steps.Resources{CPU: 32000, MemMB: 64000, GPUs: 8}
		sc.HandleReport(Report{Agent: "vm", Session: 1, WorkerPresent: true, Worker: "vm", Rack: "r", Capacity: capacity}, now)
		sc.LeaseGranted("vm", now)
		needs := rapid.Custom(func(t *rapid.T) steps.Resources {
			return steps.Resources{GPUs: rapid.IntRange(0, 4).Draw(t, "gpus"), CPU: 1000 * rapid.IntRange(1, 16).Draw(t, "cpu")}
		})
		add := func(id, queue string, n steps.Resources, estimate time.Duration) {
			sc.AddJob(steps.Job{ID: id, Queue: queue, Org: "a", AcceptedAt: now, Steps: []steps.Step{{Count: 1, Needs: n, Estimate: estimate}}}, now)
		}
		for i := range rapid.IntRange(1, 8).Draw(rt, "runs") {
			// The headroom is left free only for work that has time to wait.
			add(fmt.Sprintf("%016x", i+1), "normal", needs.Draw(rt, "needs"), 0)
			now = now.Add(rapid.SampledFrom([]time.Duration{100 * time.Millisecond, time.Second}).Draw(rt, "later"))
			sc.HandleReport(Report{Agent: "vm", Session: 1, WorkerPresent: true, Worker: "vm", Rack: "r", Capacity: capacity}, now)
			sc.LeaseGranted("vm", now)
			sc.Plan(now)
		}
		sc.TakeOutput(now)
		need := needs.Draw(rt, "urgent")
		add("00000000000000ff", "urgent", need, time.Hour)
		sc.Plan(now)
		free, stopped := capacity, []steps.Resources{}
		for _, task := range sc.VMs["vm"].ActiveTasks {
			if task.StopRequestedAt.IsZero() {
				free = free.Minus(task.needs)
			} else {
				stopped = append(stopped, task.needs)
			}
		}
		if len(stopped) > 0 && !free.Holds(need) {
			rt.Fatalf("%+v is free for %+v after the stops", free, need)
		}
		for _, n := range stopped {
			if free.Minus(n).Holds(need) {
				rt.Fatalf("a run with %+v is stopped, %+v is free after the stops for %+v", n, free, need)
			}
		}
	})
}
