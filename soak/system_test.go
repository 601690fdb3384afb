package soak

import (
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"celerypoint.example/celerypoint/faultproxy"
	"celerypoint.example/celerypoint/standinstore"
	"celerypoint.example/celerypoint/standinworker"
	"celerypoint.example/celerypoint/steps"
)

// The bounds of the system under test, as the platform's settings state them.
const (
	maxLease  = 6 * time.Second
	stopTime  = 300 * time.Millisecond
	revokeMs  = 5000
	queueHost = "soak.example"
	entries   = 3
	agents    = 5
	// entryMB and agentMB are the memory of the VMs.
	entryMB, agentMB = 284, 152
)

// capacity of each worker.
var capacity = steps.Resources{CPU: 32000, MemMB: 128 << 10, GPUs: 8}

// entryNode is an entry with the proxies in front of it and of its store.
type entryNode struct {
	*process
	clients, peers, store *faultproxy.Proxy
}

// agentNode is an agent with its proxies and the worker beside it.
type agentNode struct {
	*process
	peers, store *faultproxy.Proxy
	workerAt     string
	heartbeatsAt string
	rack         string

	mu     sync.Mutex
	worker *standinworker.Worker
	// past are workers that have crashed.
	past []*standinworker.Worker
}

// system is the processes under test with their stand-ins.
type system struct {
	seed   uint64
	random *rand.Rand
	dir    string
	store  *standinstore.Server

	entries []*entryNode
	agents  []*agentNode

	mu       sync.Mutex
	broken   []string
	needs    map[string]steps.Resources
	version  int
	keys     map[string]time.Time
	timeline []string
	begun    time.Time
	// muted says that the store's reads show nothing new.
	muted atomic.Bool
}

// fail records a broken promise.
func (s *system) fail(format string, args ...any) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.broken = append(s.broken, fmt.Sprintf("%7.3f ", time.Since(s.begun).Seconds())+fmt.Sprintf(format, args...))
}

func (s *system) note(format string, args ...any) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.timeline = append(s.timeline, fmt.Sprintf("%7.3f ", time.Since(s.begun).Seconds())+fmt.Sprintf(format, args...))
}

// newSystem starts the processes and waits until an entry takes requests.
func newSystem(t *testing.T, seed uint64, dir string) *system {
	s := &system{
		seed: seed, random: rand.New(rand.NewPCG(seed, 1)), dir: dir, begun: time.Now(),
		needs: map[string]steps.Resources{}, keys: map[string]time.Time{keyName(0): {}},
	}
	store, err := standinstore.New("127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s.store = store
	t.Cleanup(store.Close)
	s.configure()
	for i := range agents {
		s.startAgent(t, i)
	}
	for i := range entries {
		s.startEntry(t, i)
	}
	for deadline := time.Now().Add(30 * time.Second); s.ready() < entries; time.Sleep(50 * time.Millisecond) {
		if time.Now().After(deadline) {
			t.Fatalf("seed %d: no entry is ready; logs in %s", seed, dir)
		}
	}
	return s
}

func keyName(n int) string { return fmt.Sprintf("key-%d", n) }

// configure stores a configuration with the keys that are in force.
func (s *system) configure() {
	s.mu.Lock()
	s.version++
	version := s.version
	var keys []string
	for key, revoked := range s.keys {
		if revoked.IsZero() {
			keys = append(keys, key)
		}
	}
	s.mu.Unlock()
	slices.Sort(keys)
	queue := func(name string, priority int) map[string]any {
		return map[string]any{
			"name": name, "host": queueHost, "path_prefix": "/" + name + "/", "timeout_ms": 3000, "target_latency_ms": 1000,
			"priority": priority, "service": "paint", "max_attempts": 4, "stretch": 3.0,
		}
	}
	body, err := json.Marshal(map[string]any{
		"version": version, "routes": []any{queue("urgent", 0), queue("normal", 1), queue("batch", 2)},
		"tenants": []any{map[string]any{"name": "crew", "api_keys": keys, "guaranteed": map[string]any{"gpus": 16}}},
	})
	if err != nil {
		s.fail("configuration: %v", err)
		return
	}
	s.store.Put("keyed.op", "config", body)
}

// proxy starts a proxy in front of an address.
func (s *system) proxy(t *testing.T, target string) *faultproxy.Proxy {
	p, err := faultproxy.New("127.0.0.1:0", target, s.seed)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(p.Close)
	return p
}

// nextPort is the next port to try. Ports that a process takes again after a
// restart are below the range from which the kernel chooses (32768 and up), so
// that no connection takes them meanwhile.
var nextPort atomic.Int64

const firstPort, lastPort = 20000, 32000

// freePorts finds adjacent free ports of loopback.
func freePorts(t *testing.T, n int) []int {
	for range 1000 {
		first := firstPort + int(nextPort.Add(int64(n)))%(lastPort-firstPort)
		var ports []int
		for port := first; port < first+n; port++ {
			l, err := net.Listen("tcp", local(port))
			if err != nil {
				break
			}
			_ = l.Close()
			ports = append(ports, port)
		}
		if len(ports) == n {
			return ports
		}
	}
	t.Fatalf("no %d adjacent free ports", n)
	return nil
}

func local(port int) string { return fmt.Sprintf("127.0.0.1:%d", port) }

// newProcess writes the settings and starts the process.
func (s *system) newProcess(t *testing.T, role, name string, memoryMB int, settings string) *process {
	p := &process{
		name: name, role: role, settings: filepath.Join(s.dir, name+".ini"), log: filepath.Join(s.dir, name+".log"),
		memoryMB: memoryMB, broken: s.fail,
	}
	if err := os.WriteFile(p.settings, []byte(settings), 0o644); err != nil {
		t.Fatal(err)
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if err := p.start(); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(p.retire)
	return p
}

// node is the part of the settings that all roles have.
func node(name string, ports []int, advertise, store string, memoryMB int) string {
	return fmt.Sprintf("[node]\nname = %s\nzone = a\nip = 127.0.0.1\nports = %d,%d\nadvertiseAddress = %s\nstore = %s\nstopSeconds = %g\nmemoryMB = %d\n",
		name, ports[0], ports[1], advertise, store, stopGrace.Seconds(), memoryMB)
}

func (s *system) startEntry(t *testing.T, i int) {
	ports := freePorts(t, 4)
	name := fmt.Sprintf("entry-%d", i)
	e := &entryNode{clients: s.proxy(t, local(ports[2])), peers: s.proxy(t, local(ports[0])), store: s.proxy(t, s.store.Address())}
	e.process = s.newProcess(t, "entry", name, entryMB, node(name, ports, e.peers.Address(), e.store.Address(), entryMB)+
		fmt.Sprintf("[entry]\nclientAddress = %s\nreadinessAddress = %s\nkeepStatusSeconds = 120\nleaseMs = %d\nstopRunMs = %d\nreclaimMs = 2700\nkeyGraceMs = %d\nfarFactor = 3\n",
			local(ports[2]), local(ports[3]), maxLease.Milliseconds(), stopTime.Milliseconds(), revokeMs))
	s.entries = append(s.entries, e)
}

func (s *system) startAgent(t *testing.T, i int) {
	ports := freePorts(t, 4)
	name := fmt.Sprintf("agent-%d", i)
	a := &agentNode{
		peers: s.proxy(t, local(ports[0])), store: s.proxy(t, s.store.Address()), workerAt: local(ports[2]), heartbeatsAt: local(ports[3]),
		rack: fmt.Sprintf("r%d", i/2),
	}
	if err := s.startWorker(a, i); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		a.mu.Lock()
		defer a.mu.Unlock()
		a.worker.Close()
	})
	a.process = s.newProcess(t, "agent", name, agentMB, node(name, ports, a.peers.Address(), a.store.Address(), agentMB)+
		fmt.Sprintf("[agent]\nworkerAddress = %s\nheartbeatAddress = %s\n", a.workerAt, a.heartbeatsAt))
	s.agents = append(s.agents, a)
}

