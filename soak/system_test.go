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

	qt "github.com/frankban/quicktest"

	"celerypoint.example/celerypoint/faultproxy"
	"celerypoint.example/celerypoint/standinstore"
	"celerypoint.example/celerypoint/standinworker"
	"celerypoint.example/celerypoint/steps"
)

// The bounds and sizes of the system under test, as in the platform's settings.
// maxLease, stopDuration, keyGraceMs and configApplyMs are also written to the settings of the
// entries.
const (
	maxLease      = 6 * time.Second
	stopDuration  = 300 * time.Millisecond
	keyGraceMs    = 5000
	configApplyMs = 2000
	queueHost     = "soak.example"
	entryCount    = 3
	agentCount    = 5
	// entryMemoryMB and agentMemoryMB are the memory of the VM of an entry and of
	// an agent, in MiB.
	entryMemoryMB, agentMemoryMB = 284, 152
)

const (
	heartbeatInterval = 500 * time.Millisecond
	// capacityGrace is the platform's contact_ms: a start may rely on capacity that the
	// worker lost up to this time and one heartbeat ago.
	capacityGrace = 3 * time.Second
	// workerRestart is the time from the crash of a worker to its next start.
	workerRestart = 500 * time.Millisecond
)

// capacity is the capacity of each worker.
var capacity = steps.Resources{CPU: 32000, MemMB: 128 << 10, GPUs: 8}

// entryNode is an entry with fault proxies in front of its address for clients,
// in front of its address for other entries and agents, and between it and the
// store.
type entryNode struct {
	*process
	clientProxy, peerProxy, storeProxy *faultproxy.Proxy
}

// agentNode is an agent with its worker, and with fault proxies in front of its
// address for the planner, between it and the store, and on both paths between it and
// its worker. The mutex mu is taken before paths.mu.
type agentNode struct {
	*process
	peerProxy, storeProxy *faultproxy.Proxy
	// workerAddress is the address that the worker listens on, heartbeatAddress that on
	// which the agent receives heartbeats.
	workerAddress, heartbeatAddress string
	rack                            string
	paths                           workerPaths
	forwarder                       callForwarder

	mu     sync.Mutex
	worker *workerNode
	// workerID is the ID of the worker, newIDs counts the ones that it had before.
	workerID string
	newIDs   int
	// absent says that the worker has crashed and is not started again for a while.
	absent bool
	// earlierWorkers are the earlier incarnations of the worker, which crashed or
	// ended after a drain, oldest first.
	earlierWorkers []*workerNode
}

// workerNode is an incarnation of a worker.
type workerNode struct {
	*standinworker.Worker
	id    string
	calls *callRecord
}

// system is the processes under test with the stand-ins that they use.
type system struct {
	seed   uint64
	random *rand.Rand
	dir    string
	store  *standinstore.Server

	entries []*entryNode
	agents  []*agentNode

	mu            sync.Mutex
	violations    []string
	taskResources map[string]steps.Resources
	configVersion int
	// configStoredAt has the time at which each version from 1 on was stored. configVersion
	// is one more than its length while a version is being stored.
	configStoredAt []time.Time
	// configuring is held while a version is stored. It is taken before mu.
	configuring  sync.Mutex
	keyRevokedAt map[string]time.Time
	// accepted has the accepted jobs of which no cancellation was sent, by their IDs.
	accepted  map[string]acceptance
	timeline  []string
	startedAt time.Time
	// ended says that workers are not started again.
	ended atomic.Bool
}

// fail records a violation, with the time since the system was started.
func (s *system) fail(format string, args ...any) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.violations = append(s.violations, fmt.Sprintf("%7.3f ", time.Since(s.startedAt).Seconds())+fmt.Sprintf(format, args...))
}

func (s *system) addToTimeline(format string, args ...any) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.timeline = append(s.timeline, fmt.Sprintf("%7.3f ", time.Since(s.startedAt).Seconds())+fmt.Sprintf(format, args...))
}

