package stepplan

import (
	"slices"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"celerypoint.example/celerypoint/access"
	"celerypoint.example/celerypoint/stepfold"
	"celerypoint.example/celerypoint/steps"
	"celerypoint.example/celerypoint/worker"
)

// newServiceCluster returns an unconfigured Scheduler with the VM va of the service a and
// the VM vb of the service b.
func newServiceCluster() *Scheduler {
	sc := New(Timing{LeaseDuration: 5 * time.Second, KeepStatus: time.Minute, MaxStopTime: time.Second, MaxReclaimTime: 3 * time.Second, FarFactor: 3})
	for i, service := range []string{"a", "b"} {
		name := "v" + service
		sc.AgentAttached(name, i+1)
		sc.HandleReport(Report{
			Agent: name, Session: i + 1, WorkerPresent: true, Worker: name, Service: service, Capacity: steps.Resources{CPU: 32000, MemMB: 64000, GPUs: 8},
		}, bootTime)
		sc.LeaseGranted(name, bootTime)
	}
	return sc
}

// plannedVMs plans and returns the agents that start orders are for.
func (sc *Scheduler) plannedVMs(now time.Time) []string {
	sc.Plan(now)
	var agents []string
	for _, o := range sc.TakeOutput(wallTime).Orders {
		if start, ok := o.(StartOrder); ok {
			agents = append(agents, start.Agent)
		}
	}
	return agents
}

// failRun makes the agent report that the active run of the job's first task failed.
func (sc *Scheduler) failRun(job string, endNumber int64, now time.Time) {
	t := sc.Jobs[job].Occurrences[0][0].Tasks[0]
	vm := sc.VMs[t.Agent]
	sc.HandleReport(Report{
		Agent: vm.Agent, Session: vm.Session, Version: int(endNumber), WorkerPresent: true, Worker: vm.Worker, Service: vm.Service, Capacity: vm.Capacity,
		Ended: []worker.Ended{{Run: worker.Run{Task: t.ID.String(), Number: t.Run}, EndNumber: endNumber, Reason: worker.EndFailed}},
	}, now)
}

// TestRemovedQueueKeepsItsPolicy guards against tasks that start on VMs of any service,
// and a job given up with its first failure, because a planner never saw the job's queue.
func TestRemovedQueueKeepsItsPolicy(t *testing.T) {
	policy := &steps.QueuePolicy{Service: "b", Priority: 1, MaxAttempts: 2, LatencyFactor: 3, LatencyAllowance: time.Second}
	for _, test := range []struct {
		name   string
		policy *steps.QueuePolicy
		queues []access.Queue
		want   []string
	}{
		{"removed", policy, nil, []string{"vb"}},
		{"present", policy, []access.Queue{{Name: "q", Service: "a", Priority: 1, MaxAttempts: 2}}, []string{"va"}},
		{"removed, accepted by an earlier version", nil, nil, nil},
		{"present, accepted by an earlier version", nil, []access.Queue{{Name: "q", Service: "a", Priority: 1, MaxAttempts: 2}}, []string{"va"}},
	} {
		for _, restored := range []bool{false, true} {
			t.Run(test.name, func(t *testing.T) {
				c := qt.New(t)
				sc := newServiceCluster()
				sc.Configure(access.Config{Queues: test.queues})
				job := newJob("j", "q", bootTime, steps.Step{Count: 1, Needs: steps.Resources{GPUs: 1}})
				job.QueuePolicy = test.policy
				if restored {
					sc.RestoreJob(stepfold.JobState{Job: &job}, wallTime, bootTime)
				} else {
					sc.AddJob(job, bootTime)
				}
				unknown := slices.ContainsFunc(sc.output.Events, func(e Event) bool { return e.Kind == "queueUnknown" && e.Job == "j" })
				c.Assert(unknown, qt.Equals, test.want == nil)
				c.Assert(sc.plannedVMs(bootTime), qt.DeepEquals, test.want)
				if test.want == nil {
					return
				}
				sc.failRun("j", 1, bootTime)
				c.Assert(sc.Jobs["j"].Phase, qt.Equals, stepfold.PhaseRunning)
				now := bootTime.Add(time.Second)
				c.Assert(sc.plannedVMs(now), qt.DeepEquals, test.want)
				sc.failRun("j", 2, now)
				c.Assert(sc.Jobs["j"].Phase, qt.Equals, stepfold.PhaseFailed)
			})
		}
	}
}

// TestFailuresBeforeQueueIsKnown guards against a job given up, or a task started once
// more than the queue allows, because a failure came while the queue was not known.
func TestFailuresBeforeQueueIsKnown(t *testing.T) {
	for _, test := range []struct {
		maxAttempts int
		restored    bool
		phase       stepfold.Phase
		starts      []string
	}{
		{2, false, stepfold.PhaseFailed, nil},
		{2, true, stepfold.PhaseFailed, nil},
		{3, false, stepfold.PhaseRunning, []string{"va"}},
		{3, true, stepfold.PhaseRunning, []string{"va"}},
	} {
		c := qt.New(t)
		sc := newServiceCluster()
		sc.Configure(access.Config{})
		job := newJob("j", "q", bootTime, steps.Step{Count: 1, Needs: steps.Resources{GPUs: 1}})
		progress := stepfold.Progress{Phase: stepfold.PhaseRunning, Begun: true, Tasks: map[steps.TaskID]stepfold.TaskProgress{{}: {Run: 2, Agent: "va", Worker: "va", Failures: 1}}}
		sc.RestoreJob(stepfold.JobState{Job: &job, Progress: progress}, wallTime, bootTime)
		sc.failRun("j", 1, bootTime)
		c.Assert(sc.plannedVMs(bootTime), qt.HasLen, 0)
		c.Assert(sc.Jobs["j"].Phase, qt.Equals, stepfold.PhaseRunning)
		if test.restored {
			progress = sc.Jobs["j"].storedProgress(wallTime)
			sc = newServiceCluster()
			sc.Configure(access.Config{})
			sc.RestoreJob(stepfold.JobState{Job: &job, Progress: progress}, wallTime, bootTime)
		}
		sc.Configure(access.Config{Queues: []access.Queue{{Name: "q", Service: "a", Priority: 1, MaxAttempts: test.maxAttempts}}})
		c.Assert(sc.plannedVMs(bootTime.Add(time.Second)), qt.DeepEquals, test.starts)
		c.Assert(sc.Jobs["j"].Phase, qt.Equals, test.phase)
	}
}

