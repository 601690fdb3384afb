package httpserver

import (
	"errors"
	"fmt"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/lesismal/nbio"
	"github.com/lesismal/nbio/nbhttp"

	"celerypoint.example/celerypoint/connlimit"
)

// conn is a client's connection. It stands between nbio, which hands it what has been received,
// and nbhttp's parser, and counts what both keep for the client. It implements
// nbhttp.ParserCloser.
type conn struct {
	server *Server
	nb     *nbio.Conn
	parser *nbhttp.Parser
	reader *requestReader
	writer *responseWriter
	// ready is set once the connection has been set up. Callbacks of nbio read it before anything
	// else: the kernel orders the two, which the race detector does not see.
	ready atomic.Bool
	// id is the connection's ID in the server's table, and output counts its responses there.
	id     uint64
	output *connlimit.Output

	// received counts the bytes since the last complete request, and inputCounted is what the
	// table counts for a request that is not complete. Only the poller's goroutine uses them.
	received, inputCounted int64
	// refusing says that the request whose handler is called next is answered with 503. Only
	// the goroutine that serves the connection's requests uses it.
	refusing bool

	mu sync.Mutex
	// queue holds the complete requests that wait for a handler, oldest first. It is empty once
	// closed is set.
	queue  []queuedRequest
	closed bool
	// serving counts the requests that are complete and not answered.
	serving int
	// incomplete says that a part of a request has arrived. Then the read deadline is that of
	// this request, and watched is its number.
	incomplete bool
	watched    int64
}

// queuedRequest is a complete request. serve calls the handler and writes the response.
type queuedRequest struct {
	bytes int64
	serve func()
}

// newConn sets up an accepted connection and adds it to the server's table, which does not close
// it before it holds something or has been idle.
func newConn(s *Server, nb *nbio.Conn) *conn {
	c := &conn{server: s, nb: nb}
	c.id = s.table.Open(false, time.Now(), c.closeForLimit)
	c.output = connlimit.NewOutput(s.table, c.id)
	c.reader = &requestReader{inner: nbhttp.NewServerProcessor(), conn: c}
	c.writer = &responseWriter{Conn: nb, conn: c}
	c.parser = nbhttp.NewParser(c.writer, s.engine, c.reader, false, c.enqueue)
	return c
}

// connOf returns the connection to which a response is written, nil if it is not one of nbhttp.
func connOf(w http.ResponseWriter) *conn {
	if response, ok := w.(*nbhttp.Response); ok {
		if r, ok := response.Parser.Processor.(*requestReader); ok {
			return r.conn
		}
	}
	return nil
}

// UnderlayerConn implements nbhttp.ParserCloser.
func (c *conn) UnderlayerConn() net.Conn { return c.nb }

// CloseAndClean implements nbhttp.ParserCloser.
func (c *conn) CloseAndClean(cause error) { c.parser.CloseAndClean(cause) }

// Parse implements nbhttp.ParserCloser. The poller calls it with what has been received. An
// error closes the connection.
func (c *conn) Parse(data []byte) error {
	if !c.ready.Load() {
		return net.ErrClosed
	}
	c.received += int64(len(data))
	c.reader.begin()
	if err := c.parser.Parse(data); err != nil {
		switch {
		case c.reader.refusal != "":
			return c.refuse(c.reader.refusal)
		case !errors.Is(err, net.ErrClosed):
			c.server.refused(c.nb, refusalMalformed)
		}
		return err
	}
	c.reader.end(len(data))
	if c.received > int64(c.server.maxBody)*framingFactor+MaxHeadBytes+readBufferBytes {
		c.reader.refuse(refusalEndless)
	}
	if reason := c.reader.refusal; reason != "" {
		return c.refuse(reason)
	}
	c.watchIncomplete(c.reader.incomplete(), c.reader.completed)
	if delta := c.reader.heldBytes() - c.inputCounted; delta != 0 {
		c.inputCounted += delta
		if !c.server.table.Hold(c.id, delta) {
			return net.ErrClosed
		}
	}
	return nil
}

