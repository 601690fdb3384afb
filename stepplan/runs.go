package stepplan

import (
	"fmt"
	"slices"
	"time"

	"celerypoint.example/celerypoint/lease"
	"celerypoint.example/celerypoint/steps"
	"celerypoint.example/celerypoint/worker"
)

func (sc *Scheduler) vm(agent string) *VM {
	vm := sc.VMs[agent]
	if vm == nil {
		vm = &VM{Agent: agent, ActiveTasks: map[steps.TaskID]*Task{}}
		sc.VMs[agent] = vm
	}
	return vm
}

// findTask finds a task with its job and step. All are nil for an unknown job,
// and the step and the task are nil for an unknown task of a known job.
func (sc *Scheduler) findTask(id steps.TaskID) (*Job, *Step, *Task) {
	j := sc.Jobs[id.Job]
	if j == nil {
		return nil, nil, nil
	}
	occurrence := j.Occurrences[id.Occurrence]
	if id.Step >= len(occurrence) || id.Index >= len(occurrence[id.Step].Tasks) {
		return j, nil, nil
	}
	return j, occurrence[id.Step], occurrence[id.Step].Tasks[id.Index]
}

func (sc *Scheduler) stepOf(t *Task) *Step {
	return sc.Jobs[t.ID.Job].Occurrences[t.ID.Occurrence][t.ID.Step]
}

// beginRun marks the task's run as active on the VM, in the worker incarnation
// with the given ID. The caller has set Task.needs.
func (sc *Scheduler) beginRun(t *Task, vm *VM, workerID string, now time.Time) {
	t.Active, t.Agent, t.Worker = true, vm.Agent, workerID
	t.Running, t.ConclusiveReport, t.StopRequestedAt = false, -1, time.Time{}
	t.StartedAt, t.Progress, t.ProgressAt, t.StallFrom = now, 0, now, now
	t.segment = segment{}
	t.rateFrom, t.rateFromProgress = time.Time{}, 0
	t.resumed, t.paceFrom, t.paceFromProgress = sc.stepOf(t).Spec.Checkpointing && t.Checkpoint != "", time.Time{}, 0
	vm.ActiveTasks[t.ID] = t
	vm.neighbourhood++
	vm.used = vm.used.Plus(t.needs)
	sc.Jobs[t.ID.Job].heldGPUs += t.needs.GPUs
	sc.stepOf(t).ActiveCount++
	sc.dirty[t.ID.Job] = true
}

// endRun marks the task's run as no longer active and frees its capacity.
func (sc *Scheduler) endRun(t *Task, now time.Time) {
	if !t.Active {
		return
	}
	vm := sc.VMs[t.Agent]
	delete(vm.ActiveTasks, t.ID)
	vm.neighbourhood++
	vm.used = vm.used.Minus(t.needs)
	sc.Jobs[t.ID.Job].heldGPUs -= t.needs.GPUs
	t.Active, t.WaitSince = false, now
	sc.stepOf(t).ActiveCount--
	sc.dirty[t.ID.Job] = true
}

// stopRetryInterval is the time after a stop order from which on the order is
// repeated if the agent still lists the run.
const stopRetryInterval = time.Second

// requestStop issues a stop order for the task's active run, unless the task has
// succeeded or the last request is more recent than stopRetryInterval. While the
// agent is not attached, requestStop only records the request. The run stays
// active until its end is reported or it is known to be lost.
func (sc *Scheduler) requestStop(t *Task, now time.Time, reason string) {
	if !t.Active || t.Done || !t.StopRequestedAt.IsZero() && now.Sub(t.StopRequestedAt) < stopRetryInterval {
		return
	}
	if t.StopRequestedAt.IsZero() {
		sc.addEvent(Event{Kind: "taskStopped", Job: t.ID.Job, Task: t.ID.String(), Run: t.Run, VM: t.Agent, Reason: reason})
	}
	t.StopRequestedAt = now
	vm := sc.VMs[t.Agent]
	if vm.Attached {
		sc.stops = append(sc.stops, StopOrder{Agent: t.Agent, Worker: t.Worker, Session: vm.Session, Task: t.ID, Run: t.Run, Reason: reason})
	}
}

