package stepplan

import (
	"fmt"
	"slices"
	"time"

	"celerypoint.example/celerypoint/lease"
	"celerypoint.example/celerypoint/stepfold"
	"celerypoint.example/celerypoint/steps"
	"celerypoint.example/celerypoint/worker"
)

func (b *Scheduler) vm(agent string) *VM {
	vm := b.VMs[agent]
	if vm == nil {
		vm = &VM{Agent: agent, ActiveTasks: map[steps.TaskID]*Task{}}
		b.VMs[agent] = vm
	}
	return vm
}

// task finds a task by its name; it is nil for a job that is not known.
func (b *Scheduler) task(id steps.TaskID) (*Job, *Step, *Task) {
	j := b.Jobs[id.Job]
	if j == nil {
		return nil, nil, nil
	}
	occurrence := j.Occurrences[id.Occurrence]
	if id.Step >= len(occurrence) || id.Index >= len(occurrence[id.Step].Tasks) {
		return j, nil, nil
	}
	return j, occurrence[id.Step], occurrence[id.Step].Tasks[id.Index]
}

func (b *Scheduler) stepOf(t *Task) *Step {
	return b.Jobs[t.ID.Job].Occurrences[t.ID.Occurrence][t.ID.Step]
}

// openRun marks the task's run as one that may be in progress.
func (b *Scheduler) openRun(t *Task, vm *VM, life string, now time.Time) {
	t.Active, t.Agent, t.Worker = true, vm.Agent, life
	t.Running, t.ConclusiveReport, t.StopRequestedAt = false, -1, time.Time{}
	t.StartedAt, t.Progress, t.ProgressAt = now, 0, now
	vm.ActiveTasks[t.ID] = t
	b.stepOf(t).ActiveCount++
	b.dirty[t.ID.Job] = true
}

// closeRun marks the task's run as ended.
func (b *Scheduler) closeRun(t *Task, now time.Time) {
	if !t.Active {
		return
	}
	delete(b.VMs[t.Agent].ActiveTasks, t.ID)
	t.Active, t.WaitSince = false, now
	b.stepOf(t).ActiveCount--
	b.dirty[t.ID.Job] = true
}

// repeatStop is when a stop whose end is not listed is ordered again.
const repeatStop = time.Second

// stop orders the end of an open run; the run stays open until its end is
// listed.
func (b *Scheduler) stop(t *Task, now time.Time, reason string) {
	if !t.Active || t.Done || !t.StopRequestedAt.IsZero() && now.Sub(t.StopRequestedAt) < repeatStop {
		return
	}
	if t.StopRequestedAt.IsZero() {
		b.event(Event{Kind: "taskStopped", Job: t.ID.Job, Task: t.ID.String(), Run: t.Run, VM: t.Agent, Reason: reason})
	}
	t.StopRequestedAt = now
	vm := b.VMs[t.Agent]
	if vm.Attached {
		b.stops = append(b.stops, StopOrder{Agent: t.Agent, Worker: t.Worker, Session: vm.Session, Task: t.ID, Run: t.Run, Reason: reason})
	}
}

// AgentAttached begins a session with an agent. Orders of earlier sessions are void
// from now on, so that the session's first report tells what became of them.
func (b *Scheduler) AgentAttached(agent string, session int) {
	vm := b.vm(agent)
	vm.Session, vm.Attached, vm.Reported = session, true, false
	for _, t := range vm.ActiveTasks {
		t.ConclusiveReport, t.StopRequestedAt = 0, time.Time{}
	}
}

// AgentDetached says that the agent cannot be reached.
func (b *Scheduler) AgentDetached(agent string, session int) {
	if vm := b.VMs[agent]; vm != nil && vm.Session == session {
		vm.Attached = false
	}
}

// LeaseGranted says that a lease was granted for a question received at the time.
func (b *Scheduler) LeaseGranted(agent string, received time.Time) {
	vm := b.vm(agent)
	if until := lease.ExpiresBy(received, b.Timing.LeaseDuration); until.After(vm.LeaseUntil) {
		vm.LeaseUntil = until
	}
}

// StartAnswered says that an agent carried out a start, or that its reports from the
// version on tell whether the worker did.
func (b *Scheduler) StartAnswered(o StartOrder, version int, confirmed bool) {
	if t := b.ordered(o); t != nil {
		t.Running, t.ConclusiveReport = confirmed, version
	}
}

// StartWithdrawn says that an order was never sent.
func (b *Scheduler) StartWithdrawn(o StartOrder, reason string, now time.Time) {
	if t := b.ordered(o); t != nil {
		b.lose(t, now, "withdrawn: "+reason)
	}
}

// StartWanted reports whether the run of an order is still to be started.
func (b *Scheduler) StartWanted(o StartOrder) bool {
	t := b.ordered(o)
	return t != nil && t.StopRequestedAt.IsZero() && !b.Jobs[o.Task.Job].Phase.Over()
}

