package stepentry

import (
	"context"
	"errors"
	"time"

	"celerypoint.example/celerypoint/boottime"
	"celerypoint.example/celerypoint/codec"
	"celerypoint.example/celerypoint/eventlog"
	"celerypoint.example/celerypoint/pause"
	"celerypoint.example/celerypoint/recordlog"
	"celerypoint.example/celerypoint/stepfold"
	"celerypoint.example/celerypoint/stepplan"
)

// Pace of planning.
const (
	// planEvery is the longest time between two passes; it bounds how much
	// later than a deadline something happens.
	planEvery = 100 * time.Millisecond
	// joinTime is how long a pass waits for further news, so that one append
	// carries them.
	joinTime = 3 * time.Millisecond
	// maxBatch and maxBatchBytes bound the records of one append; the store
	// takes 2 MiB.
	maxBatch      = 200
	maxBatchBytes = 1 << 20
)

// planDue asks for a planning pass.
func (d *Daemon) planDue() {
	select {
	case d.planner.due <- struct{}{}:
	default:
	}
}

// plan runs passes until the term ends: it decides, stores what has to last,
// and then sends the orders.
func (d *Daemon) plan(ctx context.Context, self stepfold.Planner) {
	ticker := time.NewTicker(planEvery)
	defer ticker.Stop()
	var beatAt time.Time
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		case <-d.planner.due:
			pause.For(ctx, joinTime)
		}
		output, fence, ok := d.pass(ctx)
		if !ok {
			return
		}
		records := d.encode(output)
		if now := boottime.Now(); now.Sub(beatAt) >= beatEvery {
			beatAt = now
			self.Heartbeat++
			records = append(records, d.beat(self)...)
		}
		if !d.keep(ctx, fence, records) {
			return
		}
		d.send(ctx, output.Orders)
	}
}

// pass decides, and sends the stops, which need nothing stored.
func (d *Daemon) pass(ctx context.Context) (stepplan.Output, recordlog.Fence, bool) {
	now := boottime.Now()
	d.planner.mu.Lock()
	defer d.planner.mu.Unlock()
	b := d.planner.board
	if b == nil || ctx.Err() != nil {
		return stepplan.Output{}, recordlog.Fence{}, false
	}
	b.ExpireLeases(now)
	b.StartDueOccurrences(time.Now(), now)
	b.PruneJobs(now)
	b.Plan(now)
	d.sendStops()
	o := b.TakeOutput(time.Now())
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

func (d *Daemon) encode(o stepplan.Output) []recordlog.Record {
	var records []recordlog.Record
	add := func(r stepfold.Record) {
		record, err := codec.EncodeStepRecord(r)
		if err != nil {
			d.log.Add("recordInvalid", eventlog.Fields{"cause": err.Error()})
			return
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

func (d *Daemon) beat(self stepfold.Planner) []recordlog.Record {
	record, err := codec.EncodeStepRecord(stepfold.PlannerUpdated{Planner: self})
	if err != nil {
		d.log.Add("recordInvalid", eventlog.Fields{"cause": err.Error()})
		return nil
	}
	return []recordlog.Record{record}
}

// keep stores the records and reports whether the term goes on.
func (d *Daemon) keep(ctx context.Context, fence recordlog.Fence, records []recordlog.Record) bool {
	for len(records) > 0 {
		n, size := 0, 0
		for n < len(records) && n < maxBatch && (n == 0 || size+len(records[n].Value) < maxBatchBytes) {
			size += len(records[n].Value)
			n++
		}
		begun := boottime.Now()
		first, err := recordlog.AppendWithRetry(ctx, d.c.Log, d.c.Topic, &fence, records[:n])
		switch {
		case ctx.Err() != nil:
			return false
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
		d.counters.Observe("planAppendMs", boottime.Now().Sub(begun))
		d.planner.mu.Lock()
		d.planner.fence, d.planner.checkedAt = fence, begun
		d.planner.mu.Unlock()
		d.notifyWatchers(first, records[:n])
		records = records[n:]
	}
	return true
}
