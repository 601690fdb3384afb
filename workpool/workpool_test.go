package workpool

import (
	"sync/atomic"
	"testing"

	qt "github.com/frankban/quicktest"
)

// TestSubmitRejectsWhenFull guards against an unbounded queue: work beyond the depth is
// refused at once, and everything accepted runs before Close returns.
func TestSubmitRejectsWhenFull(t *testing.T) {
	p := New(1, 2)
	hold := make(chan struct{})
	taken := make(chan struct{})
	var ran atomic.Int32
	qt.Assert(t, p.Submit(func() { close(taken); <-hold }), qt.IsNil)
	<-taken
	qt.Assert(t, p.Submit(func() { ran.Add(1) }), qt.IsNil)
	qt.Assert(t, p.Submit(func() { ran.Add(1) }), qt.IsNil)
	qt.Assert(t, p.Submit(func() { ran.Add(1) }), qt.ErrorIs, ErrFull)
	close(hold)
	p.Close()
	qt.Assert(t, ran.Load(), qt.Equals, int32(2))
	qt.Assert(t, p.Submit(func() {}), qt.ErrorIs, ErrClosed)
}
