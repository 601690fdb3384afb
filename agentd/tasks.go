package agentd

import (
	"context"
	"errors"
	"fmt"
	"math"
	"slices"
	"time"

	"celerypoint.example/celerypoint/hedge"
	"celerypoint.example/celerypoint/ledger"
	"celerypoint.example/celerypoint/outcome"
	"celerypoint.example/celerypoint/wire"
	"celerypoint.example/celerypoint/workerruntime"
)

const (
	// endOfEvents is beyond the sequence number of every event. A request for the
	// events from there on returns none, only the sequence number of the next one.
	endOfEvents = math.MaxInt32
	// pollTimeout is how long the runtime may hold a request for events until there
	// is one. pollOverdue is how long after that a request without a reply is sent again, on
	// a new connection, because a connection can stop transferring data without an error.
	pollTimeout = 3 * time.Second
	pollOverdue = 500 * time.Millisecond
)

// pollEvents reads the runtime's events, from the position of the cursor on, until
// the agent ends.
func (d *Daemon) pollEvents(c eventCursor) {
	for d.ctx.Err() == nil {
		ctx, cancel := context.WithTimeout(d.ctx, pollTimeout+d.cfg.RuntimeTimeout)
		events, err := hedge.Request[wire.TaskEvents]{
			Overdue: pollTimeout + pollOverdue,
			Send: func(ctx context.Context, again bool) (wire.TaskEvents, error) {
				if again {
					d.runtime.CloseIdleConnections()
					return d.runtime.Events(ctx, c.next, 0)
				}
				return d.runtime.Events(ctx, c.next, pollTimeout)
			},
		}.Do(ctx)
		cancel()
		if err != nil {
			if d.ctx.Err() == nil {
				d.count("runtimeEventsFailed")
				d.sleep(minBackoff)
			}
			continue
		}
		if c.restarted(events) {
			d.count("runtimeRestarted")
		}
		for _, e := range c.take(events) {
			d.handleTaskEvent(e)
		}
		d.handledEvents.set(c)
	}
}

func (d *Daemon) handleTaskEvent(e wire.TaskEvent) {
	switch {
	case isEnd(e):
		d.handleTaskEnd(e)
	case e.Kind == wire.TaskEventKindCheckpointed:
		d.handleCheckpoint(e)
	}
}

// isEnd reports whether the event is the end of a task.
func isEnd(e wire.TaskEvent) bool {
	switch e.Kind {
	case wire.TaskEventKindEnded, wire.TaskEventKindFailed, wire.TaskEventKindStopped, wire.TaskEventKindLeaseLapsed:
		return true
	default:
		return false
	}
}

// readEvents returns the events that the runtime has now and that pollEvents has not
// handled. After a restart of the runtime it returns all events of the new process.
func (d *Daemon) readEvents() (events wire.TaskEvents, err error) {
	c := d.handledEvents.get()
	read := func(from int) error {
		return d.callRuntime(func(ctx context.Context) (err error) {
			events, err = d.runtime.Events(ctx, from, 0)
			return err
		})
	}
	if err = read(c.next); err == nil && c.restarted(events) {
		err = read(firstEvent)
	}
	return events, err
}

// handleListedEnd handles the events of the task if its end is among the given ones, and
// reports whether it is. An event that is handled twice changes nothing after the end.
func (d *Daemon) handleListedEnd(id string, events []wire.TaskEvent) bool {
	of := slices.DeleteFunc(slices.Clone(events), func(e wire.TaskEvent) bool { return e.ID != id })
	if !slices.ContainsFunc(of, isEnd) {
		return false
	}
	for _, e := range of {
		d.handleTaskEvent(e)
	}
	return true
}

// callRuntime calls f with a context that ends after RuntimeTimeout, or when the
// agent ends.
func (d *Daemon) callRuntime(f func(ctx context.Context) error) error {
	ctx, cancel := context.WithTimeout(d.ctx, d.cfg.RuntimeTimeout)
	defer cancel()
	return f(ctx)
}

