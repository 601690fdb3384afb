// Package standinruntime stands in for the worker runtime of a VM in tests and
// demonstrations. It speaks the runtime protocol over HTTP; a task only waits
// for the time that its payload asks for. The runtime enforces leases itself:
// it stops a task whose lease ends, whatever its agent does.
//
// A Runtime owns its tasks, events and records. It has one mutex, which is
// never held during a call to another process. Timers end tasks; nothing polls.
package standinruntime

import (
	"errors"
	"fmt"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"celerypoint.example/celerypoint/httpserver"
	"celerypoint.example/celerypoint/wire"
)

// Config says what to stand in for.
type Config struct {
	// Listen is a TCP address such as 127.0.0.1:0.
	Listen string
	// VM is the name that failOnVMs of a payload is compared with.
	VM string
	// Accelerators bounds the tasks that run at once.
	Accelerators int
	// FailAll makes every task end with an error as soon as it starts.
	FailAll bool
	// CheckpointDuration is the time from a checkpoint's request to its event.
	CheckpointDuration time.Duration
	// UsageLag is the age of the progress that GET /tasks reports.
	UsageLag time.Duration
}

const (
	// handlers bounds requests in progress; each long poll takes one.
	handlers = 64
	// maxRecords bounds the records, so that a runaway test keeps its memory.
	maxRecords = 1_000_000
	// maxEvents and maxEnded bound what is kept for an agent that reads late.
	maxEvents = 100_000
	maxEnded  = 10_000
)

var (
	errNoTask = errors.New("no such task")
	errBusy   = errors.New("not enough accelerators are free")
	errUsed   = errors.New("a task of that id has ended")
)

// Runtime is a running stand-in.
type Runtime struct {
	config Config
	server *httpserver.Server

	mu sync.Mutex
	// tasks holds the running tasks and the newest ended ones.
	tasks map[string]*task
	// ended lists identifiers of ended tasks, oldest first.
	ended []string
	// events are consecutive; the last has sequence sequence.
	events   []wire.TaskEvent
	sequence int
	// changed is closed and replaced at each event.
	changed chan struct{}
	records []wire.RuntimeRecord
	closed  bool
}

// task is one task. Its progress is done plus the time since since, unless it
// is throttled or over.
type task struct {
	start      wire.TaskStart
	payload    []byte
	wants      wire.StandinPayload
	broken     error
	begun      time.Time
	done       time.Duration
	since      time.Time
	throttled  bool
	over       bool
	leaseUntil time.Time
	end, lease *time.Timer
	// answered says that the task ended with its answer.
	answered bool
}

// New starts the stand-in.
func New(c Config) (*Runtime, error) {
	r := &Runtime{config: c, tasks: map[string]*task{}, changed: make(chan struct{})}
	server, err := httpserver.New(c.Listen, handlers, r.routes())
	if err != nil {
		return nil, fmt.Errorf("standinruntime: %w", err)
	}
	r.server = server
	return r, nil
}

// Address is the address that the runtime listens on.
func (r *Runtime) Address() string { return r.server.Address() }

// Close stops every task without an event and stops listening. Closing it
// again does nothing.
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

// Records returns every start, pause, resumption and end so far.
func (r *Runtime) Records() []wire.RuntimeRecord {
	r.mu.Lock()
	defer r.mu.Unlock()
	return slices.Clone(r.records)
}

func (t *task) stopTimers() {
	if t.end != nil {
		t.end.Stop()
	}
	if t.lease != nil {
		t.lease.Stop()
	}
}

func (t *task) progress(now time.Time) time.Duration {
	if t.throttled || t.over {
		return t.done
	}
	return t.done + max(0, now.Sub(t.since))
}

// schedule sets the timer of the end for the progress that is left.
func (r *Runtime) schedule(t *task) {
	left := time.Duration(t.wants.RunMs)*time.Millisecond - t.done
	if r.config.FailAll || t.broken != nil {
		left = 0
	}
	t.end = time.AfterFunc(max(0, left), func() { r.finish(t) })
}

func (r *Runtime) begin(s wire.TaskStart, payload []byte) error {
	wants, broken := parse(payload)
	r.mu.Lock()
	defer r.mu.Unlock()
	now := time.Now()
	if old, ok := r.tasks[s.ID]; ok {
		if old.over {
			return errUsed
		}
		return nil
	}
	used := 0
	for _, t := range r.tasks {
		if !t.over && !t.throttled {
			used += t.start.Accelerators
		}
	}
	t := &task{
		start: s, payload: payload, wants: wants, broken: broken, begun: now, since: now,
		done: time.Duration(s.ResumeFromMs) * time.Millisecond, leaseUntil: time.UnixMilli(int64(s.LeaseUntilUnixMs)),
	}
	if used+s.Accelerators > r.config.Accelerators {
		r.record(t, wire.RuntimeRecordKindOverbooked, now)
		return errBusy
	}
	r.tasks[s.ID] = t
	r.event(t, wire.TaskEvent{Kind: wire.TaskEventKindStarted}, now)
	r.record(t, wire.RuntimeRecordKindStarted, now)
	r.schedule(t)
	t.lease = time.AfterFunc(t.leaseUntil.Sub(now), func() { r.lapse(t) })
	return nil
}

