package proof

import (
	"sync"
	"testing"

	qt "github.com/frankban/quicktest"

	"celerypoint.example/celerypoint/faultproxy"
	"celerypoint.example/celerypoint/wire"
)

// TestAnswersIntact guards against answers that are truncated, corrupted or
// delivered to the wrong caller when messages are delayed, split and answered
// out of order.
func TestAnswersIntact(t *testing.T) {
	c := startCluster(t, 2, newVMs(3))
	c.putOrg("crews", wire.Shape{})
	slow := faultproxy.DirectionFaults{DelayMs: 1, JitterMs: 5, PieceBytes: 1400}
	for _, e := range c.entries {
		c.setFaults(e.rpcProxy, faultproxy.Faults{Up: slow, Down: slow})
	}
	sizes := []int{0, 1, 1399, 64 << 10, 64<<10 + 1, 256<<10 + 1, 1 << 20}
	var senders sync.WaitGroup
	for i := range 60 {
		r := urgentRequest(i%50, sizes[i%len(sizes)], i)
		if i%4 == 0 {
			r = gangRequest(1+i%5, 50+i%200, sizes[i/4%len(sizes)], i)
		}
		senders.Go(func() { c.submit(c.entries[i%2], r, 40_000) })
	}
	senders.Wait()
	for _, k := range c.calls {
		c.Check(k.err, qt.IsNil)
		c.Check(k.outcomeKind(), qt.Equals, wire.OutcomeKindAnswer, qt.Commentf("%+v %+v", k.request, k.view))
	}
	c.checkAll()
}
