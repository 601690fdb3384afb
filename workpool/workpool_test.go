package workpool

import (
	"sync/atomic"
	"testing"

	qt "github.com/frankban/quicktest"
)

// TestSubmitRejectsWhenFull guards against a queue that grows beyond its depth,
// and against a Close that returns before all accepted functions have run.
func TestSubmitRejectsWhenFull(t *testing.T) {
	p := New(1, 2)
	unblock := make(chan struct{})
	started := make(chan struct{})
	var ran atomic.Int32
	qt.Assert(t, p.Submit(func() { close(started); <-unblock }), qt.IsNil)
	<-started
	qt.Assert(t, p.Submit(func() { ran.Add(1) }), qt.IsNil)
	qt.Assert(t, p.Submit(func() { ran.Add(1) }), qt.IsNil)
	qt.Assert(t, p.Submit(func() { ran.Add(1) }), qt.ErrorIs, ErrFull)
	close(unblock)
	p.Close()
	qt.Assert(t, ran.Load(), qt.Equals, int32(2))
	qt.Assert(t, p.Submit(func() {}), qt.ErrorIs, ErrClosed)
}
