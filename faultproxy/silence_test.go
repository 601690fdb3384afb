package faultproxy

import (
	"io"
	"net"
	"os"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// TestSilence guards against a silenced connection that still transfers bytes or is closed,
// and against a new connection that is silent as well.
func TestSilence(t *testing.T) {
	c := qt.New(t)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	c.Assert(err, qt.IsNil)
	c.Cleanup(func() { _ = l.Close() })
	accepted := make(chan net.Conn, 2)
	go func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			accepted <- conn
			go func() { _, _ = io.Copy(conn, conn) }()
		}
	}()
	p := newProxy(c, l.Addr().String(), Faults{})
	echo := func(conn net.Conn, timeout time.Duration) error {
		c.Assert(conn.SetDeadline(time.Now().Add(timeout)), qt.IsNil)
		_, err := conn.Write([]byte("x"))
		c.Assert(err, qt.IsNil)
		_, err = io.ReadFull(conn, make([]byte, 1))
		return err
	}
	old := dial(c, p)
	c.Assert(echo(old, 5*time.Second), qt.IsNil)
	p.Silence()
	c.Assert(echo(old, 200*time.Millisecond), qt.ErrorIs, os.ErrDeadlineExceeded)
	_ = (<-accepted).Close()
	c.Assert(p.SetFaults(Faults{}), qt.IsNil)
	c.Assert(echo(old, 200*time.Millisecond), qt.ErrorIs, os.ErrDeadlineExceeded)
	c.Assert(echo(dial(c, p), 5*time.Second), qt.IsNil)
	c.Assert(old.Close(), qt.IsNil)
	waitOpen(c, p, 1)
}
