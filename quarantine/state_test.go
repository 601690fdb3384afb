package quarantine

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

var start = time.Date(2026, 12, 4, 6, 0, 0, 0, time.UTC)

// TestRecordFailure guards against quarantining a healthy VM because of one faulty
// job, keeping a faulty VM in use, and considering a correct job faulty because of
// faulty VMs.
func TestRecordFailure(t *testing.T) {
	type failure struct{ vm, job string }
	tests := []struct {
		name     string
		failures []failure
		// successOn is a VM on which a job succeeds before the last failure; empty
		// for none.
		successOn              string
		quarantined, jobFaulty bool
	}{
		{"two jobs fail", []failure{{"v", "a"}, {"v", "b"}}, "", false, false},
		{"three jobs fail", []failure{{"v", "a"}, {"v", "b"}, {"v", "c"}}, "", true, false},
		{"one job fails three times on one VM", []failure{{"v", "a"}, {"v", "a"}, {"v", "a"}}, "", false, false},
		{"a success in between", []failure{{"v", "a"}, {"v", "b"}, {"v", "c"}}, "v", false, false},
		{"one job fails on three VMs", []failure{{"u", "a"}, {"v", "a"}, {"w", "a"}}, "", false, true},
		{"one job fails on three VMs, one of them quarantined",
			[]failure{{"u", "x"}, {"u", "y"}, {"u", "a"}, {"v", "a"}, {"w", "a"}}, "", false, false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			s := New()
			var result FailureResult
			for i, f := range tt.failures {
				if i == len(tt.failures)-1 && tt.successOn != "" {
					s.RecordSuccess(tt.successOn)
				}
				result = s.RecordFailure(f.vm, f.job, start)
			}
			qt.Assert(t, result.Quarantined, qt.Equals, tt.quarantined)
			qt.Assert(t, result.JobFaulty, qt.Equals, tt.jobFaulty)
		})
	}
}

// TestFaultyJobClearsVM guards against a VM that stays in quarantine because of a
// job that is later found to be faulty.
func TestFaultyJobClearsVM(t *testing.T) {
	s := New()
	for _, j := range []string{"a", "x", "y"} {
		s.RecordFailure("v", j, start)
	}
	qt.Assert(t, s.QuarantinedUntil("v").IsZero(), qt.IsFalse)
	for _, vm := range []string{"1", "2", "3"} {
		result := s.RecordFailure(vm, "a", start)
		qt.Assert(t, result.JobFaulty, qt.Equals, vm == "3")
	}
	qt.Assert(t, s.QuarantinedUntil("v").IsZero(), qt.IsTrue)
}

// TestProbes guards against more than one probe at a time, against quarantine
// durations that do not grow or grow without bound, and against a VM that never
// leaves the quarantine.
func TestProbes(t *testing.T) {
	s := New()
	for _, j := range []string{"a", "b", "c"} {
		s.RecordFailure("v", j, start)
	}
	qt.Assert(t, s.QuarantinedUntil("v"), qt.Equals, start.Add(defaultInitialDuration))
	// A failure of a job that was placed before the quarantine does not extend it.
	s.RecordFailure("v", "d", start.Add(time.Second))
	qt.Assert(t, s.QuarantinedUntil("v"), qt.Equals, start.Add(defaultInitialDuration))

	lastDuration := defaultInitialDuration
	for range 20 {
		now := s.QuarantinedUntil("v")
		s.StartProbe("v", "e", now)
		qt.Assert(t, s.QuarantinedUntil("v").After(now), qt.IsTrue)
		s.RecordFailure("v", "e", now.Add(time.Second))
		duration := s.QuarantinedUntil("v").Sub(now.Add(time.Second))
		qt.Assert(t, duration > lastDuration || duration == defaultMaxDuration, qt.IsTrue)
		lastDuration = duration
	}
	qt.Assert(t, lastDuration, qt.Equals, defaultMaxDuration)
	s.RecordSuccess("v")
	qt.Assert(t, s.QuarantinedUntil("v").IsZero(), qt.IsTrue)
}

// TestMaxVMsPerJob guards against a faulty job that is tried again without end
// because all VMs on which it failed are quarantined.
func TestMaxVMsPerJob(t *testing.T) {
	s := New()
	for _, vm := range []string{"1", "2", "3", "4", "5", "6"} {
		s.RecordFailure(vm, "x", start)
		s.ForgetJob("x")
		s.RecordFailure(vm, "y", start)
		s.ForgetJob("y")
		result := s.RecordFailure(vm, "a", start)
		qt.Assert(t, result.JobFaulty, qt.Equals, vm == "6")
	}
	qt.Assert(t, s.FailedVMs("a"), qt.HasLen, MaxVMsPerJob)
}
