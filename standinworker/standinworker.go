// Package standinworker is a small stand-in for a worker of the platform: it
// runs tasks under leases on its own clock, lists ends until they may be
// forgotten, announces itself to the agent beside it, and has faults as
// switches. It records every rule that an agent breaks.
//
// A payload "run MS" works for that many milliseconds, "fail MS" fails after
// them; any other text works for ten. A Worker owns its runs; one mutex guards
// them and is not held while a call waits.
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

// Faults are the switches of a Worker.
type Faults struct {
	// LoseAnswers carries out that many starts without answering them.
	LoseAnswers int
	// ApplyLate carries out that many starts only after Late, without an
	// answer.
	ApplyLate  int
	ApplyDelay time.Duration
	// FailAll ends every run as failed.
	FailAll bool
	// Hang lets no run make progress.
	Hang bool
	// Unresponsive leaves every call without an answer.
	Unresponsive bool
}

// Config describes a Worker.
type Config struct {
	ID, Service, Zone, Rack string
	Capacity                steps.Resources
	// MaxLease bounds leases; StopTime is what a stop takes.
	MaxLease, StopDuration time.Duration
	// HeartbeatAddress is where the agent takes announcements.
	HeartbeatAddress string
	// HeartbeatInterval is the interval of announcements.
	HeartbeatInterval time.Duration
	// TaskResources says what a task takes; the worker starts whatever it is told and
	// records when its capacity is exceeded.
	TaskResources func(task string) steps.Resources
}

// RunRecord is one start of a run.
type RunRecord struct {
	Task       string
	Run        int
	Checkpoint string
	// Spec is the payload.
	Spec               string
	StartedAt, EndedAt time.Time
	EndReason          string
	// EndAcknowledged says that the end may be forgotten: it counts for good.
	EndAcknowledged bool
}

type running struct {
	begun *RunRecord
	work  *time.Timer
	// length is how long the run works.
	length time.Duration
}

type ended struct {
	number int64
	task   string
	run    int
	end    string
	begun  *RunRecord
}

// Worker is a running stand-in.
type Worker struct {
	c    Config
	http *httpserver.Server
	born time.Time
	stop chan struct{}
	done sync.WaitGroup

	mu       sync.Mutex
	faults   Faults
	token    int64
	deadline time.Duration
	running  map[string]*running
	ends     []ended
	last     int64
	highest  map[string]int
	sequence int64
	draining bool
	// leftAt is when an announcement of that was first acknowledged.
	leftAt  time.Time
	changed chan struct{}
	history []*RunRecord
	broken  []string
	closed  bool
}

const (
	handlers = 64
	// lapseTick is how often leases are looked at.
	lapseTick = 10 * time.Millisecond
	// drainBound is how long after the acknowledgement that it drains a worker
	// may still get new work, from the platform's bounds.
	drainBound = 2 * time.Second
	// silence is how long a call without an answer is kept open.
	silence = 2 * time.Second
)

// New starts a worker at the TCP address.
func New(address string, c Config) (*Worker, error) {
	w := &Worker{c: c, born: time.Now(), stop: make(chan struct{}), running: map[string]*running{}, highest: map[string]int{}, changed: make(chan struct{})}
	mux := http.NewServeMux()
	mux.HandleFunc("POST /api/run-start", w.start)
	mux.HandleFunc("POST /api/run-stop", w.stopRun)
	mux.HandleFunc("POST /api/hold", w.hold)
	h, err := httpserver.New(address, handlers, mux)
	if err != nil {
		return nil, fmt.Errorf("stand-in worker: %w", err)
	}
	w.http = h
	w.done.Go(w.announceAll)
	w.done.Go(w.lapseAll)
	return w, nil
}

// Address is the IP address and port of its calls.
func (w *Worker) Address() string { return w.http.Address() }

// Close crashes the worker: everything that runs ends.
func (w *Worker) Close() {
	w.mu.Lock()
	if w.closed {
		w.mu.Unlock()
		return
	}
	w.closed = true
	now := time.Now()
	for _, r := range w.running {
		r.work.Stop()
		r.begun.EndedAt, r.begun.EndReason = now, "crashed"
	}
	w.running = map[string]*running{}
	w.mu.Unlock()
	close(w.stop)
	w.http.Close(100 * time.Millisecond)
	w.done.Wait()
}

// SetFaults puts the faults in force.
func (w *Worker) SetFaults(f Faults) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.faults = f
}

// Drain makes the worker announce that it leaves.
func (w *Worker) Drain() {
	w.mu.Lock()
	w.draining = true
	w.mu.Unlock()
}

// History lists the starts; Until is zero while a run is in progress.
func (w *Worker) History() []RunRecord {
	w.mu.Lock()
	defer w.mu.Unlock()
	var all []RunRecord
	for _, b := range w.history {
		all = append(all, *b)
	}
	return all
}

// Violations lists the rules that the agent broke.
func (w *Worker) Violations() []string {
	w.mu.Lock()
	defer w.mu.Unlock()
	return append([]string(nil), w.broken...)
}

