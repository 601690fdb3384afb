// Package siteproof holds end-to-end tests of a deployment on the platform of the
// users, whose protocols package platform implements: entries and agents run in the
// test process and talk to stand-ins for the platform's store and workers over
// loopback sockets. The tests inject faults that the platform's documentation
// describes; see standinstore.Faults and standinworker.Faults.
package siteproof

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"celerypoint.example/celerypoint/faultproxy"
	"celerypoint.example/celerypoint/httpserver"
	"celerypoint.example/celerypoint/loopback"
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
	// maxLease is shorter than on the platform so that tests that wait for a
	// lease to expire are quick.
	maxLease = 2500 * time.Millisecond
	// waitTimeout bounds every wait of a test. It leaves time for a new planner
	// that cannot reach an agent and waits until the agent's leases have expired.
	waitTimeout = 30 * time.Second
	// workerRestart is the time from the crash of a worker to its next start.
	workerRestart     = 300 * time.Millisecond
	heartbeatInterval = 200 * time.Millisecond
	// shrinkGrace is the time from a reduction of a worker's capacity to the last start
	// that may rely on the capacity of before: the platform's contact_ms and one heartbeat.
	shrinkGrace = 3*time.Second + heartbeatInterval
)

// site is a set of entries and agents with the stand-ins that they use.
type site struct {
	c       *qt.C
	store   *standinstore.Server
	entries []*entryProcess
	agents  []*agentProcess
	log     io.Writer
	// entryOptions change the configuration of each entry.
	entryOptions []entryOption

	mu sync.Mutex
	// taskResources maps a job's ID to the resources that one of its tasks uses.
	taskResources map[string]steps.Resources
	entryCount    int
	// closed is closed at the end of the test.
	closed chan struct{}
}

type entryProcess struct {
	daemon        *stepentry.Daemon
	listenAddress string
	// storeProxy stands between the entry and the store.
	storeProxy    *faultproxy.Proxy
	clientServer  *httpserver.Server
	clientAddress string
}

type agentProcess struct {
	name             string
	listenAddress    string
	heartbeatAddress string
	rack, zone       string
	daemon           *stepagent.Daemon
	heartbeatServer  *httpserver.Server
	// worker is nil while a worker that one of its runs has crashed is away.
	// crashedWorkers are the earlier incarnations, oldest first. site.mu guards both.
	worker         *standinworker.Worker
	crashedWorkers []*standinworker.Worker
	workerAddress  string
}

// workers lists all incarnations of the agent's worker, oldest first.
func (s *site) workers(a *agentProcess) []*standinworker.Worker {
	s.mu.Lock()
	defer s.mu.Unlock()
	all := slices.Clone(a.crashedWorkers)
	if a.worker != nil {
		all = append(all, a.worker)
	}
	return all
}

// capacity is the capacity of each worker.
var capacity = steps.Resources{CPU: 32000, MemMB: 128 << 10, GPUs: 8}

// newSite starts entries and agents, and waits until one entry is ready and is
// the planner to which all agents are attached. If the environment variable
// SITEPROOF_LOG names a file, their log lines are appended to it.
func newSite(t *testing.T, entries, agents int, options ...entryOption) *site {
	t.Parallel()
	c := qt.New(t)
	store, err := standinstore.New("127.0.0.1:0")
	c.Assert(err, qt.IsNil)
	s := &site{c: c, store: store, taskResources: map[string]steps.Resources{}, log: io.Discard, closed: make(chan struct{}), entryOptions: options}
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
		s.startEntry(loopback.Address())
	}
	s.eventually("an entry is ready and plans for all agents", func() bool {
		return slices.ContainsFunc(s.entries, func(e *entryProcess) bool { return e.daemon.Ready() && e.daemon.AttachedAgents() == agents })
	})
	return s
}

// configure stores a configuration with one queue of each priority.
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

// entryOption changes the configuration of an entry.
type entryOption func(*stepentry.Config)

