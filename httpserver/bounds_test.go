package httpserver

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"celerypoint.example/celerypoint/connlimit"
)

// answerTimeout bounds the wait for a response or the end of a connection.
const answerTimeout = 10 * time.Second

// client is a connection to a server under test.
type client struct {
	c *qt.C
	net.Conn
	responses *bufio.Reader
}

func connect(c *qt.C, s *Server) *client {
	conn, err := net.Dial("tcp", s.Address())
	c.Assert(err, qt.IsNil)
	c.Cleanup(func() { _ = conn.Close() })
	c.Assert(conn.SetReadDeadline(time.Now().Add(answerTimeout)), qt.IsNil)
	return &client{c, conn, bufio.NewReader(conn)}
}

func (l *client) send(text string) {
	_, err := io.WriteString(l, text)
	l.c.Assert(err, qt.IsNil)
}

// receive reads a response with its body.
func (l *client) receive() *http.Response {
	response, err := http.ReadResponse(l.responses, nil)
	l.c.Assert(err, qt.IsNil)
	_, err = io.Copy(io.Discard, response.Body)
	l.c.Assert(err, qt.IsNil)
	return response
}

// expectClosed checks that the server closes the connection without a further response.
func (l *client) expectClosed() {
	_, err := l.responses.ReadByte()
	if timeout, ok := err.(net.Error); err == nil || ok && timeout.Timeout() {
		l.c.Errorf("the connection is open: %v", err)
	}
}

func serve(c *qt.C, h http.HandlerFunc, options ...Option) *Server {
	s, err := New("127.0.0.1:0", 8, h, options...)
	c.Assert(err, qt.IsNil)
	c.Cleanup(func() { s.Close(time.Second) })
	return s
}

// post returns a request with a body of n bytes.
func post(n int) string {
	return fmt.Sprintf("POST / HTTP/1.1\r\nHost: a\r\nContent-Length: %d\r\n\r\n%s", n, strings.Repeat("b", n))
}

// TestRefusedRequestsAreNotHandled guards against a request over the limits that is handled
// although it is refused, and against one that is refused without a word where it can be said.
func TestRefusedRequestsAreNotHandled(t *testing.T) {
	for name, tt := range map[string]struct {
		text, reason string
		status       int
	}{
		"announced body":  {"POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 5000\r\n\r\nb", refusalBody, http.StatusRequestEntityTooLarge},
		"chunked body":    {"POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n1000\r\n" + strings.Repeat("b", 0x1000) + "\r\n1\r\nb\r\n0\r\n\r\n", refusalBody, http.StatusRequestEntityTooLarge},
		"header lines":    {"GET / HTTP/1.1\r\nHost: a\r\n" + strings.Repeat("a: b\r\n", 600) + "\r\n", refusalHead, http.StatusRequestHeaderFieldsTooLarge},
		"header line":     {"GET / HTTP/1.1\r\nHost: a\r\na: " + strings.Repeat("b", 70<<10), refusalHead, http.StatusRequestHeaderFieldsTooLarge},
		"path":            {"GET /" + strings.Repeat("b", 70<<10), refusalHead, http.StatusRequestHeaderFieldsTooLarge},
		"trailers":        {"POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\nTrailer: a, b\r\n\r\n0\r\n" + strings.Repeat("a: b\r\n", 600) + "\r\n", refusalHead, http.StatusRequestHeaderFieldsTooLarge},
		"chunk extension": {"POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n1;" + strings.Repeat("b", 256<<10), "", 0},
	} {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			var handled atomic.Int64
			refusals := make(chan connlimit.Refusal, 10)
			s := serve(c, func(w http.ResponseWriter, _ *http.Request) {
				handled.Add(1)
				Reply(w, http.StatusOK, "text/plain", nil)
			}, WithMaxBody(4096), WithRefusalHandler(func(r connlimit.Refusal) { refusals <- r }))
			l := connect(c, s)
			_, _ = io.WriteString(l, tt.text)
			// The answer may be lost if the client still sends as the connection is closed.
			if response, err := http.ReadResponse(l.responses, nil); err == nil {
				c.Check(response.StatusCode, qt.Equals, tt.status)
			} else {
				c.Check(len(tt.text) > 4096 || tt.status == 0, qt.IsTrue, qt.Commentf("%v", err))
			}
			if tt.reason != "" {
				c.Check(<-refusals, qt.Equals, connlimit.Refusal{Reason: tt.reason, Remote: l.LocalAddr().String()})
			}
			c.Check(handled.Load(), qt.Equals, int64(0))
			l = connect(c, s)
			l.send("GET / HTTP/1.1\r\nHost: a\r\n\r\n")
			c.Check(l.receive().StatusCode, qt.Equals, http.StatusOK)
		})
	}
}

