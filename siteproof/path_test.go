package siteproof

import (
	"context"
	"net/http"
	"slices"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"celerypoint.example/celerypoint/standinstore"
	"celerypoint.example/celerypoint/standinworker"
)

// Guards against a path that loses, repeats or miscounts a job without any
// fault.
func TestJobsRunWhole(t *testing.T) {
	s := newSite(t, 2, 3)
	s.submit(s.entries[0], "normal", id(1), s.jobOf(id(1), "run 200", 2, 3, true))
	s.submit(s.entries[1], "batch", id(2), s.jobOf(id(2), "run 100", 1, 6, false))
	s.awaitState(s.entries[1], "normal", id(1), "completed")
	s.awaitState(s.entries[0], "batch", id(2), "completed")
	s.c.Check(s.starts(id(1)), qt.HasLen, 3)
	s.c.Check(s.starts(id(2)), qt.HasLen, 6)
	s.eventually("all ends are forgotten", func() bool {
		return !slices.ContainsFunc(s.agents, func(a *agentProcess) bool { return a.worker.UnacknowledgedEnds() > 0 })
	})
	status, _ := s.request(s.entries[0], http.MethodGet, "/normal/"+id(99), key, nil)
	s.c.Check(status, qt.Equals, http.StatusGone)
	s.checkRuns()
}

// Guards against an entry that denies a job which another entry has just
// accepted: a client takes that for the acknowledgement of its cancellation.
func TestKnownAtOnce(t *testing.T) {
	s := newSite(t, 2, 1)
	planner := s.planner()
	other := s.entries[1-slices.Index(s.entries, planner)]
	for n := range 20 {
		s.submit(planner, "normal", id(n+1), s.jobOf(id(n+1), "run 10", 1, 1, false))
		status, _ := s.request(other, http.MethodGet, "/normal/"+id(n+1), key, nil)
		s.c.Check(status, qt.Equals, http.StatusOK, qt.Commentf("job %d", n+1))
		s.submit(planner, "normal", id(n+101), s.jobOf(id(n+101), "run 5000", 1, 1, false))
		status, _ = s.request(other, http.MethodDelete, "/normal/"+id(n+101), key, nil)
		s.c.Check(status, qt.Equals, http.StatusOK, qt.Commentf("job %d", n+101))
		s.awaitState(planner, "normal", id(n+101), "cancelled")
	}
	status, _ := s.request(other, http.MethodGet, "/normal/"+id(999), key, nil)
	s.c.Check(status, qt.Equals, http.StatusGone)
	s.checkRuns()
}

// Guards against steps that start before those that they follow.
func TestStepsFollow(t *testing.T) {
	s := newSite(t, 1, 2)
	body := s.jobOf(id(1), "run 150", 1, 2, false)
	body["steps"] = append(body["steps"].([]any), map[string]any{"count": 2, "cpu": 1000, "mem_mb": 1024, "gpus": 1, "after": []int{0}})
	s.submit(s.entries[0], "normal", id(1), body)
	s.awaitState(s.entries[0], "normal", id(1), "completed")
	starts := s.starts(id(1))
	s.c.Assert(starts, qt.HasLen, 4)
	for _, first := range starts[:2] {
		for _, second := range starts[2:] {
			s.c.Check(second.StartedAt.Before(first.EndedAt), qt.IsFalse)
		}
	}
	s.checkRuns()
}

// Guards against a job that fails being tried for ever, or shown as completed.
func TestFailedAttempts(t *testing.T) {
	s := newSite(t, 1, 3)
	s.submit(s.entries[0], "normal", id(1), s.jobOf(id(1), "fail 20", 1, 1, false))
	s.awaitState(s.entries[0], "normal", id(1), "failed")
	s.c.Check(s.starts(id(1)), qt.HasLen, 3)
	s.checkRuns()
}

