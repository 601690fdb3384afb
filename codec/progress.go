package codec

import (
	"cmp"
	"fmt"
	"slices"
	"time"

	"celerypoint.example/celerypoint/crashes"
	"celerypoint.example/celerypoint/stepfold"
	"celerypoint.example/celerypoint/steps"
	"celerypoint.example/celerypoint/wire"
)

// Values of the place in a range of tasks that are no index in wire.StepsProgress.Agents.
const (
	placeNone = -1
	placeDone = -2
)

// Fields of an item of wire.StepProgress.Ranges.
const (
	rangeFirst = iota
	rangeCount
	rangeRun
	rangePlace
	rangeFailures
	rangeCheckpoint
	rangeCrashesCleared
	rangeCrashes
	rangeFields = rangeCrashes + crashes.Limit
)

// taskPhaseDone is the phase of a completed task in a record without ranges. The phase
// of any other task is empty.
const taskPhaseDone = "done"

// encodeProgress encodes the progress of a job. Records of progress are most of what is
// written to the store and read by every entry, so that tasks in the same state are
// joined and each VM and checkpoint is named once.
func encodeProgress(p stepfold.Progress) wire.StepsProgress {
	w := wire.StepsProgress{State: string(p.Phase), Begun: p.Begun}
	if !p.EndedAt.IsZero() {
		w.EndedAtMs = int(p.EndedAt.UnixMilli())
	}
	for _, r := range p.DoneOccurrences {
		w.DoneOccurrences = append(w.DoneOccurrences, []int{r.First, r.Count})
	}
	ids := make([]steps.TaskID, 0, len(p.Tasks))
	for id := range p.Tasks {
		ids = append(ids, id)
	}
	slices.SortFunc(ids, func(a, b steps.TaskID) int {
		return cmp.Or(cmp.Compare(a.Occurrence, b.Occurrence), cmp.Compare(a.Step, b.Step), cmp.Compare(a.Index, b.Index))
	})
	places, checkpoints := map[[2]string]int{}, map[string]int{}
	for _, id := range ids {
		n := len(w.Steps)
		if n == 0 || w.Steps[n-1].Occurrence != id.Occurrence || w.Steps[n-1].Step != id.Step {
			w.Steps = append(w.Steps, wire.StepProgress{Occurrence: id.Occurrence, Step: id.Step})
			n++
		}
		t := p.Tasks[id]
		s := &w.Steps[n-1]
		state := []int{t.Run, placeOf(&w, places, t), t.Failures, checkpointOf(&w, checkpoints, t.Checkpoint), t.Crashes.ClearedThrough}
		s.Ranges = appendTask(s.Ranges, id.Index, append(state, t.Crashes.Runs[:]...))
	}
	for i := range w.Steps {
		for k, r := range w.Steps[i].Ranges {
			for len(r) > rangeFailures && r[len(r)-1] == 0 {
				r = r[:len(r)-1]
			}
			w.Steps[i].Ranges[k] = r
		}
	}
	return w
}

// appendTask appends a task to the ranges. state holds the fields from rangeRun on.
func appendTask(ranges [][]int, index int, state []int) [][]int {
	if n := len(ranges); n > 0 {
		last := ranges[n-1]
		if last[rangeFirst]+last[rangeCount] == index && slices.Equal(last[rangeRun:], state) {
			last[rangeCount]++
			return ranges
		}
	}
	return append(ranges, append([]int{index, 1}, state...))
}

func placeOf(w *wire.StepsProgress, places map[[2]string]int, t stepfold.TaskProgress) int {
	switch {
	case t.Done:
		return placeDone
	case t.Agent == "":
		return placeNone
	}
	key := [2]string{t.Agent, t.Worker}
	place, found := places[key]
	if !found {
		place = len(w.Agents)
		places[key] = place
		w.Agents, w.Workers = append(w.Agents, t.Agent), append(w.Workers, t.Worker)
	}
	return place
}

