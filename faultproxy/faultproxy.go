// Package faultproxy is a TCP proxy for one link between two processes under
// test. It cuts the link, holds or discards the bytes of one direction while
// the connection stays open, delays bytes with seeded jitter and splits them
// into small pieces. It is a test tool and no part of the product.
//
// Socket callbacks only queue bytes; a pool of workers writes them, and timers
// wake what has to wait. One mutex guards all tables; it is not held during a
// write.
package faultproxy

import (
	"bytes"
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

// maxFirstBytes bounds the bytes that Faults.Only is looked for in.
const maxFirstBytes = 16 << 10

// maxQueuedBytes bounds what one direction of one connection holds; beyond it
// the connection is closed.
const maxQueuedBytes = 64 << 20

const (
	workers     = 4
	queueDepth  = 1 << 14
	dialTimeout = time.Second
)

// Block says what happens to the bytes of a direction.
type Block string

// The blocks.
const (
	// BlockNone lets bytes pass.
	BlockNone Block = ""
	// BlockHold keeps bytes until the block ends.
	BlockHold Block = "hold"
	// BlockDiscard drops bytes, so that what follows is no longer whole: the
	// connection is closed when the block ends.
	BlockDiscard Block = "discard"
)

// DirectionFaults is what happens to the bytes of one direction.
type DirectionFaults struct {
	Block Block `json:"block"`
	// DelayMs holds every piece that long, plus up to JitterMs.
	DelayMs  int `json:"delayMs"`
	JitterMs int `json:"jitterMs"`
	// PieceBytes is the longest piece that is written at once, 0 for no bound.
	PieceBytes int `json:"pieceBytes"`
}

// Faults are the faults of the link. The zero value has none.
type Faults struct {
	// ConnectionMatch limits the faults to connections whose first bytes from the client
	// contain the text, so that one proxy in front of a server can disturb the
	// link of one client. Empty means every connection.
	ConnectionMatch string `json:"only"`
	// Cut closes every connection, and new ones as soon as they open.
	Cut bool `json:"cut"`
	// Up goes from the client to the server, Down back.
	Up   DirectionFaults `json:"up"`
	Down DirectionFaults `json:"down"`
}

// Check reports which field is wrong, or nil.
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
	// Accepted counts connections of clients, Open those that are open.
	Accepted int `json:"accepted"`
	Open     int `json:"open"`
	// UpBytes and DownBytes were passed on, UpDiscarded and DownDiscarded were
	// not.
	UpBytes       int64 `json:"upBytes"`
	DownBytes     int64 `json:"downBytes"`
	UpDiscarded   int64 `json:"upDiscarded"`
	DownDiscarded int64 `json:"downDiscarded"`
}

// Proxy is a running proxy. It is safe for concurrent use.
type Proxy struct {
	target string
	engine *nbio.Engine
	pool   *workpool.Pool

	mu       sync.Mutex
	faults   Faults
	counters Counters
	random   *rand.Rand
	links    map[*link]bool
	closed   bool
}

// link is one connection of a client with its connection to the server.
type link struct {
	up, down *flow
	// first holds the first bytes from the client.
	first []byte
}

// flow is one direction of a link.
type flow struct {
	link     *link
	isUp     bool
	from, to *nbio.Conn
	queue    []piece
	queued   int
	// unsent counts the bytes that nbio holds for the connection to.
	unsent int
	// busy says that a worker or a timer has the flow.
	busy bool
	// ended says that from has closed; the rest is still delivered.
	ended bool
	// torn says that bytes were discarded.
	torn bool
}

type piece struct {
	data []byte
	due  time.Time
}

