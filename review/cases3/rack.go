package main

import (
	"fmt"
	"net/http"
	"syscall"
	"time"

	"celerypoint.example/celerypoint/standinworker"
)

const (
	// finishTime is finish_s, and idleTime the 3 s of the rule.
	finishTime = 14 * time.Second
	idleTime   = 3 * time.Second
	dataRack   = "r0"
)

// runRack hands in a job whose data is on a rack of three workers, of which two are busy and the
// third is lost for good. All other workers are idle.
func runRack(s *system, trouble bool) (bool, error) {
	workers, err := s.deploy()
	if err != nil {
		return false, err
	}
	submit := func(id string, gpus int) error {
		status, _, err := s.entries[0].call(http.MethodPost, "/normal/"+id, map[string]any{"spec": "run 90000", "steps": []any{
			map[string]any{"count": 1, "cpu": 1000, "mem_mb": 1000, "gpus": gpus, "estimate_ms": 60000, "affinity": dataRack},
		}}, 3*time.Second)
		s.note("POST /normal/%s, %d GPUs, affinity %s: %d (%v)", id, gpus, dataRack, status, err)
		if err != nil || status != http.StatusOK {
			return fmt.Errorf("%w: a job was not accepted", errSetup)
		}
		return nil
	}
	for _, id := range []string{"000000000000f001", "000000000000f002"} {
		if err := submit(id, 8); err != nil {
			return false, err
		}
	}
	time.Sleep(3 * time.Second)
	if trouble {
		for i, w := range workers[:3] {
			if len(w.History()) == 0 {
				s.note("worker %d of rack %s is lost for good, with its machine", i, dataRack)
				s.agents[i].signal(syscall.SIGKILL)
				w.Close()
			}
		}
		// Its lease has expired, and the loss is longer ago than contact_ms.
		time.Sleep(10 * time.Second)
	}
	const job = "000000000000f003"
	if err := submit(job, 1); err != nil {
		return false, err
	}
	asked := time.Now()
	s.note("end of the traffic")
	for time.Since(asked) < finishTime+idleTime {
		if r := startOf(workers, job); r != nil {
			s.note("%s began after %.3f s", r.Task, r.StartedAt.Sub(asked).Seconds())
			return false, nil
		}
		time.Sleep(20 * time.Millisecond)
	}
	s.note("job %s has had nothing running for %.1f s; 16 of 88 GPUs are in use", job, time.Since(asked).Seconds())
	for time.Since(asked) < 65*time.Second && startOf(workers, job) == nil {
		time.Sleep(50 * time.Millisecond)
	}
	s.note("job %s: begun after %.1f s: %t", job, time.Since(asked).Seconds(), startOf(workers, job) != nil)
	return true, nil
}

func startOf(workers []*standinworker.Worker, job string) *standinworker.RunRecord {
	for _, w := range workers {
		for _, r := range w.History() {
			if r.Task == job+".0.0.0" {
				return &r
			}
		}
	}
	return nil
}
