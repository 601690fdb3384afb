// Package sitedemo runs a deployment on the users' platform in one process on
// free loopback ports: stand-ins of the platform's store and of three workers,
// an agent beside each, and two entries. It hands jobs in over HTTP as clients
// do, takes parts away, and checks what the workers ran. It owns the parts that
// it starts and stops them in reverse order.
package sitedemo

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"

	"celerypoint.example/celerypoint/httpserver"
	"celerypoint.example/celerypoint/platform"
	"celerypoint.example/celerypoint/standinstore"
	"celerypoint.example/celerypoint/standinworker"
	"celerypoint.example/celerypoint/stepagent"
	"celerypoint.example/celerypoint/stepentry"
	"celerypoint.example/celerypoint/stepplan"
	"celerypoint.example/celerypoint/steps"
)

// Report counts what became of the jobs.
type Report struct {
	JobsSubmitted int     `json:"jobsAsked"`
	JobsCompleted int     `json:"jobsCompleted"`
	Starts        int     `json:"starts"`
	Violations    int     `json:"rulesBroken"`
	Seconds       float64 `json:"seconds"`
}

const (
	local = "127.0.0.1:0"
	host  = "demo.example"
	topic = "celerypoint"
	vms   = 3
	// jobTimeout bounds every wait on a busy machine.
	jobTimeout  = 30 * time.Second
	askEvery    = 20 * time.Millisecond
	stopTimeout = 6 * time.Second
	// maxLease is the longest lease of a worker, stopTime the longest stop, and
	// reclaim the bound for what is owed, as on the platform.
	maxLease = 6 * time.Second
	stopTime = 300 * time.Millisecond
	reclaim  = 2700 * time.Millisecond
	// handlers bounds the requests that an entry handles at once.
	handlers = 32
)

// capacity of each worker.
var capacity = steps.Resources{CPU: 32000, MemMB: 128 << 10, GPUs: 8}

// entry is one entry; agent is an agent with its worker.
type (
	entry struct {
		daemon *stepentry.Daemon
		http   *httpserver.Server
	}
	agent struct {
		daemon *stepagent.Daemon
		http   *httpserver.Server
		worker *standinworker.Worker
	}
)

// deployment is what the demonstration runs.
type deployment struct {
	out     io.Writer
	store   *standinstore.Server
	entries [2]*entry
	agents  [vms]*agent
	// past are workers that were lost.
	past   []*standinworker.Worker
	report Report

	mu sync.Mutex
	// needs is what a task of each job takes.
	needs map[string]steps.Resources
}

// Run runs the demonstration, writes what happens to out, and returns an error
// when a job did not complete or a rule was broken.
func Run(ctx context.Context, out io.Writer) (Report, error) {
	begun := time.Now()
	d := &deployment{out: out, needs: map[string]steps.Resources{}}
	defer d.close()
	err := d.start()
	if err == nil {
		err = d.play(ctx)
	}
	if err == nil {
		err = d.check()
	}
	d.report.Seconds = time.Since(begun).Seconds()
	if err != nil {
		return d.report, fmt.Errorf("platform demo: %w", err)
	}
	return d.report, nil
}

func (d *deployment) start() error {
	store, err := standinstore.New(local)
	if err != nil {
		return err
	}
	d.store = store
	if err := d.configure(); err != nil {
		return err
	}
	for i := range d.agents {
		if err := d.startAgent(i, local, local); err != nil {
			return err
		}
	}
	for i := range d.entries {
		if err := d.startEntry(i); err != nil {
			return err
		}
	}
	return nil
}

// configure stores a configuration with a queue of each urgency, and two
// organisations of which one is owed two of the three VMs.
func (d *deployment) configure() error {
	queue := func(name string, priority int) map[string]any {
		return map[string]any{
			"name": name, "host": host, "path_prefix": "/" + name + "/", "timeout_ms": 3000, "target_latency_ms": 1000,
			"priority": priority, "service": "paint", "max_attempts": 3, "stretch": 3.0,
		}
	}
	org := func(name string, gpus int) map[string]any {
		return map[string]any{"name": name, "api_keys": []string{"key-of-" + name}, "guaranteed": map[string]any{"gpus": gpus}}
	}
	body, err := json.Marshal(map[string]any{
		"version": 1, "routes": []any{queue("urgent", 0), queue("normal", 1), queue("batch", 2)}, "tenants": []any{org("cairn", 16), org("stylus", 8)},
	})
	if err != nil {
		return fmt.Errorf("configuration: %w", err)
	}
	d.store.Put("keyed."+platform.TopicConfiguration, "config", body)
	return nil
}

func (d *deployment) startEntry(i int) error {
	daemon, err := stepentry.New(stepentry.Config{
		Name: fmt.Sprintf("entry-%d", i), Zone: "a", Listen: local, Topic: topic, ConfigTopic: platform.TopicConfiguration,
		Log: platform.NewStore(d.store.Address()), DecodeConfig: platform.DecodeConfiguration,
		Timing:   stepplan.Timing{LeaseDuration: maxLease * 9 / 10, KeepStatus: time.Minute, MaxStopTime: stopTime, MaxReclaimTime: reclaim, FarFactor: 3},
		KeyGrace: 4 * time.Second, ShutdownDelay: 2 * time.Second,
	})
	if err != nil {
		return err
	}
	server, err := httpserver.New(local, handlers, platform.ClientHandler(daemon))
	if err != nil {
		daemon.Kill()
		return err
	}
	d.entries[i] = &entry{daemon, server}
	return nil
}

