package stepplan

import (
	"fmt"
	"strings"
	"time"

	"celerypoint.example/celerypoint/access"
	"celerypoint.example/celerypoint/stepfold"
	"celerypoint.example/celerypoint/steps"
)

// Configure applies a version of the configuration. Before the first one, no task
// starts.
func (sc *Scheduler) Configure(config access.Config) {
	sc.configured = true
	for _, q := range config.Queues {
		sc.Queues[q.Name] = q
	}
	for _, j := range sc.Jobs {
		sc.resolveQueue(j)
	}
	sc.Orgs = map[string]access.Org{}
	for _, o := range config.Orgs {
		sc.Orgs[o.Name] = o
	}
}

// lowestPriority is the priority of jobs whose queue is unknown. A larger number
// is less urgent.
const lowestPriority = 1 << 20

// resolveQueue sets the job's queue to that of the configuration or, if it has none of
// the name, to one with the policy that the job was accepted under.
func (sc *Scheduler) resolveQueue(j *Job) {
	name, policy := j.Spec.Queue, j.Spec.QueuePolicy
	q, found := sc.Queues[name]
	switch {
	case found:
		j.Queue, j.QueueKnown = q, true
	case policy != nil && sc.configured:
		j.Queue, j.QueueKnown = access.Queue{
			Name: name, Service: policy.Service, Priority: policy.Priority, MaxAttempts: policy.MaxAttempts,
			LatencyFactor: policy.LatencyFactor, LatencyAllowance: policy.LatencyAllowance,
		}, true
	default:
		j.Queue, j.QueueKnown = access.Queue{Name: name, Priority: lowestPriority}, false
		if sc.configured && !j.Phase.Over() {
			sc.addEvent(Event{Kind: "queueUnknown", Job: j.Spec.ID, Reason: "queue=" + name})
		}
	}
}

// failJob ends the job as failed if the task has failed as often as the queue allows.
// While the queue is not known, it leaves that to failUncheckedJobs.
func (sc *Scheduler) failJob(j *Job, s *Step, t *Task, now time.Time) {
	switch {
	case !j.QueueKnown:
		j.failuresUnchecked = true
	case t.Failures >= j.Queue.MaxAttempts && !s.Spec.LongRunning && !j.Phase.Over():
		sc.endJob(j, stepfold.PhaseFailed, now)
	}
}

func (sc *Scheduler) failUncheckedJobs(now time.Time) {
	for _, j := range sc.Jobs {
		if !j.failuresUnchecked || !j.QueueKnown {
			continue
		}
		j.failuresUnchecked = false
		for _, occurrence := range j.Occurrences {
			for _, s := range occurrence {
				for _, t := range s.Tasks {
					if !t.Done {
						sc.failJob(j, s, t, now)
					}
				}
			}
		}
	}
}

// maxClockError is the largest difference between the wall clocks of two planners that costs
// no ended job: a job that has just ended looks that old to a planner whose clock is ahead.
const maxClockError = 10 * time.Minute

// RestoreJob adds a job with its stored progress. The job's occurrences and active
// runs count as begun now. A job that is already known, or whose acceptance is
// not known, is ignored. wall is the wall-clock time that corresponds to now.
func (sc *Scheduler) RestoreJob(e stepfold.JobState, wall, now time.Time) {
	if e.Job == nil || sc.Jobs[e.Job.ID] != nil {
		return
	}
	j := &Job{
		Spec: *e.Job, Phase: e.Phase(), Begun: e.Progress.Begun,
		Occurrences: map[int][]*Step{}, AddedAt: now, OccurrenceStarts: map[int]time.Time{},
	}
	sc.resolveQueue(j)
	if !e.Progress.EndedAt.IsZero() {
		// Wall clocks differ between VMs, so that the job may have ended later than it seems,
		// and the stored time may be in the future.
		j.EndedAt = now.Add(-max(0, wall.Sub(e.Progress.EndedAt)-maxClockError))
	}
	sc.Jobs[j.Spec.ID] = j
	if !j.scheduled() {
		sc.startOccurrence(j, 0, now)
	}
	for _, r := range e.Progress.DoneOccurrences {
		sc.restoreDone(j, r, now)
	}
	for id, p := range e.Progress.Tasks {
		sc.restoreTask(j, id, p, now)
	}
	j.restoreFailures()
	switch {
	case e.Cancelled && !e.Progress.Phase.Over():
		sc.endJob(j, stepfold.PhaseCancelled, now)
	case j.Phase.Over():
		sc.stopJobRuns(j, now, "the job is over")
	default:
		sc.completeIfDone(j, now)
	}
}

