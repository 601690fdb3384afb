package job

import (
	"time"

	"celerypoint.example/celerypoint/outcome"
)

// Phase is the phase of a job as shown to callers.
type Phase string

// The phases of a job.
const (
	PhaseWaiting  Phase = "waiting"
	PhaseStarting Phase = "starting"
	PhaseRunning  Phase = "running"
	PhaseEnded    Phase = "ended"
)

// View is the state of a job as shown to callers.
type View struct {
	ID    string
	Org   string
	Phase Phase
	// VMs are the IDs of the VMs of the newest attempt to run the job. It is empty
	// while a recorded job waits.
	VMs        []string
	AcceptedAt time.Time
	// StartedAt is when the newest attempt started, or zero if it has not.
	StartedAt time.Time
	// EndedAt is zero until PhaseEnded.
	EndedAt time.Time
	// WaitsFor states why the job waits, beginning with the name of the rule that
	// makes it wait. It is empty if the entry process does not know the reason.
	WaitsFor string
	// Outcome is nil until PhaseEnded.
	Outcome outcome.Outcome
}
