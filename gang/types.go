package gang

import (
	"time"

	"celerypoint.example/celerypoint/outcome"
)

// Phase is the stage that an attempt has reached.
type Phase string

// The phases, in order. An attempt that fails or is cancelled in PhaseReserving
// goes directly to PhaseEnded. In PhaseCommitting it first waits until the
// commit is known to be valid or void, and goes to PhaseEnded if it is void. A
// committed attempt goes through PhaseAborting, unless it ends with the job's
// answer.
const (
	PhaseReserving  Phase = "reserving"
	PhaseCommitting Phase = "committing"
	PhaseStarting   Phase = "starting"
	PhaseRunning    Phase = "running"
	PhaseAborting   Phase = "aborting"
	PhaseEnded      Phase = "ended"
)

// MemberState is what the planner knows about one member.
type MemberState string

// The states of a member. In MemberRequested its reservation is not granted yet.
// TakeOver sets MemberStarted for all members, because any may have been started.
const (
	MemberRequested MemberState = "asked"
	MemberReserved  MemberState = "reserved"
	MemberStarted   MemberState = "started"
	// MemberDone means that all tasks of the member ended with answers.
	MemberDone MemberState = "done"
	// MemberReleased means that the VM does not run the member's tasks and will
	// not start them: the agent that granted the reservation confirmed the release,
	// or the reservation or the start was refused.
	MemberReleased MemberState = "released"
	// MemberLost means that the VM was reported lost, or that its agent has another
	// boot ID than the one that granted the reservation. Unless that one confirms the
	// release, the planner has to wait until the member's lease has expired.
	MemberLost MemberState = "lost"
)

// Member is the part of an attempt that runs on one VM: the tasks with the
// ranks from FirstRank to FirstRank+Tasks-1.
type Member struct {
	VM        string
	Tasks     int
	FirstRank int
	// Reclaim says that the VM may evict tasks that other organisations run on
	// the share of the job's organisation, to grant the reservation.
	Reclaim bool
	State   MemberState
	// AgentRound is the number that the agent gave the member's newest
	// confirmation that it runs, 0 for none.
	AgentRound int
	// Confirmed says that the newest confirmation belongs to the attempt's
	// current round.
	Confirmed bool
	// ConfirmedAt is when the newest confirmation arrived.
	ConfirmedAt time.Time
	// BootID is the boot ID of the agent that granted the reservation. A release
	// confirmed under another boot ID proves neither that nothing was started nor that
	// the tasks have ended: the agent may be that of another machine.
	BootID string
	// ReservationExpiresBy is the latest time at which the reservation expires.
	// From then on the agent refuses a start. Zero before MemberReserved and if
	// the attempt was taken over.
	ReservationExpiresBy time.Time
	// LeaseExpiresBy is the time from which the member certainly neither runs
	// nor can start, unless it is moved before. It allows for a slow clock of the
	// agent; see lease.ExpiresBy. It is zero until the order Start
	// or TakeOver sets it. The event Started sets it anew, usually to an earlier
	// time. After that it only moves to later times.
	LeaseExpiresBy time.Time
	// Checkpoints holds the progress that individual stopped tasks reported.
	Checkpoints []Checkpoint
	// ReleasedCheckpointMs is the progress, in ms of run time, that the reply to
	// Release reported for all of the member's tasks, 0 for none.
	ReleasedCheckpointMs int64
	// Answers are the answers of the tasks that ended, in any order.
	Answers []outcome.Part
	// MayHaveStarted says that a start may have reached the member.
	MayHaveStarted bool
	// StartConfirmed says that the member is known to have started: it confirmed
	// the start, or reported something about its running tasks.
	StartConfirmed bool
	// ReportedNotRunning says that the agent has answered that the member's tasks do not run, or are
	// being stopped.
	ReportedNotRunning bool
	// EndKnown says that the planner knows how the member's tasks ended: all
	// ended with answers, the only task failed or was stopped, or the agent
	// confirmed a Release and had not restarted since it granted the reservation.
	EndKnown bool
}

// Checkpoint is the progress from which one stopped task can resume, in ms of its
// run time.
type Checkpoint struct {
	Rank int
	Ms   int64
}

