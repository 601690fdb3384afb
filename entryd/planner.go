package entryd

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/sirupsen/logrus"

	"celerypoint.example/celerypoint/configfold"
	"celerypoint.example/celerypoint/gang"
	"celerypoint.example/celerypoint/guarantee"
	"celerypoint.example/celerypoint/jobfold"
	"celerypoint.example/celerypoint/org"
	"celerypoint.example/celerypoint/outcome"
	"celerypoint.example/celerypoint/placement"
	"celerypoint.example/celerypoint/platformlog"
	"celerypoint.example/celerypoint/timeline"
)

const (
	// maxPlanInterval is the maximum time between two planning passes.
	maxPlanInterval = time.Second
	// assignDebounce is the delay between a change and the new guarantee
	// assignment, so that VMs that announce themselves together cause only one.
	assignDebounce = 300 * time.Millisecond
	// termBackoff is the pause before an entry takes a new term after it lost its
	// term to an entry that is not among its eligible peers. Without the pause, two
	// entries that cannot reach each other would alternate as the planner.
	termBackoff = 15 * time.Second
	// settleDelay is how long after its start an entry expects more VMs to
	// announce themselves. A job that cannot run on the known VMs is ended only
	// when the entry has run, and the job has waited, for longer than that.
	settleDelay = 5 * time.Second
	// appendTimeout is the time limit of an append to the log that has no time
	// limit from a caller or a reservation.
	appendTimeout = 5 * time.Second
)

// plannerName identifies this process in term records. The boot ID distinguishes
// it from an earlier process of the same entry.
func (d *Daemon) plannerName() string { return d.cfg.ID + "/" + d.bootID }

// startPlanning queues a planning pass. While one is in progress, it requests the
// next one instead.
func (d *Daemon) startPlanning() {
	if !d.planning.CompareAndSwap(false, true) {
		d.planRequested.Store(true)
		return
	}
	d.runOnPool(func() {
		defer d.planning.Store(false)
		d.plan(time.Now())
	})
}

// plan makes one planning pass. When this entry is the planner and this process
// holds the newest term of the region, it takes over committed attempts, updates the
// guarantee assignment, ends waiting jobs that cannot run, and places those of the others that
// fit now. The rest goes on waiting.
func (d *Daemon) plan(now time.Time) {
	d.fetchConfigFromPeers(now)
	d.clearTermBackoff(now)
	if d.planner(now) != d.cfg.ID || !d.ensureTerm(now) {
		return
	}
	d.takeOverAttempts(now)
	d.updateAssignment(now)
	waiting := d.collectWaiting(now)
	if len(waiting) == 0 {
		return
	}
	d.config.mu.Lock()
	shares := d.config.state.Assignment
	d.config.mu.Unlock()
	plan := placement.Decide(placement.Input{
		Now: now, Policy: d.cfg.Placement, VMs: d.vmViews(), Assignment: shares, Waiting: waiting, ExpectedEnds: d.expectedEnds(),
	})
	d.count("planPasses")
	for _, p := range plan.Placements {
		d.propose(p, now)
	}
	for _, w := range plan.Unplaced {
		d.handleUnplaced(w, now)
	}
}

// clearTermBackoff ends the backoff of this entry when the holder of the newest
// term is an eligible peer. Hellos, the heartbeats between entries, then arrive
// from the holder, so the backoff, which is for entries that cannot reach each other, is not needed.
func (d *Daemon) clearTermBackoff(now time.Time) {
	live := d.eligiblePeers(now)
	d.jobs.mu.Lock()
	defer d.jobs.mu.Unlock()
	holder, _, _ := strings.Cut(d.jobs.logState.Terms[d.cfg.Region].Entry, "/")
	if slices.Contains(live, holder) {
		d.jobs.termBackoffUntil = time.Time{}
	}
}

// ensureTerm reports whether this process holds the newest term of the region. If
// it does not, it starts to take a new term, unless it has not read the whole log
// yet, is taking one already, or is backing off.
func (d *Daemon) ensureTerm(now time.Time) bool {
	d.jobs.mu.Lock()
	newest := d.jobs.logState.Terms[d.cfg.Region]
	mine := newest.Number != 0 && newest.Number == d.jobs.term
	backingOff := now.Before(d.jobs.termBackoffUntil)
	take := !mine && d.jobs.caughtUp && !d.jobs.takingTerm && !backingOff
	if take {
		d.jobs.takingTerm = true
	}
	d.jobs.mu.Unlock()
	if take {
		d.runOnLogPool(func() { d.takeTerm(newest.Number) })
	}
	return mine
}

