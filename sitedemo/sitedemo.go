// Package sitedemo demonstrates a deployment on the users' platform in one
// process on free loopback ports: stand-ins for the platform's store and for
// three workers, an agent for each worker, and two entries. It submits jobs over
// HTTP as clients do, crashes and restarts parts, and checks the runs that the
// workers recorded. It owns the parts that it starts and stops the entries first,
// then the agents and their workers, and the store last.
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

// Report counts the jobs, the starts of tasks, and the violations of rules: those
// that the workers recorded and those that checkRuns found.
type Report struct {
	JobsSubmitted int     `json:"jobsAsked"`
	JobsCompleted int     `json:"jobsCompleted"`
	Starts        int     `json:"starts"`
	Violations    int     `json:"rulesBroken"`
	Seconds       float64 `json:"seconds"`
}

const (
	loopback = "127.0.0.1:0"
	host     = "demo.example"
	topic    = "celerypoint"
	vms      = 3
	// jobTimeout bounds each wait for a state of a job or of the deployment. It is
	// long enough for a busy machine.
	jobTimeout   = 30 * time.Second
	pollInterval = 20 * time.Millisecond
	stopTimeout  = 6 * time.Second
	// maxLease is the longest lease that a worker accepts, stopTime the time that a
	// worker takes to stop a run, and maxReclaimTime the longest time until an
	// organisation gets accelerators back that are guaranteed to it. All three
	// have the values that apply on the users' platform.
	maxLease       = 6 * time.Second
	stopTime       = 300 * time.Millisecond
	maxReclaimTime = 2700 * time.Millisecond
	// maxConcurrentRequests bounds the requests that an entry handles at once.
	maxConcurrentRequests = 32
)

// capacity is the capacity of each worker.
var capacity = steps.Resources{CPU: 32000, MemMB: 128 << 10, GPUs: 8}

// entry is an entry with its HTTP server for clients. agent is an agent with its
// HTTP server for the worker's heartbeats, and with its worker.
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

// deployment holds the parts that the demonstration runs, and its report.
type deployment struct {
	out     io.Writer
	store   *standinstore.Server
	entries [2]*entry
	agents  [vms]*agent
	// lostWorkers are the workers that were crashed. Their runs are checked too.
	lostWorkers []*standinworker.Worker
	report      Report

	mu sync.Mutex
	// taskResources maps a job to the resources that each of its tasks takes.
	taskResources map[string]steps.Resources
}

// Run runs the demonstration, describes it on out, and returns an error if a job
// did not complete or a rule was violated.
func Run(ctx context.Context, out io.Writer) (Report, error) {
	started := time.Now()
	d := &deployment{out: out, taskResources: map[string]steps.Resources{}}
	defer d.close()
	err := d.start()
	if err == nil {
		err = d.runScenes(ctx)
	}
	if err == nil {
		err = d.checkRuns()
	}
	d.report.Seconds = time.Since(started).Seconds()
	if err != nil {
		return d.report, fmt.Errorf("platform demo: %w", err)
	}
	return d.report, nil
}

func (d *deployment) start() error {
	store, err := standinstore.New(loopback)
	if err != nil {
		return err
	}
	d.store = store
	if err := d.configure(); err != nil {
		return err
	}
	for i := range d.agents {
		if err := d.startAgent(i, loopback, loopback); err != nil {
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

// configure stores a configuration with a queue of each urgency, and with two
// organisations. The accelerators of two of the three VMs are guaranteed to
// cairn, those of the third to stylus.
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
		Name: fmt.Sprintf("entry-%d", i), Zone: "a", Listen: loopback, Topic: topic, ConfigTopic: platform.TopicConfiguration,
		Log: platform.NewStore(d.store.Address()), DecodeOperator: platform.DecodeOperatorRecord,
		Timing:   stepplan.Timing{LeaseDuration: maxLease * 9 / 10, KeepStatus: time.Minute, MaxStopTime: stopTime, MaxReclaimTime: maxReclaimTime, FarFactor: 3},
		KeyGrace: 4 * time.Second, MaxConfigAge: 1900 * time.Millisecond, ShutdownDelay: 2 * time.Second,
	})
	if err != nil {
		return err
	}
	server, err := httpserver.New(loopback, maxConcurrentRequests, platform.ClientHandler(daemon))
	if err != nil {
		daemon.Kill()
		return err
	}
	d.entries[i] = &entry{daemon, server}
	return nil
}

