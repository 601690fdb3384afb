// Package faultproxy is a TCP proxy that injects faults between two processes
// under test. It can refuse and cut connections, hold back or discard the bytes of one
// direction while the connection stays open, silence the open connections for good,
// delay bytes with seeded jitter, and split them into small pieces. It is a test tool
// and not part of the product.
//
// Socket callbacks only queue bytes. A pool of workers writes them, and timers
// resume the delivery of delayed bytes. One mutex guards all state of a Proxy; it
// is not held during a write. SetFaults and Close take a mutex of their own before it,
// so that the listener fits the newest faults.
package faultproxy

import (
	"bytes"
	"errors"
	"fmt"
	"math"
	"math/rand/v2"
	"net"
	"sync"
	"time"

	"github.com/lesismal/nbio"

	"celerypoint.example/celerypoint/nbiosetup"
	"celerypoint.example/celerypoint/workpool"
)

// maxFirstBytes is how many of the first bytes from the client are searched for
// Faults.ConnectionMatch.
const maxFirstBytes = 16 << 10

// maxQueuedBytes bounds the bytes that are queued for one direction of a
// connection. A connection that exceeds it is closed.
const maxQueuedBytes = 64 << 20

const (
	workers     = 4
	queueDepth  = 1 << 14
	dialTimeout = time.Second
	// stopTimeout bounds the wait for the end of all connections in Close.
	stopTimeout = 5 * time.Second
	// acceptRetryPause is the wait after a failed accept.
	acceptRetryPause = 20 * time.Millisecond
)

// Block says whether and how the bytes of a direction are blocked.
type Block string

// The kinds of block.
const (
	// BlockNone lets bytes pass.
	BlockNone Block = ""
	// BlockHold queues bytes and delivers them when the block ends.
	BlockHold Block = "hold"
	// BlockDiscard drops bytes. A connection that has lost bytes is closed when
	// the block ends, because its stream has a gap.
	BlockDiscard Block = "discard"
)

// DirectionFaults are the faults of one direction.
type DirectionFaults struct {
	Block Block `json:"block"`
	// DelayMs delays the delivery of every piece. A random time below JitterMs is
	// added to each delay.
	DelayMs  int `json:"delayMs"`
	JitterMs int `json:"jitterMs"`
	// PieceBytes is the maximum length of a piece, which is what is written at
	// once. 0 means that pieces are as long as the data that one read returned.
	PieceBytes int `json:"pieceBytes"`
}

// Faults are the faults that a Proxy injects. The zero value injects none.
type Faults struct {
	// ConnectionMatch limits the faults to connections whose first bytes from the
	// client contain the text, so that a proxy in front of a server can disturb
	// the connections of one client. They have no effect on a connection until
	// the text has arrived. Empty means every connection.
	ConnectionMatch string `json:"only"`
	// Refuse closes the listener, so that new connections are refused, and the open
	// connections, whatever ConnectionMatch is. The proxy listens at the same address
	// again when it ends.
	Refuse bool `json:"refuse"`
	// Cut closes the open connections, and new ones as soon as they are accepted.
	Cut bool `json:"cut"`
	// Up is the direction from the client to the server, Down the opposite one.
	Up   DirectionFaults `json:"up"`
	Down DirectionFaults `json:"down"`
}

// Check returns an error if a field is invalid.
func (f Faults) Check() error {
	for name, l := range map[string]DirectionFaults{"up": f.Up, "down": f.Down} {
		switch l.Block {
		case BlockNone, BlockHold, BlockDiscard:
		default:
			return fmt.Errorf("%s.block: found %q, allowed: empty, hold, discard", name, l.Block)
		}
		if l.DelayMs < 0 || l.JitterMs < 0 || l.PieceBytes < 0 {
			return fmt.Errorf("%s: found delayMs=%d jitterMs=%d pieceBytes=%d, allowed: at least 0", name, l.DelayMs, l.JitterMs, l.PieceBytes)
		}
	}
	return nil
}

