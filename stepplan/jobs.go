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
func (b *Board) Configure(t access.Table) {
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

func (b *Board) queue(name string) access.Queue {
	if q, found := b.Queues[name]; found {
		return q
	}
	return access.Queue{Name: name, Priority: lowestPriority, MaxAttempts: 1}
}

// Recover takes over what the records say of a job. inherited is when all
// leases of earlier planners have lapsed, for agents that do not report before.
func (b *Board) Recover(e stepfold.JobState, inherited, now time.Time) {
	if e.Job == nil || b.Jobs[e.Job.ID] != nil {
		return
	}
	j := &Job{
		Spec: *e.Job, Queue: b.queue(e.Job.Queue), Phase: e.Phase(), Begun: e.Progress.Begun,
		Occurrences: map[int][]*Step{}, EndedAt: e.Progress.EndedAt, TakenAt: now, Began: map[int]time.Time{},
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

func (b *Board) recoverTask(j *Job, id steps.TaskID, p stepfold.TaskProgress, inherited, now time.Time) {
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
		s[id.Step].Done++
	case p.Agent != "":
		vm := b.vm(p.Agent)
		if vm.LeaseUntil.Before(inherited) {
			vm.LeaseUntil = inherited
		}
		t.needs = counted(s[id.Step].Spec)
		b.openRun(t, vm, p.Worker, now)
		t.Concluded, t.Running = 0, true
	}
}

// Accept takes over a job that was accepted.
func (b *Board) Accept(spec steps.Job, now time.Time) {
	if b.Jobs[spec.ID] != nil {
		return
	}
	j := &Job{Spec: spec, Queue: b.queue(spec.Queue), Phase: stepfold.PhaseQueued, Occurrences: map[int][]*Step{}, TakenAt: now, Began: map[int]time.Time{}}
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
			{"longRunning", s.LongRunning}, {"fills", s.Fills}, {"rack=" + s.Rack, s.Rack != ""}, {"label=" + s.Label, s.Label != ""},
			{fmt.Sprintf("perVM=%d", s.PerVM), s.PerVM > 0}, {fmt.Sprintf("maxMisses=%d", s.MaxMisses), s.MaxMisses > 0},
			{fmt.Sprintf("targetMs=%d", s.TargetMs), s.TargetMs > 0}, {fmt.Sprintf("after=%v", s.After), len(s.After) > 0},
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
func (b *Board) Cancel(id string, now time.Time) {
	switch j := b.Jobs[id]; {
	case j == nil:
		b.Cancelled[id] = now
	case !j.Phase.Over():
		b.end(j, stepfold.PhaseCancelled, now)
	}
}

func (j *Job) scheduled() bool { return j.Spec.Times > 0 }

// open begins an occurrence.
func (b *Board) open(j *Job, occurrence int, now time.Time) {
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
	j.Began[occurrence] = now
	j.NextOccurrence = max(j.NextOccurrence, occurrence+1)
}

// dueAt is when an occurrence may begin, on the time of day.
func (j *Job) dueAt(occurrence int) time.Time {
	return j.Spec.StartAt.Add(time.Duration(occurrence) * j.Spec.Interval)
}

// maxBehind bounds the occurrences that begin in one pass.
const maxBehind = 64

// Due begins the occurrences whose time has come. wall is the time of day.
func (b *Board) Due(wall, now time.Time) {
	for _, j := range b.Jobs {
		for n := 0; n < maxBehind && j.scheduled() && !j.Phase.Over() && j.NextOccurrence < j.Spec.Times && !wall.Before(j.dueAt(j.NextOccurrence)); n++ {
			b.open(j, j.NextOccurrence, now)
		}
	}
}

// end makes a job's phase final, and stops what it runs.
func (b *Board) end(j *Job, phase stepfold.Phase, now time.Time) {
	j.Phase, j.EndedAt = phase, now
	b.dirty[j.Spec.ID] = true
	b.event(Event{Kind: "jobOver", Job: j.Spec.ID, Reason: string(phase)})
	b.stopAll(j, now, "job "+string(phase))
}

func (b *Board) stopAll(j *Job, now time.Time, reason string) {
	for _, occurrence := range j.Occurrences {
		for _, s := range occurrence {
			for _, t := range s.Tasks {
				if t.Open {
					b.stop(t, now, reason)
				}
			}
		}
	}
}

// settleOccurrences ends occurrences, and the job, whose tasks are all done.
func (b *Board) settleOccurrences(j *Job, now time.Time) {
	if j.Phase.Over() {
		return
	}
	ended := 0
	for _, occurrence := range j.Occurrences {
		done := true
		for _, s := range occurrence {
			done = done && s.Done == len(s.Tasks)
		}
		if done {
			ended++
		}
	}
	total := max(1, j.Spec.Times)
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
				if t.Open {
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

// Forget drops jobs that have been over for long enough, and cancellations of
// jobs that were never accepted.
func (b *Board) Forget(now time.Time) {
	for id, at := range b.Cancelled {
		if now.Sub(at) >= b.Timing.KeepStatus {
			delete(b.Cancelled, id)
			b.output.Forget = append(b.output.Forget, id)
		}
	}
	for id, j := range b.Jobs {
		if !j.Phase.Over() || now.Sub(j.EndedAt) < b.Timing.KeepStatus || j.open() {
			continue
		}
		delete(b.Jobs, id)
		b.output.Forget = append(b.output.Forget, id)
	}
}

func (j *Job) open() bool {
	for _, occurrence := range j.Occurrences {
		for _, s := range occurrence {
			if s.Open > 0 {
				return true
			}
		}
	}
	return false
}

// Take returns what has to be stored, and then ordered, since the last call.
// wall is the time of day.
func (b *Board) Take(wall time.Time) Output {
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
func (b *Board) TakeStops() []StopOrder {
	stops := b.stops
	b.stops = nil
	return stops
}

func (b *Board) event(e Event) { b.output.Events = append(b.output.Events, e) }