// startAgent starts agent i and, if none is running, its worker. The worker sends
// heartbeats to heartbeatAddress and receives calls on workerAddress.
func (d *deployment) startAgent(i int, heartbeatAddress, workerAddress string) error {
	a := d.agents[i]
	if a == nil {
		a = &agent{}
		d.agents[i] = a
	}
	// The worker and the agent each need the other's address before they start,
	// so a temporary server finds a free port for the agent.
	if heartbeatAddress == loopback {
		server, err := httpserver.New(loopback, 1, http.NotFoundHandler())
		if err != nil {
			return err
		}
		heartbeatAddress = server.Address()
		server.Close(time.Second)
	}
	if a.worker == nil {
		worker, err := standinworker.New(workerAddress, standinworker.Config{
			ID: fmt.Sprintf("i-%d", i), Service: "paint", Zone: "a", Rack: fmt.Sprintf("r%d", i/2), Capacity: capacity, MaxLease: maxLease,
			StopDuration: stopTime, HeartbeatAddress: heartbeatAddress, HeartbeatInterval: 200 * time.Millisecond, TaskResources: d.resourcesOfTask,
		})
		if err != nil {
			return err
		}
		a.worker = worker
	}
	daemon, err := stepagent.New(stepagent.Config{
		Name: fmt.Sprintf("vm-%d", i), Zone: "a", Listen: loopback, Topic: topic,
		Log: platform.NewStore(d.store.Address()), Worker: platform.NewWorker(a.worker.Address()),
	})
	if err != nil {
		return err
	}
	server, err := httpserver.New(heartbeatAddress, 4, platform.HeartbeatHandler(daemon))
	if err != nil {
		daemon.Kill()
		return err
	}
	a.daemon, a.http = daemon, server
	return nil
}

func (d *deployment) resourcesOfTask(task string) steps.Resources {
	d.mu.Lock()
	defer d.mu.Unlock()
	id, _, _ := strings.Cut(task, ".")
	return d.taskResources[id]
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

// errNotReady says that no entry is ready and has a connection to every agent.
var errNotReady = errors.New("no entry is ready with every agent attached")

// await calls f until it returns no error. After jobTimeout it returns the last
// error of f.
func await(ctx context.Context, what string, f func() error) error {
	ctx, cancel := context.WithTimeout(ctx, jobTimeout)
	defer cancel()
	for {
		err := f()
		if err == nil {
			return nil
		}
		select {
		case <-time.After(pollInterval):
		case <-ctx.Done():
			return fmt.Errorf("waiting until %s: %w", what, err)
		}
	}
}

// checkRuns collects the violations that the workers recorded and checks that no
// two runs of a task overlap and that no run starts after the task has succeeded.
func (d *deployment) checkRuns() error {
	all := map[string][]standinworker.RunRecord{}
	var violations []string
	workers := slices.Clone(d.lostWorkers)
	for _, a := range d.agents {
		workers = append(workers, a.worker)
	}
	for _, w := range workers {
		violations = append(violations, w.Violations()...)
		for _, run := range w.History() {
			all[run.Task] = append(all[run.Task], run)
			d.report.Starts++
		}
	}
	for task, runs := range all {
		slices.SortFunc(runs, func(x, y standinworker.RunRecord) int { return x.StartedAt.Compare(y.StartedAt) })
		for i, run := range runs[1:] {
			if before := runs[i]; before.EndedAt.IsZero() || run.StartedAt.Before(before.EndedAt) || before.EndReason == "done" {
				violations = append(violations, fmt.Sprintf("%s: run %d overlaps run %d or follows its success", task, run.Run, before.Run))
			}
		}
	}
	d.report.Violations = len(violations)
	if len(violations) > 0 {
		return fmt.Errorf("rules violated: %s", strings.Join(violations, "; "))
	}
	return nil
}

// client sends requests to the entries. It opens a connection for each request,
// so that an entry that stops has no idle connections.
var client = http.Client{Timeout: 5 * time.Second, Transport: &http.Transport{DisableKeepAlives: true}}

// call sends a request to an entry on behalf of an organisation, and returns the
// status and the JSON object of the answer.
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
