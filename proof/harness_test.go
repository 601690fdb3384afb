package proof

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"celerypoint.example/celerypoint/faultproxy"
	"celerypoint.example/celerypoint/loopback"
	"celerypoint.example/celerypoint/wire"
)

// binDir is the directory with the programs, which TestMain builds once.
var binDir string

func TestMain(m *testing.M) { os.Exit(buildAndRun(m)) }

func buildAndRun(m *testing.M) int {
	dir, err := os.MkdirTemp("", "celerypoint-proof")
	if err != nil {
		fmt.Fprintln(os.Stderr, "proof:", err)
		return 1
	}
	defer func() { _ = os.RemoveAll(dir) }()
	build := exec.Command("go", "build", "-o", dir+"/", "./cmd/celerypoint", "./cmd/standinlog", "./cmd/standinruntime", "./cmd/faultproxy")
	build.Dir = ".."
	if out, err := build.CombinedOutput(); err != nil {
		fmt.Fprintf(os.Stderr, "proof: %v: %v\n%s", build.Args, err, out)
		return 1
	}
	binDir = dir
	return m.Run()
}

// process is a started program.
type process struct {
	name string
	args []string
	cmd  *exec.Cmd
	// output is the path of the file with its standard output and error.
	output string
	// exited is closed once the program has ended.
	exited chan struct{}
}

// signal sends a signal to the process.
func (p *process) signal(s syscall.Signal) { _ = p.cmd.Process.Signal(s) }

// endsWithin reports whether the process has ended or ends within the given
// time.
func (p *process) endsWithin(span time.Duration) bool {
	select {
	case <-p.exited:
		return true
	case <-time.After(span):
		return false
	}
}

// kill kills the process and waits for its end.
func (p *process) kill() {
	p.signal(syscall.SIGKILL)
	<-p.exited
}

// entryNode is an entry with one fault proxy in front of its RPC address and
// one between it and the log.
type entryNode struct {
	id                      string
	rpcAddress, httpAddress string
	rpcProxy, logProxy      *proxyNode
	process                 *process
	settingsPath            string
}

// proxyNode holds the addresses of a fault proxy and of its control port.
type proxyNode struct{ address, control string }

// vmNode is a VM with its worker runtime and its agent.
type vmNode struct {
	id, zone, rack               string
	accelerators                 int
	runtimeAddress               string
	agentProcess, runtimeProcess *process
	settingsPath                 string
	// killedAt is when killVM killed the VM's agent and runtime, zero if it did
	// not. records are the records of the runtime from just before that.
	killedAt time.Time
	records  []wire.RuntimeRecord
}

// cluster is a set of entries and VMs that share one log.
type cluster struct {
	*qt.C
	seed       uint64
	random     *rand.Rand
	dir        string
	logAddress string
	entries    []*entryNode
	vms        []*vmNode

	mu    sync.Mutex
	calls []*call
}

// newVMs returns n VMs of 8 accelerators each, up to three in a rack, in two
// zones.
func newVMs(n int) []*vmNode {
	var vms []*vmNode
	for i := range n {
		zone := "a"
		if i >= (n+1)/2 {
			zone = "b"
		}
		vms = append(vms, &vmNode{id: fmt.Sprintf("v%d", i+1), zone: zone, rack: fmt.Sprintf("%s-r%d", zone, i/3), accelerators: 8})
	}
	return vms
}

const region = "north"

