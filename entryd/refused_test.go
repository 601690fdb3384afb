package entryd

import (
	"slices"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"celerypoint.example/celerypoint/wire"
)

// TestRefusingPathToPeer guards against a peer that is lost by a refusal while its hellos arrive.
func TestRefusingPathToPeer(t *testing.T) {
	s := startCluster(t, 1, 0)
	d := s.entries[0]
	live := func() bool { return slices.Contains(d.eligiblePeers(time.Now()), "e9") }
	hello := wire.PeerHello{ID: "e9", Address: "127.0.0.1:1", Region: d.cfg.Region, Ready: true}
	for range 4 {
		d.updatePeer(nil, hello, false)
		for range 25 {
			time.Sleep(d.cfg.HelloInterval / 25)
			qt.Assert(t, live(), qt.IsTrue)
		}
	}
	last := time.Now()
	s.waitFor("the peer is lost", func() bool { return !live() })
	qt.Assert(t, time.Since(last) < d.cfg.PeerLostTimeout, qt.IsTrue)
}
