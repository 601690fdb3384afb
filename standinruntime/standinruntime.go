// Package standinruntime is a stand-in for the worker runtime of a VM, for tests
// and demonstrations. It serves the runtime protocol over HTTP. Its tasks do no
// work: each waits for the time that its payload specifies. The runtime enforces
// leases itself: it stops a task whose lease expires, whatever its agent does.
//
// A Runtime owns its tasks, events and records, which one mutex guards. It calls
// no other process. Timers end the tasks, without polling.
package standinruntime

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"slices"
	"strconv"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"celerypoint.example/celerypoint/httpserver"
	"celerypoint.example/celerypoint/wire"
)

// Config configures a Runtime.
type Config struct {
	// Listen is the TCP address to listen on, such as 127.0.0.1:0.
	Listen string
	// VM is the name of the VM. Tasks whose payload lists it in failOnVMs fail.
	VM string
	// Accelerators is the number of accelerators of the VM. A task that needs
	// more than are free is refused. Those of throttled tasks count as free.
	Accelerators int
	// FailAll makes every task fail as soon as it starts.
	FailAll bool
	// CheckpointDuration is the time from the request for a checkpoint to the
	// event that reports it.
	CheckpointDuration time.Duration
	// UsageLag is the age of the progress that GET /tasks reports, except for
	// throttled tasks, whose progress does not change.
	UsageLag time.Duration
}

const (
	// maxConcurrentRequests bounds the requests in progress. Each long poll holds
	// one.
	maxConcurrentRequests = 64
	// maxRecords bounds the records, so that a runaway test does not exhaust the
	// memory.
	maxRecords = 1_000_000
	// maxEvents and maxEnded bound the events and the ended tasks that are kept
	// for an agent that reads them late. When there are more than maxEvents, the
	// older half is dropped.
	maxEvents = 100_000
	maxEnded  = 10_000
)

var (
	errNoTask         = errors.New("no such task")
	errNoAccelerators = errors.New("not enough accelerators are free")
	errIDUsed         = errors.New("a task of that id has ended")
)

// Runtime is a running stand-in.
type Runtime struct {
	config Config
	// boot identifies this process among those that listened at the address.
	boot   string
	server *httpserver.Server

	mu sync.Mutex
	// tasks holds by ID the tasks that have not ended and the newest ended ones.
	tasks map[string]*task
	// endedIDs lists the IDs of ended tasks, oldest first. A task that drops out
	// of the newest maxEnded is removed from tasks.
	endedIDs []string
	// events are the newest events. Their sequence numbers are consecutive and
	// end with sequence.
	events   []wire.TaskEvent
	sequence int
	// changed is closed and replaced at each event and by Close.
	changed chan struct{}
	records []wire.RuntimeRecord
	closed  bool
}

// task is a running, throttled or ended task. While it runs, its progress is
// savedProgress plus the time since runningSince, otherwise just savedProgress.
type task struct {
	start                wire.TaskStart
	payload              []byte
	behaviour            wire.StandinPayload
	payloadErr           error
	startedAt            time.Time
	savedProgress        time.Duration
	runningSince         time.Time
	throttled            bool
	ended                bool
	leaseExpiresAt       time.Time
	endTimer, leaseTimer *time.Timer
	// hasAnswer says that the task ended successfully, so its answer can be read.
	hasAnswer bool
}

// New listens on c.Listen and serves the runtime protocol to the agent of the VM.
func New(c Config) (*Runtime, error) {
	r := &Runtime{config: c, boot: strconv.FormatUint(rand.Uint64(), 36), tasks: map[string]*task{}, changed: make(chan struct{})}
	server, err := httpserver.New(c.Listen, maxConcurrentRequests, r.routes())
	if err != nil {
		return nil, fmt.Errorf("standinruntime: %w", err)
	}
	r.server = server
	return r, nil
}

// Address is the address that the runtime listens on.
func (r *Runtime) Address() string { return r.server.Address() }

// Close stops every task without an event and stops listening. Further calls do
// nothing.
func (r *Runtime) Close() {
	r.mu.Lock()
	if r.closed {
		r.mu.Unlock()
		return
	}
	r.closed = true
	for _, t := range r.tasks {
		t.stopTimers()
	}
	close(r.changed)
	r.changed = make(chan struct{})
	r.mu.Unlock()
	r.server.Close(time.Second)
}

// Records returns the starts, starts refused for lack of accelerators,
// throttlings, resumptions after throttling, and ends so far, at most the first
// maxRecords.
func (r *Runtime) Records() []wire.RuntimeRecord {
	r.mu.Lock()
	defer r.mu.Unlock()
	return slices.Clone(r.records)
}

