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

// remainingTime estimates how long the task's run still takes, from its progress
// or, below minProgressForForecast, from the caller's estimate.
func (sc *Scheduler) remainingTime(t *Task, now time.Time) time.Duration {
	if t.Progress < minProgressForForecast {
		return max(sc.stepOf(t).Spec.Estimate-now.Sub(t.StartedAt), 0)
	}
	return t.ProgressAt.Sub(t.StartedAt) * time.Duration(100-t.Progress) / time.Duration(t.Progress)
}

// stalled reports whether the task's run has made no progress for longer than its
// average rate of progress explains. Before the first progress it adds to
// stallTimeout a quarter of the caller's estimate: stallTolerancePercent percent of
// it, stallTolerancePercent times. A run that is not known to have started, has
// reached 100 % or belongs to a long-running step is never stalled.
func (sc *Scheduler) stalled(t *Task, now time.Time) bool {
	s := sc.stepOf(t)
	if s.Spec.LongRunning || t.Done || !t.Running || t.Progress >= 100 {
		return false
	}
	sinceProgress := now.Sub(later(t.ProgressAt, t.StallFrom))
	if t.Progress == 0 {
		return sinceProgress > stallTimeout+s.Spec.Estimate*stallTolerancePercent*stallTolerancePercent/100
	}
	timePerPercent := t.ProgressAt.Sub(t.StartedAt) / time.Duration(t.Progress)
	return sinceProgress > stallTimeout+stallTolerancePercent*timePerPercent
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
