// Package connlimit bounds what the connections of one server may use together: their number,
// the bytes that they make the server hold, and the bytes of the requests in progress. When
// a limit is reached, it chooses the connections to close. A connection that holds little is
// not closed for those that hold much, so that a few clients cannot use up what all share.
//
// The package has no clock and does no input or output. A Table owns the usage of the open
// connections; its mutex is not held while a connection is closed, and no other lock is taken
// under it.
package connlimit

import (
	"cmp"
	"slices"
	"sync"
	"time"
)

// Limits are the limits of one server.
type Limits struct {
	// Connections is the number of open connections of clients, at least 1.
	Connections int
	// HeldBytes bounds the bytes of all connections that closing them would free: input that
	// is not complete, requests that wait for a handler, and output that the client has not
	// taken.
	HeldBytes int64
	// ActiveBytes bounds the bytes of the requests in progress, which are freed only when
	// their handlers have returned.
	ActiveBytes int64
}

// freePart is the part of HeldBytes that is freed at once when the limit is reached, so that a
// client cannot make the server look for the next connection to close with each of its bytes.
const freePart = 8

// minActiveBytes is what the requests in progress of one connection may always use, also if
// those of the others use up ActiveBytes.
const minActiveBytes = 16 << 10

// Reason says why a connection was closed or not accepted.
type Reason string

const (
	// ReasonHeldBytes means that the connection held more than most when HeldBytes was reached.
	ReasonHeldBytes Reason = "heldBytes"
	// ReasonIdle means that the connection had been unused for longest when the number of
	// connections was reached.
	ReasonIdle Reason = "idle"
	// ReasonNoneIdle means that no connection could be closed for a new one, because all had
	// requests in progress.
	ReasonNoneIdle Reason = "noneIdle"
)

// Refusal is a request that was refused, or a connection that was closed, because of a limit.
type Refusal struct {
	// Reason is a Reason of this package, or one of the server's own limits of a request.
	Reason string
	// Remote is the address of the client.
	Remote string
}

// usage is what one open connection uses.
type usage struct {
	// ID is never 0 and is not used again.
	ID uint64
	// HeldBytes and ActiveBytes count towards the limits of the same names.
	HeldBytes, ActiveBytes int64
	// Requests is the number of requests that are complete and not answered yet.
	Requests int
	// Served says that a request of the connection has been answered.
	Served bool
	// Trusted says that this process opened the connection. Those that clients opened are
	// closed first. The address of a client does not make it trusted.
	Trusted bool
	// LastUsed is when the connection was opened, or a request was completed or answered last.
	LastUsed time.Time
}

// connection is an entry of a Table. A closed one remains while it has requests in progress.
type connection struct {
	usage
	close  func(Reason)
	closed bool
}

// Table holds the usage of a server's connections. Use New to create one.
type Table struct {
	limits Limits

	mu sync.Mutex
	// connections holds the open connections, and closed ones with requests in progress.
	connections map[uint64]*connection
	lastID      uint64
	// open is the number of open connections of clients. held and active are the sums of the
	// HeldBytes and ActiveBytes of all connections.
	open         int
	held, active int64
}

// New returns an empty table.
func New(l Limits) *Table { return &Table{limits: l, connections: map[uint64]*connection{}} }

// Totals returns the number of open connections of clients, and the sums of the held and the
// active bytes of all connections.
func (t *Table) Totals() (open int, held, active int64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.open, t.held, t.active
}

// MakeRoom makes room for another connection of a client. If the number of connections is
// reached, it closes the one that has been unused for longest. It returns false if there is
// none without requests in progress; then the new connection has to be closed.
func (t *Table) MakeRoom() bool {
	t.mu.Lock()
	full := t.open >= t.limits.Connections
	t.mu.Unlock()
	return !full || t.CloseIdle()
}

// Open adds a connection and returns its ID. Trusted connections do not count towards the
// number of connections. closeConn is called when the table closes the connection, at most once
// and without the table's mutex. It must free what the connection holds.
func (t *Table) Open(trusted bool, now time.Time, closeConn func(Reason)) (id uint64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.lastID++
	t.connections[t.lastID] = &connection{usage: usage{ID: t.lastID, Trusted: trusted, LastUsed: now}, close: closeConn}
	if !trusted {
		t.open++
	}
	return t.lastID
}

// Hold adds delta to the bytes that the connection holds. If that reaches the limit, it closes
// the connections that hold most, which may include this one. It returns false if the
// connection is closed.
func (t *Table) Hold(id uint64, delta int64) bool {
	t.mu.Lock()
	c := t.connections[id]
	if c == nil || c.closed {
		t.mu.Unlock()
		return false
	}
	c.HeldBytes += delta
	t.held += delta
	var victims []*connection
	if delta > 0 && t.held > t.limits.HeldBytes {
		victims = t.largest()
	}
	open := !c.closed
	t.mu.Unlock()
	for _, v := range victims {
		v.close(ReasonHeldBytes)
	}
	return open
}