// Guards against a cancelled job that goes on, or starts again.
func TestCancel(t *testing.T) {
	s := newSite(t, 2, 2)
	s.submit(s.entries[0], "normal", id(1), s.jobOf(id(1), "run 20000", 4, 2, true))
	s.eventually("the gang runs", func() bool { return len(s.starts(id(1))) == 2 })
	status, _ := s.request(s.entries[1], http.MethodDelete, "/normal/"+id(1), key, nil)
	s.c.Check(status, qt.Equals, http.StatusOK)
	s.awaitState(s.entries[0], "normal", id(1), "cancelled")
	s.eventually("the runs have ended", func() bool {
		return !slices.ContainsFunc(s.starts(id(1)), func(b standinworker.RunRecord) bool { return b.EndedAt.IsZero() })
	})
	s.c.Check(s.starts(id(1)), qt.HasLen, 2)
	s.checkRuns()
}

// Guards against a retry of an accepted job that becomes a second job, and
// against an answer that was lost being told as a refusal.
func TestStoreAnswersLost(t *testing.T) {
	s := newSite(t, 2, 2)
	s.store.SetFaults(standinstore.Faults{LoseAnswers: 3})
	s.submit(s.entries[0], "normal", id(1), s.jobOf(id(1), "run 300", 1, 2, false))
	s.submit(s.entries[1], "normal", id(1), s.jobOf(id(1), "run 300", 1, 2, false))
	s.awaitState(s.entries[0], "normal", id(1), "completed")
	s.c.Check(s.starts(id(1)), qt.HasLen, 2)
	s.checkRuns()
}

// Guards against an append that takes effect late overwriting newer progress.
func TestStoreAppliesLate(t *testing.T) {
	s := newSite(t, 1, 2)
	s.store.SetFaults(standinstore.Faults{ApplyLate: 2, ApplyDelay: 2 * time.Second})
	s.submit(s.entries[0], "normal", id(1), s.jobOf(id(1), "run 100", 1, 2, false))
	s.awaitState(s.entries[0], "normal", id(1), "completed")
	time.Sleep(2500 * time.Millisecond)
	s.c.Check(s.state(s.entries[0], "normal", id(1)), qt.Equals, "completed")
	s.c.Check(s.starts(id(1)), qt.HasLen, 2)
	s.checkRuns()
}

// Guards against a job that waits for the store's reads, which can be silent
// for a second while the store takes appends: it starts, and its end is shown
// by the entry that accepted it, before any record of it can be read.
func TestStoreReadsMute(t *testing.T) {
	s := newSite(t, 2, 2)
	i := slices.IndexFunc(s.entries, func(e *entryProcess) bool { return e.daemon.AttachedAgents() < 0 })
	c := s.c
	c.Assert(i >= 0, qt.IsTrue)
	other, planner := s.entries[i], s.entries[1-i]
	// One ping opens the connection to the planner.
	time.Sleep(time.Second)
	s.store.SetFaults(standinstore.Faults{HideNewRecords: true})
	s.submit(other, "urgent", id(1), s.jobOf(id(1), "run 200", 2, 2, true))
	s.awaitState(other, "urgent", id(1), "completed")
	// Longer than an entry waits for a beat of the planner.
	time.Sleep(2500 * time.Millisecond)
	c.Check(planner.daemon.AttachedAgents(), qt.Equals, 2)
	s.submit(other, "normal", id(2), s.jobOf(id(2), "run 20000", 2, 2, true))
	s.eventually("the gang runs", func() bool { return len(s.starts(id(2))) == 2 })
	status, _ := s.request(other, http.MethodDelete, "/normal/"+id(2), key, nil)
	c.Check(status, qt.Equals, http.StatusOK)
	s.eventually("the runs have ended", func() bool {
		return !slices.ContainsFunc(s.starts(id(2)), func(b standinworker.RunRecord) bool { return b.EndedAt.IsZero() })
	})
	// An entry that cannot read the acceptance denies the job, and cancels it.
	s.submit(planner, "normal", id(3), s.jobOf(id(3), "run 20000", 2, 2, true))
	s.eventually("the gang runs", func() bool { return len(s.starts(id(3))) == 2 })
	status, _ = s.request(other, http.MethodDelete, "/normal/"+id(3), key, nil)
	c.Check(status, qt.Equals, http.StatusGone)
	s.eventually("the runs have ended", func() bool {
		return !slices.ContainsFunc(s.starts(id(3)), func(b standinworker.RunRecord) bool { return b.EndedAt.IsZero() })
	})
	s.store.SetFaults(standinstore.Faults{})
	s.checkRuns()
}

