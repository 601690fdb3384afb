package agentd

import (
	"context"
	"fmt"
	"io"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/sirupsen/logrus"

	"celerypoint.example/celerypoint/agent"
	"celerypoint.example/celerypoint/entry"
	"celerypoint.example/celerypoint/ledger"
	"celerypoint.example/celerypoint/rpc"
	"celerypoint.example/celerypoint/standinruntime"
	"celerypoint.example/celerypoint/vm"
	"celerypoint.example/celerypoint/wire"
)

const testTimeout = 15 * time.Second

// fakeEntry is an entry that records announcements and reports of ended tasks. A
// test sends requests to the agent over conn, on which the newest announcement
// came.
type fakeEntry struct {
	engine           *rpc.Engine
	mu               sync.Mutex
	cond             *sync.Cond
	conn             *rpc.Conn
	lastAnnouncement wire.AnnounceParams
	ends             map[string]wire.TaskEndedParams
	// refuseReports makes the entry refuse reports, like one that does not know the
	// job.
	refuseReports bool
	// ignoreReports makes the entry record reports without replying.
	ignoreReports bool
	// announcements counts the announcements received.
	announcements int
	// config and otherEntries are sent in the answers to announcements.
	config       wire.VMConfig
	otherEntries []wire.EntryInfo
}

func newFakeEntry(t *testing.T) *fakeEntry {
	t.Helper()
	e := &fakeEntry{ends: map[string]wire.TaskEndedParams{}}
	e.cond = sync.NewCond(&e.mu)
	engine, err := rpc.New(e.handle, rpc.WithListen("127.0.0.1:0"))
	qt.Assert(t, err, qt.IsNil)
	e.engine = engine
	t.Cleanup(engine.Close)
	return e
}

func (e *fakeEntry) handle(r *rpc.Request) {
	e.mu.Lock()
	defer e.mu.Unlock()
	switch r.Method {
	case entry.MethodAnnounce:
		var p wire.AnnounceParams
		if err := r.Decode(&p); err != nil {
			r.Fail(err)
			return
		}
		e.conn, e.lastAnnouncement = r.Conn, p
		e.announcements++
		r.Reply(wire.AnnounceResult{Config: e.config, Entries: e.otherEntries})
	case entry.MethodTaskEnded:
		var p wire.TaskEndedParams
		if err := r.Decode(&p); err != nil || e.refuseReports {
			r.Fail(fmt.Errorf("unknown job %s: %v", p.Job, err))
			return
		}
		e.ends[taskID(p.Attempt, p.Rank)] = p
		if !e.ignoreReports {
			r.Reply(struct{}{})
		}
	}
	e.cond.Broadcast()
}

// waitFor waits until condition holds. It is checked after each announcement and
// each recorded report, under mu.
func (e *fakeEntry) waitFor(t *testing.T, what string, condition func() bool) {
	t.Helper()
	timer := time.AfterFunc(testTimeout, func() {
		e.mu.Lock()
		defer e.mu.Unlock()
		e.cond.Broadcast()
	})
	defer timer.Stop()
	deadline := time.Now().Add(testTimeout)
	e.mu.Lock()
	defer e.mu.Unlock()
	for !condition() {
		if time.Now().After(deadline) {
			t.Fatalf("no %s in time", what)
		}
		e.cond.Wait()
	}
}

func (e *fakeEntry) waitForEnd(t *testing.T, id string) wire.TaskEndedParams {
	t.Helper()
	var end wire.TaskEndedParams
	e.waitFor(t, "end of "+id, func() (ok bool) { end, ok = e.ends[id]; return ok })
	return end
}

// harness is an agent with a stand-in worker runtime and a fake entry. The embedded
// agent.Client sends requests to the agent over the fake entry's connection.
type harness struct {
	*testing.T
	agent.Client
	ctx     context.Context
	runtime *standinruntime.Runtime
	entry   *fakeEntry
	daemon  *Daemon
	bootID  string
	// runtimeURL is where the agent finds the runtime.
	runtimeURL string
}

func discardLogger() logrus.FieldLogger {
	l := logrus.New()
	l.SetOutput(io.Discard)
	return l
}

