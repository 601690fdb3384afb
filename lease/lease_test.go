package lease

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"
)

// Guards against a planner that counts a VM's tasks as ended while a grant can
// still keep them alive on the slowest clock, however late the grant arrives.
func TestExpiresByBoundsEveryWorker(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		grant := time.Duration(rapid.Int64Range(1, 6000).Draw(rt, "grantMs")) * time.Millisecond
		// The agent read the worker's clock readAgo before the planner received
		// its question; the clock runs at a rate of 0.98 to 1.02.
		readAgo := time.Duration(rapid.Int64Range(0, 5000).Draw(rt, "readAgoMs")) * time.Millisecond
		rate := rapid.Float64Range(0.98, 1.02).Draw(rt, "rate")
		received := time.Unix(1000, 0)
		// The deadline is the clock at the reading and the grant; the worker
		// reaches it after grant/rate from the reading on.
		ends := received.Add(-readAgo).Add(time.Duration(float64(grant) / rate))
		if ends.After(ExpiresBy(received, grant)) {
			rt.Fatalf("a run ends at %s, the bound is %s", ends.Sub(received), ExpiresBy(received, grant).Sub(received))
		}
	})
}

// Guards against a successor that counts from its claim but forgets how long
// the earlier planner may still grant.
func TestEarlierTermsExpireByCoversLastGrant(t *testing.T) {
	c := qt.New(t)
	claimed := time.Unix(1000, 0)
	lastGrant := claimed.Add(TermValidity - time.Nanosecond)
	c.Assert(MayGrant(claimed, lastGrant), qt.IsTrue)
	c.Assert(MayGrant(claimed, claimed.Add(TermValidity)), qt.IsFalse)
	c.Assert(EarlierTermsExpireBy(claimed, 5*time.Second).Before(ExpiresBy(lastGrant, 5*time.Second)), qt.IsFalse)
}
