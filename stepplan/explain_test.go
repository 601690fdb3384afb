package stepplan

import (
	"fmt"
	"slices"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"celerypoint.example/celerypoint/stepfold"
	"celerypoint.example/celerypoint/steps"
)

func explainSpec(queue string, count, gpus int) steps.Job {
	return steps.Job{Queue: queue, Org: "a", Steps: []steps.Step{
		{Count: count, Needs: steps.Resources{GPUs: gpus}, Gang: true, Estimate: time.Second},
		{Count: 1, After: []int{0}},
	}}
}

// TestExplainChangesNothing guards against an explanation that starts, stops or stores
// something, or that differs from what the next pass does.
func TestExplainChangesNothing(t *testing.T) {
	c := qt.New(t)
	f := newNeighbourFleet(Policy{Paces: true, Neighbours: true})
	f.submit("scan", 3, 4)
	f.play(400 * time.Millisecond)
	spec := explainSpec("q", 2, 8)
	all := f.scheduler.Explain(spec, f.now)
	c.Assert(all, qt.HasLen, 1)
	c.Check(all[0].Verdict, qt.Equals, VerdictStarts)
	c.Assert(all[0].Tasks, qt.HasLen, 2)
	c.Check(f.scheduler.Jobs, qt.HasLen, 1)
	output := f.scheduler.TakeOutput(f.now)
	c.Check(output.Orders, qt.HasLen, 0)
	c.Check(output.Progress, qt.HasLen, 0)
	c.Check(f.scheduler.TakeStops(), qt.HasLen, 0)
	spec.ID = "00000000000000ff"
	f.scheduler.AddJob(spec, f.now)
	f.scheduler.Plan(f.now)
	for _, planned := range all[0].Tasks {
		c.Check(f.scheduler.Jobs[spec.ID].Occurrences[0][0].Tasks[planned.Index].Agent, qt.Equals, planned.VM)
	}
}

// TestExplainWhyAJobWaits guards against an explanation that leaves open why a job does not
// start: each VM is counted once, with its reason.
func TestExplainWhyAJobWaits(t *testing.T) {
	c := qt.New(t)
	f := newNeighbourFleet(Policy{})
	f.submit("scan", 1, 8)
	f.play(400 * time.Millisecond)
	f.scheduler.VMs["vm5"].Draining = true
	f.scheduler.VMs["vm4"].UnhealthyUntil = f.now.Add(time.Second)

	kept := f.scheduler.Explain(explainSpec("q", 3, 8), f.now)
	c.Assert(kept, qt.HasLen, 1)
	c.Check(kept[0].Verdict, qt.Equals, VerdictWaits)
	c.Check(kept[0].Reason, qt.Matches, ".*kept for urgent work")

	spec := explainSpec("q", 2, 8)
	spec.Steps[0].Label = "fast"
	none := f.scheduler.Explain(spec, f.now)
	c.Assert(none, qt.HasLen, 1)
	c.Check(none[0].Reason, qt.Equals, "it does not fit")
	c.Check(none[0].Excluded, qt.DeepEquals, map[Exclusion]int{ExcludedLeaving: 1, ExcludedUnhealthy: 1, ExcludedRequirements: 4})
}

// TestExplainStops guards against an explanation of an urgent job that does not name the runs
// that would be stopped for it.
func TestExplainStops(t *testing.T) {
	c := qt.New(t)
	sc := fullFleet(80, bootTime)
	before := len(sc.Jobs)
	spec := steps.Job{Queue: "urgent", Org: "a", Steps: []steps.Step{{Count: 20, Needs: steps.Resources{GPUs: 8}, Gang: true, Estimate: 10 * time.Hour}}}
	all := sc.Explain(spec, bootTime)
	c.Assert(all, qt.HasLen, 1)
	c.Check(all[0].Verdict, qt.Equals, VerdictMakesRoom, qt.Commentf("%+v", all[0]))
	c.Check(len(all[0].Stopped) > 0, qt.IsTrue)
	c.Check(sc.TakeStops(), qt.HasLen, 0)
	c.Check(sc.Jobs, qt.HasLen, before)
}

// TestExplainJobMatchesNextPass guards against an explanation of an accepted job that leaves out
// the work before it, or that differs from what the next pass does with the same state.
func TestExplainJobMatchesNextPass(t *testing.T) {
	c := qt.New(t)
	rapid.Check(t, func(rt *rapid.T) {
		f := newNeighbourFleet(Policy{Paces: true, Neighbours: true})
		ids := []string{f.submit("scan", rapid.IntRange(1, 5).Draw(rt, "running"), rapid.IntRange(1, 8).Draw(rt, "runningGPUs"))}
		f.play(400 * time.Millisecond)
		for range rapid.IntRange(1, 5).Draw(rt, "jobs") {
			ids = append(ids, f.submit("copy", rapid.IntRange(1, 4).Draw(rt, "tasks"), rapid.IntRange(1, 8).Draw(rt, "gpus")))
		}
		asked := rapid.SampledFrom(ids[1:]).Draw(rt, "asked")
		held := map[string]int{}
		for id, j := range f.scheduler.Jobs {
			held[id] = j.heldGPUs
		}
		explanation, known := f.scheduler.ExplainJob(asked, f.now)
		c.Assert(known, qt.IsTrue)
		for id, j := range f.scheduler.Jobs {
			c.Assert(j.heldGPUs, qt.Equals, held[id])
		}
		c.Assert(f.scheduler.TakeOutput(f.now).Orders, qt.HasLen, 0)
		f.scheduler.Plan(f.now)
		want := map[int]string{}
		for _, t := range f.scheduler.Jobs[asked].Occurrences[0][0].Tasks {
			if t.Active {
				want[t.ID.Index] = t.Agent
			}
		}
		got := map[int]string{}
		for _, u := range explanation.Units {
			for _, t := range u.Tasks {
				if u.Verdict == VerdictStarts {
					got[t.Index] = t.VM
				}
			}
		}
		c.Assert(got, qt.DeepEquals, want)
		waiting := 0
		for _, id := range ids[:slices.Index(ids, asked)] {
			if slices.ContainsFunc(f.scheduler.Jobs[id].Occurrences[0][0].Tasks, func(t *Task) bool { return !t.Active }) {
				waiting++
			}
		}
		c.Assert(explanation.AheadCount, qt.Equals, waiting)
	})
	f := newNeighbourFleet(Policy{})
	for range 2 {
		f.submit("copy", 8, 8)
	}
	f.scheduler.Cancel(f.submit("copy", 1, 1), f.now)
	over, _ := f.scheduler.ExplainJob(fmt.Sprintf("%016x", f.jobs), f.now)
	c.Check(over, qt.DeepEquals, JobExplanation{Phase: stepfold.PhaseCancelled})
	_, known := New(Timing{}).ExplainJob("unknown", bootTime)
	c.Check(known, qt.IsFalse)
}
