package stepplan

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"celerypoint.example/celerypoint/lease"
	"celerypoint.example/celerypoint/stepfold"
	"celerypoint.example/celerypoint/steps"
	"celerypoint.example/celerypoint/worker"
)

// TestRunsOfEarlierTermEndWithTheirLeases guards against runs of a lost worker that each new planner waits for anew, and against runs that start elsewhere while an earlier planner can keep them active.
func TestRunsOfEarlierTermEndWithTheirLeases(t *testing.T) {
	const agent, incarnation = "vm", "i/1@10.0.0.1:7000"
	expired := lease.ExpiresBy(bootTime, 5*time.Second).Sub(bootTime)
	for _, test := range []struct {
		name   string
		report *Report
		want   bool
	}{
		{"lost worker, leases expired", &Report{WorkerPresent: true, Worker: incarnation, Unreachable: true, LeaseAge: expired}, true},
		{"lost worker, a lease may last", &Report{WorkerPresent: true, Worker: incarnation, Unreachable: true, LeaseAge: expired - time.Millisecond}, false},
		{"lost worker, agent that does not tell the age", &Report{WorkerPresent: true, Worker: incarnation, Unreachable: true}, false},
		{"agent restarted, leases expired", &Report{VM: "10.0.0.1:7000", LeaseAge: expired}, true},
		{"agent restarted, a lease may last", &Report{VM: "10.0.0.1:7000", LeaseAge: expired - time.Millisecond}, false},
		{"agent of another VM, without a worker", &Report{VM: "10.0.0.2:7000", LeaseAge: time.Hour}, false},
		{"agent of another VM, lost worker", &Report{WorkerPresent: true, Worker: "i/1@10.0.0.2:7000", Unreachable: true, LeaseAge: time.Hour}, false},
		{"agent without a session", nil, false},
	} {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			sc := newCluster(0, bootTime)
			job := newJob("a", "normal", bootTime, oneGPU)
			progress := stepfold.Progress{Phase: stepfold.PhaseRunning, Begun: true, Tasks: map[steps.TaskID]stepfold.TaskProgress{{}: {Run: 1, Agent: agent, Worker: incarnation}}}
			until := lease.EarlierTermsExpireBy(bootTime, 5*time.Second)
			sc.EarlierLeasesUntil = until
			sc.RestoreJob(stepfold.JobState{Job: &job, Progress: progress}, wallTime, bootTime)
			task := sc.Jobs["a"].Occurrences[0][0].Tasks[0]
			now := bootTime.Add(time.Second)
			if test.report != nil {
				sc.AgentAttached(agent, 1)
				r := *test.report
				r.Agent, r.Session, r.Version, r.Unhealthy = agent, 1, 1, r.Unreachable
				if r.Worker == incarnation {
					r.Running = []RunningTask{{Running: worker.Running{Run: worker.Run{Task: task.ID.String(), Number: 1}}}}
				}
				sc.HandleReport(r, now)
			}
			c.Check(task.Active, qt.Equals, !test.want)
			sc.ExpireLeases(until.Add(-time.Millisecond))
			c.Check(task.Active, qt.Equals, !test.want)
			sc.ExpireLeases(until)
			c.Check(task.Active, qt.IsFalse)
		})
	}
}

// TestUnansweredStartOutlivesLeases guards against a task that starts elsewhere while its agent may still start it under the next lease.
func TestUnansweredStartOutlivesLeases(t *testing.T) {
	c := qt.New(t)
	ct := newCrashTest(t, 1)
	ct.add("a", oneGPU)
	ct.scheduler.Plan(ct.now)
	order := ct.scheduler.TakeOutput(wallTime).Orders[0].(StartOrder)
	report := Report{Agent: "vm0", Session: 1, Version: 1, WorkerPresent: true, Worker: ct.worker("vm0"), Unhealthy: true, Unreachable: true, LeaseAge: time.Minute}
	ct.scheduler.HandleReport(report, ct.now)
	c.Assert(ct.task("a").Active, qt.IsTrue)
	ct.scheduler.StartAnswered(order, 2, false)
	report.Version, report.Running = 2, []RunningTask{{Running: worker.Running{Run: worker.Run{Task: order.Task.String(), Number: order.Run}}, StartUnconfirmed: true}}
	ct.scheduler.HandleReport(report, ct.now)
	c.Check(ct.task("a").Active, qt.IsFalse)
}

// TestRunOfThisTermWaitsForEarlierLeases guards against a second run while an earlier planner extends the lease of the first one through an agent that has restarted.
func TestRunOfThisTermWaitsForEarlierLeases(t *testing.T) {
	c := qt.New(t)
	ct := newCrashTest(t, 1)
	until := lease.EarlierTermsExpireBy(ct.now, 5*time.Second)
	ct.scheduler.EarlierLeasesUntil = until
	ct.add("a", oneGPU)
	c.Assert(ct.pass(), qt.HasLen, 1)
	ct.scheduler.AgentDetached("vm0", 1)
	ct.scheduler.ExpireLeases(until.Add(-time.Millisecond))
	c.Check(ct.task("a").Active, qt.IsTrue)
	ct.scheduler.ExpireLeases(until)
	c.Check(ct.task("a").Active, qt.IsFalse)
}
