package stepplan

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"celerypoint.example/celerypoint/stepfold"
	"celerypoint.example/celerypoint/steps"
	"celerypoint.example/celerypoint/worker"
)

// cutOff makes the workers unreachable until their leases have expired and the planner has
// taken note of it.
func (ct *crashTest) cutOff(vms ...string) {
	for _, vm := range vms {
		ct.lost[vm] = true
	}
	for range 70 {
		ct.report(100 * time.Millisecond)
		ct.scheduler.ExpireLeases(ct.now)
	}
}

// reach makes a worker answer again, which has ended its runs meanwhile.
func (ct *crashTest) reach(vm string) {
	delete(ct.lost, vm)
	ct.running[vm] = nil
}

// takeOver replaces the planner by another one that knows what was stored.
func (ct *crashTest) takeOver() {
	former := ct.scheduler
	ct.scheduler = newCluster(0, ct.now)
	ct.scheduler.EarlierLeasesUntil = ct.now.Add(time.Second)
	for _, j := range former.Jobs {
		ct.scheduler.RestoreJob(stepfold.JobState{Job: &j.Spec, Progress: j.storedProgress(wallTime)}, wallTime, ct.now)
	}
	for vm := range ct.sessions {
		ct.sessions[vm] = 1
		ct.scheduler.AgentAttached(vm, 1)
	}
}

// TestCutOffsFailNoJob guards against a job that is given up because its only worker was cut off again and again.
func TestCutOffsFailNoJob(t *testing.T) {
	for _, test := range []struct {
		name     string
		step     steps.Step
		takeOver bool
	}{
		{"single", oneGPU, false},
		{"single, planner replaced during the cut-off", oneGPU, true},
		{"gang", steps.Step{Count: 2, Gang: true, Needs: steps.Resources{GPUs: 1}}, false},
		{"lasting", steps.Step{Count: 1, LongRunning: true, Needs: steps.Resources{GPUs: 1}}, false},
	} {
		t.Run(test.name, func(t *testing.T) {
			ct := newCrashTest(t, 1)
			ct.add("a", test.step)
			for n := range 2 * maxLosses {
				ct.c.Assert(ct.startsWithin("a", 3*time.Second), qt.IsTrue, qt.Commentf("start %d", n+1))
				ct.cutOff("vm0")
				if test.takeOver {
					ct.takeOver()
					ct.cutOff("vm0")
				}
				ct.c.Assert(ct.task("a").Active, qt.IsFalse)
				ct.reach("vm0")
				ct.report(100 * time.Millisecond)
				ct.c.Assert(ct.scheduler.Jobs["a"].Phase.Over(), qt.IsFalse, qt.Commentf("cut-off %d", n+1))
			}
		})
	}
}

// TestUndecidedLossesHoldTask guards against a verdict on a task while nobody knows whether its workers have crashed.
func TestUndecidedLossesHoldTask(t *testing.T) {
	for _, test := range []struct {
		name string
		// end is how the first worker ended, empty if it was only cut off.
		end      worker.IncarnationEnd
		observed bool
		want     stepfold.Phase
	}{
		{"cut off", "", true, stepfold.PhaseRunning},
		{"left", worker.IncarnationLeft, true, stepfold.PhaseRunning},
		{"crashed", worker.IncarnationCrashed, true, stepfold.PhaseFailed},
		{"ended unseen", worker.IncarnationCrashed, false, stepfold.PhaseFailed},
	} {
		t.Run(test.name, func(t *testing.T) {
			ct := newCrashTest(t, 2*maxLosses)
			ct.add("a", oneGPU)
			var lost []string
			for range maxLosses {
				ct.c.Assert(ct.startsWithin("a", 3*time.Second), qt.IsTrue)
				lost = append(lost, ct.task("a").Agent)
				ct.cutOff(ct.task("a").Agent)
			}
			ct.c.Check(ct.scheduler.Jobs["a"].Phase, qt.Equals, stepfold.PhaseRunning)
			ct.c.Check(ct.pass(), qt.HasLen, 0)
			// The first loss is decided by what its agent reports, the others by the time.
			if test.end != "" {
				ct.end(lost[0], test.end, time.Second, test.observed)
			}
			ct.reach(lost[0])
			for range 10 {
				ct.pass()
				ct.cutOff()
			}
			ct.c.Check(ct.scheduler.Jobs["a"].Phase, qt.Equals, test.want)
			ct.c.Check(ct.task("a").Active, qt.Equals, test.want == stepfold.PhaseRunning)
		})
	}
}