// startAgent starts an agent and, if it has none, its worker. The addresses are
// those where the worker announces itself and where it takes calls.
func (d *deployment) startAgent(i int, heartbeats, calls string) error {
	a := d.agents[i]
	if a == nil {
		a = &agent{}
		d.agents[i] = a
	}
	// The worker has to know the agent's address and the agent the worker's:
	// the first server only finds a free port.
	if heartbeats == local {
		server, err := httpserver.New(local, 1, http.NotFoundHandler())
		if err != nil {
			return err
		}
		heartbeats = server.Address()
		server.Close(time.Second)
	}
	if a.worker == nil {
		worker, err := standinworker.New(calls, standinworker.Config{
			ID: fmt.Sprintf("i-%d", i), Service: "paint", Zone: "a", Rack: fmt.Sprintf("r%d", i/2), Capacity: capacity, MaxLease: maxLease,
			StopDuration: stopTime, HeartbeatAddress: heartbeats, HeartbeatInterval: 200 * time.Millisecond, TaskResources: d.needsOf,
		})
		if err != nil {
			return err
		}
		a.worker = worker
	}
	daemon, err := stepagent.New(stepagent.Config{
		Name: fmt.Sprintf("vm-%d", i), Zone: "a", Listen: local, Topic: topic,
		Log: platform.NewStore(d.store.Address()), Worker: platform.NewWorker(a.worker.Address()),
	})
	if err != nil {
		return err
	}
	server, err := httpserver.New(heartbeats, 4, platform.HeartbeatHandler(daemon))
	if err != nil {
		daemon.Kill()
		return err
	}
	a.daemon, a.http = daemon, server
	return nil
}

func (d *deployment) needsOf(task string) steps.Resources {
	d.mu.Lock()
	defer d.mu.Unlock()
	id, _, _ := strings.Cut(task, ".")
	return d.needs[id]
}

func (d *deployment) close() {
	for _, e := range d.entries {
		if e != nil {
			e.http.Close(time.Second)
			e.daemon.Kill()
		}
	}
	for _, a := range d.agents {
		if a != nil && a.daemon != nil {
			a.http.Close(time.Second)
			a.daemon.Kill()
			a.worker.Close()
		}
	}
	if d.store != nil {
		d.store.Close()
	}
}

// errNotYet says that what is waited for does not hold yet.
var errNotYet = errors.New("not yet")

// await asks until f returns no error.
func await(ctx context.Context, what string, f func() error) error {
	ctx, cancel := context.WithTimeout(ctx, jobTimeout)
	defer cancel()
	for {
		err := f()
		if err == nil {
			return nil
		}
		select {
		case <-time.After(askEvery):
		case <-ctx.Done():
			return fmt.Errorf("%s: %w", what, err)
		}
	}
}

// check compares all runs with the promises.
func (d *deployment) check() error {
	all := map[string][]standinworker.RunRecord{}
	var broken []string
	workers := slices.Clone(d.past)
	for _, a := range d.agents {
		workers = append(workers, a.worker)
	}
	for _, w := range workers {
		broken = append(broken, w.Violations()...)
		for _, b := range w.History() {
			all[b.Task] = append(all[b.Task], b)
			d.report.Starts++
		}
	}
	for task, runs := range all {
		slices.SortFunc(runs, func(x, y standinworker.RunRecord) int { return x.StartedAt.Compare(y.StartedAt) })
		for i, b := range runs[1:] {
			if before := runs[i]; before.EndedAt.IsZero() || b.StartedAt.Before(before.EndedAt) || before.EndReason == "done" {
				broken = append(broken, fmt.Sprintf("%s: run %d beside or after run %d", task, b.Run, before.Run))
			}
		}
	}
	d.report.Violations = len(broken)
	if len(broken) > 0 {
		return fmt.Errorf("rules broken: %s", strings.Join(broken, "; "))
	}
	return nil
}

// client sends requests to the entries; it opens a connection for each, so that
// an entry that stops keeps none of them.
var client = http.Client{Timeout: 5 * time.Second, Transport: &http.Transport{DisableKeepAlives: true}}

// call sends one request to an entry.
func (d *deployment) call(ctx context.Context, e *entry, method, path, org string, body any) (int, map[string]any, error) {
	text, err := json.Marshal(body)
	if err != nil {
		return 0, nil, err
	}
	r, err := http.NewRequestWithContext(ctx, method, "http://"+e.http.Address()+path, bytes.NewReader(text))
	if err != nil {
		return 0, nil, err
	}
	r.Host = host
	r.Header.Set("Authorization", "Token key-of-"+org)
	response, err := client.Do(r)
	if err != nil {
		return 0, nil, err
	}
	defer response.Body.Close()
	var reply map[string]any
	if err := json.NewDecoder(response.Body).Decode(&reply); err != nil {
		return response.StatusCode, nil, err
	}
	return response.StatusCode, reply, nil
}