// Guards against work that is lost with the store, and against an acceptance
// or a refusal that is not true while it is away.
func TestStoreDown(t *testing.T) {
	s := newSite(t, 2, 2)
	s.submit(s.entries[0], "normal", id(1), s.jobOf(id(1), "run 4000", 4, 2, true))
	s.eventually("the gang runs", func() bool { return len(s.starts(id(1))) == 2 })
	s.store.SetFaults(standinstore.Faults{Down: true})
	time.Sleep(2500 * time.Millisecond)
	begun := time.Now()
	status, _ := s.request(s.entries[0], http.MethodPost, "/normal/"+id(2), key, s.jobOf(id(2), "run 10", 1, 1, false))
	s.c.Check(status, qt.Equals, http.StatusServiceUnavailable)
	s.c.Check(time.Since(begun) < 500*time.Millisecond, qt.IsTrue)
	s.c.Check(s.entries[0].daemon.Ready(), qt.IsFalse)
	s.store.SetFaults(standinstore.Faults{})
	s.awaitState(s.entries[1], "normal", id(1), "completed")
	s.c.Check(s.starts(id(1)), qt.HasLen, 2)
	s.c.Check(s.starts(id(2)), qt.HasLen, 0)
	s.checkRuns()
}

// Guards against a key that is honoured although its removal cannot be read.
func TestRevokedKeyBehindSilentStore(t *testing.T) {
	s := newSite(t, 1, 1)
	s.submit(s.entries[0], "normal", id(1), s.jobOf(id(1), "run 10", 1, 1, false))
	s.store.SetFaults(standinstore.Faults{Unresponsive: true})
	s.eventually("the key is not honoured any more", func() bool {
		status, _ := s.request(s.entries[0], http.MethodGet, "/normal/"+id(1), key, nil)
		return status == http.StatusServiceUnavailable
	})
	s.configure(2, "another-key")
	s.store.SetFaults(standinstore.Faults{})
	s.eventually("the key is refused", func() bool {
		status, _ := s.request(s.entries[0], http.MethodGet, "/normal/"+id(1), key, nil)
		return status == http.StatusUnauthorized
	})
}

// Guards against an older version of the configuration coming back when the
// history is dropped.
func TestHistoryDropped(t *testing.T) {
	s := newSite(t, 1, 2)
	s.submit(s.entries[0], "normal", id(1), s.jobOf(id(1), "run 1500", 1, 2, false))
	s.configure(3, key, "second-key")
	s.eventually("version 3 is in force", func() bool {
		status, _ := s.request(s.entries[0], http.MethodGet, "/normal/"+id(1), "second-key", nil)
		return status == http.StatusOK
	})
	s.store.Compact("keyed.op")
	s.store.Compact("keyed." + topic)
	s.configure(2, "an-older-version")
	s.awaitState(s.entries[0], "normal", id(1), "completed")
	s.submit(s.entries[0], "normal", id(2), s.jobOf(id(2), "run 10", 1, 1, false))
	s.awaitState(s.entries[0], "normal", id(2), "completed")
	s.checkRuns()
}

