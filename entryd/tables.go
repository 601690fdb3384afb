package entryd

import (
	"sync"
	"time"

	"celerypoint.example/celerypoint/configfold"
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

// configTable is the first in the lock order.
type configTable struct {
	mu    sync.Mutex
	state configfold.State
	// records are the newest folded records, for peers that are behind.
	records []wire.LogRecord
	history []wire.ConfigHistory
	// changed is closed and replaced when the state changes.
	changed chan struct{}
	// caughtUp says that the stream was read to its end once, or that a peer
	// gave what it has.
	caughtUp bool
	snapshot snapshotState
}

// peer is another entry.
type peer struct {
	info wire.EntryInfo
	conn *rpc.Conn
	// dialing says that a dial is in progress.
	dialing bool
	// liveUntil is when the peer counts as lost unless it is heard again.
	liveUntil time.Time
	// expiresAt is when the address is dropped unless it is named again.
	expiresAt time.Time
	hello     wire.PeerHello
}

// peerTable is the second in the lock order.
type peerTable struct {
	mu sync.Mutex
	// byID holds the other entries; this one is not among them.
	byID map[string]*peer
	// seeds maps addresses that are not yet known by an ID to whether a dial
	// is in progress.
	seeds map[string]bool
}

// target is one VM.
type target struct {
	vm       vm.VM
	holdings []vm.Holding
	leaving  bool
	conn     *rpc.Conn
	// lostAt is when the VM counts as lost unless it announces itself.
	lostAt time.Time
	lost   bool
	// suspect says that the VM missed an announcement and is not lost yet.
	suspect bool
	// configOffset is the newest offset that the agent has acted on.
	configOffset int64
	// short counts the short requests in flight from this entry.
	short int
}

// vmTable is the third in the lock order.
type vmTable struct {
	mu   sync.Mutex
	byID map[string]*target
}

// running is a job as this entry sees it.
type running struct {
	job      job.Job
	recorded bool
	phase    job.Phase
	// vms are the VMs of the newest attempt.
	vms       []string
	startedAt time.Time
	endedAt   time.Time
	waitSince time.Time
	waitsFor  string
	// avoid says until when a VM that refused the job is passed over for it.
	avoid map[string]time.Time
	// cancelAsked says that the caller cancelled the job.
	cancelAsked bool
	// outcome is nil until the end; done is closed then.
	outcome outcome.Outcome
	done    chan struct{}
	// ending says that an end record is being appended.
	ending bool
	// tries counts the sends of a short request; sent maps those that have not
	// ended to their VMs.
	tries int
	sent  map[string]string
	// mayHaveRun says that a try of a short request ended otherwise than by a
	// refusal, so that "not run" would not be true.
	mayHaveRun bool
}

// attempt is one gang attempt that this entry plans.
type attempt struct {
	gang.Attempt
	job job.Job
}

// jobTable is the last in the lock order.
type jobTable struct {
	mu   sync.Mutex
	fold *jobfold.State
	// caughtUp says that the stream was read to its end once.
	caughtUp bool
	changed  chan struct{}
	byID     map[string]*running
	attempts map[string]*attempt
	// holders maps a job to its attempt in attempts.
	holders map[string]string
	// term is the newest term that this process took, 0 for none; taking says
	// that a term record is being appended.
	term       int64
	taking     bool
	nextTermAt time.Time
	lastJob    int64
	lastTry    int64
	snapshot   snapshotState
	// model, faults and budget are what this entry learned: run times, VMs and
	// jobs that fail, and the credit for retries of short requests.
	model  *estimate.Model
	faults *quarantine.State
	budget retrybudget.Budget
	// purgeAt is when ended jobs are looked through.
	purgeAt time.Time
}
