package admission

import (
	"time"

	"celerypoint.example/celerypoint/job"
)

// Input is what the decision about one request depends on. A request waits in
// the queue of its urgency.
type Input struct {
	Now time.Time
	Job job.Job
	// OrgKnown says whether the configuration has the organisation.
	OrgKnown bool
	// ShedRank is the organisation's rank for load shedding; see org.Org.
	ShedRank int
	// Leaving says that this entry process is shutting down.
	Leaving bool
	// LogDown says that appends to the log fail at present, and LogDelay is how
	// long an append takes at present, 0 if unknown.
	LogDown  bool
	LogDelay time.Duration
	// Queued is the number of requests ahead of this one in its queue, and
	// QueueLimit the bound of the queue.
	Queued, QueueLimit int
	// Concurrency is how many tasks of the job's size could run at once on all
	// matching VMs if these ran nothing else. If it is 0, the requests ahead do
	// not count in the expected time of the answer.
	Concurrency int
	// ExpectedRun is the expected run time of this request, and QueuedRun the
	// expected mean run time of those ahead of it. Each is 0 if unknown.
	ExpectedRun, QueuedRun time.Duration
	// MatchingVMs is the number of VMs that are not lost and that the job's
	// selector matches, and MatchingAccelerators the sum of their accelerators,
	// free or not. LargestVM is the largest number of accelerators of one of
	// these VMs.
	MatchingVMs, MatchingAccelerators, LargestVM int
}

// Decision is the result of Decide. It is a sealed interface: the only
// implementations are Admit and Refuse.
type Decision interface{ decision() }

// Admit accepts the request.
type Admit struct{}

// Refuse rejects the request. No part of it has been run or recorded.
type Refuse struct {
	// Rule names the rule that refuses the request; see package rules.
	Rule   string
	Reason string
}

func (Admit) decision()  {}
func (Refuse) decision() {}
