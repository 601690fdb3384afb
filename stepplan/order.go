package stepplan

import (
	"cmp"
	"slices"
	"time"
)

// unit is what is placed together: a gang, or one task.
type unit struct {
	job   *Job
	step  *Step
	tasks []*Task
	since time.Time
	// owed says that the unit belongs to its organisation's guarantee.
	owed bool
	// latest is when the unit has to start to meet its job's latency
	// objective, by the caller's estimate. It is zero for urgent units.
	latest time.Time
	// late says that the objective can no longer be met.
	late bool
}

// waiting lists what may start now, the most urgent first: what is owed to an
// organisation, then by priority; among equals the urgent ones in the order of
// their arrival, the others by the time that is left to them, and last those
// that are late anyway.
func (p *pass) waiting() []unit {
	var all []unit
	for _, j := range p.b.Jobs {
		if j.Phase.Over() {
			continue
		}
		for number, occurrence := range j.Occurrences {
			latest := p.latest(j, number, occurrence)
			for _, s := range occurrence {
				if s.DoneCount == len(s.Tasks) || !ready(occurrence, s) {
					continue
				}
				for _, u := range s.units(j, p.now) {
					u.owed = j.Queue.Priority == 0 && p.guaranteed[j.Spec.Org]
					if j.Queue.Priority > 0 {
						u.latest = latest.Add(-s.Spec.Estimate)
						u.late = p.now.After(u.latest)
					}
					all = append(all, u)
				}
			}
		}
	}
	slices.SortFunc(all, func(x, y unit) int {
		return cmp.Or(
			firstIf(x.owed, y.owed),
			cmp.Compare(x.job.Queue.Priority, y.job.Queue.Priority),
			firstIf(!x.late, !y.late),
			x.latest.Compare(y.latest),
			x.job.Spec.AcceptedAt.Compare(y.job.Spec.AcceptedAt),
			compareIDs(x.tasks[0].ID, y.tasks[0].ID),
		)
	})
	return all
}

func firstIf(x, y bool) int {
	switch {
	case x == y:
		return 0
	case x:
		return -1
	}
	return 1
}

// latest is when the occurrence has to end to meet its objective, by the
// estimates of its longest chain of steps.
func (p *pass) latest(j *Job, number int, occurrence []*Step) time.Time {
	chain := make([]time.Duration, len(occurrence))
	longest := time.Duration(0)
	for i, s := range occurrence {
		for _, a := range s.Spec.After {
			chain[i] = max(chain[i], chain[a])
		}
		chain[i] += s.Spec.Estimate
		longest = max(longest, chain[i])
	}
	return j.beganAt(number).Add(time.Duration(j.Queue.LatencyFactor*float64(longest)) + j.Queue.LatencyAllowance)
}

// beganAt is when the time of an occurrence begins to count, on the boot-time
// clock.
func (j *Job) beganAt(occurrence int) time.Time {
	if t, found := j.OccurrenceStarts[occurrence]; found {
		return t
	}
	return j.AddedAt
}

func ready(occurrence []*Step, s *Step) bool {
	for _, a := range s.Spec.After {
		if occurrence[a].DoneCount < len(occurrence[a].Tasks) {
			return false
		}
	}
	return true
}

// units lists what of the step waits.
func (s *Step) units(j *Job, now time.Time) []unit {
	var all []unit
	if s.Spec.Gang {
		if s.ActiveCount > 0 {
			return nil
		}
		u := unit{job: j, step: s, tasks: s.Tasks}
		for _, t := range s.Tasks {
			if now.Before(t.NotBefore) {
				return nil
			}
			if t.WaitSince.After(u.since) {
				u.since = t.WaitSince
			}
		}
		return []unit{u}
	}
	for _, t := range s.Tasks {
		if !t.Done && !t.Active && !now.Before(t.NotBefore) {
			all = append(all, unit{job: j, step: s, tasks: []*Task{t}, since: t.WaitSince})
		}
	}
	return all
}