func (s *site) startEntry(listen string) *entryProcess {
	s.entryCount++
	proxy, err := faultproxy.New("127.0.0.1:0", s.store.Address(), uint64(s.entryCount))
	s.c.Assert(err, qt.IsNil)
	cfg := stepentry.Config{
		Name: fmt.Sprintf("entry-%d", s.entryCount), Zone: "a", Listen: listen, Topic: topic, ConfigTopic: platform.TopicConfiguration,
		Log: platform.NewStore(proxy.Address()), DecodeOperator: platform.DecodeOperatorRecord,
		Timing:   stepplan.Timing{LeaseDuration: maxLease * 9 / 10, KeepStatus: time.Minute, MaxStopTime: 200 * time.Millisecond, MaxReclaimTime: 2700 * time.Millisecond, FarFactor: 3},
		KeyGrace: 2 * time.Second, MaxConfigAge: configApply * 95 / 100, ShutdownDelay: 2 * time.Second,
	}
	for _, o := range s.entryOptions {
		o(&cfg)
	}
	d, err := stepentry.New(cfg, stepentry.WithOutput(s.log))
	s.c.Assert(err, qt.IsNil)
	h, err := httpserver.New("127.0.0.1:0", 64, platform.ClientHandler(d))
	s.c.Assert(err, qt.IsNil)
	e := &entryProcess{daemon: d, listenAddress: listen, storeProxy: proxy, clientServer: h, clientAddress: h.Address()}
	s.entries = append(s.entries, e)
	return e
}

func (e *entryProcess) kill() {
	e.clientServer.Close(100 * time.Millisecond)
	e.daemon.Kill()
	e.storeProxy.Close()
}

func (s *site) startAgent(i int, options ...workerOption) *agentProcess {
	a := &agentProcess{name: fmt.Sprintf("vm-%d", i), listenAddress: loopback.Address(), heartbeatAddress: loopback.Address(), rack: fmt.Sprintf("r%d", i/2), zone: string("ab"[i/2%2])}
	s.startWorker(a, loopback.Address(), options...)
	s.runAgent(a)
	s.agents = append(s.agents, a)
	return a
}

// workerOption changes the configuration of one incarnation of a worker.
type workerOption func(*standinworker.Config)

// startWorker starts a new incarnation of the agent's worker.
func (s *site) startWorker(a *agentProcess, address string, options ...workerOption) {
	w, err := standinworker.New(address, s.workerConfig(a, address, options...))
	s.c.Assert(err, qt.IsNil)
	s.mu.Lock()
	a.worker, a.workerAddress = w, w.Address()
	s.mu.Unlock()
}

func (s *site) workerConfig(a *agentProcess, address string, options ...workerOption) standinworker.Config {
	cfg := standinworker.Config{
		ID: fmt.Sprintf("i-%s", a.name), Service: "paint", Zone: a.zone, Rack: a.rack, Capacity: capacity,
		MaxLease: maxLease, StopDuration: 100 * time.Millisecond, HeartbeatAddress: a.heartbeatAddress, HeartbeatInterval: heartbeatInterval,
		TaskResources: s.resourcesOfTask, ShrinkGrace: shrinkGrace,
		OnCrash: func() { s.restartWorker(a, address) },
	}
	for _, o := range options {
		o(&cfg)
	}
	return cfg
}

// restartWorker starts a new incarnation of a worker that one of its runs has crashed,
// unless the test is over.
func (s *site) restartWorker(a *agentProcess, address string) {
	s.mu.Lock()
	a.crashedWorkers, a.worker = append(a.crashedWorkers, a.worker), nil
	s.mu.Unlock()
	select {
	case <-s.closed:
	case <-time.After(workerRestart):
		s.startWorker(a, address)
	}
}

// crashWorker ends a worker and all its runs, and starts a new incarnation at
// the same address.
func (s *site) crashWorker(a *agentProcess) {
	address := a.worker.Address()
	a.worker.Close()
	s.mu.Lock()
	a.crashedWorkers = append(a.crashedWorkers, a.worker)
	s.mu.Unlock()
	s.startWorker(a, address)
}

func (s *site) resourcesOfTask(task string) steps.Resources {
	s.mu.Lock()
	defer s.mu.Unlock()
	id, _, _ := strings.Cut(task, ".")
	return s.taskResources[id]
}