// Counters count what the proxy has done since New.
type Counters struct {
	// Accepted counts the connections accepted from clients. Open is the number
	// of these that are open now.
	Accepted int `json:"accepted"`
	Open     int `json:"open"`
	// UpBytes and DownBytes count the bytes that the proxy has passed on, or has
	// begun to, UpDiscarded and DownDiscarded those that it has discarded.
	UpBytes       int64 `json:"upBytes"`
	DownBytes     int64 `json:"downBytes"`
	UpDiscarded   int64 `json:"upDiscarded"`
	DownDiscarded int64 `json:"downDiscarded"`
}

// Proxy is a running proxy. It is safe for concurrent use.
type Proxy struct {
	address, target string
	engine          *nbio.Engine
	pool            *workpool.Pool
	accepting       sync.WaitGroup

	faultsMu sync.Mutex
	// acceptMu keeps links from being closed before nbio polls their connections, to the
	// client and to the server: nbio does not tell the end of one that was closed before. It
	// is taken after faultsMu and before mu.
	acceptMu sync.Mutex
	// listener is nil while connections are refused, and after Close.
	listener net.Listener

	mu       sync.Mutex
	faults   Faults
	counters Counters
	random   *rand.Rand
	links    map[*link]bool
	closed   bool
}

// link is a connection from a client together with the proxy's connection to the
// server for it.
type link struct {
	up, down *flow
	// silenced says that the link was open at a call of Proxy.Silence.
	silenced bool
	// firstBytes holds up to maxFirstBytes of the first bytes from the client.
	firstBytes []byte
}

// flow is one direction of a link.
type flow struct {
	link        *link
	isUp        bool
	from, to    *nbio.Conn
	queue       []piece
	queuedBytes int
	// unsentBytes counts the bytes that were written to the destination
	// connection and that nbio has not yet handed to the kernel.
	unsentBytes int
	// busy says that a worker or a timer is in charge of the flow, or that the
	// connection to the server is still being opened. No other worker may then
	// deliver.
	busy bool
	// sourceClosed says that the connection that the field from holds has closed.
	// Queued bytes are still delivered.
	sourceClosed bool
	// hasGap says that bytes of the flow were discarded.
	hasGap bool
}

// piece is a piece of data that must not be sent before sendAt.
type piece struct {
	data   []byte
	sendAt time.Time
}

// New listens on the TCP address and connects each client to the TCP address
// target. The seed makes the jitter repeatable.
func New(address, target string, seed uint64) (*Proxy, error) {
	nbiosetup.ApplyLimits()
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, fmt.Errorf("fault proxy: listen on %s: %w", address, err)
	}
	p := &Proxy{
		address: listener.Addr().String(), target: target, pool: workpool.New(workers, queueDepth),
		random: rand.New(rand.NewPCG(seed, 0)), links: map[*link]bool{},
	}
	p.engine = nbio.NewEngine(nbio.Config{
		Name: "faultproxy", NPoller: 1,
		ReadBufferSize: 64 << 10, MaxWriteBufferSize: maxQueuedBytes,
		// With a limit, nbio closes a connection that its peer has closed before
		// it has read all bytes from it.
		MaxConnReadTimesPerEventLoop: math.MaxInt32,
	})
	p.engine.OnOpen(p.onOpen)
	p.engine.OnData(p.onData)
	p.engine.OnWrittenSize(p.onWritten)
	p.engine.OnClose(func(c *nbio.Conn, _ error) { p.onClose(c) })
	if err := p.engine.Start(); err != nil {
		_ = listener.Close()
		p.pool.Close()
		return nil, fmt.Errorf("fault proxy: start on %s: %w", address, err)
	}
	if err := nbiosetup.WaitPolling(p.engine); err != nil {
		_ = listener.Close()
		return nil, fmt.Errorf("fault proxy: start on %s: %w", address, err)
	}
	p.serve(listener)
	return p, nil
}

// Address is the address that the proxy listens on.
func (p *Proxy) Address() string { return p.address }

