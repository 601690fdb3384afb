package stepfold

import (
	"maps"
	"slices"
	"testing"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"celerypoint.example/celerypoint/steps"
)

func accepted(id string) Accepted { return Accepted{Job: steps.Job{ID: id}} }

// Guards against a repeated or delayed acceptance that undoes the job's progress
// or its cancellation.
func TestRepeatedAcceptance(t *testing.T) {
	c := qt.New(t)
	s := New()
	s.Apply(0, accepted("a"))
	c.Assert(s.Jobs["a"].Phase(), qt.Equals, PhaseQueued)
	s.Apply(1, Progressed{ID: "a", Progress: Progress{Phase: PhaseRunning, Begun: true}})
	s.Apply(2, accepted("a"))
	c.Assert(s.Jobs["a"].Phase(), qt.Equals, PhaseRunning)
	s.Apply(3, Cancelled{ID: "a"})
	s.Apply(4, accepted("a"))
	c.Assert(s.Jobs["a"].Phase(), qt.Equals, PhaseCancelled)
}

// Guards against a late cancellation that changes the phase of a job that has
// ended.
func TestCancelAfterEnd(t *testing.T) {
	c := qt.New(t)
	s := New()
	s.Apply(0, accepted("a"))
	s.Apply(1, Progressed{ID: "a", Progress: Progress{Phase: PhaseCompleted}})
	s.Apply(2, Cancelled{ID: "a"})
	c.Assert(s.Jobs["a"].Phase(), qt.Equals, PhaseCompleted)
	for _, key := range JobKeys("a") {
		s.Apply(3, Deleted{Key: key})
	}
	c.Assert(s.Jobs, qt.HasLen, 0)
}

// TestReload guards against a job that comes back: its records were deleted while
// this process could not read, the tombstones have expired, and the process loads the
// newest record of every key. It also guards against a state that counts as complete
// up to a record that was loaded while records before it are missing.
func TestReload(t *testing.T) {
	c := qt.New(t)
	s := New()
	s.Apply(0, accepted("gone"))
	s.Apply(1, Progressed{ID: "gone", Progress: Progress{Phase: PhaseRunning}})
	s.Apply(2, accepted("kept"))
	s.ApplyOutOfOrder(9, accepted("new"))
	s.ApplyNewest(2, accepted("kept"))
	s.ApplyNewest(8, PlannerUpdated{Planner{Term: 5}})
	c.Assert(s.LastApplied, qt.Equals, int64(2))
	s.FinishLoad(map[string]bool{"accepted/kept": true, "planner": true}, 7)
	c.Assert(s.LastApplied, qt.Equals, int64(6))
	c.Assert(slices.Sorted(maps.Keys(s.Jobs)), qt.DeepEquals, []string{"kept", "new"})
	c.Assert(s.Planner.Term, qt.Equals, int64(5))
}

// Guards against a state that depends on the order in which records are applied. The
// pages of the initial load by recordlog.Follow are not a consistent snapshot, so
// that order can differ from the order of the offsets.
func TestApplyOrderAcrossKeys(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		type stored struct {
			offset int64
			record Record
		}
		var log []stored
		n := rapid.IntRange(1, 20).Draw(rt, "records")
		for i := range n {
			id := rapid.SampledFrom([]string{"a", "b"}).Draw(rt, "job")
			record := rapid.SampledFrom([]Record{
				accepted(id), Cancelled{ID: id}, Progressed{ID: id, Progress: Progress{Phase: PhaseRunning}},
				Progressed{ID: id, Progress: Progress{Phase: PhaseCompleted}}, PlannerUpdated{Planner{Term: int64(i)}}, AgentRegistered{Name: id, Agent: Agent{Address: id}},
			}).Draw(rt, "record")
			log = append(log, stored{int64(i), record})
		}
		inOrder, shuffled := New(), New()
		for _, s := range log {
			inOrder.Apply(s.offset, s.record)
		}
		for _, s := range rapid.Permutation(log).Draw(rt, "order") {
			shuffled.Apply(s.offset, s.record)
		}
		if shuffled.Planner != inOrder.Planner || !maps.Equal(shuffled.Agents, inOrder.Agents) {
			rt.Fatalf("found %+v and %+v, want %+v and %+v", shuffled.Planner, shuffled.Agents, inOrder.Planner, inOrder.Agents)
		}
		for id, e := range inOrder.Jobs {
			if shuffled.Jobs[id].Phase() != e.Phase() {
				rt.Fatalf("job %s: found %s, want %s", id, shuffled.Jobs[id].Phase(), e.Phase())
			}
		}
	})
}

// Guards against a late notification that restores a job that has been deleted
// since, and against treating a record that arrived out of order as proof that
// all records before it have been read.
func TestApplyOutOfOrder(t *testing.T) {
	c := qt.New(t)
	s := New()
	c.Check(s.ApplyOutOfOrder(7, Accepted{steps.Job{ID: "a"}}), qt.IsTrue)
	c.Check(s.LastApplied, qt.Equals, int64(-1))
	c.Check(s.Apply(7, Accepted{steps.Job{ID: "a"}}), qt.IsFalse, qt.Commentf("the record was already applied out of order"))
	c.Check(s.LastApplied, qt.Equals, int64(7))
	c.Check(s.ApplyOutOfOrder(9, Progressed{"a", Progress{Phase: PhaseCompleted}}), qt.IsTrue)
	c.Check(s.Apply(8, Progressed{"a", Progress{Phase: PhaseRunning}}), qt.IsFalse, qt.Commentf("an older record of the key"))
	c.Check(s.Jobs["a"].Phase(), qt.Equals, PhaseCompleted)
	for i, key := range JobKeys("a") {
		s.Apply(int64(10+i), Deleted{key})
	}
	c.Check(s.ApplyOutOfOrder(9, Progressed{"a", Progress{Phase: PhaseCompleted}}), qt.IsFalse)
	c.Check(s.Jobs, qt.HasLen, 0)
}
