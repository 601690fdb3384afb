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
	soakSeed     = 20261204
	soakDuration = 1500 * time.Millisecond
)

// TestNoDoubleBooking guards against accelerators that two tasks use at the same
// time, and against paused tasks that are never resumed, under concurrent
// reservations, reclaims, releases, loans and expiring leases.
func TestNoDoubleBooking(t *testing.T) {
	h := newHarness(t)
	h.entry.config = wire.VMConfig{Offset: 1, Shares: map[string]int{"norte": 3, "sur": 3}}
	t.Logf("seed %d", soakSeed)
	stopAt := time.Now().Add(soakDuration)
	var wg sync.WaitGroup
	for worker := range 12 {
		wg.Go(func() {
			random := rand.New(rand.NewPCG(soakSeed, uint64(worker)))
			for i := 0; time.Now().Before(stopAt); i++ {
				id := fmt.Sprintf("j%d-%d", worker, i)
				if worker%2 == 0 {
					h.runShort(id, fmt.Sprintf(`{"runMs":%d}`, random.IntN(40)), random.IntN(4))
					continue
				}
				h.runRandomAttempt(id, random)
			}
		})
	}
	wg.Wait()
	for len(h.daemon.Holdings()) > 0 {
		qt.Assert(t, h.ctx.Err(), qt.IsNil, qt.Commentf("attempts left: %+v", h.daemon.Holdings()))
		time.Sleep(5 * time.Millisecond)
	}
	h.checkAccelerators()
}

// runRandomAttempt reserves an attempt, starts it with a probability of 4/5, and
// releases it with a probability of 2/3. Without a release, its reservation or lease
// expires, or its tasks end.
func (h *harness) runRandomAttempt(id string, random *rand.Rand) {
	j := h.job(id, fmt.Sprintf(`{"runMs":%d}`, 50+random.IntN(200)), random.IntN(3) > 0)
	j.Org, j.AcceleratorsPerTask = []string{"norte", "sur", "este"}[random.IntN(3)], 1+random.IntN(2)
	j.Urgency = string(job.UrgencyBatch)
	if h.reserve(j, 1+random.IntN(3), random.IntN(2) > 0).Status != wire.GrantStatusGranted {
		time.Sleep(time.Millisecond)
		return
	}
	if random.IntN(5) > 0 {
		h.startReserved(j, 100+random.IntN(300))
		time.Sleep(time.Duration(random.IntN(150)) * time.Millisecond)
	}
	if random.IntN(3) > 0 {
		_, err := h.Release(h.ctx, wire.ReleaseParams{Job: id, Attempt: id + "-a", Term: 1, Checkpoint: random.IntN(2) > 0})
		qt.Check(h, err, qt.IsNil)
	}
}

// checkAccelerators replays the records of the runtime. It checks that the tasks
// never used more accelerators at once than the VM has, and that at the end none
// is in use and no task is paused.
func (h *harness) checkAccelerators() {
	h.Helper()
	used, kinds, paused := 0, map[wire.RuntimeRecordKind]int{}, map[string]bool{}
	for _, r := range h.runtime.Records() {
		kinds[r.Kind]++
		switch r.Kind {
		case wire.RuntimeRecordKindStarted, wire.RuntimeRecordKindResumed:
			used += r.Accelerators
			delete(paused, r.ID)
		case wire.RuntimeRecordKindOverbooked:
			h.Fatalf("the runtime was asked to overbook: %+v", r)
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
			h.Fatalf("%d accelerators in use after %+v", used, r)
		}
	}
	h.Logf("records: %v", kinds)
	qt.Assert(h, used, qt.Equals, 0)
	qt.Assert(h, paused, qt.HasLen, 0)
	qt.Assert(h, kinds[wire.RuntimeRecordKindThrottled] > 0 && kinds[wire.RuntimeRecordKindStopped] > 0, qt.IsTrue)
}
