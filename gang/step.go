package gang

import (
	"cmp"
	"slices"
	"time"

	"celerypoint.example/celerypoint/lease"
	"celerypoint.example/celerypoint/outcome"
)

// Step applies one event to the attempt and returns the next attempt and the
// orders to carry out. The parameter now has to come from a clock that is never
// set and keeps running while the process is paused, such as Go's monotonic clock.
// Events may be duplicated, late or out of order. If an attempt reaches PhaseEnded
// without an Abort or End order, it was not committed and its job waits for
// another attempt.
func Step(a Attempt, e Event, now time.Time, t Timing) (Attempt, []Order) {
	s := &step{Attempt: a.clone(), now: now, timing: t}
	s.apply(e)
	s.advance()
	return s.Attempt, s.orders
}

// step is the state of one call of Step: a copy of the attempt to change, and
// the orders so far.
type step struct {
	Attempt
	now    time.Time
	timing Timing
	orders []Order
}

func (s *step) apply(e Event) {
	switch e := e.(type) {
	case Proposed:
		s.proposed()
	case Reserved:
		s.reserved(e)
	case Refused:
		if s.Phase == PhaseReserving {
			if m := s.member(e.VM); m != nil {
				m.State = MemberReleased
				s.endUncommitted(e.Rule + ": " + e.Reason)
			}
		}
	case Unreachable:
		s.unreachable(e)
	case Committed:
		s.committed(e)
	case CommitVoid:
		if s.Phase == PhaseCommitting {
			s.endUncommitted(e.Reason)
		}
	case Started:
		s.started(e)
	case StartFailed:
		s.startFailed(e)
	case Confirmed:
		s.confirmed(e)
	case NotRunning:
		if m := s.member(e.VM); m != nil && m.State != MemberDone {
			m.ReportedNotRunning = true
			s.extendForEarlierPlanner()
			s.abort(e.VM + " does not run: " + e.Reason)
		}
	case TaskEnded:
		s.taskEnded(e.Part)
	case TaskFailed:
		s.taskFailed(e)
	case TaskStopped:
		s.taskStopped(e)
	case Released:
		s.released(e)
	case Lost:
		s.lost(e)
	case Cancelled:
		s.cancelled()
	case Tick:
	}
}

// advance makes the phase transitions and gives the orders that are due, given
// the time and the states of the members.
func (s *step) advance() {
	switch s.Phase {
	case PhaseReserving:
		// Half of Timing.Reservation is kept for the commit and the starts, which
		// have to happen before the reservations expire. A commit that came too
		// late for the starts would end a job that is not idempotent, because such
		// a job may be committed only once.
		if !s.ReservationDeadline.IsZero() && s.now.After(s.ReservationDeadline.Add(-s.timing.Reservation/2)) {
			s.endUncommitted("reservations did not all arrive in time")
		} else if s.allIn(MemberReserved) {
			s.Phase = PhaseCommitting
			s.addOrder(Commit{})
		}
	case PhaseStarting:
		if s.allIn(MemberStarted, MemberDone) {
			s.Phase = PhaseRunning
			s.NextConfirm = s.now
			s.updateLeaseUntil()
			s.runRounds()
		}
	case PhaseRunning:
		s.runRounds()
	case PhaseAborting:
		s.finishAbort()
	}
}

func (s *step) proposed() {
	if s.Phase != PhaseReserving || !s.ReservationDeadline.IsZero() {
		return
	}
	hold := s.reservationTime(s.timing)
	s.ReservationDeadline = s.now.Add(hold)
	for _, m := range s.Members {
		s.addOrder(Reserve{VM: m.VM, Hold: hold})
	}
}

func (s *step) reserved(e Reserved) {
	m := s.member(e.VM)
	switch {
	case m == nil:
	case s.Phase == PhaseReserving && m.State == MemberRequested:
		m.State = MemberReserved
		m.BootID = e.BootID
		m.ReservationExpiresBy = lease.ExpiresBy(s.now, s.reservationTime(s.timing))
	case s.Phase == PhaseEnded && m.State == MemberRequested:
		// The grant arrived after the attempt had ended.
		s.addOrder(Release{VM: e.VM})
	}
}

func (s *step) unreachable(e Unreachable) {
	m := s.member(e.VM)
	if m == nil {
		return
	}
	switch s.Phase {
	case PhaseReserving:
		s.endUncommitted(e.VM + " did not answer the reservation")
	case PhaseStarting:
		if m.State == MemberReserved {
			s.abort(e.VM + " did not answer the start")
		}
	case PhaseRunning:
		// A missing confirmation makes the round fail. The next round may still
		// succeed before the leases expire.
		s.RoundOpen = false
	}
}

