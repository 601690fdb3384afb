// Package lease calculates when the leases end that a planner grants to an agent
// for its worker. A lease allows the worker to execute runs, which are executions
// of tasks, for the duration of the lease.
//
// A worker ends all its runs when its deadline passes on its own clock. The agent
// moves the deadline only when a planner has granted a lease. The new deadline is
// the duration of the lease after a reading of the worker's clock that the agent
// made before it sent the request for the lease. The planner receives the request
// after that reading. The runs that the lease keeps active have therefore ended
// once the duration of the lease, the greatest drift of the worker's clock and
// Slack have passed since the planner received the request. This holds however
// late the granted lease arrives at the agent.
//
// A term is the time during which one process is the planner. Each term has a
// higher number than the earlier ones, and its planner claims it by a record in
// the store. A planner that has lost contact with the store may not yet know of a
// later term, and still grants leases for up to TermValidity.
//
// The package owns no state and takes no lock.
package lease

import "time"

// Bounds on which the calculations rely.
const (
	// ClockDriftPercent is how much slower than real time a worker's clock may
	// run, according to the platform's description of workers.
	ClockDriftPercent = 2
	// Slack allows for timers that fire late and for the time that a worker needs
	// to end its runs after the deadline.
	Slack = 300 * time.Millisecond
	// TermValidity is how long a planner may grant leases after it began its last
	// successful check in the store that its term is still the newest. TermValidity
	// is longer than the usual outages of the store, which last up to 9 s.
	TermValidity = 12 * time.Second
)

// ExpiresBy returns the time by which every run has ended that a lease of the
// given duration keeps active, if the planner received the request for the lease
// at the given time.
func ExpiresBy(received time.Time, duration time.Duration) time.Time {
	return received.Add(longest(duration))
}

// longest is the longest real time from a reading of the worker's clock until every run
// has ended that a lease of the given duration from that reading keeps active.
func longest(duration time.Duration) time.Duration {
	return duration + duration*ClockDriftPercent/100 + Slack
}

// Expired reports whether every run has ended that leases of the given duration kept
// active, whichever planners granted them. age is the time since the agent requested the
// newest lease that the worker may hold, or since the agent's process began if it has
// requested none: an earlier process had requested its leases before.
func Expired(age, duration time.Duration) bool { return age >= longest(duration) }

// EarlierTermsExpireBy returns the time by which every run has ended that leases
// granted by planners of earlier terms keep active. claimed is when the planner of
// the newest term had read its own claim back from the store, or a later time. An
// earlier planner began its last successful check of its term before that. It is the only
// bound for workers whose agents are not in contact with the planner of the newest term. An
// agent that follows this planner passes on no lease of an earlier one, and its reports show
// when the leases have ended; see Expired.
func EarlierTermsExpireBy(claimed time.Time, duration time.Duration) time.Time {
	return ExpiresBy(claimed.Add(TermValidity), duration)
}

// MayGrant reports whether a planner may grant leases at the time now. checked is
// when the planner began its last successful check that its term is the newest.
func MayGrant(checked, now time.Time) bool {
	return now.Sub(checked) < TermValidity
}
