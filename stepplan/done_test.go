package stepplan

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"celerypoint.example/celerypoint/codec"
	"celerypoint.example/celerypoint/recordlog"
	"celerypoint.example/celerypoint/stepfold"
	"celerypoint.example/celerypoint/steps"
	"celerypoint.example/celerypoint/worker"
)

// succeed applies a success of each task of an occurrence, which has run once.
func succeed(sc *Scheduler, j *Job, occurrence int) {
	for _, s := range j.Occurrences[occurrence] {
		for _, t := range s.Tasks {
			succeedTask(sc, t)
		}
	}
}

func succeedTask(sc *Scheduler, t *Task) {
	t.Run = max(t.Run, 1)
	sc.applyEnd(sc.vm("vm0"), worker.Ended{Run: worker.Run{Task: t.ID.String(), Number: t.Run}, Reason: worker.EndDone}, bootTime)
}

// TestDoneOccurrencesStayDone guards against progress that grows with each occurrence of a
// scheduled job until the store refuses it, and against a successor that loses or repeats one.
func TestDoneOccurrencesStayDone(t *testing.T) {
	c := qt.New(t)
	const occurrences, running, failed, waiting = 2000, 3, 1500, 1998
	sc := newCluster(1, bootTime)
	spec := newJob("5c0e7a21d94b36f8", "normal", bootTime, steps.Step{Count: 1})
	spec.Steps = append(spec.Steps, steps.Step{Count: 1, After: []int{0}}, steps.Step{Count: 1, After: []int{1}})
	spec.OccurrenceCount, spec.StartAt, spec.Interval = occurrences, wallTime, time.Millisecond
	sc.AddJob(spec, bootTime)
	j := sc.Jobs[spec.ID]
	j.Phase, j.Begun = stepfold.PhaseRunning, true
	for j.NextOccurrence < occurrences-1 {
		sc.StartDueOccurrences(wallTime.Add((occurrences-2)*time.Millisecond), bootTime)
	}
	for number := range j.NextOccurrence {
		if number != running && number != failed && number != waiting {
			succeed(sc, j, number)
		}
	}
	first := j.Occurrences[running][0].Tasks[0]
	first.Run = 2
	sc.beginRun(first, sc.VMs["vm0"], "vm0", bootTime)
	second := j.Occurrences[failed][0].Tasks[0]
	second.Run, second.Failures = 1, 1

	progress := sc.TakeOutput(wallTime).Progress
	c.Assert(progress, qt.HasLen, 1)
	record, err := codec.EncodeStepRecord(progress[0])
	c.Assert(err, qt.IsNil)
	c.Logf("%d bytes", record.Size())
	c.Assert(record.Size() < 1000, qt.IsTrue, qt.Commentf("%d bytes", record.Size()))
	decoded, err := codec.DecodeStepRecord(recordlog.Record{Key: record.Key, Value: record.Value})
	c.Assert(err, qt.IsNil)

	successor := newCluster(1, bootTime)
	successor.RestoreJob(stepfold.JobState{Job: &spec, Progress: decoded.(stepfold.Progressed).Progress}, wallTime, bootTime)
	restored := successor.Jobs[spec.ID]
	c.Assert(restored.storedProgress(wallTime), qt.DeepEquals, progress[0].Progress)
	c.Assert(restored.Phase, qt.Equals, stepfold.PhaseRunning)
	successor.StartDueOccurrences(wallTime.Add(time.Hour), bootTime)
	successor.Plan(bootTime)
	var started []int
	for _, o := range successor.TakeOutput(wallTime).Orders {
		started = append(started, o.(StartOrder).Task.Occurrence)
	}
	c.Assert(started, qt.ContentEquals, []int{failed, waiting, occurrences - 1})
	for _, number := range []int{running, failed, waiting, occurrences - 1} {
		c.Assert(restored.Phase, qt.Equals, stepfold.PhaseRunning)
		succeed(successor, restored, number)
	}
	c.Assert(restored.Phase, qt.Equals, stepfold.PhaseCompleted)
}

// TestDoneOccurrencesRoundTrip guards against a successor that takes a task of a scheduled job
// for done that is not, or runs a done one again, wherever the former planner ended.
func TestDoneOccurrencesRoundTrip(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		spec := newJob("5c0e7a21d94b36f8", "normal", bootTime, steps.Step{Count: 2})
		spec.Steps = append(spec.Steps, steps.Step{Count: 1, After: []int{0}})
		spec.OccurrenceCount, spec.StartAt, spec.Interval = rapid.IntRange(1, 12).Draw(rt, "occurrences"), wallTime, time.Second
		sc := newCluster(1, bootTime)
		sc.AddJob(spec, bootTime)
		j := sc.Jobs[spec.ID]
		j.Phase, j.Begun = stepfold.PhaseRunning, true
		sc.StartDueOccurrences(wallTime.Add(time.Duration(rapid.IntRange(0, 11).Draw(rt, "seconds"))*time.Second), bootTime)
		for range rapid.IntRange(1, 4).Draw(rt, "planners") {
			for number := range j.NextOccurrence {
				for _, s := range j.Occurrences[number] {
					for _, task := range s.Tasks {
						// A job whose occurrences are all done is over.
						switch outcome := rapid.IntRange(0, 4).Draw(rt, "outcome"); {
						case j.Phase.Over() || task.Done:
						case outcome == 0:
							task.Run, task.Failures = task.Run+1, task.Failures+1
						case outcome > 1:
							succeedTask(sc, task)
						}
					}
				}
			}
			record, err := codec.EncodeStepRecord(stepfold.Progressed{ID: spec.ID, Progress: j.storedProgress(wallTime)})
			if err != nil {
				rt.Fatal(err)
			}
			decoded, err := codec.DecodeStepRecord(record)
			if err != nil {
				rt.Fatal(err)
			}
			successor := newCluster(1, bootTime)
			successor.RestoreJob(stepfold.JobState{Job: &spec, Progress: decoded.(stepfold.Progressed).Progress}, wallTime, bootTime)
			restored := successor.Jobs[spec.ID]
			if restored.Phase != j.Phase {
				rt.Fatalf("phase: found %s, want %s", restored.Phase, j.Phase)
			}
			for number := 0; number < j.NextOccurrence && !j.Phase.Over(); number++ {
				for i, s := range j.Occurrences[number] {
					for k, want := range s.Tasks {
						var found Task
						if number < restored.NextOccurrence {
							found = *restored.Occurrences[number][i].Tasks[k]
						}
						if found.Done != want.Done || !want.Done && (found.Run != want.Run || found.Failures != want.Failures) {
							rt.Fatalf("%v: found done=%t run=%d failures=%d, want done=%t run=%d failures=%d", want.ID, found.Done, found.Run, found.Failures, want.Done, want.Run, want.Failures)
						}
					}
				}
			}
			sc, j = successor, restored
			sc.StartDueOccurrences(wallTime.Add(time.Duration(rapid.IntRange(0, 11).Draw(rt, "seconds"))*time.Second), bootTime)
		}
	})
}
