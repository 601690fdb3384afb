package proof

import (
	"fmt"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"celerypoint.example/celerypoint/wire"
)

// TestNotRunOutcomeIsCorrect guards against a job that is reported as not run
// although a VM started it. The faults are deadlines that cannot be met, bursts
// of cancellations, a log outage and an agent that restarts.
func TestNotRunOutcomeIsCorrect(t *testing.T) {
	c := startCluster(t, 2, newVMs(2))
	c.putOrg("crews", wire.Shape{})
	var senders sync.WaitGroup
	send := func(i int) {
		r := gangRequest(1+i%6, 200+i%300, 10, i)
		switch i % 4 {
		case 0:
			r.DeadlineUnixMs = int(time.Now().Add(time.Duration(i*15) * time.Millisecond).UnixMilli())
		case 1:
			r = nonIdempotentRequest(fmt.Sprintf("notrun-%d", i), 1+i%5, 200, 10, i)
		case 2:
			r = urgentRequest(300, 10, i)
			r.DeadlineUnixMs = int(time.Now().Add(time.Duration(100+i*10) * time.Millisecond).UnixMilli())
		}
		senders.Go(func() {
			e := c.entries[i%2]
			k := c.submit(e, r, 0)
			if k.err == nil && i%3 == 0 {
				time.Sleep(time.Duration(i%7) * 10 * time.Millisecond)
				_, _, _ = httpDo("DELETE", "http://"+e.httpAddress+"/v1/jobs/"+k.view.ID, nil)
			}
		})
	}
	for i := range 40 {
		send(i)
	}
	time.Sleep(300 * time.Millisecond)
	c.setLogFaults(wire.LogFaults{Down: true})
	for i := range 20 {
		send(40 + i)
	}
	c.vms[0].agentProcess.kill()
	time.Sleep(time.Second)
	c.setLogFaults(wire.LogFaults{LoseAnswers: 3})
	c.startAgent(c.vms[0])
	for i := range 20 {
		send(60 + i)
	}
	senders.Wait()
	c.setLogFaults(wire.LogFaults{})
	counts := map[wire.OutcomeKind]int{}
	for _, k := range c.calls {
		if k.err == nil {
			c.await(k, 60*time.Second)
		}
		counts[k.outcomeKind()]++
	}
	c.Logf("outcomes: %v", counts)
	c.Assert(counts[wire.OutcomeKindNotRun] > 0, qt.IsTrue)
	c.Assert(counts[wire.OutcomeKindAnswer] > 0, qt.IsTrue)
	c.checkAll()
}
