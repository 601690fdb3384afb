package stepplan

import (
	"fmt"
	"testing"
	"time"

	"celerypoint.example/celerypoint/access"
	"celerypoint.example/celerypoint/steps"
)

// BenchmarkPlan measures one planning pass on a full fleet: eight runs on each VM, as
// many tasks waiting, and urgent gangs that need a rack and find none free.
func BenchmarkPlan(b *testing.B) {
	for _, vms := range []int{240, 1000, 4800} {
		b.Run(fmt.Sprintf("vms=%d", vms), func(b *testing.B) {
			now := time.Unix(1000, 0)
			sc := fullFleet(vms, now)
			b.ReportAllocs()
			for b.Loop() {
				sc.Plan(now)
				sc.TakeOutput(now)
				sc.TakeStops()
			}
		})
	}
}

// fullFleet returns a scheduler whose VMs, eight to a rack, all run eight tasks of normal
// jobs, and where ten times as many tasks as VMs and four urgent gangs wait. The urgent
// gangs are not worth the runs that they would stop.
func fullFleet(vms int, now time.Time) *Scheduler {
	sc := New(Timing{LeaseDuration: 5 * time.Second, KeepStatus: time.Minute, MaxStopTime: time.Second, MaxReclaimTime: 3 * time.Second, FarFactor: 3})
	sc.Configure(access.Config{
		Queues: []access.Queue{{Name: "urgent", MaxAttempts: 3, LatencyFactor: 1.5}, {Name: "normal", Priority: 1, MaxAttempts: 3, LatencyFactor: 3}},
		Orgs:   []access.Org{{Name: "a"}},
	})
	for i := range vms {
		name := fmt.Sprintf("vm%d", i)
		sc.AgentAttached(name, i+1)
		sc.HandleReport(Report{
			Agent: name, Session: i + 1, WorkerPresent: true, Worker: name, Rack: fmt.Sprintf("r%d", i/8),
			Capacity: steps.Resources{CPU: 32000, MemMB: 64000, GPUs: 8},
		}, now)
		sc.LeaseGranted(name, now)
	}
	job := func(id, queue string, step steps.Step) {
		sc.AddJob(steps.Job{ID: id, Queue: queue, Org: "a", AcceptedAt: now, Steps: []steps.Step{step}}, now)
	}
	for i := range vms / 10 {
		job(fmt.Sprintf("running%d", i), "normal", steps.Step{Count: 80, Needs: steps.Resources{GPUs: 1}, Gang: i%2 == 0, Estimate: time.Hour})
	}
	// The runs have begun long ago, so that much work would be lost with each.
	sc.Plan(now.Add(-time.Second))
	for _, vm := range sc.VMs {
		for _, t := range vm.ActiveTasks {
			t.StartedAt = now.Add(-time.Hour)
		}
	}
	for i := range vms / 10 {
		job(fmt.Sprintf("waiting%d", i), "normal", steps.Step{Count: 100, Needs: steps.Resources{GPUs: 1}, Estimate: time.Second})
	}
	for i := range 4 {
		job(fmt.Sprintf("urgent%d", i), "urgent", steps.Step{Count: 8, Needs: steps.Resources{GPUs: 8}, Gang: true, SameRack: true, Estimate: time.Second})
	}
	sc.Plan(now)
	sc.TakeOutput(now)
	sc.TakeStops()
	return sc
}
