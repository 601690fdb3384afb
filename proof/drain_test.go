package proof

import (
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"celerypoint.example/celerypoint/faultproxy"
	"celerypoint.example/celerypoint/wire"
)

// drainBound is the time after which a leaving VM gets no new work.
const drainBound = 3 * time.Second

// TestDrainWhilePartitioned guards against new work on a VM that is leaving,
// sent by an entry that cannot hear of the drain: the entries are cut off from
// each other's messages by delay, and the log is down.
func TestDrainWhilePartitioned(t *testing.T) {
	c := startCluster(t, 2, vmsIn(3))
	c.putOrg("crews", wire.Shape{})
	leaving := c.vms[0]
	// Peers name themselves in their first message; agents go on as before.
	for _, e := range c.entries {
		c.disturb(e.proxy, faultproxy.Faults{ConnectionMatch: "peerHello", Cut: true})
	}
	c.logFaults(wire.LogFaults{Down: true})
	stop := make(chan struct{})
	var senders sync.WaitGroup
	for i := range 4 {
		senders.Go(func() {
			for n := 0; ; n++ {
				select {
				case <-stop:
					return
				case <-time.After(20 * time.Millisecond):
					c.submit(c.entries[i%2], urgent(30, 20, 100*i+n), 5000)
				}
			}
		})
	}
	time.Sleep(time.Second)
	code, body, err := httpDo("POST", "http://"+c.entries[0].http+"/v1/drain/"+leaving.id+"?draining=true", nil)
	drained := time.Now()
	c.Assert(err, qt.IsNil)
	c.Logf("drain: status %d %s", code, body)
	time.Sleep(drainBound + 3*time.Second)
	close(stop)
	senders.Wait()
	started := map[string]int{}
	for _, r := range c.runs() {
		if r.begun.After(drained.Add(drainBound)) {
			started[r.vm]++
		}
	}
	c.Logf("starts after the bound, by VM: %v", started)
	c.Check(started[leaving.id], qt.Equals, 0)
	c.Check(len(started) > 0, qt.IsTrue, qt.Commentf("the other VMs go on"))
	for _, k := range c.calls {
		c.Check(k.kind(), qt.Equals, wire.OutcomeKindAnswer, qt.Commentf("%v %+v", k.err, k.view.Outcome))
	}
	c.logFaults(wire.LogFaults{})
	for _, e := range c.entries {
		c.disturb(e.proxy, faultproxy.Faults{})
	}
	c.check()
}
