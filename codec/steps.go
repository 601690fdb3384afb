package codec

import (
	"encoding/json"
	"fmt"
	"net/netip"
	"time"

	"celerypoint.example/celerypoint/recordlog"
	"celerypoint.example/celerypoint/stepfold"
	"celerypoint.example/celerypoint/steps"
	"celerypoint.example/celerypoint/wire"
)

// EncodeStepRecord encodes a record for the record log.
func EncodeStepRecord(r stepfold.Record) (recordlog.Record, error) {
	var body any
	switch r := r.(type) {
	case stepfold.Accepted:
		body = encodeAccepted(r.Job)
	case stepfold.Progressed:
		body = encodeProgress(r.Progress)
	case stepfold.Cancelled:
		body = wire.StepsCancelled{}
	case stepfold.AgentRegistered:
		body = wire.AgentRecord{Address: r.Agent.Address, Zone: r.Agent.Zone}
	case stepfold.PlannerUpdated:
		p := r.Planner
		body = wire.PlannerRecord{Entry: p.Entry, Boot: p.BootID, Address: p.Address, Term: int(p.Term), Beat: int(p.Heartbeat), Resigned: p.Resigned}
	case stepfold.Deleted:
		return recordlog.Record{Key: r.Key}, nil
	}
	value, err := json.Marshal(body)
	if err != nil {
		return recordlog.Record{}, fmt.Errorf("record %s: %w", stepfold.Key(r), err)
	}
	return recordlog.Record{Key: stepfold.Key(r), Value: value}, nil
}

// maxTerm bounds the term in a planner's record. It leaves room for the terms of later
// claims.
const maxTerm = 1 << 53

// DecodeStepRecord decodes a record of the record log. A record without a value is
// a deletion of its key. The error names the key.
func DecodeStepRecord(r recordlog.Record) (stepfold.Record, error) {
	if len(r.Value) == 0 {
		return stepfold.Deleted{Key: r.Key}, nil
	}
	zero, id := stepfold.ParseKey(r.Key)
	record, err := decodeStepRecord(zero, id, r.Value)
	if err != nil {
		return nil, fmt.Errorf("record %q: %w", r.Key, err)
	}
	return record, nil
}

// decodeStepRecord decodes the value of a record. zero and id are the results of
// stepfold.ParseKey for the record's key.
func decodeStepRecord(zero stepfold.Record, id string, value []byte) (stepfold.Record, error) {
	switch zero.(type) {
	case stepfold.Accepted:
		var w wire.StepsAccepted
		if err := wire.Decode(value, &w); err != nil {
			return nil, err
		}
		j := decodeAccepted(id, w)
		if err := j.Check(); err != nil {
			return nil, err
		}
		return stepfold.Accepted{Job: j}, checkQueuePolicy(w.QueuePolicy)
	case stepfold.Progressed:
		var w wire.StepsProgress
		if err := wire.Decode(value, &w); err != nil {
			return nil, err
		}
		progress, err := decodeProgress(w)
		return stepfold.Progressed{ID: id, Progress: progress}, err
	case stepfold.Cancelled:
		return stepfold.Cancelled{ID: id}, nil
	case stepfold.AgentRegistered:
		var w wire.AgentRecord
		if err := wire.Decode(value, &w); err != nil {
			return nil, err
		}
		if id == "" {
			return nil, fmt.Errorf("key: found no name of an agent, allowed: one")
		}
		if a, err := netip.ParseAddrPort(w.Address); err != nil || a.Port() == 0 {
			return nil, fmt.Errorf("address: found %.64q, allowed: an IP address and a port from 1 to 65535", w.Address)
		}
		return stepfold.AgentRegistered{Name: id, Agent: stepfold.Agent{Address: w.Address, Zone: w.Zone}}, nil
	case stepfold.PlannerUpdated:
		var w wire.PlannerRecord
		if err := wire.Decode(value, &w); err != nil {
			return nil, err
		}
		if w.Term < 1 || w.Term > maxTerm {
			return nil, fmt.Errorf("term: found %d, allowed: 1 to %d", w.Term, maxTerm)
		}
		return stepfold.PlannerUpdated{Planner: stepfold.Planner{Entry: w.Entry, BootID: w.Boot, Address: w.Address, Term: int64(w.Term), Heartbeat: int64(w.Beat), Resigned: w.Resigned}}, nil
	}
	return nil, fmt.Errorf("key: found an unknown kind, allowed: accepted, advanced, cancelled, agent, planner")
}

