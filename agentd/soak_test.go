package agentd

import (
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"celerypoint.example/celerypoint/job"
	"celerypoint.example/celerypoint/wire"
)

const (
	soakSeed = 20261204
	soakTime = 1500 * time.Millisecond
)

// TestNoDoubleBooking guards against accelerators that two tasks use at once,
// and against paused work that is forgotten, under concurrent reservations,
// reclaims, releases, loans and lapsing leases.
func TestNoDoubleBooking(t *testing.T) {
	b := newBench(t)
	b.entry.config = wire.VMConfig{Offset: 1, Shares: map[string]int{"norte": 3, "sur": 3}}
	t.Logf("seed %d", soakSeed)
	until := time.Now().Add(soakTime)
	var all sync.WaitGroup
	for w := range 12 {
		all.Go(func() {
			random := rand.New(rand.NewPCG(soakSeed, uint64(w)))
			for i := 0; time.Now().Before(until); i++ {
				id := fmt.Sprintf("j%d-%d", w, i)
				if w%2 == 0 {
					b.short(id, fmt.Sprintf(`{"runMs":%d}`, random.IntN(40)), random.IntN(4))
					continue
				}
				b.soakAttempt(id, random)
			}
		})
	}
	all.Wait()
	for len(b.daemon.Holdings()) > 0 {
		qt.Assert(t, b.ctx.Err(), qt.IsNil, qt.Commentf("still held: %+v", b.daemon.Holdings()))
		time.Sleep(5 * time.Millisecond)
	}
	b.checkRecords()
}

// soakAttempt takes one attempt some of the way to its end.
func (b *bench) soakAttempt(id string, random *rand.Rand) {
	j := b.job(id, fmt.Sprintf(`{"runMs":%d}`, 50+random.IntN(200)), random.IntN(3) > 0)
	j.Org, j.AcceleratorsPerTask = []string{"norte", "sur", "este"}[random.IntN(3)], 1+random.IntN(2)
	j.Urgency = string(job.UrgencyBatch)
	if b.reserves(j, 1+random.IntN(3), random.IntN(2) > 0).Status != wire.GrantStatusGranted {
		time.Sleep(time.Millisecond)
		return
	}
	if random.IntN(5) > 0 {
		b.starts(j, 100+random.IntN(300))
		time.Sleep(time.Duration(random.IntN(150)) * time.Millisecond)
	}
	if random.IntN(3) > 0 {
		_, err := b.Release(b.ctx, wire.ReleaseParams{Job: id, Attempt: id + "-a", Term: 1, Checkpoint: random.IntN(2) > 0})
		qt.Check(b, err, qt.IsNil)
	}
}

// checkRecords adds up what the runtime's tasks used at each time.
func (b *bench) checkRecords() {
	b.Helper()
	used, kinds, paused := 0, map[wire.RuntimeRecordKind]int{}, map[string]bool{}
	for _, r := range b.runtime.Records() {
		kinds[r.Kind]++
		switch r.Kind {
		case wire.RuntimeRecordKindStarted, wire.RuntimeRecordKindResumed:
			used += r.Accelerators
			delete(paused, r.ID)
		case wire.RuntimeRecordKindOverbooked:
			b.Fatalf("the runtime was asked to overbook: %+v", r)
		default:
			if !paused[r.ID] {
				used -= r.Accelerators
			}
			delete(paused, r.ID)
			if r.Kind == wire.RuntimeRecordKindThrottled {
				paused[r.ID] = true
			}
		}
		if used > 8 {
			b.Fatalf("%d accelerators in use after %+v", used, r)
		}
	}
	b.Logf("records: %v", kinds)
	qt.Assert(b, used, qt.Equals, 0)
	qt.Assert(b, paused, qt.HasLen, 0)
	qt.Assert(b, kinds[wire.RuntimeRecordKindThrottled] > 0 && kinds[wire.RuntimeRecordKindStopped] > 0, qt.IsTrue)
}
