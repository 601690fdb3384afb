package proof

import (
	"fmt"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"celerypoint.example/celerypoint/wire"
)

// TestOnceUnderLostAppends guards against a second start of a non-idempotent
// job whose key is sent through several entries at once while the log's
// responses to appends are lost, and against two outcomes for one key.
func TestOnceUnderLostAppends(t *testing.T) {
	c := startCluster(t, 3, newVMs(3))
	c.putOrg("crews", wire.Shape{})
	const keys = 8
	c.setLogFaults(wire.LogFaults{LoseAnswers: 2 * keys})
	var senders sync.WaitGroup
	for key := range keys {
		for _, e := range c.entries {
			senders.Go(func() {
				c.submit(e, nonIdempotentRequest(fmt.Sprintf("key-%d", key), 1+key%2*3, 300, 100, key), 30_000)
			})
		}
	}
	senders.Wait()
	c.setLogFaults(wire.LogFaults{})
	outcomes := map[string][]wire.OutcomeKind{}
	for _, k := range c.calls {
		if k.err == nil && k.view.Outcome == nil {
			c.await(k, 30*time.Second)
		}
		if k.err == nil {
			outcomes[k.request.IdempotencyKey] = append(outcomes[k.request.IdempotencyKey], k.outcomeKind())
		}
	}
	c.Logf("%v", outcomes)
	c.Assert(outcomes, qt.HasLen, keys)
	c.checkAll()
}

// TestOnceUnderAgentRestart guards against a second start of a non-idempotent
// job, and against an outcome that reports it as not run although it ran, when
// an agent is killed around the time of the start and restarts without its
// in-memory state.
func TestOnceUnderAgentRestart(t *testing.T) {
	c := startCluster(t, 2, newVMs(2))
	c.putOrg("crews", wire.Shape{})
	for round := range 4 {
		k := c.submit(c.entries[round%2], nonIdempotentRequest(fmt.Sprintf("restart-%d", round), 10, 3000, 100, round), 0)
		// The tasks start about 10 to 100 ms after the job is accepted.
		time.Sleep(time.Duration(c.random.IntN(120)) * time.Millisecond)
		v := c.vms[round%2]
		v.agentProcess.kill()
		time.Sleep(time.Duration(c.random.IntN(1000)) * time.Millisecond)
		c.startAgent(v)
		c.await(k, 30*time.Second)
		c.Logf("round %d: %s %s %s", round, k.outcomeKind(), k.view.Outcome.Rule, k.view.Outcome.Reason)
		c.waitReady()
	}
	c.checkAll()
}
