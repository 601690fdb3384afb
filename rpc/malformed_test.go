package rpc

import (
	"context"
	"encoding/binary"
	"io"
	"net"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// malformedFrames are JSON texts, or bytes that are none, that no peer of this version
// sends.
var malformedFrames = map[string]string{
	"empty":                     "",
	"null":                      "null",
	"number":                    "17",
	"text":                      `"method"`,
	"empty object":              "{}",
	"empty batch":               "[]",
	"batch of nulls":            "[null,null]",
	"no method":                 `{"jsonrpc":"2.0","id":"1"}`,
	"method of another type":    `{"jsonrpc":"2.0","id":"1","method":7}`,
	"identifier of other type":  `{"jsonrpc":"2.0","id":{"a":1},"method":"echo"}`,
	"null identifier":           `{"jsonrpc":"2.0","id":null,"method":"echo"}`,
	"params of another type":    `{"jsonrpc":"2.0","id":"1","method":"echo","params":7}`,
	"reply to no call":          `{"jsonrpc":"2.0","id":"zz","result":1}`,
	"reply with a number":       `{"jsonrpc":"2.0","id":4,"result":1}`,
	"reply without result":      `{"jsonrpc":"2.0","id":"zz"}`,
	"reply with null error":     `{"jsonrpc":"2.0","id":"zz","error":null}`,
	"error of another type":     `{"jsonrpc":"2.0","id":"zz","error":"failed"}`,
	"result and error":          `{"jsonrpc":"2.0","id":"zz","result":1,"error":{"code":1,"message":"x"}}`,
	"invalid UTF-8":             "{\"jsonrpc\":\"2.0\",\"id\":\"1\",\"method\":\"\xff\xfe\"}",
	"not JSON":                  "\x00\x01\x02",
	"truncated":                 `{"jsonrpc":"2.0","id":"1","met`,
	"deeply nested":             strings.Repeat("[", 200_000) + strings.Repeat("]", 200_000),
	"deeply nested params":      `{"jsonrpc":"2.0","id":"1","method":"echo","params":` + strings.Repeat("[", 9_000) + strings.Repeat("]", 9_000) + `}`,
	"a million brackets":        strings.Repeat("[", 500_000) + strings.Repeat("]", 500_000),
	"a million open brackets":   strings.Repeat("[", 1_000_000),
	"a million open objects":    strings.Repeat(`{"":`, 250_000),
	"number above int64":        `{"jsonrpc":"2.0","id":99999999999999999999,"method":"echo"}`,
	"number above float64":      `{"jsonrpc":"2.0","id":1e999,"method":"echo"}`,
	"negative fraction":         `{"jsonrpc":"2.0","id":-1.5,"method":"echo"}`,
	"long identifier":           `{"jsonrpc":"2.0","id":"` + strings.Repeat("x", 1_000_000) + `","method":"echo"}`,
	"long method":               `{"jsonrpc":"2.0","id":"1","method":"` + strings.Repeat("x", 1_000_000) + `"}`,
	"many members":              `{"jsonrpc":"2.0","id":"1","method":"echo"` + strings.Repeat(`,"a":1`, 150_000) + `}`,
	"large batch":               "[" + strings.Repeat("{},", 300_000) + "{}]",
	"handler that panics":       `{"jsonrpc":"2.0","id":"1","method":"panic"}`,
	"notification that panics":  `{"jsonrpc":"2.0","method":"panic"}`,
	"duplicate keys":            `{"jsonrpc":"2.0","id":"1","id":"2","method":"echo","method":"panic"}`,
	"more bytes than one value": `{"jsonrpc":"2.0","id":"1","method":"echo"} {}`,
}

// TestMalformedFrames guards against a process that one message ends: whatever a peer
// sends, other connections are served afterwards.
func TestMalformedFrames(t *testing.T) {
	c := qt.New(t)
	server, err := New(func(r *Request) {
		if r.Method == "panic" {
			panic("malformed")
		}
		r.Reply("done")
	}, WithListen("127.0.0.1:0"))
	c.Assert(err, qt.IsNil)
	defer server.Close()
	client, err := New(func(*Request) {})
	c.Assert(err, qt.IsNil)
	defer client.Close()
	for name, frame := range malformedFrames {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			raw, err := net.Dial("tcp", server.Address())
			c.Assert(err, qt.IsNil)
			defer raw.Close()
			_, err = raw.Write(append(binary.BigEndian.AppendUint32(nil, uint32(len(frame))), frame...))
			c.Assert(err, qt.IsNil)
			if half := len(frame) / 2; half > 0 {
				// The same frame without its end, on a connection that closes.
				cut, err := net.Dial("tcp", server.Address())
				c.Assert(err, qt.IsNil)
				_, err = cut.Write(append(binary.BigEndian.AppendUint32(nil, uint32(len(frame))), frame[:half]...))
				c.Assert(err, qt.IsNil)
				c.Assert(cut.Close(), qt.IsNil)
			}
			// The server replies, closes the connection, or ignores the message.
			c.Assert(raw.SetReadDeadline(time.Now().Add(50*time.Millisecond)), qt.IsNil)
			// Only what the server does afterwards matters.
			_, _ = io.ReadAll(raw)
			ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
			defer cancel()
			conn, err := client.Dial(ctx, server.Address())
			c.Assert(err, qt.IsNil)
			defer conn.Close()
			var reply string
			c.Assert(conn.Call(ctx, "echo", nil, &reply), qt.IsNil)
			c.Assert(reply, qt.Equals, "done")
		})
	}
}
