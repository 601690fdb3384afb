// Package stepentry is an entry for jobs of steps. Every entry accepts jobs,
// answers for their phase from the records that it folds, and can plan; one of
// them does.
//
// What lasts is in the platform's store: a job is accepted once its record is
// stored, and a run is ordered once the record that names its place is stored.
// The planner of a term is fenced by the store. It keeps the board of package
// stepplan, and agents follow it through sessions.
//
// Records that are stored are also told directly: an entry tells the planner
// what it accepted, and the planner tells all entries which jobs are over. The
// store's reads may be slow or silent for a second.
//
// The package owns four tables. Lock order: config, records, planner, uplink;
// none is held during a call to another process.
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

// Config is what an entry needs.
type Config struct {
	// Name is unique over all entries and the same after a restart.
	Name string
	Zone string
	// Listen is the IP address and port where agents and entries connect.
	Listen string
	// Advertise is the address that others are told, when it is not Listen.
	Advertise string
	// Topic is where the system's records are; ConfigTopic is where operators
	// write.
	Topic, ConfigTopic string
	Log                recordlog.Log
	// DecodeConfig reads a record of ConfigTopic; it reports false for a record
	// that is not a configuration.
	DecodeConfig func(recordlog.Record) (access.Config, bool, error)
	Timing       stepplan.Timing
	// KeyGrace is the longest time that a key is honoured after the operator
	// took it away.
	KeyGrace time.Duration
	// ShutdownDelay is how long a stop serves on, so that the load balancer can
	// notice.
	ShutdownDelay time.Duration
}

const (
	// poolWorkers carry out reports and pings; they wait for nothing.
	poolWorkers = 8
	poolQueue   = 65536
	// staleAfter is when records that could not be read count as out of date.
	// A read that finds nothing takes up to 0.7 s.
	staleAfter = 2 * time.Second
)

// Daemon is a running entry.
type Daemon struct {
	c        Config
	boot     string
	log      *eventlog.Log
	counters counters.Counters
	rpc      *rpc.Engine
	pool     *workpool.Pool
	// drawTerm chooses the term of a claim after an earlier one.
	drawTerm func(before int64) int64

	config  configTable
	records recordTable
	planner plannerTable
	uplink  uplinkTable

	// requests counts the callers' requests in progress.
	requests atomic.Int64
	// leaving takes the entry out of the load balancer; closing also closes
	// connections.
	leaving, closing atomic.Bool

	ctx    context.Context
	cancel context.CancelFunc
	done   sync.WaitGroup
	once   sync.Once
}

// Option changes how New sets a Daemon up.
type Option func(*Daemon)

// WithOutput sets where log lines go; by default they are discarded.
func WithOutput(out io.Writer) Option {
	return func(d *Daemon) { d.log = eventlog.New(out, d.c.Name, d.counters.Registry) }
}

// New starts an entry; see Ready for when it takes requests.
func New(c Config, options ...Option) (*Daemon, error) {
	d := &Daemon{
		c: c, boot: strconv.FormatUint(rand.Uint64(), 36), counters: counters.New(), pool: workpool.New(poolWorkers, poolQueue),
		drawTerm: randomTerm,
		records:  recordTable{state: stepfold.New(), advanced: make(chan struct{}, 1)},
		config:   configTable{keyGrace: c.KeyGrace},
		planner: plannerTable{
			timing: c.Timing, links: map[string]*agentLink{}, watchers: map[*rpc.Conn]struct{}{}, due: make(chan struct{}, 1),
		},
	}
	for _, o := range options {
		o(d)
	}
	if d.log == nil {
		d.log = eventlog.New(io.Discard, c.Name, d.counters.Registry)
	}
	d.ctx, d.cancel = context.WithCancel(context.Background())
	engine, err := rpc.New(d.handle, rpc.WithListen(c.Listen))
	if err != nil {
		d.pool.Close()
		return nil, fmt.Errorf("entry %s: %w", c.Name, err)
	}
	d.rpc = engine
	d.registerGauges()
	d.log.Add("entryStarted", eventlog.Fields{"boot": d.boot, "listen": engine.Address()})
	d.done.Go(func() { d.followConfig(d.ctx) })
	d.done.Go(func() { d.followRecords(d.ctx) })
	d.done.Go(func() { d.elect(d.ctx) })
	return d, nil
}

// address is where others connect.
func (d *Daemon) address() string { return cmp.Or(d.c.Advertise, d.rpc.Address()) }

