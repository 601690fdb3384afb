// Package quarantine distinguishes faulty VMs from faulty jobs. A VM on which
// several different jobs fail in a row is quarantined, which means that no job is
// placed on it for some time. Afterwards it is probed with one job at a time, if
// the caller reports each placement with StartProbe. A job that fails on several
// VMs is itself considered faulty. A State holds the failures that one process has
// observed. The caller serializes access to it; it takes no lock.
package quarantine

import (
	"slices"
	"time"
)

const (
	// VMFailureLimit is the number of different jobs that have to fail on a VM,
	// without a success in between, for the VM to be quarantined.
	VMFailureLimit = 3
	// JobFailureLimit is the number of different VMs, not counting quarantined
	// ones, on which a job has to fail for it to be considered faulty. The failures
	// of a faulty job no longer count against the VMs.
	JobFailureLimit = 3
	// MaxVMsPerJob is the number of different VMs, including quarantined ones, on
	// which a job has to fail for it to be considered faulty.
	MaxVMsPerJob = 6

	// defaultInitialDuration and defaultMaxDuration are the default bounds on the
	// time until a quarantined VM may be probed, which doubles with each failed
	// probe. The first is about the time that a worker needs to restart, the second
	// about the time after which an operator has looked at the VM.
	defaultInitialDuration = 30 * time.Second
	defaultMaxDuration     = 30 * time.Minute
)

// VM holds the failures on one VM, and the state of its quarantine and probes.
type VM struct {
	// FailedJobs holds the different jobs that failed on the VM since its last
	// success, at most the newest VMFailureLimit. A job that is considered faulty is
	// removed from it.
	FailedJobs []string
	// QuarantinedUntil is when the VM may be probed next; zero if it is not in
	// quarantine. The quarantine does not end at this time, but with the next success
	// on the VM.
	QuarantinedUntil time.Time
	// FailedAt is when the newest failure on the VM was recorded.
	FailedAt time.Time
	// ProbeJob is the job that probes the VM; empty if none does.
	ProbeJob string
	// FailedProbes counts the failed probes since the VM was quarantined. Any
	// failure after QuarantinedUntil counts as one, even if StartProbe was not
	// called.
	FailedProbes int
}

// State holds the failures of VMs and jobs. Create it with New.
type State struct {
	// VMs has an entry for each VM that is quarantined or has failures since its last
	// success, not counting those of faulty jobs.
	VMs map[string]VM
	// FailedVMsByJob maps each job that has failed, until ForgetJob is called for
	// it, to the different VMs on which it failed.
	FailedVMsByJob map[string][]string
	// InitialDuration and MaxDuration bound the time until a quarantined VM may be
	// probed, which doubles with each failed probe.
	InitialDuration, MaxDuration time.Duration
}

// Option configures a State in New.
type Option func(*State)

// WithDurations sets the times until a quarantined VM may be probed: first applies
// before the first probe, and longest is the maximum after failed probes.
func WithDurations(first, longest time.Duration) Option {
	return func(s *State) { s.InitialDuration, s.MaxDuration = first, longest }
}

// FailureResult is the state of the VM and the job after a failure.
type FailureResult struct {
	// Quarantined says that the VM is quarantined, now or already before the
	// failure. It may be probed from QuarantinedUntil on.
	Quarantined      bool
	QuarantinedUntil time.Time
	// JobFaulty says that the job is considered faulty. The caller should then end
	// the job with its own error instead of trying it on another VM.
	JobFaulty bool
}

// New returns a State without failures.
func New(options ...Option) *State {
	s := &State{VMs: map[string]VM{}, FailedVMsByJob: map[string][]string{}, InitialDuration: defaultInitialDuration, MaxDuration: defaultMaxDuration}
	for _, o := range options {
		o(s)
	}
	return s
}