// startCluster starts a log, entries and VMs and waits until every entry is
// ready and knows every VM.
func startCluster(t *testing.T, entries int, vms []*vmNode) *cluster {
	seed := uint64(time.Now().UnixNano())
	if text := os.Getenv("PROOF_SEED"); text != "" {
		var err error
		if seed, err = strconv.ParseUint(text, 10, 64); err != nil {
			t.Fatalf("PROOF_SEED: %v", err)
		}
	}
	t.Logf("PROOF_SEED=%d", seed)
	c := &cluster{C: qt.New(t), seed: seed, random: rand.New(rand.NewPCG(seed, 0)), dir: t.TempDir(), vms: vms}
	c.logAddress = loopback.Address()
	c.start("log", "standinlog", "--listen", c.logAddress)
	c.waitListening(c.logAddress)
	var advertised []string
	for i := range entries {
		e := &entryNode{id: fmt.Sprintf("e%d", i+1), rpcAddress: loopback.Address(), httpAddress: loopback.Address()}
		e.rpcProxy, e.logProxy = c.proxy(e.id+"-proxy", e.rpcAddress), c.proxy(e.id+"-log-proxy", c.logAddress)
		c.entries = append(c.entries, e)
		advertised = append(advertised, e.rpcProxy.address)
	}
	for i, e := range c.entries {
		e.settingsPath = c.write(e.id+".ini", fmt.Sprintf(`[entry]
id = %s
zone = %s
region = %s
rpcAddress = %s
advertiseAddress = %s
httpAddress = %s
seeds = %s
[log]
url = http://%s
`, e.id, string(rune('a'+i%2)), region, e.rpcAddress, e.rpcProxy.address, e.httpAddress, strings.Join(advertised, ","), e.logProxy.address))
		c.startEntry(e)
	}
	for _, v := range c.vms {
		v.runtimeAddress = loopback.Address()
		v.runtimeProcess = c.start(v.id+"-runtime", "standinruntime", "--listen", v.runtimeAddress, "--vm", v.id, "--accelerators", strconv.Itoa(v.accelerators))
		v.settingsPath = c.write(v.id+".ini", fmt.Sprintf(`[agent]
vm = %s
zone = %s
rack = %s
region = %s
announceTo = %s
accelerators = %d
slots = 8
connections = 64
cpus = 32
memoryMB = 131072
[runtime]
url = http://%s
`, v.id, v.zone, v.rack, region, strings.Join(advertised, ","), v.accelerators, v.runtimeAddress))
		c.waitListening(v.runtimeAddress)
		c.startAgent(v)
	}
	c.waitReady()
	return c
}

func (c *cluster) startEntry(e *entryNode) {
	e.process = c.start(e.id, "celerypoint", "entry", "--settings", e.settingsPath)
}

func (c *cluster) startAgent(v *vmNode) {
	v.agentProcess = c.start(v.id+"-agent", "celerypoint", "agent", "--settings", v.settingsPath)
}

// waitReady waits until every entry is ready and sees every VM that was not
// killed.
func (c *cluster) waitReady() {
	c.Helper()
	for _, e := range c.entries {
		c.eventually(20*time.Second, e.id+" is ready and sees every VM", func() error {
			if code, body, err := httpDo("GET", "http://"+e.httpAddress+"/readyz", nil); err != nil || code != http.StatusOK {
				return fmt.Errorf("readyz: %d %s %v", code, body, err)
			}
			status, err := c.status(e)
			if err != nil {
				return err
			}
			seen := map[string]bool{}
			for _, v := range status.VMs {
				seen[v.ID] = !v.Lost
			}
			for _, v := range c.vms {
				if v.killedAt.IsZero() && !seen[v.id] {
					return fmt.Errorf("VM %s is not seen", v.id)
				}
			}
			return nil
		})
	}
}

func (c *cluster) status(e *entryNode) (wire.StatusView, error) {
	var s wire.StatusView
	err := getJSON("http://"+e.httpAddress+"/v1/status", &s)
	return s, err
}

// newestTermHolder returns the entry that took the newest valid term in the log, or
// "" if there is none. The number of a term is the offset of its record, and a record
// is valid only if it is based on the newest valid term before it. Two entries that
// start at once both append a record based on none, of which the second is void.
func (c *cluster) newestTermHolder() string {
	c.Helper()
	holder, newest := "", 0
	for _, r := range c.jobRecords() {
		if r.Kind == wire.JobRecordKindTerm && r.Term == newest {
			newest = r.offset
			holder, _, _ = strings.Cut(r.Entry, "/")
		}
	}
	return holder
}

