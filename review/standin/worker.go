package standin

import (
	"bytes"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"sort"
	"sync"
	"time"
)

// Bounds of a worker, as in the settings of a small deployment.
const (
	maxHold           = 6 * time.Second
	stopTime          = 200 * time.Millisecond
	startupTime       = 300 * time.Millisecond
	heartbeatInterval = 1500 * time.Millisecond
	maxEnds           = 500
)

// Room is the capacity of a worker.
type Room struct {
	CPU  int `json:"cpu"`
	Mem  int `json:"mem_mb"`
	GPUs int `json:"gpus"`
}

// Run is a run of a work unit on a worker, for the checks of the cases.
type Run struct {
	Worker, Task   string
	Number         int
	Started, Ended time.Duration
	How            string
}

type liveRun struct {
	run     *Run
	born    time.Time
	takes   time.Duration
	lasts   bool
	endings *time.Timer
}

// Worker is a stand-in for one life of a worker. What a run does follows from its
// spec: "run MS" ends done after MS milliseconds, "last" runs until it is stopped.
type Worker struct {
	ID, Service, Rack string
	Kind              string
	Room              Room
	Agent             string
	Address           string
	// Up is how long the worker has been up when the case begins. FirstBeat is the time
	// from its start to its first heartbeat.
	Up, FirstBeat time.Duration
	log           *Record
	server        *http.Server
	born          time.Time

	mu       sync.Mutex
	calls    int
	fenced   int
	down     bool
	sequence int
	token    int64
	deadline time.Duration
	running  map[string]*liveRun
	highest  map[string]int
	ends     []endRow
	lastEnd  int64
	changed  chan struct{}
	runs     []*Run
}

type endRow struct {
	number int64
	run    *Run
}

// NewWorker listens at the address. Begin starts its heartbeats.
func NewWorker(log *Record, w *Worker, address string) error {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return err
	}
	w.Address, w.log, w.born = listener.Addr().String(), log, time.Now().Add(-w.Up)
	w.running, w.highest, w.changed = map[string]*liveRun{}, map[string]int{}, make(chan struct{})
	if w.Kind == "" {
		w.Kind = "a"
	}
	mux := http.NewServeMux()
	mux.HandleFunc("POST /api/run-start", w.start)
	mux.HandleFunc("POST /api/run-stop", w.stop)
	mux.HandleFunc("POST /api/hold", w.hold)
	w.server = &http.Server{Handler: mux}
	go func() { _ = w.server.Serve(listener) }()
	return nil
}

// Begin starts the worker's heartbeats and its lease.
func (w *Worker) Begin() {
	w.log.Add("worker    %s of service %s on rack %s begins, room %+v", w.ID, w.Service, w.Rack, w.Room)
	go func() {
		client := http.Client{Timeout: time.Second}
		time.Sleep(w.FirstBeat)
		for !w.isDown() {
			w.beat(&client)
			time.Sleep(heartbeatInterval)
		}
	}()
	go func() {
		for !w.isDown() {
			time.Sleep(10 * time.Millisecond)
			w.mu.Lock()
			if w.clock() > w.deadline {
				for task := range w.running {
					w.end(task, "lapsed")
				}
			}
			w.mu.Unlock()
		}
	}()
}

func (w *Worker) isDown() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.down
}

func (w *Worker) clock() time.Duration { return time.Since(w.born) }

// Crash ends the worker at once, as if its machine were lost.
func (w *Worker) Crash() {
	w.mu.Lock()
	if w.down {
		w.mu.Unlock()
		return
	}
	w.down = true
	for task, r := range w.running {
		r.run.Ended, r.run.How = w.log.Now(), "crashed"
		w.log.Add("worker    %s: run %d of %s is lost with the worker", w.ID, r.run.Number, task)
		if r.endings != nil {
			r.endings.Stop()
		}
	}
	w.running = map[string]*liveRun{}
	w.mu.Unlock()
	_ = w.server.Close()
}

// Fail makes the run of a work unit end as failed. It reports whether there was one.
func (w *Worker) Fail(task string) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.running[task] == nil {
		return false
	}
	w.end(task, "failed")
	return true
}

