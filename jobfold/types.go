package jobfold

import (
	"time"

	"celerypoint.example/celerypoint/crashes"
	"celerypoint.example/celerypoint/gang"
	"celerypoint.example/celerypoint/job"
	"celerypoint.example/celerypoint/outcome"
)

// Phase is the phase of a job according to the records of the jobs stream.
type Phase string

// The phases of a job.
const (
	PhaseWaiting   Phase = "waiting"
	PhaseCommitted Phase = "committed"
	PhaseEnded     Phase = "ended"
)

// JobState is the state of one job according to the records of the jobs stream.
type JobState struct {
	// Job.Payload is nil after the job has ended.
	Job job.Job
	// Region is the region whose planner runs the job.
	Region string
	Phase  Phase
	// Attempt, CommitOffset and Members are those of the newest valid commit
	// record. Attempt is empty before the first one.
	Attempt      string
	CommitOffset int64
	Members      []gang.Member
	// CheckpointMs is the progress of the job at its newest checkpoint, in
	// milliseconds of run time. The next attempt resumes from it. It never
	// decreases.
	CheckpointMs int64
	// TriedAttempts are attempts that had a valid or a void commit record, the
	// newest last, at most MaxTriedAttempts. Attempt itself is added when the
	// next valid commit replaces it, or when its own commit record is repeated. A
	// repeated commit record of one of them is void.
	TriedAttempts []string
	// CommitCount is the number of valid commits. It is at most 1 for a job that
	// is not idempotent.
	CommitCount int
	// Crashes holds the attempts, by CommitCount, that were lost in crashes of worker
	// runtimes. LongestLost is the longest time that one of them had run.
	Crashes     crashes.Record
	LongestLost time.Duration
	// UnansweredCrashes counts the attempts whose start a worker runtime had not answered
	// when it crashed. The start may not have reached the runtime, so that it takes more of
	// them to blame the job; see BlamedAfter.
	UnansweredCrashes int
	// CancelRequested is true when a cancel record came before the end record.
	CancelRequested bool
	// Outcome is nil until PhaseEnded.
	Outcome outcome.Outcome
	// EndedOffset is the offset of the end record. It is 0 until PhaseEnded.
	EndedOffset int64
}

// Claim is the right of one job to an idempotency key of its organisation. Every
// job that is not idempotent has one, so that a repeated request is recognised.
type Claim struct{ Org, Key string }

// Term is the newest term of a region: the period in which one entry process is
// the region's planner.
type Term struct {
	// Number is the offset of the term record, or 0 if the region has none yet.
	Number int64
	// Entry is the entry process that is the planner in this term.
	Entry string
}

// Record is a sealed interface. Its implementations are Accepted, TermTaken,
// Commit, Abort, CancelRequested, Ended and Snapshot.
type Record interface{ record() }

// The types of records.
type (
	// Accepted states that a job was accepted. It is void if the state still has
	// the job, or another job that holds the same claim.
	Accepted struct {
		Job    job.Job
		Region string
	}
	// TermTaken makes an entry the planner of a region. It is valid only if
	// BasedOn is the number of the region's newest term.
	TermTaken struct {
		Region, Entry string
		BasedOn       int64
	}
	// Commit permits an attempt to start. It is valid only if Term is the region's
	// newest term, the job is waiting and no cancellation was requested, and it is
	// the first commit record of the attempt. For a job that is not
	// idempotent it must also be the first valid commit of the job.
	Commit struct {
		JobID, Attempt string
		Term           int64
		Members        []gang.Member
	}
	// Abort ends an attempt and returns the job to the waiting phase. It is valid
	// only for the committed attempt, and only if Term is the region's newest term.
	Abort struct {
		JobID, Attempt, Reason string
		Term                   int64
		CheckpointMs           int64
		// Crashed says that a worker runtime crashed under the attempt after it had run
		// for Ran, 0 if that is not known.
		Crashed bool
		Ran     time.Duration
		// UnansweredCrash says that a worker runtime crashed before it answered the start.
		UnansweredCrash bool
	}
	// CancelRequested requests the cancellation of a job that has not ended.
	CancelRequested struct{ JobID string }
	// Ended ends the job. Only the first one of a job is valid. Attempt is the
	// job's newest committed attempt, or empty for a job that was never committed.
	// Term is for information only and is not checked.
	Ended struct {
		JobID, Attempt string
		Term           int64
		Outcome        outcome.Outcome
	}
	// Snapshot holds the whole state after the records up to State.LastApplied.
	Snapshot struct {
		State *State
		// Partial is true when the snapshot is split into several records, so
		// that State lacks jobs. Such a record is void on its own; package
		// platformlog joins the parts.
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

// Result is a sealed interface. Its implementations are Valid, Void and Stale.
type Result interface{ result() }

// The results of Apply.
type (
	// Valid means that the record took effect.
	Valid struct{}
	// Void means that the record did not take effect, and gives the reason. For a
	// void Accepted record, ClaimHolder is the ID of the other job that holds the
	// claim to its idempotency key, or the ID of the record's own job if that was
	// already accepted, with or without a claim. ClaimHolder is empty for other
	// records.
	Void struct{ Reason, ClaimHolder string }
	// Stale means that a record at this offset or a higher one was applied or
	// skipped before.
	Stale struct{}
)

func (Valid) result() {}
func (Void) result()  {}
func (Stale) result() {}

// State is the result of applying the records of the jobs stream. It is not safe
// for concurrent use.
type State struct {
	// LastApplied is the offset of the newest record that was applied or skipped.
	LastApplied int64
	Jobs        map[string]*JobState
	// Claims maps a claim to the ID of the job that holds it.
	Claims map[Claim]string
	// Terms maps a region to its newest term.
	Terms map[string]Term
}
