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

// fakeEntry takes announcements and reports, and gives orders.
type fakeEntry struct {
	engine *rpc.Engine
	mu     sync.Mutex
	cond   *sync.Cond
	conn   *rpc.Conn
	last   wire.AnnounceParams
	ends   map[string]wire.TaskEndedParams
	// foreign refuses reports, as an entry that does not know the job.
	foreign bool
	// silent never answers a report.
	silent bool
	// announced counts announcements.
	announced int
	config    wire.VMConfig
	others    []wire.EntryInfo
}

func newEntry(t *testing.T) *fakeEntry {
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
		e.conn, e.last = r.Conn, p
		e.announced++
		r.Reply(wire.AnnounceResult{Config: e.config, Entries: e.others})
	case entry.MethodTaskEnded:
		var p wire.TaskEndedParams
		if err := r.Decode(&p); err != nil || e.foreign {
			r.Fail(fmt.Errorf("unknown job %s: %v", p.Job, err))
			return
		}
		e.ends[taskID(p.Attempt, p.Rank)] = p
		if !e.silent {
			r.Reply(struct{}{})
		}
	}
	e.cond.Broadcast()
}

// until waits for a state that an announcement or a report brings.
func (e *fakeEntry) until(t *testing.T, what string, f func() bool) {
	t.Helper()
	late := time.AfterFunc(testTimeout, func() {
		e.mu.Lock()
		defer e.mu.Unlock()
		e.cond.Broadcast()
	})
	defer late.Stop()
	deadline := time.Now().Add(testTimeout)
	e.mu.Lock()
	defer e.mu.Unlock()
	for !f() {
		if time.Now().After(deadline) {
			t.Fatalf("no %s in time", what)
		}
		e.cond.Wait()
	}
}

func (e *fakeEntry) end(t *testing.T, id string) wire.TaskEndedParams {
	t.Helper()
	var end wire.TaskEndedParams
	e.until(t, "end of "+id, func() (ok bool) { end, ok = e.ends[id]; return ok })
	return end
}

// bench is an agent with its runtime and one entry.
type bench struct {
	*testing.T
	agent.Client
	ctx     context.Context
	runtime *standinruntime.Runtime
	entry   *fakeEntry
	daemon  *Daemon
	boot    string
}

func quiet() logrus.FieldLogger {
	l := logrus.New()
	l.SetOutput(io.Discard)
	return l
}

func newBench(t *testing.T) *bench {
	t.Helper()
	t.Parallel()
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	t.Cleanup(cancel)
	runtime, err := standinruntime.New(standinruntime.Config{Listen: "127.0.0.1:0", VM: "vm1", Accelerators: 8, CheckpointDuration: 20 * time.Millisecond})
	qt.Assert(t, err, qt.IsNil)
	t.Cleanup(runtime.Close)
	b := &bench{T: t, ctx: ctx, runtime: runtime, entry: newEntry(t)}
	b.boots()
	return b
}

// boots starts an agent and waits for its first announcement.
func (b *bench) boots() {
	b.Helper()
	timing := ledger.DefaultTiming
	timing.Reclaim, timing.Checkpoint, timing.CompletionGrace = time.Second, 600*time.Millisecond, 300*time.Millisecond
	d, err := New(Config{
		VM:         vm.VM{ID: "vm1", Zone: "z1", Rack: "r1", Region: "g1", Accelerators: 8, Slots: 8},
		AnnounceTo: []string{b.entry.engine.Address()}, RuntimeURL: "http://" + b.runtime.Address(), Ledger: timing, Seed: 1, AnnounceInterval: 200 * time.Millisecond,
	}, WithLogger(quiet()))
	qt.Assert(b, err, qt.IsNil)
	b.daemon = d
	b.Cleanup(d.Kill)
	boot := b.boot
	b.entry.until(b.T, "announcement", func() bool {
		b.boot, b.Conn = b.entry.last.BootID, b.entry.conn
		return b.Conn != nil && b.boot != boot
	})
}

func (b *bench) job(id, payload string, preemptible bool) wire.Job {
	return wire.Job{
		ID: id, Org: "norte", Tasks: 1, AcceleratorsPerTask: 4, Urgency: "normal", Idempotent: true,
		Preemptible: preemptible, Payload: wire.Text([]byte(payload)),
	}
}

// reserves asks for tasks of 4 accelerators for the attempt "<job>-a".
func (b *bench) reserves(j wire.Job, tasks int, reclaim bool) wire.GrantResult {
	b.Helper()
	result, err := b.Reserve(b.ctx, wire.ReserveParams{
		Job: j.ID, Org: j.Org, Attempt: j.ID + "-a", Term: 1, Tasks: tasks, AcceleratorsPerTask: j.AcceleratorsPerTask,
		Preemptible: j.Preemptible, Urgency: j.Urgency, HoldMs: 3000, Reclaim: reclaim, Config: b.entry.config,
	})
	qt.Assert(b, err, qt.IsNil)
	return result
}