func (s *site) runAgent(a *agentProcess) {
	d, err := stepagent.New(stepagent.Config{
		Name: a.name, Zone: a.zone, Listen: a.listenAddress, Topic: topic,
		Log: platform.NewStore(s.store.Address()), Worker: platform.NewWorker(a.workerAddress),
	}, stepagent.WithOutput(s.log))
	s.c.Assert(err, qt.IsNil)
	h, err := httpserver.New(a.heartbeatAddress, 4, platform.HeartbeatHandler(d))
	s.c.Assert(err, qt.IsNil)
	a.daemon, a.heartbeatServer = d, h
}

func (a *agentProcess) kill() {
	a.heartbeatServer.Close(100 * time.Millisecond)
	a.daemon.Kill()
}

func (s *site) close() {
	close(s.closed)
	for _, e := range s.entries {
		e.kill()
	}
	for _, a := range s.agents {
		a.kill()
		for _, w := range s.workers(a) {
			w.Close()
		}
	}
	s.store.Close()
}

// eventually polls until the condition holds, and fails the test if it does not
// within waitTimeout.
func (s *site) eventually(what string, condition func() bool) {
	s.c.Helper()
	for deadline := time.Now().Add(waitTimeout); !condition(); time.Sleep(20 * time.Millisecond) {
		if time.Now().After(deadline) {
			s.c.Fatalf("not within %s: %s", waitTimeout, what)
		}
	}
}

// request sends one client request. It returns status 0 if there was no
// response.
func (s *site) request(e *entryProcess, method, path, apiKey string, body any) (int, map[string]any) {
	text, err := json.Marshal(body)
	s.c.Assert(err, qt.IsNil)
	r, err := http.NewRequest(method, "http://"+e.clientAddress+path, bytes.NewReader(text))
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
	// Some responses have no body.
	_ = json.NewDecoder(response.Body).Decode(&reply)
	return response.StatusCode, reply
}

// jobBody returns the request body of a job, and records in taskResources what
// its tasks use.
func (s *site) jobBody(id, spec string, gpus, count int, gang bool) map[string]any {
	s.mu.Lock()
	s.taskResources[id] = steps.Resources{CPU: 1000, MemMB: 1024, GPUs: gpus}
	s.mu.Unlock()
	return map[string]any{"spec": spec, "steps": []any{map[string]any{
		"count": count, "cpu": 1000, "mem_mb": 1024, "gpus": gpus, "estimate_ms": 500, "gang": gang,
	}}}
}

// jobID returns the ID of the nth job of a test.
func jobID(n int) string { return fmt.Sprintf("%016x", n) }

// submit sends a job until it is accepted.
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

// starts returns the starts of a job's tasks on all workers, in order of time.
func (s *site) starts(id string) []standinworker.RunRecord {
	var all []standinworker.RunRecord
	for _, a := range s.agents {
		for _, w := range s.workers(a) {
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

// checkRuns reports an error if two runs of a task overlap, if a task starts
// again after it has succeeded, or if a worker recorded a violation of its
// rules.
func (s *site) checkRuns() {
	s.c.Helper()
	s.mu.Lock()
	var ids []string
	for id := range s.taskResources {
		ids = append(ids, id)
	}
	s.mu.Unlock()
	for _, id := range ids {
		lastRun := map[string]standinworker.RunRecord{}
		for _, b := range s.starts(id) {
			if previous, found := lastRun[b.Task]; found {
				s.c.Check(previous.EndedAt.IsZero() || b.StartedAt.Before(previous.EndedAt), qt.IsFalse, qt.Commentf("%s: run %d started while run %d was in progress", b.Task, b.Run, previous.Run))
				s.c.Check(previous.EndReason, qt.Not(qt.Equals), "done", qt.Commentf("%s: run %d started after a success", b.Task, b.Run))
			}
			lastRun[b.Task] = b
		}
	}
	for _, a := range s.agents {
		for _, w := range s.workers(a) {
			s.c.Check(w.Violations(), qt.HasLen, 0)
		}
	}
}

// planner returns the entry that is the planner, or nil.
func (s *site) planner() *entryProcess {
	for _, e := range s.entries {
		if e.daemon.AttachedAgents() >= 0 {
			return e
		}
	}
	return nil
}
