package stepplan

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"celerypoint.example/celerypoint/stepfold"
	"celerypoint.example/celerypoint/steps"
	"celerypoint.example/celerypoint/worker"
)

// TestJobBegins guards against a job that callers are told has begun although no worker has
// started any of its tasks, and against one that counts as pending although a worker has.
func TestJobBegins(t *testing.T) {
	capacity := steps.Resources{CPU: 32000, MemMB: 64000, GPUs: 8}
	run := worker.Run{Task: "a.0.0.0", Number: 1}
	report := func(change func(*Report)) func(*Scheduler, StartOrder) {
		return func(sc *Scheduler, o StartOrder) {
			r := Report{Agent: "vm0", Session: 1, Version: 2, WorkerPresent: true, Worker: "vm0", Rack: "r0", Capacity: capacity}
			change(&r)
			sc.HandleReport(r, bootTime)
		}
	}
	former := func(f FormerWorker) func(*Scheduler, StartOrder) {
		return report(func(r *Report) {
			f.Worker, f.End = "vm0", worker.IncarnationCrashed
			r.Worker, r.Former = "vm0/1", []FormerWorker{f}
		})
	}
	for _, test := range []struct {
		name  string
		event func(*Scheduler, StartOrder)
		begun bool
	}{
		{"ordered", func(*Scheduler, StartOrder) {}, false},
		{"refused", func(sc *Scheduler, o StartOrder) { sc.StartRefused(o, "unhealthy", bootTime) }, false},
		{"not sent", func(sc *Scheduler, o StartOrder) { sc.StartWithdrawn(o, "the session with the agent ended", bootTime) }, false},
		{"answer lost", func(sc *Scheduler, o StartOrder) { sc.StartAnswered(o, 2, false) }, false},
		{"lease expired", func(sc *Scheduler, o StartOrder) { sc.ExpireLeases(bootTime.Add(time.Hour)) }, false},
		{"not confirmed by the worker", report(func(r *Report) {
			r.Running = []RunningTask{{Running: worker.Running{Run: run}, StartUnconfirmed: true}}
		}), false},
		{"worker crashed before it answered", former(FormerWorker{Running: []FormerRun{{Run: run, Unanswered: true}}}), false},
		{"started", func(sc *Scheduler, o StartOrder) { sc.StartAnswered(o, 2, true) }, true},
		{"started, then lost", func(sc *Scheduler, o StartOrder) {
			sc.StartAnswered(o, 2, true)
			sc.ExpireLeases(bootTime.Add(time.Hour))
		}, true},
		{"answer lost, listed", func(sc *Scheduler, o StartOrder) {
			sc.StartAnswered(o, 2, false)
			report(func(r *Report) { r.Running = []RunningTask{{Running: worker.Running{Run: run}}} })(sc, o)
		}, true},
		{"answer lost, ended", func(sc *Scheduler, o StartOrder) {
			sc.StartAnswered(o, 2, false)
			report(func(r *Report) {
				r.Ended = []worker.Ended{{EndNumber: 1, Run: run, Reason: worker.EndFailed}}
			})(sc, o)
		}, true},
		{"taken for lost, then listed", func(sc *Scheduler, o StartOrder) {
			sc.ExpireLeases(bootTime.Add(time.Hour))
			report(func(r *Report) { r.Running = []RunningTask{{Running: worker.Running{Run: run}}} })(sc, o)
		}, true},
		{"taken for lost, then ended", func(sc *Scheduler, o StartOrder) {
			sc.ExpireLeases(bootTime.Add(time.Hour))
			report(func(r *Report) {
				r.Ended = []worker.Ended{{EndNumber: 1, Run: run, Reason: worker.EndStopped}}
			})(sc, o)
		}, true},
		{"worker crashed after it answered", former(FormerWorker{Running: []FormerRun{{Run: run}}}), true},
		{"ended on a worker that crashed", former(FormerWorker{Ended: []worker.Ended{{EndNumber: 1, Run: run, Reason: worker.EndFailed}}}), true},
	} {
		for _, restored := range []bool{false, true} {
			t.Run(test.name, func(t *testing.T) {
				c := qt.New(t)
				sc := newCluster(1, bootTime)
				job := newJob("a", "normal", bootTime, oneGPU)
				sc.AddJob(job, bootTime)
				sc.Plan(bootTime)
				o := sc.TakeOutput(wallTime)
				order := o.Orders[0].(StartOrder)
				c.Assert(o.Progress[0].Progress.Begun, qt.IsFalse)
				if restored {
					sc = newCluster(1, bootTime)
					sc.RestoreJob(stepfold.JobState{Job: &job, Progress: o.Progress[0].Progress}, wallTime, bootTime)
				}
				test.event(sc, order)
				sc.StoreBegun()
				stored := sc.Jobs["a"].storedProgress(wallTime)
				c.Check(stored.Begun, qt.Equals, test.begun)
				c.Check(stored.Phase == stepfold.PhaseRunning, qt.Equals, test.begun)
				progress := sc.TakeOutput(wallTime).Progress
				if test.begun {
					c.Assert(progress, qt.HasLen, 1)
					c.Check(progress[0].Progress.Begun, qt.IsTrue)
				}
			})
		}
	}
}

// TestBeginningCostsNoRecord guards against a record for each start: one that is stored with
// other progress of the job, or was stored before, is not stored again.
func TestBeginningCostsNoRecord(t *testing.T) {
	c := qt.New(t)
	sc := newCluster(1, bootTime)
	sc.AddJob(newJob("a", "normal", bootTime, oneGPU), bootTime)
	sc.Plan(bootTime)
	order := sc.TakeOutput(wallTime).Orders[0].(StartOrder)
	sc.StartAnswered(order, 1, true)
	c.Check(sc.TakeOutput(wallTime).Progress, qt.HasLen, 0)
	sc.StoreBegun()
	c.Check(sc.TakeOutput(wallTime).Progress, qt.HasLen, 1)
	sc.StoreBegun()
	c.Check(sc.TakeOutput(wallTime).Progress, qt.HasLen, 0)
	sc.HandleReport(Report{
		Agent: "vm0", Session: 1, Version: 2, WorkerPresent: true, Worker: "vm0", Rack: "r0", Capacity: steps.Resources{CPU: 32000, MemMB: 64000, GPUs: 8},
		Ended: []worker.Ended{{EndNumber: 1, Run: worker.Run{Task: "a.0.0.0", Number: 1}, Reason: worker.EndDone}},
	}, bootTime)
	c.Check(sc.TakeOutput(wallTime).Progress, qt.HasLen, 1)
	sc.StoreBegun()
	c.Check(sc.TakeOutput(wallTime).Progress, qt.HasLen, 0)
}
