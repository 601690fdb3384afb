// Package gang is the state machine of one attempt to run all tasks of a job at
// the same time on one or more VMs. The attempt reserves accelerators on every
// VM, commits in the log, starts the tasks, renews their leases as long as every
// member confirms that it runs, and releases them. Step takes an attempt, an
// event and a time, and returns the next attempt and the orders that the caller
// has to carry out. The package owns no state and takes no lock.
//
// The planner is the entry process that makes the attempts. When another entry
// process takes over as planner, it gets a higher term. An agent is the process
// that runs tasks on a VM, and a member is the part of an attempt on one VM.
package gang
