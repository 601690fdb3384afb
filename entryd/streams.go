package entryd

import (
	"context"
	"errors"
	"time"

	"celerypoint.example/celerypoint/configfold"
	"celerypoint.example/celerypoint/entry"
	"celerypoint.example/celerypoint/gang"
	"celerypoint.example/celerypoint/jobfold"
	"celerypoint.example/celerypoint/membership"
	"celerypoint.example/celerypoint/platformlog"
	"celerypoint.example/celerypoint/timeline"
	"celerypoint.example/celerypoint/wire"
)

const (
	// maxConfigRecords is the maximum number of configuration records kept for
	// peers, and of changes kept for the history.
	maxConfigRecords = 4096
	// maxPeerRecords is the maximum number of records in one reply to a peer,
	// so that the reply fits into an RPC frame.
	maxPeerRecords = 256
	// snapshotMaxAge is the age at which a snapshot is replaced although few
	// records follow it. The log retains records for more than twice as long.
	snapshotMaxAge = 5 * time.Minute
	// snapshotRetryInterval is the pause before a snapshot is written again when
	// the last one has not been read back from the stream, for example because
	// its append failed.
	snapshotRetryInterval = 10 * time.Second
	// retryDelay is the pause between two tries of a call to the log or to an agent.
	retryDelay = 500 * time.Millisecond
)

// tailConfig applies the records of the configuration stream until the daemon stops.
func (d *Daemon) tailConfig() {
	d.tail(platformlog.StreamConfig, func(p platformlog.Page) {
		for _, r := range p.Records {
			d.applyConfigRecord(r)
		}
		d.config.mu.Lock()
		defer d.config.mu.Unlock()
		d.config.caughtUp = d.config.caughtUp || d.config.state.LastApplied+1 >= p.Next
		d.config.snapshotSchedule.observe(platformlog.StreamConfig, p)
	})
}

// tail reads a stream of the log until the daemon stops, and calls f with each page.
// When records have expired that f has not received, and no snapshot replaces them, it
// tries again until a peer has written a snapshot.
func (d *Daemon) tail(stream string, f func(platformlog.Page)) {
	from := int64(1)
	for d.ctx.Err() == nil {
		err := d.log.Tail(d.ctx, stream, from, func(p platformlog.Page) error {
			f(p)
			from = p.Next
			return nil
		})
		var expired platformlog.ExpiredError
		if errors.As(err, &expired) {
			d.count("streamExpired")
			d.logger.WithError(err).WithField("stream", stream).Error("log records have expired and no snapshot replaces them")
		}
		d.sleep(retryDelay)
	}
}

// sleep waits for the duration or until the daemon stops.
func (d *Daemon) sleep(duration time.Duration) {
	t := time.NewTimer(duration)
	defer t.Stop()
	select {
	case <-t.C:
	case <-d.ctx.Done():
	}
}

// applyConfigRecord applies one record of the configuration stream. A record that
// was applied before is ignored.
func (d *Daemon) applyConfigRecord(r wire.LogRecord) {
	record, err := platformlog.ParseConfig(r)
	d.config.mu.Lock()
	if int64(r.Offset) <= d.config.state.LastApplied {
		d.config.mu.Unlock()
		return
	}
	if err != nil {
		// All processes read the same record and fail to decode it, so they all
		// skip it and their states stay equal.
		d.config.state.Skip(int64(r.Offset))
		d.config.mu.Unlock()
		d.count("configRecordInvalid")
		d.logger.WithError(err).WithField("offset", r.Offset).Warn("configuration record skipped")
		return
	}
	result := d.config.state.Apply(int64(r.Offset), record)
	d.config.records = append(d.config.records, r)
	if len(d.config.records) > maxConfigRecords {
		d.config.records = d.config.records[len(d.config.records)-maxConfigRecords:]
	}
	object := configfold.ObjectOf(record.Change)
	_, accepted := result.(configfold.Accepted)
	if _, isSnapshot := record.Change.(configfold.Snapshot); !isSnapshot {
		d.config.history = append(d.config.history, wire.ConfigHistory{
			Offset: r.Offset, ID: r.ID, Object: object, Kind: platformlog.ConfigBody(record).Kind, Accepted: accepted,
		})
		if len(d.config.history) > maxConfigRecords {
			d.config.history = d.config.history[len(d.config.history)-maxConfigRecords:]
		}
	}
	close(d.config.changed)
	d.config.changed = make(chan struct{})
	d.config.mu.Unlock()
	if accepted {
		d.count("configAccepted")
		d.ring.Add(timeline.Event{Kind: "configAccepted", Offset: int64(r.Offset), Detail: object})
		d.assignAt.CompareAndSwap(0, time.Now().Add(assignDebounce).UnixMilli())
		d.planRequested.Store(true)
	}
}

