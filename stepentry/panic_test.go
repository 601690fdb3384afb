package stepentry

import (
	"context"
	"testing"

	qt "github.com/frankban/quicktest"
	"github.com/rcrowley/go-metrics"

	"celerypoint.example/celerypoint/platform"
	"celerypoint.example/celerypoint/standinstore"
	"celerypoint.example/celerypoint/stepplan"
)

// newPlanner starts an entry that plans without having claimed a term.
func newPlanner(c *qt.C) *Daemon {
	store, err := standinstore.New("127.0.0.1:0")
	c.Assert(err, qt.IsNil)
	c.Cleanup(store.Close)
	d, err := New(Config{
		Name: "e", Listen: "127.0.0.1:0", Topic: "t", ConfigTopic: platform.TopicConfiguration, Log: platform.NewStore(store.Address()),
		DecodeOperator: platform.DecodeOperatorRecord,
	})
	c.Assert(err, qt.IsNil)
	c.Cleanup(d.Kill)
	d.planner.mu.Lock()
	defer d.planner.mu.Unlock()
	d.planner.scheduler, d.planner.cancel = stepplan.New(stepplan.Timing{}), func() {}
	return d
}

// TestPanicInPassEndsTerm guards against an entry that an unexpected error in a planning
// pass ends: the next entry would plan with the same jobs and end as well.
func TestPanicInPassEndsTerm(t *testing.T) {
	c := qt.New(t)
	d := newPlanner(c)
	d.planner.mu.Lock()
	d.planner.scheduler.VMs["vm"] = nil
	d.planner.mu.Unlock()
	_, _, ok := d.runPass(context.Background(), true)
	c.Check(ok, qt.IsFalse)
	c.Check(d.isPlanner(), qt.IsFalse)
	c.Check(metrics.GetOrRegisterCounter("panicRecovered", d.Metrics()).Count(), qt.Equals, int64(1))
}

// TestPanicEndsTerm guards against an entry that one message ends, and against a planner
// that goes on with a scheduler that the handling of the message has left half changed.
func TestPanicEndsTerm(t *testing.T) {
	c := qt.New(t)
	d := newPlanner(c)
	done := make(chan struct{})
	c.Assert(d.pool.Submit(func() {
		defer close(done)
		d.planner.mu.Lock()
		defer d.planner.mu.Unlock()
		panic("malformed")
	}), qt.IsNil)
	<-done
	c.Assert(d.pool.Submit(func() {}), qt.IsNil)
	d.pool.Close()
	c.Assert(d.isPlanner(), qt.IsFalse)
	c.Assert(metrics.GetOrRegisterCounter("panicRecovered", d.Metrics()).Count(), qt.Equals, int64(1))
}
