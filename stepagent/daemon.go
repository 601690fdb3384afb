// Package stepagent is the agent of jobs of steps: the only caller of the
// worker beside it. It follows the planner of the highest term that it has
// seen, carries out its orders, settles orders without an answer, extends the
// worker's lease as far as the planner granted, and reports everything that the
// worker runs and has ended.
//
// An agent keeps nothing beyond its process. After a restart it learns from the
// worker what runs and what has ended, and stops nothing.
//
// The package owns the table of the worker and the session with the planner.
// Locks: the session's mutex, then the table's; neither is held during a call.
package stepagent

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
	"syscall"
	"time"

	"github.com/rcrowley/go-metrics"

	"celerypoint.example/celerypoint/agent"
	"celerypoint.example/celerypoint/codec"
	"celerypoint.example/celerypoint/counters"
	"celerypoint.example/celerypoint/entry"
	"celerypoint.example/celerypoint/eventlog"
	"celerypoint.example/celerypoint/pause"
	"celerypoint.example/celerypoint/recordlog"
	"celerypoint.example/celerypoint/rpc"
	"celerypoint.example/celerypoint/stepfold"
	"celerypoint.example/celerypoint/wire"
	"celerypoint.example/celerypoint/worker"
	"celerypoint.example/celerypoint/workpool"
)

const (
	// reportEvery is the longest time between two reports; each asks for a
	// lease.
	reportEvery = 400 * time.Millisecond
	// reportTimeout bounds a report. A session whose planner does not answer is
	// closed; the planner begins another.
	reportTimeout = 1200 * time.Millisecond
	// orderWorkers bounds the orders that are carried out at once; a worker of
	// 8 accelerators gets no more starts and stops than twice that.
	orderWorkers = 24
	orderQueue   = 4096
)

// Config is what an agent needs.
type Config struct {
	// Name is unique over all agents and the same after a restart.
	Name string
	Zone string
	// Listen is the IP address and port where planners connect.
	Listen string
	// Advertise is the address that others are told, when it is not Listen.
	Advertise string
	// Topic is where the system's records are.
	Topic  string
	Log    recordlog.Log
	Worker worker.Caller
}

// session is the planner that the agent follows.
type session struct {
	mu sync.Mutex
	// term is the highest that was seen; it never falls.
	term    int
	number  int
	planner string
	conn    *rpc.Conn
}

// follow makes a session the current one. The caller holds the mutex.
func (s *session) follow(term, number int, planner string, conn *rpc.Conn) {
	s.term, s.number, s.planner, s.conn = term, number, planner, conn
}

// current reports whether an order belongs to the session. The caller holds
// the mutex.
func (s *session) current(term, number int) bool {
	return s.conn != nil && term == s.term && number == s.number
}