// New listens on the TCP address and passes connections on to the target.
// The seed decides the jitter.
func New(address, target string, seed uint64) (*Proxy, error) {
	nbiosetup.ApplyLimits()
	listener, err := nbiosetup.Listen(address)
	if err != nil {
		return nil, fmt.Errorf("fault proxy: listen on %s: %w", address, err)
	}
	p := &Proxy{
		target: target, pool: workpool.New(workers, queueDepth),
		random: rand.New(rand.NewPCG(seed, 0)), links: map[*link]bool{},
	}
	p.engine = nbio.NewEngine(nbio.Config{
		Name: "faultproxy", Network: "tcp", Addrs: []string{listener.Addr().String()}, Listen: listener.ListenFunc, NPoller: 1,
		ReadBufferSize: 64 << 10, MaxWriteBufferSize: maxQueuedBytes,
		// With a bound, nbio closes a connection whose other side has closed
		// before it has read everything.
		MaxConnReadTimesPerEventLoop: math.MaxInt32,
	})
	p.engine.OnOpen(p.opened)
	p.engine.OnData(p.received)
	p.engine.OnWrittenSize(p.written)
	p.engine.OnClose(func(c *nbio.Conn, _ error) { p.connClosed(c) })
	if err := p.engine.Start(); err != nil {
		_ = listener.Close()
		p.pool.Close()
		return nil, fmt.Errorf("fault proxy: start on %s: %w", address, err)
	}
	listener.WaitAccepting()
	if err := nbiosetup.WaitPolling(p.engine); err != nil {
		return nil, fmt.Errorf("fault proxy: start on %s: %w", address, err)
	}
	return p, nil
}

// Address is the address that the proxy listens on.
func (p *Proxy) Address() string { return p.engine.Addrs[0] }

// Close closes the listener and every connection.
func (p *Proxy) Close() {
	p.mu.Lock()
	p.closed = true
	p.mu.Unlock()
	p.closeLinks(func(*link) bool { return true })
	p.engine.Stop()
	p.pool.Close()
}

// Faults returns the faults in force.
func (p *Proxy) Faults() Faults {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.faults
}

// Counters returns what the proxy has done.
func (p *Proxy) Counters() Counters {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.counters
}

// SetFaults replaces the faults; wrong ones change nothing.
func (p *Proxy) SetFaults(f Faults) error {
	if err := f.Check(); err != nil {
		return err
	}
	p.mu.Lock()
	p.faults = f
	for l := range p.links {
		for _, w := range []*flow{l.up, l.down} {
			p.wake(w)
		}
	}
	p.mu.Unlock()
	p.closeLinks(func(l *link) bool {
		disturbed := p.applies(l)
		return disturbed && f.Cut || l.up.torn && !(disturbed && f.Up.Block == BlockDiscard) ||
			l.down.torn && !(disturbed && f.Down.Block == BlockDiscard)
	})
	return nil
}

