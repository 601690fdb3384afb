package main

import (
	"bytes"
	"cmp"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"os"
	"path/filepath"
	"regexp"
	"slices"
	"strings"
	"sync"
	"syscall"
	"time"

	"celerypoint.example/celerypoint/faultproxy"
	"celerypoint.example/celerypoint/standinstore"
	"celerypoint.example/celerypoint/standinworker"
	"celerypoint.example/celerypoint/steps"
)

// The bounds of the deployment, those of agujafiel-sched.
const (
	graceSeconds      = 6
	contact           = 3 * time.Second
	configApplyMs     = 2000
	revokeMs          = 5000
	maxHold           = 6 * time.Second
	stopRun           = 200 * time.Millisecond
	reclaimMs         = 2700
	farFactor         = 3
	finish            = 14 * time.Second
	statusSeconds     = 120
	heartbeatInterval = 1500 * time.Millisecond
	timeBudget        = 3 * time.Second
	clientAttempts    = 5
	queueHost         = "review.example"
	apiKey            = "key-1"
)

// capacity is that of each worker.
var capacity = steps.Resources{CPU: 128000, MemMB: 262144, GPUs: 8}

// system is the programs under test with their stand-ins.
type system struct {
	dir     string
	record  *record
	spawner *spawner
	store   *standinstore.Server
	entries []*node
	workers []*workerNode
}

// record writes what was sent, answered and run.
type record struct {
	mu    sync.Mutex
	out   io.Writer
	begun time.Time
}

func (r *record) add(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.out, "%8.3f "+format+"\n", append([]any{time.Since(r.begun).Seconds()}, args...)...)
}

// node is a machine with one program, which is started again whenever it ends.
type node struct {
	name, role, settings, log string
	clientAddress             string
	s                         *system

	mu      sync.Mutex
	program *program
	// disturbedAt has the times at which the program was started or got a signal.
	disturbedAt []time.Time
	retired     bool
}

// workerNode is a machine of a worker: the agent and the stand-in for the worker, with a proxy
// on each path between them.
type workerNode struct {
	*node
	spec              workerSpec
	address           string
	calls, heartbeats *faultproxy.Proxy

	mu           sync.Mutex
	worker       *standinworker.Worker
	incarnations []*standinworker.Worker
	// down is how long the worker stays down after a run has crashed it.
	down time.Duration
}

// workerSpec describes a worker. stop is how long it takes to stop a run, stopRun if it is 0.
type workerSpec struct {
	id, service, rack string
	stop              time.Duration
}

func newSystem(dir string, r *record) (*system, error) {
	s := &system{dir: dir, record: r}
	var err error
	if s.spawner, err = startSpawner(); err != nil {
		return nil, err
	}
	s.store, err = standinstore.New(local(0))
	return s, err
}

// close ends all that was started.
func (s *system) close() {
	for _, n := range s.nodes() {
		n.mu.Lock()
		n.retired = true
		n.mu.Unlock()
	}
	s.spawner.close()
	for _, w := range s.workers {
		w.mu.Lock()
		w.worker.Close()
		w.mu.Unlock()
		w.calls.Close()
		w.heartbeats.Close()
	}
	if s.store != nil {
		s.store.Close()
	}
}

func (s *system) nodes() []*node {
	all := append([]*node(nil), s.entries...)
	for _, w := range s.workers {
		all = append(all, w.node)
	}
	return all
}

// queue describes a route of the desired state.
type queue struct {
	name, service string
	priority      int
}

// configure stores the desired state, as the operator does.
func (s *system) configure(queues ...queue) error {
	var routes []any
	for _, q := range queues {
		routes = append(routes, map[string]any{
			"name": q.name, "host": queueHost, "path_prefix": "/" + q.name + "/", "timeout_ms": 3000, "target_latency_ms": 1000,
			"priority": q.priority, "service": q.service, "max_attempts": 3, "stretch": 3.0,
		})
	}
	body, err := json.Marshal(map[string]any{
		"version": 3, "routes": routes,
		"tenants": []any{map[string]any{"name": "crew", "api_keys": []string{apiKey}, "guaranteed": map[string]any{"gpus": 8}}},
	})
	if err != nil {
		return err
	}
	s.store.Put("keyed.op", "config", body)
	s.record.add("operator: op/config %s", body)
	return nil
}

