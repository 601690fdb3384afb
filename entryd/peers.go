package entryd

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"strings"
	"syscall"
	"time"

	"celerypoint.example/celerypoint/codec"
	"celerypoint.example/celerypoint/entry"
	"celerypoint.example/celerypoint/membership"
	"celerypoint.example/celerypoint/pause"
	"celerypoint.example/celerypoint/platformlog"
	"celerypoint.example/celerypoint/rpc"
	"celerypoint.example/celerypoint/timeline"
	"celerypoint.example/celerypoint/wire"
)

// peerRetention is how long after the last hello of a peer, or the last report of
// its address by an agent or another entry, this entry keeps the address and tries
// to connect to it.
const peerRetention = 60 * time.Second

// missedHellos is the number of missing hellos after which a peer that refuses connections
// counts as lost.
const missedHellos = 2

// dialTimeout is the time limit of one connection attempt to a peer.
const dialTimeout = time.Second

// address returns the RPC address at which agents and peers reach this entry.
func (d *Daemon) address() string {
	if d.cfg.AdvertiseAddress != "" {
		return d.cfg.AdvertiseAddress
	}
	return d.rpc.Address()
}

// self returns the description of this entry that agents and peers get.
func (d *Daemon) self() wire.EntryInfo {
	return wire.EntryInfo{ID: d.cfg.ID, Address: d.address(), Zone: d.cfg.Zone, Region: d.cfg.Region}
}

// availableEntries returns the entries to which agents and peers may connect: the
// live peers that are not stopping, and this entry unless it is stopping. Peers that
// are lost but still in the table are left out.
func (d *Daemon) availableEntries() []wire.EntryInfo {
	var infos []wire.EntryInfo
	if !d.leaving.Load() {
		infos = append(infos, d.self())
	}
	now := time.Now()
	d.peers.mu.Lock()
	defer d.peers.mu.Unlock()
	for _, p := range d.peers.byID {
		if now.Before(p.liveUntil) && !p.hello.Leaving {
			infos = append(infos, p.info)
		}
	}
	return infos
}

// eligiblePeers returns the IDs of the peers that can be the planner of this
// region: they are in it, live, able to plan and not stopping.
func (d *Daemon) eligiblePeers(now time.Time) []string {
	d.peers.mu.Lock()
	defer d.peers.mu.Unlock()
	var ids []string
	for id, p := range d.peers.byID {
		if now.Before(p.liveUntil) && !p.hello.Leaving && p.hello.Ready && p.info.Region == d.cfg.Region {
			ids = append(ids, id)
		}
	}
	return ids
}

// planner returns the ID of the entry that should be the planner of this region,
// chosen from the entries that this one sees as eligible. It is empty when there
// is none.
func (d *Daemon) planner(now time.Time) string {
	ids := d.eligiblePeers(now)
	if d.canPlan() {
		ids = append(ids, d.cfg.ID)
	}
	return membership.Owner("planner/"+d.cfg.Region, ids)
}

// addEntries updates the table of peers with the entries that an agent or a peer
// has reported.
func (d *Daemon) addEntries(infos []wire.EntryInfo) {
	now := time.Now()
	d.peers.mu.Lock()
	defer d.peers.mu.Unlock()
	for _, i := range infos {
		if i.ID == d.cfg.ID || i.ID == "" || i.Address == "" {
			continue
		}
		p := d.peers.byID[i.ID]
		if p == nil {
			p = &peer{info: i}
			d.peers.byID[i.ID] = p
		}
		if now.After(p.liveUntil) {
			p.info = i
		}
		p.expiresAt = now.Add(peerRetention)
	}
}

// canPlan reports whether this entry can be the planner. In contrast to Ready, it
// does not require the newest configuration that a peer has. Otherwise every
// configuration change that a peer reads a moment earlier would change the
// planner. Agents refuse orders with an outdated configuration anyway.
func (d *Daemon) canPlan() bool {
	if d.leaving.Load() || d.missingVMsReason(time.Now()) != "" {
		return false
	}
	d.config.mu.Lock()
	defer d.config.mu.Unlock()
	return d.config.caughtUp
}

// hello returns the heartbeat that this entry sends to its peers.
func (d *Daemon) hello() wire.PeerHello {
	d.config.mu.Lock()
	offset := d.config.state.LastApplied
	d.config.mu.Unlock()
	d.jobs.mu.Lock()
	jobs := d.jobs.logState.LastApplied
	d.jobs.mu.Unlock()
	return wire.PeerHello{
		ID: d.cfg.ID, Address: d.address(), Zone: d.cfg.Zone, Region: d.cfg.Region,
		ConfigOffset: int(offset), JobsOffset: int(jobs), Leaving: d.leaving.Load(), Ready: d.canPlan(),
		Entries: d.availableEntries(), VMs: d.liveVMCount(),
	}
}