// Daemon is a running agent.
type Daemon struct {
	c        Config
	boot     string
	log      *eventlog.Log
	counters counters.Counters
	rpc      *rpc.Engine
	pool     *workpool.Pool
	table    *table
	session  session
	leaving  atomic.Bool

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

// newDaemon makes an agent without starting it.
func newDaemon(c Config, options ...Option) *Daemon {
	d := &Daemon{
		c: c, boot: strconv.FormatUint(rand.Uint64(), 36), counters: counters.New(),
		pool: workpool.New(orderWorkers, orderQueue), table: newTable(),
	}
	for _, o := range options {
		o(d)
	}
	if d.log == nil {
		d.log = eventlog.New(io.Discard, c.Name, d.counters.Registry)
	}
	d.ctx, d.cancel = context.WithCancel(context.Background())
	return d
}

// New starts an agent.
func New(c Config, options ...Option) (*Daemon, error) {
	d := newDaemon(c, options...)
	engine, err := rpc.New(d.handle, rpc.WithListen(c.Listen))
	if err != nil {
		d.pool.Close()
		return nil, fmt.Errorf("agent %s: %w", c.Name, err)
	}
	d.rpc = engine
	d.log.Add("agentStarted", eventlog.Fields{"boot": d.boot, "listen": engine.Address()})
	d.done.Go(func() { d.poll(d.ctx) })
	d.done.Go(func() { d.reports(d.ctx) })
	d.done.Go(func() { d.register(d.ctx) })
	return d, nil
}

// address is where others connect.
func (d *Daemon) address() string { return cmp.Or(d.c.Advertise, d.rpc.Address()) }

// Metrics is the registry of counters.
func (d *Daemon) Metrics() metrics.Registry { return d.counters.Registry }

// registerPause is the wait after a failed try to register.
const registerPause = 500 * time.Millisecond

// register names the agent in the store, so that planners find it.
func (d *Daemon) register(ctx context.Context) {
	record, err := codec.EncodeStepRecord(stepfold.AgentRegistered{Name: d.c.Name, Agent: stepfold.Agent{Address: d.address(), Zone: d.c.Zone}})
	if err != nil {
		d.log.Add("agentUnregistered", eventlog.Fields{"cause": err.Error()})
		return
	}
	for ctx.Err() == nil {
		if _, err = recordlog.AppendWithRetry(ctx, d.c.Log, d.c.Topic, nil, []recordlog.Record{record}); err == nil {
			d.log.Add("agentRegistered", eventlog.Fields{"address": d.address()})
			return
		}
		pause.For(ctx, registerPause)
	}
}

// WorkerAnnounced takes an announcement of the worker.
func (d *Daemon) WorkerAnnounced(a worker.Announcement) error {
	newLife, draining := d.table.announce(a)
	if newLife {
		d.log.Add("workerSeen", eventlog.Fields{"worker": lifeName(a), "service": a.Service, "labels": a.Labels})
	}
	if draining {
		d.log.Add("workerDraining", eventlog.Fields{"worker": lifeName(a), "remainingMs": a.RemainingMs})
	}
	return nil
}

// WorkerLeft says that the worker with the ID ends for good.
func (d *Daemon) WorkerLeft(id string) {
	d.table.left(id)
	d.log.Add("workerLeft", eventlog.Fields{"worker": id})
}

// LogReload records that the settings were read again. An agent's settings are
// addresses, which are in force from the next start on.
func (d *Daemon) LogReload(cause string, err error) {
	fields := eventlog.Fields{"cause": cause, "outcome": "valid"}
	if err != nil {
		fields["outcome"] = err.Error()
	}
	d.counters.Count("settingsReloaded")
	d.log.Add("settingsReloaded", fields)
}

// handle takes the orders of planners.
func (d *Daemon) handle(r *rpc.Request) {
	var err error
	switch r.Method {
	case agent.MethodAttach:
		err = d.pool.Submit(func() { rpc.Serve(r, d.attach) })
	case agent.MethodStartRun:
		err = d.pool.Submit(func() {
			rpc.Serve(r, func(_ *rpc.Conn, p wire.StartRunParams) (wire.StartRunResult, error) {
				return d.startRun(d.ctx, p), nil
			})
		})
	case agent.MethodStopRun:
		err = d.pool.Submit(func() {
			rpc.Serve(r, func(_ *rpc.Conn, p wire.StopRunParams) (wire.StopRunResult, error) {
				return wire.StopRunResult{}, d.stopRun(d.ctx, p)
			})
		})
	default:
		err = fmt.Errorf("unknown method %q", r.Method)
	}
	if err != nil {
		r.Fail(err)
	}
}

// attach makes the agent follow a planner unless it follows a later one, or a
// later session of the same. After a pause, several wait to be followed, and
// the planner has given up the orders of all but the last.
func (d *Daemon) attach(conn *rpc.Conn, p wire.AttachParams) (wire.AttachResult, error) {
	s := &d.session
	s.mu.Lock()
	defer s.mu.Unlock()
	if p.Term < s.term || p.Term == s.term && p.Session < s.number {
		return wire.AttachResult{Refused: true, Term: s.term}, nil
	}
	if s.conn != nil && s.conn != conn {
		s.conn.Close()
	}
	s.follow(p.Term, p.Session, p.Planner, conn)
	d.log.Add("plannerFollowed", eventlog.Fields{"planner": p.Planner, "term": p.Term, "session": p.Session})
	d.table.mu.Lock()
	d.table.touch()
	d.table.mu.Unlock()
	return wire.AttachResult{}, nil
}

// reports sends reports until ctx ends.
func (d *Daemon) reports(ctx context.Context) {
	ticker := time.NewTicker(reportEvery)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		case <-d.table.changed:
		}
		d.report(ctx)
	}
}