// Attempt is one try to run all tasks of a job. Only Step changes it.
type Attempt struct {
	JobID string
	// ID is unique over all attempts of all jobs.
	ID string
	// Term is the term of the planner that made the attempt or, after TakeOver, of
	// the one that took it over. Agents use it as a fencing token: they refuse a new
	// reservation, and a start not granted before, under a term older than the
	// newest that they saw for the job.
	Term  int64
	Phase Phase
	// Members keeps its length and order for the life of the attempt.
	Members []Member
	// Idempotent says that the job may run more than once, so that an attempt
	// that fails after its commit may be followed by another.
	Idempotent bool
	// ReservationDeadline is the earliest time at which a reservation can expire:
	// the reservation time counted from the event Proposed. The commit has to be
	// known before it. Zero before Proposed and if TakenOver is set.
	ReservationDeadline time.Time
	// CommitOffset is the log offset of the commit record, 0 before the commit.
	CommitOffset int64
	// LeaseUntil is the time, by the clock of this process, at which the leases
	// of all members have expired unless they are renewed before. It is the
	// latest LeaseExpiresBy of the members.
	LeaseUntil time.Time
	// Round is the number of the current round of confirmations, in which every
	// running member is asked once whether it still runs. RoundStart is when the
	// round began. RoundOpen says that it has neither been completed nor failed.
	Round      int
	RoundStart time.Time
	RoundOpen  bool
	// NextConfirm is when the next round of confirmations starts. In
	// PhaseAborting it is when unconfirmed releases are ordered again.
	NextConfirm time.Time
	// CheckpointMs is the progress from which all tasks can resume, in ms of run
	// time. It is set when the attempt ends with Abort. 0 means that the next
	// attempt starts from the beginning.
	CheckpointMs int64
	// Reason says why the attempt was ended or is aborting.
	Reason string
	// TakenOver says that another planner made the attempt. That planner may still
	// be renewing its leases.
	TakenOver bool
	// RanBefore says that an earlier attempt of the job was committed, so the job
	// may have run before. The code that calls New or TakeOver sets it.
	RanBefore bool
	// Cancelled says that the job was cancelled by a request to an entry process.
	Cancelled bool
	// FailedVM is the VM on which an error of the job itself ended the attempt,
	// empty for none.
	FailedVM string
	// CrashedVM is the VM on which a crash of the worker runtime ended the attempt, empty
	// for none.
	CrashedVM string
	// UnansweredVM is a VM whose worker runtime crashed without having answered the start of
	// the attempt's tasks, empty for none. The start may not have reached the runtime.
	UnansweredVM string
	// Result is the outcome of the job that the attempt ended with. It is nil
	// before PhaseEnded, and in PhaseEnded if the job waits for another attempt.
	Result outcome.Outcome
}

// Timing holds the durations from which Step computes deadlines.
type Timing struct {
	// Reservation is how long a VM keeps a reservation that is not started, Lease
	// how long a member runs without a renewal, and ConfirmEvery the shortest
	// time from the start of a round of confirmations to the start of the next.
	// Releases that are not confirmed are also repeated after ConfirmEvery.
	Reservation, Lease, ConfirmEvery time.Duration
	// Reclaim is added to the reservation time of all members if Member.Reclaim
	// is set for one of them: its grant may take that long, and the others have
	// to keep their reservations meanwhile.
	Reclaim time.Duration
}

// Event reports something that happened to an attempt. The interface is sealed.
type Event interface{ event() }

