package rpc

import (
	"context"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// TestOversizedResult guards against a caller that waits until its deadline because
// the result of its call does not fit into a frame and is not sent.
func TestOversizedResult(t *testing.T) {
	c := qt.New(t)
	server, err := New(func(r *Request) { r.Reply(strings.Repeat("x", MaxFrameBytes)) }, WithListen("127.0.0.1:0"))
	c.Assert(err, qt.IsNil)
	defer server.Close()
	client, err := New(func(*Request) {})
	c.Assert(err, qt.IsNil)
	defer client.Close()
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	conn, err := client.Dial(ctx, server.Address())
	c.Assert(err, qt.IsNil)
	var text string
	err = conn.Call(ctx, "read", nil, &text)
	c.Assert(err, qt.ErrorMatches, "rpc: read: rpc: result of 1048578 bytes, allowed: at most .*")
}
