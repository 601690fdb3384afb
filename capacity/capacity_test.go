package capacity

import (
	"bytes"
	"encoding/json"
	"flag"
	"fmt"
	"io"
	"math"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"celerypoint.example/celerypoint/configfold"
	"celerypoint.example/celerypoint/gang"
	"celerypoint.example/celerypoint/guarantee"
	"celerypoint.example/celerypoint/job"
	"celerypoint.example/celerypoint/jobfold"
	"celerypoint.example/celerypoint/loopback"
	"celerypoint.example/celerypoint/org"
	"celerypoint.example/celerypoint/outcome"
	"celerypoint.example/celerypoint/platformlog"
	"celerypoint.example/celerypoint/shape"
	"celerypoint.example/celerypoint/vm"
	"celerypoint.example/celerypoint/wire"
)

var (
	enabled  = flag.Bool("capacity", false, "run the measurement, which is skipped by default")
	window   = flag.Duration("capacity.window", 20*time.Second, "length of each measurement")
	jsonPath = flag.String("capacity.json", "", "file that takes the measured points and slopes as JSON")
)

// sizes are the numbers of VMs that are measured. The largest starts 163
// processes.
var sizes = []int{10, 20, 40, 80}

const (
	// heldTasksPerVM is the number of tasks that phase "held" keeps running on
	// each VM. At the design size 40,000 tasks run on 4,800 VMs, 8.3 on each. With
	// 6 some slots stay free, so that every gang can be placed.
	heldTasksPerVM = 6
	// heldGangSize is the number of tasks of a gang in phase "held".
	heldGangSize = 12
	// urgentInterval, divided by the number of VMs, is the time between urgent
	// requests.
	urgentInterval = time.Second
	// gangInterval, divided by the number of VMs, is the time between gangs of 4
	// tasks that run for 2 s.
	gangInterval = 40 * time.Second
	// settleTimeout bounds each wait for the processes to reach an expected state.
	settleTimeout = 20 * time.Second
	// sizeOverhead is the longest time that one size takes in addition to its
	// three measurements, to start the processes, wait until they are ready and
	// put load on them.
	sizeOverhead = 50 * time.Second
	// clockTicks is the number of clock ticks a second. Processor times in
	// /proc/PID/stat are in ticks. USER_HZ is 100 on Linux.
	clockTicks = 100
)

// Point is the resource use of all processes of one role together in one phase.
type Point struct {
	Phase string `json:"phase"`
	Role  string `json:"role"`
	VMs   int    `json:"vms"`
	// CPUPercent is in percent of one core.
	CPUPercent float64 `json:"cpuPercent"`
	// ResidentMB is resident memory in units of 10^6 bytes. MaxResidentMB is that
	// of the largest process.
	ResidentMB    float64 `json:"residentMB"`
	MaxResidentMB float64 `json:"maxResidentMB"`
	// RPCBytes is the number of bytes a second, both directions added, between the
	// system's own processes. It comes from the gauges of the entries and is 0 for
	// other roles.
	RPCBytes float64 `json:"rpcBytesPerSecond"`
	// IOBytes is the number of bytes a second that system calls read and wrote,
	// from /proc/PID/io. It includes HTTP.
	IOBytes float64 `json:"ioBytesPerSecond"`
}

// Slope is the least-squares line of one measure as a function of the number of
// VMs.
type Slope struct {
	Phase   string  `json:"phase"`
	Role    string  `json:"role"`
	Measure string  `json:"measure"`
	Fixed   float64 `json:"fixed"`
	PerVM   float64 `json:"perVM"`
	// Residual is the root mean square of the distances from the line.
	Residual float64 `json:"residual"`
}

// fit returns the least-squares line through the points.
func fit(x, y []float64) (fixed, slope, residual float64) {
	n, sx, sy, sxx, sxy := float64(len(x)), 0.0, 0.0, 0.0, 0.0
	for i := range x {
		sx, sy, sxx, sxy = sx+x[i], sy+y[i], sxx+x[i]*x[i], sxy+x[i]*y[i]
	}
	slope = (n*sxy - sx*sy) / (n*sxx - sx*sx)
	fixed = (sy - slope*sx) / n
	for i := range x {
		d := y[i] - fixed - slope*x[i]
		residual += d * d / n
	}
	return fixed, slope, math.Sqrt(residual)
}