func newHarness(t *testing.T, options ...func(*harness)) *harness {
	t.Helper()
	t.Parallel()
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	t.Cleanup(cancel)
	runtime, err := standinruntime.New(standinruntime.Config{Listen: "127.0.0.1:0", VM: "vm1", Accelerators: 8, CheckpointDuration: 20 * time.Millisecond})
	qt.Assert(t, err, qt.IsNil)
	t.Cleanup(runtime.Close)
	h := &harness{T: t, ctx: ctx, runtime: runtime, entry: newFakeEntry(t), runtimeURL: "http://" + runtime.Address()}
	for _, o := range options {
		o(h)
	}
	h.startAgent()
	return h
}

// startAgent starts an agent and waits for its first announcement. It can be
// called again after the previous agent was killed.
func (h *harness) startAgent() {
	h.Helper()
	timing := ledger.DefaultTiming
	timing.Reclaim, timing.Checkpoint, timing.CompletionGrace = time.Second, 600*time.Millisecond, 300*time.Millisecond
	d, err := New(Config{
		VM:         vm.VM{ID: "vm1", Zone: "z1", Rack: "r1", Region: "g1", Accelerators: 8, Slots: 8},
		AnnounceTo: []string{h.entry.engine.Address()}, RuntimeURL: h.runtimeURL, Ledger: timing, Seed: 1, AnnounceInterval: 200 * time.Millisecond,
	}, WithLogger(discardLogger()))
	qt.Assert(h, err, qt.IsNil)
	h.daemon = d
	h.Cleanup(d.Kill)
	boot := h.bootID
	h.entry.waitFor(h.T, "announcement", func() bool {
		h.bootID, h.Conn = h.entry.lastAnnouncement.BootID, h.entry.conn
		return h.Conn != nil && h.bootID != boot
	})
}

func (h *harness) job(id, payload string, preemptible bool) wire.Job {
	return wire.Job{
		ID: id, Org: "norte", Tasks: 1, AcceleratorsPerTask: 4, Urgency: "normal", Idempotent: true,
		Preemptible: preemptible, Payload: wire.Text([]byte(payload)),
	}
}

// reserve reserves tasks of the job for the attempt "<job>-a".
func (h *harness) reserve(j wire.Job, tasks int, reclaim bool) wire.GrantResult {
	h.Helper()
	result, err := h.Reserve(h.ctx, wire.ReserveParams{
		Job: j.ID, Org: j.Org, Attempt: j.ID + "-a", Term: 1, Tasks: tasks, AcceleratorsPerTask: j.AcceleratorsPerTask,
		Preemptible: j.Preemptible, Urgency: j.Urgency, HoldMs: 3000, Reclaim: reclaim, Config: h.entry.config,
	})
	qt.Assert(h, err, qt.IsNil)
	return result
}

func (h *harness) startReserved(j wire.Job, leaseMs int) wire.GrantResult {
	h.Helper()
	result, err := h.Start(h.ctx, wire.StartParams{Job: j, Attempt: j.ID + "-a", Term: 1, CommitOffset: 1, LeaseMs: leaseMs, Config: h.entry.config})
	qt.Assert(h, err, qt.IsNil)
	return result
}

// startAttempt reserves and starts the attempt "<job>-a".
func (h *harness) startAttempt(j wire.Job, tasks, leaseMs int) {
	h.Helper()
	qt.Assert(h, h.reserve(j, tasks, false).Status, qt.Equals, wire.GrantStatusGranted)
	qt.Assert(h, h.startReserved(j, leaseMs).Status, qt.Equals, wire.GrantStatusGranted)
}

// TestAttemptEndToEnd takes an attempt from the reservation through confirmations
// and renewals to its answers. It guards against steps that do not fit together.
func TestAttemptEndToEnd(t *testing.T) {
	h := newHarness(t)
	payload := `{"runMs":700,"answerBytes":300000,"seed":7}`
	j := h.job("j1", payload, false)
	h.startAttempt(j, 2, 500)
	for range 2 {
		time.Sleep(200 * time.Millisecond)
		confirmed, err := h.Confirm(h.ctx, wire.ConfirmParams{Attempt: "j1-a"})
		qt.Assert(t, err, qt.IsNil)
		qt.Assert(t, confirmed.Running, qt.IsTrue)
		renewed, err := h.Renew(h.ctx, wire.RenewParams{Attempt: "j1-a", Round: confirmed.Round, LeaseMs: 500})
		qt.Assert(t, err, qt.IsNil)
		qt.Assert(t, renewed.Renewed, qt.IsTrue)
	}
	for rank := range 2 {
		want := standinruntime.Answer([]byte(payload), rank)
		end := h.entry.waitForEnd(t, taskID("j1-a", rank))
		qt.Assert(t, end.Result, qt.Equals, wire.TaskResultAnswered)
		var got []byte
		for len(got) < end.Length {
			part, err := h.Answer(h.ctx, wire.AnswerParams{Attempt: "j1-a", Rank: rank, Offset: len(got), Max: 256 << 10})
			qt.Assert(t, err, qt.IsNil)
			data, err := wire.Bytes("data", part.Data)
			qt.Assert(t, err, qt.IsNil)
			got = append(got, data...)
		}
		qt.Assert(t, string(got) == string(want), qt.IsTrue)
	}
	released, err := h.Release(h.ctx, wire.ReleaseParams{Job: "j1", Attempt: "j1-a", Term: 1})
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, released.Started, qt.IsTrue)
	qt.Assert(t, h.startReserved(j, 500).Status, qt.Equals, wire.GrantStatusGranted)
	qt.Assert(t, h.daemon.Holdings(), qt.HasLen, 0)
}

