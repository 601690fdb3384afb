package entryd

import (
	"cmp"
	"context"
	"fmt"
	"maps"
	"slices"
	"strings"
	"time"

	"celerypoint.example/celerypoint/agent"
	"celerypoint.example/celerypoint/codec"
	"celerypoint.example/celerypoint/configfold"
	"celerypoint.example/celerypoint/entry"
	"celerypoint.example/celerypoint/gang"
	"celerypoint.example/celerypoint/job"
	"celerypoint.example/celerypoint/jobfold"
	"celerypoint.example/celerypoint/outcome"
	"celerypoint.example/celerypoint/platformlog"
	"celerypoint.example/celerypoint/rpc"
	"celerypoint.example/celerypoint/timeline"
	"celerypoint.example/celerypoint/wire"
)

const (
	// remotePollInterval is the interval at which Wait polls a job that only
	// another entry knows.
	remotePollInterval = 200 * time.Millisecond
	// maxEvents is the maximum number of events read from one process.
	maxEvents = 2048
)

// Job returns the state of a job, as one entry knows it. That entry is this one if
// it knows the job, and otherwise the one that accepted the job. If this entry knows
// that an attempt of the job was committed but not whether it runs, the planner of
// this entry's region is asked first. Instead of an entry that cannot be reached,
// any peer that knows the job answers. The second result is false when the job does not
// exist any more, according to the entry that accepted it. The error is ErrUnavailable
// when that entry cannot be reached or when this one has not read the whole log yet.
func (d *Daemon) Job(ctx context.Context, jobID string) (job.View, bool, error) {
	v, ok, localErr := d.lookup(jobID)
	if !ok {
		v, found, err := d.remoteJob(ctx, ownerOf(jobID), jobID)
		if err == nil && !found {
			err = localErr
		}
		return v, found, err
	}
	if planner := d.planner(time.Now()); v.Phase == job.PhaseStarting && planner != d.cfg.ID {
		// The log says that the attempt was committed. Only the planner knows
		// whether it runs. The view of another peer, which remoteJob returns when
		// the planner cannot be reached, says no more than the local one.
		if remote, found, err := d.remoteJob(ctx, planner, jobID); err == nil && found {
			return remote, true, nil
		}
	}
	return v, true, nil
}

// remoteJob reads a job at another entry or, when that entry cannot be reached, from
// any peer that knows it. Only the other entry can say that there is no such job.
func (d *Daemon) remoteJob(ctx context.Context, entryID, jobID string) (job.View, bool, error) {
	conn := d.peerConn(entryID)
	if conn == nil {
		v, found, err := d.jobFromAnyPeer(ctx, jobID)
		if err != nil || found || entryID == "" || entryID == d.cfg.ID {
			return v, found, err
		}
		if conn = d.awaitPeerConn(ctx, entryID); conn == nil {
			return job.View{}, false, fmt.Errorf("job %s: no connection to entry %s: %w", jobID, entryID, ErrUnavailable)
		}
	}
	v, found, err := d.peerJob(ctx, conn, jobID, wire.PeerJobOpGet)
	if err != nil {
		// The entry may have stopped a moment ago and handed its ended short
		// requests over to a peer.
		if v, found, peerErr := d.jobFromAnyPeer(ctx, jobID); peerErr == nil && found {
			return v, true, nil
		}
		return job.View{}, false, fmt.Errorf("job %s: entry %s: %w", jobID, entryID, err)
	}
	return v, found, nil
}

// peerJob reads or cancels a job at the peer that the connection leads to.
func (d *Daemon) peerJob(ctx context.Context, conn *rpc.Conn, jobID string, op wire.PeerJobOp) (job.View, bool, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	r, err := entry.Client{Conn: conn}.PeerJob(ctx, wire.PeerJobParams{ID: jobID, Op: op})
	if err != nil || !r.Found || r.Job == nil {
		return job.View{}, false, err
	}
	v, err := codec.DecodeJobView(*r.Job)
	return v, true, err
}

// Wait returns the view of a job when the job has ended or ctx ends, and at once
// when the job is unknown. For a recorded job it also returns when this entry is
// stopping, so that the caller can wait at another entry.
func (d *Daemon) Wait(ctx context.Context, jobID string) (job.View, bool, error) {
	d.pendingCalls.Add(1)
	defer d.pendingCalls.Add(-1)
	ticker := time.NewTicker(remotePollInterval)
	defer ticker.Stop()
	for {
		d.jobs.mu.Lock()
		r := d.jobs.byID[jobID]
		d.jobs.mu.Unlock()
		var done chan struct{}
		if r != nil {
			done = r.done
		} else {
			v, ok, err := d.Job(ctx, jobID)
			if err != nil || !ok || v.Phase == job.PhaseEnded {
				return v, ok, err
			}
		}
		select {
		case <-done:
			return d.Job(ctx, jobID)
		case <-ticker.C:
			if r != nil && r.recorded && d.leaving.Load() {
				return d.Job(ctx, jobID)
			}
		case <-ctx.Done():
			return d.Job(context.WithoutCancel(ctx), jobID)
		}
	}
}

