package gang

import (
	"slices"
	"time"
)

// Names of the rules that an outcome.NotRun of an attempt carries.
const (
	RuleCancelledBeforeStart = "cancelledBeforeStart"
	RuleCommittedNotStarted  = "committedNotStarted"
)

// New makes an attempt that Proposed begins. Of the members it takes VM,
// Tasks, FirstRank and Reclaim.
func New(jobID, id string, term int64, idempotent bool, members []Member) Attempt {
	a := Attempt{JobID: jobID, ID: id, Term: term, Phase: PhaseReserving, Idempotent: idempotent}
	for _, m := range members {
		a.Members = append(a.Members, Member{
			VM: m.VM, Tasks: m.Tasks, FirstRank: m.FirstRank, Reclaim: m.Reclaim, State: MemberRequested,
		})
	}
	return a
}

// Resume rebuilds a committed attempt for a planner that takes over with the
// given term. Any member may have been started, so all of them have to confirm
// at once: the first Tick orders it.
func Resume(jobID, id string, term int64, idempotent bool, members []Member, commitOffset int64, now time.Time, t Timing) Attempt {
	a := New(jobID, id, term, idempotent, members)
	a.Phase = PhaseRunning
	a.CommitOffset = commitOffset
	a.Resumed = true
	a.NextConfirm = now
	// The reservations were granted before the commit record was read.
	a.LeaseUntil = now.Add(a.hold(t) + t.Lease)
	for i := range a.Members {
		m := &a.Members[i]
		m.State = MemberStarted
		m.MayHaveStarted = true
		m.BootID = members[i].BootID
		m.LeaseExpiresBy = a.LeaseUntil
	}
	return a
}

// hold is how long each reservation holds from its grant on.
func (a Attempt) hold(t Timing) time.Duration {
	if slices.ContainsFunc(a.Members, func(m Member) bool { return m.Reclaim }) {
		return t.Reservation + t.Reclaim
	}
	return t.Reservation
}

// clone copies what Step changes, so that the caller's attempt stays as it is.
func (a Attempt) clone() Attempt {
	a.Members = slices.Clone(a.Members)
	for i := range a.Members {
		a.Members[i].Answers = slices.Clone(a.Members[i].Answers)
		a.Members[i].Checkpoints = slices.Clone(a.Members[i].Checkpoints)
	}
	return a
}
