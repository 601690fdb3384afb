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
	// maxRecords bounds the configuration records kept for peers.
	maxRecords = 4096
	// maxPeerRecords bounds one reply to a peer, to stay below a frame.
	maxPeerRecords = 256
	// snapshotEvery is when a snapshot is replaced although few records follow
	// it. The log keeps records for longer than twice that.
	snapshotEvery = 5 * time.Minute
	// snapshotRetry is the pause before a snapshot that did not show up in the
	// stream is written again.
	snapshotRetry = 10 * time.Second
	// retryDelay is the pause after a failed try to reach the log or an agent.
	retryDelay = 500 * time.Millisecond
)

// tailConfig folds the configuration stream until the daemon stops.
func (d *Daemon) tailConfig() {
	d.tail(platformlog.StreamConfig, func(p platformlog.Page) {
		for _, r := range p.Records {
			d.foldConfig(r)
		}
		d.config.mu.Lock()
		defer d.config.mu.Unlock()
		d.config.caughtUp = d.config.caughtUp || d.config.state.Offset+1 >= p.Next
		d.config.snapshot.see(platformlog.StreamConfig, p)
	})
}

// tail reads a stream until the daemon stops. Without a usable snapshot the
// records that are gone cannot be made up for, so it keeps trying until a peer
// has written one.
func (d *Daemon) tail(stream string, f func(platformlog.Page)) {
	from := int64(1)
	for d.ctx.Err() == nil {
		err := d.log.Tail(d.ctx, stream, from, func(p platformlog.Page) error {
			f(p)
			from = p.Next
			return nil
		})
		var expired platformlog.ErrExpired
		if errors.As(err, &expired) {
			d.count("streamExpired")
			d.logger.WithError(err).WithField("stream", stream).Error("no usable snapshot")
		}
		d.pause(retryDelay)
	}
}

func (d *Daemon) pause(span time.Duration) {
	t := time.NewTimer(span)
	defer t.Stop()
	select {
	case <-t.C:
	case <-d.ctx.Done():
	}
}

// foldConfig folds one record of the configuration stream.
func (d *Daemon) foldConfig(r wire.LogRecord) {
	record, err := platformlog.ParseConfig(r)
	d.config.mu.Lock()
	if int64(r.Offset) <= d.config.state.Offset {
		d.config.mu.Unlock()
		return
	}
	if err != nil {
		// Every process skips the same record, because the text is the same.
		d.config.state.Skip(int64(r.Offset))
		d.config.mu.Unlock()
		d.count("configRecordInvalid")
		d.logger.WithError(err).WithField("offset", r.Offset).Warn("configuration record skipped")
		return
	}
	result := d.config.state.Apply(int64(r.Offset), record)
	d.config.records = append(d.config.records, r)
	if len(d.config.records) > maxRecords {
		d.config.records = d.config.records[len(d.config.records)-maxRecords:]
	}
	object := configfold.ObjectOf(record.Change)
	_, accepted := result.(configfold.Accepted)
	if _, isSnapshot := record.Change.(configfold.Snapshot); !isSnapshot {
		d.config.history = append(d.config.history, wire.ConfigHistory{
			Offset: r.Offset, ID: r.ID, Object: object, Kind: platformlog.ConfigBody(record).Kind, Accepted: accepted,
		})
		if len(d.config.history) > maxRecords {
			d.config.history = d.config.history[len(d.config.history)-maxRecords:]
		}
	}
	close(d.config.changed)
	d.config.changed = make(chan struct{})
	d.config.mu.Unlock()
	if accepted {
		d.count("configAccepted")
		d.ring.Add(timeline.Event{Kind: "configAccepted", Offset: int64(r.Offset), Detail: object})
		d.assignDue.CompareAndSwap(0, time.Now().Add(assignDelay).UnixMilli())
		d.kicked.Store(true)
	}
}

