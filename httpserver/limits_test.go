package httpserver

import (
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// TestBufferedBytesAreBounded guards against a connection on which the server buffers far
// more than the largest body before it refuses the request.
func TestBufferedBytesAreBounded(t *testing.T) {
	const sent = 48 << 20
	for name, head := range map[string]string{
		"body":          "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 50331648\r\n\r\n",
		"chunk":         "POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n3000000\r\n",
		"header":        "GET / HTTP/1.1\r\nHost: a\r\nX: ",
		"path":          "GET /",
		"header's name": "GET / HTTP/1.1\r\nHost: a\r\nX",
	} {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			s, err := New("127.0.0.1:0", 4, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) { Reply(w, http.StatusOK, "text/plain", nil) }), WithMaxBody(64<<10))
			c.Assert(err, qt.IsNil)
			defer s.Close(time.Second)
			conn, err := net.Dial("tcp", s.Address())
			c.Assert(err, qt.IsNil)
			defer conn.Close()
			c.Assert(conn.SetDeadline(time.Now().Add(20*time.Second)), qt.IsNil)
			_, err = io.WriteString(conn, head)
			c.Assert(err, qt.IsNil)
			written := 0
			for chunk := []byte(strings.Repeat("x", 64<<10)); written < sent && err == nil; {
				var n int
				n, err = conn.Write(chunk)
				written += n
			}
			// The buffers of the kernel hold a few MiB.
			c.Check(written < sent/2, qt.IsTrue, qt.Commentf("%d bytes", written))
			response, err := http.Get("http://" + s.Address())
			c.Assert(err, qt.IsNil)
			c.Check(response.StatusCode, qt.Equals, http.StatusOK)
			_ = response.Body.Close()
		})
	}
}

// TestMalformedRequests guards against a server that one request ends: whatever a client
// sends, others are served afterwards.
func TestMalformedRequests(t *testing.T) {
	c := qt.New(t)
	s, err := New("127.0.0.1:0", 4, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.ReadAll(r.Body)
		Reply(w, http.StatusOK, "text/plain", nil)
	}), WithMaxBody(64<<10))
	c.Assert(err, qt.IsNil)
	defer s.Close(time.Second)
	const line = "PUT /a HTTP/1.1\r\nHost: a\r\n"
	for _, text := range []string{
		"\x00\x01", "\r\n\r\n", "GET", "GET  HTTP/1.1\r\n\r\n", "GET / HTTP/9.9\r\n\r\n", "GET / HTTP/1.1\n\n", "BREW / HTTP/1.1\r\n\r\n", "GET http://[::1 HTTP/1.1\r\n\r\n", "GET /%zz HTTP/1.1\r\n\r\n", "GET /\xff\xfe HTTP/1.1\r\n\r\n",
		line + "Content-Length: -1\r\n\r\nx", line + "Content-Length: 99999999999999999999\r\n\r\nx", line + "Content-Length: 9223372036854775807\r\n\r\nx", line + "Content-Length: 1e3\r\n\r\nx", line + "Content-Length: 1\r\nContent-Length: 2\r\n\r\nxx", line + "Content-Length:  \r\n\r\n",
		line + "Transfer-Encoding: chunked\r\n\r\n-1\r\nx", line + "Transfer-Encoding: chunked\r\n\r\nffffffffffffffff\r\nx", line + "Transfer-Encoding: chunked\r\n\r\n7fffffffffffffff\r\nx", line + "Transfer-Encoding: chunked\r\n\r\n1\r\nxyz", line + "Transfer-Encoding: chunked\r\n\r\n1;a=b\r\nx\r\n0\r\n\r\n",
		line + "Transfer-Encoding: chunked\r\nContent-Length: 5\r\n\r\n0\r\n\r\n", line + "Transfer-Encoding: gzip, chunked\r\n\r\n0\r\n\r\n", line + "Transfer-Encoding: chunked\r\nTrailer: A\r\n\r\n0\r\nB: c\r\n\r\n", line + "Transfer-Encoding: chunked\r\n\r\n0\r\n\r\nGET / HTTP/1.1\r\n",
		line + ": x\r\n\r\n", line + "\xff: x\r\n\r\n", line + "A: \xff\r\n\r\n", line + "A\r\n\r\n", line + " A: b\r\n\r\n", strings.Repeat("GET / HTTP/1.1\r\nHost: a\r\n\r\n", 200),
	} {
		conn, err := net.Dial("tcp", s.Address())
		c.Assert(err, qt.IsNil)
		_, err = io.WriteString(conn, text)
		c.Assert(err, qt.IsNil)
		c.Assert(conn.SetReadDeadline(time.Now().Add(30*time.Millisecond)), qt.IsNil)
		// The server replies, closes the connection or waits for the rest.
		_, _ = io.Copy(io.Discard, conn)
		_ = conn.Close()
		response, err := http.Get("http://" + s.Address())
		c.Assert(err, qt.IsNil, qt.Commentf("%q", text))
		c.Check(response.StatusCode, qt.Equals, http.StatusOK)
		_ = response.Body.Close()
	}
}
