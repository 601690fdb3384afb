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
	cfg      Config
	log      logrus.FieldLogger
	registry metrics.Registry
	ring     *timeline.Ring
	runtime  *workerruntime.Client
	engine   *rpc.Engine
	// pool handles the requests of entries and makes the calls to the runtime,
	// except those of pausePool, the polling of events, and those that New makes
	// before the pool exists.
	pool *workpool.Pool
	// pausePool pauses and resumes tasks. It has one worker, so that the pauses and
	// resumptions of an attempt reach the runtime one after the other, in the order
	// in which they were submitted.
	pausePool *workpool.Pool

	ctx        context.Context
	cancel     context.CancelFunc
	goroutines sync.WaitGroup
	killOnce   sync.Once
	// deadlineMoved tells runDeadlineTimer that the ledger's next deadline changed.
	deadlineMoved chan struct{}

	entries entryTable
	state   vmState
	answers answerTable
	// handledEvents is set by pollEvents.
	handledEvents sharedCursor
}

// vmState is the ledger of the VM and the daemon's own data of each attempt.
type vmState struct {
	sync.Mutex
	ledger   *ledger.Ledger
	attempts map[string]*attempt
	// nextDeadline is the deadline that runDeadlineTimer waits for, or zero.
	nextDeadline time.Time
	// attemptGone is closed and replaced each time removeIfEnded removes an attempt.
	attemptGone chan struct{}
}

// startupTimeout bounds how long New waits until the runtime has stopped the tasks
// of an earlier agent process.
const startupTimeout = 10 * time.Second

// New starts an agent. It first stops every task that the runtime still runs.
// Such tasks were started by an earlier agent process on this VM, and nobody can
// renew their leases any more.
func New(c Config, options ...Option) (*Daemon, error) {
	c = c.withDefaults()
	if err := c.validate(); err != nil {
		return nil, err
	}
	d := &Daemon{cfg: c, log: logrus.StandardLogger(), registry: metrics.NewRegistry(), deadlineMoved: make(chan struct{}, 1)}
	for _, o := range options {
		o(d)
	}
	random := rand.New(rand.NewPCG(c.Seed, 0))
	d.cfg.VM.BootID = fmt.Sprintf("%s-%d-%08x", c.VM.ID, time.Now().UnixMilli(), random.Uint32())
	d.ring = timeline.NewRing(c.VM.ID)
	d.runtime = workerruntime.New(c.RuntimeURL)
	d.state.ledger = ledger.New(c.VM.Accelerators, c.VM.Slots, c.VM.Connections, c.Ledger)
	d.state.attempts = map[string]*attempt{}
	d.state.attemptGone = make(chan struct{})
	d.answers.init()
	d.entries.init(random)
	d.ctx, d.cancel = context.WithCancel(context.Background())
	cursor, err := d.stopOldTasks()
	if err != nil {
		d.cancel()
		return nil, err
	}
	d.handledEvents.set(cursor)
	engine, err := rpc.New(d.handleRequest)
	if err != nil {
		d.cancel()
		return nil, fmt.Errorf("agentd: %w", err)
	}
	d.engine = engine
	d.registerTrafficMetrics()
	d.pool = workpool.New(c.Workers, c.QueueDepth)
	d.pausePool = workpool.New(1, c.QueueDepth)
	d.log.WithFields(logrus.Fields{"vm": c.VM.ID, "boot": d.cfg.VM.BootID, "seed": c.Seed}).Info("agent started")
	d.ring.Add(timeline.Event{Kind: "agentStarted", VM: c.VM.ID, Detail: d.cfg.VM.BootID})
	d.goroutines.Go(func() { d.pollEvents(cursor) })
	d.goroutines.Go(d.runDeadlineTimer)
	for _, address := range c.AnnounceTo {
		d.startLink(wire.EntryInfo{Address: address}, true)
	}
	return d, nil
}

// registerTrafficMetrics registers gauges of the bytes received and sent since
// the start, over all connections to entries.
func (d *Daemon) registerTrafficMetrics() {
	metrics.NewRegisteredFunctionalGauge("rpcBytesReceived", d.registry, func() int64 { n, _ := d.engine.Traffic(); return n })
	metrics.NewRegisteredFunctionalGauge("rpcBytesSent", d.registry, func() int64 { _, n := d.engine.Traffic(); return n })
}

// stopOldTasks stops the tasks of an earlier agent process and retries until
// that succeeds. It returns the position after the runtime's newest event.
func (d *Daemon) stopOldTasks() (eventCursor, error) {
	ctx, cancel := context.WithTimeout(d.ctx, startupTimeout)
	defer cancel()
	for {
		cursor, err := d.tryStopOldTasks(ctx)
		if err == nil {
			return cursor, nil
		}
		select {
		case <-ctx.Done():
			return eventCursor{}, fmt.Errorf("agentd: stop the tasks of an earlier agent process: %w", err)
		case <-time.After(minBackoff):
		}
	}
}

func (d *Daemon) tryStopOldTasks(ctx context.Context) (eventCursor, error) {
	tasks, err := d.runtime.Tasks(ctx)
	if err != nil {
		return eventCursor{}, err
	}
	for _, t := range tasks {
		if err := d.runtime.Stop(ctx, t.ID); err != nil && !errors.Is(err, workerruntime.ErrNoTask) {
			return eventCursor{}, err
		}
		d.count("oldTaskStopped")
		d.ring.Add(timeline.Event{Kind: "oldTaskStopped", Job: t.Job, VM: d.cfg.VM.ID, Detail: t.ID})
	}
	events, err := d.runtime.Events(ctx, endOfEvents, 0)
	return newEventCursor(events), err
}

