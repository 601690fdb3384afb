package stepentry

import (
	"context"
	"errors"
	"fmt"
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

const (
	// forwardDelay is how long the store may take to answer an append before the
	// record is also sent to the planner's entry. It answers within some 10 ms.
	forwardDelay = 250 * time.Millisecond
	// storeWorkers is the number of goroutines that append records for other entries.
	// They wait for the store. storeQueue bounds the records that wait for one.
	storeWorkers = 32
	storeQueue   = 1024
)

// storeResult is the result of one way to store a record. err is nil,
// recordlog.ErrNotAppended, or says that the outcome is unknown.
type storeResult struct {
	offset int64
	err    error
}

// storeUnfenced stores a record that any entry may write, and returns its offset. The
// store can refuse this entry, or not answer it, while it serves others. The record is
// then also sent to the entry of the planner, over the open connection to it. Storing it
// twice is harmless, because the key and the value are the same. ErrNotAppended is
// returned only if neither entry has stored the record.
func (d *Daemon) storeUnfenced(ctx context.Context, r recordlog.Record) (int64, error) {
	results := make(chan storeResult, 2)
	conn := d.openPlannerConn()
	refusalDeadline := time.Now()
	if conn == nil {
		refusalDeadline = refusalDeadline.Add(refusalRetryTime)
	}
	go func() {
		offset, err := recordlog.AppendWithRetry(ctx, d.cfg.Log, d.cfg.Topic, nil, []recordlog.Record{r}, recordlog.WithRefusalDeadline(refusalDeadline))
		results <- storeResult{offset, err}
	}()
	pending := 1
	forward := func() {
		if conn == nil {
			return
		}
		via := conn
		conn = nil
		pending++
		d.counters.Count("recordForwarded")
		go func() { results <- d.storeByPeer(ctx, via, r) }()
	}
	hedge := time.NewTimer(forwardDelay)
	defer hedge.Stop()
	var refused, unknown error
	for pending > 0 {
		select {
		case <-hedge.C:
			forward()
		case result := <-results:
			pending--
			switch {
			case result.err == nil:
				return result.offset, nil
			case errors.Is(result.err, recordlog.ErrNotAppended):
				refused = result.err
			default:
				unknown = result.err
			}
			forward()
		}
	}
	if unknown != nil {
		return 0, unknown
	}
	return 0, refused
}

// openPlannerConn returns the open connection to the planner's entry. It returns nil if
// there is none or this entry is the planner.
func (d *Daemon) openPlannerConn() *rpc.Conn {
	if d.isPlanner() || d.plannerLinkClosed() {
		return nil
	}
	d.plannerLink.mu.Lock()
	defer d.plannerLink.mu.Unlock()
	return d.plannerLink.conn
}

func (d *Daemon) storeByPeer(ctx context.Context, conn *rpc.Conn, r recordlog.Record) storeResult {
	result, err := entry.Client{Conn: conn}.StoreRecord(ctx, wire.StoreRecordParams{Key: r.Key, Value: string(r.Value)})
	switch {
	case err != nil:
		return storeResult{err: fmt.Errorf("by entry %s: %w: %w", conn.Remote(), recordlog.ErrOutcomeUnknown, err)}
	case result.Outcome == wire.StoreRecordResultOutcomeStored:
		return storeResult{offset: int64(result.Offset)}
	case result.Outcome == wire.StoreRecordResultOutcomeNotStored:
		return storeResult{err: fmt.Errorf("by entry %s: %w", conn.Remote(), recordlog.ErrNotAppended)}
	}
	return storeResult{err: fmt.Errorf("by entry %s: %w", conn.Remote(), recordlog.ErrOutcomeUnknown)}
}

// handleStoreRecord appends a record for another entry. It never forwards the record
// again.
func (d *Daemon) handleStoreRecord(r *rpc.Request) {
	var params wire.StoreRecordParams
	if err := r.Decode(&params); err != nil {
		r.Fail(err)
		return
	}
	record := recordlog.Record{Key: params.Key, Value: []byte(params.Value)}
	if err := checkUnfenced(record); err != nil {
		d.counters.Count("storeRecordInvalid")
		d.log.Add("storeRecordInvalid", eventlog.Fields{"peer": r.Conn.Remote(), "cause": err.Error()})
		r.Reply(wire.StoreRecordResult{Outcome: wire.StoreRecordResultOutcomeNotStored})
		return
	}
	if d.storeIsSlow() {
		d.counters.Count("storedForPeer.slow")
		r.Reply(wire.StoreRecordResult{Outcome: wire.StoreRecordResultOutcomeNotStored})
		return
	}
	ctx, cancel := context.WithTimeout(d.ctx, appendTimeout)
	defer cancel()
	offset, err := recordlog.AppendWithRetry(ctx, d.cfg.Log, d.cfg.Topic, nil, []recordlog.Record{record}, recordlog.WithRefusalDeadline(time.Now().Add(refusalRetryTime)))
	result := wire.StoreRecordResult{Outcome: wire.StoreRecordResultOutcomeUnknown}
	switch {
	case err == nil:
		result = wire.StoreRecordResult{Outcome: wire.StoreRecordResultOutcomeStored, Offset: int(offset)}
		d.notifyPlanner(recordlog.StoredRecord{Offset: offset, Record: record})
	case errors.Is(err, recordlog.ErrNotAppended):
		result.Outcome = wire.StoreRecordResultOutcomeNotStored
	}
	d.counters.Count("storedForPeer." + string(result.Outcome))
	r.Reply(result)
}

// storeIsSlow reports whether this entry is the planner and its newest append took long, or
// the next one does. The caller's own append is then slow as well, and a second one would
// only add to the store's load.
func (d *Daemon) storeIsSlow() bool {
	d.planner.mu.Lock()
	defer d.planner.mu.Unlock()
	return d.planner.scheduler != nil && (d.planner.lastAppendTook > slowStore || boottime.Now().Sub(d.planner.lastAppendAt) > heartbeatInterval+2*slowStore)
}

// checkUnfenced reports an error unless the record is one that any entry may write.
func checkUnfenced(r recordlog.Record) error {
	record, err := codec.DecodeStepRecord(r)
	if err != nil {
		return err
	}
	switch record.(type) {
	case stepfold.Accepted, stepfold.Cancelled:
		return nil
	}
	return fmt.Errorf("record %q: found %T, allowed: an acceptance or a cancellation", r.Key, record)
}
