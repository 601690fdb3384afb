package soak

import (
	"fmt"
	"os"
	"path/filepath"
	"regexp"
	"slices"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"

	"celerypoint.example/celerypoint/trace"
)

// Bounds of what evidence prints.
const (
	maxEvidenceJobs  = 3
	maxEvidenceBytes = 16 << 10
)

var jobIDPattern = regexp.MustCompile(`\b[0-9a-f]{16}\b`)

// evidence lists, for the first jobs that the violations name, the runs on all workers and
// the log lines in dir. Where a test ran on another machine, its output is all that is left.
func evidence(dir string, violations []string, runs string) string {
	var jobs []string
	for _, id := range jobIDPattern.FindAllString(strings.Join(violations, "\n"), -1) {
		if !slices.Contains(jobs, id) && len(jobs) < maxEvidenceJobs {
			jobs = append(jobs, id)
		}
	}
	var text strings.Builder
	for _, id := range jobs {
		fmt.Fprintf(&text, "job %s\n", id)
		for line := range strings.Lines(runs) {
			if strings.HasPrefix(line, id+".") {
				text.WriteString(line)
			}
		}
		if err := writeTrace(&text, dir, id); err != nil {
			fmt.Fprintf(&text, "%v\n", err)
		}
	}
	if text.Len() > maxEvidenceBytes {
		return text.String()[:maxEvidenceBytes] + "\n(more in the logs)"
	}
	return text.String()
}

func writeTrace(text *strings.Builder, dir, id string) error {
	logs, err := filepath.Glob(filepath.Join(dir, "*.log"))
	if err != nil {
		return err
	}
	t := &trace.JobTrace{Job: id}
	for _, name := range logs {
		f, err := os.Open(name)
		if err != nil {
			return err
		}
		err = t.Read(f)
		_ = f.Close()
		if err != nil {
			return fmt.Errorf("%s: %w", name, err)
		}
	}
	t.Sort()
	return t.WriteText(text)
}

// TestEvidence guards against a failure on a machine whose logs are not kept that cannot be
// traced, because the output of the test has neither the runs nor the log lines of its job.
func TestEvidence(t *testing.T) {
	c := qt.New(t)
	dir := t.TempDir()
	log := `{"event":"runLost","job":"0000000300000004","process":"entry-0","reason":"the worker crashed","task":"0000000300000004.0.0.0","time":"2026-12-06T17:47:29.314Z"}
{"event":"runLost","job":"0000000300000005","process":"entry-0","time":"2026-12-06T17:47:29.315Z"}
`
	c.Assert(os.WriteFile(filepath.Join(dir, "entry-0.log"), []byte(log), 0o644), qt.IsNil)
	got := evidence(dir, []string{"28.757 job 0000000300000004 is reported as failed"}, "0000000300000004.0.0.0 run 1\n0000000300000005.0.0.0 run 1\n")
	c.Check(got, qt.Contains, "0000000300000004.0.0.0 run 1\n")
	c.Check(got, qt.Contains, "reason=the worker crashed")
	c.Check(got, qt.Not(qt.Contains), "0000000300000005")
}
