package siteproof

import (
	"context"
	"net/http"
	"slices"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/rcrowley/go-metrics"

	"celerypoint.example/celerypoint/faultproxy"
	"celerypoint.example/celerypoint/standinstore"
	"celerypoint.example/celerypoint/standinworker"
)

// Guards against jobs that are lost, run twice or run with the wrong number of
// tasks although there is no fault.
func TestJobsComplete(t *testing.T) {
	s := newSite(t, 2, 3)
	s.submit(s.entries[0], "normal", jobID(1), s.jobBody(jobID(1), "run 200", 2, 3, true))
	s.submit(s.entries[1], "batch", jobID(2), s.jobBody(jobID(2), "run 100", 1, 6, false))
	s.awaitState(s.entries[1], "normal", jobID(1), "completed")
	s.awaitState(s.entries[0], "batch", jobID(2), "completed")
	s.c.Check(s.starts(jobID(1)), qt.HasLen, 3)
	s.c.Check(s.starts(jobID(2)), qt.HasLen, 6)
	s.eventually("all task ends are acknowledged to the workers", func() bool {
		return !slices.ContainsFunc(s.agents, func(a *agentProcess) bool { return a.worker.UnacknowledgedEnds() > 0 })
	})
	status, _ := s.request(s.entries[0], http.MethodGet, "/normal/"+jobID(99), key, nil)
	s.c.Check(status, qt.Equals, http.StatusGone)
	s.checkRuns()
}

// Guards against an entry that answers 410 Gone for a job that another entry
// has just accepted. A client that cancels the job would take that response as
// the acknowledgement of its cancellation.
func TestAcceptedJobKnownToAllEntries(t *testing.T) {
	s := newSite(t, 2, 1)
	planner := s.planner()
	other := s.entries[1-slices.Index(s.entries, planner)]
	for n := range 20 {
		s.submit(planner, "normal", jobID(n+1), s.jobBody(jobID(n+1), "run 10", 1, 1, false))
		status, _ := s.request(other, http.MethodGet, "/normal/"+jobID(n+1), key, nil)
		s.c.Check(status, qt.Equals, http.StatusOK, qt.Commentf("job %d", n+1))
		s.submit(planner, "normal", jobID(n+101), s.jobBody(jobID(n+101), "run 5000", 1, 1, false))
		status, _ = s.request(other, http.MethodDelete, "/normal/"+jobID(n+101), key, nil)
		s.c.Check(status, qt.Equals, http.StatusOK, qt.Commentf("job %d", n+101))
		s.awaitState(planner, "normal", jobID(n+101), "cancelled")
	}
	status, _ := s.request(other, http.MethodGet, "/normal/"+jobID(999), key, nil)
	s.c.Check(status, qt.Equals, http.StatusGone)
	s.checkRuns()
}

// Guards against steps that start before the steps that they depend on.
func TestStepOrder(t *testing.T) {
	s := newSite(t, 1, 2)
	body := s.jobBody(jobID(1), "run 150", 1, 2, false)
	body["steps"] = append(body["steps"].([]any), map[string]any{"count": 2, "cpu": 1000, "mem_mb": 1024, "gpus": 1, "after": []int{0}})
	s.submit(s.entries[0], "normal", jobID(1), body)
	s.awaitState(s.entries[0], "normal", jobID(1), "completed")
	starts := s.starts(jobID(1))
	s.c.Assert(starts, qt.HasLen, 4)
	for _, first := range starts[:2] {
		for _, second := range starts[2:] {
			s.c.Check(second.StartedAt.Before(first.EndedAt), qt.IsFalse)
		}
	}
	s.checkRuns()
}

// Guards against a failing job that is retried without limit or reported as
// completed.
func TestFailedAttempts(t *testing.T) {
	s := newSite(t, 1, 3)
	s.submit(s.entries[0], "normal", jobID(1), s.jobBody(jobID(1), "fail 20", 1, 1, false))
	s.awaitState(s.entries[0], "normal", jobID(1), "failed")
	s.c.Check(s.starts(jobID(1)), qt.HasLen, 3)
	s.checkRuns()
}