// TestIncompleteRequestsEnd guards against a request that is sent for ever a byte at a time, and
// against the same time limit ending an idle connection or a request whose handler takes long.
func TestIncompleteRequestsEnd(t *testing.T) {
	c := qt.New(t)
	const timeout = 300 * time.Millisecond
	s := serve(c, func(w http.ResponseWriter, _ *http.Request) {
		time.Sleep(2 * timeout)
		Reply(w, http.StatusOK, "text/plain", nil)
	}, WithRequestTimeout(timeout))
	idle := connect(c, s)
	for _, head := range []string{"", post(10) + "GET / HTTP/1.1\r\na: ", "POST / HTTP/1.1\r\nContent-Length: 1000\r\n\r\n"} {
		endless := connect(c, s)
		endless.send(head)
		var err error
		for n := 0; n < 1000 && err == nil; n++ {
			_, err = endless.Write([]byte("G"))
			time.Sleep(timeout / 20)
		}
		c.Check(err, qt.IsNotNil, qt.Commentf("after %q", head))
	}
	for range 2 {
		idle.send(post(10))
		c.Check(idle.receive().StatusCode, qt.Equals, http.StatusOK)
		time.Sleep(2 * timeout)
	}
}

// TestRequestsInARowHaveTheirOwnTime guards against a client that sends request after request, so
// that a part of the next one always has arrived, and is cut off by the time limit of one request.
func TestRequestsInARowHaveTheirOwnTime(t *testing.T) {
	c := qt.New(t)
	const timeout, count = 400 * time.Millisecond, 40
	s := serve(c, func(w http.ResponseWriter, _ *http.Request) { Reply(w, http.StatusOK, "text/plain", nil) }, WithRequestTimeout(timeout))
	l := connect(c, s)
	rest := strings.Repeat(post(100), count)
	for piece := len(post(100)); rest != ""; time.Sleep(timeout / 10) {
		// Each piece ends in the middle of a request.
		n := min(len(rest), piece)
		if len(rest) == count*piece {
			n = piece / 2
		}
		l.send(rest[:n])
		rest = rest[n:]
	}
	for range count {
		c.Assert(l.receive().StatusCode, qt.Equals, http.StatusOK)
	}
}

// TestRequestsInProgressAreBounded guards against large requests in progress that together take
// any memory, against a refusal of one that has been handled, and against small requests that
// are refused because of large ones.
func TestRequestsInProgressAreBounded(t *testing.T) {
	c := qt.New(t)
	release := make(chan struct{})
	var handled atomic.Int64
	s := serve(c, func(w http.ResponseWriter, r *http.Request) {
		handled.Add(1)
		if r.ContentLength > 1000 {
			<-release
		}
		Reply(w, http.StatusOK, "text/plain", nil)
	}, WithLimits(connlimit.Limits{Connections: 10, HeldBytes: 1 << 20, ActiveBytes: 100 << 10}))
	first, second, small := connect(c, s), connect(c, s), connect(c, s)
	first.send(post(60 << 10))
	for handled.Load() == 0 {
		time.Sleep(time.Millisecond)
	}
	second.send(post(60 << 10))
	response := second.receive()
	c.Check(response.StatusCode, qt.Equals, http.StatusServiceUnavailable)
	c.Check(response.Header.Get("Retry-After"), qt.Not(qt.Equals), "")
	c.Check(handled.Load(), qt.Equals, int64(1))
	small.send(post(100))
	c.Check(small.receive().StatusCode, qt.Equals, http.StatusOK)
	close(release)
	c.Check(first.receive().StatusCode, qt.Equals, http.StatusOK)
	second.send(post(60 << 10))
	c.Check(second.receive().StatusCode, qt.Equals, http.StatusOK)
}

// TestClosedConnectionsHoldNothing guards against what a connection holds that stays when the
// connection is closed, and against requests that are handled after that.
func TestClosedConnectionsHoldNothing(t *testing.T) {
	c := qt.New(t)
	release := make(chan struct{})
	var handled atomic.Int64
	s := serve(c, func(w http.ResponseWriter, _ *http.Request) {
		handled.Add(1)
		<-release
		Reply(w, http.StatusOK, "text/plain", nil)
	}, WithLimits(connlimit.Limits{Connections: 10, HeldBytes: 100 << 10, ActiveBytes: 100 << 10}))
	ahead, large := connect(c, s), connect(c, s)
	ahead.send(post(20<<10) + post(20<<10) + post(20<<10) + "POST / HTTP/1.1\r\nContent-Length: 20000\r\n\r\n" + strings.Repeat("b", 10000))
	// The first is in progress, two wait for it, and a part of the fourth has arrived.
	for held := int64(0); held < 55<<10 || handled.Load() == 0; _, held, _ = s.Usage() {
		time.Sleep(time.Millisecond)
	}
	large.send("POST / HTTP/1.1\r\nContent-Length: 50000\r\n\r\n" + strings.Repeat("b", 49000))
	// Both hold more than the limit together. The one that holds most is closed.
	ahead.expectClosed()
	close(release)
	large.send(strings.Repeat("b", 1000))
	c.Check(large.receive().StatusCode, qt.Equals, http.StatusOK)
	c.Check(handled.Load(), qt.Equals, int64(2))
	_ = large.Close()
	for deadline := time.Now().Add(answerTimeout); ; time.Sleep(time.Millisecond) {
		connections, held, active := s.Usage()
		if connections == 0 && held == 0 && active == 0 {
			return
		}
		if time.Now().After(deadline) {
			c.Fatalf("%d connections, %d held and %d active bytes are left", connections, held, active)
		}
	}
}

