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
	// planEvery is the longest span between two planning passes.
	planEvery = time.Second
	// assignDelay joins the announcements of VMs that arrive together into one
	// new assignment.
	assignDelay = 300 * time.Millisecond
	// nextTermDelay is the pause before a planner takes its term back from an
	// entry that it cannot see, so that two entries that are partitioned from
	// each other do not take turns.
	nextTermDelay = 15 * time.Second
	// settleDelay is how long an entry waits for VMs to announce themselves
	// before it says that a job can never run.
	settleDelay = 5 * time.Second
	appendWait  = 5 * time.Second
)

func (d *Daemon) plannerName() string { return d.c.ID + "/" + d.bootID }

// startPlanning runs one pass unless one is in progress.
func (d *Daemon) startPlanning() {
	if !d.planning.CompareAndSwap(false, true) {
		d.kicked.Store(true)
		return
	}
	d.submit(func() {
		defer d.planning.Store(false)
		d.plan(time.Now())
	})
}

// plan is one pass of the planner: take the term, take over attempts, end what
// cannot run, and place what waits.
func (d *Daemon) plan(now time.Time) {
	d.configFromPeers(now)
	d.endHoldOff(now)
	if d.planner(now) != d.c.ID || !d.haveTerm(now) {
		return
	}
	d.takeOver(now)
	d.assign(now)
	waiting := d.waiting(now)
	if len(waiting) == 0 {
		return
	}
	d.config.mu.Lock()
	shares := d.config.state.Assignment
	d.config.mu.Unlock()
	plan := placement.Decide(placement.Input{
		Now: now, Policy: d.c.Placement, VMs: d.views(), Assignment: shares, Waiting: waiting, ExpectedEnds: d.expectedEnds(),
	})
	d.count("planPasses")
	for _, p := range plan.Placements {
		d.propose(p, now)
	}
	for _, w := range plan.Unplaced {
		d.keepWaiting(w, now)
	}
}

// endHoldOff lets this entry take the term at once when it sees the holder:
// then the term was not lost to a partition.
func (d *Daemon) endHoldOff(now time.Time) {
	live := d.liveEntries(now)
	d.jobs.mu.Lock()
	defer d.jobs.mu.Unlock()
	holder, _, _ := strings.Cut(d.jobs.fold.Terms[d.c.Region].Entry, "/")
	if slices.Contains(live, holder) {
		d.jobs.nextTermAt = time.Time{}
	}
}

// haveTerm reports whether this process holds the region's newest term, and
// takes it when it does not.
func (d *Daemon) haveTerm(now time.Time) bool {
	d.jobs.mu.Lock()
	newest := d.jobs.fold.Terms[d.c.Region]
	mine := newest.Number != 0 && newest.Number == d.jobs.term
	held := now.Before(d.jobs.nextTermAt)
	take := !mine && d.jobs.caughtUp && !d.jobs.taking && !held
	if take {
		d.jobs.taking = true
	}
	d.jobs.mu.Unlock()
	if take {
		d.submitLog(func() { d.takeTerm(newest.Number) })
	}
	return mine
}

// takeTerm appends a term record. Its fold tells whether it is valid.
func (d *Daemon) takeTerm(basedOn int64) {
	ctx, cancel := context.WithTimeout(d.ctx, appendWait)
	defer cancel()
	record := jobfold.TermTaken{Region: d.c.Region, Entry: d.plannerName(), BasedOn: basedOn}
	_, err := d.log.Append(ctx, platformlog.StreamJobs, platformlog.Record{ID: d.recordID("term"), Body: platformlog.JobBody(record)})
	d.jobs.mu.Lock()
	d.jobs.taking = false
	d.jobs.mu.Unlock()
	if err != nil {
		d.count("termNotTaken")
	}
	d.kicked.Store(true)
}

