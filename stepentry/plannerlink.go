package stepentry

import (
	"context"
	"errors"
	"syscall"
	"time"

	"celerypoint.example/celerypoint/boottime"
	"celerypoint.example/celerypoint/codec"
	"celerypoint.example/celerypoint/entry"
	"celerypoint.example/celerypoint/eventlog"
	"celerypoint.example/celerypoint/recordlog"
	"celerypoint.example/celerypoint/rpc"
	"celerypoint.example/celerypoint/stepfold"
	"celerypoint.example/celerypoint/wire"
)

// plannerHealth is what this entry knows about the process of the current
// planner.
type plannerHealth string

const (
	healthUnknown plannerHealth = "unknown"
	// healthGone means that the process has ended, or that it is this process and
	// its term has ended or never began.
	healthGone plannerHealth = "gone"
	// healthPlanning means that the process is the planner of the newest term that
	// this entry knows, and that its newest successful append to the store began
	// less than heartbeatTimeout ago.
	healthPlanning plannerHealth = "plans"
)

// checkPlanner pings the planner's process. It returns healthGone if nothing
// listens at the process's address or a process with another boot ID answers. A
// process that does not answer may still be alive, and one that answers but is
// not yet the planner may still be reading the records stored before its claim;
// both are healthUnknown. No ping is sent to this process or to a former one of this
// entry. If p is this very process, it is healthGone, because checkPlanner is called only
// while this entry is not the planner.
func (d *Daemon) checkPlanner(ctx context.Context, p stepfold.Planner) plannerHealth {
	switch {
	case p.BootID == d.bootID && p.Entry == d.cfg.Name:
		return healthGone
	case d.isFormerProcess(p):
		return healthUnknown
	}
	bounded, cancel := context.WithTimeout(ctx, pingTimeout)
	defer cancel()
	sent := boottime.Now()
	pong, err := d.pingPlanner(bounded, p)
	if err != nil && bounded.Err() == nil {
		// The ping may have failed because an existing connection was broken.
		// A new connection shows whether the process has ended.
		pong, err = d.pingPlanner(bounded, p)
	}
	if err == nil && !d.confirmConfig(pong, sent) {
		d.fetchConfig(ctx, p, pong, sent)
	}
	switch {
	case errors.Is(err, syscall.ECONNREFUSED):
		return healthGone
	case err != nil:
		return healthUnknown
	case pong.Boot != p.BootID:
		return healthGone
	case int64(pong.Term) == p.Term && int64(pong.StoreAgeMs) < heartbeatTimeout.Milliseconds():
		d.plannerLink.mu.Lock()
		d.plannerLink.storingAt = sent.Add(-time.Duration(pong.StoreAgeMs) * time.Millisecond)
		d.plannerLink.mu.Unlock()
		return healthPlanning
	}
	return healthUnknown
}

// pingPlanner sends a ping over the connection to the planner. A connection on
// which a ping fails is closed, because a connection can stop delivering
// messages for good while new connections work.
func (d *Daemon) pingPlanner(ctx context.Context, p stepfold.Planner) (wire.PlannerPong, error) {
	conn, err := d.plannerConn(ctx, p.Address)
	if err != nil {
		return wire.PlannerPong{}, err
	}
	pong, err := entry.Client{Conn: conn}.PingPlanner(ctx, wire.PlannerPing{Term: int(p.Term)})
	if err != nil {
		d.dropPlannerConn(conn)
	}
	return pong, err
}

// plannerConn returns the open connection to the planner at the address, and
// dials one if there is none.
func (d *Daemon) plannerConn(ctx context.Context, address string) (*rpc.Conn, error) {
	d.plannerLink.mu.Lock()
	conn, same := d.plannerLink.conn, d.plannerLink.address == address
	d.plannerLink.mu.Unlock()
	if conn != nil {
		select {
		case <-conn.Done():
		default:
			if same {
				return conn, nil
			}
		}
		d.dropPlannerConn(conn)
	}
	conn, err := d.rpc.Dial(ctx, address)
	if err != nil {
		return nil, err
	}
	d.plannerLink.mu.Lock()
	defer d.plannerLink.mu.Unlock()
	d.plannerLink.conn, d.plannerLink.address = conn, address
	return conn, nil
}

