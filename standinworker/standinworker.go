// Package standinworker is a stand-in for a worker of the platform, for tests
// and the platform demonstration. It runs tasks under leases that are measured
// on its own clock, reports the end of each run until the agent acknowledges it,
// announces itself to the agent of its VM, and has faults that can be switched
// on. It records when the agent breaks one of these rules of the protocol: no two
// runs of a task at the same time, no start later than drainGrace after the agent
// acknowledged that the worker drains, no start that exceeds the capacity, which counts
// as reduced from Config.ShrinkGrace after SetCapacity on.
//
// A run whose payload is a word and a number, such as "run 50", takes that many
// milliseconds, one with any other payload 10 ms. It fails if the payload begins
// with "fail", crashes the worker if it begins with "crash", and succeeds otherwise. A
// Worker owns its runs. Its mutex guards them, that of its listener guards which worker
// answers there. Neither is held while a call waits, and neither is locked under the other.
package standinworker

import (
	"bytes"
	"encoding/json"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"time"

	"celerypoint.example/celerypoint/httpserver"
	"celerypoint.example/celerypoint/steps"
)

// Faults are the faults that a Worker injects. The zero value injects none.
type Faults struct {
	// LoseAnswers is how many of the next starts are carried out but not
	// answered.
	LoseAnswers int
	// ApplyLate is how many of the next starts are carried out only after
	// ApplyDelay and are not answered. It takes precedence over LoseAnswers. If the
	// worker has been restarted by then, its next incarnation carries them out.
	ApplyLate  int
	ApplyDelay time.Duration
	// RefuseStarts answers starts with 503 and does nothing, like an unhealthy worker.
	RefuseStarts bool
	// FailAll makes runs fail that would otherwise succeed.
	FailAll bool
	// Hang keeps runs from succeeding and makes all runs report no progress.
	Hang bool
	// Unresponsive answers no valid call: the connection of each call is closed
	// after unansweredDuration.
	Unresponsive bool
	// NoHeartbeats suppresses announcements.
	NoHeartbeats bool
}

// Config configures a Worker.
type Config struct {
	ID, Service, Zone, Rack string
	Capacity                steps.Resources
	// MaxLease is the longest lease, counted from the request that extends it.
	// StopDuration is the time from a stop request to the end of the run.
	MaxLease, StopDuration time.Duration
	// HeartbeatAddress is the address that the agent receives announcements on.
	HeartbeatAddress string
	// HeartbeatInterval is the interval between announcements.
	HeartbeatInterval time.Duration
	// FirstHeartbeatDelay is the time from the start of the worker to its first
	// announcement.
	FirstHeartbeatDelay time.Duration
	// Uptime is how long ago the worker counts as started when New returns it.
	Uptime time.Duration
	// TaskResources returns the resources that a task takes. The worker refuses
	// no start request for lack of capacity, but records a violation when its
	// capacity is exceeded. If nil, the capacity is not checked.
	TaskResources func(task string) steps.Resources
	// ShrinkGrace is how long after SetCapacity a start may still rely on the larger
	// capacity of before.
	ShrinkGrace time.Duration
	// OnCrash is called in a goroutine of its own when a run has crashed the worker, after
	// Close.
	OnCrash func()
}

// RunRecord describes a run that the worker has started.
type RunRecord struct {
	Task       string
	Run        int
	Checkpoint string
	// Spec is the payload.
	Spec               string
	StartedAt, EndedAt time.Time
	// EndReason is done, failed, stopped, lapsed (the lease expired) or crashed;
	// it is empty while the run is in progress.
	EndReason string
	// EndAcknowledged says that the agent has acknowledged the end. The worker
	// then no longer reports it, and the agent must count it as final.
	EndAcknowledged bool
}

type activeRun struct {
	record *RunRecord
	timer  *time.Timer
	// duration is the time that the run takes unless it is stopped.
	duration time.Duration
}

type runEnd struct {
	number int64
	task   string
	run    int
	reason string
	record *RunRecord
}

