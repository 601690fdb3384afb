package stepplan

import (
	"fmt"
	"slices"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"celerypoint.example/celerypoint/crashes"
	"celerypoint.example/celerypoint/stepfold"
	"celerypoint.example/celerypoint/steps"
	"celerypoint.example/celerypoint/worker"
)

var oneGPU = steps.Step{Count: 1, Needs: steps.Resources{GPUs: 1}}

// crashTest drives a Scheduler whose VMs run what they are ordered to.
type crashTest struct {
	c         *qt.C
	scheduler *Scheduler
	now       time.Time
	// restarts counts the incarnations of each VM's worker that have ended, and sessions
	// holds the number of its agent's session.
	restarts map[string]int
	sessions map[string]int
	running  map[string][]RunningTask
	former   map[string][]FormerWorker
	ended    map[string][]worker.Ended
	starts   []StartOrder
	// lost holds the VMs whose agents cannot reach their workers.
	lost map[string]bool
}

func newCrashTest(t *testing.T, vms int) *crashTest {
	ct := &crashTest{
		c: qt.New(t), now: bootTime, restarts: map[string]int{}, sessions: map[string]int{}, running: map[string][]RunningTask{}, former: map[string][]FormerWorker{}, ended: map[string][]worker.Ended{},
		lost: map[string]bool{},
	}
	ct.scheduler = newCluster(0, ct.now)
	for i := range vms {
		name := fmt.Sprintf("vm%d", i)
		ct.sessions[name] = 1
		ct.scheduler.AgentAttached(name, 1)
	}
	ct.report(0)
	return ct
}

func (ct *crashTest) worker(vm string) string { return fmt.Sprintf("%s/%d", vm, ct.restarts[vm]) }

// report lets time pass and has all agents report. Runs make one percent of progress
// every 50 ms, up to 100 %.
func (ct *crashTest) report(after time.Duration) {
	ct.now = ct.now.Add(after)
	for i := range len(ct.sessions) {
		vm := fmt.Sprintf("vm%d", i)
		for k := range ct.running[vm] {
			if !ct.lost[vm] {
				ct.running[vm][k].Progress = min(100, ct.running[vm][k].Progress+int(after/(50*time.Millisecond)))
			}
		}
		ct.scheduler.HandleReport(Report{
			Agent: vm, Session: ct.sessions[vm], Version: 1, WorkerPresent: true, Worker: ct.worker(vm), Rack: fmt.Sprintf("r%d", i/2),
			Capacity: steps.Resources{CPU: 32000, MemMB: 64000, GPUs: 8}, Running: ct.running[vm], Former: ct.former[vm], Ended: ct.ended[vm],
			Unhealthy: ct.lost[vm], Unreachable: ct.lost[vm],
		}, ct.now)
		if !ct.lost[vm] {
			ct.scheduler.LeaseGranted(vm, ct.now)
		}
	}
}

// pass runs a planning pass and starts what it orders.
func (ct *crashTest) pass() []StartOrder {
	ct.scheduler.Plan(ct.now)
	var started []StartOrder
	for _, o := range ct.scheduler.TakeOutput(wallTime).Orders {
		order, ok := o.(StartOrder)
		if !ok {
			continue
		}
		ct.running[order.Agent] = append(ct.running[order.Agent], RunningTask{Running: worker.Running{Run: worker.Run{Task: order.Task.String(), Number: order.Run}}})
		ct.scheduler.StartAnswered(order, 1, true)
		started = append(started, order)
	}
	ct.starts = append(ct.starts, started...)
	return started
}

// end ends the worker of a VM and starts its next incarnation. observed says that the
// agent lived on.
func (ct *crashTest) end(vm string, how worker.IncarnationEnd, age time.Duration, observed bool) {
	f := FormerWorker{Worker: ct.worker(vm), End: how}
	for _, r := range ct.running[vm] {
		f.Running = append(f.Running, FormerRun{Run: r.Run, Age: age})
	}
	if observed {
		ct.former[vm] = append(ct.former[vm], f)
	}
	ct.running[vm], ct.ended[vm] = nil, nil
	ct.restarts[vm]++
}

