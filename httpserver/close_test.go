package httpserver

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// TestLargeBodyThenClose guards against a response that is truncated when the
// client sends "Connection: close" and reads slowly.
func TestLargeBodyThenClose(t *testing.T) {
	c := qt.New(t)
	const size = 20 << 20
	s, err := New("127.0.0.1:0", 4, http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		Reply(w, http.StatusOK, "application/octet-stream", make([]byte, size))
	}))
	c.Assert(err, qt.IsNil)
	defer s.Close(time.Second)
	conn, err := net.Dial("tcp", s.Address())
	c.Assert(err, qt.IsNil)
	defer func() { _ = conn.Close() }()
	_, err = conn.Write([]byte("GET / HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n"))
	c.Assert(err, qt.IsNil)
	time.Sleep(300 * time.Millisecond)
	c.Assert(conn.SetReadDeadline(time.Now().Add(10*time.Second)), qt.IsNil)
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	c.Assert(err, qt.IsNil)
	got, err := io.ReadAll(response.Body)
	c.Assert(err, qt.IsNil)
	c.Assert(len(got), qt.Equals, size)
}
