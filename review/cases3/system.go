package main

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"log"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"celerypoint.example/celerypoint/standinstore"
)

// Bounds of the deployment, those of the users' vordulit-sched site.
const (
	entryMemoryMB = 284
	agentMemoryMB = 152
	contactMs     = 3000
	visibleMs     = 3000
	queueHost     = "review.example"
	apiKey        = "key-1"
	service       = "paint"
)

// quiet drops what stand-ins log about connections that tests cut.
var quiet = log.New(io.Discard, "", 0)

// errSetup marks errors that keep a case from running, as opposed to a broken rule.
var errSetup = errors.New("the case could not run")

// process is one of the project's programs, run as on the platform.
type process struct {
	name string
	role string
	pid  int
	// stopping is set by a SIGTERM.
	stopping bool
	exited   <-chan struct{}
	client   string
	metrics  string
}

// system is a small deployment: the project's programs as processes, with a stand-in store.
type system struct {
	root, dir string
	// maxAttempts is that of the queues.
	maxAttempts int
	spawner     *spawner
	store       *standinstore.Server
	entries     []*process
	agents      []*process
	begun       time.Time

	mu     sync.Mutex
	record *os.File
}

func newSystem(root, record string) (*system, error) {
	dir, err := os.MkdirTemp("", "celerypoint-review")
	if err != nil {
		return nil, err
	}
	f, err := os.Create(record)
	if err != nil {
		return nil, err
	}
	spawner, err := startSpawner()
	if err != nil {
		return nil, err
	}
	store, err := standinstore.New("127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	return &system{root: root, maxAttempts: 4, dir: dir, spawner: spawner, store: store, begun: time.Now(), record: f}, nil
}

// note writes a line to the record of the case.
func (s *system) note(format string, args ...any) {
	s.mu.Lock()
	defer s.mu.Unlock()
	line := fmt.Sprintf("%8.3f ", time.Since(s.begun).Seconds()) + fmt.Sprintf(format, args...)
	_, _ = fmt.Fprintln(s.record, line)
	fmt.Println(line)
}

// close ends all processes that the system has started.
func (s *system) close() {
	s.spawner.close()
	s.store.Close()
	_ = os.RemoveAll(s.dir)
	_ = s.record.Close()
}

var nextPort = 20000 + (os.Getpid()*128)%11000

// freePorts returns n adjacent free ports below the range of outgoing connections.
func freePorts(n int) (int, error) {
	for range 2000 {
		first := nextPort
		nextPort += n
		if nextPort > 32000 {
			nextPort = 20000
		}
		free := true
		for port := first; port < first+n && free; port++ {
			l, err := net.Listen("tcp", local(port))
			if free = err == nil; free {
				_ = l.Close()
			}
		}
		if free {
			return first, nil
		}
	}
	return 0, fmt.Errorf("%w: no free ports", errSetup)
}

func local(port int) string { return "127.0.0.1:" + strconv.Itoa(port) }

// render fills in a template of the deploy file as the platform does.
func (s *system) render(template string, values map[string]string) (string, error) {
	text, err := os.ReadFile(filepath.Join(s.root, "deploy", template))
	if err != nil {
		return "", err
	}
	out := string(text)
	for name, value := range values {
		out = strings.ReplaceAll(out, "{{"+name+"}}", value)
	}
	if strings.Contains(out, "{{") {
		return "", fmt.Errorf("%w: %s has a placeholder without a value:\n%s", errSetup, template, out)
	}
	return out, nil
}

func (s *system) startProcess(role, name, template string, values map[string]string) (*process, error) {
	text, err := s.render(template, values)
	if err != nil {
		return nil, err
	}
	path := filepath.Join(s.dir, name+".ini")
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		return nil, err
	}
	p := &process{name: name, role: role}
	return p, s.run(p)
}

// run starts the program of the process.
func (s *system) run(p *process) error {
	var err error
	p.pid, p.exited, err = s.spawner.start(spawnRequest{
		Dir: s.root, Log: filepath.Join(s.dir, p.name+".log"),
		Args: []string{filepath.Join(s.root, "target/celerypoint"), "site", p.role, "--settings", filepath.Join(s.dir, p.name+".ini")},
	})
	if err != nil {
		return fmt.Errorf("%w: %w", errSetup, err)
	}
	return nil
}

// signal sends a signal to the process, unless it has ended.
func (p *process) signal(sig syscall.Signal) {
	p.stopping = p.stopping || sig == syscall.SIGTERM
	select {
	case <-p.exited:
	default:
		_ = syscall.Kill(p.pid, sig)
	}
}

// common are the values of the fields that both templates use.
func (s *system) common(name string, port, memoryMB int) map[string]string {
	return map[string]string{
		"node_name": name, "zone": "a", "ip": "127.0.0.1", "internal_ports": fmt.Sprintf("%d,%d", port, port+3), "platform.address": s.store.Address(),
		"bounds.grace_s": "6", "limits.memory_mb": strconv.Itoa(memoryMB), "limits.max_fds": "4100", "limits.cpu_share": "0.4",
	}
}

