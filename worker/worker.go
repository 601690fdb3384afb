// Package worker describes the worker, the process of the platform that runs
// tasks on an agent's VM: its announcements, its runs, and the requests that it
// accepts. An incarnation of a worker lasts from one start of its process to the
// next. The package owns no state and takes no lock.
package worker

import (
	"context"
	"errors"
	"time"

	"celerypoint.example/celerypoint/steps"
)

// EndReason tells how a run ended.
type EndReason string

// Reasons for the end of a run.
const (
	EndDone         EndReason = "done"
	EndFailed       EndReason = "failed"
	EndStopped      EndReason = "stopped"
	EndLeaseExpired EndReason = "lapsed"
	// EndGangMemberEnded means that another member of the run's gang ended.
	EndGangMemberEnded EndReason = "broken"
	// EndGangIncomplete means that the other members of the run's gang did not
	// start in time.
	EndGangIncomplete EndReason = "alone"
)

// IncarnationEnd tells how an incarnation of a worker ended.
type IncarnationEnd string

// Ends of an incarnation.
const (
	// IncarnationCrashed means that the worker ended without having announced it.
	IncarnationCrashed IncarnationEnd = "crashed"
	// IncarnationLeft means that the worker had announced that it drains or ends.
	IncarnationLeft IncarnationEnd = "left"
)

// VMSeparator separates the name of an incarnation from that of its VM, which names the
// incarnation in reports to the planner.
const VMSeparator = "@"

// Refusal is the reason why a worker did not carry out a request. It is empty
// if the request was carried out.
type Refusal string

// Reasons for a refusal.
const (
	// RefusalStaleToken means that the worker has seen a higher fencing token.
	RefusalStaleToken Refusal = "fence"
	// RefusalStaleRun means that this run, or a later one of the task, was stopped
	// or has ended.
	RefusalStaleRun Refusal = "old"
	// RefusalDeadlinePassed means that the deadline of the request has passed.
	RefusalDeadlinePassed Refusal = "late"
	// RefusalNoCapacity means that the worker lacks free capacity for the task.
	RefusalNoCapacity Refusal = "room"
	// RefusalTicket means that the platform requires a ticket that the request
	// lacks. Requests of this project carry no tickets.
	RefusalTicket Refusal = "ticket"
	// RefusalUnhealthy means that the worker temporarily carries out no requests.
	RefusalUnhealthy Refusal = "unhealthy"
	// RefusalInvalid means that the worker does not understand the request. It
	// also stands for every reason that is not listed here.
	RefusalInvalid Refusal = "invalid"
)

// Errors of a Client.
var (
	// ErrOutcomeUnknown means that the request may have been carried out, or may
	// still be carried out later.
	ErrOutcomeUnknown = errors.New("unknown whether the worker carried out the request")
	// ErrOtherIncarnation means that a worker with another ID than the requested
	// one responded, so the incarnation that the request is for has ended.
	ErrOtherIncarnation = errors.New("the worker has restarted")
)

// Announcement is a worker's description of itself.
type Announcement struct {
	// ID can be the same after a restart of the worker. Together with
	// StartedAtUnixMs, the start time of the worker's process, it identifies an
	// incarnation.
	ID              string
	StartedAtUnixMs int64
	Service         string
	Zone            string
	// Rack is empty if the worker names none. Labels contains it too.
	Rack     string
	Labels   []string
	Capacity steps.Resources
	Draining bool
	// RemainingMs is the minimum time for which a draining worker still runs.
	RemainingMs int
	// Sequence increases with each announcement of an incarnation.
	Sequence int64
	// Clock is the time on the worker's monotonic clock.
	Clock time.Duration
}

// Run identifies one run of a task.
type Run struct {
	Task string
	// Number is 1 for the first run of the task and increases with each further
	// start.
	Number int
}

// Running is a run in progress.
type Running struct {
	Run
	Checkpoint string
	// Progress is in percent.
	Progress int
	// Usage is a rough figure for the last half second: the tail latency in milliseconds of a
	// task that serves requests, and the CPU in use, in thousandths of a core, of any other.
	// It is 0 if the worker does not tell.
	Usage int
}

// Ended is a run that has ended.
type Ended struct {
	// EndNumber numbers the ended runs of an incarnation consecutively.
	EndNumber int64
	Run
	Reason     EndReason
	Checkpoint string
}

// Status lists the runs in progress on a worker, and the ended runs that the
// worker has not yet been allowed to forget.
type Status struct {
	Clock           time.Duration
	StartedAtUnixMs int64
	Running         []Running
	// Ended is ordered by EndNumber.
	Ended []Ended
	// Complete is true if Ended certainly holds all of these ended runs. The
	// worker lists a limited number at once.
	Complete bool
}

// StartRequest asks the worker to start a run. The worker refuses it when it
// has seen a higher FencingToken, or after Deadline on the worker's clock.
type StartRequest struct {
	Run
	Payload      string
	Checkpoint   string
	FencingToken int64
	Deadline     time.Duration
}

// StatusRequest asks for the status of the worker. It can also extend the lease of
// all runs in progress and allow the worker to forget ended runs.
type StatusRequest struct {
	FencingToken int64
	// LeaseExpiresAt is the end of the lease on the worker's clock. Zero leaves
	// the lease as it is.
	LeaseExpiresAt time.Duration
	// AckThrough is the highest EndNumber of the ended runs that the worker may
	// forget.
	AckThrough int64
	// MaxWait bounds how long the worker waits for a run to end before it
	// responds.
	MaxWait time.Duration
}

// Reply is the response to a request.
type Reply struct {
	// Clock is the time on the worker's monotonic clock.
	Clock   time.Duration
	Refusal Refusal
}

// Client sends requests to the worker. id is the ID of the worker that the
// request is meant for; an empty id means any. Errors are ErrOutcomeUnknown and
// ErrOtherIncarnation. A refusal is certain: the worker did not carry out this
// request and will not do so later.
type Client interface {
	Start(ctx context.Context, id string, s StartRequest) (Reply, error)
	Stop(ctx context.Context, id string, r Run, fencingToken int64) (Reply, error)
	Status(ctx context.Context, id string, s StatusRequest) (Status, Reply, error)
}
