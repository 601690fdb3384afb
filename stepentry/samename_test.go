package stepentry

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"celerypoint.example/celerypoint/platform"
	"celerypoint.example/celerypoint/standinstore"
	"celerypoint.example/celerypoint/stepplan"
)

// TestPlannerOfSameName guards against two processes of one name that take the term in turns.
func TestPlannerOfSameName(t *testing.T) {
	c := qt.New(t)
	store, err := standinstore.New("127.0.0.1:0")
	c.Assert(err, qt.IsNil)
	defer store.Close()
	start := func() *Daemon {
		d, err := New(Config{
			Name: "e", Listen: "127.0.0.1:0", Topic: "t", ConfigTopic: platform.TopicConfiguration, Log: platform.NewStore(store.Address()),
			DecodeOperator: platform.DecodeOperatorRecord, Timing: stepplan.Timing{LeaseDuration: time.Second}, KeyGrace: time.Second,
		})
		c.Assert(err, qt.IsNil)
		c.Cleanup(d.Kill)
		return d
	}
	awaitPlanner := func(d *Daemon) {
		for deadline := time.Now().Add(10 * time.Second); !d.isPlanner(); time.Sleep(5 * time.Millisecond) {
			c.Assert(time.Now().Before(deadline), qt.IsTrue)
		}
	}
	first := start()
	awaitPlanner(first)
	second := start()
	for until := time.Now().Add(heartbeatTimeout + time.Second); time.Now().Before(until); time.Sleep(5 * time.Millisecond) {
		c.Assert(first.isPlanner(), qt.IsTrue)
	}
	first.Kill()
	awaitPlanner(second)
}
