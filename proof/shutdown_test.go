package proof

import (
	"net/http"
	"sync"
	"syscall"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"celerypoint.example/celerypoint/wire"
)

// sendLoad sends requests to entries that report that they are ready, as the
// platform's load balancer does, until stop is closed.
func (c *cluster) sendLoad(stop <-chan struct{}, senders int) *sync.WaitGroup {
	var ready sync.Map
	var group sync.WaitGroup
	group.Go(func() {
		for {
			for _, e := range c.entries {
				code, _, err := httpDo("GET", "http://"+e.httpAddress+"/readyz", nil)
				ready.Store(e.id, err == nil && code == http.StatusOK)
			}
			select {
			case <-stop:
				return
			case <-time.After(200 * time.Millisecond):
			}
		}
	})
	for i := range senders {
		group.Go(func() {
			for n := 0; ; n++ {
				select {
				case <-stop:
					return
				case <-time.After(50 * time.Millisecond):
				}
				e := c.entries[(i+n)%len(c.entries)]
				if ok, _ := ready.Load(e.id); ok != true {
					continue
				}
				r := urgentRequest(50+10*(n%10), 100, 1000*i+n)
				if i%2 == 0 {
					r = gangRequest(1+n%6, 300*(n%10), 100, 1000*i+n)
				}
				c.submit(e, r, 30_000)
			}
		})
	}
	return &group
}

// TestRollingRestart guards against a graceful stop that drops a request: every
// entry and every agent is stopped with SIGTERM and started again under load.
func TestRollingRestart(t *testing.T) {
	c := startCluster(t, 3, newVMs(3))
	c.putOrg("crews", wire.Shape{})
	stop := make(chan struct{})
	group := c.sendLoad(stop, 6)
	time.Sleep(time.Second)
	for _, e := range c.entries {
		began := time.Now()
		e.process.signal(syscall.SIGTERM)
		c.Check(e.process.endsWithin(40*time.Second), qt.IsTrue, qt.Commentf("%s stops", e.id))
		c.Check(e.process.cmd.ProcessState.ExitCode(), qt.Equals, 0, qt.Commentf("%s", e.id))
		c.Logf("%s stopped after %s", e.id, time.Since(began).Round(time.Millisecond))
		c.startEntry(e)
		c.waitReady()
	}
	for _, v := range c.vms {
		began := time.Now()
		v.agentProcess.signal(syscall.SIGTERM)
		c.Check(v.agentProcess.endsWithin(40*time.Second), qt.IsTrue, qt.Commentf("%s stops", v.id))
		c.Check(v.agentProcess.cmd.ProcessState.ExitCode(), qt.Equals, 0, qt.Commentf("%s", v.id))
		c.Logf("%s stopped after %s", v.id, time.Since(began).Round(time.Millisecond))
		c.startAgent(v)
		c.waitReady()
	}
	time.Sleep(time.Second)
	close(stop)
	group.Wait()
	c.Logf("%d requests", len(c.calls))
	for _, k := range c.calls {
		if k.err == nil {
			c.await(k, 40*time.Second)
		}
		c.Check(k.outcomeKind(), qt.Equals, wire.OutcomeKindAnswer, qt.Commentf("at %s, urgency %q, sent %s, told %s: error %v, status %d, outcome %+v",
			k.entry, k.request.Urgency, k.sentAt.Format("05.000"), k.toldAt.Format("05.000"), k.err, k.status, k.view.Outcome))
	}
	c.checkAll()
}
