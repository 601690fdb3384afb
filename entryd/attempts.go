package entryd

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"time"

	"celerypoint.example/celerypoint/agent"
	"celerypoint.example/celerypoint/codec"
	"celerypoint.example/celerypoint/crashes"
	"celerypoint.example/celerypoint/gang"
	"celerypoint.example/celerypoint/job"
	"celerypoint.example/celerypoint/jobfold"
	"celerypoint.example/celerypoint/outcome"
	"celerypoint.example/celerypoint/platformlog"
	"celerypoint.example/celerypoint/timeline"
	"celerypoint.example/celerypoint/wire"
)

// timing returns the durations that gang.Step uses.
func (d *Daemon) timing() gang.Timing {
	return gang.Timing{Reservation: d.cfg.Reservation, Lease: d.cfg.GangLease, ConfirmEvery: d.cfg.ConfirmEvery, Reclaim: d.cfg.Reclaim}
}

// step applies an event to an attempt with gang.Step, the state machine of
// attempts, and executes the orders that it returns. Events of unknown attempts
// are ignored.
func (d *Daemon) step(attemptID string, e gang.Event) {
	now := time.Now()
	d.jobs.mu.Lock()
	a := d.jobs.attempts[attemptID]
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
		r.phase, r.startedAt, a.runningSince = job.PhaseRunning, now, now
	}
	if refused, ok := e.(gang.Refused); ok && r != nil {
		r.avoidUntil[refused.VM] = now.Add(avoidDuration)
	}
	checkpoint := int64(0)
	if f := d.jobs.logState.Jobs[a.JobID]; f != nil {
		checkpoint = f.CheckpointMs
	}
	if before != gang.PhaseEnded && next.Phase == gang.PhaseEnded && !closesAttempt(orders) {
		// The attempt was not committed, so the log needs no record of its
		// end, and the job waits again. One that was committed stays until its record is
		// applied, whatever other events arrive.
		d.dropAttempt(attemptID)
		d.planRequested.Store(true)
	}
	d.jobs.mu.Unlock()
	if before != next.Phase {
		d.ring.Add(timeline.Event{At: now, Kind: "attempt" + phaseName(next.Phase), Job: next.JobID, Org: j.Org, Detail: attemptID + " " + next.Reason})
	}
	for _, o := range orders {
		d.execute(next, j, checkpoint, o, now)
	}
}

// closesAttempt reports whether one of the orders appends the record that ends
// the attempt.
func closesAttempt(orders []gang.Order) bool {
	for _, o := range orders {
		switch o.(type) {
		case gang.Abort, gang.End:
			return true
		}
	}
	return false
}

// phaseName returns the phase as the names of timeline events spell it.
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

// tickAttempts makes every attempt check its deadlines.
func (d *Daemon) tickAttempts(time.Time) {
	d.jobs.mu.Lock()
	ids := make([]string, 0, len(d.jobs.attempts))
	for attemptID, a := range d.jobs.attempts {
		if a.Phase != gang.PhaseEnded {
			ids = append(ids, attemptID)
		}
	}
	d.jobs.mu.Unlock()
	for _, attemptID := range ids {
		d.step(attemptID, gang.Tick{})
	}
}

// execute executes an order of gang.Step without waiting for the result. The results
// of Reserve, Commit, Start, Confirm and Release become later events of the attempt.
func (d *Daemon) execute(a gang.Attempt, j job.Job, checkpointMs int64, o gang.Order, now time.Time) {
	switch o := o.(type) {
	case gang.Reserve:
		d.reserve(a, j, o, now)
	case gang.Commit:
		d.runOnLogPool(func() { d.commit(a) })
	case gang.Start:
		d.start(a, j, checkpointMs, o, now)
	case gang.Confirm:
		d.confirm(a, o, now)
	case gang.Renew:
		if conn := d.agentConn(o.VM); conn != nil {
			p := wire.RenewParams{Attempt: a.ID, Round: o.AgentRound, LeaseMs: int(o.Lease.Milliseconds())}
			send(d, conn, agent.MethodRenew, p, now.Add(callTimeout), func(r wire.RenewResult, err error) {
				if err == nil && !r.Renewed {
					d.count("renewRefused")
				}
			})
		}
	case gang.Release:
		d.release(a, o, now)
	case gang.Abort:
		d.abort(a, o)
	case gang.End:
		d.end(a, o)
	}
}

