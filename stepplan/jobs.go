package stepplan

import (
	"fmt"
	"strings"
	"time"

	"celerypoint.example/celerypoint/access"
	"celerypoint.example/celerypoint/stepfold"
	"celerypoint.example/celerypoint/steps"
)

// Configure takes over a version of the configuration.
func (b *Scheduler) Configure(t access.Config) {
	for _, q := range t.Queues {
		b.Queues[q.Name] = q
	}
	for _, j := range b.Jobs {
		j.Queue = b.queue(j.Spec.Queue)
	}
	b.Orgs = map[string]access.Org{}
	for _, o := range t.Orgs {
		b.Orgs[o.Name] = o
	}
}

// lowestPriority ranks a job whose queue is not known behind all others.
const lowestPriority = 1 << 20

func (b *Scheduler) queue(name string) access.Queue {
	if q, found := b.Queues[name]; found {
		return q
	}
	return access.Queue{Name: name, Priority: lowestPriority, MaxAttempts: 1}
}

// RestoreJob takes over what the records say of a job. inherited is when all
// leases of earlier planners have lapsed, for agents that do not report before.
func (b *Scheduler) RestoreJob(e stepfold.JobState, inherited, now time.Time) {
	if e.Job == nil || b.Jobs[e.Job.ID] != nil {
		return
	}
	j := &Job{
		Spec: *e.Job, Queue: b.queue(e.Job.Queue), Phase: e.Phase(), Begun: e.Progress.Begun,
		Occurrences: map[int][]*Step{}, EndedAt: e.Progress.EndedAt, AddedAt: now, OccurrenceStarts: map[int]time.Time{},
	}
	b.Jobs[j.Spec.ID] = j
	if !j.scheduled() {
		b.open(j, 0, now)
	}
	for id, p := range e.Progress.Tasks {
		b.recoverTask(j, id, p, inherited, now)
	}
	switch {
	case e.Cancelled && !e.Progress.Phase.Over():
		b.end(j, stepfold.PhaseCancelled, now)
	case j.Phase.Over():
		b.stopAll(j, now, "the job is over")
	default:
		b.settleOccurrences(j, now)
	}
}

func (b *Scheduler) recoverTask(j *Job, id steps.TaskID, p stepfold.TaskProgress, inherited, now time.Time) {
	if id.Step >= len(j.Spec.Steps) || id.Index >= j.Spec.Steps[id.Step].Count {
		return
	}
	for j.scheduled() && j.NextOccurrence <= id.Occurrence {
		b.open(j, j.NextOccurrence, now)
	}
	id.Job = j.Spec.ID
	s := j.Occurrences[id.Occurrence]
	if s == nil {
		return
	}
	t := s[id.Step].Tasks[id.Index]
	t.Run, t.Done, t.Failures, t.Checkpoint = p.Run, p.Done, p.Failures, p.Checkpoint
	switch {
	case t.Done:
		s[id.Step].DoneCount++
	case p.Agent != "":
		vm := b.vm(p.Agent)
		if vm.LeaseUntil.Before(inherited) {
			vm.LeaseUntil = inherited
		}
		t.needs = counted(s[id.Step].Spec)
		b.openRun(t, vm, p.Worker, now)
		t.ConclusiveReport, t.Running = 0, true
	}
}

// AddJob takes over a job that was accepted.
func (b *Scheduler) AddJob(spec steps.Job, now time.Time) {
	if b.Jobs[spec.ID] != nil {
		return
	}
	j := &Job{Spec: spec, Queue: b.queue(spec.Queue), Phase: stepfold.PhaseQueued, Occurrences: map[int][]*Step{}, AddedAt: now, OccurrenceStarts: map[int]time.Time{}}
	b.Jobs[spec.ID] = j
	if !j.scheduled() {
		b.open(j, 0, now)
	}
	b.event(Event{Kind: "jobTakenOver", Job: spec.ID, Reason: fmt.Sprintf("queue=%s priority=%d org=%s gpus=%d steps=%s", spec.Queue, j.Queue.Priority, spec.Org, j.mostGPUs(), describe(spec.Steps))})
	if _, found := b.Cancelled[spec.ID]; found {
		delete(b.Cancelled, spec.ID)
		b.Cancel(spec.ID, now)
	}
}

// describe names what decides where the tasks of the steps may start, for logs.
func describe(all []steps.Step) string {
	var text []string
	for _, s := range all {
		words := fmt.Sprintf("%dx%dgpu/%dcpu/%dMiB~%s", s.Count, s.Needs.GPUs, s.Needs.CPU, s.Needs.MemMB, s.Estimate)
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
				words += "+" + option.name
			}
		}
		text = append(text, words)
	}
	return strings.Join(text, ",")
}

