// Package timeline keeps the most recent events of a process in a ring buffer,
// and merges the events of several processes into one ordered list. Each Ring
// owns its events and has one mutex, which is taken last.
package timeline

import (
	"sync"
	"time"
)

// maxEvents is the capacity of a Ring.
const maxEvents = 4096

// Event records that something happened to a job, an organisation or a VM. Job,
// Org and VM are empty if the event does not concern one.
type Event struct {
	At time.Time
	// Process is the name of the entry or the VM whose process recorded the
	// event.
	Process string
	// Kind is in camelCase, such as jobAccepted or memberStarted.
	Kind string
	Job  string
	Org  string
	VM   string
	// Offset is the offset in the platform's log of the record that the event is
	// about, or zero.
	Offset int64
	Detail string
	// Sequence numbers the events of one process, starting at 1.
	Sequence int64
}

// Ring holds the most recent events of one process. It is safe for concurrent
// use.
type Ring struct {
	process      string
	mu           sync.Mutex
	events       []Event
	lastSequence int64
}

// NewRing returns an empty Ring for the named process.
func NewRing(process string) *Ring { return &Ring{process: process} }

// Add records an event. It sets Process and Sequence, and sets At to the current
// time if it is zero.
func (r *Ring) Add(e Event) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if e.At.IsZero() {
		e.At = time.Now()
	}
	r.lastSequence++
	e.Process = r.process
	e.Sequence = r.lastSequence
	if len(r.events) < maxEvents {
		r.events = append(r.events, e)
		return
	}
	r.events[(r.lastSequence-1)%maxEvents] = e
}

// Since returns at most limit events whose sequence number is at least from,
// oldest first, and the sequence number from which the next call should continue.
// It skips events that have already been overwritten.
func (r *Ring) Since(from int64, limit int) ([]Event, int64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	oldest := max(1, r.lastSequence-int64(len(r.events))+1)
	from = max(from, oldest)
	var events []Event
	for s := from; s <= r.lastSequence && len(events) < limit; s++ {
		events = append(events, r.events[(s-1)%maxEvents])
	}
	return events, from + int64(len(events))
}