// Runs lists the runs that the worker has begun.
func (w *Worker) Runs() []Run {
	w.mu.Lock()
	defer w.mu.Unlock()
	all := make([]Run, 0, len(w.runs))
	for _, r := range w.runs {
		all = append(all, *r)
	}
	return all
}

func (w *Worker) beat(client *http.Client) {
	w.mu.Lock()
	w.sequence++
	body := map[string]any{
		"service": w.Service, "address": w.Address, "zone": "zone-a", "version": "v1", "slots": 8, "state": "ready", "cold_remaining_ms": 0,
		"capacity": w.Room, "labels": []string{w.Kind, w.Rack}, "clock_ms": w.clock().Milliseconds(), "sequence": w.sequence, "born": w.born.UnixMilli(),
	}
	down := w.down
	w.mu.Unlock()
	if !down {
		_, _ = Beat(client, w.Agent, w.ID, body)
	}
}

// Beat sends a heartbeat to the address on the worker's machine.
func Beat(client *http.Client, address, id string, body any) (int, error) {
	encoded, err := json.Marshal(body)
	if err != nil {
		return 0, err
	}
	request, err := http.NewRequest(http.MethodPut, "http://"+address+"/api/instances/"+id, bytes.NewReader(encoded))
	if err != nil {
		return 0, err
	}
	request.Header.Set("Content-Type", "application/json")
	response, err := client.Do(request)
	if err != nil {
		return 0, err
	}
	_ = response.Body.Close()
	return response.StatusCode, nil
}

type call struct {
	Task     string `json:"task"`
	Run      int    `json:"run"`
	Spec     string `json:"spec"`
	Deadline int64  `json:"deadline_ms"`
	Token    int64  `json:"fencing_token"`
	Ack      int64  `json:"ack_cursor"`
	Wait     int    `json:"wait_ms"`
}

func (w *Worker) decode(rw http.ResponseWriter, r *http.Request) (call, bool) {
	var c call
	if id := r.Header.Get("X-Expected-Instance"); id != "" && id != w.ID {
		w.reply(rw, http.StatusMisdirectedRequest, "")
		return c, false
	}
	if err := json.NewDecoder(r.Body).Decode(&c); err != nil {
		w.reply(rw, http.StatusBadRequest, "")
		return c, false
	}
	return c, true
}

func (w *Worker) reply(rw http.ResponseWriter, status int, reason string) {
	body := map[string]any{"clock_ms": w.clock().Milliseconds()}
	if reason != "" {
		body["reason"] = reason
	}
	answer(rw, status, body)
}

func (w *Worker) start(rw http.ResponseWriter, r *http.Request) {
	c, ok := w.decode(rw, r)
	if !ok {
		return
	}
	w.mu.Lock()
	status, reason := w.begin(c)
	w.mu.Unlock()
	w.reply(rw, status, reason)
}

func (w *Worker) extend(c call) {
	w.token = max(w.token, c.Token)
	w.deadline = max(w.deadline, min(time.Duration(c.Deadline)*time.Millisecond, w.clock()+maxHold))
}

func (w *Worker) begin(c call) (int, string) {
	switch live := w.running[c.Task]; {
	case w.down:
		return http.StatusServiceUnavailable, ""
	case c.Token < w.token:
		return http.StatusConflict, "fence"
	case time.Duration(c.Deadline)*time.Millisecond < w.clock():
		return http.StatusConflict, "late"
	case live != nil && live.run.Number == c.Run:
		return http.StatusOK, ""
	case c.Run <= w.highest[c.Task]:
		w.extend(c)
		return http.StatusConflict, "old"
	}
	w.extend(c)
	run := &Run{Worker: w.ID, Task: c.Task, Number: c.Run, Started: w.log.Now()}
	live := &liveRun{run: run, born: time.Now(), lasts: c.Spec == "last"}
	if !live.lasts {
		ms := 10
		_, _ = fmt.Sscanf(c.Spec, "run %d", &ms)
		live.takes = time.Duration(ms) * time.Millisecond
		live.endings = time.AfterFunc(live.takes, func() {
			w.mu.Lock()
			defer w.mu.Unlock()
			if w.running[c.Task] == live {
				w.end(c.Task, "done")
			}
		})
	}
	w.running[c.Task] = live
	w.runs = append(w.runs, run)
	w.log.Add("worker    %s starts run %d of %s", w.ID, c.Run, c.Task)
	w.signal()
	return http.StatusOK, ""
}

