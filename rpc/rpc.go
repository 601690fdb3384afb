// Package rpc implements JSON-RPC 2.0 between the system's own processes over
// nbio connections. A frame is a 4-byte big-endian length followed by the JSON
// text. Either side of a connection may call the other, and replies may arrive
// in any order.
//
// Socket callbacks only split the received bytes into frames and queue them.
// One goroutine per connection takes the frames from the queue and runs the
// handler, which passes longer work to a worker pool. The package owns its
// connections. Lock order: the mutex of Conn, then the mutex of stream. Neither
// is held while a message is sent or a handler or callback runs.
//
// What the connections hold together is bounded by a connlimit.Table, whose mutex is taken last.
//
// A call has a reply, a notification has none. The caller of a call is the side of
// the connection that sent it.
package rpc

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	stdlog "log"
	"net"
	"runtime/debug"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/lesismal/nbio"
	"github.com/sourcegraph/jsonrpc2"

	"celerypoint.example/celerypoint/connlimit"
	"celerypoint.example/celerypoint/nbiosetup"
	"celerypoint.example/celerypoint/wire"
)

// MaxFrameBytes bounds the JSON text of one message.
const MaxFrameBytes = 1 << 20

// maxResultBytes bounds the JSON text of a result. The rest of a frame is for the
// envelope of the message.
const maxResultBytes = MaxFrameBytes - 1024

// maxQueuedBytes bounds the bytes that are queued on a connection, separately for
// each direction. A peer that sends too fast or reads too slowly is disconnected.
const maxQueuedBytes = 64 << 20

// ErrClosed means that the connection was closed already, or closed before the
// reply arrived. It is unknown whether the other side carried out the call.
var ErrClosed = errors.New("rpc: connection closed")

// CodeHandlerError is the JSON-RPC error code of errors that a handler
// returned.
const CodeHandlerError = 1

// Error is an error reply of the other side.
type Error struct{ Message string }

func (e *Error) Error() string { return "rpc: " + e.Message }

// Request is a call or a notification from the other side. The handler of a
// call must invoke either Reply or Fail, once, from any goroutine.
type Request struct {
	Conn           *Conn
	Method         string
	params         []byte
	id             jsonrpc2.ID
	isNotification bool
	// release frees the bytes of the parameters in the account of the connections, and end
	// removes the request from those in progress. Each acts at its first call.
	release, end func()
}

// Decode decodes the parameters into v and rejects unknown fields. It is called at most once,
// because it frees them.
func (r *Request) Decode(v any) error {
	err := wire.Decode(r.params, v)
	r.params = nil
	r.release()
	if r.isNotification {
		r.end()
	}
	return err
}

// Reply sends the result of the call. It does nothing for a notification.
func (r *Request) Reply(result any) {
	r.release()
	defer r.end()
	if r.isNotification {
		return
	}
	body, err := json.Marshal(result)
	if err == nil && len(body) > maxResultBytes {
		err = fmt.Errorf("rpc: result of %d bytes, allowed: at most %d", len(body), maxResultBytes)
	}
	if err != nil {
		// Without a reply, the other side would wait until its deadline.
		r.Fail(err)
		return
	}
	// A failed write closes the connection, so that the call ends with ErrClosed at
	// the other side.
	_ = r.Conn.conn.Reply(context.Background(), r.id, json.RawMessage(body))
}

// maxErrorBytes bounds the message of an error reply, which may repeat parts of the call.
const maxErrorBytes = 4096

// Fail sends an error as the reply to the call. It does nothing for a
// notification.
func (r *Request) Fail(err error) {
	r.release()
	defer r.end()
	if r.isNotification {
		return
	}
	message := err.Error()
	if len(message) > maxErrorBytes {
		message = strings.ToValidUTF8(message[:maxErrorBytes], "") + "..."
	}
	_ = r.Conn.conn.ReplyWithError(context.Background(), r.id, &jsonrpc2.Error{Code: CodeHandlerError, Message: message})
}

