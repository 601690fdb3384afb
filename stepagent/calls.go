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

// Timing of the calls to the worker, which is on the same VM.
const (
	// holdWait is how long the worker holds a call for the status without an
	// end. A lease that was granted meanwhile goes out with the next call.
	holdWait = 400 * time.Millisecond
	// callTimeout bounds a call beyond its wait; the worker answers within a
	// few milliseconds.
	callTimeout = 400 * time.Millisecond
	// startTimeout bounds all tries of a start. It is below the 3 s after which
	// a member of a gang gives up.
	startTimeout = 2 * time.Second
	// failedPause is the wait after a call that failed.
	failedPause = 100 * time.Millisecond
	// refusedConnections is how many calls in a row find no listener before
	// the worker counts as down.
	refusedConnections = 2
)

// poll reads the status of the worker until ctx ends, and extends leases.
func (d *Daemon) poll(ctx context.Context) {
	failures := 0
	for ctx.Err() == nil {
		d.table.mu.Lock()
		known := d.table.known
		d.table.mu.Unlock()
		if !known {
			pause.For(ctx, failedPause)
			continue
		}
		err := d.hold(ctx, holdWait)
		if err == nil {
			failures = 0
			continue
		}
		if ctx.Err() != nil {
			return
		}
		d.counters.Count("workerCallFailed")
		d.doubt()
		failures++
		if !errors.Is(err, errNoListener) {
			failures = 0
		}
		if failures == refusedConnections {
			d.workerDown(err)
		}
		pause.For(ctx, failedPause)
	}
}

// doubt marks what is known of the worker as old.
func (d *Daemon) doubt() {
	d.table.mu.Lock()
	defer d.table.mu.Unlock()
	if !d.table.unhealthy {
		d.table.unhealthy = true
		d.table.touch()
	}
}

func (d *Daemon) workerDown(cause error) {
	t := d.table
	t.mu.Lock()
	t.down = true
	t.runs, t.ends = map[worker.Run]*run{}, nil
	t.touch()
	t.mu.Unlock()
	d.log.Add("workerDown", eventlog.Fields{"cause": cause.Error()})
}

// hold reads the status once.
func (d *Daemon) hold(ctx context.Context, wait time.Duration) error {
	t := d.table
	t.mu.Lock()
	number, token := t.call()
	life := t.key()
	id := t.announced.ID
	h := worker.Hold{Token: token, Deadline: t.lease, Forget: t.forget, Wait: wait}
	t.mu.Unlock()
	bounded, cancel := context.WithTimeout(ctx, wait+callTimeout)
	defer cancel()
	status, reply, err := d.c.Worker.Hold(bounded, id, h)
	t.mu.Lock()
	defer t.mu.Unlock()
	if life != t.key() {
		return nil
	}
	if err != nil {
		return d.classify(err)
	}
	t.readClock(reply.Clock)
	switch reply.Refusal {
	case "":
		if !t.merge(status, number, token) {
			return errOtherLife
		}
		return nil
	case worker.RefusalFence:
		t.raiseToken()
		return nil
	case worker.RefusalUnhealthy:
		if !t.unhealthy {
			t.unhealthy = true
			t.touch()
		}
	}
	return errRefused
}

// Errors of the agent's calls.
var (
	errNoListener = errors.New("nothing listens at the worker's address")
	errOtherLife  = errors.New("another life of the worker answered")
	errRefused    = errors.New("the worker refused the call")
)

// startRun carries out an order to start a run. It returns once the outcome is
// certain, or as unsettled once the time for it has passed.
func (d *Daemon) startRun(ctx context.Context, p wire.StartRunParams) wire.StartRunResult {
	key := worker.Run{Task: p.Task, Number: p.Run}
	begun := time.Now()
	defer func() { d.counters.Observe("startMs", time.Since(begun)) }()
	if refused, done := d.openRun(p, key); done {
		return refused
	}
	bounded, cancel := context.WithTimeout(ctx, startTimeout)
	defer cancel()
	for {
		if bounded.Err() != nil {
			return d.unsettled(key)
		}
		outcome, reason := d.tryStart(bounded, p, key)
		switch {
		case outcome == outcomeStarted:
			return d.settle(key, true, "")
		case outcome == outcomeRefused:
			return d.settle(key, false, reason)
		case outcome == outcomeUnknown:
			d.counters.Count("startUnsettled")
			if result, done := d.probe(bounded, key); done {
				return result
			}
		}
	}
}

// unsettled leaves a start to later statuses, which list it or prove it void.
func (d *Daemon) unsettled(key worker.Run) wire.StartRunResult {
	t := d.table
	t.mu.Lock()
	defer t.mu.Unlock()
	if r := t.runs[key]; r != nil {
		r.active = false
	}
	return wire.StartRunResult{Version: t.version, Reason: agent.ReasonOutcomeUnknown}
}

// openRun enters the run in the table, or says why it may not start.
func (d *Daemon) openRun(p wire.StartRunParams, key worker.Run) (wire.StartRunResult, bool) {
	d.session.mu.Lock()
	defer d.session.mu.Unlock()
	t := d.table
	t.mu.Lock()
	defer t.mu.Unlock()
	reason := ""
	switch {
	case !d.session.current(p.Term, p.Session):
		reason = "supersededSession"
	case !t.known || !t.listed || t.down:
		reason = "workerUnknown"
	case p.Worker != t.key():
		reason = "otherWorker"
	case t.announced.Draining:
		reason = "workerDraining"
	case d.leaving.Load():
		reason = "agentLeaving"
	case t.lease == 0:
		reason = "noLease"
	case t.runs[key] != nil:
		return wire.StartRunResult{Started: t.runs[key].settled, Version: t.version, Reason: agent.ReasonOutcomeUnknown}, true
	}
	if reason != "" {
		d.log.Add("startRefused", eventlog.Fields{"task": p.Task, "run": p.Run, "reason": reason})
		return wire.StartRunResult{Version: t.version, Reason: reason}, true
	}
	t.runs[key] = &run{active: true, since: unsent}
	t.version++
	return wire.StartRunResult{}, false
}