// newSystem starts the processes and waits until every entry serves requests.
func newSystem(t *testing.T, seed uint64, dir string) *system {
	s := &system{
		seed: seed, random: rand.New(rand.NewPCG(seed, 1)), dir: dir, startedAt: time.Now(),
		taskResources: map[string]steps.Resources{}, keyRevokedAt: map[string]time.Time{apiKeyName(0): {}}, accepted: map[string]acceptance{},
	}
	store, err := standinstore.New("127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s.store = store
	t.Cleanup(store.Close)
	s.configure()
	for i := range agentCount {
		s.startAgent(t, i)
	}
	for i := range entryCount {
		s.startEntry(t, i)
	}
	for deadline := time.Now().Add(30 * time.Second); s.readyEntries() < entryCount; time.Sleep(50 * time.Millisecond) {
		if time.Now().After(deadline) {
			t.Fatalf("seed %d: not all entries are ready; logs in %s", seed, dir)
		}
	}
	return s
}

func apiKeyName(n int) string { return fmt.Sprintf("key-%d", n) }

// configure stores a configuration with the API keys that are in force and a queue of its
// own version.
func (s *system) configure() {
	s.configuring.Lock()
	defer s.configuring.Unlock()
	s.mu.Lock()
	s.configVersion++
	version := s.configVersion
	var keys []string
	for key, revoked := range s.keyRevokedAt {
		if revoked.IsZero() {
			keys = append(keys, key)
		}
	}
	s.mu.Unlock()
	slices.Sort(keys)
	queue := func(name string, priority int) map[string]any {
		return map[string]any{
			"name": name, "host": queueHost, "path_prefix": "/" + name + "/", "timeout_ms": 3000, "target_latency_ms": 1000,
			"priority": priority, "service": "paint", "max_attempts": maxAttempts, "stretch": 3.0,
		}
	}
	body, err := json.Marshal(map[string]any{
		"version": version, "routes": []any{queue("urgent", 0), queue("normal", 1), queue("batch", 2), queue(routeOf(version), 2)},
		"tenants": []any{map[string]any{"name": "crew", "api_keys": keys, "guaranteed": map[string]any{"gpus": 16}}},
	})
	if err != nil {
		s.fail("configuration: %v", err)
		return
	}
	s.store.Put("keyed.op", "config", body)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.configStoredAt = append(s.configStoredAt, time.Now())
}

// newProxy starts a fault proxy in front of an address.
func (s *system) newProxy(t *testing.T, address string) *faultproxy.Proxy {
	return s.newProxyAt(t, "127.0.0.1:0", address)
}

// newProxyAt starts a fault proxy that listens on the first address in front of the
// second. A proxy that refuses connections needs a port of its own, see freePorts.
func (s *system) newProxyAt(t *testing.T, listen, address string) *faultproxy.Proxy {
	p, err := faultproxy.New(listen, address, s.seed)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(p.Close)
	return p
}

// nextPort counts the ports that freePorts has tried, which determines the ones
// that it tries next. The first ones depend on the PID, because another test process takes
// a port of a process that is stopped for free. A process listens on the same ports again after a restart.
// All ports are below the range from which the kernel chooses the ports of
// outgoing connections (32768 and up), so that no connection uses the ports of a
// process while it is stopped.
var nextPort atomic.Int64

const firstPort, lastPort = 20000, 32000

// freePorts returns n adjacent free loopback ports.
func freePorts(t *testing.T, n int) []int {
	for range 1000 {
		first := firstPort + (os.Getpid()*64+int(nextPort.Add(int64(n)))-n)%(lastPort-firstPort)
		var ports []int
		for port := first; port < first+n; port++ {
			l, err := net.Listen("tcp", loopbackAddress(port))
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

// TestFreePorts guards against ports that are given out twice before anything listens.
func TestFreePorts(t *testing.T) {
	given := map[int]bool{}
	for _, n := range []int{7, 4, 1, 7, 4, 4, 1, 1} {
		for _, port := range freePorts(t, n) {
			qt.Check(t, given[port], qt.IsFalse, qt.Commentf("port %d", port))
			given[port] = true
		}
	}
}

func loopbackAddress(port int) string { return fmt.Sprintf("127.0.0.1:%d", port) }

// newProcess writes the settings file of a process and starts it.
func (s *system) newProcess(t *testing.T, role, name string, memoryMB int, settings string) *process {
	p := &process{
		name: name, role: role, settingsPath: filepath.Join(s.dir, name+".ini"), logPath: filepath.Join(s.dir, name+".log"),
		memoryMB: memoryMB, fail: s.fail,
	}
	if err := os.WriteFile(p.settingsPath, []byte(settings), 0o644); err != nil {
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

// nodeSettings returns the section [node], which the settings of entries and
// agents have in common.
func nodeSettings(name string, ports []int, advertise, store string, memoryMB int) string {
	return fmt.Sprintf("[node]\nname = %s\nzone = a\nip = 127.0.0.1\nports = %d,%d\nadvertiseAddress = %s\nstore = %s\nstopSeconds = %g\nmemoryMB = %d\n",
		name, ports[0], ports[1], advertise, store, stopGrace.Seconds(), memoryMB)
}

func (s *system) startEntry(t *testing.T, i int) {
	ports := freePorts(t, 4)
	name := fmt.Sprintf("entry-%d", i)
	e := &entryNode{clientProxy: s.newProxy(t, loopbackAddress(ports[2])), peerProxy: s.newProxy(t, loopbackAddress(ports[0])), storeProxy: s.newProxy(t, s.store.Address())}
	e.process = s.newProcess(t, "entry", name, entryMemoryMB, nodeSettings(name, ports, e.peerProxy.Address(), e.storeProxy.Address(), entryMemoryMB)+
		fmt.Sprintf("[entry]\nclientAddress = %s\nreadinessAddress = %s\nkeepStatusSeconds = 120\nleaseMs = %d\nstopRunMs = %d\nreclaimMs = 2700\nkeyGraceMs = %d\nconfigApplyMs = %d\nfarFactor = 3\n[planning]\npaces = considered\nneighbours = separated\n",
			loopbackAddress(ports[2]), loopbackAddress(ports[3]), maxLease.Milliseconds(), stopDuration.Milliseconds(), keyGraceMs, configApplyMs))
	s.entries = append(s.entries, e)
}

func (s *system) startAgent(t *testing.T, i int) {
	ports := freePorts(t, 7)
	name := fmt.Sprintf("agent-%d", i)
	a := &agentNode{
		peerProxy: s.newProxy(t, loopbackAddress(ports[0])), storeProxy: s.newProxy(t, s.store.Address()), workerAddress: loopbackAddress(ports[2]), heartbeatAddress: loopbackAddress(ports[3]),
		rack: fmt.Sprintf("r%d", i/2), workerID: fmt.Sprintf("i-%d", i),
	}
	forwarderAddress := loopbackAddress(ports[4])
	a.paths.calls, a.paths.heartbeats = s.newProxyAt(t, loopbackAddress(ports[5]), forwarderAddress), s.newProxyAt(t, loopbackAddress(ports[6]), forwarderAddress)
	a.forwarder.workerAddress, a.forwarder.heartbeatAddress, a.forwarder.announcedAddress = a.workerAddress, a.heartbeatAddress, a.paths.calls.Address()
	a.forwarder.listen(t, forwarderAddress)
	if err := s.startWorker(a, i); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		s.ended.Store(true)
		a.mu.Lock()
		defer a.mu.Unlock()
		a.worker.Close()
	})
	a.process = s.newProcess(t, "agent", name, agentMemoryMB, nodeSettings(name, ports, a.peerProxy.Address(), a.storeProxy.Address(), agentMemoryMB)+
		fmt.Sprintf("[agent]\nworkerAddress = %s\nheartbeatAddress = %s\nheartbeatMs = %d\ncapacityGraceMs = %d\n",
			a.paths.calls.Address(), a.heartbeatAddress, heartbeatInterval.Milliseconds(), capacityGrace.Milliseconds()))
	s.agents = append(s.agents, a)
}

// startWorker starts a new incarnation of the agent's worker. The caller holds
// a.mu, or is the only user of a.
func (s *system) startWorker(a *agentNode, i int) error {
	calls := newCallRecord()
	a.forwarder.follow(calls)
	w, err := standinworker.New(a.workerAddress, standinworker.Config{
		ID: a.workerID, Service: "paint", Zone: "a", Rack: a.rack, Capacity: capacity, MaxLease: maxLease, StopDuration: stopDuration,
		HeartbeatAddress: a.paths.heartbeats.Address(), HeartbeatInterval: heartbeatInterval, TaskResources: s.resourcesOfTask,
		ShrinkGrace: heartbeatInterval + capacityGrace, OnCrash: func() { s.restartWorker(i) },
	})
	if err != nil {
		return err
	}
	if a.worker != nil {
		a.earlierWorkers = append(a.earlierWorkers, a.worker)
	}
	a.worker = &workerNode{w, a.workerID, calls}
	return a.paths.setWorkerDown(false)
}

// startNextWorker starts the incarnation that follows the current one, which has ended.
// The caller holds a.mu.
func (s *system) startNextWorker(a *agentNode, i int) {
	if s.ended.Load() {
		return
	}
	if err := s.startWorker(a, i); err != nil {
		s.fail("stand-in worker %d did not start: %v", i, err)
	}
}

// closeWorker ends a worker and all its runs. Afterwards connections to it are refused.
// The caller holds a.mu.
func (s *system) closeWorker(a *agentNode) {
	a.worker.Close()
	if err := a.paths.setWorkerDown(true); err != nil {
		s.fail("fault injection: %v", err)
	}
}

// restartWorker starts a new incarnation of a worker that one of its runs has crashed. A
// fault may have replaced it already.
func (s *system) restartWorker(i int) {
	a := s.agents[i]
	a.mu.Lock()
	if a.worker.Closed() {
		s.closeWorker(a)
	}
	a.mu.Unlock()
	time.Sleep(workerRestart)
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.worker.Closed() && !a.absent {
		s.startNextWorker(a, i)
	}
}

// replaceWorker ends a worker and all its runs, and starts a new incarnation at
// the same address, unless the worker is absent.
func (s *system) replaceWorker(i int) {
	a := s.agents[i]
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.absent {
		return
	}
	s.closeWorker(a)
	s.startNextWorker(a, i)
}

func (s *system) resourcesOfTask(task string) steps.Resources {
	s.mu.Lock()
	defer s.mu.Unlock()
	id, _, _ := strings.Cut(task, ".")
	return s.taskResources[id]
}

// readyEntries returns the number of entries that serve the queues.
func (s *system) readyEntries() int {
	n := 0
	for _, e := range s.entries {
		r, err := http.NewRequest(http.MethodGet, "http://"+e.clientProxy.Address()+"/normal/", nil)
		if err != nil {
			return 0
		}
		r.Host = queueHost
		r.Header.Set("Authorization", "Token "+apiKeyName(0))
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
