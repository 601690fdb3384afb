// Package agent speaks to the agent of one VM: it carries an entry's orders
// over the connection that the agent dialled. Orders are proposals; the agent
// decides. The package owns no state and takes no lock.
package agent

import (
	"context"

	"celerypoint.example/celerypoint/rpc"
	"celerypoint.example/celerypoint/wire"
)

// Method names of orders.
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

	// Orders about jobs of steps.
	MethodAttach   = "attach"
	MethodStartRun = "startRun"
	MethodStopRun  = "stopRun"
)

// ReasonOutcomeUnknown is the reason of a start whose outcome is not known yet: it
// may still happen, and a report of the result's version or later tells.
const ReasonOutcomeUnknown = "unsettled"

// Client sends orders to one agent. An *rpc.Error means that the agent
// refused to handle the order; any other error leaves open whether it acted.
type Client struct{ Conn *rpc.Conn }

// Run runs one short task and waits for its end.
func (c Client) Run(ctx context.Context, p wire.RunParams) (wire.RunResult, error) {
	return call[wire.RunResult](ctx, c, MethodRun, p)
}

// Reserve holds accelerators; the reply may wait for a reclaim.
func (c Client) Reserve(ctx context.Context, p wire.ReserveParams) (wire.GrantResult, error) {
	return call[wire.GrantResult](ctx, c, MethodReserve, p)
}

// Start starts a reserved attempt.
func (c Client) Start(ctx context.Context, p wire.StartParams) (wire.GrantResult, error) {
	return call[wire.GrantResult](ctx, c, MethodStart, p)
}

// Confirm asks whether an attempt still runs.
func (c Client) Confirm(ctx context.Context, p wire.ConfirmParams) (wire.ConfirmResult, error) {
	return call[wire.ConfirmResult](ctx, c, MethodConfirm, p)
}

// Renew extends the lease of an attempt.
func (c Client) Renew(ctx context.Context, p wire.RenewParams) (wire.RenewResult, error) {
	return call[wire.RenewResult](ctx, c, MethodRenew, p)
}

// Release drops or stops an attempt and has it refused from then on.
func (c Client) Release(ctx context.Context, p wire.ReleaseParams) (wire.ReleaseResult, error) {
	return call[wire.ReleaseResult](ctx, c, MethodRelease, p)
}

// Answer reads a part of a task's answer.
func (c Client) Answer(ctx context.Context, p wire.AnswerParams) (wire.AnswerResult, error) {
	return call[wire.AnswerResult](ctx, c, MethodAnswer, p)
}

// Drain tells the agent whether to take new work.
func (c Client) Drain(ctx context.Context, p wire.DrainParams) (wire.DrainResult, error) {
	return call[wire.DrainResult](ctx, c, MethodDrain, p)
}

// Events reads events for the timeline.
func (c Client) Events(ctx context.Context, p wire.EventsParams) (wire.EventsResult, error) {
	return call[wire.EventsResult](ctx, c, MethodEvents, p)
}

// Attach makes the agent follow the planner of the term.
func (c Client) Attach(ctx context.Context, p wire.AttachParams) (wire.AttachResult, error) {
	return call[wire.AttachResult](ctx, c, MethodAttach, p)
}

// StartRun starts one run of a task of a step. A result that does not say
// started, without ReasonUnsettled, is certain.
func (c Client) StartRun(ctx context.Context, p wire.StartRunParams) (wire.StartRunResult, error) {
	return call[wire.StartRunResult](ctx, c, MethodStartRun, p)
}

// StopRun stops one run; its end follows in a report.
func (c Client) StopRun(ctx context.Context, p wire.StopRunParams) (wire.StopRunResult, error) {
	return call[wire.StopRunResult](ctx, c, MethodStopRun, p)
}

func call[R any](ctx context.Context, c Client, method string, params any) (R, error) {
	var result R
	err := c.Conn.Call(ctx, method, params, &result)
	return result, err
}