// Guards against a cancelled job that continues to run or starts again.
func TestCancel(t *testing.T) {
	s := newSite(t, 2, 2)
	s.submit(s.entries[0], "normal", jobID(1), s.jobBody(jobID(1), "run 20000", 4, 2, true))
	s.eventually("the gang runs", func() bool { return len(s.starts(jobID(1))) == 2 })
	status, _ := s.request(s.entries[1], http.MethodDelete, "/normal/"+jobID(1), key, nil)
	s.c.Check(status, qt.Equals, http.StatusOK)
	s.awaitState(s.entries[0], "normal", jobID(1), "cancelled")
	s.eventually("the runs have ended", func() bool {
		return !slices.ContainsFunc(s.starts(jobID(1)), func(b standinworker.RunRecord) bool { return b.EndedAt.IsZero() })
	})
	s.c.Check(s.starts(jobID(1)), qt.HasLen, 2)
	s.checkRuns()
}

// Guards against a retried request that creates a second job, and against a
// request that is refused because the store's response to its append was lost.
func TestStoreAnswersLost(t *testing.T) {
	s := newSite(t, 2, 2)
	s.store.SetFaults(standinstore.Faults{LoseAnswers: 3})
	s.submit(s.entries[0], "normal", jobID(1), s.jobBody(jobID(1), "run 300", 1, 2, false))
	s.submit(s.entries[1], "normal", jobID(1), s.jobBody(jobID(1), "run 300", 1, 2, false))
	s.awaitState(s.entries[0], "normal", jobID(1), "completed")
	s.c.Check(s.starts(jobID(1)), qt.HasLen, 2)
	s.checkRuns()
}

// Guards against an append that the store applies late and that overwrites
// newer progress.
func TestStoreAppliesLate(t *testing.T) {
	s := newSite(t, 1, 2)
	s.store.SetFaults(standinstore.Faults{ApplyLate: 2, ApplyDelay: 2 * time.Second})
	s.submit(s.entries[0], "normal", jobID(1), s.jobBody(jobID(1), "run 100", 1, 2, false))
	s.awaitState(s.entries[0], "normal", jobID(1), "completed")
	time.Sleep(2500 * time.Millisecond)
	s.c.Check(s.state(s.entries[0], "normal", jobID(1)), qt.Equals, "completed")
	s.c.Check(s.starts(jobID(1)), qt.HasLen, 2)
	s.checkRuns()
}

// Guards against a job that has to wait until its records can be read from the
// store. For up to a second, the store's reads may return no new record although
// the store accepts appends. A job must start, and the entry that accepted it
// must report its end, before any record of the job can be read.
func TestStoreHidesNewRecords(t *testing.T) {
	s := newSite(t, 2, 2)
	i := slices.IndexFunc(s.entries, func(e *entryProcess) bool { return e.daemon.AttachedAgents() < 0 })
	c := s.c
	c.Assert(i >= 0, qt.IsTrue)
	other, planner := s.entries[i], s.entries[1-i]
	// Wait until the other entry has pinged the planner, which opens the
	// connection between them.
	time.Sleep(time.Second)
	s.store.SetFaults(standinstore.Faults{HideNewRecords: true})
	s.submit(other, "urgent", jobID(1), s.jobBody(jobID(1), "run 200", 2, 2, true))
	s.awaitState(other, "urgent", jobID(1), "completed")
	// Longer than an entry waits for a heartbeat record of the planner before it
	// may take over.
	time.Sleep(2500 * time.Millisecond)
	c.Check(planner.daemon.AttachedAgents(), qt.Equals, 2)
	s.submit(other, "normal", jobID(2), s.jobBody(jobID(2), "run 20000", 2, 2, true))
	s.eventually("the gang runs", func() bool { return len(s.starts(jobID(2))) == 2 })
	status, _ := s.request(other, http.MethodDelete, "/normal/"+jobID(2), key, nil)
	c.Check(status, qt.Equals, http.StatusOK)
	s.eventually("the runs have ended", func() bool {
		return !slices.ContainsFunc(s.starts(jobID(2)), func(b standinworker.RunRecord) bool { return b.EndedAt.IsZero() })
	})
	// An entry whose reads do not return the acceptance looks it up and cancels the job.
	s.submit(planner, "normal", jobID(3), s.jobBody(jobID(3), "run 20000", 2, 2, true))
	s.eventually("the gang runs", func() bool { return len(s.starts(jobID(3))) == 2 })
	status, _ = s.request(other, http.MethodDelete, "/normal/"+jobID(3), key, nil)
	c.Check(status, qt.Equals, http.StatusOK)
	s.eventually("the runs have ended", func() bool {
		return !slices.ContainsFunc(s.starts(jobID(3)), func(b standinworker.RunRecord) bool { return b.EndedAt.IsZero() })
	})
	s.store.SetFaults(standinstore.Faults{})
	s.checkRuns()
}

