package stepplan

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"celerypoint.example/celerypoint/steps"
	"celerypoint.example/celerypoint/worker"
)

// handleFormer applies what an agent reports about the incarnations of its worker that
// have ended. Agents repeat it in several reports.
func (sc *Scheduler) handleFormer(vm *VM, former []FormerWorker, now time.Time) {
	reported := vm.FormerWorkers
	vm.FormerWorkers = nil
	for _, f := range former {
		vm.FormerWorkers = append(vm.FormerWorkers, f.Worker)
		if !slices.Contains(reported, f.Worker) {
			sc.addEvent(formerEvent(vm, f))
		}
		for _, e := range f.Ended {
			if e.Reason != worker.EndDone && vm.runsIn(e.Run) != f.Worker {
				// The run has ended before, or a later incarnation repeats it.
				continue
			}
			sc.applyEnd(vm, e, now)
		}
		for _, t := range sc.activeTasksOn(vm) {
			if t.Worker == f.Worker {
				sc.markLost(t, now, lossReason(f, t))
			}
		}
		for _, r := range f.Running {
			sc.recordFormerStarted(r)
		}
		if f.End == worker.IncarnationCrashed {
			for _, r := range f.Running {
				sc.recordCrash(vm, f.Worker, r, now)
			}
		}
	}
}

// runsIn is the incarnation of the VM's worker that has the active run, empty if none has.
func (vm *VM) runsIn(r worker.Run) string {
	id, err := steps.ParseTaskID(r.Task)
	if err != nil {
		return ""
	}
	t := vm.ActiveTasks[id]
	if t == nil || t.Run != r.Number {
		return ""
	}
	return t.Worker
}

// formerEvent is the event for an incarnation that has not been reported before.
func formerEvent(vm *VM, f FormerWorker) Event {
	kind := "workerCrashed"
	if f.End == worker.IncarnationLeft {
		kind = "workerLeft"
	}
	running := make([]string, 0, len(f.Running))
	for _, r := range f.Running {
		running = append(running, fmt.Sprintf("%s/%d after %d ms", r.Task, r.Number, r.Age.Milliseconds()))
	}
	return Event{Kind: kind, VM: vm.Agent, Reason: fmt.Sprintf("worker=%s running=[%s]", f.Worker, strings.Join(running, ", "))}
}

// lossReason is the reason for the loss of the task's run with its worker.
func lossReason(f FormerWorker, t *Task) string {
	inProgress := slices.ContainsFunc(f.Running, func(r FormerRun) bool { return r.Task == t.ID.String() && r.Number == t.Run })
	switch {
	case !inProgress:
		return "the worker ended before the start order was sent"
	case f.End == worker.IncarnationLeft:
		return "the worker left"
	}
	return "the worker crashed"
}
