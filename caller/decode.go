package caller

import (
	"fmt"
	"time"

	"celerypoint.example/celerypoint/codec"
	"celerypoint.example/celerypoint/httpbody"
	"celerypoint.example/celerypoint/job"
	"celerypoint.example/celerypoint/shape"
	"celerypoint.example/celerypoint/wire"
)

// jobFrom reads a request's body. The job has no ID; the error names the
// field, what was found and what is allowed.
func jobFrom(body []byte) (job.Job, string, error) {
	var r wire.SubmitRequest
	if err := httpbody.Decode(body, &r); err != nil {
		return job.Job{}, "", err
	}
	j, err := jobFromRequest(r)
	return j, r.RequestID, err
}

func jobFromRequest(r wire.SubmitRequest) (job.Job, error) {
	adjacency, err := shape.ParseAdjacency(r.Adjacency)
	if err != nil {
		return job.Job{}, err
	}
	urgency, err := job.ParseUrgency(r.Urgency)
	if err != nil {
		return job.Job{}, err
	}
	payload := []byte(r.Payload)
	if r.PayloadBase64 != "" {
		if r.Payload != "" {
			return job.Job{}, fmt.Errorf("payloadBase64: found together with payload, allowed: one of the two")
		}
		if payload, err = wire.Bytes("payloadBase64", r.PayloadBase64); err != nil {
			return job.Job{}, err
		}
	}
	if r.DeadlineUnixMs < 0 || r.DeclaredRunMs < 0 {
		return job.Job{}, fmt.Errorf("deadlineUnixMs, declaredRunMs: found %d and %d, allowed: at least 0", r.DeadlineUnixMs, r.DeclaredRunMs)
	}
	tasks := r.Tasks
	if tasks == 0 {
		tasks = 1
	}
	j := job.Job{
		Org: r.Org, Labels: r.Labels, Selector: r.Selector,
		Tasks: tasks, AcceleratorsPerTask: r.AcceleratorsPerTask,
		Adjacency: adjacency, Urgency: urgency, Deadline: codec.FromUnixMillis(r.DeadlineUnixMs),
		Idempotent: r.Idempotent, IdempotencyKey: r.IdempotencyKey, Preemptible: r.Preemptible,
		DeclaredRun: time.Duration(r.DeclaredRunMs) * time.Millisecond, Payload: payload,
	}
	return j, j.Check()
}
