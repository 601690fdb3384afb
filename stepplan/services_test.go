package stepplan

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"celerypoint.example/celerypoint/access"
	"celerypoint.example/celerypoint/steps"
)

// TestServicesShareNoHeadroom guards against work that waits beside idle VMs of its service, because those of another service are busy.
func TestServicesShareNoHeadroom(t *testing.T) {
	for _, test := range []struct {
		name  string
		small steps.Step
		jobs  int
		want  int
	}{
		{"one task", steps.Step{Count: 1, Needs: steps.Resources{GPUs: 1}}, 1, 1},
		{"lasting task", steps.Step{Count: 1, LongRunning: true, Needs: steps.Resources{GPUs: 1}}, 1, 1},
		// The headroom of the own service stays free, and the share of a job is that of its service.
		{"headroom of the own service", steps.Step{Count: 1, Needs: steps.Resources{GPUs: 1}}, 8, 7},
		{"job share in the own service", steps.Step{Count: 8, Needs: steps.Resources{GPUs: 1}}, 1, 4},
	} {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			sc := New(Timing{LeaseDuration: 5 * time.Second, KeepStatus: time.Minute, MaxStopTime: time.Second, MaxReclaimTime: 3 * time.Second, FarFactor: 3})
			sc.Configure(access.Config{Queues: []access.Queue{
				{Name: "small", Service: "small", Priority: 1, MaxAttempts: 3, LatencyFactor: 3}, {Name: "large", Service: "large", MaxAttempts: 3, LatencyFactor: 3},
			}})
			for i := range 8 {
				service, agent := "large", fmt.Sprintf("vm%d", i)
				if i == 0 {
					service = "small"
				}
				sc.AgentAttached(agent, 1)
				sc.HandleReport(Report{Agent: agent, Session: 1, WorkerPresent: true, Worker: agent, Service: service, Rack: agent, Capacity: steps.Resources{CPU: 32000, MemMB: 64000, GPUs: 8}}, bootTime)
				sc.LeaseGranted(agent, bootTime)
			}
			for i := range 7 {
				sc.AddJob(newJob(fmt.Sprintf("large%d", i), "large", bootTime, steps.Step{Count: 1, Needs: steps.Resources{GPUs: 8}}), bootTime)
			}
			sc.Plan(bootTime)
			c.Assert(sc.TakeOutput(wallTime).Orders, qt.HasLen, 7)
			for i := range test.jobs {
				sc.AddJob(newJob(fmt.Sprintf("small%d", i), "small", bootTime, test.small), bootTime)
			}
			sc.Plan(bootTime)
			c.Check(sc.TakeOutput(wallTime).Orders, qt.HasLen, test.want)
		})
	}
}