func (p *Proxy) closeLinks(which func(*link) bool) {
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

func (p *Proxy) opened(c *nbio.Conn) {
	if c.Session() != nil {
		return
	}
	l := &link{}
	l.up = &flow{link: l, isUp: true, from: c, busy: true}
	l.down = &flow{link: l, to: c}
	c.SetSession(l.up)
	p.mu.Lock()
	p.counters.Accepted++
	refused := p.faults.Cut && p.applies(l) || p.closed
	if !refused {
		p.links[l] = true
		p.counters.Open++
	}
	p.mu.Unlock()
	if refused || p.pool.Submit(func() { p.dial(l) }) != nil {
		_ = c.Close()
	}
}

// dial connects the link to the server; until then the upward flow is busy.
func (p *Proxy) dial(l *link) {
	c, err := p.connect(l)
	if err != nil {
		p.mu.Lock()
		p.end(l.down)
		p.mu.Unlock()
		_ = l.up.from.Close()
		return
	}
	if _, err := p.engine.AddConn(c); err != nil {
		_ = c.Close()
	}
	p.mu.Lock()
	l.up.busy = false
	p.wake(l.up)
	p.mu.Unlock()
}

func (p *Proxy) connect(l *link) (*nbio.Conn, error) {
	raw, err := net.DialTimeout("tcp", p.target, dialTimeout)
	if err != nil {
		return nil, err
	}
	c, err := nbio.NBConn(raw)
	if err != nil {
		_ = raw.Close()
		return nil, err
	}
	c.SetSession(l.down)
	p.mu.Lock()
	l.up.to, l.down.from = c, c
	p.mu.Unlock()
	return c, nil
}

// received queues the bytes that a connection got; nbio reuses the slice.
func (p *Proxy) received(c *nbio.Conn, data []byte) {
	w, ok := c.Session().(*flow)
	if !ok {
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if w.isUp && len(w.link.first) < maxFirstBytes {
		w.link.first = append(w.link.first, data[:min(len(data), maxFirstBytes-len(w.link.first))]...)
	}
	if p.faults.Cut && p.applies(w.link) {
		_ = p.pool.Submit(func() { _ = c.Close() })
		return
	}
	lane := p.lane(w)
	if lane.Block == BlockDiscard {
		p.discard(w, len(data))
		return
	}
	if w.queued+len(data) > maxQueuedBytes {
		_ = p.pool.Submit(func() { _ = c.Close() })
		return
	}
	w.queued += len(data)
	for len(data) > 0 {
		n := len(data)
		if lane.PieceBytes > 0 {
			n = min(n, lane.PieceBytes)
		}
		delay := time.Duration(lane.DelayMs) * time.Millisecond
		if lane.JitterMs > 0 {
			delay += time.Duration(p.random.Int64N(int64(lane.JitterMs))) * time.Millisecond
		}
		w.queue = append(w.queue, piece{append([]byte(nil), data[:n]...), time.Now().Add(delay)})
		data = data[n:]
	}
	p.wake(w)
}

// applies reports whether the faults concern the link. The mutex is held.
func (p *Proxy) applies(l *link) bool {
	return p.faults.ConnectionMatch == "" || bytes.Contains(l.first, []byte(p.faults.ConnectionMatch))
}

func (p *Proxy) lane(w *flow) DirectionFaults {
	switch {
	case !p.applies(w.link):
		return DirectionFaults{}
	case w.isUp:
		return p.faults.Up
	default:
		return p.faults.Down
	}
}

func (p *Proxy) discard(w *flow, n int) {
	w.torn = true
	if w.isUp {
		p.counters.UpDiscarded += int64(n)
	} else {
		p.counters.DownDiscarded += int64(n)
	}
}

// wake hands a flow to a worker unless one has it. The mutex is held.
func (p *Proxy) wake(w *flow) {
	if w.busy || len(w.queue) == 0 && !w.ended {
		return
	}
	w.busy = true
	if p.pool.Submit(func() { p.deliver(w) }) != nil {
		w.busy = false
	}
}

// deliver writes what is due, in order, and ends when the flow has to wait.
func (p *Proxy) deliver(w *flow) {
	for {
		p.mu.Lock()
		lane := p.lane(w)
		switch {
		case lane.Block == BlockHold:
			w.busy = false
			p.mu.Unlock()
			return
		case len(w.queue) == 0:
			w.busy = false
			done := w.ended && w.unsent == 0
			p.mu.Unlock()
			if done {
				_ = w.to.Close()
			}
			return
		}
		next := w.queue[0]
		if wait := time.Until(next.due); wait > 0 {
			p.mu.Unlock()
			time.AfterFunc(wait, func() { p.resume(w) })
			return
		}
		w.queue = w.queue[1:]
		w.queued -= len(next.data)
		if lane.Block == BlockDiscard {
			p.discard(w, len(next.data))
			p.mu.Unlock()
			continue
		}
		w.unsent += len(next.data)
		if w.isUp {
			p.counters.UpBytes += int64(len(next.data))
		} else {
			p.counters.DownBytes += int64(len(next.data))
		}
		p.mu.Unlock()
		// A failed write closes the connection, which connClosed sees.
		_, _ = w.to.Write(next.data)
	}
}

func (p *Proxy) resume(w *flow) {
	p.mu.Lock()
	defer p.mu.Unlock()
	w.busy = false
	p.wake(w)
}

// written is called with what nbio has handed to the kernel, within Write too.
func (p *Proxy) written(c *nbio.Conn, _ []byte, n int) {
	w, ok := c.Session().(*flow)
	if !ok {
		return
	}
	other := w.link.up
	if w.isUp {
		other = w.link.down
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	other.unsent -= n
	if other.unsent == 0 && other.ended {
		p.wake(other)
	}
}

// connClosed passes the end on once the rest is delivered.
func (p *Proxy) connClosed(c *nbio.Conn) {
	w, ok := c.Session().(*flow)
	if !ok {
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.end(w)
	if w.to != nil {
		p.wake(w)
	}
}

// end notes that the source of a flow has closed. The mutex is held.
func (p *Proxy) end(w *flow) {
	w.ended = true
	if w.link.up.ended && w.link.down.ended && p.links[w.link] {
		delete(p.links, w.link)
		p.counters.Open--
	}
}