// handlePeerHello handles the hello of a peer. The reply is this entry's hello.
func (d *Daemon) handlePeerHello(conn *rpc.Conn, p wire.PeerHello) (wire.PeerHello, error) {
	if p.ID == "" || p.Address == "" {
		return wire.PeerHello{}, fmt.Errorf("peerHello: found id=%q address=%q, allowed: none empty", p.ID, p.Address)
	}
	d.updatePeer(conn, p, false)
	return d.hello(), nil
}

// updatePeer updates the table of peers with the hello of a peer. If dialled is true, this
// entry opened the connection, and keeps it for calls to the peer.
func (d *Daemon) updatePeer(conn *rpc.Conn, h wire.PeerHello, dialled bool) {
	if h.ID == d.cfg.ID {
		return
	}
	now := time.Now()
	d.addEntries(h.Entries)
	d.peers.mu.Lock()
	p := d.peers.byID[h.ID]
	if p == nil {
		p = &peer{}
		d.peers.byID[h.ID] = p
	}
	wasLive, wasLeaving, wasReady := now.Before(p.liveUntil), p.hello.Leaving, p.hello.Ready
	p.info = wire.EntryInfo{ID: h.ID, Address: h.Address, Zone: h.Zone, Region: h.Region}
	p.hello = h
	p.liveUntil = now.Add(d.cfg.PeerLostTimeout)
	p.expiresAt = now.Add(peerRetention)
	if dialled {
		p.conn = conn
	}
	d.peers.mu.Unlock()
	if !wasLive {
		d.logger.WithField("peer", h.ID).Info("peer live")
		d.ring.Add(timeline.Event{Kind: "peerLive", Detail: h.ID})
	}
	if !wasLive || wasLeaving != h.Leaving || wasReady != h.Ready {
		d.planRequested.Store(true)
	}
}

// tickPeers notices lost peers and removes those whose expiresAt has passed. Every
// HelloInterval it also sends hellos.
func (d *Daemon) tickPeers(now time.Time) {
	d.peers.mu.Lock()
	var lost []string
	for peerID, p := range d.peers.byID {
		if !p.liveUntil.IsZero() && now.After(p.liveUntil) {
			p.liveUntil = time.Time{}
			lost = append(lost, peerID)
		}
		if now.After(p.expiresAt) {
			delete(d.peers.byID, peerID)
		}
	}
	d.peers.mu.Unlock()
	for _, peerID := range lost {
		d.logger.WithField("peer", peerID).Warn("peer lost")
		d.ring.Add(timeline.Event{Kind: "peerLost", Detail: peerID})
		d.planRequested.Store(true)
	}
	if ticks := int64(d.cfg.HelloInterval / tickInterval); ticks > 0 && now.UnixMilli()/tickInterval.Milliseconds()%ticks != 0 {
		return
	}
	d.sendHellos(now)
}

// sendHellos sends a hello to every connected peer, and starts connection attempts
// to the other peers and to the seeds.
func (d *Daemon) sendHellos(now time.Time) {
	type dial struct{ id, address string }
	var dials []dial
	var conns []*rpc.Conn
	d.peers.mu.Lock()
	known := map[string]bool{}
	for peerID, p := range d.peers.byID {
		known[p.info.Address] = true
		switch {
		case p.conn != nil && !isClosed(p.conn):
			conns = append(conns, p.conn)
		case !p.dialing:
			p.conn, p.dialing = nil, true
			dials = append(dials, dial{peerID, p.info.Address})
		}
	}
	for address, dialing := range d.peers.seeds {
		if !known[address] && !dialing && address != d.address() && address != d.rpc.Address() {
			d.peers.seeds[address] = true
			dials = append(dials, dial{"", address})
		}
	}
	d.peers.mu.Unlock()
	for _, conn := range conns {
		d.sendHello(conn, now)
	}
	for _, t := range dials {
		d.runOnLogPool(func() { d.dialPeer(t.id, t.address) })
	}
}

func isClosed(c *rpc.Conn) bool {
	select {
	case <-c.Done():
		return true
	default:
		return false
	}
}

// sendHello sends a hello on a connection that this entry opened.
func (d *Daemon) sendHello(conn *rpc.Conn, now time.Time) {
	send(d, conn, entry.MethodPeerHello, d.hello(), now.Add(d.cfg.PeerLostTimeout), func(h wire.PeerHello, err error) {
		switch {
		case err == nil:
			d.updatePeer(conn, h, true)
		case errors.Is(err, rpc.ErrTimeout):
			// No replies arrive on this connection. After it is closed, the
			// next sendHellos opens a new one.
			conn.Close()
		}
	})
}

