// Package worker describes the worker beside an agent: what it announces, what
// it runs, and the calls that it takes. The package owns no state and takes no
// lock.
package worker

import (
	"context"
	"errors"
	"time"

	"celerypoint.example/celerypoint/steps"
)

// End is how a run ended.
type End string

// The ends of a run.
const (
	EndDone    End = "done"
	EndFailed  End = "failed"
	EndStopped End = "stopped"
	EndLapsed  End = "lapsed"
	// EndBroken says that another member of the gang ended.
	EndBroken End = "broken"
	// EndAlone says that the other members of the gang did not come in time.
	EndAlone End = "alone"
)

// Refusal is why a worker did not carry out an order.
type Refusal string

// The refusals.
const (
	// RefusalFence says that the worker has seen a higher token.
	RefusalFence Refusal = "fence"
	// RefusalOld says that this run, or a later one, was stopped or has ended.
	RefusalOld Refusal = "old"
	// RefusalLate says that the order's deadline has passed.
	RefusalLate Refusal = "late"
	// RefusalRoom says that the task does not fit.
	RefusalRoom Refusal = "room"
	// RefusalTicket says that the order lacks a valid ticket.
	RefusalTicket Refusal = "ticket"
	// RefusalUnhealthy says that the worker does nothing for now.
	RefusalUnhealthy Refusal = "unhealthy"
	// RefusalInvalid says that the worker does not understand the order.
	RefusalInvalid Refusal = "invalid"
)

// Errors of calls.
var (
	// ErrUnknown says that the order may have been carried out, or may be
	// later.
	ErrUnknown = errors.New("unknown whether the worker carried out the order")
	// ErrOtherBoot says that another life of the worker answered.
	ErrOtherBoot = errors.New("the worker has started anew")
)

// Announcement is what a worker says of itself.
type Announcement struct {
	// ID may be the same after a restart; Boot is the start of this life in
	// Unix milliseconds.
	ID      string
	Boot    int64
	Service string
	Zone    string
	// Rack is empty when the worker names none; it is among Labels too.
	Rack     string
	Labels   []string
	Capacity steps.Resources
	Draining bool
	// RemainingMs is the least time left while it drains.
	RemainingMs int
	// Sequence rises with each announcement of one life.
	Sequence int64
	// Clock is the worker's own steady clock.
	Clock time.Duration
}

// Run is one run of a task.
type Run struct {
	Task string
	// Number counts the starts of the task from 1; it only rises.
	Number int
}

// Running is a run in progress.
type Running struct {
	Run
	Checkpoint string
	// Progress is in percent.
	Progress int
}

// Ended is a run that has ended. Number rises by 1 within a life.
type Ended struct {
	Number int64
	Run
	End        End
	Checkpoint string
}

// Status is what a worker runs, and what has ended and not been forgotten.
type Status struct {
	Clock   time.Duration
	Boot    int64
	Running []Running
	// Ended is in the order of the numbers.
	Ended []Ended
	// Complete says that Ended holds all ends.
	Complete bool
}

// Start is an order to start a run. Token fences it; the order is void after
// Deadline on the worker's clock.
type Start struct {
	Run
	Payload    string
	Checkpoint string
	Token      int64
	Deadline   time.Duration
}

// Hold asks for the status. It extends the deadline of everything that runs
// unless Deadline is zero, and lets the worker forget ends through Forget.
type Hold struct {
	Token    int64
	Deadline time.Duration
	Forget   int64
	// Wait bounds how long the worker waits for an end before it answers.
	Wait time.Duration
}

// Reply is the answer to an order. Refusal is empty when it was carried out.
type Reply struct {
	Clock   time.Duration
	Refusal Refusal
}

// Caller calls the worker. id is the life that the call is meant for, or empty.
// Errors are ErrUnknown or ErrOtherBoot; a reply with a refusal is certain.
type Caller interface {
	Start(ctx context.Context, id string, s Start) (Reply, error)
	Stop(ctx context.Context, id string, r Run, token int64) (Reply, error)
	Hold(ctx context.Context, id string, h Hold) (Status, Reply, error)
}
