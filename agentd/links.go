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
	// callTimeout bounds a dial or a call to an entry; an entry that is slower
	// is dialled anew.
	callTimeout = 3 * time.Second
	// announceGap is the least time between announcements on one link, so that
	// bursts of changes stay within the network budget of an agent.
	announceGap = 100 * time.Millisecond
)

// entryTable holds the links to entries, by address.
type entryTable struct {
	sync.Mutex
	links  map[string]*link
	random *rand.Rand
}

// link is the connection to one entry. Its goroutine dials, announces and
// reports.
type link struct {
	address string
	// fixed says that the settings name the address; it is never dropped.
	fixed bool
	// info is what an entry said of this one; its ID is empty until then.
	info wire.EntryInfo
	// namedAt is when a live entry last named it. It is guarded by entryTable.
	namedAt time.Time
	// conn is nil while the link is down. It is guarded by entryTable.
	conn *rpc.Conn
	// changed asks for an announcement, ended for reports, at once.
	changed, ended chan struct{}
}

func (t *entryTable) init(random *rand.Rand) { t.links, t.random = map[string]*link{}, random }

// backoff adds a jitter of half the span, so that agents do not dial a
// restarted entry all at once.
func (t *entryTable) backoff(span time.Duration) time.Duration {
	t.Lock()
	defer t.Unlock()
	return span/2 + time.Duration(t.random.Int64N(int64(span)))
}

func (t *entryTable) known() []wire.EntryInfo {
	t.Lock()
	defer t.Unlock()
	var infos []wire.EntryInfo
	for _, k := range t.links {
		if k.info.ID != "" {
			infos = append(infos, k.info)
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

func (t *entryTable) use(k *link, conn *rpc.Conn) {
	t.Lock()
	defer t.Unlock()
	k.conn = conn
}

func (t *entryTable) conns() []*rpc.Conn {
	t.Lock()
	defer t.Unlock()
	var conns []*rpc.Conn
	for _, k := range t.links {
		if k.conn != nil {
			conns = append(conns, k.conn)
		}
	}
	return conns
}

// forget removes the link when no live entry has named it for so long.
func (t *entryTable) forget(k *link, now time.Time, after time.Duration) bool {
	t.Lock()
	defer t.Unlock()
	if k.fixed || now.Sub(k.namedAt) < after {
		return false
	}
	delete(t.links, k.address)
	return true
}

// link starts a link unless there is one to the address. The settings name no
// more of an entry than its address; other entries tell the rest.
func (d *Daemon) link(info wire.EntryInfo, fixed bool) {
	d.entries.Lock()
	defer d.entries.Unlock()
	if d.entries.links[info.Address] != nil || d.ctx.Err() != nil {
		return
	}
	k := &link{address: info.Address, info: info, fixed: fixed, namedAt: time.Now(), changed: make(chan struct{}, 1), ended: make(chan struct{}, 1)}
	d.entries.links[k.address] = k
	d.done.Go(func() { d.serve(k) })
}

// announceNow has every link announce.
func (d *Daemon) announceNow() { d.signal(func(k *link) chan struct{} { return k.changed }) }

// reportNow has every link report ends of tasks.
func (d *Daemon) reportNow() { d.signal(func(k *link) chan struct{} { return k.ended }) }

func (d *Daemon) signal(which func(*link) chan struct{}) {
	d.entries.Lock()
	defer d.entries.Unlock()
	for _, k := range d.entries.links {
		select {
		case which(k) <- struct{}{}:
		default:
		}
	}
}

// serve keeps the link until the agent ends or the entry is forgotten.
func (d *Daemon) serve(k *link) {
	span := minBackoff
	for d.ctx.Err() == nil {
		if d.entries.forget(k, time.Now(), d.config.EntryRetention) {
			d.log.WithFields(logrus.Fields{"vm": d.config.VM.ID, "entry": k.address}).Info("entry forgotten")
			return
		}
		ctx, cancel := context.WithTimeout(d.ctx, callTimeout)
		conn, err := d.engine.Dial(ctx, k.address)
		cancel()
		if err == nil {
			d.entries.use(k, conn)
			if d.converse(k, conn) {
				span = minBackoff
			}
			d.entries.use(k, nil)
			conn.Close()
		}
		d.dropOld()
		if !d.sleep(d.entries.backoff(span)) {
			return
		}
		span = min(2*span, maxBackoff)
	}
}

func (d *Daemon) sleep(span time.Duration) bool {
	timer := time.NewTimer(span)
	defer timer.Stop()
	select {
	case <-d.ctx.Done():
		return false
	case <-timer.C:
		return true
	}
}

// converse announces and reports on one connection until it fails. It reports
// whether an announcement was answered.
func (d *Daemon) converse(k *link, conn *rpc.Conn) (answered bool) {
	client := entry.Client{Conn: conn}
	var announced time.Time
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		select {
		case <-d.ctx.Done():
			return answered
		case <-conn.Done():
			return answered
		case <-k.ended:
			d.reportEnds(k, conn, false)
		case <-k.changed:
			timer.Reset(max(0, time.Until(announced.Add(announceGap))))
		case <-timer.C:
			announced = time.Now()
			if err := d.announce(k, client); err != nil {
				d.lostEntry(k, answered, err)
				return answered
			}
			if !answered {
				answered = true
				d.log.WithFields(logrus.Fields{"vm": d.config.VM.ID, "entry": k.address}).Info("entry linked")
			}
			d.reportEnds(k, conn, true)
			d.dropOld()
			timer.Reset(max(0, time.Until(announced.Add(d.config.AnnounceInterval))))
		}
	}
}

func (d *Daemon) lostEntry(k *link, answered bool, err error) {
	if !answered || d.ctx.Err() != nil {
		return
	}
	d.count("entryLinkLost")
	d.log.WithFields(logrus.Fields{"vm": d.config.VM.ID, "entry": k.address}).WithError(err).Warn("entry does not answer")
}

// dropOld forgets answers and reports past their retention.
func (d *Daemon) dropOld() {
	if lost := d.answers.drop(time.Now()); lost > 0 {
		d.count("reportDropped")
		d.log.WithFields(logrus.Fields{"vm": d.config.VM.ID, "reports": lost}).Warn("no entry confirmed reports within the retention")
	}
}

func (d *Daemon) announce(k *link, client entry.Client) error {
	ctx, cancel := context.WithTimeout(d.ctx, callTimeout)
	defer cancel()
	result, err := client.Announce(ctx, d.announcement())
	if err != nil {
		return err
	}
	d.learn(k, result.Entries)
	d.configure(result.Config)
	return nil
}

// farewellTimeout bounds the last announcement of an agent.
const farewellTimeout = time.Second

// sayFarewell announces once more on every connection. A connection carries
// frames in order, so the answer proves that the replies sent before arrived.
func (d *Daemon) sayFarewell(ctx context.Context) {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), farewellTimeout)
	defer cancel()
	p := d.announcement()
	var all sync.WaitGroup
	for _, conn := range d.entries.conns() {
		all.Go(func() {
			// An entry that does not answer is not waited for.
			_, _ = entry.Client{Conn: conn}.Announce(ctx, p)
		})
	}
	all.Wait()
}

