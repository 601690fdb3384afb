package agentd

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/rcrowley/go-metrics"
	"github.com/sirupsen/logrus"

	"celerypoint.example/celerypoint/ledger"
	"celerypoint.example/celerypoint/rpc"
	"celerypoint.example/celerypoint/timeline"
	"celerypoint.example/celerypoint/vm"
	"celerypoint.example/celerypoint/wire"
	"celerypoint.example/celerypoint/workerruntime"
	"celerypoint.example/celerypoint/workpool"
)

// Daemon is a running agent. End it with Stop or Kill.
type Daemon struct {
	config   Config
	log      logrus.FieldLogger
	registry metrics.Registry
	ring     *timeline.Ring
	runtime  *workerruntime.Client
	engine   *rpc.Engine
	// workers handle orders and start and stop tasks.
	workers *workpool.Pool
	// pauses is a pool of one, so that pausing and resuming an attempt reach
	// the runtime in the order in which the ledger decided them.
	pauses *workpool.Pool

	ctx    context.Context
	cancel context.CancelFunc
	done   sync.WaitGroup
	ended  sync.Once
	// wake tells the clock that the next deadline has moved.
	wake chan struct{}

	entries entryTable
	ledger  ledgerTable
	answers answerTable
}

// ledgerTable is the ledger with what the daemon keeps of each attempt.
type ledgerTable struct {
	sync.Mutex
	book     *ledger.Ledger
	attempts map[string]*attempt
	// armed is the deadline that the clock waits for.
	armed time.Time
	// empty is closed and replaced when the last attempt ends.
	changed chan struct{}
}

// bootTimeout bounds how long New waits for the runtime.
const bootTimeout = 10 * time.Second

// New starts an agent. It stops every task that the runtime still runs: they
// belong to an earlier boot, and their leases cannot be renewed any more.
func New(c Config, options ...Option) (*Daemon, error) {
	c = c.withDefaults()
	if err := c.check(); err != nil {
		return nil, err
	}
	d := &Daemon{config: c, log: logrus.StandardLogger(), registry: metrics.NewRegistry(), wake: make(chan struct{}, 1)}
	for _, o := range options {
		o(d)
	}
	random := rand.New(rand.NewPCG(c.Seed, 0))
	d.config.VM.BootID = fmt.Sprintf("%s-%d-%08x", c.VM.ID, time.Now().UnixMilli(), random.Uint32())
	d.ring = timeline.NewRing(c.VM.ID)
	d.runtime = workerruntime.New(c.RuntimeURL)
	d.ledger.book = ledger.New(c.VM.Accelerators, c.VM.Slots, c.VM.Connections, c.Ledger)
	d.ledger.attempts = map[string]*attempt{}
	d.ledger.changed = make(chan struct{})
	d.answers.init()
	d.entries.init(random)
	d.ctx, d.cancel = context.WithCancel(context.Background())
	from, err := d.clearRuntime()
	if err != nil {
		d.cancel()
		return nil, err
	}
	engine, err := rpc.New(d.handle)
	if err != nil {
		d.cancel()
		return nil, fmt.Errorf("agentd: %w", err)
	}
	d.engine = engine
	d.registerTraffic()
	d.workers = workpool.New(c.Workers, c.QueueDepth)
	d.pauses = workpool.New(1, c.QueueDepth)
	d.log.WithFields(logrus.Fields{"vm": c.VM.ID, "boot": d.config.VM.BootID, "seed": c.Seed}).Info("agent started")
	d.ring.Add(timeline.Event{Kind: "agentStarted", VM: c.VM.ID, Detail: d.config.VM.BootID})
	d.done.Go(func() { d.watch(from) })
	d.done.Go(d.clock)
	for _, address := range c.AnnounceTo {
		d.link(wire.EntryInfo{Address: address}, true)
	}
	return d, nil
}

// registerTraffic registers gauges of the bytes over all connections to entries
// since the start.
func (d *Daemon) registerTraffic() {
	metrics.NewRegisteredFunctionalGauge("rpcBytesReceived", d.registry, func() int64 { n, _ := d.engine.Traffic(); return n })
	metrics.NewRegisteredFunctionalGauge("rpcBytesSent", d.registry, func() int64 { _, n := d.engine.Traffic(); return n })
}

// clearRuntime stops the tasks of an earlier boot and returns the sequence of
// the next event.
func (d *Daemon) clearRuntime() (int, error) {
	ctx, cancel := context.WithTimeout(d.ctx, bootTimeout)
	defer cancel()
	for {
		from, err := d.tryClear(ctx)
		if err == nil {
			return from, nil
		}
		select {
		case <-ctx.Done():
			return 0, fmt.Errorf("agentd: the worker runtime did not list and stop old tasks: %w", err)
		case <-time.After(minBackoff):
		}
	}
}