// fail ends the run of an order as failed.
func (ct *crashTest) fail(o StartOrder) {
	ct.running[o.Agent] = slices.DeleteFunc(ct.running[o.Agent], func(r RunningTask) bool { return r.Task == o.Task.String() })
	ct.ended[o.Agent] = append(ct.ended[o.Agent], worker.Ended{
		EndNumber: int64(len(ct.ended[o.Agent]) + 1), Run: worker.Run{Task: o.Task.String(), Number: o.Run}, Reason: worker.EndFailed,
	})
}

// lose takes a VM away for good, after its runs have ended.
func (ct *crashTest) lose(vm string) {
	ct.end(vm, worker.IncarnationLeft, time.Second, true)
	ct.report(100 * time.Millisecond)
	ct.scheduler.AgentDetached(vm, ct.sessions[vm])
}

// startsWithin lets time pass until the first task of the job runs, and reports whether it
// does within the limit.
func (ct *crashTest) startsWithin(job string, limit time.Duration) bool {
	for end := ct.now.Add(limit); ; ct.report(100 * time.Millisecond) {
		ct.pass()
		if ct.task(job).Active || !ct.now.Before(end) {
			return ct.task(job).Active
		}
	}
}

func (ct *crashTest) crash(vm string, age time.Duration) {
	ct.end(vm, worker.IncarnationCrashed, age, true)
}

// crashUnanswered crashes the worker of a VM that has answered none of its start orders.
func (ct *crashTest) crashUnanswered(vm string) {
	ct.crash(vm, 100*time.Millisecond)
	newest := &ct.former[vm][len(ct.former[vm])-1]
	for i := range newest.Running {
		newest.Running[i].Unanswered = true
	}
}

func (ct *crashTest) add(id string, step steps.Step) {
	ct.scheduler.AddJob(newJob(id, "normal", ct.now, step), ct.now)
}

func (ct *crashTest) task(job string) *Task { return ct.scheduler.Jobs[job].Occurrences[0][0].Tasks[0] }

// Guards against blaming a task for the loss of a worker that was no crash, or of which
// nobody knows whether it was one.
func TestOnlyCrashesCount(t *testing.T) {
	for _, test := range []struct {
		name string
		lose func(ct *crashTest, vm string)
		want int
	}{
		{"crash", func(ct *crashTest, vm string) { ct.crash(vm, 200*time.Millisecond) }, 1},
		{"departure", func(ct *crashTest, vm string) { ct.end(vm, worker.IncarnationLeft, time.Second, true) }, 0},
		{"agentAndWorkerLost", func(ct *crashTest, vm string) { ct.end(vm, worker.IncarnationCrashed, time.Second, false) }, 0},
		{"silence", func(ct *crashTest, _ string) { ct.now = ct.now.Add(time.Minute); ct.scheduler.ExpireLeases(ct.now) }, 0},
		{"orderNotCarriedOut", func(ct *crashTest, vm string) { ct.running[vm] = nil }, 0},
	} {
		t.Run(test.name, func(t *testing.T) {
			ct := newCrashTest(t, 1)
			ct.add("a", oneGPU)
			vm := ct.pass()[0].Agent
			test.lose(ct, vm)
			ct.report(300 * time.Millisecond)
			ct.c.Check(ct.task("a").Active, qt.IsFalse)
			ct.c.Check(ct.task("a").Crashes.Count(), qt.Equals, test.want)
		})
	}
}

