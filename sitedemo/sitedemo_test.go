package sitedemo

import (
	"bytes"
	"testing"

	qt "github.com/frankban/quicktest"
)

// Guards against a demonstration that hides a job that did not complete, or a
// rule that was broken.
func TestRun(t *testing.T) {
	c := qt.New(t)
	var out bytes.Buffer
	report, err := Run(t.Context(), &out)
	c.Assert(err, qt.IsNil, qt.Commentf("%s", &out))
	c.Check(report.JobsCompleted, qt.Equals, report.JobsSubmitted)
	c.Check(report.JobsSubmitted, qt.Equals, 6)
	c.Check(report.Violations, qt.Equals, 0)
}
