package stepplan

import (
	"cmp"
	"slices"
	"time"
)

// unit is what is placed as a whole: all tasks of a gang, or a single task.
// waitingUnits joins the single tasks of a step into one unit, which placeSingles takes
// apart.
type unit struct {
	job   *Job
	step  *Step
	tasks []*Task
	// waitingSince is the latest Task.WaitSince of the tasks.
	waitingSince time.Time
	// guaranteed says that the unit is covered by its organisation's guarantee: its
	// queue has priority 0, and the organisation is in pass.orgsWithinGuarantee.
	guaranteed bool
	// latestStart is the latest start with which the unit and the steps that depend on
	// it end in time for the latency objective of its occurrence if the caller's
	// estimates hold. It is zero for urgent units, which are those of queues with
	// priority 0.
	latestStart time.Time
	// latestEnd is when the occurrence has to end to meet its latency objective if the
	// caller's estimates hold.
	latestEnd time.Time
	// objectiveMissed says that latestStart has passed. It is never set for urgent
	// units.
	objectiveMissed bool
}

// waitingUnits lists the units that wait for a start and whose step depends on no
// unfinished step, in the order in which they are placed. The single tasks of a step
// are joined into one unit. Units covered by a
// guarantee come first, then the order follows the queue's priority. Urgent units
// are ordered by the acceptance times of their jobs. Others of equal priority are
// ordered by latestStart, with those for which it has passed at the end.
func (p *pass) waitingUnits() []unit {
	var all []unit
	for _, j := range p.scheduler.Jobs {
		if j.Phase.Over() || j.SetAside || !j.QueueKnown {
			continue
		}
		var units []unit
		if p.scheduler.guard(j, func() { units = p.waitingUnitsOf(j) }) {
			all = append(all, units...)
		}
	}
	slices.SortFunc(all, func(x, y unit) int {
		return cmp.Or(
			compareTrueFirst(x.guaranteed, y.guaranteed),
			cmp.Compare(x.job.Queue.Priority, y.job.Queue.Priority),
			compareTrueFirst(!x.objectiveMissed, !y.objectiveMissed),
			x.latestStart.Compare(y.latestStart),
			x.job.Spec.AcceptedAt.Compare(y.job.Spec.AcceptedAt),
			compareTaskIDs(x.tasks[0].ID, y.tasks[0].ID),
		)
	})
	return all
}

// waitingUnitsOf lists the units of the job that wait for a start.
func (p *pass) waitingUnitsOf(j *Job) []unit {
	var all []unit
	for occurrenceNumber, occurrence := range j.Occurrences {
		latestEnd := p.latestEnd(j, occurrenceNumber, occurrence)
		following := estimatedFollowing(occurrence)
		for i, s := range occurrence {
			if s.DoneCount == len(s.Tasks) || !predecessorsDone(occurrence, s) {
				continue
			}
			u, waits := s.waitingUnit(j, p.now)
			if !waits {
				continue
			}
			u.latestEnd = latestEnd.Add(-following[i])
			u.guaranteed = j.Queue.Priority == 0 && p.orgsWithinGuarantee[j.Spec.Org]
			if j.Queue.Priority > 0 {
				u.latestStart = latestEnd.Add(-s.Spec.Estimate - following[i])
				u.objectiveMissed = p.now.After(u.latestStart)
			}
			all = append(all, u)
		}
	}
	return all
}

func compareTrueFirst(x, y bool) int {
	switch {
	case x == y:
		return 0
	case x:
		return -1
	}
	return 1
}

// latestEnd is when the occurrence has to end to meet its latency objective,
// which is relative to the estimated duration of its longest chain of dependent
// steps; see access.Queue.LatencyFactor.
func (p *pass) latestEnd(j *Job, number int, occurrence []*Step) time.Time {
	chainEnd := make([]time.Duration, len(occurrence))
	longest := time.Duration(0)
	for i, s := range occurrence {
		for _, a := range s.Spec.After {
			chainEnd[i] = max(chainEnd[i], chainEnd[a])
		}
		chainEnd[i] += s.Spec.Estimate
		longest = max(longest, chainEnd[i])
	}
	return j.occurrenceStart(number).Add(time.Duration(j.Queue.LatencyFactor*float64(longest)) + j.Queue.LatencyAllowance)
}

// estimatedFollowing returns, for each step of an occurrence, the estimated duration of
// the longest chain of steps that follow it.
func estimatedFollowing(occurrence []*Step) []time.Duration {
	following := make([]time.Duration, len(occurrence))
	for i := len(occurrence) - 1; i >= 0; i-- {
		s := occurrence[i].Spec
		for _, a := range s.After {
			following[a] = max(following[a], s.Estimate+following[i])
		}
	}
	return following
}

// occurrenceStart is the time from which the latency of an occurrence is measured.
// It is when this Scheduler began or restored the occurrence, on the boot-time
// clock, and not the wall-clock time at which the occurrence was due.
func (j *Job) occurrenceStart(occurrence int) time.Time {
	if t, found := j.OccurrenceStarts[occurrence]; found {
		return t
	}
	return j.AddedAt
}

func predecessorsDone(occurrence []*Step, s *Step) bool {
	for _, a := range s.Spec.After {
		if occurrence[a].DoneCount < len(occurrence[a].Tasks) {
			return false
		}
	}
	return true
}

// waitingUnit returns the unit of the step's tasks that wait for a start and whose
// Task.NotBefore has passed, and whether there are any. Tasks with undecided losses are left
// out, and a gang while any of its members is one or has an active run. For single tasks,
// waitingSince is the earliest.
func (s *Step) waitingUnit(j *Job, now time.Time) (unit, bool) {
	u := unit{job: j, step: s}
	if s.Spec.Gang {
		u.tasks = s.Tasks
		for _, t := range s.Tasks {
			if t.Active || now.Before(t.NotBefore) || t.undecided() {
				return unit{}, false
			}
			u.waitingSince = later(u.waitingSince, t.WaitSince)
		}
		return u, true
	}
	for _, t := range s.Tasks {
		if t.Done || t.Active || now.Before(t.NotBefore) || t.undecided() {
			continue
		}
		if len(u.tasks) == 0 || t.WaitSince.Before(u.waitingSince) {
			u.waitingSince = t.WaitSince
		}
		u.tasks = append(u.tasks, t)
	}
	return u, len(u.tasks) > 0
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}