// memberOf returns the member of an attempt on a VM, or the zero Member if the
// attempt has none there.
func memberOf(a gang.Attempt, vmID string) gang.Member {
	for _, m := range a.Members {
		if m.VM == vmID {
			return m
		}
	}
	return gang.Member{}
}

// reserve asks an agent to reserve the accelerators of a member.
func (d *Daemon) reserve(a gang.Attempt, j job.Job, o gang.Reserve, now time.Time) {
	conn, bootID := d.agentProcess(o.VM)
	if conn == nil {
		d.runOnPool(func() {
			d.step(a.ID, gang.Refused{VM: o.VM, Rule: "noVMReachable", Reason: "no connection to the agent"})
		})
		return
	}
	m := memberOf(a, o.VM)
	p := wire.ReserveParams{
		Job: a.JobID, Org: j.Org, Attempt: a.ID, Term: int(a.Term), Tasks: m.Tasks, AcceleratorsPerTask: j.AcceleratorsPerTask,
		Preemptible: j.Preemptible, Urgency: string(j.Urgency), HoldMs: int(o.Hold.Milliseconds()), Reclaim: m.Reclaim, Config: d.vmConfig(o.VM),
	}
	send(d, conn, agent.MethodReserve, p, now.Add(o.Hold), func(r wire.GrantResult, err error) {
		switch {
		case err != nil:
			d.count("gangReserveUnreachable")
			d.step(a.ID, gang.Unreachable{VM: o.VM})
		case r.Status == wire.GrantStatusGranted:
			d.releaseIfDropped(a, o.VM)
			d.step(a.ID, gang.Reserved{VM: o.VM, BootID: bootID})
		default:
			d.count("gangReserveConflict")
			d.ring.Add(timeline.Event{Kind: "reserveRefused", Job: a.JobID, VM: o.VM, Detail: r.Rule + ": " + r.Reason})
			d.step(a.ID, gang.Refused{VM: o.VM, Rule: r.Rule, Reason: r.Reason})
		}
	})
}

// releaseIfDropped releases a reservation that was granted after its attempt was
// dropped. Nothing else would release it before it expires.
func (d *Daemon) releaseIfDropped(a gang.Attempt, vmID string) {
	d.jobs.mu.Lock()
	held := d.jobs.attempts[a.ID] != nil
	d.jobs.mu.Unlock()
	if !held {
		d.release(a, gang.Release{VM: vmID}, time.Now())
	}
}

// commit appends the commit record, which lets the attempt start. Whether the
// record is valid is known when it is read back; see applyJobEffects. When it is
// unknown whether the record was appended, the planner takes a new term. A commit
// record of an older term that arrives after the new term is void.
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

// takeNextTerm takes the term after the given one, so that a commit record of the
// given term that is appended later is void. It tries again until a newer term has
// been read from the log, whether this process or another one took it.
func (d *Daemon) takeNextTerm(term int64) {
	for d.ctx.Err() == nil {
		d.jobs.mu.Lock()
		newest := d.jobs.logState.Terms[d.cfg.Region].Number
		d.jobs.mu.Unlock()
		if newest != term {
			return
		}
		d.takeTerm(term)
		d.sleep(retryDelay)
	}
}

// start asks an agent to start the tasks of a member.
func (d *Daemon) start(a gang.Attempt, j job.Job, checkpointMs int64, o gang.Start, now time.Time) {
	vmID := o.VM
	conn := d.agentConn(vmID)
	if conn == nil {
		d.runOnPool(func() {
			d.step(a.ID, gang.StartFailed{VM: vmID, Rule: "noVMReachable", Reason: "no connection to the agent"})
		})
		return
	}
	p := wire.StartParams{
		Job: codec.EncodeJob(j), Attempt: a.ID, Term: int(a.Term), CommitOffset: int(a.CommitOffset),
		FirstRank: memberOf(a, vmID).FirstRank, LeaseMs: int(d.cfg.GangLease.Milliseconds()), ResumeFromMs: int(checkpointMs), Config: d.vmConfig(vmID),
	}
	send(d, conn, agent.MethodStart, p, now.Add(d.cfg.Reservation), func(r wire.GrantResult, err error) {
		switch {
		case err != nil:
			d.count("gangStartUnreachable")
			d.step(a.ID, gang.Unreachable{VM: vmID})
		case r.Status == wire.GrantStatusGranted:
			d.ring.Add(timeline.Event{Kind: "memberStarted", Job: a.JobID, Org: j.Org, VM: vmID, Detail: a.ID})
			d.step(a.ID, gang.Started{VM: vmID})
		default:
			d.count("gangStartRefused")
			d.step(a.ID, gang.StartFailed{VM: vmID, Rule: r.Rule, Reason: r.Reason})
		}
	})
}

