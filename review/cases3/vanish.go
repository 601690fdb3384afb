package main

import (
	"fmt"
	"net/http"
	"os"
	"strings"
	"syscall"
	"time"

	"celerypoint.example/celerypoint/standinworker"
)

const (
	lastingUnits = 3
	// plannerKilledAfter is the time from the loss of a machine to the kill of the planner, and
	// restartDelay that until the planner's process is started again.
	plannerKilledAfter = time.Second
	restartDelay       = 500 * time.Millisecond
	// calmAfter is when the disruption and contact_ms have passed, counted from the loss. The
	// rule asks for 4 s of calm before the 3 s without a run, which begin 6 s after the last
	// run at the earliest.
	calmAfter  = plannerKilledAfter + restartDelay + contactMs*time.Millisecond
	mayBeAway  = calmAfter + 4*time.Second + 3*time.Second
	watchAfter = 40 * time.Second
)

// runVanish removes the machine that runs the units of a lasting job, and kills the planner soon
// after that. All other machines are idle.
func runVanish(s *system, trouble bool) (bool, error) {
	workers, err := s.deploy()
	if err != nil {
		return false, err
	}
	const job = "000000000000d001"
	status, _, err := s.entries[0].call(http.MethodPost, "/normal/"+job, map[string]any{"spec": "run 1000000", "steps": []any{
		map[string]any{"count": lastingUnits, "cpu": 1000, "mem_mb": 1000, "gpus": 1, "estimate_ms": 1000, "long_running": true},
	}}, 3*time.Second)
	s.note("POST /normal/%s, %d units that last: %d (%v)", job, lastingUnits, status, err)
	if err != nil || status != http.StatusOK {
		return false, fmt.Errorf("%w: the job was not accepted", errSetup)
	}
	time.Sleep(25 * time.Second)
	lost := -1
	for i, w := range workers {
		if len(w.History()) > 0 {
			lost = i
		}
	}
	if lost < 0 {
		return false, fmt.Errorf("%w: no unit has started", errSetup)
	}
	lostAt := time.Now()
	if trouble {
		s.note("machine %s is removed for good, with %d units (TROUBLE=%s)", s.agents[lost].name, len(workers[lost].History()), os.Getenv("TROUBLE"))
		if os.Getenv("TROUBLE") != "worker" {
			s.agents[lost].signal(syscall.SIGKILL)
		}
		workers[lost].Close()
		if os.Getenv("TROUBLE") != "machine" {
			time.Sleep(plannerKilledAfter)
			p := s.planner()
			if p == nil {
				return false, fmt.Errorf("%w: no planner", errSetup)
			}
			s.note("planner %s is killed", p.name)
			p.signal(syscall.SIGKILL)
			<-p.exited
			time.Sleep(restartDelay)
			if err := s.run(p); err != nil {
				return false, err
			}
		}
	}
	time.Sleep(time.Until(lostAt.Add(watchAfter)))
	broken := false
	for i := range lastingUnits {
		unit := fmt.Sprintf("%s.0.0.%d", job, i)
		var runs []standinworker.RunRecord
		for _, w := range workers {
			for _, r := range w.History() {
				if r.Task == unit {
					runs = append(runs, r)
				}
			}
		}
		away, back := time.Duration(0), time.Time{}
		working := false
		for _, r := range runs {
			switch {
			case r.StartedAt.After(lostAt) && (back.IsZero() || r.StartedAt.Before(back)):
				back = r.StartedAt
			case r.StartedAt.Before(lostAt) && r.EndedAt.IsZero():
				working = true
			}
			s.note("%s run %d: started at %.3f s, %s", unit, r.Run, r.StartedAt.Sub(s.begun).Seconds(), ended(s, r))
		}
		switch {
		case working:
		case back.IsZero():
			away = watchAfter
		default:
			away = back.Sub(lostAt)
		}
		s.note("%s was away for %.1f s; allowed: %.1f s", unit, away.Seconds(), mayBeAway.Seconds())
		broken = broken || away > mayBeAway
	}
	return broken, nil
}

func ended(s *system, r standinworker.RunRecord) string {
	if r.EndedAt.IsZero() {
		return "still at work"
	}
	return fmt.Sprintf("ended at %.3f s (%s)", r.EndedAt.Sub(s.begun).Seconds(), r.EndReason)
}

// planner is the entry that plans, by its metrics.
func (s *system) planner() *process {
	for _, e := range s.entries {
		for line := range strings.Lines(e.metricsText()) {
			if words := strings.Fields(line); len(words) >= 2 && strings.Contains(words[0], "agentsInTouch") && !strings.HasPrefix(words[len(words)-1], "-") {
				return e
			}
		}
	}
	return nil
}
