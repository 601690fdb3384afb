package stepplan

import (
	"fmt"
	"slices"
	"time"

	"celerypoint.example/celerypoint/crashes"
	"celerypoint.example/celerypoint/stepfold"
	"celerypoint.example/celerypoint/steps"
)

// A task that has lost a run in a crash of its worker is a suspect (see package
// crashes): either it has crashed the worker, or it only ran beside the cause. Where there
// is room, suspects of the same crash do not start beside each other, so that the next
// crash tells them apart, nor where they have lost a run. None of them waits for that,
// because most crashes have other causes. A task with more than one crash begins alone on a
// VM, where a further crash hits nothing else and shows the cause. A task stays a suspect
// until a run outlives the lost ones.

// isolationWait is how long a task with more than one crash waits for an empty VM, and then
// for a VM without another suspect. A task may wait 3 s for its next run while there is
// capacity.
const isolationWait = 1200 * time.Millisecond

// maxIsolation is how long a VM is kept from all other work for a task with more than one
// crash. Then other units may start there if they fit nowhere else.
const maxIsolation = 2 * time.Second

// maxLosses is the number of workers that may crash under a task, crash before they answer its
// start order, or not come back after their leases have expired, before its job fails. An
// order that is not answered mostly did not arrive, and a worker that does not come back may
// have ended for another reason, so that it takes more of these losses than of crashes. The
// platform allows less than three starts after three crashes.
const maxLosses = crashes.MaxLosses

// recordCrash counts the crash of a worker's incarnation against the task of one of its
// runs, and fails the job of a task that is to blame for its crashes.
func (sc *Scheduler) recordCrash(vm *VM, former string, r FormerRun, now time.Time) {
	id, err := steps.ParseTaskID(r.Task)
	if err != nil {
		return
	}
	j, s, t := sc.findTask(id)
	if t == nil || t.Done || r.Number > t.Run || j.Phase.Over() {
		return
	}
	if slices.ContainsFunc(t.absences, func(a absence) bool { return a.run == r.Number }) {
		// The worker was out of reach for a lease before it crashed, and the run may have ended
		// at any time of it. decideAbsences counts the loss.
		return
	}
	// The agent may not have heard of the run for some time, and of its end neither.
	mayHaveEnded := !s.Spec.LongRunning && s.Spec.Estimate > 0 && r.Age >= s.Spec.Estimate
	if !t.addCrash(r, r.Unanswered || mayHaveEnded) {
		return
	}
	t.lostWith = former
	if t.crashCount() > 1 {
		sc.severalCrashes[t.ID] = t
	}
	if t.lostAt.Sub(t.lostFrom) < r.Age {
		t.lostFrom, t.lostAt = now.Add(-r.Age), now
	}
	t.failedOn(vm)
	sc.dirty[id.Job] = true
	kind := "taskSuspected"
	if t.blamed() {
		kind = "taskGivenUp"
	}
	sc.addEvent(Event{Kind: kind, Job: id.Job, Task: r.Task, Run: r.Number, VM: vm.Agent, Reason: fmt.Sprintf("%s, the run lasted %d ms, start answered: %t", t.lossCounts(), r.Age.Milliseconds(), !r.Unanswered)})
	if t.blamed() {
		sc.endJob(j, stepfold.PhaseFailed, now)
	}
}

// failedOn records that a run of the task failed or was lost in a crash on the VM.
func (t *Task) failedOn(vm *VM) {
	if !slices.Contains(t.FailedOn, vm.Agent) {
		t.FailedOn = append(t.FailedOn, vm.Agent)
	}
}

// addCrash records that a run was lost in a crash, and reports whether that is new. possible
// says that the run may not have been in progress then.
func (t *Task) addCrash(r FormerRun, possible bool) bool {
	if !possible {
		counted := t.Crashes.Add(r.Number)
		changed := counted != t.Crashes
		t.Crashes = counted
		t.possibleCrashes = slices.DeleteFunc(t.possibleCrashes, func(run int) bool { return run == r.Number })
		return changed
	}
	if r.Number <= t.Crashes.ClearedThrough || slices.Contains(t.possibleCrashes, r.Number) || slices.Contains(t.Crashes.Runs[:], r.Number) {
		return false
	}
	t.possibleCrashes = append(t.possibleCrashes, r.Number)
	slices.Sort(t.possibleCrashes)
	return true
}

// crashCount is the number of crashes that the task may have caused.
func (t *Task) crashCount() int { return t.Crashes.Count() + len(t.possibleCrashes) }

// suspect reports whether the task may be the cause of a crash.
func (t *Task) suspect() bool { return t.crashCount() > 0 }

// losses is the number of runs that were lost in crashes, in possible ones and in absences
// that count as crashes.
func (t *Task) losses() int {
	crashed, _ := t.absenceCounts()
	return t.crashCount() + crashed
}

// blamed reports whether the task is taken for the cause of its losses.
func (t *Task) blamed() bool { return t.Crashes.Blamed() || t.losses() >= maxLosses }

// lossCounts describes the losses of the task for a log line.
func (t *Task) lossCounts() string {
	absent, undecided := t.absenceCounts()
	return fmt.Sprintf("%s: crashes=%d, unanswered=%d, absences=%d, undecided=%d", crashes.Rule, t.Crashes.Count(), len(t.possibleCrashes), absent, undecided)
}