// Handler handles a request. The requests of one connection are passed to it one
// by one, in the order of their arrival, so it must not block. Those of different
// connections are passed to it concurrently.
type Handler func(r *Request)

// Conn is one connection. Close it when it is no longer used.
type Conn struct {
	conn   *jsonrpc2.Conn
	remote string
	stream *stream

	mu sync.Mutex
	// pendingCalls holds the calls of CallAsync that wait for a reply, by
	// JSON-RPC request ID. It is nil once the connection is closed.
	pendingCalls map[string]*asyncCall
	lastID       uint64
}

type asyncCall struct {
	method string
	done   func(result []byte, err error)
	timer  *time.Timer
}

// Remote returns the address of the other side.
func (c *Conn) Remote() string { return c.remote }

// ReceivedAt returns when bytes last arrived on the connection, on CLOCK_BOOTTIME. It
// is the time of the connection's opening before any have. Requests may have arrived
// that the handler has not seen yet.
func (c *Conn) ReceivedAt() time.Time { return time.Unix(0, c.stream.receivedAt.Load()) }

// Done returns a channel that is closed when the connection closes.
func (c *Conn) Done() <-chan struct{} { return c.conn.DisconnectNotify() }

// Close closes the connection. Calls that wait for a reply end with ErrClosed.
func (c *Conn) Close() { _ = c.conn.Close() }

// ErrTimeout means that no reply arrived before the deadline. It is unknown
// whether the other side carried out the call.
var ErrTimeout = errors.New("rpc: no reply before the deadline")

// CallAsync sends a call without waiting for the reply. It invokes done exactly
// once, with the reply or an error. done must not block. It runs on the goroutine
// that reads the connection when a reply arrives, and on that of a timer at the
// deadline. When the connection closes, it runs on a goroutine of the transport or
// within the call of Close. If the call cannot be sent, it runs before CallAsync
// returns. No goroutine waits for the reply, so that one process can have
// thousands of calls in progress.
func (c *Conn) CallAsync(method string, params any, deadline time.Time, done func(result []byte, err error)) {
	c.mu.Lock()
	if c.pendingCalls == nil {
		c.mu.Unlock()
		done(nil, fmt.Errorf("%s: %w", method, ErrClosed))
		return
	}
	c.lastID++
	id := strconv.FormatUint(c.lastID, 36)
	call := &asyncCall{method: method, done: done}
	c.pendingCalls[id] = call
	call.timer = time.AfterFunc(time.Until(deadline), func() {
		c.completeCall(id, nil, fmt.Errorf("%s: %w", method, ErrTimeout))
	})
	c.mu.Unlock()
	_, err := c.conn.DispatchCall(context.Background(), method, params, jsonrpc2.PickID(jsonrpc2.ID{Str: id, IsString: true}))
	if err != nil {
		c.completeCall(id, nil, wrapError(method, err))
	}
}

func (c *Conn) completeCall(id string, result []byte, err error) {
	c.mu.Lock()
	call := c.pendingCalls[id]
	delete(c.pendingCalls, id)
	c.mu.Unlock()
	if call == nil {
		return
	}
	call.timer.Stop()
	call.done(result, err)
}

func (c *Conn) handleResponse(_ *jsonrpc2.Request, response *jsonrpc2.Response) {
	if response == nil || !response.ID.IsString {
		return
	}
	switch {
	case response.Error != nil:
		c.completeCall(response.ID.Str, nil, &Error{Message: response.Error.Message})
	case response.Result != nil:
		c.completeCall(response.ID.Str, *response.Result, nil)
	default:
		c.completeCall(response.ID.Str, []byte("null"), nil)
	}
}

// failPendingCalls ends every pending call of CallAsync with ErrClosed when the
// connection closes.
func (c *Conn) failPendingCalls() {
	c.mu.Lock()
	pending := c.pendingCalls
	c.pendingCalls = nil
	c.mu.Unlock()
	for _, call := range pending {
		call.timer.Stop()
		call.done(nil, fmt.Errorf("%s: %w", call.method, ErrClosed))
	}
}

