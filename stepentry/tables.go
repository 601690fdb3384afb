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

// configTable is the first in the lock order.
type configTable struct {
	mu    sync.Mutex
	table access.Config
	// known is false before the first version.
	known bool
	// provenAt is when the newest read began that showed no later version, on
	// the boot-time clock.
	provenAt time.Time
	// keyGrace is the longest time that a key is honoured without such a read.
	keyGrace time.Duration
}

// recordTable is the second in the lock order.
type recordTable struct {
	mu    sync.Mutex
	state *stepfold.State
	// provenAt is when the newest read began that has been folded.
	provenAt time.Time
	// steadySince is when the reads last began to succeed; beatAt is when the
	// planner's newest beat was folded.
	steadySince, beatAt time.Time
	// advanced is signalled when records were folded.
	advanced chan struct{}
}

// agentLink is the planner's connection to one agent.
type agentLink struct {
	address string
	conn    *rpc.Conn
	session int
	dialing bool
	// storedLife and storedThrough are the worker's life and the number of its
	// newest end that is stored.
	storedLife    string
	storedThrough int64
}

// uplinkTable is the last in the lock order: this entry's connection to the one
// that plans.
type uplinkTable struct {
	mu      sync.Mutex
	address string
	// conn is nil while there is no connection.
	conn *rpc.Conn
}

// plannerTable is the third in the lock order. board is nil while this entry
// does not plan.
type plannerTable struct {
	mu    sync.Mutex
	board *stepplan.Scheduler
	term  int64
	// timing holds the bounds of the newest settings.
	timing stepplan.Timing
	// fence orders the planner's appends.
	fence recordlog.Fence
	// checkedAt is when the newest successful append of the term began.
	checkedAt time.Time
	// sessions numbers the sessions with agents.
	sessions int
	links    map[string]*agentLink
	// watchers are the connections of entries that ask whether this one plans.
	watchers map[*rpc.Conn]struct{}
	// cancel ends the term.
	cancel func()
	// due is signalled when a planning pass is to run.
	due chan struct{}
}
