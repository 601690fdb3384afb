package stepentry

import (
	"sync"
	"time"

	"celerypoint.example/celerypoint/access"
	"celerypoint.example/celerypoint/recordlog"
	"celerypoint.example/celerypoint/rpc"
	"celerypoint.example/celerypoint/stepfold"
	"celerypoint.example/celerypoint/stepplan"
)

// configTable holds the newest configuration. Its mutex is the first in the
// lock order.
type configTable struct {
	mu      sync.Mutex
	current access.Config
	// known is false until the first configuration has been read.
	known bool
	// currentAsOf is the time, on the boot-time clock, at which the newest
	// successful read began: current includes every version stored before that
	// time.
	currentAsOf time.Time
	// keyGrace is the longest time for which keys are accepted without such a
	// read.
	keyGrace time.Duration
}

// recordTable holds the state built from the system's own records. Its mutex is
// the second in the lock order.
type recordTable struct {
	mu    sync.Mutex
	state *stepfold.State
	// currentAsOf is the time, on the boot-time clock, at which the newest read
	// began whose records have all been applied to state.
	currentAsOf time.Time
	// readableSince is when reads last began to succeed again; it is zero while
	// they fail. heartbeatAt is when the planner's newest record was applied.
	readableSince, heartbeatAt time.Time
	// applied is signalled after a read whose records have been applied.
	applied chan struct{}
}

// agentLink is the planner's connection to one agent. conn is nil while there is
// no session.
type agentLink struct {
	address string
	conn    *rpc.Conn
	session int
	dialing bool
	// lastStoredEnd is the number of the newest ended run of the worker
	// incarnation storedIncarnation whose outcome is stored. The agent may let
	// the worker forget ended runs up to it.
	storedIncarnation string
	lastStoredEnd     int64
}

// plannerLinkTable holds this entry's connection to the entry that is the
// planner. Its mutex is the last in the lock order.
type plannerLinkTable struct {
	mu      sync.Mutex
	address string
	// conn is nil while there is no connection.
	conn *rpc.Conn
}

// plannerTable holds the state of the term in which this entry is the planner.
// scheduler is nil while it is not. Its mutex is the third in the lock order.
type plannerTable struct {
	mu        sync.Mutex
	scheduler *stepplan.Scheduler
	term      int64
	// timing is taken from the newest settings.
	timing stepplan.Timing
	// fence is the fencing token of the planner's next append.
	fence recordlog.Fence
	// lastAppendAt is when the newest successful append of the term began. It
	// shows that the store had not seen a later term at that time.
	lastAppendAt time.Time
	// lastSession is the number of the newest session with any agent.
	lastSession int
	links       map[string]*agentLink
	// watchers are the connections of other entries that have pinged this one
	// while it was the planner.
	watchers map[*rpc.Conn]struct{}
	// cancel cancels the context of the term's goroutines.
	cancel func()
	// passRequested is signalled when a planning pass should run soon.
	passRequested chan struct{}
}