// startTasks starts the tasks of the attempt, one after the other, up to the first
// error. It returns how many the runtime accepted, and the error.
func (d *Daemon) startTasks(a *attempt, leaseUntil time.Time) (started int, err error) {
	d.state.Lock()
	a.runtimeBoot = d.handledEvents.get().boot
	d.state.Unlock()
	for i := range a.tasks {
		t := wire.TaskStart{
			ID: taskID(a.id, a.firstRank+i), Job: a.job, Rank: a.firstRank + i, Accelerators: a.acceleratorsPerTask,
			Payload: a.payload, LeaseUntilUnixMs: int(leaseUntil.UnixMilli()), ResumeFromMs: a.resumeFromMs,
		}
		if err := d.callRuntime(func(ctx context.Context) error { return d.runtime.Start(ctx, t) }); err != nil {
			d.count("taskStartFailed")
			return i, err
		}
	}
	return len(a.tasks), nil
}

// stopAttempt returns a function that stops the tasks of the attempt that have not
// ended. The ledger repeats the action until removeIfEnded has removed the
// attempt. The lock of vmState is held.
func (d *Daemon) stopAttempt(action ledger.Stop) func() {
	a := d.state.attempts[action.Attempt]
	if a == nil {
		return func() {}
	}
	if a.stopReason != action.Reason {
		a.stopReason = action.Reason
		d.count("attemptStopped")
		d.ring.Add(a.event("attemptStopped", d.cfg.VM.ID, string(action.Reason)))
	}
	tasks := a.liveTaskIDs()
	return func() {
		d.runOnPool(func() {
			for _, id := range tasks {
				// The error needs no handling, because the ledger repeats the stop.
				_ = d.checkTaskError(id, d.callRuntime(func(ctx context.Context) error { return d.runtime.Stop(ctx, id) }))
			}
			d.updateLedger(func(l *ledger.Ledger, now time.Time) []func() {
				if d.state.attempts[a.id] != a {
					return nil
				}
				return d.removeIfEnded(l, now, a)
			})
		})
	}
}

func (d *Daemon) requestCheckpoint(id string) {
	// The error needs no handling: the ledger stops the attempt even if its tasks
	// have not saved their progress in time.
	_ = d.checkTaskError(id, d.callRuntime(func(ctx context.Context) error { return d.runtime.Checkpoint(ctx, id) }))
}

func (d *Daemon) extendLease(id string, leaseUntil time.Time) error {
	return d.checkTaskError(id, d.callRuntime(func(ctx context.Context) error { return d.runtime.Renew(ctx, id, leaseUntil) }))
}

// runOnPausePool runs f on the pool that keeps pauses and resumptions in order.
// When the queue of the pool is full, f is dropped and counted.
func (d *Daemon) runOnPausePool(f func()) {
	if err := d.pausePool.Submit(f); err != nil {
		d.count("workDropped")
	}
}

// pauseState returns whether the attempt is paused according to the ledger, and
// the IDs of its tasks that have not ended.
func (d *Daemon) pauseState(attempt string) (bool, []string) {
	d.state.Lock()
	defer d.state.Unlock()
	h, a := d.state.ledger.Holdings[attempt], d.state.attempts[attempt]
	if h == nil || a == nil {
		return false, nil
	}
	return !h.PausedAt.IsZero(), a.liveTaskIDs()
}

// resumeAttempt resumes the paused tasks of an attempt after all its loans have
// ended, unless the ledger has paused it again. When the runtime fails, it tries
// again after minBackoff.
func (d *Daemon) resumeAttempt(attempt string) {
	paused, tasks := d.pauseState(attempt)
	if paused {
		return
	}
	for _, id := range tasks {
		err := d.callRuntime(func(ctx context.Context) error { return d.runtime.Resume(ctx, id) })
		if err != nil && !errors.Is(err, workerruntime.ErrNoTask) {
			d.count("runtimeRequestFailed")
			time.AfterFunc(minBackoff, func() { d.runOnPausePool(func() { d.resumeAttempt(attempt) }) })
			return
		}
	}
	d.count("loanReturned")
}