// confirm asks an agent whether the tasks of a member still run.
func (d *Daemon) confirm(a gang.Attempt, o gang.Confirm, now time.Time) {
	conn := d.agentConn(o.VM)
	if conn == nil {
		d.runOnPool(func() { d.step(a.ID, gang.Unreachable{VM: o.VM}) })
		return
	}
	send(d, conn, agent.MethodConfirm, wire.ConfirmParams{Attempt: a.ID}, now.Add(d.cfg.GangLease/2), func(r wire.ConfirmResult, err error) {
		switch {
		case err != nil:
			d.count("gangConfirmUnreachable")
			d.step(a.ID, gang.Unreachable{VM: o.VM})
		case r.Running:
			d.applyEndedTasks(a.ID, r.Ended)
			d.step(a.ID, gang.Confirmed{VM: o.VM, AgentRound: r.Round, AttemptRound: o.AttemptRound})
		default:
			d.applyEndedTasks(a.ID, r.Ended)
			d.step(a.ID, gang.NotRunning{VM: o.VM, Reason: "reported by its agent"})
		}
	})
}

// applyEndedTasks applies the reports on ended tasks that an agent repeats when it
// confirms. The agent may have sent them to an earlier planner only. gang.Step
// ignores reports that were applied before.
func (d *Daemon) applyEndedTasks(attemptID string, ended []wire.TaskEndedParams) {
	for _, p := range ended {
		if e, err := taskEvent(p); err == nil {
			d.step(attemptID, e)
		}
	}
}

// release asks an agent to drop the reservation of a member or to stop its tasks.
func (d *Daemon) release(a gang.Attempt, o gang.Release, now time.Time) {
	conn, bootID := d.agentProcess(o.VM)
	if conn == nil {
		return
	}
	p := wire.ReleaseParams{Job: a.JobID, Attempt: a.ID, Term: int(a.Term), Checkpoint: o.Checkpoint, Reason: a.Reason}
	send(d, conn, agent.MethodRelease, p, now.Add(d.cfg.Reclaim), func(r wire.ReleaseResult, err error) {
		if err == nil {
			d.step(a.ID, gang.Released{VM: o.VM, BootID: bootID, Started: r.Started, CheckpointMs: int64(r.CheckpointMs), UnansweredCrash: r.UnansweredCrash})
		}
	})
}

// ranFor is the time since the attempt began to run, 0 if it did not or if that is not
// known.
func (d *Daemon) ranFor(attemptID string) time.Duration {
	d.jobs.mu.Lock()
	defer d.jobs.mu.Unlock()
	a := d.jobs.attempts[attemptID]
	if a == nil || a.runningSince.IsZero() {
		return 0
	}
	return time.Since(a.runningSince)
}

// recordCrash keeps the job away from the VM on which a crash of the worker runtime ended
// the attempt, for some time. It reports whether the job is to blame for the crashes of its
// attempts, including this one, and is then about to end.
func (d *Daemon) recordCrash(r *trackedJob, vmID string, record jobfold.Abort) bool {
	d.jobs.mu.Lock()
	defer d.jobs.mu.Unlock()
	r.avoidUntil[vmID] = time.Now().Add(avoidDuration)
	e := d.jobs.logState.Jobs[r.job.ID]
	blamed := e != nil && e.BlamedAfter(record)
	kind := "jobSuspected"
	if blamed {
		kind, r.endPending = "jobGivenUp", true
		d.count(crashes.Rule)
	}
	d.ring.Add(timeline.Event{Kind: kind, Job: r.job.ID, Org: r.job.Org, VM: vmID, Detail: fmt.Sprintf("the worker runtime crashed after %d ms, start answered: %t", record.Ran.Milliseconds(), record.Crashed)})
	return blamed
}

