package gang

import (
	"slices"
	"time"

	"celerypoint.example/celerypoint/lease"
)

// Rule names in the outcome.NotRun of a job that certainly did not run.
const (
	// RuleCancelledBeforeStart means that the job was cancelled by a request to an
	// entry process.
	RuleCancelledBeforeStart = "cancelledBeforeStart"
	// RuleCommittedNotStarted means that the attempt failed after its commit,
	// and that the job is not idempotent and so gets no other attempt.
	RuleCommittedNotStarted = "committedNotStarted"
)

// New returns an attempt that waits for the event Proposed. Of the members it
// uses only VM, Tasks, FirstRank and Reclaim.
func New(jobID, id string, term int64, idempotent bool, members []Member) Attempt {
	a := Attempt{JobID: jobID, ID: id, Term: term, Phase: PhaseReserving, Idempotent: idempotent}
	for _, m := range members {
		a.Members = append(a.Members, Member{
			VM: m.VM, Tasks: m.Tasks, FirstRank: m.FirstRank, Reclaim: m.Reclaim, State: MemberRequested,
		})
	}
	return a
}

// TakeOver rebuilds a committed attempt for a planner that takes over with the
// given term. Of the members it uses BootID and the same fields as New. Any member
// may have been started, so the first Tick orders a confirmation from each of
// them.
func TakeOver(jobID, id string, term int64, idempotent bool, members []Member, commitOffset int64, now time.Time, t Timing) Attempt {
	a := New(jobID, id, term, idempotent, members)
	a.Phase = PhaseRunning
	a.CommitOffset = commitOffset
	a.TakenOver = true
	a.NextConfirm = now
	// The reservations were granted before the commit record was read, so all of
	// them expire within the reservation time from now, and a lease that begins
	// by then expires one lease later.
	a.LeaseUntil = lease.ExpiresBy(lease.ExpiresBy(now, a.reservationTime(t)), t.Lease)
	for i := range a.Members {
		m := &a.Members[i]
		m.State = MemberStarted
		m.MayHaveStarted = true
		m.BootID = members[i].BootID
		m.LeaseExpiresBy = a.LeaseUntil
	}
	return a
}

// reservationTime is how long each reservation holds, counted from its grant.
func (a Attempt) reservationTime(t Timing) time.Duration {
	if slices.ContainsFunc(a.Members, func(m Member) bool { return m.Reclaim }) {
		return t.Reservation + t.Reclaim
	}
	return t.Reservation
}

// clone copies the slices that Step changes, so that the caller's attempt is
// not modified.
func (a Attempt) clone() Attempt {
	a.Members = slices.Clone(a.Members)
	for i := range a.Members {
		a.Members[i].Answers = slices.Clone(a.Members[i].Answers)
		a.Members[i].Checkpoints = slices.Clone(a.Members[i].Checkpoints)
	}
	return a
}
