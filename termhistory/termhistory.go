// Package termhistory keeps the terms of earlier planners that one entry has observed, and
// decides until when leases that they granted can keep runs active.
//
// A planner that has lost its term may not know it yet, and grants leases for up to
// lease.TermValidity after its last successful check in the store. It is over sooner if its
// process is known to have ended, or to have ended the term: a process never resumes one.
// An entry that has not followed all records for so long may have missed a term. So the bound
// also covers terms that were lost before the entry began to follow, or before the term that it
// then found, which has lasted at least as long as its heartbeats took.
//
// The package uses no clock and does no input or output. It owns no state and takes no lock;
// a History belongs to its caller, which serializes its use. All times are readings of one
// boot-time clock.
package termhistory

import (
	"slices"
	"time"

	"celerypoint.example/celerypoint/lease"
	"celerypoint.example/celerypoint/stepfold"
)

// retention is how long a term is kept after it was superseded. No lease that was granted in it
// lasts as long: lease.TermValidity and a lease are less than half of it.
const retention = time.Minute

// maxTerms bounds the terms that are kept.
const maxTerms = 64

// Term is a term that was observed.
type Term struct {
	// Planner is the newest record of the term that was observed.
	Planner stepfold.Planner
	// ObservedAt is when Planner was first observed, SeenAt when a record of the term was last
	// observed.
	ObservedAt, SeenAt time.Time
	// Begun says that the planner has stored a heartbeat after its claim, so that it has
	// begun to plan.
	Begun bool
	// SupersededAt is when the claim of a later term was first observed, zero before that.
	SupersededAt time.Time
	// OverAt is when it was known that no lease is granted in the term any more, zero before
	// that.
	OverAt time.Time
}

// History holds the terms that one entry has observed. The zero value has observed none.
type History struct {
	// UnseenLostBy is a time by which all terms that were not observed had been lost. It is
	// zero if there is no such time.
	UnseenLostBy time.Time
	// UnreadableAt is when RecordGap was last called.
	UnreadableAt time.Time
	// Terms holds the observed terms in the order in which they were first observed.
	Terms []Term
}

// RecordGap records that records before now may have been missed, also the newest one of a
// planner.
func (h *History) RecordGap(now time.Time) { h.UnseenLostBy, h.UnreadableAt = now, now }

// RecordLoad records that records before now may have been missed, except the newest one of a
// planner, which has been observed unless RecordGap was called since. Terms that were missed were
// lost before the term of that record began.
func (h *History) RecordLoad(now time.Time) {
	h.UnseenLostBy = now
	newest := Term{}
	for _, t := range h.Terms {
		if t.Planner.Term > newest.Planner.Term {
			newest = t
		}
	}
	if began := newest.ObservedAt.Add(-newest.lasted()); newest.Begun && newest.SeenAt.After(h.UnreadableAt) && began.Before(now) {
		h.UnseenLostBy = began
	}
}

// heartbeatInterval is the least time between two heartbeats of a planner, which stores one at
// most every 500 ms by its own clock.
const heartbeatInterval = 490 * time.Millisecond

// lasted is the least time from the claim of the term to the newest heartbeat that was observed. A
// claim has the heartbeat 1, and the next one may follow at once.
func (t Term) lasted() time.Duration {
	return time.Duration(max(0, t.Planner.Heartbeat-2)) * heartbeatInterval
}

// Observe records that a planner's record was read. Records may be observed repeatedly and in any
// order.
func (h *History) Observe(p stepfold.Planner, now time.Time) {
	h.prune(now)
	t := h.find(p)
	if t == nil {
		t = h.add(p, now)
	}
	t.SeenAt = now
	if p.Heartbeat > t.Planner.Heartbeat {
		t.Planner.Heartbeat, t.ObservedAt = p.Heartbeat, now
	}
	// A claim has the heartbeat 1.
	t.Begun = t.Begun || p.Heartbeat > 1
	if p.Resigned && t.OverAt.IsZero() {
		// The planner ends its term before it stores that it has resigned.
		t.OverAt = now
	}
}