// fetchConfigFromPeers reads newer configuration records from the live peer with
// the newest configuration, so that this entry can catch up while it cannot read
// the log.
func (d *Daemon) fetchConfigFromPeers(now time.Time) {
	newest, peerID := d.newestPeerConfig(now)
	d.config.mu.Lock()
	offset := d.config.state.LastApplied
	d.config.mu.Unlock()
	conn := d.peerConn(peerID)
	if newest <= offset || conn == nil {
		return
	}
	params := wire.PeerConfigParams{From: int(offset + 1)}
	send(d, conn, entry.MethodPeerConfig, params, now.Add(callTimeout), func(result wire.PeerConfigResult, err error) {
		if err != nil {
			return
		}
		d.count("configFromPeer")
		if result.Snapshot != nil {
			if state, err := platformlog.DecodeConfigSnapshot(*result.Snapshot); err == nil {
				d.replaceConfig(state)
			}
		}
		for _, r := range result.Records {
			d.applyConfigRecord(r)
		}
		d.config.mu.Lock()
		d.config.caughtUp = d.config.caughtUp || d.config.state.LastApplied >= newest
		d.config.mu.Unlock()
	})
}

// replaceConfig replaces the configuration with a snapshot from a peer if that is
// newer.
func (d *Daemon) replaceConfig(state configfold.State) {
	d.config.mu.Lock()
	defer d.config.mu.Unlock()
	if state.LastApplied > d.config.state.LastApplied {
		d.config.state = state
		d.config.records = nil
		close(d.config.changed)
		d.config.changed = make(chan struct{})
	}
}

// tailJobs applies the records of the jobs stream until the daemon stops.
func (d *Daemon) tailJobs() {
	d.tail(platformlog.StreamJobs, func(p platformlog.Page) {
		for _, r := range p.Records {
			d.applyJobRecord(r)
		}
		d.jobs.mu.Lock()
		first := !d.jobs.caughtUp && d.jobs.logState.LastApplied+1 >= p.Next
		d.jobs.caughtUp = d.jobs.caughtUp || first
		d.jobs.snapshotSchedule.observe(platformlog.StreamJobs, p)
		d.jobs.mu.Unlock()
		if first {
			d.planRequested.Store(true)
		}
	})
}

// applyJobRecord applies one record of the jobs stream and updates the table of jobs.
// The functions that applyJobEffects returns run after the lock is released. A
// record that was applied before is ignored.
func (d *Daemon) applyJobRecord(r wire.LogRecord) {
	record, err := platformlog.ParseJob(r)
	d.jobs.mu.Lock()
	if int64(r.Offset) <= d.jobs.logState.LastApplied {
		d.jobs.mu.Unlock()
		return
	}
	if err != nil {
		d.jobs.logState.Skip(int64(r.Offset))
		d.jobs.mu.Unlock()
		d.count("jobRecordInvalid")
		d.logger.WithError(err).WithField("offset", r.Offset).Warn("job record skipped")
		return
	}
	result := d.jobs.logState.Apply(int64(r.Offset), record)
	followUps := d.applyJobEffects(int64(r.Offset), record, result)
	close(d.jobs.changed)
	d.jobs.changed = make(chan struct{})
	d.jobs.mu.Unlock()
	for _, f := range followUps {
		f()
	}
}

// applyJobEffects updates the jobs and attempts of the table after a record was
// applied to logState. The caller holds d.jobs.mu, releases it, and then calls the
// returned functions in order.
func (d *Daemon) applyJobEffects(offset int64, record jobfold.Record, result jobfold.Result) []func() {
	_, valid := result.(jobfold.Valid)
	var followUps []func()
	event := func(kind, jobID, detail string) {
		org := ""
		if j := d.jobs.byID[jobID]; j != nil {
			org = j.job.Org
		}
		followUps = append(followUps, func() {
			d.ring.Add(timeline.Event{Kind: kind, Job: jobID, Org: org, Offset: offset, Detail: detail})
		})
	}
	switch r := record.(type) {
	case jobfold.Accepted:
		if valid {
			d.syncJob(r.Job.ID, d.jobs.logState.Jobs[r.Job.ID])
			event("jobAccepted", r.Job.ID, "")
			d.planRequested.Store(true)
		}
	case jobfold.TermTaken:
		if valid {
			event("termTaken", "", r.Entry)
			followUps = append(followUps, func() { d.applyTermTaken(r.Region, r.Entry, offset) })
		}
	case jobfold.Commit:
		if valid {
			d.syncJob(r.JobID, d.jobs.logState.Jobs[r.JobID])
			event("attemptCommitted", r.JobID, r.Attempt)
			followUps = append(followUps, func() { d.step(r.Attempt, gang.Committed{Offset: offset}) })
		} else {
			event("attemptCommitVoid", r.JobID, r.Attempt+": "+voidReason(result))
			followUps = append(followUps, func() { d.step(r.Attempt, gang.CommitVoid{Reason: voidReason(result)}) })
		}
	case jobfold.Abort:
		if valid {
			d.syncJob(r.JobID, d.jobs.logState.Jobs[r.JobID])
			event("attemptAborted", r.JobID, r.Reason)
			d.dropAttempt(r.Attempt)
			d.planRequested.Store(true)
		}
	case jobfold.CancelRequested:
		if valid {
			d.syncJob(r.JobID, d.jobs.logState.Jobs[r.JobID])
			event("cancelAsked", r.JobID, "")
			followUps = append(followUps, func() { d.cancelLocally(r.JobID) })
		}
	case jobfold.Ended:
		if valid {
			d.syncJob(r.JobID, d.jobs.logState.Jobs[r.JobID])
			event("jobEnded", r.JobID, describeOutcome(r.Outcome))
			d.dropAttempt(r.Attempt)
			d.planRequested.Store(true)
		}
	case jobfold.Snapshot:
		if valid {
			for id, e := range d.jobs.logState.Jobs {
				d.syncJob(id, e)
			}
		}
	}
	return followUps
}