// Spans until a task or a VM is tried again after a refusal.
const (
	refusedTaskPause = 200 * time.Millisecond
	unhealthyPause   = 1500 * time.Millisecond
)

// StartRefused says that a run was not started and never will be.
func (b *Scheduler) StartRefused(o StartOrder, reason string, now time.Time) {
	t := b.ordered(o)
	if t == nil {
		return
	}
	b.VMs[o.Agent].UnhealthyUntil = now.Add(unhealthyPause)
	b.lose(t, now, "refused: "+reason)
	t.NotBefore = now.Add(refusedTaskPause)
	if !slices.Contains(t.FailedOn, o.Agent) {
		t.FailedOn = append(t.FailedOn, o.Agent)
	}
}

// ordered finds the open run of an order.
func (b *Scheduler) ordered(o StartOrder) *Task {
	_, _, t := b.task(o.Task)
	if t == nil || !t.Active || t.Run != o.Run || t.Agent != o.Agent || b.VMs[o.Agent].Session != o.Session {
		return nil
	}
	return t
}

// lose closes a run that has no end, and breaks its gang.
func (b *Scheduler) lose(t *Task, now time.Time, reason string) {
	b.closeRun(t, now)
	if t.Done {
		return
	}
	b.event(Event{Kind: "runLost", Job: t.ID.Job, Task: t.ID.String(), Run: t.Run, VM: t.Agent, Reason: reason})
	b.breakGang(t, now, reason)
}

// breakGang stops the other members of a run, which cannot go on alone.
func (b *Scheduler) breakGang(t *Task, now time.Time, reason string) {
	s := b.stepOf(t)
	if !s.Spec.Gang {
		return
	}
	for _, member := range s.Tasks {
		if member != t && member.Active && member.Run == t.Run {
			b.stop(member, now, "gang broken: "+reason)
		}
	}
}

// HandleReport takes over what an agent knows.
func (b *Scheduler) HandleReport(r Report, now time.Time) {
	vm := b.vm(r.Agent)
	if r.Session != vm.Session || !vm.Attached {
		return
	}
	vm.Reported, vm.ReportedAt, vm.Leaving = true, now, r.Leaving
	if !r.WorkerPresent {
		return
	}
	if vm.Worker != r.Worker {
		vm.Worker, vm.LastEndNumber = r.Worker, 0
		b.Quarantine.ForgetVM(r.Agent)
		b.event(Event{Kind: "workerSeen", VM: r.Agent, Reason: fmt.Sprintf("worker=%s rack=%s", r.Worker, r.Rack)})
	}
	if r.Draining && !vm.Draining {
		b.event(Event{Kind: "workerDraining", VM: r.Agent, Reason: fmt.Sprintf("remainingMs=%d", r.RemainingMs)})
	}
	vm.Service, vm.Zone, vm.Rack, vm.Labels, vm.Capacity = r.Service, r.Zone, r.Rack, r.Labels, r.Capacity
	vm.Draining, vm.DrainDeadline = r.Draining, now.Add(time.Duration(r.RemainingMs)*time.Millisecond)
	if r.Unhealthy {
		vm.UnhealthyUntil = now.Add(unhealthyPause)
	}
	for _, t := range b.openOn(vm) {
		if t.Worker != r.Worker {
			b.lose(t, now, "the worker started anew")
		}
	}
	for _, e := range r.Ended {
		b.ended(vm, e, now)
	}
	b.listed(vm, r, now)
	b.rescue(vm, now)
}

// openOn lists the open runs of a VM, which closing changes.
func (b *Scheduler) openOn(vm *VM) []*Task {
	all := make([]*Task, 0, len(vm.ActiveTasks))
	for _, t := range vm.ActiveTasks {
		all = append(all, t)
	}
	slices.SortFunc(all, func(x, y *Task) int { return compareIDs(x.ID, y.ID) })
	return all
}

// listed compares the runs that an agent lists with those that are open.
func (b *Scheduler) listed(vm *VM, r Report, now time.Time) {
	present := map[steps.TaskID]RunningTask{}
	vm.UnknownRuns = 0
	for _, run := range r.Running {
		id, err := steps.ParseTaskID(run.Task)
		if err != nil {
			vm.UnknownRuns++
			continue
		}
		if t := vm.ActiveTasks[id]; t != nil && t.Run == run.Number {
			present[id] = run
			b.seen(t, run, now)
			continue
		}
		vm.UnknownRuns++
		if !run.StartUnconfirmed {
			b.stops = append(b.stops, StopOrder{Agent: vm.Agent, Worker: r.Worker, Session: vm.Session, Task: id, Run: run.Number, Reason: "the planner does not know the run"})
		}
	}
	for _, t := range b.openOn(vm) {
		if _, found := present[t.ID]; !found && t.ConclusiveReport >= 0 && r.Version >= t.ConclusiveReport {
			b.lose(t, now, "the worker does not list the run")
		}
	}
}