// TestFit guards against errors in the least-squares fit, which would give
// wrong figures at the design size.
func TestFit(t *testing.T) {
	c := qt.New(t)
	for _, v := range []struct{ y, want []float64 }{
		{[]float64{5, 7, 9, 11}, []float64{3, 2, 0}},
		{[]float64{1, -1, -1, 1}, []float64{0, 0, 1}},
	} {
		fixed, slope, residual := fit([]float64{1, 2, 3, 4}, v.y)
		for i, got := range []float64{fixed, slope, residual} {
			c.Check(math.Abs(got-v.want[i]) < 1e-9, qt.IsTrue, qt.Commentf("%v: found %v, want %v", v.y, got, v.want[i]))
		}
	}
}

// TestCapacity measures the control plane, so that its resource use at the
// design size is known. It fails if processes do not become ready, requests are
// not answered, or gangs of phase "held" do not start.
func TestCapacity(t *testing.T) {
	if !*enabled {
		t.Skip("not measured: needs the flag -capacity")
	}
	c := qt.New(t)
	// The panic of the test program at its timeout would leave the processes
	// running.
	if need := time.Duration(len(sizes)) * (3**window + sizeOverhead); !hasTimeLeft(t, need) {
		t.Fatalf("-timeout: found too little time left, allowed: at least %s", need)
	}
	bin := t.TempDir()
	build := exec.Command("go", "build", "-o", bin+"/", "./cmd/celerypoint", "./cmd/standinlog", "./cmd/standinruntime")
	build.Dir = ".."
	out, err := build.CombinedOutput()
	c.Assert(err, qt.IsNil, qt.Commentf("%s", out))
	var points []Point
	for _, n := range sizes {
		c.Run(fmt.Sprintf("vms=%d", n), func(c *qt.C) { measureSize(c, bin, n, &points) })
	}
	slopes := slopesOf(points)
	t.Log("\n" + formatTable(points, slopes))
	text, err := json.Marshal(map[string]any{"window": window.String(), "points": points, "slopes": slopes})
	c.Assert(err, qt.IsNil)
	t.Logf("%s", text)
	if *jsonPath != "" {
		c.Assert(os.WriteFile(*jsonPath, text, 0o600), qt.IsNil)
	}
}

func hasTimeLeft(t *testing.T, need time.Duration) bool {
	deadline, ok := t.Deadline()
	return !ok || time.Until(deadline) >= need
}

var measures = []struct {
	name  string
	value func(Point) float64
}{
	{"cpuPercent", func(p Point) float64 { return p.CPUPercent }},
	{"residentMB", func(p Point) float64 { return p.ResidentMB }},
	{"rpcBytesPerSecond", func(p Point) float64 { return p.RPCBytes }},
	{"ioBytesPerSecond", func(p Point) float64 { return p.IOBytes }},
}

func slopesOf(points []Point) []Slope {
	var slopes []Slope
	for _, first := range points {
		if first.VMs != sizes[0] {
			continue
		}
		for _, m := range measures {
			var x, y []float64
			for _, p := range points {
				if p.Phase == first.Phase && p.Role == first.Role {
					x, y = append(x, float64(p.VMs)), append(y, m.value(p))
				}
			}
			if len(x) < 2 {
				continue
			}
			s := Slope{Phase: first.Phase, Role: first.Role, Measure: m.name}
			s.Fixed, s.PerVM, s.Residual = fit(x, y)
			slopes = append(slopes, s)
		}
	}
	return slopes
}

func formatTable(points []Point, slopes []Slope) string {
	var b strings.Builder
	fmt.Fprintf(&b, "%-6s %-8s %4s %9s %9s %9s %12s %12s\n", "phase", "role", "VMs", "cpu%", "RSS MB", "max MB", "RPC B/s", "I/O B/s")
	for _, p := range points {
		fmt.Fprintf(&b, "%-6s %-8s %4d %9.2f %9.1f %9.1f %12.0f %12.0f\n", p.Phase, p.Role, p.VMs, p.CPUPercent, p.ResidentMB, p.MaxResidentMB, p.RPCBytes, p.IOBytes)
	}
	fmt.Fprintf(&b, "%-6s %-8s %-18s %12s %12s %12s\n", "phase", "role", "measure", "fixed", "per VM", "residual")
	for _, s := range slopes {
		fmt.Fprintf(&b, "%-6s %-8s %-18s %12.3f %12.4f %12.3f\n", s.Phase, s.Role, s.Measure, s.Fixed, s.PerVM, s.Residual)
	}
	return b.String()
}