// serve accepts the connections of clients until the listener is closed. The caller holds
// faultsMu, or is the only user of p.
func (p *Proxy) serve(l net.Listener) {
	p.listener = l
	p.accepting.Go(func() {
		for {
			conn, err := l.Accept()
			if errors.Is(err, net.ErrClosed) {
				return
			}
			if err != nil {
				time.Sleep(acceptRetryPause)
				continue
			}
			if p.rejectsAll() {
				_ = conn.Close()
				continue
			}
			c, err := nbio.NBConn(conn)
			if err != nil {
				_ = conn.Close()
				continue
			}
			p.acceptMu.Lock()
			if _, err := p.engine.AddConn(c); err != nil {
				_ = c.Close()
			}
			p.acceptMu.Unlock()
		}
	})
}

// rejectsAll reports whether a new connection is closed whatever its first bytes are.
func (p *Proxy) rejectsAll() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.closed || p.faults.Refuse || p.faults.Cut && p.faults.ConnectionMatch == ""
}

// setListening opens or closes the listener. The caller holds faultsMu.
func (p *Proxy) setListening(listening bool) error {
	switch {
	case listening && p.listener == nil:
		l, err := net.Listen("tcp", p.address)
		if err != nil {
			return fmt.Errorf("fault proxy: listen again on %s: %w", p.address, err)
		}
		p.serve(l)
	case !listening && p.listener != nil:
		_ = p.listener.Close()
		p.listener = nil
	}
	return nil
}

// Close closes the listener and every connection.
func (p *Proxy) Close() {
	p.faultsMu.Lock()
	defer p.faultsMu.Unlock()
	p.mu.Lock()
	p.closed = true
	p.mu.Unlock()
	_ = p.setListening(false)
	p.accepting.Wait()
	p.closeLinks(func(*link) bool { return true })
	stopped := make(chan struct{})
	go func() {
		defer close(stopped)
		p.engine.Stop()
	}()
	select {
	case <-stopped:
	case <-time.After(stopTimeout):
		// nbio waits for ever for a connection that it has lost track of.
	}
	p.pool.Close()
}

// Faults returns the current faults.
func (p *Proxy) Faults() Faults {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.faults
}

// Counters returns the current counters.
func (p *Proxy) Counters() Counters {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.counters
}

// SetFaults replaces the faults, or returns an error and changes nothing if the new
// ones are invalid or the proxy cannot listen again. It closes the connections that the
// new faults cut, and those that have lost bytes in a direction that is no longer blocked
// by BlockDiscard.
func (p *Proxy) SetFaults(f Faults) error {
	if err := f.Check(); err != nil {
		return err
	}
	p.faultsMu.Lock()
	defer p.faultsMu.Unlock()
	p.mu.Lock()
	closed := p.closed
	p.mu.Unlock()
	if err := p.setListening(!f.Refuse && !closed); err != nil {
		return err
	}
	p.mu.Lock()
	p.faults = f
	for l := range p.links {
		for _, fl := range []*flow{l.up, l.down} {
			p.scheduleDelivery(fl)
		}
	}
	p.mu.Unlock()
	p.closeLinks(func(l *link) bool {
		disturbed := p.faultsApply(l)
		if l.silenced {
			return f.Refuse || disturbed && f.Cut
		}
		return f.Refuse || disturbed && f.Cut || l.up.hasGap && !(disturbed && f.Up.Block == BlockDiscard) ||
			l.down.hasGap && !(disturbed && f.Down.Block == BlockDiscard)
	})
	return nil
}

// Silence makes the connections that are open now transfer no more bytes in either
// direction, for good and without closing them. New connections work. A client can only
// notice by a time-out or a keep-alive of its own.
func (p *Proxy) Silence() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for l := range p.links {
		l.silenced = true
	}
}

func (p *Proxy) closeLinks(which func(*link) bool) {
	p.acceptMu.Lock()
	defer p.acceptMu.Unlock()
	var conns []*nbio.Conn
	p.mu.Lock()
	for l := range p.links {
		if which(l) {
			conns = append(conns, l.up.from, l.up.to)
		}
	}
	p.mu.Unlock()
	for _, c := range conns {
		if c != nil {
			_ = c.Close()
		}
	}
}