// host is a loopback address of this run alone, so that several runs do not take each other's
// ports.
var host = fmt.Sprintf("127.%d.%d.%d", 2+rand.IntN(200), rand.IntN(250), 1+rand.IntN(250))

// nextPort is below the range from which the kernel chooses the ports of outgoing connections.
var nextPort = 20000

// freePorts returns n adjacent ports.
func freePorts(n int) []int {
	var ports []int
	for range n {
		ports = append(ports, nextPort)
		nextPort++
	}
	return ports
}

func local(port int) string { return fmt.Sprintf("%s:%d", host, port) }

var placeholder = regexp.MustCompile(`\{\{([a-z_.]+)\}\}`)

// render fills in a template of the deploy file.
func render(template string, fields map[string]string) (string, error) {
	text, err := os.ReadFile(template)
	if err != nil {
		return "", err
	}
	var missing error
	rendered := placeholder.ReplaceAllStringFunc(string(text), func(p string) string {
		value, found := fields[strings.Trim(p, "{}")]
		if !found {
			missing = fmt.Errorf("%s: no value for %s", template, p)
		}
		return value
	})
	return rendered, missing
}

// startNode renders the settings and starts the program.
func (s *system) startNode(role, name string, ports []int, fields map[string]string) (*node, error) {
	all := map[string]string{
		"node_name": name, "zone": "zone-a", "ip": host, "internal_ports": fmt.Sprintf("%d,%d", ports[0], ports[1]), "platform.address": s.store.Address(),
		"bounds.grace_s": fmt.Sprint(graceSeconds), "bounds.contact_ms": fmt.Sprint(contact.Milliseconds()), "bounds.status_s": fmt.Sprint(statusSeconds),
		"bounds.max_hold_ms": fmt.Sprint(maxHold.Milliseconds()), "bounds.stop_ms": fmt.Sprint(stopRun.Milliseconds()), "bounds.reclaim_ms": fmt.Sprint(reclaimMs),
		"bounds.revoke_ms": fmt.Sprint(revokeMs), "bounds.config_apply_ms": fmt.Sprint(configApplyMs), "bounds.far_factor": fmt.Sprint(farFactor),
		"limits.memory_mb": "284", "limits.cpu_share": "0.4", "heartbeat_ms": fmt.Sprint(heartbeatInterval.Milliseconds()),
	}
	for k, v := range fields {
		all[k] = v
	}
	text, err := render("deploy/"+role+".ini", all)
	if err != nil {
		return nil, err
	}
	n := &node{name: name, role: role, settings: filepath.Join(s.dir, name+".ini"), log: filepath.Join(s.dir, name+".log"), s: s}
	if err := os.WriteFile(n.settings, []byte(text), 0o644); err != nil {
		return nil, err
	}
	return n, n.start()
}

// restartPause is the time from the end of a program to its next start.
const restartPause = 300 * time.Millisecond

func (n *node) start() error {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.retired {
		return nil
	}
	p, err := n.s.spawner.start(n.log, "target/celerypoint", "site", n.role, "--settings", n.settings)
	if err != nil {
		return fmt.Errorf("%s: %w", n.name, err)
	}
	n.program, n.disturbedAt = p, append(n.disturbedAt, time.Now())
	go func() {
		<-p.exited
		n.mu.Lock()
		retired := n.retired
		n.mu.Unlock()
		if retired {
			return
		}
		n.s.record.add("%s: process ended", n.name)
		time.Sleep(restartPause)
		if err := n.start(); err != nil {
			n.s.record.add("%s: %v", n.name, err)
		}
	}()
	return nil
}

// signal sends a signal to the program.
func (n *node) signal(s syscall.Signal) *program {
	n.mu.Lock()
	p := n.program
	n.disturbedAt = append(n.disturbedAt, time.Now())
	n.mu.Unlock()
	n.s.record.add("%s: %s", n.name, s)
	p.signal(s)
	return p
}

// disturbedWithin reports whether the program was started or signalled in the time before at.
func (n *node) disturbedWithin(d time.Duration, at time.Time) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return slices.ContainsFunc(n.disturbedAt, func(t time.Time) bool { return t.After(at.Add(-d)) && !t.After(at) })
}

func (s *system) startEntry(i int) error {
	ports := freePorts(4)
	n, err := s.startNode("entry", fmt.Sprintf("edge-%d", i), ports, map[string]string{
		"listen_addrs.frontend_addr": local(ports[2]), "listen_addrs.readiness_addr": local(ports[3]),
	})
	if err != nil {
		return err
	}
	n.clientAddress = local(ports[2])
	s.entries = append(s.entries, n)
	return nil
}

