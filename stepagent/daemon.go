// Package stepagent implements the agent for jobs that consist of steps. An agent
// runs on the VM of a worker and is the only process that calls the worker. It
// follows the planner of the highest term that it has seen and carries out that
// planner's orders. When the worker does not answer a start order, the agent
// finds out whether the run started. The agent extends the worker's lease as far
// as the planner granted, and reports to the planner which runs are in progress
// and which have ended.
//
// The agent knows the worker, and each restart of it, only by the worker's answers to its
// status calls. Announcements, refused connections and silence do not show that a run has
// ended.
//
// An agent stores nothing durably. After a restart it reads from the worker
// which runs are in progress and which have ended, and stops none of them.
//
// The package owns the table of the worker and the session with the planner. The
// session's mutex is taken before the table's. Neither is held while a goroutine
// waits for the reply of another process.
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
	"celerypoint.example/celerypoint/connlimit"
	"celerypoint.example/celerypoint/connreport"
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
	// reportInterval is the time between two reports while a run may have stalled,
	// which the planner decides from its reports. idleReportInterval is the longest
	// time between two reports. Each report also requests a lease.
	reportInterval     = 400 * time.Millisecond
	idleReportInterval = 2 * reportInterval
	// reportTimeout bounds a report call. When the planner does not reply in
	// time, the agent closes the session, and the planner opens a new one.
	reportTimeout = 1200 * time.Millisecond
	// orderWorkers bounds the planners' requests that are handled at the same time,
	// and orderQueue those that wait. For a VM with 8 accelerators, at most 16 start
	// and stop orders are expected at once.
	orderWorkers = 24
	orderQueue   = 4096
)

// Config configures an agent.
type Config struct {
	// Name is unique over all agents and the same after a restart.
	Name string
	Zone string
	// Listen is the IP address and port where planners connect.
	Listen string
	// Advertise is the address that the agent registers for planners to connect
	// to; empty means the address that it listens on.
	Advertise string
	// Topic is the topic of the store that holds the system's own records.
	Topic  string
	Log    recordlog.Log
	Worker worker.Client
	// AnnouncementValidity is how long the capacity in an announcement of the worker can
	// be relied on; 0 means DefaultAnnouncementValidity.
	AnnouncementValidity time.Duration
	// ConnectionLimits bounds what RPC connections use together; zero means
	// rpc.DefaultLimits.
	ConnectionLimits connlimit.Limits
}

// DefaultAnnouncementValidity is the validity of announcements of a worker that announces
// itself every 1.5 s; see AnnouncementValidity.
const DefaultAnnouncementValidity = 3500 * time.Millisecond

// orderTime is the time from the last check of an order until the worker has carried it
// out.
const orderTime = time.Second

// AnnouncementValidity returns the validity of announcements at the given interval, if a
// start may rely on capacity that the worker lost up to grace and one interval ago.
func AnnouncementValidity(interval, grace time.Duration) time.Duration {
	return max(interval, interval+grace-orderTime)
}

// session is the agent's session with the planner that it follows. conn is nil
// while there is no session.
type session struct {
	mu sync.Mutex
	// term is the highest planner term that the agent has followed; it never
	// decreases.
	term int
	// number is the number that the planner gave the session. It rises within a
	// term.
	number  int
	planner string
	conn    *rpc.Conn
}

// follow makes a session with a planner the current one. The caller holds the
// mutex.
func (s *session) follow(term, number int, planner string, conn *rpc.Conn) {
	s.term, s.number, s.planner, s.conn = term, number, planner, conn
}

// current reports whether an order with the term and session number belongs to
// the current session. The caller holds the mutex.
func (s *session) current(term, number int) bool {
	return s.conn != nil && term == s.term && number == s.number
}

