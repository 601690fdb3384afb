package gang

import (
	"time"

	"celerypoint.example/celerypoint/outcome"
)

// Phase is where an attempt is.
type Phase string

// The phases, in order. PhaseAborting and PhaseEnded can follow any.
const (
	PhaseReserving  Phase = "reserving"
	PhaseCommitting Phase = "committing"
	PhaseStarting   Phase = "starting"
	PhaseRunning    Phase = "running"
	PhaseAborting   Phase = "aborting"
	PhaseEnded      Phase = "ended"
)

// MemberState is what is known of one VM's part.
type MemberState string

// The states of a member.
const (
	MemberRequested MemberState = "asked"
	MemberReserved  MemberState = "reserved"
	MemberStarted   MemberState = "started"
	// MemberDone has ended all its tasks with answers.
	MemberDone MemberState = "done"
	// MemberReleased has confirmed that it does not run and will not start.
	MemberReleased MemberState = "released"
	// MemberLost does not respond, so that its lease has to expire.
	MemberLost MemberState = "lost"
)

// Member is one VM's part of an attempt.
type Member struct {
	VM        string
	Tasks     int
	FirstRank int
	Reclaim   bool
	State     MemberState
	// AgentRound is the round of the newest confirmation, 0 for none.
	AgentRound int
	// Confirmed says that the member confirmed in the attempt's current round.
	Confirmed bool
	// ConfirmedAt is when that confirmation arrived.
	ConfirmedAt time.Time
	// BootID is the boot ID of the agent that reserved. A release that another
	// boot confirms proves nothing about a start before the restart.
	BootID string
	// ReservationExpiresBy is when the reservation has expired at the latest, so that a
	// start is refused from then on. Zero before MemberReserved.
	ReservationExpiresBy time.Time
	// LeaseExpiresBy is when the member surely neither runs nor can start unless a
	// renewal moves it. Zero while no start was ordered.
	LeaseExpiresBy time.Time
	// Checkpoints are the progress that stopped tasks reported.
	Checkpoints []Checkpoint
	// ReleasedCheckpointMs is the progress that the release reported for all
	// of the member's tasks, 0 for none.
	ReleasedCheckpointMs int64
	// Answers are the answers of the tasks that ended, in any order.
	Answers []outcome.Part
	// MayHaveStarted says that a start may have reached the member.
	MayHaveStarted bool
	// StartConfirmed says that the member confirmed that it started.
	StartConfirmed bool
	// EndKnown says that the agent that reserved confirmed the release.
	EndKnown bool
}

// Checkpoint is the progress that one stopped task can resume from.
type Checkpoint struct {
	Rank int
	Ms   int64
}

// Attempt is one try to run a job whole. Step is the only code that changes it.
type Attempt struct {
	JobID string
	// ID is unique over all attempts of all jobs.
	ID string
	// Term fences the attempt: the planner's term when it was made.
	Term  int64
	Phase Phase
	// Members never changes in number or order.
	Members []Member
	// Idempotent says that a failed attempt may be followed by another.
	Idempotent bool
	// ReservationDeadline is when the reservations expire at the latest.
	ReservationDeadline time.Time
	// CommitOffset is the offset of the commit record, 0 before.
	CommitOffset int64
	// LeaseUntil is when the lease of every member has expired unless renewed,
	// counted on this process's clock: the latest ExpiresBy of the members.
	LeaseUntil time.Time
	// Round numbers the rounds of confirmations, RoundStart is when the
	// current one began, and RoundOpen says that it still awaits members.
	Round      int
	RoundStart time.Time
	RoundOpen  bool
	// NextConfirm is when the next round of confirmations starts.
	NextConfirm time.Time
	// CheckpointMs is the least progress that every member can resume from.
	CheckpointMs int64
	// Reason says why the attempt is aborting.
	Reason string
	// Resumed says that another planner made the attempt and may still renew
	// it.
	Resumed bool
	// RanBefore says that an earlier attempt of the job was committed, so that
	// the job may have run. The caller of New and Resume sets it.
	RanBefore bool
	// Cancelled says that the caller cancelled the job.
	Cancelled bool
	// FailedVM is the VM whose task ended with the job's own error, empty for
	// none.
	FailedVM string
	// Result is what the attempt ends with once every member is released or
	// its lease has expired; nil means that the job waits again.
	Result outcome.Outcome
}

