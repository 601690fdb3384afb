package disruption

import (
	"testing"

	qt "github.com/frankban/quicktest"
)

// TestBudget guards against stopping more tasks than may be unavailable, and against keeping
// a run that is not available anyway, or of a step without a limit.
func TestBudget(t *testing.T) {
	for _, test := range []struct {
		limit, unavailable, tasks int
		want                      bool
	}{
		{0, 9, 9, true},
		{1, 0, 1, true},
		{1, 0, 2, false},
		{1, 1, 1, false},
		{2, 1, 1, true},
		{2, 1, 2, false},
		{1, 5, 0, true},
		{3, 5, 1, false},
	} {
		qt.Check(t, Budget{Limit: test.limit, Unavailable: test.unavailable}.Allows(test.tasks), qt.Equals, test.want, qt.Commentf("%+v", test))
	}
}
