package entryd

import (
	"context"
	"fmt"

	"celerypoint.example/celerypoint/codec"
	"celerypoint.example/celerypoint/entry"
	"celerypoint.example/celerypoint/job"
	"celerypoint.example/celerypoint/outcome"
	"celerypoint.example/celerypoint/rpc"
	"celerypoint.example/celerypoint/wire"
)

// handoverBatchBytes is the size at which a batch of jobs is complete. Each job
// counts as 1 KiB plus the bytes of its answer. A batch can exceed the size by one
// job, and has to fit into an RPC frame after the base64 encoding of the answers.
const handoverBatchBytes = 256 << 10

// handOver sends the ended short requests to the connected peers one after the
// other, until one has accepted all of them. Their outcomes are not in the log, where
// other entries could read them, and callers may ask for them after this entry has
// stopped.
func (d *Daemon) handOver(ctx context.Context) error {
	batches := d.endedShortBatches()
	if len(batches) == 0 {
		return nil
	}
	var last error
	for _, conn := range d.peerConns() {
		if last = sendBatches(ctx, conn, batches); last == nil {
			d.count("shortsHandedOver")
			return nil
		}
	}
	if last == nil {
		// No peer is connected, so no other entry could serve the answers.
		return nil
	}
	return fmt.Errorf("entry %s: outcomes of short requests not handed over to a peer: %w", d.cfg.ID, last)
}

// sendBatches sends the batches to one peer until one fails.
func sendBatches(ctx context.Context, conn *rpc.Conn, batches []wire.PeerAdoptParams) error {
	for _, b := range batches {
		callCtx, cancel := context.WithTimeout(ctx, callTimeout)
		err := entry.Client{Conn: conn}.PeerAdopt(callCtx, b)
		cancel()
		if err != nil {
			return err
		}
	}
	return nil
}

// endedShortBatches returns the ended short requests that this entry still keeps, in
// batches of about handoverBatchBytes. The log does not contain them, so callers can
// get their outcomes only from an entry.
func (d *Daemon) endedShortBatches() []wire.PeerAdoptParams {
	d.jobs.mu.Lock()
	defer d.jobs.mu.Unlock()
	var batches []wire.PeerAdoptParams
	var batch wire.PeerAdoptParams
	size := 0
	for _, r := range d.jobs.byID {
		if r.recorded || r.outcome == nil {
			continue
		}
		batch.Jobs = append(batch.Jobs, codec.EncodeJobView(r.view()))
		size += handoverBatchBytes / 256
		if a, ok := r.outcome.(outcome.Answer); ok {
			size += len(a.Body)
		}
		if size >= handoverBatchBytes {
			batches, batch, size = append(batches, batch), wire.PeerAdoptParams{}, 0
		}
	}
	if len(batch.Jobs) > 0 {
		batches = append(batches, batch)
	}
	return batches
}

// handlePeerAdopt receives ended short requests from an entry that is stopping, and
// adds those that this entry does not know yet to its table of jobs.
func (d *Daemon) handlePeerAdopt(_ *rpc.Conn, p wire.PeerAdoptParams) (struct{}, error) {
	var adopted []*trackedJob
	for _, w := range p.Jobs {
		v, err := codec.DecodeJobView(w)
		if err != nil {
			return struct{}{}, fmt.Errorf("job %s: %w", w.ID, err)
		}
		if v.Outcome == nil {
			return struct{}{}, fmt.Errorf("job %s: found no outcome, allowed: ended jobs", w.ID)
		}
		r := &trackedJob{
			job: job.Job{ID: v.ID, Org: v.Org, AcceptedAt: v.AcceptedAt}, vms: v.VMs, startedAt: v.StartedAt, done: make(chan struct{}),
		}
		r.end(v.Outcome)
		r.endedAt = v.EndedAt
		adopted = append(adopted, r)
	}
	d.jobs.mu.Lock()
	defer d.jobs.mu.Unlock()
	for _, r := range adopted {
		if d.jobs.byID[r.job.ID] == nil {
			d.jobs.byID[r.job.ID] = r
		}
	}
	return struct{}{}, nil
}

// jobFromAnyPeer asks the connected peers one after the other for a job, and
// returns the view of the first that knows it. The view may be older than that of
// the entry that accepted the job or, for a recorded job, that of the planner of
// the job's region.
func (d *Daemon) jobFromAnyPeer(ctx context.Context, jobID string) (job.View, bool, error) {
	params := wire.PeerJobParams{ID: jobID, Op: wire.PeerJobOpGet}
	for _, conn := range d.peerConns() {
		callCtx, cancel := context.WithTimeout(ctx, callTimeout)
		r, err := entry.Client{Conn: conn}.PeerJob(callCtx, params)
		cancel()
		if err == nil && r.Found && r.Job != nil {
			v, err := codec.DecodeJobView(*r.Job)
			return v, err == nil, err
		}
	}
	return job.View{}, false, nil
}