// ErrCancelUnconfirmed means that it is unknown whether a cancellation takes effect.
// The caller can cancel again.
var ErrCancelUnconfirmed = fmt.Errorf("it is unknown whether the job will be cancelled")

// Cancel requests the cancellation of a job. It does not wait until the job has
// ended. Whether the job was cancelled in time is known from its outcome. Without an
// error, the cancellation lasts: its record is in the log, or the entry that runs the
// short request has received it.
func (d *Daemon) Cancel(ctx context.Context, jobID string) (job.View, bool, error) {
	d.jobs.mu.Lock()
	r := d.jobs.byID[jobID]
	d.jobs.mu.Unlock()
	switch {
	case r != nil && !r.recorded:
		d.cancelLocally(jobID)
		return d.Job(ctx, jobID)
	case r == nil && ownerOf(jobID) == "":
		return job.View{}, false, nil
	}
	record := platformlog.Record{ID: d.recordID("cancel"), Body: platformlog.JobBody(jobfold.CancelRequested{JobID: jobID})}
	offsets, err := d.log.Append(ctx, platformlog.StreamJobs, record)
	if err != nil {
		// The record is not known to be in the log. One of the peers may be the
		// planner, which can stop the job without the record.
		d.cancelLocally(jobID)
		for _, conn := range d.peerConns() {
			send(d, conn, entry.MethodPeerJob, wire.PeerJobParams{ID: jobID, Op: wire.PeerJobOpCancel}, time.Now().Add(callTimeout), func(wire.PeerJobResult, error) {})
		}
		return job.View{}, false, fmt.Errorf("job %s: %w: %w", jobID, ErrCancelUnconfirmed, err)
	}
	if r != nil {
		return d.Job(ctx, jobID)
	}
	return d.cancelUnknown(ctx, jobID, offsets[0])
}

// cancelUnknown ends the cancellation of a job that this entry did not know when it
// appended the record at the offset. The acceptance of a recorded job is in the log
// before it. Any other job is a short request, which only the entry that accepted it
// can cancel.
func (d *Daemon) cancelUnknown(ctx context.Context, jobID string, offset int64) (job.View, bool, error) {
	if err := d.waitJobsApplied(ctx, offset); err != nil {
		return job.View{}, false, fmt.Errorf("job %s: %w: %w", jobID, ErrCancelUnconfirmed, err)
	}
	if v, ok := d.localView(jobID); ok {
		return v, true, nil
	}
	owner := ownerOf(jobID)
	conn := d.peerConn(owner)
	if conn == nil {
		return job.View{}, false, fmt.Errorf("job %s: %w: no connection to entry %s", jobID, ErrCancelUnconfirmed, owner)
	}
	v, found, err := d.peerJob(ctx, conn, jobID, wire.PeerJobOpCancel)
	if err != nil {
		return job.View{}, false, fmt.Errorf("job %s: entry %s: %w: %w", jobID, owner, ErrCancelUnconfirmed, err)
	}
	return v, found, nil
}

// cancelLocally marks a job as cancelled at this entry. It stops the attempt of the
// job if this entry manages one, and the tries of a short request of this entry.
func (d *Daemon) cancelLocally(jobID string) {
	d.jobs.mu.Lock()
	r := d.jobs.byID[jobID]
	if r == nil || r.outcome != nil {
		d.jobs.mu.Unlock()
		return
	}
	r.cancelRequested = true
	attemptID, inFlight, recorded := d.jobs.attemptByJob[jobID], maps.Clone(r.inFlight), r.recorded
	d.jobs.mu.Unlock()
	d.planRequested.Store(true)
	switch {
	case recorded && attemptID != "":
		d.step(attemptID, gang.Cancelled{})
	case !recorded:
		d.releaseShortTries(jobID, inFlight, "cancelled by the caller")
	}
}