func (b *bench) starts(j wire.Job, leaseMs int) wire.GrantResult {
	b.Helper()
	result, err := b.Start(b.ctx, wire.StartParams{Job: j, Attempt: j.ID + "-a", Term: 1, CommitOffset: 1, LeaseMs: leaseMs, Config: b.entry.config})
	qt.Assert(b, err, qt.IsNil)
	return result
}

// runs starts an attempt that holds 4 accelerators for each task.
func (b *bench) runs(j wire.Job, tasks, leaseMs int) {
	b.Helper()
	qt.Assert(b, b.reserves(j, tasks, false).Status, qt.Equals, wire.GrantStatusGranted)
	qt.Assert(b, b.starts(j, leaseMs).Status, qt.Equals, wire.GrantStatusGranted)
}

// TestAttemptEndToEnd guards against a part of the way from a reservation to
// the answer that does not work with the others.
func TestAttemptEndToEnd(t *testing.T) {
	b := newBench(t)
	payload := `{"runMs":700,"answerBytes":300000,"seed":7}`
	j := b.job("j1", payload, false)
	b.runs(j, 2, 500)
	for range 2 {
		time.Sleep(200 * time.Millisecond)
		confirmed, err := b.Confirm(b.ctx, wire.ConfirmParams{Attempt: "j1-a"})
		qt.Assert(t, err, qt.IsNil)
		qt.Assert(t, confirmed.Running, qt.IsTrue)
		renewed, err := b.Renew(b.ctx, wire.RenewParams{Attempt: "j1-a", Round: confirmed.Round, LeaseMs: 500})
		qt.Assert(t, err, qt.IsNil)
		qt.Assert(t, renewed.Renewed, qt.IsTrue)
	}
	for rank := range 2 {
		want := standinruntime.Answer([]byte(payload), rank)
		end := b.entry.end(t, taskID("j1-a", rank))
		qt.Assert(t, end.Result, qt.Equals, wire.TaskResultAnswered)
		var got []byte
		for len(got) < end.Length {
			part, err := b.Answer(b.ctx, wire.AnswerParams{Attempt: "j1-a", Rank: rank, Offset: len(got), Max: 256 << 10})
			qt.Assert(t, err, qt.IsNil)
			data, err := wire.Bytes("data", part.Data)
			qt.Assert(t, err, qt.IsNil)
			got = append(got, data...)
		}
		qt.Assert(t, string(got) == string(want), qt.IsTrue)
	}
	released, err := b.Release(b.ctx, wire.ReleaseParams{Job: "j1", Attempt: "j1-a", Term: 1})
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, released.Started, qt.IsTrue)
	qt.Assert(t, b.starts(j, 500).Status, qt.Equals, wire.GrantStatusGranted)
	qt.Assert(t, b.daemon.Holdings(), qt.HasLen, 0)
}

// TestLeaseExpires guards against an attempt that runs on although no entry
// renews its lease.
func TestLeaseExpires(t *testing.T) {
	b := newBench(t)
	b.runs(b.job("j1", `{"runMs":60000}`, false), 2, 150)
	qt.Assert(t, b.entry.end(t, "j1-a/0").Result, qt.Equals, wire.TaskResultLapsed)
	confirmed, err := b.Confirm(b.ctx, wire.ConfirmParams{Attempt: "j1-a"})
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, confirmed.Running, qt.IsFalse)
}

func (b *bench) short(id, payload string, accelerators int) wire.RunResult {
	b.Helper()
	j := wire.Job{ID: id, Org: "sur", Tasks: 1, AcceleratorsPerTask: accelerators, Urgency: "urgent", Idempotent: true, Payload: wire.Text([]byte(payload))}
	result, err := b.Client.Run(b.ctx, wire.RunParams{Job: j, Attempt: id + "-a", QueueMs: 300, Config: b.entry.config})
	qt.Assert(b, err, qt.IsNil)
	return result
}

// TestLoanToShortTask guards against an urgent task that waits behind long
// preemptible work, and against lent accelerators that do not come back.
func TestLoanToShortTask(t *testing.T) {
	b := newBench(t)
	b.runs(b.job("long", `{"runMs":400,"echo":"done"}`, true), 2, 5000)
	result := b.short("quick", `{"runMs":20,"echo":"red"}`, 1)
	qt.Assert(t, result.Status, qt.Equals, wire.RunStatusAnswered, qt.Commentf("%+v", result))
	qt.Assert(t, result.Body, qt.Equals, wire.Text([]byte("red")))
	for _, id := range []string{"long-a/0", "long-a/1"} {
		qt.Assert(t, b.entry.end(t, id).Result, qt.Equals, wire.TaskResultAnswered)
	}
	kinds := map[wire.RuntimeRecordKind]int{}
	for _, r := range b.runtime.Records() {
		kinds[r.Kind]++
	}
	qt.Assert(t, kinds, qt.DeepEquals, map[wire.RuntimeRecordKind]int{
		wire.RuntimeRecordKindStarted: 3, wire.RuntimeRecordKindThrottled: 2, wire.RuntimeRecordKindResumed: 2, wire.RuntimeRecordKindEnded: 3,
	})
}

