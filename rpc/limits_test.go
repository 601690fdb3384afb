package rpc

import (
	"sync/atomic"
	"testing"

	qt "github.com/frankban/quicktest"
)

// TestEmptyFramesAreCounted guards against a peer that queues any number of empty frames,
// which take more memory than their bytes.
func TestEmptyFramesAreCounted(t *testing.T) {
	var sent atomic.Int64
	s := newStream(nil, &sent)
	n := 0
	for n < 4_000_000 && s.enqueue(nil) {
		n++
	}
	qt.Assert(t, n < 2_000_000, qt.IsTrue, qt.Commentf("%d frames", n))
}
