package job

import (
	"time"

	"celerypoint.example/celerypoint/outcome"
)

// Phase is where a job is, as callers see it.
type Phase string

// The phases of a job.
const (
	PhaseWaiting  Phase = "waiting"
	PhaseStarting Phase = "starting"
	PhaseRunning  Phase = "running"
	PhaseEnded    Phase = "ended"
)

// View is what a caller learns of a job.
type View struct {
	ID    string
	Org   string
	Phase Phase
	// VMs are the VMs of the newest attempt.
	VMs        []string
	AcceptedAt time.Time
	// StartedAt is zero until the newest attempt started.
	StartedAt time.Time
	// EndedAt is zero until PhaseEnded.
	EndedAt time.Time
	// WaitsFor says why the job waits, with the rule's name first.
	WaitsFor string
	// Outcome is nil until PhaseEnded.
	Outcome outcome.Outcome
}
