package quarantine

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

var start = time.Date(2026, 12, 4, 6, 0, 0, 0, time.UTC)

// TestRecordFailure guards against a healthy VM that is set aside because of one
// faulty job, a faulty VM that stays in use, and a healthy job that ends
// because of faulty VMs.
func TestRecordFailure(t *testing.T) {
	type failure struct{ vm, job string }
	tests := []struct {
		name     string
		failures []failure
		// success is a VM that answers before the last failure.
		success           string
		setAside, jobEnds bool
	}{
		{"two jobs fail", []failure{{"v", "a"}, {"v", "b"}}, "", false, false},
		{"three jobs fail", []failure{{"v", "a"}, {"v", "b"}, {"v", "c"}}, "", true, false},
		{"one job fails three times on one VM", []failure{{"v", "a"}, {"v", "a"}, {"v", "a"}}, "", false, false},
		{"an answer comes between", []failure{{"v", "a"}, {"v", "b"}, {"v", "c"}}, "v", false, false},
		{"one job fails on three VMs", []failure{{"u", "a"}, {"v", "a"}, {"w", "a"}}, "", false, true},
		{"one job fails on three VMs, one of them set aside",
			[]failure{{"u", "x"}, {"u", "y"}, {"u", "a"}, {"v", "a"}, {"w", "a"}}, "", false, false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			s := New()
			var v FailureResult
			for i, f := range tt.failures {
				if i == len(tt.failures)-1 && tt.success != "" {
					s.RecordSuccess(tt.success)
				}
				v = s.RecordFailure(f.vm, f.job, start)
			}
			qt.Assert(t, v.Quarantined, qt.Equals, tt.setAside)
			qt.Assert(t, v.JobFaulty, qt.Equals, tt.jobEnds)
		})
	}
}

// TestFaultyJobClearsVM guards against a VM that stays set aside because of a job that
// turns out to be faulty.
func TestFaultyJobClearsVM(t *testing.T) {
	s := New()
	for _, j := range []string{"a", "x", "y"} {
		s.RecordFailure("v", j, start)
	}
	qt.Assert(t, s.QuarantinedUntil("v").IsZero(), qt.IsFalse)
	for _, vm := range []string{"1", "2", "3"} {
		v := s.RecordFailure(vm, "a", start)
		qt.Assert(t, v.JobFaulty, qt.Equals, vm == "3")
	}
	qt.Assert(t, s.QuarantinedUntil("v").IsZero(), qt.IsTrue)
}

// TestProbes guards against more than one probe at a time, against spans that
// do not grow or grow without bound, and against a VM that never returns.
func TestProbes(t *testing.T) {
	s := New()
	for _, j := range []string{"a", "b", "c"} {
		s.RecordFailure("v", j, start)
	}
	qt.Assert(t, s.QuarantinedUntil("v"), qt.Equals, start.Add(firstSpan))
	// A failure of work that was placed before does not lengthen the span.
	s.RecordFailure("v", "d", start.Add(time.Second))
	qt.Assert(t, s.QuarantinedUntil("v"), qt.Equals, start.Add(firstSpan))

	last := firstSpan
	for range 20 {
		now := s.QuarantinedUntil("v")
		s.StartProbe("v", "e", now)
		qt.Assert(t, s.QuarantinedUntil("v").After(now), qt.IsTrue)
		s.RecordFailure("v", "e", now.Add(time.Second))
		wait := s.QuarantinedUntil("v").Sub(now.Add(time.Second))
		qt.Assert(t, wait > last || wait == longestSpan, qt.IsTrue)
		last = wait
	}
	qt.Assert(t, last, qt.Equals, longestSpan)
	s.RecordSuccess("v")
	qt.Assert(t, s.QuarantinedUntil("v").IsZero(), qt.IsTrue)
}

// TestMaxVMsPerJob guards against a faulty job that fails on set-aside VMs for
// ever.
func TestMaxVMsPerJob(t *testing.T) {
	s := New()
	for _, vm := range []string{"1", "2", "3", "4", "5", "6"} {
		s.RecordFailure(vm, "x", start)
		s.ForgetJob("x")
		s.RecordFailure(vm, "y", start)
		s.ForgetJob("y")
		v := s.RecordFailure(vm, "a", start)
		qt.Assert(t, v.JobFaulty, qt.Equals, vm == "6")
	}
	qt.Assert(t, s.FailedVMs("a"), qt.HasLen, MaxVMsPerJob)
}