// AgentAttached records the beginning of a session with an agent. An agent that
// reports in the session ignores orders of earlier sessions, so that its first
// report shows conclusively which of the ordered runs exist. Orders to stop runs may
// have been lost with the earlier session, so that they are repeated for the runs that
// the first report lists.
func (sc *Scheduler) AgentAttached(agent string, session int) {
	vm := sc.vm(agent)
	vm.Session, vm.Attached, vm.Reported = session, true, false
	for _, t := range vm.ActiveTasks {
		t.ConclusiveReport = 0
		if !t.StopRequestedAt.IsZero() {
			t.StopRequestedAt = t.StopRequestedAt.Add(-stopRetryInterval)
		}
	}
}

// AgentDetached records the end of a session with an agent. It has no effect if a
// later session has begun.
func (sc *Scheduler) AgentDetached(agent string, session int) {
	if vm := sc.VMs[agent]; vm != nil && vm.Session == session {
		vm.Attached = false
	}
}

// LeaseGranted records that the agent was granted a lease. received is when the
// request for the lease was received, or a later time.
func (sc *Scheduler) LeaseGranted(agent string, received time.Time) {
	vm := sc.vm(agent)
	if until := lease.ExpiresBy(received, sc.Timing.LeaseDuration); until.After(vm.LeaseUntil) {
		vm.LeaseUntil = until
	}
}

// StartAnswered records an agent's answer to a start order, other than a refusal.
// If confirmed is set, the run has started; otherwise it may have. The agent's
// reports from the given Report.Version on list the run for as long as it may be
// executing.
func (sc *Scheduler) StartAnswered(o StartOrder, version int, confirmed bool) {
	t := sc.taskOfOrder(o)
	if t == nil {
		return
	}
	t.Running, t.ConclusiveReport = confirmed, version
	if confirmed {
		delete(t.Refusals, o.Agent)
		sc.recordStarted(t, o.Run)
	}
}

// StartWithdrawn records that a start order will not be sent.
func (sc *Scheduler) StartWithdrawn(o StartOrder, reason string, now time.Time) {
	if t := sc.taskOfOrder(o); t != nil {
		sc.markNotStarted(t, now, "start withdrawn: "+reason)
	}
}

// markNotStarted marks the task's run as lost whose order was not carried out. The task goes
// on waiting.
func (sc *Scheduler) markNotStarted(t *Task, now time.Time, reason string) {
	since := t.WaitSince
	sc.markLost(t, now, reason)
	t.WaitSince = since
}

// StartWanted reports whether the order still has to be sent: its run is active,
// was not requested to stop, its job is not over, and its VM takes new runs, has not
// lost capacity that the runs there need and holds a lease. Without one the run would
// count as lost while the agent may start it under the next lease.
func (sc *Scheduler) StartWanted(o StartOrder, now time.Time) bool {
	t := sc.taskOfOrder(o)
	if t == nil || !t.StopRequestedAt.IsZero() || sc.Jobs[o.Task.Job].Phase.Over() {
		return false
	}
	vm := sc.VMs[o.Agent]
	return !vm.Draining && !sc.Evacuated[vm.Zone] && vm.Capacity.Holds(vm.used) && now.Before(vm.LeaseUntil)
}

// Waiting times after a refused start, until the task is started again and until
// any task is started on the VM. The latter also applies to a VM whose worker
// reports itself unhealthy.
const (
	refusedTaskBackoff = 200 * time.Millisecond
	unhealthyVMBackoff = 1500 * time.Millisecond
	// maxRefusalBackoff bounds the time for which the task avoids the VM. That time grows,
	// because each refusal also keeps other tasks from the VM for unhealthyVMBackoff, and a
	// task may be refused for a cause of its own.
	maxRefusalBackoff = 30 * time.Second
)

// Refusal is what a task knows of the refused starts on one VM. A refusal mostly says that the
// worker is unhealthy at the moment, so that it weighs less than a failure.
type Refusal struct {
	// Count is the number of refusals in a row.
	Count int
	// AvoidUntil is the time until which other VMs that could hold the task are preferred,
	// also while they are full.
	AvoidUntil time.Time
}