// Cancel cancels a job unless it is over. One that is not known yet is
// cancelled when it is accepted.
func (b *Scheduler) Cancel(id string, now time.Time) {
	switch j := b.Jobs[id]; {
	case j == nil:
		b.Cancelled[id] = now
	case !j.Phase.Over():
		b.end(j, stepfold.PhaseCancelled, now)
	}
}

func (j *Job) scheduled() bool { return j.Spec.OccurrenceCount > 0 }

// open begins an occurrence.
func (b *Scheduler) open(j *Job, occurrence int, now time.Time) {
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

// dueAt is when an occurrence may begin, on the time of day.
func (j *Job) dueAt(occurrence int) time.Time {
	return j.Spec.StartAt.Add(time.Duration(occurrence) * j.Spec.Interval)
}

// maxBehind bounds the occurrences that begin in one pass.
const maxBehind = 64

// StartDueOccurrences begins the occurrences whose time has come. wall is the time of day.
func (b *Scheduler) StartDueOccurrences(wall, now time.Time) {
	for _, j := range b.Jobs {
		for n := 0; n < maxBehind && j.scheduled() && !j.Phase.Over() && j.NextOccurrence < j.Spec.OccurrenceCount && !wall.Before(j.dueAt(j.NextOccurrence)); n++ {
			b.open(j, j.NextOccurrence, now)
		}
	}
}

// end makes a job's phase final, and stops what it runs.
func (b *Scheduler) end(j *Job, phase stepfold.Phase, now time.Time) {
	j.Phase, j.EndedAt = phase, now
	b.dirty[j.Spec.ID] = true
	b.event(Event{Kind: "jobOver", Job: j.Spec.ID, Reason: string(phase)})
	b.stopAll(j, now, "job "+string(phase))
}

func (b *Scheduler) stopAll(j *Job, now time.Time, reason string) {
	for _, occurrence := range j.Occurrences {
		for _, s := range occurrence {
			for _, t := range s.Tasks {
				if t.Active {
					b.stop(t, now, reason)
				}
			}
		}
	}
}

// settleOccurrences ends occurrences, and the job, whose tasks are all done.
func (b *Scheduler) settleOccurrences(j *Job, now time.Time) {
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
		b.end(j, stepfold.PhaseCompleted, now)
	}
}

// progress is what has to last of a job.
func (j *Job) progress(wall time.Time) stepfold.Progress {
	p := stepfold.Progress{Phase: j.Phase, Begun: j.Begun, Tasks: map[steps.TaskID]stepfold.TaskProgress{}}
	if j.Phase.Over() {
		p.EndedAt = wall
	}
	for _, occurrence := range j.Occurrences {
		for _, s := range occurrence {
			for _, t := range s.Tasks {
				if t.Run == 0 {
					continue
				}
				id := t.ID
				id.Job = ""
				last := stepfold.TaskProgress{Run: t.Run, Done: t.Done, Failures: t.Failures, Checkpoint: t.Checkpoint}
				if t.Active {
					last.Agent, last.Worker = t.Agent, t.Worker
				}
				if t.Done {
					last = stepfold.TaskProgress{Run: t.Run, Done: true}
				}
				p.Tasks[id] = last
			}
		}
	}
	return p
}

// PruneJobs drops jobs that have been over for long enough, and cancellations of
// jobs that were never accepted.
func (b *Scheduler) PruneJobs(now time.Time) {
	for id, at := range b.Cancelled {
		if now.Sub(at) >= b.Timing.KeepStatus {
			delete(b.Cancelled, id)
			b.output.PrunedJobs = append(b.output.PrunedJobs, id)
		}
	}
	for id, j := range b.Jobs {
		if !j.Phase.Over() || now.Sub(j.EndedAt) < b.Timing.KeepStatus || j.open() {
			continue
		}
		delete(b.Jobs, id)
		b.output.PrunedJobs = append(b.output.PrunedJobs, id)
	}
}

func (j *Job) open() bool {
	for _, occurrence := range j.Occurrences {
		for _, s := range occurrence {
			if s.ActiveCount > 0 {
				return true
			}
		}
	}
	return false
}

// TakeOutput returns what has to be stored, and then ordered, since the last call.
// wall is the time of day.
func (b *Scheduler) TakeOutput(wall time.Time) Output {
	o := b.output
	b.output = Output{}
	for id := range b.dirty {
		if j := b.Jobs[id]; j != nil {
			o.Progress = append(o.Progress, stepfold.Progressed{ID: id, Progress: j.progress(wall)})
		}
	}
	clear(b.dirty)
	return o
}

// TakeStops returns the stops since the last call.
func (b *Scheduler) TakeStops() []StopOrder {
	stops := b.stops
	b.stops = nil
	return stops
}

func (b *Scheduler) event(e Event) { b.output.Events = append(b.output.Events, e) }
