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
func TestGone(t *testing.T) {
	c := qt.New(t)
	pong := wire.PlannerPong{Boot: "b1"}
	planner, err := rpc.New(func(r *rpc.Request) { r.Reply(pong) }, rpc.WithListen("127.0.0.1:0"))
	c.Assert(err, qt.IsNil)
	other, err := rpc.New(func(r *rpc.Request) {})
	c.Assert(err, qt.IsNil)
	defer other.Close()
	d := &Daemon{c: Config{Name: "another"}, rpc: other}
	p := stepfold.Planner{Entry: "planner", Boot: "b1", Address: planner.Address(), Term: 5}
	c.Check(d.gone(context.Background(), p), qt.IsFalse)
	pong.Boot = "b2"
	c.Check(d.gone(context.Background(), p), qt.IsTrue)
	planner.Close()
	c.Check(d.gone(context.Background(), p), qt.IsTrue)
}