// takeTerm appends a term record. The record is valid only if basedOn is the
// region's newest term at the record's place in the log. Whether it is, is known
// when the record is read back; see applyTermTaken.
func (d *Daemon) takeTerm(basedOn int64) {
	ctx, cancel := context.WithTimeout(d.ctx, appendTimeout)
	defer cancel()
	record := jobfold.TermTaken{Region: d.cfg.Region, Entry: d.plannerName(), BasedOn: basedOn}
	_, err := d.log.Append(ctx, platformlog.StreamJobs, platformlog.Record{ID: d.recordID("term"), Body: platformlog.JobBody(record)})
	d.jobs.mu.Lock()
	d.jobs.takingTerm = false
	d.jobs.mu.Unlock()
	if err != nil {
		d.count("termNotTaken")
	}
	d.planRequested.Store(true)
}

// applyTermTaken updates the attempts and the term of this process after a valid
// term record. Attempts of older terms without a commit record end, because a
// commit record would be void. If another process took the term, this one drops
// its committed attempts, which the new planner takes over and renews.
func (d *Daemon) applyTermTaken(region, entryName string, number int64) {
	if region != d.cfg.Region {
		return
	}
	mine := entryName == d.plannerName()
	holder, _, _ := strings.Cut(entryName, "/")
	holderLive := slices.Contains(d.eligiblePeers(time.Now()), holder)
	d.jobs.mu.Lock()
	var void []string
	for attemptID, a := range d.jobs.attempts {
		switch {
		case a.Term >= number:
		case a.Phase == gang.PhaseReserving, a.Phase == gang.PhaseCommitting:
			void = append(void, attemptID)
		case !mine:
			d.dropAttempt(attemptID)
		}
	}
	heldTerm := d.jobs.term != 0
	d.jobs.term = 0
	if mine {
		d.jobs.term = number
	} else if heldTerm && !holderLive {
		d.jobs.termBackoffUntil = time.Now().Add(termBackoff)
	}
	d.jobs.mu.Unlock()
	d.logger.WithFields(logrus.Fields{"region": region, "planner": entryName, "offset": number}).Info("planner term taken")
	for _, attemptID := range void {
		d.step(attemptID, gang.CommitVoid{Reason: "superseded by the planner term at offset " + strconv.FormatInt(number, 10)})
	}
	d.planRequested.Store(true)
}

// takeOverAttempts begins to manage the committed attempts of the region that this
// process does not manage yet, because an earlier planner started them.
func (d *Daemon) takeOverAttempts(now time.Time) {
	d.jobs.mu.Lock()
	var ids []string
	for id, e := range d.jobs.logState.Jobs {
		if e.Phase != jobfold.PhaseCommitted || e.Region != d.cfg.Region || d.jobs.attempts[e.Attempt] != nil || d.endedOrEnding(id) {
			continue
		}
		a := gang.TakeOver(id, e.Attempt, d.jobs.term, e.Job.Idempotent, e.Members, e.CommitOffset, now, d.timing())
		a.RanBefore = e.CommitCount > 1
		d.jobs.attempts[e.Attempt] = &attempt{Attempt: a, job: e.Job}
		d.jobs.attemptByJob[id] = e.Attempt
		ids = append(ids, e.Attempt)
	}
	d.jobs.mu.Unlock()
	for _, id := range ids {
		d.count("attemptTakenOver")
		d.ring.Add(timeline.Event{Kind: "attemptTakenOver", Detail: id})
		d.step(id, gang.Tick{})
	}
}

// endedOrEnding reports whether the job has an outcome or its end record is being
// appended. The caller holds d.jobs.mu.
func (d *Daemon) endedOrEnding(jobID string) bool {
	r := d.jobs.byID[jobID]
	return r != nil && (r.endPending || r.outcome != nil)
}

