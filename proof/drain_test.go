package proof

import (
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"celerypoint.example/celerypoint/faultproxy"
	"celerypoint.example/celerypoint/wire"
)

// drainBound is the longest time for which a VM may still get new work after an
// entry was told to drain it.
const drainBound = 3 * time.Second

// TestDrainWhilePartitioned guards against new work on a draining VM that is
// sent by an entry which cannot learn of the drain: the connections between the
// entries are cut, and the log is down.
func TestDrainWhilePartitioned(t *testing.T) {
	c := startCluster(t, 2, newVMs(3))
	c.putOrg("crews", wire.Shape{})
	draining := c.vms[0]
	// The first message on a connection between entries is peerHello, so only
	// these connections are cut. Those of agents are not.
	for _, e := range c.entries {
		c.setFaults(e.rpcProxy, faultproxy.Faults{ConnectionMatch: "peerHello", Cut: true})
	}
	c.setLogFaults(wire.LogFaults{Down: true})
	stop := make(chan struct{})
	var senders sync.WaitGroup
	for i := range 4 {
		senders.Go(func() {
			for n := 0; ; n++ {
				select {
				case <-stop:
					return
				case <-time.After(20 * time.Millisecond):
					c.submit(c.entries[i%2], urgentRequest(30, 20, 100*i+n), 5000)
				}
			}
		})
	}
	time.Sleep(time.Second)
	code, body, err := httpDo("POST", "http://"+c.entries[0].httpAddress+"/v1/drain/"+draining.id+"?draining=true", nil)
	drained := time.Now()
	c.Assert(err, qt.IsNil)
	c.Logf("drain: status %d %s", code, body)
	time.Sleep(drainBound + 3*time.Second)
	close(stop)
	senders.Wait()
	started := map[string]int{}
	for _, r := range c.runs() {
		if r.startedAt.After(drained.Add(drainBound)) {
			started[r.vm]++
		}
	}
	c.Logf("starts after the bound, by VM: %v", started)
	c.Check(started[draining.id], qt.Equals, 0)
	c.Check(len(started) > 0, qt.IsTrue, qt.Commentf("the other VMs still get work"))
	for _, k := range c.calls {
		c.Check(k.outcomeKind(), qt.Equals, wire.OutcomeKindAnswer, qt.Commentf("%v %+v", k.err, k.view.Outcome))
	}
	c.setLogFaults(wire.LogFaults{})
	for _, e := range c.entries {
		c.setFaults(e.rpcProxy, faultproxy.Faults{})
	}
	c.checkAll()
}