// UnacknowledgedEnds is the number of ends that are still listed.
func (w *Worker) UnacknowledgedEnds() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return len(w.ends)
}

func (w *Worker) clock() time.Duration { return time.Since(w.born) }

// order holds the fields of all calls.
type order struct {
	Task         string `json:"task"`
	Run          int    `json:"run"`
	Spec         string `json:"spec"`
	DeadlineMs   int64  `json:"deadline_ms"`
	FencingToken int64  `json:"fencing_token"`
	Checkpoint   string `json:"checkpoint"`
	AckCursor    int64  `json:"ack_cursor"`
	WaitMs       int    `json:"wait_ms"`
}

func (w *Worker) decode(rw http.ResponseWriter, r *http.Request) (order, bool) {
	var o order
	if id := r.Header.Get("X-Expected-Instance"); id != "" && id != w.c.ID {
		httpserver.JSON(rw, http.StatusMisdirectedRequest, struct{}{})
		return o, false
	}
	if err := json.NewDecoder(r.Body).Decode(&o); err != nil {
		httpserver.JSON(rw, http.StatusBadRequest, struct{}{})
		return o, false
	}
	w.mu.Lock()
	silent := w.faults.Unresponsive
	w.mu.Unlock()
	if silent {
		w.hang(rw)
		return o, false
	}
	return o, true
}

