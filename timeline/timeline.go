// Package timeline keeps the newest events of a process, so that what happened
// over all processes can be read as one ordered list. Each Ring owns its
// events and has one mutex, which is taken last.
package timeline

import (
	"sync"
	"time"
)

// ringSize bounds the events that a process keeps.
const ringSize = 4096

// Event is one thing that happened.
type Event struct {
	At time.Time
	// Process names the entry or the VM whose process saw it.
	Process string
	// Kind is in camelCase, such as jobAccepted or memberStarted.
	Kind   string
	Job    string
	Org    string
	VM     string
	Offset int64
	Detail string
	// Sequence counts the events of one process from 1.
	Sequence int64
}

// Ring holds the newest events of one process. It is safe for concurrent use.
type Ring struct {
	process string
	mu      sync.Mutex
	events  []Event
	last    int64
}

// NewRing makes the ring of a process.
func NewRing(process string) *Ring { return &Ring{process: process} }

// Add records an event; it sets Process and Sequence, and At when it is zero.
func (r *Ring) Add(e Event) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if e.At.IsZero() {
		e.At = time.Now()
	}
	r.last++
	e.Process = r.process
	e.Sequence = r.last
	if len(r.events) < ringSize {
		r.events = append(r.events, e)
		return
	}
	r.events[(r.last-1)%ringSize] = e
}

// Since returns at most limit events with a sequence from on, oldest first,
// and the sequence to ask for next. Events that the ring no longer holds are
// skipped.
func (r *Ring) Since(from int64, limit int) ([]Event, int64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	oldest := max(1, r.last-int64(len(r.events))+1)
	from = max(from, oldest)
	var events []Event
	for s := from; s <= r.last && len(events) < limit; s++ {
		events = append(events, r.events[(s-1)%ringSize])
	}
	return events, from + int64(len(events))
}
