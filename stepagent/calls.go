package stepagent

import (
	"context"
	"errors"
	"time"

	"celerypoint.example/celerypoint/agent"
	"celerypoint.example/celerypoint/eventlog"
	"celerypoint.example/celerypoint/pause"
	"celerypoint.example/celerypoint/wire"
	"celerypoint.example/celerypoint/worker"
)

// Time-outs and retries of the calls to the worker, which runs on the same VM.
const (
	// statusWait is how long the worker delays its reply to a status call while
	// no run ends. A lease granted during that time reaches the worker with the
	// next status call.
	statusWait = 400 * time.Millisecond
	// callTimeout bounds a status call of poll, not counting statusWait.
	callTimeout = 400 * time.Millisecond
	// orderTimeout bounds the first attempt of an order, and the first status call that
	// resolves its outcome. The worker answers within a few milliseconds or not at all,
	// and the other members of a gang wait meanwhile. An attempt that was given up too
	// early costs one status call. Each further attempt has twice the time, up to
	// callTimeout.
	orderTimeout = 150 * time.Millisecond
	// startTimeout bounds all attempts of one start or stop order. It is below
	// the 3 s after which a worker ends the run of a gang member because other
	// members have not started (worker.EndGangIncomplete).
	startTimeout = 2 * time.Second
	// retryPause is the wait after a failed call.
	retryPause = 100 * time.Millisecond
	// unstoredPause is the longest wait before the next status call while ends are listed
	// that the planner has not stored. The worker then answers without delay.
	unstoredPause = 20 * time.Millisecond
	// stalePause is the wait after a call that the worker has refused as stale.
	stalePause = 10 * time.Millisecond
)

// poll reads the status of the worker again and again until ctx ends. Each status
// call also extends the worker's lease as far as the planner has granted.
func (d *Daemon) poll(ctx context.Context) {
	var failingSince time.Time
	for ctx.Err() == nil {
		d.table.mu.Lock()
		id, candidateID := d.table.current.ID, d.table.candidateID()
		wait := statusWait
		if d.table.unhealthy || d.table.sighted != nil {
			// The worker may have restarted. Its next answer is to come at once.
			wait = 0
		}
		d.table.mu.Unlock()
		if id == "" && candidateID == "" {
			pause.For(ctx, retryPause)
			continue
		}
		var err error
		if candidateID != "" {
			err = d.callStatus(ctx, candidateID, 0)
		}
		if id != "" {
			err = d.readStatus(ctx, wait)
		}
		switch {
		case ctx.Err() != nil:
			return
		case err == nil:
			if !failingSince.IsZero() {
				d.log.Add("workerReachable", eventlog.Fields{"failingMs": time.Since(failingSince).Milliseconds()})
				failingSince = time.Time{}
			}
			d.awaitStored(ctx)
			continue
		case errors.Is(err, errStale), errors.Is(err, errSighted):
			pause.For(ctx, stalePause)
			continue
		}
		d.counters.Count("workerCallFailed")
		if failingSince.IsZero() {
			failingSince = time.Now()
			d.log.Add("workerUnreachable", eventlog.Fields{"cause": err.Error()})
		}
		d.markUnhealthy(err)
		pause.For(ctx, retryPause)
	}
}

// awaitStored waits while the worker lists ends that the planner has not stored, at most
// for unstoredPause.
func (d *Daemon) awaitStored(ctx context.Context) {
	d.table.mu.Lock()
	unstored := len(d.table.endedRuns)
	d.table.mu.Unlock()
	if unstored == 0 {
		return
	}
	select {
	case <-ctx.Done():
	case <-d.table.endsStored:
	case <-time.After(unstoredPause):
	}
}

// markUnhealthy records that a status call of poll has returned an error, so that
// what the agent reports about the worker may be out of date.
func (d *Daemon) markUnhealthy(err error) {
	d.table.mu.Lock()
	defer d.table.mu.Unlock()
	if d.table.unansweredSince.IsZero() && !errors.Is(err, errRefused) {
		d.table.unansweredSince = time.Now()
	}
	if !d.table.unhealthy {
		d.table.unhealthy = true
		d.table.requestReport()
	}
}

// readStatus makes one status call to the current incarnation and merges the reply into
// the table. The worker delays its reply by at most wait until a run ends.
func (d *Daemon) readStatus(ctx context.Context, wait time.Duration) error {
	d.table.mu.Lock()
	id := d.table.current.ID
	d.table.mu.Unlock()
	return d.callStatus(ctx, id, wait)
}

