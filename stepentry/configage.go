package stepentry

import (
	"cmp"
	"context"
	"time"

	"celerypoint.example/celerypoint/access"
	"celerypoint.example/celerypoint/boottime"
	"celerypoint.example/celerypoint/entry"
	"celerypoint.example/celerypoint/eventlog"
	"celerypoint.example/celerypoint/recordlog"
	"celerypoint.example/celerypoint/rpc"
	"celerypoint.example/celerypoint/stepfold"
	"celerypoint.example/celerypoint/wire"
)

const (
	// defaultMaxConfigAge applies if Config.MaxConfigAge is 0.
	defaultMaxConfigAge = 2 * time.Second
	// confirmTimeout is how long a request waits until the configuration is known to be
	// current. A slow store replies within 200 ms.
	confirmTimeout = 250 * time.Millisecond
)

// configState is the configuration by which a request is decided.
type configState struct {
	config access.Config
	known  bool
	// age is the time since config was last known to be the newest version, and fresh says
	// that it is low enough to decide by config.
	age   time.Duration
	fresh bool
	// readFailing says that the store does not answer this entry's reads.
	readFailing bool
	// advanced is closed when config is known to be current as of a later time.
	advanced <-chan struct{}
}

// state returns the state at a time on CLOCK_BOOTTIME. The caller holds the mutex.
func (t *configTable) state(now time.Time) configState {
	if t.advanced == nil {
		t.advanced = make(chan struct{})
	}
	s := configState{config: t.current, known: t.known, readFailing: t.readFailing, advanced: t.advanced}
	s.age = now.Sub(t.currentAsOf)
	s.fresh = s.known && s.age < min(t.keyGrace, t.maxAge)
	return s
}

// advance records that the configuration is known to be current as of a time. The caller
// holds the mutex.
func (t *configTable) advance(asOf time.Time) {
	if !asOf.After(t.currentAsOf) {
		return
	}
	t.currentAsOf = asOf
	if t.advanced != nil {
		close(t.advanced)
		t.advanced = nil
	}
}

func (d *Daemon) configState() configState {
	d.config.mu.Lock()
	defer d.config.mu.Unlock()
	return d.config.state(boottime.Now())
}

// freshConfig returns the configuration by which a request is decided. If it is too old, it
// starts a read and waits for up to confirmTimeout, unless reads of the store fail.
func (d *Daemon) freshConfig() configState {
	s := d.configState()
	if s.fresh || !s.known || s.readFailing {
		return s
	}
	d.counters.Count("configurationConfirm")
	timeout := time.NewTimer(confirmTimeout)
	defer timeout.Stop()
	for !s.fresh && !s.readFailing {
		d.wakeConfigRead()
		select {
		case <-s.advanced:
		case <-timeout.C:
			return d.configState()
		case <-d.ctx.Done():
			return s
		}
		s = d.configState()
	}
	return s
}

// wakeConfigRead makes followConfig read at once.
func (d *Daemon) wakeConfigRead() {
	select {
	case d.config.wake <- struct{}{}:
	default:
	}
}

// configUpToDate records that a read that began at the given time has returned everything
// that the store had. It does not count if a peer had named a higher version before the
// read began.
func (d *Daemon) configUpToDate(begun time.Time) {
	d.config.mu.Lock()
	defer d.config.mu.Unlock()
	if d.config.peerVersion > d.config.current.Version && begun.After(d.config.peerVersionAt) {
		d.counters.Count("configurationReadOutdated")
		d.log.Add("configurationReadOutdated", eventlog.Fields{"version": d.config.current.Version, "peerVersion": d.config.peerVersion})
		return
	}
	d.config.readAt = begun
	d.config.advance(begun)
}

// confirmConfig takes over from a peer's pong as of when its configuration is known to
// be current, if this entry has that version or a newer one. The peer's read began
// ConfigAgeMs before the pong was written, which was after the ping was sent. A pong with a
// higher version shows that this entry is behind, which then reads at once; confirmConfig
// reports false.
func (d *Daemon) confirmConfig(pong wire.PlannerPong, sent time.Time) bool {
	d.config.mu.Lock()
	defer d.config.mu.Unlock()
	version := int64(pong.ConfigVersion)
	if version == 0 || !d.config.known {
		return true
	}
	if version > d.config.current.Version {
		d.counters.Count("configurationBehindPeer")
		d.log.Add("configurationBehindPeer", eventlog.Fields{
			"version": d.config.current.Version, "peerVersion": version, "ageMs": boottime.Now().Sub(d.config.currentAsOf).Milliseconds(),
		})
		if version > d.config.peerVersion {
			d.config.peerVersion, d.config.peerVersionAt = version, boottime.Now()
		}
		d.wakeConfigRead()
		return false
	}
	d.config.advance(sent.Add(-time.Duration(pong.ConfigAgeMs) * time.Millisecond))
	d.config.confirmedByPeerAt = sent
	return true
}

// fetchConfig gets the configuration of the planner, whose pong has shown a higher version.
// The store may serve the planner and not this entry.
func (d *Daemon) fetchConfig(ctx context.Context, p stepfold.Planner, pong wire.PlannerPong, sent time.Time) {
	bounded, cancel := context.WithTimeout(ctx, pingTimeout)
	defer cancel()
	conn, err := d.plannerConn(bounded, p.Address)
	var result wire.ConfigurationResult
	if err == nil {
		result, err = entry.Client{Conn: conn}.Configuration(bounded, wire.ConfigurationParams{Above: int(d.configState().config.Version)})
	}
	if err != nil {
		d.counters.Count("configurationFetchFailed")
		d.log.Add("configurationFetchFailed", eventlog.Fields{"peer": p.Address, "cause": err.Error()})
		return
	}
	for _, r := range result.Records {
		d.applyConfig([]recordlog.StoredRecord{{Offset: int64(r.Offset), Record: recordlog.Record{Key: r.Key, Value: []byte(r.Value)}}})
	}
	d.confirmConfig(pong, sent)
}

// handleConfiguration answers fetchConfig of another entry.
func (d *Daemon) handleConfiguration(r *rpc.Request) {
	var params wire.ConfigurationParams
	if err := r.Decode(&params); err != nil {
		r.Fail(err)
		return
	}
	result := wire.ConfigurationResult{Records: []wire.RecordStored{}}
	d.config.mu.Lock()
	if d.config.known && d.config.current.Version > int64(params.Above) {
		record := d.config.record
		result.Records = append(result.Records, wire.RecordStored{Offset: int(record.Offset), Key: record.Key, Value: string(record.Value)})
	}
	d.config.mu.Unlock()
	r.Reply(result)
}

// setMaxAge sets the age up to which requests are decided by the configuration. The caller
// holds the mutex or is the only user.
func (t *configTable) setMaxAge(c Config) {
	t.keyGrace, t.maxAge = c.KeyGrace, cmp.Or(c.MaxConfigAge, defaultMaxConfigAge)
}
