package agentd

import (
	"context"
	"errors"
	"fmt"
	"math"
	"time"

	"celerypoint.example/celerypoint/ledger"
	"celerypoint.example/celerypoint/outcome"
	"celerypoint.example/celerypoint/wire"
	"celerypoint.example/celerypoint/workerruntime"
)

const (
	// lastSequence asks the runtime for no event but the next sequence.
	lastSequence = math.MaxInt32
	// pollWait is how long the runtime holds a request for events.
	pollWait = 25 * time.Second
)

// watch reads the runtime's events until the agent ends.
func (d *Daemon) watch(from int) {
	for d.ctx.Err() == nil {
		ctx, cancel := context.WithTimeout(d.ctx, pollWait+d.config.RuntimeTimeout)
		events, err := d.runtime.Events(ctx, from, pollWait)
		cancel()
		if err != nil {
			if d.ctx.Err() == nil {
				d.count("runtimeEventsFailed")
				d.sleep(minBackoff)
			}
			continue
		}
		for _, e := range events.Events {
			d.taskEvent(e)
		}
		// A runtime that restarted counts from 1 again.
		from = events.Next
	}
}

func (d *Daemon) taskEvent(e wire.TaskEvent) {
	switch e.Kind {
	case wire.TaskEventKindEnded, wire.TaskEventKindFailed, wire.TaskEventKindStopped, wire.TaskEventKindLeaseLapsed:
		d.taskOver(e)
	case wire.TaskEventKindCheckpointed:
		d.taskSaved(e)
	}
}

// runtimeCall bounds one request to the runtime.
func (d *Daemon) runtimeCall(f func(ctx context.Context) error) error {
	ctx, cancel := context.WithTimeout(d.ctx, d.config.RuntimeTimeout)
	defer cancel()
	return f(ctx)
}

// startTasks starts every task of the attempt. It returns how many the runtime
// accepted, and the first error.
func (d *Daemon) startTasks(a *attempt, until time.Time) (started int, err error) {
	for i := range a.ranks {
		t := wire.TaskStart{
			ID: taskID(a.id, a.firstRank+i), Job: a.job, Rank: a.firstRank + i, Accelerators: a.accelerators,
			Payload: a.payload, LeaseUntilUnixMs: int(until.UnixMilli()), ResumeFromMs: a.resumeFromMs,
		}
		if err := d.runtimeCall(func(ctx context.Context) error { return d.runtime.Start(ctx, t) }); err != nil {
			d.count("taskStartFailed")
			return i, err
		}
	}
	return len(a.ranks), nil
}

// stopAttempt stops the live tasks. The ledger repeats the action until they
// are gone.
func (d *Daemon) stopAttempt(action ledger.Stop) func() {
	a := d.ledger.attempts[action.Attempt]
	if a == nil {
		return func() {}
	}
	if a.why != action.Reason {
		a.why = action.Reason
		d.count("attemptStopped")
		d.ring.Add(a.event("attemptStopped", d.config.VM.ID, string(action.Reason)))
	}
	tasks := a.live()
	return func() {
		d.submit(func() {
			for _, id := range tasks {
				// A failure is repeated by the ledger.
				_ = d.noTask(id, d.runtimeCall(func(ctx context.Context) error { return d.runtime.Stop(ctx, id) }))
			}
			d.step(func(b *ledger.Ledger, now time.Time) []func() {
				if d.ledger.attempts[a.id] != a {
					return nil
				}
				return d.tryGone(b, now, a)
			})
		})
	}
}

func (d *Daemon) checkpointTask(id string) {
	// A checkpoint that does not come is followed by the hard stop.
	_ = d.noTask(id, d.runtimeCall(func(ctx context.Context) error { return d.runtime.Checkpoint(ctx, id) }))
}

func (d *Daemon) extendTask(id string, until time.Time) error {
	return d.noTask(id, d.runtimeCall(func(ctx context.Context) error { return d.runtime.Renew(ctx, id, until) }))
}

