package entryd

import (
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rcrowley/go-metrics"
	"github.com/sirupsen/logrus"

	"celerypoint.example/celerypoint/configfold"
	"celerypoint.example/celerypoint/entry"
	"celerypoint.example/celerypoint/estimate"
	"celerypoint.example/celerypoint/gang"
	"celerypoint.example/celerypoint/jobfold"
	"celerypoint.example/celerypoint/platformlog"
	"celerypoint.example/celerypoint/quarantine"
	"celerypoint.example/celerypoint/retrybudget"
	"celerypoint.example/celerypoint/rpc"
	"celerypoint.example/celerypoint/timeline"
	"celerypoint.example/celerypoint/wire"
	"celerypoint.example/celerypoint/workpool"
)

const (
	// tickEvery is how often deadlines are looked at. It bounds how much later
	// than a deadline something happens.
	tickEvery = 100 * time.Millisecond
	// logWorkers bounds the calls that wait for the log; their appends are
	// joined, so many may wait at once.
	logWorkers = 64
	queueDepth = 65536
	// orderTimeout bounds the wait for an agent's reply to a simple order.
	orderTimeout = 2 * time.Second
)

// Daemon is a running entry.
type Daemon struct {
	c       Config
	bootID  string
	logger  *logrus.Logger
	metrics metrics.Registry
	ring    *timeline.Ring
	log     *platformlog.Client
	rpc     *rpc.Engine
	pool    *workpool.Pool
	logPool *workpool.Pool

	config configTable
	peers  peerTable
	vms    vmTable
	jobs   jobTable

	// kicked asks for a planning pass at the next tick; planning says that
	// one is in progress.
	kicked   atomic.Bool
	planning atomic.Bool
	planDue  atomic.Int64
	ticking  atomic.Bool
	leaving  atomic.Bool
	// refusing follows leaving once the load balancer has had time to notice.
	refusing atomic.Bool
	// viewCache holds the newest copy of the views; see recentViews.
	viewCache atomic.Pointer[cachedViews]
	// requests counts callers that wait for an answer; shorts counts short
	// requests that have not ended.
	requests, shorts atomic.Int64
	assignDue        atomic.Int64
	startedAt        time.Time

	ctx    context.Context
	cancel context.CancelFunc
	done   sync.WaitGroup
	// killOnce guards the end.
	killOnce sync.Once
}

// New starts an entry. It returns once the entry listens for agents and peers;
// see Ready for when it takes requests.
func New(c Config, options ...Option) (*Daemon, error) {
	if err := c.check(); err != nil {
		return nil, err
	}
	quiet := logrus.New()
	quiet.SetOutput(io.Discard)
	d := &Daemon{
		c:       c,
		bootID:  strconv.FormatUint(rand.Uint64(), 36),
		logger:  quiet,
		metrics: metrics.NewRegistry(),
		ring:    timeline.NewRing(c.ID),
		log:     platformlog.New(c.LogURL),
		pool:    workpool.New(c.Workers, queueDepth),
		logPool: workpool.New(logWorkers, queueDepth),
		config:  configTable{state: configfold.New(), changed: make(chan struct{})},
		peers:   peerTable{byID: map[string]*peer{}, seeds: map[string]bool{}},
		vms:     vmTable{byID: map[string]*target{}},
		jobs: jobTable{
			fold: jobfold.New(), changed: make(chan struct{}), byID: map[string]*running{},
			attempts: map[string]*attempt{}, holders: map[string]string{},
			model: estimate.New(), faults: quarantine.New(), budget: retrybudget.New(),
		},
		startedAt: time.Now(),
	}
	d.ctx, d.cancel = context.WithCancel(context.Background())
	for _, o := range options {
		o(d)
	}
	for _, s := range c.Seeds {
		d.peers.seeds[s] = false
	}
	engine, err := rpc.New(d.handle, rpc.WithListen(c.RPCAddress))
	if err != nil {
		d.pool.Close()
		d.logPool.Close()
		return nil, fmt.Errorf("entry %s: %w", c.ID, err)
	}
	d.rpc = engine
	d.registerTraffic()
	d.done.Go(d.clock)
	d.done.Go(d.tailConfig)
	d.done.Go(d.tailJobs)
	d.logger.WithFields(logrus.Fields{"entry": c.ID, "rpc": engine.Address()}).Info("entry started")
	d.ring.Add(timeline.Event{Kind: "entryStarted"})
	return d, nil
}

// registerTraffic registers gauges of the bytes over all connections to agents
// and peers since the start.
func (d *Daemon) registerTraffic() {
	metrics.NewRegisteredFunctionalGauge("rpcBytesReceived", d.metrics, func() int64 { n, _ := d.rpc.Traffic(); return n })
	metrics.NewRegisteredFunctionalGauge("rpcBytesSent", d.metrics, func() int64 { _, n := d.rpc.Traffic(); return n })
}

// RPCAddress is the address that agents and peers connect to.
func (d *Daemon) RPCAddress() string { return d.rpc.Address() }

// Ring holds this entry's own events.
func (d *Daemon) Ring() *timeline.Ring { return d.ring }

// Metrics is the registry of counters.
func (d *Daemon) Metrics() metrics.Registry { return d.metrics }

