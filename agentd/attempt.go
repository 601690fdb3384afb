package agentd

import (
	"errors"
	"fmt"
	"strconv"
	"strings"
	"time"

	"celerypoint.example/celerypoint/ledger"
	"celerypoint.example/celerypoint/outcome"
	"celerypoint.example/celerypoint/rpc"
	"celerypoint.example/celerypoint/timeline"
	"celerypoint.example/celerypoint/wire"
	"celerypoint.example/celerypoint/workerruntime"
)

// attempt is the daemon's own data of an attempt that is in the ledger. The lock
// of vmState guards it.
type attempt struct {
	id, job, org        string
	acceleratorsPerTask int
	firstRank           int
	// tasks has one element for each task of the attempt on this VM, in the order
	// of their ranks, which begin with firstRank. For a reserved attempt it is empty
	// until the ledger has granted the start. A short task is in it from the
	// beginning.
	tasks []task
	// payload is the input of the tasks. It is cleared once they have started, and
	// for a reserved attempt also when the start has failed.
	payload string
	// resumeFromMs is the saved progress, in milliseconds of run time, from which
	// the tasks start.
	resumeFromMs int
	// runtimeBoot names the process of the runtime at the start of the tasks. If the
	// agent had not noticed a restart yet, it is the process before.
	runtimeBoot string
	// short holds the requests to run a short task, nil for a reserved attempt.
	short *shortRun
	// Requests that have no reply yet: pendingReserves wait for the end of a
	// reclaim, pendingStarts for the runtime, and pendingReleases for the end of
	// every task.
	pendingReserves, pendingStarts, pendingReleases []*rpc.Request
	// stopReason is why the attempt is being stopped, or empty. startError is the
	// error of a start that failed, or empty.
	stopReason ledger.StopReason
	startError string
}

// shortRun holds the requests to run one short task and their common result.
type shortRun struct {
	// requests are the first request and its repetitions by entries.
	requests   []*rpc.Request
	receivedAt time.Time
	// launchedAt is when the task was about to start, after it had left the
	// ledger's queue and the attempts that lend to it were paused; zero before.
	launchedAt time.Time
	result     wire.RunResult
}

// task is the state of one task. When it has ended, answered says that it gave an
// answer, and failed that it reported an error. If both are false, it was stopped,
// its lease expired, or it was never started.
type task struct {
	ended    bool
	answered bool
	failed   bool
	// notFound counts the calls about the task that failed because the runtime did
	// not know a task with its ID and listed no end of it; see maxNotFound.
	notFound int
	// runtimeLost says that the runtime has restarted since it started the task, or does
	// not name its process, and that it lists no end of the task.
	runtimeLost bool
	// checkpointed says that the task has saved its progress since its start here.
	// checkpointMs is the progress from which the next attempt can start it, in
	// milliseconds of run time. It can come from an earlier attempt.
	checkpointed bool
	checkpointMs int
}

// maxNotFound is the number of calls about a task that the runtime does not know and
// whose end it does not list after which the agent counts the task as ended. A runtime
// may list an end a moment after it has dropped the task.
const maxNotFound = 2

// taskID is the ID of a task at the worker runtime.
func taskID(attempt string, rank int) string { return attempt + "/" + strconv.Itoa(rank) }

// splitTaskID is the reverse of taskID.
func splitTaskID(id string) (attempt string, rank int, ok bool) {
	i := strings.LastIndexByte(id, '/')
	if i < 0 {
		return "", 0, false
	}
	rank, err := strconv.Atoi(id[i+1:])
	return id[:i], rank, err == nil
}

// liveTaskIDs lists the IDs of the tasks that have not ended.
func (a *attempt) liveTaskIDs() []string {
	var ids []string
	for i, t := range a.tasks {
		if !t.ended {
			ids = append(ids, taskID(a.id, a.firstRank+i))
		}
	}
	return ids
}