func (s *system) startWorkerNode(spec workerSpec) error {
	ports := freePorts(4)
	w := &workerNode{spec: spec, address: local(ports[2]), down: 3 * time.Second}
	var err error
	if w.calls, err = faultproxy.New(local(0), w.address, 1); err != nil {
		return err
	}
	if w.heartbeats, err = faultproxy.New(local(0), local(ports[3]), 1); err != nil {
		return err
	}
	if err := w.startWorker(s); err != nil {
		return err
	}
	w.node, err = s.startNode("agent", "side-"+spec.id, ports, map[string]string{
		"app": w.calls.Address(), "listen_addrs.control_plane": local(ports[3]), "service": spec.service, "limits.memory_mb": "152",
	})
	s.workers = append(s.workers, w)
	return err
}

// startWorker starts the next incarnation of the worker.
func (w *workerNode) startWorker(s *system) error {
	w.mu.Lock()
	defer w.mu.Unlock()
	worker, err := standinworker.New(w.address, standinworker.Config{
		ID: w.spec.id, Service: w.spec.service, Zone: "zone-a", Rack: w.spec.rack, Capacity: capacity, MaxLease: maxHold, StopDuration: cmp.Or(w.spec.stop, stopRun),
		HeartbeatAddress: w.heartbeats.Address(), HeartbeatInterval: heartbeatInterval,
		OnCrash: func() {
			s.record.add("worker %s: crashed under a run", w.spec.id)
			time.Sleep(w.down)
			if err := w.startWorker(s); err != nil {
				s.record.add("worker %s: %v", w.spec.id, err)
			}
		},
	})
	if err != nil {
		return err
	}
	w.worker = worker
	w.incarnations = append(w.incarnations, worker)
	s.record.add("worker %s: started, service %s, rack %s", w.spec.id, w.spec.service, w.spec.rack)
	return nil
}

// lose ends the worker for good. Its machine and the agent go on.
func (w *workerNode) lose(s *system) {
	s.record.add("worker %s: lost for good", w.spec.id)
	w.mu.Lock()
	defer w.mu.Unlock()
	w.worker.Close()
}

// cut separates the worker from its agent: all bytes are lost, both ways.
func (w *workerNode) cut(s *system, on bool) error {
	f := faultproxy.Faults{}
	if on {
		f.Up.Block, f.Down.Block = faultproxy.BlockDiscard, faultproxy.BlockDiscard
	}
	s.record.add("worker %s: cut off from all machines: %t", w.spec.id, on)
	return errors.Join(w.calls.SetFaults(f), w.heartbeats.SetFaults(f))
}

// runRecord is a run on a worker.
type runRecord struct {
	standinworker.RunRecord
	worker *workerNode
}

// runs lists all runs of a job.
func (s *system) runs(job string) []runRecord {
	var all []runRecord
	for _, w := range s.workers {
		w.mu.Lock()
		incarnations := append([]*standinworker.Worker(nil), w.incarnations...)
		w.mu.Unlock()
		for _, i := range incarnations {
			for _, r := range i.History() {
				if strings.HasPrefix(r.Task, job+".") {
					all = append(all, runRecord{r, w})
				}
			}
		}
	}
	return all
}

// running reports whether a run of the job is in progress.
func (s *system) running(job string) bool {
	for _, r := range s.runs(job) {
		if r.EndedAt.IsZero() {
			return true
		}
	}
	return false
}

// recordRuns writes the runs of a job.
func (s *system) recordRuns(job string) {
	for _, r := range s.runs(job) {
		ended, end := "", r.EndReason
		if !r.EndedAt.IsZero() {
			ended = fmt.Sprintf(" until %.3f", r.EndedAt.Sub(s.record.begun).Seconds())
		}
		s.record.add("ran: %s run %d on %s from %.3f%s, end %q", r.Task, r.Run, r.worker.spec.id, r.StartedAt.Sub(s.record.begun).Seconds(), ended, end)
	}
}

