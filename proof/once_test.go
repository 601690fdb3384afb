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
// key that is sent through several entries at once while the log's answers to
// appends are lost, and against two outcomes for one key.
func TestOnceUnderLostAppends(t *testing.T) {
	c := startCluster(t, 3, vmsIn(3))
	c.putOrg("crews", wire.Shape{})
	const keys = 8
	c.logFaults(wire.LogFaults{LoseAnswers: 2 * keys})
	var senders sync.WaitGroup
	for key := range keys {
		for _, e := range c.entries {
			senders.Go(func() {
				c.submit(e, once(fmt.Sprintf("key-%d", key), 1+key%2*3, 300, 100, key), 30_000)
			})
		}
	}
	senders.Wait()
	c.logFaults(wire.LogFaults{})
	outcomes := map[string][]wire.OutcomeKind{}
	for _, k := range c.calls {
		if k.err == nil && k.view.Outcome == nil {
			c.await(k, 30*time.Second)
		}
		if k.err == nil {
			outcomes[k.request.IdempotencyKey] = append(outcomes[k.request.IdempotencyKey], k.kind())
		}
	}
	c.Logf("%v", outcomes)
	c.Assert(outcomes, qt.HasLen, keys)
	c.check()
}

// TestOnceUnderAgentRestart guards against a second start, and against an
// outcome that says not run, when the agent is killed right after the start
// and comes back without its memory.
func TestOnceUnderAgentRestart(t *testing.T) {
	c := startCluster(t, 2, vmsIn(2))
	c.putOrg("crews", wire.Shape{})
	for round := range 4 {
		k := c.submit(c.entries[round%2], once(fmt.Sprintf("restart-%d", round), 10, 3000, 100, round), 0)
		// The start comes some 10 to 100 ms after the acceptance.
		time.Sleep(time.Duration(c.random.IntN(120)) * time.Millisecond)
		v := c.vms[round%2]
		v.agent.kill()
		time.Sleep(time.Duration(c.random.IntN(1000)) * time.Millisecond)
		c.startAgent(v)
		c.await(k, 30*time.Second)
		c.Logf("round %d: %s %s %s", round, k.kind(), k.view.Outcome.Rule, k.view.Outcome.Reason)
		c.waitReady()
	}
	c.check()
}
