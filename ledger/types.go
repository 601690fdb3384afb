// Package ledger decides which attempts may run on one VM. It is the authority on
// the VM's accelerators and slots: the requests of planners are only proposals, and
// nothing starts that the ledger has not granted.
//
// A Ledger owns reservations, running attempts, the queue of short tasks, and
// tombstones, which are records of attempts that have ended or must never start.
// Operations take the current time as a parameter, do no I/O, take no lock and
// return decisions. The caller serialises them and carries out the actions that
// Advance returns. Once a start has been granted, an accelerator is free again only
// when the caller reports with Stopped that the runtime has confirmed the end of the
// tasks.
//
// Terms: a slot is the capacity of the VM to run one task, with or without
// accelerators. The worker runtime is the program on the VM that runs the tasks. An
// attempt is one try to run a job; the ledger sees only the part of it whose tasks
// are on this VM. A holding is the accelerators and slots that such a part has or
// waits for. The planner of a job is the process that requests its reservations and
// starts. Each new planner has a higher term, a number, than the one before. A
// configuration holds the shares, and says whether an operator drains the VM; a
// newer one has a higher log offset. A share is the number of accelerators that are
// guaranteed to an organisation on this VM. Work of an organisation that uses more
// than its share is a borrower if it is preemptible or a short task. A reclaim
// evicts borrowers of other organisations. If slots are missing, it also evicts
// preemptible work and short tasks of other organisations, whatever these use, if
// the work or task uses no accelerators except on loan. A short task is an
// idempotent job of one task that runs without a reservation. A loan lets an urgent
// short task use the accelerators of attempts that are paused meanwhile.
package ledger

import (
	"time"

	"celerypoint.example/celerypoint/job"
	"celerypoint.example/celerypoint/vm"
)

// Rule names in refusals.
const (
	// RuleStaleTerm refuses a request of a planner whose term is older than the
	// newest that acted on the job, and a start under another term than that of
	// the reservation.
	RuleStaleTerm = "staleTerm"
	// RuleStaleConfiguration refuses a request that was made under an older
	// configuration than the one that the VM uses.
	RuleStaleConfiguration = "staleConfiguration"
	// RuleReservationExpired refuses an attempt whose reservation has expired or
	// was evicted, and a start without a reservation.
	RuleReservationExpired = "reservationExpired"
	// RuleAttemptReleased refuses an attempt that was released, is being stopped
	// or has ended.
	RuleAttemptReleased = "attemptReleased"
	// RuleVMDraining refuses new work because an operator drains the VM or the
	// agent is stopping.
	RuleVMDraining = "vmDraining"
	// RuleOwnShareOnly refuses work that is not preemptible and would take
	// accelerators from the shares of other organisations.
	RuleOwnShareOnly = "ownShareOnly"
	// RuleNoFreePlace refuses a request for which too few accelerators or slots
	// are free, and which neither a reclaim nor the queue can serve.
	RuleNoFreePlace = "noFreePlace"
	// RuleReclaimDeadline refuses a reservation for which borrowers were evicted
	// but did not end within Timing.Reclaim.
	RuleReclaimDeadline = "reclaimDeadline"
	// RuleQueueFull refuses the last short task of Ledger.Queue, which may be an
	// earlier one, when a new task makes the queue longer than MaxQueue.
	RuleQueueFull = "queueFull"
	// RuleDeadlineUnreachable refuses a short task that is still queued at its
	// WaitUntil, or that cannot end by its Deadline if its declared run time is
	// right.
	RuleDeadlineUnreachable = "deadlineUnreachable"
)

// Timing holds the durations from which the ledger computes deadlines.
type Timing struct {
	// Reclaim is the longest time from a Request with Reclaim set to its grant
	// or refusal.
	Reclaim time.Duration
	// Checkpoint is the time from an eviction, or from a release with a
	// checkpoint, until the attempt is stopped. In this time it may save its
	// progress. It is a part of Reclaim.
	Checkpoint time.Duration
	// CompletionGrace is how long an evicted attempt that is expected to end
	// soon may run before it is asked for a checkpoint. It is shorter than
	// Checkpoint.
	CompletionGrace time.Duration
	// MaxLoan bounds how long a short task keeps the accelerators of paused work.
	MaxLoan time.Duration
	// ShortLease is the length of a short task's lease, which is renewed every
	// RenewEvery.
	ShortLease, RenewEvery time.Duration
	// StopRetryInterval is the time after which a Stop is returned again if the
	// caller has not called Stopped meanwhile.
	StopRetryInterval time.Duration
}