// task returns the task of the rank, or nil if it is not on this VM.
func (a *attempt) task(rank int) *task {
	if rank < a.firstRank || rank >= a.firstRank+len(a.tasks) {
		return nil
	}
	return &a.tasks[rank-a.firstRank]
}

// all reports whether f holds for every task.
func (a *attempt) all(f func(task) bool) bool {
	for _, t := range a.tasks {
		if !f(t) {
			return false
		}
	}
	return true
}

func (a *attempt) event(kind, vm, detail string) timeline.Event {
	return timeline.Event{Kind: kind, Job: a.job, Org: a.org, VM: vm, Detail: detail}
}

// followUps changes the state of the attempts according to the ledger's actions at
// once, for example removes an attempt that was dropped or refused, and returns the
// functions that do the rest: calls to the worker runtime, replies and
// announcements. The caller holds the lock of vmState, and calls these functions
// after it has released the lock.
func (d *Daemon) followUps(actions []ledger.Action) []func() {
	var work []func()
	for _, action := range actions {
		switch action := action.(type) {
		case ledger.Admit:
			work = append(work, d.handleAdmit(action))
		case ledger.Dropped:
			if a := d.state.attempts[action.Attempt]; a != nil {
				delete(d.state.attempts, action.Attempt)
				d.count("reservationDropped")
				d.ring.Add(a.event("reservationDropped", d.cfg.VM.ID, action.Attempt+" "+action.Rule))
				work = append(work, d.announceNow)
			}
		case ledger.Checkpoint:
			work = append(work, d.forEachTask(action.Attempt, d.requestCheckpoint))
		case ledger.Stop:
			work = append(work, d.stopAttempt(action))
		case ledger.Resume:
			attempt := action.Attempt
			work = append(work, func() { d.runOnPausePool(func() { d.resumeAttempt(attempt) }) })
		case ledger.Extend:
			leaseUntil := action.Until
			work = append(work, d.forEachTask(action.Attempt, func(id string) { _ = d.extendLease(id, leaseUntil) }))
		}
	}
	return work
}

// runOnPool runs f on a worker. When the queue of the pool is full, f is dropped
// and counted, so it must be work that the ledger requests again or that may
// be left out.
func (d *Daemon) runOnPool(f func()) {
	if err := d.pool.Submit(f); err != nil {
		d.count("workDropped")
	}
}

// forEachTask returns a function that calls f on a worker for each task of the
// attempt that has not ended. The lock of vmState is held.
func (d *Daemon) forEachTask(id string, f func(task string)) func() {
	a := d.state.attempts[id]
	if a == nil {
		return func() {}
	}
	tasks := a.liveTaskIDs()
	return func() {
		d.runOnPool(func() {
			for _, t := range tasks {
				f(t)
			}
		})
	}
}

// handleAdmit applies the ledger's decision on a reserve request that waited for a
// reclaim or on a queued short task. It removes a refused attempt from vmState at
// once, and returns the function that sends the replies or starts the short task. The
// lock of vmState is held.
func (d *Daemon) handleAdmit(action ledger.Admit) func() {
	a := d.state.attempts[action.Attempt]
	if a == nil {
		return func() {}
	}
	if a.short != nil {
		return d.applyRunDecision(a, action.Decision)
	}
	requests := a.pendingReserves
	a.pendingReserves = nil
	result := d.grantResult(action.Decision)
	if _, refused := action.Decision.(ledger.Refused); refused {
		delete(d.state.attempts, a.id)
	}
	d.ring.Add(a.event("reclaimEnded", d.cfg.VM.ID, string(result.Status)+" "+result.Rule))
	return func() {
		for _, r := range requests {
			r.Reply(result)
		}
	}
}

// grantResult encodes the decision on a reserve or start request, and counts a
// refusal. The lock of vmState is held.
func (d *Daemon) grantResult(decision ledger.Decision) wire.GrantResult {
	result := wire.GrantResult{Status: wire.GrantStatusGranted, ConfigOffset: int(d.state.ledger.ConfigOffset)}
	if refused, ok := decision.(ledger.Refused); ok {
		d.countRefusal(refused.Rule)
		result.Status, result.Rule, result.Reason = wire.GrantStatusRefused, refused.Rule, refused.Reason
	}
	return result
}

