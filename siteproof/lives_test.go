package siteproof

import (
	"bytes"
	"cmp"
	"context"
	"encoding/json"
	"net/http"
	"slices"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"celerypoint.example/celerypoint/lease"
	"celerypoint.example/celerypoint/standinworker"
)

// settleTime is how long a test goes on after its jobs have completed, so that a further
// start is seen.
const settleTime = 500 * time.Millisecond

// awaitStart waits for the first start of a job's tasks, and returns the agent whose
// worker has started it.
func (s *site) awaitStart(id string) *agentProcess {
	s.c.Helper()
	var started *agentProcess
	s.eventually("job "+id+" runs", func() bool {
		for _, a := range s.agents {
			if len(startsOn(a, id)) > 0 {
				started = a
			}
		}
		return started != nil
	})
	return started
}

// startsOn returns the starts of a job's tasks on the newest incarnation of a worker.
func startsOn(a *agentProcess, id string) []standinworker.RunRecord {
	var all []standinworker.RunRecord
	for _, r := range a.worker.History() {
		if strings.HasPrefix(r.Task, id+".") {
			all = append(all, r)
		}
	}
	return all
}

// TestRefusedConnectionsStartNothingTwice guards against taking a refusing worker for crashed.
func TestRefusedConnectionsStartNothingTwice(t *testing.T) {
	for _, test := range []struct {
		name         string
		spec         string
		refusedFor   time.Duration
		noHeartbeats bool
		// oneStart says that the lease outlasts the refusals.
		oneStart bool
	}{
		{"shortly", "run 1500", 600 * time.Millisecond, false, true},
		{"shortlyWithoutHeartbeats", "run 1500", 600 * time.Millisecond, true, true},
		{"beyondLease", "run 3000", 8 * time.Second, false, false},
		{"beyondLeaseWithoutHeartbeats", "run 3000", 8 * time.Second, true, false},
	} {
		t.Run(test.name, func(t *testing.T) {
			s := newSite(t, 1, 2)
			s.submit(s.entries[0], "normal", jobID(1), s.jobBody(jobID(1), test.spec, 1, 1, false))
			a := s.awaitStart(jobID(1))
			time.Sleep(100 * time.Millisecond)
			refusedUntil := time.Now().Add(test.refusedFor)
			a.worker.SetFaults(standinworker.Faults{NoHeartbeats: test.noHeartbeats})
			a.worker.RefuseConnections()
			time.Sleep(time.Until(refusedUntil))
			a.worker.SetFaults(standinworker.Faults{})
			s.c.Assert(a.worker.AcceptConnections(), qt.IsNil)
			s.awaitState(s.entries[0], "normal", jobID(1), "completed")
			time.Sleep(settleTime)
			if test.oneStart {
				s.c.Check(s.starts(jobID(1)), qt.HasLen, 1)
			}
			s.checkRuns()
		})
	}
}

// TestForeignAnnouncementStartsNothingTwice guards against believing foreign announcements.
func TestForeignAnnouncementStartsNothingTwice(t *testing.T) {
	put := func(id, service, address string) func(*site, *agentProcess) {
		return func(s *site, a *agentProcess) {
			s.announce(a, http.MethodPut, cmp.Or(id, workerID(a)), map[string]any{
				"service": service, "address": address, "zone": a.zone, "state": "ready", "sequence": 1 << 40, "born": time.Now().UnixMilli(),
				"capacity": map[string]any{"cpu": capacity.CPU, "mem_mb": capacity.MemMB, "gpus": capacity.GPUs}, "clock_ms": 1 << 30, "labels": []string{"a", a.rack},
			})
		}
	}
	for _, test := range []struct {
		name string
		send func(*site, *agentProcess)
	}{
		{"stranger", put("i-stranger", "sculpt", "127.0.0.1:1")},
		{"strangerOfService", put("i-stranger", "paint", "127.0.0.1:1")},
		{"ownID", put("", "paint", "127.0.0.1:1")},
		{"ownIDImpossibleAddress", put("", "paint", "127.0.0.1:70000")},
		{"endOfEarlierIncarnation", func(s *site, a *agentProcess) { s.announce(a, http.MethodDelete, workerID(a), nil) }},
		{"endOfStranger", func(s *site, a *agentProcess) { s.announce(a, http.MethodDelete, "i-stranger", nil) }},
	} {
		t.Run(test.name, func(t *testing.T) {
			s := newSite(t, 1, 2)
			s.submit(s.entries[0], "normal", jobID(1), s.jobBody(jobID(1), "run 1500", 1, 1, false))
			a := s.awaitStart(jobID(1))
			time.Sleep(100 * time.Millisecond)
			test.send(s, a)
			s.awaitState(s.entries[0], "normal", jobID(1), "completed")
			s.submit(s.entries[0], "urgent", jobID(2), s.jobBody(jobID(2), "run 50", capacity.GPUs, len(s.agents), true))
			submittedAt := time.Now()
			s.awaitState(s.entries[0], "urgent", jobID(2), "completed")
			starts := s.starts(jobID(2))
			delay := starts[len(starts)-1].StartedAt.Sub(submittedAt)
			s.c.Check(delay < 2*heartbeatInterval+time.Second, qt.IsTrue, qt.Commentf("all VMs are used after %s", delay))
			time.Sleep(settleTime)
			s.c.Check(s.starts(jobID(1)), qt.HasLen, 1)
			s.checkRuns()
		})
	}
}

