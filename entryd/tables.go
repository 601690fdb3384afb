package entryd

import (
	"sync"
	"time"

	"celerypoint.example/celerypoint/configfold"
	"celerypoint.example/celerypoint/crashes"
	"celerypoint.example/celerypoint/estimate"
	"celerypoint.example/celerypoint/gang"
	"celerypoint.example/celerypoint/job"
	"celerypoint.example/celerypoint/jobfold"
	"celerypoint.example/celerypoint/outcome"
	"celerypoint.example/celerypoint/quarantine"
	"celerypoint.example/celerypoint/retrybudget"
	"celerypoint.example/celerypoint/rpc"
	"celerypoint.example/celerypoint/vm"
	"celerypoint.example/celerypoint/wire"
)

// configTable holds the configuration. Its lock is the first in the lock order.
type configTable struct {
	mu    sync.Mutex
	state configfold.State
	// records are the newest records that were applied to state, at most
	// maxConfigRecords. Peers that are behind ask for them.
	records []wire.LogRecord
	// history describes the newest changes for operators, at most
	// maxConfigRecords of them.
	history []wire.ConfigHistory
	// changed is closed and replaced when a record was applied to state, or state
	// was replaced by a snapshot from a peer. A record that cannot be decoded and
	// only advances state with configfold.State.Skip leaves the channel open.
	changed chan struct{}
	// caughtUp says that the stream was read to its end once, or that state
	// reached the newest offset of a peer once.
	caughtUp bool
	// snapshotSchedule determines when the next snapshot of state is written to
	// the config stream.
	snapshotSchedule snapshotSchedule
}

// peer is another entry.
type peer struct {
	info wire.EntryInfo
	// conn is the connection that this entry opened to the peer, or nil.
	conn *rpc.Conn
	// dialing says that a connection attempt is in progress.
	dialing bool
	// liveUntil is when the peer counts as lost unless another hello arrives
	// from it.
	liveUntil time.Time
	// expiresAt is when the peer is removed from the table, unless a hello
	// arrives from it or an agent or another entry reports its address again.
	expiresAt time.Time
	// hello is the newest hello message of the peer. Entries send each other
	// hellos as heartbeats.
	hello wire.PeerHello
}

// peerTable holds the other entries. Its lock is the second in the lock order.
type peerTable struct {
	mu sync.Mutex
	// byID maps the ID of an entry to its state. This entry is not in it.
	byID map[string]*peer
	// seeds maps each address of Config.Seeds to whether a connection attempt to
	// it is in progress. An address is dialled while no peer in byID has it.
	seeds map[string]bool
}

// vmState is what this entry knows of one VM from its agent.
type vmState struct {
	vm       vm.VM
	holdings []vm.Holding
	// leaving says that the agent is stopping.
	leaving bool
	// conn is the connection on which the newest announcement arrived.
	conn *rpc.Conn
	// lostDeadline is when the VM counts as lost unless its agent announces it again.
	lostDeadline time.Time
	lost         bool
	// suspect says that no announcement arrived within suspectTimeout. The VM
	// gets no new short requests until the next announcement.
	suspect bool
	// configOffset is the offset of the newest configuration that the agent
	// has applied.
	configOffset int64
	// shortInFlight counts the short requests that this entry sent to the VM
	// and whose results are outstanding.
	shortInFlight int
}

// vmTable holds the VMs by ID. Its lock is the third in the lock order.
type vmTable struct {
	mu   sync.Mutex
	byID map[string]*vmState
}

// trackedJob is what this entry knows of a job.
type trackedJob struct {
	job job.Job
	// recorded says that the job is in the log. It is false for short requests.
	recorded bool
	phase    job.Phase
	// vms are the VMs of the newest attempt.
	vms       []string
	startedAt time.Time
	endedAt   time.Time
	// waitingSince is when the job was accepted.
	waitingSince time.Time
	// waitsFor is the rule and the reason why the planner could not place the
	// job yet. It is set only at the planner.
	waitsFor string
	// avoidUntil maps a VM that refused the job, or whose try failed, to the
	// time until which the job is not placed there.
	avoidUntil map[string]time.Time
	// cancelRequested says that the caller cancelled the job.
	cancelRequested bool
	// outcome is nil until the job ends. done is closed when it is set.
	outcome outcome.Outcome
	done    chan struct{}
	// endPending says that the planner has decided the outcome and the end
	// record is not known to be in the log yet.
	endPending bool
	// tries counts how often a short request was sent to a VM. inFlight maps
	// the attempt IDs of the tries without a result to their VMs.
	tries    int
	inFlight map[string]string
	// mayHaveRun says that a try of a short request ended in another way than
	// a refusal by the agent. The outcome NotRun is then ruled out.
	mayHaveRun bool
	// crashes holds the tries of a short request under which a worker runtime crashed.
	crashes crashes.Record
}

// attempt is an attempt to run a recorded job, a gang or a single task, that
// this entry manages as the planner.
type attempt struct {
	gang.Attempt
	job job.Job
	// runningSince is when the attempt began to run, zero before that and for an attempt
	// that was taken over.
	runningSince time.Time
}

// jobTable holds the jobs and the attempts to run them. Its lock is the last in
// the lock order.
type jobTable struct {
	mu sync.Mutex
	// logState is the result of applying the records of the jobs stream.
	logState *jobfold.State
	// caughtUp says that the stream was read to its end once.
	caughtUp bool
	// changed is closed and replaced when a record was applied to logState. A
	// record that cannot be decoded and only advances logState with
	// jobfold.State.Skip leaves the channel open.
	changed chan struct{}
	// byID holds the jobs of logState, short requests that this entry
	// accepted, and ended short requests taken over from a stopped peer. Ended
	// jobs stay for at least endedJobRetention.
	byID map[string]*trackedJob
	// attempts maps the ID of an attempt that this process manages as planner to
	// its state. When another process takes a newer term, applyTermTaken drops the
	// committed attempts of older terms and ends the uncommitted ones.
	attempts map[string]*attempt
	// attemptByJob maps a job to the ID of its attempt in attempts.
	attemptByJob map[string]string
	// term is the number of the planner term that this process holds, 0 for
	// none. A term is a period in which one entry is the planner of a region;
	// its number is the offset of its record in the log.
	term int64
	// takingTerm says that ensureTerm has started to take a term and the append
	// of the term record has not returned.
	takingTerm bool
	// termBackoffUntil is the earliest time at which this entry may take
	// another term; see termBackoff.
	termBackoffUntil time.Time
	// jobSequence numbers the jobs that callers submit to this process.
	// idSequence numbers its attempts and its log records, except the records of
	// accepted jobs, whose ID is that of the job.
	jobSequence int64
	idSequence  int64
	// snapshotSchedule determines when the next snapshot of logState is written to
	// the jobs stream.
	snapshotSchedule snapshotSchedule
	// runTimes are the run times that this entry observed, failures the VMs
	// and jobs that failed, and retryBudget the credit for sending short
	// requests again.
	runTimes    *estimate.Model
	failures    *quarantine.State
	retryBudget retrybudget.Budget
	// nextPurgeAt is when ended jobs are checked for removal again.
	nextPurgeAt time.Time
}
