// Package gang is the state machine of one attempt to run all tasks of a job at
// the same time on one or more VMs. The attempt reserves accelerators on every
// VM, appends a commit record to the log, starts the tasks, and renews their
// leases as long as every member confirms that it runs. The attempt ends when all
// tasks have answered. If a task fails or stops, the attempt releases all VMs.
// Step takes an attempt, an event and a time, and returns the next attempt and the
// orders that the caller has to carry out. The package owns no state and takes no
// lock.
//
// The planner is the entry process that makes the attempts. When another entry
// process takes over as planner, it gets a higher term and takes over the
// committed attempts. An agent is the process that runs tasks on a VM, and a
// member is the part of an attempt on one VM.
package gang