func (s *step) committed(e Committed) {
	if s.Phase != PhaseCommitting {
		return
	}
	s.CommitOffset = e.Offset
	s.Phase = PhaseStarting
	switch {
	case s.Cancelled:
		s.abort("cancelled")
	case !s.allIn(MemberReserved):
		s.abort("a member was lost before the start")
	case !s.now.Before(s.ReservationDeadline):
		s.abort("the reservations expired before the commit was known")
	default:
		for i := range s.Members {
			m := &s.Members[i]
			m.MayHaveStarted = true
			m.LeaseExpiresBy = lease.ExpiresBy(m.ReservationExpiresBy, s.timing.Lease)
			s.addOrder(Start{VM: m.VM})
		}
		s.updateLeaseUntil()
	}
}

func (s *step) started(e Started) {
	m := s.member(e.VM)
	if m == nil || !m.MayHaveStarted && s.CommitOffset == 0 {
		return
	}
	firstReport := !m.StartConfirmed
	m.MayHaveStarted, m.StartConfirmed = true, true
	switch {
	case s.Phase == PhaseStarting && m.State == MemberReserved:
		m.State = MemberStarted
		m.LeaseExpiresBy = lease.ExpiresBy(s.now, s.timing.Lease)
	case s.Phase == PhaseEnded && firstReport && m.State != MemberDone:
		s.addOrder(Release{VM: e.VM})
	}
}

func (s *step) startFailed(e StartFailed) {
	m := s.member(e.VM)
	if m == nil || s.Phase != PhaseStarting && s.Phase != PhaseAborting {
		return
	}
	if !m.StartConfirmed && !s.TakenOver && (m.State == MemberReserved || m.State == MemberLost) {
		m.State = MemberReleased
		m.MayHaveStarted = false
		// The VM that refused may still hold the member's reservation.
		s.addOrder(Release{VM: e.VM})
	}
	s.abort(e.VM + " refused the start: " + e.Rule + ": " + e.Reason)
}

func (s *step) confirmed(e Confirmed) {
	m := s.member(e.VM)
	if m == nil || s.Phase != PhaseRunning || !s.RoundOpen || e.AttemptRound != s.Round ||
		m.State != MemberStarted || m.Confirmed || e.AgentRound <= m.AgentRound {
		return
	}
	m.Confirmed, m.StartConfirmed = true, true
	m.ConfirmedAt = s.now
	m.AgentRound = e.AgentRound
}

func (s *step) taskEnded(p outcome.Part) {
	m := s.member(p.VM)
	if m == nil || s.Phase == PhaseEnded || p.Attempt != s.ID || !m.MayHaveStarted ||
		p.Rank < m.FirstRank || p.Rank >= m.FirstRank+m.Tasks ||
		slices.ContainsFunc(m.Answers, func(o outcome.Part) bool { return o.Rank == p.Rank }) {
		return
	}
	m.StartConfirmed = true
	m.Answers = append(m.Answers, p)
	if len(m.Answers) == m.Tasks {
		m.State = MemberDone
		m.EndKnown = true
	}
	if !s.Cancelled && s.allIn(MemberDone) {
		s.end(s.mergedAnswer())
	}
}

func (s *step) taskFailed(e TaskFailed) {
	m := s.member(e.VM)
	if m == nil || !m.MayHaveStarted || m.State == MemberDone || s.Phase == PhaseEnded {
		return
	}
	m.StartConfirmed = true
	m.EndKnown = m.EndKnown || m.Tasks == 1
	if s.FailedVM == "" && s.Phase != PhaseAborting {
		s.FailedVM = e.VM
	}
	s.abort(e.Reason)
}

func (s *step) taskStopped(e TaskStopped) {
	m := s.member(e.VM)
	if m == nil || !m.MayHaveStarted || m.State == MemberDone || s.Phase == PhaseEnded {
		return
	}
	m.StartConfirmed = true
	m.EndKnown = m.EndKnown || m.Tasks == 1
	if e.CheckpointMs > 0 && e.Rank >= m.FirstRank && e.Rank < m.FirstRank+m.Tasks &&
		!slices.ContainsFunc(m.Checkpoints, func(c Checkpoint) bool { return c.Rank == e.Rank }) {
		m.Checkpoints = append(m.Checkpoints, Checkpoint{Rank: e.Rank, Ms: e.CheckpointMs})
	}
	if e.Crashed && s.CrashedVM == "" && s.Phase != PhaseAborting {
		s.CrashedVM = e.VM
	}
	s.extendForEarlierPlanner()
	s.abort(e.VM + " stopped a task: " + e.Reason)
}

func (s *step) released(e Released) {
	m := s.member(e.VM)
	if m == nil || s.Phase != PhaseAborting || m.State == MemberReleased || m.State == MemberDone {
		return
	}
	m.StartConfirmed = m.StartConfirmed || e.Started
	// An agent with another boot ID may be on another machine, while the one that granted
	// the reservation is only cut off and its tasks run until the lease expires.
	sameBoot := m.BootID != "" && m.BootID == e.BootID || m.BootID == "" && m.State != MemberLost && !s.TakenOver
	if !sameBoot {
		m.State = MemberLost
		return
	}
	m.EndKnown = true
	if !m.StartConfirmed {
		m.MayHaveStarted = false
	}
	m.ReleasedCheckpointMs = e.CheckpointMs
	m.State = MemberReleased
	if e.UnansweredCrash && s.UnansweredVM == "" {
		s.UnansweredVM = e.VM
	}
	s.extendForEarlierPlanner()
}

