// Package stepentry implements the entry process for jobs that consist of
// steps. Several entries run at the same time. Each accepts jobs and answers
// requests for a job's phase from the stored records that it has applied. The
// entries elect one of them as the planner, which decides where tasks run.
//
// All durable state is in the platform's store: a job is accepted once its
// record is stored, and the start of a run is sent to an agent once the record
// that names the run's agent is stored. A planner holds a numbered term, and the
// store refuses its appends once it has seen a higher term. The planner keeps
// its scheduling state in package stepplan and has a session with each agent.
//
// Reads of the store may be slow or return nothing for a second. Entries
// therefore also send stored records to each other: an entry notifies the
// planner of jobs that it accepted or cancelled, and the planner notifies the
// entries that ping it of jobs that have ended. An entry whose configuration is older than
// the planner's gets it from the planner.
//
// The package owns four tables, each with its own mutex. The lock order is
// config, records, planner, plannerLink. No mutex is held while a goroutine
// waits for the reply of another process.
package stepentry

import (
	"cmp"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rcrowley/go-metrics"

	"celerypoint.example/celerypoint/access"
	"celerypoint.example/celerypoint/boottime"
	"celerypoint.example/celerypoint/connlimit"
	"celerypoint.example/celerypoint/connreport"
	"celerypoint.example/celerypoint/counters"
	"celerypoint.example/celerypoint/entry"
	"celerypoint.example/celerypoint/eventlog"
	"celerypoint.example/celerypoint/pause"
	"celerypoint.example/celerypoint/recordlog"
	"celerypoint.example/celerypoint/rpc"
	"celerypoint.example/celerypoint/stepfold"
	"celerypoint.example/celerypoint/stepplan"
	"celerypoint.example/celerypoint/workpool"
)

// Config configures an entry.
type Config struct {
	// Name is unique over all entries and the same after a restart.
	Name string
	Zone string
	// Listen is the IP address and port where agents and entries connect.
	Listen string
	// Advertise is the address that the entry gives to agents and to other
	// entries; empty means the address that it listens on.
	Advertise string
	// Topic is the topic of the store that holds the system's own records.
	// ConfigTopic is the topic to which operators write the configuration.
	Topic, ConfigTopic string
	Log                recordlog.Log
	// DecodeOperator decodes a record of ConfigTopic. It returns nil for a record that
	// has no meaning for entries.
	DecodeOperator func(recordlog.Record) (access.Record, error)
	Timing         stepplan.Timing
	Policy         stepplan.Policy
	// CPUShare is the share of a core that this process may use. Entries with little
	// become the planner only if no other entry does; 0 means enough.
	CPUShare float64
	// KeyGrace is the longest time for which an API key is accepted after the
	// operator removed it.
	KeyGrace time.Duration
	// MaxConfigAge is the longest time for which requests are decided by a version of the
	// configuration that is not known to be the newest. Later they are refused for now. It
	// bounds how long a replaced version has effect, whatever keeps this entry from reading
	// the newer one. 0 means 2 s.
	MaxConfigAge time.Duration
	// ShutdownDelay is how long Stop keeps the entry running after it has resigned
	// as planner, so that the load balancer, which finds the entry not ready, can
	// take it out of rotation. Values below closeConnsTime count as
	// closeConnsTime. Requests in progress can prolong the time.
	ShutdownDelay time.Duration
	// ConnectionLimits bounds what RPC connections use together; zero means
	// rpc.DefaultLimits.
	ConnectionLimits connlimit.Limits
}

const (
	// poolWorkers is the number of goroutines that handle the messages of agents
	// and entries. These goroutines never wait for another process. poolQueue
	// bounds the messages that wait for one of them.
	poolWorkers = 8
	poolQueue   = 65536
	// staleAfter is the age of currentAsOf at which the configuration or the
	// records count as out of date. Reads and confirmations keep it below 2 s while the
	// store or the planner answers.
	staleAfter = 2500 * time.Millisecond
)

// Daemon is an entry. New starts it, and Stop or Kill ends it.
type Daemon struct {
	cfg      Config
	bootID   string
	log      *eventlog.Log
	counters counters.Counters
	rpc      *rpc.Engine
	// pool handles messages without waiting; storePool appends and reads records for other
	// entries.
	pool, storePool *workpool.Pool
	// chooseTerm returns the number of the term to claim, given the number of the
	// term before. Tests replace it to make claims of the same term certain.
	chooseTerm func(before int64) int64

	config      configTable
	records     recordTable
	planner     plannerTable
	plannerLink plannerLinkTable

	// requests counts the requests of clients in progress.
	requests atomic.Int64
	// stopping makes Ready report false, so that the load balancer opens no new
	// connections, and keeps the entry from becoming the planner. closingConns
	// makes the HTTP server close a client's connection after its next response.
	stopping, closingConns atomic.Bool

	ctx        context.Context
	cancel     context.CancelFunc
	goroutines sync.WaitGroup
	killOnce   sync.Once
}