// termTaken follows a valid term record. An older planner drops its
// attempts: those not committed never will be, the others are renewed by the
// new planner.
func (d *Daemon) termTaken(region, entryName string, number int64) {
	if region != d.c.Region {
		return
	}
	mine := entryName == d.plannerName()
	holder, _, _ := strings.Cut(entryName, "/")
	holderLive := slices.Contains(d.liveEntries(time.Now()), holder)
	d.jobs.mu.Lock()
	var void []string
	for id, a := range d.jobs.attempts {
		switch {
		case a.Term >= number:
		case a.Phase == gang.PhaseReserving, a.Phase == gang.PhaseCommitting:
			void = append(void, id)
		case !mine:
			d.forget(id)
		}
	}
	held := d.jobs.term != 0
	d.jobs.term = 0
	if mine {
		d.jobs.term = number
	} else if held && !holderLive {
		d.jobs.nextTermAt = time.Now().Add(nextTermDelay)
	}
	d.jobs.mu.Unlock()
	d.logger.WithFields(logrus.Fields{"region": region, "planner": entryName, "offset": number}).Info("planner term taken")
	for _, id := range void {
		d.step(id, gang.CommitVoid{Reason: "a newer planner term at offset " + strconv.FormatInt(number, 10)})
	}
	d.kicked.Store(true)
}

// takeOver resumes the committed attempts that this planner does not hold.
func (d *Daemon) takeOver(now time.Time) {
	d.jobs.mu.Lock()
	var ids []string
	for id, e := range d.jobs.fold.Jobs {
		if e.Phase != jobfold.PhaseCommitted || e.Region != d.c.Region || d.jobs.attempts[e.Attempt] != nil || d.ending(id) {
			continue
		}
		a := gang.Resume(id, e.Attempt, d.jobs.term, e.Job.Idempotent, e.Members, e.CommitOffset, now, d.timing())
		a.RanBefore = e.Commits > 1
		d.jobs.attempts[e.Attempt] = &attempt{Attempt: a, job: e.Job}
		d.jobs.holders[id] = e.Attempt
		ids = append(ids, e.Attempt)
	}
	d.jobs.mu.Unlock()
	for _, id := range ids {
		d.count("attemptTakenOver")
		d.ring.Add(timeline.Event{Kind: "attemptTakenOver", Detail: id})
		d.step(id, gang.Tick{})
	}
}

// ending reports whether an end record of the job is being appended; the jobs
// lock is held.
func (d *Daemon) ending(id string) bool {
	r := d.jobs.byID[id]
	return r != nil && (r.ending || r.outcome != nil)
}

// waiting lists the jobs to place, and ends those that were cancelled or whose
// deadline passed.
func (d *Daemon) waiting(now time.Time) []placement.WaitingJob {
	d.jobs.mu.Lock()
	var waiting, failed []placement.WaitingJob
	ends := map[string]outcome.Outcome{}
	for id, e := range d.jobs.fold.Jobs {
		r := d.jobs.byID[id]
		if e.Phase != jobfold.PhaseWaiting || e.Region != d.c.Region || r == nil || r.ending || r.outcome != nil || d.jobs.holders[id] != "" {
			continue
		}
		switch {
		case r.cancelAsked || e.CancelAsked:
			ends[id] = neverStarted(e, outcome.NotRun{Rule: "cancelledBeforeStart", Reason: "the caller cancelled the job while it waited"})
		case !e.Job.Deadline.IsZero() && now.After(e.Job.Deadline):
			ends[id] = neverStarted(e, outcome.NotRun{Rule: "deadlinePassed", Reason: "the deadline passed while the job waited: " + r.waitsFor})
		default:
			w := placement.WaitingJob{Job: e.Job, WaitingSince: r.waitSince, ExpectedRun: d.jobs.model.ExpectedRun(e.Job), AvoidVMs: d.jobs.faults.FailedVMs(id)}
			if len(w.AvoidVMs) > 0 {
				failed = append(failed, placement.WaitingJob{Job: e.Job, AvoidVMs: d.jobs.faults.FailedVMs(id)})
			}
			for v, until := range r.avoid {
				if now.Before(until) {
					w.AvoidVMs[v] = true
				}
			}
			waiting = append(waiting, w)
		}
	}
	d.jobs.mu.Unlock()
	for _, w := range failed {
		if !d.anotherVM(w.Job, w.AvoidVMs, now) {
			ends[w.Job.ID] = outcome.Failed{Reason: "jobFailsEverywhere: it failed on every VM that its selector allows"}
		}
	}
	for id, o := range ends {
		d.endWaiting(id, o)
	}
	slices.SortFunc(waiting, func(a, b placement.WaitingJob) int {
		if c := a.WaitingSince.Compare(b.WaitingSince); c != 0 {
			return c
		}
		return strings.Compare(a.Job.ID, b.Job.ID)
	})
	return waiting
}

