package stepplan

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"celerypoint.example/celerypoint/access"
	"celerypoint.example/celerypoint/stepfold"
	"celerypoint.example/celerypoint/steps"
	"celerypoint.example/celerypoint/worker"
)

// The boot-time clock and the wall clock have different origins.
var (
	bootTime = time.Unix(5000, 0)
	wallTime = time.Unix(1_800_000_000, 0)
)

// TestRestoredJobIsPruned guards against ended jobs that are kept for good after a
// change of planner, because the wall-clock time of their end is compared with the
// boot-time clock. It also guards against dropping the status of a job too early when
// the clock of the former planner's VM is ahead.
func TestRestoredJobIsPruned(t *testing.T) {
	for _, test := range []struct {
		name    string
		endedAt time.Time
		after   time.Duration
		want    []string
	}{
		{"just before the end of the time", wallTime.Add(-maxClockError - time.Minute), 59 * time.Second, nil},
		{"after the time", wallTime.Add(-maxClockError - time.Minute), time.Minute, []string{"a"}},
		{"within the error of the clocks", wallTime.Add(-time.Minute), 119 * time.Second, nil},
		{"within the error of the clocks, after the time", wallTime.Add(-time.Minute), 2 * time.Minute, []string{"a"}},
		{"clock ahead", wallTime.Add(time.Hour), 119 * time.Second, nil},
		{"clock ahead, after the time", wallTime.Add(time.Hour), 2 * time.Minute, []string{"a"}},
	} {
		t.Run(test.name, func(t *testing.T) {
			sc := New(Timing{KeepStatus: 2 * time.Minute})
			job := steps.Job{ID: "a", Steps: []steps.Step{{Count: 1}}}
			progress := stepfold.Progress{Phase: stepfold.PhaseCompleted, EndedAt: test.endedAt}
			sc.RestoreJob(stepfold.JobState{Job: &job, Progress: progress}, wallTime, bootTime)
			sc.PruneJobs(bootTime.Add(test.after))
			qt.Assert(t, sc.TakeOutput(wallTime).PrunedJobs, qt.DeepEquals, test.want)
		})
	}
}

// TestStopAcrossSessions guards against a run that goes on because the order to stop it
// was lost with the session: its gang has lost a member, and nothing else would stop it.
func TestStopAcrossSessions(t *testing.T) {
	c := qt.New(t)
	sc := New(Timing{LeaseDuration: 5 * time.Second, MaxReclaimTime: 3 * time.Second})
	sc.Configure(access.Config{Queues: []access.Queue{{Name: "q", Priority: 1, MaxAttempts: 3, LatencyFactor: 3}}})
	now := bootTime
	report := func(agent string, session int, running ...RunningTask) {
		sc.LeaseGranted(agent, now)
		sc.HandleReport(Report{
			Agent: agent, Session: session, Version: session, WorkerPresent: true, Worker: agent + "/1", Capacity: steps.Resources{CPU: 1000, MemMB: 1000, GPUs: 1}, Running: running,
		}, now)
	}
	for _, agent := range []string{"v1", "v2"} {
		sc.AgentAttached(agent, 1)
		report(agent, 1)
	}
	sc.AddJob(steps.Job{ID: "g", Queue: "q", Steps: []steps.Step{{Count: 2, Gang: true, Needs: steps.Resources{GPUs: 1}, Estimate: time.Minute}}}, now)
	sc.Plan(now)
	for _, o := range sc.TakeOutput(wallTime).Orders {
		sc.StartAnswered(o.(StartOrder), 1, true)
	}
	survivor := sc.Jobs["g"].Occurrences[0][0].Tasks[0]
	lost := sc.Jobs["g"].Occurrences[0][0].Tasks[1]
	sc.markLost(lost, now, "test")
	c.Assert(sc.TakeStops(), qt.HasLen, 1)
	// The session ends before the order arrives.
	sc.AgentDetached(survivor.Agent, 1)
	sc.AgentAttached(survivor.Agent, 2)
	report(survivor.Agent, 2, RunningTask{Running: worker.Running{Run: worker.Run{Task: survivor.ID.String(), Number: survivor.Run}}})
	stops := sc.TakeStops()
	c.Assert(stops, qt.HasLen, 1)
	c.Assert([]any{stops[0].Task, stops[0].Session}, qt.DeepEquals, []any{survivor.ID, 2})
}

// TestSilenceIsNoStall guards against runs that are stopped because their VM was silent:
// an agent that was paused reports what it knew before, and the worker has gone on.
func TestSilenceIsNoStall(t *testing.T) {
	for _, silence := range []time.Duration{1300 * time.Millisecond, 2 * time.Second, 4 * time.Second, 5200 * time.Millisecond} {
		for _, newSession := range []bool{false, true} {
			t.Run(fmt.Sprintf("%v, new session %t", silence, newSession), func(t *testing.T) {
				c := qt.New(t)
				sc := newCluster(1, bootTime)
				sc.AddJob(newJob("a", "normal", bootTime, steps.Step{Count: 1, Needs: steps.Resources{GPUs: 1}}), bootTime)
				sc.Plan(bootTime)
				start := sc.TakeOutput(wallTime).Orders[0].(StartOrder)
				sc.StartAnswered(start, 1, true)
				now, session := bootTime, 1
				report := func(progress int) {
					sc.HandleReport(Report{
						Agent: "vm0", Session: session, Version: 2, WorkerPresent: true, Worker: "vm0", Rack: "r0", Capacity: steps.Resources{CPU: 32000, MemMB: 64000, GPUs: 8},
						Running: []RunningTask{{Running: worker.Running{Run: worker.Run{Task: start.Task.String(), Number: start.Run}, Progress: progress}}},
					}, now)
					sc.LeaseGranted("vm0", now)
				}
				now = now.Add(400 * time.Millisecond)
				report(20)
				now = now.Add(silence)
				sc.ExpireLeases(now)
				if newSession {
					session++
					sc.AgentAttached("vm0", session)
				}
				report(20)
				c.Assert(sc.TakeStops(), qt.HasLen, 0)
				c.Assert(sc.Jobs["a"].Occurrences[0][0].Tasks[0].Active, qt.IsTrue)
				// A run that makes no progress while its VM reports is still found.
				for range 4 {
					now = now.Add(400 * time.Millisecond)
					report(20)
				}
				c.Assert(sc.TakeStops(), qt.HasLen, 1)
			})
		}
	}
}

// TestLatestStartOfChain guards against a step that waits although the steps after it
// then miss the objective of the job.
func TestLatestStartOfChain(t *testing.T) {
	sc := New(Timing{})
	sc.Configure(access.Config{Queues: []access.Queue{{Name: "q", Priority: 2, MaxAttempts: 3, LatencyFactor: 2}}})
	sc.AddJob(steps.Job{ID: "a", Queue: "q", Steps: []steps.Step{
		{Count: 1, Estimate: 4 * time.Second}, {Count: 1, Estimate: 6 * time.Second, After: []int{0}},
	}}, bootTime)
	p := pass{scheduler: sc, now: bootTime}
	units := p.waitingUnits()
	qt.Assert(t, units, qt.HasLen, 1)
	// The objective is 20 s for both steps, which take 10 s.
	qt.Assert(t, units[0].latestStart.Sub(bootTime), qt.Equals, 10*time.Second)
}
