package codec

import (
	"fmt"
	"maps"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"celerypoint.example/celerypoint/crashes"
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
			ID: "5c0e7a21d94b36f8", Queue: "q", QueuePolicy: &steps.QueuePolicy{Service: "s", Priority: 2, MaxAttempts: 3, LatencyFactor: 1.5, LatencyAllowance: time.Second}, Org: "o", Payload: "p", StartAt: at, Interval: 3 * time.Second, OccurrenceCount: 4, AcceptedAt: at,
			Steps: []steps.Step{
				{Count: 2, Needs: steps.Resources{CPU: 500, MemMB: 256, GPUs: 2}, Estimate: time.Second, Gang: true, SameRack: true, Checkpointing: true, Label: "a"},
				{Count: 3, After: []int{0}, PreferredRack: "r1", MaxPerVM: 2, Speculative: true, LongRunning: true, Image: "i", TailLatencyMs: 5, BestEffortCPU: true, MaxUnavailable: 1},
			},
		}},
		stepfold.Progressed{ID: "x", Progress: stepfold.Progress{Phase: stepfold.PhaseRunning, Begun: true, EndedAt: at, DoneOccurrences: []stepfold.OccurrenceRange{{First: 2, Count: 5}, {First: 9, Count: 1}}, Tasks: map[steps.TaskID]stepfold.TaskProgress{
			{Occurrence: 0, Step: 0, Index: 1}: {Run: 9, Agent: "vm", Worker: "i/1", Failures: 1, Checkpoint: "c", Crashes: crashes.Record{Runs: [crashes.Limit]int{5, 7}, ClearedThrough: 4}},
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

// TestProgressRoundTrip guards against a task whose state changes when it is joined with
// others in the same state.
func TestProgressRoundTrip(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		progress := stepfold.Progress{Phase: stepfold.PhaseRunning, Tasks: map[steps.TaskID]stepfold.TaskProgress{}}
		for range rapid.IntRange(0, 40).Draw(rt, "tasks") {
			id := steps.TaskID{Occurrence: rapid.IntRange(0, 2).Draw(rt, "occurrence"), Step: rapid.IntRange(0, 1).Draw(rt, "step"), Index: rapid.IntRange(0, 9).Draw(rt, "index")}
			p := stepfold.TaskProgress{Run: rapid.IntRange(1, 2).Draw(rt, "run")}
			switch rapid.IntRange(0, 2).Draw(rt, "state") {
			case 0:
				p.Done = true
			case 1:
				p.Agent, p.Worker = rapid.SampledFrom([]string{"a", "b"}).Draw(rt, "agent"), rapid.SampledFrom([]string{"1", "2"}).Draw(rt, "worker")
				p.Checkpoint = rapid.SampledFrom([]string{"", "c", "d"}).Draw(rt, "checkpoint")
				p.Failures = rapid.IntRange(0, 1).Draw(rt, "failures")
				for range rapid.IntRange(0, crashes.Limit).Draw(rt, "crashes") {
					p.Crashes = p.Crashes.Add(rapid.IntRange(1, p.Run).Draw(rt, "crashedRun"))
				}
			}
			progress.Tasks[id] = p
		}
		record, err := EncodeStepRecord(stepfold.Progressed{ID: "x", Progress: progress})
		if err != nil {
			rt.Fatal(err)
		}
		again, err := DecodeStepRecord(record)
		if err != nil {
			rt.Fatal(err)
		}
		if decoded := again.(stepfold.Progressed).Progress.Tasks; !maps.Equal(decoded, progress.Tasks) {
			rt.Fatalf("found %v, want %v", decoded, progress.Tasks)
		}
	})
}

// TestProgressWithoutRanges guards against losing the progress of jobs that a planner of
// before stored, which named the VM of each task.
func TestProgressWithoutRanges(t *testing.T) {
	c := qt.New(t)
	record, err := DecodeStepRecord(recordlog.Record{Key: "advanced/x", Value: []byte(`{"state":"running","begun":true,"steps":[{"occurrence":0,"step":0,"tasks":[{"index":0,"run":2,"agent":"vm","worker":"i/1","failures":1,"checkpoint":"c"},{"index":1,"run":1,"phase":"done"}]}]}`)})
	c.Assert(err, qt.IsNil)
	c.Assert(record, qt.DeepEquals, stepfold.Record(stepfold.Progressed{ID: "x", Progress: stepfold.Progress{Phase: stepfold.PhaseRunning, Begun: true, Tasks: map[steps.TaskID]stepfold.TaskProgress{
		{Index: 0}: {Run: 2, Agent: "vm", Worker: "i/1", Failures: 1, Checkpoint: "c"}, {Index: 1}: {Run: 1, Done: true},
	}}}))
	for value, want := range map[string]string{
		`{"state":"running","steps":[{"occurrence":0,"step":0,"ranges":[[0,1,1]]}]}`:                  `.*ranges\[0\]: found 3 fields, allowed: 4 to 10`,
		`{"state":"running","steps":[{"occurrence":0,"step":0,"ranges":[[0,99999999,1,-1]]}]}`:        `.*found 99999999 tasks from 0 on.*`,
		`{"state":"running","steps":[{"occurrence":0,"step":0,"ranges":[[-1,1,1,-1]]}]}`:              `.*found 1 tasks from -1 on.*`,
		`{"state":"running","steps":[{"occurrence":0,"step":0,"ranges":[[0,1,1,0]]}]}`:                `.*place: found 0, allowed: -2 to -1`,
		`{"state":"running","steps":[{"occurrence":0,"step":0,"ranges":[[0,1,2,-1,0,0,0,1,3]]}]}`:     `.*crashed run: found 3, allowed: 0 to 2`,
		`{"state":"running","steps":[{"occurrence":0,"step":0,"ranges":[[0,1,2,-1,0,0,0,1,-3]]}]}`:    `.*crashed run: found -3, allowed: 0 to 2`,
		`{"state":"running","steps":[{"occurrence":0,"step":0,"ranges":[[0,1,1,-1,0,1]]}]}`:           `.*checkpoint: found 1, allowed: 0 to 0`,
		`{"state":"running","agents":["a"],"steps":[{"occurrence":0,"step":0,"ranges":[[0,1,1,0]]}]}`: `.*workers: found 0, allowed: as many as agents, 1`,
	} {
		_, err := DecodeStepRecord(recordlog.Record{Key: "advanced/x", Value: []byte(value)})
		c.Check(err, qt.ErrorMatches, want)
	}
}

// TestProgressSize guards against records that name the VM of each task: a gang of 150
// tasks on 25 VMs is stored with each of its changes and read by every entry.
func TestProgressSize(t *testing.T) {
	progress := stepfold.Progress{Phase: stepfold.PhaseRunning, Begun: true, Tasks: map[steps.TaskID]stepfold.TaskProgress{}}
	for i := range 150 {
		progress.Tasks[steps.TaskID{Index: i}] = stepfold.TaskProgress{Run: 1, Agent: fmt.Sprintf("side-nordurland-a-%d", i/6), Worker: fmt.Sprintf("i-d806c83c%02d/1770053636535", i/6)}
	}
	record, err := EncodeStepRecord(stepfold.Progressed{ID: "x", Progress: progress})
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, len(record.Value) < 2500, qt.IsTrue, qt.Commentf("%d bytes", len(record.Value)))
}