func (d *Daemon) tryClear(ctx context.Context) (int, error) {
	tasks, err := d.runtime.Tasks(ctx)
	if err != nil {
		return 0, err
	}
	for _, t := range tasks {
		if err := d.runtime.Stop(ctx, t.ID); err != nil && !errors.Is(err, workerruntime.ErrNoTask) {
			return 0, err
		}
		d.count("oldTaskStopped")
		d.ring.Add(timeline.Event{Kind: "oldTaskStopped", Job: t.Job, VM: d.config.VM.ID, Detail: t.ID})
	}
	events, err := d.runtime.Events(ctx, lastSequence, 0)
	return events.Next, err
}

// Holdings lists what is reserved or runs on the VM.
func (d *Daemon) Holdings() []vm.Holding {
	d.ledger.Lock()
	defer d.ledger.Unlock()
	return d.ledger.book.AnnouncedHoldings()
}

// Ring holds the agent's newest events.
func (d *Daemon) Ring() *timeline.Ring { return d.ring }

// count counts one decision.
func (d *Daemon) count(name string) { metrics.GetOrRegisterCounter(name, d.registry).Inc(1) }

// step runs op on the ledger, and carries out what follows from it after the
// lock is released. Lapsed attempts are dropped first, so that an agent that
// was frozen answers nothing from an old state. op may be nil.
func (d *Daemon) step(op func(b *ledger.Ledger, now time.Time) []func()) {
	d.ledger.Lock()
	now := time.Now()
	var work []func()
	work = append(work, d.follow(d.ledger.book.Advance(now))...)
	if op != nil {
		work = append(work, op(d.ledger.book, now)...)
		work = append(work, d.follow(d.ledger.book.Advance(now))...)
	}
	next := d.ledger.book.NextDeadline()
	moved := !next.Equal(d.ledger.armed)
	d.ledger.armed = next
	d.ledger.Unlock()
	if moved {
		select {
		case d.wake <- struct{}{}:
		default:
		}
	}
	for _, w := range work {
		w()
	}
}

// clock waits for the ledger's next deadline.
func (d *Daemon) clock() {
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		select {
		case <-d.ctx.Done():
			return
		case <-d.wake:
		case <-timer.C:
			d.step(nil)
		}
		d.ledger.Lock()
		next := d.ledger.armed
		d.ledger.Unlock()
		if next.IsZero() {
			timer.Stop()
			continue
		}
		timer.Reset(max(0, time.Until(next)))
	}
}

// Kill ends the agent at once, as if its process died: nothing is reported,
// and tasks go on until their leases end. Killing it again does nothing.
func (d *Daemon) Kill() {
	d.ended.Do(func() {
		d.cancel()
		d.engine.Close()
		d.done.Wait()
		d.workers.Close()
		d.pauses.Close()
		d.runtime.Close()
	})
}

// Stop ends the agent gracefully: it refuses new work at once, announces that
// it leaves, and waits until running work has ended, reports are confirmed and
// answers are read. Preemptible work that would outlast the context's deadline
// is checkpointed and reported as evicted. The error says what was left.
func (d *Daemon) Stop(ctx context.Context) error {
	d.log.WithField("vm", d.config.VM.ID).Info("agent leaves")
	d.ring.Add(timeline.Event{Kind: "agentLeaving", VM: d.config.VM.ID})
	d.step(func(b *ledger.Ledger, _ time.Time) []func() {
		b.Leave()
		return nil
	})
	d.announceNow()
	err := d.drainWork(ctx)
	if err == nil {
		d.drainAnswers(ctx)
	}
	d.workers.Close()
	d.sayFarewell(ctx)
	d.Kill()
	return err
}

// evictMargin is the time that a stop and its report take after a checkpoint.
const evictMargin = time.Second

// drainWork waits until nothing is held, and evicts preemptible work in time.
func (d *Daemon) drainWork(ctx context.Context) error {
	evict := make(<-chan time.Time)
	if deadline, ok := ctx.Deadline(); ok {
		timer := time.NewTimer(time.Until(deadline.Add(-d.config.Ledger.Checkpoint - evictMargin)))
		defer timer.Stop()
		evict = timer.C
	}
	for {
		d.ledger.Lock()
		left, changed := len(d.ledger.book.Holdings), d.ledger.changed
		d.ledger.Unlock()
		if left == 0 {
			return nil
		}
		select {
		case <-ctx.Done():
			return fmt.Errorf("agentd: %d attempts still ran at the stop deadline: %w", left, ctx.Err())
		case <-evict:
			d.step(func(b *ledger.Ledger, now time.Time) []func() {
				b.Evict(now)
				return nil
			})
		case <-changed:
		}
	}
}

// drainAnswers waits until every report is confirmed and every answer read, at
// most until the context ends or UnreadWait has passed.
func (d *Daemon) drainAnswers(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, d.config.UnreadAnswerTimeout)
	defer cancel()
	for {
		pending, changed := d.answers.pending()
		if pending == 0 {
			return
		}
		select {
		case <-ctx.Done():
			d.log.WithFields(logrus.Fields{"vm": d.config.VM.ID, "answers": pending}).Warn("agent stops with unread answers or unconfirmed reports")
			return
		case <-changed:
		}
	}
}