// Stop stops gracefully: it reports not ready at once, gives the load balancer
// time to notice, waits for the requests that it holds, hands its gangs to the
// next planner, and ends. When ctx ends first, it stops at once and says what
// was left.
func (d *Daemon) Stop(ctx context.Context) error {
	if d.leaving.Swap(true) {
		return nil
	}
	d.logger.WithField("entry", d.c.ID).Info("entry stopping")
	d.ring.Add(timeline.Event{Kind: "entryStopping"})
	d.helloAll(time.Now())
	err := errors.Join(d.drainRequests(ctx), d.handOver(ctx))
	d.Kill()
	return err
}

func (d *Daemon) drainRequests(ctx context.Context) error {
	balancer := time.NewTimer(d.c.BalancerDelay)
	defer balancer.Stop()
	select {
	case <-balancer.C:
	case <-ctx.Done():
	}
	d.refusing.Store(true)
	ticker := time.NewTicker(tickEvery)
	defer ticker.Stop()
	for {
		requests, shorts, attempts := d.requests.Load(), d.shorts.Load(), d.heldAttempts()
		if requests == 0 && shorts == 0 && attempts == 0 {
			return nil
		}
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return fmt.Errorf("entry %s: stopped with %d requests, %d short jobs and %d attempts in progress: %w", d.c.ID, requests, shorts, attempts, ctx.Err())
		}
	}
}

// heldAttempts counts the attempts that still need this entry. When no other
// entry can take over, running attempts are left to expire with their lease.
func (d *Daemon) heldAttempts() int {
	alone := len(d.liveEntries(time.Now())) == 0
	d.jobs.mu.Lock()
	defer d.jobs.mu.Unlock()
	if alone {
		n := 0
		for _, a := range d.jobs.attempts {
			if a.Phase != gang.PhaseRunning {
				n++
			}
		}
		return n
	}
	return len(d.jobs.attempts)
}

// Kill stops at once, as a crash would. Tests use it; Stop ends with it.
func (d *Daemon) Kill() {
	d.leaving.Store(true)
	d.refusing.Store(true)
	// A second Shutdown of an nbio engine panics.
	d.killOnce.Do(func() {
		d.cancel()
		d.rpc.Close()
		d.done.Wait()
		d.pool.Close()
		d.logPool.Close()
	})
}

// clock turns time into work for the pool.
func (d *Daemon) clock() {
	ticker := time.NewTicker(tickEvery)
	defer ticker.Stop()
	for {
		select {
		case <-d.ctx.Done():
			return
		case <-ticker.C:
			if d.ticking.CompareAndSwap(false, true) {
				d.submit(func() {
					defer d.ticking.Store(false)
					d.tick(time.Now())
				})
			}
		}
	}
}

func (d *Daemon) tick(now time.Time) {
	d.tickPeers(now)
	d.tickVMs(now)
	d.tickAttempts(now)
	d.tickSnapshots(now)
	d.tickJobs(now)
	if d.kicked.Swap(false) || now.UnixMilli() >= d.planDue.Load() {
		d.planDue.Store(now.Add(planEvery).UnixMilli())
		d.startPlanning()
	}
}

// submit queues work on the pool. When the queue is full the work runs on the
// calling goroutine, which slows the source down instead of losing an event.
func (d *Daemon) submit(f func()) {
	switch err := d.pool.Submit(f); err {
	case nil:
	case workpool.ErrFull:
		d.count("poolFull")
		f()
	default:
	}
}

// submitLog queues work that waits for the log.
func (d *Daemon) submitLog(f func()) {
	if err := d.logPool.Submit(f); err == workpool.ErrFull {
		d.count("logPoolFull")
		f()
	}
}

func (d *Daemon) count(name string) {
	metrics.GetOrRegisterCounter(name, d.metrics).Inc(1)
}

// handle takes the messages of agents and peers.
func (d *Daemon) handle(r *rpc.Request) {
	switch r.Method {
	case entry.MethodAnnounce:
		d.submit(func() { rpc.Serve(r, d.announced) })
	case entry.MethodTaskEnded:
		d.submit(func() { rpc.Serve(r, d.taskEnded) })
	case entry.MethodPeerHello:
		d.submit(func() { rpc.Serve(r, d.peerHello) })
	case entry.MethodPeerConfig:
		d.submit(func() { rpc.Serve(r, d.peerConfig) })
	case entry.MethodPeerJob:
		d.submit(func() { d.peerJob(r) })
	case entry.MethodPeerAdopt:
		d.submit(func() { rpc.Serve(r, d.peerAdopt) })
	case entry.MethodPeerEvents:
		d.submit(func() { rpc.Serve(r, d.peerEvents) })
	default:
		r.Fail(fmt.Errorf("unknown method %q", r.Method))
	}
}

// send sends an order and runs done on the pool with the decoded result.
func send[R any](d *Daemon, conn *rpc.Conn, method string, params any, deadline time.Time, done func(R, error)) {
	conn.Send(method, params, deadline, func(raw []byte, err error) {
		d.submit(func() {
			var result R
			if err == nil {
				err = wire.Decode(raw, &result)
			}
			done(result, err)
		})
	})
}