// Guards against a crash that is not counted because the refusal of the start order
// arrives before the report of the crash.
func TestCrashCountsAfterRefusal(t *testing.T) {
	ct := newCrashTest(t, 2)
	ct.add("a", oneGPU)
	order := ct.pass()[0]
	ct.crash(order.Agent, 10*time.Millisecond)
	ct.scheduler.StartRefused(order, "otherWorker", ct.now)
	ct.c.Assert(ct.task("a").Active, qt.IsFalse)
	ct.report(100 * time.Millisecond)
	ct.c.Check(ct.task("a").Crashes.Count(), qt.Equals, 1)
}

// Guards against a crash that a new planner counts a second time.
func TestRepeatedCrashReportCountsOnce(t *testing.T) {
	ct := newCrashTest(t, 2)
	ct.add("a", oneGPU)
	ct.crash(ct.pass()[0].Agent, 10*time.Millisecond)
	ct.report(100 * time.Millisecond)
	progress := ct.scheduler.TakeOutput(wallTime).Progress
	ct.c.Assert(progress, qt.HasLen, 1)
	job := ct.scheduler.Jobs["a"].Spec
	ct.scheduler = newCluster(0, ct.now)
	ct.scheduler.RestoreJob(stepfold.JobState{Job: &job, Progress: progress[0].Progress}, wallTime, ct.now)
	for vm := range ct.sessions {
		ct.scheduler.AgentAttached(vm, 1)
	}
	ct.report(100 * time.Millisecond)
	ct.report(100 * time.Millisecond)
	ct.c.Check(ct.task("a").Crashes, qt.Equals, crashes.Record{Runs: [crashes.Limit]int{1}})
}

// Guards against suspects of one crash that run beside each other, so that the next crash
// takes both again and tells no more than the first.
func TestSuspectsRunApart(t *testing.T) {
	ct := newCrashTest(t, 16)
	ct.add("a", oneGPU)
	ct.add("b", oneGPU)
	first := ct.pass()
	ct.c.Assert(first, qt.HasLen, 2)
	ct.c.Assert(first[0].Agent, qt.Equals, first[1].Agent)
	ct.crash(first[0].Agent, 200*time.Millisecond)
	ct.report(300 * time.Millisecond)
	again := ct.pass()
	ct.c.Assert(again, qt.HasLen, 2)
	ct.c.Check(again[0].Agent, qt.Not(qt.Equals), again[1].Agent)
	for _, o := range again {
		ct.c.Check(o.Agent, qt.Not(qt.Equals), first[0].Agent)
	}
}

// Guards against work that runs beside a task with two crashes and is lost with the third.
func TestTaskWithSeveralCrashesRunsAlone(t *testing.T) {
	ct := newCrashTest(t, 16)
	ct.add("a", oneGPU)
	ct.add("b", oneGPU)
	for range 2 {
		ct.pass()
		ct.crash(ct.task("a").Agent, 200*time.Millisecond)
		ct.report(300 * time.Millisecond)
	}
	ct.c.Assert(ct.task("a").Crashes.Count(), qt.Equals, 2)
	ct.add("new", steps.Step{Count: 60, Needs: steps.Resources{GPUs: 1}})
	for range 3 {
		ct.pass()
		ct.report(100 * time.Millisecond)
	}
	ct.c.Assert(ct.task("a").Active, qt.IsTrue)
	ct.c.Check(ct.scheduler.VMs[ct.task("a").Agent].ActiveTasks, qt.HasLen, 1)
	ct.c.Check(ct.task("b").Crashes.Count(), qt.Equals, 1)
}

// Guards against a task that stays a suspect after its run has outlived the one that was
// lost beside the cause of a crash.
func TestOutlivingRunClearsTask(t *testing.T) {
	ct := newCrashTest(t, 2)
	ct.add("a", oneGPU)
	ct.crash(ct.pass()[0].Agent, 200*time.Millisecond)
	ct.report(300 * time.Millisecond)
	again := ct.pass()
	ct.c.Assert(again, qt.HasLen, 1)
	ct.report(700 * time.Millisecond)
	ct.c.Check(ct.task("a").Crashes.Suspect(), qt.IsTrue)
	ct.report(300 * time.Millisecond)
	ct.c.Check(ct.task("a").Crashes, qt.Equals, crashes.Record{ClearedThrough: again[0].Run})
}

