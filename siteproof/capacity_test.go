package siteproof

import (
	"testing"
	"time"

	"celerypoint.example/celerypoint/steps"
)

// TestShrunkCapacityIsKept guards against starts that exceed the capacity of a worker
// which has shrunk while it runs, and against capacity that stays unused once it has
// grown again.
func TestShrunkCapacityIsKept(t *testing.T) {
	s := newSite(t, 1, 2)
	jobs := 0
	submit := func(n int) {
		for range n {
			jobs++
			s.submit(s.entries[0], "normal", jobID(jobs), s.jobBody(jobID(jobs), "run 700", 1, 4, false))
		}
	}
	small := capacity
	small.GPUs = 2
	submit(4)
	s.agents[0].worker.SetCapacity(small)
	for range 8 {
		submit(1)
		time.Sleep(700 * time.Millisecond)
	}
	s.agents[0].worker.SetCapacity(steps.Resources{})
	for range 6 {
		submit(1)
		time.Sleep(700 * time.Millisecond)
	}
	s.agents[0].worker.SetCapacity(capacity)
	submit(6)
	for n := range jobs {
		s.awaitState(s.entries[0], "normal", jobID(n+1), "completed")
	}
	s.checkRuns()
}
