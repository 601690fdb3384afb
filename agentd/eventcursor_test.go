package agentd

import (
	"testing"

	qt "github.com/frankban/quicktest"

	"celerypoint.example/celerypoint/wire"
)

// TestEventCursor guards against the end of a task that is never reported: the
// runtime restarts, and a short task starts and ends before the agent reads events
// again, from the sequence number that follows the last event of the earlier process.
func TestEventCursor(t *testing.T) {
	event := func(sequence int) wire.TaskEvent { return wire.TaskEvent{Sequence: sequence} }
	for _, test := range []struct {
		name   string
		cursor eventCursor
		reply  wire.TaskEvents
		want   []wire.TaskEvent
		next   eventCursor
	}{
		{"further events", eventCursor{"a", 3}, wire.TaskEvents{Boot: "a", Events: []wire.TaskEvent{event(3)}, Next: 4}, []wire.TaskEvent{event(3)}, eventCursor{"a", 4}},
		{"no further event", eventCursor{"a", 3}, wire.TaskEvents{Boot: "a", Next: 3}, nil, eventCursor{"a", 3}},
		{"restarted, fewer events than before", eventCursor{"a", 9}, wire.TaskEvents{Boot: "b", Next: 3}, nil, eventCursor{"b", firstEvent}},
		{"restarted, more events than before", eventCursor{"a", 3}, wire.TaskEvents{Boot: "b", Events: []wire.TaskEvent{event(3), event(4)}, Next: 5}, nil, eventCursor{"b", firstEvent}},
		{"restarted, process not named", eventCursor{"", 9}, wire.TaskEvents{Next: 3}, nil, eventCursor{"", firstEvent}},
	} {
		t.Run(test.name, func(t *testing.T) {
			c := test.cursor
			qt.Assert(t, c.take(test.reply), qt.DeepEquals, test.want)
			qt.Assert(t, c, qt.Equals, test.next)
		})
	}
}