// pause hands work to the pool that keeps pauses and resumptions in order.
func (d *Daemon) pause(f func()) {
	if err := d.pauses.Submit(f); err != nil {
		d.count("workDropped")
	}
}

// paused reports whether the ledger has the attempt paused, and its tasks.
func (d *Daemon) paused(attempt string) (bool, []string) {
	d.ledger.Lock()
	defer d.ledger.Unlock()
	h, a := d.ledger.book.Holdings[attempt], d.ledger.attempts[attempt]
	if h == nil || a == nil {
		return false, nil
	}
	return !h.PausedAt.IsZero(), a.live()
}

// resume continues an attempt unless it was paused again. It is repeated until
// the runtime has acted.
func (d *Daemon) resume(attempt string) {
	paused, tasks := d.paused(attempt)
	if paused {
		return
	}
	for _, id := range tasks {
		err := d.runtimeCall(func(ctx context.Context) error { return d.runtime.Resume(ctx, id) })
		if err != nil && !errors.Is(err, workerruntime.ErrNoTask) {
			d.count("runtimeRequestFailed")
			time.AfterFunc(minBackoff, func() { d.pause(func() { d.resume(attempt) }) })
			return
		}
	}
	d.count("loanReturned")
}

// throttle pauses the attempts that lend to a short task. It fails when one
// may still use its accelerators.
func (d *Daemon) throttle(lenders []string) error {
	for _, attempt := range lenders {
		_, tasks := d.paused(attempt)
		for _, id := range tasks {
			err := d.runtimeCall(func(ctx context.Context) error { return d.runtime.Throttle(ctx, id) })
			if err != nil && !errors.Is(err, workerruntime.ErrNoTask) {
				return err
			}
		}
	}
	return nil
}

// place carries out the decision on a short task; the ledger's lock is held.
func (d *Daemon) place(a *attempt, decision ledger.Decision) func() {
	switch decision := decision.(type) {
	case ledger.Granted:
		d.count("runGranted")
		return func() { d.submitLaunch(a) }
	case ledger.Lending:
		d.count("runLending")
		d.ring.Add(a.event("acceleratorsLent", d.config.VM.ID, fmt.Sprintf("by %v", decision.Pause)))
		return func() { d.pauseOrAbort(a, decision.Pause) }
	case ledger.Refused:
		d.countRefusal(decision.Rule)
		delete(d.ledger.attempts, a.id)
		a.run.result = wire.RunResult{Status: wire.RunStatusRefused, Rule: decision.Rule, Reason: decision.Reason}
		return func() { d.replyRun(a) }
	default:
		return func() {}
	}
}

func (d *Daemon) pauseOrAbort(a *attempt, lenders []string) {
	err := d.pauses.Submit(func() {
		if err := d.throttle(lenders); err != nil {
			d.count("runtimeRequestFailed")
			d.notStarted(a, "throttle: "+err.Error())
			return
		}
		d.submitLaunch(a)
	})
	if err != nil {
		d.notStarted(a, err.Error())
	}
}

func (d *Daemon) submitLaunch(a *attempt) {
	if err := d.workers.Submit(func() { d.launch(a) }); err != nil {
		d.notStarted(a, err.Error())
	}
}

// ruleRuntimeRefused says that the worker runtime started no task.
const ruleRuntimeRefused = "runtimeRefused"

// notStarted drops a short task that never reached the runtime.
func (d *Daemon) notStarted(a *attempt, reason string) {
	d.step(func(b *ledger.Ledger, now time.Time) []func() {
		a.ranks[0].ended = true
		a.run.result = wire.RunResult{Status: wire.RunStatusRefused, Rule: ruleRuntimeRefused, Reason: reason}
		d.countRefusal(ruleRuntimeRefused)
		return d.tryGone(b, now, a)
	})
}

