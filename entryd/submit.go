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

// ErrUnavailable means that the entry cannot serve the call now. The caller can ask
// another entry. Change returns it only when nothing was changed. Submit returns it
// when the record of the job is in the log but this entry does not know the job, and Job
// when it is not known whether there is such a job.
var ErrUnavailable = errors.New("entry unavailable")

// newJobID returns a unique job ID. It consists of a number, the boot ID and the ID
// of this entry, separated by "~".
func (d *Daemon) newJobID() string {
	d.jobs.mu.Lock()
	defer d.jobs.mu.Unlock()
	d.jobs.jobSequence++
	return strconv.FormatInt(d.jobs.jobSequence, 36) + "~" + d.bootID + "~" + d.cfg.ID
}

// recordID returns a unique ID for a log record of the given kind.
func (d *Daemon) recordID(kind string) string {
	d.jobs.mu.Lock()
	defer d.jobs.mu.Unlock()
	d.jobs.idSequence++
	return kind + "~" + strconv.FormatInt(d.jobs.idSequence, 36) + "~" + d.bootID + "~" + d.cfg.ID
}

// Submit accepts or refuses a job. The returned view of a job that was refused, or
// that is not known to be accepted, has an outcome. The error says which field of the
// job is invalid, or is ErrUnavailable.
func (d *Daemon) Submit(ctx context.Context, j job.Job) (job.View, error) {
	d.pendingCalls.Add(1)
	defer d.pendingCalls.Add(-1)
	j.ID = d.newJobID()
	j.AcceptedAt = time.Now()
	if err := j.Check(); err != nil {
		return job.View{}, err
	}
	switch decision := admission.Decide(d.admissionInput(j)).(type) {
	case admission.Refuse:
		d.count("admissionRefused." + decision.Rule)
		d.ring.Add(timeline.Event{Kind: "jobRefused", Job: j.ID, Org: j.Org, Detail: decision.Rule + ": " + decision.Reason})
		return refusedView(j, outcome.NotRun{Rule: decision.Rule, Reason: decision.Reason}), nil
	default:
	}
	d.count("admissionAdmitted")
	if !j.Recorded() {
		return d.submitShort(j), nil
	}
	return d.submitRecorded(ctx, j)
}

// refusedView returns the view of a job that was not accepted, or is not known to
// be.
func refusedView(j job.Job, o outcome.Outcome) job.View {
	return job.View{ID: j.ID, Org: j.Org, Phase: job.PhaseEnded, AcceptedAt: j.AcceptedAt, EndedAt: time.Now(), Outcome: o}
}

// admissionInput collects what the decision to admit a job depends on.
func (d *Daemon) admissionInput(j job.Job) admission.Input {
	d.config.mu.Lock()
	o, known := d.config.state.Orgs[j.Org]
	d.config.mu.Unlock()
	in := admission.Input{
		Now: time.Now(), Job: j, OrgKnown: known, ShedRank: o.ShedRank, Leaving: d.refusing.Load(),
		LogDown: d.log.Down(), LogDelay: d.log.AppendDelay(),
	}
	in.QueueLimit = d.queueLimit(j.Urgency)
	s, err := selector.Parse(j.Selector)
	if err != nil {
		return in
	}
	for _, v := range d.recentVMViews(in.Now) {
		if v.Lost || !s.Matches(v.EffectiveLabels) {
			continue
		}
		in.MatchingVMs++
		in.MatchingAccelerators += v.Accelerators
		in.LargestVM = max(in.LargestVM, v.Accelerators)
		capacity := v.Slots
		if j.AcceleratorsPerTask > 0 {
			capacity = min(capacity, v.Accelerators/j.AcceleratorsPerTask)
		}
		in.Concurrency += capacity
	}
	in.Queued, in.ExpectedRun, in.QueuedRun = d.queueLoad(j)
	return in
}

// queueLimit returns the queue limit of an urgency; see Config.UrgentQueue.
func (d *Daemon) queueLimit(u job.Urgency) int {
	switch u {
	case job.UrgencyUrgent:
		return d.cfg.UrgentQueue
	case job.UrgencyBatch:
		return d.cfg.BatchQueue
	default:
		return d.cfg.NormalQueue
	}
}

// queueLoad returns the number of jobs ahead of a job, the expected run time of the
// job, and the mean run time of jobs of its urgency. For a short request, the jobs ahead
// are the short requests of this entry without an outcome. For another job, they
// are the waiting jobs of its urgency that this entry knows.
func (d *Daemon) queueLoad(j job.Job) (n int, expectedRun, queuedRun time.Duration) {
	d.jobs.mu.Lock()
	defer d.jobs.mu.Unlock()
	expectedRun, queuedRun = d.jobs.runTimes.ExpectedRun(j), d.jobs.runTimes.MeanRun(j.Urgency)
	if !j.Recorded() {
		return int(d.pendingShorts.Load()), expectedRun, queuedRun
	}
	for _, e := range d.jobs.logState.Jobs {
		if e.Phase == jobfold.PhaseWaiting && e.Job.Urgency == j.Urgency {
			n++
		}
	}
	return n, expectedRun, queuedRun
}