// collectWaiting returns the jobs to place, longest waiting first. It ends waiting
// jobs that were cancelled, whose deadline passed, or that failed somewhere and for
// which hasUntriedVM finds no other VM.
func (d *Daemon) collectWaiting(now time.Time) []placement.WaitingJob {
	d.jobs.mu.Lock()
	var waiting, failed []placement.WaitingJob
	ends := map[string]outcome.Outcome{}
	for jobID, e := range d.jobs.logState.Jobs {
		r := d.jobs.byID[jobID]
		if e.Phase != jobfold.PhaseWaiting || e.Region != d.cfg.Region || r == nil || r.endPending || r.outcome != nil || d.jobs.attemptByJob[jobID] != "" {
			continue
		}
		switch {
		case r.cancelRequested || e.CancelRequested:
			ends[jobID] = notRunOrFailed(e, outcome.NotRun{Rule: "cancelledBeforeStart", Reason: "the caller cancelled the job while it waited"})
		case !e.Job.Deadline.IsZero() && now.After(e.Job.Deadline):
			ends[jobID] = notRunOrFailed(e, outcome.NotRun{Rule: "deadlinePassed", Reason: "the deadline passed while the job waited: " + r.waitsFor})
		default:
			w := placement.WaitingJob{Job: e.Job, WaitingSince: r.waitingSince, ExpectedRun: d.jobs.runTimes.ExpectedRun(e.Job), AvoidVMs: d.jobs.failures.FailedVMs(jobID)}
			if len(w.AvoidVMs) > 0 {
				failed = append(failed, placement.WaitingJob{Job: e.Job, AvoidVMs: d.jobs.failures.FailedVMs(jobID)})
			}
			for vmID, until := range r.avoidUntil {
				if now.Before(until) {
					w.AvoidVMs[vmID] = true
				}
			}
			waiting = append(waiting, w)
		}
	}
	d.jobs.mu.Unlock()
	for _, w := range failed {
		if !d.hasUntriedVM(w.Job, w.AvoidVMs, now) {
			ends[w.Job.ID] = outcome.Failed{Reason: "jobFailsEverywhere: it failed on every VM that matches its selector"}
		}
	}
	for jobID, o := range ends {
		d.endWaitingJob(jobID, o)
	}
	waiting = slices.DeleteFunc(waiting, func(w placement.WaitingJob) bool { return ends[w.Job.ID] != nil })
	slices.SortFunc(waiting, func(a, b placement.WaitingJob) int {
		if c := a.WaitingSince.Compare(b.WaitingSince); c != 0 {
			return c
		}
		return strings.Compare(a.Job.ID, b.Job.ID)
	})
	return waiting
}

// notRunOrFailed returns the outcome of a waiting job that is ended for the given
// reason. It is NotRun only when no attempt was ever committed. Otherwise the job
// may have run in part before it was stopped, and the outcome is Failed.
func notRunOrFailed(e *jobfold.JobState, o outcome.NotRun) outcome.Outcome {
	if e.CommitCount == 0 {
		return o
	}
	return outcome.Failed{Reason: "stopped and not started again: " + o.Reason, Cancelled: o.Rule == "cancelledBeforeStart"}
}

// newestAttempt returns the ID of the newest committed attempt of a job, or "". An
// end record has to name it, also when the attempt was aborted and the job waits
// again. The caller holds d.jobs.mu.
func (d *Daemon) newestAttempt(jobID string) string {
	if e := d.jobs.logState.Jobs[jobID]; e != nil {
		return e.Attempt
	}
	return ""
}

// endWaitingJob ends a job that waits and has no attempt in progress.
func (d *Daemon) endWaitingJob(jobID string, o outcome.Outcome) {
	d.jobs.mu.Lock()
	r := d.jobs.byID[jobID]
	if r == nil || r.endPending || r.outcome != nil {
		d.jobs.mu.Unlock()
		return
	}
	r.endPending = true
	attemptID := d.newestAttempt(jobID)
	d.jobs.mu.Unlock()
	d.runOnLogPool(func() { d.appendEnd(jobID, attemptID, o) })
}