// fleet holds the processes that are started for one number of VMs.
type fleet struct {
	*qt.C
	binDir, dir string
	// pids lists the processes of each role.
	pids map[string][]int
	// httpAddresses lists the HTTP addresses of the entries, the planner's first
	// once it is known.
	httpAddresses []string
}

// measureSize measures all phases for n VMs. It appends the points of a phase
// as soon as the phase ends, so that they are not lost if a later one fails.
func measureSize(c *qt.C, bin string, n int, points *[]Point) {
	f := startFleet(c, bin, n)
	f.awaitReady(n)
	*points = append(*points, f.measure("idle", n)...)
	stop := f.startLoad(n)
	time.Sleep(3 * time.Second)
	*points = append(*points, f.measure("load", n)...)
	sent, failed, first := stop()
	c.Logf("load: %d requests, %d failed, the first failure: %s", sent, failed, first)
	c.Check(failed, qt.Equals, int64(0))
	f.startHeldGangs(n)
	*points = append(*points, f.measure("held", n)...)
}

func startFleet(c *qt.C, bin string, n int) *fleet {
	f := &fleet{C: c, binDir: bin, dir: c.TempDir(), pids: map[string][]int{}}
	log := loopback.Address()
	f.start("log", "standinlog", "--listen", log)
	f.awaitListening(log)
	rpc := []string{loopback.Address(), loopback.Address()}
	seeds := strings.Join(rpc, ",")
	for i, address := range rpc {
		http := loopback.Address()
		f.httpAddresses = append(f.httpAddresses, http)
		f.start("entry", "celerypoint", "entry", "--settings", f.writeFile(fmt.Sprintf("e%d.ini", i+1), fmt.Sprintf(
			"[entry]\nid = e%d\nzone = a\nregion = north\nrpcAddress = %s\nhttpAddress = %s\nseeds = %s\n[log]\nurl = http://%s\n[logging]\nlevel = error\n",
			i+1, address, http, seeds, log)))
	}
	for i := range n {
		runtime := loopback.Address()
		f.start("runtime", "standinruntime", "--listen", runtime, "--vm", fmt.Sprintf("v%d", i), "--accelerators", "8")
		f.start("agent", "celerypoint", "agent", "--settings", f.writeFile(fmt.Sprintf("v%d.ini", i), fmt.Sprintf(
			"[agent]\nvm = v%d\nzone = a\nrack = r%d\nregion = north\nannounceTo = %s\naccelerators = 8\nslots = 8\ncpus = 32\nmemoryMB = 131072\n[runtime]\nurl = http://%s\n[logging]\nlevel = error\n",
			i, i/3, seeds, runtime)))
	}
	return f
}

// awaitReady waits until both entries are ready, see each other and every VM,
// and name the same planner. It then puts the planner first in the lists of
// entries and adds an organisation. The planners that the entries name are
// compared because an entry that does not know the other yet names itself.
func (f *fleet) awaitReady(n int) {
	f.Helper()
	var planner string
	for i := range 2 * len(f.httpAddresses) {
		// The first round waits until each entry sees all processes; the second
		// compares the planners that they name.
		address := f.httpAddresses[i%len(f.httpAddresses)]
		if i < len(f.httpAddresses) {
			planner = ""
		}
		f.eventually("the entry is ready and sees every VM", func() error {
			if code, body, err := f.httpDo("GET", address, "/readyz", nil); err != nil || code != http.StatusOK {
				return fmt.Errorf("readyz: %d %s %v", code, body, err)
			}
			var s wire.StatusView
			code, body, err := f.httpDo("GET", address, "/v1/status", nil)
			if err != nil || code != http.StatusOK {
				return fmt.Errorf("status: %d %s %v", code, body, err)
			}
			if err := json.Unmarshal(body, &s); err != nil {
				return err
			}
			if len(s.VMs) != n || len(s.Entries) != len(f.httpAddresses) || s.Planner == "" || planner != "" && s.Planner != planner {
				return fmt.Errorf("%d VMs, %d entries, planner %q; the other entry names %q", len(s.VMs), len(s.Entries), s.Planner, planner)
			}
			planner = s.Planner
			return nil
		})
	}
	entries := f.pids["entry"]
	delete(f.pids, "entry")
	if planner == "e2" {
		entries[0], entries[1] = entries[1], entries[0]
		f.httpAddresses[0], f.httpAddresses[1] = f.httpAddresses[1], f.httpAddresses[0]
	}
	f.pids["planner"], f.pids["other"] = entries[:1], entries[1:]
	change, _ := json.Marshal(wire.ConfigChange{Kind: wire.ConfigKindPutOrg, Object: "org/cairn",
		Org: &wire.Org{Name: "cairn", Guarantee: wire.Shape{VMs: 1, AcceleratorsPerVM: 1}}})
	code, body, err := f.httpDo("POST", f.httpAddresses[0], "/v1/config", change)
	f.Assert(err, qt.IsNil)
	f.Assert(code, qt.Equals, http.StatusOK, qt.Commentf("%s", body))
	time.Sleep(5 * time.Second)
}

