package stepplan

import (
	"fmt"
	"runtime/debug"
)

// maxStackBytes bounds the stack in the event of a job that is set aside.
const maxStackBytes = 2000

// guard calls f, which decides about the job and changes nothing. If f panics, guard sets
// the job aside and reports false: the planner goes on with the other jobs, instead of
// ending, and after it each of its successors, which restore the same job.
func (sc *Scheduler) guard(j *Job, f func()) (ok bool) {
	defer func() {
		v := recover()
		if v == nil {
			return
		}
		ok, j.SetAside = false, true
		stack := debug.Stack()
		sc.addEvent(Event{Kind: "jobSetAside", Job: j.Spec.ID, Reason: fmt.Sprintf("unexpected error: %v: %s", v, stack[:min(len(stack), maxStackBytes)])})
	}()
	f()
	return true
}
