package entryd

import (
	"context"
	"errors"
	"fmt"
	"strconv"
	"time"

	"celerypoint.example/celerypoint/admission"
	"celerypoint.example/celerypoint/job"
	"celerypoint.example/celerypoint/jobfold"
	"celerypoint.example/celerypoint/outcome"
	"celerypoint.example/celerypoint/platformlog"
	"celerypoint.example/celerypoint/selector"
	"celerypoint.example/celerypoint/timeline"
)

// ErrUnavailable says that the entry cannot serve the call now and that
// nothing was changed; the caller may ask another entry.
var ErrUnavailable = errors.New("entry unavailable")

func (d *Daemon) newJobID() string {
	d.jobs.mu.Lock()
	defer d.jobs.mu.Unlock()
	d.jobs.lastJob++
	return strconv.FormatInt(d.jobs.lastJob, 36) + "~" + d.bootID + "~" + d.c.ID
}

func (d *Daemon) recordID(kind string) string {
	d.jobs.mu.Lock()
	defer d.jobs.mu.Unlock()
	d.jobs.lastTry++
	return kind + "~" + strconv.FormatInt(d.jobs.lastTry, 36) + "~" + d.bootID + "~" + d.c.ID
}

// Submit takes a job. The view that it returns has an outcome when the job was
// refused. An error says which field of the job is wrong.
func (d *Daemon) Submit(ctx context.Context, j job.Job) (job.View, error) {
	d.requests.Add(1)
	defer d.requests.Add(-1)
	j.ID = d.newJobID()
	j.AcceptedAt = time.Now()
	if err := j.Check(); err != nil {
		return job.View{}, err
	}
	switch decision := admission.Decide(d.admissionInput(j)).(type) {
	case admission.Refuse:
		d.count("admissionRefused." + decision.Rule)
		d.ring.Add(timeline.Event{Kind: "jobRefused", Job: j.ID, Org: j.Org, Detail: decision.Rule + ": " + decision.Reason})
		return refused(j, outcome.NotRun{Rule: decision.Rule, Reason: decision.Reason}), nil
	default:
	}
	d.count("admissionAdmitted")
	if !j.Recorded() {
		return d.submitShort(j), nil
	}
	return d.submitRecorded(ctx, j)
}

func refused(j job.Job, o outcome.Outcome) job.View {
	return job.View{ID: j.ID, Org: j.Org, Phase: job.PhaseEnded, AcceptedAt: j.AcceptedAt, EndedAt: time.Now(), Outcome: o}
}

func (d *Daemon) admissionInput(j job.Job) admission.Input {
	d.config.mu.Lock()
	o, known := d.config.state.Orgs[j.Org]
	d.config.mu.Unlock()
	in := admission.Input{
		Now: time.Now(), Job: j, OrgKnown: known, ShedRank: o.ShedRank, Leaving: d.refusing.Load(),
		LogDown: d.log.Down(), LogDelay: d.log.Delay(),
	}
	in.QueueLimit = d.laneLimit(j.Urgency)
	s, err := selector.Parse(j.Selector)
	if err != nil {
		return in
	}
	for _, v := range d.recentViews(in.Now) {
		if v.Lost || !s.Matches(v.EffectiveLabels) {
			continue
		}
		in.MatchingVMs++
		in.MatchingAccelerators += v.Accelerators
		in.LargestVM = max(in.LargestVM, v.Accelerators)
		servers := v.Slots
		if j.AcceleratorsPerTask > 0 {
			servers = min(servers, v.Accelerators/j.AcceleratorsPerTask)
		}
		in.Concurrency += servers
	}
	in.Queued, in.ExpectedRun, in.QueuedRun = d.queued(j)
	return in
}

func (d *Daemon) laneLimit(u job.Urgency) int {
	switch u {
	case job.UrgencyUrgent:
		return d.c.UrgentQueue
	case job.UrgencyBatch:
		return d.c.BatchQueue
	default:
		return d.c.NormalQueue
	}
}

// queued counts the jobs of the lane that this entry knows and that wait or,
// for short requests, have not ended. It also returns the expected run times of
// the job and of those ahead of it.
func (d *Daemon) queued(j job.Job) (n int, run, ahead time.Duration) {
	d.jobs.mu.Lock()
	defer d.jobs.mu.Unlock()
	run, ahead = d.jobs.model.ExpectedRun(j), d.jobs.model.MeanRun(j.Urgency)
	if !j.Recorded() {
		return int(d.shorts.Load()), run, ahead
	}
	for _, e := range d.jobs.fold.Jobs {
		if e.Phase == jobfold.PhaseWaiting && e.Job.Urgency == j.Urgency {
			n++
		}
	}
	return n, run, ahead
}