func checkpointOf(w *wire.StepsProgress, checkpoints map[string]int, checkpoint string) int {
	if checkpoint == "" {
		return 0
	}
	number, found := checkpoints[checkpoint]
	if !found {
		w.Checkpoints = append(w.Checkpoints, checkpoint)
		number = len(w.Checkpoints)
		checkpoints[checkpoint] = number
	}
	return number
}

// maxCount bounds the numbers of runs and failures in a record.
const maxCount = 1 << 31

// checkRange returns an error unless the field is from 0 to most.
func checkRange(field string, found, most int) error {
	if found < 0 || found > most {
		return fmt.Errorf("%s: found %d, allowed: 0 to %d", field, found, most)
	}
	return nil
}

// countTasks returns the number of tasks in a record before their ranges are expanded.
func countTasks(w wire.StepsProgress) (int, error) {
	tasks := 0
	for _, s := range w.Steps {
		tasks += len(s.Tasks)
		for _, r := range s.Ranges {
			if len(r) > rangeCount {
				tasks += max(0, min(r[rangeCount], steps.MaxTasks))
			}
			if tasks > steps.MaxTotalTasks {
				return 0, fmt.Errorf("steps: found more than %d tasks, allowed: at most %d", steps.MaxTotalTasks, steps.MaxTotalTasks)
			}
		}
	}
	return tasks, nil
}

func decodeProgress(w wire.StepsProgress) (stepfold.Progress, error) {
	switch stepfold.Phase(w.State) {
	case stepfold.PhaseQueued, stepfold.PhaseRunning, stepfold.PhaseCompleted, stepfold.PhaseFailed, stepfold.PhaseCancelled:
	default:
		return stepfold.Progress{}, fmt.Errorf("state: found %.64q, allowed: queued, running, completed, failed, cancelled", w.State)
	}
	tasks, err := countTasks(w)
	if err != nil {
		return stepfold.Progress{}, err
	}
	p := stepfold.Progress{Phase: stepfold.Phase(w.State), Begun: w.Begun, Tasks: make(map[steps.TaskID]stepfold.TaskProgress, tasks)}
	if w.EndedAtMs != 0 {
		p.EndedAt = time.UnixMilli(int64(w.EndedAtMs))
	}
	if len(w.Workers) != len(w.Agents) {
		return stepfold.Progress{}, fmt.Errorf("workers: found %d, allowed: as many as agents, %d", len(w.Workers), len(w.Agents))
	}
	if p.DoneOccurrences, err = decodeDone(w.DoneOccurrences); err != nil {
		return stepfold.Progress{}, err
	}
	for i, s := range w.Steps {
		if inRanges(p.DoneOccurrences, s.Occurrence) {
			return stepfold.Progress{}, fmt.Errorf("steps[%d].occurrence: found %d, allowed: one that is not in doneOccurrences", i, s.Occurrence)
		}
		if err := cmp.Or(checkRange("occurrence", s.Occurrence, steps.MaxOccurrences-1), checkRange("step", s.Step, steps.MaxSteps-1)); err != nil {
			return stepfold.Progress{}, fmt.Errorf("steps[%d].%w", i, err)
		}
		for k, t := range s.Tasks {
			if err := cmp.Or(checkRange("index", t.Index, steps.MaxTasks-1), checkRange("run", t.Run, maxCount), checkRange("failures", t.Failures, maxCount)); err != nil {
				return stepfold.Progress{}, fmt.Errorf("steps[%d].tasks[%d].%w", i, k, err)
			}
			p.Tasks[steps.TaskID{Occurrence: s.Occurrence, Step: s.Step, Index: t.Index}] = stepfold.TaskProgress{
				Run: t.Run, Done: t.Phase == taskPhaseDone, Agent: t.Agent, Worker: t.Worker, Failures: t.Failures, Checkpoint: t.Checkpoint,
			}
		}
		for k, r := range s.Ranges {
			if err := decodeRange(w, s, r, p.Tasks); err != nil {
				return stepfold.Progress{}, fmt.Errorf("steps[%d].ranges[%d]: %w", i, k, err)
			}
		}
	}
	return p, nil
}

