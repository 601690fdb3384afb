package main

import (
	"encoding/json"
	"fmt"
	"net/http"
	"syscall"
	"time"

	"celerypoint.example/celerypoint/standinworker"
)

const (
	gangMembers = 2
	// gangFailsAfter is how long a run of the gang takes until both members fail.
	gangFailsAfter = 6 * time.Second
	// rollGap is the time between two machines that are stopped in turn, agentStartTime that
	// from the SIGTERM of an agent until its next process.
	rollGap        = 1300 * time.Millisecond
	agentStartTime = 1200 * time.Millisecond
)

// runGang hands in a gang whose members fail together. A side machine of a member and the machine
// of the planner are stopped and started in turn while that happens.
func runGang(s *system, trouble bool) (bool, error) {
	s.maxAttempts = 2
	workers, err := s.deploy()
	if err != nil {
		return false, err
	}
	const job = "000000000000e001"
	status, _, err := s.entries[0].call(http.MethodPost, "/normal/"+job, map[string]any{"spec": fmt.Sprintf("fail %d", gangFailsAfter.Milliseconds()), "steps": []any{
		map[string]any{"count": gangMembers, "cpu": 1000, "mem_mb": 1000, "gpus": 8, "estimate_ms": 6000, "gang": true},
	}}, 3*time.Second)
	s.note("POST /normal/%s, a gang of %d, max_attempts %d: %d (%v)", job, gangMembers, s.maxAttempts, status, err)
	if err != nil || status != http.StatusOK {
		return false, fmt.Errorf("%w: the job was not accepted", errSetup)
	}
	var begun time.Time
	var members []int
	for deadline := time.Now().Add(5 * time.Second); len(members) < gangMembers; time.Sleep(10 * time.Millisecond) {
		if time.Now().After(deadline) {
			return false, fmt.Errorf("%w: the gang has not begun", errSetup)
		}
		members = nil
		for i, w := range workers {
			for _, r := range w.History() {
				begun = r.StartedAt
				members = append(members, i)
			}
		}
	}
	if trouble {
		time.Sleep(time.Until(begun.Add(gangFailsAfter - rollGap/2)))
		agent, planner := s.agents[members[1]], s.planner()
		if planner == nil {
			return false, fmt.Errorf("%w: no planner", errSetup)
		}
		stoppedAt := time.Now()
		s.note("SIGTERM to agent %s", agent.name)
		agent.signal(syscall.SIGTERM)
		<-agent.exited
		time.Sleep(time.Until(stoppedAt.Add(agentStartTime)))
		if err := s.run(agent); err != nil {
			return false, err
		}
		s.note("agent %s has started again", agent.name)
		time.Sleep(time.Until(stoppedAt.Add(rollGap)))
		s.note("SIGTERM to planner %s", planner.name)
		planner.signal(syscall.SIGTERM)
		go func() {
			<-planner.exited
			time.Sleep(restartDelay)
			if err := s.run(planner); err != nil {
				s.note("planner: %v", err)
			}
		}()
	}
	for deadline := begun.Add(60 * time.Second); time.Now().Before(deadline); time.Sleep(100 * time.Millisecond) {
		// The planner's entry may have just been stopped.
		status, text, err := s.entryInService().call(http.MethodGet, "/normal/"+job, nil, 3*time.Second)
		var reply struct{ State string }
		if err != nil || status != http.StatusOK || json.Unmarshal(text, &reply) != nil || reply.State != "failed" {
			continue
		}
		s.note("GET /normal/%s: %s", job, reply.State)
		failed := map[int]bool{}
		for _, w := range workers {
			for _, r := range w.History() {
				s.note("%s run %d: started at %.3f s, %s", r.Task, r.Run, r.StartedAt.Sub(s.begun).Seconds(), ended(s, r))
				if r.EndReason == "failed" {
					failed[r.Run] = true
				}
			}
		}
		s.note("the gang has failed %d times, max_attempts is %d", len(failed), s.maxAttempts)
		return len(failed) < s.maxAttempts, nil
	}
	return false, fmt.Errorf("%w: the job has not failed", errSetup)
}

// entryInService is an entry whose process runs and was not asked to end.
func (s *system) entryInService() *process {
	for _, e := range s.entries {
		if !e.stopping {
			return e
		}
	}
	return s.entries[0]
}

// deploy starts three entries and workerCount workers with their agents.
func (s *system) deploy() ([]*standinworker.Worker, error) {
	if err := s.configure(1); err != nil {
		return nil, err
	}
	for _, name := range []string{"edge-a-1", "edge-b-1", "edge-c-1"} {
		if err := s.startEntry(name); err != nil {
			return nil, err
		}
	}
	var workers []*standinworker.Worker
	for i := range workerCount {
		w, _, err := s.addWorker(i)
		if err != nil {
			return nil, err
		}
		workers = append(workers, w)
	}
	return workers, s.awaitReady(workerCount)
}