// Guards against giving up a task after crashes that follow each other by chance: the
// workers crash at any age of its runs, and runs in between go on for longer.
func TestClearedTaskIsNotBlamed(t *testing.T) {
	ct := newCrashTest(t, 3)
	ct.add("a", oneGPU)
	for n := range 6 {
		order := ct.pass()
		ct.c.Assert(order, qt.HasLen, 1, qt.Commentf("run %d", n+1))
		ct.report(time.Second)
		if n%2 == 1 {
			ct.report(2 * time.Second)
		}
		ct.crash(order[0].Agent, ct.now.Sub(ct.task("a").StartedAt))
		ct.report(3 * time.Second)
		ct.former = map[string][]FormerWorker{}
	}
	ct.c.Check(ct.scheduler.Jobs["a"].Phase, qt.Equals, stepfold.PhaseRunning)
}

// Guards against a suspect that waits for an empty VM for as long as other work keeps all
// VMs busy.
func TestSuspectDoesNotStarve(t *testing.T) {
	ct := newCrashTest(t, 2)
	ct.add("busy", steps.Step{Count: 14, Needs: steps.Resources{GPUs: 1}})
	ct.pass()
	ct.add("a", oneGPU)
	task := ct.task("a")
	task.Run, task.Crashes, task.WaitSince = 2, crashes.Record{Runs: [crashes.Limit]int{1, 2}}, ct.now
	for waited := time.Duration(0); !task.Active; waited += 100 * time.Millisecond {
		ct.c.Assert(waited < 3*time.Second, qt.IsTrue)
		ct.report(100 * time.Millisecond)
		ct.pass()
	}
}

// Guards against starts on a worker that is known to have ended.
func TestNoStartOnEndedWorker(t *testing.T) {
	ct := newCrashTest(t, 1)
	ct.scheduler.HandleReport(Report{Agent: "vm0", Session: 1, Version: 2, Former: []FormerWorker{{Worker: "vm0/0", End: worker.IncarnationCrashed}}}, ct.now)
	ct.add("a", oneGPU)
	ct.c.Check(ct.pass(), qt.HasLen, 0)
	ct.restarts["vm0"]++
	ct.report(100 * time.Millisecond)
	ct.c.Check(ct.pass(), qt.HasLen, 1)
}

// TestCrashesOfAbsentWorkersCount guards against a task that crashes one worker after the
// other, none of which is back soon, and is started again and again.
func TestCrashesOfAbsentWorkersCount(t *testing.T) {
	const vms = 8
	ct := newCrashTest(t, vms)
	ct.add("a", oneGPU)
	starts := 0
	for range 2 * vms {
		for _, o := range ct.pass() {
			starts++
			ct.lost[o.Agent] = true
		}
		for range 70 {
			ct.report(100 * time.Millisecond)
		}
		ct.scheduler.ExpireLeases(ct.now)
	}
	ct.c.Check(starts <= maxCrashingStarts, qt.IsTrue, qt.Commentf("%d starts", starts))
	ct.c.Check(ct.scheduler.Jobs["a"].Phase, qt.Equals, stepfold.PhaseFailed)
}

// TestUnansweredStartsAreNoCrashes guards against failing a job whose task has hardly run.
func TestUnansweredStartsAreNoCrashes(t *testing.T) {
	ct := newCrashTest(t, 4)
	ct.add("a", oneGPU)
	for range 2 {
		ct.c.Assert(ct.startsWithin("a", 3*time.Second), qt.IsTrue)
		ct.crashUnanswered(ct.task("a").Agent)
		ct.report(100 * time.Millisecond)
	}
	ct.c.Assert(ct.startsWithin("a", 3*time.Second), qt.IsTrue)
	ct.crash(ct.task("a").Agent, 200*time.Millisecond)
	ct.report(100 * time.Millisecond)
	ct.c.Check(ct.scheduler.Jobs["a"].Phase, qt.Equals, stepfold.PhaseRunning)
}