// Metrics is the registry of counters.
func (d *Daemon) Metrics() metrics.Registry { return d.counters.Registry }

// registerGauges registers what is read when metrics are asked for.
func (d *Daemon) registerGauges() {
	d.counters.Gauge("configurationAgeMs", func() int64 {
		d.config.mu.Lock()
		defer d.config.mu.Unlock()
		return boottime.Now().Sub(d.config.provenAt).Milliseconds()
	})
	d.counters.Gauge("recordsAgeMs", func() int64 {
		d.records.mu.Lock()
		defer d.records.mu.Unlock()
		return boottime.Now().Sub(d.records.provenAt).Milliseconds()
	})
	d.counters.Gauge("agentsInTouch", func() int64 { return int64(d.AttachedAgents()) })
}

// Reload puts new bounds in force. Addresses, names and the time for a stop are
// in force from the next start on.
func (d *Daemon) Reload(next Config, cause string) {
	d.config.mu.Lock()
	d.config.keyGrace = next.KeyGrace
	d.config.mu.Unlock()
	d.planner.mu.Lock()
	d.planner.timing = next.Timing
	if d.planner.board != nil {
		d.planner.board.Timing = next.Timing
	}
	d.planner.mu.Unlock()
	d.LogReload(cause, nil)
}

// LogReload records that the settings were read again; they stay as they are
// after an error.
func (d *Daemon) LogReload(cause string, err error) {
	fields := eventlog.Fields{"cause": cause, "outcome": "valid"}
	if err != nil {
		fields["outcome"] = err.Error()
	}
	d.counters.Count("settingsReloaded")
	d.log.Add("settingsReloaded", fields)
}

// handle takes the messages of agents and entries.
func (d *Daemon) handle(r *rpc.Request) {
	var err error
	switch r.Method {
	case entry.MethodReport:
		received := boottime.Now()
		err = d.pool.Submit(func() { d.reported(r, received) })
	case entry.MethodPingPlanner:
		err = d.pool.Submit(func() { d.pinged(r) })
	case entry.MethodRecordStored:
		err = d.pool.Submit(func() { d.recordStored(r) })
	default:
		err = fmt.Errorf("unknown method %q", r.Method)
	}
	if err != nil {
		r.Fail(err)
	}
}

// Phases of a stop.
const (
	// closeTime is how long before the end connections are closed as they are
	// answered.
	closeTime = 1200 * time.Millisecond
	// quietTime is how long no request is in progress before the end.
	quietTime = 100 * time.Millisecond
	stopTick  = 20 * time.Millisecond
)

// Stop stops gracefully: another entry plans, the load balancer has time to
// notice, and requests in progress end. When ctx ends first, it stops at once.
func (d *Daemon) Stop(ctx context.Context) error {
	if d.leaving.Swap(true) {
		return nil
	}
	d.log.Add("entryStopping", eventlog.Fields{"boot": d.boot})
	d.resign(ctx)
	pause.For(ctx, d.c.ShutdownDelay-closeTime)
	d.closing.Store(true)
	pause.For(ctx, closeTime-quietTime)
	quiet := time.Duration(0)
	for quiet < quietTime && ctx.Err() == nil {
		quiet += stopTick
		if d.requests.Load() > 0 {
			quiet = 0
		}
		pause.For(ctx, stopTick)
	}
	d.Kill()
	if n := d.requests.Load(); n > 0 {
		return fmt.Errorf("entry %s: stopped with %d requests in progress: %w", d.c.Name, n, ctx.Err())
	}
	return nil
}

// Kill stops at once, as a crash would. Tests use it; Stop ends with it.
func (d *Daemon) Kill() {
	d.leaving.Store(true)
	d.closing.Store(true)
	d.once.Do(func() {
		d.cancel()
		d.rpc.Close()
		d.done.Wait()
		d.pool.Close()
		d.log.Add("entryStopped", eventlog.Fields{"boot": d.boot})
		d.log.Close()
	})
}

// AttachedAgents is the number of agents in touch while this entry plans, and -1
// while it does not.
func (d *Daemon) AttachedAgents() int {
	d.planner.mu.Lock()
	defer d.planner.mu.Unlock()
	if d.planner.board == nil {
		return -1
	}
	n := 0
	for _, vm := range d.planner.board.VMs {
		if vm.Attached && vm.Worker != "" {
			n++
		}
	}
	return n
}