// TestUnconfiguredSchedulerStartsNothing guards against tasks placed, and jobs given up, by
// the stored policy of a queue before any configuration is known, which may change it.
func TestUnconfiguredSchedulerStartsNothing(t *testing.T) {
	c := qt.New(t)
	sc := newServiceCluster()
	job := newJob("j", "q", bootTime, steps.Step{Count: 1, Needs: steps.Resources{GPUs: 1}})
	job.QueuePolicy = &steps.QueuePolicy{Service: "a", Priority: 1, MaxAttempts: 1}
	ended := job
	ended.ID = "ended"
	running := stepfold.Progress{Phase: stepfold.PhaseRunning, Begun: true, Tasks: map[steps.TaskID]stepfold.TaskProgress{{}: {Run: 1, Agent: "va", Worker: "va"}}}
	sc.RestoreJob(stepfold.JobState{Job: &job, Progress: running}, wallTime, bootTime)
	sc.RestoreJob(stepfold.JobState{Job: &ended, Progress: running}, wallTime, bootTime)
	added := job
	added.ID = "added"
	sc.AddJob(added, bootTime)
	sc.Cancel("ended", bootTime)
	c.Assert(sc.TakeStops(), qt.HasLen, 1)
	sc.failRun("j", 1, bootTime)
	c.Assert(sc.plannedVMs(bootTime), qt.HasLen, 0)
	c.Assert(sc.Jobs["j"].Phase, qt.Equals, stepfold.PhaseRunning)
	c.Assert(sc.Jobs["ended"].Phase, qt.Equals, stepfold.PhaseCancelled)
	c.Assert(sc.Jobs["added"].QueueKnown, qt.IsFalse)
	sc.Configure(access.Config{Queues: []access.Queue{{Name: "q", Service: "b", Priority: 1, MaxAttempts: 2}}})
	c.Assert(sc.plannedVMs(bootTime.Add(time.Second)), qt.DeepEquals, []string{"vb", "vb"})
}

// TestOccurrenceBeyondCount guards against occurrences that a stored record invents: their
// tasks would start, or complete the job in the place of others.
func TestOccurrenceBeyondCount(t *testing.T) {
	for _, occurrence := range []int{2, 3, 99_999} {
		for _, done := range []bool{false, true} {
			c := qt.New(t)
			sc := newServiceCluster()
			sc.Configure(access.Config{Queues: []access.Queue{{Name: "q", Priority: 1, MaxAttempts: 2}}})
			job := newJob("j", "q", bootTime, steps.Step{Count: 1, Needs: steps.Resources{GPUs: 1}})
			job.OccurrenceCount, job.StartAt, job.Interval = 2, wallTime, time.Second
			progress := stepfold.Progress{Phase: stepfold.PhaseRunning, Begun: true, Tasks: map[steps.TaskID]stepfold.TaskProgress{
				{Occurrence: 0}: {Run: 1, Done: true}, {Occurrence: 1}: {Run: 1}, {Occurrence: occurrence}: {Run: 1, Done: done},
			}}
			sc.RestoreJob(stepfold.JobState{Job: &job, Progress: progress}, wallTime, bootTime)
			sc.StartDueOccurrences(wallTime.Add(time.Hour), bootTime)
			c.Check(sc.Jobs["j"].Phase, qt.Equals, stepfold.PhaseRunning)
			c.Check(len(sc.Jobs["j"].Occurrences), qt.Equals, 2)
			c.Check(sc.plannedVMs(bootTime), qt.HasLen, 1)
		}
	}
}

// TestEndedJobIsKeptDespiteClocks guards against a job that a new planner forgets right after
// its end because the wall clock of its VM is ahead of that of the planner before, and
// against one that is kept for good.
func TestEndedJobIsKeptDespiteClocks(t *testing.T) {
	for _, test := range []struct {
		age, ahead time.Duration
		kept       bool
	}{
		{0, 0, true},
		{0, 2 * time.Minute, true},
		{0, -2 * time.Minute, true},
		{time.Minute, 5 * time.Minute, true},
		{time.Hour, 0, false},
	} {
		c := qt.New(t)
		sc := newServiceCluster()
		sc.Timing.KeepStatus = 2 * time.Minute
		job := newJob("j", "q", bootTime, steps.Step{Count: 1, Needs: steps.Resources{GPUs: 1}})
		ended := stepfold.Progress{Phase: stepfold.PhaseCompleted, Begun: true, EndedAt: wallTime.Add(-test.age)}
		sc.RestoreJob(stepfold.JobState{Job: &job, Progress: ended}, wallTime.Add(test.ahead), bootTime)
		sc.PruneJobs(bootTime)
		c.Check(sc.Jobs["j"] != nil, qt.Equals, test.kept, qt.Commentf("%+v", test))
	}
}