// Daemon is an agent. New starts it, and Stop or Kill ends it.
type Daemon struct {
	cfg      Config
	bootID   string
	log      *eventlog.Log
	counters counters.Counters
	rpc      *rpc.Engine
	pool     *workpool.Pool
	table    *workerTable
	session  session
	stopping atomic.Bool

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

// newDaemon returns an agent that neither listens nor runs yet.
func newDaemon(c Config, options ...Option) *Daemon {
	d := &Daemon{
		cfg: c, bootID: strconv.FormatUint(rand.Uint64(), 36), counters: counters.New(),
		pool: workpool.New(orderWorkers, orderQueue), table: newWorkerTable(cmp.Or(c.AnnouncementValidity, DefaultAnnouncementValidity)),
	}
	for _, o := range options {
		o(d)
	}
	if d.log == nil {
		d.log = eventlog.New(io.Discard, c.Name, d.counters.Registry)
	}
	d.table.onRetired, d.table.onBegun, d.table.onRefuted = d.logRetired, d.logBegun, d.logRefuted
	d.ctx, d.cancel = context.WithCancel(context.Background())
	return d
}

// New starts an agent.
func New(c Config, options ...Option) (*Daemon, error) {
	d := newDaemon(c, options...)
	report := connreport.Report{Counters: d.counters, Log: d.log}
	engine, err := rpc.New(d.handle, rpc.WithListen(c.Listen), rpc.WithLimits(cmp.Or(c.ConnectionLimits, rpc.DefaultLimits)),
		rpc.WithRefusalHandler(func(r connlimit.Refusal) { report.Refused("rpc", r) }))
	if err != nil {
		d.pool.Close()
		return nil, fmt.Errorf("agent %s: %w", c.Name, err)
	}
	d.rpc = engine
	report.AddGauges("rpc", engine.Usage)
	d.table.vm, d.table.leaseRequestedAt = d.address(), time.Now()
	d.log.Add("agentStarted", eventlog.Fields{"boot": d.bootID, "listen": engine.Address()})
	d.goroutines.Go(func() { d.poll(d.ctx) })
	d.goroutines.Go(func() { d.reportLoop(d.ctx) })
	d.goroutines.Go(func() { d.register(d.ctx) })
	return d, nil
}

// address is where planners connect.
func (d *Daemon) address() string { return cmp.Or(d.cfg.Advertise, d.rpc.Address()) }

// Metrics is the registry of counters.
func (d *Daemon) Metrics() metrics.Registry { return d.counters.Registry }

// registerRetryPause is the wait after a failed attempt to register.
const registerRetryPause = 500 * time.Millisecond

// register appends a record with the agent's name, address and zone to the
// platform's store, so that planners can connect to the agent. It retries the append
// until it succeeds or ctx ends. If the record cannot be encoded, it returns at once.
func (d *Daemon) register(ctx context.Context) {
	record, err := codec.EncodeStepRecord(stepfold.AgentRegistered{Name: d.cfg.Name, Agent: stepfold.Agent{Address: d.address(), Zone: d.cfg.Zone}})
	if err != nil {
		d.log.Add("agentUnregistered", eventlog.Fields{"cause": err.Error()})
		return
	}
	for ctx.Err() == nil {
		if _, err = recordlog.AppendWithRetry(ctx, d.cfg.Log, d.cfg.Topic, nil, []recordlog.Record{record}); err == nil {
			d.log.Add("agentRegistered", eventlog.Fields{"address": d.address()})
			return
		}
		pause.For(ctx, registerRetryPause)
	}
}

// WorkerAnnounced records an announcement of the worker on the agent's VM, unless
// it is out of date. It implements platform.AnnouncementHandler and always returns
// nil.
func (d *Daemon) WorkerAnnounced(a worker.Announcement) error {
	switch result := d.table.applyAnnouncement(a); result {
	case appliedDraining:
		d.log.Add("workerDraining", eventlog.Fields{"worker": incarnationOf(a).String(), "remainingMs": a.RemainingMs})
	case appliedCandidate:
		d.counters.Count("announcement." + string(result))
		d.log.Add("candidateAnnounced", eventlog.Fields{"announced": incarnationOf(a).String(), "service": a.Service, "sequence": a.Sequence})
	case appliedRepeated, appliedOutdated:
		d.counters.Count("announcement." + string(result))
	}
	return nil
}

// WorkerLeft records a message that the worker with the ID ends for good. The message
// proves nothing, since an earlier incarnation under the same ID may have sent it. It only
// logs an ID other than the worker's.
func (d *Daemon) WorkerLeft(id string) {
	d.table.markLeaving(id)
	d.log.Add("workerLeft", eventlog.Fields{"worker": id})
}

// logBegun logs an incarnation that the worker has answered as.
func (d *Daemon) logBegun(i incarnation, a worker.Announcement) {
	d.log.Add("workerSeen", eventlog.Fields{"worker": i.String(), "service": a.Service, "labels": a.Labels})
}

// logRefuted logs and counts an announcement of an incarnation that the worker denies to
// be.
func (d *Daemon) logRefuted(i incarnation) {
	d.counters.Count("announcement.refuted")
	d.log.Add("announcementRefuted", eventlog.Fields{"announced": i.String()})
}

// LogReload logs and counts that the settings were read again. It applies none of
// them, because an agent's settings are addresses, which take effect only after a
// restart.
func (d *Daemon) LogReload(cause string, err error) {
	fields := eventlog.Fields{"cause": cause, "outcome": "valid"}
	if err != nil {
		fields["outcome"] = err.Error()
	}
	d.counters.Count("settingsReloaded")
	d.log.Add("settingsReloaded", fields)
}

// handle hands the requests of planners to the goroutine pool.
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

// attach makes the agent follow a planner. It refuses a planner of an earlier
// term than the highest that the agent has followed, and a session of that term
// that is earlier than the newest. When the agent's process resumes after a pause,
// several attach requests may be waiting, and the planner has given up the orders
// of all sessions but the last. It also refuses a planner that takes it for another
// agent, which had the address before.
func (d *Daemon) attach(conn *rpc.Conn, p wire.AttachParams) (wire.AttachResult, error) {
	if p.Agent != "" && p.Agent != d.cfg.Name {
		return wire.AttachResult{}, fmt.Errorf("attach: found agent %q, allowed: %q", p.Agent, d.cfg.Name)
	}
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
	d.table.requestReport()
	d.table.mu.Unlock()
	return wire.AttachResult{}, nil
}

// reportLoop sends reports to the planner until ctx ends: at once when something has
// changed that the planner acts on, after reportInterval while a run may have stalled,
// and otherwise after idleReportInterval.
func (d *Daemon) reportLoop(ctx context.Context) {
	ticker := time.NewTicker(reportInterval)
	defer ticker.Stop()
	var reportedAt time.Time
	for {
		select {
		case <-ctx.Done():
			return
		case now := <-ticker.C:
			// A timer fires late, so that two intervals are a little longer than twice one.
			if now.Sub(reportedAt) < idleReportInterval-reportInterval/2 && !d.table.mayStall(now) {
				continue
			}
		case <-d.table.reportDue:
		}
		reportedAt = time.Now()
		d.sendReport(ctx)
	}
}

// sendReport reports the state of the worker to the planner. It records the lease
// that the planner grants in its reply, and which ended runs the planner has stored.
func (d *Daemon) sendReport(ctx context.Context) {
	d.session.mu.Lock()
	conn, term, number := d.session.conn, d.session.term, d.session.number
	d.session.mu.Unlock()
	if conn == nil {
		return
	}
	t := d.table
	t.mu.Lock()
	current, clockAtRequest := t.current, t.minClock()
	body := d.requestLease()
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
	if reply.LeaseMs > 0 && current == t.current {
		t.lease = max(t.lease, clockAtRequest+time.Duration(reply.LeaseMs)*time.Millisecond)
	}
	t.mu.Unlock()
	t.applyEndsAck(reply.StoredBoot, int64(reply.StoredThrough))
}

// detach closes the session on conn after a failed report. cause is the error of
// the report call. It is nil if the planner replied but did not name the session's
// term, because the term is over or the planner no longer has this session.
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

// requestLease returns a report, which also requests a lease if the worker can be reached.
// The caller holds the table's mutex and sets the session number.
func (d *Daemon) requestLease() wire.WorkerReport {
	if d.table.identified() && !d.table.unhealthy {
		d.table.leaseRequestedAt = time.Now()
	}
	return d.buildReport()
}

// buildReport returns a report of the table. The report contains no worker until
// the worker has been identified. The caller holds the table's mutex and sets the session
// number.
func (d *Daemon) buildReport() wire.WorkerReport {
	t := d.table
	a := t.announced
	w := wire.WorkerReport{Agent: d.cfg.Name, Boot: d.bootID, Version: t.version, Leaving: d.stopping.Load(), Former: t.reportedFormer(time.Now())}
	if !t.identified() || t.unhealthy {
		w.LeaseAgeMs = int(time.Since(t.leaseRequestedAt).Milliseconds())
	}
	if !t.identified() {
		w.VM = t.vm
		return w
	}
	// Without an announcement there is no capacity, which keeps tasks away by itself. As soon
	// as there is one the worker can be used.
	outdated := a.Service != "" && !t.announcementValid()
	w.Worker = wire.WorkerState{
		Present: true, Boot: t.name(), Service: a.Service, Zone: a.Zone, Rack: a.Rack, Labels: a.Labels,
		Cpu: a.Capacity.CPU, MemMB: a.Capacity.MemMB, Gpus: a.Capacity.GPUs,
		Draining: a.Draining, RemainingMs: a.RemainingMs, Unhealthy: t.unhealthy || t.leaving || outdated, Unreachable: t.unhealthy,
	}
	for key, r := range t.runs {
		w.Running = append(w.Running, wire.RunningTask{Task: key.Task, Run: key.Number, Checkpoint: r.checkpoint, Progress: r.progress, Usage: r.usage, Unsettled: !r.confirmed})
	}
	w.Ended = encodeEnds(t.endedRuns)
	return w
}

// finalLeaseTimeout bounds the last report and the last status call of a stopping
// agent. They extend the worker's lease once more, so that the worker's runs
// survive a restart of the agent.
const finalLeaseTimeout = time.Second

// Stop shuts the agent down gracefully. It refuses new start orders, sends a last
// report, and makes a last status call, which extends the worker's lease and shows
// the agent whether runs whose start is in progress have started. It does nothing
// if the agent is already stopping.
func (d *Daemon) Stop(ctx context.Context) error {
	if d.stopping.Swap(true) {
		return nil
	}
	d.log.Add("agentStopping", eventlog.Fields{"boot": d.bootID})
	bounded, cancel := context.WithTimeout(ctx, finalLeaseTimeout)
	defer cancel()
	d.sendReport(bounded)
	err := d.readStatus(bounded, 0)
	if errors.Is(err, errStale) {
		err = d.readStatus(bounded, 0)
	}
	d.Kill()
	if err != nil && !errors.Is(err, errRefused) && !errors.Is(err, syscall.ECONNREFUSED) {
		return fmt.Errorf("agent %s: extend the lease: %w", d.cfg.Name, err)
	}
	return nil
}

// Kill stops the agent at once, as a crash would: it neither reports nor extends
// the worker's lease. Stop calls it at the end; tests call it to simulate a crash.
func (d *Daemon) Kill() {
	d.stopping.Store(true)
	d.killOnce.Do(func() {
		d.cancel()
		d.rpc.Close()
		d.goroutines.Wait()
		d.pool.Close()
		d.log.Add("agentStopped", eventlog.Fields{"boot": d.bootID})
		d.log.Close()
	})
}