// Timing holds the spans that Step turns into deadlines.
type Timing struct {
	Reservation, Lease, ConfirmEvery time.Duration
	// Reclaim is added to the reservation of an attempt in which a member
	// reclaims, because its grant may take that long while the others hold.
	Reclaim time.Duration
}

// Event is sealed. Each says what happened to an attempt.
type Event interface{ event() }

// Events.
type (
	// Proposed begins the attempt.
	Proposed struct{}
	// Reserved says that the VM holds the accelerators.
	Reserved struct{ VM, BootID string }
	// Refused says that the VM granted nothing and holds nothing.
	Refused struct{ VM, Rule, Reason string }
	// Unreachable says that an order's answer did not come: the VM may or may
	// not have acted.
	Unreachable struct{ VM string }
	// Committed says that the commit record is valid in the fold.
	Committed struct{ Offset int64 }
	// CommitVoid says that the commit record is not valid and never will be.
	CommitVoid struct{ Reason string }
	// Started says that the VM runs its tasks.
	Started struct{ VM string }
	// StartFailed says that the VM refused the start and will not start.
	StartFailed struct{ VM, Rule, Reason string }
	// Confirmed says that the VM's tasks run or ended with answers, in that
	// round of the agent. Asked is the number that the Confirm order carried,
	// so that a late reply does not count for a later round.
	Confirmed struct {
		VM           string
		AgentRound   int
		AttemptRound int
	}
	// NotRunning says that the VM confirmed that a task of its part neither
	// runs nor ended with an answer.
	NotRunning struct{ VM, Reason string }
	// TaskEnded says that one task ended with an answer.
	TaskEnded struct{ Part outcome.Part }
	// TaskFailed says that one task ended with its own error.
	TaskFailed struct{ VM, Reason string }
	// TaskStopped says that one task was stopped, evicted or lost its lease.
	TaskStopped struct {
		VM, Reason   string
		Rank         int
		CheckpointMs int64
	}
	// Released says that the VM dropped its part and will not start it. Boot
	// is the boot ID of the agent that confirmed it.
	Released struct {
		VM, BootID   string
		Started      bool
		CheckpointMs int64
	}
	// Lost says that the VM is gone.
	Lost struct{ VM string }
	// Cancelled says that the caller cancelled the job.
	Cancelled struct{}
	// Tick says only that time has passed.
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

// Order is sealed. Each is something that the daemon carries out.
type Order interface{ order() }

// Orders.
type (
	// Reserve asks the member to hold accelerators for that long from the
	// grant on.
	Reserve struct {
		VM   string
		Hold time.Duration
	}
	// Commit appends the commit record.
	Commit struct{}
	// Start starts the member under a lease.
	Start struct{ VM string }
	// Confirm asks the member whether it runs. The reply carries Asked back.
	// The agent also reports again the tasks that ended, because the planner
	// that it reported them to may be gone.
	Confirm struct {
		VM           string
		AttemptRound int
	}
	// Renew extends the member's lease to Lease after its confirmation of the
	// round. Lease is shorter than the whole lease by the time that the
	// confirmation took, so that no lease outlives the start of the round by
	// more than one whole lease.
	Renew struct {
		VM         string
		AgentRound int
		Lease      time.Duration
	}
	// Release drops or stops the member's part.
	Release struct {
		VM         string
		Checkpoint bool
	}
	// Abort appends the abort record; the job waits again. FailedVM is set
	// when the job's own error ended the attempt there: the daemon counts such
	// VMs and appends an end record with outcome.Failed after the last try.
	Abort struct {
		Reason       string
		CheckpointMs int64
		FailedVM     string
	}
	// End appends the end record.
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
