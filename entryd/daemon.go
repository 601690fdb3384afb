package entryd

import (
	"cmp"
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
	"celerypoint.example/celerypoint/connlimit"
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
	// tickInterval is the interval at which deadlines are checked. An expired
	// deadline is noticed up to that much later, or more when a tick takes longer.
	tickInterval = 100 * time.Millisecond
	// logWorkers bounds the calls that wait for the log at the same time. It
	// can be high because the log client combines concurrent appends into one
	// request.
	logWorkers = 64
	// queueDepth is the capacity of the queue of each pool.
	queueDepth = 65536
	// callTimeout bounds the wait for the reply to a call that an agent or a
	// peer answers at once.
	callTimeout = 2 * time.Second
)

// Daemon is a running entry.
type Daemon struct {
	cfg Config
	// bootID is a random ID of this run of the process.
	bootID  string
	logger  *logrus.Logger
	metrics metrics.Registry
	// ring holds the newest events of this process. Operators read them merged
	// with those of the other processes, as a timeline.
	ring *timeline.Ring
	log  *platformlog.Client
	rpc  *rpc.Engine
	// pool runs the work that does not wait for the log, logPool the rest.
	pool    *workpool.Pool
	logPool *workpool.Pool

	// The shared tables, in their lock order.
	config configTable
	peers  peerTable
	vms    vmTable
	jobs   jobTable

	// planRequested asks for a planning pass at the next tick. planning says
	// that a pass is in progress.
	planRequested atomic.Bool
	planning      atomic.Bool
	// nextPlanAt is when the next pass starts although none is requested, in
	// Unix milliseconds.
	nextPlanAt atomic.Int64
	// tickRunning says that the work of a tick is queued or in progress.
	tickRunning atomic.Bool
	// leaving says that the entry is stopping: it is not ready and does not
	// plan. It still accepts requests until refusing is set.
	leaving atomic.Bool
	// refusing says that the entry refuses new requests. Stop sets it
	// BalancerDelay after leaving, Kill at the same time.
	refusing atomic.Bool
	// viewCache holds the newest copy of the VM views; see recentVMViews.
	viewCache atomic.Pointer[cachedViews]
	// pendingCalls counts the API calls in progress that a graceful stop waits
	// for. pendingShorts counts the short requests without an outcome.
	pendingCalls, pendingShorts atomic.Int64
	// assignAt is when the planner computes the guarantee assignment next, in
	// Unix milliseconds; see updateAssignment. It is 0 when neither the
	// configuration nor the VMs have changed since the last time.
	assignAt  atomic.Int64
	startedAt time.Time

	ctx    context.Context
	cancel context.CancelFunc
	// wg counts the goroutines that New starts.
	wg sync.WaitGroup
	// refusals is taken alone.
	refusals refusalTable
	// killOnce makes sure that the daemon is shut down only once.
	killOnce sync.Once
}