func (d *Daemon) countRefusal(rule string) {
	d.count("agentRefused" + strings.ToUpper(rule[:1]) + rule[1:])
}

// handleTaskEnd records the end of one task. The event comes from the runtime, or
// from handleTaskNotFound when the runtime no longer knows the task.
func (d *Daemon) handleTaskEnd(e wire.TaskEvent) {
	attemptID, rank, ok := splitTaskID(e.ID)
	if !ok {
		return
	}
	d.updateLedger(func(l *ledger.Ledger, now time.Time) []func() {
		a := d.state.attempts[attemptID]
		if a == nil {
			return nil
		}
		t := a.task(rank)
		if t == nil || t.ended {
			return nil
		}
		t.ended = true
		t.answered = e.Kind == wire.TaskEventKindEnded
		t.failed = e.Kind == wire.TaskEventKindFailed
		retainUntil := now.Add(d.cfg.AnswerRetention)
		// The answer of a short task gets no element in the answerTable if its
		// bytes fit into the reply; see finishRun. At hundreds of short tasks a
		// second, these elements would use up the agent's memory.
		if t.answered && (a.short == nil || e.Length > outcome.MaxInlineBytes) {
			d.answers.add(e.ID, a.id, e.Length, e.Checksum, retainUntil)
		}
		d.ring.Add(a.event("taskEnded", d.cfg.VM.ID, fmt.Sprintf("%s %s %s", e.ID, e.Kind, e.Reason)))
		if a.short != nil {
			a.short.result = runResult(a, e)
		} else if p, ok := d.endReport(a, rank, *t, e); ok {
			d.answers.addReport(e.ID, report{params: p, expiresAt: retainUntil})
		}
		work := d.removeIfEnded(l, now, a)
		if a.short == nil {
			work = append(work, d.reportNow, d.announceNow)
		}
		return work
	})
}

// endReport builds the report of an ended task for the entries. It returns false
// for a task that was stopped by a release, because the entry that released the
// attempt learns of the end from the reply to its request.
func (d *Daemon) endReport(a *attempt, rank int, t task, e wire.TaskEvent) (wire.TaskEndedParams, bool) {
	p := wire.TaskEndedParams{
		VM: d.cfg.VM.ID, Job: a.job, Attempt: a.id, Rank: rank, Reason: e.Reason,
		Length: e.Length, Checksum: e.Checksum, RanMs: e.RanMs, CheckpointMs: t.checkpointMs,
	}
	switch {
	case t.answered:
		p.Result = wire.TaskResultAnswered
	case t.failed:
		p.Result = wire.TaskResultFailed
	case a.stopReason == ledger.StopReasonReleased:
		return p, false
	case a.stopReason == ledger.StopReasonEvicted:
		p.Result = wire.TaskResultEvicted
	case a.stopReason == ledger.StopReasonLeaseExpired || e.Kind == wire.TaskEventKindLeaseLapsed:
		p.Result = wire.TaskResultLapsed
	case t.runtimeLost:
		p.Result = wire.TaskResultCrashed
	default:
		p.Result = wire.TaskResultStopped
	}
	if !t.answered && !t.failed {
		p.Reason = stopMessage(a, e)
	}
	d.count("taskEnded" + strings.ToUpper(string(p.Result[:1])) + string(p.Result[1:]))
	return p, true
}

