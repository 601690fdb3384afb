// Package codec converts between the domain types, such as job.Job, and the
// types of package wire that are encoded in messages and records, so that the
// scheduling code does not depend on the encoding. Decode functions that return an
// error check their input; the error names the field, what was found and what is
// allowed. The package owns no state and takes no lock.
package codec

import (
	"fmt"
	"time"

	"celerypoint.example/celerypoint/job"
	"celerypoint.example/celerypoint/org"
	"celerypoint.example/celerypoint/outcome"
	"celerypoint.example/celerypoint/shape"
	"celerypoint.example/celerypoint/vm"
	"celerypoint.example/celerypoint/wire"
)

// UnixMillis converts a time to Unix time in milliseconds. The zero time
// becomes 0.
func UnixMillis(t time.Time) int {
	if t.IsZero() {
		return 0
	}
	return int(t.UnixMilli())
}

// FromUnixMillis converts Unix time in milliseconds to a time. 0 becomes the
// zero time.
func FromUnixMillis(ms int) time.Time {
	if ms == 0 {
		return time.Time{}
	}
	return time.UnixMilli(int64(ms))
}

// NilIfEmpty returns nil for an empty map of labels. Encoding omits an empty
// map and decoding yields nil, so without this a record would differ from its
// decoded form.
func NilIfEmpty(m map[string]string) map[string]string {
	if len(m) == 0 {
		return nil
	}
	return m
}

// EncodeJob encodes a job.
func EncodeJob(j job.Job) wire.Job {
	return wire.Job{
		ID: j.ID, Org: j.Org, Labels: j.Labels, Selector: j.Selector,
		Tasks: j.Tasks, AcceleratorsPerTask: j.AcceleratorsPerTask,
		Adjacency: string(j.Adjacency), Urgency: string(j.Urgency),
		DeadlineUnixMs: UnixMillis(j.Deadline), Idempotent: j.Idempotent,
		IdempotencyKey: j.IdempotencyKey, Preemptible: j.Preemptible,
		DeclaredRunMs: int(j.DeclaredRun.Milliseconds()),
		Payload:       wire.Text(j.Payload), AcceptedAtUnixMs: UnixMillis(j.AcceptedAt),
	}
}

// DecodeJob decodes and validates a job.
func DecodeJob(w wire.Job) (job.Job, error) {
	payload, err := wire.Bytes("payload", w.Payload)
	if err != nil {
		return job.Job{}, err
	}
	adjacency, err := shape.ParseAdjacency(w.Adjacency)
	if err != nil {
		return job.Job{}, err
	}
	urgency, err := job.ParseUrgency(w.Urgency)
	if err != nil {
		return job.Job{}, err
	}
	j := job.Job{
		ID: w.ID, Org: w.Org, Labels: NilIfEmpty(w.Labels), Selector: w.Selector,
		Tasks: w.Tasks, AcceleratorsPerTask: w.AcceleratorsPerTask,
		Adjacency: adjacency, Urgency: urgency,
		Deadline: FromUnixMillis(w.DeadlineUnixMs), Idempotent: w.Idempotent,
		IdempotencyKey: w.IdempotencyKey, Preemptible: w.Preemptible,
		DeclaredRun: time.Duration(w.DeclaredRunMs) * time.Millisecond,
		Payload:     payload, AcceptedAt: FromUnixMillis(w.AcceptedAtUnixMs),
	}
	if j.ID == "" {
		return job.Job{}, fmt.Errorf("id: found none, allowed: a job identifier")
	}
	return j, j.Check()
}

// EncodeOrg encodes an organisation.
func EncodeOrg(o org.Org) wire.Org {
	return wire.Org{
		Name: o.Name, Labels: o.Labels, Selector: o.Selector, ShedRank: o.ShedRank,
		Guarantee: wire.Shape{
			VMs: o.Guarantee.VMs, AcceleratorsPerVM: o.Guarantee.AcceleratorsPerVM,
			Adjacency: string(o.Guarantee.Adjacency),
		},
	}
}

// DecodeOrg decodes and validates an organisation.
func DecodeOrg(w wire.Org) (org.Org, error) {
	adjacency, err := shape.ParseAdjacency(w.Guarantee.Adjacency)
	if err != nil {
		return org.Org{}, err
	}
	o := org.Org{
		Name: w.Name, Labels: NilIfEmpty(w.Labels), Selector: w.Selector, ShedRank: w.ShedRank,
		Guarantee: shape.Shape{VMs: w.Guarantee.VMs, AcceleratorsPerVM: w.Guarantee.AcceleratorsPerVM, Adjacency: adjacency},
	}
	return o, o.Check()
}

// EncodeOutcome encodes an outcome. A nil outcome becomes nil.
func EncodeOutcome(o outcome.Outcome) *wire.Outcome {
	switch o := o.(type) {
	case outcome.Answer:
		w := &wire.Outcome{Kind: wire.OutcomeKindAnswer, Length: int(o.Length), Checksum: wire.Checksum(o.Checksum), Body: wire.Text(o.Body)}
		for _, p := range o.Parts {
			w.Parts = append(w.Parts, wire.AnswerPart{VM: p.VM, Attempt: p.Attempt, Rank: p.Rank, Length: int(p.Length), Checksum: wire.Checksum(p.Checksum)})
		}
		return w
	case outcome.Failed:
		return &wire.Outcome{Kind: wire.OutcomeKindFailed, Reason: o.Reason, Cancelled: o.Cancelled}
	case outcome.NotRun:
		return &wire.Outcome{Kind: wire.OutcomeKindNotRun, Rule: o.Rule, Reason: o.Reason}
	case outcome.Unknown:
		return &wire.Outcome{Kind: wire.OutcomeKindUnknown, Reason: o.Reason}
	default:
		return nil
	}
}