// TestUnansweredCrashesAreLimited guards against starting a task again without limit.
func TestUnansweredCrashesAreLimited(t *testing.T) {
	ct := newCrashTest(t, 8)
	ct.add("a", oneGPU)
	starts := 0
	for !ct.scheduler.Jobs["a"].Phase.Over() && ct.startsWithin("a", 3*time.Second) {
		starts++
		ct.c.Assert(starts <= maxCrashingStarts, qt.IsTrue, qt.Commentf("%d starts", starts))
		ct.crashUnanswered(ct.task("a").Agent)
		ct.report(100 * time.Millisecond)
		ct.report(100 * time.Millisecond)
	}
	ct.c.Check(ct.scheduler.Jobs["a"].Phase, qt.Equals, stepfold.PhaseFailed)
}

// TestUnansweredRunIsKeptApart guards against losing the same work again beside its cause.
func TestUnansweredRunIsKeptApart(t *testing.T) {
	ct := newCrashTest(t, 4)
	ct.add("a", oneGPU)
	ct.add("b", oneGPU)
	first := ct.pass()
	ct.c.Assert(first, qt.HasLen, 2)
	ct.c.Assert(first[0].Agent, qt.Equals, first[1].Agent)
	ct.crashUnanswered(first[0].Agent)
	ct.report(100 * time.Millisecond)
	again := ct.pass()
	ct.c.Assert(again, qt.HasLen, 2)
	ct.c.Check(again[0].Agent, qt.Not(qt.Equals), again[1].Agent)
}

// TestLastingTaskIsCleared guards against giving up a long-running task after crashes that
// are far apart, because its progress ends at 100 % and so shows nothing of its age.
func TestLastingTaskIsCleared(t *testing.T) {
	ct := newCrashTest(t, 3)
	lasting := oneGPU
	lasting.LongRunning = true
	ct.add("a", lasting)
	for n := range 5 {
		order := ct.pass()
		ct.c.Assert(order, qt.HasLen, 1, qt.Commentf("run %d", n+1))
		for range 20 << n {
			ct.report(time.Second)
		}
		ct.crash(order[0].Agent, ct.now.Sub(ct.task("a").StartedAt))
		ct.report(3 * time.Second)
		ct.former = map[string][]FormerWorker{}
	}
	ct.c.Check(ct.scheduler.Jobs["a"].Phase, qt.Equals, stepfold.PhaseRunning)
}

// TestIsolationEnds guards against a long-running suspect that keeps its VM from other work for good.
func TestIsolationEnds(t *testing.T) {
	for _, vms := range []int{1, 2} {
		t.Run(fmt.Sprintf("vms=%d", vms), func(t *testing.T) {
			ct := newCrashTest(t, vms)
			lasting := oneGPU
			lasting.LongRunning = true
			ct.add("lasting", lasting)
			for range 2 {
				ct.c.Assert(ct.startsWithin("lasting", 3*time.Second), qt.IsTrue)
				ct.crash(ct.task("lasting").Agent, time.Hour)
				ct.report(3 * time.Second)
			}
			ct.c.Assert(ct.startsWithin("lasting", 3*time.Second), qt.IsTrue)
			ct.c.Assert(ct.task("lasting").Crashes.Count(), qt.Equals, 2)
			ct.add("a", oneGPU)
			ct.c.Check(ct.startsWithin("a", time.Second), qt.Equals, vms > 1)
			ct.c.Check(ct.startsWithin("a", 2*time.Second), qt.IsTrue)
			ct.c.Check(ct.task("a").Agent == ct.task("lasting").Agent, qt.Equals, vms == 1)
		})
	}
}