func (s *step) lost(e Lost) {
	m := s.member(e.VM)
	if m == nil {
		return
	}
	switch s.Phase {
	case PhaseReserving:
		s.endUncommitted(e.VM + " is lost")
	case PhaseCommitting:
		m.State = MemberLost
	case PhaseStarting, PhaseRunning:
		// The answers of a done member on a lost VM are gone, so an idempotent
		// job runs again. A job that is not idempotent may not run again, so its
		// attempt goes on. If the lost member was not done, the attempt is
		// aborted in either case.
		if m.State != MemberDone {
			m.State = MemberLost
		} else if !s.Idempotent {
			return
		}
		s.abort(e.VM + " is lost")
	case PhaseAborting:
		if m.State != MemberDone && m.State != MemberReleased {
			m.State = MemberLost
		}
	}
}

func (s *step) cancelled() {
	switch s.Phase {
	case PhaseReserving:
		s.Cancelled = true
		s.endUncommitted("cancelled")
	case PhaseCommitting:
		s.Cancelled = true
	case PhaseStarting, PhaseRunning, PhaseAborting:
		s.Cancelled = true
		s.abort("cancelled")
	}
}

// runRounds completes the current round of confirmations and starts the next one
// when it is due. A round that is still open gives way to the next after half a
// lease at the earliest. If the leases have expired, runRounds aborts the attempt.
//
// Leases are extended only when every member that is not done has confirmed in
// the same round, and then to at most one lease after the start of that round. So
// if a member stops after its confirmation, the others run on for at most one
// lease.
func (s *step) runRounds() {
	if s.RoundOpen && s.allIn(MemberStarted, MemberDone) && s.allConfirmed() {
		s.renewLeases()
	}
	if !s.now.Before(s.LeaseUntil) {
		s.abort("the lease expired without a renewal")
		return
	}
	stale := s.now.Sub(s.RoundStart) >= s.timing.Lease/2
	if s.now.Before(s.NextConfirm) || s.RoundOpen && !stale {
		return
	}
	s.Round++
	s.RoundStart, s.RoundOpen = s.now, true
	s.NextConfirm = s.now.Add(s.timing.ConfirmEvery)
	for i := range s.Members {
		m := &s.Members[i]
		m.Confirmed = false
		if m.State == MemberStarted {
			s.addOrder(Confirm{VM: m.VM, AttemptRound: s.Round})
		}
	}
}

func (s *step) renewLeases() {
	s.RoundOpen = false
	for _, m := range s.Members {
		if m.State == MemberStarted && m.ConfirmedAt.Sub(s.RoundStart) >= s.timing.Lease {
			return
		}
	}
	for i := range s.Members {
		m := &s.Members[i]
		if m.State != MemberStarted {
			continue
		}
		left := s.timing.Lease - m.ConfirmedAt.Sub(s.RoundStart)
		s.addOrder(Renew{VM: m.VM, AgentRound: m.AgentRound, Lease: min(left, s.timing.Lease)})
		m.LeaseExpiresBy = later(m.LeaseExpiresBy, lease.ExpiresBy(s.RoundStart, s.timing.Lease))
	}
	s.updateLeaseUntil()
}

func (s *step) allConfirmed() bool {
	return !slices.ContainsFunc(s.Members, func(m Member) bool {
		return m.State == MemberStarted && !m.Confirmed
	})
}

func (s *step) updateLeaseUntil() {
	s.LeaseUntil = time.Time{}
	for _, m := range s.Members {
		s.LeaseUntil = later(s.LeaseUntil, m.LeaseExpiresBy)
	}
}

func (s *step) allIn(states ...MemberState) bool {
	return !slices.ContainsFunc(s.Members, func(m Member) bool { return !slices.Contains(states, m.State) })
}

func (s *step) member(vm string) *Member {
	if i := slices.IndexFunc(s.Members, func(m Member) bool { return m.VM == vm }); i >= 0 {
		return &s.Members[i]
	}
	return nil
}

func (s *step) addOrder(o Order) { s.orders = append(s.orders, o) }

func (s *step) mergedAnswer() outcome.Answer {
	var answer outcome.Answer
	for _, m := range s.Members {
		answer.Parts = append(answer.Parts, m.Answers...)
	}
	slices.SortFunc(answer.Parts, func(a, b outcome.Part) int { return cmp.Compare(a.Rank, b.Rank) })
	for _, p := range answer.Parts {
		answer.Length += p.Length
	}
	return answer
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}
