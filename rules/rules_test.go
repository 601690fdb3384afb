package rules

import (
	"regexp"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"
)

// TestRecords guards against a refusal whose record is missing, doubled or
// does not say what callers and operators can do.
func TestRecords(t *testing.T) {
	previous := ""
	for _, r := range All {
		t.Run(r.Name, func(t *testing.T) {
			qt.Check(t, regexp.MustCompile(`^[a-z][A-Za-z]+$`).MatchString(r.Name), qt.IsTrue)
			qt.Check(t, r.Name > previous, qt.IsTrue, qt.Commentf("not in order after %q, or doubled", previous))
			qt.Check(t, r.Title, qt.Not(qt.Equals), "")
			qt.Check(t, strings.HasSuffix(r.Text, "."), qt.IsTrue)
			qt.Check(t, strings.Contains(r.Text, "Callers "), qt.IsTrue)
			qt.Check(t, strings.Contains(strings.ToLower(r.Text), "operators "), qt.IsTrue)
			qt.Check(t, r.Since, qt.Equals, "0.1")
			found, ok := Find(r.Name)
			qt.Check(t, ok, qt.IsTrue)
			qt.Check(t, found, qt.Equals, r)
			previous = r.Name
		})
	}
	_, ok := Find("no such rule")
	qt.Check(t, ok, qt.IsFalse)
}