// call sends one request of a client to an entry.
func (s *system) call(e *node, method, path string, body []byte) (int, string, error) {
	r, err := http.NewRequest(method, "http://"+e.clientAddress+path, bytes.NewReader(body))
	if err != nil {
		return 0, "", err
	}
	r.Host = queueHost
	r.Header.Set("Authorization", "Token "+apiKey)
	r.Header.Set("Content-Type", "application/json")
	r.Header.Set("X-Request-Deadline-Ms", fmt.Sprint(timeBudget.Milliseconds()))
	client := http.Client{Timeout: timeBudget, Transport: &http.Transport{DisableKeepAlives: true}}
	response, err := client.Do(r)
	if err != nil {
		return 0, "", err
	}
	defer response.Body.Close()
	text, err := io.ReadAll(response.Body)
	return response.StatusCode, strings.TrimSpace(string(text)), err
}

// step is the only step of a job.
type step struct {
	count, gpus, cpu, memMB int
	work, estimate          time.Duration
	requirements, affinity  string
	gang, longRunning       bool
	// spec is what the stand-in for the worker makes of the job; see package standinworker.
	spec string
}

// submit hands a job in, at another entry after each refusal, and returns its ID.
func (s *system) submit(queue string, st step) (string, error) {
	id := fmt.Sprintf("%016x", rand.Uint64())
	spec := st.spec
	if spec == "" {
		spec = fmt.Sprintf("run %d", st.work.Milliseconds())
	}
	fields := map[string]any{"count": st.count, "gpus": st.gpus, "cpu": st.cpu, "mem_mb": st.memMB, "estimate_ms": st.estimate.Milliseconds()}
	if st.requirements != "" {
		fields["requirements"] = st.requirements
	}
	if st.gang {
		fields["gang"] = true
	}
	if st.longRunning {
		fields["long_running"] = true
	}
	if st.affinity != "" {
		fields["affinity"] = st.affinity
	}
	body, err := json.Marshal(map[string]any{"spec": spec, "steps": []any{fields}})
	if err != nil {
		return "", err
	}
	for i := range clientAttempts {
		e := s.entries[i%len(s.entries)]
		status, text, err := s.call(e, http.MethodPost, "/"+queue+"/"+id, body)
		s.record.add("client: POST /%s/%s at %s %s: %d %s %v", queue, id, e.name, body, status, text, err)
		if err == nil && status == http.StatusOK {
			return id, nil
		}
		time.Sleep(300 * time.Millisecond)
	}
	return "", fmt.Errorf("job %s was not accepted", id)
}

// state asks the entries in turn for a job's state. It is "410" if one denies the job, and
// empty if none answers.
func (s *system) state(queue, id string) string {
	for _, e := range s.entries {
		status, text, err := s.call(e, http.MethodGet, "/"+queue+"/"+id, nil)
		if err != nil || status != http.StatusOK && status != http.StatusGone {
			s.record.add("client: GET /%s/%s at %s: %d %s %v", queue, id, e.name, status, text, err)
			continue
		}
		var reply struct{ State string }
		if status == http.StatusGone {
			reply.State = "410"
		} else if json.Unmarshal([]byte(text), &reply) != nil {
			continue
		}
		s.record.add("client: GET /%s/%s at %s: %s", queue, id, e.name, reply.State)
		return reply.State
	}
	return ""
}

// awaitReady waits until every entry answers and, if queue is set, a first small job on it has
// been completed.
func (s *system) awaitReady(queues ...string) error {
	deadline := time.Now().Add(25 * time.Second)
	for _, e := range s.entries {
		for {
			if status, _, err := s.call(e, http.MethodGet, "/"+queues[0]+"/", nil); err == nil && status == http.StatusOK {
				break
			}
			if time.Now().After(deadline) {
				return fmt.Errorf("%s is not ready", e.name)
			}
			time.Sleep(100 * time.Millisecond)
		}
	}
	for _, q := range queues {
		id, err := s.submit(q, step{count: 1, gpus: 1, cpu: 1000, memMB: 1000, work: 100 * time.Millisecond, estimate: 100 * time.Millisecond})
		if err != nil {
			return err
		}
		for s.state(q, id) != "completed" {
			if time.Now().After(deadline) {
				return fmt.Errorf("the first job on %s is not completed", q)
			}
			time.Sleep(200 * time.Millisecond)
		}
	}
	time.Sleep(2 * time.Second)
	return nil
}

// planner is the entry that appended last under a condition.
func (s *system) planner() *node {
	var p struct{ Entry string }
	_ = json.Unmarshal(s.store.Newest("keyed.celerypoint", "planner"), &p)
	for _, e := range s.entries {
		if e.name == p.Entry {
			return e
		}
	}
	return s.entries[0]
}