// submitRecorded accepts a job through the log.
func (d *Daemon) submitRecorded(ctx context.Context, j job.Job) (job.View, error) {
	record := platformlog.Record{ID: j.ID, Body: platformlog.JobBody(jobfold.Accepted{Job: j, Region: d.c.Region})}
	offsets, err := d.log.Append(ctx, platformlog.StreamJobs, record)
	switch {
	case errors.Is(err, platformlog.ErrNotAppended):
		d.count("admissionRefused.logUnavailable")
		return refused(j, outcome.NotRun{Rule: "logUnavailable", Reason: err.Error()}), nil
	case err != nil:
		d.count("acceptUnknown")
		return refused(j, outcome.Unknown{Reason: "the job may have been accepted: " + err.Error()}), nil
	}
	winner, err := d.waitAccepted(ctx, j, offsets[0])
	if err != nil {
		return refused(j, outcome.Unknown{Reason: "the job was accepted and not yet read back: " + err.Error()}), nil
	}
	v, ok := d.viewHere(winner)
	if !ok {
		return job.View{}, fmt.Errorf("job %s: %w", winner, ErrUnavailable)
	}
	return v, nil
}

// waitAccepted waits until the record is folded and returns the job that holds
// the claim: the job itself, or an earlier one with the same key.
func (d *Daemon) waitAccepted(ctx context.Context, j job.Job, offset int64) (string, error) {
	for {
		d.jobs.mu.Lock()
		through, changed := d.jobs.fold.Through, d.jobs.changed
		winner := j.ID
		if through >= offset && d.jobs.fold.Jobs[j.ID] == nil {
			winner = d.jobs.fold.Claims[jobfold.Claim{Org: j.Org, Key: j.IdempotencyKey}]
		}
		d.jobs.mu.Unlock()
		if through >= offset {
			return winner, nil
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return "", ctx.Err()
		case <-d.ctx.Done():
			return "", d.ctx.Err()
		}
	}
}

// syncJob brings a job of the table up to the fold; d.jobs.mu is held.
func (d *Daemon) syncJob(id string, e *jobfold.Entry) {
	if e == nil {
		return
	}
	r := d.jobs.byID[id]
	if r == nil {
		r = &running{
			job: e.Job, recorded: true, phase: job.PhaseWaiting, waitSince: e.Job.AcceptedAt,
			avoid: map[string]time.Time{}, done: make(chan struct{}),
		}
		d.jobs.byID[id] = r
	}
	if r.outcome != nil {
		return
	}
	r.cancelAsked = r.cancelAsked || e.CancelAsked
	switch e.Phase {
	case jobfold.PhaseWaiting:
		r.phase, r.vms, r.startedAt = job.PhaseWaiting, nil, time.Time{}
	case jobfold.PhaseCommitted:
		if r.phase == job.PhaseWaiting {
			r.phase = job.PhaseStarting
		}
		r.vms = nil
		for _, m := range e.Members {
			r.vms = append(r.vms, m.VM)
		}
	case jobfold.PhaseEnded:
		r.end(e.Outcome)
	}
}

// end records the outcome; the jobs lock is held. The first outcome counts.
func (r *running) end(o outcome.Outcome) {
	if r.outcome != nil {
		return
	}
	r.outcome, r.phase, r.endedAt = o, job.PhaseEnded, time.Now()
	close(r.done)
}

// keepEnded is how long an ended job is kept for callers that ask again.
const keepEnded = 10 * time.Minute

// tickJobs drops the ended jobs that nobody asks for any more.
func (d *Daemon) tickJobs(now time.Time) {
	d.jobs.mu.Lock()
	defer d.jobs.mu.Unlock()
	if now.Before(d.jobs.purgeAt) {
		return
	}
	d.jobs.purgeAt = now.Add(keepEnded / 10)
	for id, r := range d.jobs.byID {
		if r.outcome != nil && now.After(r.endedAt.Add(keepEnded)) && d.jobs.fold.Jobs[id] == nil {
			delete(d.jobs.byID, id)
			d.jobs.faults.ForgetJob(id)
		}
	}
}

func (r *running) view() job.View {
	return job.View{
		ID: r.job.ID, Org: r.job.Org, Phase: r.phase, VMs: r.vms, AcceptedAt: r.job.AcceptedAt,
		StartedAt: r.startedAt, EndedAt: r.endedAt, WaitsFor: r.waitsFor, Outcome: r.outcome,
	}
}

// viewHere is the view of a job that this entry knows.
func (d *Daemon) viewHere(id string) (job.View, bool) {
	d.jobs.mu.Lock()
	defer d.jobs.mu.Unlock()
	if r := d.jobs.byID[id]; r != nil {
		return r.view(), true
	}
	return job.View{}, false
}

// describe is an outcome as the timeline shows it.
func describe(o outcome.Outcome) string {
	switch o := o.(type) {
	case outcome.Answer:
		return fmt.Sprintf("answer of %d bytes", o.Length)
	case outcome.Failed:
		return "failed: " + o.Reason
	case outcome.NotRun:
		return "notRun: " + o.Rule + ": " + o.Reason
	case outcome.Unknown:
		return "unknown: " + o.Reason
	default:
		return string(outcome.KindOf(o))
	}
}
