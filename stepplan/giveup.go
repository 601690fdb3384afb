package stepplan

import (
	"time"

	"celerypoint.example/celerypoint/stepfold"
)

// GiveUp fails a job whose progress cannot be stored, unless it is over, and returns its
// progress after that.
func (sc *Scheduler) GiveUp(id, reason string, wall, now time.Time) stepfold.Progressed {
	j := sc.Jobs[id]
	if j == nil {
		return stepfold.Progressed{ID: id, Progress: stepfold.Progress{Phase: stepfold.PhaseFailed, EndedAt: wall}}
	}
	if !j.Phase.Over() {
		sc.addEvent(Event{Kind: "jobGivenUp", Job: id, Reason: reason})
		sc.endJob(j, stepfold.PhaseFailed, now)
	}
	return stepfold.Progressed{ID: id, Progress: j.storedProgress(wall)}
}
