package jobfold

import (
	"celerypoint.example/celerypoint/gang"
	"celerypoint.example/celerypoint/job"
	"celerypoint.example/celerypoint/outcome"
)

// Phase is where a recorded job is.
type Phase string

// The phases of a job.
const (
	PhaseWaiting   Phase = "waiting"
	PhaseCommitted Phase = "committed"
	PhaseEnded     Phase = "ended"
)

// JobState is what the stream says of one job.
type JobState struct {
	// Job has no payload once the job has ended.
	Job    job.Job
	Region string
	Phase  Phase
	// Attempt, CommitOffset and Members belong to the newest valid commit.
	// Attempt is empty before the first.
	Attempt      string
	CommitOffset int64
	Members      []gang.Member
	// CheckpointMs is the progress to resume from.
	CheckpointMs int64
	// TriedAttempts are other attempts whose commits were valid or void, the newest
	// last, at most MaxTried, so that a repeated commit record is void.
	TriedAttempts []string
	// CommitCount counts the valid commits. It is at most 1 for a job that is not
	// idempotent.
	CommitCount int
	// CancelRequested says that a cancel record came before the end.
	CancelRequested bool
	// Outcome is nil until PhaseEnded.
	Outcome outcome.Outcome
	// EndedOffset is the offset of the end record, 0 before.
	EndedOffset int64
}

// Claim names a non-idempotent request within its organisation.
type Claim struct{ Org, Key string }

// Term is the newest planner term of a region.
type Term struct {
	// Number is the offset of the term record, 0 when none was appended.
	Number int64
	// Entry is the planner.
	Entry string
}

// Record is sealed: Accepted, TermTaken, Commit, Abort, CancelAsked, Ended,
// Snapshot.
type Record interface{ record() }

// Records.
type (
	// Accepted accepts a job. Of two with one claim the first counts.
	Accepted struct {
		Job    job.Job
		Region string
	}
	// TermTaken makes an entry the planner of a region. It is valid only when
	// it is based on the region's newest term.
	TermTaken struct {
		Region, Entry string
		BasedOn       int64
	}
	// Commit lets an attempt start. It is valid only when the term is the
	// region's newest, the job waits, no cancel was asked, and a job that is
	// not idempotent was never committed. The first
	// commit record of an attempt counts.
	Commit struct {
		JobID, Attempt string
		Term           int64
		Members        []gang.Member
	}
	// Abort ends an attempt; the job waits again. It is valid only for the
	// newest commit, and only when the term is the region's newest.
	Abort struct {
		JobID, Attempt, Reason string
		Term                   int64
		CheckpointMs           int64
	}
	// CancelRequested asks to end the job.
	CancelRequested struct{ JobID string }
	// Ended ends the job; the first end counts. Attempt is the committed
	// attempt that it ends, or empty for a job that was never committed.
	Ended struct {
		JobID, Attempt string
		Term           int64
		Outcome        outcome.Outcome
	}
	// Snapshot holds the whole state through an offset.
	Snapshot struct {
		State *State
		// Partial says that State lacks jobs, because the snapshot has several
		// records. A partial one is void; platformlog joins the parts.
		Partial bool
	}
)

func (Accepted) record()        {}
func (TermTaken) record()       {}
func (Commit) record()          {}
func (Abort) record()           {}
func (CancelRequested) record() {}
func (Ended) record()           {}
func (Snapshot) record()        {}

// Result is sealed: Valid, Void, Stale.
type Result interface{ result() }

// Results.
type (
	// Valid says that the record took effect.
	Valid struct{}
	// Void says that the record changes nothing and why. Winner is the job
	// that holds the claim, when that is why.
	Void struct{ Reason, ClaimHolder string }
	// Stale says that the state has already folded this offset.
	Stale struct{}
)

func (Valid) result() {}
func (Void) result()  {}
func (Stale) result() {}

// State is the fold. It is not safe for concurrent use.
type State struct {
	// LastApplied is the offset of the newest folded record.
	LastApplied int64
	Jobs        map[string]*JobState
	// Claims maps a claim to the job that holds it.
	Claims map[Claim]string
	// Terms maps a region to its newest term.
	Terms map[string]Term
}