func (sc *Scheduler) restoreTask(j *Job, id steps.TaskID, p stepfold.TaskProgress, now time.Time) {
	if id.Step >= len(j.Spec.Steps) || id.Index >= j.Spec.Steps[id.Step].Count {
		return
	}
	if j.scheduled() && id.Occurrence >= j.Spec.OccurrenceCount {
		return
	}
	for j.scheduled() && j.NextOccurrence <= id.Occurrence {
		sc.startOccurrence(j, j.NextOccurrence, now)
	}
	id.Job = j.Spec.ID
	s := j.Occurrences[id.Occurrence]
	if s == nil {
		return
	}
	t := s[id.Step].Tasks[id.Index]
	t.Run, t.Done, t.Failures, t.Checkpoint, t.Crashes = p.Run, p.Done, p.Failures, p.Checkpoint, p.Crashes
	if t.Crashes.Count() > 1 {
		sc.severalCrashes[t.ID] = t
	}
	if t.Failures > 0 {
		// The failure may have been counted while the queue was not known.
		j.failuresUnchecked = true
	}
	switch {
	case t.Done:
		s[id.Step].DoneCount++
	case p.Agent != "":
		vm := sc.vm(p.Agent)
		t.needs = countedNeeds(s[id.Step].Spec)
		sc.beginRun(t, vm, p.Worker, now)
		t.ConclusiveReport, t.Running, t.resumed = 0, true, true
	}
}

// AddJob adds a newly accepted job. A job that is already known is ignored, and
// one whose cancellation came first is cancelled.
func (sc *Scheduler) AddJob(spec steps.Job, now time.Time) {
	if sc.Jobs[spec.ID] != nil {
		return
	}
	j := &Job{Spec: spec, Phase: stepfold.PhaseQueued, Occurrences: map[int][]*Step{}, AddedAt: now, OccurrenceStarts: map[int]time.Time{}}
	sc.resolveQueue(j)
	sc.Jobs[spec.ID] = j
	if !j.scheduled() {
		sc.startOccurrence(j, 0, now)
	}
	sc.addEvent(Event{Kind: "jobTakenOver", Job: spec.ID, Reason: fmt.Sprintf("queue=%s priority=%d org=%s gpus=%d steps=%s", spec.Queue, j.Queue.Priority, spec.Org, j.maxStepGPUs(), describeSteps(spec.Steps))})
	if _, found := sc.Cancelled[spec.ID]; found {
		delete(sc.Cancelled, spec.ID)
		sc.Cancel(spec.ID, now)
	}
}

// describeSteps formats, for logs, the properties of the steps that affect their
// placement.
func describeSteps(all []steps.Step) string {
	var descriptions []string
	for _, s := range all {
		description := fmt.Sprintf("%dx%dgpu/%dcpu/%dMiB~%s", s.Count, s.Needs.GPUs, s.Needs.CPU, s.Needs.MemMB, s.Estimate)
		for _, option := range []struct {
			name string
			set  bool
		}{
			{"gang", s.Gang}, {"sameRack", s.SameRack}, {"checkpointing", s.Checkpointing}, {"speculative", s.Speculative},
			{"longRunning", s.LongRunning}, {"fills", s.BestEffortCPU}, {"rack=" + s.PreferredRack, s.PreferredRack != ""}, {"label=" + s.Label, s.Label != ""},
			{fmt.Sprintf("perVM=%d", s.MaxPerVM), s.MaxPerVM > 0}, {fmt.Sprintf("maxMisses=%d", s.MaxUnavailable), s.MaxUnavailable > 0},
			{fmt.Sprintf("targetMs=%d", s.TailLatencyMs), s.TailLatencyMs > 0}, {fmt.Sprintf("after=%v", s.After), len(s.After) > 0},
		} {
			if option.set {
				description += "+" + option.name
			}
		}
		descriptions = append(descriptions, description)
	}
	return strings.Join(descriptions, ",")
}