// plannerLinkClosed reports whether the connection to the planner has closed and no
// other has been opened. The planner's process may have ended.
func (d *Daemon) plannerLinkClosed() bool {
	d.plannerLink.mu.Lock()
	defer d.plannerLink.mu.Unlock()
	if d.plannerLink.conn == nil {
		return false
	}
	select {
	case <-d.plannerLink.conn.Done():
		return true
	default:
		return false
	}
}

func (d *Daemon) dropPlannerConn(conn *rpc.Conn) {
	conn.Close()
	d.plannerLink.mu.Lock()
	defer d.plannerLink.mu.Unlock()
	if d.plannerLink.conn == conn {
		d.plannerLink.conn = nil
	}
}

// handlePing answers the ping of another entry with this process's boot ID. If
// this entry is the planner, the answer also holds the term and the time since the
// newest successful append began, and the planner notifies the other entry of
// every job that ends while the term lasts and the connection is open. The answer also
// tells which configuration this entry has read, and when, for confirmConfig.
func (d *Daemon) handlePing(r *rpc.Request) {
	pong := wire.PlannerPong{Boot: d.bootID}
	d.config.mu.Lock()
	now := boottime.Now()
	if d.config.known {
		// Rounded up, so that the configuration never counts as newer than it is.
		pong.ConfigVersion, pong.ConfigAgeMs = int(d.config.current.Version), int(now.Sub(d.config.readAt).Milliseconds())+1
	}
	d.config.mu.Unlock()
	d.planner.mu.Lock()
	if d.planner.scheduler != nil {
		pong.Term, pong.StoreAgeMs = int(d.planner.term), int(now.Sub(d.planner.lastAppendAt).Milliseconds())
		d.planner.watchers[r.Conn] = struct{}{}
	}
	d.planner.mu.Unlock()
	r.Reply(pong)
}

// handleRecordStored applies a record that another entry reports as stored.
func (d *Daemon) handleRecordStored(r *rpc.Request) {
	var w wire.RecordStored
	if err := r.Decode(&w); err != nil {
		d.counters.Count("recordStoredInvalid")
		d.log.Add("recordStoredInvalid", eventlog.Fields{"peer": r.Conn.Remote(), "cause": err.Error()})
		return
	}
	d.applyOutOfOrder(recordlog.StoredRecord{Offset: int64(w.Offset), Record: recordlog.Record{Key: w.Key, Value: []byte(w.Value)}})
}

// notifyPlanner applies a record that this entry has stored and, if a connection
// to the planner is open, sends it to the planner, so that the planner need not
// wait for its next read of the store.
func (d *Daemon) notifyPlanner(r recordlog.StoredRecord) {
	d.applyOutOfOrder(r)
	if d.isPlanner() {
		return
	}
	d.plannerLink.mu.Lock()
	conn := d.plannerLink.conn
	d.plannerLink.mu.Unlock()
	if conn != nil {
		d.notify(conn, r)
	}
}

// notifyWatchers applies those of the stored records that end a job, and sends
// them to all entries that have pinged this planner and are still connected.
// first is the offset of the first record.
func (d *Daemon) notifyWatchers(first int64, records []recordlog.Record) {
	var terminal []recordlog.StoredRecord
	for i, r := range records {
		record, err := codec.DecodeStepRecord(r)
		if err != nil {
			d.log.Add("recordInvalid", eventlog.Fields{"key": r.Key, "cause": err.Error()})
			continue
		}
		if progressed, ok := record.(stepfold.Progressed); ok && progressed.Progress.Phase.Over() {
			terminal = append(terminal, recordlog.StoredRecord{Offset: first + int64(i), Record: r})
		}
	}
	if len(terminal) == 0 {
		return
	}
	watchers := d.openWatchers()
	for _, r := range terminal {
		d.applyOutOfOrder(r)
		for _, conn := range watchers {
			d.notify(conn, r)
		}
	}
}

