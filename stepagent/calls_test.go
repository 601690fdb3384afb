package stepagent

import (
	"context"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"celerypoint.example/celerypoint/rpc"
	"celerypoint.example/celerypoint/wire"
	"celerypoint.example/celerypoint/worker"
)

// identify makes the announced incarnation the current one by answers to two calls.
func identify(t *workerTable, a worker.Announcement) {
	t.applyAnnouncement(a)
	answer(t, a, worker.Status{})
	answer(t, a, worker.Status{})
}

// answer merges a complete status that the announced incarnation returns for a new call.
func answer(t *workerTable, a worker.Announcement, s worker.Status) error {
	t.mu.Lock()
	defer t.mu.Unlock()
	number, token := t.nextCall()
	s.StartedAtUnixMs, s.Complete = a.StartedAtUnixMs, true
	return t.merge(s, a.ID, number, token)
}

// unresponsiveWorker is a worker that never answers a start order and lists no
// runs in its status.
type unresponsiveWorker struct{ starts chan worker.StartRequest }

func (m unresponsiveWorker) Start(ctx context.Context, _ string, s worker.StartRequest) (worker.Reply, error) {
	m.starts <- s
	<-ctx.Done()
	return worker.Reply{}, worker.ErrOutcomeUnknown
}

func (m unresponsiveWorker) Stop(context.Context, string, worker.Run, int64) (worker.Reply, error) {
	return worker.Reply{}, nil
}

func (m unresponsiveWorker) Status(context.Context, string, worker.StatusRequest) (worker.Status, worker.Reply, error) {
	return worker.Status{StartedAtUnixMs: 1, Clock: time.Second, Complete: true}, worker.Reply{Clock: time.Second}, nil
}

// Guards against repeating a start order of a planner that has been replaced. If a
// report to the new planner did not list the run, the new planner may already have
// started the task elsewhere. Found in a simulated day of vordulit, which is a
// deployment of the users: grown, doubt-and-restart, seed 479788551740.
func TestNoRetryAfterSupersededSession(t *testing.T) {
	c := qt.New(t)
	m := unresponsiveWorker{make(chan worker.StartRequest, 100)}
	d := newDaemon(Config{Name: "vm", Worker: m})
	defer d.log.Close()
	defer d.pool.Close()
	follow := func(term int) {
		d.session.mu.Lock()
		defer d.session.mu.Unlock()
		d.session.follow(term, term, "planner", &rpc.Conn{})
	}
	identify(d.table, worker.Announcement{ID: "i", StartedAtUnixMs: 1, Service: "s"})
	d.table.lease = time.Minute
	c.Assert(d.readStatus(context.Background(), 0), qt.IsNil)
	follow(1)
	done := make(chan wire.StartRunResult, 1)
	go func() {
		done <- d.startRun(context.Background(), wire.StartRunParams{Term: 1, Session: 1, Worker: "i/1", Task: "a.0.0.0", Run: 1})
	}()
	<-m.starts
	follow(2)
	lacked := false
	for {
		select {
		case result := <-done:
			c.Assert(result.Started, qt.IsFalse)
			c.Assert(m.starts, qt.HasLen, 0)
			return
		case <-m.starts:
			c.Fatalf("the start was sent again; a report lacked the run before: %v", lacked)
		case <-time.After(time.Millisecond):
			d.table.mu.Lock()
			lacked = lacked || len(d.table.runs) == 0
			d.table.mu.Unlock()
		}
	}
}

// Guards against following an earlier session of a planner after a pause of the
// agent's process. The planner has given up the orders of that session, so carrying
// them out led to two runs of a task at the same time. Found by package soak with
// seed 537077370.
func TestEarlierSessionRefused(t *testing.T) {
	c := qt.New(t)
	m := unresponsiveWorker{make(chan worker.StartRequest, 100)}
	d := newDaemon(Config{Name: "vm", Worker: m})
	defer d.log.Close()
	defer d.pool.Close()
	identify(d.table, worker.Announcement{ID: "i", StartedAtUnixMs: 1, Service: "s"})
	d.table.lease = time.Minute
	c.Assert(d.readStatus(context.Background(), 0), qt.IsNil)
	result, err := d.attach(&rpc.Conn{}, wire.AttachParams{Term: 1, Session: 9})
	c.Assert(err, qt.IsNil)
	c.Check(result.Refused, qt.IsFalse)
	result, err = d.attach(nil, wire.AttachParams{Term: 1, Session: 7})
	c.Assert(err, qt.IsNil)
	c.Check(result.Refused, qt.IsTrue)
	c.Check(d.session.number, qt.Equals, 9)
	started := d.startRun(context.Background(), wire.StartRunParams{Term: 1, Session: 7, Worker: "i/1", Task: "a.0.0.0", Run: 1})
	c.Check(started.Started, qt.IsFalse)
	c.Check(m.starts, qt.HasLen, 0)
}

// forgetfulWorker answers every start order but the first.
type forgetfulWorker struct {
	unresponsiveWorker
	answered chan worker.StartRequest
}

func (w forgetfulWorker) Start(ctx context.Context, id string, s worker.StartRequest) (worker.Reply, error) {
	select {
	case w.starts <- s:
		<-ctx.Done()
		return worker.Reply{}, worker.ErrOutcomeUnknown
	default:
		w.answered <- s
		return worker.Reply{Clock: time.Second}, nil
	}
}