func decodeDone(ranges [][]int) ([]stepfold.OccurrenceRange, error) {
	var done []stepfold.OccurrenceRange
	next := 0
	for i, r := range ranges {
		if len(r) != 2 {
			return nil, fmt.Errorf("doneOccurrences[%d]: found %d fields, allowed: 2", i, len(r))
		}
		if r[0] < next || r[1] < 1 || r[0] > steps.MaxOccurrences-r[1] {
			return nil, fmt.Errorf("doneOccurrences[%d]: found %d from %d on, allowed: at least 1, numbers from %d to %d", i, r[1], r[0], next, steps.MaxOccurrences-1)
		}
		done = append(done, stepfold.OccurrenceRange{First: r[0], Count: r[1]})
		next = r[0] + r[1]
	}
	return done, nil
}

// inRanges reports whether one of the ranges, which are in increasing order, has the
// occurrence.
func inRanges(ranges []stepfold.OccurrenceRange, occurrence int) bool {
	_, found := slices.BinarySearchFunc(ranges, occurrence, func(r stepfold.OccurrenceRange, occurrence int) int {
		switch {
		case r.First > occurrence:
			return 1
		case r.First+r.Count <= occurrence:
			return -1
		}
		return 0
	})
	return found
}

func decodeRange(w wire.StepsProgress, s wire.StepProgress, r []int, tasks map[steps.TaskID]stepfold.TaskProgress) error {
	if len(r) <= rangePlace || len(r) > rangeFields {
		return fmt.Errorf("found %d fields, allowed: %d to %d", len(r), rangePlace+1, rangeFields)
	}
	fields := make([]int, rangeFields)
	copy(fields, r)
	first, count, place, checkpoint := fields[rangeFirst], fields[rangeCount], fields[rangePlace], fields[rangeCheckpoint]
	switch {
	case first < 0 || count < 1 || first > steps.MaxTasks-count:
		return fmt.Errorf("found %d tasks from %d on, allowed: at least 1, indexes from 0 to %d", count, first, steps.MaxTasks-1)
	case place < placeDone || place >= len(w.Agents):
		return fmt.Errorf("place: found %d, allowed: %d to %d", place, placeDone, len(w.Agents)-1)
	case checkpoint < 0 || checkpoint > len(w.Checkpoints):
		return fmt.Errorf("checkpoint: found %d, allowed: 0 to %d", checkpoint, len(w.Checkpoints))
	}
	if err := cmp.Or(checkRange("run", fields[rangeRun], maxCount), checkRange("failures", fields[rangeFailures], maxCount), checkRange("cleared crashes", fields[rangeCrashesCleared], maxCount)); err != nil {
		return err
	}
	t := stepfold.TaskProgress{Run: fields[rangeRun], Done: place == placeDone, Failures: fields[rangeFailures]}
	t.Crashes = t.Crashes.Clear(fields[rangeCrashesCleared])
	for _, run := range fields[rangeCrashes:] {
		switch {
		case run < 0 || run > t.Run:
			return fmt.Errorf("crashed run: found %d, allowed: 0 to %d", run, t.Run)
		case run > 0:
			t.Crashes = t.Crashes.Add(run)
		}
	}
	if place >= 0 {
		t.Agent, t.Worker = w.Agents[place], w.Workers[place]
	}
	if checkpoint > 0 {
		t.Checkpoint = w.Checkpoints[checkpoint-1]
	}
	for index := first; index < first+count; index++ {
		tasks[steps.TaskID{Occurrence: s.Occurrence, Step: s.Step, Index: index}] = t
	}
	return nil
}
