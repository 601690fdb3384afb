package rpc

import (
	"context"
	"encoding/binary"
	"errors"
	"io"
	"net"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"celerypoint.example/celerypoint/connlimit"
)

// dial opens a connection of a sound peer and returns a function that calls a method with a text.
func dial(c *qt.C, e *Engine) func(method, text string) error {
	peer, err := New(func(*Request) {})
	c.Assert(err, qt.IsNil)
	c.Cleanup(peer.Close)
	conn, err := peer.Dial(context.Background(), e.Address())
	c.Assert(err, qt.IsNil)
	return func(method, text string) error {
		ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
		defer cancel()
		return conn.Call(ctx, method, text, nil)
	}
}

// TestUnfinishedFramesAreBounded guards against peers that together make the process hold any
// number of unfinished frames, and against a sound peer that is cut off for them.
func TestUnfinishedFramesAreBounded(t *testing.T) {
	c := qt.New(t)
	const limit = 4 << 20
	refused := make(chan connlimit.Refusal, 100)
	e := listen(t, func(r *Request) { r.Reply(r.Method) }, WithLimits(connlimit.Limits{Connections: 100, HeldBytes: limit, ActiveBytes: limit}),
		WithRefusalHandler(func(r connlimit.Refusal) { refused <- r }))
	call := dial(c, e)
	c.Assert(call("before", ""), qt.IsNil)
	unfinished := append(binary.BigEndian.AppendUint32(nil, MaxFrameBytes), make([]byte, MaxFrameBytes-1)...)
	for range 16 {
		conn, err := net.Dial("tcp", e.Address())
		c.Assert(err, qt.IsNil)
		defer conn.Close()
		_, err = conn.Write(unfinished)
		c.Assert(err, qt.IsNil)
		_, held, _ := e.Usage()
		c.Check(held <= limit, qt.IsTrue, qt.Commentf("%d bytes", held))
	}
	c.Check((<-refused).Reason, qt.Equals, string(connlimit.ReasonHeldBytes))
	c.Check(call("after", strings.Repeat("x", MaxFrameBytes/2)), qt.IsNil)
}

// TestUnreadRepliesAreBounded guards against peers that send calls, read no replies, and make the
// process hold them.
func TestUnreadRepliesAreBounded(t *testing.T) {
	c := qt.New(t)
	const limit = 4 << 20
	var engine atomic.Pointer[Engine]
	var most atomic.Int64
	e := listen(t, func(r *Request) {
		if e := engine.Load(); e != nil {
			_, held, _ := e.Usage()
			most.Store(max(most.Load(), held))
		}
		r.Reply(strings.Repeat("x", 256<<10))
	}, WithLimits(connlimit.Limits{Connections: 100, HeldBytes: limit, ActiveBytes: limit}))
	engine.Store(e)
	text := `{"jsonrpc":"2.0","id":1,"method":"m"}`
	frame := append(binary.BigEndian.AppendUint32(nil, uint32(len(text))), text...)
	for range 8 {
		conn, err := net.Dial("tcp", e.Address())
		c.Assert(err, qt.IsNil)
		defer conn.Close()
		for range 200 {
			if _, err := conn.Write(frame); err != nil {
				break
			}
		}
	}
	c.Check(dial(c, e)("after", ""), qt.IsNil)
	c.Check(most.Load() <= limit, qt.IsTrue, qt.Commentf("%d bytes", most.Load()))
}

// TestRequestsInProgressAreBounded guards against requests that wait for their handlers and
// together take any memory, and against a refusal of one that has been handled.
func TestRequestsInProgressAreBounded(t *testing.T) {
	c := qt.New(t)
	requests := make(chan *Request, 100)
	e := listen(t, func(r *Request) { requests <- r }, WithLimits(connlimit.Limits{Connections: 100, HeldBytes: 8 << 20, ActiveBytes: 1 << 20}))
	call := dial(c, e)
	ended := make(chan error, 2)
	large := strings.Repeat("x", 700_000)
	go func() { ended <- call("first", large) }()
	first := <-requests
	err := call("second", large)
	var refused *Error
	c.Assert(errors.As(err, &refused), qt.IsTrue, qt.Commentf("%v", err))
	c.Check(refused.Message, qt.Contains, "not handled")
	c.Check(len(requests), qt.Equals, 0)
	other := dial(c, e)
	go func() { ended <- other("small", "x") }()
	(<-requests).Reply("")
	c.Check(<-ended, qt.IsNil)
	first.Reply("")
	c.Check(<-ended, qt.IsNil)
	go func() { ended <- call("third", large) }()
	(<-requests).Reply("")
	c.Check(<-ended, qt.IsNil)
}

// TestIdleConnectionsMakeRoom guards against a peer whose call is in progress, or whose messages
// are answered, and that loses its connection to peers that were idle for less time.
func TestIdleConnectionsMakeRoom(t *testing.T) {
	c := qt.New(t)
	requests := make(chan *Request, 100)
	e := listen(t, func(r *Request) {
		if r.Method == "wait" {
			_ = r.Decode(new(string))
			requests <- r
			return
		}
		r.Reply("")
	}, WithLimits(connlimit.Limits{Connections: 3, HeldBytes: 1 << 20, ActiveBytes: 1 << 20}))
	waiting, active := dial(c, e), dial(c, e)
	ended := make(chan error, 1)
	go func() { ended <- waiting("wait", "x") }()
	request := <-requests
	for range 10 {
		c.Check(dial(c, e)("m", ""), qt.IsNil)
		c.Check(active("m", ""), qt.IsNil)
	}
	request.Reply("")
	c.Check(<-ended, qt.IsNil)
}

// TestMessagesBeforeTheEndAreHandled guards against messages of a peer that are dropped because
// the peer closes its connection after them.
func TestMessagesBeforeTheEndAreHandled(t *testing.T) {
	c := qt.New(t)
	handled := make(chan *Request, 100)
	e := listen(t, func(r *Request) { handled <- r })
	conn, err := net.Dial("tcp", e.Address())
	c.Assert(err, qt.IsNil)
	text := `{"jsonrpc":"2.0","method":"m","params":{}}`
	_, err = io.WriteString(conn, strings.Repeat(string(binary.BigEndian.AppendUint32(nil, uint32(len(text))))+text, 50))
	c.Assert(err, qt.IsNil)
	c.Assert(conn.Close(), qt.IsNil)
	for range 50 {
		select {
		case r := <-handled:
			r.Reply(nil)
		case <-time.After(testTimeout):
			c.Fatal("a message was not handled")
		}
	}
	for deadline := time.Now().Add(testTimeout); ; time.Sleep(time.Millisecond) {
		connections, held, active := e.Usage()
		if connections == 0 && held == 0 && active == 0 {
			return
		}
		if time.Now().After(deadline) {
			c.Fatalf("%d connections, %d held and %d active bytes are left", connections, held, active)
		}
	}
}
