package stepentry

import (
	"context"
	"errors"
	"fmt"
	"runtime/debug"
	"time"

	"celerypoint.example/celerypoint/boottime"
	"celerypoint.example/celerypoint/codec"
	"celerypoint.example/celerypoint/eventlog"
	"celerypoint.example/celerypoint/pause"
	"celerypoint.example/celerypoint/recordlog"
	"celerypoint.example/celerypoint/stepfold"
	"celerypoint.example/celerypoint/stepplan"
)

// Timing and batch sizes of planning passes.
const (
	// passInterval is the longest wait for a request before the next pass. It
	// bounds the delay of actions that are due at a given time, such as the
	// expiry of a lease.
	passInterval = 100 * time.Millisecond
	// batchDelay is how long a requested pass waits for further records and
	// reports, so that one append stores the changes that they lead to.
	batchDelay = 3 * time.Millisecond
	// maxBatch and maxBatchBytes bound the number of records in one append and
	// the total size of their values. A record with a larger value is appended
	// alone. The store accepts at most 2 MiB in one append.
	maxBatch      = 200
	maxBatchBytes = 1 << 20
	// stuckAfter is how long an append of the planner may take before it tells the other
	// entries that it cannot store records. When the store is slow, an append takes up to
	// half a second.
	stuckAfter = 800 * time.Millisecond
)

// requestPass makes runPasses run a planning pass soon. It does not block.
func (d *Daemon) requestPass() {
	select {
	case d.planner.passRequested <- struct{}{}:
	default:
	}
}

// runPasses runs planning passes until the term ends. After each pass it stores
// the changed progress of jobs, deletes the records of pruned jobs, stores a
// heartbeat if one is due, and then carries out the orders of the pass, which
// depend on these records.
func (d *Daemon) runPasses(ctx context.Context, self stepfold.Planner) {
	ticker := time.NewTicker(passInterval)
	defer ticker.Stop()
	var heartbeatAt time.Time
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		case <-d.planner.passRequested:
			pause.For(ctx, batchDelay)
		}
		now := boottime.Now()
		heartbeatDue := now.Sub(heartbeatAt) >= heartbeatInterval
		output, fence, ok := d.runPass(ctx, heartbeatDue)
		if !ok {
			return
		}
		records := d.encodeRecords(ctx, output)
		if heartbeatDue {
			heartbeatAt = now
			self.Heartbeat++
			records = append(records, d.heartbeatRecord(self)...)
		}
		if !d.appendFenced(ctx, fence, records) {
			return
		}
		d.sendOrders(ctx, output.Orders)
	}
}

// runPass runs one planning pass and returns its output with the fence for the
// next append. storeBegun says that the output has the beginnings of jobs too, which are
// stored with the heartbeats, so that they cost no append of their own. It sends stop orders
// at once, because they do not depend on stored records. It reports false when the term has
// ended. A pass that panics ends the term, because the scheduler may be half changed.
func (d *Daemon) runPass(ctx context.Context, storeBegun bool) (o stepplan.Output, f recordlog.Fence, ok bool) {
	defer func() {
		if v := recover(); v != nil {
			d.logPanic("planning pass", v, debug.Stack())
			d.planner.mu.Lock()
			defer d.planner.mu.Unlock()
			d.endTerm("unexpected error in a planning pass")
			o, ok = stepplan.Output{}, false
		}
	}()
	now := boottime.Now()
	d.planner.mu.Lock()
	defer d.planner.mu.Unlock()
	scheduler := d.planner.scheduler
	if scheduler == nil || ctx.Err() != nil {
		return stepplan.Output{}, recordlog.Fence{}, false
	}
	scheduler.ExpireLeases(now)
	scheduler.StartDueOccurrences(time.Now(), now)
	scheduler.PruneJobs(now)
	scheduler.Plan(now)
	if storeBegun {
		scheduler.StoreBegun()
	}
	d.sendStops()
	o = scheduler.TakeOutput(time.Now())
	d.logEvents(o.Events)
	return o, d.planner.fence, true
}

func (d *Daemon) logEvents(events []stepplan.Event) {
	for _, e := range events {
		d.counters.Count(e.Kind)
		fields := eventlog.Fields{"term": d.planner.term, "reason": e.Reason}
		for name, value := range map[string]string{"job": e.Job, "task": e.Task, "vm": e.VM} {
			if value != "" {
				fields[name] = value
			}
		}
		if e.Run > 0 {
			fields["run"] = e.Run
		}
		d.log.Add(e.Kind, fields)
	}
}

