package stepentry

import (
	"context"
	"time"

	"celerypoint.example/celerypoint/boottime"
	"celerypoint.example/celerypoint/codec"
	"celerypoint.example/celerypoint/eventlog"
	"celerypoint.example/celerypoint/recordlog"
	"celerypoint.example/celerypoint/stepfold"
)

// followConfig keeps the newest configuration.
func (d *Daemon) followConfig(ctx context.Context) {
	recordlog.Follow(ctx, d.c.Log, d.c.ConfigTopic, recordlog.Handler{
		OnRecords: d.foldConfig,
		OnUpToDate: func(begun time.Time) {
			d.config.mu.Lock()
			d.config.provenAt = begun
			d.config.mu.Unlock()
		},
		OnReadFailing:   func(err error) { d.log.Add("configurationLost", eventlog.Fields{"cause": err.Error()}) },
		OnReadRecovered: func() { d.log.Add("configurationRegained", nil) },
	})
}

func (d *Daemon) foldConfig(records []recordlog.StoredRecord) {
	for _, r := range records {
		t, found, err := d.c.DecodeConfig(r.Record)
		if err != nil {
			d.counters.Count("configurationInvalid")
			d.log.Add("configurationInvalid", eventlog.Fields{"offset": r.Offset, "cause": err.Error()})
			continue
		}
		if !found {
			continue
		}
		d.config.mu.Lock()
		if !d.config.known || t.Version > d.config.table.Version {
			d.config.table, d.config.known = t, true
			d.log.Add("configurationInForce", eventlog.Fields{"version": t.Version, "offset": r.Offset, "queues": len(t.Queues), "orgs": len(t.Orgs)})
			d.planner.mu.Lock()
			if d.planner.board != nil {
				d.planner.board.Configure(t)
			}
			d.planner.mu.Unlock()
		}
		d.config.mu.Unlock()
	}
}

// followRecords keeps the fold of the system's own records.
func (d *Daemon) followRecords(ctx context.Context) {
	recordlog.Follow(ctx, d.c.Log, d.c.Topic, recordlog.Handler{
		OnRecords: d.foldRecords,
		OnUpToDate: func(begun time.Time) {
			d.records.mu.Lock()
			if d.records.steadySince.IsZero() {
				d.records.steadySince = boottime.Now()
			}
			d.records.provenAt = begun
			d.records.mu.Unlock()
			d.signalAdvanced()
		},
		OnReadFailing: func(err error) {
			d.records.mu.Lock()
			d.records.steadySince = time.Time{}
			d.records.mu.Unlock()
			d.log.Add("storeLost", eventlog.Fields{"cause": err.Error()})
		},
		OnReadRecovered: func() { d.log.Add("storeRegained", nil) },
	})
}

// catchUpTimeout bounds a catch-up; the store answers within half a second when
// it is slow.
const catchUpTimeout = 800 * time.Millisecond

// catchUp folds what was stored before the call and has not been read yet. An
// error says that the store could not be read, or that the history behind what
// was read has expired, which followRecords makes up for.
func (d *Daemon) catchUp(ctx context.Context) error {
	bounded, cancel := context.WithTimeout(ctx, catchUpTimeout)
	defer cancel()
	d.records.mu.Lock()
	from := d.records.state.LastApplied + 1
	d.records.mu.Unlock()
	for {
		page, err := d.c.Log.Read(bounded, d.c.Topic, from, 0)
		if err != nil {
			return err
		}
		if len(page.Records) == 0 {
			return nil
		}
		d.foldRecords(page.Records)
		from = page.Next
	}
}

func (d *Daemon) signalAdvanced() {
	select {
	case d.records.advanced <- struct{}{}:
	default:
	}
}

// foldRecords takes over records in the order of their offsets.
func (d *Daemon) foldRecords(records []recordlog.StoredRecord) {
	d.fold(records, d.records.state.Apply)
}

// learn takes over a stored record before it is read.
func (d *Daemon) learn(r recordlog.StoredRecord) {
	d.fold([]recordlog.StoredRecord{r}, d.records.state.ApplyOutOfOrder)
}

func (d *Daemon) fold(records []recordlog.StoredRecord, apply func(int64, stepfold.Record) bool) {
	now := boottime.Now()
	d.records.mu.Lock()
	defer d.records.mu.Unlock()
	for _, r := range records {
		record, err := codec.DecodeStepRecord(r.Record)
		if err != nil {
			d.counters.Count("recordInvalid")
			d.log.Add("recordInvalid", eventlog.Fields{"offset": r.Offset, "cause": err.Error()})
			continue
		}
		if !apply(r.Offset, record) {
			continue
		}
		switch record := record.(type) {
		case stepfold.PlannerUpdated:
			d.records.beatAt = now
			d.superseded(record.Planner)
		case stepfold.Accepted, stepfold.Cancelled, stepfold.AgentRegistered:
			d.applyToBoard(record, now)
		}
	}
}

// applyToBoard hands a new record to the board, if this entry plans.
func (d *Daemon) applyToBoard(record stepfold.Record, now time.Time) {
	d.planner.mu.Lock()
	defer d.planner.mu.Unlock()
	if d.planner.board == nil {
		return
	}
	switch record := record.(type) {
	case stepfold.Accepted:
		d.planner.board.AddJob(record.Job, now)
	case stepfold.Cancelled:
		d.planner.board.Cancel(record.ID, now)
	case stepfold.AgentRegistered:
		d.link(record.Name, record.Agent)
	}
	d.planDue()
}
