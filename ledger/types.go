// Package ledger decides what runs on one VM. It is the authority on the VM's
// accelerators and slots: plans of entries are proposals, and only what the
// ledger grants starts.
//
// A Ledger owns reservations, running attempts, the queue of short tasks and
// tombstones. Operations take a time, do no I/O, take no lock and return
// decisions; the caller serialises them and carries out what Advance returns.
// An accelerator is free again only when the caller reports with Gone that the
// runtime has confirmed the end.
package ledger

import (
	"time"

	"celerypoint.example/celerypoint/job"
	"celerypoint.example/celerypoint/vm"
)

// Names of the rules that refuse.
const (
	RuleStaleTerm           = "staleTerm"
	RuleStaleConfiguration  = "staleConfiguration"
	RuleReservationExpired  = "reservationExpired"
	RuleAttemptReleased     = "attemptReleased"
	RuleVMDraining          = "vmDraining"
	RuleOwnShareOnly        = "ownShareOnly"
	RuleNoFreePlace         = "noFreePlace"
	RuleReclaimDeadline     = "reclaimDeadline"
	RuleQueueFull           = "queueFull"
	RuleDeadlineUnreachable = "deadlineUnreachable"
)

// Timing holds the spans that the ledger turns into deadlines.
type Timing struct {
	// Reclaim is the time from a reserve with reclaim to its grant or refusal.
	Reclaim time.Duration
	// Checkpoint is the part of Reclaim after which a borrower is stopped.
	Checkpoint time.Duration
	// CompletionGrace is how long a borrower that is nearly finished runs on before it
	// is asked for a checkpoint. It is shorter than Checkpoint.
	CompletionGrace time.Duration
	// MaxLoan bounds how long a short task keeps accelerators of paused work.
	MaxLoan time.Duration
	// ShortLease is the lease of a short task; it is renewed after RenewEvery.
	ShortLease, RenewEvery time.Duration
	// StopRetryInterval is how often an unconfirmed stop is repeated.
	StopRetryInterval time.Duration
}

// DefaultTiming is the timing of the design page. A loan of 30 s covers short
// tasks that run many times longer than declared, and still gives paused work
// its accelerators back.
var DefaultTiming = Timing{
	Reclaim: 5 * time.Second, Checkpoint: 3 * time.Second, CompletionGrace: 1500 * time.Millisecond,
	MaxLoan: 30 * time.Second, ShortLease: 4 * time.Second, RenewEvery: time.Second,
	StopRetryInterval: 500 * time.Millisecond,
}

// State is where a holding is.
type State string

// The states. A holding in StateWaiting takes no place yet.
const (
	StateWaiting  State = "waiting"
	StateReserved State = "reserved"
	StateStarting State = "starting"
	StateRunning  State = "running"
	StateStopping State = "stopping"
)

// StopReason says why an attempt is stopped.
type StopReason string

// The reasons of a stop.
const (
	StopReasonReleased     StopReason = "released"
	StopReasonEvicted      StopReason = "evicted"
	StopReasonLeaseExpired StopReason = "lapsed"
	StopReasonLoanEnded    StopReason = "loanEnded"
	StopReasonStartFailed  StopReason = "startFailed"
)

// Request asks for a place: a reservation, or one short task.
type Request struct {
	JobID   string
	Attempt string
	Org     string
	// Term is the planner's term, 0 for short tasks.
	Term int64
	// Tasks is at least 1; a short task is one.
	Tasks int
	// AcceleratorsPerTask is at least 0.
	AcceleratorsPerTask int
	Preemptible         bool
	Urgency             job.Urgency
	// Hold is how long a reservation holds; it counts from the grant on, which
	// is not known when the request is made.
	Hold time.Duration
	// Reclaim evicts borrowers when the organisation's own share is not free.
	Reclaim bool
	// ConfigOffset is the configuration that the request was made under.
	ConfigOffset int64
	// WaitUntil is when a short task stops waiting for a place.
	WaitUntil time.Time
	// Deadline is when the caller of a short task stops wanting the answer;
	// zero means never.
	Deadline time.Time
	// DeclaredRun is the declared run time, 0 for none.
	DeclaredRun time.Duration
}

// Accelerators is the sum over the tasks.
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

// Round is a confirmation that was answered.
type Round struct {
	Number int
	At     time.Time
}