// callStatus makes one status call to the worker with the ID and merges the reply into the
// table. It returns errSighted if the worker has answered as another incarnation for the
// first time, and errStale if it has seen a higher token than the call's. In both cases the
// next call has a raised token.
func (d *Daemon) callStatus(ctx context.Context, id string, wait time.Duration) error {
	t := d.table
	t.mu.Lock()
	number, token := t.nextCall()
	request := worker.StatusRequest{FencingToken: token, MaxWait: wait}
	if id == t.current.ID && !t.unhealthy && t.sighted == nil {
		request.LeaseExpiresAt = t.lease
		if t.ackDue {
			request.AckThrough = t.forgetThrough
		}
	}
	t.mu.Unlock()
	bounded, cancel := context.WithTimeout(ctx, wait+callTimeout)
	defer cancel()
	status, reply, err := d.cfg.Worker.Status(bounded, id, request)
	t.mu.Lock()
	defer t.mu.Unlock()
	if errors.Is(err, worker.ErrOtherIncarnation) {
		t.refute(id)
	}
	if err != nil {
		return err
	}
	t.readClock(reply.Clock, number)
	switch reply.Refusal {
	case "":
		return t.merge(status, id, number, token)
	case worker.RefusalStaleToken:
		t.raiseStaleToken(token)
		return errStale
	case worker.RefusalUnhealthy:
		if !t.unhealthy {
			t.unhealthy = true
			t.requestReport()
		}
	}
	return errRefused
}

// Errors of calls to the worker.
var (
	errOtherIncarnation = errors.New("another incarnation of the worker has followed")
	errRefused          = errors.New("the worker refused the call")
	errStale            = errors.New("the worker has seen a higher token")
)

// startRun carries out an order to start a run. It returns once it is certain
// whether the run started. After startTimeout it returns the reason
// agent.ReasonOutcomeUnknown, and later reports show the outcome. It returns the
// same reason at once for a run that is already in the table.
func (d *Daemon) startRun(ctx context.Context, p wire.StartRunParams) wire.StartRunResult {
	key := worker.Run{Task: p.Task, Number: p.Run}
	begun := time.Now()
	defer func() { d.counters.Observe("startMs", time.Since(begun)) }()
	if refused, done := d.registerRun(p, key); done {
		return refused
	}
	bounded, cancel := context.WithTimeout(ctx, startTimeout)
	defer cancel()
	for timeout := orderTimeout; ; timeout = longerTimeout(timeout) {
		if bounded.Err() != nil {
			return d.leaveUnconfirmed(key)
		}
		outcome, reason := d.sendStart(bounded, timeout, p, key)
		switch {
		case outcome == outcomeStarted:
			return d.recordOutcome(key, true, "")
		case outcome == outcomeRefused:
			return d.recordOutcome(key, false, reason)
		case outcome == outcomeRetry:
			pause.For(bounded, stalePause)
		case outcome == outcomeUnknown:
			d.counters.Count("startUnsettled")
			if result, done := d.resolveStart(bounded, key); done {
				return result
			}
		}
	}
}

// longerTimeout is the time of the attempt that follows one with the given time.
func longerTimeout(d time.Duration) time.Duration { return min(2*d, callTimeout) }

// leaveUnconfirmed ends startRun without a certain outcome. A later status of the
// worker either lists the run or proves that it will not start.
func (d *Daemon) leaveUnconfirmed(key worker.Run) wire.StartRunResult {
	t := d.table
	t.mu.Lock()
	defer t.mu.Unlock()
	if r := t.runs[key]; r != nil {
		r.starting = false
		if r.absentAfter == notSent {
			// No order is sent any more. The next status call proves that the run is absent.
			r.absentAfter = t.token
			t.raiseToken()
		}
	}
	return wire.StartRunResult{Version: t.version, Reason: agent.ReasonOutcomeUnknown}
}