// PendingCall is a call that was sent by StartCall.
type PendingCall struct{ waiter jsonrpc2.Waiter }

// StartCall sends a call without waiting for its reply. Use Wait to get the
// reply.
func (c *Conn) StartCall(method string, params any) (PendingCall, error) {
	w, err := c.conn.DispatchCall(context.Background(), method, params)
	if err != nil {
		return PendingCall{}, wrapError(method, err)
	}
	return PendingCall{w}, nil
}

// Wait waits for the reply, at most until the context ends, and decodes it into
// result unless that is nil. method is named in errors.
func (p PendingCall) Wait(ctx context.Context, method string, result any) error {
	var raw json.RawMessage
	if err := p.waiter.Wait(ctx, &raw); err != nil {
		return wrapError(method, err)
	}
	if result == nil {
		return nil
	}
	if err := wire.Decode(raw, result); err != nil {
		return fmt.Errorf("rpc: %s: %w", method, err)
	}
	return nil
}

// Call sends a call and waits for its reply, at most until the context ends. An
// *Error is an error reply of the other side. After any other error it is unknown
// whether the other side carried out the call.
func (c *Conn) Call(ctx context.Context, method string, params, result any) error {
	p, err := c.StartCall(method, params)
	if err != nil {
		return err
	}
	return p.Wait(ctx, method, result)
}

// Notify sends a notification, which has no reply. A nil error means that the
// message is queued; it is unknown whether the other side receives it.
func (c *Conn) Notify(method string, params any) error {
	if err := c.conn.Notify(context.Background(), method, params); err != nil {
		return wrapError(method, err)
	}
	return nil
}

func wrapError(method string, err error) error {
	var refused *jsonrpc2.Error
	switch {
	case errors.As(err, &refused):
		return &Error{Message: method + ": " + refused.Message}
	case errors.Is(err, jsonrpc2.ErrClosed), errors.Is(err, io.EOF):
		return fmt.Errorf("%s: %w", method, ErrClosed)
	default:
		return fmt.Errorf("rpc: %s: %w", method, err)
	}
}

// Engine owns the connections of a process and, if it was created with
// WithListen, a listener.
type Engine struct {
	nb       *nbio.Engine
	handler  Handler
	onAccept func(*Conn)
	onPanic  func(r *Request, value any, stack []byte)
	// table bounds what the connections hold together.
	table     *connlimit.Table
	limits    connlimit.Limits
	onRefused func(connlimit.Refusal)
	// bytesReceived and bytesSent count the bytes of all connections, including
	// frame headers.
	bytesReceived, bytesSent atomic.Int64
}

// Traffic returns the number of bytes received and sent over all connections
// since New, including frame headers.
func (e *Engine) Traffic() (received, sent int64) { return e.bytesReceived.Load(), e.bytesSent.Load() }

// Usage returns the number of open connections that others opened, the bytes that all
// connections hold, and the bytes of the requests in progress.
func (e *Engine) Usage() (connections int, heldBytes, activeBytes int64) { return e.table.Totals() }

// DefaultLimits are the limits of an engine unless WithLimits is given. They are meant for
// stand-ins and tests, which have no memory of their own configured.
var DefaultLimits = connlimit.Limits{Connections: 8192, HeldBytes: 256 << 20, ActiveBytes: 256 << 20}

// reasonBusy is the reason of a request that was refused because the bytes of the requests in
// progress are used up.
const reasonBusy = "busy"

// errBusy is the error reply to such a request. It was not handled.
var errBusy = errors.New("not handled: too many bytes of requests are in progress")

// Option configures an Engine.
type Option func(*Engine, *nbio.Config)

// WithListen makes the engine listen on a TCP address.
func WithListen(address string) Option {
	return func(_ *Engine, c *nbio.Config) { c.Addrs = []string{address} }
}