// add adds a term and marks those that it supersedes.
func (h *History) add(p stepfold.Planner, now time.Time) *Term {
	added := Term{Planner: p, ObservedAt: now}
	for i := range h.Terms {
		other := &h.Terms[i]
		switch {
		case other.Planner.Term < p.Term && other.SupersededAt.IsZero():
			other.SupersededAt = now
		case other.Planner.Term >= p.Term && added.SupersededAt.IsZero():
			// Of two claims of one term the store keeps the first. Whichever it was, the other
			// one grants nothing for longer than a superseded one.
			added.SupersededAt = now
		}
	}
	h.Terms = append(h.Terms, added)
	if len(h.Terms) > maxTerms {
		h.Terms = slices.Delete(h.Terms, 0, 1)
		h.RecordGap(now)
	}
	return &h.Terms[len(h.Terms)-1]
}

func (h *History) find(p stepfold.Planner) *Term {
	for i := range h.Terms {
		if t := &h.Terms[i]; t.Planner.Term == p.Term && t.Planner.Entry == p.Entry && t.Planner.BootID == p.BootID {
			return t
		}
	}
	return nil
}

func (h *History) prune(now time.Time) {
	h.Terms = slices.DeleteFunc(h.Terms, func(t Term) bool { return !t.SupersededAt.IsZero() && now.Sub(t.SupersededAt) > retention })
}

// RecordOver records that the process of the planner grants no lease in the term any more.
func (h *History) RecordOver(p stepfold.Planner, now time.Time) {
	if t := h.find(p); t != nil && t.OverAt.IsZero() {
		t.OverAt = now
	}
}

// Answer is what a process at the address of a planner says of itself.
type Answer struct {
	BootID string
	// Term is the term in which the process plans, 0 if it does not plan.
	Term int64
}

// ProvesOver reports whether the answer of the process at the address of the term's planner proves
// that no lease is granted in the term any more. Another process at the address proves that the
// planner's has ended. The same process may have claimed the term and not begun it yet, unless
// a heartbeat of the term was stored. A refused connection is no proof, because the network may
// refuse connections to a process that lives.
func (t Term) ProvesOver(a Answer) bool {
	return a.BootID != t.Planner.BootID || t.Begun && a.Term != t.Planner.Term
}

// Unresolved lists the planners of the superseded terms that are not known to be over and may
// still grant leases.
func (h *History) Unresolved(now time.Time) []Term {
	var all []Term
	for _, t := range h.Terms {
		if !t.SupersededAt.IsZero() && t.OverAt.IsZero() && now.Before(t.SupersededAt.Add(lease.TermValidity)) {
			all = append(all, t)
		}
	}
	return all
}

// EarlierLeasesExpireBy returns the time by which every run has ended that leases of the given
// duration keep active which planners of other terms than that of self granted. now is a time at
// which all records up to the claim of self had been observed.
func (h *History) EarlierLeasesExpireBy(self stepfold.Planner, now time.Time, duration time.Duration) time.Time {
	if h.UnseenLostBy.IsZero() {
		return lease.EarlierTermsExpireBy(now, duration)
	}
	until := lease.EarlierTermsExpireBy(h.UnseenLostBy, duration)
	for _, t := range h.Terms {
		if t.Planner.Term == self.Term && t.Planner.Entry == self.Entry && t.Planner.BootID == self.BootID {
			continue
		}
		lost := t.SupersededAt
		if lost.IsZero() {
			lost = now
		}
		expire := lease.EarlierTermsExpireBy(lost, duration)
		if over := lease.ExpiresBy(t.OverAt, duration); !t.OverAt.IsZero() && over.Before(expire) {
			expire = over
		}
		if expire.After(until) {
			until = expire
		}
	}
	return until
}
