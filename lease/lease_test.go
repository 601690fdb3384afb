package lease

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"
)

// Guards against a planner that considers the runs on a VM as ended while a lease
// can still keep them active. The worker's clock may drift, and the agent may have
// read it long before the planner received the request for the lease.
func TestExpiresByBoundsEveryWorker(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		duration := time.Duration(rapid.Int64Range(1, 6000).Draw(rt, "grantMs")) * time.Millisecond
		// The agent read the worker's clock the duration readAgo before the planner
		// received its request. The clock runs at a rate of 0.98 to 1.02.
		readAgo := time.Duration(rapid.Int64Range(0, 5000).Draw(rt, "readAgoMs")) * time.Millisecond
		rate := rapid.Float64Range(0.98, 1.02).Draw(rt, "rate")
		received := time.Unix(1000, 0)
		// The worker's deadline is its clock at the reading plus the duration of the
		// lease. The worker reaches it duration/rate after the reading.
		ends := received.Add(-readAgo).Add(time.Duration(float64(duration) / rate))
		if ends.After(ExpiresBy(received, duration)) {
			rt.Fatalf("a run ends at %s, the bound is %s", ends.Sub(received), ExpiresBy(received, duration).Sub(received))
		}
	})
}

// Guards against a new planner that counts the end of earlier leases from its own
// claim and ignores that the earlier planner may grant leases for TermValidity
// after that.
func TestEarlierTermsExpireByCoversLastGrant(t *testing.T) {
	c := qt.New(t)
	claimed := time.Unix(1000, 0)
	lastGrant := claimed.Add(TermValidity - time.Nanosecond)
	c.Assert(MayGrant(claimed, lastGrant), qt.IsTrue)
	c.Assert(MayGrant(claimed, claimed.Add(TermValidity)), qt.IsFalse)
	c.Assert(EarlierTermsExpireBy(claimed, 5*time.Second).Before(ExpiresBy(lastGrant, 5*time.Second)), qt.IsFalse)
}

// Guards against a planner that takes the leases of earlier planners for expired while one
// of them can still keep a run active. The agent restarts any number of times, and each
// lease that its processes requested may have been granted by any planner and passed on.
func TestExpiredBoundsLeasesOfAllPlanners(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		duration := time.Duration(rapid.Int64Range(1, 6000).Draw(rt, "grantMs")) * time.Millisecond
		rate := rapid.Float64Range(0.98, 1.02).Draw(rt, "rate")
		late := time.Duration(rapid.Int64Range(0, 250).Draw(rt, "lateMs")) * time.Millisecond
		now, ends := time.Unix(1000, 0), time.Unix(0, 0)
		step := func(label string) {
			now = now.Add(time.Duration(rapid.Int64Range(0, 9000).Draw(rt, label)) * time.Millisecond)
		}
		var requested time.Time
		for range rapid.IntRange(1, 3).Draw(rt, "processes") {
			step("beforeProcess")
			// The process has requested no lease.
			requested = now
			for range rapid.IntRange(0, 3).Draw(rt, "requests") {
				step("beforeRequest")
				requested = now
				// The worker reaches its deadline duration/rate after the reading of its clock,
				// and ends its runs late.
				if end := now.Add(time.Duration(float64(duration)/rate) + late); end.After(ends) {
					ends = end
				}
			}
		}
		step("beforeReport")
		if Expired(now.Sub(requested), duration) && ends.After(now) {
			rt.Fatalf("the leases count as expired %s before a run ends", ends.Sub(now))
		}
	})
}