// Guards against the loss of runs in progress while the store is down, and against
// false acceptances and refusals in that time: a job that is refused while the
// store is down must not run later.
func TestStoreDown(t *testing.T) {
	s := newSite(t, 2, 2)
	s.submit(s.entries[0], "normal", jobID(1), s.jobBody(jobID(1), "run 4000", 4, 2, true))
	s.eventually("the gang runs", func() bool { return len(s.starts(jobID(1))) == 2 })
	s.store.SetFaults(standinstore.Faults{Down: true})
	time.Sleep(2500 * time.Millisecond)
	sentAt := time.Now()
	status, _ := s.request(s.entries[0], http.MethodPost, "/normal/"+jobID(2), key, s.jobBody(jobID(2), "run 10", 1, 1, false))
	s.c.Check(status, qt.Equals, http.StatusServiceUnavailable)
	s.c.Check(time.Since(sentAt) < 500*time.Millisecond, qt.IsTrue)
	s.c.Check(s.entries[0].daemon.Ready(), qt.IsFalse)
	s.store.SetFaults(standinstore.Faults{})
	s.awaitState(s.entries[1], "normal", jobID(1), "completed")
	s.c.Check(s.starts(jobID(1)), qt.HasLen, 2)
	s.c.Check(s.starts(jobID(2)), qt.HasLen, 0)
	s.checkRuns()
}

// Guards against an entry that accepts an API key for longer than allowed when
// the store does not respond, so that the entry cannot read the key's removal.
func TestRevokedKeyWhileStoreUnresponsive(t *testing.T) {
	s := newSite(t, 1, 1)
	s.submit(s.entries[0], "normal", jobID(1), s.jobBody(jobID(1), "run 10", 1, 1, false))
	s.store.SetFaults(standinstore.Faults{Unresponsive: true})
	s.eventually("the key is not accepted any more", func() bool {
		status, _ := s.request(s.entries[0], http.MethodGet, "/normal/"+jobID(1), key, nil)
		return status == http.StatusServiceUnavailable
	})
	s.configure(2, "another-key")
	s.store.SetFaults(standinstore.Faults{})
	s.eventually("the key is refused", func() bool {
		status, _ := s.request(s.entries[0], http.MethodGet, "/normal/"+jobID(1), key, nil)
		return status == http.StatusUnauthorized
	})
}

// Guards against an older version of the configuration taking effect after the
// store has dropped its history.
func TestHistoryDropped(t *testing.T) {
	s := newSite(t, 1, 2)
	s.submit(s.entries[0], "normal", jobID(1), s.jobBody(jobID(1), "run 1500", 1, 2, false))
	s.configure(3, key, "second-key")
	s.eventually("version 3 is in force", func() bool {
		status, _ := s.request(s.entries[0], http.MethodGet, "/normal/"+jobID(1), "second-key", nil)
		return status == http.StatusOK
	})
	s.store.Compact("keyed.op")
	s.store.Compact("keyed." + topic)
	s.configure(2, "an-older-version")
	s.awaitState(s.entries[0], "normal", jobID(1), "completed")
	s.submit(s.entries[0], "normal", jobID(2), s.jobBody(jobID(2), "run 10", 1, 1, false))
	s.awaitState(s.entries[0], "normal", jobID(2), "completed")
	s.checkRuns()
}