// dialPeer connects to a peer and sends it a hello. The ID is empty when the
// address is a seed.
func (d *Daemon) dialPeer(id, address string) {
	ctx, cancel := context.WithTimeout(d.ctx, dialTimeout)
	defer cancel()
	conn, err := d.rpc.Dial(ctx, address)
	d.peers.mu.Lock()
	if id == "" {
		d.peers.seeds[address] = false
	} else if p := d.peers.byID[id]; p != nil {
		p.dialing = false
		lastHello := p.liveUntil.Add(-d.cfg.PeerLostTimeout)
		if errors.Is(err, syscall.ECONNREFUSED) && p.conn == nil && !p.liveUntil.IsZero() && time.Since(lastHello) > missedHellos*d.cfg.HelloInterval {
			// Probably no process listens at the address, so that another entry can
			// become the planner without waiting for PeerLostTimeout. The network
			// alone may refuse connections to a peer whose hellos arrive.
			p.liveUntil = time.Now()
		}
		if err == nil {
			p.conn = conn
		}
	}
	d.peers.mu.Unlock()
	if err == nil {
		d.sendHello(conn, time.Now())
	}
}

// peerConn returns the open connection to a peer, or nil.
func (d *Daemon) peerConn(peerID string) *rpc.Conn {
	d.peers.mu.Lock()
	defer d.peers.mu.Unlock()
	p := d.peers.byID[peerID]
	if p == nil || p.conn == nil || isClosed(p.conn) {
		return nil
	}
	return p.conn
}

const (
	// maxConnWait is how long a request waits for a connection to a live peer. It is dialled
	// with the next hello to it at the latest.
	maxConnWait = time.Second
	// connPollInterval is the time between two looks at the table of peers meanwhile.
	connPollInterval = 20 * time.Millisecond
)

// awaitPeerConn waits for the connection to a peer whose hellos arrive: a peer counts as live
// from its own connection on, and the one to it may still be dialled. It returns nil if there
// is none within maxConnWait, if the peer is not live, and when ctx ends.
func (d *Daemon) awaitPeerConn(ctx context.Context, peerID string) *rpc.Conn {
	bounded, cancel := context.WithTimeout(ctx, maxConnWait)
	defer cancel()
	for bounded.Err() == nil && d.peerLive(peerID) {
		if conn := d.peerConn(peerID); conn != nil {
			return conn
		}
		pause.For(bounded, connPollInterval)
	}
	return nil
}

// peerLive reports whether hellos of the peer arrive and it is not stopping.
func (d *Daemon) peerLive(peerID string) bool {
	d.peers.mu.Lock()
	defer d.peers.mu.Unlock()
	p := d.peers.byID[peerID]
	return p != nil && time.Now().Before(p.liveUntil) && !p.hello.Leaving
}

// peerConns returns the open connections to all peers.
func (d *Daemon) peerConns() []*rpc.Conn {
	d.peers.mu.Lock()
	defer d.peers.mu.Unlock()
	var conns []*rpc.Conn
	for _, p := range d.peers.byID {
		if p.conn != nil && !isClosed(p.conn) {
			conns = append(conns, p.conn)
		}
	}
	return conns
}

// newestPeerConfig returns the newest configuration offset among the live peers,
// and the ID of a peer that has it, or 0 and "" if none has a configuration.
func (d *Daemon) newestPeerConfig(now time.Time) (offset int64, id string) {
	d.peers.mu.Lock()
	defer d.peers.mu.Unlock()
	for peerID, p := range d.peers.byID {
		if now.Before(p.liveUntil) && int64(p.hello.ConfigOffset) > offset {
			offset, id = int64(p.hello.ConfigOffset), peerID
		}
	}
	return offset, id
}

// Ready reports whether the entry can serve requests, and the reason if not.
func (d *Daemon) Ready() (bool, string) {
	if d.leaving.Load() {
		return false, "stopping"
	}
	now := time.Now()
	newest, id := d.newestPeerConfig(now)
	missing := d.missingVMsReason(now)
	d.config.mu.Lock()
	offset, caughtUp := d.config.state.LastApplied, d.config.caughtUp
	d.config.mu.Unlock()
	switch {
	case !caughtUp:
		return false, "configuration not read yet"
	case offset < newest:
		return false, fmt.Sprintf("configuration at offset %d, entry %s has %d", offset, id, newest)
	case missing != "":
		return false, missing
	default:
		return true, ""
	}
}

