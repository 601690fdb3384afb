package stepagent

import (
	"context"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"celerypoint.example/celerypoint/agent"
	"celerypoint.example/celerypoint/rpc"
	"celerypoint.example/celerypoint/wire"
	"celerypoint.example/celerypoint/worker"
)

// scriptedWorker answers start orders with start, and lists no runs.
type scriptedWorker struct {
	unresponsiveWorker
	start func(worker.StartRequest) (worker.Reply, error)
}

func (w *scriptedWorker) Start(_ context.Context, _ string, s worker.StartRequest) (worker.Reply, error) {
	return w.start(s)
}

var (
	firstIncarnation  = worker.Announcement{ID: "i", StartedAtUnixMs: 1, Service: "s"}
	secondIncarnation = worker.Announcement{ID: "i", StartedAtUnixMs: 2, Service: "s"}
	startedRun        = worker.Run{Task: "a.0.0.0", Number: 1}
	startParams       = wire.StartRunParams{Term: 1, Session: 1, Worker: "i/1", Task: "a.0.0.0", Run: 1}
)

// newStartingDaemon returns an agent that can start runs on the first incarnation of the
// worker.
func newStartingDaemon(t *testing.T, w worker.Client) *Daemon {
	d := newDaemon(Config{Name: "vm", Worker: w})
	t.Cleanup(func() {
		d.log.Close()
		d.pool.Close()
	})
	d.session.follow(1, 1, "planner", &rpc.Conn{})
	identify(d.table, firstIncarnation)
	d.table.lease = time.Minute
	return d
}

// TestUnsentStartIsForgotten guards against a run that is reported without end although its
// start order was never sent.
func TestUnsentStartIsForgotten(t *testing.T) {
	c := qt.New(t)
	w := &scriptedWorker{start: func(worker.StartRequest) (worker.Reply, error) {
		c.Error("an order is sent to a worker that has answered as another incarnation")
		return worker.Reply{}, nil
	}}
	d := newStartingDaemon(t, w)
	_, done := d.registerRun(startParams, startedRun)
	c.Assert(done, qt.IsFalse)
	c.Assert(answer(d.table, secondIncarnation, worker.Status{}), qt.Equals, errSighted)
	outcome, _ := d.sendStart(context.Background(), time.Second, startParams, startedRun)
	c.Assert(outcome, qt.Equals, outcomeRetry)
	c.Assert(d.leaveUnconfirmed(startedRun).Reason, qt.Equals, agent.ReasonOutcomeUnknown)
	c.Assert(answer(d.table, firstIncarnation, worker.Status{}), qt.IsNil)
	c.Check(d.buildReport().Running, qt.HasLen, 0)
}

// TestNoStartWhileCallsFail guards against an order that reaches another incarnation of the
// worker, with less capacity, after calls have begun to fail.
func TestNoStartWhileCallsFail(t *testing.T) {
	for _, test := range []struct {
		name string
		// sent says that an order has been refused before.
		sent bool
		want outcome
	}{
		{"neverSent", false, outcomeRefused},
		{"refusedBefore", true, outcomeRetry},
	} {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			orders := 0
			w := &scriptedWorker{start: func(worker.StartRequest) (worker.Reply, error) {
				orders++
				return worker.Reply{Refusal: worker.RefusalStaleToken}, nil
			}}
			d := newStartingDaemon(t, w)
			_, done := d.registerRun(startParams, startedRun)
			c.Assert(done, qt.IsFalse)
			if test.sent {
				outcome, _ := d.sendStart(context.Background(), time.Second, startParams, startedRun)
				c.Assert(outcome, qt.Equals, outcomeRetry)
			}
			before := orders
			d.markUnhealthy(worker.ErrOutcomeUnknown)
			outcome, _ := d.sendStart(context.Background(), time.Second, startParams, startedRun)
			c.Check(orders, qt.Equals, before)
			c.Check(outcome, qt.Equals, test.want)
		})
	}
}

// TestEndedRunOfNextIncarnationIsNoRefusal guards against a second start of a task whose
// order the worker's next incarnation has carried out to the end.
func TestEndedRunOfNextIncarnationIsNoRefusal(t *testing.T) {
	c := qt.New(t)
	var d *Daemon
	w := &scriptedWorker{start: func(worker.StartRequest) (worker.Reply, error) {
		// An earlier order has reached the next incarnation, which refuses this one.
		status := worker.Status{Ended: []worker.Ended{{EndNumber: 1, Run: startedRun, Reason: worker.EndDone}}}
		c.Check(answer(d.table, secondIncarnation, status), qt.Equals, errSighted)
		c.Check(answer(d.table, secondIncarnation, status), qt.IsNil)
		return worker.Reply{Refusal: worker.RefusalStaleToken}, nil
	}}
	d = newStartingDaemon(t, w)
	result := d.startRun(context.Background(), startParams)
	c.Check(result.Started, qt.IsTrue, qt.Commentf("reason %s", result.Reason))
}