// onOpen handles a new connection. One that has a session already is not from a
// client: it is the proxy's own connection to the server, or the probe of
// nbiosetup.WaitPolling.
func (p *Proxy) onOpen(c *nbio.Conn) {
	if c.Session() != nil {
		return
	}
	l := &link{}
	l.up = &flow{link: l, isUp: true, from: c, busy: true}
	l.down = &flow{link: l, to: c}
	c.SetSession(l.up)
	p.mu.Lock()
	p.counters.Accepted++
	refused := p.faults.Refuse || p.faults.Cut && p.faultsApply(l) || p.closed
	if !refused {
		p.links[l] = true
		p.counters.Open++
	}
	p.mu.Unlock()
	if refused || p.pool.Submit(func() { p.dial(l) }) != nil {
		_ = c.Close()
	}
}

// dial connects the link to the server. The flow to the server is busy until it is
// connected. If that fails, dial closes the connection to the client.
func (p *Proxy) dial(l *link) {
	c, err := p.connect()
	if err != nil {
		p.mu.Lock()
		p.markSourceClosed(l.down)
		p.mu.Unlock()
		_ = l.up.from.Close()
		return
	}
	c.SetSession(l.down)
	p.acceptMu.Lock()
	p.mu.Lock()
	l.up.to, l.down.from = c, c
	p.mu.Unlock()
	if _, err := p.engine.AddConn(c); err != nil {
		_ = c.Close()
	}
	p.acceptMu.Unlock()
	p.mu.Lock()
	l.up.busy = false
	p.scheduleDelivery(l.up)
	p.mu.Unlock()
}

func (p *Proxy) connect() (*nbio.Conn, error) {
	raw, err := net.DialTimeout("tcp", p.target, dialTimeout)
	if err != nil {
		return nil, err
	}
	c, err := nbio.NBConn(raw)
	if err != nil {
		_ = raw.Close()
		return nil, err
	}
	return c, nil
}

