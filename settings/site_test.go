package settings

import (
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"celerypoint.example/celerypoint/interference"
)

const siteEntry = `[node]
name = edge-a-1
zone = a
ip = 10.1.0.19
ports = 7000,7015
store = 10.200.1.7:8524
stopSeconds = 6
memoryMB = 284

[entry]
clientAddress = 10.1.0.19:8521
readinessAddress = 10.1.0.19:8523
keepStatusSeconds = 120
leaseMs = 6000
stopRunMs = 900
reclaimMs = 3400
keyGraceMs = 5000
farFactor = 3
`

// TestLoadSiteEntry guards against invalid settings that are accepted, and
// against errors that do not name the section and key.
func TestLoadSiteEntry(t *testing.T) {
	c := qt.New(t)
	path := filepath.Join(c.TempDir(), "entry.ini")
	load := func(text string) (SiteEntry, error) {
		c.Assert(os.WriteFile(path, []byte(text), 0o600), qt.IsNil)
		return LoadSiteEntry(path, nil)
	}
	s, err := load(siteEntry)
	c.Assert(err, qt.IsNil)
	c.Assert(s.Address(), qt.Equals, "10.1.0.19:7000")
	c.Assert(s.MetricsAddress(), qt.Equals, "10.1.0.19:7001")
	c.Assert(s.TerminationGrace, qt.Equals, 6*time.Second)
	c.Assert(s.ConfigApply, qt.Equals, 2*time.Second)
	c.Assert([]string{string(s.Paces), string(s.Neighbours)}, qt.DeepEquals, []string{"ignored", "ignored"})
	for _, test := range []struct{ from, to, want string }{
		{"ports = 7000,7015", "ports = 7000", `.*: \[node\] ports: found "7000", allowed: FIRST,LAST with at least two ports`},
		{"ip = 10.1.0.19", "ip = 0.0.0.0", `.*: \[node\] ip: found "0.0.0.0", allowed: an IP address of this VM`},
		{"leaseMs = 6000\n", "", `.*: \[entry\] leaseMs: found none, allowed: .*`},
		{"farFactor = 3", "farFactor = 0.5", `.*: \[entry\] farFactor: found "0.5", allowed: 1 to 1000`},
		{"farFactor = 3", "farFactor = 3\n[planning]\npaces = on", `.*: \[planning\] paces: found "on", allowed: ignored, considered`},
		{"farFactor = 3", "farFactor = 3\n[planning]\nneighbours = on", `.*: \[planning\] neighbours: found "on", allowed: ignored, separated`},
		{"farFactor = 3", "farFactor = 3\n[planning]\napart = queue a + queue b", `.*: \[planning\] apart: found "queue a \+ queue b", allowed: with neighbours = separated: .*`},
		{"farFactor = 3", "farFactor = 3\n[planning]\nneighbours = separated\napart = queue a", `.*: \[planning\] apart: found "queue a", allowed: .*`},
		{"farFactor = 3", "farFactor = 3\n[planning]\nneighbours = separated\napart = a + queue b", `.*: \[planning\] apart: found "a \+ queue b", allowed: .*`},
		{"farFactor = 3", "farFactor = 3\n[planning]\nneighbours = separated\napart = queue a + queue b\ntogether = queue b + queue a", `.*: \[planning\] together: found "queue b \+ queue a", allowed: .* each in one of apart and together.*`},
		{"farFactor = 3", "farFactor = 3\nother = 1", `.*: \[entry\] other: found an unknown key, allowed: .*`},
	} {
		_, err := load(strings.Replace(siteEntry, test.from, test.to, 1))
		c.Check(err, qt.ErrorMatches, test.want)
	}
}

// TestNeighbourOverrides guards against pairs that are lost or read as others.
func TestNeighbourOverrides(t *testing.T) {
	c := qt.New(t)
	path := filepath.Join(c.TempDir(), "entry.ini")
	text := siteEntry + "[planning]\nneighbours = separated\napart = queue b + image r/ocr:3, queue a + queue a\ntogether = \n"
	c.Assert(os.WriteFile(path, []byte(text), 0o600), qt.IsNil)
	s, err := LoadSiteEntry(path, nil)
	c.Assert(err, qt.IsNil)
	c.Check(s.NeighbourOverrides, qt.DeepEquals, []interference.Override{
		{Kinds: [2]string{"image r/ocr:3", "queue b"}, Decision: interference.KeepApart},
		{Kinds: [2]string{"queue a", "queue a"}, Decision: interference.KeepApart},
	})
}

// TestWorkerService guards against settings of a VM without a worker, where the platform
// renders no service, that are rejected, and against an invalid name that is accepted.
func TestWorkerService(t *testing.T) {
	c := qt.New(t)
	good, err := os.ReadFile("testdata/good/site-agent.ini")
	c.Assert(err, qt.IsNil)
	path := filepath.Join(c.TempDir(), "agent.ini")
	for line, want := range map[string]string{"": "", "workerService = \n": "", "workerService =\n": "", "workerService = huvo11a\n": "huvo11a"} {
		c.Assert(os.WriteFile(path, append(good, line...), 0o600), qt.IsNil)
		s, err := LoadSiteAgent(path, nil)
		c.Assert(err, qt.IsNil)
		c.Check(s.WorkerService, qt.Equals, want)
	}
	c.Assert(os.WriteFile(path, append(good, "workerService = a b\n"...), 0o600), qt.IsNil)
	_, err = LoadSiteAgent(path, nil)
	c.Assert(err, qt.ErrorMatches, `.*: \[agent\] workerService: found "a b", allowed: empty, or .*`)
}