// openWatchers returns the open connections of entries that have pinged this planner.
func (d *Daemon) openWatchers() []*rpc.Conn {
	d.planner.mu.Lock()
	defer d.planner.mu.Unlock()
	var watchers []*rpc.Conn
	for conn := range d.planner.watchers {
		select {
		case <-conn.Done():
			delete(d.planner.watchers, conn)
		default:
			watchers = append(watchers, conn)
		}
	}
	return watchers
}

// notifyStuck tells the other entries that the store does not take the records of this
// planner, so that one that the store serves takes over.
func (d *Daemon) notifyStuck(term int64) {
	d.counters.Count("plannerStuck")
	watchers := d.openWatchers()
	d.log.Add("plannerStuck", eventlog.Fields{"term": term, "told": len(watchers)})
	for _, conn := range watchers {
		if err := (entry.Client{Conn: conn}).PlannerStuck(wire.PlannerPing{Term: int(term)}); err != nil {
			d.counters.Count("notifyFailed")
			d.log.Add("notifyFailed", eventlog.Fields{"peer": conn.Remote(), "cause": err.Error()})
		}
	}
}

// handlePlannerStuck records that the planner of the term says that it is stuck.
func (d *Daemon) handlePlannerStuck(r *rpc.Request) {
	var ping wire.PlannerPing
	if err := r.Decode(&ping); err != nil {
		d.counters.Count("plannerStuckInvalid")
		d.log.Add("plannerStuckInvalid", eventlog.Fields{"peer": r.Conn.Remote(), "cause": err.Error()})
		return
	}
	d.plannerLink.mu.Lock()
	defer d.plannerLink.mu.Unlock()
	d.plannerLink.stuckTerm = max(d.plannerLink.stuckTerm, int64(ping.Term))
}

// plannerStores reports whether the planner is known to have stored a record lately and
// has not said since that it is stuck.
func (d *Daemon) plannerStores(term int64) bool {
	d.plannerLink.mu.Lock()
	defer d.plannerLink.mu.Unlock()
	return d.plannerLink.stuckTerm != term && boottime.Now().Sub(d.plannerLink.storingAt) < heartbeatTimeout
}

// plannerStoredWithin reports whether the planner's newest pong showed an append that the
// store took within the given time.
func (d *Daemon) plannerStoredWithin(t time.Duration) bool {
	d.plannerLink.mu.Lock()
	defer d.plannerLink.mu.Unlock()
	return boottime.Now().Sub(d.plannerLink.storingAt) < t
}

// clearStuck records that the planner of the term stores records again.
func (d *Daemon) clearStuck(term int64) {
	d.plannerLink.mu.Lock()
	defer d.plannerLink.mu.Unlock()
	if d.plannerLink.stuckTerm == term {
		d.plannerLink.stuckTerm = 0
	}
}

func (d *Daemon) plannerSaidStuck(term int64) bool {
	d.plannerLink.mu.Lock()
	defer d.plannerLink.mu.Unlock()
	return d.plannerLink.stuckTerm == term
}

func (d *Daemon) notify(conn *rpc.Conn, r recordlog.StoredRecord) {
	if err := (entry.Client{Conn: conn}).RecordStored(wire.RecordStored{Offset: int(r.Offset), Key: r.Key, Value: string(r.Value)}); err != nil {
		// The peer gets the record with its next read of the store.
		d.counters.Count("notifyFailed")
		d.log.Add("notifyFailed", eventlog.Fields{"key": r.Key, "peer": conn.Remote(), "cause": err.Error()})
	}
}
