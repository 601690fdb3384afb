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
)

// followConfig reads ConfigTopic and keeps the configuration with the highest version
// and the newest evacuation record of each zone.
func (d *Daemon) followConfig(ctx context.Context) {
	recordlog.Follow(ctx, d.cfg.Log, d.cfg.ConfigTopic, recordlog.Handler{
		OnRecords:    d.applyConfig,
		OnNewest:     d.applyConfig,
		OnLoaded:     d.dropDeletedEvacuations,
		OnUpToDate:   d.configUpToDate,
		Wake:         d.config.wake,
		OnOverdue:    func(wait time.Duration) { d.readOverdue(d.cfg.ConfigTopic, wait) },
		OnIncomplete: func(next, end int64) { d.readIncomplete(d.cfg.ConfigTopic, next, end) },
		Pace:         d.configPace,
		OnReadFailing: func(err error) {
			d.setConfigReadFailing(true)
			d.log.Add("configurationLost", eventlog.Fields{"cause": err.Error()})
		},
		OnReadRecovered: func() {
			d.setConfigReadFailing(false)
			d.log.Add("configurationRegained", nil)
		},
	})
}

func (d *Daemon) setConfigReadFailing(failing bool) {
	d.config.mu.Lock()
	defer d.config.mu.Unlock()
	d.config.readFailing = failing
}

func (d *Daemon) applyConfig(records []recordlog.StoredRecord) {
	for _, r := range records {
		record, err := d.cfg.DecodeOperator(r.Record)
		if err != nil {
			d.counters.Count("configurationInvalid")
			d.log.Add("configurationInvalid", eventlog.Fields{"key": r.Key, "offset": r.Offset, "cause": err.Error()})
			continue
		}
		switch record := record.(type) {
		case access.Config:
			d.applyConfigVersion(record, r)
		case access.Evacuation:
			d.applyEvacuation(record, r.Offset)
		}
	}
}

func (d *Daemon) applyConfigVersion(config access.Config, r recordlog.StoredRecord) {
	d.config.mu.Lock()
	defer d.config.mu.Unlock()
	if d.config.known && config.Version <= d.config.current.Version {
		return
	}
	d.config.current, d.config.record, d.config.known = config, r, true
	fields := eventlog.Fields{"version": config.Version, "offset": r.Offset, "queues": len(config.Queues), "orgs": len(config.Orgs)}
	if !d.config.currentAsOf.IsZero() {
		// The age of the version before, which bounds how late this one is.
		fields["ageMs"] = boottime.Now().Sub(d.config.currentAsOf).Milliseconds()
	}
	d.log.Add("configurationInForce", fields)
	d.planner.mu.Lock()
	defer d.planner.mu.Unlock()
	if d.planner.scheduler != nil {
		d.planner.scheduler.Configure(config)
	}
}

// applyEvacuation applies the record of an evacuation, unless a newer one of the zone has
// been applied.
func (d *Daemon) applyEvacuation(e access.Evacuation, offset int64) {
	d.config.mu.Lock()
	defer d.config.mu.Unlock()
	if old, found := d.config.evacuations[e.Zone]; found && offset <= old.offset {
		return
	}
	d.config.evacuations[e.Zone] = evacuation{active: e.Active, offset: offset}
	d.evacuationsChanged(eventlog.Fields{"zone": e.Zone, "active": e.Active, "offset": offset})
}

// dropDeletedEvacuations ends the evacuations whose records a load of all keys has not
// found. Their tombstones were dropped before this entry could read them.
func (d *Daemon) dropDeletedEvacuations(l recordlog.Load) {
	found := map[string]bool{}
	for key := range l.Keys {
		if record, err := d.cfg.DecodeOperator(recordlog.Record{Key: key}); err == nil {
			if e, ok := record.(access.Evacuation); ok {
				found[e.Zone] = true
			}
		}
	}
	d.config.mu.Lock()
	defer d.config.mu.Unlock()
	for zone, e := range d.config.evacuations {
		if e.active && e.offset < l.End && !found[zone] {
			d.config.evacuations[zone] = evacuation{offset: e.offset}
			d.evacuationsChanged(eventlog.Fields{"zone": zone, "active": false, "offset": l.End})
		}
	}
}