// DecodeOutcome decodes an outcome. nil becomes a nil outcome.
func DecodeOutcome(w *wire.Outcome) (outcome.Outcome, error) {
	if w == nil {
		return nil, nil
	}
	switch w.Kind {
	case wire.OutcomeKindAnswer:
		return decodeAnswer(w)
	case wire.OutcomeKindFailed:
		return outcome.Failed{Reason: w.Reason, Cancelled: w.Cancelled}, nil
	case wire.OutcomeKindNotRun:
		return outcome.NotRun{Rule: w.Rule, Reason: w.Reason}, nil
	case wire.OutcomeKindUnknown:
		return outcome.Unknown{Reason: w.Reason}, nil
	default:
		return nil, fmt.Errorf("outcome kind: found %q, allowed: answer, failed, notRun, unknown", w.Kind)
	}
}

func decodeAnswer(w *wire.Outcome) (outcome.Outcome, error) {
	checksum, err := wire.ParseChecksum("checksum", w.Checksum)
	if err != nil {
		return nil, err
	}
	body, err := wire.Bytes("body", w.Body)
	if err != nil {
		return nil, err
	}
	a := outcome.Answer{Length: int64(w.Length), Checksum: checksum, Body: body}
	for _, p := range w.Parts {
		checksum, err := wire.ParseChecksum("parts.checksum", p.Checksum)
		if err != nil {
			return nil, err
		}
		a.Parts = append(a.Parts, outcome.Part{VM: p.VM, Attempt: p.Attempt, Rank: p.Rank, Length: int64(p.Length), Checksum: checksum})
	}
	return a, nil
}

// EncodeHolding encodes a holding: the tasks and accelerators that an attempt
// of a job has reserved or runs on a VM.
func EncodeHolding(h vm.Holding) wire.Holding {
	return wire.Holding{
		Job: h.JobID, Attempt: h.Attempt, Org: h.Org, Tasks: h.Tasks, Accelerators: h.Accelerators,
		Preemptible: h.Preemptible, Running: h.Running, Throttled: h.Throttled, StartedAtUnixMs: UnixMillis(h.StartedAt),
	}
}

// DecodeHolding decodes a holding.
func DecodeHolding(w wire.Holding) vm.Holding {
	return vm.Holding{
		JobID: w.Job, Attempt: w.Attempt, Org: w.Org, Tasks: w.Tasks, Accelerators: w.Accelerators,
		Preemptible: w.Preemptible, Running: w.Running, Throttled: w.Throttled, StartedAt: FromUnixMillis(w.StartedAtUnixMs),
	}
}

// DecodeVM decodes and validates the VM that an agent announces.
func DecodeVM(w wire.AnnounceParams) (vm.VM, error) {
	switch {
	case w.VM == "" || w.BootID == "" || w.Zone == "" || w.Rack == "" || w.Region == "":
		return vm.VM{}, fmt.Errorf("announce: found an empty vm, bootId, zone, rack or region, allowed: none of them empty")
	case w.Accelerators < 0 || w.Slots < 1:
		return vm.VM{}, fmt.Errorf("announce: found accelerators=%d slots=%d, allowed: at least 0 and at least 1", w.Accelerators, w.Slots)
	}
	return vm.VM{
		ID: w.VM, BootID: w.BootID, Zone: w.Zone, Rack: w.Rack, Region: w.Region, Labels: w.Labels,
		Accelerators: w.Accelerators, Slots: w.Slots, Connections: w.Connections, CPUs: w.CPUs, MemoryMB: w.MemoryMB,
	}, nil
}

// EncodeJobView encodes the state of a job as shown to callers.
func EncodeJobView(v job.View) wire.JobView {
	return wire.JobView{
		ID: v.ID, Org: v.Org, Phase: wire.JobPhase(v.Phase), VMs: v.VMs, AcceptedAtUnixMs: UnixMillis(v.AcceptedAt),
		StartedAtUnixMs: UnixMillis(v.StartedAt), EndedAtUnixMs: UnixMillis(v.EndedAt), WaitsFor: v.WaitsFor,
		Outcome: EncodeOutcome(v.Outcome),
	}
}

// DecodeJobView decodes the state of a job as shown to callers.
func DecodeJobView(w wire.JobView) (job.View, error) {
	o, err := DecodeOutcome(w.Outcome)
	if err != nil {
		return job.View{}, err
	}
	return job.View{
		ID: w.ID, Org: w.Org, Phase: job.Phase(w.Phase), VMs: w.VMs, AcceptedAt: FromUnixMillis(w.AcceptedAtUnixMs),
		StartedAt: FromUnixMillis(w.StartedAtUnixMs), EndedAt: FromUnixMillis(w.EndedAtUnixMs), WaitsFor: w.WaitsFor, Outcome: o,
	}, nil
}