func encodeAccepted(j steps.Job) wire.StepsAccepted {
	w := wire.StepsAccepted{
		Queue: j.Queue, Org: j.Org, Payload: j.Payload, Times: j.OccurrenceCount,
		IntervalMs: int(j.Interval.Milliseconds()), AcceptedAtMs: int(j.AcceptedAt.UnixMilli()),
	}
	if !j.StartAt.IsZero() {
		w.StartAtMs = int(j.StartAt.UnixMilli())
	}
	if q := j.QueuePolicy; q != nil {
		w.QueuePolicy = &wire.QueuePolicy{
			Service: q.Service, Priority: q.Priority, MaxAttempts: q.MaxAttempts, LatencyFactor: q.LatencyFactor, LatencyAllowanceMs: int(q.LatencyAllowance.Milliseconds()),
		}
	}
	for _, s := range j.Steps {
		w.Steps = append(w.Steps, wire.StepSpec{
			Count: s.Count, Cpu: s.Needs.CPU, MemMB: s.Needs.MemMB, Gpus: s.Needs.GPUs, EstimateMs: int(s.Estimate.Milliseconds()),
			After: s.After, Checkpointing: s.Checkpointing, Gang: s.Gang, SameRack: s.SameRack, Label: s.Label, Rack: s.PreferredRack,
			PerVM: s.MaxPerVM, Speculative: s.Speculative, LongRunning: s.LongRunning, Image: s.Image, TargetMs: s.TailLatencyMs,
			Fills: s.BestEffortCPU, MaxMisses: s.MaxUnavailable,
		})
	}
	return w
}

func decodeAccepted(id string, w wire.StepsAccepted) steps.Job {
	j := steps.Job{
		ID: id, Queue: w.Queue, Org: w.Org, Payload: w.Payload, OccurrenceCount: w.Times,
		Interval: time.Duration(w.IntervalMs) * time.Millisecond, AcceptedAt: time.UnixMilli(int64(w.AcceptedAtMs)),
	}
	if w.StartAtMs != 0 {
		j.StartAt = time.UnixMilli(int64(w.StartAtMs))
	}
	if q := w.QueuePolicy; q != nil {
		j.QueuePolicy = &steps.QueuePolicy{
			Service: q.Service, Priority: q.Priority, MaxAttempts: q.MaxAttempts, LatencyFactor: q.LatencyFactor, LatencyAllowance: time.Duration(q.LatencyAllowanceMs) * time.Millisecond,
		}
	}
	for _, s := range w.Steps {
		j.Steps = append(j.Steps, steps.Step{
			Count: s.Count, Needs: steps.Resources{CPU: s.Cpu, MemMB: s.MemMB, GPUs: s.Gpus},
			Estimate: time.Duration(s.EstimateMs) * time.Millisecond, After: s.After, Checkpointing: s.Checkpointing,
			Gang: s.Gang, SameRack: s.SameRack, Label: s.Label, PreferredRack: s.Rack, MaxPerVM: s.PerVM, Speculative: s.Speculative,
			LongRunning: s.LongRunning, Image: s.Image, TailLatencyMs: s.TargetMs, BestEffortCPU: s.Fills, MaxUnavailable: s.MaxMisses,
		})
	}
	return j
}

// Bounds of a stored queue policy, so that the times computed from it do not overflow.
const (
	maxLatencyFactor    = 1_000_000
	maxLatencyAllowance = 365 * 24 * time.Hour
)

func checkQueuePolicy(q *wire.QueuePolicy) error {
	switch {
	case q == nil:
		return nil
	case q.Priority < 0:
		return fmt.Errorf("queuePolicy.priority: found %d, allowed: at least 0", q.Priority)
	case q.MaxAttempts < 1:
		return fmt.Errorf("queuePolicy.maxAttempts: found %d, allowed: at least 1", q.MaxAttempts)
	case q.LatencyFactor < 0 || q.LatencyFactor > maxLatencyFactor:
		return fmt.Errorf("queuePolicy.latencyFactor: found %g, allowed: 0 to %d", q.LatencyFactor, maxLatencyFactor)
	case q.LatencyAllowanceMs < 0 || int64(q.LatencyAllowanceMs) > maxLatencyAllowance.Milliseconds():
		return fmt.Errorf("queuePolicy.latencyAllowanceMs: found %d, allowed: 0 to %d", q.LatencyAllowanceMs, maxLatencyAllowance.Milliseconds())
	}
	return nil
}