func workerID(a *agentProcess) string { return "i-" + a.name }

// announce sends an announcement, or the end of a worker, to the agent's heartbeat address.
func (s *site) announce(a *agentProcess, method, id string, announcement map[string]any) {
	s.c.Helper()
	body, err := json.Marshal(announcement)
	s.c.Assert(err, qt.IsNil)
	request, err := http.NewRequest(method, "http://"+a.heartbeatAddress+"/api/instances/"+id, bytes.NewReader(body))
	s.c.Assert(err, qt.IsNil)
	response, err := http.DefaultClient.Do(request)
	s.c.Assert(err, qt.IsNil)
	_ = response.Body.Close()
}

// upFor makes a worker count as started earlier.
func upFor(d time.Duration) workerOption {
	return func(cfg *standinworker.Config) { cfg.Uptime = d }
}

// silentFor delays the first announcement of a worker.
func silentFor(d time.Duration) workerOption {
	return func(cfg *standinworker.Config) { cfg.FirstHeartbeatDelay = d }
}

// restartInPlace crashes the agent's worker and starts its next incarnation, without a
// refused connection between them.
func (s *site) restartInPlace(a *agentProcess, options ...workerOption) {
	next := a.worker.Restart(s.workerConfig(a, a.workerAddress, options...))
	s.mu.Lock()
	a.crashedWorkers, a.worker = append(a.crashedWorkers, a.worker), next
	s.mu.Unlock()
}

// newSiteWithOldWorkers starts a site whose workers have been up for long, so that their
// clocks are far ahead of those of their next incarnations.
func newSiteWithOldWorkers(t *testing.T, agents int) *site {
	s := newSite(t, 1, 0)
	for i := range agents {
		s.startAgent(i, upFor(time.Hour))
	}
	s.eventually("the entry plans for all agents", func() bool { return s.entries[0].daemon.AttachedAgents() == agents })
	return s
}

// TestStartOfNextIncarnation guards against losing a worker that serves before it announces itself.
func TestStartOfNextIncarnation(t *testing.T) {
	const (
		silence  = 1500 * time.Millisecond
		maxCalls = 200
	)
	s := newSiteWithOldWorkers(t, 2)
	a := s.agents[0]
	jobs := 1
	s.submit(s.entries[0], "urgent", jobID(1), s.jobBody(jobID(1), "run 800", capacity.GPUs, 2, false))
	s.eventually("both tasks run", func() bool { return len(s.starts(jobID(1))) == 2 })
	s.restartInPlace(a, silentFor(silence))
	announcedAt := time.Now().Add(silence)
	for time.Now().Before(announcedAt.Add(2 * heartbeatInterval)) {
		jobs++
		s.submit(s.entries[0], "urgent", jobID(jobs), s.jobBody(jobID(jobs), "run 100", capacity.GPUs, 2, false))
		time.Sleep(150 * time.Millisecond)
	}
	s.c.Check(a.worker.Calls() < maxCalls, qt.IsTrue, qt.Commentf("%d calls", a.worker.Calls()))
	s.c.Check(slices.ContainsFunc(a.worker.History(), func(r standinworker.RunRecord) bool { return r.StartedAt.After(announcedAt) }), qt.IsTrue, qt.Commentf("the worker is not used again"))
	for n := range jobs {
		s.awaitState(s.entries[0], "urgent", jobID(n+1), "completed")
	}
	time.Sleep(settleTime)
	s.checkRuns()
}