// neverStarted is a refusal for a job that no attempt ever committed. A job
// that ran in part before, and was stopped, did run.
func neverStarted(e *jobfold.Entry, o outcome.NotRun) outcome.Outcome {
	if e.Commits == 0 {
		return o
	}
	return outcome.Failed{Reason: "stopped and not started again: " + o.Reason, Cancelled: o.Rule == "cancelledBeforeStart"}
}

// newestAttempt is the newest attempt that was committed for a job, empty for
// none. An end record names it, also when the attempt was aborted and the job
// waits again. The jobs lock is held.
func (d *Daemon) newestAttempt(id string) string {
	if e := d.jobs.fold.Jobs[id]; e != nil {
		return e.Attempt
	}
	return ""
}

// endWaiting ends a job that has no attempt.
func (d *Daemon) endWaiting(id string, o outcome.Outcome) {
	d.jobs.mu.Lock()
	r := d.jobs.byID[id]
	if r == nil || r.ending || r.outcome != nil {
		d.jobs.mu.Unlock()
		return
	}
	r.ending = true
	attemptID := d.newestAttempt(id)
	d.jobs.mu.Unlock()
	d.submitLog(func() { d.appendEnd(id, attemptID, o) })
}

func (d *Daemon) keepWaiting(w placement.UnplacedJob, now time.Time) {
	d.jobs.mu.Lock()
	r := d.jobs.byID[w.JobID]
	var e *jobfold.Entry
	if r != nil {
		r.waitsFor = w.Rule + ": " + w.Reason
		e = d.jobs.fold.Jobs[w.JobID]
	}
	d.jobs.mu.Unlock()
	if e != nil && w.Unsatisfiable && now.Sub(d.startedAt) > settleDelay && now.Sub(r.waitSince) > settleDelay {
		d.endWaiting(w.JobID, neverStarted(e, outcome.NotRun{Rule: w.Rule, Reason: w.Reason}))
	}
}

// propose begins an attempt.
func (d *Daemon) propose(p placement.Placement, now time.Time) {
	d.jobs.mu.Lock()
	e := d.jobs.fold.Jobs[p.JobID]
	if e == nil || d.jobs.holders[p.JobID] != "" || d.jobs.term == 0 {
		d.jobs.mu.Unlock()
		return
	}
	d.jobs.lastTry++
	id := fmt.Sprintf("%s/%d.%d", p.JobID, d.jobs.term, d.jobs.lastTry)
	var members []gang.Member
	rank := 0
	for _, m := range p.Members {
		members = append(members, gang.Member{VM: m.VM, Tasks: m.Tasks, FirstRank: rank, Reclaim: m.Reclaim})
		rank += m.Tasks
	}
	a := gang.New(p.JobID, id, d.jobs.term, e.Job.Idempotent, members)
	a.RanBefore = e.Commits > 0
	d.jobs.attempts[id] = &attempt{Attempt: a, job: e.Job}
	d.jobs.holders[p.JobID] = id
	for _, m := range p.Members {
		d.jobs.faults.StartProbe(m.VM, p.JobID, now)
	}
	if r := d.jobs.byID[p.JobID]; r != nil {
		r.waitsFor = ""
	}
	d.jobs.mu.Unlock()
	d.count("attemptProposed")
	d.ring.Add(timeline.Event{At: now, Kind: "attemptProposed", Job: p.JobID, Org: e.Job.Org, Detail: fmt.Sprintf("%s on %d VMs", id, len(members))})
	d.step(id, gang.Proposed{})
}

