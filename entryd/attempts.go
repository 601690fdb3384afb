package entryd

import (
	"context"
	"errors"
	"time"

	"celerypoint.example/celerypoint/agent"
	"celerypoint.example/celerypoint/codec"
	"celerypoint.example/celerypoint/gang"
	"celerypoint.example/celerypoint/job"
	"celerypoint.example/celerypoint/jobfold"
	"celerypoint.example/celerypoint/outcome"
	"celerypoint.example/celerypoint/platformlog"
	"celerypoint.example/celerypoint/timeline"
	"celerypoint.example/celerypoint/wire"
)

func (d *Daemon) timing() gang.Timing {
	return gang.Timing{Reservation: d.c.Reservation, Lease: d.c.GangLease, ConfirmEvery: d.c.ConfirmEvery, Reclaim: d.c.Reclaim}
}

// step applies an event to an attempt and carries out the orders that follow.
func (d *Daemon) step(id string, e gang.Event) {
	now := time.Now()
	d.jobs.mu.Lock()
	a := d.jobs.attempts[id]
	if a == nil {
		d.jobs.mu.Unlock()
		return
	}
	before := a.Phase
	next, orders := gang.Step(a.Attempt, e, now, d.timing())
	a.Attempt = next
	j := a.job
	r := d.jobs.byID[a.JobID]
	if before != gang.PhaseRunning && next.Phase == gang.PhaseRunning && r != nil && r.outcome == nil {
		r.phase, r.startedAt = job.PhaseRunning, now
	}
	if refused, ok := e.(gang.Refused); ok && r != nil {
		r.avoid[refused.VM] = now.Add(avoidFor)
	}
	checkpoint := int64(0)
	if f := d.jobs.fold.Jobs[a.JobID]; f != nil {
		checkpoint = f.CheckpointMs
	}
	if next.Phase == gang.PhaseEnded && !ends(orders) {
		// Nothing was committed, so the job simply waits again.
		d.forget(id)
		d.kicked.Store(true)
	}
	d.jobs.mu.Unlock()
	if before != next.Phase {
		d.ring.Add(timeline.Event{At: now, Kind: "attempt" + phaseName(next.Phase), Job: next.JobID, Org: j.Org, Detail: id + " " + next.Reason})
	}
	for _, o := range orders {
		d.carryOut(next, j, checkpoint, o, now)
	}
}

func ends(orders []gang.Order) bool {
	for _, o := range orders {
		switch o.(type) {
		case gang.Abort, gang.End:
			return true
		}
	}
	return false
}

func phaseName(p gang.Phase) string {
	switch p {
	case gang.PhaseReserving:
		return "Reserving"
	case gang.PhaseCommitting:
		return "Committing"
	case gang.PhaseStarting:
		return "Starting"
	case gang.PhaseRunning:
		return "Running"
	case gang.PhaseAborting:
		return "Aborting"
	default:
		return "Ended"
	}
}

// tickAttempts tells every attempt that time has passed.
func (d *Daemon) tickAttempts(time.Time) {
	d.jobs.mu.Lock()
	ids := make([]string, 0, len(d.jobs.attempts))
	for id, a := range d.jobs.attempts {
		if a.Phase != gang.PhaseEnded {
			ids = append(ids, id)
		}
	}
	d.jobs.mu.Unlock()
	for _, id := range ids {
		d.step(id, gang.Tick{})
	}
}

