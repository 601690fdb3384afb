package trace

import (
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"
)

const logged = `  -9.97 edge-a-1 {"event":"entryStarted","process":"edge-a-1","time":"2026-03-09T00:52:35.019Z"}
  1.00 edge-a-2 {"event":"taskPlaced","job":"5c0e7a21d94b36f8","process":"edge-a-2","reason":"freeGPUs=7","run":1,"task":"5c0e7a21d94b36f8.0.0.0","time":"2026-03-09T00:52:36.020Z","vm":"vm-1","leftOut":3}
  0.90 edge-a-1 {"event":"submit","job":"5c0e7a21d94b36f8","outcome":"ok","process":"edge-a-1","time":"2026-03-09T00:52:36.000Z"}
not a line of ours
  1.10 vm-1 {"event":"startRefused","process":"vm-1","reason":"room","run":1,"task":"5c0e7a21d94b36f8.0.0.0","time":"2026-03-09T00:52:36.100Z"}
  1.20 edge-a-1 {"event":"submit","job":"another","process":"edge-a-1","time":"2026-03-09T00:52:36.200Z"}
`

// Guards against a request's story that lacks the lines of another process, has
// those of another request, or is out of order.
func TestJobTrace(t *testing.T) {
	c := qt.New(t)
	s := JobTrace{Job: "5c0e7a21d94b36f8"}
	c.Assert(s.Read(strings.NewReader(logged)), qt.IsNil)
	s.Sort()
	var events []string
	for _, l := range s.Lines {
		events = append(events, l.Process+" "+l.Event)
	}
	c.Assert(events, qt.DeepEquals, []string{"edge-a-1 submit", "edge-a-2 taskPlaced", "vm-1 startRefused"})
	c.Assert(s.Dropped, qt.Equals, 3)
	c.Assert(s.Unparsed, qt.Equals, 1)
	var text, html strings.Builder
	c.Assert(s.WriteText(&text), qt.IsNil)
	c.Assert(text.String(), qt.Contains, "+100ms")
	c.Assert(s.WriteHTML(&html), qt.IsNil)
	c.Assert(html.String(), qt.Contains, "startRefused")
}
