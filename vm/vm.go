// Package vm describes a VM that runs work, as the scheduler sees it: what its
// agent announced and what is placed on it. It owns no state and takes no lock.
package vm

import "time"

// VM is what an agent announces about its VM. It does not change while the
// agent process runs.
type VM struct {
	// ID is unique among all VMs.
	ID string
	// BootID changes each time the agent process starts.
	BootID string
	Zone   string
	Rack   string
	Region string
	// Labels are the labels from the agent's settings. Operators can add to them
	// in the configuration; see View.EffectiveLabels.
	Labels map[string]string
	// Accelerators is the number of accelerators, at least 0.
	Accelerators int
	// Slots is the number of tasks that may run at once, at least 1. Some urgent
	// short tasks may run in addition; see ledger.Ledger.ExtraSlots.
	Slots int
	// Connections is the maximum number of short requests that one entry process
	// has in flight to the VM, and also the maximum number of short tasks that
	// wait in the agent's queue. A short request is urgent, idempotent and has
	// one task, called a short task.
	Connections int
	// CPUs is the number of processor cores of the VM, and MemoryMB its memory in
	// MiB.
	CPUs     int
	MemoryMB int
}

// Holding is what one attempt to run a job holds on a VM, either only reserved
// or in use by its tasks.
type Holding struct {
	JobID   string
	Attempt string
	Org     string
	// Tasks is the number of tasks on this VM, at least 1.
	Tasks int
	// Accelerators is the number of accelerators of all tasks on this VM. It
	// includes accelerators that are lent to urgent work, and excludes
	// accelerators that the tasks use on loan.
	Accelerators int
	// Preemptible says that the agent may evict the tasks, so that another
	// organisation can reclaim accelerators that they borrow.
	Preemptible bool
	// Running is false while the holding is only reserved.
	Running bool
	// Throttled says that the tasks are paused while their accelerators are lent
	// to urgent work.
	Throttled bool
	// StartedAt is zero while the holding is only reserved.
	StartedAt time.Time
}

// View is what an entry process knows about a VM.
type View struct {
	VM
	// EffectiveLabels are the labels that selectors are matched against: the ID
	// and location of the VM, its Labels, and the labels that operators set in
	// the configuration, of which the later override the earlier.
	EffectiveLabels map[string]string
	// Holdings are the holdings of all attempts on the VM: those that its agent
	// announced last, and those of this entry process's own attempts that no
	// announcement shows yet.
	Holdings []Holding
	// Draining says that the VM accepts no new work, because an operator drains
	// it or its agent is shutting down.
	Draining bool
	// Lost says that the agent's next announcement did not arrive in time.
	Lost bool
	// QuarantinedUntil is the end of the VM's quarantine period. From then on the
	// VM gets only one task at a time, as a probe, until one succeeds. Zero if
	// the VM is not quarantined and needs no probe.
	QuarantinedUntil time.Time
	// LastSeen is when the newest announcement arrived.
	LastSeen time.Time
}

// FreeAccelerators returns the number of accelerators that no holding has. It is
// negative if the holdings have more than the VM.
func (v View) FreeAccelerators() int {
	n := v.Accelerators
	for _, h := range v.Holdings {
		n -= h.Accelerators
	}
	return n
}

// FreeSlots returns the number of slots that no holding has. It is negative if
// the holdings have more tasks than the VM has slots, for example because urgent
// short tasks run in addition.
func (v View) FreeSlots() int {
	n := v.Slots
	for _, h := range v.Holdings {
		n -= h.Tasks
	}
	return n
}

// Usable reports whether new work may be placed on the VM at the given time. If
// QuarantinedUntil is set and has passed, that work may only be a probe.
func (v View) Usable(now time.Time) bool {
	return !v.Draining && !v.Lost && !now.Before(v.QuarantinedUntil)
}