// configFromPeers takes newer records from a live peer.
func (d *Daemon) configFromPeers(now time.Time) {
	newest, id := d.newestPeerConfig(now)
	d.config.mu.Lock()
	offset := d.config.state.Offset
	d.config.mu.Unlock()
	conn := d.peerConn(id)
	if newest <= offset || conn == nil {
		return
	}
	params := wire.PeerConfigParams{From: int(offset + 1)}
	send(d, conn, entry.MethodPeerConfig, params, now.Add(orderTimeout), func(result wire.PeerConfigResult, err error) {
		if err != nil {
			return
		}
		d.count("configFromPeer")
		if result.Snapshot != nil {
			if state, err := platformlog.ConfigSnapshotFrom(*result.Snapshot); err == nil {
				d.takeConfig(state)
			}
		}
		for _, r := range result.Records {
			d.foldConfig(r)
		}
		d.config.mu.Lock()
		d.config.caughtUp = d.config.caughtUp || d.config.state.Offset >= newest
		d.config.mu.Unlock()
	})
}

func (d *Daemon) takeConfig(state configfold.State) {
	d.config.mu.Lock()
	defer d.config.mu.Unlock()
	if state.Offset > d.config.state.Offset {
		d.config.state = state
		d.config.records = nil
		close(d.config.changed)
		d.config.changed = make(chan struct{})
	}
}

// tailJobs folds the jobs stream until the daemon stops.
func (d *Daemon) tailJobs() {
	d.tail(platformlog.StreamJobs, func(p platformlog.Page) {
		for _, r := range p.Records {
			d.foldJob(r)
		}
		d.jobs.mu.Lock()
		first := !d.jobs.caughtUp && d.jobs.fold.Through+1 >= p.Next
		d.jobs.caughtUp = d.jobs.caughtUp || first
		d.jobs.snapshot.see(platformlog.StreamJobs, p)
		d.jobs.mu.Unlock()
		if first {
			d.kicked.Store(true)
		}
	})
}

// foldJob folds one record of the jobs stream and brings the table of jobs up
// to it. What follows from it for attempts is done after the lock is released.
func (d *Daemon) foldJob(r wire.LogRecord) {
	record, err := platformlog.ParseJob(r)
	d.jobs.mu.Lock()
	if int64(r.Offset) <= d.jobs.fold.Through {
		d.jobs.mu.Unlock()
		return
	}
	if err != nil {
		d.jobs.fold.Skip(int64(r.Offset))
		d.jobs.mu.Unlock()
		d.count("jobRecordInvalid")
		d.logger.WithError(err).WithField("offset", r.Offset).Warn("job record skipped")
		return
	}
	result := d.jobs.fold.Apply(int64(r.Offset), record)
	after := d.folded(int64(r.Offset), record, result)
	close(d.jobs.changed)
	d.jobs.changed = make(chan struct{})
	d.jobs.mu.Unlock()
	for _, f := range after {
		f()
	}
}

// folded applies one folded record to the table; d.jobs.mu is held. It returns
// what is to be done without the lock.
func (d *Daemon) folded(offset int64, record jobfold.Record, result jobfold.Result) []func() {
	_, valid := result.(jobfold.Valid)
	var after []func()
	event := func(kind, jobID, detail string) {
		org := ""
		if j := d.jobs.byID[jobID]; j != nil {
			org = j.job.Org
		}
		after = append(after, func() {
			d.ring.Add(timeline.Event{Kind: kind, Job: jobID, Org: org, Offset: offset, Detail: detail})
		})
	}
	switch r := record.(type) {
	case jobfold.Accepted:
		if valid {
			d.syncJob(r.Job.ID, d.jobs.fold.Jobs[r.Job.ID])
			event("jobAccepted", r.Job.ID, "")
			d.kicked.Store(true)
		}
	case jobfold.TermTaken:
		if valid {
			event("termTaken", "", r.Entry)
			after = append(after, func() { d.termTaken(r.Region, r.Entry, offset) })
		}
	case jobfold.Commit:
		if valid {
			d.syncJob(r.JobID, d.jobs.fold.Jobs[r.JobID])
			event("attemptCommitted", r.JobID, r.Attempt)
			after = append(after, func() { d.step(r.Attempt, gang.Committed{Offset: offset}) })
		} else {
			event("attemptCommitVoid", r.JobID, r.Attempt+": "+voidReason(result))
			after = append(after, func() { d.step(r.Attempt, gang.CommitVoid{Reason: voidReason(result)}) })
		}
	case jobfold.Abort:
		if valid {
			d.syncJob(r.JobID, d.jobs.fold.Jobs[r.JobID])
			event("attemptAborted", r.JobID, r.Reason)
			d.forget(r.Attempt)
			d.kicked.Store(true)
		}
	case jobfold.CancelAsked:
		if valid {
			d.syncJob(r.JobID, d.jobs.fold.Jobs[r.JobID])
			event("cancelAsked", r.JobID, "")
			after = append(after, func() { d.cancelHere(r.JobID) })
		}
	case jobfold.Ended:
		if valid {
			d.syncJob(r.JobID, d.jobs.fold.Jobs[r.JobID])
			event("jobEnded", r.JobID, describe(r.Outcome))
			d.forget(r.Attempt)
			d.kicked.Store(true)
		}
	case jobfold.Snapshot:
		if valid {
			for id, e := range d.jobs.fold.Jobs {
				d.syncJob(id, e)
			}
		}
	}
	return after
}