// missingVMsReason returns why this entry probably does not know all VMs yet, or "".
// It returns a reason only within settleDelay of the start: when a live peer sees
// more VMs, or, within PeerLostTimeout and if seeds are configured, when no peer is
// live. Requests would otherwise be refused because VMs are missing that are about
// to announce themselves.
func (d *Daemon) missingVMsReason(now time.Time) string {
	age := now.Sub(d.startedAt)
	if age > settleDelay {
		return ""
	}
	own := d.liveVMCount()
	d.peers.mu.Lock()
	defer d.peers.mu.Unlock()
	anyPeerLive := false
	for id, p := range d.peers.byID {
		if !now.Before(p.liveUntil) {
			continue
		}
		anyPeerLive = true
		if p.hello.VMs > own {
			return fmt.Sprintf("%d VMs have announced themselves, entry %s sees %d", own, id, p.hello.VMs)
		}
	}
	if !anyPeerLive && len(d.peers.seeds) > 0 && age < d.cfg.PeerLostTimeout {
		return "no hello from another entry yet"
	}
	return ""
}

// liveVMCount counts the VMs that are not lost.
func (d *Daemon) liveVMCount() int {
	d.vms.mu.Lock()
	defer d.vms.mu.Unlock()
	n := 0
	for _, t := range d.vms.byID {
		if !t.lost {
			n++
		}
	}
	return n
}

// ownerOf returns the ID of the entry that accepted a job, or "" if the job ID does
// not contain one; see newJobID.
func ownerOf(jobID string) string {
	parts := strings.SplitN(jobID, "~", 3)
	if len(parts) != 3 {
		return ""
	}
	return parts[2]
}

// handlePeerEvents returns timeline events of this entry to a peer.
func (d *Daemon) handlePeerEvents(_ *rpc.Conn, p wire.EventsParams) (wire.EventsResult, error) {
	events, next := d.ring.Since(int64(p.From), p.Max)
	result := wire.EventsResult{Events: make([]wire.Event, 0, len(events)), Next: int(next)}
	for _, e := range events {
		result.Events = append(result.Events, eventTo(e))
	}
	return result, nil
}

func eventTo(e timeline.Event) wire.Event {
	return wire.Event{
		AtUnixUs: int(e.At.UnixMicro()), Process: e.Process, Kind: e.Kind, Job: e.Job, Org: e.Org, VM: e.VM,
		Offset: int(e.Offset), Detail: e.Detail, Sequence: int(e.Sequence),
	}
}

func eventFrom(w wire.Event) timeline.Event {
	return timeline.Event{
		At: time.UnixMicro(int64(w.AtUnixUs)), Process: w.Process, Kind: w.Kind, Job: w.Job, Org: w.Org, VM: w.VM,
		Offset: int64(w.Offset), Detail: w.Detail, Sequence: int64(w.Sequence),
	}
}

// handlePeerJob reads or cancels a job for a peer. All operations are answered at
// once, also PeerJobOpWait.
func (d *Daemon) handlePeerJob(r *rpc.Request) {
	var p wire.PeerJobParams
	if err := r.Decode(&p); err != nil {
		r.Fail(err)
		return
	}
	switch p.Op {
	case wire.PeerJobOpCancel:
		d.cancelLocally(p.ID)
	case wire.PeerJobOpWait, wire.PeerJobOpGet:
	default:
		r.Fail(fmt.Errorf("op: found %q, allowed: get, wait, cancel", p.Op))
		return
	}
	v, ok, err := d.lookup(p.ID)
	if err != nil {
		r.Fail(err)
		return
	}
	if !ok {
		r.Reply(wire.PeerJobResult{Found: false})
		return
	}
	w := codec.EncodeJobView(v)
	r.Reply(wire.PeerJobResult{Found: true, Job: &w})
}

// handlePeerConfig returns the configuration records from an offset on to a peer,
// at most maxPeerRecords. When configTable.records no longer holds the first of them,
// it returns a snapshot instead.
func (d *Daemon) handlePeerConfig(_ *rpc.Conn, p wire.PeerConfigParams) (wire.PeerConfigResult, error) {
	d.config.mu.Lock()
	defer d.config.mu.Unlock()
	result := wire.PeerConfigResult{Records: []wire.LogRecord{}, Through: int(d.config.state.LastApplied)}
	first := slices.IndexFunc(d.config.records, func(r wire.LogRecord) bool { return r.Offset >= p.From })
	if len(d.config.records) > 0 && d.config.records[0].Offset <= p.From {
		if first >= 0 {
			n := min(len(d.config.records), first+maxPeerRecords)
			result.Records = append(result.Records, d.config.records[first:n]...)
			result.Through = d.config.records[n-1].Offset
		}
		return result, nil
	}
	if int64(p.From) <= d.config.state.LastApplied {
		snapshot := platformlog.EncodeConfigSnapshot(d.config.state)
		result.Snapshot = &snapshot
	}
	return result, nil
}