// TestLateOrderAfterRestart guards against an order that is carried out after a restart.
func TestLateOrderAfterRestart(t *testing.T) {
	for _, test := range []struct {
		name  string
		delay time.Duration
		// restartAfter is the time from the order to the restart.
		restartAfter time.Duration
		restart      func(*site, *agentProcess)
	}{
		{"agentWithinLease", 1500 * time.Millisecond, 0, (*site).restartAgent},
		{"agent", 2500 * time.Millisecond, 0, (*site).restartAgent},
		{"workerAtOnce", 2500 * time.Millisecond, 0, func(s *site, a *agentProcess) { s.restartInPlace(a) }},
		{"workerLater", 2500 * time.Millisecond, time.Second, func(s *site, a *agentProcess) { s.restartInPlace(a) }},
	} {
		t.Run(test.name, func(t *testing.T) {
			s := newSiteWithOldWorkers(t, 2)
			for _, a := range s.agents {
				a.worker.SetFaults(standinworker.Faults{ApplyLate: 1, ApplyDelay: test.delay})
			}
			s.submit(s.entries[0], "normal", jobID(1), s.jobBody(jobID(1), "run 4000", capacity.GPUs, 1, false))
			var ordered *agentProcess
			s.eventually("a worker has received the order", func() bool {
				for _, a := range s.agents {
					if a.worker.LateStarts() > 0 {
						ordered = a
					}
				}
				return ordered != nil
			})
			carriedOutAt := time.Now().Add(test.delay)
			for _, a := range s.agents {
				a.worker.SetFaults(standinworker.Faults{})
			}
			time.Sleep(test.restartAfter)
			test.restart(s, ordered)
			s.awaitState(s.entries[0], "normal", jobID(1), "completed")
			time.Sleep(max(0, time.Until(carriedOutAt)) + settleTime)
			s.checkRuns()
		})
	}
}

func (s *site) restartAgent(a *agentProcess) {
	a.kill()
	s.runAgent(a)
}

// startTaskOfVM starts a task that takes a whole VM, and returns the agent there.
func (s *site) startTaskOfVM() *agentProcess {
	s.c.Helper()
	s.submit(s.entries[0], "normal", jobID(1), s.jobBody(jobID(1), "run 6000", capacity.GPUs, 1, false))
	a := s.awaitStart(jobID(1))
	time.Sleep(100 * time.Millisecond)
	return a
}

// checkStartedElsewhere checks that the task of startTaskOfVM completes in one further run,
// which begins within the limit.
func (s *site) checkStartedElsewhere(lostAt time.Time, limit time.Duration) {
	s.c.Helper()
	s.awaitState(s.entries[0], "normal", jobID(1), "completed")
	starts := s.starts(jobID(1))
	s.c.Assert(starts, qt.HasLen, 2)
	delay := starts[1].StartedAt.Sub(lostAt)
	s.c.Check(delay < limit, qt.IsTrue, qt.Commentf("started elsewhere after %s", delay))
	time.Sleep(settleTime)
	s.checkRuns()
}

// TestRunsOfVanishedWorkerAreStartedElsewhere guards against waiting for ever for a lost worker.
func TestRunsOfVanishedWorkerAreStartedElsewhere(t *testing.T) {
	for _, test := range []struct {
		name         string
		restartAgent bool
	}{
		{"agentLives", false},
		{"agentRestarts", true},
	} {
		t.Run(test.name, func(t *testing.T) {
			s := newSite(t, 1, 2)
			a := s.startTaskOfVM()
			lostAt := time.Now()
			if test.restartAgent {
				// The agent does not see the worker's end.
				a.kill()
			}
			a.worker.Close()
			if test.restartAgent {
				s.runAgent(a)
			}
			s.checkStartedElsewhere(lostAt, maxLease+2*time.Second)
		})
	}
}