// seen takes over the newest news of an open run.
func (b *Scheduler) seen(t *Task, run RunningTask, now time.Time) {
	if run.StartUnconfirmed {
		return
	}
	if !t.Running || b.VMs[t.Agent].UnhealthyUntil.After(now) {
		// What an unhealthy worker lists may be old.
		t.ProgressAt = now
	}
	t.Running = true
	if run.Progress > t.Progress {
		t.Progress, t.ProgressAt = run.Progress, now
	}
	if run.Checkpoint != "" && run.Checkpoint != t.Checkpoint {
		t.Checkpoint = run.Checkpoint
		if s := b.stepOf(t); s.Spec.Gang {
			// A value of one member is valid for all, and all carry the same.
			for _, member := range s.Tasks {
				member.Checkpoint = run.Checkpoint
			}
		}
	}
	if !t.StopRequestedAt.IsZero() && now.Sub(t.StopRequestedAt) >= repeatStop || b.Jobs[t.ID.Job].Phase.Over() {
		b.stop(t, now, "not ended yet")
	}
}

// ended takes over one end. The worker may forget it once the job's progress
// is stored.
func (b *Scheduler) ended(vm *VM, e worker.Ended, now time.Time) {
	if e.EndNumber > vm.LastEndNumber {
		vm.LastEndNumber = e.EndNumber
		b.output.Orders = append(b.output.Orders, EndsAck{Agent: vm.Agent, Worker: vm.Worker, LastNumber: e.EndNumber})
	}
	id, err := steps.ParseTaskID(e.Task)
	if err != nil {
		return
	}
	j, s, t := b.task(id)
	if t == nil || t.Run != e.Run.Number || t.Active && t.Agent != vm.Agent {
		return
	}
	if t.Done {
		// Another member of the gang reported the end for all; this one's
		// capacity is free from now on.
		b.closeRun(t, now)
		return
	}
	if !t.Active && e.Reason != worker.EndDone {
		// The run was given up before; only its success still counts.
		return
	}
	b.event(Event{Kind: "taskEnded", Job: id.Job, Task: e.Task, Run: e.Run.Number, VM: vm.Agent, Reason: string(e.Reason)})
	if e.Checkpoint != "" {
		t.Checkpoint = e.Checkpoint
		if s.Spec.Gang {
			for _, member := range s.Tasks {
				member.Checkpoint = e.Checkpoint
			}
		}
	}
	b.dirty[id.Job] = true
	switch e.Reason {
	case worker.EndDone:
		b.done(j, s, t, vm, now)
	case worker.EndFailed:
		b.failed(j, s, t, vm, now)
	default:
		b.closeRun(t, now)
		b.breakGang(t, now, string(e.Reason))
	}
}

// done takes over a success. The members of a gang end together, so that one
// end counts for all; the others hold their capacity until their own end is
// listed.
func (b *Scheduler) done(j *Job, s *Step, t *Task, vm *VM, now time.Time) {
	b.Quarantine.RecordSuccess(vm.Agent)
	run := t.Run
	b.closeRun(t, now)
	if s.Spec.LongRunning {
		b.breakGang(t, now, "a member ended")
		return
	}
	for _, member := range s.Tasks {
		if (member == t || s.Spec.Gang && member.Run == run) && !member.Done {
			member.Done = true
			s.DoneCount++
		}
	}
	b.settleOccurrences(j, now)
}

// failed counts a failure, and fails the job when the attempts are used up. A
// gang fails as a whole, once for each of its runs.
func (b *Scheduler) failed(j *Job, s *Step, t *Task, vm *VM, now time.Time) {
	verdict := b.Quarantine.RecordFailure(vm.Agent, t.ID.Job, now)
	if verdict.Quarantined {
		b.event(Event{Kind: "vmQuarantined", VM: vm.Agent, Reason: fmt.Sprintf("until %s", verdict.QuarantinedUntil.Sub(now).Round(time.Millisecond))})
	}
	b.closeRun(t, now)
	t.FailedOn = append(t.FailedOn, vm.Agent)
	b.breakGang(t, now, "a member failed")
	if s.Spec.Gang && s.FailedRun == t.Run {
		return
	}
	s.FailedRun = t.Run
	t.Failures++
	if s.Spec.Gang {
		for _, member := range s.Tasks {
			member.Failures = max(member.Failures, t.Failures)
		}
	}
	if t.Failures >= j.Queue.MaxAttempts && !s.Spec.LongRunning && !j.Phase.Over() {
		b.end(j, stepfold.PhaseFailed, now)
	}
}

// ExpireLeases closes the runs on VMs whose leases have all lapsed.
func (b *Scheduler) ExpireLeases(now time.Time) {
	for _, vm := range b.VMs {
		if len(vm.ActiveTasks) == 0 || now.Before(vm.LeaseUntil) {
			continue
		}
		for _, t := range b.openOn(vm) {
			b.lose(t, now, "the lease lapsed")
		}
	}
}
