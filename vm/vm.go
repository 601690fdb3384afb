// Package vm holds a target VM as the scheduler sees it: what its agent
// announced and what is placed on it. It owns no state and takes no lock.
package vm

import "time"

// VM is what an agent announces about its machine. It does not change while
// the agent's process lives.
type VM struct {
	// ID is unique over all VMs.
	ID string
	// BootID changes each time the agent's process starts.
	BootID string
	Zone   string
	Rack   string
	Region string
	// Labels come from the agent's settings; operators add to them in the
	// configuration.
	Labels map[string]string
	// Accelerators is the number of accelerators, at least 0.
	Accelerators int
	// Slots bounds the tasks that run at once, at least 1.
	Slots int
	// Connections bounds the requests in flight between entries and the VM.
	Connections int
	CPUs        int
	MemoryMB    int
}

// Holding is one attempt's part on a VM: reserved or running.
type Holding struct {
	JobID   string
	Attempt string
	Org     string
	// Tasks is the number of tasks on this VM, at least 1.
	Tasks int
	// Accelerators is the sum over the tasks on this VM.
	Accelerators int
	// Preemptible says that the holding may be reclaimed.
	Preemptible bool
	// Running is false while it is only reserved.
	Running bool
	// Throttled says that its accelerators are lent to urgent work.
	Throttled bool
	// StartedAt is zero while it is only reserved.
	StartedAt time.Time
}

// View is what an entry knows of a VM.
type View struct {
	VM
	// Labels are the VM's own labels with the operator's on top.
	EffectiveLabels map[string]string
	// Holdings are all attempts on the VM, as last announced or granted.
	Holdings []Holding
	// Draining says that the VM takes no new work: an operator drains it, or
	// its agent is leaving.
	Draining bool
	// Lost says that no announcement came before the deadline.
	Lost bool
	// QuarantinedUntil is zero when the VM is trusted.
	QuarantinedUntil time.Time
	// LastSeen is when the newest announcement came.
	LastSeen time.Time
}

// FreeAccelerators is what no holding uses.
func (v View) FreeAccelerators() int {
	n := v.Accelerators
	for _, h := range v.Holdings {
		n -= h.Accelerators
	}
	return n
}

// FreeSlots is the number of tasks that can still start.
func (v View) FreeSlots() int {
	n := v.Slots
	for _, h := range v.Holdings {
		n -= h.Tasks
	}
	return n
}

// Usable reports whether new work may be placed on the VM at the time.
func (v View) Usable(now time.Time) bool {
	return !v.Draining && !v.Lost && !now.Before(v.QuarantinedUntil)
}