// TestRunsOfVanishedWorkerAcrossPlanners guards against a wait for a lost worker that begins anew with each planner.
func TestRunsOfVanishedWorkerAcrossPlanners(t *testing.T) {
	for _, test := range []struct {
		name         string
		restartAgent bool
	}{
		{"agentLives", false},
		{"agentRestarts", true},
	} {
		t.Run(test.name, func(t *testing.T) {
			s := newSite(t, 3, 2)
			a := s.startTaskOfVM()
			lostAt := time.Now()
			a.worker.Close()
			for range 2 {
				killed := s.planner()
				killed.kill()
				s.entries = slices.DeleteFunc(s.entries, func(e *entryProcess) bool { return e == killed })
				if test.restartAgent {
					a.kill()
					s.runAgent(a)
				}
				s.eventually("another entry plans", func() bool { return s.planner() != nil && s.planner().daemon.AttachedAgents() > 0 })
			}
			s.checkStartedElsewhere(lostAt, maxLease+5*time.Second)
		})
	}
}

// TestRunsOfVanishedVMAcrossPlanners guards against a wait of 18 s for the runs of a VM that is lost with
// its agent, after a change of the planner by which no earlier one is left.
func TestRunsOfVanishedVMAcrossPlanners(t *testing.T) {
	restart := func(s *site, planner *entryProcess) {
		planner.kill()
		time.Sleep(500 * time.Millisecond)
		s.startEntry(planner.listenAddress)
	}
	for _, test := range []struct {
		name    string
		entries int
		// end ends the process of the planner.
		end func(s *site, planner *entryProcess)
	}{
		{"planner killed and restarted", 3, restart},
		// The next planner has observed no earlier term.
		{"only entry killed and restarted", 1, restart},
		{"planner stopped", 3, func(s *site, planner *entryProcess) {
			planner.clientServer.Close(100 * time.Millisecond)
			s.c.Check(planner.daemon.Stop(context.Background()), qt.IsNil)
			planner.storeProxy.Close()
		}},
	} {
		t.Run(test.name, func(t *testing.T) {
			s := newSite(t, test.entries, 2)
			// Terms of before the entries began to follow could still grant leases for so long.
			time.Sleep(lease.TermValidity)
			a := s.startTaskOfVM()
			a.kill()
			a.worker.Close()
			lostAt := time.Now()
			planner := s.planner()
			s.entries = slices.DeleteFunc(s.entries, func(e *entryProcess) bool { return e == planner })
			test.end(s, planner)
			s.checkStartedElsewhere(lostAt, maxLease+4*time.Second)
		})
	}
}

// TestNotedEndsAreStored guards against acknowledging ends of another incarnation.
func TestNotedEndsAreStored(t *testing.T) {
	for _, test := range []struct {
		name    string
		silence time.Duration
	}{
		{"announcedAtOnce", 0},
		{"announcedLate", time.Second},
	} {
		t.Run(test.name, func(t *testing.T) {
			s := newSite(t, 1, 1)
			a := s.agents[0]
			s.submit(s.entries[0], "urgent", jobID(1), s.jobBody(jobID(1), "run 10", 1, 50, false))
			s.awaitState(s.entries[0], "urgent", jobID(1), "completed")
			s.restartInPlace(a, silentFor(test.silence))
			jobs := 1
			for end := time.Now().Add(test.silence + time.Second); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
				jobs++
				s.submit(s.entries[0], "urgent", jobID(jobs), s.jobBody(jobID(jobs), "run 10", 1, 1, false))
			}
			for n := range jobs {
				s.awaitState(s.entries[0], "urgent", jobID(n+1), "completed")
			}
			time.Sleep(settleTime)
			s.checkRuns()
		})
	}
}

// TestAnnouncedIDWithBlank guards against withheld leases because of an ID that the worker takes for its own.
func TestAnnouncedIDWithBlank(t *testing.T) {
	const maxCalls = 200
	s := newSite(t, 1, 1)
	a := s.agents[0]
	s.submit(s.entries[0], "normal", jobID(1), s.jobBody(jobID(1), "run 4000", 1, 1, false))
	s.awaitStart(jobID(1))
	s.announce(a, http.MethodPut, workerID(a)+"%20", map[string]any{"service": "paint", "address": "127.0.0.1:1", "state": "ready", "sequence": 1, "born": 5})
	s.awaitState(s.entries[0], "normal", jobID(1), "completed")
	s.c.Check(s.starts(jobID(1)), qt.HasLen, 1)
	s.c.Check(a.worker.Calls() < maxCalls, qt.IsTrue, qt.Commentf("%d calls", a.worker.Calls()))
	s.checkRuns()
}