// carryOut does what an order says. It does not wait: replies come back as
// events.
func (d *Daemon) carryOut(a gang.Attempt, j job.Job, checkpointMs int64, o gang.Order, now time.Time) {
	switch o := o.(type) {
	case gang.Reserve:
		d.reserve(a, j, o, now)
	case gang.Commit:
		d.submitLog(func() { d.commit(a) })
	case gang.Start:
		d.start(a, j, checkpointMs, o, now)
	case gang.Confirm:
		d.confirm(a, o, now)
	case gang.Renew:
		if conn := d.agentOf(o.VM); conn != nil {
			p := wire.RenewParams{Attempt: a.ID, Round: o.AgentRound, LeaseMs: int(o.Lease.Milliseconds())}
			send(d, conn, agent.MethodRenew, p, now.Add(orderTimeout), func(r wire.RenewResult, err error) {
				if err == nil && !r.Renewed {
					d.count("renewRefused")
				}
			})
		}
	case gang.Release:
		d.release(a, o, now)
	case gang.Abort:
		d.aborted(a, o)
	case gang.End:
		d.ended(a, o)
	}
}

func memberOf(a gang.Attempt, id string) gang.Member {
	for _, m := range a.Members {
		if m.VM == id {
			return m
		}
	}
	return gang.Member{}
}

func (d *Daemon) bootOf(id string) string {
	d.vms.mu.Lock()
	defer d.vms.mu.Unlock()
	if t := d.vms.byID[id]; t != nil {
		return t.vm.BootID
	}
	return ""
}

func (d *Daemon) reserve(a gang.Attempt, j job.Job, o gang.Reserve, now time.Time) {
	conn := d.agentOf(o.VM)
	if conn == nil {
		d.submit(func() {
			d.step(a.ID, gang.Refused{VM: o.VM, Rule: "noVMReachable", Reason: "no connection to the agent"})
		})
		return
	}
	m := memberOf(a, o.VM)
	p := wire.ReserveParams{
		Job: a.JobID, Org: j.Org, Attempt: a.ID, Term: int(a.Term), Tasks: m.Tasks, AcceleratorsPerTask: j.AcceleratorsPerTask,
		Preemptible: j.Preemptible, Urgency: string(j.Urgency), HoldMs: int(o.Hold.Milliseconds()), Reclaim: m.Reclaim, Config: d.vmConfig(o.VM),
	}
	boot := d.bootOf(o.VM)
	send(d, conn, agent.MethodReserve, p, now.Add(o.Hold), func(r wire.GrantResult, err error) {
		switch {
		case err != nil:
			d.count("gangReserveUnreachable")
			d.step(a.ID, gang.Unreachable{VM: o.VM})
		case r.Status == wire.GrantStatusGranted:
			d.reservedLate(a, o.VM)
			d.step(a.ID, gang.Reserved{VM: o.VM, BootID: boot})
		default:
			d.count("gangReserveConflict")
			d.ring.Add(timeline.Event{Kind: "reserveRefused", Job: a.JobID, VM: o.VM, Detail: r.Rule + ": " + r.Reason})
			d.step(a.ID, gang.Refused{VM: o.VM, Rule: r.Rule, Reason: r.Reason})
		}
	})
}

// reservedLate releases a reservation whose attempt is already dropped.
func (d *Daemon) reservedLate(a gang.Attempt, id string) {
	d.jobs.mu.Lock()
	held := d.jobs.attempts[a.ID] != nil
	d.jobs.mu.Unlock()
	if !held {
		d.release(a, gang.Release{VM: id}, time.Now())
	}
}

// commit appends the commit record. Its fold tells whether it is valid. When
// it is unknown whether it was appended, a new term settles it: a commit of
// an older term is void from then on.
func (d *Daemon) commit(a gang.Attempt) {
	members := make([]gang.Member, 0, len(a.Members))
	for _, m := range a.Members {
		members = append(members, gang.Member{VM: m.VM, Tasks: m.Tasks, FirstRank: m.FirstRank, BootID: m.BootID})
	}
	ctx, cancel := context.WithDeadline(d.ctx, a.ReservationDeadline)
	defer cancel()
	record := jobfold.Commit{JobID: a.JobID, Attempt: a.ID, Term: a.Term, Members: members}
	_, err := d.log.Append(ctx, platformlog.StreamJobs, platformlog.Record{ID: "commit~" + a.ID, Body: platformlog.JobBody(record)})
	switch {
	case err == nil:
	case errors.Is(err, platformlog.ErrNotAppended):
		d.count("commitNotAppended")
		d.step(a.ID, gang.CommitVoid{Reason: err.Error()})
	default:
		d.count("commitUnknown")
		d.takeNextTerm(a.Term)
	}
}

