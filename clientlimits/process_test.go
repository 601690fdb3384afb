package clientlimits

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"syscall"
	"testing"
	"time"

	"celerypoint.example/celerypoint/standinlog"
	"celerypoint.example/celerypoint/standinstore"
	"celerypoint.example/celerypoint/standinworker"
	"celerypoint.example/celerypoint/steps"
)

const (
	// memoryMB is the memory of each process on the platform, in MiB. It is written to its
	// settings. ownMemoryMB is that of an entry with the product's own interface.
	memoryMB, ownMemoryMB = 128, 256
	// startTimeout bounds the start of a process, and answerTimeout an ordinary request.
	startTimeout, answerTimeout = 30 * time.Second, 30 * time.Second
	queueHost                   = "limits.example"
	apiKey                      = "key-0"
)

// programPath is the path of the celerypoint program, which TestMain builds once.
var programPath string

func TestMain(m *testing.M) { os.Exit(buildAndRun(m)) }

func buildAndRun(m *testing.M) int {
	dir, err := os.MkdirTemp("", "celerypoint-clientlimits")
	if err != nil {
		fmt.Fprintln(os.Stderr, "clientlimits:", err)
		return 1
	}
	defer func() { _ = os.RemoveAll(dir) }()
	programPath = filepath.Join(dir, "celerypoint")
	if out, err := exec.Command("go", "build", "-o", programPath, "../cmd/celerypoint").CombinedOutput(); err != nil {
		fmt.Fprintf(os.Stderr, "clientlimits: %v\n%s", err, out)
		return 1
	}
	return m.Run()
}

// process is a running process of the system.
type process struct {
	name   string
	cmd    *exec.Cmd
	output string
	// memoryMB is the memory that the process may use, in MiB.
	memoryMB int64
	// exited is closed when the process has ended.
	exited chan struct{}
	// Addresses that the process listens on; those of another role are empty.
	client, readiness, metrics, heartbeats, rpc string
}

// start starts the program with the settings and kills it at the end of the test. descriptors
// is the limit of its open files, 0 for that of the test.
func start(t *testing.T, name string, descriptors int, settings string, command ...string) *process {
	t.Helper()
	dir := t.TempDir()
	path := filepath.Join(dir, name+".ini")
	if err := os.WriteFile(path, []byte(settings), 0o644); err != nil {
		t.Fatal(err)
	}
	p := &process{name: name, output: filepath.Join(dir, name+".log"), memoryMB: memoryMB, exited: make(chan struct{})}
	out, err := os.Create(p.output)
	if err != nil {
		t.Fatal(err)
	}
	defer out.Close()
	args := append([]string{programPath}, append(command, "--settings", path)...)
	if descriptors > 0 {
		args = append([]string{"sh", "-c", fmt.Sprintf(`ulimit -n %d && exec "$@"`, descriptors), "sh"}, args...)
	}
	p.cmd = exec.Command(args[0], args[1:]...)
	p.cmd.Stdout, p.cmd.Stderr = out, out
	if err := p.cmd.Start(); err != nil {
		t.Fatal(err)
	}
	go func() {
		_ = p.cmd.Wait()
		close(p.exited)
	}()
	t.Cleanup(func() {
		_ = p.cmd.Process.Signal(syscall.SIGKILL)
		<-p.exited
	})
	return p
}

// await waits until an ordinary request is answered.
func (p *process) await(t *testing.T, ordinary func() error) {
	t.Helper()
	var err error
	for deadline := time.Now().Add(startTimeout); time.Now().Before(deadline); time.Sleep(20 * time.Millisecond) {
		if err = ordinary(); err == nil {
			return
		}
		p.checkAlive(t)
	}
	t.Fatalf("%s is not ready: %v\n%s", p.name, err, p.log())
}

func (p *process) log() string {
	text, _ := os.ReadFile(p.output)
	return string(text[max(0, len(text)-4000):])
}

func (p *process) checkAlive(t *testing.T) {
	t.Helper()
	select {
	case <-p.exited:
		t.Fatalf("%s ended: %v\n%s", p.name, p.cmd.ProcessState, p.log())
	default:
	}
}

// peakMemory returns the peak resident memory in bytes.
func (p *process) peakMemory(t *testing.T) int64 {
	t.Helper()
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", p.cmd.Process.Pid))
	if err != nil {
		p.checkAlive(t)
		t.Fatal(err)
	}
	for line := range strings.Lines(string(text)) {
		if words := strings.Fields(line); len(words) > 1 && words[0] == "VmHWM:" {
			kb, err := strconv.ParseInt(words[1], 10, 64)
			if err != nil {
				t.Fatal(err)
			}
			return kb << 10
		}
	}
	t.Fatalf("no VmHWM of %s", p.name)
	return 0
}

// checkMemory checks that the peak resident memory is within memoryMB.
func (p *process) checkMemory(t *testing.T) {
	t.Helper()
	p.checkAlive(t)
	found := p.peakMemory(t) >> 20
	t.Logf("%d MiB of peak resident memory", found)
	if found > p.memoryMB {
		t.Errorf("found %d MiB of peak resident memory, allowed: %d", found, p.memoryMB)
	}
}

