package rpc

import (
	"encoding/binary"
	"encoding/json"
	"fmt"
	"io"
	"sync"
	"sync/atomic"

	"celerypoint.example/celerypoint/boottime"
)

// headerBytes is the size of a frame's length field.
const headerBytes = 4

// frameOverhead is what a queued frame counts beside its bytes. Peers could otherwise queue
// any number of empty ones.
const frameOverhead = 64

// transport is the part of *nbio.Conn that stream uses.
type transport interface {
	io.WriteCloser
	CloseWithError(error) error
}

// stream implements jsonrpc2.ObjectStream for a connection. It splits the
// received bytes into frames and queues them for the goroutine that reads
// messages.
type stream struct {
	conn transport
	// bytesSent counts the bytes written to all connections of the engine.
	bytesSent *atomic.Int64
	// receivedAt is when bytes last arrived, in Unix nanoseconds on CLOCK_BOOTTIME.
	receivedAt atomic.Int64
	// partial holds the received bytes of an incomplete frame. Only the goroutine
	// of nbio's poller uses it.
	partial []byte
	// broken is set when the bytes cannot be split into frames any more, or too many frames
	// are queued. All further bytes are ignored. It is used as partial is.
	broken bool
	// onClose is called once, when the connection closes.
	onClose func()

	mu sync.Mutex
	// ready is signalled when a frame is queued and when closed is set.
	ready *sync.Cond
	// frames holds the JSON texts of the complete frames that ReadObject has not
	// returned yet. queuedBytes is the sum of their sizes, with frameOverhead for each.
	frames      [][]byte
	queuedBytes int
	closed      bool
}

func newStream(c transport, bytesSent *atomic.Int64) *stream {
	s := &stream{conn: c, bytesSent: bytesSent}
	s.ready = sync.NewCond(&s.mu)
	s.receivedAt.Store(boottime.Now().UnixNano())
	return s
}

// feed handles bytes that the poller received. It copies them, because the
// poller reuses the slice.
func (s *stream) feed(data []byte) {
	s.receivedAt.Store(boottime.Now().UnixNano())
	if s.broken {
		return
	}
	s.partial = append(s.partial, data...)
	consumed := 0
	for len(s.partial)-consumed >= headerBytes {
		size := int(binary.BigEndian.Uint32(s.partial[consumed:]))
		if size > MaxFrameBytes {
			s.breakOff(fmt.Errorf("rpc: frame of %d bytes, allowed: at most %d", size, MaxFrameBytes))
			return
		}
		if len(s.partial)-consumed < headerBytes+size {
			break
		}
		frame := make([]byte, size)
		copy(frame, s.partial[consumed+headerBytes:])
		consumed += headerBytes + size
		if !s.enqueue(frame) {
			s.breakOff(fmt.Errorf("rpc: more than %d bytes of received frames are queued", maxQueuedBytes))
			return
		}
	}
	s.partial = append(s.partial[:0], s.partial[consumed:]...)
	if len(s.partial) == 0 && cap(s.partial) > MaxFrameBytes/4 {
		s.partial = nil
	}
}

// breakOff closes the connection because of what it has received.
func (s *stream) breakOff(cause error) {
	s.broken, s.partial = true, nil
	_ = s.conn.CloseWithError(cause)
}

func (s *stream) enqueue(frame []byte) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	size := len(frame) + frameOverhead
	if s.queuedBytes+size > maxQueuedBytes {
		return false
	}
	s.frames = append(s.frames, frame)
	s.queuedBytes += size
	s.ready.Signal()
	return true
}

func (s *stream) closeQueue() {
	s.mu.Lock()
	first := !s.closed
	s.closed = true
	s.ready.Broadcast()
	s.mu.Unlock()
	if first && s.onClose != nil {
		s.onClose()
	}
}

// ReadObject waits for the next frame and decodes it. It implements
// jsonrpc2.ObjectStream.
func (s *stream) ReadObject(v any) error {
	s.mu.Lock()
	for len(s.frames) == 0 && !s.closed {
		s.ready.Wait()
	}
	if len(s.frames) == 0 {
		s.mu.Unlock()
		return io.EOF
	}
	frame := s.frames[0]
	s.frames[0] = nil
	s.frames = s.frames[1:]
	s.queuedBytes -= len(frame) + frameOverhead
	s.mu.Unlock()
	if err := json.Unmarshal(frame, v); err != nil {
		return fmt.Errorf("rpc: frame of %d bytes is not JSON-RPC: %w", len(frame), err)
	}
	return nil
}

// WriteObject sends v as one frame. It implements jsonrpc2.ObjectStream.
func (s *stream) WriteObject(v any) error {
	body, err := json.Marshal(v)
	if err != nil {
		return fmt.Errorf("rpc: encode: %w", err)
	}
	if len(body) > MaxFrameBytes {
		return fmt.Errorf("rpc: message of %d bytes, allowed: at most %d", len(body), MaxFrameBytes)
	}
	frame := make([]byte, headerBytes+len(body))
	binary.BigEndian.PutUint32(frame, uint32(len(body)))
	copy(frame[headerBytes:], body)
	s.bytesSent.Add(int64(len(frame)))
	if _, err := s.conn.Write(frame); err != nil {
		return fmt.Errorf("rpc: write: %w", err)
	}
	return nil
}

// Close implements jsonrpc2.ObjectStream.
func (s *stream) Close() error {
	s.closeQueue()
	return s.conn.Close()
}
