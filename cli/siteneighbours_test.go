package cli

import (
	"bytes"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"
)

// TestSiteNeighbours guards against a list that does not show why kinds are kept apart, and
// against an answer without the operator's decisions.
func TestSiteNeighbours(t *testing.T) {
	const found = `{"slowed":"image a","by":"queue b","factorPercent":134,"ageMs":61000,"beside":12,"alone":63,"standardErrorsTenths":52,"override":"together"}`
	for _, test := range []struct {
		name, answer string
		want         []string
	}{
		{"found", `{"planner":"entry2","separated":true,"found":[` + found + `],"overrides":[{"kinds":["image a","queue b"],"decision":"together"}]}`,
			[]string{"planner entry2", "set by the operator: together: image a + queue b", "1.34", "1m1s", "12", "63", "5.2"}},
		{"nothing", `{"planner":"entry2","separated":true}`, []string{"no kind is known to slow another down"}},
		{"ignored", `{"planner":"entry2"}`, []string{"neighbours = ignored"}},
	} {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				c.Check(r.URL.Path, qt.Equals, "/neighbours")
				_, _ = w.Write([]byte(test.answer))
			}))
			c.Cleanup(s.Close)
			var out, errors bytes.Buffer
			code := Run(t.Context(), []string{"site", "neighbours", "--entry", strings.TrimPrefix(s.URL, "http://")}, &out, &errors)
			c.Assert(code, qt.Equals, 0, qt.Commentf("%s", errors.String()))
			for _, want := range test.want {
				c.Check(out.String(), qt.Contains, want)
			}
		})
	}
}
