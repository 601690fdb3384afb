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

// EndReason is how a run ended.
type EndReason string

// The ends of a run.
const (
	EndDone         EndReason = "done"
	EndFailed       EndReason = "failed"
	EndStopped      EndReason = "stopped"
	EndLeaseExpired EndReason = "lapsed"
	// EndGangMemberEnded says that another member of the gang ended.
	EndGangMemberEnded EndReason = "broken"
	// EndGangIncomplete says that the other members of the gang did not come in time.
	EndGangIncomplete EndReason = "alone"
)

// Refusal is why a worker did not carry out an order.
type Refusal string

// The refusals.
const (
	// RefusalStaleToken says that the worker has seen a higher token.
	RefusalStaleToken Refusal = "fence"
	// RefusalStaleRun says that this run, or a later one, was stopped or has ended.
	RefusalStaleRun Refusal = "old"
	// RefusalDeadlinePassed says that the order's deadline has passed.
	RefusalDeadlinePassed Refusal = "late"
	// RefusalNoCapacity says that the task does not fit.
	RefusalNoCapacity Refusal = "room"
	// RefusalTicket says that the order lacks a valid ticket.
	RefusalTicket Refusal = "ticket"
	// RefusalUnhealthy says that the worker does nothing for now.
	RefusalUnhealthy Refusal = "unhealthy"
	// RefusalInvalid says that the worker does not understand the order.
	RefusalInvalid Refusal = "invalid"
)

// Errors of calls.
var (
	// ErrOutcomeUnknown says that the order may have been carried out, or may be
	// later.
	ErrOutcomeUnknown = errors.New("unknown whether the worker carried out the order")
	// ErrOtherIncarnation says that another life of the worker answered.
	ErrOtherIncarnation = errors.New("the worker has started anew")
)

// Announcement is what a worker says of itself.
type Announcement struct {
	// ID may be the same after a restart; Boot is the start of this life in
	// Unix milliseconds.
	ID              string
	StartedAtUnixMs int64
	Service         string
	Zone            string
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
	EndNumber int64
	Run
	Reason     EndReason
	Checkpoint string
}

// Status is what a worker runs, and what has ended and not been forgotten.
type Status struct {
	Clock           time.Duration
	StartedAtUnixMs int64
	Running         []Running
	// Ended is in the order of the numbers.
	Ended []Ended
	// Complete says that Ended holds all ends.
	Complete bool
}

// StartRequest is an order to start a run. Token fences it; the order is void after
// Deadline on the worker's clock.
type StartRequest struct {
	Run
	Payload      string
	Checkpoint   string
	FencingToken int64
	Deadline     time.Duration
}

// StatusRequest asks for the status. It extends the deadline of everything that runs
// unless Deadline is zero, and lets the worker forget ends through Forget.
type StatusRequest struct {
	FencingToken   int64
	LeaseExpiresAt time.Duration
	AckThrough     int64
	// MaxWait bounds how long the worker waits for an end before it answers.
	MaxWait time.Duration
}

// Reply is the answer to an order. Refusal is empty when it was carried out.
type Reply struct {
	Clock   time.Duration
	Refusal Refusal
}

// Client calls the worker. id is the life that the call is meant for, or empty.
// Errors are ErrUnknown or ErrOtherBoot; a reply with a refusal is certain.
type Client interface {
	Start(ctx context.Context, id string, s StartRequest) (Reply, error)
	Stop(ctx context.Context, id string, r Run, token int64) (Reply, error)
	Status(ctx context.Context, id string, h StatusRequest) (Status, Reply, error)
}
