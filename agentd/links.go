package agentd

import (
	"context"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"celerypoint.example/celerypoint/codec"
	"celerypoint.example/celerypoint/entry"
	"celerypoint.example/celerypoint/ledger"
	"celerypoint.example/celerypoint/rpc"
	"celerypoint.example/celerypoint/timeline"
	"celerypoint.example/celerypoint/wire"
)

const (
	minBackoff = 100 * time.Millisecond
	maxBackoff = 2 * time.Second
	// callTimeout bounds a dial or a call to an entry. When an entry does not
	// answer an announcement in time, the agent closes the connection and dials
	// again.
	callTimeout = 3 * time.Second
	// minAnnounceInterval is the least time between announcements on one link, so
	// that bursts of changes do not exceed the network budget of an agent.
	minAnnounceInterval = 100 * time.Millisecond
)

// entryTable holds the links to entries, by the entry's address.
type entryTable struct {
	sync.Mutex
	links  map[string]*link
	random *rand.Rand
}

// link is the connection to one entry. Its goroutine dials the entry, sends
// announcements and reports ended tasks.
type link struct {
	address string
	// configured says that the address is in Config.AnnounceTo. Such a link is
	// never removed.
	configured bool
	// info is the description of the entry in the last answer to an announcement
	// that listed it. Before that, only the address is set. It is guarded by
	// entryTable.
	info wire.EntryInfo
	// listedAt is when the entry last answered an announcement, or was last listed
	// in the answer of another entry. It is guarded by entryTable.
	listedAt time.Time
	// conn is nil while the link is down. It is guarded by entryTable.
	conn *rpc.Conn
	// announceRequested makes the goroutine announce as soon as
	// minAnnounceInterval allows. reportRequested makes it send reports at once.
	announceRequested, reportRequested chan struct{}
}

func (t *entryTable) init(random *rand.Rand) { t.links, t.random = map[string]*link{}, random }

// backoff returns a random duration between half of base and one and a half times
// base, so that agents do not all dial a restarted entry at the same time.
func (t *entryTable) backoff(base time.Duration) time.Duration {
	t.Lock()
	defer t.Unlock()
	return base/2 + time.Duration(t.random.Int64N(int64(base)))
}

// infos lists the entries whose IDs are known, sorted by ID.
func (t *entryTable) infos() []wire.EntryInfo {
	t.Lock()
	defer t.Unlock()
	var infos []wire.EntryInfo
	for _, ln := range t.links {
		if ln.info.ID != "" {
			infos = append(infos, ln.info)
		}
	}
	slices.SortFunc(infos, func(a, b wire.EntryInfo) int {
		if a.ID < b.ID {
			return -1
		}
		return 1
	})
	return infos
}

func (t *entryTable) setConn(ln *link, conn *rpc.Conn) {
	t.Lock()
	defer t.Unlock()
	ln.conn = conn
}

func (t *entryTable) conns() []*rpc.Conn {
	t.Lock()
	defer t.Unlock()
	var conns []*rpc.Conn
	for _, ln := range t.links {
		if ln.conn != nil {
			conns = append(conns, ln.conn)
		}
	}
	return conns
}

// removeIfExpired removes the link if it is not configured and its entry has
// neither answered nor been listed by another entry for the retention time.
func (t *entryTable) removeIfExpired(ln *link, now time.Time, retention time.Duration) bool {
	t.Lock()
	defer t.Unlock()
	if ln.configured || now.Sub(ln.listedAt) < retention {
		return false
	}
	delete(t.links, ln.address)
	return true
}

// startLink starts a link unless there is one to the address or the agent is
// ending. For an entry of Config.AnnounceTo only the address is known at first; the
// rest comes from the answers to announcements.
func (d *Daemon) startLink(info wire.EntryInfo, configured bool) {
	d.entries.Lock()
	defer d.entries.Unlock()
	if d.entries.links[info.Address] != nil || d.ctx.Err() != nil {
		return
	}
	ln := &link{address: info.Address, info: info, configured: configured, listedAt: time.Now(), announceRequested: make(chan struct{}, 1), reportRequested: make(chan struct{}, 1)}
	d.entries.links[ln.address] = ln
	d.goroutines.Go(func() { d.runLink(ln) })
}

