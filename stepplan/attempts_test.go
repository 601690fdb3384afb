package stepplan

import (
	"fmt"
	"slices"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"celerypoint.example/celerypoint/access"
	"celerypoint.example/celerypoint/codec"
	"celerypoint.example/celerypoint/stepfold"
	"celerypoint.example/celerypoint/steps"
	"celerypoint.example/celerypoint/worker"
)

const attemptsVMs = 3

// attemptsTest drives planners that follow each other while the runs of one gang fail. No
// lease expires, so that every failure is reported.
type attemptsTest struct {
	t           *rapid.T
	now         time.Time
	job         steps.Job
	maxAttempts int
	scheduler   *Scheduler
	// stored is what the store has of the job's progress.
	stored stepfold.Progress
	// running and ended are what the agents report, by the index of their VM. ended holds the
	// ends that no EndsAck has covered.
	running  [attemptsVMs][]worker.Run
	ended    [attemptsVMs][]worker.Ended
	lastEnd  [attemptsVMs]int64
	sessions int
	// failedRuns holds the numbers of the runs of which a member failed.
	failedRuns map[int]bool
}

func (at *attemptsTest) vmName(i int) string { return fmt.Sprintf("vm%d", i) }

func (at *attemptsTest) vmIndex(name string) int {
	var i int
	if _, err := fmt.Sscanf(name, "vm%d", &i); err != nil {
		at.t.Fatal(err)
	}
	return i
}

// takeOver replaces the planner by one that knows what is stored.
func (at *attemptsTest) takeOver() {
	at.scheduler = New(Timing{LeaseDuration: time.Hour, KeepStatus: time.Hour, MaxStopTime: time.Second, MaxReclaimTime: 3 * time.Second, FarFactor: 3})
	at.scheduler.Configure(access.Config{Queues: []access.Queue{{Name: "normal", Priority: 1, MaxAttempts: at.maxAttempts, LatencyFactor: 3}}})
	record, err := codec.EncodeStepRecord(stepfold.Progressed{ID: at.job.ID, Progress: at.stored})
	if err != nil {
		at.t.Fatal(err)
	}
	decoded, err := codec.DecodeStepRecord(record)
	if err != nil {
		at.t.Fatal(err)
	}
	at.scheduler.RestoreJob(stepfold.JobState{Job: &at.job, Progress: decoded.(stepfold.Progressed).Progress}, wallTime, at.now)
	at.sessions++
	for i := range attemptsVMs {
		at.scheduler.AgentAttached(at.vmName(i), at.sessions)
	}
}

func (at *attemptsTest) report(i int) {
	name := at.vmName(i)
	r := Report{
		Agent: name, Session: at.sessions, Version: 1, WorkerPresent: true, Worker: name, Rack: "r",
		Capacity: steps.Resources{CPU: 32000, MemMB: 64000, GPUs: 8}, Ended: at.ended[i],
	}
	for _, run := range at.running[i] {
		r.Running = append(r.Running, RunningTask{Running: worker.Running{Run: run}})
	}
	at.scheduler.HandleReport(r, at.now)
	at.scheduler.LeaseGranted(name, at.now)
}

func (at *attemptsTest) reportAll() {
	for i := range attemptsVMs {
		at.report(i)
	}
}

// passEnd is how far a planner gets with a pass before its process ends.
type passEnd string

const (
	untilPlanned passEnd = "planned"
	untilStored  passEnd = "stored"
	untilSent    passEnd = "sent"
)

// pass plans, stores the progress and sends the orders.
func (at *attemptsTest) pass(until passEnd) {
	at.now = at.now.Add(100 * time.Millisecond)
	at.scheduler.Plan(at.now)
	at.scheduler.TakeStops()
	o := at.scheduler.TakeOutput(wallTime)
	if until == untilPlanned {
		at.takeOver()
		return
	}
	for _, p := range o.Progress {
		at.stored = p.Progress
	}
	if until == untilStored {
		at.takeOver()
		return
	}
	for _, order := range o.Orders {
		switch order := order.(type) {
		case StartOrder:
			i := at.vmIndex(order.Agent)
			at.running[i] = append(at.running[i], worker.Run{Task: order.Task.String(), Number: order.Run})
			at.scheduler.StartAnswered(order, 1, true)
		case EndsAck:
			i := at.vmIndex(order.Agent)
			at.ended[i] = slices.DeleteFunc(at.ended[i], func(e worker.Ended) bool { return e.EndNumber <= order.LastNumber })
		}
	}
}

// end ends the first run on a VM that has any, from the i-th on.
func (at *attemptsTest) end(i int, reason worker.EndReason) {
	for k := range attemptsVMs {
		vm := (i + k) % attemptsVMs
		if len(at.running[vm]) == 0 {
			continue
		}
		run := at.running[vm][0]
		at.running[vm] = at.running[vm][1:]
		at.lastEnd[vm]++
		at.ended[vm] = append(at.ended[vm], worker.Ended{EndNumber: at.lastEnd[vm], Run: run, Reason: reason})
		if reason == worker.EndFailed {
			at.failedRuns[run.Number] = true
		}
		return
	}
}