// takeNextTerm takes a new term until one newer than the given one is folded.
func (d *Daemon) takeNextTerm(term int64) {
	for d.ctx.Err() == nil {
		d.jobs.mu.Lock()
		newest := d.jobs.fold.Terms[d.c.Region].Number
		d.jobs.mu.Unlock()
		if newest != term {
			return
		}
		d.takeTerm(term)
		d.pause(retryDelay)
	}
}

func (d *Daemon) start(a gang.Attempt, j job.Job, checkpointMs int64, o gang.Start, now time.Time) {
	id := o.VM
	conn := d.agentOf(id)
	if conn == nil {
		d.submit(func() {
			d.step(a.ID, gang.StartFailed{VM: id, Rule: "noVMReachable", Reason: "no connection to the agent"})
		})
		return
	}
	p := wire.StartParams{
		Job: codec.JobTo(j), Attempt: a.ID, Term: int(a.Term), CommitOffset: int(a.CommitOffset),
		FirstRank: memberOf(a, id).FirstRank, LeaseMs: int(d.c.GangLease.Milliseconds()), ResumeFromMs: int(checkpointMs), Config: d.vmConfig(id),
	}
	send(d, conn, agent.MethodStart, p, now.Add(d.c.Reservation), func(r wire.GrantResult, err error) {
		switch {
		case err != nil:
			d.count("gangStartUnreachable")
			d.step(a.ID, gang.Unreachable{VM: id})
		case r.Status == wire.GrantStatusGranted:
			d.ring.Add(timeline.Event{Kind: "memberStarted", Job: a.JobID, Org: j.Org, VM: id, Detail: a.ID})
			d.step(a.ID, gang.Started{VM: id})
		default:
			d.count("gangStartRefused")
			d.step(a.ID, gang.StartFailed{VM: id, Rule: r.Rule, Reason: r.Reason})
		}
	})
}

func (d *Daemon) confirm(a gang.Attempt, o gang.Confirm, now time.Time) {
	conn := d.agentOf(o.VM)
	if conn == nil {
		d.submit(func() { d.step(a.ID, gang.Unreachable{VM: o.VM}) })
		return
	}
	send(d, conn, agent.MethodConfirm, wire.ConfirmParams{Attempt: a.ID}, now.Add(d.c.GangLease/2), func(r wire.ConfirmResult, err error) {
		switch {
		case err != nil:
			d.count("gangConfirmUnreachable")
			d.step(a.ID, gang.Unreachable{VM: o.VM})
		case r.Running:
			d.endedBefore(a.ID, r.Ended)
			d.step(a.ID, gang.Confirmed{VM: o.VM, AgentRound: r.Round, AttemptRound: o.AttemptRound})
		default:
			d.endedBefore(a.ID, r.Ended)
			d.step(a.ID, gang.NotRunning{VM: o.VM, Reason: "its agent says so"})
		}
	})
}

// endedBefore takes the ends of tasks that were reported to an earlier planner.
// The steps ignore those that this one knows.
func (d *Daemon) endedBefore(attemptID string, ended []wire.TaskEndedParams) {
	for _, p := range ended {
		if e, err := taskEvent(p); err == nil {
			d.step(attemptID, e)
		}
	}
}

func (d *Daemon) release(a gang.Attempt, o gang.Release, now time.Time) {
	conn := d.agentOf(o.VM)
	if conn == nil {
		return
	}
	boot := d.bootOf(o.VM)
	p := wire.ReleaseParams{Job: a.JobID, Attempt: a.ID, Term: int(a.Term), Checkpoint: o.Checkpoint, Reason: a.Reason}
	send(d, conn, agent.MethodRelease, p, now.Add(d.c.Reclaim), func(r wire.ReleaseResult, err error) {
		if err == nil {
			d.step(a.ID, gang.Released{VM: o.VM, BootID: boot, Started: r.Started, CheckpointMs: int64(r.CheckpointMs)})
		}
	})
}