// Guards against a second run of a task when the worker's response to the first
// start was lost, or the worker carried out the start late.
func TestStartOutcomeUnknown(t *testing.T) {
	s := newSite(t, 1, 2)
	for _, a := range s.agents {
		a.worker.SetFaults(standinworker.Faults{LoseAnswers: 1, ApplyLate: 1, ApplyDelay: 700 * time.Millisecond})
	}
	s.submit(s.entries[0], "normal", jobID(1), s.jobBody(jobID(1), "run 1500", 2, 4, true))
	s.submit(s.entries[0], "batch", jobID(2), s.jobBody(jobID(2), "run 800", 1, 4, false))
	s.awaitState(s.entries[0], "normal", jobID(1), "completed")
	s.awaitState(s.entries[0], "batch", jobID(2), "completed")
	s.checkRuns()
}

// Guards against runs in progress that are stopped, forgotten or started a second
// time when the agent on their VM restarts.
func TestAgentRestarts(t *testing.T) {
	s := newSite(t, 1, 2)
	s.submit(s.entries[0], "normal", jobID(1), s.jobBody(jobID(1), "run 3000", 4, 2, true))
	s.eventually("the gang runs", func() bool { return len(s.starts(jobID(1))) == 2 })
	for _, a := range s.agents {
		a.kill()
		s.runAgent(a)
	}
	s.awaitState(s.entries[0], "normal", jobID(1), "completed")
	s.c.Check(s.starts(jobID(1)), qt.HasLen, 2)
	s.checkRuns()
}

// Guards against tasks that are not started again after their worker has
// crashed, and against a second run of a task that still runs on another worker.
func TestWorkerCrashes(t *testing.T) {
	s := newSite(t, 1, 2)
	s.submit(s.entries[0], "normal", jobID(1), s.jobBody(jobID(1), "run 1500", 8, 2, false))
	s.eventually("both tasks run", func() bool { return len(s.starts(jobID(1))) == 2 })
	s.crashWorker(s.agents[0])
	s.awaitState(s.entries[0], "normal", jobID(1), "completed")
	s.c.Check(s.starts(jobID(1)), qt.HasLen, 3)
	s.checkRuns()
}

// Guards against starting a task on another VM while it may still run on a VM whose
// agent has ended. The worker there stops it only when its lease expires.
func TestAgentLost(t *testing.T) {
	s := newSite(t, 1, 2)
	s.submit(s.entries[0], "normal", jobID(1), s.jobBody(jobID(1), "run 6000", 8, 1, false))
	s.eventually("the task runs", func() bool { return len(s.starts(jobID(1))) == 1 })
	for _, a := range s.agents {
		if len(a.worker.History()) > 0 {
			a.kill()
		}
	}
	s.awaitState(s.entries[0], "normal", jobID(1), "completed")
	s.c.Check(s.starts(jobID(1)), qt.HasLen, 2)
	s.checkRuns()
}

// Guards against a new planner that starts again, or loses, tasks that its
// predecessor started.
func TestPlannerKilled(t *testing.T) {
	s := newSite(t, 3, 3)
	s.submit(s.entries[0], "normal", jobID(1), s.jobBody(jobID(1), "run 5000", 4, 3, true))
	s.submit(s.entries[0], "batch", jobID(2), s.jobBody(jobID(2), "run 700", 4, 9, false))
	s.eventually("the gang runs", func() bool { return len(s.starts(jobID(1))) == 3 })
	killed := s.planner()
	killed.kill()
	s.entries = slices.DeleteFunc(s.entries, func(e *entryProcess) bool { return e == killed })
	s.awaitState(s.entries[0], "normal", jobID(1), "completed")
	s.awaitState(s.entries[1], "batch", jobID(2), "completed")
	s.c.Check(s.starts(jobID(1)), qt.HasLen, 3)
	s.checkRuns()
}

