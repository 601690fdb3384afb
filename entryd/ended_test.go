package entryd

import (
	"testing"

	qt "github.com/frankban/quicktest"

	"celerypoint.example/celerypoint/gang"
	"celerypoint.example/celerypoint/jobfold"
)

// TestEndedAttemptKeepsItsRecord guards against dropping an attempt, and with it the record of its end, because of an event that arrives before that record is stored.
func TestEndedAttemptKeepsItsRecord(t *testing.T) {
	d := &Daemon{jobs: jobTable{logState: jobfold.New(), attempts: map[string]*attempt{}, attemptByJob: map[string]string{}, byID: map[string]*trackedJob{}}}
	d.jobs.attempts["a"] = &attempt{Attempt: gang.Attempt{ID: "a", JobID: "j", Phase: gang.PhaseEnded}}
	d.step("a", gang.Released{VM: "v1"})
	qt.Assert(t, d.jobs.attempts["a"], qt.IsNotNil)
}