// abort appends the record that ends an attempt without an outcome, so that the
// job waits again. When the job has failed with its own error on too many VMs, it
// ends the job as failed instead.
func (d *Daemon) abort(a gang.Attempt, o gang.Abort) {
	d.jobs.mu.Lock()
	r := d.jobs.byID[a.JobID]
	d.jobs.mu.Unlock()
	if r != nil && o.FailedVM != "" && d.recordFailure(r, o.FailedVM, o.Reason) {
		d.jobs.mu.Lock()
		r.endPending = true
		d.jobs.mu.Unlock()
		failed := outcome.Failed{Reason: "jobFailsEverywhere: most recently on VM " + o.FailedVM + ": " + o.Reason}
		d.runOnLogPool(func() { d.appendEnd(a.JobID, a.ID, failed) })
		return
	}
	record := jobfold.Abort{JobID: a.JobID, Attempt: a.ID, Reason: o.Reason, Term: a.Term, CheckpointMs: o.CheckpointMs}
	crashedVM := cmp.Or(o.CrashedVM, o.UnansweredVM)
	if r != nil && crashedVM != "" {
		record.Crashed, record.UnansweredCrash = o.CrashedVM != "", o.CrashedVM == ""
		if record.Crashed {
			record.Ran = d.ranFor(a.ID)
		}
		if blamed := d.recordCrash(r, crashedVM, record); blamed {
			failed := outcome.Failed{Reason: crashes.Rule + ": most recently on VM " + crashedVM + ": " + o.Reason}
			d.runOnLogPool(func() { d.appendEnd(a.JobID, a.ID, failed) })
			return
		}
	}
	d.count("attemptAborted")
	d.runOnLogPool(func() {
		d.appendUntilKnown("abort", record, func() bool {
			d.jobs.mu.Lock()
			defer d.jobs.mu.Unlock()
			e := d.jobs.logState.Jobs[a.JobID]
			return e == nil || e.Outcome != nil || e.Attempt != a.ID || d.jobs.attempts[a.ID] == nil
		})
		d.planRequested.Store(true)
	})
}

// end appends the record that ends the job. It first fetches an answer from the
// agents, because the end record contains the answer or its checksum.
func (d *Daemon) end(a gang.Attempt, o gang.End) {
	d.jobs.mu.Lock()
	if r := d.jobs.byID[a.JobID]; r != nil {
		r.endPending = true
	}
	d.jobs.mu.Unlock()
	d.runOnLogPool(func() {
		result := o.Outcome
		if answer, ok := result.(outcome.Answer); ok {
			fetched, err := d.fetchAnswer(d.ctx, answer)
			if err != nil {
				d.handleLostAnswer(a, err)
				return
			}
			result = fetched
			// Callers of this entry get the outcome before the end record is
			// in the log.
			d.deliverAnswer(a, fetched)
		}
		attemptID := a.ID
		if a.CommitOffset == 0 {
			d.jobs.mu.Lock()
			attemptID = d.newestAttempt(a.JobID)
			d.jobs.mu.Unlock()
		}
		d.appendEnd(a.JobID, attemptID, result)
		d.jobs.mu.Lock()
		d.dropAttempt(a.ID)
		d.jobs.mu.Unlock()
	})
}

// deliverAnswer sets the outcome of the job for callers of this entry. It also
// records the run time and that the VMs succeeded.
func (d *Daemon) deliverAnswer(a gang.Attempt, o outcome.Answer) {
	d.jobs.mu.Lock()
	defer d.jobs.mu.Unlock()
	for _, m := range a.Members {
		d.jobs.failures.RecordSuccess(m.VM)
	}
	r := d.jobs.byID[a.JobID]
	if r == nil {
		return
	}
	if !r.startedAt.IsZero() {
		d.jobs.runTimes.Observe(r.job, time.Since(r.startedAt))
	}
	r.end(o)
}

// handleLostAnswer handles an attempt whose tasks all answered and whose answer
// cannot be fetched. An idempotent job waits to run again. A job that is not
// idempotent ends with an unknown outcome.
func (d *Daemon) handleLostAnswer(a gang.Attempt, err error) {
	d.count("answerLost")
	if a.Idempotent {
		d.jobs.mu.Lock()
		if r := d.jobs.byID[a.JobID]; r != nil {
			r.endPending = false
		}
		d.jobs.mu.Unlock()
		d.abort(a, gang.Abort{Reason: "the answer cannot be fetched: " + err.Error()})
		return
	}
	d.appendEnd(a.JobID, a.ID, outcome.Unknown{Reason: "the job ran and its answer cannot be fetched: " + err.Error()})
}
