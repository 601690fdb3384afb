package stepentry

import (
	"context"
	"errors"
	"syscall"

	"celerypoint.example/celerypoint/boottime"
	"celerypoint.example/celerypoint/codec"
	"celerypoint.example/celerypoint/entry"
	"celerypoint.example/celerypoint/eventlog"
	"celerypoint.example/celerypoint/recordlog"
	"celerypoint.example/celerypoint/rpc"
	"celerypoint.example/celerypoint/stepfold"
	"celerypoint.example/celerypoint/wire"
)

// plannerHealth is what is known of the planner's process.
type plannerHealth string

const (
	healthUnknown plannerHealth = "unknown"
	// healthGone says that the process has ended.
	healthGone plannerHealth = "gone"
	// healthPlans says that it plans and that the store takes its records.
	healthPlans plannerHealth = "plans"
)

// ask finds out whether the planner's process lives and plans. One that does
// not answer may live, and one that does not plan yet may be reading the
// records before its claim.
func (d *Daemon) ask(ctx context.Context, p stepfold.Planner) plannerHealth {
	if p.Entry == d.c.Name {
		if p.BootID == d.boot {
			return healthGone
		}
		return healthUnknown
	}
	bounded, cancel := context.WithTimeout(ctx, pingTimeout)
	defer cancel()
	pong, err := d.pingPlanner(bounded, p)
	if err != nil && bounded.Err() == nil {
		// The connection was older than this call and has ended; a new one tells
		// whether the process has too.
		pong, err = d.pingPlanner(bounded, p)
	}
	switch {
	case errors.Is(err, syscall.ECONNREFUSED):
		return healthGone
	case err != nil:
		return healthUnknown
	case pong.Boot != p.BootID:
		return healthGone
	case int64(pong.Term) == p.Term && int64(pong.StoreAgeMs) < beatLost.Milliseconds():
		return healthPlans
	}
	return healthUnknown
}

// pingPlanner asks over the connection to the planner. One that fails is not
// used again: a connection can be silent for good while new ones work.
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

// plannerConn returns the connection to the planner, and opens it if there is
// none.
func (d *Daemon) plannerConn(ctx context.Context, address string) (*rpc.Conn, error) {
	d.uplink.mu.Lock()
	conn, same := d.uplink.conn, d.uplink.address == address
	d.uplink.mu.Unlock()
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
	d.uplink.mu.Lock()
	defer d.uplink.mu.Unlock()
	d.uplink.conn, d.uplink.address = conn, address
	return conn, nil
}

func (d *Daemon) dropPlannerConn(conn *rpc.Conn) {
	conn.Close()
	d.uplink.mu.Lock()
	defer d.uplink.mu.Unlock()
	if d.uplink.conn == conn {
		d.uplink.conn = nil
	}
}

// pinged answers an entry that asks whether this one plans. The planner tells
// it from then on which jobs are over.
func (d *Daemon) pinged(r *rpc.Request) {
	now := boottime.Now()
	pong := wire.PlannerPong{Boot: d.boot}
	d.planner.mu.Lock()
	if d.planner.board != nil {
		pong.Term, pong.StoreAgeMs = int(d.planner.term), int(now.Sub(d.planner.checkedAt).Milliseconds())
		d.planner.watchers[r.Conn] = struct{}{}
	}
	d.planner.mu.Unlock()
	r.Reply(pong)
}

// recordStored takes a stored record from another entry.
func (d *Daemon) recordStored(r *rpc.Request) {
	var w wire.RecordStored
	if err := r.Decode(&w); err != nil {
		d.counters.Count("recordStoredInvalid")
		d.log.Add("recordStoredInvalid", eventlog.Fields{"peer": r.Conn.Remote(), "cause": err.Error()})
		return
	}
	d.learn(recordlog.StoredRecord{Offset: int64(w.Offset), Record: recordlog.Record{Key: w.Key, Value: []byte(w.Value)}})
}

// notifyPlanner takes over a record that this entry has stored, and tells the
// planner of it.
func (d *Daemon) notifyPlanner(r recordlog.StoredRecord) {
	d.learn(r)
	if d.plans() {
		return
	}
	d.uplink.mu.Lock()
	conn := d.uplink.conn
	d.uplink.mu.Unlock()
	if conn != nil {
		d.notify(conn, r)
	}
}

// notifyWatchers tells all entries which of the stored records end a job.
func (d *Daemon) notifyWatchers(first int64, records []recordlog.Record) {
	var over []recordlog.StoredRecord
	for i, r := range records {
		record, err := codec.DecodeStepRecord(r)
		if err != nil {
			d.log.Add("recordInvalid", eventlog.Fields{"key": r.Key, "cause": err.Error()})
			continue
		}
		if a, ok := record.(stepfold.Progressed); ok && a.Progress.Phase.Over() {
			over = append(over, recordlog.StoredRecord{Offset: first + int64(i), Record: r})
		}
	}
	if len(over) == 0 {
		return
	}
	d.planner.mu.Lock()
	var watchers []*rpc.Conn
	for conn := range d.planner.watchers {
		select {
		case <-conn.Done():
			delete(d.planner.watchers, conn)
		default:
			watchers = append(watchers, conn)
		}
	}
	d.planner.mu.Unlock()
	for _, r := range over {
		d.learn(r)
		for _, conn := range watchers {
			d.notify(conn, r)
		}
	}
}

func (d *Daemon) notify(conn *rpc.Conn, r recordlog.StoredRecord) {
	if err := (entry.Client{Conn: conn}).RecordStored(wire.RecordStored{Offset: int(r.Offset), Key: r.Key, Value: string(r.Value)}); err != nil {
		// The store's reads bring the record.
		d.counters.Count("notifyFailed")
		d.log.Add("notifyFailed", eventlog.Fields{"key": r.Key, "peer": conn.Remote(), "cause": err.Error()})
	}
}