// TestReclaimHardStop guards against a borrower that ignores its checkpoint
// holding up its lender, and against an eviction that is not reported.
func TestReclaimHardStop(t *testing.T) {
	b := newBench(t)
	b.entry.config = wire.VMConfig{Offset: 1, Shares: map[string]int{"sur": 8}}
	b.runs(b.job("stubborn", `{"runMs":60000,"ignoreCheckpoint":true}`, true), 1, 10000)
	b.runs(b.job("polite", `{"runMs":60000}`, true), 1, 10000)
	j := b.job("owner", `{"runMs":10}`, false)
	j.Org = "sur"
	began := time.Now()
	qt.Assert(t, b.reserves(j, 2, true).Status, qt.Equals, wire.GrantStatusGranted)
	took := time.Since(began)
	qt.Assert(t, took > b.daemon.config.Ledger.Checkpoint && took < b.daemon.config.Ledger.Reclaim, qt.IsTrue, qt.Commentf("took %v", took))
	qt.Assert(t, b.entry.end(t, "stubborn-a/0").CheckpointMs, qt.Equals, 0)
	polite := b.entry.end(t, "polite-a/0")
	qt.Assert(t, polite.Result, qt.Equals, wire.TaskResultEvicted)
	qt.Assert(t, polite.CheckpointMs > 0, qt.IsTrue)
	qt.Assert(t, b.starts(j, 1000).Status, qt.Equals, wire.GrantStatusGranted)
	qt.Assert(t, b.entry.end(t, "owner-a/1").Result, qt.Equals, wire.TaskResultAnswered)
}

// TestReleaseStopsTasks guards against a release that is answered before the tasks
// have stopped, and against an attempt that starts after its release.
func TestReleaseStopsTasks(t *testing.T) {
	b := newBench(t)
	j := b.job("j1", `{"runMs":60000}`, true)
	b.runs(j, 2, 10000)
	released, err := b.Release(b.ctx, wire.ReleaseParams{Job: "j1", Attempt: "j1-a", Term: 1, Checkpoint: true})
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, released.Started && released.CheckpointMs > 0, qt.IsTrue)
	stopped := 0
	for _, r := range b.runtime.Records() {
		if r.Kind == wire.RuntimeRecordKindStopped {
			stopped++
		}
	}
	qt.Assert(t, stopped, qt.Equals, 2)
	never := b.job("j2", `{}`, false)
	released, err = b.Release(b.ctx, wire.ReleaseParams{Job: "j2", Attempt: "j2-a", Term: 1})
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, released.Started, qt.IsFalse)
	qt.Assert(t, b.reserves(never, 1, false).Rule, qt.Equals, "attemptReleased")
	qt.Assert(t, b.starts(never, 1000).Rule, qt.Equals, "attemptReleased")
}

// TestDrainAndStop guards against new work on a VM that drains or leaves, and
// against a graceful stop that cuts off running work or loses an answer.
func TestDrainAndStop(t *testing.T) {
	b := newBench(t)
	fixed, long := b.job("fixed", `{"runMs":300,"echo":"done"}`, false), b.job("long", `{"runMs":60000}`, true)
	b.runs(fixed, 1, 10000)
	b.runs(long, 1, 60000)
	drained, err := b.Drain(b.ctx, wire.DrainParams{Draining: true, ConfigOffset: 0})
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, drained, qt.Equals, wire.DrainResult{Draining: true, Holdings: 2})
	qt.Assert(t, b.short("s1", `{}`, 0).Rule, qt.Equals, "vmDraining")
	_, err = b.Drain(b.ctx, wire.DrainParams{ConfigOffset: 0})
	qt.Assert(t, err, qt.IsNil)
	ctx, cancel := context.WithTimeout(b.ctx, b.daemon.config.Ledger.Checkpoint+evictMargin+100*time.Millisecond)
	defer cancel()
	var shorts sync.WaitGroup
	for i := range 3 {
		shorts.Go(func() {
			result := b.short(fmt.Sprint("s2-", i), `{"runMs":250,"echo":"blue"}`, 0)
			qt.Check(t, result.Body, qt.Equals, wire.Text([]byte("blue")))
		})
	}
	for len(b.daemon.Holdings()) < 5 {
		qt.Assert(t, b.ctx.Err(), qt.IsNil)
		time.Sleep(2 * time.Millisecond)
	}
	stopped := make(chan error, 1)
	go func() { stopped <- b.daemon.Stop(ctx) }()
	b.entry.until(t, "leaving announcement", func() bool { return b.entry.last.Leaving })
	qt.Assert(t, b.reserves(b.job("j3", `{}`, false), 1, false).Rule, qt.Equals, "vmDraining")
	qt.Assert(t, b.entry.end(t, "fixed-a/0").Result, qt.Equals, wire.TaskResultAnswered)
	part, err := b.Answer(b.ctx, wire.AnswerParams{Attempt: "fixed-a", Max: 100})
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, part.Data, qt.Equals, wire.Text([]byte("done")))
	shorts.Wait()
	qt.Assert(t, <-stopped, qt.IsNil)
	evicted := b.entry.end(t, "long-a/0")
	qt.Assert(t, evicted.Result, qt.Equals, wire.TaskResultEvicted)
	qt.Assert(t, evicted.CheckpointMs > 0, qt.IsTrue)
}