// Cancel cancels a job unless it is over. A job that is not known yet is
// cancelled by AddJob.
func (sc *Scheduler) Cancel(id string, now time.Time) {
	switch j := sc.Jobs[id]; {
	case j == nil:
		sc.Cancelled[id] = now
	case !j.Phase.Over():
		sc.endJob(j, stepfold.PhaseCancelled, now)
	}
}

// scheduled reports whether the job's occurrences begin at given wall-clock times.
// Any other job has only occurrence 0.
func (j *Job) scheduled() bool { return j.Spec.OccurrenceCount > 0 }

// startOccurrence begins an occurrence, for which it creates the steps and tasks.
func (sc *Scheduler) startOccurrence(j *Job, occurrence int, now time.Time) {
	all := make([]*Step, len(j.Spec.Steps))
	for i := range all {
		spec := &j.Spec.Steps[i]
		s := &Step{Spec: spec, Tasks: make([]*Task, spec.Count)}
		for k := range s.Tasks {
			s.Tasks[k] = &Task{ID: steps.TaskID{Job: j.Spec.ID, Occurrence: occurrence, Step: i, Index: k}, WaitSince: now}
		}
		all[i] = s
	}
	j.Occurrences[occurrence] = all
	j.OccurrenceStarts[occurrence] = now
	j.NextOccurrence = max(j.NextOccurrence, occurrence+1)
}

// dueAt is the wall-clock time from which on an occurrence may begin.
func (j *Job) dueAt(occurrence int) time.Time {
	return j.Spec.StartAt.Add(time.Duration(occurrence) * j.Spec.Interval)
}

// maxOccurrencesPerPass limits the occurrences of one job that begin in one
// call of StartDueOccurrences.
const maxOccurrencesPerPass = 64

// StartDueOccurrences begins the occurrences of scheduled jobs that are due at
// the wall-clock time wall. It records now as the time at which they begin.
func (sc *Scheduler) StartDueOccurrences(wall, now time.Time) {
	for _, j := range sc.Jobs {
		for n := 0; n < maxOccurrencesPerPass && j.scheduled() && !j.Phase.Over() && j.NextOccurrence < j.Spec.OccurrenceCount && !wall.Before(j.dueAt(j.NextOccurrence)); n++ {
			sc.startOccurrence(j, j.NextOccurrence, now)
		}
	}
}

// endJob sets the job's final phase and stops its active runs.
func (sc *Scheduler) endJob(j *Job, phase stepfold.Phase, now time.Time) {
	j.Phase, j.EndedAt = phase, now
	sc.dirty[j.Spec.ID] = true
	sc.addEvent(Event{Kind: "jobOver", Job: j.Spec.ID, Reason: string(phase)})
	sc.stopJobRuns(j, now, "job "+string(phase))
}

func (sc *Scheduler) stopJobRuns(j *Job, now time.Time, reason string) {
	for _, occurrence := range j.Occurrences {
		for _, s := range occurrence {
			for _, t := range s.Tasks {
				if t.Active {
					sc.requestStop(t, now, reason)
				}
			}
		}
	}
}

// completeIfDone ends the job as completed once all its occurrences have begun
// and all their tasks have succeeded.
func (sc *Scheduler) completeIfDone(j *Job, now time.Time) {
	if j.Phase.Over() {
		return
	}
	ended := 0
	for _, occurrence := range j.Occurrences {
		done := true
		for _, s := range occurrence {
			done = done && s.DoneCount == len(s.Tasks)
		}
		if done {
			ended++
		}
	}
	total := max(1, j.Spec.OccurrenceCount)
	if ended == total && j.NextOccurrence >= total {
		sc.endJob(j, stepfold.PhaseCompleted, now)
	}
}