// usage holds the counters of one process: processor time in ticks, resident
// memory, RPC bytes and I/O bytes.
type usage struct{ ticks, resident, rpc, io float64 }

var roles = []string{"agent", "planner", "other", "log"}

func (f *fleet) measure(phase string, n int) []Point {
	f.Helper()
	began, before := time.Now(), f.sample()
	time.Sleep(*window)
	seconds, after := time.Since(began).Seconds(), f.sample()
	var points []Point
	for _, role := range roles {
		p := Point{Phase: phase, Role: role, VMs: n}
		for i, a := range after[role] {
			b := before[role][i]
			p.CPUPercent += 100 * (a.ticks - b.ticks) / clockTicks / seconds
			p.ResidentMB += a.resident / 1e6
			p.MaxResidentMB = max(p.MaxResidentMB, a.resident/1e6)
			p.RPCBytes += (a.rpc - b.rpc) / seconds
			p.IOBytes += (a.io - b.io) / seconds
		}
		points = append(points, p)
	}
	return points
}

func (f *fleet) sample() map[string][]usage {
	f.Helper()
	all := map[string][]usage{}
	for _, role := range roles {
		for _, pid := range f.pids[role] {
			all[role] = append(all[role], f.usage(pid))
		}
	}
	all["planner"][0].rpc, all["other"][0].rpc = f.traffic(f.httpAddresses[0]), f.traffic(f.httpAddresses[1])
	return all
}

func (f *fleet) usage(pid int) usage {
	f.Helper()
	stat := f.readProc(pid, "stat")
	// The process name in parentheses may contain spaces. utime and stime are the
	// 12th and 13th fields after it.
	fields := strings.Fields(stat[strings.LastIndexByte(stat, ')')+1:])
	u := usage{ticks: f.parseNumber(fields[11]) + f.parseNumber(fields[12])}
	for line := range strings.Lines(f.readProc(pid, "status") + f.readProc(pid, "io")) {
		switch w := strings.Fields(line); w[0] {
		case "VmRSS:":
			u.resident = 1024 * f.parseNumber(w[1])
		case "rchar:", "wchar:":
			u.io += f.parseNumber(w[1])
		}
	}
	return u
}

func (f *fleet) readProc(pid int, name string) string {
	f.Helper()
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/%s", pid, name))
	f.Assert(err, qt.IsNil)
	return string(text)
}

func (f *fleet) parseNumber(text string) float64 {
	f.Helper()
	v, err := strconv.ParseFloat(text, 64)
	f.Assert(err, qt.IsNil)
	return v
}

// traffic returns the RPC bytes that the entry received and sent, from its
// metrics.
func (f *fleet) traffic(address string) float64 {
	f.Helper()
	_, body, err := f.httpDo("GET", address, "/metrics", nil)
	f.Assert(err, qt.IsNil)
	sum, found := 0.0, 0
	for line := range strings.Lines(string(body)) {
		if w := strings.Fields(line); len(w) == 2 && (w[0] == "rpcBytesReceived" || w[0] == "rpcBytesSent") {
			sum, found = sum+f.parseNumber(w[1]), found+1
		}
	}
	f.Assert(found, qt.Equals, 2)
	return sum
}

