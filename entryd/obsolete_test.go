package entryd

import (
	"testing"

	qt "github.com/frankban/quicktest"

	"celerypoint.example/celerypoint/jobfold"
	"celerypoint.example/celerypoint/outcome"
	"celerypoint.example/celerypoint/wire"
)

// TestReportAheadOfLog guards against confirming a report whose attempt's commit is not read yet.
func TestReportAheadOfLog(t *testing.T) {
	for _, test := range []struct {
		name      string
		committed string
		end       outcome.Outcome
		reported  string
		confirmed bool
	}{
		{"attempt before the newest", "j~b~e/9.12", nil, "j~b~e/9.7", true},
		{"attempt of an earlier term", "j~b~e/10.2", nil, "j~b~e/9.12", true},
		{"newest attempt", "j~b~e/9.12", nil, "j~b~e/9.12", false},
		{"attempt after the newest known", "j~b~e/9.7", nil, "j~b~e/9.12", false},
		{"attempt of a later term", "j~b~e/9.12", nil, "j~b~e/10.2", false},
		{"first attempt, not known as committed", "", nil, "j~b~e/9.7", false},
		{"ended job", "j~b~e/9.12", outcome.Failed{}, "j~b~e/9.12", true},
	} {
		t.Run(test.name, func(t *testing.T) {
			d := &Daemon{jobs: jobTable{logState: jobfold.New()}}
			d.jobs.logState.Jobs["j~b~e"] = &jobfold.JobState{Attempt: test.committed, Outcome: test.end}
			_, err := d.handleTaskEnded(nil, wire.TaskEndedParams{VM: "v1", Job: "j~b~e", Attempt: test.reported, Result: wire.TaskResultFailed})
			qt.Assert(t, err == nil, qt.Equals, test.confirmed)
		})
	}
}