// registerRun adds the run to the table and reports false. If the run may not be
// started or is already in the table, it returns the result for the planner and
// reports true.
func (d *Daemon) registerRun(p wire.StartRunParams, key worker.Run) (wire.StartRunResult, bool) {
	d.session.mu.Lock()
	defer d.session.mu.Unlock()
	t := d.table
	t.mu.Lock()
	defer t.mu.Unlock()
	reason := ""
	switch {
	case !d.session.current(p.Term, p.Session):
		reason = "supersededSession"
	case !t.identified() || t.sighted != nil:
		reason = "workerUnknown"
	case p.Worker != t.name():
		reason = reasonOtherWorker
	case t.unhealthy:
		reason = reasonUnreachable
	case t.leaving:
		reason = "workerLeaving"
	case t.announced.Draining:
		reason = "workerDraining"
	case d.stopping.Load():
		reason = "agentLeaving"
	case t.lease == 0:
		reason = "noLease"
	case !t.announcementValid():
		reason = reasonOldAnnouncement
	case t.runs[key] != nil:
		return wire.StartRunResult{Started: t.runs[key].confirmed, Version: t.version, Reason: agent.ReasonOutcomeUnknown}, true
	}
	if reason != "" {
		d.log.Add("startRefused", eventlog.Fields{"task": p.Task, "run": p.Run, "reason": reason})
		return wire.StartRunResult{Version: t.version, Reason: reason}, true
	}
	t.runs[key] = &run{starting: true, absentAfter: notSent}
	t.version++
	return wire.StartRunResult{}, false
}

// outcome is the outcome of one attempt to start a run.
type outcome string

const (
	outcomeStarted outcome = "started"
	// outcomeRefused means that the run did not start and that startRun makes no
	// further attempt.
	outcomeRefused outcome = "refused"
	outcomeUnknown outcome = "unknown"
	// outcomeRetry means that this attempt certainly did not start the run and
	// that another attempt may be made.
	outcomeRetry outcome = "again"
)

// Reasons of refusals. With the first, the incarnation of the worker that the order is for
// has ended. With the second, the worker has announced nothing for so long that its
// capacity may have shrunk. With the third, calls to the worker fail.
const (
	reasonOtherWorker     = "otherWorker"
	reasonOldAnnouncement = "oldAnnouncement"
	reasonUnreachable     = "workerUnreachable"
)

// sendStart makes one attempt to start the run, for which the worker has the given time.
// It returns a reason with the outcomes outcomeRefused and outcomeUnknown.
func (d *Daemon) sendStart(ctx context.Context, timeout time.Duration, p wire.StartRunParams, key worker.Run) (outcome, string) {
	t := d.table
	d.session.mu.Lock()
	current := d.session.current(p.Term, p.Session)
	t.mu.Lock()
	d.session.mu.Unlock()
	r := t.runs[key]
	switch {
	case r != nil && r.confirmed, t.hasEnded(key):
		t.mu.Unlock()
		return outcomeStarted, ""
	case r == nil || t.name() != p.Worker:
		t.mu.Unlock()
		return outcomeRefused, reasonOtherWorker
	case t.unhealthy && !r.sent:
		t.mu.Unlock()
		return outcomeRefused, reasonUnreachable
	case t.unhealthy || t.sighted != nil:
		t.mu.Unlock()
		return outcomeRetry, ""
	case !current:
		// Reports in the new session list the run as unconfirmed until startRun
		// removes it from the table, which it does after this refusal.
		t.mu.Unlock()
		return outcomeRefused, "supersededSession"
	case !t.announcementValid():
		t.mu.Unlock()
		return outcomeRefused, reasonOldAnnouncement
	}
	number, token := t.nextCall()
	r.absentAfter = token
	if !r.sent {
		r.sent, r.startedAt = true, time.Now()
	}
	order := worker.StartRequest{Run: key, Payload: p.Payload, Checkpoint: p.Checkpoint, FencingToken: token, Deadline: t.lease}
	id := t.current.ID
	t.mu.Unlock()
	bounded, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	reply, err := d.cfg.Worker.Start(bounded, id, order)
	t.mu.Lock()
	defer t.mu.Unlock()
	t.readClock(reply.Clock, number)
	switch {
	case errors.Is(err, worker.ErrOtherIncarnation):
		return outcomeRefused, reasonOtherWorker
	case err != nil:
		t.raiseToken()
		r.doubtful = true
		return outcomeUnknown, err.Error()
	case reply.Refusal == "":
		return outcomeStarted, ""
	case reply.Refusal == worker.RefusalStaleToken:
		t.raiseStaleToken(token)
		return outcomeRetry, ""
	}
	return outcomeRefused, string(reply.Refusal)
}