// TestLeaseExpires guards against an attempt that keeps running although no entry
// renews its lease.
func TestLeaseExpires(t *testing.T) {
	h := newHarness(t)
	h.startAttempt(h.job("j1", `{"runMs":60000}`, false), 2, 150)
	qt.Assert(t, h.entry.waitForEnd(t, "j1-a/0").Result, qt.Equals, wire.TaskResultLapsed)
	confirmed, err := h.Confirm(h.ctx, wire.ConfirmParams{Attempt: "j1-a"})
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, confirmed.Running, qt.IsFalse)
}

func (h *harness) runShort(id, payload string, accelerators int) wire.RunResult {
	h.Helper()
	j := wire.Job{ID: id, Org: "sur", Tasks: 1, AcceleratorsPerTask: accelerators, Urgency: "urgent", Idempotent: true, Payload: wire.Text([]byte(payload))}
	result, err := h.Client.Run(h.ctx, wire.RunParams{Job: j, Attempt: id + "-a", QueueMs: 300, Config: h.entry.config})
	qt.Assert(h, err, qt.IsNil)
	return result
}

// TestLoanToShortTask guards against an urgent short task that waits
// behind long preemptible tasks, and against preemptible tasks that stay paused
// after they have lent their accelerators.
func TestLoanToShortTask(t *testing.T) {
	h := newHarness(t)
	h.startAttempt(h.job("long", `{"runMs":400,"echo":"done"}`, true), 2, 5000)
	result := h.runShort("quick", `{"runMs":20,"echo":"short"}`, 1)
	qt.Assert(t, result.Status, qt.Equals, wire.RunStatusAnswered, qt.Commentf("%+v", result))
	qt.Assert(t, result.Body, qt.Equals, wire.Text([]byte("short")))
	for _, id := range []string{"long-a/0", "long-a/1"} {
		qt.Assert(t, h.entry.waitForEnd(t, id).Result, qt.Equals, wire.TaskResultAnswered)
	}
	kinds := map[wire.RuntimeRecordKind]int{}
	for _, r := range h.runtime.Records() {
		kinds[r.Kind]++
	}
	qt.Assert(t, kinds, qt.DeepEquals, map[wire.RuntimeRecordKind]int{
		wire.RuntimeRecordKindStarted: 3, wire.RuntimeRecordKindThrottled: 2, wire.RuntimeRecordKindResumed: 2, wire.RuntimeRecordKindEnded: 3,
	})
}

// TestReclaimHardStop guards against an evicted attempt that ignores the request
// for a checkpoint and thereby delays the organisation that reclaims its share,
// and against an eviction that is not reported.
func TestReclaimHardStop(t *testing.T) {
	h := newHarness(t)
	h.entry.config = wire.VMConfig{Offset: 1, Shares: map[string]int{"sur": 8}}
	h.startAttempt(h.job("ignoring", `{"runMs":60000,"ignoreCheckpoint":true}`, true), 1, 10000)
	h.startAttempt(h.job("saving", `{"runMs":60000}`, true), 1, 10000)
	j := h.job("owner", `{"runMs":10}`, false)
	j.Org = "sur"
	start := time.Now()
	qt.Assert(t, h.reserve(j, 2, true).Status, qt.Equals, wire.GrantStatusGranted)
	elapsed := time.Since(start)
	qt.Assert(t, elapsed > h.daemon.cfg.Ledger.Checkpoint && elapsed < h.daemon.cfg.Ledger.Reclaim, qt.IsTrue, qt.Commentf("took %v", elapsed))
	qt.Assert(t, h.entry.waitForEnd(t, "ignoring-a/0").CheckpointMs, qt.Equals, 0)
	saving := h.entry.waitForEnd(t, "saving-a/0")
	qt.Assert(t, saving.Result, qt.Equals, wire.TaskResultEvicted)
	qt.Assert(t, saving.CheckpointMs > 0, qt.IsTrue)
	qt.Assert(t, h.startReserved(j, 1000).Status, qt.Equals, wire.GrantStatusGranted)
	qt.Assert(t, h.entry.waitForEnd(t, "owner-a/1").Result, qt.Equals, wire.TaskResultAnswered)
}

