package entryd

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"celerypoint.example/celerypoint/job"
	"celerypoint.example/celerypoint/outcome"
	"celerypoint.example/celerypoint/shape"
)

// TestAnswerOfSilentVM guards against an answer that counts as lost before its VM does.
func TestAnswerOfSilentVM(t *testing.T) {
	s := startCluster(t, 1, 1)
	s.putOrg("paint", shape.Shape{})
	d := s.entries[0]
	v, err := d.Submit(s.context(), job.Job{Org: "paint", Tasks: 1, AcceleratorsPerTask: 1, Urgency: job.UrgencyNormal, Idempotent: true, Payload: []byte(`{"runMs":10,"answerBytes":100000}`)})
	qt.Assert(t, err, qt.IsNil)
	answer, ok := s.wait(v.ID, 0).Outcome.(outcome.Answer)
	qt.Assert(t, ok, qt.IsTrue)
	qt.Assert(t, answer.Parts, qt.HasLen, 1)
	closed, err := d.rpc.Dial(s.context(), d.RPCAddress())
	qt.Assert(t, err, qt.IsNil)
	closed.Close()
	disconnect := func() {
		d.vms.mu.Lock()
		defer d.vms.mu.Unlock()
		d.vms.byID["v1"].conn = closed
	}
	disconnect()
	ctx, fetched := s.context(), make(chan error, 1)
	go func() {
		_, err := d.fetchAnswer(ctx, answer)
		fetched <- err
	}()
	// Each announcement of the agent would connect it again.
	for until := time.Now().Add(d.cfg.VMLostTimeout - time.Second); time.Now().Before(until); time.Sleep(time.Millisecond) {
		disconnect()
	}
	qt.Assert(t, <-fetched, qt.IsNil)
}