// Guards against a second run of a task whose first start had no answer, or was
// carried out late.
func TestStartsInDoubt(t *testing.T) {
	s := newSite(t, 1, 2)
	for _, a := range s.agents {
		a.worker.SetFaults(standinworker.Faults{LoseAnswers: 1, ApplyLate: 1, ApplyDelay: 700 * time.Millisecond})
	}
	s.submit(s.entries[0], "normal", id(1), s.jobOf(id(1), "run 1500", 2, 4, true))
	s.submit(s.entries[0], "batch", id(2), s.jobOf(id(2), "run 800", 1, 4, false))
	s.awaitState(s.entries[0], "normal", id(1), "completed")
	s.awaitState(s.entries[0], "batch", id(2), "completed")
	s.checkRuns()
}

// Guards against an agent's restart that stops or forgets what runs.
func TestAgentRestarts(t *testing.T) {
	s := newSite(t, 1, 2)
	s.submit(s.entries[0], "normal", id(1), s.jobOf(id(1), "run 3000", 4, 2, true))
	s.eventually("the gang runs", func() bool { return len(s.starts(id(1))) == 2 })
	for _, a := range s.agents {
		a.kill()
		s.runAgent(a)
	}
	s.awaitState(s.entries[0], "normal", id(1), "completed")
	s.c.Check(s.starts(id(1)), qt.HasLen, 2)
	s.checkRuns()
}

// Guards against work that is lost with its worker, and against a second run
// beside one that goes on.
func TestWorkerCrashes(t *testing.T) {
	s := newSite(t, 1, 2)
	s.submit(s.entries[0], "normal", id(1), s.jobOf(id(1), "run 1500", 8, 2, false))
	s.eventually("both tasks run", func() bool { return len(s.starts(id(1))) == 2 })
	s.crashWorker(s.agents[0])
	s.awaitState(s.entries[0], "normal", id(1), "completed")
	s.c.Check(s.starts(id(1)), qt.HasLen, 3)
	s.checkRuns()
}

// Guards against a lost VM whose tasks are started elsewhere while its worker
// still runs them.
func TestAgentLost(t *testing.T) {
	s := newSite(t, 1, 2)
	s.submit(s.entries[0], "normal", id(1), s.jobOf(id(1), "run 6000", 8, 1, false))
	s.eventually("the task runs", func() bool { return len(s.starts(id(1))) == 1 })
	for _, a := range s.agents {
		if len(a.worker.History()) > 0 {
			a.kill()
		}
	}
	s.awaitState(s.entries[0], "normal", id(1), "completed")
	s.c.Check(s.starts(id(1)), qt.HasLen, 2)
	s.checkRuns()
}

// Guards against a takeover that repeats or loses what the earlier planner
// started.
func TestPlannerKilled(t *testing.T) {
	s := newSite(t, 3, 3)
	s.submit(s.entries[0], "normal", id(1), s.jobOf(id(1), "run 5000", 4, 3, true))
	s.submit(s.entries[0], "batch", id(2), s.jobOf(id(2), "run 700", 4, 9, false))
	s.eventually("the gang runs", func() bool { return len(s.starts(id(1))) == 3 })
	killed := s.planner()
	killed.kill()
	s.entries = slices.DeleteFunc(s.entries, func(e *entryProcess) bool { return e == killed })
	s.awaitState(s.entries[0], "normal", id(1), "completed")
	s.awaitState(s.entries[1], "batch", id(2), "completed")
	s.c.Check(s.starts(id(1)), qt.HasLen, 3)
	s.checkRuns()
}

// Guards against a planned stop that cuts off requests or stops work.
func TestEntryStops(t *testing.T) {
	s := newSite(t, 2, 2)
	s.submit(s.entries[0], "normal", id(1), s.jobOf(id(1), "run 3000", 4, 2, true))
	leaving := s.planner()
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	stopped := make(chan error, 1)
	go func() { stopped <- leaving.daemon.Stop(ctx) }()
	s.eventually("the entry is not ready", func() bool { return !leaving.daemon.Ready() })
	status, _ := s.request(leaving, http.MethodGet, "/normal/"+id(1), key, nil)
	s.c.Check(status, qt.Equals, http.StatusOK)
	s.c.Check(<-stopped, qt.IsNil)
	leaving.clients.Close(100 * time.Millisecond)
	s.entries = slices.DeleteFunc(s.entries, func(e *entryProcess) bool { return e == leaving })
	s.awaitState(s.entries[0], "normal", id(1), "completed")
	s.c.Check(s.starts(id(1)), qt.HasLen, 2)
	s.checkRuns()
}

