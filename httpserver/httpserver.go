// Package httpserver runs an http.Handler on an nbhttp server. The HTTP
// interfaces of the system and of the stand-ins for its peers share it, so that
// the same limits apply to all. A Server owns its listener and its connections.
//
// What the connections hold together is bounded by a connlimit.Table, and each single
// request by the limits below. Lock order: the mutex of the parser or of nbio's connection, then
// that of connlimit.Output, then that of the table. The mutex of conn is taken before that of
// nbio's connection, that of Server alone. Only the mutex of a connection's own parser may be held
// while a connection is closed, and none while a handler runs.
package httpserver

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"runtime/debug"
	"strconv"
	"sync"
	"time"

	"github.com/lesismal/nbio"
	"github.com/lesismal/nbio/nbhttp"

	"celerypoint.example/celerypoint/connlimit"
	"celerypoint.example/celerypoint/nbiosetup"
)

const (
	// MaxBodyBytes bounds the body of a request unless WithMaxBody is given.
	MaxBodyBytes = 8 << 20
	// MaxHeadBytes bounds the request line, the header and the trailers of a request
	// together. Each line counts lineOverhead bytes beside its text, which it takes in memory.
	MaxHeadBytes = 64 << 10
	lineOverhead = 128
	// requestOverhead is what a request counts beside its text.
	requestOverhead = 2 << 10
	// framingFactor times the largest body bounds the bytes of a chunked body with its framing,
	// which is larger than the body if its chunks are small.
	framingFactor = 8
	// readBufferBytes is the most that is read from a connection at a time.
	readBufferBytes = 32 << 10
	// RequestTimeout bounds the time from the first byte of a request to its last, unless
	// WithRequestTimeout is given. Slow clients send a request within seconds.
	RequestTimeout = time.Minute
	// idleTimeout closes connections on which no request has arrived for this long.
	idleTimeout = 2 * time.Minute
	// retryAfterSeconds is the time after which a client may retry a request that was refused
	// because too many were in progress.
	retryAfterSeconds = 1
)

// DefaultLimits are the limits of a server unless WithLimits is given. They are meant for
// stand-ins and tests, which have no memory of their own configured.
var DefaultLimits = connlimit.Limits{Connections: 8192, HeldBytes: 256 << 20, ActiveBytes: 256 << 20}

// Server is a running HTTP server.
type Server struct {
	engine         *nbhttp.Engine
	listener       *nbiosetup.Listener
	table          *connlimit.Table
	limits         connlimit.Limits
	maxBody        int
	requestTimeout time.Duration
	onPanic        func(r *http.Request, value any, stack []byte)
	onRefused      func(connlimit.Refusal)
	// accepting is done when the accept loop has ended.
	accepting sync.WaitGroup

	mu sync.Mutex
	// conns holds the open connections. It is nil once the server is closed.
	conns map[*conn]struct{}
}

// Option configures a Server.
type Option func(*Server)

// WithPanicHandler sets a function that is called with the value and the stack when the
// handler of a request has panicked.
func WithPanicHandler(f func(r *http.Request, value any, stack []byte)) Option {
	return func(s *Server) { s.onPanic = f }
}

// WithMaxBody bounds the body of a request. A longer one is answered with status 413, and its
// connection is closed.
func WithMaxBody(bytes int) Option { return func(s *Server) { s.maxBody = bytes } }

// WithLimits bounds what all connections use together.
func WithLimits(l connlimit.Limits) Option { return func(s *Server) { s.limits = l } }

// WithRequestTimeout bounds the time from the first byte of a request to its last.
func WithRequestTimeout(d time.Duration) Option { return func(s *Server) { s.requestTimeout = d } }

// WithRefusalHandler sets a function that is called when a request is refused or a connection
// is closed because of a limit. It must not block.
func WithRefusalHandler(f func(connlimit.Refusal)) Option { return func(s *Server) { s.onRefused = f } }

// New listens on the TCP address and serves h. At most handlers requests are
// handled at the same time; further requests wait on their connections. A request whose
// handler panics is answered with status 500.
func New(address string, handlers int, h http.Handler, options ...Option) (*Server, error) {
	s := &Server{
		maxBody: MaxBodyBytes, limits: DefaultLimits, requestTimeout: RequestTimeout, onRefused: func(connlimit.Refusal) {}, conns: map[*conn]struct{}{},
	}
	for _, o := range options {
		o(s)
	}
	s.table = connlimit.New(s.limits)
	nbiosetup.ApplyLimits()
	listener, err := nbiosetup.Listen(address, nbiosetup.WithAdmission(s.admit), nbiosetup.WithShortageHandler(func() { s.table.CloseIdle() }))
	if err != nil {
		return nil, fmt.Errorf("http: listen on %s: %w", address, err)
	}
	s.listener = listener
	// The engine has no address of its own, because it does not bound what is kept before a
	// handler is called. The accept loop hands it the connections.
	s.engine = nbhttp.NewEngine(nbhttp.Config{
		Network:                "tcp",
		Handler:                s.refuseExcess(s.recoverPanics(leaveCloseToClient(h))),
		NPoller:                1,
		MessageHandlerPoolSize: handlers,
		MaxHTTPBodySize:        s.maxBody,
		// The parser's own limit is above those of requestReader, which tell the reason.
		ReadLimit:      s.maxBody + MaxHeadBytes + 2*readBufferBytes,
		ReadBufferSize: readBufferBytes,
		KeepaliveTime:  idleTimeout,
	})
	s.engine.Engine.OnClose(func(nb *nbio.Conn, cause error) {
		if c, ok := nb.Session().(*conn); ok && c.ready.Load() {
			c.handleClose(cause)
		}
	})
	s.engine.Engine.OnWrittenSize(func(nb *nbio.Conn, _ []byte, n int) {
		if c, ok := nb.Session().(*conn); ok && c.ready.Load() {
			c.output.Sent(n)
		}
	})
	if err := s.engine.Start(); err != nil {
		_ = listener.Close()
		return nil, fmt.Errorf("http: start on %s: %w", address, err)
	}
	if err := nbiosetup.WaitPolling(s.engine.Engine); err != nil {
		_ = listener.Close()
		return nil, fmt.Errorf("http: start on %s: %w", address, err)
	}
	s.accepting.Go(s.accept)
	return s, nil
}