func (t *task) stopTimers() {
	if t.endTimer != nil {
		t.endTimer.Stop()
	}
	if t.leaseTimer != nil {
		t.leaseTimer.Stop()
	}
}

func (t *task) progress(now time.Time) time.Duration {
	if t.throttled || t.ended {
		return t.savedProgress
	}
	return t.savedProgress + max(0, now.Sub(t.runningSince))
}

// scheduleEnd starts the timer that ends the task after its remaining run time,
// or at once if FailAll is set or the payload is invalid.
func (r *Runtime) scheduleEnd(t *task) {
	left := time.Duration(t.behaviour.RunMs)*time.Millisecond - t.savedProgress
	if r.config.FailAll || t.payloadErr != nil {
		left = 0
	}
	t.endTimer = time.AfterFunc(max(0, left), func() { r.finishTask(t) })
}

// startTask starts a task. It does nothing if a task with the ID has started and
// not ended, so that an agent can repeat the request.
func (r *Runtime) startTask(s wire.TaskStart, payload []byte) error {
	behaviour, payloadErr := parsePayload(payload)
	r.mu.Lock()
	defer r.mu.Unlock()
	now := time.Now()
	if old, ok := r.tasks[s.ID]; ok {
		if old.ended {
			return errIDUsed
		}
		return nil
	}
	used := 0
	for _, t := range r.tasks {
		if !t.ended && !t.throttled {
			used += t.start.Accelerators
		}
	}
	t := &task{
		start: s, payload: payload, behaviour: behaviour, payloadErr: payloadErr, startedAt: now, runningSince: now,
		savedProgress: time.Duration(s.ResumeFromMs) * time.Millisecond, leaseExpiresAt: time.UnixMilli(int64(s.LeaseUntilUnixMs)),
	}
	if used+s.Accelerators > r.config.Accelerators {
		r.appendRecord(t, wire.RuntimeRecordKindOverbooked, now)
		return errNoAccelerators
	}
	r.tasks[s.ID] = t
	r.appendEvent(t, wire.TaskEvent{Kind: wire.TaskEventKindStarted}, now)
	r.appendRecord(t, wire.RuntimeRecordKindStarted, now)
	r.scheduleEnd(t)
	t.leaseTimer = time.AfterFunc(t.leaseExpiresAt.Sub(now), func() { r.expireLease(t) })
	return nil
}

// finishTask runs when a task's endTimer fires. It ends the task with its answer,
// or with the failure that the configuration or the payload demands.
func (r *Runtime) finishTask(t *task) {
	answer := Answer(t.payload, t.start.Rank)
	r.mu.Lock()
	defer r.mu.Unlock()
	now := time.Now()
	if t.ended || t.throttled || r.closed {
		return
	}
	reason := ""
	switch {
	case r.config.FailAll:
		reason = "worker is faulty"
	case t.payloadErr != nil:
		reason = t.payloadErr.Error()
	case len(t.behaviour.FailOnVMs) > 0:
		if slices.Contains(t.behaviour.FailOnVMs, r.config.VM) {
			reason = t.behaviour.Fail + " on " + r.config.VM
		}
	case t.behaviour.Fail != "":
		reason = t.behaviour.Fail
	}
	if reason != "" {
		r.endTask(t, wire.TaskEvent{Kind: wire.TaskEventKindFailed, Reason: reason}, wire.RuntimeRecordKindFailed, now)
		return
	}
	t.hasAnswer = true
	ended := wire.TaskEvent{Kind: wire.TaskEventKindEnded, Length: len(answer), Checksum: wire.Checksum(xxhash.Sum64(answer))}
	r.endTask(t, ended, wire.RuntimeRecordKindEnded, now)
}

// expireLease runs when the lease timer fires. It ends the task, or restarts the
// timer if the lease has been renewed since.
func (r *Runtime) expireLease(t *task) {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := time.Now()
	if t.ended || r.closed {
		return
	}
	if left := t.leaseExpiresAt.Sub(now); left > 0 {
		t.leaseTimer.Reset(left)
		return
	}
	r.endTask(t, wire.TaskEvent{Kind: wire.TaskEventKindLeaseLapsed, Reason: "lease ended"}, wire.RuntimeRecordKindLeaseLapsed, now)
}

// endTask ends the task and reports it with the event and the kind of record.
// The caller holds r.mu.
func (r *Runtime) endTask(t *task, e wire.TaskEvent, kind wire.RuntimeRecordKind, now time.Time) {
	t.savedProgress = t.progress(now)
	t.ended = true
	t.stopTimers()
	e.RanMs = int(now.Sub(t.startedAt).Milliseconds())
	r.appendEvent(t, e, now)
	r.appendRecord(t, kind, now)
	r.endedIDs = append(r.endedIDs, t.start.ID)
	if len(r.endedIDs) > maxEnded {
		delete(r.tasks, r.endedIDs[0])
		r.endedIDs = r.endedIDs[1:]
	}
}