// clearIfOutlived drops the suspicion against a task whose run was at work at the time, at
// an age at which no earlier run was still there.
func (sc *Scheduler) clearIfOutlived(t *Task, at time.Time) {
	lost := t.lostAt.Sub(t.lostFrom)
	if !t.suspect() && len(t.absences) == 0 || !crashes.Outlives(at.Sub(t.StartedAt), lost) {
		return
	}
	t.absences, t.outlivedThrough = nil, t.Run
	if !t.suspect() {
		return
	}
	t.possibleCrashes = nil
	t.Crashes = t.Crashes.Clear(t.Run)
	sc.dirty[t.ID.Job] = true
	sc.addEvent(Event{Kind: "taskCleared", Job: t.ID.Job, Task: t.ID.String(), Run: t.Run, VM: t.Agent, Reason: fmt.Sprintf("ageMs=%d", at.Sub(t.StartedAt).Milliseconds())})
}

// isolatedVMs maps the agents of the VMs that run a task with more than one crash and
// nothing but its gang, so that other work is to be placed elsewhere, to the time from which
// they have done so.
func (sc *Scheduler) isolatedVMs() map[string]time.Time {
	isolated := map[string]time.Time{}
	for id, t := range sc.severalCrashes {
		j := sc.Jobs[id.Job]
		switch {
		case j == nil || j.Phase.Over() || t.Done || t.crashCount() < 2:
			delete(sc.severalCrashes, id)
		case t.Active && sc.runsOnlyUnitOf(sc.VMs[t.Agent], t):
			isolated[t.Agent] = later(isolated[t.Agent], t.StartedAt)
		}
	}
	return isolated
}

// runsOnlyUnitOf reports whether the VM runs nothing but the task and members of its gang.
func (sc *Scheduler) runsOnlyUnitOf(vm *VM, t *Task) bool {
	s := sc.stepOf(t)
	for _, other := range vm.ActiveTasks {
		if other != t && !(s.Spec.Gang && sc.stepOf(other) == s) {
			return false
		}
	}
	return true
}

// hasFellowSuspect reports whether the VM runs a suspect of another unit that the task has
// to be told from: one of the same crash, or any if the task has more than one crash.
func (p *pass) hasFellowSuspect(vm *VM, u unit, t *Task) bool {
	for _, other := range vm.ActiveTasks {
		fellow := t.crashCount() > 1 || other.lostWith == t.lostWith && t.lostWith != ""
		if fellow && other.suspect() && p.scheduler.stepOf(other) != u.step {
			return true
		}
	}
	return false
}

// maxCrashes is the largest number of crashes that count against a task of the unit.
func (u unit) maxCrashes() int {
	most := 0
	for _, t := range u.tasks {
		most = max(most, t.crashCount())
	}
	return most
}

// separation is what keeps a suspect from other work.
type separation string

const (
	// separationNone allows a suspect everywhere.
	separationNone separation = "none"
	// separationSuspects keeps it from suspects of the same crash and, if the task has not
	// failed everywhere, from VMs where it has failed.
	separationSuspects separation = "suspects"
	// separationAll keeps it from all other units.
	separationAll separation = "all"
)

// permits reports whether the task of the unit may run on the VM.
func (p *pass) permits(u unit, t *Task, vm *VM, s separation) bool {
	if s == separationNone || !t.suspect() {
		return true
	}
	failedHere := len(t.FailedOn) < len(p.usable) && slices.Contains(t.FailedOn, vm.Agent)
	if failedHere || p.hasFellowSuspect(vm, u, t) {
		return false
	}
	return s == separationSuspects || t.crashCount() == 1 || len(vm.ActiveTasks) == 0 && vm.free == vm.Capacity
}

// separations lists the separations to try for the unit, in order.
func (p *pass) separations(u unit) []separation {
	most := u.maxCrashes()
	if most == 0 {
		return []separation{separationNone}
	}
	if most == 1 {
		return []separation{separationSuspects, separationNone}
	}
	waited := p.now.Sub(u.waitingSince)
	all := []separation{separationAll}
	if waited >= isolationWait {
		all = append(all, separationSuspects)
	}
	if waited >= 2*isolationWait {
		all = append(all, separationNone)
	}
	return all
}

// waitsForEmptyVM reports whether a unit that has found no place has to be alone.
func (p *pass) waitsForEmptyVM(u unit) bool {
	return u.maxCrashes() > 1 && p.now.Sub(u.waitingSince) < isolationWait
}

// isolate begins the isolation of the VMs of the unit's tasks with more than one crash.
func (p *pass) isolate(u unit, vms []*VM) {
	for i, t := range u.tasks {
		if t.crashCount() > 1 {
			p.isolatedSince[vms[i].Agent] = p.now
		}
	}
}

// nextEmptyVM is the VM that is expected to be empty first among those that the unit may
// run on. It returns nil if one is already held back.
func (p *pass) nextEmptyVM(u unit) *VM {
	if p.heldBack {
		return nil
	}
	var best *VM
	var bestEnd time.Duration
	for _, vm := range p.allowedVMs(u) {
		if vm.free.GPUs < 0 || slices.ContainsFunc(u.tasks, func(t *Task) bool { return p.hasFellowSuspect(vm, u, t) }) {
			continue
		}
		end := time.Duration(0)
		for _, t := range vm.ActiveTasks {
			end = max(end, p.scheduler.remainingTime(t, p.now))
		}
		if best == nil || end < bestEnd {
			best, bestEnd = vm, end
		}
	}
	return best
}