// accept hands each accepted connection to the engine, until the listener is closed.
func (s *Server) accept() {
	for {
		raw, err := s.listener.Accept()
		if err != nil {
			return
		}
		nb, err := nbio.NBConn(raw)
		if err != nil {
			_ = raw.Close()
			continue
		}
		s.serve(nb)
	}
}

// admit makes room for an accepted connection. It returns false if there is none.
func (s *Server) admit(c net.Conn) bool {
	ok := s.table.MakeRoom()
	if !ok {
		s.refused(c, string(connlimit.ReasonNoneIdle))
	}
	return ok
}

// serve adds an accepted connection.
func (s *Server) serve(nb *nbio.Conn) {
	c := newConn(s, nb)
	s.mu.Lock()
	closed := s.conns == nil
	if !closed {
		s.conns[c] = struct{}{}
	}
	s.mu.Unlock()
	if closed {
		s.table.Close(c.id)
		_ = nb.Close()
		return
	}
	nb.SetSession(c)
	nb.OnData(s.engine.DataHandler)
	c.ready.Store(true)
	if _, err := s.engine.AddConn(nb); err != nil {
		c.handleClose(err)
		return
	}
	_ = c.setIdleDeadline(time.Now().Add(idleTimeout))
}

// forget removes a closed connection.
func (s *Server) forget(c *conn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.conns, c)
}

// refused reports a refusal on a connection.
func (s *Server) refused(c net.Conn, reason string) {
	s.onRefused(connlimit.Refusal{Reason: reason, Remote: c.RemoteAddr().String()})
}

// Usage returns the number of open connections, the bytes that they hold, and the bytes of the
// requests in progress.
func (s *Server) Usage() (connections int, heldBytes, activeBytes int64) { return s.table.Totals() }

func (s *Server) recoverPanics(h http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		defer func() {
			v := recover()
			if v == nil {
				return
			}
			// After a part of the response, the status stays and the body is too short.
			Reply(w, http.StatusInternalServerError, "text/plain", []byte("unexpected error\n"))
			if s.onPanic != nil {
				s.onPanic(r, v, debug.Stack())
			}
		}()
		h.ServeHTTP(w, r)
	})
}

// refuseExcess answers the requests that find the bytes of the requests in progress used up.
// They are not handled, so that the answer is true.
func (s *Server) refuseExcess(h http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if c := connOf(w); c != nil && c.refusing {
			w.Header().Set("Retry-After", strconv.Itoa(retryAfterSeconds))
			JSON(w, http.StatusServiceUnavailable, map[string]string{"error": "not handled: the requests in progress use up their memory"})
			return
		}
		h.ServeHTTP(w, r)
	})
}

// leaveCloseToClient wraps a handler so that the server does not close a
// connection when the request has "Connection: close"; the client closes it.
// nbhttp would close the connection as soon as the handler returns, and the
// part of a large response that the kernel has not yet accepted would be lost.
// The responses that Reply writes have a Content-Length, so the client knows where
// they end.
func leaveCloseToClient(h http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		r.Close = false
		h.ServeHTTP(w, r)
	})
}

// Address returns the address that the server listens on.
func (s *Server) Address() string { return s.listener.Addr().String() }

// Close stops listening and closes the connections within the timeout. It does
// not wait for requests in progress; callers that need them to finish wait
// before Close.
func (s *Server) Close(timeout time.Duration) {
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	_ = s.listener.Close()
	s.accepting.Wait()
	s.mu.Lock()
	conns := s.conns
	s.conns = nil
	s.mu.Unlock()
	for c := range conns {
		_ = c.nb.CloseWithError(net.ErrClosed)
	}
	_ = s.engine.Shutdown(ctx)
}

// Reply writes a response with a complete body and its Content-Length. All
// responses with a complete body are written by Reply, because nbhttp truncates
// a large body that is written in one piece without a Content-Length.
func Reply(w http.ResponseWriter, status int, contentType string, body []byte) {
	w.Header().Set("Content-Type", contentType)
	w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	w.WriteHeader(status)
	// If the write fails, the connection closes, which the client notices.
	_, _ = w.Write(body)
}

// JSON writes a response whose body is v encoded as JSON.
func JSON(w http.ResponseWriter, status int, v any) {
	body, err := json.Marshal(v)
	if err != nil {
		http.Error(w, fmt.Sprintf("encode %T: %v", v, err), http.StatusInternalServerError)
		return
	}
	Reply(w, status, "application/json", append(body, '\n'))
}