// DefaultTiming is the timing of an agent whose settings do not change it. A
// loan of 30 s is long enough for short tasks that run many times longer than
// declared, and still gives paused work its accelerators back.
var DefaultTiming = Timing{
	Reclaim: 5 * time.Second, Checkpoint: 3 * time.Second, CompletionGrace: 1500 * time.Millisecond,
	MaxLoan: 30 * time.Second, ShortLease: 4 * time.Second, RenewEvery: time.Second,
	StopRetryInterval: 500 * time.Millisecond,
}

// State is the state of a holding.
type State string

// The states. A holding in StateWaiting, which is a reservation that waits for a
// reclaim or a queued short task, has no accelerators and slots yet.
const (
	StateWaiting  State = "waiting"
	StateReserved State = "reserved"
	StateStarting State = "starting"
	StateRunning  State = "running"
	StateStopping State = "stopping"
)

// StopReason is the reason of a Stop action, and of a Holding that is being stopped.
type StopReason string

// If the lease expires while the attempt is still in StateRunning,
// StopReasonLeaseExpired replaces any reason but StopReasonReleased.
const (
	StopReasonReleased     StopReason = "released"
	StopReasonEvicted      StopReason = "evicted"
	StopReasonLeaseExpired StopReason = "lapsed"
	StopReasonLoanEnded    StopReason = "loanEnded"
	StopReasonStartFailed  StopReason = "startFailed"
)

// Request asks for accelerators and slots, for a reservation or a short task.
type Request struct {
	JobID   string
	Attempt string
	Org     string
	// Term is the planner's term, 0 for short tasks.
	Term int64
	// Tasks is at least 1, and exactly 1 for a short task.
	Tasks int
	// AcceleratorsPerTask is at least 0.
	AcceleratorsPerTask int
	Preemptible         bool
	Urgency             job.Urgency
	// Hold is how long a reservation holds. It is counted from the grant, whose
	// time is not known when the request is made.
	Hold time.Duration
	// Reclaim allows the ledger to evict borrowers if the request fits the
	// organisation's share but the accelerators are in use.
	Reclaim bool
	// ConfigOffset is the log offset of the configuration under which the request
	// was made.
	ConfigOffset int64
	// WaitUntil is when a short task that is still queued is refused.
	WaitUntil time.Time
	// Deadline is the time after which the answer of a short task is no longer
	// wanted, zero for none.
	Deadline time.Time
	// DeclaredRun is the run time that was declared when the job was submitted, 0
	// for none.
	DeclaredRun time.Duration
}

// Accelerators is the number of accelerators of all tasks together.
func (r Request) Accelerators() int { return r.Tasks * r.AcceleratorsPerTask }

// StartRequest starts a reserved attempt.
type StartRequest struct {
	Attempt      string
	JobID        string
	Term         int64
	ConfigOffset int64
	// LeaseUntil is the end of the first lease.
	LeaseUntil time.Time
	// EndsAt is when the attempt ends if its declared run time is right, zero
	// when none was declared.
	EndsAt time.Time
}

// Round is a confirmation by Confirm that an attempt runs, with its number and
// time. Renew refers to it by the number.
type Round struct {
	Number int
	At     time.Time
}

// Holding is the accelerators and slots that one attempt has or waits for.
type Holding struct {
	Request
	State State
	// Short says that the attempt is a short task, which is idempotent.
	Short bool
	// ExpiresAt is when the reservation or the lease expires. It never moves
	// towards the past while the attempt runs.
	ExpiresAt time.Time
	// StartedAt is when the start was granted, and once Started is called, the
	// time of that call.
	StartedAt time.Time
	// EndsAt is when the attempt ends if its declared run time is right, or zero.
	// The time for which the attempt was paused is added when it resumes.
	EndsAt time.Time
	// SavedAt is the time of the last call of Checkpointed, zero for never.
	SavedAt time.Time
	// Rounds are the newest confirmations, oldest first.
	Rounds []Round
	// Loans maps paused attempts to the number of their accelerators that the
	// short task uses.
	Loans map[string]int
	// LoanUntil is when a short task with loans is stopped, or zero.
	LoanUntil time.Time
	// RenewAt is when the lease of a short task is renewed next.
	RenewAt time.Time
	// PausedAt is when the attempt was paused to lend its accelerators, zero when
	// it is not paused.
	PausedAt time.Time
	// StopReason says why the attempt is being stopped, empty when it is not.
	StopReason StopReason
	// CheckpointAt is when the tasks will be asked to save their progress before a
	// stop, zero when they have been asked or will not be.
	CheckpointAt time.Time
	// StopAt is the earliest time at which Advance returns the next Stop for the
	// attempt, zero while no stop is scheduled. In StateStarting, Advance returns no
	// Stop. After each Stop, StopAt is set to the time of the next one, for as long
	// as Stopped does not remove the holding. For a request in Ledger.Reclaims, it
	// is when the request is refused.
	StopAt time.Time
	// StartUncertain says that a start may still reach the runtime, so that only
	// the end of the lease proves that nothing runs.
	StartUncertain bool
}