// planner waits until every entry names the holder of the newest valid term in the
// log as the planner, and returns that entry.
func (c *cluster) planner() *entryNode {
	c.Helper()
	var found *entryNode
	c.eventually(20*time.Second, "the entries agree on a planner", func() error {
		holder := c.newestTermHolder()
		for _, e := range c.entries {
			status, err := c.status(e)
			if err != nil {
				return err
			}
			if name, _, _ := strings.Cut(status.Planner, "/"); name != holder {
				return fmt.Errorf("%s names %q, the log %q", e.id, status.Planner, holder)
			}
			if e.id == holder {
				found = e
			}
		}
		if found == nil {
			return fmt.Errorf("the log names %q", holder)
		}
		return nil
	})
	return found
}

// otherEntry returns an entry other than e.
func (c *cluster) otherEntry(e *entryNode) *entryNode {
	for _, o := range c.entries {
		if o != e {
			return o
		}
	}
	return nil
}

// start starts a program, which is killed when the test ends.
func (c *cluster) start(name, program string, args ...string) *process {
	c.Helper()
	p := &process{name: name, args: args, exited: make(chan struct{}), output: filepath.Join(c.dir, name+".out")}
	out, err := os.OpenFile(p.output, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	c.Assert(err, qt.IsNil)
	p.cmd = exec.Command(filepath.Join(binDir, program), args...)
	p.cmd.Stdout, p.cmd.Stderr = out, out
	c.Assert(p.cmd.Start(), qt.IsNil)
	go func() {
		_ = p.cmd.Wait()
		_ = out.Close()
		close(p.exited)
	}()
	c.Cleanup(func() {
		p.signal(syscall.SIGCONT)
		p.kill()
		if c.Failed() {
			c.Logf("--- %s\n%s", name, tail(p.output, 40))
		}
	})
	return p
}

func tail(path string, lines int) string {
	text, _ := os.ReadFile(path)
	all := strings.Split(strings.TrimSpace(string(text)), "\n")
	return strings.Join(all[max(0, len(all)-lines):], "\n")
}

func (c *cluster) proxy(name, target string) *proxyNode {
	p := &proxyNode{address: loopback.Address(), control: loopback.Address()}
	c.start(name, "faultproxy", "--listen", p.address, "--control", p.control, "--target", target, "--seed", strconv.FormatUint(c.seed, 10))
	c.waitListening(p.control)
	return p
}

// setFaults sets the faults of a proxy.
func (c *cluster) setFaults(p *proxyNode, f faultproxy.Faults) {
	c.Helper()
	c.postJSON("http://"+p.control+"/faults", f, nil)
}

// connectionsOfVM returns the ConnectionMatch of faultproxy.Faults that limits
// the faults to the connections of one agent.
func connectionsOfVM(id string) string { return `"vm":"` + id + `"` }

// setLogFaults sets the faults of the log.
func (c *cluster) setLogFaults(f wire.LogFaults) {
	c.Helper()
	c.postJSON("http://"+c.logAddress+"/faults", f, nil)
}

// killVM kills the agent and the runtime of a VM. It keeps the runtime's
// records for the checks.
func (c *cluster) killVM(v *vmNode) {
	c.Helper()
	v.agentProcess.signal(syscall.SIGKILL)
	v.records = c.runtimeRecords(v)
	v.killedAt = time.Now()
	v.runtimeProcess.kill()
}

func (c *cluster) vm(id string) *vmNode {
	for _, v := range c.vms {
		if v.id == id {
			return v
		}
	}
	c.Fatalf("no VM %q", id)
	return nil
}

// change posts one configuration change. It returns the status code, and the
// response of the entry to an accepted or to a refused change.
func (c *cluster) change(e *entryNode, change wire.ConfigChange) (int, wire.ConfigAccepted, wire.ErrorResponse, error) {
	var accepted wire.ConfigAccepted
	var refused wire.ErrorResponse
	body, err := json.Marshal(change)
	if err != nil {
		return 0, accepted, refused, err
	}
	code, answer, err := httpDo("POST", "http://"+e.httpAddress+"/v1/config", body)
	if err != nil {
		return 0, accepted, refused, err
	}
	if code == http.StatusOK {
		err = json.Unmarshal(answer, &accepted)
	} else {
		err = json.Unmarshal(answer, &refused)
	}
	return code, accepted, refused, err
}

// putOrg stores an organisation and waits until it is in force at every running
// entry.
func (c *cluster) putOrg(name string, shape wire.Shape) {
	c.Helper()
	change := wire.ConfigChange{Kind: wire.ConfigKindPutOrg, Object: "org/" + name, Org: &wire.Org{Name: name, Guarantee: shape}}
	code, accepted, refused, err := c.change(c.entries[0], change)
	c.Assert(err, qt.IsNil)
	c.Assert(code, qt.Equals, http.StatusOK, qt.Commentf("%+v", refused))
	c.awaitConfig(accepted.Offset)
}

// awaitConfig waits until every running entry has applied the configuration
// record at the offset.
func (c *cluster) awaitConfig(offset int) {
	c.Helper()
	for _, e := range c.entries {
		if e.process.endsWithin(0) {
			continue
		}
		c.eventually(5*time.Second, fmt.Sprintf("configuration record %d is applied at %s", offset, e.id), func() error {
			s, err := c.status(e)
			if err == nil && s.ConfigOffset < offset {
				err = fmt.Errorf("applied up to %d", s.ConfigOffset)
			}
			return err
		})
	}
}

// eventually polls until the function returns nil, and fails the test if it does
// not within the limit.
func (c *cluster) eventually(limit time.Duration, what string, f func() error) {
	c.Helper()
	deadline := time.Now().Add(limit)
	for {
		err := f()
		if err == nil {
			return
		}
		if time.Now().After(deadline) {
			c.Fatalf("not within %s: %s: %v", limit, what, err)
		}
		time.Sleep(50 * time.Millisecond)
	}
}

func (c *cluster) write(name, text string) string {
	path := filepath.Join(c.dir, name)
	c.Assert(os.WriteFile(path, []byte(text), 0o600), qt.IsNil)
	return path
}

func (c *cluster) waitListening(address string) {
	c.Helper()
	c.eventually(10*time.Second, address+" listens", func() error {
		conn, err := net.DialTimeout("tcp", address, time.Second)
		if err == nil {
			_ = conn.Close()
		}
		return err
	})
}

// client opens a new connection for each request, so that no request uses a
// connection to a process that has ended.
var client = &http.Client{Transport: &http.Transport{DisableKeepAlives: true}, Timeout: 60 * time.Second}

func httpDo(method, url string, body []byte) (int, []byte, error) {
	request, err := http.NewRequest(method, url, bytes.NewReader(body))
	if err != nil {
		return 0, nil, err
	}
	response, err := client.Do(request)
	if err != nil {
		return 0, nil, err
	}
	defer func() { _ = response.Body.Close() }()
	answer, err := io.ReadAll(response.Body)
	return response.StatusCode, answer, err
}

func getJSON(url string, v any) error {
	code, body, err := httpDo("GET", url, nil)
	if err != nil {
		return err
	}
	if code != http.StatusOK {
		return fmt.Errorf("GET %s: status %d: %s", url, code, body)
	}
	return json.Unmarshal(body, v)
}

func (c *cluster) postJSON(url string, v, result any) {
	c.Helper()
	body, err := json.Marshal(v)
	c.Assert(err, qt.IsNil)
	code, answer, err := httpDo("POST", url, body)
	c.Assert(err, qt.IsNil)
	c.Assert(code, qt.Equals, http.StatusOK, qt.Commentf("POST %s: %s", url, answer))
	if result != nil {
		c.Assert(json.Unmarshal(answer, result), qt.IsNil)
	}
}
