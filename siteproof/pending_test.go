package siteproof

import (
	"net/http"
	"slices"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"celerypoint.example/celerypoint/standinworker"
)

// pending returns the number of pending jobs in the queue as the entry tells it, -1 if it
// does not.
func (s *site) pending(e *entryProcess, queue string) int {
	status, reply := s.request(e, http.MethodGet, "/"+queue+"/", key, nil)
	n, ok := reply["pending"].(float64)
	if status != http.StatusOK || !ok {
		return -1
	}
	return int(n)
}

// TestPendingWhileStartsAreRefused guards against jobs that any entry tells as begun because
// their starts were ordered, although the worker has refused them all, also after a change of
// the planner, and against jobs that stay pending after they have begun.
func TestPendingWhileStartsAreRefused(t *testing.T) {
	const jobs = 4
	s := newSite(t, 3, 1)
	s.agents[0].worker.SetFaults(standinworker.Faults{RefuseStarts: true})
	for n := range jobs {
		s.submit(s.entries[0], "urgent", jobID(n+1), s.jobBody(jobID(n+1), "run 3000", 1, 1, false))
	}
	allPending := func() bool {
		return !slices.ContainsFunc(s.entries, func(e *entryProcess) bool { return s.pending(e, "urgent") != jobs })
	}
	s.eventually("all entries know the jobs", allPending)
	killed := false
	for from := time.Now(); time.Since(from) < 5*time.Second; time.Sleep(10 * time.Millisecond) {
		if !killed && time.Since(from) > 2*time.Second {
			planner := s.planner()
			planner.kill()
			s.entries = slices.DeleteFunc(s.entries, func(e *entryProcess) bool { return e == planner })
			killed = true
		}
		for _, e := range s.entries {
			s.c.Assert(s.pending(e, "urgent"), qt.Equals, jobs)
			s.c.Assert(s.state(e, "urgent", jobID(1)), qt.Equals, "queued")
		}
	}
	s.c.Assert(s.starts(jobID(1)), qt.HasLen, 0)
	// The next start is answered only after it has been carried out and the answer is lost.
	s.agents[0].worker.SetFaults(standinworker.Faults{LoseAnswers: 1})
	s.eventually("all jobs have begun", func() bool {
		return !slices.ContainsFunc(s.entries, func(e *entryProcess) bool { return s.pending(e, "urgent") != 0 })
	})
	begun := time.Now()
	for n := range jobs {
		starts := s.starts(jobID(n + 1))
		s.c.Assert(starts, qt.HasLen, 1)
		s.c.Check(begun.Sub(starts[0].StartedAt) < 2*time.Second, qt.IsTrue, qt.Commentf("job %d is told as begun %s after its start", n+1, begun.Sub(starts[0].StartedAt)))
		s.awaitState(s.entries[0], "urgent", jobID(n+1), "completed")
	}
	s.checkRuns()
}
