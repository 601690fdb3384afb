package faultproxy

import (
	"bytes"
	"io"
	"math/rand/v2"
	"net"
	"net/http/httptest"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// echoServer returns the address of a server that sends back what it receives on
// each connection and closes the connection when the client does.
func echoServer(c *qt.C) string {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	c.Assert(err, qt.IsNil)
	c.Cleanup(func() { _ = l.Close() })
	go func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				_, _ = io.Copy(conn, conn)
				_ = conn.Close()
			}()
		}
	}()
	return l.Addr().String()
}

func newProxy(c *qt.C, target string, f Faults) *Proxy {
	const seed = 7
	p, err := New("127.0.0.1:0", target, seed)
	c.Assert(err, qt.IsNil)
	c.Cleanup(p.Close)
	c.Assert(p.SetFaults(f), qt.IsNil)
	return p
}

func dial(c *qt.C, p *Proxy) net.Conn {
	conn, err := net.Dial("tcp", p.Address())
	c.Assert(err, qt.IsNil)
	c.Cleanup(func() { _ = conn.Close() })
	c.Assert(conn.SetDeadline(time.Now().Add(10*time.Second)), qt.IsNil)
	return conn
}

func payload(n int) []byte {
	data := make([]byte, n)
	r := rand.NewChaCha8([32]byte{1})
	_, _ = r.Read(data)
	return data
}

// TestBytesIntact guards against bytes that the proxy itself loses or reorders.
// A test that uses the proxy would report that as a fault of the product.
func TestBytesIntact(t *testing.T) {
	for name, f := range map[string]Faults{
		"no faults":        {},
		"pieces":           {Up: DirectionFaults{PieceBytes: 1000}, Down: DirectionFaults{PieceBytes: 333}},
		"delay and jitter": {Up: DirectionFaults{DelayMs: 20, JitterMs: 30}, Down: DirectionFaults{JitterMs: 30, PieceBytes: 50_000}},
	} {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			p := newProxy(c, echoServer(c), f)
			conn := dial(c, p)
			want := payload(300_000)
			go func() { _, _ = conn.Write(want) }()
			got := make([]byte, len(want))
			_, err := io.ReadFull(conn, got)
			c.Assert(err, qt.IsNil)
			c.Assert(bytes.Equal(got, want), qt.IsTrue)
			n := p.Counters()
			c.Assert([]int64{n.UpBytes, n.DownBytes, n.UpDiscarded, n.DownDiscarded}, qt.DeepEquals, []int64{300_000, 300_000, 0, 0})
		})
	}
}

// TestCloseDeliversRemainingBytes guards against losing the end of a long answer
// when the server closes right after writing it and the client reads slowly.
func TestCloseDeliversRemainingBytes(t *testing.T) {
	c := qt.New(t)
	want := payload(20 << 20)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	c.Assert(err, qt.IsNil)
	c.Cleanup(func() { _ = l.Close() })
	go func() {
		conn, err := l.Accept()
		if err == nil {
			_, _ = conn.Write(want)
			_ = conn.Close()
		}
	}()
	p := newProxy(c, l.Addr().String(), Faults{})
	conn := dial(c, p)
	time.Sleep(200 * time.Millisecond)
	got, err := io.ReadAll(conn)
	c.Assert(err, qt.IsNil)
	c.Assert(len(got), qt.Equals, len(want))
	c.Assert(bytes.Equal(got, want), qt.IsTrue)
	waitOpen(c, p, 0)
}

func waitOpen(c *qt.C, p *Proxy, want int) {
	for range 100 {
		if p.Counters().Open == want {
			return
		}
		time.Sleep(20 * time.Millisecond)
	}
	c.Fatalf("connections open = %d, want %d", p.Counters().Open, want)
}

// TestDelay guards against bytes that arrive before their delay has passed.
func TestDelay(t *testing.T) {
	c := qt.New(t)
	p := newProxy(c, echoServer(c), Faults{Up: DirectionFaults{DelayMs: 100}, Down: DirectionFaults{DelayMs: 50, JitterMs: 20}})
	conn := dial(c, p)
	began := time.Now()
	_, err := conn.Write([]byte("x"))
	c.Assert(err, qt.IsNil)
	_, err = io.ReadFull(conn, make([]byte, 1))
	c.Assert(err, qt.IsNil)
	c.Assert(time.Since(began) >= 150*time.Millisecond, qt.IsTrue)
}