// TestReleaseStopsTasks guards against a release that is answered before the
// tasks have stopped, and against an attempt that starts after its release.
func TestReleaseStopsTasks(t *testing.T) {
	h := newHarness(t)
	j := h.job("j1", `{"runMs":60000}`, true)
	h.startAttempt(j, 2, 10000)
	released, err := h.Release(h.ctx, wire.ReleaseParams{Job: "j1", Attempt: "j1-a", Term: 1, Checkpoint: true})
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, released.Started && released.CheckpointMs > 0, qt.IsTrue)
	stopped := 0
	for _, r := range h.runtime.Records() {
		if r.Kind == wire.RuntimeRecordKindStopped {
			stopped++
		}
	}
	qt.Assert(t, stopped, qt.Equals, 2)
	never := h.job("j2", `{}`, false)
	released, err = h.Release(h.ctx, wire.ReleaseParams{Job: "j2", Attempt: "j2-a", Term: 1})
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, released.Started, qt.IsFalse)
	qt.Assert(t, h.reserve(never, 1, false).Rule, qt.Equals, "attemptReleased")
	qt.Assert(t, h.startReserved(never, 1000).Rule, qt.Equals, "attemptReleased")
}

// TestDrainAndStop guards against new work on a VM that is draining or whose agent
// is stopping, and against a graceful stop that aborts running tasks or loses an
// answer.
func TestDrainAndStop(t *testing.T) {
	h := newHarness(t)
	fixed, long := h.job("fixed", `{"runMs":300,"echo":"done"}`, false), h.job("long", `{"runMs":60000}`, true)
	h.startAttempt(fixed, 1, 10000)
	h.startAttempt(long, 1, 60000)
	drained, err := h.Drain(h.ctx, wire.DrainParams{Draining: true, ConfigOffset: 0})
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, drained, qt.Equals, wire.DrainResult{Draining: true, Holdings: 2})
	qt.Assert(t, h.runShort("s1", `{}`, 0).Rule, qt.Equals, "vmDraining")
	_, err = h.Drain(h.ctx, wire.DrainParams{ConfigOffset: 0})
	qt.Assert(t, err, qt.IsNil)
	ctx, cancel := context.WithTimeout(h.ctx, h.daemon.cfg.Ledger.Checkpoint+evictMargin+100*time.Millisecond)
	defer cancel()
	var wg sync.WaitGroup
	for i := range 3 {
		wg.Go(func() {
			result := h.runShort(fmt.Sprint("s2-", i), `{"runMs":250,"echo":"short"}`, 0)
			qt.Check(t, result.Body, qt.Equals, wire.Text([]byte("short")))
		})
	}
	for len(h.daemon.Holdings()) < 5 {
		qt.Assert(t, h.ctx.Err(), qt.IsNil)
		time.Sleep(2 * time.Millisecond)
	}
	stopped := make(chan error, 1)
	go func() { stopped <- h.daemon.Stop(ctx) }()
	h.entry.waitFor(t, "leaving announcement", func() bool { return h.entry.lastAnnouncement.Leaving })
	qt.Assert(t, h.reserve(h.job("j3", `{}`, false), 1, false).Rule, qt.Equals, "vmDraining")
	qt.Assert(t, h.entry.waitForEnd(t, "fixed-a/0").Result, qt.Equals, wire.TaskResultAnswered)
	part, err := h.Answer(h.ctx, wire.AnswerParams{Attempt: "fixed-a", Max: 100})
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, part.Data, qt.Equals, wire.Text([]byte("done")))
	wg.Wait()
	qt.Assert(t, <-stopped, qt.IsNil)
	evicted := h.entry.waitForEnd(t, "long-a/0")
	qt.Assert(t, evicted.Result, qt.Equals, wire.TaskResultEvicted)
	qt.Assert(t, evicted.CheckpointMs > 0, qt.IsTrue)
}