// RecordFailure records that the job failed on the VM at the time now. It
// quarantines the VM if VMFailureLimit is reached, and postpones the next probe if
// the failure counts as a failed probe. If the job is then considered faulty, its
// failures are removed from all VMs.
func (s *State) RecordFailure(vm, job string, now time.Time) FailureResult {
	if !slices.Contains(s.FailedVMsByJob[job], vm) {
		s.FailedVMsByJob[job] = append(s.FailedVMsByJob[job], vm)
	}
	vmState := s.VMs[vm]
	vmState.FailedAt = now
	if !slices.Contains(vmState.FailedJobs, job) {
		vmState.FailedJobs = append(vmState.FailedJobs, job)
	}
	switch {
	case !vmState.QuarantinedUntil.IsZero():
		// Before QuarantinedUntil, failures of jobs other than ProbeJob come from
		// tasks that were placed before QuarantinedUntil was last set. They do not
		// postpone the next probe.
		if job == vmState.ProbeJob || !now.Before(vmState.QuarantinedUntil) {
			vmState.FailedProbes++
			vmState.ProbeJob, vmState.QuarantinedUntil = "", now.Add(s.duration(vmState.FailedProbes))
		}
	case len(vmState.FailedJobs) >= VMFailureLimit:
		vmState.QuarantinedUntil = now.Add(s.duration(0))
	}
	// VMFailureLimit jobs are enough to decide on a quarantine. Keeping no more
	// bounds the memory.
	vmState.FailedJobs = vmState.FailedJobs[max(0, len(vmState.FailedJobs)-VMFailureLimit):]
	s.VMs[vm] = vmState
	faulty := s.jobFaulty(job)
	if faulty {
		s.clearJobFailures(job)
	}
	until := s.QuarantinedUntil(vm)
	return FailureResult{Quarantined: !until.IsZero(), QuarantinedUntil: until, JobFaulty: faulty}
}

// duration returns the time until a quarantined VM may be probed after the given
// number of failed probes.
func (s *State) duration(failedProbes int) time.Duration {
	return min(s.MaxDuration, s.InitialDuration<<min(failedProbes, 10))
}

func (s *State) jobFaulty(job string) bool {
	failedHealthyVMs := 0
	for _, vm := range s.FailedVMsByJob[job] {
		if s.VMs[vm].QuarantinedUntil.IsZero() {
			failedHealthyVMs++
		}
	}
	return failedHealthyVMs >= JobFailureLimit || len(s.FailedVMsByJob[job]) >= MaxVMsPerJob
}

// clearJobFailures removes the failures of a faulty job from the VMs. It ends the
// quarantine of those VMs that have fewer than VMFailureLimit failed jobs left,
// unless a probe of the VM has failed.
func (s *State) clearJobFailures(job string) {
	for _, vm := range s.FailedVMsByJob[job] {
		vmState, ok := s.VMs[vm]
		if !ok {
			continue
		}
		vmState.FailedJobs = slices.DeleteFunc(slices.Clone(vmState.FailedJobs), func(j string) bool { return j == job })
		if vmState.FailedProbes == 0 && len(vmState.FailedJobs) < VMFailureLimit {
			vmState.QuarantinedUntil = time.Time{}
		}
		s.VMs[vm] = vmState
		if len(vmState.FailedJobs) == 0 && vmState.QuarantinedUntil.IsZero() {
			delete(s.VMs, vm)
		}
	}
}

// RecordSuccess records that a job succeeded on the VM. It clears the failures on
// the VM and ends its quarantine.
func (s *State) RecordSuccess(vm string) { delete(s.VMs, vm) }

// StartProbe records that the job was placed on a VM. If the VM is quarantined and
// its QuarantinedUntil has passed, the job becomes its probe. QuarantinedUntil is
// then set to a later time, so that no other job is placed on the VM before that
// time unless the probe succeeds.
func (s *State) StartProbe(vm, job string, now time.Time) {
	if vmState, ok := s.VMs[vm]; ok && !vmState.QuarantinedUntil.IsZero() && !now.Before(vmState.QuarantinedUntil) {
		vmState.ProbeJob, vmState.QuarantinedUntil = job, now.Add(s.duration(vmState.FailedProbes))
		s.VMs[vm] = vmState
	}
}

// QuarantinedUntil returns when the VM may be probed next, zero if it is not in
// quarantine. Callers place no job on the VM before that time.
func (s *State) QuarantinedUntil(vm string) time.Time { return s.VMs[vm].QuarantinedUntil }

// FailedVMs returns the set of VMs on which the job failed.
func (s *State) FailedVMs(job string) map[string]bool {
	failed := map[string]bool{}
	for _, vm := range s.FailedVMsByJob[job] {
		failed[vm] = true
	}
	return failed
}

// ForgetJob removes the failures of a job that has ended.
func (s *State) ForgetJob(job string) { delete(s.FailedVMsByJob, job) }

// ForgetVM removes the failures on a VM, which ends its quarantine. Callers use it
// for a VM that no longer exists, or whose agent or worker process has restarted.
func (s *State) ForgetVM(vm string) { delete(s.VMs, vm) }
