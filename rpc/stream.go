package rpc

import (
	"encoding/binary"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"celerypoint.example/celerypoint/boottime"
	"celerypoint.example/celerypoint/connlimit"
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
	// attached is set once the connection has been set up. Callbacks of nbio read it before anything
	// else: the kernel orders the two, which the race detector does not see.
	attached atomic.Bool
	// table counts what the connection holds under id, and output what has not been sent.
	table  *connlimit.Table
	id     uint64
	output *connlimit.Output
	// partialCounted is what the table counts for partial. Only the goroutine of nbio's poller
	// uses it.
	partialCounted int64
	// current is what the table counts for the frame that ReadObject has returned last, 0 once
	// a request has taken it over. Only the goroutine that reads messages uses it.
	current int64
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
	// partial holds the received bytes of an incomplete frame.
	partial []byte
	// broken is set when the bytes cannot be split into frames any more, too many frames are
	// queued, or the table has closed the connection. All further bytes are ignored.
	broken bool
}

// newStream returns the stream of a connection that has the ID in the table.
func newStream(c transport, bytesSent *atomic.Int64, t *connlimit.Table, id uint64) *stream {
	s := &stream{conn: c, bytesSent: bytesSent, table: t, id: id, output: connlimit.NewOutput(t, id)}
	s.ready = sync.NewCond(&s.mu)
	s.receivedAt.Store(boottime.Now().UnixNano())
	return s
}

// feed handles bytes that the poller received. It copies them, because the
// poller reuses the slice.
func (s *stream) feed(data []byte) {
	s.receivedAt.Store(boottime.Now().UnixNano())
	queued, partial, err := s.split(data)
	if err != nil {
		s.breakOff(err)
		return
	}
	delta := queued + partial - s.partialCounted
	s.partialCounted = partial
	if delta != 0 {
		// If the table closes this connection, closeForLimit has freed what it holds.
		s.table.Hold(s.id, delta)
	}
}

// split queues the frames that the received bytes complete. It returns the bytes that the table
// has to count for them and for the rest.
func (s *stream) split(data []byte) (queued, partial int64, err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.broken {
		return 0, 0, nil
	}
	s.partial = append(s.partial, data...)
	consumed := 0
	for len(s.partial)-consumed >= headerBytes {
		size := int(binary.BigEndian.Uint32(s.partial[consumed:]))
		if size > MaxFrameBytes {
			return 0, 0, fmt.Errorf("rpc: frame of %d bytes, allowed: at most %d", size, MaxFrameBytes)
		}
		if len(s.partial)-consumed < headerBytes+size {
			break
		}
		frame := make([]byte, size)
		copy(frame, s.partial[consumed+headerBytes:])
		consumed += headerBytes + size
		if !s.enqueue(frame) {
			return 0, 0, fmt.Errorf("rpc: more than %d bytes of received frames are queued", maxQueuedBytes)
		}
		queued += int64(size + frameOverhead)
	}
	s.partial = append(s.partial[:0], s.partial[consumed:]...)
	if len(s.partial) == 0 && cap(s.partial) > MaxFrameBytes/4 {
		s.partial = nil
	}
	return queued, int64(len(s.partial)), nil
}

// breakOff closes the connection because of what it has received. The frames before that are
// still handled.
func (s *stream) breakOff(cause error) {
	s.mu.Lock()
	s.broken, s.partial = true, nil
	s.mu.Unlock()
	_ = s.conn.CloseWithError(cause)
}

// closeForLimit closes the connection because of a limit of all connections, and drops the
// frames that it has received.
func (s *stream) closeForLimit(reason connlimit.Reason) {
	s.mu.Lock()
	s.broken, s.partial, s.frames, s.queuedBytes = true, nil, nil, 0
	s.mu.Unlock()
	_ = s.conn.CloseWithError(fmt.Errorf("rpc: connection closed: %s", reason))
}

// enqueue queues a frame. It returns false if too much is queued. The caller holds the mutex.
func (s *stream) enqueue(frame []byte) bool {
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
	s.partial = nil
	s.ready.Broadcast()
	s.mu.Unlock()
	s.table.Close(s.id)
	if first && s.onClose != nil {
		s.onClose()
	}
}

// ReadObject waits for the next frame and decodes it. It implements
// jsonrpc2.ObjectStream.
func (s *stream) ReadObject(v any) error {
	if s.current > 0 {
		s.table.Hold(s.id, -s.current)
		s.current = 0
	}
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
	s.current = int64(len(frame) + frameOverhead)
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
	s.output.Queue(len(frame))
	if _, err := s.conn.Write(frame); err != nil {
		return fmt.Errorf("rpc: write: %w", err)
	}
	if !s.output.Count() {
		return fmt.Errorf("rpc: write: %w", net.ErrClosed)
	}
	return nil
}

// takeRequest moves the frame that ReadObject has returned last, which is a request, to the
// requests in progress. It returns its bytes, and false if these are used up.
func (s *stream) takeRequest() (bytes int64, ok bool) {
	s.table.Complete(s.id, 0, time.Now())
	if !s.table.Begin(s.id, s.current) {
		s.table.Refuse(s.id, 0, time.Now())
		return 0, false
	}
	bytes, s.current = s.current, 0
	return bytes, true
}

// Close implements jsonrpc2.ObjectStream.
func (s *stream) Close() error {
	s.closeQueue()
	return s.conn.Close()
}