// end ends a run. The caller holds the mutex.
func (w *Worker) end(task, how string) {
	live := w.running[task]
	if live.endings != nil {
		live.endings.Stop()
	}
	delete(w.running, task)
	live.run.Ended, live.run.How = w.log.Now(), how
	w.highest[task] = max(w.highest[task], live.run.Number)
	w.lastEnd++
	w.ends = append(w.ends, endRow{w.lastEnd, live.run})
	w.log.Add("worker    %s: run %d of %s ends %s", w.ID, live.run.Number, task, how)
	w.signal()
}

func (w *Worker) signal() {
	close(w.changed)
	w.changed = make(chan struct{})
}

func (w *Worker) stop(rw http.ResponseWriter, r *http.Request) {
	c, ok := w.decode(rw, r)
	if !ok {
		return
	}
	w.mu.Lock()
	if c.Token < w.token {
		w.mu.Unlock()
		w.reply(rw, http.StatusConflict, "fence")
		return
	}
	w.token = c.Token
	w.highest[c.Task] = max(w.highest[c.Task], c.Run)
	if live := w.running[c.Task]; live != nil && live.run.Number == c.Run {
		w.log.Add("worker    %s is told to stop run %d of %s", w.ID, c.Run, c.Task)
		time.AfterFunc(stopTime/2, func() {
			w.mu.Lock()
			defer w.mu.Unlock()
			if w.running[c.Task] == live {
				w.end(c.Task, "stopped")
			}
		})
	}
	w.mu.Unlock()
	w.reply(rw, http.StatusOK, "")
}

func (w *Worker) hold(rw http.ResponseWriter, r *http.Request) {
	c, ok := w.decode(rw, r)
	if !ok {
		return
	}
	w.mu.Lock()
	w.calls++
	if c.Token < w.token {
		w.fenced++
		if w.fenced == 1 {
			w.log.Add("worker    %s answers 409 fence to a hold with epoch number %d, it has seen %d", w.ID, c.Token, w.token)
		}
		w.mu.Unlock()
		w.reply(rw, http.StatusConflict, "fence")
		return
	}
	if w.calls == 1 {
		w.log.Add("worker    %s, born %d, gets its first hold: epoch number %d, ack_cursor %d", w.ID, w.born.UnixMilli(), c.Token, c.Ack)
	}
	w.extend(c)
	for len(w.ends) > 0 && w.ends[0].number <= c.Ack {
		w.ends = w.ends[1:]
	}
	listed, changed := len(w.ends), w.changed
	w.mu.Unlock()
	if listed == 0 && c.Wait > 0 {
		until := time.After(time.Duration(c.Wait) * time.Millisecond)
		for waiting := true; waiting; {
			select {
			case <-until:
				waiting = false
			case <-changed:
				w.mu.Lock()
				waiting, changed = len(w.ends) == 0, w.changed
				w.mu.Unlock()
			}
		}
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	running, finished := []any{}, []any{}
	tasks := make([]string, 0, len(w.running))
	for task := range w.running {
		tasks = append(tasks, task)
	}
	sort.Strings(tasks)
	for _, task := range tasks {
		live := w.running[task]
		percent := 0
		switch age := time.Since(live.born); {
		case live.lasts && age > startupTime:
			percent = 100
		case !live.lasts && live.takes > 0:
			percent = min(99, int(100*age/live.takes))
		}
		running = append(running, []any{task, live.run.Number, "", percent, 0})
	}
	for _, e := range w.ends[:min(len(w.ends), maxEnds)] {
		finished = append(finished, []any{e.number, e.run.Task, e.run.Number, e.run.How, ""})
	}
	answer(rw, http.StatusOK, map[string]any{"clock_ms": w.clock().Milliseconds(), "born": w.born.UnixMilli(), "running": running, "finished": finished})
}

// Down reports whether the worker has ended.
func (w *Worker) Down() bool { return w.isDown() }

// Holds returns the calls for the lists that the worker got, and those of them that it
// refused because of their epoch number.
func (w *Worker) Holds() (all, fenced int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.calls, w.fenced
}