// TestGangAttemptsOverPlanners guards against a failure of a gang that counts once more for
// each member whose end another planner hears of, and against one that counts for none: the
// job fails after exactly as many failed runs as its queue allows.
func TestGangAttemptsOverPlanners(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		at := &attemptsTest{
			t: rt, now: bootTime, maxAttempts: rapid.IntRange(1, 4).Draw(rt, "maxAttempts"), failedRuns: map[int]bool{},
			job: newJob("a", "normal", bootTime, steps.Step{Count: rapid.IntRange(2, 4).Draw(rt, "members"), Needs: steps.Resources{GPUs: rapid.SampledFrom([]int{1, 4}).Draw(rt, "gpus")}, Gang: true}),
		}
		at.stored.Phase = stepfold.PhaseQueued
		at.takeOver()
		for range rapid.IntRange(0, 60).Draw(rt, "events") {
			vm := rapid.IntRange(0, attemptsVMs-1).Draw(rt, "vm")
			switch rapid.IntRange(0, 7).Draw(rt, "event") {
			case 0, 1:
				at.end(vm, worker.EndFailed)
			case 2:
				at.end(vm, rapid.SampledFrom([]worker.EndReason{worker.EndStopped, worker.EndGangMemberEnded}).Draw(rt, "reason"))
			case 3:
				at.report(vm)
			case 4:
				at.reportAll()
			case 5:
				at.pass(untilSent)
			case 6:
				at.pass(rapid.SampledFrom([]passEnd{untilPlanned, untilStored}).Draw(rt, "until"))
			case 7:
				at.takeOver()
			}
		}
		for round := 0; at.stored.Phase != stepfold.PhaseFailed; round++ {
			if round == 100 {
				rt.Fatalf("%d runs have failed, allowed: %d, and the job is not over", len(at.failedRuns), at.maxAttempts)
			}
			at.reportAll()
			at.pass(untilSent)
			at.end(0, worker.EndFailed)
		}
		if len(at.failedRuns) != at.maxAttempts {
			rt.Fatalf("the job failed after %d failed runs, allowed: %d", len(at.failedRuns), at.maxAttempts)
		}
	})
}

// TestRestoreGangFailures guards against a failed run that the next planner counts again, and
// against one that it takes for counted, also by the records of programs that stored the same
// number for all members or raised it for the failed one only.
func TestRestoreGangFailures(t *testing.T) {
	ended := func(failures int) stepfold.TaskProgress { return stepfold.TaskProgress{Run: 2, Failures: failures} }
	active := func(failures int) stepfold.TaskProgress {
		return stepfold.TaskProgress{Run: 2, Failures: failures, Agent: "vm0", Worker: "vm0"}
	}
	for _, test := range []struct {
		name    string
		members []stepfold.TaskProgress
		// failures is the number after the last member has failed too.
		failures int
	}{
		{"in progress", []stepfold.TaskProgress{active(0), active(0)}, 1},
		{"in progress after a failed run", []stepfold.TaskProgress{active(1), active(1)}, 2},
		{"first member failed", []stepfold.TaskProgress{ended(1), active(0)}, 1},
		{"second failed run", []stepfold.TaskProgress{ended(2), active(1)}, 2},
		{"first member lost", []stepfold.TaskProgress{ended(0), active(0)}, 1},
		{"first member lost after a failed run", []stepfold.TaskProgress{ended(1), active(1)}, 2},
		{"raised for one member by an earlier program", []stepfold.TaskProgress{active(1), active(0)}, 2},
	} {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			sc := newCluster(1, bootTime)
			job := newJob("a", "normal", bootTime, steps.Step{Count: 2, Gang: true, Needs: steps.Resources{GPUs: 1}})
			progress := stepfold.Progress{Phase: stepfold.PhaseRunning, Begun: true, Tasks: map[steps.TaskID]stepfold.TaskProgress{{Index: 0}: test.members[0], {Index: 1}: test.members[1]}}
			sc.RestoreJob(stepfold.JobState{Job: &job, Progress: progress}, wallTime, bootTime)
			sc.HandleReport(Report{
				Agent: "vm0", Session: 1, Version: 1, WorkerPresent: true, Worker: "vm0", Capacity: steps.Resources{CPU: 32000, MemMB: 64000, GPUs: 8},
				Ended: []worker.Ended{{EndNumber: 1, Run: worker.Run{Task: "a.0.0.1", Number: 2}, Reason: worker.EndFailed}},
			}, bootTime)
			for _, member := range sc.Jobs["a"].Occurrences[0][0].Tasks {
				c.Check(member.Failures, qt.Equals, test.failures)
			}
		})
	}
}