// Guards against a graceful stop of the planner's entry that drops client
// requests or stops running work.
func TestEntryStopsGracefully(t *testing.T) {
	s := newSite(t, 2, 2)
	s.submit(s.entries[0], "normal", jobID(1), s.jobBody(jobID(1), "run 3000", 4, 2, true))
	stopping := s.planner()
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	stopped := make(chan error, 1)
	go func() { stopped <- stopping.daemon.Stop(ctx) }()
	s.eventually("the entry is not ready", func() bool { return !stopping.daemon.Ready() })
	status, _ := s.request(stopping, http.MethodGet, "/normal/"+jobID(1), key, nil)
	s.c.Check(status, qt.Equals, http.StatusOK)
	s.c.Check(<-stopped, qt.IsNil)
	stopping.clientServer.Close(100 * time.Millisecond)
	s.entries = slices.DeleteFunc(s.entries, func(e *entryProcess) bool { return e == stopping })
	s.awaitState(s.entries[0], "normal", jobID(1), "completed")
	s.c.Check(s.starts(jobID(1)), qt.HasLen, 2)
	s.checkRuns()
}

// Guards against accepted jobs that are lost when all entries and agents are
// killed at the same time, twice in a row.
func TestEveryProcessKilled(t *testing.T) {
	s := newSite(t, 2, 2)
	s.submit(s.entries[0], "normal", jobID(1), s.jobBody(jobID(1), "run 1500", 2, 2, true))
	s.submit(s.entries[1], "batch", jobID(2), s.jobBody(jobID(2), "run 500", 8, 3, false))
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
	s.awaitState(s.entries[0], "normal", jobID(1), "completed")
	s.awaitState(s.entries[1], "batch", jobID(2), "completed")
	s.checkRuns()
}

// Guards against starting tasks on a worker that is draining.
func TestDrain(t *testing.T) {
	s := newSite(t, 1, 2)
	s.agents[0].worker.Drain()
	time.Sleep(500 * time.Millisecond)
	s.submit(s.entries[0], "normal", jobID(1), s.jobBody(jobID(1), "run 100", 8, 3, false))
	s.awaitState(s.entries[0], "normal", jobID(1), "completed")
	s.c.Check(s.agents[0].worker.History(), qt.HasLen, 0)
	s.checkRuns()
}

// Guards against accelerators guaranteed to an organisation that are not
// reclaimed in time from batch jobs that borrow them.
func TestReclaim(t *testing.T) {
	s := newSite(t, 1, 2)
	s.submit(s.entries[0], "batch", jobID(1), s.jobBody(jobID(1), "run 4000", 8, 2, false))
	s.eventually("the borrowing tasks run", func() bool { return len(s.starts(jobID(1))) == 2 })
	submittedAt := time.Now()
	s.submit(s.entries[0], "urgent", jobID(2), s.jobBody(jobID(2), "run 300", 8, 1, true))
	s.eventually("the urgent task runs", func() bool { return len(s.starts(jobID(2))) == 1 })
	s.c.Check(time.Since(submittedAt) < 2700*time.Millisecond, qt.IsTrue, qt.Commentf("reclaimed after %s", time.Since(submittedAt)))
	s.awaitState(s.entries[0], "urgent", jobID(2), "completed")
	s.awaitState(s.entries[0], "batch", jobID(1), "completed")
	s.checkRuns()
}

// Guards against a task that is never moved away from a worker on which runs
// make no progress.
func TestStalledRunMoves(t *testing.T) {
	s := newSite(t, 1, 2)
	s.agents[0].worker.SetFaults(standinworker.Faults{Hang: true})
	s.agents[1].worker.SetFaults(standinworker.Faults{Hang: true})
	s.submit(s.entries[0], "normal", jobID(1), s.jobBody(jobID(1), "run 300", 1, 1, false))
	s.eventually("the task runs", func() bool { return len(s.starts(jobID(1))) == 1 })
	for _, a := range s.agents {
		if len(a.worker.History()) == 0 {
			a.worker.SetFaults(standinworker.Faults{})
		}
	}
	s.awaitState(s.entries[0], "normal", jobID(1), "completed")
	s.c.Check(s.starts(jobID(1)), qt.HasLen, 2)
	s.checkRuns()
}