// Holdings lists the attempts that hold accelerators or slots of the VM: those that
// are reserved, running, or being started or stopped.
func (d *Daemon) Holdings() []vm.Holding {
	d.state.Lock()
	defer d.state.Unlock()
	return d.state.ledger.AnnouncedHoldings()
}

// Ring returns the ring buffer of the newest events that the agent has recorded.
func (d *Daemon) Ring() *timeline.Ring { return d.ring }

func (d *Daemon) count(name string) { metrics.GetOrRegisterCounter(name, d.registry).Inc(1) }

// updateLedger runs op on the ledger under the lock of vmState. After it has
// released the lock, it calls the functions that op returned and carries out the
// ledger's actions. Before op runs, the ledger handles the deadlines that have
// passed, so that an agent whose process was suspended does not answer from an
// outdated state. op may be nil.
func (d *Daemon) updateLedger(op func(l *ledger.Ledger, now time.Time) []func()) {
	d.state.Lock()
	now := time.Now()
	var work []func()
	work = append(work, d.followUps(d.state.ledger.Advance(now))...)
	if op != nil {
		work = append(work, op(d.state.ledger, now)...)
		work = append(work, d.followUps(d.state.ledger.Advance(now))...)
	}
	next := d.state.ledger.NextDeadline()
	moved := !next.Equal(d.state.nextDeadline)
	d.state.nextDeadline = next
	d.state.Unlock()
	if moved {
		select {
		case d.deadlineMoved <- struct{}{}:
		default:
		}
	}
	for _, f := range work {
		f()
	}
}

// runDeadlineTimer updates the ledger at each of its deadlines.
func (d *Daemon) runDeadlineTimer() {
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		select {
		case <-d.ctx.Done():
			return
		case <-d.deadlineMoved:
		case <-timer.C:
			d.updateLedger(nil)
		}
		d.state.Lock()
		next := d.state.nextDeadline
		d.state.Unlock()
		if next.IsZero() {
			timer.Stop()
			continue
		}
		timer.Reset(max(0, time.Until(next)))
	}
}

// Kill ends the agent at once, as if its process had crashed: nothing is
// reported, and tasks run on until their leases expire. Further calls of Kill do
// nothing.
func (d *Daemon) Kill() {
	d.killOnce.Do(func() {
		d.cancel()
		d.engine.Close()
		d.goroutines.Wait()
		d.pool.Close()
		d.pausePool.Close()
		d.runtime.CloseIdleConnections()
	})
}

// Stop ends the agent gracefully: it refuses new work at once, announces that
// the agent is stopping, and waits until all attempts have ended. Shortly before the
// deadline of ctx, it evicts the preemptible attempts that still run: they may save
// a checkpoint, are stopped, and are reported as evicted. The error gives the number
// of attempts that had not ended when ctx ended. If there are none, Stop waits until
// reports are confirmed and answers are read, for at most UnreadAnswerTimeout.
func (d *Daemon) Stop(ctx context.Context) error {
	d.log.WithField("vm", d.cfg.VM.ID).Info("graceful stop of the agent begins")
	d.ring.Add(timeline.Event{Kind: "agentLeaving", VM: d.cfg.VM.ID})
	d.updateLedger(func(l *ledger.Ledger, _ time.Time) []func() {
		l.Leave()
		return nil
	})
	d.announceNow()
	err := d.waitForAttempts(ctx)
	if err == nil {
		d.waitForAnswers(ctx)
	}
	d.pool.Close()
	d.sendFinalAnnouncement(ctx)
	d.Kill()
	return err
}

// evictMargin is the time that is left for stopping evicted tasks and reporting
// their ends, after the time that they have for a checkpoint.
const evictMargin = time.Second

// waitForAttempts waits until the ledger holds no attempt. It evicts preemptible
// attempts so early that they can end before the deadline of ctx.
func (d *Daemon) waitForAttempts(ctx context.Context) error {
	evictionTime := make(<-chan time.Time)
	if deadline, ok := ctx.Deadline(); ok {
		timer := time.NewTimer(time.Until(deadline.Add(-d.cfg.Ledger.Checkpoint - evictMargin)))
		defer timer.Stop()
		evictionTime = timer.C
	}
	for {
		d.state.Lock()
		remaining, attemptGone := len(d.state.ledger.Holdings), d.state.attemptGone
		d.state.Unlock()
		if remaining == 0 {
			return nil
		}
		select {
		case <-ctx.Done():
			return fmt.Errorf("agentd: %d attempts still ran at the stop deadline: %w", remaining, ctx.Err())
		case <-evictionTime:
			d.updateLedger(func(l *ledger.Ledger, now time.Time) []func() {
				l.Evict(now)
				return nil
			})
		case <-attemptGone:
		}
	}
}

// waitForAnswers waits until every report is confirmed, every answer is read and
// every reply is sent, at most until the context ends or UnreadAnswerTimeout has
// passed.
func (d *Daemon) waitForAnswers(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, d.cfg.UnreadAnswerTimeout)
	defer cancel()
	for {
		pending, changed := d.answers.pending()
		if pending == 0 {
			return
		}
		select {
		case <-ctx.Done():
			d.log.WithFields(logrus.Fields{"vm": d.cfg.VM.ID, "answers": pending}).Warn("stopping the agent with unread answers or unconfirmed reports")
			return
		case <-changed:
		}
	}
}
