package gang

import "celerypoint.example/celerypoint/outcome"

// drop ends an attempt that was not committed. Nothing was started, so the
// reservations only have to be released, and those out of reach expire.
func (s *step) drop(reason string) {
	s.Reason = reason
	for _, m := range s.Members {
		if m.State != MemberReleased {
			s.order(Release{VM: m.VM})
		}
	}
	s.Phase = PhaseEnded
	if s.Cancelled {
		s.end(s.stopped())
	}
}

// abort begins to stop a committed attempt. The first reason counts.
func (s *step) abort(reason string) {
	if s.Phase != PhaseStarting && s.Phase != PhaseRunning {
		return
	}
	s.Phase = PhaseAborting
	s.Reason = reason
	// A member whose lease has already expired gets the time of one answer, so
	// that the outcome says what it did.
	for i := range s.Members {
		if m := &s.Members[i]; m.MayHaveStarted {
			m.LeaseExpiresBy = later(m.LeaseExpiresBy, s.now.Add(s.timing.ConfirmEvery))
		}
	}
	s.extend()
	s.release()
}

// release orders every member that may hold or run something to stop.
func (s *step) release() {
	s.NextConfirm = s.now.Add(s.timing.ConfirmEvery)
	for _, m := range s.Members {
		if m.State != MemberReleased && m.State != MemberDone {
			s.order(Release{VM: m.VM, Checkpoint: s.Idempotent && !s.Cancelled && s.FailedVM == "" && m.MayHaveStarted})
		}
	}
}

// proofOfStop is called when a member is known not to run. From now on a
// planner that is unaware of the takeover collects no whole round, but the
// last one may have extended a lease that this planner does not know of.
func (s *step) proofOfStop() {
	if !s.Resumed {
		return
	}
	for i := range s.Members {
		if m := &s.Members[i]; m.MayHaveStarted && m.State != MemberReleased && m.State != MemberDone {
			m.LeaseExpiresBy = later(m.LeaseExpiresBy, s.now.Add(s.timing.Lease))
		}
	}
	s.extend()
}

// settle ends an aborting attempt once no member can run or start any more.
func (s *step) settle() {
	for _, m := range s.Members {
		if m.State == MemberReleased || m.State == MemberDone {
			continue
		}
		if s.now.Before(m.LeaseExpiresBy) {
			if !s.now.Before(s.NextConfirm) {
				s.release()
			}
			return
		}
	}
	if s.Idempotent && !s.Cancelled {
		s.Phase = PhaseEnded
		s.CheckpointMs = s.checkpoint()
		s.order(Abort{Reason: s.Reason, CheckpointMs: s.CheckpointMs, FailedVM: s.FailedVM})
		return
	}
	s.end(s.stopped())
}

// stopped is the outcome of an attempt that was stopped for good.
func (s *step) stopped() outcome.Outcome {
	ever, known := s.RanBefore, true
	for _, m := range s.Members {
		ever = ever || m.MayHaveStarted
		known = known && (m.EndKnown || !m.MayHaveStarted)
	}
	switch {
	case !ever && s.Cancelled:
		return outcome.NotRun{Rule: RuleCancelledBeforeStart, Reason: s.Reason}
	case !ever:
		return outcome.NotRun{Rule: RuleCommittedNotStarted, Reason: s.Reason}
	case !known && !s.Idempotent:
		return outcome.Unknown{Reason: s.Reason}
	default:
		return outcome.Failed{Reason: s.Reason, Cancelled: s.Cancelled}
	}
}

func (s *step) end(o outcome.Outcome) {
	s.Phase = PhaseEnded
	s.Result = o
	s.order(End{Outcome: o})
}

// checkpoint is the least progress of the members, 0 unless each has one.
func (s *step) checkpoint() int64 {
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