// Guards against accepted jobs that are lost when every process ends at once,
// twice.
func TestEveryProcessKilled(t *testing.T) {
	s := newSite(t, 2, 2)
	s.submit(s.entries[0], "normal", id(1), s.jobOf(id(1), "run 1500", 2, 2, true))
	s.submit(s.entries[1], "batch", id(2), s.jobOf(id(2), "run 500", 8, 3, false))
	for range 2 {
		for _, e := range s.entries {
			e.kill()
		}
		s.entries = nil
		for _, a := range s.agents {
			a.kill()
			s.runAgent(a)
		}
		s.startEntry("127.0.0.1:0")
		s.startEntry("127.0.0.1:0")
		time.Sleep(300 * time.Millisecond)
	}
	s.awaitState(s.entries[0], "normal", id(1), "completed")
	s.awaitState(s.entries[1], "batch", id(2), "completed")
	s.checkRuns()
}

// Guards against new work on a worker that leaves.
func TestDrain(t *testing.T) {
	s := newSite(t, 1, 2)
	s.agents[0].worker.Drain()
	time.Sleep(500 * time.Millisecond)
	s.submit(s.entries[0], "normal", id(1), s.jobOf(id(1), "run 100", 8, 3, false))
	s.awaitState(s.entries[0], "normal", id(1), "completed")
	s.c.Check(s.agents[0].worker.History(), qt.HasLen, 0)
	s.checkRuns()
}

// Guards against a guarantee that cannot be reclaimed from borrowers.
func TestReclaim(t *testing.T) {
	s := newSite(t, 1, 2)
	s.submit(s.entries[0], "batch", id(1), s.jobOf(id(1), "run 4000", 8, 2, false))
	s.eventually("the borrowers run", func() bool { return len(s.starts(id(1))) == 2 })
	begun := time.Now()
	s.submit(s.entries[0], "urgent", id(2), s.jobOf(id(2), "run 300", 8, 1, true))
	s.eventually("the urgent task runs", func() bool { return len(s.starts(id(2))) == 1 })
	s.c.Check(time.Since(begun) < 2700*time.Millisecond, qt.IsTrue, qt.Commentf("reclaimed after %s", time.Since(begun)))
	s.awaitState(s.entries[0], "urgent", id(2), "completed")
	s.awaitState(s.entries[0], "batch", id(1), "completed")
	s.checkRuns()
}

// Guards against a task that stays on a worker on which nothing makes
// progress.
func TestStalledRunMoves(t *testing.T) {
	s := newSite(t, 1, 2)
	s.agents[0].worker.SetFaults(standinworker.Faults{Hang: true})
	s.agents[1].worker.SetFaults(standinworker.Faults{Hang: true})
	s.submit(s.entries[0], "normal", id(1), s.jobOf(id(1), "run 300", 1, 1, false))
	s.eventually("the task runs", func() bool { return len(s.starts(id(1))) == 1 })
	for _, a := range s.agents {
		if len(a.worker.History()) == 0 {
			a.worker.SetFaults(standinworker.Faults{})
		}
	}
	s.awaitState(s.entries[0], "normal", id(1), "completed")
	s.c.Check(s.starts(id(1)), qt.HasLen, 2)
	s.checkRuns()
}

// Guards against a worker that fails everything using up the attempts of a job
// that other workers can do.
func TestFailingWorker(t *testing.T) {
	s := newSite(t, 1, 3)
	s.agents[0].worker.SetFaults(standinworker.Faults{FailAll: true})
	s.submit(s.entries[0], "normal", id(1), s.jobOf(id(1), "run 100", 2, 12, false))
	s.awaitState(s.entries[0], "normal", id(1), "completed")
	s.checkRuns()
}