// next is the record after a further refusal. The time to avoid the VM doubles each time.
func (r Refusal) next(now time.Time) Refusal {
	backoff := unhealthyVMBackoff
	for n := 0; n < r.Count && backoff < maxRefusalBackoff; n++ {
		backoff *= 2
	}
	return Refusal{Count: r.Count + 1, AvoidUntil: now.Add(min(backoff, maxRefusalBackoff))}
}

// StartRefused records that the agent or the worker refused a start order for
// good, so that the run never executes.
func (sc *Scheduler) StartRefused(o StartOrder, reason string, now time.Time) {
	t := sc.taskOfOrder(o)
	if t == nil {
		return
	}
	sc.VMs[o.Agent].UnhealthyUntil = now.Add(unhealthyVMBackoff)
	sc.markNotStarted(t, now, "start refused: "+reason)
	t.NotBefore = now.Add(refusedTaskBackoff)
	if t.Refusals == nil {
		t.Refusals = map[string]Refusal{}
	}
	t.Refusals[o.Agent] = t.Refusals[o.Agent].next(now)
}

// taskOfOrder finds the task of a start order. It returns nil if the run of the
// order is no longer active or the planner has a newer session with the agent.
func (sc *Scheduler) taskOfOrder(o StartOrder) *Task {
	_, _, t := sc.findTask(o.Task)
	if t == nil || !t.Active || t.Run != o.Run || t.Agent != o.Agent || sc.VMs[o.Agent].Session != o.Session {
		return nil
	}
	return t
}

// markLost marks the task's run as no longer active although no end was reported:
// the worker ended or restarted, the agent's report does not list the run, the lease expired,
// or the start was refused or never sent. It also stops the other members of the
// task's gang, unless Task.Done is set, which the success of one member sets for all
// members with the same run number.
func (sc *Scheduler) markLost(t *Task, now time.Time, reason string) {
	sc.endRun(t, now)
	if t.Done {
		return
	}
	sc.addEvent(Event{Kind: "runLost", Job: t.ID.Job, Task: t.ID.String(), Run: t.Run, VM: t.Agent, Reason: reason})
	sc.stopOtherMembers(t, now, reason)
}

// stopOtherMembers stops the runs of the other members of the task's gang with the
// same run number. They cannot continue without the task.
func (sc *Scheduler) stopOtherMembers(t *Task, now time.Time, reason string) {
	s := sc.stepOf(t)
	if !s.Spec.Gang {
		return
	}
	for _, member := range s.Tasks {
		if member != t && member.Active && member.Run == t.Run {
			sc.requestStop(member, now, "gang stopped: "+reason)
		}
	}
}

// HandleReport applies an agent's report. It ignores a report of any session other
// than the current one. A report without a worker leaves what is known about the
// worker and its runs unchanged. It reports whether a planning pass or TakeOutput may
// now have something to do that it had not before.
func (sc *Scheduler) HandleReport(r Report, now time.Time) bool {
	vm := sc.vm(r.Agent)
	if r.Session != vm.Session || !vm.Attached {
		return false
	}
	before := vm.usability(now)
	sc.applyReport(vm, r, now)
	return vm.usability(now) != before || len(sc.dirty) > 0 || len(sc.output.Orders) > 0 || len(sc.output.Events) > 0
}

// usability holds what decides whether a pass starts tasks on a VM, other than times
// that pass.
type usability struct {
	worker, service, rack                  string
	recent, draining, leaving, unknownRuns bool
	capacity                               steps.Resources
	unhealthyUntil                         time.Time
}

func (vm *VM) usability(now time.Time) usability {
	return usability{
		worker: vm.Worker, service: vm.Service, rack: vm.Rack, recent: vm.Reported && now.Sub(vm.ReportedAt) < maxReportAge,
		draining: vm.Draining, leaving: vm.Leaving, unknownRuns: vm.UnknownRuns > 0, capacity: vm.Capacity, unhealthyUntil: vm.UnhealthyUntil,
	}
}

