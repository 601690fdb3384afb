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
	// remotePoll is how often a job that another entry holds is asked for.
	remotePoll = 200 * time.Millisecond
	// eventsMax bounds one read of another process's events.
	eventsMax = 2048
)

// Job returns the view of a job that this entry or its owner knows.
func (d *Daemon) Job(ctx context.Context, id string) (job.View, bool, error) {
	v, ok := d.viewHere(id)
	if !ok {
		return d.remoteJob(ctx, ownerOf(id), id, wire.PeerJobOpGet)
	}
	if planner := d.planner(time.Now()); v.Phase == job.PhaseStarting && planner != d.c.ID {
		// Only the planner knows whether a committed attempt runs.
		if remote, found, err := d.remoteJob(ctx, planner, id, wire.PeerJobOpGet); err == nil && found {
			return remote, true, nil
		}
	}
	return v, true, nil
}

func (d *Daemon) remoteJob(ctx context.Context, entryID, id string, op wire.PeerJobOp) (job.View, bool, error) {
	conn := d.peerConn(entryID)
	if conn == nil {
		return d.anyPeerJob(ctx, id)
	}
	callCtx, cancel := context.WithTimeout(ctx, orderTimeout)
	defer cancel()
	r, err := entry.Client{Conn: conn}.PeerJob(callCtx, wire.PeerJobParams{ID: id, Op: op})
	if err != nil {
		// The entry may have stopped a moment ago and given its jobs to a peer.
		if v, found, peerErr := d.anyPeerJob(ctx, id); peerErr == nil && found {
			return v, true, nil
		}
		return job.View{}, false, fmt.Errorf("job %s: entry %s: %w", id, entryID, err)
	}
	if !r.Found || r.Job == nil {
		return job.View{}, false, nil
	}
	v, err := codec.ViewFrom(*r.Job)
	return v, true, err
}

// Wait returns the view of a job once it has ended, when ctx ends, or when
// this entry is stopping: the caller then asks another entry.
func (d *Daemon) Wait(ctx context.Context, id string) (job.View, bool, error) {
	d.requests.Add(1)
	defer d.requests.Add(-1)
	ticker := time.NewTicker(remotePoll)
	defer ticker.Stop()
	for {
		d.jobs.mu.Lock()
		r := d.jobs.byID[id]
		d.jobs.mu.Unlock()
		var done chan struct{}
		if r != nil {
			done = r.done
		} else {
			v, ok, err := d.remoteJob(ctx, ownerOf(id), id, wire.PeerJobOpGet)
			if err != nil || !ok || v.Phase == job.PhaseEnded {
				return v, ok, err
			}
		}
		select {
		case <-done:
			return d.Job(ctx, id)
		case <-ticker.C:
			if r != nil && r.recorded && d.leaving.Load() {
				return d.Job(ctx, id)
			}
		case <-ctx.Done():
			return d.Job(context.WithoutCancel(ctx), id)
		}
	}
}

// Cancel asks to end a job. What it returns may still be running: the outcome
// tells how the cancellation ended.
func (d *Daemon) Cancel(ctx context.Context, id string) (job.View, bool, error) {
	d.jobs.mu.Lock()
	r := d.jobs.byID[id]
	d.jobs.mu.Unlock()
	if r == nil {
		return d.remoteJob(ctx, ownerOf(id), id, wire.PeerJobOpCancel)
	}
	if !r.recorded {
		d.cancelHere(id)
		return d.Job(ctx, id)
	}
	record := platformlog.Record{ID: d.recordID("cancel"), Body: platformlog.JobBody(jobfold.CancelAsked{JobID: id})}
	_, err := d.log.Append(ctx, platformlog.StreamJobs, record)
	if err != nil {
		// The planner can stop the job without the record.
		d.cancelHere(id)
		for _, conn := range d.peerConns() {
			send(d, conn, entry.MethodPeerJob, wire.PeerJobParams{ID: id, Op: wire.PeerJobOpCancel}, time.Now().Add(orderTimeout), func(wire.PeerJobResult, error) {})
		}
	}
	return d.Job(ctx, id)
}

// cancelHere cancels a job as far as this entry can.
func (d *Daemon) cancelHere(id string) {
	d.jobs.mu.Lock()
	r := d.jobs.byID[id]
	if r == nil || r.outcome != nil {
		d.jobs.mu.Unlock()
		return
	}
	r.cancelAsked = true
	holder, sent, recorded := d.jobs.holders[id], maps.Clone(r.sent), r.recorded
	d.jobs.mu.Unlock()
	d.kicked.Store(true)
	switch {
	case recorded && holder != "":
		d.step(holder, gang.Cancelled{})
	case !recorded:
		d.releaseShort(id, sent, "cancelled by the caller")
	}
}