// removeIfEnded removes an attempt whose tasks have all ended, so that its
// accelerators and slots are free again. It does nothing while the ledger cannot
// free them because a start may still reach the runtime. It returns the functions
// that send the replies. The lock of vmState is held.
func (d *Daemon) removeIfEnded(l *ledger.Ledger, now time.Time, a *attempt) []func() {
	if !a.all(func(t task) bool { return t.ended }) || !l.Stopped(now, a.id) {
		return nil
	}
	delete(d.state.attempts, a.id)
	close(d.state.attemptGone)
	d.state.attemptGone = make(chan struct{})
	if a.all(func(t task) bool { return t.answered }) && a.short == nil {
		d.answers.markAnswered(a.id)
	}
	releases, result := a.pendingReleases, wire.ReleaseResult{
		Started: true, CheckpointMs: a.checkpointMs(),
		UnansweredCrash: a.startError != "" && !a.all(func(t task) bool { return !t.runtimeLost }),
	}
	d.answers.addUnsentReplies(1)
	return []func(){func() {
		for _, r := range releases {
			r.Reply(result)
		}
		if a.short == nil {
			d.answers.addUnsentReplies(-1)
			return
		}
		d.finishRun(a)
	}}
}

// checkpointMs is the progress from which the next attempt can start all these
// tasks, 0 if one of them has no checkpoint.
func (a *attempt) checkpointMs() int {
	if len(a.tasks) == 0 {
		return 0
	}
	least := a.tasks[0].checkpointMs
	for _, t := range a.tasks {
		least = min(least, t.checkpointMs)
	}
	return least
}

// handleCheckpoint records that a task has saved its progress.
func (d *Daemon) handleCheckpoint(e wire.TaskEvent) {
	attemptID, rank, ok := splitTaskID(e.ID)
	if !ok {
		return
	}
	d.updateLedger(func(l *ledger.Ledger, now time.Time) []func() {
		a := d.state.attempts[attemptID]
		if a == nil {
			return nil
		}
		if t := a.task(rank); t != nil {
			t.checkpointed, t.checkpointMs = true, e.CheckpointMs
		}
		if a.all(func(t task) bool { return t.checkpointed || t.ended }) {
			l.Checkpointed(now, a.id)
		}
		return nil
	})
}

// handleTaskNotFound handles that the runtime does not know the task, which has either
// ended or was lost with an earlier process of the runtime. Only the runtime's list of
// events tells which. An end in the list is handled at once, before pollEvents reads it.
// Without one, the task counts as ended after maxNotFound times. While the list cannot be
// read, or a start of the task may still reach the runtime, nothing is recorded.
func (d *Daemon) handleTaskNotFound(id string) {
	attemptID, rank, ok := splitTaskID(id)
	if !ok || !d.startSettled(attemptID) {
		return
	}
	events, err := d.readEvents()
	if err != nil {
		d.count("runtimeEventsFailed")
		return
	}
	if d.handleListedEnd(id, events.Events) {
		return
	}
	ended := false
	d.updateLedger(func(*ledger.Ledger, time.Time) []func() {
		a := d.state.attempts[attemptID]
		if a == nil {
			return nil
		}
		if t := a.task(rank); t != nil {
			t.notFound++
			ended = t.notFound >= maxNotFound
			t.runtimeLost = ended && (events.Boot == "" || events.Boot != a.runtimeBoot)
		}
		return nil
	})
	if ended {
		d.handleTaskEnd(wire.TaskEvent{ID: id, Kind: wire.TaskEventKindStopped, Reason: "the worker runtime does not know the task"})
	}
}

// startSettled reports whether the attempt is known and no start of its tasks can still
// reach the runtime.
func (d *Daemon) startSettled(attemptID string) bool {
	settled := false
	d.updateLedger(func(l *ledger.Ledger, now time.Time) []func() {
		h := l.Holdings[attemptID]
		settled = d.state.attempts[attemptID] != nil && h != nil && (!h.StartUncertain || !now.Before(h.ExpiresAt))
		return nil
	})
	return settled
}

// checkTaskError handles the error of a call to the runtime about a task. It
// returns nil if the runtime does not know the task; other errors are counted and
// returned.
func (d *Daemon) checkTaskError(id string, err error) error {
	if errors.Is(err, workerruntime.ErrNoTask) {
		d.handleTaskNotFound(id)
		return nil
	}
	if err != nil {
		d.count("runtimeRequestFailed")
	}
	return err
}