// WithLimits bounds what all connections use together. When a limit is reached, connections
// that others opened are closed first.
func WithLimits(l connlimit.Limits) Option {
	return func(e *Engine, _ *nbio.Config) { e.limits = l }
}

// WithRefusalHandler sets a function that is called when a request is refused or a connection
// is closed because of a limit. It must not block.
func WithRefusalHandler(f func(connlimit.Refusal)) Option {
	return func(e *Engine, _ *nbio.Config) { e.onRefused = f }
}

// WithAccept sets a function that is called with each accepted connection. It must
// not block.
func WithAccept(f func(*Conn)) Option {
	return func(e *Engine, _ *nbio.Config) { e.onAccept = f }
}

// WithPanicHandler sets a function that is called when a handler has panicked, with the
// value and the stack, after the connection was closed.
func WithPanicHandler(f func(r *Request, value any, stack []byte)) Option {
	return func(e *Engine, _ *nbio.Config) { e.onPanic = f }
}

// New starts an engine. All its connections use the handler h.
func New(h Handler, options ...Option) (*Engine, error) {
	nbiosetup.ApplyLimits()
	e := &Engine{handler: h, limits: DefaultLimits, onRefused: func(connlimit.Refusal) {}}
	config := nbio.Config{Name: "rpc", Network: "tcp", NPoller: 1, ReadBufferSize: 32 << 10, MaxWriteBufferSize: maxQueuedBytes}
	for _, o := range options {
		o(e, &config)
	}
	e.table = connlimit.New(e.limits)
	var listener *nbiosetup.Listener
	if len(config.Addrs) > 0 {
		var err error
		if listener, err = nbiosetup.Listen(config.Addrs[0], nbiosetup.WithAdmission(e.admit), nbiosetup.WithShortageHandler(func() { e.table.CloseIdle() })); err != nil {
			return nil, fmt.Errorf("rpc: listen on %s: %w", config.Addrs[0], err)
		}
		config.Listen = listener.ListenFunc
	}
	e.nb = nbio.NewEngine(config)
	e.nb.OnOpen(func(c *nbio.Conn) {
		if c.Session() == nil {
			conn := e.attach(c, false)
			if e.onAccept != nil {
				e.onAccept(conn)
			}
		}
	})
	e.nb.OnData(func(c *nbio.Conn, data []byte) {
		if s, ok := c.Session().(*stream); ok && s.attached.Load() {
			e.bytesReceived.Add(int64(len(data)))
			s.feed(data)
		}
	})
	e.nb.OnClose(func(c *nbio.Conn, _ error) {
		if s, ok := c.Session().(*stream); ok && s.attached.Load() {
			s.closeQueue()
		}
	})
	e.nb.OnWrittenSize(func(c *nbio.Conn, _ []byte, n int) {
		if s, ok := c.Session().(*stream); ok && s.attached.Load() {
			s.output.Sent(n)
		}
	})
	if err := e.nb.Start(); err != nil {
		if listener != nil {
			_ = listener.Close()
		}
		return nil, fmt.Errorf("rpc: start on %v: %w", config.Addrs, err)
	}
	if listener != nil {
		listener.WaitAccepting()
	}
	if err := nbiosetup.WaitPolling(e.nb); err != nil {
		return nil, fmt.Errorf("rpc: start on %v: %w", config.Addrs, err)
	}
	return e, nil
}

// admit makes room for an accepted connection. It returns false if there is none.
func (e *Engine) admit(c net.Conn) bool {
	ok := e.table.MakeRoom()
	if !ok {
		e.onRefused(connlimit.Refusal{Reason: string(connlimit.ReasonNoneIdle), Remote: c.RemoteAddr().String()})
	}
	return ok
}

