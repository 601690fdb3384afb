package caller

import (
	"celerypoint.example/celerypoint/codec"
	"celerypoint.example/celerypoint/job"
	"celerypoint.example/celerypoint/wire"
)

// viewTo encodes what a caller learns of a job.
func viewTo(v job.View) wire.JobView {
	return wire.JobView{
		ID: v.ID, Org: v.Org, Phase: wire.JobPhase(v.Phase), VMs: v.VMs,
		AcceptedAtUnixMs: codec.Millis(v.AcceptedAt), StartedAtUnixMs: codec.Millis(v.StartedAt),
		EndedAtUnixMs: codec.Millis(v.EndedAt), WaitsFor: v.WaitsFor, Outcome: codec.OutcomeTo(v.Outcome),
	}
}

// ViewFrom is the reverse, for clients.
func ViewFrom(w wire.JobView) (job.View, error) {
	o, err := codec.OutcomeFrom(w.Outcome)
	if err != nil {
		return job.View{}, err
	}
	return job.View{
		ID: w.ID, Org: w.Org, Phase: job.Phase(w.Phase), VMs: w.VMs, AcceptedAt: codec.Time(w.AcceptedAtUnixMs),
		StartedAt: codec.Time(w.StartedAtUnixMs), EndedAt: codec.Time(w.EndedAtUnixMs), WaitsFor: w.WaitsFor, Outcome: o,
	}, nil
}

// RequestTo encodes a job as a caller submits it.
func RequestTo(j job.Job) wire.SubmitRequest {
	return wire.SubmitRequest{
		Org: j.Org, Labels: j.Labels, Selector: j.Selector, Tasks: j.Tasks, AcceleratorsPerTask: j.AcceleratorsPerTask,
		Adjacency: string(j.Adjacency), Urgency: string(j.Urgency), DeadlineUnixMs: codec.Millis(j.Deadline),
		Idempotent: j.Idempotent, IdempotencyKey: j.IdempotencyKey, Preemptible: j.Preemptible,
		DeclaredRunMs: int(j.DeclaredRun.Milliseconds()), PayloadBase64: wire.Text(j.Payload),
	}
}