// Answer returns the whole answer of a job. The error is ErrNoAnswer when the job
// is unknown, has not ended, or ended without an answer.
func (d *Daemon) Answer(ctx context.Context, jobID string) ([]byte, outcome.Answer, error) {
	// Count the call, so that a graceful stop waits until the answer is read.
	d.pendingCalls.Add(1)
	defer d.pendingCalls.Add(-1)
	v, ok, err := d.Job(ctx, jobID)
	if err != nil {
		return nil, outcome.Answer{}, err
	}
	a, isAnswer := v.Outcome.(outcome.Answer)
	if !ok || !isAnswer {
		return nil, outcome.Answer{}, fmt.Errorf("job %s has no answer: %w", jobID, ErrNoAnswer)
	}
	if len(a.Parts) == 0 {
		return a.Body, a, nil
	}
	body := make([]byte, 0, a.Length)
	for _, p := range a.Parts {
		data, err := d.readPart(ctx, p)
		if err != nil {
			return nil, outcome.Answer{}, err
		}
		body = append(body, data...)
	}
	return body, a, nil
}

// ErrNoAnswer means that a job is unknown or has not ended with an answer.
var ErrNoAnswer = fmt.Errorf("no answer")

// Config returns the newest configuration that this entry knows.
func (d *Daemon) Config(context.Context) (configfold.State, error) {
	d.config.mu.Lock()
	defer d.config.mu.Unlock()
	return d.config.state.Clone(), nil
}

// History returns the configuration changes from an offset on, including those that
// were not accepted. At most the newest maxConfigRecords are kept.
func (d *Daemon) History(_ context.Context, from int64) ([]wire.ConfigHistory, error) {
	d.config.mu.Lock()
	defer d.config.mu.Unlock()
	i := slices.IndexFunc(d.config.history, func(h wire.ConfigHistory) bool { return int64(h.Offset) >= from })
	if i < 0 {
		return nil, nil
	}
	return slices.Clone(d.config.history[i:]), nil
}

// Change appends a configuration change to the log, waits until it has been applied,
// and returns the result. The result is nil if it is no longer retained.
func (d *Daemon) Change(ctx context.Context, r configfold.Record) (configfold.Result, error) {
	if d.refusing.Load() {
		return nil, fmt.Errorf("%w: stopping", ErrUnavailable)
	}
	d.pendingCalls.Add(1)
	defer d.pendingCalls.Add(-1)
	if r.ID == "" {
		r.ID = d.recordID("change")
	}
	offsets, err := d.log.Append(ctx, platformlog.StreamConfig, platformlog.Record{ID: r.ID, Body: platformlog.ConfigBody(r)})
	if err != nil {
		return nil, err
	}
	for {
		d.config.mu.Lock()
		offset, result, changed := d.config.state.LastApplied, d.config.state.RecentResults[r.ID], d.config.changed
		d.config.mu.Unlock()
		if offset >= offsets[0] {
			return result, nil
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return nil, fmt.Errorf("change %s was appended at offset %d and has not been applied yet: %w", r.ID, offsets[0], ctx.Err())
		}
	}
}

// Drain starts or ends the draining of a VM, which then takes no new work. The state
// is recorded in the configuration. The start is also sent to the agent directly,
// so that it works while the log is down. A start fails only when neither the agent
// was reached nor the change recorded, an end when the change was not recorded.
func (d *Daemon) Drain(ctx context.Context, vmID string, draining bool) error {
	d.config.mu.Lock()
	offset, version := d.config.state.LastApplied, d.config.state.Versions["drain/"+vmID]
	d.config.mu.Unlock()
	var agentErr error
	if conn := d.agentConn(vmID); conn == nil {
		agentErr = fmt.Errorf("no connection to VM %s", vmID)
	} else if draining {
		callCtx, cancel := context.WithTimeout(ctx, callTimeout)
		_, agentErr = agent.Client{Conn: conn}.Drain(callCtx, wire.DrainParams{Draining: true, ConfigOffset: int(offset)})
		cancel()
	}
	result, err := d.Change(ctx, configfold.Record{BasedOn: version, Change: configfold.SetDrain{VM: vmID, Draining: draining}})
	if err == nil {
		if c, ok := result.(configfold.Conflict); ok {
			err = fmt.Errorf("drain of VM %s: another change came first, version %d", vmID, c.Version)
		}
	}
	if err != nil && agentErr != nil {
		return fmt.Errorf("drain of VM %s: the agent was not reached (%w) and the change was not recorded: %w", vmID, agentErr, err)
	}
	if err != nil && !draining {
		return err
	}
	d.ring.Add(timeline.Event{Kind: "vmDraining", VM: vmID, Detail: fmt.Sprintf("draining=%t", draining)})
	return nil
}

