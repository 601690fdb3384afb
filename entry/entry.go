// Package entry speaks to an entry: agents announce themselves and report ends
// of tasks, and entries exchange membership, configuration and jobs. The
// package owns no state and takes no lock.
package entry

import (
	"context"

	"celerypoint.example/celerypoint/rpc"
	"celerypoint.example/celerypoint/wire"
)

// Method names of messages to an entry.
const (
	MethodAnnounce   = "announce"
	MethodTaskEnded  = "taskEnded"
	MethodPeerHello  = "peerHello"
	MethodPeerConfig = "peerConfig"
	MethodPeerJob    = "peerJob"
	MethodPeerEvents = "peerEvents"
	MethodPeerAdopt  = "peerAdopt"

	// Messages about jobs of steps.
	MethodReport      = "report"
	MethodPingPlanner = "pingPlanner"
	// MethodRecordStored has no reply.
	MethodRecordStored = "recordStored"
)

// Client speaks to one entry.
type Client struct{ Conn *rpc.Conn }

// Announce tells the entry about this VM.
func (c Client) Announce(ctx context.Context, p wire.AnnounceParams) (wire.AnnounceResult, error) {
	return call[wire.AnnounceResult](ctx, c, MethodAnnounce, p)
}

// TaskEnded reports the end of a task until the entry confirms it.
func (c Client) TaskEnded(ctx context.Context, p wire.TaskEndedParams) error {
	return c.Conn.Call(ctx, MethodTaskEnded, p, nil)
}

// PeerHello exchanges what two entries know.
func (c Client) PeerHello(ctx context.Context, p wire.PeerHello) (wire.PeerHello, error) {
	return call[wire.PeerHello](ctx, c, MethodPeerHello, p)
}

// PeerConfig reads configuration records that the peer has folded.
func (c Client) PeerConfig(ctx context.Context, p wire.PeerConfigParams) (wire.PeerConfigResult, error) {
	return call[wire.PeerConfigResult](ctx, c, MethodPeerConfig, p)
}

// PeerJob reads, awaits or cancels a job that the peer holds.
func (c Client) PeerJob(ctx context.Context, p wire.PeerJobParams) (wire.PeerJobResult, error) {
	return call[wire.PeerJobResult](ctx, c, MethodPeerJob, p)
}

// PeerAdopt gives the peer ended short jobs, so that callers still find them.
func (c Client) PeerAdopt(ctx context.Context, p wire.PeerAdoptParams) error {
	return c.Conn.Call(ctx, MethodPeerAdopt, p, nil)
}

// PeerEvents reads the peer's events for the timeline.
func (c Client) PeerEvents(ctx context.Context, p wire.EventsParams) (wire.EventsResult, error) {
	return call[wire.EventsResult](ctx, c, MethodPeerEvents, p)
}

// Report tells the planner everything about a worker and asks for a lease.
func (c Client) Report(ctx context.Context, p wire.WorkerReport) (wire.ReportReply, error) {
	return call[wire.ReportReply](ctx, c, MethodReport, p)
}

// PingPlanner asks the entry whether it plans.
func (c Client) PingPlanner(ctx context.Context, p wire.PlannerPing) (wire.PlannerPong, error) {
	return call[wire.PlannerPong](ctx, c, MethodPingPlanner, p)
}

// RecordStored tells the entry of a record that is stored. It does not wait: a
// message that is lost is made up for by the store's reads.
func (c Client) RecordStored(p wire.RecordStored) error {
	return c.Conn.Notify(MethodRecordStored, p)
}

func call[R any](ctx context.Context, c Client, method string, params any) (R, error) {
	var result R
	err := c.Conn.Call(ctx, method, params, &result)
	return result, err
}