// applyReport applies a report of the VM's current session.
func (sc *Scheduler) applyReport(vm *VM, r Report, now time.Time) {
	// The agent may not have heard from its worker either while it was silent.
	silent := !vm.Reported || now.Sub(vm.ReportedAt) > stallTimeout
	vm.Reported, vm.ReportedAt, vm.Leaving = true, now, r.Leaving
	sc.separateReplaced(vm, r)
	sc.moveListedRuns(vm, r)
	sc.handleFormer(vm, r.Former, now)
	if !r.WorkerPresent {
		sc.endExpiredRuns(vm, r, now)
		return
	}
	if vm.Worker != r.Worker {
		vm.Worker, vm.LastEndNumber = r.Worker, 0
		sc.Quarantine.ForgetVM(r.Agent)
		if sc.paces != nil {
			sc.paces.Forget(r.Agent)
		}
		sc.addEvent(Event{Kind: "workerSeen", VM: r.Agent, Reason: fmt.Sprintf("worker=%s rack=%s", r.Worker, r.Rack)})
	}
	if r.Draining && !vm.Draining && !slices.Contains(vm.FormerWorkers, r.Worker) {
		sc.addEvent(Event{Kind: "workerDraining", VM: r.Agent, Reason: fmt.Sprintf("remainingMs=%d", r.RemainingMs)})
	}
	vm.Service, vm.Zone, vm.Rack, vm.Labels, vm.Capacity = r.Service, r.Zone, r.Rack, r.Labels, r.Capacity
	vm.Unreachable = r.Unreachable
	wasDraining := vm.Draining
	if r.Unreachable {
		sc.recordUnreachableRuns(vm, r, now)
	} else {
		sc.decideAbsences(vm, r, now)
	}
	vm.Draining, vm.DrainDeadline = r.Draining, now.Add(time.Duration(r.RemainingMs)*time.Millisecond)
	if r.Unhealthy {
		vm.UnhealthyUntil = now.Add(unhealthyVMBackoff)
	}
	for _, t := range sc.activeTasksOn(vm) {
		if t.Worker != r.Worker {
			if !wasDraining {
				sc.recordUnexplainedEnd(vm, t, now)
			}
			sc.markLost(t, now, "the worker restarted, its agent does not know why")
		}
	}
	for _, e := range r.Ended {
		sc.handleEnd(vm, e, now)
	}
	sc.reconcileRuns(vm, r, silent, now)
	sc.endExpiredRuns(vm, r, now)
	sc.stopUnfinishableRuns(vm, now)
}

// moveListedRuns moves the active runs that the report lists to the worker incarnation of
// the report. The start order of such a run has reached the worker after its restart.
func (sc *Scheduler) moveListedRuns(vm *VM, r Report) {
	if !r.WorkerPresent {
		return
	}
	move := func(run worker.Run) {
		id, err := steps.ParseTaskID(run.Task)
		if err != nil {
			return
		}
		if t := vm.ActiveTasks[id]; t != nil && t.Run == run.Number && t.Worker != r.Worker {
			t.Worker = r.Worker
			sc.dirty[id.Job] = true
		}
	}
	for _, run := range r.Running {
		move(run.Run)
	}
	for _, e := range r.Ended {
		move(e.Run)
	}
}

// activeTasksOn lists the tasks with an active run on the VM, sorted by ID. The
// result is a copy, so that the caller can end runs while it iterates.
func (sc *Scheduler) activeTasksOn(vm *VM) []*Task {
	all := make([]*Task, 0, len(vm.ActiveTasks))
	for _, t := range vm.ActiveTasks {
		all = append(all, t)
	}
	slices.SortFunc(all, func(x, y *Task) int { return compareTaskIDs(x.ID, y.ID) })
	return all
}

