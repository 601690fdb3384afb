package caller

import (
	"celerypoint.example/celerypoint/codec"
	"celerypoint.example/celerypoint/job"
	"celerypoint.example/celerypoint/wire"
)

// EncodeRequest encodes a job as a caller submits it.
func EncodeRequest(j job.Job) wire.SubmitRequest {
	return wire.SubmitRequest{
		Org: j.Org, Labels: j.Labels, Selector: j.Selector, Tasks: j.Tasks, AcceleratorsPerTask: j.AcceleratorsPerTask,
		Adjacency: string(j.Adjacency), Urgency: string(j.Urgency), DeadlineUnixMs: codec.UnixMillis(j.Deadline),
		Idempotent: j.Idempotent, IdempotencyKey: j.IdempotencyKey, Preemptible: j.Preemptible,
		DeclaredRunMs: int(j.DeclaredRun.Milliseconds()), PayloadBase64: wire.Text(j.Payload),
	}
}