// Events.
type (
	// Proposed starts the attempt.
	Proposed struct{}
	// Reserved reports that the VM granted the reservation. BootID is the boot ID
	// of its agent.
	Reserved struct{ VM, BootID string }
	// Refused reports that the VM refused the reservation, or that there was
	// no connection to ask for it. The VM holds nothing for the attempt.
	Refused struct{ VM, Rule, Reason string }
	// Unreachable reports that the reply to an order did not arrive. The VM may
	// or may not have carried it out.
	Unreachable struct{ VM string }
	// Committed reports that the commit record is in the log at Offset and is
	// valid.
	Committed struct{ Offset int64 }
	// CommitVoid reports that the commit record is not valid and never will be,
	// for example because a newer planner term precedes it in the log.
	CommitVoid struct{ Reason string }
	// Started reports that the VM runs the member's tasks.
	Started struct{ VM string }
	// StartFailed reports that the VM refused the order Start, or that there was
	// no connection to send it. The VM will not start the tasks later.
	StartFailed struct{ VM, Rule, Reason string }
	// Confirmed reports that each of the VM's tasks runs or has ended with an
	// answer. AgentRound is the number that the agent gave the confirmation.
	// AttemptRound is copied from the Confirm order, so that a late reply does
	// not count for a later round.
	Confirmed struct {
		VM           string
		AgentRound   int
		AttemptRound int
	}
	// NotRunning is the negative reply to Confirm: at least one of the VM's tasks
	// neither runs nor has ended with an answer.
	NotRunning struct{ VM, Reason string }
	// TaskEnded reports that one task ended with an answer.
	TaskEnded struct{ Part outcome.Part }
	// TaskFailed reports that one task ended with an error of the job itself.
	TaskFailed struct{ VM, Reason string }
	// TaskStopped reports that one task was stopped or evicted, or that its lease
	// expired. CheckpointMs is the progress it can resume from, 0 for none.
	// Crashed says that the worker runtime of the VM crashed under the task.
	TaskStopped struct {
		VM, Reason   string
		Rank         int
		CheckpointMs int64
		Crashed      bool
	}
	// Released reports that the agent with BootID has stopped the member's tasks or
	// dropped its reservation, or does not know the attempt, and will not start the
	// tasks from now on. Started says that the tasks had been started.
	// CheckpointMs is the progress that all of them can resume from, 0 for none.
	// UnansweredCrash says that the worker runtime crashed and had not answered the start.
	Released struct {
		VM, BootID      string
		Started         bool
		CheckpointMs    int64
		UnansweredCrash bool
	}
	// Lost reports that contact with the VM is lost, or that its agent restarted.
	Lost struct{ VM string }
	// Cancelled reports that the job was cancelled by a request to an entry
	// process.
	Cancelled struct{}
	// Tick reports that time has passed, so that Step checks the deadlines.
	Tick struct{}
)

func (Proposed) event()    {}
func (Reserved) event()    {}
func (Refused) event()     {}
func (Unreachable) event() {}
func (Committed) event()   {}
func (CommitVoid) event()  {}
func (Started) event()     {}
func (StartFailed) event() {}
func (Confirmed) event()   {}
func (NotRunning) event()  {}
func (TaskEnded) event()   {}
func (TaskFailed) event()  {}
func (TaskStopped) event() {}
func (Released) event()    {}
func (Lost) event()        {}
func (Cancelled) event()   {}
func (Tick) event()        {}

// Order is a command that the caller of Step carries out. The interface is
// sealed. The replies of the VMs come back to Step as events.
type Order interface{ order() }

// Orders.
type (
	// Reserve asks the VM to reserve accelerators for the member. The
	// reservation holds for Hold, counted from the grant.
	Reserve struct {
		VM   string
		Hold time.Duration
	}
	// Commit appends the commit record to the log.
	Commit struct{}
	// Start starts the member's tasks under a lease of Timing.Lease.
	Start struct{ VM string }
	// Confirm asks the VM whether the member still runs. The reply carries
	// AttemptRound back. The agent also repeats its reports of tasks that have
	// ended, because the planner that received them first may be gone.
	Confirm struct {
		VM           string
		AttemptRound int
	}
	// Renew extends the member's lease to Lease after the agent gave the
	// confirmation AgentRound. Lease is Timing.Lease less the time that the
	// confirmation took, so that no lease ends more than Timing.Lease after the
	// start of the round.
	Renew struct {
		VM         string
		AgentRound int
		Lease      time.Duration
	}
	// Release drops the member's reservation, or stops its tasks. With Checkpoint
	// the tasks may save their progress first.
	Release struct {
		VM         string
		Checkpoint bool
	}
	// Abort appends the abort record to the log, after which the job waits for
	// another attempt. FailedVM is set if an error of the job itself ended the
	// attempt on that VM, CrashedVM if a crash of the VM's worker runtime did, and
	// UnansweredVM if that runtime had not answered the start.
	// The caller counts them, and when there are too many it appends an end record
	// with outcome.Failed instead.
	Abort struct {
		Reason       string
		CheckpointMs int64
		FailedVM     string
		CrashedVM    string
		UnansweredVM string
	}
	// End appends the end record, which closes the job with the outcome.
	End struct{ Outcome outcome.Outcome }
)

func (Reserve) order() {}
func (Commit) order()  {}
func (Start) order()   {}
func (Confirm) order() {}
func (Renew) order()   {}
func (Release) order() {}
func (Abort) order()   {}
func (End) order()     {}