// reconcileRuns compares the runs in a report with the VM's active runs. It
// requests unknown runs to stop if their start is confirmed, and marks active runs
// as lost that the report would list if they existed. silent says that the report is the
// first after a time of silence.
func (sc *Scheduler) reconcileRuns(vm *VM, r Report, silent bool, now time.Time) {
	present := map[steps.TaskID]RunningTask{}
	unknownBefore := vm.UnknownRuns
	vm.UnknownRuns = 0
	for _, run := range r.Running {
		id, err := steps.ParseTaskID(run.Task)
		if err != nil {
			vm.UnknownRuns++
			continue
		}
		if t := vm.ActiveTasks[id]; t != nil && t.Run == run.Number {
			present[id] = run
			if silent {
				// The time of silence does not count as time without progress.
				t.StallFrom = now
			}
			sc.updateRun(t, run, now)
			continue
		}
		if _, _, t := sc.findTask(id); t != nil && !run.StartUnconfirmed {
			sc.recordStarted(t, run.Number)
		}
		if vm.UnknownRuns++; unknownBefore == 0 && vm.UnknownRuns == 1 {
			sc.addEvent(Event{Kind: "unknownRun", Job: id.Job, Task: run.Task, Run: run.Number, VM: vm.Agent, Reason: fmt.Sprintf("worker=%s started=%t", r.Worker, !run.StartUnconfirmed)})
		}
		if !run.StartUnconfirmed && !r.Unreachable {
			sc.stops = append(sc.stops, StopOrder{Agent: vm.Agent, Worker: r.Worker, Session: vm.Session, Task: id, Run: run.Number, Reason: "the planner does not know the run"})
		}
	}
	for _, t := range sc.activeTasksOn(vm) {
		if _, found := present[t.ID]; !found && t.ConclusiveReport >= 0 && r.Version >= t.ConclusiveReport {
			sc.markLost(t, now, "the agent's report does not list the run")
		}
	}
}

// updateRun applies the reported state of an active run.
func (sc *Scheduler) updateRun(t *Task, run RunningTask, now time.Time) {
	if run.StartUnconfirmed {
		return
	}
	if !t.Running || sc.VMs[t.Agent].UnhealthyUntil.After(now) {
		// The time without progress of a run whose start was not confirmed counts
		// from its first report. An unhealthy worker may report outdated progress.
		t.ProgressAt = now
	}
	t.Running = true
	sc.recordStarted(t, t.Run)
	switch {
	case run.Progress > t.Progress:
		t.recordProgress(run.Progress, now)
		sc.observePace(t, now)
		sc.observeProgressBeside(t, now)
		sc.clearIfOutlived(t, now)
	case sc.stepOf(t).Spec.LongRunning && run.Progress >= 100 && !sc.VMs[t.Agent].Unreachable:
		// Such a run makes no further progress while it is at work.
		sc.observeLatencyBeside(t, run.Usage, now)
		sc.clearIfOutlived(t, now)
	}
	if run.Checkpoint != "" && run.Checkpoint != t.Checkpoint {
		t.Checkpoint = run.Checkpoint
		if s := sc.stepOf(t); s.Spec.Gang {
			// The members of a gang share one checkpoint, so that each reported
			// value holds for all.
			for _, member := range s.Tasks {
				member.Checkpoint = run.Checkpoint
			}
		}
	}
	if !t.StopRequestedAt.IsZero() && now.Sub(t.StopRequestedAt) >= stopRetryInterval || sc.Jobs[t.ID.Job].Phase.Over() {
		sc.requestStop(t, now, "the run is still listed after an earlier stop or the end of its job")
	}
}

// handleEnd applies one reported end of a run. It issues an EndsAck, so that the
// worker can discard the end once the job's progress is stored.
func (sc *Scheduler) handleEnd(vm *VM, e worker.Ended, now time.Time) {
	if e.EndNumber > vm.LastEndNumber {
		vm.LastEndNumber = e.EndNumber
		sc.output.Orders = append(sc.output.Orders, EndsAck{Agent: vm.Agent, Worker: vm.Worker, LastNumber: e.EndNumber})
	}
	sc.applyEnd(vm, e, now)
}

// applyEnd applies the end of a run on the VM's worker or on one of its former
// incarnations. An end that was applied before changes nothing.
func (sc *Scheduler) applyEnd(vm *VM, e worker.Ended, now time.Time) {
	id, err := steps.ParseTaskID(e.Task)
	if err != nil {
		return
	}
	j, s, t := sc.findTask(id)
	if t == nil {
		return
	}
	sc.recordStarted(t, e.Run.Number)
	if t.Run != e.Run.Number || t.Active && t.Agent != vm.Agent {
		return
	}
	if t.Done {
		// The success was already reported, for a gang by any of its members. The
		// capacity of this run is free now.
		sc.endRun(t, now)
		return
	}
	if !t.Active && e.Reason != worker.EndDone {
		// The run was already marked as lost or ended; only a success still counts.
		return
	}
	sc.addEvent(Event{Kind: "taskEnded", Job: id.Job, Task: e.Task, Run: e.Run.Number, VM: vm.Agent, Reason: string(e.Reason)})
	if e.Checkpoint != "" {
		t.Checkpoint = e.Checkpoint
		if s.Spec.Gang {
			for _, member := range s.Tasks {
				member.Checkpoint = e.Checkpoint
			}
		}
	}
	sc.dirty[id.Job] = true
	switch e.Reason {
	case worker.EndDone:
		sc.handleSuccess(j, s, t, vm, now)
	case worker.EndFailed:
		sc.handleFailure(j, s, t, vm, now)
	default:
		sc.endRun(t, now)
		sc.stopOtherMembers(t, now, string(e.Reason))
	}
}

