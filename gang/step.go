package gang

import (
	"cmp"
	"slices"
	"time"

	"celerypoint.example/celerypoint/outcome"
)

// Step folds one event into the attempt and returns the orders that follow.
// Now has to come from a clock that runs on while the process is paused and
// is never set, as Go's monotonic clock. Events may be duplicated, late or out
// of order. An attempt in PhaseEnded that gave neither Abort nor End was not
// committed, and its job waits again.
func Step(a Attempt, e Event, now time.Time, t Timing) (Attempt, []Order) {
	s := &step{Attempt: a.clone(), now: now, timing: t}
	s.event(e)
	s.advance()
	return s.Attempt, s.orders
}

// step is the working copy of one call of Step.
type step struct {
	Attempt
	now    time.Time
	timing Timing
	orders []Order
}

func (s *step) event(e Event) {
	switch e := e.(type) {
	case Proposed:
		s.proposed()
	case Reserved:
		s.reserved(e)
	case Refused:
		if s.Phase == PhaseReserving {
			if m := s.member(e.VM); m != nil {
				m.State = MemberReleased
				s.drop(e.Rule + ": " + e.Reason)
			}
		}
	case Unreachable:
		s.unreachable(e)
	case Committed:
		s.committed(e)
	case CommitVoid:
		if s.Phase == PhaseCommitting {
			s.drop(e.Reason)
		}
	case Started:
		s.started(e)
	case StartFailed:
		s.startFailed(e)
	case Confirmed:
		s.confirmed(e)
	case NotRunning:
		if m := s.member(e.VM); m != nil && m.State != MemberDone {
			s.proofOfStop()
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

// advance does what the time and the states of the members call for.
func (s *step) advance() {
	switch s.Phase {
	case PhaseReserving:
		// A commit and the starts need time before the reservations expire, and
		// a job that is not idempotent has only one commit.
		if !s.ReservationDeadline.IsZero() && s.now.After(s.ReservationDeadline.Add(-s.timing.Reservation/2)) {
			s.drop("reservations did not all arrive in time")
		} else if s.all(MemberReserved) {
			s.Phase = PhaseCommitting
			s.order(Commit{})
		}
	case PhaseStarting:
		if s.all(MemberStarted, MemberDone) {
			s.Phase = PhaseRunning
			s.NextConfirm = s.now
			s.extend()
			s.run()
		}
	case PhaseRunning:
		s.run()
	case PhaseAborting:
		s.settle()
	}
}

func (s *step) proposed() {
	if s.Phase != PhaseReserving || !s.ReservationDeadline.IsZero() {
		return
	}
	hold := s.hold(s.timing)
	s.ReservationDeadline = s.now.Add(hold)
	for _, m := range s.Members {
		s.order(Reserve{VM: m.VM, Hold: hold})
	}
}

func (s *step) reserved(e Reserved) {
	m := s.member(e.VM)
	switch {
	case m == nil:
	case s.Phase == PhaseReserving && m.State == MemberRequested:
		m.State = MemberReserved
		m.BootID = e.BootID
		m.ReservationExpiresBy = s.now.Add(s.hold(s.timing))
	case s.Phase == PhaseEnded && m.State == MemberRequested:
		// The grant came after the attempt was dropped.
		s.order(Release{VM: e.VM})
	}
}

func (s *step) unreachable(e Unreachable) {
	m := s.member(e.VM)
	if m == nil {
		return
	}
	switch s.Phase {
	case PhaseReserving:
		s.drop(e.VM + " did not answer the reservation")
	case PhaseStarting:
		if m.State == MemberReserved {
			s.abort(e.VM + " did not answer the start")
		}
	case PhaseRunning:
		// One lost confirmation spoils the round; the next one may succeed
		// before the lease ends.
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
	case !s.all(MemberReserved):
		s.abort("a member was lost before the start")
	case !s.now.Before(s.ReservationDeadline):
		s.abort("the reservations expired before the commit was known")
	default:
		for i := range s.Members {
			m := &s.Members[i]
			m.MayHaveStarted = true
			m.LeaseExpiresBy = m.ReservationExpiresBy.Add(s.timing.Lease)
			s.order(Start{VM: m.VM})
		}
		s.extend()
	}
}

func (s *step) started(e Started) {
	m := s.member(e.VM)
	if m == nil || !m.MayHaveStarted && s.CommitOffset == 0 {
		return
	}
	first := !m.StartConfirmed
	m.MayHaveStarted, m.StartConfirmed = true, true
	switch {
	case s.Phase == PhaseStarting && m.State == MemberReserved:
		m.State = MemberStarted
		m.LeaseExpiresBy = s.now.Add(s.timing.Lease)
	case s.Phase == PhaseEnded && first && m.State != MemberDone:
		s.order(Release{VM: e.VM})
	}
}

func (s *step) startFailed(e StartFailed) {
	m := s.member(e.VM)
	if m == nil || s.Phase != PhaseStarting && s.Phase != PhaseAborting {
		return
	}
	if !m.StartConfirmed && !s.Resumed && (m.State == MemberReserved || m.State == MemberLost) {
		m.State = MemberReleased
		m.MayHaveStarted = false
		// The refused member may still hold its reservation.
		s.order(Release{VM: e.VM})
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
	if !s.Cancelled && s.all(MemberDone) {
		s.end(s.answer())
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
	s.proofOfStop()
	s.abort(e.VM + " stopped a task: " + e.Reason)
}

func (s *step) released(e Released) {
	m := s.member(e.VM)
	if m == nil || s.Phase != PhaseAborting || m.State == MemberReleased || m.State == MemberDone {
		return
	}
	// The release of a restarted agent says that the part does not run, but
	// not what happened before the restart.
	knows := m.BootID != "" && m.BootID == e.BootID || m.BootID == "" && m.State != MemberLost && !s.Resumed
	m.StartConfirmed = m.StartConfirmed || e.Started
	m.EndKnown = m.EndKnown || knows
	if knows && !m.StartConfirmed {
		m.MayHaveStarted = false
	}
	m.ReleasedCheckpointMs = e.CheckpointMs
	m.State = MemberReleased
	s.proofOfStop()
}

func (s *step) lost(e Lost) {
	m := s.member(e.VM)
	if m == nil {
		return
	}
	switch s.Phase {
	case PhaseReserving:
		s.drop(e.VM + " is lost")
	case PhaseCommitting:
		m.State = MemberLost
	case PhaseStarting, PhaseRunning:
		// The answers of a lost VM are gone, but a job that is not idempotent
		// has no better chance than to go on.
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
		s.drop("cancelled")
	case PhaseCommitting:
		s.Cancelled = true
	case PhaseStarting, PhaseRunning, PhaseAborting:
		s.Cancelled = true
		s.abort("cancelled")
	}
}

// run keeps the rounds of confirmations going. A lease is extended only when
// every member that is not done confirmed in one round, and never beyond one
// lease after that round began: a member that stops after its confirmation
// leaves the others running for at most one lease.
func (s *step) run() {
	if s.RoundOpen && s.all(MemberStarted, MemberDone) && s.allConfirmed() {
		s.renew()
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
			s.order(Confirm{VM: m.VM, AttemptRound: s.Round})
		}
	}
}

func (s *step) renew() {
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
		lease := s.timing.Lease - m.ConfirmedAt.Sub(s.RoundStart)
		s.order(Renew{VM: m.VM, AgentRound: m.AgentRound, Lease: min(lease, s.timing.Lease)})
		m.LeaseExpiresBy = later(m.LeaseExpiresBy, s.RoundStart.Add(s.timing.Lease))
	}
	s.extend()
}

func (s *step) allConfirmed() bool {
	return !slices.ContainsFunc(s.Members, func(m Member) bool {
		return m.State == MemberStarted && !m.Confirmed
	})
}

// extend sets LeaseUntil from the members.
func (s *step) extend() {
	s.LeaseUntil = time.Time{}
	for _, m := range s.Members {
		s.LeaseUntil = later(s.LeaseUntil, m.LeaseExpiresBy)
	}
}

func (s *step) all(states ...MemberState) bool {
	return !slices.ContainsFunc(s.Members, func(m Member) bool { return !slices.Contains(states, m.State) })
}

func (s *step) member(vm string) *Member {
	if i := slices.IndexFunc(s.Members, func(m Member) bool { return m.VM == vm }); i >= 0 {
		return &s.Members[i]
	}
	return nil
}

func (s *step) order(o Order) { s.orders = append(s.orders, o) }

func (s *step) answer() outcome.Answer {
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