// Worker is a running stand-in. It is safe for concurrent use.
type Worker struct {
	cfg        Config
	listener   *listener
	startedAt  time.Time
	stop       chan struct{}
	goroutines sync.WaitGroup
	crashOnce  sync.Once

	mu            sync.Mutex
	faults        Faults
	fencingToken  int64
	leaseDeadline time.Duration
	running       map[string]*activeRun
	// ends are the ends that the agent has not acknowledged yet.
	ends          []runEnd
	lastEndNumber int64
	// highestRun maps a task to its highest run that has ended or for which a
	// stop request was accepted. The worker starts only later runs of the task.
	highestRun           map[string]int
	announcementSequence int64
	draining             bool
	// drainAckedAt is when the agent first acknowledged an announcement that the
	// worker is draining.
	drainAckedAt time.Time
	// changed is closed and replaced when a run starts or ends.
	changed    chan struct{}
	history    []*RunRecord
	violations []string
	closed     bool
	// next is the incarnation that Restart has returned.
	next *Worker
	// calls is the number of calls received. lateStarts is that of the starts to which
	// Faults.ApplyLate applied.
	calls, lateStarts int
	// capacity is what the worker announces. Until earlierCapacityUntil, a start may rely
	// on earlierCapacity.
	capacity, earlierCapacity steps.Resources
	earlierCapacityUntil      time.Time
}

const (
	maxConcurrentRequests = 64
	// leaseCheckInterval is how often the worker checks whether its lease has
	// expired.
	leaseCheckInterval = 10 * time.Millisecond
	// drainGrace is how long after drainAckedAt the agent may still start tasks.
	// The platform sets this bound.
	drainGrace = 2 * time.Second
	// unansweredDuration is how long the connection of an unanswered call stays
	// open, unless the worker is closed earlier.
	unansweredDuration = 2 * time.Second
)

// New listens on the TCP address and starts the worker.
func New(address string, cfg Config) (*Worker, error) {
	l := &listener{address: address}
	w := newWorker(l, cfg)
	l.worker = w
	if err := l.open(); err != nil {
		return nil, fmt.Errorf("stand-in worker: %w", err)
	}
	w.run()
	return w, nil
}

func newWorker(l *listener, cfg Config) *Worker {
	return &Worker{cfg: cfg, listener: l, startedAt: time.Now().Add(-cfg.Uptime), stop: make(chan struct{}), running: map[string]*activeRun{}, highestRun: map[string]int{}, changed: make(chan struct{}), capacity: cfg.Capacity}
}

func (w *Worker) run() {
	w.goroutines.Go(w.sendAnnouncements)
	w.goroutines.Go(w.expireLeases)
}

// Address is the IP address and port that the worker receives calls on.
func (w *Worker) Address() string { return w.listener.Address() }

// Calls is the number of calls that the worker has received.
func (w *Worker) Calls() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.calls
}

// LateStarts is the number of starts that the worker has put off because of
// Faults.ApplyLate.
func (w *Worker) LateStarts() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.lateStarts
}

// RefuseConnections closes the listener and all connections, while the worker goes on.
func (w *Worker) RefuseConnections() { w.listener.close() }

// AcceptConnections listens again at the same address after RefuseConnections.
func (w *Worker) AcceptConnections() error {
	if err := w.listener.open(); err != nil {
		return fmt.Errorf("stand-in worker: %w", err)
	}
	return nil
}

// Restart ends the worker as Close does and returns its next incarnation, which answers
// at the same address at once, so that no connection is refused. The worker must not have
// been closed before.
func (w *Worker) Restart(cfg Config) *Worker {
	next := newWorker(w.listener, cfg)
	w.end(next)
	w.listener.setWorker(next)
	close(w.stop)
	next.run()
	w.goroutines.Wait()
	return next
}

// Close stops the worker as a crash would: all runs end and are not reported.
// Closing it again does nothing.
func (w *Worker) Close() {
	if !w.end(nil) {
		return
	}
	close(w.stop)
	w.listener.close()
	w.goroutines.Wait()
}

// end ends all runs. next is the incarnation that follows, or nil. It reports false if
// the worker has been closed before.
func (w *Worker) end(next *Worker) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.closed {
		return false
	}
	w.closed, w.next = true, next
	now := time.Now()
	for _, r := range w.running {
		r.timer.Stop()
		r.record.EndedAt, r.record.EndReason = now, "crashed"
	}
	w.running = map[string]*activeRun{}
	return true
}

// Closed reports whether the worker has been closed or has crashed.
func (w *Worker) Closed() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.closed
}

// SetFaults replaces the faults.
func (w *Worker) SetFaults(f Faults) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.faults = f
}

// Drain makes the worker announce that it is draining.
func (w *Worker) Drain() {
	w.mu.Lock()
	w.draining = true
	w.mu.Unlock()
}

// SetCapacity changes the capacity that the worker announces. Runs in progress go on.
func (w *Worker) SetCapacity(capacity steps.Resources) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.earlierCapacity, w.earlierCapacityUntil = w.capacity, time.Now().Add(w.cfg.ShrinkGrace)
	w.capacity = capacity
}

