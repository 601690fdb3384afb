package settings

import (
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// TestBadFiles guards against a daemon that starts with an invalid settings
// file, and against errors that do not name the section and key. Each line of
// errors.txt is a file name and the expected error.
func TestBadFiles(t *testing.T) {
	text, err := os.ReadFile("testdata/errors.txt")
	qt.Assert(t, err, qt.IsNil)
	for line := range strings.Lines(string(text)) {
		name, want, ok := strings.Cut(strings.TrimSpace(line), " | ")
		qt.Assert(t, ok, qt.IsTrue)
		t.Run(name, func(t *testing.T) {
			path := filepath.Join("testdata", "bad", name)
			switch {
			case strings.HasPrefix(name, "site-"):
				err = Check(path)
			case strings.HasPrefix(name, "entry"):
				_, err = LoadEntry(path, nil)
			default:
				_, err = LoadAgent(path, nil)
			}
			qt.Assert(t, err, qt.ErrorMatches, path+": "+want)
		})
	}
}

// TestGoodFiles guards against Check rejecting valid settings. There is one file
// for each Load function: LoadEntry, LoadAgent, LoadSiteEntry and LoadSiteAgent.
func TestGoodFiles(t *testing.T) {
	files, err := filepath.Glob("testdata/good/*.ini")
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, files, qt.HasLen, 4)
	for _, path := range files {
		qt.Check(t, Check(path), qt.IsNil)
	}
}

// TestExamples guards against the Load functions rejecting the settings files in
// the directory examples.
func TestExamples(t *testing.T) {
	entries, err := filepath.Glob("../examples/*/entry.ini")
	qt.Assert(t, err, qt.IsNil)
	agents, err := filepath.Glob("../examples/*/agent.ini")
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, len(entries)+len(agents), qt.Equals, 4)
	for _, path := range entries {
		_, err := LoadEntry(path, nil)
		qt.Check(t, err, qt.IsNil)
	}
	for _, path := range agents {
		a, err := LoadAgent(path, nil)
		qt.Check(t, err, qt.IsNil)
		qt.Check(t, []int{a.Accelerators, a.Slots, a.Connections}, qt.DeepEquals, []int{8, 8, 64})
	}
}

// TestOverrides guards against a flag that does not take precedence over the
// file, and against an invalid or unknown flag that is accepted.
func TestOverrides(t *testing.T) {
	e, err := LoadEntry("testdata/good/entry.ini", map[string]string{"timing.vmLostMs": "2500", "entry.zone": "z9"})
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, e.VMLostTimeout, qt.Equals, 2500*time.Millisecond)
	qt.Assert(t, e.Zone, qt.Equals, "z9")
	qt.Assert(t, e.ID, qt.Equals, "e1")
	_, err = LoadAgent("testdata/good/agent.ini", map[string]string{"agent.slots": "0"})
	qt.Assert(t, err, qt.ErrorMatches, `--agent.slots or CELERYPOINT_AGENT_SLOTS: found "0", allowed: 1 to 4096`)
	_, err = LoadAgent("testdata/good/agent.ini", map[string]string{"agent.slot": "1"})
	qt.Assert(t, err, qt.ErrorMatches, `--agent.slot: found an unknown setting, .*`)
}