func (d *Daemon) encodeRecords(ctx context.Context, o stepplan.Output) []recordlog.Record {
	var records []recordlog.Record
	add := func(r stepfold.Record) {
		record, err := codec.EncodeStepRecord(r)
		if err != nil {
			d.log.Add("recordInvalid", eventlog.Fields{"cause": err.Error()})
			return
		}
		if record.Size() > recordlog.MaxRecordBytes {
			reason := fmt.Sprintf("its record has %d bytes, allowed: at most %d", record.Size(), recordlog.MaxRecordBytes)
			var replaced bool
			if record, replaced = d.giveUpJob(ctx, record, reason); !replaced {
				return
			}
		}
		records = append(records, record)
	}
	for _, p := range o.Progress {
		add(p)
	}
	for _, id := range o.PrunedJobs {
		for _, key := range stepfold.JobKeys(id) {
			add(stepfold.Deleted{Key: key})
		}
	}
	return records
}

// giveUpJob fails the job whose progress the store does not take, and returns a smaller
// record to store in place of r. It reports false for other records, and when the term has
// ended.
func (d *Daemon) giveUpJob(ctx context.Context, r recordlog.Record, reason string) (recordlog.Record, bool) {
	zero, id := stepfold.ParseKey(r.Key)
	d.counters.Count("recordRejected")
	d.log.Add("recordRejected", eventlog.Fields{"key": r.Key, "bytes": r.Size(), "cause": reason})
	if _, ok := zero.(stepfold.Progressed); !ok {
		return recordlog.Record{}, false
	}
	d.planner.mu.Lock()
	defer d.planner.mu.Unlock()
	if d.planner.scheduler == nil || ctx.Err() != nil {
		return recordlog.Record{}, false
	}
	progress := d.planner.scheduler.GiveUp(id, reason, time.Now(), boottime.Now())
	d.sendStops()
	small, err := codec.EncodeStepRecord(progress)
	if err == nil && small.Size() > recordlog.MaxRecordBytes {
		// A successor stops the runs that its agents report and it does not know.
		progress.Progress.Tasks = nil
		small, err = codec.EncodeStepRecord(progress)
	}
	if err != nil {
		d.log.Add("recordInvalid", eventlog.Fields{"cause": err.Error()})
		return recordlog.Record{}, false
	}
	return small, true
}

// droppable reports whether the term goes on if the store rejects the record.
func droppable(r recordlog.Record) bool {
	zero, _ := stepfold.ParseKey(r.Key)
	_, heartbeat := zero.(stepfold.PlannerUpdated)
	return !heartbeat
}

func (d *Daemon) heartbeatRecord(self stepfold.Planner) []recordlog.Record {
	record, err := codec.EncodeStepRecord(stepfold.PlannerUpdated{Planner: self})
	if err != nil {
		d.log.Add("recordInvalid", eventlog.Fields{"cause": err.Error()})
		return nil
	}
	return []recordlog.Record{record}
}

// appendFenced appends the records in batches under the term's fence. It ends
// the term when an append fails before ctx ends, and reports whether the term
// continues. A batch that the store rejects is divided until the rejected record is
// found, which is replaced or left out.
func (d *Daemon) appendFenced(ctx context.Context, fence recordlog.Fence, records []recordlog.Record) bool {
	limit, replacedKey := maxBatch, ""
	for len(records) > 0 {
		n, size := 0, 0
		for n < len(records) && n < limit && (n == 0 || size+len(records[n].Value) < maxBatchBytes) {
			size += len(records[n].Value)
			n++
		}
		begun := boottime.Now()
		stuck := time.AfterFunc(stuckAfter, func() { d.notifyStuck(fence.Epoch) })
		first, err := recordlog.AppendWithRetry(ctx, d.cfg.Log, d.cfg.Topic, &fence, records[:n])
		stuck.Stop()
		switch {
		case ctx.Err() != nil:
			return false
		case errors.Is(err, recordlog.ErrRejected) && n > 1:
			limit = n / 2
			continue
		case errors.Is(err, recordlog.ErrRejected) && records[0].Key != replacedKey && droppable(records[0]):
			replacedKey = records[0].Key
			replacement, replaced := d.giveUpJob(ctx, records[0], err.Error())
			if records = records[1:]; replaced {
				records = append([]recordlog.Record{replacement}, records...)
			}
			continue
		case err != nil:
			d.planner.mu.Lock()
			d.endTerm(err.Error())
			d.planner.mu.Unlock()
			if !errors.Is(err, recordlog.ErrFenced) {
				d.counters.Count("planAppendFailed")
			}
			return false
		}
		fence.Sequence++
		limit = min(maxBatch, 2*limit)
		d.counters.Observe("planAppendMs", boottime.Now().Sub(begun))
		d.planner.mu.Lock()
		d.planner.fence, d.planner.lastAppendAt, d.planner.lastAppendTook = fence, begun, boottime.Now().Sub(begun)
		d.planner.mu.Unlock()
		d.notifyWatchers(first, records[:n])
		records = records[n:]
	}
	return true
}