// TestUnansweredStart guards against a gang that waits for a member whose start order the
// worker did not answer: the order has to be sent again before a status call would have
// timed out, and under a higher token, so that the first cannot take effect later.
func TestUnansweredStart(t *testing.T) {
	c := qt.New(t)
	w := forgetfulWorker{unresponsiveWorker{make(chan worker.StartRequest, 1)}, make(chan worker.StartRequest, 1)}
	d := newDaemon(Config{Name: "vm", Worker: w})
	defer d.log.Close()
	defer d.pool.Close()
	d.session.follow(1, 1, "planner", &rpc.Conn{})
	identify(d.table, worker.Announcement{ID: "i", StartedAtUnixMs: 1, Service: "s"})
	d.table.lease = time.Minute
	c.Assert(d.readStatus(context.Background(), 0), qt.IsNil)
	begun := time.Now()
	result := d.startRun(context.Background(), wire.StartRunParams{Term: 1, Session: 1, Worker: "i/1", Task: "a.0.0.0", Run: 1})
	c.Assert(result.Started, qt.IsTrue)
	c.Check(time.Since(begun) < callTimeout, qt.IsTrue, qt.Commentf("took %v", time.Since(begun)))
	first, second := <-w.starts, <-w.answered
	c.Check(second.FencingToken > first.FencingToken, qt.IsTrue)
}

// TestAttachNamesAgent guards against a planner that follows an old address to another
// agent, whose session with its planner would end.
func TestAttachNamesAgent(t *testing.T) {
	c := qt.New(t)
	d := newDaemon(Config{Name: "vm"})
	defer d.log.Close()
	defer d.pool.Close()
	_, err := d.attach(&rpc.Conn{}, wire.AttachParams{Term: 5, Session: 1, Agent: "gone"})
	c.Assert(err, qt.ErrorMatches, `attach: found agent "gone", allowed: "vm"`)
	c.Assert(d.session.term, qt.Equals, 0)
	result, err := d.attach(&rpc.Conn{}, wire.AttachParams{Term: 5, Session: 1, Agent: "vm"})
	c.Assert(err, qt.IsNil)
	c.Assert(result.Refused, qt.IsFalse)
}

// listingWorker lists an end in each status, at once, and counts its calls.
type listingWorker struct {
	unresponsiveWorker
	calls *atomic.Int64
}

func (w listingWorker) Status(context.Context, string, worker.StatusRequest) (worker.Status, worker.Reply, error) {
	w.calls.Add(1)
	ended := []worker.Ended{{EndNumber: 1, Run: worker.Run{Task: "a.0.0.0", Number: 1}, Reason: worker.EndDone}}
	return worker.Status{StartedAtUnixMs: 1, Clock: time.Second, Ended: ended, Complete: true}, worker.Reply{Clock: time.Second}, nil
}

// TestUnstoredEndsArePolledWithPauses guards against calls without a pause to a worker that
// lists an end until the planner has stored it.
func TestUnstoredEndsArePolledWithPauses(t *testing.T) {
	c := qt.New(t)
	w := listingWorker{calls: &atomic.Int64{}}
	d := newDaemon(Config{Name: "vm", Worker: w})
	defer d.log.Close()
	defer d.pool.Close()
	d.table.applyAnnouncement(worker.Announcement{ID: "i", StartedAtUnixMs: 1, Service: "s"})
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	d.poll(ctx)
	calls := w.calls.Load()
	c.Check(calls >= 5 && calls <= int64(time.Second/unstoredPause)+5, qt.IsTrue, qt.Commentf("%d calls in a second", calls))
}

// acknowledgedWorker lists an end until a status call acknowledges it. The first such call
// is answered with the list from before.
type acknowledgedWorker struct {
	unresponsiveWorker
	acks  *[]int64
	ended *[]worker.Ended
}

func (w acknowledgedWorker) Status(_ context.Context, _ string, r worker.StatusRequest) (worker.Status, worker.Reply, error) {
	s := worker.Status{StartedAtUnixMs: 1, Clock: time.Second, Ended: *w.ended, Complete: true}
	if r.AckThrough > 0 {
		*w.ended = nil
	}
	*w.acks = append(*w.acks, r.AckThrough)
	return s, worker.Reply{Clock: time.Second}, nil
}

// TestAcknowledgementIsNotRepeated guards against a worker that forgets ends because of the
// numbers of its incarnation before.
func TestAcknowledgementIsNotRepeated(t *testing.T) {
	c := qt.New(t)
	acks, ended := []int64{}, []worker.Ended{{EndNumber: 7, Run: worker.Run{Task: "a.0.0.0", Number: 1}, Reason: worker.EndDone}}
	d := newDaemon(Config{Name: "vm", Worker: acknowledgedWorker{acks: &acks, ended: &ended}})
	defer d.log.Close()
	defer d.pool.Close()
	identify(d.table, worker.Announcement{ID: "i", StartedAtUnixMs: 1, Service: "s"})
	call := func() { c.Assert(d.readStatus(context.Background(), 0), qt.IsNil) }
	call()
	d.table.applyEndsAck("i/1", 7)
	for range 4 {
		call()
	}
	c.Check(acks, qt.DeepEquals, []int64{0, 7, 7, 0, 0})
}
