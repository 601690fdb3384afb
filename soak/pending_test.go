package soak

import (
	"context"
	"maps"
	"math/rand/v2"
	"net/http"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"celerypoint.example/celerypoint/standinworker"
)

// pendingDelay is how long after its acceptance a job that has not begun counts as pending at
// every entry: the platform's visible_ms and 2 s.
const pendingDelay = 3*time.Second + 2*time.Second

// acceptance is the queue and the time at which a job was accepted.
type acceptance struct {
	queue string
	at    time.Time
}

// recordAcceptance records that a client was told that the job is accepted.
func (s *system) recordAcceptance(id, queue string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.accepted[id] = acceptance{queue, time.Now()}
}

// forgetAcceptance records that a cancellation of the job is about to be sent.
func (s *system) forgetAcceptance(id string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.accepted, id)
}

// begunJobs returns the IDs of the jobs of which a worker has started a task.
func (s *system) begunJobs() map[string]bool {
	begun := map[string]bool{}
	for task := range s.runsByTask() {
		id, _, _ := strings.Cut(task, ".")
		begun[id] = true
	}
	return begun
}

// pendingAtLeast counts the jobs of the queue that were accepted before the time and are not
// in begun.
func pendingAtLeast(accepted map[string]acceptance, begun map[string]bool, queue string, before time.Time) int {
	n := 0
	for id, a := range accepted {
		if a.queue == queue && a.at.Before(before) && !begun[id] {
			n++
		}
	}
	return n
}

// probePending asks entries for the number of pending jobs until ctx ends. An entry that
// answers must not give less than half of those that certainly are.
func (c *client) probePending(ctx context.Context) {
	for ctx.Err() == nil {
		time.Sleep(150 * time.Millisecond)
		e, queue, sent := pick(c.random, c.system.entries), pick(c.random, []string{"urgent", "normal", "batch"}), time.Now()
		status, reply := c.call(e, http.MethodGet, "/"+queue+"/", c.system.newestKey(), nil)
		pending, ok := reply["pending"].(float64)
		if status != http.StatusOK || !ok {
			continue
		}
		// Jobs that have begun, or whose cancellation was sent, since the entry answered do not count.
		begun := c.system.begunJobs()
		c.system.mu.Lock()
		accepted := maps.Clone(c.system.accepted)
		c.system.mu.Unlock()
		if n := pendingAtLeast(accepted, begun, queue, sent.Add(-pendingDelay)); 2*int(pending) < n {
			c.system.fail("%s: the queue %s has %.0f pending jobs, but %d accepted ones have not begun", e.name, queue, pending, n)
		}
	}
}

// drawRefusals chooses workers that refuse starts for a time, with a random generator of their
// own. Some of the faults affect all workers at once.
func (s *system) drawRefusals(length time.Duration) []scheduledFault {
	r := rand.New(rand.NewPCG(s.seed, 10))
	refusal := standinworker.Faults{RefuseStarts: true}
	var all []scheduledFault
	for at := milliseconds(r, 500, 3000); at < length; at += milliseconds(r, 1500, 5000) {
		duration, affected := milliseconds(r, 300, 4000), r.Perm(len(s.agents))
		if r.IntN(3) > 0 {
			affected = affected[:1+r.IntN(len(affected)-1)]
		}
		for _, i := range affected {
			all = append(all, scheduledFault{at, duration, workerFault{i, refusal}})
		}
	}
	return all
}

// TestPendingAtLeast guards against a judge that misses a job that is told as begun, or takes
// one for pending that has begun, was accepted too recently or is in another queue.
func TestPendingAtLeast(t *testing.T) {
	now := time.Unix(100, 0)
	accepted := map[string]acceptance{
		"waits": {"q", now.Add(-time.Second)}, "begun": {"q", now.Add(-time.Second)}, "recent": {"q", now.Add(time.Second)}, "other": {"r", now.Add(-time.Second)},
	}
	qt.Check(t, pendingAtLeast(accepted, map[string]bool{"begun": true}, "q", now), qt.Equals, 1)
	qt.Check(t, pendingAtLeast(accepted, nil, "q", now), qt.Equals, 2)
	qt.Check(t, pendingAtLeast(accepted, nil, "r", now), qt.Equals, 1)
}