// Guards against the failure of a job that would succeed on other workers, because
// a worker on which every run fails has used up the job's attempts.
func TestFailingWorker(t *testing.T) {
	s := newSite(t, 1, 3)
	s.agents[0].worker.SetFaults(standinworker.Faults{FailAll: true})
	s.submit(s.entries[0], "normal", jobID(1), s.jobBody(jobID(1), "run 100", 2, 12, false))
	s.awaitState(s.entries[0], "normal", jobID(1), "completed")
	s.checkRuns()
}

// TestEvacuation guards against tasks that start in an evacuated zone, also after a change
// of planner and after the store has dropped the history, and against a zone that is never
// used again.
func TestEvacuation(t *testing.T) {
	s := newSite(t, 2, 4)
	changed := func(e *entryProcess) int64 {
		return metrics.GetOrRegisterCounter("evacuationChanged", e.daemon.Metrics()).Count()
	}
	awaitChange := func(n int64) {
		s.eventually("the entries have read the evacuation", func() bool { return changed(s.entries[0]) >= n && changed(s.entries[1]) >= n })
	}
	// zonesUsed runs a gang whose tasks each take a whole VM.
	zonesUsed := func(n, vms int) []string {
		var zones []string
		s.submit(s.entries[1], "urgent", jobID(n), s.jobBody(jobID(n), "run 100", 8, vms, true))
		s.awaitState(s.entries[1], "urgent", jobID(n), "completed")
		for _, a := range s.agents {
			for _, r := range a.worker.History() {
				if strings.HasPrefix(r.Task, jobID(n)+".") && !slices.Contains(zones, a.zone) {
					zones = append(zones, a.zone)
				}
			}
		}
		return zones
	}
	s.store.Put("keyed.op", "evacuate/a", []byte(`{"zone":"a"}`))
	awaitChange(1)
	s.c.Assert(zonesUsed(1, 2), qt.DeepEquals, []string{"b"})
	killed := s.planner()
	killed.kill()
	s.entries = slices.DeleteFunc(s.entries, func(e *entryProcess) bool { return e == killed })
	s.store.Compact("keyed.op")
	s.startEntry("127.0.0.1:0")
	s.eventually("an entry plans for all agents", func() bool { p := s.planner(); return p != nil && p.daemon.AttachedAgents() == 4 })
	s.c.Assert(zonesUsed(2, 2), qt.DeepEquals, []string{"b"})
	s.store.Put("keyed.op", "evacuate/a", nil)
	awaitChange(2)
	s.c.Assert(zonesUsed(3, 4), qt.DeepEquals, []string{"a", "b"})
	s.checkRuns()
}

// silent cuts a connection off without closing it, refusing closes it at once.
var (
	silent   = faultproxy.Faults{Up: faultproxy.DirectionFaults{Block: faultproxy.BlockHold}, Down: faultproxy.DirectionFaults{Block: faultproxy.BlockHold}}
	refusing = faultproxy.Faults{Cut: true}
)

// TestStoreTurnsEntryAway guards against clients that have to come back later because the
// store does not serve the entry that they reached, while it serves the others.
func TestStoreTurnsEntryAway(t *testing.T) {
	for name, faults := range map[string]faultproxy.Faults{"silent": silent, "refused": refusing} {
		t.Run(name, func(t *testing.T) {
			s := newSite(t, 2, 2)
			planner := s.planner()
			other := s.entries[0]
			if other == planner {
				other = s.entries[1]
			}
			// The other entry has pinged the planner.
			time.Sleep(1200 * time.Millisecond)
			s.c.Assert(other.storeProxy.SetFaults(faults), qt.IsNil)
			for n := range 5 {
				status, reply := s.request(other, http.MethodPost, "/urgent/"+jobID(n+1), key, s.jobBody(jobID(n+1), "run 50", 1, 2, true))
				s.c.Assert(status, qt.Equals, http.StatusOK, qt.Commentf("%v", reply))
				s.awaitState(planner, "urgent", jobID(n+1), "completed")
			}
			s.submit(planner, "normal", jobID(9), s.jobBody(jobID(9), "run 60000", 1, 1, false))
			status, _ := s.request(other, http.MethodDelete, "/normal/"+jobID(9), key, nil)
			s.c.Check(status == http.StatusOK || status == http.StatusServiceUnavailable || status == http.StatusGatewayTimeout, qt.IsTrue, qt.Commentf("status %d", status))
			if status == http.StatusOK {
				s.awaitState(planner, "normal", jobID(9), "cancelled")
			}
			s.checkRuns()
		})
	}
}

