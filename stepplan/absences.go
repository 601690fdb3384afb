package stepplan

import (
	"slices"
	"time"

	"celerypoint.example/celerypoint/stepfold"
	"celerypoint.example/celerypoint/steps"
	"celerypoint.example/celerypoint/worker"
)

// A run whose worker cannot be reached until its lease has expired is lost, and nothing
// shows yet whether the worker crashed or was only cut off. The loss is undecided until an
// agent reports the worker again: an answer of the same incarnation proves that the run did
// not crash it, and the end of the incarnation counts as a crash. A task whose losses would
// reach maxLosses if all undecided ones were crashes is not started until they are decided,
// so that it can neither crash further workers nor be given up for cut-offs. The end of an
// incarnation that its agent has not seen counts as such a crash at once.

// maxAbsence is how long after the loss of a run its worker counts as cut off. One that is
// out of reach for longer counts as crashed, since one that is lost for good never answers.
const maxAbsence = time.Minute

// absence is the loss of a run on a worker that could not be reached.
type absence struct {
	run int
	// agent and worker name the VM and the incarnation that had the run.
	agent, worker string
	// decideBy is when the worker counts as crashed if it has not answered by then.
	decideBy time.Time
	// crashed says that another incarnation has answered, or none by decideBy.
	crashed bool
}

// recordAbsence records the loss of a run of the task on the VM, whose worker cannot be
// reached.
func (sc *Scheduler) recordAbsence(vm *VM, t *Task, run int, incarnation string, now time.Time) {
	known := slices.ContainsFunc(t.absences, func(a absence) bool { return a.run == run })
	if known || t.Done || run <= t.outlivedThrough || sc.Jobs[t.ID.Job].Phase.Over() {
		return
	}
	t.absences = append(t.absences, absence{run: run, agent: vm.Agent, worker: incarnation, decideBy: now.Add(maxAbsence)})
	if vm.absentTasks == nil {
		vm.absentTasks = map[steps.TaskID]*Task{}
	}
	vm.absentTasks[t.ID] = t
	if t.undecided() {
		sc.addEvent(Event{Kind: "taskHeld", Job: t.ID.Job, Task: t.ID.String(), Run: run, VM: vm.Agent, Reason: t.lossCounts()})
	}
}

// recordUnexplainedEnd records the loss of the task's run in an end of its worker that the
// agent has not seen, because it was restarted as well. The worker may have crashed, or its
// VM may have lost power. It counts like the crash of a worker that was out of reach.
func (sc *Scheduler) recordUnexplainedEnd(vm *VM, t *Task, now time.Time) {
	if t.Done || t.Run <= t.outlivedThrough || sc.Jobs[t.ID.Job].Phase.Over() || slices.ContainsFunc(t.absences, func(a absence) bool { return a.run == t.Run }) {
		return
	}
	t.absences = append(t.absences, absence{run: t.Run, agent: vm.Agent, worker: t.Worker, crashed: true})
	t.extendLost()
	sc.giveUpIfBlamed(vm, t, now)
}

// extendLost makes lostFrom and lostAt those of the present run if it lasted longer.
func (t *Task) extendLost() {
	if age := t.ProgressAt.Sub(t.StartedAt); t.lostAt.Sub(t.lostFrom) < age {
		t.lostFrom, t.lostAt = t.StartedAt, t.ProgressAt
	}
}

// recordUnreachableRuns records the absences that an earlier planner knew: the agent of a
// worker that cannot be reached goes on listing the runs that it last had.
func (sc *Scheduler) recordUnreachableRuns(vm *VM, r Report, now time.Time) {
	for _, listed := range r.Running {
		id, err := steps.ParseTaskID(listed.Task)
		if err != nil {
			continue
		}
		_, _, t := sc.findTask(id)
		if t == nil || listed.Number > t.Run || t.Active && listed.Number == t.Run {
			continue
		}
		sc.recordAbsence(vm, t, listed.Number, r.Worker, now)
	}
}

// decideAbsences decides the absences on the VM from the report of an agent whose worker
// answers.
func (sc *Scheduler) decideAbsences(vm *VM, r Report, now time.Time) {
	for id, t := range vm.absentTasks {
		t.absences = slices.DeleteFunc(t.absences, func(a absence) bool { return a.agent == vm.Agent && refuted(a, t.ID, r) })
		for i := range t.absences {
			if a := &t.absences[i]; a.agent == vm.Agent && vmOf(a.worker) == vmOf(r.Worker) {
				a.crashed = true
			}
		}
		delete(vm.absentTasks, id)
		sc.giveUpIfBlamed(vm, t, now)
	}
}

// refuted reports whether the report proves that the run of the task did not crash its
// worker: the same incarnation answers, or it ended in another way or without the run.
func refuted(a absence, id steps.TaskID, r Report) bool {
	if a.worker == r.Worker {
		return true
	}
	for _, f := range r.Former {
		if f.Worker == a.worker {
			return f.End != worker.IncarnationCrashed ||
				!slices.ContainsFunc(f.Running, func(run FormerRun) bool { return run.Task == id.String() && run.Number == a.run })
		}
	}
	return false
}

// expireAbsences takes the workers for crashed that have not answered in time. An answer of
// such a worker still refutes that.
func (sc *Scheduler) expireAbsences(vm *VM, now time.Time) {
	for id, t := range vm.absentTasks {
		if j := sc.Jobs[id.Job]; j == nil || j.Phase.Over() || t.Done {
			delete(vm.absentTasks, id)
			continue
		}
		for i := range t.absences {
			if a := &t.absences[i]; a.agent == vm.Agent && !now.Before(a.decideBy) {
				a.crashed = true
			}
		}
		sc.giveUpIfBlamed(vm, t, now)
	}
}

// giveUpIfBlamed fails the job of a task that is to blame for its losses, the newest of
// which was decided on the VM.
func (sc *Scheduler) giveUpIfBlamed(vm *VM, t *Task, now time.Time) {
	j := sc.Jobs[t.ID.Job]
	if j == nil || j.Phase.Over() || t.Done || !t.blamed() {
		return
	}
	sc.addEvent(Event{Kind: "taskGivenUp", Job: t.ID.Job, Task: t.ID.String(), Run: t.Run, VM: vm.Agent, Reason: t.lossCounts()})
	sc.endJob(j, stepfold.PhaseFailed, now)
}

// absenceCounts is the number of absences that count as crashes, and of those that are
// undecided, leaving out runs that are known to be lost in a crash.
func (t *Task) absenceCounts() (crashed, undecided int) {
	for _, a := range t.absences {
		switch {
		case slices.Contains(t.Crashes.Runs[:], a.run) || slices.Contains(t.possibleCrashes, a.run):
		case a.crashed:
			crashed++
		default:
			undecided++
		}
	}
	return crashed, undecided
}

// undecided reports whether the task would be blamed if all its undecided absences were
// crashes. It is not started meanwhile.
func (t *Task) undecided() bool {
	if len(t.absences) == 0 {
		return false
	}
	_, n := t.absenceCounts()
	return !t.blamed() && t.losses()+n >= maxLosses
}