// TestRestart guards against tasks and reservations of an earlier agent process
// that survive a restart of the agent.
func TestRestart(t *testing.T) {
	h := newHarness(t)
	j := h.job("j1", `{"runMs":60000}`, false)
	h.startAttempt(j, 2, 60000)
	h.daemon.Kill()
	h.startAgent()
	records := h.runtime.Records()
	qt.Assert(t, records[len(records)-1].Kind, qt.Equals, wire.RuntimeRecordKindStopped)
	qt.Assert(t, h.daemon.Holdings(), qt.HasLen, 0)
	qt.Assert(t, h.startReserved(j, 1000).Rule, qt.Equals, "reservationExpired")
}

// TestReportsReachTheRightEntry guards against a report that is lost because the
// entry that the agent connected to first does not know the job and refuses it, and
// against an agent that does not connect to the entries that another entry lists.
func TestReportsReachTheRightEntry(t *testing.T) {
	h := newHarness(t)
	second := newFakeEntry(t)
	h.entry.mu.Lock()
	h.entry.refuseReports = true
	h.entry.otherEntries = []wire.EntryInfo{{ID: "e2", Address: second.engine.Address(), Zone: "z1", Region: "g1"}}
	h.entry.mu.Unlock()
	h.startAttempt(h.job("j1", `{"fail":"no such input"}`, false), 1, 5000)
	end := second.waitForEnd(t, "j1-a/0")
	qt.Assert(t, []any{end.Result, end.Reason}, qt.DeepEquals, []any{wire.TaskResultFailed, "no such input"})
	second.waitFor(t, "announcement of known entries", func() bool { return len(second.lastAnnouncement.Entries) == 1 })
	h.entry.waitFor(t, "refused report", func() bool { return len(h.entry.ends) == 0 })
}

// TestRuntimeRestart guards against accelerators that stay occupied, and task ends
// that are never reported, when the runtime restarts and has lost its tasks. It
// also checks that the agent serves short tasks with long answers afterwards.
func TestRuntimeRestart(t *testing.T) {
	h := newHarness(t)
	h.startAttempt(h.job("j1", `{"runMs":60000}`, false), 2, 200)
	h.runtime.Close()
	runtime, err := standinruntime.New(standinruntime.Config{Listen: h.runtime.Address(), VM: "vm1", Accelerators: 8})
	qt.Assert(t, err, qt.IsNil)
	t.Cleanup(runtime.Close)
	// The tasks end in either order, and the holding is removed with the last.
	for rank := range 2 {
		qt.Assert(t, h.entry.waitForEnd(t, taskID("j1-a", rank)).Result, qt.Equals, wire.TaskResultLapsed)
	}
	qt.Assert(t, h.daemon.Holdings(), qt.HasLen, 0)
	long := h.runShort("long", `{"answerBytes":100000}`, 1)
	qt.Assert(t, []any{long.Status, long.Body, long.Length}, qt.DeepEquals, []any{wire.RunStatusAnswered, "", 100000})
	part, err := h.Answer(h.ctx, wire.AnswerParams{Attempt: "long-a", Max: 1 << 20})
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, []any{part.Checksum, len(part.Data)}, qt.DeepEquals, []any{long.Checksum, 133336})
}

// TestSlowReportDoesNotDelayAnnouncements guards against a VM that counts as lost
// because an entry takes long to record the end of a task. That would happen if
// the agent waited for the reply to a report before its next announcement.
func TestSlowReportDoesNotDelayAnnouncements(t *testing.T) {
	h := newHarness(t)
	h.entry.mu.Lock()
	h.entry.ignoreReports = true
	h.entry.mu.Unlock()
	h.startAttempt(h.job("j1", `{}`, false), 1, 5000)
	h.entry.waitForEnd(t, "j1-a/0")
	start, seen := time.Now(), 0
	h.entry.waitFor(t, "first announcement", func() bool { seen = h.entry.announcements; return true })
	h.entry.waitFor(t, "further announcements", func() bool { return h.entry.announcements >= seen+4 })
	qt.Assert(t, time.Since(start) < callTimeout, qt.IsTrue)
}
