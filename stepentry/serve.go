package stepentry

import (
	"context"
	"errors"
	"time"

	"celerypoint.example/celerypoint/access"
	"celerypoint.example/celerypoint/boottime"
	"celerypoint.example/celerypoint/codec"
	"celerypoint.example/celerypoint/eventlog"
	"celerypoint.example/celerypoint/recordlog"
	"celerypoint.example/celerypoint/stepfold"
	"celerypoint.example/celerypoint/steps"
)

// Time-outs of requests that append to the store.
const (
	// appendTimeout bounds an append with its retries. If its outcome is not
	// certain by then, the request ends with OutcomeUnknown. When the store is
	// slow, it answers within half a second.
	appendTimeout = 1500 * time.Millisecond
	// refusalRetryTime is how long an append that the store refuses is retried if no other
	// entry can be asked.
	refusalRetryTime = 200 * time.Millisecond
)

// Admit determines the queue and the organisation of a client's request, or why
// the request is denied.
func (d *Daemon) Admit(host, path, key string) access.Admission {
	s := d.freshConfig()
	if !s.known {
		return access.Admission{Denial: access.DeniedStaleConfig}
	}
	d.counters.Observe("configurationAgeAtRequestMs", s.age)
	a := access.Decide(s.config, access.Request{Host: host, Path: path, Key: key, ConfigFresh: s.fresh})
	if a.Denial != "" {
		d.counters.Count("requestDenied." + string(a.Denial))
		d.log.Add("requestDenied", eventlog.Fields{"path": path, "reason": a.Denial, "version": s.config.Version, "ageMs": s.age.Milliseconds()})
	}
	return a
}

// BeginRequest adds 1 to the number of requests in progress. The returned
// function subtracts it again.
func (d *Daemon) BeginRequest() func() {
	d.requests.Add(1)
	return func() { d.requests.Add(-1) }
}

// fresh reports whether the record table is at most staleAfter behind the store.
// The caller holds the records' mutex.
func (d *Daemon) fresh() bool {
	return !d.records.currentAsOf.IsZero() && boottime.Now().Sub(d.records.currentAsOf) < staleAfter
}

// Submit stores a job and returns OutcomeOK once its record is stored, or at once
// if this entry already knows a job with the same ID. It refuses a job that it does not
// know while neither this entry can read the store nor the planner is known to store
// records, which it would do for this entry.
func (d *Daemon) Submit(ctx context.Context, j steps.Job) steps.Outcome {
	d.records.mu.Lock()
	e := d.records.state.Jobs[j.ID]
	known, fresh, term := e != nil && e.Job != nil, d.fresh(), d.records.state.Planner.Term
	readable := !d.records.readableSince.IsZero()
	d.records.mu.Unlock()
	fields := eventlog.Fields{"job": j.ID, "queue": j.Queue, "org": j.Org}
	if known {
		d.counters.Count("submitRepeated")
		return steps.OutcomeOK
	}
	outcome := steps.OutcomeRefused
	if fresh && readable || d.openPlannerConn() != nil && d.plannerStores(term) {
		outcome = d.appendUnfenced(ctx, fields, stepfold.Accepted{Job: j})
	}
	fields["fresh"], fields["readable"] = fresh, readable
	d.logOutcome("submit", outcome, fields)
	return outcome
}

// Cancel stores the cancellation of a job that has not ended, and returns
// OutcomeOK once it is stored. It stores the cancellation of an unknown job too
// before it returns OutcomeJobNotFound. Clients treat that answer as an
// acknowledgement, but the job's acceptance may still be stored after State has
// read the records, for example by an append whose outcome was unknown.
func (d *Daemon) Cancel(ctx context.Context, id string) steps.Outcome {
	phase, stateOutcome := d.State(ctx, id)
	if stateOutcome == steps.OutcomeRefused || stateOutcome == steps.OutcomeOK && phase.Over() {
		return stateOutcome
	}
	fields := eventlog.Fields{"job": id, "phase": phase}
	outcome := d.appendUnfenced(ctx, fields, stepfold.Cancelled{ID: id})
	if outcome == steps.OutcomeOK {
		outcome = stateOutcome
	}
	d.logOutcome("cancel", outcome, fields)
	return outcome
}

func (d *Daemon) logOutcome(request string, outcome steps.Outcome, fields eventlog.Fields) {
	d.counters.Count(request + "." + string(outcome))
	fields["outcome"] = outcome
	d.log.Add(request, fields)
}