// submitRecorded accepts a job by appending it to the log.
func (d *Daemon) submitRecorded(ctx context.Context, j job.Job) (job.View, error) {
	record := platformlog.Record{ID: j.ID, Body: platformlog.JobBody(jobfold.Accepted{Job: j, Region: d.cfg.Region})}
	offsets, err := d.log.Append(ctx, platformlog.StreamJobs, record)
	switch {
	case errors.Is(err, platformlog.ErrNotAppended):
		d.count("admissionRefused.logUnavailable")
		return refusedView(j, outcome.NotRun{Rule: "logUnavailable", Reason: err.Error()}), nil
	case err != nil:
		d.count("acceptUnknown")
		return refusedView(j, outcome.Unknown{Reason: "the job may have been accepted: " + err.Error()}), nil
	}
	acceptedID, err := d.waitAccepted(ctx, j, offsets[0])
	if err != nil {
		return refusedView(j, outcome.Unknown{Reason: "the job was accepted and has not been read back from the log: " + err.Error()}), nil
	}
	v, ok := d.localView(acceptedID)
	if !ok {
		return job.View{}, fmt.Errorf("job %s: %w", acceptedID, ErrUnavailable)
	}
	return v, nil
}

// waitAccepted waits until the record at the offset has been applied, and returns
// the ID of the accepted job. That is the ID of the job itself, or of an earlier job
// of the organisation with the same idempotency key.
func (d *Daemon) waitAccepted(ctx context.Context, j job.Job, offset int64) (string, error) {
	if err := d.waitJobsApplied(ctx, offset); err != nil {
		return "", err
	}
	d.jobs.mu.Lock()
	defer d.jobs.mu.Unlock()
	if d.jobs.logState.Jobs[j.ID] == nil {
		return d.jobs.logState.Claims[jobfold.Claim{Org: j.Org, Key: j.IdempotencyKey}], nil
	}
	return j.ID, nil
}

// waitJobsApplied waits until the record of the jobs stream at the offset has been
// applied. It fails when ctx or this entry ends first.
func (d *Daemon) waitJobsApplied(ctx context.Context, offset int64) error {
	for {
		d.jobs.mu.Lock()
		lastApplied, changed := d.jobs.logState.LastApplied, d.jobs.changed
		d.jobs.mu.Unlock()
		if lastApplied >= offset {
			return nil
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return ctx.Err()
		case <-d.ctx.Done():
			return d.ctx.Err()
		}
	}
}

// syncJob updates a job of the table from its state in the log, and adds the job if
// the table lacks it. The caller holds d.jobs.mu.
func (d *Daemon) syncJob(jobID string, e *jobfold.JobState) {
	if e == nil {
		return
	}
	r := d.jobs.byID[jobID]
	if r == nil {
		r = &trackedJob{
			job: e.Job, recorded: true, phase: job.PhaseWaiting, waitingSince: e.Job.AcceptedAt,
			avoidUntil: map[string]time.Time{}, done: make(chan struct{}),
		}
		d.jobs.byID[jobID] = r
	}
	if r.outcome != nil {
		return
	}
	r.cancelRequested = r.cancelRequested || e.CancelRequested
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

// end sets the outcome of the job unless it has one. The caller holds d.jobs.mu if
// the job is in the table.
func (r *trackedJob) end(o outcome.Outcome) {
	if r.outcome != nil {
		return
	}
	r.outcome, r.phase, r.endedAt = o, job.PhaseEnded, time.Now()
	close(r.done)
}

// endedJobRetention is the minimum time for which an ended job is kept for callers
// that ask for it. Recorded jobs are kept at least as long as logState has them.
const endedJobRetention = 10 * time.Minute

// tickJobs removes the jobs that ended more than endedJobRetention ago and are no
// longer in logState.
func (d *Daemon) tickJobs(now time.Time) {
	d.jobs.mu.Lock()
	defer d.jobs.mu.Unlock()
	if now.Before(d.jobs.nextPurgeAt) {
		return
	}
	d.jobs.nextPurgeAt = now.Add(endedJobRetention / 10)
	for id, r := range d.jobs.byID {
		if r.outcome != nil && now.After(r.endedAt.Add(endedJobRetention)) && d.jobs.logState.Jobs[id] == nil {
			delete(d.jobs.byID, id)
			d.jobs.failures.ForgetJob(id)
		}
	}
}

// view returns the job as callers see it. The caller holds d.jobs.mu if the job is in
// the table.
func (r *trackedJob) view() job.View {
	return job.View{
		ID: r.job.ID, Org: r.job.Org, Phase: r.phase, VMs: r.vms, AcceptedAt: r.job.AcceptedAt,
		StartedAt: r.startedAt, EndedAt: r.endedAt, WaitsFor: r.waitsFor, Outcome: r.outcome,
	}
}

// lookup returns the view of a job if this entry knows it. A job that it does not know may
// exist until it has read the whole log; the error is then ErrUnavailable.
func (d *Daemon) lookup(jobID string) (job.View, bool, error) {
	d.jobs.mu.Lock()
	defer d.jobs.mu.Unlock()
	if r := d.jobs.byID[jobID]; r != nil {
		return r.view(), true, nil
	}
	if !d.jobs.caughtUp {
		return job.View{}, false, fmt.Errorf("job %s: the log has not been read yet: %w", jobID, ErrUnavailable)
	}
	return job.View{}, false, nil
}

// localView returns the view of a job if this entry knows it.
func (d *Daemon) localView(jobID string) (job.View, bool) {
	d.jobs.mu.Lock()
	defer d.jobs.mu.Unlock()
	if r := d.jobs.byID[jobID]; r != nil {
		return r.view(), true
	}
	return job.View{}, false
}

// describeOutcome returns the text of an outcome for the timeline.
func describeOutcome(o outcome.Outcome) string {
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
