package rpc

import (
	"context"
	"encoding/binary"
	"fmt"
	"net"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"celerypoint.example/celerypoint/wire"
)

const testTimeout = 10 * time.Second

func listen(t *testing.T, h Handler, options ...Option) *Engine {
	t.Helper()
	e, err := New(h, append(options, WithListen("127.0.0.1:0"))...)
	qt.Assert(t, err, qt.IsNil)
	t.Cleanup(e.Close)
	return e
}

// TestCallsShareOneConnection guards against a reply reaching the wrong call
// when replies come out of order.
func TestCallsShareOneConnection(t *testing.T) {
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	defer cancel()
	server := listen(t, func(r *Request) {
		go func() {
			var p wire.AnswerParams
			if err := r.Decode(&p); err != nil {
				r.Fail(err)
				return
			}
			time.Sleep(time.Duration(p.Rank%7) * time.Millisecond)
			r.Reply(wire.AnswerResult{Data: fmt.Sprint(p.Rank)})
		}()
	})
	client := listen(t, func(r *Request) {})
	conn, err := client.Dial(ctx, server.Address())
	qt.Assert(t, err, qt.IsNil)
	var wg sync.WaitGroup
	for i := range 200 {
		wg.Go(func() {
			var result wire.AnswerResult
			err := conn.Call(ctx, "answer", wire.AnswerParams{Rank: i}, &result)
			qt.Check(t, err, qt.IsNil)
			qt.Check(t, result.Data, qt.Equals, fmt.Sprint(i))
		})
	}
	wg.Wait()
}

// TestServerCallsBack guards against orders that cannot travel over the
// connection that an agent dialled.
func TestServerCallsBack(t *testing.T) {
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	defer cancel()
	accepted := make(chan *Conn, 1)
	server := listen(t, func(r *Request) {}, WithAccept(func(c *Conn) { accepted <- c }))
	client := listen(t, func(r *Request) { r.Reply(wire.DrainResult{Holdings: 3}) })
	_, err := client.Dial(ctx, server.Address())
	qt.Assert(t, err, qt.IsNil)
	var result wire.DrainResult
	qt.Assert(t, (<-accepted).Call(ctx, "drain", wire.DrainParams{}, &result), qt.IsNil)
	qt.Assert(t, result.Holdings, qt.Equals, 3)
}

// TestCloseEndsCalls guards against a caller that waits for ever when the
// other process dies.
func TestCloseEndsCalls(t *testing.T) {
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	defer cancel()
	server := listen(t, func(r *Request) { r.Conn.Close() })
	client := listen(t, func(r *Request) {})
	conn, err := client.Dial(ctx, server.Address())
	qt.Assert(t, err, qt.IsNil)
	err = conn.Call(ctx, "run", wire.ConfirmParams{}, nil)
	qt.Assert(t, err, qt.ErrorIs, ErrClosed)
	<-conn.Done()
}

// TestBadFrames guards against a peer that sends garbage taking the process
// down or reaching a handler.
func TestBadFrames(t *testing.T) {
	server := listen(t, func(r *Request) { r.Fail(fmt.Errorf("unexpected call of %s", r.Method)) })
	huge := binary.BigEndian.AppendUint32(nil, MaxFrameBytes+1)
	garbage := append(binary.BigEndian.AppendUint32(nil, 4), "{{{{"...)
	for name, frame := range map[string][]byte{"too long": huge, "not JSON": garbage} {
		t.Run(name, func(t *testing.T) {
			c, err := net.Dial("tcp", server.Address())
			qt.Assert(t, err, qt.IsNil)
			defer c.Close()
			_, err = c.Write(frame)
			qt.Assert(t, err, qt.IsNil)
			qt.Assert(t, c.SetReadDeadline(time.Now().Add(testTimeout)), qt.IsNil)
			_, err = c.Read(make([]byte, 1))
			qt.Assert(t, err, qt.ErrorMatches, "EOF|.*connection reset by peer")
		})
	}
}

// TestCallAsync guards against a call whose callback is lost or called twice: after
// a reply, after the deadline, and after the connection closes.
func TestCallAsync(t *testing.T) {
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	defer cancel()
	server := listen(t, func(r *Request) {
		if r.Method == "drain" {
			r.Reply(wire.DrainResult{Holdings: 3})
		}
	})
	client := listen(t, func(r *Request) {})
	conn, err := client.Dial(ctx, server.Address())
	qt.Assert(t, err, qt.IsNil)
	results := make(chan error, 8)
	send := func(method string, deadline time.Time) {
		conn.CallAsync(method, wire.DrainParams{}, deadline, func(_ []byte, err error) { results <- err })
	}
	send("drain", time.Now().Add(testTimeout))
	qt.Assert(t, <-results, qt.IsNil)
	send("run", time.Now().Add(20*time.Millisecond))
	qt.Assert(t, <-results, qt.ErrorIs, ErrTimeout)
	send("run", time.Now().Add(testTimeout))
	conn.Close()
	qt.Assert(t, <-results, qt.ErrorIs, ErrClosed)
	send("drain", time.Now().Add(testTimeout))
	qt.Assert(t, <-results, qt.ErrorIs, ErrClosed)
	qt.Assert(t, results, qt.HasLen, 0)
}