// appendEvent completes and appends an event and wakes the long polls. The
// caller holds r.mu.
func (r *Runtime) appendEvent(t *task, e wire.TaskEvent, now time.Time) {
	r.sequence++
	e.Sequence, e.ID, e.Job, e.AtUnixUs = r.sequence, t.start.ID, t.start.Job, int(now.UnixMicro())
	r.events = append(r.events, e)
	if len(r.events) > maxEvents {
		r.events = slices.Clone(r.events[maxEvents/2:])
	}
	close(r.changed)
	r.changed = make(chan struct{})
}

func (r *Runtime) appendRecord(t *task, kind wire.RuntimeRecordKind, now time.Time) {
	if len(r.records) == maxRecords {
		return
	}
	r.records = append(r.records, wire.RuntimeRecord{
		AtUnixUs: int(now.UnixMicro()), Kind: kind, ID: t.start.ID, Job: t.start.Job,
		Rank: t.start.Rank, Accelerators: t.start.Accelerators,
	})
}

// updateTask runs f, under r.mu, on a task that has not ended.
func (r *Runtime) updateTask(id string, f func(t *task, now time.Time)) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	t, ok := r.tasks[id]
	if !ok || t.ended {
		return errNoTask
	}
	f(t, time.Now())
	return nil
}

func (r *Runtime) stopTask(t *task, now time.Time) {
	r.endTask(t, wire.TaskEvent{Kind: wire.TaskEventKindStopped, Reason: "stopped by its agent"}, wire.RuntimeRecordKindStopped, now)
}

func (r *Runtime) throttleTask(t *task, now time.Time) {
	if t.throttled {
		return
	}
	t.savedProgress, t.throttled = t.progress(now), true
	t.endTimer.Stop()
	r.appendEvent(t, wire.TaskEvent{Kind: wire.TaskEventKindThrottled}, now)
	r.appendRecord(t, wire.RuntimeRecordKindThrottled, now)
}

func (r *Runtime) resumeTask(t *task, now time.Time) {
	if !t.throttled {
		return
	}
	t.throttled, t.runningSince = false, now
	r.scheduleEnd(t)
	r.appendEvent(t, wire.TaskEvent{Kind: wire.TaskEventKindResumed}, now)
	r.appendRecord(t, wire.RuntimeRecordKindResumed, now)
}

// checkpointTask reports a checkpoint after CheckpointDuration, with the progress
// at that time. The task continues to run. checkpointTask does nothing if the
// payload says to ignore checkpoints.
func (r *Runtime) checkpointTask(t *task, _ time.Time) {
	if t.behaviour.IgnoreCheckpoint {
		return
	}
	time.AfterFunc(r.config.CheckpointDuration, func() {
		r.mu.Lock()
		defer r.mu.Unlock()
		now := time.Now()
		if !t.ended && !r.closed {
			r.appendEvent(t, wire.TaskEvent{Kind: wire.TaskEventKindCheckpointed, CheckpointMs: int(t.progress(now).Milliseconds())}, now)
		}
	})
}

func (r *Runtime) listTasks() wire.TaskList {
	r.mu.Lock()
	defer r.mu.Unlock()
	usageAt := time.Now().Add(-r.config.UsageLag)
	list := wire.TaskList{Tasks: []wire.TaskInfo{}}
	for id, t := range r.tasks {
		if t.ended {
			continue
		}
		list.Tasks = append(list.Tasks, wire.TaskInfo{
			ID: id, Job: t.start.Job, Rank: t.start.Rank, Accelerators: t.start.Accelerators, Running: true,
			Throttled: t.throttled, LeaseUntilUnixMs: int(t.leaseExpiresAt.UnixMilli()),
			ProgressMs: int(t.progress(usageAt).Milliseconds()), UsageAtUnixMs: int(usageAt.UnixMilli()),
		})
	}
	return list
}

// eventsSince returns the events from a sequence number on, and a channel that
// is closed at the next event and by Close. A number beyond the next event, such
// as one from before a restart of the runtime, is taken as the number of the next
// event. Events that were dropped are skipped.
func (r *Runtime) eventsSince(from int) (wire.TaskEvents, <-chan struct{}) {
	r.mu.Lock()
	defer r.mu.Unlock()
	first := r.sequence - len(r.events) + 1
	from = min(max(from, first), r.sequence+1)
	return wire.TaskEvents{Boot: r.boot, Events: slices.Clone(r.events[from-first:]), Next: r.sequence + 1}, r.changed
}