// Answer returns the whole answer of a job that ended with one.
func (d *Daemon) Answer(ctx context.Context, id string) ([]byte, outcome.Answer, error) {
	// An answer that is being read counts as a request, so that a graceful stop
	// waits for it.
	d.requests.Add(1)
	defer d.requests.Add(-1)
	v, ok, err := d.Job(ctx, id)
	if err != nil {
		return nil, outcome.Answer{}, err
	}
	a, isAnswer := v.Outcome.(outcome.Answer)
	if !ok || !isAnswer {
		return nil, outcome.Answer{}, fmt.Errorf("job %s has no answer: %w", id, ErrNoAnswer)
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

// ErrNoAnswer says that a job is unknown or did not end with an answer.
var ErrNoAnswer = fmt.Errorf("no answer")

// Config returns the configuration in force at this entry.
func (d *Daemon) Config(context.Context) (configfold.State, error) {
	d.config.mu.Lock()
	defer d.config.mu.Unlock()
	return d.config.state.Clone(), nil
}

// History returns the newest folded changes from an offset on.
func (d *Daemon) History(_ context.Context, from int64) ([]wire.ConfigHistory, error) {
	d.config.mu.Lock()
	defer d.config.mu.Unlock()
	i := slices.IndexFunc(d.config.history, func(h wire.ConfigHistory) bool { return int64(h.Offset) >= from })
	if i < 0 {
		return nil, nil
	}
	return slices.Clone(d.config.history[i:]), nil
}

// Change appends a change and returns what became of it once it is folded.
func (d *Daemon) Change(ctx context.Context, r configfold.Record) (configfold.Result, error) {
	if d.refusing.Load() {
		return nil, fmt.Errorf("%w: stopping", ErrUnavailable)
	}
	d.requests.Add(1)
	defer d.requests.Add(-1)
	if r.ID == "" {
		r.ID = d.recordID("change")
	}
	offsets, err := d.log.Append(ctx, platformlog.StreamConfig, platformlog.Record{ID: r.ID, Body: platformlog.ConfigBody(r)})
	if err != nil {
		return nil, err
	}
	for {
		d.config.mu.Lock()
		offset, result, changed := d.config.state.Offset, d.config.state.Recent[r.ID], d.config.changed
		d.config.mu.Unlock()
		if offset >= offsets[0] {
			return result, nil
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return nil, fmt.Errorf("change %s at offset %d not read back yet: %w", r.ID, offsets[0], ctx.Err())
		}
	}
}

// Drain tells the VM's agent at once, so that it works while the log is down,
// and records the drain in the configuration.
func (d *Daemon) Drain(ctx context.Context, id string, draining bool) error {
	d.config.mu.Lock()
	offset, version := d.config.state.Offset, d.config.state.Versions["drain/"+id]
	d.config.mu.Unlock()
	var agentErr error
	if conn := d.agentOf(id); conn == nil {
		agentErr = fmt.Errorf("no connection to VM %s", id)
	} else if draining {
		callCtx, cancel := context.WithTimeout(ctx, orderTimeout)
		_, agentErr = agent.Client{Conn: conn}.Drain(callCtx, wire.DrainParams{Draining: true, ConfigOffset: int(offset)})
		cancel()
	}
	result, err := d.Change(ctx, configfold.Record{BasedOn: version, Change: configfold.SetDrain{VM: id, Draining: draining}})
	if err == nil {
		if c, ok := result.(configfold.Conflict); ok {
			err = fmt.Errorf("drain of VM %s: another change came first, version %d", id, c.Version)
		}
	}
	if err != nil && agentErr != nil {
		return fmt.Errorf("drain of VM %s: the agent was not reached (%w) and the change was not recorded: %w", id, agentErr, err)
	}
	if err != nil && !draining {
		return err
	}
	d.ring.Add(timeline.Event{Kind: "vmDraining", VM: id, Detail: fmt.Sprintf("draining=%t", draining)})
	return nil
}

// Events returns the events of every process that can be reached, unordered.
func (d *Daemon) Events(ctx context.Context) ([]timeline.Event, error) {
	events, _ := d.ring.Since(1, eventsMax)
	ctx, cancel := context.WithTimeout(ctx, orderTimeout)
	defer cancel()
	params := wire.EventsParams{From: 1, Max: eventsMax}
	var pending []rpc.Pending
	for _, conn := range d.peerConns() {
		if p, err := conn.Start(entry.MethodPeerEvents, params); err == nil {
			pending = append(pending, p)
		}
	}
	for _, conn := range d.agentConns() {
		if p, err := conn.Start(agent.MethodEvents, params); err == nil {
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

func (d *Daemon) agentConns() []*rpc.Conn {
	d.vms.mu.Lock()
	defer d.vms.mu.Unlock()
	var conns []*rpc.Conn
	for _, t := range d.vms.byID {
		if !t.lost && !closed(t.conn) {
			conns = append(conns, t.conn)
		}
	}
	return conns
}

// Status returns the operator's screen.
func (d *Daemon) Status(context.Context) (wire.StatusView, error) {
	now := time.Now()
	state, _ := d.Config(context.Background())
	d.jobs.mu.Lock()
	term, jobsOffset := d.jobs.fold.Terms[d.c.Region].Number, d.jobs.fold.Through
	d.jobs.mu.Unlock()
	s := wire.StatusView{
		Entry: d.c.ID, Zone: d.c.Zone, Region: d.c.Region, Planner: d.planner(now), Term: int(term),
		ConfigOffset: int(state.Offset), JobsOffset: int(jobsOffset), LogDown: d.log.Down(), Entries: d.knownEntries(),
		Orgs: []wire.OrgStatus{}, VMs: []wire.VMStatus{},
	}
	used := map[string]int{}
	borrowed := map[string]int{}
	for _, v := range d.views() {
		onVM := map[string]int{}
		w := wire.VMStatus{
			ID: v.ID, Zone: v.Zone, Rack: v.Rack, Accelerators: v.Accelerators, Free: v.FreeAccelerators(),
			Shares: state.Assignment.SharesOnVM(v.ID), Draining: v.Draining, Lost: v.Lost,
			QuarantinedUntilUnixMs: codec.Millis(v.QuarantinedUntil), SeenUnixMs: codec.Millis(v.LastSeen),
		}
		for _, h := range v.Holdings {
			w.Holdings = append(w.Holdings, codec.HoldingTo(h))
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

// waitingByOrg counts the waiting jobs and says why each organisation's oldest
// waits.
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
		if t, ok := since[name]; !ok || r.waitSince.Before(t) {
			since[name], oldest[name] = r.waitSince, r.waitsFor
		}
	}
	return waiting, oldest
}
