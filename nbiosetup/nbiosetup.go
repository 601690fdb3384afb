// Package nbiosetup prepares engines of the nbio library: process-wide limits,
// and listeners whose accept loop is known to have begun. It owns no state
// beyond the once-only setting of the limits.
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
)

// MaxOpenFiles sizes nbio's table of connections at 8 bytes for each possible
// file descriptor. Its default of 2 million entries takes 16 MB for each
// engine, half of an agent's 32 MB.
const MaxOpenFiles = 1 << 15

var once sync.Once

// ApplyLimits sets the process-wide limits. Later calls do nothing.
func ApplyLimits() {
	once.Do(func() {
		logging.SetLevel(logging.LevelError)
		nbio.MaxOpenFiles = min(nbio.MaxOpenFiles, MaxOpenFiles)
	})
}

// Listener is a TCP listener for one engine.
//
// nbio v1.6.8 has two faults that it avoids. A Start whose own listening fails
// may never return. And a Stop before the accept loop has begun is undone by
// the loop, which then spins on the closed listener; see also WaitPolling.
type Listener struct {
	net.Listener
	begin sync.Once
	begun chan struct{}
}

// Listen listens on the TCP address.
func Listen(address string) (*Listener, error) {
	inner, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	return &Listener{Listener: inner, begun: make(chan struct{})}, nil
}

// Accept implements net.Listener.
func (l *Listener) Accept() (net.Conn, error) {
	l.begin.Do(func() { close(l.begun) })
	return l.Listener.Accept()
}

// ListenFunc is the Listen function of an engine's configuration.
func (l *Listener) ListenFunc(string, string) (net.Listener, error) { return l, nil }

// WaitAccepting returns once the engine accepts. Call it after a Start that
// succeeded, and before the engine can be stopped.
func (l *Listener) WaitAccepting() { <-l.begun }

// Probe is the session of the connection that WaitPolling makes; handlers of
// an engine leave connections with it alone.
type Probe struct{}

// probeTimeout bounds WaitPolling.
const probeTimeout = 5 * time.Second

// WaitPolling returns once the engine's poller handles events. A Stop before
// that is undone by the poller, which then spins: it neither ends nor sleeps.
// It has the engine close a connection whose other side has closed.
func WaitPolling(g *nbio.Engine) error {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return fmt.Errorf("nbio: probe the poller: %w", err)
	}
	defer listener.Close()
	outer, err := net.DialTimeout("tcp", listener.Addr().String(), probeTimeout)
	if err != nil {
		return fmt.Errorf("nbio: probe the poller: %w", err)
	}
	defer outer.Close()
	accepted, err := listener.Accept()
	if err != nil {
		return fmt.Errorf("nbio: probe the poller: %w", err)
	}
	inner, err := nbio.NBConn(accepted)
	if err != nil {
		return fmt.Errorf("nbio: probe the poller: %w", err)
	}
	inner.SetSession(Probe{})
	if _, err := g.AddConn(inner); err != nil {
		return fmt.Errorf("nbio: probe the poller: %w", err)
	}
	if err := outer.(*net.TCPConn).CloseWrite(); err != nil {
		return fmt.Errorf("nbio: probe the poller: %w", err)
	}
	if err := outer.SetReadDeadline(time.Now().Add(probeTimeout)); err != nil {
		return fmt.Errorf("nbio: probe the poller: %w", err)
	}
	if _, err := outer.Read(make([]byte, 1)); errors.Is(err, os.ErrDeadlineExceeded) {
		return fmt.Errorf("nbio: the poller handled no event in %s: %w", probeTimeout, err)
	}
	return nil
}
