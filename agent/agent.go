// Package agent is the RPC client of an agent, the process that runs tasks on one
// VM. Entries use it to send requests over the connection that the agent has
// opened to them. The agent decides whether it carries a request out. The package
// owns no state and takes no lock.
package agent

import (
	"context"

	"celerypoint.example/celerypoint/rpc"
	"celerypoint.example/celerypoint/wire"
)

// The names of the RPC methods of an agent.
const (
	MethodRun     = "run"
	MethodReserve = "reserve"
	MethodStart   = "start"
	MethodConfirm = "confirm"
	MethodRenew   = "renew"
	MethodRelease = "release"
	MethodAnswer  = "answer"
	MethodDrain   = "drain"
	MethodEvents  = "events"

	// Methods for jobs that consist of steps. A run is one execution of a task of
	// a step.
	MethodAttach   = "attach"
	MethodStartRun = "startRun"
	MethodStopRun  = "stopRun"
)

// ReasonOutcomeUnknown is the Reason in the result of StartRun when it is not known
// yet whether the run has started or will start. The agent's reports with the
// Version of the result or a later one tell what became of it.
const ReasonOutcomeUnknown = "unsettled"

// Client sends requests to one agent. An *rpc.Error means that the agent refused
// the request; after any other error it is unknown whether the agent acted.
type Client struct{ Conn *rpc.Conn }

// Run runs a short task, which is an idempotent job of one task, without a
// reservation and waits for its end.
func (c Client) Run(ctx context.Context, p wire.RunParams) (wire.RunResult, error) {
	return call[wire.RunResult](ctx, c, MethodRun, p)
}

// Reserve reserves accelerators for an attempt to run a job. With Reclaim the
// reply may take until the agent has evicted tasks that use accelerators beyond
// their organisation's share.
func (c Client) Reserve(ctx context.Context, p wire.ReserveParams) (wire.GrantResult, error) {
	return call[wire.GrantResult](ctx, c, MethodReserve, p)
}

// Start starts a reserved attempt.
func (c Client) Start(ctx context.Context, p wire.StartParams) (wire.GrantResult, error) {
	return call[wire.GrantResult](ctx, c, MethodStart, p)
}

// Confirm asks whether an attempt still runs. The result holds the number of this
// confirmation, the round, which a Renew has to name.
func (c Client) Confirm(ctx context.Context, p wire.ConfirmParams) (wire.ConfirmResult, error) {
	return call[wire.ConfirmResult](ctx, c, MethodConfirm, p)
}

// Renew extends the lease of an attempt. The lease runs from the time at which the
// agent answered the Confirm of the given round.
func (c Client) Renew(ctx context.Context, p wire.RenewParams) (wire.RenewResult, error) {
	return call[wire.RenewResult](ctx, c, MethodRenew, p)
}

// Release cancels the reservation of an attempt, or stops its tasks. The agent
// refuses the attempt from then on.
func (c Client) Release(ctx context.Context, p wire.ReleaseParams) (wire.ReleaseResult, error) {
	return call[wire.ReleaseResult](ctx, c, MethodRelease, p)
}

// Answer reads a part of the answer, which is the output, of a task.
func (c Client) Answer(ctx context.Context, p wire.AnswerParams) (wire.AnswerResult, error) {
	return call[wire.AnswerResult](ctx, c, MethodAnswer, p)
}

// Drain tells the agent whether to refuse new work.
func (c Client) Drain(ctx context.Context, p wire.DrainParams) (wire.DrainResult, error) {
	return call[wire.DrainResult](ctx, c, MethodDrain, p)
}

// Events reads the newest events that the agent process has recorded about jobs and
// its VM, such as the start or the end of a task, from a sequence number on.
func (c Client) Events(ctx context.Context, p wire.EventsParams) (wire.EventsResult, error) {
	return call[wire.EventsResult](ctx, c, MethodEvents, p)
}

// Attach makes the agent take requests from the planner that is named, over this
// connection. Each new planner has a higher term, and each Attach of one planner a
// higher session. The agent refuses if it has attached to a later term or session.
func (c Client) Attach(ctx context.Context, p wire.AttachParams) (wire.AttachResult, error) {
	return call[wire.AttachResult](ctx, c, MethodAttach, p)
}

// StartRun starts one run of a task of a step. If the result has neither Started
// nor ReasonOutcomeUnknown, the run has not started and will not start.
func (c Client) StartRun(ctx context.Context, p wire.StartRunParams) (wire.StartRunResult, error) {
	return call[wire.StartRunResult](ctx, c, MethodStartRun, p)
}

// StopRun stops one run. The agent reports the end of the run later.
func (c Client) StopRun(ctx context.Context, p wire.StopRunParams) (wire.StopRunResult, error) {
	return call[wire.StopRunResult](ctx, c, MethodStopRun, p)
}

func call[R any](ctx context.Context, c Client, method string, params any) (R, error) {
	var result R
	err := c.Conn.Call(ctx, method, params, &result)
	return result, err
}