// launch starts a short task.
func (d *Daemon) launch(a *attempt) {
	d.ledger.Lock()
	h := d.ledger.book.Holdings[a.id]
	stopping := h == nil || h.StopReason != ""
	var until time.Time
	if h != nil {
		until = h.ExpiresAt
	}
	a.run.begun = time.Now()
	d.ledger.Unlock()
	if stopping {
		d.notStarted(a, "stopped before it started")
		return
	}
	_, err := d.startTasks(a, until)
	var refused *workerruntime.RefusedError
	switch {
	case err == nil:
		d.step(func(b *ledger.Ledger, now time.Time) []func() {
			a.payload = ""
			b.Started(now, a.id)
			return nil
		})
	case errors.As(err, &refused):
		d.notStarted(a, refused.Error())
	default:
		d.step(func(b *ledger.Ledger, now time.Time) []func() {
			a.reason = err.Error()
			b.StartFailed(now, a.id, true)
			return nil
		})
	}
}

// runResult is how a short task ended.
func runResult(a *attempt, e wire.TaskEvent) wire.RunResult {
	result := wire.RunResult{Reason: e.Reason, RanMs: e.RanMs}
	switch e.Kind {
	case wire.TaskEventKindEnded:
		result.Status, result.Length, result.Checksum = wire.RunStatusAnswered, e.Length, e.Checksum
	case wire.TaskEventKindFailed:
		result.Status = wire.RunStatusFailed
	default:
		result.Status = wire.RunStatusStopped
		result.Reason = stopReason(a, e)
	}
	return result
}

// stopReason says why a task was stopped.
func stopReason(a *attempt, e wire.TaskEvent) string {
	switch {
	case a.reason != "":
		return a.reason
	case a.why == ledger.StopReasonEvicted:
		return "its accelerators were reclaimed or its VM leaves"
	case a.why == ledger.StopReasonLoanEnded:
		return "the accelerators that were lent to it were returned"
	case a.why == ledger.StopReasonReleased:
		return "it was released"
	case a.why == ledger.StopReasonLeaseExpired || e.Kind == wire.TaskEventKindLeaseLapsed:
		return "its lease expired"
	default:
		return e.Reason
	}
}

// answerRun reads a short answer, so that it goes out with the reply, and
// answers the order that tryGone has noted as owed.
func (d *Daemon) answerRun(a *attempt) {
	reply := func() {
		d.replyRun(a)
		d.answers.owe(-1)
	}
	result := &a.run.result
	if result.Status != wire.RunStatusAnswered || result.Length == 0 || result.Length > outcome.MaxInlineBytes {
		reply()
		return
	}
	id := taskID(a.id, a.firstRank)
	// A reply without the body makes the entry read it with the answer order.
	keep := func() {
		d.answers.keep(id, a.id, result.Length, result.Checksum, time.Now().Add(d.config.AnswerRetention))
	}
	read := func() {
		defer reply()
		err := d.runtimeCall(func(ctx context.Context) error {
			body, err := d.runtime.Answer(ctx, id, 0, result.Length)
			if err == nil && len(body) != result.Length {
				err = fmt.Errorf("the runtime gave %d bytes of an answer of %d", len(body), result.Length)
			}
			if err == nil {
				result.Body = wire.Text(body)
			}
			return err
		})
		if err != nil {
			d.count("runtimeRequestFailed")
			keep()
		}
	}
	if err := d.workers.Submit(read); err != nil {
		keep()
		reply()
	}
}

// replyRun answers the order; the attempt has left the tables.
func (d *Daemon) replyRun(a *attempt) {
	result := a.run.result
	if a.run.begun.IsZero() {
		result.WaitedMs = int(time.Since(a.run.received).Milliseconds())
	} else {
		result.WaitedMs = int(a.run.begun.Sub(a.run.received).Milliseconds())
	}
	for _, r := range a.run.requests {
		r.Reply(result)
	}
}