// TestRestart guards against tasks of an earlier boot that run on, and against
// reservations that survive one.
func TestRestart(t *testing.T) {
	b := newBench(t)
	j := b.job("j1", `{"runMs":60000}`, false)
	b.runs(j, 2, 60000)
	b.daemon.Kill()
	b.boots()
	records := b.runtime.Records()
	qt.Assert(t, records[len(records)-1].Kind, qt.Equals, wire.RuntimeRecordKindStopped)
	qt.Assert(t, b.daemon.Holdings(), qt.HasLen, 0)
	qt.Assert(t, b.starts(j, 1000).Rule, qt.Equals, "reservationExpired")
}

// TestReportsReachTheRightEntry guards against a report that is lost because
// the first entry does not know the job, and against learned entries that are
// not dialled.
func TestReportsReachTheRightEntry(t *testing.T) {
	b := newBench(t)
	second := newEntry(t)
	b.entry.mu.Lock()
	b.entry.foreign = true
	b.entry.others = []wire.EntryInfo{{ID: "e2", Address: second.engine.Address(), Zone: "z1", Region: "g1"}}
	b.entry.mu.Unlock()
	b.runs(b.job("j1", `{"fail":"no such needle"}`, false), 1, 5000)
	end := second.end(t, "j1-a/0")
	qt.Assert(t, []any{end.Result, end.Reason}, qt.DeepEquals, []any{wire.TaskResultFailed, "no such needle"})
	second.until(t, "announcement of known entries", func() bool { return len(second.last.Entries) == 1 })
	b.entry.until(t, "refused report", func() bool { return len(b.entry.ends) == 0 })
}

// TestRuntimeRestart guards against accelerators that stay held, and an end
// that is never reported, when the runtime forgets its tasks.
func TestRuntimeRestart(t *testing.T) {
	b := newBench(t)
	b.runs(b.job("j1", `{"runMs":60000}`, false), 2, 200)
	b.runtime.Close()
	runtime, err := standinruntime.New(standinruntime.Config{Listen: b.runtime.Address(), VM: "vm1", Accelerators: 8})
	qt.Assert(t, err, qt.IsNil)
	t.Cleanup(runtime.Close)
	qt.Assert(t, b.entry.end(t, "j1-a/1").Result, qt.Equals, wire.TaskResultLapsed)
	qt.Assert(t, b.daemon.Holdings(), qt.HasLen, 0)
	long := b.short("long", `{"answerBytes":100000}`, 1)
	qt.Assert(t, []any{long.Status, long.Body, long.Length}, qt.DeepEquals, []any{wire.RunStatusAnswered, "", 100000})
	part, err := b.Answer(b.ctx, wire.AnswerParams{Attempt: "long-a", Max: 1 << 20})
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, []any{part.Checksum, len(part.Data)}, qt.DeepEquals, []any{long.Checksum, 133336})
}

// TestSlowReportDoesNotDelayAnnouncements guards against a VM that counts as lost because
// an entry takes long to record the end of a task.
func TestSlowReportDoesNotDelayAnnouncements(t *testing.T) {
	b := newBench(t)
	b.entry.mu.Lock()
	b.entry.silent = true
	b.entry.mu.Unlock()
	b.runs(b.job("j1", `{}`, false), 1, 5000)
	b.entry.end(t, "j1-a/0")
	began, seen := time.Now(), 0
	b.entry.until(t, "first announcement", func() bool { seen = b.entry.announced; return true })
	b.entry.until(t, "further announcements", func() bool { return b.entry.announced >= seen+4 })
	qt.Assert(t, time.Since(began) < callTimeout, qt.IsTrue)
}
