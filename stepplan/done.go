package stepplan

import (
	"time"

	"celerypoint.example/celerypoint/stepfold"
)

// allDone reports whether all tasks of an occurrence have succeeded.
func allDone(occurrence []*Step) bool {
	for _, s := range occurrence {
		if s.DoneCount < len(s.Tasks) {
			return false
		}
	}
	return true
}

// doneOccurrences lists the occurrences of a scheduled job whose tasks have all succeeded.
func (j *Job) doneOccurrences() []stepfold.OccurrenceRange {
	if !j.scheduled() {
		return nil
	}
	var ranges []stepfold.OccurrenceRange
	for number := range j.NextOccurrence {
		if !allDone(j.Occurrences[number]) {
			continue
		}
		if n := len(ranges); n > 0 && ranges[n-1].First+ranges[n-1].Count == number {
			ranges[n-1].Count++
			continue
		}
		ranges = append(ranges, stepfold.OccurrenceRange{First: number, Count: 1})
	}
	return ranges
}

// restoreDone restores occurrences whose tasks have all succeeded.
func (sc *Scheduler) restoreDone(j *Job, r stepfold.OccurrenceRange, now time.Time) {
	end := min(r.First+r.Count, j.Spec.OccurrenceCount)
	for j.NextOccurrence < end {
		sc.startOccurrence(j, j.NextOccurrence, now)
	}
	for number := r.First; number < end; number++ {
		for _, s := range j.Occurrences[number] {
			for _, t := range s.Tasks {
				t.Done = true
			}
			s.DoneCount = len(s.Tasks)
		}
	}
}
