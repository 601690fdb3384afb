package membership

import (
	"fmt"
	"testing"

	"pgregory.net/rapid"
)

// TestLossMovesOnlyOwnedKeys guards against the loss of a peer changing the
// owner of a key that the lost peer did not own, and against an Owner that is not
// the first peer of Ranked.
func TestLossMovesOnlyOwnedKeys(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(1, 12).Draw(t, "peers")
		var peers []string
		for i := range n {
			peers = append(peers, fmt.Sprintf("entry%d", i))
		}
		key := rapid.String().Draw(t, "key")
		ranked := Ranked(key, peers)
		if got := Owner(key, peers); got != ranked[0] {
			t.Fatalf("Owner = %q, first of Ranked = %q", got, ranked[0])
		}
		lost := rapid.IntRange(0, n-1).Draw(t, "lost")
		rest := append(append([]string{}, peers[:lost]...), peers[lost+1:]...)
		if len(rest) > 0 && ranked[0] != peers[lost] {
			if got := Owner(key, rest); got != ranked[0] {
				t.Fatalf("Owner after losing %q = %q, want %q", peers[lost], got, ranked[0])
			}
		}
	})
}
