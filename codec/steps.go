package codec

import (
	"cmp"
	"encoding/json"
	"fmt"
	"slices"
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
		return stepfold.Accepted{Job: j}, j.Check()
	case stepfold.Progressed:
		var w wire.StepsProgress
		if err := wire.Decode(value, &w); err != nil {
			return nil, err
		}
		return stepfold.Progressed{ID: id, Progress: decodeProgress(w)}, nil
	case stepfold.Cancelled:
		return stepfold.Cancelled{ID: id}, nil
	case stepfold.AgentRegistered:
		var w wire.AgentRecord
		if err := wire.Decode(value, &w); err != nil {
			return nil, err
		}
		return stepfold.AgentRegistered{Name: id, Agent: stepfold.Agent{Address: w.Address, Zone: w.Zone}}, nil
	case stepfold.PlannerUpdated:
		var w wire.PlannerRecord
		if err := wire.Decode(value, &w); err != nil {
			return nil, err
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

// taskPhaseDone is the phase of a completed task in a stored record. The phase of
// any other task is empty.
const taskPhaseDone = "done"

func encodeProgress(p stepfold.Progress) wire.StepsProgress {
	w := wire.StepsProgress{State: string(p.Phase), Begun: p.Begun}
	if !p.EndedAt.IsZero() {
		w.EndedAtMs = int(p.EndedAt.UnixMilli())
	}
	ids := make([]steps.TaskID, 0, len(p.Tasks))
	for id := range p.Tasks {
		ids = append(ids, id)
	}
	slices.SortFunc(ids, func(a, b steps.TaskID) int {
		return cmp.Or(cmp.Compare(a.Occurrence, b.Occurrence), cmp.Compare(a.Step, b.Step), cmp.Compare(a.Index, b.Index))
	})
	for _, id := range ids {
		n := len(w.Steps)
		if n == 0 || w.Steps[n-1].Occurrence != id.Occurrence || w.Steps[n-1].Step != id.Step {
			w.Steps = append(w.Steps, wire.StepProgress{Occurrence: id.Occurrence, Step: id.Step})
			n++
		}
		t := p.Tasks[id]
		task := wire.TaskProgress{Index: id.Index, Run: t.Run, Agent: t.Agent, Worker: t.Worker, Failures: t.Failures, Checkpoint: t.Checkpoint}
		if t.Done {
			task.Phase = taskPhaseDone
		}
		w.Steps[n-1].Tasks = append(w.Steps[n-1].Tasks, task)
	}
	return w
}

func decodeProgress(w wire.StepsProgress) stepfold.Progress {
	p := stepfold.Progress{Phase: stepfold.Phase(w.State), Begun: w.Begun, Tasks: map[steps.TaskID]stepfold.TaskProgress{}}
	if w.EndedAtMs != 0 {
		p.EndedAt = time.UnixMilli(int64(w.EndedAtMs))
	}
	for _, s := range w.Steps {
		for _, t := range s.Tasks {
			p.Tasks[steps.TaskID{Occurrence: s.Occurrence, Step: s.Step, Index: t.Index}] = stepfold.TaskProgress{
				Run: t.Run, Done: t.Phase == taskPhaseDone, Agent: t.Agent, Worker: t.Worker, Failures: t.Failures, Checkpoint: t.Checkpoint,
			}
		}
	}
	return p
}
