package admission

import (
	"cmp"
	"fmt"
	"time"

	"celerypoint.example/celerypoint/job"
	"celerypoint.example/celerypoint/shape"
)

// The rules that refuse a request. Package rules describes them.
const (
	RuleOrgUnknown              = "orgUnknown"
	RuleEntryLeaving            = "entryLeaving"
	RuleLogUnavailable          = "logUnavailable"
	RuleSelectorMatchesNothing  = "selectorMatchesNothing"
	RuleExceedsMatchingCapacity = "exceedsMatchingCapacity"
	RuleDeadlinePassed          = "deadlinePassed"
	RuleDeadlineUnreachable     = "deadlineUnreachable"
	RuleQueueFull               = "queueFull"
	RuleShedByRank              = "shedByRank"
)

// maxShedRank is the shed rank whose requests are refused first; higher ranks are
// treated like maxShedRank. From rank 0 to maxShedRank, the part of the queue that a rank
// may use falls linearly from 1 to minQueueShare.
const maxShedRank = 5

// minQueueShare is the part of the queue that every rank may use. At the peak
// demand of the users' deployments when this value was set, a queue below half of
// its limit drains before callers give up, so no request has to be shed.
const minQueueShare = 0.5

// Decide decides whether to accept one request. A refusal names the first rule
// that applies. Reasons that only a change of the job, the configuration or the
// VMs can remove are checked before temporary ones.
func Decide(in Input) Decision {
	j := in.Job
	switch {
	case !in.OrgKnown:
		return refuse(RuleOrgUnknown, "organisation %q is not in the configuration", j.Org)
	case in.MatchingVMs == 0:
		return refuse(RuleSelectorMatchesNothing, "selector %q matches no known VM", j.Selector)
	case j.AcceleratorsPerTask > in.LargestVM:
		return refuse(RuleExceedsMatchingCapacity, "a task needs %d accelerators on one VM, the largest matching VM has %d",
			j.AcceleratorsPerTask, in.LargestVM)
	case j.Adjacency == shape.AdjacencyVM && j.Accelerators() > in.LargestVM:
		return refuse(RuleExceedsMatchingCapacity, "the job needs %d accelerators on one VM, the largest matching VM has %d",
			j.Accelerators(), in.LargestVM)
	case j.Accelerators() > in.MatchingAccelerators:
		return refuse(RuleExceedsMatchingCapacity, "the job needs %d accelerators, the matching VMs have %d",
			j.Accelerators(), in.MatchingAccelerators)
	case !j.Deadline.IsZero() && !in.Now.Before(j.Deadline):
		return refuse(RuleDeadlinePassed, "the deadline passed %v ago", in.Now.Sub(j.Deadline))
	case in.Leaving:
		return refuse(RuleEntryLeaving, "this entry is stopping")
	case in.LogDown && j.Recorded():
		return refuse(RuleLogUnavailable, "the log accepts no appends, and this job has to be recorded")
	case in.Queued >= in.QueueLimit:
		return refuse(RuleQueueFull, "%d of %d places in the %s queue are taken", in.Queued, in.QueueLimit, urgencyOf(j))
	}
	if limit := shedLimit(in.QueueLimit, in.ShedRank); in.Queued >= limit {
		return refuse(RuleShedByRank, "%d of %d places in the %s queue are taken; requests of shed rank %d are refused from %d on",
			in.Queued, in.QueueLimit, urgencyOf(j), in.ShedRank, limit)
	}
	if j.Deadline.IsZero() {
		return Admit{}
	}
	remaining, need := j.Deadline.Sub(in.Now), expectedAnswerTime(in)
	if need > remaining {
		return refuse(RuleDeadlineUnreachable, "%v remain until the deadline, but the answer takes about %v: %d requests are queued and %d can run at once",
			remaining, need, in.Queued, in.Concurrency)
	}
	return Admit{}
}

// expectedAnswerTime estimates how long the answer takes: the append to the log
// if the job is recorded, the run time of the requests ahead of it, spread over
// Concurrency, and its own run time. An unknown time counts as 0, so that no
// request is refused on a guess. If only the run time of the requests ahead is
// unknown, the run time of this request is used for them.
func expectedAnswerTime(in Input) time.Duration {
	total := in.ExpectedRun
	if in.Job.Recorded() {
		total += in.LogDelay
	}
	if in.Concurrency > 0 {
		total += time.Duration(in.Queued/in.Concurrency) * cmp.Or(in.QueuedRun, in.ExpectedRun)
	}
	return total
}

// shedLimit returns the number of queued requests at and above which requests of
// the rank are refused.
func shedLimit(queueLimit, rank int) int {
	rank = min(max(rank, 0), maxShedRank)
	share := 1 - (1-minQueueShare)*float64(rank)/maxShedRank
	return max(1, int(float64(queueLimit)*share))
}

// urgencyOf returns the urgency of the job with the default applied.
func urgencyOf(j job.Job) job.Urgency {
	if j.Urgency == "" {
		return job.UrgencyNormal
	}
	return j.Urgency
}

func refuse(rule, format string, args ...any) Refuse {
	return Refuse{Rule: rule, Reason: fmt.Sprintf(format, args...)}
}