// startEntry starts an entry with the settings of the site.
func (s *system) startEntry(name string) error {
	port, err := freePorts(6)
	if err != nil {
		return err
	}
	values := s.common(name, port, entryMemoryMB)
	for k, v := range map[string]string{
		"listen_addrs.frontend_addr": local(port + 4), "listen_addrs.readiness_addr": local(port + 5), "bounds.status_s": "120", "bounds.max_hold_ms": "6000",
		"bounds.stop_ms": "900", "bounds.reclaim_ms": "3400", "bounds.revoke_ms": "5000", "bounds.config_apply_ms": "2000", "bounds.far_factor": "3",
	} {
		values[k] = v
	}
	p, err := s.startProcess("entry", name, "entry.ini", values)
	if err != nil {
		return err
	}
	p.client, p.metrics = local(port+4), local(port+1)
	s.entries = append(s.entries, p)
	return nil
}

// startAgent starts the agent of the worker at the address. It returns the address to which
// the worker sends its heartbeats.
func (s *system) startAgent(name, workerAddress string) (string, error) {
	port, err := freePorts(6)
	if err != nil {
		return "", err
	}
	values := s.common(name, port, agentMemoryMB)
	for k, v := range map[string]string{
		"app": workerAddress, "listen_addrs.control_plane": local(port + 4), "heartbeat_ms": "1500", "bounds.contact_ms": strconv.Itoa(contactMs), "service": service,
	} {
		values[k] = v
	}
	p, err := s.startProcess("agent", name, "agent.ini", values)
	if err != nil {
		return "", err
	}
	s.agents = append(s.agents, p)
	return local(port + 4), nil
}

// configure stores a desired state with the queues "urgent", "normal" and "batch".
func (s *system) configure(version int) error {
	queue := func(name string, priority int) map[string]any {
		return map[string]any{
			"name": name, "host": queueHost, "path_prefix": "/" + name + "/", "timeout_ms": 3000, "target_latency_ms": 1000,
			"priority": priority, "service": service, "max_attempts": s.maxAttempts, "stretch": 3.0,
		}
	}
	body, err := json.Marshal(map[string]any{
		"version": version, "routes": []any{queue("urgent", 0), queue("normal", 1), queue("batch", 2)},
		"tenants": []any{map[string]any{"name": "crew", "api_keys": []string{apiKey}, "guaranteed": map[string]any{"gpus": 8}}},
	})
	if err != nil {
		return err
	}
	s.store.Put("keyed.op", "config", body)
	return nil
}

// awaitReady waits until every entry serves the queue "normal" and, if agents is positive, until
// the planner knows that many workers.
func (s *system) awaitReady(agents int) error {
	for deadline := time.Now().Add(30 * time.Second); time.Now().Before(deadline); time.Sleep(50 * time.Millisecond) {
		ready := 0
		for _, e := range s.entries {
			if status, _, err := e.call(http.MethodGet, "/normal/", nil, time.Second); err == nil && status == http.StatusOK {
				ready++
			}
		}
		if ready == len(s.entries) && s.attached() >= agents {
			return nil
		}
	}
	return fmt.Errorf("%w: the system is not ready after 30 s", errSetup)
}

// attached is the number of workers that the planner says to know in its metrics.
func (s *system) attached() int {
	most := -1
	for _, e := range s.entries {
		for line := range strings.Lines(e.metricsText()) {
			words := strings.Fields(line)
			if len(words) >= 2 && strings.Contains(words[0], "agentsInTouch") {
				if n, err := strconv.Atoi(words[len(words)-1]); err == nil {
					most = max(most, n)
				}
			}
		}
	}
	return most
}

// metricsText is what the process exposes as its metrics, empty if it does not answer.
func (p *process) metricsText() string {
	client := http.Client{Timeout: time.Second}
	defer client.CloseIdleConnections()
	response, err := client.Get("http://" + p.metrics + "/metrics")
	if err != nil {
		return ""
	}
	defer response.Body.Close()
	text, _ := io.ReadAll(response.Body)
	return string(text)
}

// call makes one request of a client.
func (p *process) call(method, path string, body any, timeout time.Duration) (int, []byte, error) {
	var encoded []byte
	if body != nil {
		var err error
		if encoded, err = json.Marshal(body); err != nil {
			return 0, nil, err
		}
	}
	request, err := http.NewRequest(method, "http://"+p.client+path, bytes.NewReader(encoded))
	if err != nil {
		return 0, nil, err
	}
	request.Host = queueHost
	request.Header.Set("Content-Type", "application/json")
	request.Header.Set("Authorization", "Token "+apiKey)
	request.Header.Set("X-Request-Deadline-Ms", strconv.FormatInt(timeout.Milliseconds(), 10))
	client := http.Client{Timeout: timeout}
	defer client.CloseIdleConnections()
	response, err := client.Do(request)
	if err != nil {
		return 0, nil, err
	}
	defer response.Body.Close()
	text, err := io.ReadAll(response.Body)
	return response.StatusCode, text, err
}

// memoryMB returns the present and the peak resident memory of the process.
func (p *process) memoryMB() (now, peak int) {
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", p.pid))
	if err != nil {
		return 0, 0
	}
	for line := range strings.Lines(string(text)) {
		words := strings.Fields(line)
		if len(words) < 2 {
			continue
		}
		kb, _ := strconv.Atoi(words[1])
		switch words[0] {
		case "VmRSS:":
			now = kb >> 10
		case "VmHWM:":
			peak = kb >> 10
		}
	}
	return now, peak
}
