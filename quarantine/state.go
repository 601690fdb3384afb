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
	// FailuresOfVM is the number of different jobs that fail in a row before a
	// VM is set aside.
	FailuresOfVM = 3
	// FailuresOfJob is the number of different VMs that are not set aside on
	// which a job fails before it ends with its own error.
	FailuresOfJob = 3
	// MaxTries bounds the different VMs that a job is tried on, those set
	// aside included.
	MaxTries = 6

	// firstSpan and longestSpan bound by default how long a VM is set aside;
	// the span doubles with each probe that fails. A restart of a worker takes
	// about the first, and an operator has looked after about the last.
	firstSpan   = 30 * time.Second
	longestSpan = 30 * time.Minute
)

// VM is what is remembered of one VM.
type VM struct {
	// Failed are the different jobs that failed since the last success.
	Failed []string
	// Until is when the VM may be probed; zero when it is trusted.
	Until time.Time
	// Probe is the job that probes the VM; empty when none does.
	Probe string
	// Probes counts the failed probes since it was set aside.
	Probes int
}

// State holds the failures. Use New.
type State struct {
	// VMs has an entry for each VM with failures since its last success.
	VMs map[string]VM
	// Jobs maps a job that has not ended to the different VMs that it failed on.
	Jobs map[string][]string
	// First and Longest bound how long a VM is set aside.
	First, Longest time.Duration
}

// Option changes how New sets a State up.
type Option func(*State)

// WithSpans sets how long a VM is set aside at first and at most.
func WithSpans(first, longest time.Duration) Option {
	return func(s *State) { s.First, s.Longest = first, longest }
}

// Verdict is what follows from a failure.
type Verdict struct {
	// SetAside says that the VM is quarantined, until Until.
	SetAside bool
	Until    time.Time
	// JobFaulty says that the job ends with its own error.
	JobFaulty bool
}

// New returns a state without failures.
func New(options ...Option) *State {
	s := &State{VMs: map[string]VM{}, Jobs: map[string][]string{}, First: firstSpan, Longest: longestSpan}
	for _, o := range options {
		o(s)
	}
	return s
}

// Failed adds a failure of the job on the VM.
func (s *State) Failed(vm, job string, now time.Time) Verdict {
	if !slices.Contains(s.Jobs[job], vm) {
		s.Jobs[job] = append(s.Jobs[job], vm)
	}
	v := s.VMs[vm]
	if !slices.Contains(v.Failed, job) {
		v.Failed = append(v.Failed, job)
	}
	switch {
	case !v.Until.IsZero():
		// Other failures before the deadline come from work that was placed
		// before the VM was set aside.
		if job == v.Probe || !now.Before(v.Until) {
			v.Probes++
			v.Probe, v.Until = "", now.Add(s.span(v.Probes))
		}
	case len(v.Failed) >= FailuresOfVM:
		v.Until = now.Add(s.span(0))
	}
	// The newest jobs are enough to decide, and bound the memory.
	v.Failed = v.Failed[max(0, len(v.Failed)-FailuresOfVM):]
	s.VMs[vm] = v
	faulty := s.jobFaulty(job)
	if faulty {
		s.acquit(job)
	}
	until := s.Until(vm)
	return Verdict{SetAside: !until.IsZero(), Until: until, JobFaulty: faulty}
}

func (s *State) span(probes int) time.Duration {
	return min(s.Longest, s.First<<min(probes, 10))
}

func (s *State) jobFaulty(job string) bool {
	trusted := 0
	for _, vm := range s.Jobs[job] {
		if s.VMs[vm].Until.IsZero() {
			trusted++
		}
	}
	return trusted >= FailuresOfJob || len(s.Jobs[job]) >= MaxTries
}

// acquit takes a faulty job's failures off the VMs, and trusts those again
// that were set aside because of it.
func (s *State) acquit(job string) {
	for _, vm := range s.Jobs[job] {
		v, ok := s.VMs[vm]
		if !ok {
			continue
		}
		v.Failed = slices.DeleteFunc(slices.Clone(v.Failed), func(j string) bool { return j == job })
		if v.Probes == 0 && len(v.Failed) < FailuresOfVM {
			v.Until = time.Time{}
		}
		s.VMs[vm] = v
		if len(v.Failed) == 0 && v.Until.IsZero() {
			delete(s.VMs, vm)
		}
	}
}

// Succeeded adds an answer of a job from the VM, which is trusted again.
func (s *State) Succeeded(vm string) { delete(s.VMs, vm) }

// Probing tells that the job was placed on a VM whose deadline has passed. No
// other job may go there until this one has ended or the next deadline passes.
func (s *State) Probing(vm, job string, now time.Time) {
	if v, ok := s.VMs[vm]; ok && !v.Until.IsZero() && !now.Before(v.Until) {
		v.Probe, v.Until = job, now.Add(s.span(v.Probes))
		s.VMs[vm] = v
	}
}

// Until is when the VM may be probed, zero when it is trusted; see
// vm.View.QuarantinedUntil.
func (s *State) Until(vm string) time.Time { return s.VMs[vm].Until }

// Avoid lists the VMs that the job failed on.
func (s *State) Avoid(job string) map[string]bool {
	avoid := map[string]bool{}
	for _, vm := range s.Jobs[job] {
		avoid[vm] = true
	}
	return avoid
}

// ForgetJob drops a job that has ended.
func (s *State) ForgetJob(job string) { delete(s.Jobs, job) }

// ForgetVM drops a VM that is gone or has a new boot ID.
func (s *State) ForgetVM(vm string) { delete(s.VMs, vm) }