func (d *Daemon) announcement() wire.AnnounceParams {
	v := d.config.VM
	p := wire.AnnounceParams{
		VM: v.ID, BootID: v.BootID, Zone: v.Zone, Rack: v.Rack, Region: v.Region, Labels: v.Labels,
		Accelerators: v.Accelerators, Slots: v.Slots, Connections: v.Connections, CPUs: v.CPUs, MemoryMB: v.MemoryMB,
		Entries: d.entries.known(),
	}
	d.ledger.Lock()
	defer d.ledger.Unlock()
	// An entry that cannot read the log learns of an operator's drain from here,
	// and would otherwise send work that is refused.
	p.Leaving = d.ledger.book.Leaving || d.ledger.book.Draining
	p.ConfigOffset = int(d.ledger.book.ConfigOffset)
	for _, h := range d.ledger.book.AnnouncedHoldings() {
		p.Holdings = append(p.Holdings, codec.EncodeHolding(h))
	}
	return p
}

// learn notes the entries that a live entry named, and links new ones.
func (d *Daemon) learn(k *link, infos []wire.EntryInfo) {
	now := time.Now()
	d.entries.Lock()
	k.namedAt = now
	var unknown []wire.EntryInfo
	for _, i := range infos {
		if o := d.entries.links[i.Address]; o != nil {
			o.info, o.namedAt = i, now
		} else {
			unknown = append(unknown, i)
		}
	}
	d.entries.Unlock()
	for _, i := range unknown {
		d.link(i, false)
	}
}

// configure takes a newer configuration.
func (d *Daemon) configure(c wire.VMConfig) {
	d.step(func(b *ledger.Ledger, _ time.Time) []func() {
		d.take(b, c)
		return nil
	})
}

// take has the ledger act on a newer configuration; the ledger's lock is held.
func (d *Daemon) take(b *ledger.Ledger, c wire.VMConfig) {
	was := b.Draining
	if !b.Configure(int64(c.Offset), c.Shares, c.Draining) {
		return
	}
	d.ring.Add(timeline.Event{Kind: "configurationTaken", VM: d.config.VM.ID, Offset: int64(c.Offset)})
	if was != b.Draining {
		d.log.WithFields(logrus.Fields{"vm": d.config.VM.ID, "offset": c.Offset, "draining": b.Draining}).Info("draining changed")
	}
}

// reportEnds sends unconfirmed reports to the entry, and does not wait for its
// replies, so that an entry that is slow to record an end still gets
// announcements. An entry that does not know the job refuses, and the report
// waits for other entries and for the next announcement.
func (d *Daemon) reportEnds(k *link, conn *rpc.Conn, again bool) {
	for id, p := range d.answers.due(k, again) {
		conn.CallAsync(entry.MethodTaskEnded, p, time.Now().Add(callTimeout), func(_ []byte, err error) {
			if err != nil {
				d.answers.refused(id, k)
				return
			}
			d.answers.confirmed(id)
		})
	}
}