// voidReason returns the reason of a Void result, and "stale" for a Stale one. Stale
// means that a record at the same offset or a higher one was applied or skipped
// before.
func voidReason(r jobfold.Result) string {
	if v, ok := r.(jobfold.Void); ok {
		return v.Reason
	}
	return "stale"
}

// dropAttempt removes an attempt from the table. The caller holds d.jobs.mu.
func (d *Daemon) dropAttempt(attemptID string) {
	if a := d.jobs.attempts[attemptID]; a != nil {
		delete(d.jobs.attempts, attemptID)
		if d.jobs.attemptByJob[a.JobID] == attemptID {
			delete(d.jobs.attemptByJob, a.JobID)
		}
	}
}

// tickSnapshots writes a snapshot of each stream when one is due. Of this entry and
// the peers that can be the planner of its region, one is chosen to write them.
// Several entries may write the same snapshot, for example those of different
// regions, which does no harm.
func (d *Daemon) tickSnapshots(now time.Time) {
	if d.log.Down() || membership.Owner("snapshots", append(d.eligiblePeers(now), d.cfg.ID)) != d.cfg.ID {
		return
	}
	for _, write := range d.dueSnapshots(now) {
		// With a full queue, the function runs here, so that no lock may be held.
		d.runOnLogPool(write)
	}
}

// dueSnapshots returns a function for each snapshot that is due, which writes it.
func (d *Daemon) dueSnapshots(now time.Time) []func() {
	var due []func()
	d.config.mu.Lock()
	if d.config.snapshotSchedule.checkDue(d.config.state.LastApplied, now) {
		change := configfold.Record{Change: configfold.Snapshot{State: d.config.state.Clone()}}
		due = append(due, func() {
			record := platformlog.Record{ID: d.recordID("snapshot"), Body: platformlog.ConfigBody(change)}
			d.appendSnapshot(platformlog.StreamConfig, record)
		})
	}
	d.config.mu.Unlock()
	d.jobs.mu.Lock()
	defer d.jobs.mu.Unlock()
	if d.jobs.snapshotSchedule.checkDue(d.jobs.logState.LastApplied, now) {
		state := d.jobs.logState.Clone()
		due = append(due, func() {
			records, err := platformlog.JobsSnapshotRecords(d.recordID("snapshot"), state)
			if err != nil {
				d.logger.WithError(err).Error("encoding the jobs snapshot failed")
				return
			}
			d.appendSnapshot(platformlog.StreamJobs, records...)
		})
	}
	return due
}

// snapshotSchedule determines when the next snapshot of a stream is due.
type snapshotSchedule struct {
	input platformlog.SnapshotInput
	// retryAt is the earliest time at which the next snapshot is written; see
	// snapshotRetryInterval.
	retryAt time.Time
}

// observe updates the schedule with a page of the stream, after the records of the
// page have been applied.
func (s *snapshotSchedule) observe(stream string, p platformlog.Page) {
	s.input.Oldest, s.input.Next = p.Oldest, p.Next
	for _, r := range p.Records {
		if lastApplied, ok := platformlog.SnapshotLastApplied(stream, r); ok && lastApplied > s.input.SnapshotLastApplied {
			s.input.SnapshotLastApplied = lastApplied
			s.input.RenewBy = time.Time{}
		}
	}
}

// checkDue reports whether a snapshot is due. If so, the caller writes it, and the
// next one is not due before snapshotRetryInterval has passed.
func (s *snapshotSchedule) checkDue(lastApplied int64, now time.Time) bool {
	s.input.LastApplied = lastApplied
	if s.input.RenewBy.IsZero() {
		// The newest snapshot has to be replaced also while nothing changes,
		// because the log expires it like every record.
		s.input.RenewBy = now.Add(snapshotMaxAge)
	}
	if now.Before(s.retryAt) || !platformlog.SnapshotDue(s.input, now) {
		return false
	}
	s.retryAt = now.Add(snapshotRetryInterval)
	return true
}

// appendSnapshot appends the records of one snapshot one after the other, until one
// fails.
func (d *Daemon) appendSnapshot(stream string, records ...platformlog.Record) {
	for _, r := range records {
		ctx, cancel := context.WithTimeout(d.ctx, appendTimeout)
		_, err := d.log.Append(ctx, stream, r)
		cancel()
		if err != nil {
			d.count("snapshotFailed")
			return
		}
	}
	d.count("snapshotWritten")
}
