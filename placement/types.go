package placement

import (
	"time"

	"celerypoint.example/celerypoint/guarantee"
	"celerypoint.example/celerypoint/job"
	"celerypoint.example/celerypoint/vm"
)

// Policy selects the planning algorithm. PolicyBaseline is deliberately simple
// and serves as the baseline in measurements of PolicyAdjacent.
type Policy string

// The planning policies.
const (
	// PolicyBaseline serves jobs in the order of arrival, places each on the
	// first VMs that fit, and does not borrow.
	PolicyBaseline Policy = "baseline"
	// PolicyAdjacent packs gangs onto VMs that are near to each other, keeps
	// large free blocks, backfills, and lets preemptible work borrow.
	PolicyAdjacent Policy = "adjacent"
)

// WaitingJob is a job that is not placed on any VM yet.
type WaitingJob struct {
	Job job.Job
	// WaitingSince is when the job began to wait.
	WaitingSince time.Time
	// ExpectedRun is the run time that is expected from runs of similar jobs, or
	// else the run time that the caller declared; zero if neither is known.
	ExpectedRun time.Duration
	// AvoidVMs is the set of IDs of the VMs on which the job failed or was
	// refused.
	AvoidVMs map[string]bool
}

// Input is everything that a planning pass depends on.
type Input struct {
	Now        time.Time
	Policy     Policy
	VMs        []vm.View
	Assignment guarantee.Assignment
	Waiting    []WaitingJob
	// ExpectedEnds maps the ID of a running attempt to the time at which it is
	// expected to end. It has no entry for an attempt whose end is unknown.
	ExpectedEnds map[string]time.Time
}

// Member is the part of a placement that is on one VM.
type Member struct {
	VM string
	// Tasks is at least 1.
	Tasks int
	// Reclaim says that the agent has to evict work of other organisations
	// first: borrowers of the organisation's share, or tasks that hold slots but
	// no accelerators.
	Reclaim bool
}

// Placement assigns all tasks of one job to VMs.
type Placement struct {
	JobID   string
	Members []Member
}

// UnplacedJob is a job that the plan leaves waiting, with the reason.
type UnplacedJob struct {
	JobID string
	// Rule names the rule that prevents the placement; see package rules.
	Rule   string
	Reason string
	// Unsatisfiable says that the job could not run on the known VMs even if
	// all of them were empty: its selector matches no VM, or no set of matching
	// VMs is large enough.
	Unsatisfiable bool
}

// Plan is the result of a planning pass. Every job of the input is in exactly
// one of the two lists.
type Plan struct {
	Placements []Placement
	Unplaced   []UnplacedJob
}
