// Package rpc carries JSON-RPC 2.0 between the system's own processes over
// nbio connections. A frame is a 4-byte big-endian length and the JSON text.
// Either side of a connection may call the other, and replies may come in any
// order.
//
// Socket callbacks only cut frames and queue them; one goroutine for each
// connection waits for its queue and runs the handler, which hands longer
// work to a pool. The package owns its connections. Locks: the mutex of
// Conn, then the queue's mutex in stream; neither is held during a call.
package rpc

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	stdlog "log"
	"net"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/lesismal/nbio"
	"github.com/sourcegraph/jsonrpc2"

	"celerypoint.example/celerypoint/nbiosetup"
	"celerypoint.example/celerypoint/wire"
)

// MaxFrameBytes bounds one message.
const MaxFrameBytes = 1 << 20

// maxQueuedBytes bounds what a connection holds in either direction; a peer
// that sends faster, or reads slower, is disconnected.
const maxQueuedBytes = 64 << 20

// ErrClosed says that the connection closed before the reply came. Whether
// the other side acted is unknown.
var ErrClosed = errors.New("rpc: connection closed")

// CodeHandlerError is the code of an error that a handler returned.
const CodeHandlerError = 1

// Error is the error that the other side replied.
type Error struct{ Message string }

func (e *Error) Error() string { return "rpc: " + e.Message }

// Request is a call from the other side. Exactly one of Reply and Fail is
// called, from any goroutine.
type Request struct {
	Conn   *Conn
	Method string
	params []byte
	id     jsonrpc2.ID
	notif  bool
}

// Decode reads the parameters and refuses unknown fields.
func (r *Request) Decode(v any) error { return wire.Decode(r.params, v) }

// Reply answers the call.
func (r *Request) Reply(result any) {
	if r.notif {
		return
	}
	// A failed write closes the connection, which the caller sees.
	_ = r.Conn.conn.Reply(context.Background(), r.id, result)
}

// Fail answers the call with an error.
func (r *Request) Fail(err error) {
	if r.notif {
		return
	}
	_ = r.Conn.conn.ReplyWithError(context.Background(), r.id, &jsonrpc2.Error{Code: CodeHandlerError, Message: err.Error()})
}

// Handler takes the calls of one connection in the order of their arrival. It
// must not block.
type Handler func(r *Request)

// Conn is one connection. Close it when done.
type Conn struct {
	conn   *jsonrpc2.Conn
	remote string

	mu sync.Mutex
	// sent holds the calls of Send that wait for a reply, by identifier. It
	// is nil once the connection is closed.
	sent map[string]*sentCall
	last uint64
}

type sentCall struct {
	method string
	done   func(result []byte, err error)
	timer  *time.Timer
}

// Remote is the address of the other side.
func (c *Conn) Remote() string { return c.remote }

// Done is closed when the connection is.
func (c *Conn) Done() <-chan struct{} { return c.conn.DisconnectNotify() }

// Close closes the connection; calls in flight end with ErrClosed.
func (c *Conn) Close() { _ = c.conn.Close() }

// ErrTimeout says that no reply came before the deadline. Whether the other
// side acted is unknown.
var ErrTimeout = errors.New("rpc: no reply before the deadline")

// CallAsync sends a call and returns at once. It calls done exactly once, with the
// reply or an error, from a goroutine of the transport: done must not block.
// No goroutine waits meanwhile, so that one process can have thousands of
// calls in flight.
func (c *Conn) CallAsync(method string, params any, deadline time.Time, done func(result []byte, err error)) {
	c.mu.Lock()
	if c.sent == nil {
		c.mu.Unlock()
		done(nil, fmt.Errorf("%s: %w", method, ErrClosed))
		return
	}
	c.last++
	id := strconv.FormatUint(c.last, 36)
	call := &sentCall{method: method, done: done}
	c.sent[id] = call
	call.timer = time.AfterFunc(time.Until(deadline), func() {
		c.finish(id, nil, fmt.Errorf("%s: %w", method, ErrTimeout))
	})
	c.mu.Unlock()
	_, err := c.conn.DispatchCall(context.Background(), method, params, jsonrpc2.PickID(jsonrpc2.ID{Str: id, IsString: true}))
	if err != nil {
		c.finish(id, nil, translate(method, err))
	}
}

func (c *Conn) finish(id string, result []byte, err error) {
	c.mu.Lock()
	call := c.sent[id]
	delete(c.sent, id)
	c.mu.Unlock()
	if call == nil {
		return
	}
	call.timer.Stop()
	call.done(result, err)
}

func (c *Conn) received(_ *jsonrpc2.Request, response *jsonrpc2.Response) {
	if response == nil || !response.ID.IsString {
		return
	}
	switch {
	case response.Error != nil:
		c.finish(response.ID.Str, nil, &Error{Message: response.Error.Message})
	case response.Result != nil:
		c.finish(response.ID.Str, *response.Result, nil)
	default:
		c.finish(response.ID.Str, []byte("null"), nil)
	}
}

// failSent ends every call of Send once the connection is closed.
func (c *Conn) failSent() {
	c.mu.Lock()
	sent := c.sent
	c.sent = nil
	c.mu.Unlock()
	for _, call := range sent {
		call.timer.Stop()
		call.done(nil, fmt.Errorf("%s: %w", call.method, ErrClosed))
	}
}

// PendingCall is a call whose reply has not been waited for.
type PendingCall struct{ waiter jsonrpc2.Waiter }

