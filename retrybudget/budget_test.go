package retrybudget

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"
)

var start = time.Date(2026, 12, 4, 6, 0, 0, 0, time.UTC)

// TestLoadWhileZoneFails guards against retries that add 10% or more to the load
// while a third of the tries fail.
func TestLoadWhileZoneFails(t *testing.T) {
	var b Budget
	requests, tries := 0, 0
	for now := start; now.Before(start.Add(time.Minute)); now = now.Add(10 * time.Millisecond) {
		b.RecordRequest()
		requests++
		for try := 0; ; try++ {
			tries++
			if (requests+try)%3 != 0 || !b.AllowRetry(now) {
				break
			}
		}
	}
	qt.Assert(t, float64(tries)/float64(requests) < 1.1, qt.IsTrue, qt.Commentf("%d tries, %d requests", tries, requests))
	qt.Assert(t, tries > requests+requests/20, qt.IsTrue, qt.Commentf("%d tries, %d requests", tries, requests))
}

// TestBounds guards against more retries than the requests and the floor allow.
// It does not check the limit of the credit: at most 200 requests earn less than
// maxCredit.
func TestBounds(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var b Budget
		now, requests, retries := start, 0, 0
		for range rapid.IntRange(0, 200).Draw(t, "steps") {
			switch rapid.SampledFrom([]string{"request", "retry", "wait"}).Draw(t, "step") {
			case "request":
				b.RecordRequest()
				requests++
			case "retry":
				if b.AllowRetry(now) {
					retries++
				}
			case "wait":
				now = now.Add(time.Duration(rapid.IntRange(1, 30).Draw(t, "seconds")) * time.Second)
			}
		}
		floor := floorRetries + int(now.Sub(start)/floorRefillInterval)
		if most := requests*creditPerRequest/costPerRetry + floor; retries > most {
			t.Fatalf("%d retries after %d requests in %v, at most %d", retries, requests, now.Sub(start), most)
		}
	})
}