// TestSuccessorsCountAbsences guards against a task that takes down one worker for good after the other and is started by each new planner again.
func TestSuccessorsCountAbsences(t *testing.T) {
	const vms = 12
	ct := newCrashTest(t, vms)
	ct.add("a", oneGPU)
	starts := 0
	for starts < vms && ct.startsWithin("a", 3*time.Second) {
		starts++
		ct.cutOff(ct.task("a").Agent)
		ct.takeOver()
		ct.cutOff()
	}
	ct.c.Check(starts <= maxCrashingStarts, qt.IsTrue, qt.Commentf("%d starts", starts))
	for range 10 {
		ct.cutOff()
	}
	ct.c.Check(ct.scheduler.Jobs["a"].Phase, qt.Equals, stepfold.PhaseFailed)
}

// TestUnexplainedEndsAreLimited guards against a task that crashes its workers and is started again and again because their agents restart as well.
func TestUnexplainedEndsAreLimited(t *testing.T) {
	ct := newCrashTest(t, 4)
	ct.add("a", oneGPU)
	starts := 0
	for starts <= maxCrashingStarts && ct.startsWithin("a", 3*time.Second) {
		starts++
		ct.end(ct.task("a").Agent, worker.IncarnationCrashed, 200*time.Millisecond, false)
		ct.report(300 * time.Millisecond)
	}
	ct.c.Check(starts <= maxCrashingStarts, qt.IsTrue, qt.Commentf("%d starts", starts))
	ct.c.Check(ct.scheduler.Jobs["a"].Phase, qt.Equals, stepfold.PhaseFailed)
}

// TestUnexplainedEndsFailNoSoundJob guards against a job that fails because its VMs lost power at times, or their drained workers were replaced.
func TestUnexplainedEndsFailNoSoundJob(t *testing.T) {
	for _, drain := range []bool{false, true} {
		t.Run(fmt.Sprintf("drain=%t", drain), func(t *testing.T) {
			ct := newCrashTest(t, 4)
			lasting := oneGPU
			lasting.LongRunning = true
			ct.add("a", lasting)
			length := time.Second
			for n := range 2 * maxLosses {
				ct.c.Assert(ct.startsWithin("a", 3*time.Second), qt.IsTrue, qt.Commentf("start %d", n+1))
				for range 10 {
					ct.report(length)
				}
				vm := ct.task("a").Agent
				if ct.scheduler.VMs[vm].Draining = drain; !drain {
					// A run that outlives the ones before clears the task.
					length *= 2
				}
				ct.end(vm, worker.IncarnationCrashed, length, false)
				ct.report(300 * time.Millisecond)
				ct.c.Assert(ct.scheduler.Jobs["a"].Phase.Over(), qt.IsFalse, qt.Commentf("end %d", n+1))
			}
		})
	}
}

// TestHiddenEndsAreNoCrashes guards against a job that fails after one crash, because two further runs ended while their workers were out of reach, which crashed later.
func TestHiddenEndsAreNoCrashes(t *testing.T) {
	ct := newCrashTest(t, 8)
	ct.add("a", oneGPU)
	ct.c.Assert(ct.startsWithin("a", 3*time.Second), qt.IsTrue)
	ct.crash(ct.task("a").Agent, 100*time.Millisecond)
	ct.report(100 * time.Millisecond)
	// One run is lost with its lease before the crash, the other is older than it should get.
	ct.c.Assert(ct.startsWithin("a", 3*time.Second), qt.IsTrue)
	vm := ct.task("a").Agent
	ct.cutOff(vm)
	ct.crash(vm, 500*time.Millisecond)
	ct.reach(vm)
	ct.report(100 * time.Millisecond)
	ct.c.Assert(ct.startsWithin("a", 3*time.Second), qt.IsTrue)
	ct.crash(ct.task("a").Agent, ct.scheduler.Jobs["a"].Spec.Steps[0].Estimate)
	ct.report(100 * time.Millisecond)
	ct.c.Check(ct.scheduler.Jobs["a"].Phase, qt.Equals, stepfold.PhaseRunning)
	ct.c.Check(ct.task("a").losses(), qt.Equals, 3)
}

// TestLateCrashesAreLimited guards against a task that crashes its workers only after the time in which it should end, and is started again and again.
func TestLateCrashesAreLimited(t *testing.T) {
	ct := newCrashTest(t, 8)
	ct.add("a", oneGPU)
	starts := 0
	for starts <= maxCrashingStarts && ct.startsWithin("a", 3*time.Second) {
		starts++
		ct.crash(ct.task("a").Agent, time.Minute)
		ct.report(100 * time.Millisecond)
	}
	ct.c.Check(starts <= maxCrashingStarts, qt.IsTrue, qt.Commentf("%d starts", starts))
	ct.c.Check(ct.scheduler.Jobs["a"].Phase, qt.Equals, stepfold.PhaseFailed)
}