// attach creates the connection of c. trusted says that this process opened it.
func (e *Engine) attach(c *nbio.Conn, trusted bool) *Conn {
	remote := c.RemoteAddr().String()
	var s *stream
	// The table closes no connection that holds nothing and has just been opened.
	id := e.table.Open(trusted, time.Now(), func(reason connlimit.Reason) {
		e.onRefused(connlimit.Refusal{Reason: string(reason), Remote: remote})
		s.closeForLimit(reason)
	})
	s = newStream(c, &e.bytesSent, e.table, id)
	c.SetSession(s)
	conn := e.newConn(s, remote)
	s.attached.Store(true)
	return conn
}

func (e *Engine) newConn(s *stream, remote string) *Conn {
	conn := &Conn{remote: remote, stream: s, pendingCalls: map[string]*asyncCall{}}
	s.onClose = conn.failPendingCalls
	ready := make(chan struct{})
	conn.conn = jsonrpc2.NewConn(context.Background(), s, handlerFunc(func(r *jsonrpc2.Request) {
		<-ready
		request := &Request{Conn: conn, Method: r.Method, id: r.ID, isNotification: r.Notif, release: func() {}, end: func() {}}
		bytes, ok := s.takeRequest()
		if !ok {
			e.onRefused(connlimit.Refusal{Reason: reasonBusy, Remote: remote})
			request.Fail(errBusy)
			return
		}
		request.release = sync.OnceFunc(func() { s.table.Release(s.id, bytes) })
		request.end = sync.OnceFunc(func() { s.table.End(s.id, 0, time.Now()) })
		if r.Params != nil {
			request.params = *r.Params
		}
		e.handle(request)
	}), jsonrpc2.OnRecv(conn.handleResponse), jsonrpc2.SetLogger(stdlog.New(io.Discard, "", 0)))
	close(ready)
	return conn
}

// handle calls the handler. A handler only passes the request on, so that a panic in it
// leaves no state half changed: the request fails, its connection is closed, and the
// process goes on.
func (e *Engine) handle(r *Request) {
	defer func() {
		v := recover()
		if v == nil {
			return
		}
		r.Fail(fmt.Errorf("unexpected error in the handler of %s", r.Method))
		r.Conn.Close()
		if e.onPanic != nil {
			e.onPanic(r, v, debug.Stack())
		}
	}()
	e.handler(r)
}

type handlerFunc func(*jsonrpc2.Request)

func (f handlerFunc) Handle(_ context.Context, _ *jsonrpc2.Conn, r *jsonrpc2.Request) { f(r) }

// Address returns the address that the engine listens on, or "" if it has no
// listener.
func (e *Engine) Address() string {
	if len(e.nb.Addrs) == 0 {
		return ""
	}
	return e.nb.Addrs[0]
}

// Dial connects to the engine at the address. The context bounds only the
// opening of the connection.
func (e *Engine) Dial(ctx context.Context, address string) (*Conn, error) {
	var d net.Dialer
	raw, err := d.DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, fmt.Errorf("rpc: dial %s: %w", address, err)
	}
	c, err := nbio.NBConn(raw)
	if err != nil {
		_ = raw.Close()
		return nil, fmt.Errorf("rpc: dial %s: %w", address, err)
	}
	conn := e.attach(c, true)
	if _, err := e.nb.AddConn(c); err != nil {
		conn.Close()
		return nil, fmt.Errorf("rpc: dial %s: %w", address, err)
	}
	return conn, nil
}

// closeTimeout bounds how long Close waits for the connections to close.
const closeTimeout = 2 * time.Second

// Close closes the listener and every connection.
func (e *Engine) Close() {
	ctx, cancel := context.WithTimeout(context.Background(), closeTimeout)
	defer cancel()
	_ = e.nb.Shutdown(ctx)
}

// Serve decodes the parameters of a request, calls f with them and the
// connection, and replies with the result or the error of f. If it cannot decode
// the parameters, it replies with that error.
func Serve[P, R any](r *Request, f func(*Conn, P) (R, error)) {
	var params P
	if err := r.Decode(&params); err != nil {
		r.Fail(err)
		return
	}
	result, err := f(r.Conn, params)
	if err != nil {
		r.Fail(err)
		return
	}
	r.Reply(result)
}
