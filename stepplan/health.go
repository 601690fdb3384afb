package stepplan

import (
	"fmt"
	"time"
)

// Signs of runs that will not end in time.
const (
	// stallTime is the least time without progress after which a run counts as
	// stalled; progress is reported in whole percent every 0.4 s.
	stallTime = 1200 * time.Millisecond
	// stallPercents is how many percents a run may be behind its own pace
	// beyond that.
	stallPercents = 5
	// stalledPause is how long a VM with a stalled run takes no new work.
	stalledPause = 3 * time.Second
	// leaveMargin is left between the expected end of a run on a draining
	// worker and the worker's end.
	leaveMargin = 200 * time.Millisecond
	// knownProgress is the least progress, in percent, from which the end of a
	// run is extrapolated.
	knownProgress = 5
)

// remaining is about how long the run still takes.
func (b *Scheduler) remaining(t *Task, now time.Time) time.Duration {
	if t.Progress < knownProgress {
		return max(b.stepOf(t).Spec.Estimate-now.Sub(t.StartedAt), 0)
	}
	return t.ProgressAt.Sub(t.StartedAt) * time.Duration(100-t.Progress) / time.Duration(t.Progress)
}

// stalled reports whether the run has made no progress for longer than its
// pace explains.
func (b *Scheduler) stalled(t *Task, now time.Time) bool {
	s := b.stepOf(t)
	if s.Spec.LongRunning || t.Done || !t.Running || t.Progress >= 100 {
		return false
	}
	quiet := now.Sub(t.ProgressAt)
	if t.Progress == 0 {
		return quiet > stallTime+s.Spec.Estimate*stallPercents*stallPercents/100
	}
	pace := t.ProgressAt.Sub(t.StartedAt) / time.Duration(t.Progress)
	return quiet > stallTime+stallPercents*pace
}

// rescue ends runs that stand still, or that their worker will not live to
// finish, so that they start elsewhere.
func (b *Scheduler) rescue(vm *VM, now time.Time) {
	for _, t := range b.openOn(vm) {
		switch {
		case !t.StopRequestedAt.IsZero() || t.Done:
		case vm.Draining && now.Add(b.remaining(t, now)+leaveMargin).After(vm.DrainDeadline):
			b.giveUp(t, now, fmt.Sprintf("the worker leaves in %d ms", vm.DrainDeadline.Sub(now).Milliseconds()))
		case b.stalled(t, now):
			vm.UnhealthyUntil = now.Add(stalledPause)
			b.giveUp(t, now, fmt.Sprintf("no progress beyond %d%% for %d ms", t.Progress, now.Sub(t.ProgressAt).Milliseconds()))
		}
	}
}

// giveUp stops a run, and the other members of its gang with it.
func (b *Scheduler) giveUp(t *Task, now time.Time, reason string) {
	b.stop(t, now, reason)
	b.breakGang(t, now, reason)
}
