package nbiosetup

import (
	"net"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

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

// TestAdmission guards against a connection that is not admitted and is left open, and against
// a listener that ends because of one.
func TestAdmission(t *testing.T) {
	c := qt.New(t)
	var admitted atomic.Int64
	l, err := Listen("127.0.0.1:0", WithAdmission(func(net.Conn) bool { return admitted.Add(1) > 1 }))
	c.Assert(err, qt.IsNil)
	defer l.Close()
	refused, err := net.Dial("tcp", l.Addr().String())
	c.Assert(err, qt.IsNil)
	defer refused.Close()
	accepted, err := net.Dial("tcp", l.Addr().String())
	c.Assert(err, qt.IsNil)
	defer accepted.Close()
	conn, err := l.Accept()
	c.Assert(err, qt.IsNil)
	defer conn.Close()
	c.Check(conn.RemoteAddr().String(), qt.Equals, accepted.LocalAddr().String())
	c.Assert(refused.SetReadDeadline(time.Now().Add(10*time.Second)), qt.IsNil)
	_, err = refused.Read(make([]byte, 1))
	c.Check(err, qt.Satisfies, func(err error) bool {
		timeout, ok := err.(net.Error)
		return err != nil && (!ok || !timeout.Timeout())
	})
}