// Option configures a Daemon.
type Option func(*Daemon)

// WithOutput sets where log lines go; by default they are discarded.
func WithOutput(out io.Writer) Option {
	return func(d *Daemon) { d.log = eventlog.New(out, d.cfg.Name, d.counters.Registry) }
}

// New starts an entry. The entry can take requests once Ready reports true.
func New(c Config, options ...Option) (*Daemon, error) {
	d := &Daemon{
		cfg: c, bootID: strconv.FormatUint(rand.Uint64(), 36), counters: counters.New(),
		chooseTerm: randomTerm,
		records:    recordTable{state: stepfold.New(), applied: make(chan struct{}, 1)},
		config:     configTable{evacuations: map[string]evacuation{}, wake: make(chan struct{}, 1)},
		planner: plannerTable{
			timing: c.Timing, policy: c.Policy, links: map[string]*agentLink{}, watchers: map[*rpc.Conn]struct{}{},
			dialed: make(chan struct{}, 1), passRequested: make(chan struct{}, 1),
		},
	}
	d.config.setMaxAge(c)
	for _, o := range options {
		o(d)
	}
	if d.log == nil {
		d.log = eventlog.New(io.Discard, c.Name, d.counters.Registry)
	}
	d.ctx, d.cancel = context.WithCancel(context.Background())
	d.pool = workpool.New(poolWorkers, poolQueue, workpool.WithPanicHandler(d.poolPanicked))
	d.storePool = workpool.New(storeWorkers, storeQueue, workpool.WithPanicHandler(d.poolPanicked))
	engine, err := rpc.New(d.handle, rpc.WithListen(c.Listen), rpc.WithLimits(cmp.Or(c.ConnectionLimits, rpc.DefaultLimits)), rpc.WithRefusalHandler(func(r connlimit.Refusal) { d.connReport().Refused("rpc", r) }), rpc.WithPanicHandler(func(r *rpc.Request, v any, stack []byte) {
		d.logPanic(r.Method+" from "+r.Conn.Remote(), v, stack)
	}))
	if err != nil {
		d.pool.Close()
		d.storePool.Close()
		return nil, fmt.Errorf("entry %s: %w", c.Name, err)
	}
	d.rpc = engine
	d.registerGauges()
	d.log.Add("entryStarted", eventlog.Fields{"boot": d.bootID, "listen": engine.Address()})
	d.goroutines.Go(func() { d.followConfig(d.ctx) })
	d.goroutines.Go(func() { d.followRecords(d.ctx) })
	d.goroutines.Go(func() { d.elect(d.ctx) })
	return d, nil
}

// address is where agents and other entries connect.
func (d *Daemon) address() string { return cmp.Or(d.cfg.Advertise, d.rpc.Address()) }

func (d *Daemon) connReport() connreport.Report {
	return connreport.Report{Counters: d.counters, Log: d.log}
}

// Metrics is the registry of counters.
func (d *Daemon) Metrics() metrics.Registry { return d.counters.Registry }

// registerGauges registers the metrics that are computed when they are read.
func (d *Daemon) registerGauges() {
	d.counters.Gauge("configurationAgeMs", func() int64 {
		d.config.mu.Lock()
		defer d.config.mu.Unlock()
		return boottime.Now().Sub(d.config.currentAsOf).Milliseconds()
	})
	d.counters.Gauge("recordsAgeMs", func() int64 {
		d.records.mu.Lock()
		defer d.records.mu.Unlock()
		return boottime.Now().Sub(d.records.currentAsOf).Milliseconds()
	})
	d.connReport().AddGauges("rpc", d.rpc.Usage)
	d.counters.Gauge("agentsInTouch", func() int64 { return int64(d.AttachedAgents()) })
	d.counters.Gauge("interferingKinds", func() int64 {
		found, _, _, _ := d.Neighbours()
		return int64(len(found))
	})
}

// Reload applies KeyGrace, MaxConfigAge and Timing of new settings at once. All other settings
// take effect only after a restart. cause is what led to the reload, for the log.
func (d *Daemon) Reload(next Config, cause string) {
	d.config.mu.Lock()
	d.config.setMaxAge(next)
	d.config.mu.Unlock()
	d.planner.mu.Lock()
	d.planner.timing, d.planner.policy = next.Timing, next.Policy
	if d.planner.scheduler != nil {
		d.planner.scheduler.Timing = next.Timing
		d.planner.scheduler.SetPolicy(next.Policy)
	}
	d.planner.mu.Unlock()
	d.LogReload(cause, nil)
}