// TestPlannerStuck guards against callers who wait until a planner that the store does not
// serve counts as dead, and against two planners that start the same tasks.
func TestPlannerStuck(t *testing.T) {
	for name, faults := range map[string]faultproxy.Faults{"silent": silent, "refused": refusing} {
		t.Run(name, func(t *testing.T) {
			s := newSite(t, 3, 2)
			stuck := s.planner()
			time.Sleep(1200 * time.Millisecond)
			s.c.Assert(stuck.storeProxy.SetFaults(faults), qt.IsNil)
			cut := time.Now()
			var successor *entryProcess
			s.eventually("another entry plans", func() bool {
				for _, e := range s.entries {
					if e != stuck && e.daemon.AttachedAgents() == 2 {
						successor = e
					}
				}
				return successor != nil
			})
			t.Logf("another entry planned after %v", time.Since(cut).Round(time.Millisecond))
			// Without the notice, heartbeats would have to be missing for 1.8 s, and the
			// last may have been stored just before the cut.
			s.c.Check(time.Since(cut) < 1800*time.Millisecond, qt.IsTrue)
			s.submit(successor, "urgent", jobID(1), s.jobBody(jobID(1), "run 50", 1, 2, true))
			s.awaitState(successor, "urgent", jobID(1), "completed")
			s.c.Assert(stuck.storeProxy.SetFaults(faultproxy.Faults{}), qt.IsNil)
			s.eventually("the stuck planner has ended its term", func() bool { return stuck.daemon.AttachedAgents() < 0 })
			s.checkRuns()
		})
	}
}

// TestPlannerKilledAtScale guards against runs that are lost or run twice, and against
// callers who wait for the whole backlog, when the planner of 60 VMs is killed: the next
// urgent job runs while the runs of before go on.
func TestPlannerKilledAtScale(t *testing.T) {
	const vms = 60
	s := newSite(t, 3, vms)
	for n := range 10 {
		s.submit(s.entries[n%3], "normal", jobID(n+1), s.jobBody(jobID(n+1), "run 4000", 1, 24, false))
	}
	s.eventually("the jobs run", func() bool {
		running := 0
		for n := range 10 {
			running += len(s.starts(jobID(n + 1)))
		}
		return running == 240
	})
	killed := s.planner()
	killed.kill()
	s.entries = slices.DeleteFunc(s.entries, func(e *entryProcess) bool { return e == killed })
	begun := time.Now()
	s.submit(s.entries[0], "urgent", jobID(99), s.jobBody(jobID(99), "run 50", 2, 4, true))
	s.awaitState(s.entries[0], "urgent", jobID(99), "completed")
	t.Logf("an urgent job was done %v after the planner's death", time.Since(begun).Round(time.Millisecond))
	for n := range 10 {
		s.awaitState(s.entries[1], "normal", jobID(n+1), "completed")
		s.c.Check(s.starts(jobID(n+1)), qt.HasLen, 24)
	}
	s.checkRuns()
}

// TestSlowStore guards against entries that replace each other as planners, and that double
// the appends, because the store is slow for all of them.
func TestSlowStore(t *testing.T) {
	s := newSite(t, 3, 2)
	time.Sleep(1200 * time.Millisecond)
	planner := s.planner()
	s.store.SetFaults(standinstore.Faults{ResponseDelay: 900 * time.Millisecond})
	for begun := time.Now(); time.Since(begun) < 6*time.Second; time.Sleep(50 * time.Millisecond) {
		for _, e := range s.entries {
			if e != planner {
				s.c.Assert(e.daemon.AttachedAgents() < 0, qt.IsTrue, qt.Commentf("another entry plans after %v", time.Since(begun)))
			}
		}
	}
	s.c.Check(planner.daemon.AttachedAgents(), qt.Equals, 2)
	for _, e := range s.entries {
		s.c.Check(metrics.GetOrRegisterCounter("storedForPeer.stored", e.daemon.Metrics()).Count(), qt.Equals, int64(0))
	}
	s.store.SetFaults(standinstore.Faults{})
	s.submit(s.entries[0], "urgent", jobID(1), s.jobBody(jobID(1), "run 50", 1, 2, true))
	s.awaitState(s.entries[1], "urgent", jobID(1), "completed")
	s.checkRuns()
}

