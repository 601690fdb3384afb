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

// handOverBytes bounds the answers in one message, to stay below a frame with
// their base64 encoding.
const handOverBytes = 256 << 10

// handOver gives the ended short jobs to a peer. Only the entry that ran them
// knows their answers, and a caller may ask for one after the entry has
// stopped.
func (d *Daemon) handOver(ctx context.Context) error {
	batches := d.endedShorts()
	if len(batches) == 0 {
		return nil
	}
	var last error
	for _, conn := range d.peerConns() {
		if last = adopt(ctx, conn, batches); last == nil {
			d.count("shortsHandedOver")
			return nil
		}
	}
	if last == nil {
		// Without a live peer no other entry could serve the answers.
		return nil
	}
	return fmt.Errorf("entry %s: answers of short jobs not handed over: %w", d.c.ID, last)
}

func adopt(ctx context.Context, conn *rpc.Conn, batches []wire.PeerAdoptParams) error {
	for _, b := range batches {
		callCtx, cancel := context.WithTimeout(ctx, orderTimeout)
		err := entry.Client{Conn: conn}.PeerAdopt(callCtx, b)
		cancel()
		if err != nil {
			return err
		}
	}
	return nil
}

// endedShorts lists the short jobs that callers may still ask for.
func (d *Daemon) endedShorts() []wire.PeerAdoptParams {
	d.jobs.mu.Lock()
	defer d.jobs.mu.Unlock()
	var batches []wire.PeerAdoptParams
	var batch wire.PeerAdoptParams
	size := 0
	for _, r := range d.jobs.byID {
		if r.recorded || r.outcome == nil {
			continue
		}
		batch.Jobs = append(batch.Jobs, codec.ViewTo(r.view()))
		size += handOverBytes / 256
		if a, ok := r.outcome.(outcome.Answer); ok {
			size += len(a.Body)
		}
		if size >= handOverBytes {
			batches, batch, size = append(batches, batch), wire.PeerAdoptParams{}, 0
		}
	}
	if len(batch.Jobs) > 0 {
		batches = append(batches, batch)
	}
	return batches
}

// peerAdopt takes ended short jobs of an entry that stops.
func (d *Daemon) peerAdopt(_ *rpc.Conn, p wire.PeerAdoptParams) (struct{}, error) {
	var adopted []*running
	for _, w := range p.Jobs {
		v, err := codec.ViewFrom(w)
		if err != nil {
			return struct{}{}, fmt.Errorf("job %s: %w", w.ID, err)
		}
		if v.Outcome == nil {
			return struct{}{}, fmt.Errorf("job %s: found no outcome, allowed: ended jobs", w.ID)
		}
		r := &running{
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

// anyPeerJob asks every peer for a job whose entry is gone.
func (d *Daemon) anyPeerJob(ctx context.Context, id string) (job.View, bool, error) {
	params := wire.PeerJobParams{ID: id, Op: wire.PeerJobOpGet}
	for _, conn := range d.peerConns() {
		callCtx, cancel := context.WithTimeout(ctx, orderTimeout)
		r, err := entry.Client{Conn: conn}.PeerJob(callCtx, params)
		cancel()
		if err == nil && r.Found && r.Job != nil {
			v, err := codec.ViewFrom(*r.Job)
			return v, err == nil, err
		}
	}
	return job.View{}, false, nil
}