// LogReload logs and counts that the settings were read again. err is the error
// of reading them, after which the old settings stay in force.
func (d *Daemon) LogReload(cause string, err error) {
	fields := eventlog.Fields{"cause": cause, "outcome": "valid"}
	if err != nil {
		fields["outcome"] = err.Error()
	}
	d.counters.Count("settingsReloaded")
	d.log.Add("settingsReloaded", fields)
}

// poolPanicked handles a panic in the handling of a message. The scheduler may be half
// changed, so that this entry ends its term; the next planner builds its own from the
// stored records. All other tables are changed in single steps.
func (d *Daemon) poolPanicked(value any, stack []byte) {
	d.logPanic("message of an agent or an entry", value, stack)
	d.planner.mu.Lock()
	defer d.planner.mu.Unlock()
	d.endTerm("unexpected error in the handling of a message")
}

// logPanic counts and logs a recovered panic. during says what was handled.
func (d *Daemon) logPanic(during string, value any, stack []byte) {
	d.counters.Count("panicRecovered")
	d.log.Add("panicRecovered", eventlog.Fields{"during": during, "cause": fmt.Sprint(value), "stack": string(stack)})
}

// handle hands the messages of agents and entries to the goroutine pool.
func (d *Daemon) handle(r *rpc.Request) {
	var err error
	switch r.Method {
	case entry.MethodReport:
		err = d.pool.Submit(func() { d.handleReport(r) })
	case entry.MethodPingPlanner:
		err = d.pool.Submit(func() { d.handlePing(r) })
	case entry.MethodJobPhase:
		err = d.storePool.Submit(func() { d.handleJobPhase(r) })
	case entry.MethodPendingJobs:
		err = d.pool.Submit(func() { d.handlePendingJobs(r) })
	case entry.MethodConfiguration:
		err = d.pool.Submit(func() { d.handleConfiguration(r) })
	case entry.MethodRecordStored:
		err = d.pool.Submit(func() { d.handleRecordStored(r) })
	case entry.MethodStoreRecord:
		err = d.storePool.Submit(func() { d.handleStoreRecord(r) })
	case entry.MethodPlannerStuck:
		err = d.pool.Submit(func() { d.handlePlannerStuck(r) })
	default:
		err = fmt.Errorf("unknown method %q", r.Method)
	}
	if err != nil {
		r.Fail(err)
	}
}

// Timing of a graceful stop.
const (
	// closeConnsTime is how long before the end of ShutdownDelay the entry
	// begins to close clients' connections after their next response.
	closeConnsTime = 1200 * time.Millisecond
	// idleTime is how long there must have been no request in progress before
	// the entry stops. It is checked every idleCheckInterval.
	idleTime          = 100 * time.Millisecond
	idleCheckInterval = 20 * time.Millisecond
)

// Stop shuts the entry down gracefully. It resigns as planner, gives the load
// balancer time to stop sending connections, and waits for requests in progress
// to end. When ctx ends first, it stops at once and returns an error if requests
// are still in progress. It does nothing if the entry is already stopping.
func (d *Daemon) Stop(ctx context.Context) error {
	if d.stopping.Swap(true) {
		return nil
	}
	d.log.Add("entryStopping", eventlog.Fields{"boot": d.bootID})
	d.resignTerm(ctx)
	pause.For(ctx, d.cfg.ShutdownDelay-closeConnsTime)
	d.closingConns.Store(true)
	pause.For(ctx, closeConnsTime-idleTime)
	idle := time.Duration(0)
	for idle < idleTime && ctx.Err() == nil {
		idle += idleCheckInterval
		if d.requests.Load() > 0 {
			idle = 0
		}
		pause.For(ctx, idleCheckInterval)
	}
	d.Kill()
	if n := d.requests.Load(); n > 0 {
		return fmt.Errorf("entry %s: stopped with %d requests in progress: %w", d.cfg.Name, n, ctx.Err())
	}
	return nil
}

// Kill stops the entry at once, as a crash would: it does not resign as planner
// and does not wait for requests in progress. Stop calls it at the end; tests call
// it to simulate a crash.
func (d *Daemon) Kill() {
	d.stopping.Store(true)
	d.closingConns.Store(true)
	d.killOnce.Do(func() {
		d.cancel()
		d.rpc.Close()
		d.goroutines.Wait()
		d.pool.Close()
		d.storePool.Close()
		d.log.Add("entryStopped", eventlog.Fields{"boot": d.bootID})
		d.log.Close()
	})
}

// AttachedAgents returns the number of agents that have a session with this
// entry and have reported a worker. It returns -1 while this entry is not the
// planner.
func (d *Daemon) AttachedAgents() int {
	d.planner.mu.Lock()
	defer d.planner.mu.Unlock()
	if d.planner.scheduler == nil {
		return -1
	}
	attached := 0
	for _, vm := range d.planner.scheduler.VMs {
		if vm.Attached && vm.Worker != "" {
			attached++
		}
	}
	return attached
}
