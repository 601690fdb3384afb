// Package nbiosetup configures engines of the nbio network library. It applies
// process-wide limits and lets callers wait until an engine's accept loop and
// poller run. Its only state is a sync.Once for the limits.
package nbiosetup

import (
	"errors"
	"fmt"
	"net"
	"os"
	"sync"
	"time"

	"github.com/lesismal/nbio"
	"github.com/lesismal/nbio/logging"
	"github.com/lesismal/nbio/mempool"
)

// MaxOpenFiles is the number of entries of the connection table that nbio
// allocates for each engine, with 8 bytes for each possible file descriptor.
// nbio's default of 2 million entries takes 16 MB for each engine, which is half
// of the 32 MB of memory that an agent may use.
const MaxOpenFiles = 1 << 15

var limitsOnce sync.Once

// ApplyLimits sets nbio's log level, the size of its connection tables and its allocator for
// the whole process. Only the first call has an effect.
func ApplyLimits() {
	limitsOnce.Do(func() {
		logging.SetLevel(logging.LevelError)
		nbio.MaxOpenFiles = min(nbio.MaxOpenFiles, MaxOpenFiles)
		mempool.DefaultMemPool = allocator{mempool.NewAligned()}
	})
}

// Listener is a TCP listener for one engine. It works around two faults of nbio
// v1.6.8. If the engine itself listens and that fails, its Start may never return.
// If Stop is called before the accept loop has begun, the loop overrides the stop
// and then spins on the closed listener. WaitPolling works around a similar fault.
//
// Accept never returns an error while the listener is open, because the accept loop of nbio
// would call it again at once. Without descriptors that is an endless loop.
type Listener struct {
	net.Listener
	acceptOnce sync.Once
	accepting  chan struct{}
	onShortage func()
	admit      func(net.Conn) bool
	closeOnce  sync.Once
	closed     chan struct{}
}

// ListenOption configures a Listener.
type ListenOption func(*Listener)

// WithShortageHandler sets a function that is called when a connection could not be accepted
// for lack of descriptors or memory. It may close connections.
func WithShortageHandler(f func()) ListenOption { return func(l *Listener) { l.onShortage = f } }

// WithAdmission sets a function that decides whether an accepted connection is used. Others are
// closed. An engine cannot refuse a connection safely once it has it.
func WithAdmission(f func(net.Conn) bool) ListenOption { return func(l *Listener) { l.admit = f } }

// acceptRetryInterval is the pause after a connection could not be accepted.
const acceptRetryInterval = 50 * time.Millisecond

// Listen listens on the TCP address.
func Listen(address string, options ...ListenOption) (*Listener, error) {
	inner, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	return newListener(inner, options...), nil
}

func newListener(inner net.Listener, options ...ListenOption) *Listener {
	l := &Listener{Listener: inner, accepting: make(chan struct{}), onShortage: func() {}, admit: func(net.Conn) bool { return true }, closed: make(chan struct{})}
	for _, o := range options {
		o(l)
	}
	return l
}

// Accept implements net.Listener. The first call ends the wait of WaitAccepting. It returns an
// error only when the listener is closed.
func (l *Listener) Accept() (net.Conn, error) {
	l.acceptOnce.Do(func() { close(l.accepting) })
	for {
		conn, err := l.Listener.Accept()
		if errors.Is(err, net.ErrClosed) || err == nil && l.admit(conn) {
			return conn, err
		}
		if err == nil {
			_ = conn.Close()
			continue
		}
		l.onShortage()
		select {
		case <-l.closed:
			return nil, net.ErrClosed
		case <-time.After(acceptRetryInterval):
		}
	}
}

// Close implements net.Listener.
func (l *Listener) Close() error {
	l.closeOnce.Do(func() { close(l.closed) })
	return l.Listener.Close()
}

// ListenFunc returns l itself, which listens already. It serves as the Listen
// function in the configuration of the engine and ignores the arguments.
func (l *Listener) ListenFunc(string, string) (net.Listener, error) { return l, nil }

// WaitAccepting waits until the engine's accept loop has begun. Call it after a
// successful Start of the engine and before anything can stop it.
func (l *Listener) WaitAccepting() { <-l.accepting }

// Probe is the session value of the connection that WaitPolling makes. An
// engine's handlers must ignore connections with this session.
type Probe struct{}

// probeTimeout limits how long WaitPolling waits for its connection to be made,
// and then for the engine to close it.
const probeTimeout = 5 * time.Second

// WaitPolling waits until the engine's poller handles events. If Stop is called
// before that, the poller of nbio v1.6.8 overrides the stop and then spins
// without ever ending. To find out whether the poller runs, WaitPolling adds a
// connection to the engine, closes the other end for writing, and waits until the
// engine closes the connection.
func WaitPolling(engine *nbio.Engine) error {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return fmt.Errorf("nbio: check that the poller runs: %w", err)
	}
	defer listener.Close()
	outer, err := net.DialTimeout("tcp", listener.Addr().String(), probeTimeout)
	if err != nil {
		return fmt.Errorf("nbio: check that the poller runs: %w", err)
	}
	defer outer.Close()
	accepted, err := listener.Accept()
	if err != nil {
		return fmt.Errorf("nbio: check that the poller runs: %w", err)
	}
	inner, err := nbio.NBConn(accepted)
	if err != nil {
		return fmt.Errorf("nbio: check that the poller runs: %w", err)
	}
	inner.SetSession(Probe{})
	if _, err := engine.AddConn(inner); err != nil {
		return fmt.Errorf("nbio: check that the poller runs: %w", err)
	}
	if err := outer.(*net.TCPConn).CloseWrite(); err != nil {
		return fmt.Errorf("nbio: check that the poller runs: %w", err)
	}
	if err := outer.SetReadDeadline(time.Now().Add(probeTimeout)); err != nil {
		return fmt.Errorf("nbio: check that the poller runs: %w", err)
	}
	if _, err := outer.Read(make([]byte, 1)); errors.Is(err, os.ErrDeadlineExceeded) {
		return fmt.Errorf("nbio: the poller handled no event in %s: %w", probeTimeout, err)
	}
	return nil
}
