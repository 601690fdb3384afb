package rpc

import (
	"encoding/binary"
	"sync/atomic"
	"testing"
	"time"

	"celerypoint.example/celerypoint/connlimit"
	"celerypoint.example/celerypoint/wire"
)

// discardTransport drops what is sent.
type discardTransport struct{}

func (discardTransport) Write(p []byte) (int, error) { return len(p), nil }
func (discardTransport) Close() error                { return nil }
func (discardTransport) CloseWithError(error) error  { return nil }

// pendingCallTimeout bounds the wait for the end of a pending call. If the connection closes
// itself, its own goroutine ends the call, which can be after Done.
const pendingCallTimeout = 10 * time.Second

// receive passes the received bytes to a connection, in pieces that end at the given offset,
// and returns the methods that its handler got and how often a pending call was answered.
func receive(t *testing.T, data []byte, cut int) (methods []string, answers int64) {
	var answered atomic.Int64
	ended := make(chan struct{}, 2)
	e := &Engine{
		handler: func(r *Request) {
			methods = append(methods, r.Method)
			var err error
			switch len(methods) % 4 {
			case 0:
				err = r.Decode(&wire.WorkerReport{})
			case 1:
				err = r.Decode(&wire.StartRunParams{})
			case 2:
				err = r.Decode(&wire.RecordStored{})
			case 3:
				err = r.Decode(&wire.AttachParams{})
			}
			if err != nil {
				r.Fail(err)
				return
			}
			r.Reply(r.Method)
		},
		onRefused: func(r connlimit.Refusal) { t.Errorf("refused: %s", r.Reason) },
		onPanic:   func(_ *Request, v any, stack []byte) { t.Errorf("%v\n%s", v, stack) },
	}
	s := newStream(discardTransport{}, &e.bytesSent, connlimit.New(DefaultLimits), 1)
	conn := e.newConn(s, "peer")
	conn.CallAsync("call", nil, time.Now().Add(time.Hour), func([]byte, error) {
		answered.Add(1)
		select {
		case ended <- struct{}{}:
		default:
		}
	})
	s.feed(data[:cut])
	s.feed(data[cut:])
	s.closeQueue()
	<-conn.Done()
	select {
	case <-ended:
	case <-time.After(pendingCallTimeout):
	}
	conn.CallAsync("late", nil, time.Now().Add(time.Hour), func(_ []byte, err error) {
		if err == nil {
			t.Error("a closed connection sent a call")
		}
	})
	return methods, answered.Load()
}

// FuzzFrames guards against bytes of a peer that end the process, that are decoded in another
// way when they arrive in two pieces, and that answer a call twice or never.
func FuzzFrames(f *testing.F) {
	frame := func(text string) []byte {
		return append(binary.BigEndian.AppendUint32(nil, uint32(len(text))), text...)
	}
	var all []byte
	for _, text := range malformedFrames {
		if len(text) < 4096 {
			f.Add(frame(text), uint16(3))
			all = append(all, frame(text)...)
		}
	}
	f.Add(all, uint16(100))
	f.Add(frame(`{"jsonrpc":"2.0","id":"1","result":{"a":1}}`), uint16(0))
	f.Add(frame(`{"jsonrpc":"2.0","id":"1","error":{"code":1,"message":"x"}}`), uint16(9))
	f.Add(append(frame(`{"jsonrpc":"2.0","method":"report","params":{"agent":"a","boot":"b","session":1,"version":2,"worker":{"present":true}}}`), frame(`{"jsonrpc":"2.0","id":7,"method":"startRun","params":{"term":1,"run":1e30}}`)...), uint16(5))
	f.Add(binary.BigEndian.AppendUint32(nil, 1<<31), uint16(0))
	f.Add(binary.BigEndian.AppendUint32(nil, MaxFrameBytes+1), uint16(2))
	f.Fuzz(func(t *testing.T, data []byte, cut uint16) {
		whole, answers := receive(t, data, 0)
		pieces, _ := receive(t, data, min(int(cut), len(data)))
		if len(whole) != len(pieces) {
			t.Fatalf("%d requests, %d when the bytes arrive in two pieces", len(whole), len(pieces))
		}
		if answers != 1 {
			t.Fatalf("the pending call ended %d times", answers)
		}
	})
}
