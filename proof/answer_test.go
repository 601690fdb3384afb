package proof

import (
	"sync"
	"testing"

	qt "github.com/frankban/quicktest"

	"celerypoint.example/celerypoint/faultproxy"
	"celerypoint.example/celerypoint/wire"
)

// TestWholeAnswers guards against answers that are cut, mixed up or somebody
// else's when messages are delayed, split and answered out of order.
func TestWholeAnswers(t *testing.T) {
	c := startCluster(t, 2, vmsIn(3))
	c.putOrg("crews", wire.Shape{})
	slow := faultproxy.DirectionFaults{DelayMs: 1, JitterMs: 5, PieceBytes: 1400}
	for _, e := range c.entries {
		c.disturb(e.proxy, faultproxy.Faults{Up: slow, Down: slow})
	}
	sizes := []int{0, 1, 1399, 64 << 10, 64<<10 + 1, 256<<10 + 1, 1 << 20}
	var senders sync.WaitGroup
	for i := range 60 {
		r := urgent(i%50, sizes[i%len(sizes)], i)
		if i%4 == 0 {
			r = gangOf(1+i%5, 50+i%200, sizes[i/4%len(sizes)], i)
		}
		senders.Go(func() { c.submit(c.entries[i%2], r, 40_000) })
	}
	senders.Wait()
	for _, k := range c.calls {
		c.Check(k.err, qt.IsNil)
		c.Check(k.kind(), qt.Equals, wire.OutcomeKindAnswer, qt.Commentf("%+v %+v", k.request, k.view))
	}
	c.check()
}