// TestIsolationsDoNotAddUp guards against a task that waits beside room for two because a suspect starts again, so that the isolation of its VM begins anew.
func TestIsolationsDoNotAddUp(t *testing.T) {
	ct := newCrashTest(t, 2)
	lasting := oneGPU
	lasting.LongRunning = true
	// An urgent suspect is placed first.
	ct.scheduler.AddJob(newJob("suspect", "urgent", ct.now, lasting), ct.now)
	for range 2 {
		ct.c.Assert(ct.startsWithin("suspect", 3*time.Second), qt.IsTrue)
		ct.crash(ct.task("suspect").Agent, time.Hour)
		ct.report(3 * time.Second)
	}
	ct.c.Assert(ct.startsWithin("suspect", 3*time.Second), qt.IsTrue)
	lasting.Count = 8
	ct.add("busy", lasting)
	ct.c.Assert(ct.startsWithin("busy", time.Second), qt.IsTrue)
	lasting.Count = 1
	ct.add("a", lasting)
	for waited := time.Duration(0); !ct.task("a").Active; waited += 100 * time.Millisecond {
		ct.c.Assert(waited < roomLimit, qt.IsTrue)
		if suspect := ct.task("suspect"); suspect.Active && ct.now.Sub(suspect.StartedAt) >= time.Second {
			ct.fail(StartOrder{Agent: suspect.Agent, Task: suspect.ID, Run: suspect.Run})
		}
		ct.report(100 * time.Millisecond)
		ct.pass()
	}
	ct.c.Check(ct.task("a").Agent, qt.Equals, ct.task("suspect").Agent)
}

// TestFailingTasksDoNotKeepEachOtherWaiting guards against lasting tasks that wait in turn for the quarantine of their only VM, which the failures of the others renew.
func TestFailingTasksDoNotKeepEachOtherWaiting(t *testing.T) {
	ct := newCrashTest(t, 1)
	lasting := oneGPU
	lasting.LongRunning = true
	started, waitsFrom := map[string]StartOrder{}, map[string]time.Time{}
	for i := range 6 {
		id := fmt.Sprintf("job%d", i)
		ct.add(id, lasting)
		waitsFrom[id] = ct.now
	}
	for range 400 {
		for _, o := range ct.pass() {
			started[o.Task.Job] = o
			delete(waitsFrom, o.Task.Job)
		}
		for i := range 6 {
			id := fmt.Sprintf("job%d", i)
			if o, found := started[id]; found && ct.now.Sub(ct.task(id).StartedAt) >= time.Duration(1200+300*i)*time.Millisecond {
				ct.fail(o)
				delete(started, id)
				waitsFrom[id] = ct.now
			}
		}
		for id, from := range waitsFrom {
			ct.c.Assert(ct.now.Sub(from) < roomLimit, qt.IsTrue, qt.Commentf("%s", id))
		}
		ct.report(100 * time.Millisecond)
	}
}

// TestFailedOnHasEachVMOnce guards against a list that grows with each failure of a
// long-running task, and against a task that seems to have failed on as many VMs as there are,
// so that it is no longer kept from those where it has failed.
func TestFailedOnHasEachVMOnce(t *testing.T) {
	ct := newCrashTest(t, 2)
	ct.add("full", steps.Step{Count: 1, Needs: steps.Resources{GPUs: 8}})
	ct.pass()
	ct.add("a", steps.Step{Count: 1, LongRunning: true, Needs: steps.Resources{GPUs: 1}})
	failures := 0
	for end := ct.now.Add(time.Minute); ct.now.Before(end); ct.report(100 * time.Millisecond) {
		for _, o := range ct.pass() {
			ct.fail(o)
			failures++
		}
	}
	ct.c.Assert(failures > 5, qt.IsTrue, qt.Commentf("%d failures", failures))
	ct.c.Check(ct.task("a").FailedOn, qt.HasLen, 1)
}
