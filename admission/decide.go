package admission

import (
	"cmp"
	"fmt"
	"time"

	"celerypoint.example/celerypoint/job"
	"celerypoint.example/celerypoint/shape"
)

// The rules that refuse; package rules describes them.
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

// maxShedRank is the rank from which on work is shed first. Between 0 and it,
// the threshold falls evenly from a full queue to shedFloor of one.
const maxShedRank = 5

// shedFloor is the share of the queue that every rank may use. Below half of
// the limit a queue drains before the callers of today's peaks give up, so
// nothing has to be shed.
const shedFloor = 0.5

// Decide judges one request against its own lane. The first rule that refuses
// names the refusal, permanent reasons before those that pass with time.
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
		return refuse(RuleLogUnavailable, "the log takes no appends, and this job has to be recorded")
	case in.Queued >= in.QueueLimit:
		return refuse(RuleQueueFull, "%d of %d places in the %s lane are taken", in.Queued, in.QueueLimit, lane(j))
	}
	if limit := shedLimit(in.QueueLimit, in.ShedRank); in.Queued >= limit {
		return refuse(RuleShedByRank, "%d of %d places in the %s lane are taken, rank %d is shed from %d on",
			in.Queued, in.QueueLimit, lane(j), in.ShedRank, limit)
	}
	if j.Deadline.IsZero() {
		return Admit{}
	}
	left, need := j.Deadline.Sub(in.Now), soonestAnswer(in)
	if need > left {
		return refuse(RuleDeadlineUnreachable, "%v remain until the deadline, the answer takes about %v: %d are queued on %d servers",
			left, need, in.Queued, in.Concurrency)
	}
	return Admit{}
}

// soonestAnswer estimates how long the answer takes: the append of a recorded
// job, the queue ahead of it, and its own run. What is unknown counts as 0,
// because a refusal has to be founded; for the requests ahead, the own run time
// stands in when only theirs is unknown.
func soonestAnswer(in Input) time.Duration {
	need := in.ExpectedRun
	if in.Job.Recorded() {
		need += in.LogDelay
	}
	if in.Concurrency > 0 {
		need += time.Duration(in.Queued/in.Concurrency) * cmp.Or(in.QueuedRun, in.ExpectedRun)
	}
	return need
}

func shedLimit(limit, rank int) int {
	rank = min(max(rank, 0), maxShedRank)
	share := 1 - (1-shedFloor)*float64(rank)/maxShedRank
	return max(1, int(float64(limit)*share))
}

func lane(j job.Job) job.Urgency {
	if j.Urgency == "" {
		return job.UrgencyNormal
	}
	return j.Urgency
}

func refuse(rule, format string, args ...any) Refuse {
	return Refuse{Rule: rule, Reason: fmt.Sprintf(format, args...)}
}