// Complete adds a complete request, which waits for a handler, and its bytes, as Hold does. It
// returns false if the connection is closed. Then the request must not be handled.
func (t *Table) Complete(id uint64, bytes int64, now time.Time) bool {
	t.mu.Lock()
	if c := t.connections[id]; c != nil && !c.closed {
		c.Requests++
		c.LastUsed = now
	}
	t.mu.Unlock()
	return t.Hold(id, bytes)
}

// Begin moves the bytes of a request from the held to the active ones, before its handler is
// called. It returns false and leaves them where they are if the active bytes are used up.
// Then the request must not be handled. The connection may be closed.
func (t *Table) Begin(id uint64, bytes int64) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	c := t.connections[id]
	if c == nil {
		c = &connection{usage: usage{ID: id}, closed: true}
	}
	if t.active+bytes > t.limits.ActiveBytes && c.ActiveBytes+bytes > minActiveBytes {
		return false
	}
	if c.closed {
		t.connections[id] = c
	} else {
		c.HeldBytes -= bytes
		t.held -= bytes
	}
	c.ActiveBytes += bytes
	t.active += bytes
	return true
}

// Release removes bytes of a request that are freed before its end. Begin has returned true for
// it.
func (t *Table) Release(id uint64, bytes int64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if c := t.connections[id]; c != nil {
		t.release(c, bytes)
	}
}

// End removes a request that has ended, and its bytes that have not been released. Begin has
// returned true for it.
func (t *Table) End(id uint64, bytes int64, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if c := t.connections[id]; c != nil {
		c.answered(now)
		t.release(c, bytes)
	}
}

// release removes active bytes of a connection. The caller holds the mutex.
func (t *Table) release(c *connection, bytes int64) {
	c.ActiveBytes -= bytes
	t.active -= bytes
	if c.closed && c.ActiveBytes <= 0 {
		delete(t.connections, c.ID)
	}
}

// Refuse removes a request that is answered without a handler, and its bytes. Begin has
// returned false for it.
func (t *Table) Refuse(id uint64, bytes int64, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if c := t.connections[id]; c != nil && !c.closed {
		c.HeldBytes -= bytes
		t.held -= bytes
		c.answered(now)
	}
}

func (c *connection) answered(now time.Time) {
	c.Requests--
	c.Served, c.LastUsed = true, now
}

// CloseIdle closes the connection that has been unused for longest. It returns false if there
// is none without requests in progress.
func (t *Table) CloseIdle() bool {
	t.mu.Lock()
	victim := t.leastRecentlyUsed()
	if victim != nil {
		t.remove(victim)
	}
	t.mu.Unlock()
	if victim == nil {
		return false
	}
	victim.close(ReasonIdle)
	return true
}

// Close removes the connection and what it holds. The bytes of its requests in progress are
// counted until their End.
func (t *Table) Close(id uint64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if c := t.connections[id]; c != nil && !c.closed {
		t.remove(c)
	}
}

// remove marks the connection as closed. The caller holds the mutex.
func (t *Table) remove(c *connection) {
	c.closed = true
	if !c.Trusted {
		t.open--
	}
	t.held -= c.HeldBytes
	c.HeldBytes = 0
	if c.ActiveBytes <= 0 {
		delete(t.connections, c.ID)
	}
}

// leastRecentlyUsed returns the connection to close for a new one, or nil if all have requests
// in progress. The caller holds the mutex.
func (t *Table) leastRecentlyUsed() *connection {
	var first *connection
	for _, c := range t.connections {
		if c.closed || c.Trusted || c.Requests > 0 {
			continue
		}
		if first == nil || compareIdle(c.usage, first.usage) < 0 {
			first = c
		}
	}
	return first
}

// compareIdle orders connections without requests by which is closed first for a new one: those
// that have not been served, those unused for longest.
func compareIdle(a, b usage) int {
	return cmp.Or(compareBool(a.Served, b.Served), a.LastUsed.Compare(b.LastUsed), cmp.Compare(a.ID, b.ID))
}

// compareHeld orders connections by which is closed first for its held bytes.
func compareHeld(a, b usage) int {
	return cmp.Or(compareBool(a.Trusted, b.Trusted), cmp.Compare(b.HeldBytes, a.HeldBytes), cmp.Compare(a.ID, b.ID))
}

func compareBool(a, b bool) int {
	switch {
	case a == b:
		return 0
	case b:
		return -1
	default:
		return 1
	}
}

// largest removes the connections that hold most until a part of HeldBytes is free again, and
// returns them. The caller holds the mutex.
func (t *Table) largest() []*connection {
	var holders []*connection
	for _, c := range t.connections {
		if !c.closed && c.HeldBytes > 0 {
			holders = append(holders, c)
		}
	}
	slices.SortFunc(holders, func(a, b *connection) int { return compareHeld(a.usage, b.usage) })
	most := t.limits.HeldBytes - t.limits.HeldBytes/freePart
	n := 0
	for n < len(holders) && t.held > most {
		t.remove(holders[n])
		n++
	}
	return holders[:n]
}
