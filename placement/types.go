package placement

import (
	"time"

	"celerypoint.example/celerypoint/guarantee"
	"celerypoint.example/celerypoint/job"
	"celerypoint.example/celerypoint/vm"
)

// Policy selects the rules. PolicyBaseline is the simplest that works and
// stays selectable as the baseline of measurements.
type Policy string

// The policies.
const (
	// PolicyBaseline is first come first served and first fit, with no
	// borrowing.
	PolicyBaseline Policy = "baseline"
	// PolicyAdjacent packs gangs onto near VMs, keeps large holes, backfills
	// and lets preemptible work borrow.
	PolicyAdjacent Policy = "adjacent"
)

// WaitingJob is a job that no VM holds yet.
type WaitingJob struct {
	Job job.Job
	// WaitingSince is when the job began to wait.
	WaitingSince time.Time
	// ExpectedRun is the run time learned from observations, or the declared
	// one; zero when nothing is known.
	ExpectedRun time.Duration
	// AvoidVMs are VMs on which the job failed or was refused.
	AvoidVMs map[string]bool
}

// Input is all that a planning pass looks at.
type Input struct {
	Now        time.Time
	Policy     Policy
	VMs        []vm.View
	Assignment guarantee.Assignment
	Waiting    []WaitingJob
	// ExpectedEnds maps attempt to when it is expected to end; attempts that
	// are missing are expected to run on.
	ExpectedEnds map[string]time.Time
}

// Member is one VM's part of a placement.
type Member struct {
	VM string
	// Tasks is at least 1.
	Tasks int
	// Reclaim says that borrowers have to be evicted first.
	Reclaim bool
}

// Placement puts one whole job on VMs.
type Placement struct {
	JobID   string
	Members []Member
}

// UnplacedJob says why a job stays waiting.
type UnplacedJob struct {
	JobID string
	// Rule names the rule that holds it back.
	Rule   string
	Reason string
	// Unsatisfiable says that the job can never run on the VMs that are known,
	// whatever ends: no set of VMs that its selector allows is large enough.
	Unsatisfiable bool
}

// Plan is the result of a pass. Every job of the input is in exactly one of
// the two lists.
type Plan struct {
	Placements []Placement
	Unplaced   []UnplacedJob
}
