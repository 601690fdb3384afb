package stepentry

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"celerypoint.example/celerypoint/platform"
	"celerypoint.example/celerypoint/standinstore"
	"celerypoint.example/celerypoint/stepplan"
)

// Guards against two planners in one term. Two entries that claim at the same
// time may choose the same term. Both then append with the same producer, epoch
// and sequence, so the store treats the second claim as a repetition of the
// first. Found in a simulated day of vordulit, which is a deployment of the users:
// scale-1, seed 39625843130.
func TestClaimsOfEqualTerm(t *testing.T) {
	c := qt.New(t)
	store, err := standinstore.New("127.0.0.1:0")
	c.Assert(err, qt.IsNil)
	defer store.Close()
	// Slow replies of the store make the claims overlap.
	store.SetFaults(standinstore.Faults{ResponseDelay: 150 * time.Millisecond})
	var daemons []*Daemon
	for _, name := range []string{"entry-1", "entry-2", "entry-3"} {
		d, err := New(Config{
			Name: name, Listen: "127.0.0.1:0", Topic: "t", ConfigTopic: platform.TopicConfiguration, Log: platform.NewStore(store.Address()),
			DecodeOperator: platform.DecodeOperatorRecord, Timing: stepplan.Timing{LeaseDuration: time.Second}, KeyGrace: time.Second,
		}, func(d *Daemon) { d.chooseTerm = func(before int64) int64 { return before + termRange } })
		c.Assert(err, qt.IsNil)
		defer d.Kill()
		daemons = append(daemons, d)
	}
	planned := false
	for deadline := time.Now().Add(3 * time.Second); time.Now().Before(deadline); time.Sleep(2 * time.Millisecond) {
		terms := map[int64]string{}
		for _, d := range daemons {
			d.planner.mu.Lock()
			term, plans := d.planner.term, d.planner.scheduler != nil
			d.planner.mu.Unlock()
			if !plans {
				continue
			}
			planned = true
			if other, found := terms[term]; found {
				c.Fatalf("%s and %s both plan in term %d", other, d.cfg.Name, term)
			}
			terms[term] = d.cfg.Name
		}
	}
	c.Assert(planned, qt.IsTrue)
}