// handleSuccess records a success of the task's run. The members of a gang finish
// together, so that the success of one counts for all members with the same run
// number. The others occupy their capacity until their own end is reported. A
// long-running task is never done and starts again.
func (sc *Scheduler) handleSuccess(j *Job, s *Step, t *Task, vm *VM, now time.Time) {
	sc.Quarantine.RecordSuccess(vm.Agent)
	run := t.Run
	sc.endRun(t, now)
	if s.Spec.LongRunning {
		sc.stopOtherMembers(t, now, "a member ended")
		return
	}
	for _, member := range s.Tasks {
		if (member == t || s.Spec.Gang && member.Run == run) && !member.Done {
			member.Done = true
			s.DoneCount++
		}
	}
	sc.completeIfDone(j, now)
}

// handleFailure counts a failure of the task's run, and fails the job when the
// task reaches the queue's MaxAttempts, unless the step is long-running. A gang
// fails as a whole, so that the failures of its members with the same run number
// count once.
func (sc *Scheduler) handleFailure(j *Job, s *Step, t *Task, vm *VM, now time.Time) {
	result := sc.Quarantine.RecordFailure(vm.Agent, t.ID.Job, now)
	if result.Quarantined {
		sc.addEvent(Event{Kind: "vmQuarantined", VM: vm.Agent, Reason: fmt.Sprintf("until %s", result.QuarantinedUntil.Sub(now).Round(time.Millisecond))})
	}
	sc.endRun(t, now)
	t.failedOn(vm)
	sc.stopOtherMembers(t, now, "a member failed")
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
	sc.failJob(j, s, t, now)
}

// ExpireLeases marks the active runs as lost on every VM whose VM.LeaseUntil has passed, once
// EarlierLeasesUntil has passed too, except those whose start the agent has not answered in its
// present session: it may still start them under its next lease.
func (sc *Scheduler) ExpireLeases(now time.Time) {
	for name, vm := range sc.VMs {
		sc.expireAbsences(vm, now)
		if len(vm.ActiveTasks) > 0 && now.Before(later(vm.LeaseUntil, sc.EarlierLeasesUntil)) {
			continue
		}
		for _, t := range sc.activeTasksOn(vm) {
			if vm.Attached && t.ConclusiveReport < 0 {
				continue
			}
			sc.loseToExpiredLease(vm, t, vm.Attached && vm.Unreachable, now)
		}
		if vm.Replaced {
			delete(sc.VMs, name)
		}
	}
}

// endExpiredRuns marks the runs on the VM as lost if the report shows that the leases of
// all planners have expired, with the same exception as ExpireLeases. The report proves it
// by itself: it is of an agent that follows this planner, so that none of an earlier term
// can have extended the lease through the agent since, and what the agent does after the
// report cannot revive a run. A bound for the time after the report would not hold, because
// an agent that restarts may follow an earlier planner again.
func (sc *Scheduler) endExpiredRuns(vm *VM, r Report, now time.Time) {
	if !lease.Expired(r.LeaseAge, sc.Timing.LeaseDuration) {
		return
	}
	for _, t := range sc.activeTasksOn(vm) {
		if t.ConclusiveReport >= 0 {
			sc.loseToExpiredLease(vm, t, true, now)
		}
	}
}

// loseToExpiredLease marks the task's run on the VM as lost after every lease has expired.
// The worker may have crashed if its agent cannot reach it.
func (sc *Scheduler) loseToExpiredLease(vm *VM, t *Task, unreachable bool, now time.Time) {
	if unreachable {
		sc.recordAbsence(vm, t, t.Run, t.Worker, now)
		t.extendLost()
	}
	sc.markLost(t, now, "the lease expired")
}