// openDescriptors returns the number of open descriptors.
func (p *process) openDescriptors(t *testing.T) int {
	t.Helper()
	entries, err := os.ReadDir(fmt.Sprintf("/proc/%d/fd", p.cmd.Process.Pid))
	if err != nil {
		p.checkAlive(t)
		t.Fatal(err)
	}
	return len(entries)
}

// freeAddresses returns n adjacent loopback addresses that nothing listens on.
func freeAddresses(t *testing.T, n int) []string {
	t.Helper()
	// Below the range from which the kernel takes the ports of outgoing connections.
	for first := 14000 + os.Getpid()*16%5000; first < 20000; first += n {
		var addresses []string
		for port := first; port < first+n; port++ {
			address := fmt.Sprintf("127.0.0.1:%d", port)
			l, err := net.Listen("tcp", address)
			if err != nil {
				break
			}
			_ = l.Close()
			addresses = append(addresses, address)
		}
		if len(addresses) == n {
			return addresses
		}
	}
	t.Fatalf("no %d adjacent free ports", n)
	return nil
}

func portOf(address string) string { return address[strings.LastIndex(address, ":")+1:] }

func nodeSettings(name, rpc, metrics, store string) string {
	return fmt.Sprintf("[node]\nname = %s\nzone = a\nip = 127.0.0.1\nports = %s,%s\nstore = %s\nstopSeconds = 6\nmemoryMB = %d\n", name, portOf(rpc), portOf(metrics), store, memoryMB)
}

// startEntry starts an entry on the platform, with a queue and an API key.
func startEntry(t *testing.T, descriptors int) *process {
	t.Helper()
	store, err := standinstore.New("127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(store.Close)
	config, err := json.Marshal(map[string]any{
		"version": 1,
		"routes":  []any{map[string]any{"name": "batch", "host": queueHost, "path_prefix": "/batch/", "timeout_ms": 3000, "target_latency_ms": 1000, "priority": 2, "service": "paint", "max_attempts": 4, "stretch": 3.0}},
		"tenants": []any{map[string]any{"name": "crew", "api_keys": []string{apiKey}, "guaranteed": map[string]any{"gpus": 16}}},
	})
	if err != nil {
		t.Fatal(err)
	}
	store.Put("keyed.op", "config", config)
	a := freeAddresses(t, 4)
	p := start(t, "entry", descriptors, nodeSettings("entry-0", a[0], a[1], store.Address())+
		fmt.Sprintf("[entry]\nclientAddress = %s\nreadinessAddress = %s\nkeepStatusSeconds = 120\nleaseMs = 6000\nstopRunMs = 300\nreclaimMs = 2700\nkeyGraceMs = 5000\nconfigApplyMs = 2000\nfarFactor = 3\n", a[2], a[3]), "site", "entry")
	p.rpc, p.metrics, p.client, p.readiness = a[0], a[1], a[2], a[3]
	p.await(t, func() error { return expect(http.MethodGet, p.readiness, "/api/ready", "") })
	p.await(t, func() error { return submitJob(p.client, 0) })
	return p
}

// startAgent starts the agent of a worker on the platform.
func startAgent(t *testing.T, descriptors int) *process {
	t.Helper()
	store, err := standinstore.New("127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(store.Close)
	a := freeAddresses(t, 4)
	w, err := standinworker.New(a[3], standinworker.Config{
		ID: "i-0", Service: "paint", Zone: "a", Rack: "r0", Capacity: steps.Resources{CPU: 32000, MemMB: 1 << 17, GPUs: 8},
		MaxLease: 6 * time.Second, StopDuration: 300 * time.Millisecond, HeartbeatAddress: a[2], HeartbeatInterval: 500 * time.Millisecond,
	})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(w.Close)
	p := start(t, "agent", descriptors, nodeSettings("agent-0", a[0], a[1], store.Address())+
		fmt.Sprintf("[agent]\nworkerAddress = %s\nheartbeatAddress = %s\nheartbeatMs = 500\ncapacityGraceMs = 3000\n", a[3], a[2]), "site", "agent")
	p.rpc, p.metrics, p.heartbeats = a[0], a[1], a[2]
	p.await(t, func() error { return sendHeartbeat(p.heartbeats) })
	return p
}

// startOwnEntry starts an entry with the product's own interface.
func startOwnEntry(t *testing.T, descriptors int) *process {
	t.Helper()
	log, err := standinlog.New("127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(log.Close)
	a := freeAddresses(t, 2)
	p := start(t, "own", descriptors, fmt.Sprintf("[entry]\nid = entry-0\nzone = a\nregion = r\nrpcAddress = %s\nhttpAddress = %s\n[log]\nurl = %s\n", a[0], a[1], log.URL()), "entry")
	p.rpc, p.client, p.memoryMB = a[0], a[1], ownMemoryMB
	p.await(t, func() error { return expect(http.MethodGet, p.client, "/healthz", "") })
	return p
}