// onData queues the bytes received on a connection, unless a fault discards them or
// cuts the connection. It copies them, because nbio reuses the slice.
func (p *Proxy) onData(c *nbio.Conn, data []byte) {
	fl, ok := c.Session().(*flow)
	if !ok {
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if fl.isUp && len(fl.link.firstBytes) < maxFirstBytes {
		fl.link.firstBytes = append(fl.link.firstBytes, data[:min(len(data), maxFirstBytes-len(fl.link.firstBytes))]...)
	}
	if p.faults.Cut && p.faultsApply(fl.link) {
		_ = p.pool.Submit(func() { _ = c.Close() })
		return
	}
	faults := p.directionFaults(fl)
	if faults.Block == BlockDiscard {
		p.recordDiscarded(fl, len(data))
		return
	}
	if fl.queuedBytes+len(data) > maxQueuedBytes {
		_ = p.pool.Submit(func() { _ = c.Close() })
		return
	}
	fl.queuedBytes += len(data)
	for len(data) > 0 {
		n := len(data)
		if faults.PieceBytes > 0 {
			n = min(n, faults.PieceBytes)
		}
		delay := time.Duration(faults.DelayMs) * time.Millisecond
		if faults.JitterMs > 0 {
			delay += time.Duration(p.random.Int64N(int64(faults.JitterMs))) * time.Millisecond
		}
		fl.queue = append(fl.queue, piece{append([]byte(nil), data[:n]...), time.Now().Add(delay)})
		data = data[n:]
	}
	p.scheduleDelivery(fl)
}

// faultsApply reports whether the link matches ConnectionMatch. The caller holds
// the mutex.
func (p *Proxy) faultsApply(l *link) bool {
	return p.faults.ConnectionMatch == "" || bytes.Contains(l.firstBytes, []byte(p.faults.ConnectionMatch))
}

// directionFaults returns the faults of the flow. The caller holds the mutex.
func (p *Proxy) directionFaults(fl *flow) DirectionFaults {
	switch {
	case fl.link.silenced:
		return DirectionFaults{Block: BlockDiscard}
	case !p.faultsApply(fl.link):
		return DirectionFaults{}
	case fl.isUp:
		return p.faults.Up
	default:
		return p.faults.Down
	}
}

// recordDiscarded counts n dropped bytes of the flow and marks its gap. The
// caller holds the mutex.
func (p *Proxy) recordDiscarded(fl *flow, n int) {
	fl.hasGap = true
	if fl.isUp {
		p.counters.UpDiscarded += int64(n)
	} else {
		p.counters.DownDiscarded += int64(n)
	}
}

// scheduleDelivery hands a flow to a worker unless it is busy or has nothing to
// deliver. The caller holds the mutex.
func (p *Proxy) scheduleDelivery(fl *flow) {
	if fl.busy || len(fl.queue) == 0 && !fl.sourceClosed {
		return
	}
	fl.busy = true
	if p.pool.Submit(func() { p.deliver(fl) }) != nil {
		fl.busy = false
	}
}

// deliver writes the queued pieces in order. It returns when the queue is empty,
// the flow is held, or the next piece has to wait for its time; a timer then
// resumes the delivery. Once the source has closed and everything is sent, it
// closes the destination.
func (p *Proxy) deliver(fl *flow) {
	for {
		p.mu.Lock()
		faults := p.directionFaults(fl)
		switch {
		case faults.Block == BlockHold:
			fl.busy = false
			p.mu.Unlock()
			return
		case len(fl.queue) == 0:
			fl.busy = false
			// The client of a silenced link does not learn that the server has closed it.
			done := fl.sourceClosed && fl.unsentBytes == 0 && (fl.isUp || !fl.link.silenced)
			p.mu.Unlock()
			if done {
				_ = fl.to.Close()
			}
			return
		}
		next := fl.queue[0]
		if wait := time.Until(next.sendAt); wait > 0 {
			p.mu.Unlock()
			time.AfterFunc(wait, func() { p.resumeDelivery(fl) })
			return
		}
		fl.queue = fl.queue[1:]
		fl.queuedBytes -= len(next.data)
		if faults.Block == BlockDiscard {
			p.recordDiscarded(fl, len(next.data))
			p.mu.Unlock()
			continue
		}
		fl.unsentBytes += len(next.data)
		if fl.isUp {
			p.counters.UpBytes += int64(len(next.data))
		} else {
			p.counters.DownBytes += int64(len(next.data))
		}
		p.mu.Unlock()
		// A failed write closes the connection, and nbio then calls onClose.
		_, _ = fl.to.Write(next.data)
	}
}

func (p *Proxy) resumeDelivery(fl *flow) {
	p.mu.Lock()
	defer p.mu.Unlock()
	fl.busy = false
	p.scheduleDelivery(fl)
}

// onWritten is called when nbio has handed n bytes for the connection to the
// kernel, also from within Write. The bytes belong to the flow that ends at the
// connection.
func (p *Proxy) onWritten(c *nbio.Conn, _ []byte, n int) {
	fl, ok := c.Session().(*flow)
	if !ok {
		return
	}
	other := fl.link.up
	if fl.isUp {
		other = fl.link.down
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	other.unsentBytes -= n
	if other.unsentBytes == 0 && other.sourceClosed {
		p.scheduleDelivery(other)
	}
}

// onClose marks the source of the flow that begins at the connection as closed.
// deliver closes the link's other connection after the remaining bytes.
func (p *Proxy) onClose(c *nbio.Conn) {
	fl, ok := c.Session().(*flow)
	if !ok {
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.markSourceClosed(fl)
	if fl.to != nil {
		p.scheduleDelivery(fl)
	}
}

// markSourceClosed notes that the source of a flow has closed, and forgets the
// link if both sources have. The caller holds the mutex.
func (p *Proxy) markSourceClosed(fl *flow) {
	fl.sourceClosed = true
	if fl.link.up.sourceClosed && fl.link.down.sourceClosed && p.links[fl.link] {
		delete(p.links, fl.link)
		p.counters.Open--
	}
}