// expectedEnds says when the running attempts are expected to end.
func (d *Daemon) expectedEnds() map[string]time.Time {
	d.jobs.mu.Lock()
	defer d.jobs.mu.Unlock()
	ends := map[string]time.Time{}
	for id, a := range d.jobs.attempts {
		r := d.jobs.byID[a.JobID]
		if r == nil || r.startedAt.IsZero() {
			continue
		}
		if end := d.jobs.model.ExpectedEnd(a.job, r.startedAt); !end.IsZero() {
			ends[id] = end
		}
	}
	return ends
}

// assign makes the guarantee assignment anew when the organisations or the VMs
// have changed.
func (d *Daemon) assign(now time.Time) {
	due := d.assignDue.Load()
	if due == 0 || now.UnixMilli() < due || now.Sub(d.startedAt) < assignDelay || d.log.Down() {
		return
	}
	d.assignDue.CompareAndSwap(due, 0)
	d.config.mu.Lock()
	state := d.config.state
	orgs := make([]org.Org, 0, len(state.Orgs))
	for _, o := range state.Orgs {
		orgs = append(orgs, o)
	}
	previous, version := state.Assignment, state.Versions["assignment"]
	d.config.mu.Unlock()
	slices.SortFunc(orgs, func(a, b org.Org) int { return strings.Compare(a.Name, b.Name) })
	next := guarantee.Assign(orgs, d.views(), previous)
	if sameAssignment(previous, next) {
		return
	}
	d.count("assignmentChanged")
	record := configfold.Record{ID: d.recordID("assignment"), BasedOn: version, Change: configfold.PutAssignment{Assignment: next}}
	d.submitLog(func() {
		ctx, cancel := context.WithTimeout(d.ctx, appendWait)
		defer cancel()
		if _, err := d.log.Append(ctx, platformlog.StreamConfig, platformlog.Record{ID: record.ID, Body: platformlog.ConfigBody(record)}); err != nil {
			d.assignDue.Store(time.Now().Add(assignDelay).UnixMilli())
			return
		}
		for _, name := range next.Unmet {
			d.logger.WithField("organisation", name).Warn("guaranteed shape does not fit on the VMs")
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

// appendEnd appends an end record until it is in the log or another end is.
func (d *Daemon) appendEnd(id, attemptID string, o outcome.Outcome) {
	d.jobs.mu.Lock()
	record := jobfold.Ended{JobID: id, Attempt: attemptID, Term: d.jobs.term, Outcome: o}
	d.jobs.mu.Unlock()
	d.appendUntilKnown("ended", record, func() bool {
		d.jobs.mu.Lock()
		defer d.jobs.mu.Unlock()
		e := d.jobs.fold.Jobs[id]
		return e == nil || e.Outcome != nil || e.Attempt != attemptID
	})
	d.jobs.mu.Lock()
	if r := d.jobs.byID[id]; r != nil {
		r.ending = false
	}
	d.jobs.mu.Unlock()
	d.kicked.Store(true)
}

// appendUntilKnown appends a record until it is in the log or over says that
// it no longer matters. The record has one identifier, so a repeated append
// changes nothing.
func (d *Daemon) appendUntilKnown(kind string, record jobfold.Record, over func() bool) {
	id := d.recordID(kind)
	for d.ctx.Err() == nil && !over() {
		ctx, cancel := context.WithTimeout(d.ctx, appendWait)
		offsets, err := d.log.Append(ctx, platformlog.StreamJobs, platformlog.Record{ID: id, Body: platformlog.JobBody(record)})
		cancel()
		if err == nil {
			d.waitFolded(offsets[0])
			return
		}
		if !errors.Is(err, platformlog.ErrNotAppended) {
			d.count("appendUnknown")
		}
		d.pause(retryDelay)
	}
}

// waitFolded waits until the jobs stream is folded through an offset.
func (d *Daemon) waitFolded(offset int64) {
	for {
		d.jobs.mu.Lock()
		through, changed := d.jobs.fold.Through, d.jobs.changed
		d.jobs.mu.Unlock()
		if through >= offset {
			return
		}
		select {
		case <-changed:
		case <-d.ctx.Done():
			return
		}
	}
}
