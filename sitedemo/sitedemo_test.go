package sitedemo

import (
	"bytes"
	"testing"

	qt "github.com/frankban/quicktest"
)

// TestRun guards against a demonstration that succeeds although a job did not
// complete, a worker detected a breach of its protocol, or runs of a task overlapped
// or followed its success.
func TestRun(t *testing.T) {
	c := qt.New(t)
	var out bytes.Buffer
	report, err := Run(t.Context(), &out)
	c.Assert(err, qt.IsNil, qt.Commentf("%s", &out))
	c.Check(report.JobsCompleted, qt.Equals, report.JobsSubmitted)
	c.Check(report.JobsSubmitted, qt.Equals, 6)
	c.Check(report.Violations, qt.Equals, 0)
}