// pauseLenders pauses the attempts that lend accelerators to a short task. On an
// error, some of them may still use their accelerators.
func (d *Daemon) pauseLenders(lenders []string) error {
	for _, attempt := range lenders {
		_, tasks := d.pauseState(attempt)
		for _, id := range tasks {
			err := d.callRuntime(func(ctx context.Context) error { return d.runtime.Throttle(ctx, id) })
			if err != nil && !errors.Is(err, workerruntime.ErrNoTask) {
				return err
			}
		}
	}
	return nil
}

// applyRunDecision applies the ledger's decision on a short task. It removes the
// attempt of a refused task from vmState at once, and returns the function that
// starts the task or sends the refusal. For other decisions that function does
// nothing. The lock of vmState is held.
func (d *Daemon) applyRunDecision(a *attempt, decision ledger.Decision) func() {
	switch decision := decision.(type) {
	case ledger.Granted:
		d.count("runGranted")
		return func() { d.submitLaunch(a) }
	case ledger.Lending:
		d.count("runLending")
		d.ring.Add(a.event("acceleratorsLent", d.cfg.VM.ID, fmt.Sprintf("by %v", decision.Pause)))
		return func() { d.pauseAndLaunch(a, decision.Pause) }
	case ledger.Refused:
		d.countRefusal(decision.Rule)
		delete(d.state.attempts, a.id)
		a.short.result = wire.RunResult{Status: wire.RunStatusRefused, Rule: decision.Rule, Reason: decision.Reason}
		return func() { d.replyRun(a) }
	default:
		return func() {}
	}
}

// pauseAndLaunch pauses the attempts that lend accelerators to the short task, then
// starts it. If one of them cannot be paused, the short task is refused.
func (d *Daemon) pauseAndLaunch(a *attempt, lenders []string) {
	err := d.pausePool.Submit(func() {
		if err := d.pauseLenders(lenders); err != nil {
			d.count("runtimeRequestFailed")
			d.refuseRun(a, "throttle: "+err.Error())
			return
		}
		d.submitLaunch(a)
	})
	if err != nil {
		d.refuseRun(a, err.Error())
	}
}

func (d *Daemon) submitLaunch(a *attempt) {
	if err := d.pool.Submit(func() { d.launch(a) }); err != nil {
		d.refuseRun(a, err.Error())
	}
}

// ruleRuntimeRefused is the rule name with which the agent refuses a request that
// the ledger granted, when it has started no task of it. For a reserved attempt, of
// a gang or not, the runtime has then refused the first task. For a short task, the
// runtime refused it, the queue of a pool was full, an attempt that lends
// accelerators to it could not be paused, or it was stopped before its start.
const ruleRuntimeRefused = "runtimeRefused"

// refuseRun refuses a short task that the ledger granted, with or without a loan,
// but that was not started.
func (d *Daemon) refuseRun(a *attempt, reason string) {
	d.updateLedger(func(l *ledger.Ledger, now time.Time) []func() {
		a.tasks[0].ended = true
		a.short.result = wire.RunResult{Status: wire.RunStatusRefused, Rule: ruleRuntimeRefused, Reason: reason}
		d.countRefusal(ruleRuntimeRefused)
		return d.removeIfEnded(l, now, a)
	})
}

// launch starts a short task at the runtime, unless the ledger has stopped it
// meanwhile.
func (d *Daemon) launch(a *attempt) {
	d.state.Lock()
	h := d.state.ledger.Holdings[a.id]
	stopping := h == nil || h.StopReason != ""
	var leaseUntil time.Time
	if h != nil {
		leaseUntil = h.ExpiresAt
	}
	a.short.launchedAt = time.Now()
	d.state.Unlock()
	if stopping {
		d.refuseRun(a, "stopped before it started")
		return
	}
	_, err := d.startTasks(a, leaseUntil)
	var refused *workerruntime.RefusedError
	switch {
	case err == nil:
		d.updateLedger(func(l *ledger.Ledger, now time.Time) []func() {
			a.payload = ""
			l.Started(now, a.id)
			return nil
		})
	case errors.As(err, &refused):
		d.refuseRun(a, refused.Error())
	default:
		d.updateLedger(func(l *ledger.Ledger, now time.Time) []func() {
			a.startError = err.Error()
			l.StartFailed(now, a.id, true)
			return nil
		})
	}
}

