package selector

import (
	"testing"

	qt "github.com/frankban/quicktest"
)

// TestMatches guards against a job being placed on a VM that its selector
// excludes.
func TestMatches(t *testing.T) {
	labels := map[string]string{"zone": "a", "gpu": "h", "shared": ""}
	tests := []struct {
		text string
		want bool
	}{
		{"", true},
		{"zone=a", true},
		{"zone=b", false},
		{"zone!=b", true},
		{"zone!=a", false},
		{"rack!=r1", true},
		{"gpu", true},
		{"!gpu", false},
		{"!tpu", true},
		{"gpu in (g|h)", true},
		{"gpu in (g)", false},
		{"zone=a,gpu=h", true},
		{"zone=a, gpu=g", false},
	}
	for _, tt := range tests {
		t.Run(tt.text, func(t *testing.T) {
			s, err := Parse(tt.text)
			qt.Assert(t, err, qt.IsNil)
			qt.Assert(t, s.Matches(labels), qt.Equals, tt.want)
		})
	}
}

// TestParseRejects guards against a mistyped selector that would silently
// match every VM.
func TestParseRejects(t *testing.T) {
	for _, text := range []string{"=a", "zone=", "a b", "zone in a", "zone in ()", ",", "!"} {
		t.Run(text, func(t *testing.T) {
			_, err := Parse(text)
			qt.Assert(t, err, qt.ErrorMatches, "selector: found the term .*allowed: .*")
		})
	}
}
