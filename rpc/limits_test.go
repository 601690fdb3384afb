package rpc

import (
	"context"
	"encoding/binary"
	"errors"
	"fmt"
	"strings"
	"sync/atomic"
	"testing"

	qt "github.com/frankban/quicktest"

	"celerypoint.example/celerypoint/connlimit"
)

// TestEmptyFramesAreCounted guards against a peer that queues any number of empty frames,
// which take more memory than their bytes.
func TestEmptyFramesAreCounted(t *testing.T) {
	var sent atomic.Int64
	s := newStream(nil, &sent, connlimit.New(DefaultLimits), 1)
	n := 0
	for n < 4_000_000 && s.enqueue(nil) {
		n++
	}
	qt.Assert(t, n < 2_000_000, qt.IsTrue, qt.Commentf("%d frames", n))
}

// TestLongErrorIsReturned guards against a caller that waits until its deadline because the
// error of its call, which repeats what the caller sent, does not fit into a frame.
func TestLongErrorIsReturned(t *testing.T) {
	c := qt.New(t)
	server := listen(t, func(r *Request) { r.Fail(fmt.Errorf("unknown method %q", r.Method)) })
	client := listen(t, func(*Request) {})
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	defer cancel()
	conn, err := client.Dial(ctx, server.Address())
	c.Assert(err, qt.IsNil)
	// Each quotation mark takes two bytes in the request and four in the reply.
	err = conn.Call(ctx, strings.Repeat(`"`, 400_000), nil, nil)
	c.Assert(err, qt.Satisfies, func(err error) bool {
		var refused *Error
		return errors.As(err, &refused) && strings.Contains(refused.Message, "unknown method") && strings.HasSuffix(refused.Message, "...")
	})
}

// TestBytesAfterOversizedFrameAreIgnored guards against requests that are handled twice,
// because bytes arrive after a frame that has broken off the connection.
func TestBytesAfterOversizedFrameAreIgnored(t *testing.T) {
	text := `{"jsonrpc":"2.0","method":"report","params":{}}`
	data := append(binary.BigEndian.AppendUint32(nil, uint32(len(text))), text...)
	data = binary.BigEndian.AppendUint32(data, MaxFrameBytes+1)
	methods, _ := receive(t, append(data, 0), len(data))
	qt.Check(t, methods, qt.DeepEquals, []string{"report"})
}