// Holding is one attempt's part on the VM.
type Holding struct {
	Request
	State State
	// Short says that it is a short task, which is idempotent.
	Short bool
	// ExpiresAt is when the reservation or the lease expires. It never moves
	// towards the past while the attempt runs.
	ExpiresAt time.Time
	StartedAt time.Time
	// EndsAt is when it ends if its declared run time is right, or zero.
	EndsAt time.Time
	// SavedAt is when its progress was last saved, zero for never.
	SavedAt time.Time
	// Rounds are the newest confirmations, oldest first.
	Rounds []Round
	// Loans are the accelerators that a short task took from paused attempts,
	// by attempt.
	Loans map[string]int
	// LoanUntil is when a short task with loans is stopped, or zero.
	LoanUntil time.Time
	// RenewAt is when the lease of a short task is renewed.
	RenewAt time.Time
	// PausedAt is when its accelerators were lent, zero when they are not.
	PausedAt time.Time
	// StopReason says why it is being stopped, empty when it is not.
	StopReason StopReason
	// CheckpointAt is when it is asked to save its progress; zero when it was
	// or will not be.
	CheckpointAt time.Time
	// StopAt is when it is stopped, and again until that is confirmed.
	StopAt time.Time
	// StartUncertain says that a start may still reach the runtime, so that only the
	// end of the lease proves that nothing runs.
	StartUncertain bool
}

// loaned is the number of accelerators that belong to paused attempts.
func (h *Holding) loaned() int {
	n := 0
	for _, a := range h.Loans {
		n += a
	}
	return n
}

// view is the holding as it is announced. Accelerators on loan are counted at
// their lender, so that the sum over a VM never exceeds it.
func (h *Holding) view() vm.Holding {
	return vm.Holding{
		JobID: h.JobID, Attempt: h.Attempt, Org: h.Org, Tasks: h.Tasks,
		Accelerators: h.Accelerators() - h.loaned(),
		// Short work is idempotent, so a reclaim may stop it.
		Preemptible: h.Preemptible || h.Short,
		Running:     h.State != StateReserved,
		Throttled:   !h.PausedAt.IsZero(), StartedAt: h.StartedAt,
	}
}

// Decision is sealed: Granted, Refused, Reclaiming, Lending, Queued, Stopping,
// Released.
type Decision interface{ decision() }

// Decisions.
type (
	// Granted says that the place is held, or that the attempt may start.
	Granted struct {
		// Duplicate says that an earlier order did it; nothing is to be done.
		Duplicate bool
	}
	// Refused says that nothing is held and that the attempt never starts
	// because of this order.
	Refused struct{ Rule, Reason string }
	// Reclaiming says that borrowers are evicted; Advance admits or refuses the
	// request, by the time By at the latest.
	Reclaiming struct {
		Victims  []string
		Deadline time.Time
	}
	// Lending says that the short task may start as soon as the attempts are
	// paused.
	Lending struct{ Pause []string }
	// Queued says that Advance admits or refuses the short task by the time.
	Queued struct{ Until time.Time }
	// Stopping says that the attempt runs and that Advance stops it.
	Stopping struct{}
	// Released says that the attempt does not run and never will again.
	Released struct{ Started bool }
)

func (Granted) decision()    {}
func (Refused) decision()    {}
func (Reclaiming) decision() {}
func (Lending) decision()    {}
func (Queued) decision()     {}
func (Stopping) decision()   {}
func (Released) decision()   {}

// Action is sealed: Admit, Dropped, Checkpoint, Stop, Resume, Extend. Advance returns
// what is to be carried out at the runtime or answered to an entry.
type Action interface{ action() }

// Actions.
type (
	// Admit ends the wait of a request: with Granted, Lending or Refused.
	Admit struct {
		Attempt  string
		Decision Decision
	}
	// Dropped says that a reservation ended without a start, by the rule.
	Dropped struct{ Attempt, Rule string }
	// Checkpoint asks the attempt's tasks to save their progress.
	Checkpoint struct{ Attempt string }
	// Stop stops the attempt's tasks. It is repeated until Gone.
	Stop struct {
		Attempt string
		Reason  StopReason
	}
	// Resume continues a paused attempt.
	Resume struct{ Attempt string }
	// Extend extends the runtime's lease of a short task.
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
