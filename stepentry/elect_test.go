package stepentry

import (
	"context"
	"testing"

	qt "github.com/frankban/quicktest"

	"celerypoint.example/celerypoint/rpc"
	"celerypoint.example/celerypoint/stepfold"
	"celerypoint.example/celerypoint/wire"
)

// Guards against an entry that takes over from a planner which has stored its
// claim and is still reading the records before it.
func TestPlannerGone(t *testing.T) {
	c := qt.New(t)
	pong := wire.PlannerPong{Boot: "b1", StoreAgeMs: 5000}
	planner, err := rpc.New(func(r *rpc.Request) { r.Reply(pong) }, rpc.WithListen("127.0.0.1:0"))
	c.Assert(err, qt.IsNil)
	other, err := rpc.New(func(r *rpc.Request) {})
	c.Assert(err, qt.IsNil)
	defer other.Close()
	d := &Daemon{c: Config{Name: "another"}, rpc: other}
	p := stepfold.Planner{Entry: "planner", BootID: "b1", Address: planner.Address(), Term: 5}
	c.Check(d.ask(context.Background(), p), qt.Equals, healthUnknown)
	pong.Boot = "b2"
	c.Check(d.ask(context.Background(), p), qt.Equals, healthGone)
	planner.Close()
	c.Check(d.ask(context.Background(), p), qt.Equals, healthGone)
}

// Guards against an entry that takes over from a planner whose beats it cannot
// read, although the store takes them, and against one that spares a planner
// that is cut off from the store.
func TestPlannerPlanning(t *testing.T) {
	c := qt.New(t)
	pong := wire.PlannerPong{Boot: "b1", Term: 5, StoreAgeMs: 300}
	planner, err := rpc.New(func(r *rpc.Request) { r.Reply(pong) }, rpc.WithListen("127.0.0.1:0"))
	c.Assert(err, qt.IsNil)
	defer planner.Close()
	other, err := rpc.New(func(r *rpc.Request) {})
	c.Assert(err, qt.IsNil)
	defer other.Close()
	d := &Daemon{c: Config{Name: "another"}, rpc: other}
	p := stepfold.Planner{Entry: "planner", BootID: "b1", Address: planner.Address(), Term: 5}
	c.Check(d.ask(context.Background(), p), qt.Equals, healthPlans)
	pong.StoreAgeMs = int(beatLost.Milliseconds())
	c.Check(d.ask(context.Background(), p), qt.Equals, healthUnknown)
	pong.StoreAgeMs, pong.Term = 300, 4
	c.Check(d.ask(context.Background(), p), qt.Equals, healthUnknown)
}