// loansTaken is the number of accelerators that the short task uses on loan from
// paused attempts.
func (h *Holding) loansTaken() int {
	n := 0
	for _, a := range h.Loans {
		n += a
	}
	return n
}

// announced is the holding as the agent announces it to the entries. Accelerators
// on loan are counted for the paused attempt that lends them, so that the sum
// never exceeds the accelerators of the VM.
func (h *Holding) announced() vm.Holding {
	return vm.Holding{
		JobID: h.JobID, Attempt: h.Attempt, Org: h.Org, Tasks: h.Tasks,
		Accelerators: h.Accelerators() - h.loansTaken(),
		// Short tasks are idempotent, so a reclaim may stop them.
		Preemptible: h.Preemptible || h.Short,
		Running:     h.State != StateReserved,
		Throttled:   !h.PausedAt.IsZero(), StartedAt: h.StartedAt,
	}
}

// Decision is the result of an operation. The interface is sealed: Granted,
// Refused, Reclaiming, Lending, Queued, Stopping, Released.
type Decision interface{ decision() }

// Decisions.
type (
	// Granted says that the attempt has its reservation, or that it may start.
	Granted struct {
		// Duplicate says that the ledger has already accepted this request, so the
		// caller must not act on it again. The attempt may still be queued, or have
		// ended by now.
		Duplicate bool
	}
	// Refused says that the request is not carried out, now or later, and by which
	// rule.
	Refused struct{ Rule, Reason string }
	// Reclaiming says that the request waits for evicted borrowers to end.
	// Advance grants or refuses it by the Deadline. Victims are the attempts
	// that this request evicted. The list is empty if evictions in progress
	// suffice, or if the request is a repetition.
	Reclaiming struct {
		Victims  []string
		Deadline time.Time
	}
	// Lending says that the short task may start as soon as the attempts in Pause
	// are paused.
	Lending struct{ Pause []string }
	// Queued says that the short task waits. Advance admits or refuses it by the
	// time Until.
	Queued struct{ Until time.Time }
	// Stopping says that the start of the attempt was granted, so it may be
	// running, and that Advance will stop it.
	Stopping struct{}
	// Released says that the attempt does not run and will not start again.
	// Started says that its start had been granted.
	Released struct{ Started bool }
)

func (Granted) decision()    {}
func (Refused) decision()    {}
func (Reclaiming) decision() {}
func (Lending) decision()    {}
func (Queued) decision()     {}
func (Stopping) decision()   {}
func (Released) decision()   {}

// Action is what Advance returns for the caller to carry out at the worker
// runtime or to report to an entry. The interface is sealed: Admit, Dropped,
// Checkpoint, Stop, Resume, Extend.
type Action interface{ action() }

// Actions.
type (
	// Admit ends the wait of a request with Granted, Lending or Refused.
	Admit struct {
		Attempt  string
		Decision Decision
	}
	// Dropped says that a reservation ended without a start, and by which rule.
	Dropped struct{ Attempt, Rule string }
	// Checkpoint asks the attempt's tasks to save their progress.
	Checkpoint struct{ Attempt string }
	// Stop stops the attempt's tasks. It is returned again every
	// StopRetryInterval until Ledger.Stopped removes the attempt.
	Stop struct {
		Attempt string
		Reason  StopReason
	}
	// Resume lets a paused attempt continue.
	Resume struct{ Attempt string }
	// Extend extends the lease of a short task at the runtime.
	Extend struct {
		Attempt string
		Until   time.Time
	}
)

func (Admit) action()      {}
func (Dropped) action()    {}
func (Checkpoint) action() {}
func (Stop) action()       {}
func (Resume) action()     {}
func (Extend) action()     {}