// crash ends the worker under one of its runs.
func (w *Worker) crash() {
	w.crashOnce.Do(func() {
		w.Close()
		if w.cfg.OnCrash != nil {
			w.cfg.OnCrash()
		}
	})
}

// History lists the runs in the order of their starts. EndedAt is zero while a
// run is in progress.
func (w *Worker) History() []RunRecord {
	w.mu.Lock()
	defer w.mu.Unlock()
	var all []RunRecord
	for _, r := range w.history {
		all = append(all, *r)
	}
	return all
}

// Violations describes each breach of the protocol that the worker has detected.
func (w *Worker) Violations() []string {
	w.mu.Lock()
	defer w.mu.Unlock()
	return append([]string(nil), w.violations...)
}

// UnacknowledgedEnds is the number of ends that the worker still reports.
func (w *Worker) UnacknowledgedEnds() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return len(w.ends)
}

// clock is the worker's own clock, on which lease deadlines are measured.
func (w *Worker) clock() time.Duration { return time.Since(w.startedAt) }

// request holds the fields of all calls; each call uses some of them.
type request struct {
	Task         string `json:"task"`
	Run          int    `json:"run"`
	Spec         string `json:"spec"`
	DeadlineMs   int64  `json:"deadline_ms"`
	FencingToken int64  `json:"fencing_token"`
	Checkpoint   string `json:"checkpoint"`
	AckCursor    int64  `json:"ack_cursor"`
	WaitMs       int    `json:"wait_ms"`
}

func (w *Worker) decode(rw http.ResponseWriter, r *http.Request) (request, bool) {
	var req request
	if id := r.Header.Get("X-Expected-Instance"); id != "" && id != w.cfg.ID {
		httpserver.JSON(rw, http.StatusMisdirectedRequest, struct{}{})
		return req, false
	}
	if err := json.NewDecoder(r.Body).Decode(&req); err != nil {
		httpserver.JSON(rw, http.StatusBadRequest, struct{}{})
		return req, false
	}
	w.mu.Lock()
	w.calls++
	unresponsive := w.faults.Unresponsive || w.closed
	w.mu.Unlock()
	if unresponsive {
		w.leaveUnanswered(rw)
		return req, false
	}
	return req, true
}

// leaveUnanswered waits for unansweredDuration and then closes the connection
// without an answer. A connection that cannot be hijacked is not closed.
func (w *Worker) leaveUnanswered(rw http.ResponseWriter) {
	select {
	case <-time.After(unansweredDuration):
	case <-w.stop:
	}
	if hijacker, ok := rw.(http.Hijacker); ok {
		if conn, _, err := hijacker.Hijack(); err == nil {
			_ = conn.Close()
		}
	}
}

func (w *Worker) reply(rw http.ResponseWriter, status int, reason string) {
	body := map[string]any{"clock_ms": w.clock().Milliseconds()}
	if reason != "" {
		body["reason"] = reason
	}
	httpserver.JSON(rw, status, body)
}

