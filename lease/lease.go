// Package lease holds the arithmetic of leases between a planner, an agent and
// its worker, in one place.
//
// A worker ends what it runs when its deadline passes on its own clock. The
// agent extends the deadline only by what a planner granted: it adds the grant
// to the worker's clock as it read it before it asked. The planner receives
// the question later than that, so that the time of receipt, the grant, the
// slowest clock and the slack bound the end of everything that the grant keeps
// alive. A grant that arrives late extends nothing beyond that bound.
//
// The package owns no state and takes no lock.
package lease

import "time"

// The bounds behind the arithmetic.
const (
	// ClockDriftPercent is how much slower a worker's clock may run, from the
	// platform's description of workers.
	ClockDriftPercent = 2
	// Slack covers timers that fire late and the time in which a worker ends
	// its tasks after the deadline.
	Slack = 300 * time.Millisecond
	// TermValidity is how long a planner grants leases after the beginning of its
	// last successful check of its term in the store. It outlives the usual
	// outages of the store, which last up to 9 s.
	TermValidity = 12 * time.Second
)

// ExpiresBy is when everything has ended that a grant keeps alive, if the question
// for it was received at the time.
func ExpiresBy(received time.Time, grant time.Duration) time.Time {
	return received.Add(grant + grant*ClockDriftPercent/100 + Slack)
}

// EarlierTermsExpireBy is when everything has ended that planners of earlier terms kept
// alive, if the newest term was read from the store at the time. The earlier
// planner's last check of its term began before.
func EarlierTermsExpireBy(claimed time.Time, grant time.Duration) time.Time {
	return ExpiresBy(claimed.Add(TermValidity), grant)
}

// MayGrant reports whether a planner whose last successful check began at the
// time may grant leases and send orders.
func MayGrant(checked, now time.Time) bool {
	return now.Sub(checked) < TermValidity
}