// runResult builds the result of a short task from the event of its end.
func runResult(a *attempt, e wire.TaskEvent) wire.RunResult {
	result := wire.RunResult{Reason: e.Reason, RanMs: e.RanMs}
	switch e.Kind {
	case wire.TaskEventKindEnded:
		result.Status, result.Length, result.Checksum = wire.RunStatusAnswered, e.Length, e.Checksum
	case wire.TaskEventKindFailed:
		result.Status = wire.RunStatusFailed
	default:
		result.Status = wire.RunStatusStopped
		if a.tasks[0].runtimeLost && a.stopReason == "" {
			result.Status = wire.RunStatusCrashed
		}
		result.Reason = stopMessage(a, e)
	}
	return result
}

// stopMessage describes for callers why a task was stopped.
func stopMessage(a *attempt, e wire.TaskEvent) string {
	switch {
	case a.startError != "":
		return a.startError
	case a.stopReason == ledger.StopReasonEvicted:
		return "its accelerators were reclaimed or its agent is shutting down"
	case a.stopReason == ledger.StopReasonLoanEnded:
		return "the accelerators that were lent to it were returned"
	case a.stopReason == ledger.StopReasonReleased:
		return "it was released"
	case a.stopReason == ledger.StopReasonLeaseExpired || e.Kind == wire.TaskEventKindLeaseLapsed:
		return "its lease expired"
	default:
		return e.Reason
	}
}

// finishRun replies to the requests for a short task that has ended. removeIfEnded
// has counted the attempt in unsentReplies. An answer of at most
// outcome.MaxInlineBytes is read from the runtime first and sent with the reply.
func (d *Daemon) finishRun(a *attempt) {
	reply := func() {
		d.replyRun(a)
		d.answers.addUnsentReplies(-1)
	}
	result := &a.short.result
	if result.Status != wire.RunStatusAnswered || result.Length == 0 || result.Length > outcome.MaxInlineBytes {
		reply()
		return
	}
	id := taskID(a.id, a.firstRank)
	// If the body is missing from the reply, the entry reads it with an answer
	// request. handleAnswer serves only answers that are in the answerTable.
	keepAnswer := func() {
		d.answers.add(id, a.id, result.Length, result.Checksum, time.Now().Add(d.cfg.AnswerRetention))
	}
	readAnswer := func() {
		defer reply()
		err := d.callRuntime(func(ctx context.Context) error {
			body, err := d.runtime.Answer(ctx, id, 0, result.Length)
			if err == nil && len(body) != result.Length {
				err = fmt.Errorf("the runtime returned %d of the %d bytes of an answer", len(body), result.Length)
			}
			if err == nil {
				result.Body = wire.Text(body)
			}
			return err
		})
		if err != nil {
			d.count("runtimeRequestFailed")
			keepAnswer()
		}
	}
	if err := d.pool.Submit(readAnswer); err != nil {
		keepAnswer()
		reply()
	}
}

// replyRun sends the result of a short task to every request for it. The attempt
// has been removed from vmState, so the lock is not needed.
func (d *Daemon) replyRun(a *attempt) {
	result := a.short.result
	if a.short.launchedAt.IsZero() {
		result.WaitedMs = int(time.Since(a.short.receivedAt).Milliseconds())
	} else {
		result.WaitedMs = int(a.short.launchedAt.Sub(a.short.receivedAt).Milliseconds())
	}
	for _, r := range a.short.requests {
		r.Reply(result)
	}
}
