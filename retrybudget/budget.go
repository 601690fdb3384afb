// Package retrybudget bounds the tries of an entry, so that retries do not
// multiply the load when a zone fails. A Budget holds the credit. The caller
// serializes access to it; it takes no lock.
package retrybudget

import "time"

const (
	// perRequest and perRetry are in hundredths of a retry. Nine for each
	// request and not ten leaves room below 1.1 tries per request for the
	// floor, from 10 requests a second on.
	perRequest = 9
	perRetry   = 100
	// maxCredit is 200 retries: about a third of the 704 requests that are in
	// flight on today's 11 VMs with 64 connections each, which fail at once
	// when one of three zones does.
	maxCredit = 200 * perRetry
	// maxFloor and floorEvery let a few retries through when there are too few
	// requests to earn one.
	maxFloor   = 3
	floorEvery = 10 * time.Second
)

// Budget holds the credit. The zero value has none but the floor; see New.
type Budget struct {
	// Credit is in hundredths of a retry, 0 to 20,000.
	Credit int
	// FloorSpent counts the retries taken from the floor, 0 to 3.
	FloorSpent int
	// FloorRefillAt is when the next retry returns to the floor; zero when none is
	// spent.
	FloorRefillAt time.Time
}

// New returns a budget with full credit, so that requests in flight to a VM that
// is lost soon after the start of the entry can be sent again.
func New() Budget { return Budget{Credit: maxCredit} }

// RecordRequest adds the credit that a first try earns.
func (b *Budget) RecordRequest() { b.Credit = min(maxCredit, b.Credit+perRequest) }

// AllowRetry reports whether a retry is allowed now, and takes its credit.
func (b *Budget) AllowRetry(now time.Time) bool {
	for b.FloorSpent > 0 && !now.Before(b.FloorRefillAt) {
		b.FloorSpent--
		b.FloorRefillAt = b.FloorRefillAt.Add(floorEvery)
	}
	if b.Credit >= perRetry {
		b.Credit -= perRetry
		return true
	}
	if b.FloorSpent >= maxFloor {
		return false
	}
	if b.FloorSpent == 0 {
		b.FloorRefillAt = now.Add(floorEvery)
	}
	b.FloorSpent++
	return true
}