// TestHiddenAcceptanceIsNotDenied guards against 410 Gone for an accepted job whose record reads hide.
func TestHiddenAcceptanceIsNotDenied(t *testing.T) {
	s := newSite(t, 2, 1)
	planner := s.planner()
	other := s.entries[1-slices.Index(s.entries, planner)]
	s.store.SetFaults(standinstore.Faults{HideNewRecords: true})
	for n := range 10 {
		s.submit(planner, "normal", jobID(n+1), s.jobBody(jobID(n+1), "run 5000", 1, 1, false))
		status, _ := s.request(other, http.MethodGet, "/normal/"+jobID(n+1), key, nil)
		s.c.Check(status, qt.Equals, http.StatusOK, qt.Commentf("job %d", n+1))
	}
	status, _ := s.request(other, http.MethodGet, "/normal/"+jobID(999), key, nil)
	s.c.Check(status, qt.Equals, http.StatusGone)
}

// TestUnknownJobOverSilentConnections guards against a refusal after a time-out once connections to the store go silent.
func TestUnknownJobOverSilentConnections(t *testing.T) {
	s := newSite(t, 2, 1)
	for range 3 {
		for _, e := range s.entries {
			e.storeProxy.Silence()
			begun := time.Now()
			status, reply := s.request(e, http.MethodGet, "/normal/"+jobID(99), key, nil)
			s.c.Check(status, qt.Equals, http.StatusGone, qt.Commentf("%v", reply))
			s.c.Check(time.Since(begun) < 700*time.Millisecond, qt.IsTrue, qt.Commentf("after %v", time.Since(begun)))
			time.Sleep(time.Second)
		}
	}
}

// TestStateByPlanner guards against a client that is refused because the store does not serve
// the entry that it has reached, although the planner's entry could tell.
func TestStateByPlanner(t *testing.T) {
	for name, faults := range map[string]faultproxy.Faults{"silent": silent, "refused": refusing} {
		t.Run(name, func(t *testing.T) {
			s := newSite(t, 2, 1)
			planner := s.planner()
			other := s.entries[1-slices.Index(s.entries, planner)]
			// The other entry has pinged the planner.
			time.Sleep(1200 * time.Millisecond)
			s.c.Assert(other.storeProxy.SetFaults(faults), qt.IsNil)
			// Longer than the records of an entry count as up to date.
			time.Sleep(3 * time.Second)
			for n := range 10 {
				s.submit(planner, "batch", jobID(n+1), s.jobBody(jobID(n+1), "run 60000", 8, 1, false))
				status, reply := s.request(other, http.MethodGet, "/batch/"+jobID(n+1), key, nil)
				s.c.Check(status, qt.Equals, http.StatusOK, qt.Commentf("%v", reply))
				status, reply = s.request(other, http.MethodGet, "/batch/"+jobID(n+901), key, nil)
				s.c.Check(status, qt.Equals, http.StatusGone, qt.Commentf("%v", reply))
			}
			status, reply := s.request(other, http.MethodGet, "/batch/", key, nil)
			s.c.Check(status, qt.Equals, http.StatusOK, qt.Commentf("%v", reply))
			_, want := s.request(planner, http.MethodGet, "/batch/", key, nil)
			s.c.Check(reply["pending"], qt.Equals, want["pending"])
			status, _ = s.request(other, http.MethodDelete, "/batch/"+jobID(5), key, nil)
			s.c.Check(status, qt.Equals, http.StatusOK)
			s.awaitState(planner, "batch", jobID(5), "cancelled")
			s.checkRuns()
		})
	}
}