// resolveStart finds out whether a run has started whose start order the worker
// did not answer. Once the worker has seen a raised token, its status either lists
// the run or proves that the order will not be carried out any more. resolveStart
// returns the result for the planner and reports true if the run has started. It
// reports false when the order will not be carried out, or when that is still
// unknown as ctx ends.
func (d *Daemon) resolveStart(ctx context.Context, key worker.Run) (wire.StartRunResult, bool) {
	for timeout := orderTimeout; ctx.Err() == nil; timeout = longerTimeout(timeout) {
		bounded, cancel := context.WithTimeout(ctx, timeout)
		err := d.readStatus(bounded, 0)
		cancel()
		if err != nil {
			pause.For(ctx, retryPause/2)
			continue
		}
		if result, outcome := d.concludeStart(key); outcome != outcomeUnknown {
			return result, outcome == outcomeStarted
		}
	}
	return wire.StartRunResult{}, false
}

// concludeStart determines from the newest merged status whether a run has started
// whose start order the worker did not answer. It marks a run that has started as
// no longer starting, and prepares one that is fenced off for another start order.
func (d *Daemon) concludeStart(key worker.Run) (wire.StartRunResult, outcome) {
	t := d.table
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.hasEnded(key) {
		return wire.StartRunResult{Started: true, Version: t.version}, outcomeStarted
	}
	switch r := t.runs[key]; {
	case r == nil:
		return wire.StartRunResult{}, outcomeRetry
	case r.confirmed:
		r.starting = false
		return wire.StartRunResult{Started: true, Version: t.version}, outcomeStarted
	case r.fencedOff:
		// The order may be sent again with the raised token.
		r.fencedOff, r.absentAfter = false, notSent
		return wire.StartRunResult{}, outcomeRetry
	}
	return wire.StartRunResult{}, outcomeUnknown
}

// recordOutcome records the certain outcome of a start order in the table and
// returns the result for the planner.
func (d *Daemon) recordOutcome(key worker.Run, started bool, reason string) wire.StartRunResult {
	t := d.table
	t.mu.Lock()
	defer t.mu.Unlock()
	t.version++
	if r := t.runs[key]; r != nil && started {
		r.confirmed, r.starting = true, false
		r.absentAfter = t.lastCall
	} else if !started {
		if r != nil && r.doubtful && reason == reasonOtherWorker {
			// retire lists the run among those that may have ended their worker.
			r.starting = false
		} else {
			delete(t.runs, key)
		}
		d.log.Add("startRefused", eventlog.Fields{"task": key.Task, "run": key.Number, "reason": reason})
	}
	return wire.StartRunResult{Started: started, Version: t.version, Reason: reason}
}

// stopRun sends the worker an order to stop a run and repeats it until the worker
// answers or startTimeout has passed. An answer that refuses the order because of
// its token does not count. A later status shows the end of the run. stopRun gives
// up with errOtherIncarnation when the session that the order belongs to or the
// worker's incarnation is no longer the current one.
func (d *Daemon) stopRun(ctx context.Context, p wire.StopRunParams) error {
	bounded, cancel := context.WithTimeout(ctx, startTimeout)
	defer cancel()
	for timeout := orderTimeout; bounded.Err() == nil; timeout = longerTimeout(timeout) {
		d.session.mu.Lock()
		current := d.session.current(p.Term, p.Session)
		d.session.mu.Unlock()
		t := d.table
		t.mu.Lock()
		if !current || t.name() != p.Worker {
			t.mu.Unlock()
			return errOtherIncarnation
		}
		number, token := t.nextCall()
		id := t.current.ID
		t.mu.Unlock()
		once, cancelOnce := context.WithTimeout(bounded, timeout)
		reply, err := d.cfg.Worker.Stop(once, id, worker.Run{Task: p.Task, Number: p.Run}, token)
		cancelOnce()
		t.mu.Lock()
		t.readClock(reply.Clock, number)
		if reply.Refusal == worker.RefusalStaleToken {
			t.raiseStaleToken(token)
		}
		t.mu.Unlock()
		switch {
		case err == nil && reply.Refusal != worker.RefusalStaleToken:
			return nil
		case errors.Is(err, worker.ErrOtherIncarnation):
			return errOtherIncarnation
		case err != nil:
			pause.For(bounded, retryPause/2)
		default:
			pause.For(bounded, stalePause)
		}
	}
	return bounded.Err()
}