func voidReason(r jobfold.Result) string {
	if v, ok := r.(jobfold.Void); ok {
		return v.Reason
	}
	return "stale"
}

// forget drops an attempt; d.jobs.mu is held.
func (d *Daemon) forget(attemptID string) {
	if a := d.jobs.attempts[attemptID]; a != nil {
		delete(d.jobs.attempts, attemptID)
		if d.jobs.holders[a.JobID] == attemptID {
			delete(d.jobs.holders, a.JobID)
		}
	}
}

// tickSnapshots writes a snapshot when one is due, if this entry is the one
// whose turn it is. Two snapshots do no harm.
func (d *Daemon) tickSnapshots(now time.Time) {
	if d.log.Down() || membership.Owner("snapshots", append(d.liveEntries(now), d.c.ID)) != d.c.ID {
		return
	}
	d.config.mu.Lock()
	if d.config.snapshot.take(d.config.state.Offset, now) {
		change := configfold.Record{Change: configfold.Snapshot{State: d.config.state.Clone()}}
		d.submitLog(func() {
			record := platformlog.Record{ID: d.recordID("snapshot"), Body: platformlog.ConfigBody(change)}
			d.appendSnapshot(platformlog.StreamConfig, record)
		})
	}
	d.config.mu.Unlock()
	d.jobs.mu.Lock()
	if d.jobs.snapshot.take(d.jobs.fold.Through, now) {
		state := d.jobs.fold.Clone()
		d.submitLog(func() {
			records, err := platformlog.JobsSnapshotRecords(d.recordID("snapshot"), state)
			if err != nil {
				d.logger.WithError(err).Error("jobs snapshot not encoded")
				return
			}
			d.appendSnapshot(platformlog.StreamJobs, records...)
		})
	}
	d.jobs.mu.Unlock()
}

// snapshotState says when the next snapshot of a stream is due.
type snapshotState struct {
	view platformlog.SnapshotView
	// retryAt is when a snapshot that did not show up is written again.
	retryAt time.Time
}

// see takes a page of the stream that has been folded.
func (s *snapshotState) see(stream string, p platformlog.Page) {
	s.view.Oldest, s.view.Next = p.Oldest, p.Next
	for _, r := range p.Records {
		if through, ok := platformlog.SnapshotThrough(stream, r); ok && through > s.view.Covered {
			s.view.Covered = through
			s.view.RenewBy = time.Time{}
		}
	}
}

// take reports whether a snapshot is due, and sets when the next one is.
func (s *snapshotState) take(through int64, now time.Time) bool {
	s.view.Through = through
	if s.view.RenewBy.IsZero() {
		// Also while nothing changes: the newest snapshot expires as well.
		s.view.RenewBy = now.Add(snapshotEvery)
	}
	if now.Before(s.retryAt) || !platformlog.SnapshotDue(s.view, now) {
		return false
	}
	s.retryAt = now.Add(snapshotRetry)
	return true
}

// appendSnapshot appends the parts of a snapshot one after the other.
func (d *Daemon) appendSnapshot(stream string, records ...platformlog.Record) {
	for _, r := range records {
		ctx, cancel := context.WithTimeout(d.ctx, appendWait)
		_, err := d.log.Append(ctx, stream, r)
		cancel()
		if err != nil {
			d.count("snapshotFailed")
			return
		}
	}
	d.count("snapshotWritten")
}