// New starts an entry. When it returns, the entry listens for agents and peers.
// Ready reports whether the entry can serve callers.
func New(c Config, options ...Option) (*Daemon, error) {
	if err := c.validate(); err != nil {
		return nil, err
	}
	discard := logrus.New()
	discard.SetOutput(io.Discard)
	d := &Daemon{
		cfg:     c,
		bootID:  strconv.FormatUint(rand.Uint64(), 36),
		logger:  discard,
		metrics: metrics.NewRegistry(),
		ring:    timeline.NewRing(c.ID),
		log:     platformlog.New(c.LogURL),
		pool:    workpool.New(c.Workers, queueDepth),
		logPool: workpool.New(logWorkers, queueDepth),
		config:  configTable{state: configfold.New(), changed: make(chan struct{})},
		peers:   peerTable{byID: map[string]*peer{}, seeds: map[string]bool{}},
		vms:     vmTable{byID: map[string]*vmState{}},
		jobs: jobTable{
			logState: jobfold.New(), changed: make(chan struct{}), byID: map[string]*trackedJob{},
			attempts: map[string]*attempt{}, attemptByJob: map[string]string{},
			runTimes: estimate.New(), failures: quarantine.New(), retryBudget: retrybudget.New(),
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
	engine, err := rpc.New(d.handleRequest, rpc.WithListen(c.RPCAddress), rpc.WithLimits(cmp.Or(c.ConnectionLimits, rpc.DefaultLimits)),
		rpc.WithRefusalHandler(func(r connlimit.Refusal) { d.ConnectionRefused("rpc", r) }))
	if err != nil {
		d.pool.Close()
		d.logPool.Close()
		return nil, fmt.Errorf("entry %s: %w", c.ID, err)
	}
	d.rpc = engine
	d.registerTrafficMetrics()
	d.wg.Go(d.runTicker)
	d.wg.Go(d.tailConfig)
	d.wg.Go(d.tailJobs)
	d.logger.WithFields(logrus.Fields{"entry": c.ID, "rpc": engine.Address()}).Info("entry started")
	d.ring.Add(timeline.Event{Kind: "entryStarted"})
	return d, nil
}

// registerTrafficMetrics registers gauges of the bytes received from and sent to
// agents and peers since the start, over all connections.
func (d *Daemon) registerTrafficMetrics() {
	metrics.NewRegisteredFunctionalGauge("rpcBytesReceived", d.metrics, func() int64 { n, _ := d.rpc.Traffic(); return n })
	metrics.NewRegisteredFunctionalGauge("rpcBytesSent", d.metrics, func() int64 { _, n := d.rpc.Traffic(); return n })
}

// RPCAddress returns the address on which the entry listens for agents and
// peers.
func (d *Daemon) RPCAddress() string { return d.rpc.Address() }

// Ring returns the newest events of this entry. Events of other processes are
// not included.
func (d *Daemon) Ring() *timeline.Ring { return d.ring }

// Metrics returns the registry of the counters and gauges.
func (d *Daemon) Metrics() metrics.Registry { return d.metrics }

// Stop stops the entry gracefully. The entry reports that it is not ready and
// gives the load balancer time to notice. Then it refuses new requests, waits
// for the pending ones, leaves its attempts to the next planner, hands the outcomes
// of short requests over to a peer, and shuts down. When ctx ends first, Stop
// shuts down at once and returns an error that says what was in progress. If the
// entry is already stopping or stopped, Stop returns nil at once.
func (d *Daemon) Stop(ctx context.Context) error {
	if d.leaving.Swap(true) {
		return nil
	}
	d.logger.WithField("entry", d.cfg.ID).Info("entry stopping")
	d.ring.Add(timeline.Event{Kind: "entryStopping"})
	d.sendHellos(time.Now())
	err := errors.Join(d.drainRequests(ctx), d.handOver(ctx))
	d.Kill()
	return err
}

// drainRequests waits for BalancerDelay, refuses new requests from then on, and
// waits until no request and no attempt depends on this entry, or until ctx ends.
func (d *Daemon) drainRequests(ctx context.Context) error {
	balancerTimer := time.NewTimer(d.cfg.BalancerDelay)
	defer balancerTimer.Stop()
	select {
	case <-balancerTimer.C:
	case <-ctx.Done():
	}
	d.refusing.Store(true)
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	for {
		requests, shorts, attempts := d.pendingCalls.Load(), d.pendingShorts.Load(), d.unfinishedAttempts()
		if requests == 0 && shorts == 0 && attempts == 0 {
			return nil
		}
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return fmt.Errorf("entry %s: stopped with %d calls, %d short requests and %d attempts in progress: %w", d.cfg.ID, requests, shorts, attempts, ctx.Err())
		}
	}
}

// unfinishedAttempts counts the attempts for which a stopping entry has to wait.
// When another entry can take attempts over, all of them count until it has done
// so. Otherwise those that run do not count; they stop on their VMs when their
// leases expire.
func (d *Daemon) unfinishedAttempts() int {
	alone := len(d.eligiblePeers(time.Now())) == 0
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

// Kill stops the entry without waiting for requests, like a crash. Tests use it,
// and Stop calls it last.
func (d *Daemon) Kill() {
	d.leaving.Store(true)
	d.refusing.Store(true)
	// rpc.Engine uses an engine of package nbio, which panics when it is shut
	// down twice.
	d.killOnce.Do(func() {
		d.cancel()
		d.rpc.Close()
		d.wg.Wait()
		d.pool.Close()
		d.logPool.Close()
	})
}

// runTicker queues a tick on the pool every tickInterval, unless the previous
// tick has not finished, until the daemon stops.
func (d *Daemon) runTicker() {
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	for {
		select {
		case <-d.ctx.Done():
			return
		case <-ticker.C:
			if d.tickRunning.CompareAndSwap(false, true) {
				d.runOnPool(func() {
					defer d.tickRunning.Store(false)
					d.tick(time.Now())
				})
			}
		}
	}
}

// tick does the periodic work, and starts a planning pass when one is requested
// or due.
func (d *Daemon) tick(now time.Time) {
	d.tickPeers(now)
	d.tickVMs(now)
	d.tickAttempts(now)
	d.tickSnapshots(now)
	d.tickJobs(now)
	if d.planRequested.Swap(false) || now.UnixMilli() >= d.nextPlanAt.Load() {
		d.nextPlanAt.Store(now.Add(maxPlanInterval).UnixMilli())
		d.startPlanning()
	}
}

// runOnPool queues a function on the pool. When the queue is full, the function
// runs on the calling goroutine, so that the caller slows down and the function is
// not lost. After Kill has closed the pool, the function is dropped.
func (d *Daemon) runOnPool(f func()) {
	switch err := d.pool.Submit(f); err {
	case nil:
	case workpool.ErrFull:
		d.count("poolFull")
		f()
	default:
	}
}

// runOnLogPool does the same as runOnPool on logPool. It is for functions that may
// block for long because they wait for the log or connect to a peer.
func (d *Daemon) runOnLogPool(f func()) {
	if err := d.logPool.Submit(f); err == workpool.ErrFull {
		d.count("logPoolFull")
		f()
	}
}

// count adds 1 to the counter of that name in the metrics registry, and registers
// the counter first if it is not there.
func (d *Daemon) count(name string) {
	metrics.GetOrRegisterCounter(name, d.metrics).Inc(1)
}

// handleRequest queues the handler of an RPC request from an agent or a peer.
func (d *Daemon) handleRequest(r *rpc.Request) {
	switch r.Method {
	case entry.MethodAnnounce:
		d.runOnPool(func() { rpc.Serve(r, d.handleAnnounce) })
	case entry.MethodTaskEnded:
		d.runOnPool(func() { rpc.Serve(r, d.handleTaskEnded) })
	case entry.MethodPeerHello:
		d.runOnPool(func() { rpc.Serve(r, d.handlePeerHello) })
	case entry.MethodPeerConfig:
		d.runOnPool(func() { rpc.Serve(r, d.handlePeerConfig) })
	case entry.MethodPeerJob:
		d.runOnPool(func() { d.handlePeerJob(r) })
	case entry.MethodPeerAdopt:
		d.runOnPool(func() { rpc.Serve(r, d.handlePeerAdopt) })
	case entry.MethodPeerEvents:
		d.runOnPool(func() { rpc.Serve(r, d.handlePeerEvents) })
	default:
		r.Fail(fmt.Errorf("unknown method %q", r.Method))
	}
}

// send calls an RPC method and does not wait for the reply. It runs done on the
// pool with the decoded result or the error.
func send[R any](d *Daemon, conn *rpc.Conn, method string, params any, deadline time.Time, done func(R, error)) {
	conn.CallAsync(method, params, deadline, func(raw []byte, err error) {
		d.runOnPool(func() {
			var result R
			if err == nil {
				err = wire.Decode(raw, &result)
			}
			done(result, err)
		})
	})
}