func (w *Worker) handleStart(rw http.ResponseWriter, r *http.Request) {
	req, ok := w.decode(rw, r)
	if !ok {
		return
	}
	w.mu.Lock()
	if w.faults.RefuseStarts {
		w.mu.Unlock()
		rw.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	late, loseAnswer := w.faults.ApplyLate > 0, w.faults.LoseAnswers > 0
	switch {
	case late:
		w.faults.ApplyLate--
		w.lateStarts++
		time.AfterFunc(w.faults.ApplyDelay, func() { w.startLate(req) })
	case loseAnswer:
		w.faults.LoseAnswers--
		w.startRun(req, false)
	}
	if late || loseAnswer {
		w.mu.Unlock()
		w.leaveUnanswered(rw)
		return
	}
	status, reason := w.startRun(req, false)
	w.mu.Unlock()
	w.reply(rw, status, reason)
}

// startLate carries out a start order that was put off, in the newest incarnation.
func (w *Worker) startLate(req request) {
	w.mu.Lock()
	next := w.next
	if next == nil {
		w.startRun(req, true)
	}
	w.mu.Unlock()
	if next != nil {
		next.startLate(req)
	}
}

// startRun starts a run, unless the request is refused, and returns the status of
// the answer and the reason of a refusal. late says that the worker itself delayed
// the request (Faults.ApplyLate), so that the agent may have sent it before the
// worker drained. The caller holds the mutex.
func (w *Worker) startRun(req request, late bool) (int, string) {
	deadline := time.Duration(req.DeadlineMs) * time.Millisecond
	switch r := w.running[req.Task]; {
	case w.closed:
		return http.StatusServiceUnavailable, ""
	case req.FencingToken < w.fencingToken:
		return http.StatusConflict, "fence"
	case deadline < w.clock():
		return http.StatusConflict, "late"
	case r != nil && r.record.Run == req.Run:
		return http.StatusOK, ""
	case req.Run <= w.highestRun[req.Task]:
		w.extendLease(req)
		return http.StatusConflict, "old"
	}
	w.extendLease(req)
	if r := w.running[req.Task]; r != nil {
		w.violations = append(w.violations, fmt.Sprintf("two runs of %s at once", req.Task))
	}
	if !late && !w.drainAckedAt.IsZero() && time.Since(w.drainAckedAt) > drainGrace {
		w.violations = append(w.violations, fmt.Sprintf("%s was started while the worker drains", req.Task))
	}
	record := &RunRecord{Task: req.Task, Run: req.Run, Checkpoint: req.Checkpoint, Spec: req.Spec, StartedAt: time.Now()}
	w.history = append(w.history, record)
	w.running[req.Task] = &activeRun{record: record, duration: runDuration(req.Spec), timer: time.AfterFunc(runDuration(req.Spec), func() { w.finishRun(req.Task, req.Run, endReason(req.Spec)) })}
	w.checkCapacity()
	w.notifyChanged()
	return http.StatusOK, ""
}

// extendLease adopts the fencing token and the lease deadline of a request. The
// lease ends at most MaxLease from now, and its deadline never moves back. The
// caller holds the mutex.
func (w *Worker) extendLease(req request) {
	w.fencingToken = max(w.fencingToken, req.FencingToken)
	deadline := min(time.Duration(req.DeadlineMs)*time.Millisecond, w.clock()+w.cfg.MaxLease)
	w.leaseDeadline = max(w.leaseDeadline, deadline)
}

func (w *Worker) checkCapacity() {
	if w.cfg.TaskResources == nil {
		return
	}
	var sum steps.Resources
	for task := range w.running {
		sum = sum.Plus(w.cfg.TaskResources(task))
	}
	if w.capacity.Holds(sum) || time.Now().Before(w.earlierCapacityUntil) && w.earlierCapacity.Holds(sum) {
		return
	}
	w.violations = append(w.violations, fmt.Sprintf("capacity %+v exceeded by %+v", w.capacity, sum))
}

func runDuration(spec string) time.Duration {
	var kind string
	var ms int
	if _, err := fmt.Sscanf(spec, "%s %d", &kind, &ms); err != nil {
		ms = 10
	}
	return time.Duration(ms) * time.Millisecond
}

func endReason(spec string) string {
	switch {
	case strings.HasPrefix(spec, "fail"):
		return "failed"
	case strings.HasPrefix(spec, "crash"):
		return "crashed"
	}
	return "done"
}

func (w *Worker) finishRun(task string, run int, reason string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	r := w.running[task]
	if r == nil || r.record.Run != run {
		return
	}
	switch {
	case reason == "crashed":
		go w.crash()
		return
	case w.faults.Hang && reason == "done":
		return
	case w.faults.FailAll && reason == "done":
		reason = "failed"
	}
	w.endRun(task, reason)
}

// endRun ends the run of a task. The caller holds the mutex.
func (w *Worker) endRun(task, reason string) {
	r := w.running[task]
	r.timer.Stop()
	r.record.EndedAt, r.record.EndReason = time.Now(), reason
	delete(w.running, task)
	w.highestRun[task] = max(w.highestRun[task], r.record.Run)
	w.lastEndNumber++
	w.ends = append(w.ends, runEnd{w.lastEndNumber, task, r.record.Run, reason, r.record})
	w.notifyChanged()
}

func (w *Worker) notifyChanged() {
	close(w.changed)
	w.changed = make(chan struct{})
}

func (w *Worker) handleStop(rw http.ResponseWriter, r *http.Request) {
	req, ok := w.decode(rw, r)
	if !ok {
		return
	}
	w.mu.Lock()
	if req.FencingToken < w.fencingToken {
		w.mu.Unlock()
		w.reply(rw, http.StatusConflict, "fence")
		return
	}
	w.fencingToken = max(w.fencingToken, req.FencingToken)
	w.highestRun[req.Task] = max(w.highestRun[req.Task], req.Run)
	if r := w.running[req.Task]; r != nil && r.record.Run == req.Run {
		time.AfterFunc(w.cfg.StopDuration, func() { w.finishRun(req.Task, req.Run, "stopped") })
	}
	w.mu.Unlock()
	w.reply(rw, http.StatusOK, "")
}

func (w *Worker) handleStatus(rw http.ResponseWriter, r *http.Request) {
	req, ok := w.decode(rw, r)
	if !ok {
		return
	}
	w.mu.Lock()
	if req.FencingToken < w.fencingToken {
		w.mu.Unlock()
		w.reply(rw, http.StatusConflict, "fence")
		return
	}
	w.extendLease(req)
	for len(w.ends) > 0 && w.ends[0].number <= req.AckCursor {
		w.ends[0].record.EndAcknowledged = true
		w.ends = w.ends[1:]
	}
	changed, listed := w.changed, len(w.ends)
	w.mu.Unlock()
	if listed == 0 && req.WaitMs > 0 {
		select {
		case <-changed:
		case <-w.stop:
		case <-time.After(time.Duration(req.WaitMs) * time.Millisecond):
		}
	}
	status, ok := w.status()
	if !ok {
		w.leaveUnanswered(rw)
		return
	}
	httpserver.JSON(rw, http.StatusOK, status)
}

// status returns the body of a status, or false if the worker has ended. It then answers
// nothing, in particular no list without the runs that it had.
func (w *Worker) status() (map[string]any, bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.closed {
		return nil, false
	}
	runs, ends := []any{}, []any{}
	for task, r := range w.running {
		progress := 0
		if !w.faults.Hang {
			progress = min(99, int(100*time.Since(r.record.StartedAt)/r.duration))
		}
		runs = append(runs, []any{task, r.record.Run, "", progress})
	}
	for _, e := range w.ends {
		ends = append(ends, []any{e.number, e.task, e.run, e.reason, ""})
	}
	return map[string]any{"clock_ms": w.clock().Milliseconds(), "born": w.startedAt.UnixMilli(), "running": runs, "finished": ends}, true
}

// expireLeases ends all runs when the lease has expired, until the worker
// closes.
func (w *Worker) expireLeases() {
	ticker := time.NewTicker(leaseCheckInterval)
	defer ticker.Stop()
	for {
		select {
		case <-w.stop:
			return
		case <-ticker.C:
		}
		w.mu.Lock()
		if w.clock() > w.leaseDeadline {
			for task := range w.running {
				w.endRun(task, "lapsed")
			}
		}
		w.mu.Unlock()
	}
}

// sendAnnouncements sends an announcement at each HeartbeatInterval until the
// worker closes.
func (w *Worker) sendAnnouncements() {
	client := http.Client{Timeout: time.Second}
	select {
	case <-w.stop:
		return
	case <-time.After(w.cfg.FirstHeartbeatDelay):
	}
	ticker := time.NewTicker(w.cfg.HeartbeatInterval)
	defer ticker.Stop()
	for {
		w.announce(&client)
		select {
		case <-w.stop:
			return
		case <-ticker.C:
		}
	}
}

func (w *Worker) announce(client *http.Client) {
	w.mu.Lock()
	if w.faults.NoHeartbeats {
		w.mu.Unlock()
		return
	}
	w.announcementSequence++
	state := "ready"
	if w.draining {
		state = "draining"
	}
	body, err := json.Marshal(map[string]any{
		"service": w.cfg.Service, "address": w.Address(), "zone": w.cfg.Zone, "version": "v1", "slots": 8, "state": state,
		"cold_remaining_ms": 0, "capacity": map[string]int{"cpu": w.capacity.CPU, "mem_mb": w.capacity.MemMB, "gpus": w.capacity.GPUs},
		"labels": []string{"a", w.cfg.Rack}, "clock_ms": w.clock().Milliseconds(), "sequence": w.announcementSequence, "born": w.startedAt.UnixMilli(),
	})
	w.mu.Unlock()
	if err != nil {
		return
	}
	request, err := http.NewRequest(http.MethodPut, "http://"+w.cfg.HeartbeatAddress+"/api/instances/"+w.cfg.ID, bytes.NewReader(body))
	if err != nil {
		return
	}
	response, err := client.Do(request)
	if err != nil {
		// The agent is not reachable. The next announcement is the retry.
		return
	}
	_ = response.Body.Close()
	if state == "draining" && response.StatusCode == http.StatusOK {
		w.mu.Lock()
		if w.drainAckedAt.IsZero() {
			w.drainAckedAt = time.Now()
		}
		w.mu.Unlock()
	}
}