// fewOccurrences reports whether a planner restores the progress within milliseconds.
func fewOccurrences(p stepfold.Progress) bool {
	for id := range p.Tasks {
		if id.Occurrence > 100 {
			return false
		}
	}
	return true
}

// FuzzDecodeStepRecord guards against a stored record of another program that
// crashes the process, or a planner that restores it, or is decoded with another key.
func FuzzDecodeStepRecord(f *testing.F) {
	f.Add("accepted/5c0e7a21d94b36f8", `{"queue":"q","org":"","payload":"","steps":[{"count":1}],"acceptedAtMs":1}`)
	f.Add("advanced/x", `{"state":"running"}`)
	f.Add("advanced/x", `{"state":"running","agents":["a"],"workers":["i/1"],"checkpoints":["c"],"steps":[{"occurrence":0,"step":0,"ranges":[[0,3,1,0,1,1],[3,1,2,-2],[4,2,9,-1,0,0,3,5,7]]}]}`)
	f.Add("advanced/x", `{"state":"queued","steps":[{"occurrence":1,"step":1,"tasks":[{"index":0,"run":2,"agent":"vm","worker":"i/1","failures":1,"checkpoint":"c"}]},{"occurrence":0,"step":0,"ranges":[[1,1,1,-2]]}]}`)
	f.Add("advanced/x", `{"state":"running","doneOccurrences":[[0,2],[5,99995]],"steps":[{"occurrence":2,"step":0,"ranges":[[0,1,1,-1]]}]}`)
	f.Add("agent/vm", `{"address":"10.1.0.20:7000","zone":"z"}`)
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
		if p, ok := record.(stepfold.Progressed); ok && fewOccurrences(p.Progress) {
			restore(p.Progress)
		}
	})
}
