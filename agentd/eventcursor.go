package agentd

import (
	"sync"

	"celerypoint.example/celerypoint/wire"
)

// firstEvent is the sequence number of the first event of a runtime process.
const firstEvent = 1

// eventCursor is a position in the events of the worker runtime. A runtime that
// restarts numbers its events from firstEvent again. What it returns for a number of
// its predecessor may begin after events that the agent has not seen.
type eventCursor struct {
	// boot identifies the process of the runtime; it is empty for a runtime that
	// does not name its process.
	boot string
	// next is the sequence number of the next event to read.
	next int
}

// newEventCursor returns the position after all events that the runtime has when it
// returns the given ones.
func newEventCursor(e wire.TaskEvents) eventCursor { return eventCursor{boot: e.Boot, next: e.Next} }

// restarted reports whether the events are those of another process of the runtime
// than the one that the cursor belongs to.
func (c eventCursor) restarted(e wire.TaskEvents) bool { return e.Boot != c.boot || e.Next < c.next }

// take returns the events that follow the cursor and moves it behind them. After a
// restart of the runtime it returns none and moves the cursor to the first event of
// the new process.
func (c *eventCursor) take(e wire.TaskEvents) []wire.TaskEvent {
	if c.restarted(e) {
		*c = eventCursor{boot: e.Boot, next: firstEvent}
		return nil
	}
	c.next = e.Next
	return e.Events
}

// sharedCursor is the position after the newest event that pollEvents has handled.
type sharedCursor struct {
	mu     sync.Mutex
	cursor eventCursor
}

func (s *sharedCursor) get() eventCursor {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.cursor
}

func (s *sharedCursor) set(c eventCursor) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.cursor = c
}
