// Package quarantine tells a faulty VM from a faulty job. A VM on which
// different jobs fail one after another is set aside and then probed with one
// job at a time; a job that fails on several VMs is itself at fault. A State
// holds the failures of one planner. The caller serializes access to it; it
// takes no lock.
package quarantine

import (
	"slices"
	"time"
)

const (
	// VMFailureLimit is the number of different jobs that fail in a row before a
	// VM is set aside.
	VMFailureLimit = 3
	// JobFailureLimit is the number of different VMs that are not set aside on
	// which a job fails before it ends with its own error.
	JobFailureLimit = 3
	// MaxVMsPerJob bounds the different VMs that a job is tried on, those set
	// aside included.
	MaxVMsPerJob = 6

	// firstSpan and longestSpan bound by default how long a VM is set aside;
	// the span doubles with each probe that fails. A restart of a worker takes
	// about the first, and an operator has looked after about the last.
	firstSpan   = 30 * time.Second
	longestSpan = 30 * time.Minute
)

// VM is what is remembered of one VM.
type VM struct {
	// FailedJobs are the different jobs that failed since the last success.
	FailedJobs []string
	// QuarantinedUntil is when the VM may be probed; zero when it is trusted.
	QuarantinedUntil time.Time
	// ProbeJob is the job that probes the VM; empty when none does.
	ProbeJob string
	// FailedProbes counts the failed probes since it was set aside.
	FailedProbes int
}

// State holds the failures. Use New.
type State struct {
	// VMs has an entry for each VM with failures since its last success.
	VMs map[string]VM
	// FailedVMsByJob maps a job that has not ended to the different VMs that it failed on.
	FailedVMsByJob map[string][]string
	// InitialDuration and Longest bound how long a VM is set aside.
	InitialDuration, MaxDuration time.Duration
}

// Option changes how New sets a State up.
type Option func(*State)

// WithDurations sets how long a VM is set aside at first and at most.
func WithDurations(first, longest time.Duration) Option {
	return func(s *State) { s.InitialDuration, s.MaxDuration = first, longest }
}

// FailureResult is what follows from a failure.
type FailureResult struct {
	// Quarantined says that the VM is quarantined, until Until.
	Quarantined      bool
	QuarantinedUntil time.Time
	// JobFaulty says that the job ends with its own error.
	JobFaulty bool
}

// New returns a state without failures.
func New(options ...Option) *State {
	s := &State{VMs: map[string]VM{}, FailedVMsByJob: map[string][]string{}, InitialDuration: firstSpan, MaxDuration: longestSpan}
	for _, o := range options {
		o(s)
	}
	return s
}

// RecordFailure adds a failure of the job on the VM.
func (s *State) RecordFailure(vm, job string, now time.Time) FailureResult {
	if !slices.Contains(s.FailedVMsByJob[job], vm) {
		s.FailedVMsByJob[job] = append(s.FailedVMsByJob[job], vm)
	}
	v := s.VMs[vm]
	if !slices.Contains(v.FailedJobs, job) {
		v.FailedJobs = append(v.FailedJobs, job)
	}
	switch {
	case !v.QuarantinedUntil.IsZero():
		// Other failures before the deadline come from work that was placed
		// before the VM was set aside.
		if job == v.ProbeJob || !now.Before(v.QuarantinedUntil) {
			v.FailedProbes++
			v.ProbeJob, v.QuarantinedUntil = "", now.Add(s.span(v.FailedProbes))
		}
	case len(v.FailedJobs) >= VMFailureLimit:
		v.QuarantinedUntil = now.Add(s.span(0))
	}
	// The newest jobs are enough to decide, and bound the memory.
	v.FailedJobs = v.FailedJobs[max(0, len(v.FailedJobs)-VMFailureLimit):]
	s.VMs[vm] = v
	faulty := s.jobFaulty(job)
	if faulty {
		s.acquit(job)
	}
	until := s.QuarantinedUntil(vm)
	return FailureResult{Quarantined: !until.IsZero(), QuarantinedUntil: until, JobFaulty: faulty}
}

func (s *State) span(probes int) time.Duration {
	return min(s.MaxDuration, s.InitialDuration<<min(probes, 10))
}

func (s *State) jobFaulty(job string) bool {
	trusted := 0
	for _, vm := range s.FailedVMsByJob[job] {
		if s.VMs[vm].QuarantinedUntil.IsZero() {
			trusted++
		}
	}
	return trusted >= JobFailureLimit || len(s.FailedVMsByJob[job]) >= MaxVMsPerJob
}

// acquit takes a faulty job's failures off the VMs, and trusts those again
// that were set aside because of it.
func (s *State) acquit(job string) {
	for _, vm := range s.FailedVMsByJob[job] {
		v, ok := s.VMs[vm]
		if !ok {
			continue
		}
		v.FailedJobs = slices.DeleteFunc(slices.Clone(v.FailedJobs), func(j string) bool { return j == job })
		if v.FailedProbes == 0 && len(v.FailedJobs) < VMFailureLimit {
			v.QuarantinedUntil = time.Time{}
		}
		s.VMs[vm] = v
		if len(v.FailedJobs) == 0 && v.QuarantinedUntil.IsZero() {
			delete(s.VMs, vm)
		}
	}
}

// RecordSuccess adds an answer of a job from the VM, which is trusted again.
func (s *State) RecordSuccess(vm string) { delete(s.VMs, vm) }

// StartProbe tells that the job was placed on a VM whose deadline has passed. No
// other job may go there until this one has ended or the next deadline passes.
func (s *State) StartProbe(vm, job string, now time.Time) {
	if v, ok := s.VMs[vm]; ok && !v.QuarantinedUntil.IsZero() && !now.Before(v.QuarantinedUntil) {
		v.ProbeJob, v.QuarantinedUntil = job, now.Add(s.span(v.FailedProbes))
		s.VMs[vm] = v
	}
}

// QuarantinedUntil is when the VM may be probed, zero when it is trusted; see
// vm.View.QuarantinedUntil.
func (s *State) QuarantinedUntil(vm string) time.Time { return s.VMs[vm].QuarantinedUntil }

// FailedVMs lists the VMs that the job failed on.
func (s *State) FailedVMs(job string) map[string]bool {
	avoid := map[string]bool{}
	for _, vm := range s.FailedVMsByJob[job] {
		avoid[vm] = true
	}
	return avoid
}

// ForgetJob drops a job that has ended.
func (s *State) ForgetJob(job string) { delete(s.FailedVMsByJob, job) }

// ForgetVM drops a VM that is gone or has a new boot ID.
func (s *State) ForgetVM(vm string) { delete(s.VMs, vm) }
