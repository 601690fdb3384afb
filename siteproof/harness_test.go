// Package siteproof holds tests of the whole path on the platform: entries and
// agents against stand-ins of the platform's store and workers, over loopback
// sockets, with the faults that the platform's pages describe.
package siteproof

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"celerypoint.example/celerypoint/httpserver"
	"celerypoint.example/celerypoint/platform"
	"celerypoint.example/celerypoint/standinstore"
	"celerypoint.example/celerypoint/standinworker"
	"celerypoint.example/celerypoint/stepagent"
	"celerypoint.example/celerypoint/stepentry"
	"celerypoint.example/celerypoint/stepplan"
	"celerypoint.example/celerypoint/steps"
)

const (
	host  = "trails.example"
	key   = "key-of-crew"
	topic = "celerypoint"
	// maxLease is shorter than on the platform, so that tests of lapses are
	// quick.
	maxLease = 2500 * time.Millisecond
	// patience bounds every wait of a test; a takeover with a lost agent waits
	// for leases.
	patience = 30 * time.Second
)

// site is a system with its stand-ins.
type site struct {
	c       *qt.C
	store   *standinstore.Server
	entries []*entryProcess
	agents  []*agentProcess
	log     io.Writer

	mu sync.Mutex
	// needs is what a task of each job takes.
	needs map[string]steps.Resources
	next  int
}

type entryProcess struct {
	daemon  *stepentry.Daemon
	clients *httpserver.Server
	address string
}

type agentProcess struct {
	name       string
	listen     string
	heartbeats string
	rack       string
	daemon     *stepagent.Daemon
	http       *httpserver.Server
	worker     *standinworker.Worker
	// past are workers that have crashed.
	past []*standinworker.Worker
}

// capacity of each worker.
var capacity = steps.Resources{CPU: 32000, MemMB: 128 << 10, GPUs: 8}

