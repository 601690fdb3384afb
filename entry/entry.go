// Package entry is the RPC client of an entry process. Agents use it to announce
// themselves and to report ended tasks. Entries use it to exchange heartbeats,
// configuration and jobs with each other. The package owns no state and takes no
// lock.
package entry

import (
	"context"

	"celerypoint.example/celerypoint/rpc"
	"celerypoint.example/celerypoint/wire"
)

// The names of the RPC methods of an entry.
const (
	MethodAnnounce   = "announce"
	MethodTaskEnded  = "taskEnded"
	MethodPeerHello  = "peerHello"
	MethodPeerConfig = "peerConfig"
	MethodPeerJob    = "peerJob"
	MethodPeerEvents = "peerEvents"
	MethodPeerAdopt  = "peerAdopt"

	// The methods for jobs that consist of steps; see packages steps and
	// stepentry.
	MethodReport        = "report"
	MethodPingPlanner   = "pingPlanner"
	MethodStoreRecord   = "storeRecord"
	MethodConfiguration = "configuration"
	MethodJobPhase      = "jobPhase"
	MethodPendingJobs   = "pendingJobs"
	// MethodRecordStored and MethodPlannerStuck are notifications, which have no
	// reply.
	MethodRecordStored = "recordStored"
	MethodPlannerStuck = "plannerStuck"
)

// Client calls the methods of one entry.
type Client struct{ Conn *rpc.Conn }

// Announce reports the state of the agent's VM. The result holds the known entries
// and the part of the configuration that concerns the VM.
func (c Client) Announce(ctx context.Context, p wire.AnnounceParams) (wire.AnnounceResult, error) {
	return call[wire.AnnounceResult](ctx, c, MethodAnnounce, p)
}

// TaskEnded reports the end of a task. On an error the agent has to report it again,
// to this entry or another one.
func (c Client) TaskEnded(ctx context.Context, p wire.TaskEndedParams) error {
	return c.Conn.Call(ctx, MethodTaskEnded, p, nil)
}

// PeerHello sends the hello of the calling entry and returns that of the peer.
// Hellos are the heartbeats of entries. They carry the entry's address, its state
// and the addresses of the entries that it knows.
func (c Client) PeerHello(ctx context.Context, p wire.PeerHello) (wire.PeerHello, error) {
	return call[wire.PeerHello](ctx, c, MethodPeerHello, p)
}

// PeerConfig reads configuration records, or a snapshot, that the peer has read
// from the log.
func (c Client) PeerConfig(ctx context.Context, p wire.PeerConfigParams) (wire.PeerConfigResult, error) {
	return call[wire.PeerConfigResult](ctx, c, MethodPeerConfig, p)
}

// PeerJob reads or cancels a job that the peer knows.
func (c Client) PeerJob(ctx context.Context, p wire.PeerJobParams) (wire.PeerJobResult, error) {
	return call[wire.PeerJobResult](ctx, c, MethodPeerJob, p)
}

// PeerAdopt hands ended short requests over to the peer, so that callers can get
// their outcomes after the calling entry has stopped.
func (c Client) PeerAdopt(ctx context.Context, p wire.PeerAdoptParams) error {
	return c.Conn.Call(ctx, MethodPeerAdopt, p, nil)
}

// PeerEvents reads the newest events of the peer's process, which operators see in
// the timeline.
func (c Client) PeerEvents(ctx context.Context, p wire.EventsParams) (wire.EventsResult, error) {
	return call[wire.EventsResult](ctx, c, MethodPeerEvents, p)
}

// Report sends the full state of an agent's worker to the planner and asks for a
// lease for the worker; see package lease.
func (c Client) Report(ctx context.Context, p wire.WorkerReport) (wire.ReportReply, error) {
	return call[wire.ReportReply](ctx, c, MethodReport, p)
}

// PingPlanner asks the entry whether it is the planner.
func (c Client) PingPlanner(ctx context.Context, p wire.PlannerPing) (wire.PlannerPong, error) {
	return call[wire.PlannerPong](ctx, c, MethodPingPlanner, p)
}

// RecordStored notifies the entry that a record was appended to the platform's store;
// see package recordlog. It does not wait for a reply. When the message is lost, the
// entry gets the record with its next read of the store.
func (c Client) RecordStored(p wire.RecordStored) error {
	return c.Conn.Notify(MethodRecordStored, p)
}

// StoreRecord asks the entry to append a record to the platform's store, because the
// store does not answer the calling entry. Only records that any entry may write are
// appended. After an error it is unknown whether the record is stored.
func (c Client) StoreRecord(ctx context.Context, p wire.StoreRecordParams) (wire.StoreRecordResult, error) {
	return call[wire.StoreRecordResult](ctx, c, MethodStoreRecord, p)
}

// Configuration reads the operator's record of the configuration that the entry has, if its
// version is above that of the caller.
func (c Client) Configuration(ctx context.Context, p wire.ConfigurationParams) (wire.ConfigurationResult, error) {
	return call[wire.ConfigurationResult](ctx, c, MethodConfiguration, p)
}

// JobPhase reads the phase of a job of steps, for a caller that the store does not serve. The
// entry does not ask a third one.
func (c Client) JobPhase(ctx context.Context, p wire.JobPhaseParams) (wire.JobPhaseResult, error) {
	return call[wire.JobPhaseResult](ctx, c, MethodJobPhase, p)
}

// PendingJobs counts the pending jobs of a queue, for a caller that the store does not serve.
// The entry does not ask a third one.
func (c Client) PendingJobs(ctx context.Context, p wire.PendingJobsParams) (wire.PendingJobsResult, error) {
	return call[wire.PendingJobsResult](ctx, c, MethodPendingJobs, p)
}

// PlannerStuck notifies the entry that the caller is the planner of the term and that
// the store does not take its records. It does not wait for a reply.
func (c Client) PlannerStuck(p wire.PlannerPing) error { return c.Conn.Notify(MethodPlannerStuck, p) }

func call[R any](ctx context.Context, c Client, method string, params any) (R, error) {
	var result R
	err := c.Conn.Call(ctx, method, params, &result)
	return result, err
}
