package stepplan

import (
	"strings"

	"celerypoint.example/celerypoint/worker"
)

// vmOf returns the part of an incarnation's name that identifies its VM, empty if the name
// has none.
func vmOf(incarnation string) string {
	if i := strings.LastIndex(incarnation, worker.VMSeparator); i >= 0 {
		return incarnation[i+1:]
	}
	return ""
}

// separateReplaced moves the active runs that the VM has on another VM than the one that
// reports. An agent with the name of another has replaced it, and the replaced VM may only
// be cut off, so that its runs go on until their leases expire.
func (sc *Scheduler) separateReplaced(vm *VM, r Report) {
	present := r.VM
	if r.WorkerPresent {
		present = vmOf(r.Worker)
	}
	for _, t := range sc.activeTasksOn(vm) {
		former := vmOf(t.Worker)
		if present == "" || former == "" || former == present {
			continue
		}
		replaced := sc.vm(vm.Agent + worker.VMSeparator + former)
		replaced.Replaced, replaced.LeaseUntil = true, later(replaced.LeaseUntil, vm.LeaseUntil)
		delete(vm.ActiveTasks, t.ID)
		vm.used = vm.used.Minus(t.needs)
		replaced.ActiveTasks[t.ID] = t
		replaced.used = replaced.used.Plus(t.needs)
		t.Agent = replaced.Agent
		sc.dirty[t.ID.Job] = true
		sc.addEvent(Event{Kind: "vmReplaced", Job: t.ID.Job, Task: t.ID.String(), Run: t.Run, VM: vm.Agent, Reason: "the run is on " + t.Worker + ", the agent reports from " + present})
	}
}