// finish runs when the task has had its time.
func (r *Runtime) finish(t *task) {
	answer := Answer(t.payload, t.start.Rank)
	r.mu.Lock()
	defer r.mu.Unlock()
	now := time.Now()
	if t.over || t.throttled || r.closed {
		return
	}
	reason := ""
	switch {
	case r.config.FailAll:
		reason = "worker is faulty"
	case t.broken != nil:
		reason = t.broken.Error()
	case len(t.wants.FailOnVMs) > 0:
		if slices.Contains(t.wants.FailOnVMs, r.config.VM) {
			reason = t.wants.Fail + " on " + r.config.VM
		}
	case t.wants.Fail != "":
		reason = t.wants.Fail
	}
	if reason != "" {
		r.over(t, wire.TaskEvent{Kind: wire.TaskEventKindFailed, Reason: reason}, wire.RuntimeRecordKindFailed, now)
		return
	}
	t.answered = true
	ended := wire.TaskEvent{Kind: wire.TaskEventKindEnded, Length: len(answer), Checksum: wire.Checksum(xxhash.Sum64(answer))}
	r.over(t, ended, wire.RuntimeRecordKindEnded, now)
}

// lapse runs when the lease may have ended; a renewal moves its end.
func (r *Runtime) lapse(t *task) {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := time.Now()
	if t.over || r.closed {
		return
	}
	if left := t.leaseUntil.Sub(now); left > 0 {
		t.lease.Reset(left)
		return
	}
	r.over(t, wire.TaskEvent{Kind: wire.TaskEventKindLeaseLapsed, Reason: "lease ended"}, wire.RuntimeRecordKindLeaseLapsed, now)
}

// over ends the task; r.mu is held.
func (r *Runtime) over(t *task, e wire.TaskEvent, kind wire.RuntimeRecordKind, now time.Time) {
	t.done = t.progress(now)
	t.over = true
	t.stopTimers()
	e.RanMs = int(now.Sub(t.begun).Milliseconds())
	r.event(t, e, now)
	r.record(t, kind, now)
	r.ended = append(r.ended, t.start.ID)
	if len(r.ended) > maxEnded {
		delete(r.tasks, r.ended[0])
		r.ended = r.ended[1:]
	}
}

// event appends an event and wakes those that wait; r.mu is held.
func (r *Runtime) event(t *task, e wire.TaskEvent, now time.Time) {
	r.sequence++
	e.Sequence, e.ID, e.Job, e.AtUnixUs = r.sequence, t.start.ID, t.start.Job, int(now.UnixMicro())
	r.events = append(r.events, e)
	if len(r.events) > maxEvents {
		r.events = slices.Clone(r.events[maxEvents/2:])
	}
	close(r.changed)
	r.changed = make(chan struct{})
}

func (r *Runtime) record(t *task, kind wire.RuntimeRecordKind, now time.Time) {
	if len(r.records) == maxRecords {
		return
	}
	r.records = append(r.records, wire.RuntimeRecord{
		AtUnixUs: int(now.UnixMicro()), Kind: kind, ID: t.start.ID, Job: t.start.Job,
		Rank: t.start.Rank, Accelerators: t.start.Accelerators,
	})
}

// change runs f on a task that has not ended.
func (r *Runtime) change(id string, f func(t *task, now time.Time)) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	t, ok := r.tasks[id]
	if !ok || t.over {
		return errNoTask
	}
	f(t, time.Now())
	return nil
}

func (r *Runtime) stop(t *task, now time.Time) {
	r.over(t, wire.TaskEvent{Kind: wire.TaskEventKindStopped, Reason: "stopped by its agent"}, wire.RuntimeRecordKindStopped, now)
}

func (r *Runtime) throttle(t *task, now time.Time) {
	if t.throttled {
		return
	}
	t.done, t.throttled = t.progress(now), true
	t.end.Stop()
	r.event(t, wire.TaskEvent{Kind: wire.TaskEventKindThrottled}, now)
	r.record(t, wire.RuntimeRecordKindThrottled, now)
}

func (r *Runtime) resume(t *task, now time.Time) {
	if !t.throttled {
		return
	}
	t.throttled, t.since = false, now
	r.schedule(t)
	r.event(t, wire.TaskEvent{Kind: wire.TaskEventKindResumed}, now)
	r.record(t, wire.RuntimeRecordKindResumed, now)
}

// checkpoint saves the progress that the task has when the checkpoint is done.
func (r *Runtime) checkpoint(t *task, _ time.Time) {
	if t.wants.IgnoreCheckpoint {
		return
	}
	time.AfterFunc(r.config.CheckpointDuration, func() {
		r.mu.Lock()
		defer r.mu.Unlock()
		now := time.Now()
		if !t.over && !r.closed {
			r.event(t, wire.TaskEvent{Kind: wire.TaskEventKindCheckpointed, CheckpointMs: int(t.progress(now).Milliseconds())}, now)
		}
	})
}

func (r *Runtime) list() wire.TaskList {
	r.mu.Lock()
	defer r.mu.Unlock()
	seen := time.Now().Add(-r.config.UsageLag)
	list := wire.TaskList{Tasks: []wire.TaskInfo{}}
	for id, t := range r.tasks {
		if t.over {
			continue
		}
		list.Tasks = append(list.Tasks, wire.TaskInfo{
			ID: id, Job: t.start.Job, Rank: t.start.Rank, Accelerators: t.start.Accelerators, Running: true,
			Throttled: t.throttled, LeaseUntilUnixMs: int(t.leaseUntil.UnixMilli()),
			ProgressMs: int(t.progress(seen).Milliseconds()), UsageAtUnixMs: int(seen.UnixMilli()),
		})
	}
	return list
}

// eventsSince returns the events from a sequence number on, and the channel
// that is closed at the next one. A number beyond the next event, such as one
// from before the runtime restarted, means the next event.
func (r *Runtime) eventsSince(from int) (wire.TaskEvents, <-chan struct{}) {
	r.mu.Lock()
	defer r.mu.Unlock()
	first := r.sequence - len(r.events) + 1
	from = min(max(from, first), r.sequence+1)
	return wire.TaskEvents{Events: slices.Clone(r.events[from-first:]), Next: r.sequence + 1}, r.changed
}