// TestHold guards against bytes that pass a direction with BlockHold, and against
// losing the held bytes when the block ends.
func TestHold(t *testing.T) {
	c := qt.New(t)
	p := newProxy(c, echoServer(c), Faults{Down: DirectionFaults{Block: BlockHold}})
	conn := dial(c, p)
	_, err := conn.Write([]byte("held"))
	c.Assert(err, qt.IsNil)
	c.Assert(conn.SetReadDeadline(time.Now().Add(150*time.Millisecond)), qt.IsNil)
	_, err = conn.Read(make([]byte, 4))
	c.Assert(err, qt.ErrorMatches, ".*timeout")
	c.Assert(p.Counters().UpBytes, qt.Equals, int64(4))
	c.Assert(p.SetFaults(Faults{}), qt.IsNil)
	c.Assert(conn.SetReadDeadline(time.Now().Add(5*time.Second)), qt.IsNil)
	got := make([]byte, 4)
	_, err = io.ReadFull(conn, got)
	c.Assert(err, qt.IsNil)
	c.Assert(string(got), qt.Equals, "held")
}

// TestDiscard guards against a connection that stays in use after some of its
// bytes were discarded.
func TestDiscard(t *testing.T) {
	c := qt.New(t)
	p := newProxy(c, echoServer(c), Faults{})
	conn := dial(c, p)
	_, err := conn.Write([]byte("a"))
	c.Assert(err, qt.IsNil)
	_, err = io.ReadFull(conn, make([]byte, 1))
	c.Assert(err, qt.IsNil)
	c.Assert(p.SetFaults(Faults{Down: DirectionFaults{Block: BlockDiscard}}), qt.IsNil)
	_, err = conn.Write([]byte("bc"))
	c.Assert(err, qt.IsNil)
	for range 100 {
		if p.Counters().DownDiscarded == 2 {
			break
		}
		time.Sleep(20 * time.Millisecond)
	}
	c.Assert(p.Counters().DownDiscarded, qt.Equals, int64(2))
	c.Assert(p.Counters().Open, qt.Equals, 1)
	c.Assert(p.SetFaults(Faults{}), qt.IsNil)
	_, err = conn.Read(make([]byte, 1))
	c.Assert(err, qt.IsNotNil)
	waitOpen(c, p, 0)
}

// TestCut guards against connections that stay open or can be opened while Cut
// is set.
func TestCut(t *testing.T) {
	c := qt.New(t)
	p := newProxy(c, echoServer(c), Faults{})
	conn := dial(c, p)
	_, err := conn.Write([]byte("a"))
	c.Assert(err, qt.IsNil)
	_, err = io.ReadFull(conn, make([]byte, 1))
	c.Assert(err, qt.IsNil)
	c.Assert(p.SetFaults(Faults{Cut: true}), qt.IsNil)
	_, err = conn.Read(make([]byte, 1))
	c.Assert(err, qt.IsNotNil)
	_, err = dial(c, p).Read(make([]byte, 1))
	c.Assert(err, qt.IsNotNil)
	waitOpen(c, p, 0)
	c.Assert(p.SetFaults(Faults{}), qt.IsNil)
	again := dial(c, p)
	_, err = again.Write([]byte("b"))
	c.Assert(err, qt.IsNil)
	_, err = io.ReadFull(again, make([]byte, 1))
	c.Assert(err, qt.IsNil)
}

// TestRefuse guards against connections that stay open or are accepted while Refuse is
// set, and against a proxy that does not listen at its address again afterwards.
func TestRefuse(t *testing.T) {
	c := qt.New(t)
	p := newProxy(c, echoServer(c), Faults{})
	echo := func(conn net.Conn) error {
		if _, err := conn.Write([]byte("a")); err != nil {
			return err
		}
		_, err := io.ReadFull(conn, make([]byte, 1))
		return err
	}
	for range 3 {
		conn := dial(c, p)
		c.Assert(echo(conn), qt.IsNil)
		c.Assert(p.SetFaults(Faults{Refuse: true}), qt.IsNil)
		c.Assert(p.SetFaults(Faults{Refuse: true}), qt.IsNil)
		_, err := net.Dial("tcp", p.Address())
		c.Assert(err, qt.ErrorIs, syscall.ECONNREFUSED)
		_, err = conn.Read(make([]byte, 1))
		c.Assert(err, qt.IsNotNil)
		waitOpen(c, p, 0)
		c.Assert(p.SetFaults(Faults{}), qt.IsNil)
	}
	c.Assert(echo(dial(c, p)), qt.IsNil)
}

