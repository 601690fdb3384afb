package stepentry

import (
	"context"
	"testing"

	qt "github.com/frankban/quicktest"

	"celerypoint.example/celerypoint/rpc"
	"celerypoint.example/celerypoint/stepfold"
	"celerypoint.example/celerypoint/wire"
)

// Guards against counting a planner as gone that has stored its claim and is still
// reading the records stored before the claim. Also guards against missing that
// the planner's process has ended or restarted, after which another entry has to
// take over at once.
func TestPlannerGone(t *testing.T) {
	c := qt.New(t)
	pong := wire.PlannerPong{Boot: "b1", StoreAgeMs: 5000}
	planner, err := rpc.New(func(r *rpc.Request) { r.Reply(pong) }, rpc.WithListen("127.0.0.1:0"))
	c.Assert(err, qt.IsNil)
	other, err := rpc.New(func(r *rpc.Request) {})
	c.Assert(err, qt.IsNil)
	defer other.Close()
	d := &Daemon{cfg: Config{Name: "another"}, rpc: other}
	claimed := stepfold.Planner{Entry: "planner", BootID: "b1", Address: planner.Address(), Term: 5}
	c.Check(d.checkPlanner(context.Background(), claimed), qt.Equals, healthUnknown)
	pong.Boot = "b2"
	c.Check(d.checkPlanner(context.Background(), claimed), qt.Equals, healthGone)
	planner.Close()
	c.Check(d.checkPlanner(context.Background(), claimed), qt.Equals, healthGone)
}

// Guards against a takeover from a planner whose heartbeats the store accepts
// although this entry cannot read them. Also guards against counting a planner as
// planning that cannot reach the store, as the age of its newest append shows, or
// that plans in another term than the newest that this entry has read.
func TestPlannerPlanning(t *testing.T) {
	c := qt.New(t)
	pong := wire.PlannerPong{Boot: "b1", Term: 5, StoreAgeMs: 300}
	planner, err := rpc.New(func(r *rpc.Request) { r.Reply(pong) }, rpc.WithListen("127.0.0.1:0"))
	c.Assert(err, qt.IsNil)
	defer planner.Close()
	other, err := rpc.New(func(r *rpc.Request) {})
	c.Assert(err, qt.IsNil)
	defer other.Close()
	d := &Daemon{cfg: Config{Name: "another"}, rpc: other}
	claimed := stepfold.Planner{Entry: "planner", BootID: "b1", Address: planner.Address(), Term: 5}
	c.Check(d.checkPlanner(context.Background(), claimed), qt.Equals, healthPlanning)
	pong.StoreAgeMs = int(heartbeatTimeout.Milliseconds())
	c.Check(d.checkPlanner(context.Background(), claimed), qt.Equals, healthUnknown)
	pong.StoreAgeMs, pong.Term = 300, 4
	c.Check(d.checkPlanner(context.Background(), claimed), qt.Equals, healthUnknown)
}
