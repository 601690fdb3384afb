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
	"celerypoint.example/celerypoint/platformlog"
	"celerypoint.example/celerypoint/rpc"
	"celerypoint.example/celerypoint/timeline"
	"celerypoint.example/celerypoint/wire"
)

// peerRetention is how long the address of a lost peer is kept and dialled.
const peerRetention = 60 * time.Second

// dialTimeout bounds one connection attempt to a peer.
const dialTimeout = time.Second

// address is where agents and peers reach this entry.
func (d *Daemon) address() string {
	if d.c.AdvertiseAddress != "" {
		return d.c.AdvertiseAddress
	}
	return d.rpc.Address()
}

func (d *Daemon) self() wire.EntryInfo {
	return wire.EntryInfo{ID: d.c.ID, Address: d.address(), Zone: d.c.Zone, Region: d.c.Region}
}

// knownEntries is this entry and the live peers that take requests.
func (d *Daemon) knownEntries() []wire.EntryInfo {
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

// liveEntries are the peers of this region that are live, can plan and are not
// leaving.
func (d *Daemon) liveEntries(now time.Time) []string {
	d.peers.mu.Lock()
	defer d.peers.mu.Unlock()
	var ids []string
	for id, p := range d.peers.byID {
		if now.Before(p.liveUntil) && !p.hello.Leaving && p.hello.Ready && p.info.Region == d.c.Region {
			ids = append(ids, id)
		}
	}
	return ids
}

// planner is the entry that plans this region, as this entry sees it.
func (d *Daemon) planner(now time.Time) string {
	ids := d.liveEntries(now)
	if d.canPlan() {
		ids = append(ids, d.c.ID)
	}
	return membership.Owner("planner/"+d.c.Region, ids)
}

// learnEntries adds entries that an agent or a peer named.
func (d *Daemon) learnEntries(infos []wire.EntryInfo) {
	now := time.Now()
	d.peers.mu.Lock()
	defer d.peers.mu.Unlock()
	for _, i := range infos {
		if i.ID == d.c.ID || i.ID == "" || i.Address == "" {
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

// canPlan reports whether this entry may be the planner. Unlike Ready it stays
// true while a peer has folded a configuration change a moment earlier: the
// planner must not change with every configuration change, and agents refuse
// orders with an older configuration anyway.
func (d *Daemon) canPlan() bool {
	if d.leaving.Load() || d.missingVMs(time.Now()) != "" {
		return false
	}
	d.config.mu.Lock()
	defer d.config.mu.Unlock()
	return d.config.caughtUp
}

func (d *Daemon) hello() wire.PeerHello {
	d.config.mu.Lock()
	offset := d.config.state.Offset
	d.config.mu.Unlock()
	d.jobs.mu.Lock()
	jobs := d.jobs.fold.Through
	d.jobs.mu.Unlock()
	return wire.PeerHello{
		ID: d.c.ID, Address: d.address(), Zone: d.c.Zone, Region: d.c.Region,
		ConfigOffset: int(offset), JobsOffset: int(jobs), Leaving: d.leaving.Load(), Ready: d.canPlan(),
		Entries: d.knownEntries(), VMs: d.aliveVMs(),
	}
}

// peerHello takes another entry's hello and answers with this one's.
func (d *Daemon) peerHello(conn *rpc.Conn, p wire.PeerHello) (wire.PeerHello, error) {
	if p.ID == "" || p.Address == "" {
		return wire.PeerHello{}, fmt.Errorf("peerHello: found id=%q address=%q, allowed: none empty", p.ID, p.Address)
	}
	d.updatePeer(conn, p, false)
	return d.hello(), nil
}

// updatePeer updates what is known of a peer. A dialled connection is kept for
// messages to the peer.
func (d *Daemon) updatePeer(conn *rpc.Conn, h wire.PeerHello, dialled bool) {
	if h.ID == d.c.ID {
		return
	}
	now := time.Now()
	d.learnEntries(h.Entries)
	d.peers.mu.Lock()
	p := d.peers.byID[h.ID]
	if p == nil {
		p = &peer{}
		d.peers.byID[h.ID] = p
	}
	wasLive, wasLeaving, wasReady := now.Before(p.liveUntil), p.hello.Leaving, p.hello.Ready
	p.info = wire.EntryInfo{ID: h.ID, Address: h.Address, Zone: h.Zone, Region: h.Region}
	p.hello = h
	p.liveUntil = now.Add(d.c.PeerLostTimeout)
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
		d.kicked.Store(true)
	}
}

// tickPeers sends hellos to the peers, dials those without a connection, and
// drops the addresses of those that are gone.
func (d *Daemon) tickPeers(now time.Time) {
	d.peers.mu.Lock()
	var lost []string
	for id, p := range d.peers.byID {
		if !p.liveUntil.IsZero() && now.After(p.liveUntil) {
			p.liveUntil = time.Time{}
			lost = append(lost, id)
		}
		if now.After(p.expiresAt) {
			delete(d.peers.byID, id)
		}
	}
	d.peers.mu.Unlock()
	for _, id := range lost {
		d.logger.WithField("peer", id).Warn("peer lost")
		d.ring.Add(timeline.Event{Kind: "peerLost", Detail: id})
		d.kicked.Store(true)
	}
	if ticks := int64(d.c.HelloInterval / tickEvery); ticks > 0 && now.UnixMilli()/tickEvery.Milliseconds()%ticks != 0 {
		return
	}
	d.helloAll(now)
}

func (d *Daemon) helloAll(now time.Time) {
	type dial struct{ id, address string }
	var dials []dial
	var conns []*rpc.Conn
	d.peers.mu.Lock()
	known := map[string]bool{}
	for id, p := range d.peers.byID {
		known[p.info.Address] = true
		switch {
		case p.conn != nil && !closed(p.conn):
			conns = append(conns, p.conn)
		case !p.dialing:
			p.conn, p.dialing = nil, true
			dials = append(dials, dial{id, p.info.Address})
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
		d.submitLog(func() { d.dialPeer(t.id, t.address) })
	}
}

func closed(c *rpc.Conn) bool {
	select {
	case <-c.Done():
		return true
	default:
		return false
	}
}

func (d *Daemon) sendHello(conn *rpc.Conn, now time.Time) {
	send(d, conn, entry.MethodPeerHello, d.hello(), now.Add(d.c.PeerLostTimeout), func(h wire.PeerHello, err error) {
		switch {
		case err == nil:
			d.updatePeer(conn, h, true)
		case errors.Is(err, rpc.ErrTimeout):
			// A connection that carries no replies is dialled anew.
			conn.Close()
		}
	})
}

func (d *Daemon) dialPeer(id, address string) {
	ctx, cancel := context.WithTimeout(d.ctx, dialTimeout)
	defer cancel()
	conn, err := d.rpc.Dial(ctx, address)
	d.peers.mu.Lock()
	if id == "" {
		d.peers.seeds[address] = false
	} else if p := d.peers.byID[id]; p != nil {
		p.dialing = false
		if errors.Is(err, syscall.ECONNREFUSED) && p.conn == nil && !p.liveUntil.IsZero() {
			// Nobody listens there, so the process is gone: its successor
			// need not wait for the deadline.
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

// peerConn is the connection to a live peer, or nil.
func (d *Daemon) peerConn(id string) *rpc.Conn {
	d.peers.mu.Lock()
	defer d.peers.mu.Unlock()
	p := d.peers.byID[id]
	if p == nil || p.conn == nil || closed(p.conn) {
		return nil
	}
	return p.conn
}

// peerConns are the connections to all peers that are connected.
func (d *Daemon) peerConns() []*rpc.Conn {
	d.peers.mu.Lock()
	defer d.peers.mu.Unlock()
	var conns []*rpc.Conn
	for _, p := range d.peers.byID {
		if p.conn != nil && !closed(p.conn) {
			conns = append(conns, p.conn)
		}
	}
	return conns
}

// newestPeerConfig is the newest configuration offset among live peers.
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

// Ready reports whether the entry takes requests, and if not, why.
func (d *Daemon) Ready() (bool, string) {
	if d.leaving.Load() {
		return false, "stopping"
	}
	now := time.Now()
	newest, id := d.newestPeerConfig(now)
	missing := d.missingVMs(now)
	d.config.mu.Lock()
	offset, caughtUp := d.config.state.Offset, d.config.caughtUp
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

// missingVMs says, for a short time after the start, that other entries are not
// heard yet or see more VMs than this one. Requests would be refused for want
// of VMs that are about to announce themselves.
func (d *Daemon) missingVMs(now time.Time) string {
	age := now.Sub(d.startedAt)
	if age > settleDelay {
		return ""
	}
	own := d.aliveVMs()
	d.peers.mu.Lock()
	defer d.peers.mu.Unlock()
	heard := false
	for id, p := range d.peers.byID {
		if !now.Before(p.liveUntil) {
			continue
		}
		heard = true
		if p.hello.VMs > own {
			return fmt.Sprintf("%d VMs have announced themselves, entry %s sees %d", own, id, p.hello.VMs)
		}
	}
	if !heard && len(d.peers.seeds) > 0 && age < d.c.PeerLostTimeout {
		return "no other entry heard yet"
	}
	return ""
}

// aliveVMs counts the VMs that are not lost.
func (d *Daemon) aliveVMs() int {
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

// ownerOf is the entry that a job's identifier names; see newJobID.
func ownerOf(jobID string) string {
	parts := strings.SplitN(jobID, "~", 3)
	if len(parts) != 3 {
		return ""
	}
	return parts[2]
}

// peerEvents gives this entry's events to a peer.
func (d *Daemon) peerEvents(_ *rpc.Conn, p wire.EventsParams) (wire.EventsResult, error) {
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

// peerJob reads, awaits or cancels a job for a peer. A wait is answered later
// and holds no worker.
func (d *Daemon) peerJob(r *rpc.Request) {
	var p wire.PeerJobParams
	if err := r.Decode(&p); err != nil {
		r.Fail(err)
		return
	}
	switch p.Op {
	case wire.PeerJobOpCancel:
		d.cancelHere(p.ID)
	case wire.PeerJobOpWait, wire.PeerJobOpGet:
	default:
		r.Fail(fmt.Errorf("op: found %q, allowed: get, wait, cancel", p.Op))
		return
	}
	v, ok := d.viewHere(p.ID)
	if !ok {
		r.Reply(wire.PeerJobResult{Found: false})
		return
	}
	w := codec.ViewTo(v)
	r.Reply(wire.PeerJobResult{Found: true, Job: &w})
}

// peerConfig gives a peer the configuration records that it lacks.
func (d *Daemon) peerConfig(_ *rpc.Conn, p wire.PeerConfigParams) (wire.PeerConfigResult, error) {
	d.config.mu.Lock()
	defer d.config.mu.Unlock()
	result := wire.PeerConfigResult{Records: []wire.LogRecord{}, Through: int(d.config.state.Offset)}
	first := slices.IndexFunc(d.config.records, func(r wire.LogRecord) bool { return r.Offset >= p.From })
	if len(d.config.records) > 0 && d.config.records[0].Offset <= p.From {
		if first >= 0 {
			n := min(len(d.config.records), first+maxPeerRecords)
			result.Records = append(result.Records, d.config.records[first:n]...)
			result.Through = d.config.records[n-1].Offset
		}
		return result, nil
	}
	if int64(p.From) <= d.config.state.Offset {
		snapshot := platformlog.ConfigSnapshotTo(d.config.state)
		result.Snapshot = &snapshot
	}
	return result, nil
}