func (w *Worker) hang(rw http.ResponseWriter) {
	select {
	case <-time.After(silence):
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

func (w *Worker) start(rw http.ResponseWriter, r *http.Request) {
	o, ok := w.decode(rw, r)
	if !ok {
		return
	}
	w.mu.Lock()
	late, lost := w.faults.ApplyLate > 0, w.faults.LoseAnswers > 0
	switch {
	case late:
		w.faults.ApplyLate--
		time.AfterFunc(w.faults.ApplyDelay, func() {
			w.mu.Lock()
			defer w.mu.Unlock()
			w.begin(o, true)
		})
	case lost:
		w.faults.LoseAnswers--
		w.begin(o, false)
	}
	if late || lost {
		w.mu.Unlock()
		w.hang(rw)
		return
	}
	status, reason := w.begin(o, false)
	w.mu.Unlock()
	w.reply(rw, status, reason)
}

// begin starts a run; late says that the order waited here. The caller holds
// the mutex.
func (w *Worker) begin(o order, late bool) (int, string) {
	deadline := time.Duration(o.DeadlineMs) * time.Millisecond
	switch r := w.running[o.Task]; {
	case w.closed:
		return http.StatusServiceUnavailable, ""
	case o.FencingToken < w.token:
		return http.StatusConflict, "fence"
	case deadline < w.clock():
		return http.StatusConflict, "late"
	case r != nil && r.begun.Run == o.Run:
		return http.StatusOK, ""
	case o.Run <= w.highest[o.Task]:
		w.hold1(o)
		return http.StatusConflict, "old"
	}
	w.hold1(o)
	if r := w.running[o.Task]; r != nil {
		w.broken = append(w.broken, fmt.Sprintf("two runs of %s at once", o.Task))
	}
	if !late && !w.leftAt.IsZero() && time.Since(w.leftAt) > drainBound {
		w.broken = append(w.broken, fmt.Sprintf("%s was started while the worker drains", o.Task))
	}
	b := &RunRecord{Task: o.Task, Run: o.Run, Checkpoint: o.Checkpoint, Spec: o.Spec, StartedAt: time.Now()}
	w.history = append(w.history, b)
	w.running[o.Task] = &running{begun: b, length: work(o.Spec), work: time.AfterFunc(work(o.Spec), func() { w.finish(o.Task, o.Run, outcome(o.Spec)) })}
	w.checkCapacity()
	w.signal()
	return http.StatusOK, ""
}

// hold1 takes over the token and the deadline of an order.
func (w *Worker) hold1(o order) {
	w.token = max(w.token, o.FencingToken)
	deadline := min(time.Duration(o.DeadlineMs)*time.Millisecond, w.clock()+w.c.MaxLease)
	w.deadline = max(w.deadline, deadline)
}

func (w *Worker) checkCapacity() {
	if w.c.TaskResources == nil {
		return
	}
	var sum steps.Resources
	for task := range w.running {
		sum = sum.Plus(w.c.TaskResources(task))
	}
	if !w.c.Capacity.Holds(sum) {
		w.broken = append(w.broken, fmt.Sprintf("capacity %+v exceeded by %+v", w.c.Capacity, sum))
	}
}

func work(spec string) time.Duration {
	var kind string
	var ms int
	if _, err := fmt.Sscanf(spec, "%s %d", &kind, &ms); err != nil {
		ms = 10
	}
	return time.Duration(ms) * time.Millisecond
}

func outcome(spec string) string {
	if strings.HasPrefix(spec, "fail") {
		return "failed"
	}
	return "done"
}

func (w *Worker) finish(task string, run int, how string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	r := w.running[task]
	if r == nil || r.begun.Run != run {
		return
	}
	switch {
	case w.faults.Hang && how == "done":
		return
	case w.faults.FailAll && how == "done":
		how = "failed"
	}
	w.end(task, how)
}

// end ends a run. The caller holds the mutex.
func (w *Worker) end(task, how string) {
	r := w.running[task]
	r.work.Stop()
	r.begun.EndedAt, r.begun.EndReason = time.Now(), how
	delete(w.running, task)
	w.highest[task] = max(w.highest[task], r.begun.Run)
	w.last++
	w.ends = append(w.ends, ended{w.last, task, r.begun.Run, how, r.begun})
	w.signal()
}

func (w *Worker) signal() {
	close(w.changed)
	w.changed = make(chan struct{})
}

func (w *Worker) stopRun(rw http.ResponseWriter, r *http.Request) {
	o, ok := w.decode(rw, r)
	if !ok {
		return
	}
	w.mu.Lock()
	if o.FencingToken < w.token {
		w.mu.Unlock()
		w.reply(rw, http.StatusConflict, "fence")
		return
	}
	w.token = max(w.token, o.FencingToken)
	w.highest[o.Task] = max(w.highest[o.Task], o.Run)
	if r := w.running[o.Task]; r != nil && r.begun.Run == o.Run {
		time.AfterFunc(w.c.StopDuration, func() { w.finish(o.Task, o.Run, "stopped") })
	}
	w.mu.Unlock()
	w.reply(rw, http.StatusOK, "")
}

func (w *Worker) hold(rw http.ResponseWriter, r *http.Request) {
	o, ok := w.decode(rw, r)
	if !ok {
		return
	}
	w.mu.Lock()
	if o.FencingToken < w.token {
		w.mu.Unlock()
		w.reply(rw, http.StatusConflict, "fence")
		return
	}
	w.hold1(o)
	for len(w.ends) > 0 && w.ends[0].number <= o.AckCursor {
		w.ends[0].begun.EndAcknowledged = true
		w.ends = w.ends[1:]
	}
	changed, listed := w.changed, len(w.ends)
	w.mu.Unlock()
	if listed == 0 && o.WaitMs > 0 {
		select {
		case <-changed:
		case <-w.stop:
		case <-time.After(time.Duration(o.WaitMs) * time.Millisecond):
		}
	}
	httpserver.JSON(rw, http.StatusOK, w.status())
}

func (w *Worker) status() map[string]any {
	w.mu.Lock()
	defer w.mu.Unlock()
	runs, ends := []any{}, []any{}
	for task, r := range w.running {
		progress := 0
		if !w.faults.Hang {
			progress = min(99, int(100*time.Since(r.begun.StartedAt)/r.length))
		}
		runs = append(runs, []any{task, r.begun.Run, "", progress})
	}
	for _, e := range w.ends {
		ends = append(ends, []any{e.number, e.task, e.run, e.end, ""})
	}
	return map[string]any{"clock_ms": w.clock().Milliseconds(), "born": w.born.UnixMilli(), "running": runs, "finished": ends}
}

// lapseAll ends everything when the lease has expired.
func (w *Worker) lapseAll() {
	ticker := time.NewTicker(lapseTick)
	defer ticker.Stop()
	for {
		select {
		case <-w.stop:
			return
		case <-ticker.C:
		}
		w.mu.Lock()
		if w.clock() > w.deadline {
			for task := range w.running {
				w.end(task, "lapsed")
			}
		}
		w.mu.Unlock()
	}
}

// announceAll sends announcements.
func (w *Worker) announceAll() {
	client := http.Client{Timeout: time.Second}
	ticker := time.NewTicker(w.c.HeartbeatInterval)
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
	w.sequence++
	state := "ready"
	if w.draining {
		state = "draining"
	}
	body, err := json.Marshal(map[string]any{
		"service": w.c.Service, "address": w.Address(), "zone": w.c.Zone, "version": "v1", "slots": 8, "state": state,
		"cold_remaining_ms": 0, "capacity": map[string]int{"cpu": w.c.Capacity.CPU, "mem_mb": w.c.Capacity.MemMB, "gpus": w.c.Capacity.GPUs},
		"labels": []string{"a", w.c.Rack}, "clock_ms": w.clock().Milliseconds(), "sequence": w.sequence, "born": w.born.UnixMilli(),
	})
	w.mu.Unlock()
	if err != nil {
		return
	}
	request, err := http.NewRequest(http.MethodPut, "http://"+w.c.HeartbeatAddress+"/api/instances/"+w.c.ID, bytes.NewReader(body))
	if err != nil {
		return
	}
	response, err := client.Do(request)
	if err != nil {
		// The agent is away; the next announcement follows.
		return
	}
	_ = response.Body.Close()
	if state == "draining" && response.StatusCode == http.StatusOK {
		w.mu.Lock()
		if w.leftAt.IsZero() {
			w.leftAt = time.Now()
		}
		w.mu.Unlock()
	}
}
