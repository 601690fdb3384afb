package demo

import (
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"
)

// TestRun guards against a program whose parts no longer work together: a gang,
// an urgent request, a refusal and a stop that must not cut off a caller.
func TestRun(t *testing.T) {
	var out strings.Builder
	r, err := Run(t.Context(), &out)
	t.Log(out.String())
	qt.Assert(t, err, qt.IsNil)
	r.Seconds = 0
	qt.Assert(t, r, qt.Equals, Report{JobsSubmitted: 4, CorrectAnswers: 3, Refusals: 1})
	for _, event := range []string{"entryStopping", "attemptRunning", "jobRefused", "memberReserved"} {
		qt.Check(t, strings.Contains(out.String(), event), qt.IsTrue, qt.Commentf("no event %s", event))
	}
}
