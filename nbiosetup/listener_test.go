package nbiosetup

import (
	"net"
	"sync/atomic"
	"syscall"
	"testing"

	qt "github.com/frankban/quicktest"
)

// shortListener is a listener that finds no free descriptor until it is closed.
type shortListener struct {
	accepts atomic.Int64
	closed  atomic.Bool
}

func (l *shortListener) Accept() (net.Conn, error) {
	l.accepts.Add(1)
	if l.closed.Load() {
		return nil, net.ErrClosed
	}
	return nil, &net.OpError{Op: "accept", Err: syscall.EMFILE}
}
func (l *shortListener) Close() error   { l.closed.Store(true); return nil }
func (l *shortListener) Addr() net.Addr { return &net.TCPAddr{} }

// TestAcceptPauses guards against an accept loop that runs without a pause while the process has
// no free descriptor, as nbio's does when Accept returns that error, and against a listener that
// cannot be closed meanwhile.
func TestAcceptPauses(t *testing.T) {
	c := qt.New(t)
	inner := &shortListener{}
	shortages := make(chan struct{}, 100)
	l := newListener(inner, WithShortageHandler(func() { shortages <- struct{}{} }))
	ended := make(chan error)
	go func() {
		_, err := l.Accept()
		ended <- err
	}()
	for range 3 {
		<-shortages
	}
	c.Assert(l.Close(), qt.IsNil)
	c.Check(<-ended, qt.ErrorIs, net.ErrClosed)
	// Each attempt but the last is followed by a pause.
	c.Check(inner.accepts.Load() < 10, qt.IsTrue, qt.Commentf("%d attempts", inner.accepts.Load()))
}