// startLoad starts to send urgent requests and gangs at a rate in proportion to
// the number of VMs. The function that it returns stops this and waits for the
// last answers.
func (f *fleet) startLoad(n int) (stop func() (sent, failed int64, firstFailure string)) {
	done := make(chan struct{})
	var senders, calls sync.WaitGroup
	var sent, failed atomic.Int64
	var firstFailure atomic.Value
	firstFailure.Store("")
	send := func(interval time.Duration, r wire.SubmitRequest) {
		body, _ := json.Marshal(r)
		ticker := time.NewTicker(interval)
		defer ticker.Stop()
		for i := 0; ; i++ {
			select {
			case <-done:
				return
			case <-ticker.C:
			}
			address := f.httpAddresses[i%2]
			calls.Go(func() {
				sent.Add(1)
				var v wire.JobView
				code, answer, err := f.httpDo("POST", address, "/v1/jobs?waitMs=30000", body)
				if err == nil {
					err = json.Unmarshal(answer, &v)
				}
				if err != nil || v.Outcome == nil || v.Outcome.Kind != "answer" {
					failed.Add(1)
					firstFailure.CompareAndSwap("", fmt.Sprintf("%d %s %v", code, answer, err))
				}
			})
		}
	}
	senders.Go(func() {
		send(urgentInterval/time.Duration(n), wire.SubmitRequest{Org: "cairn", Tasks: 1, Urgency: "urgent", Idempotent: true, Payload: `{"runMs":20,"answerBytes":64}`})
	})
	senders.Go(func() {
		send(gangInterval/time.Duration(n), wire.SubmitRequest{Org: "cairn", Tasks: 4, AcceleratorsPerTask: 1, Idempotent: true, Preemptible: true, Payload: `{"runMs":2000,"answerBytes":64}`})
	})
	return func() (int64, int64, string) {
		close(done)
		senders.Wait()
		calls.Wait()
		return sent.Load(), failed.Load(), firstFailure.Load().(string)
	}
}

// startHeldGangs starts gangs that run until the end of the measurement, and
// waits until they run.
func (f *fleet) startHeldGangs(n int) {
	f.Helper()
	body, _ := json.Marshal(wire.SubmitRequest{Org: "cairn", Tasks: heldGangSize, AcceleratorsPerTask: 1, Idempotent: true, Preemptible: true, Payload: `{"runMs":600000}`})
	var ids []string
	for range n * heldTasksPerVM / heldGangSize {
		code, answer, err := f.httpDo("POST", f.httpAddresses[0], "/v1/jobs", body)
		f.Assert(err, qt.IsNil)
		var v wire.JobView
		f.Assert(json.Unmarshal(answer, &v), qt.IsNil, qt.Commentf("%d %s", code, answer))
		ids = append(ids, v.ID)
	}
	// If a gang does not start, the test fails, but the measurement continues with
	// the others.
	deadline := time.Now().Add(settleTimeout)
	for _, id := range ids {
		for {
			code, answer, err := f.httpDo("GET", f.httpAddresses[0], "/v1/jobs/"+id, nil)
			var v wire.JobView
			if err == nil {
				err = json.Unmarshal(answer, &v)
			}
			if err == nil && v.Phase == "running" {
				break
			}
			if time.Now().After(deadline) {
				_, events, timelineErr := f.httpDo("GET", f.httpAddresses[0], "/v1/timeline?job="+id, nil)
				f.Errorf("gang %s does not run within %s: %d %s %v; timeline: %s %v", id, settleTimeout, code, answer, err, events, timelineErr)
				break
			}
			time.Sleep(100 * time.Millisecond)
		}
	}
	time.Sleep(2 * time.Second)
}

// start starts a program, which is killed when the test ends.
func (f *fleet) start(role, program string, args ...string) {
	f.Helper()
	cmd := exec.Command(filepath.Join(f.binDir, program), args...)
	f.Assert(cmd.Start(), qt.IsNil)
	f.pids[role] = append(f.pids[role], cmd.Process.Pid)
	f.Cleanup(func() {
		_ = cmd.Process.Kill()
		_ = cmd.Wait()
	})
}

func (f *fleet) writeFile(name, text string) string {
	path := filepath.Join(f.dir, name)
	f.Assert(os.WriteFile(path, []byte(text), 0o600), qt.IsNil)
	return path
}

func (f *fleet) awaitListening(address string) {
	f.Helper()
	f.eventually(address+" listens", func() error {
		conn, err := net.DialTimeout("tcp", address, time.Second)
		if err == nil {
			_ = conn.Close()
		}
		return err
	})
}

// eventually polls until the function returns nil, and fails the test if it does
// not within settleTimeout.
func (f *fleet) eventually(what string, check func() error) {
	f.Helper()
	deadline := time.Now().Add(settleTimeout)
	for {
		err := check()
		if err == nil {
			return
		}
		if time.Now().After(deadline) {
			f.Fatalf("not within %s: %s: %v", settleTimeout, what, err)
		}
		time.Sleep(100 * time.Millisecond)
	}
}

