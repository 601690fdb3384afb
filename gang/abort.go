package gang

import (
	"celerypoint.example/celerypoint/lease"
	"celerypoint.example/celerypoint/outcome"
)

// endUncommitted ends an attempt that was not committed. Nothing was started, so
// only the reservations have to be released. Those on VMs that cannot be reached
// expire. If the job was cancelled, endUncommitted also ends the job.
func (s *step) endUncommitted(reason string) {
	s.Reason = reason
	for _, m := range s.Members {
		if m.State != MemberReleased {
			s.addOrder(Release{VM: m.VM})
		}
	}
	s.Phase = PhaseEnded
	if s.Cancelled {
		s.end(s.stoppedOutcome())
	}
}

// abort begins to stop a committed attempt. An attempt that is already aborting
// keeps its first reason.
func (s *step) abort(reason string) {
	if s.Phase != PhaseStarting && s.Phase != PhaseRunning {
		return
	}
	s.Phase = PhaseAborting
	s.Reason = reason
	// A member whose lease has already expired still gets Timing.ConfirmEvery to
	// reply to the release, so that the outcome can say whether it ran.
	for i := range s.Members {
		if m := &s.Members[i]; m.MayHaveStarted {
			m.LeaseExpiresBy = later(m.LeaseExpiresBy, s.now.Add(s.timing.ConfirmEvery))
		}
	}
	s.updateLeaseUntil()
	s.releaseMembers()
}

// releaseMembers orders the release of every member that may still hold a
// reservation or run tasks.
func (s *step) releaseMembers() {
	s.NextConfirm = s.now.Add(s.timing.ConfirmEvery)
	for _, m := range s.Members {
		if m.State != MemberReleased && m.State != MemberDone {
			s.addOrder(Release{VM: m.VM, Checkpoint: s.Idempotent && !s.Cancelled && s.FailedVM == "" && m.MayHaveStarted})
		}
	}
}

// extendForEarlierPlanner is called when a member, or one task of a member, is
// known not to run. If this planner took the attempt over, the earlier planner
// may not know of the takeover yet. From now on the earlier planner cannot
// complete a round of confirmations, but its last complete round may have
// extended leases without this planner's knowledge. So every member that may
// still run gets at least a lease from now to stop.
func (s *step) extendForEarlierPlanner() {
	if !s.TakenOver {
		return
	}
	for i := range s.Members {
		if m := &s.Members[i]; m.MayHaveStarted && m.State != MemberReleased && m.State != MemberDone {
			m.LeaseExpiresBy = later(m.LeaseExpiresBy, lease.ExpiresBy(s.now, s.timing.Lease))
		}
	}
	s.updateLeaseUntil()
}

// finishAbort ends an aborting attempt once no member can run or start any more.
// Until then it repeats the release orders every Timing.ConfirmEvery. An agent whose
// runtime has not answered a start learns only after the end of the lease whether the
// runtime crashed, so that its reply is awaited for Timing.ConfirmEvery more.
func (s *step) finishAbort() {
	for _, m := range s.Members {
		if m.State == MemberReleased || m.State == MemberDone {
			continue
		}
		until := m.LeaseExpiresBy
		if m.ReportedNotRunning && m.State != MemberLost {
			until = until.Add(s.timing.ConfirmEvery)
		}
		if s.now.Before(until) {
			if !s.now.Before(s.NextConfirm) {
				s.releaseMembers()
			}
			return
		}
	}
	if s.Idempotent && !s.Cancelled {
		s.Phase = PhaseEnded
		s.CheckpointMs = s.commonCheckpoint()
		s.addOrder(Abort{Reason: s.Reason, CheckpointMs: s.CheckpointMs, FailedVM: s.FailedVM, CrashedVM: s.CrashedVM, UnansweredVM: s.UnansweredVM})
		return
	}
	s.end(s.stoppedOutcome())
}

// stoppedOutcome is the outcome of a job that gets no further attempt.
func (s *step) stoppedOutcome() outcome.Outcome {
	mayHaveRun, endsKnown := s.RanBefore, true
	for _, m := range s.Members {
		mayHaveRun = mayHaveRun || m.MayHaveStarted
		endsKnown = endsKnown && (m.EndKnown || !m.MayHaveStarted)
	}
	switch {
	case !mayHaveRun && s.Cancelled:
		return outcome.NotRun{Rule: RuleCancelledBeforeStart, Reason: s.Reason}
	case !mayHaveRun:
		return outcome.NotRun{Rule: RuleCommittedNotStarted, Reason: s.Reason}
	case !endsKnown && !s.Idempotent:
		return outcome.Unknown{Reason: s.Reason}
	default:
		return outcome.Failed{Reason: s.Reason, Cancelled: s.Cancelled}
	}
}

func (s *step) end(o outcome.Outcome) {
	s.Phase = PhaseEnded
	s.Result = o
	s.addOrder(End{Outcome: o})
}

// commonCheckpoint is the least progress among the members, from which all of
// them can resume. It is 0 unless every member has a checkpoint, which is the one
// in its reply to Release or else the least of those that all of its tasks
// reported.
func (s *step) commonCheckpoint() int64 {
	least := int64(0)
	for i, m := range s.Members {
		ms := m.ReleasedCheckpointMs
		if ms == 0 && len(m.Checkpoints) == m.Tasks {
			ms = m.Checkpoints[0].Ms
			for _, c := range m.Checkpoints {
				ms = min(ms, c.Ms)
			}
		}
		if ms == 0 {
			return 0
		}
		if i == 0 || ms < least {
			least = ms
		}
	}
	return least
}
