package main

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"net/http/httputil"
	"net/url"
	"sync/atomic"
	"time"

	"celerypoint.example/celerypoint/standinworker"
	"celerypoint.example/celerypoint/steps"
)

const (
	workerCount = 11
	// greyTime is how long one of the workers refuses starts, askTime how long clients ask.
	greyTime    = 2 * time.Second
	askTime     = 15 * time.Second
	waitingJobs = 4
)

// unhealthyFront stands in front of a worker. While it is unhealthy, it refuses starts with 503,
// and the worker does nothing.
type unhealthyFront struct {
	unhealthy atomic.Bool
	refused   atomic.Int64
	proxy     *httputil.ReverseProxy
}

func (f *unhealthyFront) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if f.unhealthy.Load() && r.URL.Path == "/api/run-start" {
		f.refused.Add(1)
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	f.proxy.ServeHTTP(w, r)
}

// addWorker starts a worker with its agent, and a front that the agent calls.
func (s *system) addWorker(i int) (*standinworker.Worker, *unhealthyFront, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, nil, err
	}
	name := fmt.Sprintf("side-a-%d", i)
	heartbeats, err := s.startAgent(name, listener.Addr().String())
	if err != nil {
		return nil, nil, err
	}
	w, err := standinworker.New("127.0.0.1:0", standinworker.Config{
		ID: fmt.Sprintf("i-%08x", i), Service: service, Zone: "a", Rack: fmt.Sprintf("r%d", i/3), Capacity: steps.Resources{CPU: 32000, MemMB: 131072, GPUs: 8},
		MaxLease: 6 * time.Second, StopDuration: 300 * time.Millisecond, HeartbeatAddress: heartbeats, HeartbeatInterval: 1500 * time.Millisecond, Uptime: 10 * time.Second,
	})
	if err != nil {
		return nil, nil, err
	}
	f := &unhealthyFront{proxy: httputil.NewSingleHostReverseProxy(&url.URL{Scheme: "http", Host: w.Address()})}
	f.proxy.ErrorLog = quiet
	go func() { _ = http.Serve(listener, f) }()
	return w, f, nil
}

func jobOf(gpus int, runMs int) map[string]any {
	return map[string]any{"spec": fmt.Sprintf("run %d", runMs), "steps": []any{map[string]any{"count": 1, "cpu": 1000, "mem_mb": 1000, "gpus": gpus, "estimate_ms": runMs}}}
}

// runPending asks for the number of pending jobs while one of the workers, the only one with
// room, refuses all starts.
func runPending(s *system, trouble bool) (bool, error) {
	if err := s.configure(1); err != nil {
		return false, err
	}
	for _, name := range []string{"edge-a-1", "edge-b-1"} {
		if err := s.startEntry(name); err != nil {
			return false, err
		}
	}
	for i := range workerCount - 1 {
		if _, _, err := s.addWorker(i); err != nil {
			return false, err
		}
	}
	if err := s.awaitReady(workerCount - 1); err != nil {
		return false, err
	}
	// Long jobs take all of the other workers.
	for i := range workerCount - 1 {
		id := fmt.Sprintf("%016x", 0xf000+i)
		status, _, err := s.entries[0].call(http.MethodPost, "/urgent/"+id, jobOf(8, 100_000), 3*time.Second)
		if err != nil || status != http.StatusOK {
			return false, fmt.Errorf("%w: a long job was answered %d (%v)", errSetup, status, err)
		}
	}
	time.Sleep(2 * time.Second)
	last, front, err := s.addWorker(workerCount - 1)
	if err != nil {
		return false, err
	}
	if err := s.awaitReady(workerCount); err != nil {
		return false, err
	}
	time.Sleep(contactMs * time.Millisecond)
	greyFrom := time.Now()
	front.unhealthy.Store(trouble)
	s.note("1 of %d workers refuses starts for %s: %t", workerCount, greyTime, trouble)
	time.AfterFunc(greyTime, func() {
		front.unhealthy.Store(false)
		s.note("the worker takes starts")
	})
	var accepted time.Time
	for i := range waitingJobs {
		id := fmt.Sprintf("%016x", 0xa000+i)
		status, _, err := s.entries[0].call(http.MethodPost, "/urgent/"+id, jobOf(1, 2000), 3*time.Second)
		s.note("POST /urgent/%s: %d (%v)", id, status, err)
		if err != nil || status != http.StatusOK {
			return false, fmt.Errorf("%w: a job was not accepted", errSetup)
		}
		accepted = time.Now()
	}
	broken := false
	for time.Since(greyFrom) < askTime {
		time.Sleep(200 * time.Millisecond)
		for _, e := range s.entries {
			begun := startedTasks(last)
			sent := time.Now()
			status, text, err := e.call(http.MethodGet, "/urgent/", nil, 3*time.Second)
			var reply struct{ Pending int }
			if err != nil || status != http.StatusOK || json.Unmarshal(text, &reply) != nil {
				s.note("GET /urgent/ at %s: %d %q (%v)", e.name, status, text, err)
				continue
			}
			waiting := waitingJobs - begun
			due := sent.Sub(accepted) > (visibleMs+2000)*time.Millisecond
			wrong := due && 2*reply.Pending < waiting && begun == startedTasks(last)
			s.note("GET /urgent/ at %s: pending %d, %d jobs have not begun, accepted %d ms ago, %d starts refused; wrong: %t", e.name, reply.Pending, waiting, sent.Sub(accepted).Milliseconds(), front.refused.Load(), wrong)
			broken = broken || wrong
		}
	}
	for _, r := range last.History() {
		s.note("run %d of %s started %.3f s after the refusals began", r.Run, r.Task, r.StartedAt.Sub(greyFrom).Seconds())
	}
	return broken, nil
}

func startedTasks(w *standinworker.Worker) int {
	tasks := map[string]bool{}
	for _, r := range w.History() {
		tasks[r.Task] = true
	}
	return len(tasks)
}
