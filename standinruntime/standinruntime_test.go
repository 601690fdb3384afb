package standinruntime

import (
	"context"
	"errors"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"celerypoint.example/celerypoint/wire"
	"celerypoint.example/celerypoint/workerruntime"
)

// TestAnswerIsDeterministic guards against answers that a checker cannot
// recompute from the payload, and against equal answers of different ranks.
func TestAnswerIsDeterministic(t *testing.T) {
	payload := []byte(`{"answerBytes":40,"seed":3}`)
	qt.Assert(t, Answer(payload, 1), qt.DeepEquals, Answer(payload, 1))
	qt.Assert(t, Answer(payload, 1), qt.Not(qt.DeepEquals), Answer(payload, 2))
	qt.Assert(t, Answer(payload, 0), qt.HasLen, 40)
	qt.Assert(t, string(Answer([]byte(`{"echo":"red","answerBytes":9}`), 5)), qt.Equals, "red")
	qt.Assert(t, Answer([]byte("no JSON"), 0), qt.HasLen, 0)
}

// TestProtocol guards against a runtime that does not enforce leases or its
// number of accelerators, and against a client that misreads its replies.
func TestProtocol(t *testing.T) {
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	r, err := New(Config{Listen: "127.0.0.1:0", VM: "vm1", Accelerators: 4, CheckpointDuration: time.Millisecond})
	qt.Assert(t, err, qt.IsNil)
	defer r.Close()
	c := workerruntime.New("http://" + r.Address())
	defer c.CloseIdleConnections()
	begin := func(id, payload string, accelerators int, lease time.Duration) error {
		return c.Start(ctx, wire.TaskStart{
			ID: id, Job: "j", Accelerators: accelerators, Payload: wire.Text([]byte(payload)),
			LeaseUntilUnixMs: int(time.Now().Add(lease).UnixMilli()),
		})
	}
	next := 1
	expect := func(id string, kind wire.TaskEventKind) wire.TaskEvent {
		t.Helper()
		for {
			events, err := c.Events(ctx, next, time.Second)
			qt.Assert(t, err, qt.IsNil)
			qt.Assert(t, len(events.Events) > 0, qt.IsTrue, qt.Commentf("no %s of %s", kind, id))
			for _, e := range events.Events {
				next = e.Sequence + 1
				if e.ID == id && e.Kind == kind {
					return e
				}
			}
		}
	}
	qt.Assert(t, begin("a/0", `{"runMs":10000}`, 3, 80*time.Millisecond), qt.IsNil)
	qt.Assert(t, begin("a/0", `{"runMs":10000}`, 3, time.Second), qt.IsNil)
	var refused *workerruntime.RefusedError
	qt.Assert(t, errors.As(begin("b/0", `{}`, 2, time.Second), &refused), qt.IsTrue)
	renewed := time.Now().Add(150 * time.Millisecond)
	qt.Assert(t, c.Renew(ctx, "a/0", renewed), qt.IsNil)
	qt.Assert(t, c.Checkpoint(ctx, "a/0"), qt.IsNil)
	expect("a/0", wire.TaskEventKindCheckpointed)
	qt.Assert(t, c.Throttle(ctx, "a/0"), qt.IsNil)
	tasks, err := c.Tasks(ctx)
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, tasks, qt.HasLen, 1)
	qt.Assert(t, tasks[0].Throttled, qt.IsTrue)
	qt.Assert(t, begin("b/1", `{"echo":"ink","failOnVMs":["vm2"]}`, 4, time.Second), qt.IsNil)
	ended := expect("b/1", wire.TaskEventKindEnded)
	qt.Assert(t, ended.Length, qt.Equals, 3)
	body, err := c.Answer(ctx, "b/1", 1, 9)
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, string(body), qt.Equals, "nk")
	lapsed := expect("a/0", wire.TaskEventKindLeaseLapsed)
	// The protocol carries the lease expiry in whole milliseconds.
	until := renewed.Truncate(time.Millisecond)
	qt.Assert(t, time.UnixMicro(int64(lapsed.AtUnixUs)).Before(until), qt.IsFalse, qt.Commentf("stopped after %d ms", lapsed.RanMs))
	qt.Assert(t, begin("c/0", `{"fail":"bad input","failOnVMs":["vm1"]}`, 1, time.Second), qt.IsNil)
	qt.Assert(t, expect("c/0", wire.TaskEventKindFailed).Reason, qt.Equals, "bad input on vm1")
	qt.Assert(t, c.Stop(ctx, "c/0"), qt.ErrorIs, workerruntime.ErrNoTask)
	qt.Assert(t, c.Resume(ctx, "none"), qt.ErrorIs, workerruntime.ErrNoTask)
	qt.Assert(t, r.Records()[len(r.Records())-1].Kind, qt.Equals, wire.RuntimeRecordKindFailed)
}