// report tells the planner everything and takes over the lease that it grants.
func (d *Daemon) report(ctx context.Context) {
	d.session.mu.Lock()
	conn, term, number := d.session.conn, d.session.term, d.session.number
	d.session.mu.Unlock()
	if conn == nil {
		return
	}
	t := d.table
	t.mu.Lock()
	life, asked := t.key(), t.estimate()
	body := d.describe()
	t.mu.Unlock()
	body.Session = number
	bounded, cancel := context.WithTimeout(ctx, reportTimeout)
	defer cancel()
	reply, err := entry.Client{Conn: conn}.Report(bounded, body)
	if err != nil || reply.Term != term {
		d.detach(conn, err)
		return
	}
	t.mu.Lock()
	if reply.LeaseMs > 0 && life == t.key() {
		t.lease = max(t.lease, asked+time.Duration(reply.LeaseMs)*time.Millisecond)
	}
	t.mu.Unlock()
	t.stored(reply.StoredBoot, int64(reply.StoredThrough))
}

// detach ends a session whose planner does not answer.
func (d *Daemon) detach(conn *rpc.Conn, cause error) {
	d.session.mu.Lock()
	if d.session.conn == conn {
		d.session.conn = nil
		reason := "the planner's term is over"
		if cause != nil {
			reason = cause.Error()
		}
		d.log.Add("plannerLost", eventlog.Fields{"planner": d.session.planner, "term": d.session.term, "cause": reason})
	}
	d.session.mu.Unlock()
	conn.Close()
}

// describe makes a report. The caller holds the table's mutex.
func (d *Daemon) describe() wire.WorkerReport {
	t := d.table
	a := t.announced
	w := wire.WorkerReport{Agent: d.c.Name, Boot: d.boot, Version: t.version, Leaving: d.leaving.Load()}
	if !t.known || !t.listed && !t.down {
		return w
	}
	w.Worker = wire.WorkerState{
		Present: true, Boot: t.key(), Service: a.Service, Zone: a.Zone, Rack: a.Rack, Labels: a.Labels,
		Cpu: a.Capacity.CPU, MemMB: a.Capacity.MemMB, Gpus: a.Capacity.GPUs,
		Draining: a.Draining || t.down, RemainingMs: a.RemainingMs, Unhealthy: t.unhealthy,
	}
	for key, r := range t.runs {
		w.Running = append(w.Running, wire.RunningTask{Task: key.Task, Run: key.Number, Checkpoint: r.checkpoint, Progress: r.progress, Unsettled: !r.settled})
	}
	for _, e := range t.ends {
		w.Ended = append(w.Ended, wire.EndedTask{Number: int(e.Number), Task: e.Task, Run: e.Run.Number, End: string(e.End), Checkpoint: e.Checkpoint})
	}
	return w
}

// leaseHandover is how long a stopping agent tries to have the worker's lease
// extended once more, so that its runs outlast its restart.
const leaseHandover = time.Second

// Stop stops gracefully: it takes no new start, settles those on their way, and
// extends the worker's lease for the last time.
func (d *Daemon) Stop(ctx context.Context) error {
	if d.leaving.Swap(true) {
		return nil
	}
	d.log.Add("agentStopping", eventlog.Fields{"boot": d.boot})
	bounded, cancel := context.WithTimeout(ctx, leaseHandover)
	defer cancel()
	d.report(bounded)
	err := d.hold(bounded, 0)
	d.Kill()
	if err != nil && !errors.Is(err, errRefused) && !errors.Is(err, errNoListener) {
		return fmt.Errorf("agent %s: extend the lease: %w", d.c.Name, err)
	}
	return nil
}

// Kill stops at once, as a crash would. Tests use it; Stop ends with it.
func (d *Daemon) Kill() {
	d.leaving.Store(true)
	d.once.Do(func() {
		d.cancel()
		d.rpc.Close()
		d.done.Wait()
		d.pool.Close()
		d.log.Add("agentStopped", eventlog.Fields{"boot": d.boot})
		d.log.Close()
	})
}

// classify tells a worker that is not running from one that does not answer.
func (d *Daemon) classify(err error) error {
	if errors.Is(err, syscall.ECONNREFUSED) {
		return fmt.Errorf("%w: %w", errNoListener, err)
	}
	return err
}
