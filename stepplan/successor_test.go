package stepplan

import (
	"reflect"
	"testing"

	qt "github.com/frankban/quicktest"

	"celerypoint.example/celerypoint/codec"
	"celerypoint.example/celerypoint/crashes"
	"celerypoint.example/celerypoint/stepfold"
	"celerypoint.example/celerypoint/steps"
)

// survival tells how the next planner comes to know a field.
type survival string

const (
	// survivesStored means that the field is in the job's records.
	survivesStored survival = "stored"
	// survivesDerived means that it follows from others, from the configuration or from the
	// record of another field.
	survivesDerived survival = "derived"
	// survivesReported means that agents report it, some of it for a limited time.
	survivesReported survival = "reported"
	// lostWithPlanner means that the next planner begins without it. docs/design.md has what that
	// costs.
	lostWithPlanner survival = "lost"
)

// survivals has each field that a planner knows of a job. What a decision to fail, give up,
// exclude or hold back reads is described in docs/design.md, section 8.
var survivals = map[reflect.Type]map[string]survival{
	reflect.TypeFor[Task](): {
		"ID": survivesDerived, "Run": survivesStored, "Done": survivesStored, "Failures": survivesStored, "Checkpoint": survivesStored,
		"Active": survivesDerived, "Agent": survivesStored, "Worker": survivesStored, "Running": survivesReported, "ConclusiveReport": survivesDerived,
		"StartedAt": lostWithPlanner, "Progress": survivesReported, "ProgressAt": lostWithPlanner, "StallFrom": lostWithPlanner,
		"rateFrom": lostWithPlanner, "rateFromProgress": lostWithPlanner, "resumed": survivesDerived, "paceFrom": lostWithPlanner, "paceFromProgress": lostWithPlanner,
		"segment": lostWithPlanner, "StopRequestedAt": lostWithPlanner,
		"Crashes": survivesStored, "lostFrom": lostWithPlanner, "lostAt": lostWithPlanner, "lostWith": lostWithPlanner,
		"possibleCrashes": survivesReported, "absences": survivesReported, "outlivedThrough": lostWithPlanner,
		"needs": survivesDerived, "FailedOn": lostWithPlanner, "Refusals": lostWithPlanner, "NotBefore": lostWithPlanner, "WaitSince": lostWithPlanner,
	},
	reflect.TypeFor[Step](): {
		"Spec": survivesStored, "Tasks": survivesDerived, "ActiveCount": survivesDerived, "DoneCount": survivesDerived, "FailedRun": survivesDerived,
	},
	reflect.TypeFor[Job](): {
		"Spec": survivesStored, "Queue": survivesDerived, "QueueKnown": survivesDerived, "Phase": survivesStored, "Begun": survivesStored,
		"Occurrences": survivesDerived, "AddedAt": lostWithPlanner, "OccurrenceStarts": lostWithPlanner, "NextOccurrence": survivesDerived,
		"failuresUnchecked": survivesDerived, "heldGPUs": survivesDerived, "EndedAt": survivesStored, "SetAside": lostWithPlanner,
	},
}

// TestSurvivalOfFields guards against a field that is added without a decision about what the
// next planner knows of it, as Step.FailedRun was.
func TestSurvivalOfFields(t *testing.T) {
	for owner, fields := range survivals {
		for i := range owner.NumField() {
			name := owner.Field(i).Name
			qt.Check(t, fields[name] != "", qt.IsTrue, qt.Commentf("%s.%s", owner.Name(), name))
		}
		qt.Check(t, len(fields), qt.Equals, owner.NumField(), qt.Commentf("%s", owner.Name()))
	}
}

// TestStoredFieldsAreRestored guards against a field of a task that counts as stored and does
// not reach the next planner.
func TestStoredFieldsAreRestored(t *testing.T) {
	c := qt.New(t)
	active := Task{Run: 7, Failures: 2, Checkpoint: "c", Active: true, Agent: "vm0", Worker: "vm0", Crashes: crashes.Record{}.Clear(3).Add(5)}
	done := Task{Run: 7, Done: true}
	covered := map[string]bool{}
	for _, want := range []Task{active, done} {
		job := newJob("a", "normal", bootTime, oneGPU)
		sc := newCluster(1, bootTime)
		sc.AddJob(job, bootTime)
		before := sc.Jobs["a"].Occurrences[0][0].Tasks[0]
		want.ID = before.ID
		*before = want
		record, err := codec.EncodeStepRecord(stepfold.Progressed{ID: "a", Progress: sc.Jobs["a"].storedProgress(wallTime)})
		c.Assert(err, qt.IsNil)
		decoded, err := codec.DecodeStepRecord(record)
		c.Assert(err, qt.IsNil)
		sc = newCluster(1, bootTime)
		sc.RestoreJob(stepfold.JobState{Job: &job, Progress: decoded.(stepfold.Progressed).Progress}, wallTime, bootTime)
		_, _, restored := sc.findTask(steps.TaskID{Job: "a"})
		for name, how := range survivals[reflect.TypeFor[Task]()] {
			if how != survivesStored {
				continue
			}
			found, wanted := reflect.ValueOf(*restored).FieldByName(name), reflect.ValueOf(want).FieldByName(name)
			c.Check(found.Equal(wanted), qt.IsTrue, qt.Commentf("%s: found %v, want %v", name, found, wanted))
			covered[name] = covered[name] || !wanted.IsZero()
		}
	}
	for name, how := range survivals[reflect.TypeFor[Task]()] {
		c.Check(covered[name], qt.Equals, how == survivesStored, qt.Commentf("%s", name))
	}
}
