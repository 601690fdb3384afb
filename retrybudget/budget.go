// Package retrybudget bounds the number of retries that an entry process sends,
// so that retries do not multiply the load when an availability zone fails.
// Requests earn credit and retries spend it. A few retries, the floor, need no
// credit. A Budget holds both. The caller serializes access to it; the package
// takes no lock.
package retrybudget

import "time"

const (
	// creditPerRequest and costPerRetry are in hundredths of a retry. A request
	// earns 9 and not 10, so that at 10 or more requests a second the retries of
	// the floor also fit below 1.1 tries per request, the limit for the load while
	// a zone fails.
	creditPerRequest = 9
	costPerRetry     = 100
	// maxCredit is 200 retries, about a third of the 704 requests that are in
	// flight on the 11 VMs in use with 64 connections each. That third fails at
	// once when one of three zones fails.
	maxCredit = 200 * costPerRetry
	// The floor is floorRetries retries that need no credit, so that a few retries
	// are allowed when there are too few requests to earn one. One of them returns
	// every floorRefillInterval.
	floorRetries        = 3
	floorRefillInterval = 10 * time.Second
)

// Budget holds the credit. The zero value allows only the retries of the floor;
// New returns a Budget with full credit.
type Budget struct {
	// Credit is in hundredths of a retry, 0 to 20,000.
	Credit int
	// FloorSpent is the number of retries that were taken from the floor and have
	// not returned to it, 0 to 3.
	FloorSpent int
	// FloorRefillAt is when the next retry returns to the floor. It has no meaning
	// while FloorSpent is 0.
	FloorRefillAt time.Time
}

// New returns a budget with full credit, so that an entry process that has just
// started can retry the requests in flight to a VM that is lost.
func New() Budget { return Budget{Credit: maxCredit} }

// RecordRequest adds the credit that a request earns with its first try.
func (b *Budget) RecordRequest() { b.Credit = min(maxCredit, b.Credit+creditPerRequest) }

// AllowRetry reports whether a retry is allowed now, and if so spends its credit or
// takes it from the floor.
func (b *Budget) AllowRetry(now time.Time) bool {
	for b.FloorSpent > 0 && !now.Before(b.FloorRefillAt) {
		b.FloorSpent--
		b.FloorRefillAt = b.FloorRefillAt.Add(floorRefillInterval)
	}
	if b.Credit >= costPerRetry {
		b.Credit -= costPerRetry
		return true
	}
	if b.FloorSpent >= floorRetries {
		return false
	}
	if b.FloorSpent == 0 {
		b.FloorRefillAt = now.Add(floorRefillInterval)
	}
	b.FloorSpent++
	return true
}
