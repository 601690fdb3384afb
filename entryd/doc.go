// Package entryd is the daemon of an entry VM. It takes requests of callers and
// changes of operators, plans the jobs of its region when it is the region's
// planner, and sends orders to agents.
//
// State: the folded configuration, the live peers, the view of the VMs, and
// the jobs. Everything but short idempotent requests can be rebuilt from the
// platform's log and from what agents announce.
//
// Concurrency: socket callbacks only decode and queue. Work runs on a pool
// over the shared tables; a second pool runs what waits for the log, so that a
// log outage does not hold up orders. One goroutine turns time into work: it
// waits on a ticker and submits due tasks.
//
// Lock order: config, peers, vms, jobs. A lock may be taken while holding an
// earlier one, never a later one. No lock is held during a call to another
// process or while carrying out orders.
package entryd