// outcome is what became of one try.
type outcome string

const (
	outcomeStarted outcome = "started"
	outcomeRefused outcome = "refused"
	outcomeUnknown outcome = "unknown"
	outcomeAgain   outcome = "again"
)

func (d *Daemon) tryStart(ctx context.Context, p wire.StartRunParams, key worker.Run) (outcome, string) {
	t := d.table
	d.session.mu.Lock()
	current := d.session.current(p.Term, p.Session)
	t.mu.Lock()
	d.session.mu.Unlock()
	r := t.runs[key]
	switch {
	case r == nil || t.key() != p.Worker:
		t.mu.Unlock()
		return outcomeRefused, "otherWorker"
	case !current:
		// Reports to the successor name the run until here.
		t.mu.Unlock()
		return outcomeRefused, "supersededSession"
	}
	_, token := t.call()
	r.since = token
	order := worker.Start{Run: key, Payload: p.Payload, Checkpoint: p.Checkpoint, Token: token, Deadline: t.lease}
	id := t.announced.ID
	t.mu.Unlock()
	bounded, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	reply, err := d.c.Worker.Start(bounded, id, order)
	t.mu.Lock()
	defer t.mu.Unlock()
	t.readClock(reply.Clock)
	switch {
	case errors.Is(err, worker.ErrOtherBoot):
		return outcomeRefused, "otherWorker"
	case err != nil:
		t.raiseToken()
		return outcomeUnknown, err.Error()
	case reply.Refusal == "":
		return outcomeStarted, ""
	case reply.Refusal == worker.RefusalFence:
		// Another order raised the token while this one was on its way.
		if token >= t.token {
			t.raiseToken()
		}
		return outcomeAgain, ""
	}
	return outcomeRefused, string(reply.Refusal)
}

// probe finds out what became of a start without an answer: once the worker
// has seen the raised token, the start is either listed or void. It reports
// false for a start that is void, or still unknown when ctx ends.
func (d *Daemon) probe(ctx context.Context, key worker.Run) (wire.StartRunResult, bool) {
	for ctx.Err() == nil {
		if err := d.hold(ctx, 0); err != nil {
			pause.For(ctx, failedPause/2)
			continue
		}
		if result, outcome := d.probed(key); outcome != outcomeUnknown {
			return result, outcome == outcomeStarted
		}
	}
	return wire.StartRunResult{}, false
}

// probed looks up a start without an answer in the newest status.
func (d *Daemon) probed(key worker.Run) (wire.StartRunResult, outcome) {
	t := d.table
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, e := range t.ends {
		if e.Run == key {
			return wire.StartRunResult{Started: true, Version: t.version}, outcomeStarted
		}
	}
	switch r := t.runs[key]; {
	case r == nil:
		return wire.StartRunResult{}, outcomeAgain
	case r.settled:
		r.active = false
		return wire.StartRunResult{Started: true, Version: t.version}, outcomeStarted
	case r.void:
		// It may be sent again under the raised token.
		r.void, r.since = false, unsent
		return wire.StartRunResult{}, outcomeAgain
	}
	return wire.StartRunResult{}, outcomeUnknown
}

// settle records the outcome of a start.
func (d *Daemon) settle(key worker.Run, started bool, reason string) wire.StartRunResult {
	t := d.table
	t.mu.Lock()
	defer t.mu.Unlock()
	t.version++
	if r := t.runs[key]; r != nil && started {
		r.settled, r.active = true, false
		r.since = t.calls
	} else if !started {
		delete(t.runs, key)
		d.log.Add("startRefused", eventlog.Fields{"task": key.Task, "run": key.Number, "reason": reason})
	}
	return wire.StartRunResult{Started: started, Version: t.version, Reason: reason}
}

// stopRun orders the worker to stop a run until it has an answer. The end
// follows in the status.
func (d *Daemon) stopRun(ctx context.Context, p wire.StopRunParams) error {
	bounded, cancel := context.WithTimeout(ctx, startTimeout)
	defer cancel()
	for bounded.Err() == nil {
		d.session.mu.Lock()
		current := d.session.current(p.Term, p.Session)
		d.session.mu.Unlock()
		t := d.table
		t.mu.Lock()
		if !current || t.key() != p.Worker {
			t.mu.Unlock()
			return errOtherLife
		}
		_, token := t.call()
		id := t.announced.ID
		t.mu.Unlock()
		once, cancelOnce := context.WithTimeout(bounded, callTimeout)
		reply, err := d.c.Worker.Stop(once, id, worker.Run{Task: p.Task, Number: p.Run}, token)
		cancelOnce()
		t.mu.Lock()
		t.readClock(reply.Clock)
		if reply.Refusal == worker.RefusalFence && token >= t.token {
			t.raiseToken()
		}
		t.mu.Unlock()
		switch {
		case err == nil && reply.Refusal != worker.RefusalFence:
			return nil
		case errors.Is(err, worker.ErrOtherBoot):
			return errOtherLife
		case err != nil:
			pause.For(bounded, failedPause/2)
		}
	}
	return bounded.Err()
}
