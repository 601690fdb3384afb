package stepentry

import (
	"sync"
	"time"

	"celerypoint.example/celerypoint/access"
	"celerypoint.example/celerypoint/recordlog"
	"celerypoint.example/celerypoint/rpc"
	"celerypoint.example/celerypoint/stepfold"
	"celerypoint.example/celerypoint/stepplan"
	"celerypoint.example/celerypoint/termhistory"
)

// configTable holds the newest configuration. Its mutex is the first in the
// lock order.
type configTable struct {
	mu      sync.Mutex
	current access.Config
	// record is the operator's record of current.
	record recordlog.StoredRecord
	// known is false until the first configuration has been read.
	known bool
	// evacuations holds the newest evacuation record of each zone that has had one.
	evacuations map[string]evacuation
	// readAt is when the newest successful read of the configuration topic began, on
	// CLOCK_BOOTTIME. current is the highest valid version that this read and the reads
	// before it returned.
	readAt time.Time
	// currentAsOf is the newest time, on CLOCK_BOOTTIME, as of which current is known
	// to be the newest version: readAt, or a later time that a peer has confirmed.
	currentAsOf time.Time
	// advanced is closed when currentAsOf advances. It is nil while nobody waits for that.
	advanced chan struct{}
	// readFailing says that the newest read of the configuration topic failed.
	readFailing bool
	// wake makes followConfig read at once.
	wake chan struct{}
	// peerVersion is the highest version that a peer has named while current was older, and
	// peerVersionAt when it first did.
	peerVersion   int64
	peerVersionAt time.Time
	// confirmedByPeerAt is when the newest ping was sent that confirmed current.
	confirmedByPeerAt time.Time
	// Requests are decided by current until the lower of keyGrace and maxAge after
	// currentAsOf, see Config.KeyGrace and Config.MaxConfigAge.
	keyGrace, maxAge time.Duration
}

// evacuation is what the record at the offset says of a zone.
type evacuation struct {
	active bool
	offset int64
}

// evacuatedZones returns the zones that are evacuated. The caller holds the mutex.
func (t *configTable) evacuatedZones() map[string]bool {
	zones := map[string]bool{}
	for zone, e := range t.evacuations {
		if e.active {
			zones[zone] = true
		}
	}
	return zones
}

// recordTable holds the state built from the system's own records. Its mutex is
// the second in the lock order.
type recordTable struct {
	mu    sync.Mutex
	state *stepfold.State
	// currentAsOf is when the newest successful read by followRecords began, on
	// CLOCK_BOOTTIME. It is set once the records that the read returned have been
	// applied to state.
	currentAsOf time.Time
	// readableSince is the end of the first successful read since the start or
	// since reads last failed; it is zero before that read. heartbeatAt is when
	// the newest PlannerUpdated record, which may be a heartbeat, was applied.
	readableSince, heartbeatAt time.Time
	// terms holds the terms of planners whose records were read.
	terms termhistory.History
	// applied is signalled by followRecords after each successful read, once the
	// records of the read have been applied.
	applied chan struct{}
}

// agentLink is the planner's connection to one agent. conn is nil while there is
// no session.
type agentLink struct {
	address string
	conn    *rpc.Conn
	session int
	// dialing says that an attempt to open a session is in progress; dialedAt is when
	// the last one ended, and unreachableSince when the first one that failed since the
	// last session or the agent's registration ended.
	dialing                    bool
	dialedAt, unreachableSince time.Time
	// The effects of the ended runs of the worker incarnation storedIncarnation
	// with a worker.Ended.EndNumber up to lastStoredEnd are stored. The replies to
	// the agent's reports say so, and the worker may then forget these runs.
	storedIncarnation string
	lastStoredEnd     int64
}

// plannerLinkTable holds this entry's connection to the entry that is the
// planner. Its mutex is the last in the lock order.
type plannerLinkTable struct {
	mu sync.Mutex
	// address is the planner's address to which conn was dialled. It may be that of
	// an earlier planner, and conn may be nil or already closed; plannerConn then
	// dials again.
	address string
	conn    *rpc.Conn
	// storingAt is the newest time, on CLOCK_BOOTTIME, at which the planner is known to
	// have begun an append that the store took. It comes from the planner's pongs.
	storingAt time.Time
	// stuckTerm is the newest term whose planner has said that the store does not take
	// its records.
	stuckTerm int64
}

// plannerTable holds the state of the term in which this entry is the planner.
// scheduler is nil while this entry is not the planner. The table's mutex is the
// third in the lock order.
type plannerTable struct {
	mu        sync.Mutex
	scheduler *stepplan.Scheduler
	term      int64
	// timing and policy are taken from the newest settings.
	timing stepplan.Timing
	policy stepplan.Policy
	// fence is the fencing token of the planner's next append.
	fence recordlog.Fence
	// lastAppendAt is when the newest successful append of the term began. It
	// shows that the store had not seen a later term at that time.
	lastAppendAt time.Time
	// lastAppendTook is how long that append took.
	lastAppendTook time.Duration
	// lastSession is the number of the newest session with any agent.
	lastSession int
	// links has an element for each known agent, by the agent's name. It is empty
	// while this entry is not the planner.
	links map[string]*agentLink
	// watchers are the connections of other entries that have pinged this one
	// during the term.
	watchers map[*rpc.Conn]struct{}
	// cancel cancels the context of the term's goroutines.
	cancel func()
	// dialed is signalled when an attempt to open a session with an agent has ended.
	dialed chan struct{}
	// passRequested is signalled when a planning pass should run soon.
	passRequested chan struct{}
}
