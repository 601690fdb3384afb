// Package entryd implements the daemon that runs on an entry VM. An entry accepts
// jobs from callers and configuration changes from operators. One entry of each
// region is the planner: it decides which VMs run the waiting jobs of the region,
// and sends orders to the agents of these VMs, such as to reserve accelerators or
// to start tasks. An agent is the process that runs the tasks on its VM. It
// announces the VM to the entries periodically. The peers of an entry are the
// other entries.
//
// Entries share two streams of the platform's log, one of configuration records
// and one of job records. Every entry applies the records of both in the order
// of their offsets. An attempt is one try to run a recorded job; its part on one VM
// is a member. The tasks of an attempt start only after the attempt was committed,
// which means that the log has a valid commit record of it. A short request is a
// job that is urgent and idempotent and has a single task; it is not recorded in
// the log, and the entry that accepted it sends it to an agent directly.
//
// State: the configuration, the live peers, what is known of the VMs, and the
// jobs. Everything except short requests can be rebuilt from the log and from
// the announcements of the agents.
//
// Concurrency: socket callbacks only decode messages and queue them. The work
// runs on a pool of workers over the shared tables. A second pool runs the work
// that waits for the log, so that a log outage does not delay orders. One
// goroutine waits on a ticker and submits the periodic work to the first pool. Two
// more read the streams of the log and apply the records.
//
// Lock order: config, peers, vms, jobs. A lock may be taken while holding an
// earlier one, never a later one. No lock is held during a call to another
// process or while orders are executed.
package entryd