// handleUnplaced stores why the planner could not place a job. A job that can never
// run on the known VMs is ended once this entry has run, and the job has waited, for
// longer than settleDelay.
func (d *Daemon) handleUnplaced(w placement.UnplacedJob, now time.Time) {
	d.jobs.mu.Lock()
	r := d.jobs.byID[w.JobID]
	var e *jobfold.JobState
	if r != nil {
		r.waitsFor = w.Rule + ": " + w.Reason
		e = d.jobs.logState.Jobs[w.JobID]
	}
	d.jobs.mu.Unlock()
	if e != nil && w.Unsatisfiable && now.Sub(d.startedAt) > settleDelay && now.Sub(r.waitingSince) > settleDelay {
		d.endWaitingJob(w.JobID, notRunOrFailed(e, outcome.NotRun{Rule: w.Rule, Reason: w.Reason}))
	}
}

// newAttemptID returns the ID of an attempt. Of the attempts of a job, a later one has a
// higher term or, in the same term, a higher sequence number.
func newAttemptID(jobID string, term, sequence int64) string {
	return fmt.Sprintf("%s/%d.%d", jobID, term, sequence)
}

// precedes reports whether an attempt is an earlier one of the same job than the other. It
// is false for IDs that newAttemptID did not make.
func precedes(attemptID, other string) bool {
	term, sequence, ok := parseAttemptID(attemptID)
	otherTerm, otherSequence, otherOK := parseAttemptID(other)
	return ok && otherOK && (term < otherTerm || term == otherTerm && sequence < otherSequence)
}

func parseAttemptID(id string) (term, sequence int64, ok bool) {
	first, second, _ := strings.Cut(id[strings.LastIndexByte(id, '/')+1:], ".")
	term, err1 := strconv.ParseInt(first, 10, 64)
	sequence, err2 := strconv.ParseInt(second, 10, 64)
	return term, sequence, err1 == nil && err2 == nil
}

// propose starts an attempt to run a job on the VMs that the plan chose, unless the job
// has ended or is being ended meanwhile.
func (d *Daemon) propose(p placement.Placement, now time.Time) {
	d.jobs.mu.Lock()
	e := d.jobs.logState.Jobs[p.JobID]
	if e == nil || d.jobs.attemptByJob[p.JobID] != "" || d.jobs.term == 0 || d.endedOrEnding(p.JobID) {
		d.jobs.mu.Unlock()
		return
	}
	d.jobs.idSequence++
	attemptID := newAttemptID(p.JobID, d.jobs.term, d.jobs.idSequence)
	var members []gang.Member
	rank := 0
	for _, m := range p.Members {
		members = append(members, gang.Member{VM: m.VM, Tasks: m.Tasks, FirstRank: rank, Reclaim: m.Reclaim})
		rank += m.Tasks
	}
	a := gang.New(p.JobID, attemptID, d.jobs.term, e.Job.Idempotent, members)
	a.RanBefore = e.CommitCount > 0
	d.jobs.attempts[attemptID] = &attempt{Attempt: a, job: e.Job}
	d.jobs.attemptByJob[p.JobID] = attemptID
	for _, m := range p.Members {
		d.jobs.failures.StartProbe(m.VM, p.JobID, now)
	}
	if r := d.jobs.byID[p.JobID]; r != nil {
		r.waitsFor = ""
	}
	d.jobs.mu.Unlock()
	d.count("attemptProposed")
	d.ring.Add(timeline.Event{At: now, Kind: "attemptProposed", Job: p.JobID, Org: e.Job.Org, Detail: fmt.Sprintf("%s on %d VMs", attemptID, len(members))})
	d.step(attemptID, gang.Proposed{})
}

// expectedEnds maps the IDs of started attempts to the times at which they are
// expected to end. Attempts without an estimate are left out.
func (d *Daemon) expectedEnds() map[string]time.Time {
	d.jobs.mu.Lock()
	defer d.jobs.mu.Unlock()
	ends := map[string]time.Time{}
	for attemptID, a := range d.jobs.attempts {
		r := d.jobs.byID[a.JobID]
		if r == nil || r.startedAt.IsZero() {
			continue
		}
		if end := d.jobs.runTimes.ExpectedEnd(a.job, r.startedAt); !end.IsZero() {
			ends[attemptID] = end
		}
	}
	return ends
}