// appendUnfenced appends a record that any entry may write, without a fence.
// Repeating the append is harmless, because the key and the value are the same
// each time.
func (d *Daemon) appendUnfenced(ctx context.Context, fields eventlog.Fields, r stepfold.Record) steps.Outcome {
	record, err := codec.EncodeStepRecord(r)
	if err != nil {
		fields["cause"] = err.Error()
		return steps.OutcomeRefused
	}
	bounded, cancel := context.WithTimeout(ctx, appendTimeout)
	defer cancel()
	begun := time.Now()
	offset, err := d.storeUnfenced(bounded, record)
	fields["storeMs"] = time.Since(begun).Milliseconds()
	d.counters.Observe("storeMs", time.Since(begun))
	switch {
	case err == nil:
		d.notifyPlanner(recordlog.StoredRecord{Offset: offset, Record: record})
		return steps.OutcomeOK
	case errors.Is(err, recordlog.ErrNotAppended):
		fields["cause"] = err.Error()
		return steps.OutcomeRefused
	}
	fields["cause"] = err.Error()
	return steps.OutcomeUnknown
}

// State returns a job's phase. If the store does not serve this entry, it asks the planner's
// entry, and returns OutcomeRefused if that cannot tell either.
func (d *Daemon) State(ctx context.Context, id string) (stepfold.Phase, steps.Outcome) {
	phase, outcome := d.ownState(ctx, id)
	if outcome == steps.OutcomeRefused {
		return d.stateByPlanner(ctx, id)
	}
	return phase, outcome
}

// ownState returns a job's phase by what this entry knows and reads. Before it returns
// OutcomeJobNotFound, it reads all records that were stored before the call, or, if the
// store's reads do not return them all, looks up the acceptance of the job. If that fails, it
// returns OutcomeRefused.
func (d *Daemon) ownState(ctx context.Context, id string) (stepfold.Phase, steps.Outcome) {
	if phase, outcome := d.phase(id); outcome != steps.OutcomeJobNotFound {
		return phase, outcome
	}
	err := d.catchUp(ctx)
	if errors.Is(err, errRecordsHidden) {
		err = d.lookUp(ctx, stepfold.Key(stepfold.Accepted{Job: steps.Job{ID: id}}))
	}
	if err != nil {
		d.counters.Count("catchUpFailed")
		d.log.Add("catchUpFailed", eventlog.Fields{"job": id, "cause": err.Error()})
		return "", steps.OutcomeRefused
	}
	return d.phase(id)
}

// phase returns a job's phase according to the records applied so far. It
// returns OutcomeRefused for an unknown job while the records are out of date.
func (d *Daemon) phase(id string) (stepfold.Phase, steps.Outcome) {
	d.records.mu.Lock()
	defer d.records.mu.Unlock()
	switch e := d.records.state.Jobs[id]; {
	case e != nil && e.Job != nil:
		return e.Phase(), steps.OutcomeOK
	case d.fresh():
		return "", steps.OutcomeJobNotFound
	}
	return "", steps.OutcomeRefused
}

// Pending returns the number of the queue's accepted jobs that have not ended and of which
// no task is known to have started. A start is counted after at most heartbeatInterval and an
// append. If the records of this entry are out of date, it asks the planner's entry, and returns
// OutcomeRefused if that cannot tell either.
func (d *Daemon) Pending(queue string) (int, steps.Outcome) {
	n, outcome := d.ownPending(queue)
	if outcome == steps.OutcomeRefused {
		return d.pendingByPlanner(queue)
	}
	return n, outcome
}

func (d *Daemon) ownPending(queue string) (int, steps.Outcome) {
	d.records.mu.Lock()
	defer d.records.mu.Unlock()
	if !d.fresh() {
		return 0, steps.OutcomeRefused
	}
	n := 0
	for _, e := range d.records.state.Jobs {
		if e.Job != nil && e.Job.Queue == queue && !e.Progress.Begun && !e.Phase().Over() {
			n++
		}
	}
	return n, steps.OutcomeOK
}

// Ready reports whether the load balancer may send new connections: the
// configuration and the records are up to date and the entry is not stopping.
func (d *Daemon) Ready() bool {
	d.config.mu.Lock()
	current := d.config.known && boottime.Now().Sub(d.config.currentAsOf) < staleAfter
	d.config.mu.Unlock()
	d.records.mu.Lock()
	current = current && d.fresh()
	d.records.mu.Unlock()
	return current && !d.stopping.Load()
}

// ClosingConnections reports whether clients' connections are to be closed after
// their next response.
func (d *Daemon) ClosingConnections() bool { return d.closingConns.Load() }