// startWorker starts a new life of the agent's worker. The caller holds the
// node's mutex, or is its only user.
func (s *system) startWorker(a *agentNode, i int) error {
	w, err := standinworker.New(a.workerAt, standinworker.Config{
		ID: fmt.Sprintf("i-%d", i), Service: "paint", Zone: "a", Rack: a.rack, Capacity: capacity, MaxLease: maxLease, StopDuration: stopTime,
		HeartbeatAddress: a.heartbeatsAt, HeartbeatInterval: 500 * time.Millisecond, TaskResources: s.needsOf,
	})
	if err == nil {
		a.worker = w
	}
	return err
}

// replaceWorker ends a worker with everything that it runs, and starts another
// life at the same address.
func (s *system) replaceWorker(i int) {
	a := s.agents[i]
	a.mu.Lock()
	defer a.mu.Unlock()
	a.worker.Close()
	a.past = append(a.past, a.worker)
	if err := s.startWorker(a, i); err != nil {
		s.fail("the stand-in of worker %d did not start: %v", i, err)
	}
}

func (s *system) needsOf(task string) steps.Resources {
	s.mu.Lock()
	defer s.mu.Unlock()
	id, _, _ := strings.Cut(task, ".")
	return s.needs[id]
}

// ready counts the entries that serve the queues.
func (s *system) ready() int {
	n := 0
	for _, e := range s.entries {
		r, err := http.NewRequest(http.MethodGet, "http://"+e.clients.Address()+"/normal/", nil)
		if err != nil {
			return 0
		}
		r.Host = queueHost
		r.Header.Set("Authorization", "Token "+keyName(0))
		client := http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
		if response, err := client.Do(r); err == nil {
			_, _ = io.Copy(io.Discard, response.Body)
			_ = response.Body.Close()
			if response.StatusCode == http.StatusOK {
				n++
			}
		}
	}
	return n
}

// runs lists the starts on all workers by task, each in the order of time.
func (s *system) runs() map[string][]standinworker.RunRecord {
	all := map[string][]standinworker.RunRecord{}
	for _, a := range s.agents {
		a.mu.Lock()
		workers := append(slices.Clone(a.past), a.worker)
		a.mu.Unlock()
		for _, w := range workers {
			for _, b := range w.History() {
				all[b.Task] = append(all[b.Task], b)
			}
		}
	}
	for _, runs := range all {
		slices.SortFunc(runs, func(x, y standinworker.RunRecord) int { return x.StartedAt.Compare(y.StartedAt) })
	}
	return all
}
