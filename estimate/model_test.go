package estimate

import (
	"fmt"
	"testing"
	"time"

	"celerypoint.example/celerypoint/job"
	qt "github.com/frankban/quicktest"
)

// declared returns a job with a declared run time, 0 for none.
func declared(org string, run time.Duration) job.Job {
	return job.Job{Org: org, Tasks: 4, DeclaredRun: run, Labels: map[string]string{ClassLabel: "match"}}
}

// TestExpectedRun guards against using a wrong declared run time although enough
// runs were observed, and against a few long runs that dominate the estimate.
func TestExpectedRun(t *testing.T) {
	same := func(n int) (runs []time.Duration) {
		for range n {
			runs = append(runs, 10*time.Second)
		}
		return runs
	}
	tests := []struct {
		name string
		runs []time.Duration
		// ratio is the ratio of each run time to its declared run time; 0 if none is
		// declared.
		ratio     float64
		estimated job.Job
		want      time.Duration
	}{
		{"nothing known", nil, 0, job.Job{Org: "a"}, 0},
		{"only a declared run time", nil, 0, declared("a", time.Minute), time.Minute},
		{"too few runs", same(4), 0, declared("a", time.Minute), time.Minute},
		{"equal runs", same(5), 0, declared("a", time.Minute), 10 * time.Second},
		{"a few run far longer", append(same(20), time.Hour, 2*time.Hour), 0, declared("a", time.Minute), 10 * time.Second},
		{"the declared run time is wrong by a constant factor", []time.Duration{10e9, 20e9, 40e9, 80e9, 160e9}, 2, declared("a", time.Minute), 2 * time.Minute},
		{"another class of the organisation", same(5), 0, job.Job{Org: "a", Tasks: 300}, 10 * time.Second},
		{"another organisation", same(5), 0, declared("b", time.Minute), time.Minute},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			m := New()
			for _, r := range tt.runs {
				j := declared("a", 0)
				if tt.ratio > 0 {
					j.DeclaredRun = time.Duration(float64(r) / tt.ratio)
				}
				m.Observe(j, r)
			}
			qt.Assert(t, m.ExpectedRun(tt.estimated), qt.Equals, tt.want)
		})
	}
}

// TestStraggler guards against ordinary tasks being reported as stragglers, and
// against estimates that do not follow a change in the run times.
func TestStraggler(t *testing.T) {
	start := time.Date(2026, 12, 4, 6, 0, 0, 0, time.UTC)
	m, j := New(), declared("a", time.Second)
	qt.Assert(t, m.Straggler(j, start, start.Add(time.Hour)), qt.IsFalse)
	for range sampleSize {
		m.Observe(j, 10*time.Second)
	}
	qt.Assert(t, m.Straggler(j, start, start.Add(20*time.Second)), qt.IsFalse)
	qt.Assert(t, m.Straggler(j, start, start.Add(21*time.Second)), qt.IsTrue)
	qt.Assert(t, m.ExpectedEnd(j, start), qt.Equals, start.Add(10*time.Second))
	for range sampleSize {
		m.Observe(j, time.Minute)
	}
	qt.Assert(t, m.Straggler(j, start, start.Add(21*time.Second)), qt.IsFalse)
	qt.Assert(t, m.MeanRun(job.UrgencyNormal), qt.Equals, time.Minute)
	qt.Assert(t, m.MeanRun(job.UrgencyUrgent), qt.Equals, time.Duration(0))
}

// TestMaxClasses guards against memory use that grows without bound with the number
// of organisations.
func TestMaxClasses(t *testing.T) {
	m := New()
	for i := range MaxClasses + 100 {
		m.Observe(declared(fmt.Sprint(i), 0), time.Second)
	}
	qt.Assert(t, len(m.samples) <= MaxClasses, qt.IsTrue)
	qt.Assert(t, len(m.samples) > MaxClasses/2, qt.IsTrue)
	_, oldest := m.samples[classes(declared("0", 0))[0]]
	qt.Assert(t, oldest, qt.IsFalse)
}