// StartCall sends a call without waiting for its reply.
func (c *Conn) StartCall(method string, params any) (PendingCall, error) {
	w, err := c.conn.DispatchCall(context.Background(), method, params)
	if err != nil {
		return PendingCall{}, translate(method, err)
	}
	return PendingCall{w}, nil
}

// Wait waits for the reply until the context ends.
func (p PendingCall) Wait(ctx context.Context, method string, result any) error {
	var raw json.RawMessage
	if err := p.waiter.Wait(ctx, &raw); err != nil {
		return translate(method, err)
	}
	if result == nil {
		return nil
	}
	if err := wire.Decode(raw, result); err != nil {
		return fmt.Errorf("rpc: %s: %w", method, err)
	}
	return nil
}

// Call sends a call and waits for its reply. An *Error means that the other
// side refused; any other error leaves open whether it acted.
func (c *Conn) Call(ctx context.Context, method string, params, result any) error {
	p, err := c.StartCall(method, params)
	if err != nil {
		return err
	}
	return p.Wait(ctx, method, result)
}

// Notify sends a message that has no reply. Without an error it is queued;
// whether the other side gets it is unknown.
func (c *Conn) Notify(method string, params any) error {
	if err := c.conn.Notify(context.Background(), method, params); err != nil {
		return translate(method, err)
	}
	return nil
}

func translate(method string, err error) error {
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

// Engine owns a listener, which may be absent, and connections.
type Engine struct {
	nb      *nbio.Engine
	handler Handler
	accept  func(*Conn)
	// received and sent count bytes with their frame headers, over all
	// connections.
	received, sent atomic.Int64
}

// Traffic returns the bytes received and sent over all connections since New.
func (e *Engine) Traffic() (received, sent int64) { return e.received.Load(), e.sent.Load() }

// Option configures an Engine.
type Option func(*Engine, *nbio.Config)

// WithListen makes the engine listen on a TCP address.
func WithListen(address string) Option {
	return func(_ *Engine, c *nbio.Config) { c.Addrs = []string{address} }
}

// WithAccept sets a function that is told of each accepted connection.
func WithAccept(f func(*Conn)) Option {
	return func(e *Engine, _ *nbio.Config) { e.accept = f }
}

// New starts an engine whose connections all use the handler.
func New(h Handler, options ...Option) (*Engine, error) {
	nbiosetup.ApplyLimits()
	e := &Engine{handler: h}
	config := nbio.Config{Name: "rpc", Network: "tcp", NPoller: 1, ReadBufferSize: 32 << 10, MaxWriteBufferSize: maxQueuedBytes}
	for _, o := range options {
		o(e, &config)
	}
	var listener *nbiosetup.Listener
	if len(config.Addrs) > 0 {
		var err error
		if listener, err = nbiosetup.Listen(config.Addrs[0]); err != nil {
			return nil, fmt.Errorf("rpc: listen on %s: %w", config.Addrs[0], err)
		}
		config.Listen = listener.ListenFunc
	}
	e.nb = nbio.NewEngine(config)
	e.nb.OnOpen(func(c *nbio.Conn) {
		if c.Session() == nil {
			conn := e.attach(c)
			if e.accept != nil {
				e.accept(conn)
			}
		}
	})
	e.nb.OnData(func(c *nbio.Conn, data []byte) {
		if s, ok := c.Session().(*stream); ok {
			e.received.Add(int64(len(data)))
			s.feed(data)
		}
	})
	e.nb.OnClose(func(c *nbio.Conn, _ error) {
		if s, ok := c.Session().(*stream); ok {
			s.closeQueue()
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

func (e *Engine) attach(c *nbio.Conn) *Conn {
	s := newStream(c, &e.sent)
	c.SetSession(s)
	conn := &Conn{remote: c.RemoteAddr().String(), sent: map[string]*sentCall{}}
	s.onClose = conn.failSent
	ready := make(chan struct{})
	conn.conn = jsonrpc2.NewConn(context.Background(), s, handlerFunc(func(r *jsonrpc2.Request) {
		<-ready
		request := &Request{Conn: conn, Method: r.Method, id: r.ID, notif: r.Notif}
		if r.Params != nil {
			request.params = *r.Params
		}
		e.handler(request)
	}), jsonrpc2.OnRecv(conn.received), jsonrpc2.SetLogger(stdlog.New(io.Discard, "", 0)))
	close(ready)
	return conn
}

type handlerFunc func(*jsonrpc2.Request)

func (f handlerFunc) Handle(_ context.Context, _ *jsonrpc2.Conn, r *jsonrpc2.Request) { f(r) }

// Address is the address that the engine listens on, or empty.
func (e *Engine) Address() string {
	if len(e.nb.Addrs) == 0 {
		return ""
	}
	return e.nb.Addrs[0]
}

// Dial connects to an engine until the context ends.
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
	conn := e.attach(c)
	if _, err := e.nb.AddConn(c); err != nil {
		conn.Close()
		return nil, fmt.Errorf("rpc: dial %s: %w", address, err)
	}
	return conn, nil
}

// stopTimeout bounds how long Close waits for connections to end.
const stopTimeout = 2 * time.Second

// Close closes the listener and every connection.
func (e *Engine) Close() {
	ctx, cancel := context.WithTimeout(context.Background(), stopTimeout)
	defer cancel()
	_ = e.nb.Shutdown(ctx)
}

// Serve decodes the parameters of a call, runs f, and replies.
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
