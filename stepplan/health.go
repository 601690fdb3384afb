package stepplan

import (
	"fmt"
	"time"
)

// Limits for the detection of runs that are not expected to finish on their VM.
const (
	// stallTimeout is the minimum time without progress after which a run counts
	// as stalled. Progress is reported in whole percent every 0.4 s.
	stallTimeout = 1200 * time.Millisecond
	// stallTolerancePercent extends stallTimeout by the time that the run has
	// needed on average for this many percent of progress.
	stallTolerancePercent = 5
	// stalledVMBackoff is how long no new task is started on a VM with a stalled
	// run.
	stalledVMBackoff = 3 * time.Second
	// drainMargin is the minimum time between the expected end of a run and the
	// drain deadline of its VM.
	drainMargin = 200 * time.Millisecond
	// minProgressForForecast is the progress, in percent, from which on the
	// remaining time of a run is extrapolated from its progress so far.
	minProgressForForecast = 5
)

// observedRate returns how much progress the run has made, in percent, in which time. Both are
// 0 while that is not known.
func (t *Task) observedRate() (elapsed time.Duration, progress int) {
	switch {
	case !t.resumed:
		return t.ProgressAt.Sub(t.StartedAt), t.Progress
	case t.rateFrom.IsZero():
		return 0, 0
	}
	return t.ProgressAt.Sub(t.rateFrom), t.Progress - t.rateFromProgress
}

// recordProgress records a higher progress of the run. The first progress of a resumed run
// that is reported was made before, and the time of its first increase ends an interval of
// unknown length, so that its rate counts from that increase on.
func (t *Task) recordProgress(progress int, now time.Time) {
	if t.resumed && t.Progress > 0 && t.rateFrom.IsZero() {
		t.rateFrom, t.rateFromProgress = now, progress
	}
	t.Progress, t.ProgressAt = progress, now
}

// remainingTime estimates how long the task's run still takes, from its progress or, while
// less than minProgressForForecast is known, from the caller's estimate.
func (sc *Scheduler) remainingTime(t *Task, now time.Time) time.Duration {
	estimate := sc.stepOf(t).Spec.Estimate
	elapsed, progress := t.observedRate()
	switch {
	case progress >= minProgressForForecast:
		return elapsed * time.Duration(100-t.Progress) / time.Duration(progress)
	case t.resumed:
		return estimate * time.Duration(100-t.Progress) / 100
	}
	return max(estimate-now.Sub(t.StartedAt), 0)
}

// stalled reports whether the task's run has made no progress for longer than its
// average rate of progress explains. While that is not known it adds to
// stallTimeout a quarter of the caller's estimate: stallTolerancePercent percent of
// it, stallTolerancePercent times. A run that is not known to have started, has
// reached 100 % or belongs to a long-running step is never stalled.
func (sc *Scheduler) stalled(t *Task, now time.Time) bool {
	s := sc.stepOf(t)
	if s.Spec.LongRunning || t.Done || !t.Running || t.Progress >= 100 {
		return false
	}
	sinceProgress := now.Sub(later(t.ProgressAt, t.StallFrom))
	elapsed, progress := t.observedRate()
	if progress == 0 {
		return sinceProgress > stallTimeout+s.Spec.Estimate*stallTolerancePercent*stallTolerancePercent/100
	}
	return sinceProgress > stallTimeout+stallTolerancePercent*elapsed/time.Duration(progress)
}

// stopUnfinishableRuns stops the runs on the VM that are stalled, or that may not
// finish before their draining worker exits, so that their tasks start elsewhere.
func (sc *Scheduler) stopUnfinishableRuns(vm *VM, now time.Time) {
	for _, t := range sc.activeTasksOn(vm) {
		switch {
		case !t.StopRequestedAt.IsZero() || t.Done:
		case vm.Draining && now.Add(sc.remainingTime(t, now)+drainMargin).After(vm.DrainDeadline):
			sc.stopRunAndGang(t, now, fmt.Sprintf("the draining worker may exit in %d ms", vm.DrainDeadline.Sub(now).Milliseconds()))
		case sc.stalled(t, now):
			vm.UnhealthyUntil = now.Add(stalledVMBackoff)
			sc.stopRunAndGang(t, now, fmt.Sprintf("stalled at %d%% progress for %d ms", t.Progress, now.Sub(t.ProgressAt).Milliseconds()))
		}
	}
}

// stopRunAndGang requests that the task's active run stop and, if the task belongs
// to a gang, also the other members' active runs with the same run number.
func (sc *Scheduler) stopRunAndGang(t *Task, now time.Time, reason string) {
	sc.requestStop(t, now, reason)
	sc.stopOtherMembers(t, now, reason)
}