// announceNow makes every link send an announcement as soon as minAnnounceInterval
// allows.
func (d *Daemon) announceNow() {
	d.signalLinks(func(ln *link) chan struct{} { return ln.announceRequested })
}

// reportNow makes every link send the unconfirmed reports that it has not sent yet.
func (d *Daemon) reportNow() {
	d.signalLinks(func(ln *link) chan struct{} { return ln.reportRequested })
}

// signalLinks sends to one channel of every link. A link that has not handled the
// previous signal gets no second one.
func (d *Daemon) signalLinks(channel func(*link) chan struct{}) {
	d.entries.Lock()
	defer d.entries.Unlock()
	for _, ln := range d.entries.links {
		select {
		case channel(ln) <- struct{}{}:
		default:
		}
	}
}

// runLink keeps connecting to the entry until the agent ends or the link is
// removed.
func (d *Daemon) runLink(ln *link) {
	backoff := minBackoff
	for d.ctx.Err() == nil {
		if d.entries.removeIfExpired(ln, time.Now(), d.cfg.EntryRetention) {
			d.log.WithFields(logrus.Fields{"vm": d.cfg.VM.ID, "entry": ln.address}).Info("removed the link to an entry that no entry lists any more")
			return
		}
		ctx, cancel := context.WithTimeout(d.ctx, callTimeout)
		conn, err := d.engine.Dial(ctx, ln.address)
		cancel()
		if err == nil {
			d.entries.setConn(ln, conn)
			if d.useConn(ln, conn) {
				backoff = minBackoff
			}
			d.entries.setConn(ln, nil)
			conn.Close()
		}
		d.dropExpired()
		if !d.sleep(d.entries.backoff(backoff)) {
			return
		}
		backoff = min(2*backoff, maxBackoff)
	}
}

// sleep returns false if the agent ended before the duration had passed.
func (d *Daemon) sleep(duration time.Duration) bool {
	timer := time.NewTimer(duration)
	defer timer.Stop()
	select {
	case <-d.ctx.Done():
		return false
	case <-timer.C:
		return true
	}
}

// useConn sends announcements and reports on one connection until an announcement
// fails, the connection closes or the agent ends. It returns whether the entry
// answered an announcement.
func (d *Daemon) useConn(ln *link, conn *rpc.Conn) (answered bool) {
	client := entry.Client{Conn: conn}
	var announcedAt time.Time
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		select {
		case <-d.ctx.Done():
			return answered
		case <-conn.Done():
			return answered
		case <-ln.reportRequested:
			d.sendReports(ln, conn, false)
		case <-ln.announceRequested:
			timer.Reset(max(0, time.Until(announcedAt.Add(minAnnounceInterval))))
		case <-timer.C:
			announcedAt = time.Now()
			if err := d.announce(ln, client); err != nil {
				d.logLostLink(ln, answered, err)
				return answered
			}
			if !answered {
				answered = true
				d.log.WithFields(logrus.Fields{"vm": d.cfg.VM.ID, "entry": ln.address}).Info("connected to entry")
			}
			d.sendReports(ln, conn, true)
			d.dropExpired()
			timer.Reset(max(0, time.Until(announcedAt.Add(d.cfg.AnnounceInterval))))
		}
	}
}

// logLostLink counts and logs the error if the entry had answered on the same
// connection before and the agent is not ending.
func (d *Daemon) logLostLink(ln *link, answered bool, err error) {
	if !answered || d.ctx.Err() != nil {
		return
	}
	d.count("entryLinkLost")
	d.log.WithFields(logrus.Fields{"vm": d.cfg.VM.ID, "entry": ln.address}).WithError(err).Warn("closing the connection to an entry that did not answer an announcement")
}

// dropExpired drops answers and reports whose retention time has passed.
func (d *Daemon) dropExpired() {
	if dropped := d.answers.dropExpired(time.Now()); dropped > 0 {
		d.count("reportDropped")
		d.log.WithFields(logrus.Fields{"vm": d.cfg.VM.ID, "reports": dropped}).Warn("dropped reports of ended tasks that no entry confirmed within the retention time")
	}
}