// evacuationsChanged passes the evacuated zones to the scheduler, if this entry is the
// planner. The caller holds the configuration's mutex.
func (d *Daemon) evacuationsChanged(fields eventlog.Fields) {
	d.counters.Count("evacuationChanged")
	d.log.Add("evacuationChanged", fields)
	d.planner.mu.Lock()
	defer d.planner.mu.Unlock()
	if d.planner.scheduler != nil {
		d.planner.scheduler.Evacuated = d.config.evacuatedZones()
		d.requestPass()
	}
}

// followRecords reads the system's own records and applies them to the record
// table.
func (d *Daemon) followRecords(ctx context.Context) {
	recordlog.Follow(ctx, d.cfg.Log, d.cfg.Topic, recordlog.Handler{
		OnRecords: d.applyRecords,
		OnNewest:  d.applyNewest,
		OnLoaded: func(l recordlog.Load) {
			d.records.mu.Lock()
			d.records.state.FinishLoad(l.Keys, l.End)
			// The load has only the newest record of a planner.
			d.records.terms.RecordLoad(boottime.Now())
			d.records.mu.Unlock()
		},
		OnUpToDate: func(begun time.Time) {
			d.records.mu.Lock()
			if d.records.readableSince.IsZero() {
				d.records.readableSince = boottime.Now()
			}
			d.records.currentAsOf = begun
			d.records.mu.Unlock()
			d.signalApplied()
		},
		OnReadFailing: func(err error) {
			d.records.mu.Lock()
			d.records.readableSince = time.Time{}
			d.records.mu.Unlock()
			d.log.Add("storeLost", eventlog.Fields{"cause": err.Error()})
		},
		OnReadRecovered: func() { d.log.Add("storeRegained", nil) },
		OnOverdue:       func(wait time.Duration) { d.readOverdue(d.cfg.Topic, wait) },
		OnIncomplete:    func(next, end int64) { d.readIncomplete(d.cfg.Topic, next, end) },
		Pace:            d.recordsPace,
	})
}

func (d *Daemon) readOverdue(topic string, wait time.Duration) {
	d.counters.Count("readOverdue." + topic)
	d.log.Add("readOverdue", eventlog.Fields{"topic": topic, "waitMs": wait.Milliseconds()})
}

func (d *Daemon) readIncomplete(topic string, next, end int64) {
	d.counters.Count("readIncomplete." + topic)
	d.log.Add("readIncomplete", eventlog.Fields{"topic": topic, "next": next, "end": end})
}

const (
	// confirmedConfigWait is how long a read of the configuration waits for a new
	// version while the planner's pongs confirm the present one, and at most half of
	// Config.MaxConfigAge: a connection that has stopped transferring data is noticed after
	// the wait. confirmationAge is the age up to which pongs confirm. A new version ends the
	// read at once.
	confirmedConfigWait = 1500 * time.Millisecond
	// plannerConfigWait is how long a read of the planner waits, whose pongs confirm the
	// configuration to all other entries. The begin of its newest completed read is at most
	// twice as long ago.
	plannerConfigWait = 350 * time.Millisecond
	confirmationAge   = 2 * pingInterval
	// followerPause is the pause between an entry's reads of records while it is not the
	// planner. It learns of ended jobs from the planner, and reads at once what a
	// request or a claim depends on.
	followerPause = 700 * time.Millisecond
)

// configPace determines the pace of reads of the configuration.
func (d *Daemon) configPace() recordlog.Pace {
	pace := recordlog.DefaultPace
	if d.isPlanner() {
		pace.Wait = plannerConfigWait
		return pace
	}
	d.config.mu.Lock()
	defer d.config.mu.Unlock()
	if boottime.Now().Sub(d.config.confirmedByPeerAt) < confirmationAge {
		pace.Wait = min(confirmedConfigWait, d.config.maxAge/2)
	}
	return pace
}

// recordsPace determines the pace of reads of the system's own records.
func (d *Daemon) recordsPace() recordlog.Pace {
	pace := recordlog.DefaultPace
	d.records.mu.Lock()
	term := d.records.state.Planner.Term
	d.records.mu.Unlock()
	// A planner that does not answer may have to be replaced, so that every heartbeat
	// counts.
	if !d.isPlanner() && d.plannerStores(term) {
		pace.Pause = followerPause
	}
	return pace
}

// catchUpTimeout bounds catchUp. When the store is slow, it answers within half
// a second.
const catchUpTimeout = 800 * time.Millisecond

