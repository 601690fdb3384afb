package admission

import (
	"time"

	"celerypoint.example/celerypoint/job"
)

// Input is what the decision about one request looks at.
type Input struct {
	Now time.Time
	Job job.Job
	// OrgKnown says whether the configuration has the organisation.
	OrgKnown bool
	// ShedRank is the organisation's rank; see org.Org.
	ShedRank int
	// Leaving says that this entry is stopping.
	Leaving bool
	// LogDown says that appends fail now; LogDelay is how long they take.
	LogDown  bool
	LogDelay time.Duration
	// Queued counts the requests that wait in the job's lane; QueueLimit
	// bounds them.
	Queued, QueueLimit int
	// Concurrency is how many requests of the lane run at once where the
	// selector allows.
	Concurrency int
	// ExpectedRun is how long this request takes, and QueuedRun how long those
	// ahead of it take on average; each is 0 when unknown.
	ExpectedRun, QueuedRun time.Duration
	// MatchingVMs and MatchingAccelerators count what the selector allows,
	// whether free or not. LargestVM is the most accelerators of one of them.
	MatchingVMs, MatchingAccelerators, LargestVM int
}

// Decision is sealed: Admit, Refuse.
type Decision interface{ decision() }

// Admit lets the request in.
type Admit struct{}

// Refuse keeps it out; nothing of it was run or recorded.
type Refuse struct {
	// Rule names the rule; see package rules.
	Rule   string
	Reason string
}

func (Admit) decision()  {}
func (Refuse) decision() {}
