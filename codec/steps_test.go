package codec

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"celerypoint.example/celerypoint/recordlog"
	"celerypoint.example/celerypoint/stepfold"
	"celerypoint.example/celerypoint/steps"
)

// TestStepRecordsRoundTrip guards against a field that is lost when a record is
// encoded or decoded.
func TestStepRecordsRoundTrip(t *testing.T) {
	at := time.UnixMilli(1_785_000_000_123)
	for _, record := range []stepfold.Record{
		stepfold.Accepted{Job: steps.Job{
			ID: "5c0e7a21d94b36f8", Queue: "q", Org: "o", Payload: "p", StartAt: at, Interval: 3 * time.Second, OccurrenceCount: 4, AcceptedAt: at,
			Steps: []steps.Step{
				{Count: 2, Needs: steps.Resources{CPU: 500, MemMB: 256, GPUs: 2}, Estimate: time.Second, Gang: true, SameRack: true, Checkpointing: true, Label: "a"},
				{Count: 3, After: []int{0}, PreferredRack: "r1", MaxPerVM: 2, Speculative: true, LongRunning: true, Image: "i", TailLatencyMs: 5, BestEffortCPU: true, MaxUnavailable: 1},
			},
		}},
		stepfold.Progressed{ID: "x", Progress: stepfold.Progress{Phase: stepfold.PhaseRunning, Begun: true, EndedAt: at, Tasks: map[steps.TaskID]stepfold.TaskProgress{
			{Occurrence: 0, Step: 0, Index: 1}: {Run: 2, Agent: "vm", Worker: "i/1", Failures: 1, Checkpoint: "c"},
			{Occurrence: 1, Step: 2, Index: 0}: {Run: 1, Done: true},
		}}},
		stepfold.Cancelled{ID: "x"},
		stepfold.AgentRegistered{Name: "vm", Agent: stepfold.Agent{Address: "127.0.0.1:1", Zone: "z"}},
		stepfold.PlannerUpdated{Planner: stepfold.Planner{Entry: "e", BootID: "b", Address: "a", Term: 7, Heartbeat: 3, Resigned: true}},
		stepfold.Deleted{Key: "accepted/x"},
	} {
		c := qt.New(t)
		stored, err := EncodeStepRecord(record)
		c.Assert(err, qt.IsNil)
		again, err := DecodeStepRecord(stored)
		c.Assert(err, qt.IsNil)
		c.Assert(again, qt.DeepEquals, record)
	}
}

// FuzzDecodeStepRecord guards against a stored record of another program that
// crashes the process or is decoded as a record with another key.
func FuzzDecodeStepRecord(f *testing.F) {
	f.Add("accepted/5c0e7a21d94b36f8", `{"queue":"q","org":"","payload":"","steps":[{"count":1}],"acceptedAtMs":1}`)
	f.Add("advanced/x", `{"state":"running"}`)
	f.Add("planner", `{"entry":"e","boot":"b","address":"a","term":1,"beat":1}`)
	f.Add("other", `{}`)
	f.Add("", ``)
	f.Fuzz(func(t *testing.T, key, value string) {
		record, err := DecodeStepRecord(recordlog.Record{Key: key, Value: []byte(value)})
		if err != nil {
			return
		}
		if stepfold.Key(record) != key {
			t.Fatalf("the record under %q has the key %q", key, stepfold.Key(record))
		}
	})
}