// updateAssignment computes the guarantee assignment, which says how many
// accelerators of each VM are guaranteed to each organisation. It does so after the
// organisations or the VMs have changed, and appends a record when the result
// differs.
func (d *Daemon) updateAssignment(now time.Time) {
	due := d.assignAt.Load()
	if due == 0 || now.UnixMilli() < due || now.Sub(d.startedAt) < assignDebounce || d.log.Down() {
		return
	}
	d.assignAt.CompareAndSwap(due, 0)
	d.config.mu.Lock()
	state := d.config.state
	orgs := make([]org.Org, 0, len(state.Orgs))
	for _, o := range state.Orgs {
		orgs = append(orgs, o)
	}
	previous, version := state.Assignment, state.Versions["assignment"]
	d.config.mu.Unlock()
	slices.SortFunc(orgs, func(a, b org.Org) int { return strings.Compare(a.Name, b.Name) })
	next := guarantee.Assign(orgs, d.vmViews(), previous)
	if sameAssignment(previous, next) {
		return
	}
	d.count("assignmentChanged")
	record := configfold.Record{ID: d.recordID("assignment"), BasedOn: version, Change: configfold.PutAssignment{Assignment: next}}
	d.runOnLogPool(func() {
		ctx, cancel := context.WithTimeout(d.ctx, appendTimeout)
		defer cancel()
		if _, err := d.log.Append(ctx, platformlog.StreamConfig, platformlog.Record{ID: record.ID, Body: platformlog.ConfigBody(record)}); err != nil {
			d.assignAt.Store(time.Now().Add(assignDebounce).UnixMilli())
			return
		}
		for _, name := range next.Unmet {
			d.logger.WithField("organisation", name).Warn("the VMs cannot provide the guaranteed shape")
			d.ring.Add(timeline.Event{Kind: "guaranteeUnmet", Org: name})
		}
	})
}

func sameAssignment(a, b guarantee.Assignment) bool {
	if !slices.Equal(a.Unmet, b.Unmet) || len(a.Shares) != len(b.Shares) {
		return false
	}
	for name, vms := range a.Shares {
		if len(vms) != len(b.Shares[name]) {
			return false
		}
		for id, n := range vms {
			if b.Shares[name][id] != n {
				return false
			}
		}
	}
	return true
}

// appendEnd appends the end record of a job. It tries again until the record is in
// the log, the daemon stops, or the record no longer applies because the job has
// ended in another way or has a newer attempt.
func (d *Daemon) appendEnd(jobID, attemptID string, o outcome.Outcome) {
	d.jobs.mu.Lock()
	record := jobfold.Ended{JobID: jobID, Attempt: attemptID, Term: d.jobs.term, Outcome: o}
	d.jobs.mu.Unlock()
	d.appendUntilKnown("ended", record, func() bool {
		d.jobs.mu.Lock()
		defer d.jobs.mu.Unlock()
		e := d.jobs.logState.Jobs[jobID]
		return e == nil || e.Outcome != nil || e.Attempt != attemptID
	})
	d.jobs.mu.Lock()
	if r := d.jobs.byID[jobID]; r != nil {
		r.endPending = false
	}
	d.jobs.mu.Unlock()
	d.planRequested.Store(true)
}

// appendUntilKnown appends a record and waits until it has been applied. It tries
// again until the record is known to be in the log, obsolete reports that the
// record no longer matters, or the daemon stops. Every try has the same record ID.
// A second copy in the log is void, because the first has ended the attempt or the
// job.
func (d *Daemon) appendUntilKnown(kind string, record jobfold.Record, obsolete func() bool) {
	recordID := d.recordID(kind)
	for d.ctx.Err() == nil && !obsolete() {
		ctx, cancel := context.WithTimeout(d.ctx, appendTimeout)
		offsets, err := d.log.Append(ctx, platformlog.StreamJobs, platformlog.Record{ID: recordID, Body: platformlog.JobBody(record)})
		cancel()
		if err == nil {
			d.waitApplied(offsets[0])
			return
		}
		if !errors.Is(err, platformlog.ErrNotAppended) {
			d.count("appendUnknown")
		}
		d.sleep(retryDelay)
	}
}

// waitApplied waits until the record at the offset of the jobs stream and all records
// before it have been applied, or the daemon stops.
func (d *Daemon) waitApplied(offset int64) {
	for {
		d.jobs.mu.Lock()
		lastApplied, changed := d.jobs.logState.LastApplied, d.jobs.changed
		d.jobs.mu.Unlock()
		if lastApplied >= offset {
			return
		}
		select {
		case <-changed:
		case <-d.ctx.Done():
			return
		}
	}
}