// watchIncomplete sets the deadline by which a request that is not complete must be. number is
// that of the request.
func (c *conn) watchIncomplete(incomplete bool, number int64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	changed := c.incomplete != incomplete || incomplete && c.watched != number
	c.incomplete, c.watched = incomplete, number
	switch {
	case changed && incomplete:
		_ = c.nb.SetReadDeadline(time.Now().Add(c.server.requestTimeout))
	case changed:
		_ = c.nb.SetReadDeadline(time.Now().Add(idleTimeout))
	}
}

// setIdleDeadline sets the deadline of an idle connection. That of a request that is not complete
// stays.
func (c *conn) setIdleDeadline(deadline time.Time) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.incomplete {
		return nil
	}
	return c.nb.SetReadDeadline(deadline)
}

// refuse answers a request that exceeds a limit, if no response is due before it, and returns
// the error with which the connection is closed.
func (c *conn) refuse(reason string) error {
	c.mu.Lock()
	first := c.serving == 0
	c.mu.Unlock()
	if status := refusalStatus[reason]; status != 0 && first {
		_, _ = c.writer.Write(fmt.Appendf(nil, "HTTP/1.1 %d %s\r\nConnection: close\r\nContent-Length: 0\r\n\r\n", status, http.StatusText(status)))
	}
	c.server.refused(c.nb, reason)
	return fmt.Errorf("http: request refused: %s", reason)
}

// enqueue queues a complete request. It returns false if the connection is closed.
func (c *conn) enqueue(serve func()) bool {
	c.mu.Lock()
	if c.closed {
		c.mu.Unlock()
		return false
	}
	c.serving++
	c.queue = append(c.queue, queuedRequest{bytes: c.reader.completedBytes, serve: serve})
	c.mu.Unlock()
	return c.nb.Execute(c.serveNext)
}

// serveNext serves the oldest queued request. Requests that were queued when the connection
// was closed are never served.
func (c *conn) serveNext() {
	c.mu.Lock()
	if len(c.queue) == 0 {
		c.mu.Unlock()
		return
	}
	r := c.queue[0]
	c.queue[0] = queuedRequest{}
	c.queue = c.queue[1:]
	if len(c.queue) == 0 {
		c.queue = nil
	}
	c.mu.Unlock()
	t := c.server.table
	if t.Begin(c.id, r.bytes) {
		defer func() { t.End(c.id, r.bytes, time.Now()) }()
	} else {
		c.refusing = true
		defer func() {
			c.refusing = false
			t.Refuse(c.id, r.bytes, time.Now())
		}()
		c.server.refused(c.nb, refusalBusy)
	}
	r.serve()
	c.mu.Lock()
	c.serving--
	c.mu.Unlock()
}

// closeForLimit closes the connection because of a limit of all connections.
func (c *conn) closeForLimit(reason connlimit.Reason) {
	c.server.refused(c.nb, string(reason))
	// nbio reports the close later, and until then a queued request could be served.
	c.drop()
	_ = c.nb.CloseWithError(fmt.Errorf("http: connection closed: %s", reason))
}

// drop removes the requests that wait for a handler, and lets no further ones be queued.
func (c *conn) drop() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.closed = true
	c.queue = nil
}

// handleClose frees what the closed connection holds, except for a request in progress. nbio
// calls it once, some time after the close.
func (c *conn) handleClose(cause error) {
	c.drop()
	c.server.table.Close(c.id)
	c.server.forget(c)
	c.parser.CloseAndClean(cause)
}

// responseWriter is the connection as nbhttp writes responses to it.
type responseWriter struct {
	*nbio.Conn
	conn *conn
}

// Write sends a part of a response and counts what the kernel does not take at once.
func (w *responseWriter) Write(b []byte) (int, error) {
	w.conn.output.Queue(len(b))
	n, err := w.Conn.Write(b)
	if !w.conn.output.Count() {
		return n, net.ErrClosed
	}
	return n, err
}

// SetReadDeadline is called by nbhttp after each response.
func (w *responseWriter) SetReadDeadline(deadline time.Time) error {
	return w.conn.setIdleDeadline(deadline)
}
