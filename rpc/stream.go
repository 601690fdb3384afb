package rpc

import (
	"encoding/binary"
	"encoding/json"
	"fmt"
	"io"
	"sync"
	"sync/atomic"

	"github.com/lesismal/nbio"
)

const headerBytes = 4

// stream cuts the bytes of a connection into frames and queues them for the
// goroutine that reads the connection.
type stream struct {
	raw *nbio.Conn
	// sent counts the bytes written, for the whole engine.
	sent *atomic.Int64
	// partial holds bytes of an unfinished frame. Only the poller's goroutine
	// uses it.
	partial []byte
	// onClose is called once, when the connection has closed.
	onClose func()

	mu    sync.Mutex
	ready *sync.Cond
	// frames are whole and not yet read; queued is the sum of their bytes.
	frames [][]byte
	queued int
	closed bool
}

func newStream(c *nbio.Conn, sent *atomic.Int64) *stream {
	s := &stream{raw: c, sent: sent}
	s.ready = sync.NewCond(&s.mu)
	return s
}

// feed takes bytes from the poller, which reuses the slice afterwards.
func (s *stream) feed(data []byte) {
	s.partial = append(s.partial, data...)
	used := 0
	for len(s.partial)-used >= headerBytes {
		size := int(binary.BigEndian.Uint32(s.partial[used:]))
		if size > MaxFrameBytes {
			_ = s.raw.CloseWithError(fmt.Errorf("rpc: frame of %d bytes, allowed: at most %d", size, MaxFrameBytes))
			return
		}
		if len(s.partial)-used < headerBytes+size {
			break
		}
		frame := make([]byte, size)
		copy(frame, s.partial[used+headerBytes:])
		used += headerBytes + size
		if !s.push(frame) {
			_ = s.raw.CloseWithError(fmt.Errorf("rpc: more than %d bytes wait to be handled", maxQueuedBytes))
			return
		}
	}
	s.partial = append(s.partial[:0], s.partial[used:]...)
	if len(s.partial) == 0 && cap(s.partial) > MaxFrameBytes/4 {
		s.partial = nil
	}
}

func (s *stream) push(frame []byte) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.queued+len(frame) > maxQueuedBytes {
		return false
	}
	s.frames = append(s.frames, frame)
	s.queued += len(frame)
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

// ReadObject waits for the next frame; it implements jsonrpc2.ObjectStream.
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
	s.queued -= len(frame)
	s.mu.Unlock()
	if err := json.Unmarshal(frame, v); err != nil {
		return fmt.Errorf("rpc: frame of %d bytes is not JSON-RPC: %w", len(frame), err)
	}
	return nil
}

// WriteObject sends one frame; it implements jsonrpc2.ObjectStream.
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
	s.sent.Add(int64(len(frame)))
	if _, err := s.raw.Write(frame); err != nil {
		return fmt.Errorf("rpc: write: %w", err)
	}
	return nil
}

// Close implements jsonrpc2.ObjectStream.
func (s *stream) Close() error {
	s.closeQueue()
	return s.raw.Close()
}