// aborted ends an attempt whose job waits again, unless the job has failed by
// itself on too many VMs.
func (d *Daemon) aborted(a gang.Attempt, o gang.Abort) {
	d.jobs.mu.Lock()
	r := d.jobs.byID[a.JobID]
	d.jobs.mu.Unlock()
	if r != nil && o.FailedVM != "" && d.jobFailed(r, o.FailedVM, o.Reason) {
		d.jobs.mu.Lock()
		r.ending = true
		d.jobs.mu.Unlock()
		failed := outcome.Failed{Reason: "jobFailsEverywhere: lastly on VM " + o.FailedVM + ": " + o.Reason}
		d.submitLog(func() { d.appendEnd(a.JobID, a.ID, failed) })
		return
	}
	d.count("attemptAborted")
	record := jobfold.Abort{JobID: a.JobID, Attempt: a.ID, Reason: o.Reason, Term: a.Term, CheckpointMs: o.CheckpointMs}
	d.submitLog(func() {
		d.appendUntilKnown("abort", record, func() bool {
			d.jobs.mu.Lock()
			defer d.jobs.mu.Unlock()
			e := d.jobs.fold.Jobs[a.JobID]
			return e == nil || e.Outcome != nil || e.Attempt != a.ID || d.jobs.attempts[a.ID] == nil
		})
		d.kicked.Store(true)
	})
}

// ended ends the job. An answer is collected first, so that the end record
// holds it or its checksum.
func (d *Daemon) ended(a gang.Attempt, o gang.End) {
	d.jobs.mu.Lock()
	if r := d.jobs.byID[a.JobID]; r != nil {
		r.ending = true
	}
	d.jobs.mu.Unlock()
	d.submitLog(func() {
		result := o.Outcome
		if answer, ok := result.(outcome.Answer); ok {
			whole, err := d.collect(d.ctx, answer)
			if err != nil {
				d.lostAnswer(a, err)
				return
			}
			result = whole
			// Callers of this entry need not wait for the log to hold the end.
			d.answered(a, whole)
		}
		attemptID := a.ID
		if a.CommitOffset == 0 {
			d.jobs.mu.Lock()
			attemptID = d.newestAttempt(a.JobID)
			d.jobs.mu.Unlock()
		}
		d.appendEnd(a.JobID, attemptID, result)
		d.jobs.mu.Lock()
		d.forget(a.ID)
		d.jobs.mu.Unlock()
	})
}

// answered tells the callers of this entry, and learns from the run.
func (d *Daemon) answered(a gang.Attempt, o outcome.Answer) {
	d.jobs.mu.Lock()
	defer d.jobs.mu.Unlock()
	for _, m := range a.Members {
		d.jobs.faults.RecordSuccess(m.VM)
	}
	r := d.jobs.byID[a.JobID]
	if r == nil {
		return
	}
	if !r.startedAt.IsZero() {
		d.jobs.model.Observe(r.job, time.Since(r.startedAt))
	}
	r.end(o)
}

// lostAnswer follows an attempt that ran whole, but whose answer is gone with
// a VM.
func (d *Daemon) lostAnswer(a gang.Attempt, err error) {
	d.count("answerLost")
	if a.Idempotent {
		d.jobs.mu.Lock()
		if r := d.jobs.byID[a.JobID]; r != nil {
			r.ending = false
		}
		d.jobs.mu.Unlock()
		d.aborted(a, gang.Abort{Reason: "the answer was lost: " + err.Error()})
		return
	}
	d.appendEnd(a.JobID, a.ID, outcome.Unknown{Reason: "the job ran and its answer was lost: " + err.Error()})
}
