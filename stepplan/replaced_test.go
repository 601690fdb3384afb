package stepplan

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"celerypoint.example/celerypoint/access"
	"celerypoint.example/celerypoint/stepfold"
	"celerypoint.example/celerypoint/steps"
)

// TestRunsOfReplacedVMWaitForTheirLease guards against a run that starts elsewhere because an
// agent of the same name reports from another VM, while its own VM is only cut off.
func TestRunsOfReplacedVMWaitForTheirLease(t *testing.T) {
	for _, test := range []struct {
		name    string
		restore bool
	}{{"samePlanner", false}, {"nextPlanner", true}} {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			now := time.Unix(1000, 0)
			newScheduler := func() *Scheduler {
				sc := New(Timing{LeaseDuration: 5 * time.Second, KeepStatus: time.Minute})
				sc.Configure(access.Config{Queues: []access.Queue{{Name: "q", Service: "s", MaxAttempts: 3, LatencyFactor: 3}}})
				return sc
			}
			sc := newScheduler()
			session := 0
			report := func(worker string) {
				session++
				sc.AgentAttached("vm", session)
				sc.HandleReport(Report{Agent: "vm", Session: session, WorkerPresent: true, Worker: worker, Service: "s", Capacity: steps.Resources{CPU: 8, MemMB: 8, GPUs: 8}}, now)
				sc.LeaseGranted("vm", now)
			}
			starts := func() int {
				sc.ExpireLeases(now)
				sc.Plan(now)
				n := 0
				for _, o := range sc.TakeOutput(now).Orders {
					if _, isStart := o.(StartOrder); isStart {
						n++
					}
				}
				return n
			}
			job := steps.Job{ID: "0000000000000001", Queue: "q", Steps: []steps.Step{{Count: 1, Needs: steps.Resources{CPU: 1, MemMB: 1, GPUs: 1}, Estimate: time.Minute}}}
			report("i/1@10.0.0.1:7000")
			sc.AddJob(job, now)
			c.Assert(starts(), qt.Equals, 1)
			until := sc.VMs["vm"].LeaseUntil
			if test.restore {
				progress := sc.Jobs[job.ID].storedProgress(now)
				sc = newScheduler()
				sc.EarlierLeasesUntil = until
				sc.RestoreJob(stepfold.JobState{Job: &job, Progress: progress}, now, now)
			}
			for now.Before(until) {
				report("j/2@10.0.0.2:7000")
				c.Assert(starts(), qt.Equals, 0, qt.Commentf("%v before the lease of the replaced VM ends", until.Sub(now)))
				now = now.Add(500 * time.Millisecond)
			}
			now = now.Add(500 * time.Millisecond)
			report("j/2@10.0.0.2:7000")
			c.Check(starts(), qt.Equals, 1)
			c.Check(sc.VMs, qt.HasLen, 1)
		})
	}
}