// TestIdleConnectionsHoldNothing guards against clients that are idle and count as if they held a
// part of a request, so that they are closed for it.
func TestIdleConnectionsHoldNothing(t *testing.T) {
	c := qt.New(t)
	s := serve(c, func(w http.ResponseWriter, _ *http.Request) { Reply(w, http.StatusOK, "text/plain", nil) })
	for _, text := range []string{
		"GET / HTTP/1.1\r\nHost: a\r\n\r\n", "GET / HTTP/1.1\r\nHost:  a  \r\n\r\n", post(100), post(100_000), strings.Repeat(post(10), 10),
		"POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n" + strings.Repeat("1\r\nb\r\n", 5000) + "0\r\n\r\n",
		"POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n" + strings.Repeat("100\r\n"+strings.Repeat("b", 0x100)+"\r\n", 500) + "0\r\n\r\n",
	} {
		l := connect(c, s)
		l.send(text)
		for range max(1, strings.Count(text, "HTTP/1.1")) {
			c.Assert(l.receive().StatusCode, qt.Equals, http.StatusOK)
		}
		for deadline := time.Now().Add(answerTimeout); ; time.Sleep(time.Millisecond) {
			_, held, _ := s.Usage()
			if held == 0 {
				break
			}
			if time.Now().After(deadline) {
				c.Fatalf("%d bytes are held after %.60q", held, text)
			}
		}
	}
}

// TestUnreadResponsesAreBounded guards against responses that clients do not read and that the
// server keeps for them, and against a client that reads slowly and is cut off for them.
func TestUnreadResponsesAreBounded(t *testing.T) {
	c := qt.New(t)
	const size, limit = 1 << 20, 12 << 20
	var most atomic.Int64
	var s *Server
	s = serve(c, func(w http.ResponseWriter, r *http.Request) {
		_, held, _ := s.Usage()
		most.Store(max(most.Load(), held))
		Reply(w, http.StatusOK, "text/plain", make([]byte, size))
	}, WithLimits(connlimit.Limits{Connections: 100, HeldBytes: limit, ActiveBytes: 1 << 20}))
	const get = "GET / HTTP/1.1\r\nHost: a\r\n\r\n"
	slow := connect(c, s)
	slow.send(get)
	for range 10 {
		unread := connect(c, s)
		_, _ = io.WriteString(unread, strings.Repeat(get, 40))
	}
	response, err := http.ReadResponse(slow.responses, nil)
	c.Assert(err, qt.IsNil)
	read := 0
	for buffer := make([]byte, 64<<10); err == nil; time.Sleep(time.Millisecond) {
		var n int
		n, err = response.Body.Read(buffer)
		read += n
	}
	c.Check(err, qt.Equals, io.EOF)
	c.Check(read, qt.Equals, size)
	c.Check(most.Load() <= limit, qt.IsTrue, qt.Commentf("%d bytes", most.Load()))
}

// TestIdleConnectionsMakeRoom guards against a server that takes no more connections because
// others are open and unused.
func TestIdleConnectionsMakeRoom(t *testing.T) {
	c := qt.New(t)
	s := serve(c, func(w http.ResponseWriter, _ *http.Request) { Reply(w, http.StatusOK, "text/plain", nil) },
		WithLimits(connlimit.Limits{Connections: 4, HeldBytes: 1 << 20, ActiveBytes: 1 << 20}))
	known := connect(c, s)
	known.send(post(1))
	c.Check(known.receive().StatusCode, qt.Equals, http.StatusOK)
	silent := connect(c, s)
	for range 6 {
		l := connect(c, s)
		l.send(post(1))
		c.Check(l.receive().StatusCode, qt.Equals, http.StatusOK)
		known.send(post(1))
		c.Check(known.receive().StatusCode, qt.Equals, http.StatusOK)
	}
	silent.expectClosed()
}