// newSite starts entries and agents, and waits until a planner knows all
// agents.
func newSite(t *testing.T, entries, agents int) *site {
	t.Parallel()
	c := qt.New(t)
	store, err := standinstore.New("127.0.0.1:0")
	c.Assert(err, qt.IsNil)
	s := &site{c: c, store: store, needs: map[string]steps.Resources{}, log: io.Discard}
	if path := os.Getenv("SITEPROOF_LOG"); path != "" {
		f, err := os.OpenFile(path, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
		c.Assert(err, qt.IsNil)
		s.log = f
	}
	c.Cleanup(s.close)
	s.configure(1, key)
	for i := range agents {
		s.startAgent(i)
	}
	for range entries {
		s.startEntry("127.0.0.1:0")
	}
	s.eventually("an entry is ready and plans", func() bool {
		return slices.ContainsFunc(s.entries, func(e *entryProcess) bool { return e.daemon.Ready() && e.daemon.AttachedAgents() == agents })
	})
	return s
}

// configure writes a configuration with one queue of each priority.
func (s *site) configure(version int, keys ...string) {
	queue := func(name string, priority int) map[string]any {
		return map[string]any{
			"name": name, "host": host, "path_prefix": "/" + name + "/", "timeout_ms": 3000, "target_latency_ms": 1000,
			"priority": priority, "service": "paint", "max_attempts": 3, "stretch": 3.0,
		}
	}
	body, err := json.Marshal(map[string]any{
		"version": version, "routes": []any{queue("urgent", 0), queue("normal", 1), queue("batch", 2)},
		"tenants": []any{map[string]any{"name": "crew", "api_keys": keys, "guaranteed": map[string]any{"gpus": 16}}},
	})
	s.c.Assert(err, qt.IsNil)
	s.store.Put("keyed.op", "config", body)
}

func (s *site) startEntry(listen string) *entryProcess {
	s.next++
	d, err := stepentry.New(stepentry.Config{
		Name: fmt.Sprintf("entry-%d", s.next), Zone: "a", Listen: listen, Topic: topic, ConfigTopic: platform.TopicConfiguration,
		Log: platform.NewStore(s.store.Address()), DecodeConfig: platform.DecodeConfiguration,
		Timing:   stepplan.Timing{LeaseDuration: maxLease * 9 / 10, KeepStatus: time.Minute, MaxStopTime: 200 * time.Millisecond, MaxReclaimTime: 2700 * time.Millisecond, FarFactor: 3},
		KeyGrace: 2 * time.Second, ShutdownDelay: 2 * time.Second,
	}, stepentry.WithOutput(s.log))
	s.c.Assert(err, qt.IsNil)
	h, err := httpserver.New("127.0.0.1:0", 64, platform.ClientHandler(d))
	s.c.Assert(err, qt.IsNil)
	e := &entryProcess{daemon: d, clients: h, address: h.Address()}
	s.entries = append(s.entries, e)
	return e
}

func (e *entryProcess) kill() {
	e.clients.Close(100 * time.Millisecond)
	e.daemon.Kill()
}

// freeAddress finds a free port of loopback that a process can take again
// after a restart.
func (s *site) freeAddress() string {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	s.c.Assert(err, qt.IsNil)
	defer l.Close()
	return l.Addr().String()
}

func (s *site) startAgent(i int) *agentProcess {
	a := &agentProcess{name: fmt.Sprintf("vm-%d", i), listen: s.freeAddress(), heartbeats: s.freeAddress(), rack: fmt.Sprintf("r%d", i/2)}
	s.startWorker(a, s.freeAddress())
	s.runAgent(a)
	s.agents = append(s.agents, a)
	return a
}

// startWorker starts a new life of the agent's worker.
func (s *site) startWorker(a *agentProcess, address string) {
	w, err := standinworker.New(address, standinworker.Config{
		ID: fmt.Sprintf("i-%s", a.name), Service: "paint", Zone: "a", Rack: a.rack, Capacity: capacity,
		MaxLease: maxLease, StopDuration: 100 * time.Millisecond, HeartbeatAddress: a.heartbeats, HeartbeatInterval: 200 * time.Millisecond,
		TaskResources: s.needsOf,
	})
	s.c.Assert(err, qt.IsNil)
	a.worker = w
}

// crashWorker ends a worker with everything that it runs, and starts another
// life at the same address.
func (s *site) crashWorker(a *agentProcess) {
	address := a.worker.Address()
	a.worker.Close()
	a.past = append(a.past, a.worker)
	s.startWorker(a, address)
}

func (s *site) needsOf(task string) steps.Resources {
	s.mu.Lock()
	defer s.mu.Unlock()
	id, _, _ := strings.Cut(task, ".")
	return s.needs[id]
}

func (s *site) runAgent(a *agentProcess) {
	d, err := stepagent.New(stepagent.Config{
		Name: a.name, Zone: "a", Listen: a.listen, Topic: topic,
		Log: platform.NewStore(s.store.Address()), Worker: platform.NewWorker(a.worker.Address()),
	}, stepagent.WithOutput(s.log))
	s.c.Assert(err, qt.IsNil)
	h, err := httpserver.New(a.heartbeats, 4, platform.HeartbeatHandler(d))
	s.c.Assert(err, qt.IsNil)
	a.daemon, a.http = d, h
}

func (a *agentProcess) kill() {
	a.http.Close(100 * time.Millisecond)
	a.daemon.Kill()
}

func (s *site) close() {
	for _, e := range s.entries {
		e.kill()
	}
	for _, a := range s.agents {
		a.kill()
		a.worker.Close()
	}
	s.store.Close()
}

// eventually waits until f holds.
func (s *site) eventually(what string, f func() bool) {
	s.c.Helper()
	for deadline := time.Now().Add(patience); !f(); time.Sleep(20 * time.Millisecond) {
		if time.Now().After(deadline) {
			s.c.Fatalf("not within %s: %s", patience, what)
		}
	}
}

// request is one request of a client.
func (s *site) request(e *entryProcess, method, path, apiKey string, body any) (int, map[string]any) {
	text, err := json.Marshal(body)
	s.c.Assert(err, qt.IsNil)
	r, err := http.NewRequest(method, "http://"+e.address+path, bytes.NewReader(text))
	s.c.Assert(err, qt.IsNil)
	r.Host = host
	r.Header.Set("Authorization", "Token "+apiKey)
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	response, err := http.DefaultClient.Do(r.WithContext(ctx))
	if err != nil {
		return 0, nil
	}
	defer response.Body.Close()
	var reply map[string]any
	// Some answers have no body.
	_ = json.NewDecoder(response.Body).Decode(&reply)
	return response.StatusCode, reply
}

// jobOf makes a job's body and remembers what its tasks take.
func (s *site) jobOf(id, spec string, gpus, count int, gang bool) map[string]any {
	s.mu.Lock()
	s.needs[id] = steps.Resources{CPU: 1000, MemMB: 1024, GPUs: gpus}
	s.mu.Unlock()
	return map[string]any{"spec": spec, "steps": []any{map[string]any{
		"count": count, "cpu": 1000, "mem_mb": 1024, "gpus": gpus, "estimate_ms": 500, "gang": gang,
	}}}
}

// id makes a job's identifier.
func id(n int) string { return fmt.Sprintf("%016x", n) }

// submit hands a job in until it is accepted.
func (s *site) submit(e *entryProcess, queue, id string, body map[string]any) {
	s.c.Helper()
	s.eventually("job "+id+" is accepted", func() bool {
		status, _ := s.request(e, http.MethodPost, "/"+queue+"/"+id, key, body)
		return status == http.StatusOK
	})
}

func (s *site) state(e *entryProcess, queue, id string) string {
	_, reply := s.request(e, http.MethodGet, "/"+queue+"/"+id, key, nil)
	state, _ := reply["state"].(string)
	return state
}

func (s *site) awaitState(e *entryProcess, queue, id, want string) {
	s.c.Helper()
	s.eventually("job "+id+" is "+want, func() bool { return s.state(e, queue, id) == want })
}

// starts lists the starts of a job's tasks on all workers.
func (s *site) starts(id string) []standinworker.RunRecord {
	var all []standinworker.RunRecord
	for _, a := range s.agents {
		for _, w := range append(slices.Clone(a.past), a.worker) {
			for _, b := range w.History() {
				if strings.HasPrefix(b.Task, id+".") {
					all = append(all, b)
				}
			}
		}
	}
	slices.SortFunc(all, func(x, y standinworker.RunRecord) int { return x.StartedAt.Compare(y.StartedAt) })
	return all
}

// checkRuns fails on two runs of a task at once, on a start after a success,
// and on every rule that a worker saw broken.
func (s *site) checkRuns() {
	s.c.Helper()
	s.mu.Lock()
	var ids []string
	for id := range s.needs {
		ids = append(ids, id)
	}
	s.mu.Unlock()
	for _, id := range ids {
		last := map[string]standinworker.RunRecord{}
		for _, b := range s.starts(id) {
			if before, found := last[b.Task]; found {
				s.c.Check(before.EndedAt.IsZero() || b.StartedAt.Before(before.EndedAt), qt.IsFalse, qt.Commentf("%s: run %d while run %d goes on", b.Task, b.Run, before.Run))
				s.c.Check(before.EndReason, qt.Not(qt.Equals), "done", qt.Commentf("%s: run %d after a success", b.Task, b.Run))
			}
			last[b.Task] = b
		}
	}
	for _, a := range s.agents {
		for _, w := range append(slices.Clone(a.past), a.worker) {
			s.c.Check(w.Violations(), qt.HasLen, 0)
		}
	}
}

// planner finds the entry that plans.
func (s *site) planner() *entryProcess {
	for _, e := range s.entries {
		if e.daemon.AttachedAgents() >= 0 {
			return e
		}
	}
	return nil
}
