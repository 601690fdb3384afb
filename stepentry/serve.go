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

// Bounds of a request that needs the store.
const (
	// settleTime is how long an append may stay without a certain outcome
	// before the caller is told so; the store answers within half a second
	// when it is slow.
	settleTime = 1500 * time.Millisecond
	// refusedTime is how long an append that the store refuses is repeated.
	refusedTime = 200 * time.Millisecond
)

// Admit decides which queue and organisation a request belongs to.
func (d *Daemon) Admit(host, path, key string) access.Admission {
	d.config.mu.Lock()
	table, known, proven, grace := d.config.table, d.config.known, d.config.provenAt, d.config.keyGrace
	d.config.mu.Unlock()
	if !known {
		return access.Admission{Denial: access.DeniedStaleConfig}
	}
	age := boottime.Now().Sub(proven)
	a := access.Decide(table, access.Request{Host: host, Path: path, Key: key, ConfigFresh: age < grace})
	if a.Denial != "" {
		d.counters.Count("requestDenied." + string(a.Denial))
		d.log.Add("requestDenied", eventlog.Fields{"path": path, "reason": a.Denial, "version": table.Version, "ageMs": age.Milliseconds()})
	}
	return a
}

// BeginRequest counts a request in; the returned function counts it out.
func (d *Daemon) BeginRequest() func() {
	d.requests.Add(1)
	return func() { d.requests.Add(-1) }
}

// fresh reports whether the folded records are recent. The caller holds the
// records' mutex.
func (d *Daemon) fresh() bool {
	return !d.records.provenAt.IsZero() && boottime.Now().Sub(d.records.provenAt) < staleAfter
}

// Submit accepts a job once its record is stored. Submitting it again is
// answered like the first time.
func (d *Daemon) Submit(ctx context.Context, j steps.Job) steps.Outcome {
	d.records.mu.Lock()
	e := d.records.state.Jobs[j.ID]
	known, fresh := e != nil && e.Job != nil, d.fresh()
	d.records.mu.Unlock()
	fields := eventlog.Fields{"job": j.ID, "queue": j.Queue, "org": j.Org}
	if known {
		d.counters.Count("submitRepeated")
		return steps.OutcomeOK
	}
	outcome := steps.OutcomeRefused
	if fresh {
		outcome = d.store(ctx, fields, stepfold.Accepted{Job: j})
	}
	fields["fresh"] = fresh
	d.finish("submit", outcome, fields)
	return outcome
}

// Cancel cancels a job once its record is stored. That of a job that is not
// known is stored too before the job is denied: clients take the denial for the
// acknowledgement, and the store's reads can lag behind an acceptance.
func (d *Daemon) Cancel(ctx context.Context, id string) steps.Outcome {
	phase, known := d.State(ctx, id)
	if known == steps.OutcomeRefused || known == steps.OutcomeOK && phase.Over() {
		return known
	}
	fields := eventlog.Fields{"job": id, "phase": phase}
	outcome := d.store(ctx, fields, stepfold.Cancelled{ID: id})
	if outcome == steps.OutcomeOK {
		outcome = known
	}
	d.finish("cancel", outcome, fields)
	return outcome
}

func (d *Daemon) finish(request string, outcome steps.Outcome, fields eventlog.Fields) {
	d.counters.Count(request + "." + string(outcome))
	fields["outcome"] = outcome
	d.log.Add(request, fields)
}

// store appends a record that any entry may write. Repeating it does no harm,
// because its key and value are the same each time.
func (d *Daemon) store(ctx context.Context, fields eventlog.Fields, r stepfold.Record) steps.Outcome {
	record, err := codec.EncodeStepRecord(r)
	if err != nil {
		fields["cause"] = err.Error()
		return steps.OutcomeRefused
	}
	bounded, cancel := context.WithTimeout(ctx, settleTime)
	defer cancel()
	begun := time.Now()
	offset, err := recordlog.AppendWithRetry(bounded, d.c.Log, d.c.Topic, nil, []recordlog.Record{record}, recordlog.WithRefusalDeadline(begun.Add(refusedTime)))
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

// State returns a job's phase. A job that is not known is denied only once the
// records that were stored before the call have been read.
func (d *Daemon) State(ctx context.Context, id string) (stepfold.Phase, steps.Outcome) {
	if phase, outcome := d.phase(id); outcome != steps.OutcomeJobNotFound {
		return phase, outcome
	}
	if err := d.catchUp(ctx); err != nil {
		d.counters.Count("catchUpFailed")
		d.log.Add("catchUpFailed", eventlog.Fields{"job": id, "cause": err.Error()})
		return "", steps.OutcomeRefused
	}
	return d.phase(id)
}

// phase is what the folded records say of a job.
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

// Pending counts the queue's accepted jobs of which nothing has begun.
func (d *Daemon) Pending(queue string) (int, steps.Outcome) {
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

// Ready reports whether the load balancer may send new connections.
func (d *Daemon) Ready() bool {
	d.config.mu.Lock()
	current := d.config.known && boottime.Now().Sub(d.config.provenAt) < staleAfter
	d.config.mu.Unlock()
	d.records.mu.Lock()
	current = current && d.fresh()
	d.records.mu.Unlock()
	return current && !d.leaving.Load()
}

// ClosingConnections reports that connections are to be closed.
func (d *Daemon) ClosingConnections() bool { return d.closing.Load() }