// storedProgress is the part of the job's state that has to survive a change of
// planner. If the job is over, it gives wall as the time of the job's end, and only the
// tasks whose runs have yet to be stopped.
func (j *Job) storedProgress(wall time.Time) stepfold.Progress {
	p := stepfold.Progress{Phase: j.Phase, Begun: j.Begun, Tasks: map[steps.TaskID]stepfold.TaskProgress{}}
	if j.Phase.Over() {
		p.EndedAt = wall
	} else {
		p.DoneOccurrences = j.doneOccurrences()
	}
	for _, occurrence := range j.Occurrences {
		if j.scheduled() && allDone(occurrence) {
			continue
		}
		for _, s := range occurrence {
			for _, t := range s.Tasks {
				if t.Run == 0 || j.Phase.Over() && (t.Done || !t.Active) {
					continue
				}
				id := t.ID
				id.Job = ""
				stored := stepfold.TaskProgress{Run: t.Run, Done: t.Done, Failures: s.storedFailures(t), Checkpoint: t.Checkpoint, Crashes: t.Crashes}
				if t.Active {
					stored.Agent, stored.Worker = t.Agent, t.Worker
				}
				if j.Phase.Over() {
					stored.Failures, stored.Checkpoint = 0, ""
				}
				if t.Done {
					stored = stepfold.TaskProgress{Run: t.Run, Done: true}
				}
				p.Tasks[id] = stored
			}
		}
	}
	return p
}

// storedFailures is stepfold.TaskProgress.Failures of the task, which is one of the step's.
func (s *Step) storedFailures(t *Task) int {
	if s.Spec.Gang && t.Active && t.Run == s.FailedRun {
		return t.Failures - 1
	}
	return t.Failures
}

// restoreFailures sets Task.Failures of all members of each gang to the number of failures of
// the gang, and Step.FailedRun where the failure of a run in progress is counted.
func (j *Job) restoreFailures() {
	for _, occurrence := range j.Occurrences {
		for _, s := range occurrence {
			if s.Spec.Gang {
				s.restoreFailures()
			}
		}
	}
}

func (s *Step) restoreFailures() {
	most, mostEnded := 0, 0
	for _, t := range s.Tasks {
		most = max(most, t.Failures)
		if !t.Active {
			mostEnded = max(mostEnded, t.Failures)
		}
	}
	for _, t := range s.Tasks {
		if t.Active && t.Failures < mostEnded {
			s.FailedRun = t.Run
		}
		t.Failures = most
	}
}

// PruneJobs removes jobs without active runs that have been over for at least
// Timing.KeepStatus, and cancellations of that age whose job was never added. It
// lists all of them in Output.PrunedJobs.
func (sc *Scheduler) PruneJobs(now time.Time) {
	for id, at := range sc.Cancelled {
		if now.Sub(at) >= sc.Timing.KeepStatus {
			delete(sc.Cancelled, id)
			sc.output.PrunedJobs = append(sc.output.PrunedJobs, id)
		}
	}
	for id, j := range sc.Jobs {
		if !j.Phase.Over() || now.Sub(j.EndedAt) < sc.Timing.KeepStatus || j.hasActiveRuns() {
			continue
		}
		delete(sc.Jobs, id)
		sc.output.PrunedJobs = append(sc.output.PrunedJobs, id)
	}
}

func (j *Job) hasActiveRuns() bool {
	for _, occurrence := range j.Occurrences {
		for _, s := range occurrence {
			if s.ActiveCount > 0 {
				return true
			}
		}
	}
	return false
}

// TakeOutput returns, and clears, the output since the previous call. The caller
// stores the progress before it sends the orders. For jobs that are over, the
// returned progress gives wall as the time of their end.
func (sc *Scheduler) TakeOutput(wall time.Time) Output {
	o := sc.output
	sc.output = Output{}
	for id := range sc.dirty {
		if j := sc.Jobs[id]; j != nil {
			o.Progress = append(o.Progress, stepfold.Progressed{ID: id, Progress: j.storedProgress(wall)})
		}
		delete(sc.begun, id)
	}
	clear(sc.dirty)
	return o
}

// TakeStops returns, and clears, the stop orders since the previous call.
func (sc *Scheduler) TakeStops() []StopOrder {
	stops := sc.stops
	sc.stops = nil
	return stops
}

func (sc *Scheduler) addEvent(e Event) { sc.output.Events = append(sc.output.Events, e) }