var httpClient = &http.Client{Timeout: 40 * time.Second, Transport: &http.Transport{MaxIdleConnsPerHost: 256}}

func (f *fleet) httpDo(method, address, path string, body []byte) (int, []byte, error) {
	request, err := http.NewRequest(method, "http://"+address+path, bytes.NewReader(body))
	if err != nil {
		return 0, nil, err
	}
	response, err := httpClient.Do(request)
	if err != nil {
		return 0, nil, err
	}
	defer func() { _ = response.Body.Close() }()
	answer, err := io.ReadAll(response.Body)
	return response.StatusCode, answer, err
}

// designVMs, designOrgs and designTasks are the numbers of VMs, organisations
// and running tasks at the design size. endedJobs is the number of ended jobs
// that are retained: an ended job is retained for a fixed number of log
// offsets, and a job takes three records.
const (
	designVMs, designOrgs, designTasks = 4800, 790, 40000
	endedJobs                          = jobfold.EndedJobRetention / 3
	// tasksPerJob is an assumption, because the requirements do not give it.
	tasksPerJob = 8
)

// TestRecordSizes shows whether one append to the log can hold the largest
// records at the design size. It logs the sizes of their JSON encodings and does
// not fail if one is too large.
func TestRecordSizes(t *testing.T) {
	if !*enabled {
		t.Skip("not measured: needs the flag -capacity")
	}
	c := qt.New(t)
	views := make([]vm.View, designVMs)
	state := configfold.New()
	for i := range views {
		id := fmt.Sprintf("vm%05d", i)
		views[i] = vm.View{VM: vm.VM{ID: id, Zone: fmt.Sprintf("z%d", i/200), Rack: fmt.Sprintf("k%d", i/3), Region: fmt.Sprintf("r%d", i/686), Accelerators: 1 + min(1, i%5), Slots: 16}}
		state.VMLabels[id] = map[string]string{"pool": "a"}
		state.Versions["labels/"+id] = int64(i + 1)
	}
	var orgs []org.Org
	for i := range designOrgs {
		o := org.Org{Name: fmt.Sprintf("organisation%d", i), Guarantee: shape.Shape{VMs: 1 + i%8, AcceleratorsPerVM: 1 + i%2, Adjacency: shape.AdjacencyRegion}}
		orgs = append(orgs, o)
		state.Orgs[o.Name], state.Versions["org/"+o.Name] = o, int64(i+1)
	}
	state.Assignment = guarantee.Assign(orgs, views, guarantee.Assignment{})
	logSize := func(name string, v any) {
		text, err := json.Marshal(v)
		c.Assert(err, qt.IsNil)
		t.Logf("%s: %d bytes of JSON; one append holds at most %d", name, len(text), platformlog.MaxBatchBytes)
	}
	logSize("assignment", platformlog.ConfigBody(configfold.Record{Change: configfold.PutAssignment{Assignment: state.Assignment}}))
	logSize("configuration snapshot", platformlog.EncodeConfigSnapshot(state))
	jobs := jobfold.New()
	addJob := func(i int, phase jobfold.Phase, o outcome.Outcome) {
		id := fmt.Sprintf("%d~2tjr31nqgmvv7~e1", i)
		entry := &jobfold.JobState{Region: "r1", Phase: phase, Attempt: id + "/1.1", CommitOffset: 1, CommitCount: 1, Outcome: o,
			Job: job.Job{ID: id, Org: "organisation1", Tasks: tasksPerJob, AcceleratorsPerTask: 1, Adjacency: shape.AdjacencyRegion, Urgency: job.UrgencyNormal, Idempotent: true, Preemptible: true}}
		for k := range tasksPerJob / 2 {
			entry.Members = append(entry.Members, gang.Member{VM: fmt.Sprintf("vm%05d", k), Tasks: 2, FirstRank: 2 * k, BootID: fmt.Sprintf("vm%05d-1796374200044-0a1b2c3d", k)})
		}
		jobs.Jobs[id] = entry
	}
	for i := range designTasks / tasksPerJob {
		addJob(i, jobfold.PhaseCommitted, nil)
	}
	logSize("jobs snapshot, running jobs", platformlog.EncodeJobsSnapshot(jobs))
	for i := range endedJobs {
		addJob(1e6+i, jobfold.PhaseEnded, outcome.Answer{Length: 1024, Body: make([]byte, 1024)})
	}
	logSize("jobs snapshot, with ended jobs of 1 KiB answers", platformlog.EncodeJobsSnapshot(jobs))
}