// errRecordsHidden means that the store has records which its reads do not return.
var errRecordsHidden = errors.New("reads of the store do not return its newest records")

// catchUp reads and applies the records that were stored before the call and
// have not been read yet. It fails when the store cannot be read, when its reads do not
// return all records (errRecordsHidden), or when the records after the last one that was
// read have expired. In the last two cases followRecords loads the newest record of every
// key.
func (d *Daemon) catchUp(ctx context.Context) error {
	bounded, cancel := context.WithTimeout(ctx, catchUpTimeout)
	defer cancel()
	d.records.mu.Lock()
	from := d.records.state.LastApplied + 1
	d.records.mu.Unlock()
	for {
		page, err := recordlog.ReadNow(bounded, d.cfg.Log, d.cfg.Topic, from)
		if err != nil {
			return err
		}
		if len(page.Records) == 0 && page.Next < page.End {
			return errRecordsHidden
		}
		if len(page.Records) == 0 {
			return nil
		}
		d.applyRecords(page.Records)
		from = page.Next
	}
}

// lookUp applies the record that the store has for a key, if it has one.
func (d *Daemon) lookUp(ctx context.Context, key string) error {
	bounded, cancel := context.WithTimeout(ctx, catchUpTimeout)
	defer cancel()
	// No other key of the same kind lies between this text and the key.
	before := key[:len(key)-1] + string(key[len(key)-1]-1) + "~"
	page, err := d.cfg.Log.Newest(bounded, d.cfg.Topic, before)
	if err != nil {
		return err
	}
	if len(page.Records) > 0 && page.Records[0].Key == key {
		d.applyOutOfOrder(page.Records[0])
	}
	return nil
}

func (d *Daemon) signalApplied() {
	select {
	case d.records.applied <- struct{}{}:
	default:
	}
}

// applyRecords applies records that were read from the store. Unlike
// applyOutOfOrder, it advances stepfold.State.LastApplied.
func (d *Daemon) applyRecords(records []recordlog.StoredRecord) {
	d.applyWith(records, d.records.state.Apply)
}

// applyNewest applies records of a load of the newest record of each key.
func (d *Daemon) applyNewest(records []recordlog.StoredRecord) {
	d.applyWith(records, d.records.state.ApplyNewest)
}

// applyOutOfOrder applies a stored record that this entry has written itself or
// received from another entry. Records with lower offsets may still be unread.
func (d *Daemon) applyOutOfOrder(r recordlog.StoredRecord) {
	d.applyWith([]recordlog.StoredRecord{r}, d.records.state.ApplyOutOfOrder)
}

func (d *Daemon) applyWith(records []recordlog.StoredRecord, apply func(int64, stepfold.Record) bool) {
	now := boottime.Now()
	d.records.mu.Lock()
	defer d.records.mu.Unlock()
	for _, r := range records {
		record, err := codec.DecodeStepRecord(r.Record)
		if err != nil {
			d.counters.Count("recordInvalid")
			d.log.Add("recordInvalid", eventlog.Fields{"offset": r.Offset, "cause": err.Error()})
			// It may be the record of a planner.
			d.records.terms.RecordGap(now)
			continue
		}
		if p, ok := record.(stepfold.PlannerUpdated); ok {
			d.records.terms.Observe(p.Planner, now)
		}
		if !apply(r.Offset, record) {
			continue
		}
		switch record := record.(type) {
		case stepfold.PlannerUpdated:
			d.records.heartbeatAt = now
			d.endTermIfSuperseded(record.Planner)
		case stepfold.Accepted, stepfold.Cancelled, stepfold.AgentRegistered:
			d.applyToScheduler(record, now)
		}
	}
}

// applyToScheduler passes a new record to the scheduler, or the address of an
// agent to the agent's link, if this entry is the planner. The caller holds the
// records' mutex.
func (d *Daemon) applyToScheduler(record stepfold.Record, now time.Time) {
	d.planner.mu.Lock()
	defer d.planner.mu.Unlock()
	if d.planner.scheduler == nil {
		return
	}
	switch record := record.(type) {
	case stepfold.Accepted:
		d.planner.scheduler.AddJob(record.Job, now)
	case stepfold.Cancelled:
		d.planner.scheduler.Cancel(record.ID, now)
	case stepfold.AgentRegistered:
		d.setAgentAddress(record.Name, record.Agent)
	}
	d.requestPass()
}