// Events returns the newest timeline events of this entry, its peers and the agents,
// in no particular order. Processes that do not answer in time are left out.
func (d *Daemon) Events(ctx context.Context) ([]timeline.Event, error) {
	events, _ := d.ring.Since(1, maxEvents)
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	params := wire.EventsParams{From: 1, Max: maxEvents}
	var pending []rpc.PendingCall
	for _, conn := range d.peerConns() {
		if p, err := conn.StartCall(entry.MethodPeerEvents, params); err == nil {
			pending = append(pending, p)
		}
	}
	for _, conn := range d.agentConns() {
		if p, err := conn.StartCall(agent.MethodEvents, params); err == nil {
			pending = append(pending, p)
		}
	}
	for _, p := range pending {
		var r wire.EventsResult
		if err := p.Wait(ctx, "events", &r); err != nil {
			d.count("eventsUnreachable")
			continue
		}
		for _, e := range r.Events {
			events = append(events, eventFrom(e))
		}
	}
	return events, nil
}

// agentConns returns the open connections to the agents of VMs that are not lost.
func (d *Daemon) agentConns() []*rpc.Conn {
	d.vms.mu.Lock()
	defer d.vms.mu.Unlock()
	var conns []*rpc.Conn
	for _, t := range d.vms.byID {
		if !t.lost && !isClosed(t.conn) {
			conns = append(conns, t.conn)
		}
	}
	return conns
}

// Status returns the state of the system as this entry sees it, for operators.
func (d *Daemon) Status(context.Context) (wire.StatusView, error) {
	now := time.Now()
	state, _ := d.Config(context.Background())
	d.jobs.mu.Lock()
	term, jobsOffset := d.jobs.logState.Terms[d.cfg.Region].Number, d.jobs.logState.LastApplied
	d.jobs.mu.Unlock()
	s := wire.StatusView{
		Entry: d.cfg.ID, Zone: d.cfg.Zone, Region: d.cfg.Region, Planner: d.planner(now), Term: int(term),
		ConfigOffset: int(state.LastApplied), JobsOffset: int(jobsOffset), LogDown: d.log.Down(), Entries: d.availableEntries(),
		Orgs: []wire.OrgStatus{}, VMs: []wire.VMStatus{},
	}
	used := map[string]int{}
	borrowed := map[string]int{}
	for _, v := range d.vmViews() {
		onVM := map[string]int{}
		w := wire.VMStatus{
			ID: v.ID, Zone: v.Zone, Rack: v.Rack, Accelerators: v.Accelerators, Free: v.FreeAccelerators(),
			Shares: state.Assignment.SharesOnVM(v.ID), Draining: v.Draining, Lost: v.Lost,
			QuarantinedUntilUnixMs: codec.UnixMillis(v.QuarantinedUntil), SeenUnixMs: codec.UnixMillis(v.LastSeen),
		}
		for _, h := range v.Holdings {
			w.Holdings = append(w.Holdings, codec.EncodeHolding(h))
			onVM[h.Org] += h.Accelerators
		}
		for name, n := range onVM {
			used[name] += n
			borrowed[name] += max(0, n-w.Shares[name])
		}
		s.VMs = append(s.VMs, w)
	}
	waiting, oldest := d.waitingByOrg()
	for name, o := range state.Orgs {
		s.Orgs = append(s.Orgs, wire.OrgStatus{
			Name: name, Owed: o.Guarantee.Accelerators(), Used: used[name], Borrowed: borrowed[name], Waiting: waiting[name],
			OldestWaits: oldest[name], Unmet: slices.Contains(state.Assignment.Unmet, name),
		})
	}
	slices.SortFunc(s.Orgs, func(a, b wire.OrgStatus) int { return cmp.Compare(a.Name, b.Name) })
	slices.SortFunc(s.Entries, func(a, b wire.EntryInfo) int { return strings.Compare(a.ID, b.ID) })
	return s, nil
}

// waitingByOrg returns the number of waiting jobs of each organisation, and why the
// one that has waited longest waits. Only the planner knows the reason.
func (d *Daemon) waitingByOrg() (map[string]int, map[string]string) {
	d.jobs.mu.Lock()
	defer d.jobs.mu.Unlock()
	waiting, oldest, since := map[string]int{}, map[string]string{}, map[string]time.Time{}
	for _, r := range d.jobs.byID {
		if r.phase != job.PhaseWaiting {
			continue
		}
		name := r.job.Org
		waiting[name]++
		if t, ok := since[name]; !ok || r.waitingSince.Before(t) {
			since[name], oldest[name] = r.waitingSince, r.waitsFor
		}
	}
	return waiting, oldest
}