// announce sends one announcement and applies the entry's answer, which holds the
// entries that it knows and the configuration of this VM.
func (d *Daemon) announce(ln *link, client entry.Client) error {
	ctx, cancel := context.WithTimeout(d.ctx, callTimeout)
	defer cancel()
	result, err := client.Announce(ctx, d.announcement())
	if err != nil {
		return err
	}
	d.updateEntries(ln, result.Entries)
	d.applyConfig(result.Config)
	return nil
}

// finalAnnouncementTimeout bounds the last announcement of an agent.
const finalAnnouncementTimeout = time.Second

// sendFinalAnnouncement announces once more on every connection and waits for the
// answers. A connection delivers messages in order, so an answer proves that the
// replies sent before have arrived.
func (d *Daemon) sendFinalAnnouncement(ctx context.Context) {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), finalAnnouncementTimeout)
	defer cancel()
	p := d.announcement()
	var wg sync.WaitGroup
	for _, conn := range d.entries.conns() {
		wg.Go(func() {
			// An error changes nothing: the agent ends in either case.
			_, _ = entry.Client{Conn: conn}.Announce(ctx, p)
		})
	}
	wg.Wait()
}

func (d *Daemon) announcement() wire.AnnounceParams {
	v := d.cfg.VM
	p := wire.AnnounceParams{
		VM: v.ID, BootID: v.BootID, Zone: v.Zone, Rack: v.Rack, Region: v.Region, Labels: v.Labels,
		Accelerators: v.Accelerators, Slots: v.Slots, Connections: v.Connections, CPUs: v.CPUs, MemoryMB: v.MemoryMB,
		Entries: d.entries.infos(),
	}
	d.state.Lock()
	defer d.state.Unlock()
	// A drain by an operator is announced like a graceful stop. An entry that
	// cannot read the configuration from the platform's log learns of the drain
	// only from here, and would otherwise send work that is refused.
	p.Leaving = d.state.ledger.Leaving || d.state.ledger.Draining
	p.ConfigOffset = int(d.state.ledger.ConfigOffset)
	for _, h := range d.state.ledger.AnnouncedHoldings() {
		p.Holdings = append(p.Holdings, codec.EncodeHolding(h))
	}
	return p
}

// updateEntries records the entries that the entry of ln listed in an answer, and
// starts links to new ones.
func (d *Daemon) updateEntries(ln *link, infos []wire.EntryInfo) {
	now := time.Now()
	d.entries.Lock()
	ln.listedAt = now
	var unknown []wire.EntryInfo
	for _, i := range infos {
		if known := d.entries.links[i.Address]; known != nil {
			known.info, known.listedAt = i, now
		} else {
			unknown = append(unknown, i)
		}
	}
	d.entries.Unlock()
	for _, i := range unknown {
		d.startLink(i, false)
	}
}

// applyConfig applies a configuration of the VM if it is newer than the present
// one.
func (d *Daemon) applyConfig(c wire.VMConfig) {
	d.updateLedger(func(l *ledger.Ledger, _ time.Time) []func() {
		d.applyConfigLocked(l, c)
		return nil
	})
}

// applyConfigLocked is applyConfig for callers that hold the lock of vmState.
func (d *Daemon) applyConfigLocked(l *ledger.Ledger, c wire.VMConfig) {
	wasDraining := l.Draining
	if !l.Configure(int64(c.Offset), c.Shares, c.Draining) {
		return
	}
	d.ring.Add(timeline.Event{Kind: "configurationTaken", VM: d.cfg.VM.ID, Offset: int64(c.Offset)})
	if wasDraining != l.Draining {
		d.log.WithFields(logrus.Fields{"vm": d.cfg.VM.ID, "offset": c.Offset, "draining": l.Draining}).Info("draining changed")
	}
}

// sendReports sends unconfirmed reports to the entry. It does not wait for the
// replies, so that an entry that is slow to record an end still gets
// announcements. An entry that does not know the job refuses the report. The
// report is then left to other entries, and is sent to this entry again after the
// next announcement.
func (d *Daemon) sendReports(ln *link, conn *rpc.Conn, retryFailed bool) {
	for id, p := range d.answers.takeReports(ln, retryFailed) {
		conn.CallAsync(entry.MethodTaskEnded, p, time.Now().Add(callTimeout), func(_ []byte, err error) {
			if err != nil {
				d.answers.markFailed(id, ln)
				return
			}
			d.answers.markConfirmed(id)
		})
	}
}
