package stepagent

import (
	"context"
	"errors"
	"time"

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

// reasonUnsettled is the reason of a start whose outcome is not known yet.
const reasonUnsettled = "unsettled"

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
		d.count("workerCallFailed")
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
	defer func() { d.observe("startMs", time.Since(begun)) }()
	if refused, done := d.openRun(p, key); done {
		return refused
	}
	bounded, cancel := context.WithTimeout(ctx, startTimeout)
	defer cancel()
	for {
		outcome, reason := d.tryStart(bounded, p, key)
		switch {
		case outcome == outcomeStarted:
			return d.settle(key, true, "")
		case outcome == outcomeRefused:
			return d.settle(key, false, reason)
		case bounded.Err() != nil:
			d.table.mu.Lock()
			defer d.table.mu.Unlock()
			return wire.StartRunResult{Version: d.table.version, Reason: reasonUnsettled}
		case outcome == outcomeUnknown:
			d.count("startUnsettled")
			if result, done := d.probe(bounded, key); done {
				return result
			}
		}
	}
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
		return wire.StartRunResult{Started: t.runs[key].settled, Version: t.version, Reason: reasonUnsettled}, true
	}
	if reason != "" {
		d.log.Add("startRefused", eventlog.Fields{"task": p.Task, "run": p.Run, "reason": reason})
		return wire.StartRunResult{Version: t.version, Reason: reason}, true
	}
	t.runs[key] = &run{since: unsent}
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
	t.mu.Lock()
	r := t.runs[key]
	if r == nil || t.key() != p.Worker {
		t.mu.Unlock()
		return outcomeRefused, "otherWorker"
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
// has seen the raised token, the start is either listed or void.
func (d *Daemon) probe(ctx context.Context, key worker.Run) (wire.StartRunResult, bool) {
	t := d.table
	for ctx.Err() == nil {
		if err := d.hold(ctx, 0); err != nil {
			pause.For(ctx, failedPause/2)
			continue
		}
		t.mu.Lock()
		defer t.mu.Unlock()
		r := t.runs[key]
		switch {
		case r != nil && r.settled:
			return wire.StartRunResult{Started: true, Version: t.version}, true
		case r != nil && r.since >= t.token:
			// The status answered an order that is older than the raised token.
			return wire.StartRunResult{}, false
		}
		for _, e := range t.ends {
			if e.Run == key {
				return wire.StartRunResult{Started: true, Version: t.version}, true
			}
		}
		// The order is void: it is sent again under the raised token.
		t.runs[key] = &run{since: unsent}
		return wire.StartRunResult{}, false
	}
	return wire.StartRunResult{}, false
}

// settle records the outcome of a start.
func (d *Daemon) settle(key worker.Run, started bool, reason string) wire.StartRunResult {
	t := d.table
	t.mu.Lock()
	defer t.mu.Unlock()
	t.version++
	if r := t.runs[key]; r != nil && started {
		r.settled = true
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