// TestRefuseWhileConnecting guards against a connection that is accepted while Refuse is
// being set and stays open.
func TestRefuseWhileConnecting(t *testing.T) {
	c := qt.New(t)
	p := newProxy(c, echoServer(c), Faults{})
	var clients sync.WaitGroup
	done := make(chan struct{})
	for range 4 {
		clients.Go(func() {
			for {
				select {
				case <-done:
					return
				default:
				}
				if conn, err := net.Dial("tcp", p.Address()); err == nil {
					_ = conn.Close()
				}
				time.Sleep(time.Millisecond)
			}
		})
	}
	for range 50 {
		c.Check(p.SetFaults(Faults{Refuse: true}), qt.IsNil)
		waitOpen(c, p, 0)
		c.Check(p.SetFaults(Faults{}), qt.IsNil)
		time.Sleep(5 * time.Millisecond)
	}
	close(done)
	clients.Wait()
	c.Assert(p.SetFaults(Faults{Refuse: true}), qt.IsNil)
	waitOpen(c, p, 0)
}

// TestConnectionMatch guards against faults that affect the connections of other
// clients.
func TestConnectionMatch(t *testing.T) {
	c := qt.New(t)
	p := newProxy(c, echoServer(c), Faults{})
	one, two := dial(c, p), dial(c, p)
	echo := func(conn net.Conn, text string) error {
		if _, err := conn.Write([]byte(text)); err != nil {
			return err
		}
		_, err := io.ReadFull(conn, make([]byte, len(text)))
		return err
	}
	c.Assert(echo(one, "I am v1"), qt.IsNil)
	c.Assert(echo(two, "I am v2"), qt.IsNil)
	c.Assert(p.SetFaults(Faults{ConnectionMatch: "v1", Cut: true}), qt.IsNil)
	c.Assert(echo(one, "x"), qt.IsNotNil)
	c.Assert(echo(two, "x"), qt.IsNil)
	c.Assert(echo(dial(c, p), "v1 again"), qt.IsNotNil)
	c.Assert(echo(dial(c, p), "v3"), qt.IsNil)
}

// TestTargetDown guards against a connection that stays open when the server
// cannot be reached.
func TestTargetDown(t *testing.T) {
	c := qt.New(t)
	p := newProxy(c, "127.0.0.1:1", Faults{})
	_, err := dial(c, p).Read(make([]byte, 1))
	c.Assert(err, qt.IsNotNil)
	waitOpen(c, p, 0)
}

// TestSetFaultsRejectsInvalid guards against invalid faults that are accepted or
// change the current ones.
func TestSetFaultsRejectsInvalid(t *testing.T) {
	c := qt.New(t)
	p := newProxy(c, "127.0.0.1:1", Faults{Cut: true})
	c.Assert(p.SetFaults(Faults{Up: DirectionFaults{Block: "x"}}), qt.ErrorMatches, `up.block: found "x", allowed: empty, hold, discard`)
	c.Assert(p.SetFaults(Faults{Down: DirectionFaults{DelayMs: -1}}), qt.ErrorMatches, "down: found delayMs=-1 .*")
	c.Assert(p.Faults(), qt.Equals, Faults{Cut: true})
}

// TestControlPort guards against a control port that accepts unknown fields.
func TestControlPort(t *testing.T) {
	c := qt.New(t)
	p := newProxy(c, "127.0.0.1:1", Faults{})
	post := func(body string) int {
		w := httptest.NewRecorder()
		p.Handler().ServeHTTP(w, httptest.NewRequest("POST", "/faults", strings.NewReader(body)))
		return w.Code
	}
	c.Assert(post(`{"cut":true,"up":{"block":"hold"},"down":{"delayMs":5}}`), qt.Equals, 200)
	c.Assert(p.Faults(), qt.Equals, Faults{Cut: true, Up: DirectionFaults{Block: BlockHold}, Down: DirectionFaults{DelayMs: 5}})
	c.Assert(post(`{"cutt":false}`), qt.Equals, 400)
	c.Assert(p.Faults().Cut, qt.IsTrue)
}
