package main

import (
	"fmt"
	"slices"
	"syscall"
	"time"
)

// deploy starts three entries and the workers, and waits until the system serves.
func (s *system) deploy(queues []queue, workers []workerSpec, warm ...string) error {
	if err := s.configure(queues...); err != nil {
		return err
	}
	for _, w := range workers {
		if err := s.startWorkerNode(w); err != nil {
			return err
		}
	}
	for i := range 3 {
		if err := s.startEntry(i + 1); err != nil {
			return err
		}
	}
	return s.awaitReady(warm...)
}

// playCutOffs: a worker is cut off five times for 8 s. The work unit that only it may run never
// fails, and its job is shown as failed.
func playCutOffs(s *system, trouble bool) (verdict, error) {
	err := s.deploy([]queue{{"batch", "matcher", 1}}, []workerSpec{{id: "i-1", service: "matcher", rack: "r0"}, {id: "i-2", service: "matcher", rack: "r0"}, {id: "i-3", service: "matcher", rack: "r0"}, {id: "i-4", service: "matcher", rack: "r1"}}, "batch")
	if err != nil {
		return verdict{}, err
	}
	const work = 12 * time.Second
	id, err := s.submit("batch", step{count: 1, gpus: 1, cpu: 1000, memMB: 1000, work: work, estimate: work, requirements: "r1"})
	if err != nil {
		return verdict{}, err
	}
	w := s.workers[3]
	for cutOff := 1; cutOff <= 5 && trouble; cutOff++ {
		for begun := time.Now(); !s.running(id) && time.Since(begun) < 6*time.Second; {
			time.Sleep(100 * time.Millisecond)
		}
		time.Sleep(3 * time.Second)
		if err := w.cut(s, true); err != nil {
			return verdict{}, err
		}
		time.Sleep(8 * time.Second)
		if err := w.cut(s, false); err != nil {
			return verdict{}, err
		}
		if s.state("batch", id) == "failed" {
			break
		}
	}
	defer s.recordRuns(id)
	for begun := time.Now(); time.Since(begun) < 25*time.Second; time.Sleep(time.Second) {
		switch state := s.state("batch", id); state {
		case "completed":
			return verdict{}, nil
		case "failed", "cancelled", "410":
			for _, r := range s.runs(id) {
				if r.EndReason == "failed" || r.EndReason == "crashed" {
					return verdict{}, fmt.Errorf("run %d ended %s", r.Run, r.EndReason)
				}
			}
			return verdict{fmt.Sprintf("LOST: job %s is shown as %s; none of its %d runs ended failed, and no worker crashed", id, state, len(s.runs(id)))}, nil
		}
	}
	return verdict{}, nil
}

// checkFinish checks the rule LOST at the end of the day. traffic is when the traffic ended.
// From finish on, for 3 s, the job must not have nothing running: the caller has made sure that
// there is room for it. The check waits until the job runs or is completed, for the record.
func (s *system) checkFinish(queueName, id string, traffic time.Time, wait time.Duration) verdict {
	time.Sleep(time.Until(traffic.Add(finish)))
	idle := true
	for begun := time.Now(); time.Since(begun) < 3*time.Second; time.Sleep(50 * time.Millisecond) {
		idle = idle && !s.running(id)
	}
	state := s.state(queueName, id)
	if !idle || state == "completed" || state == "failed" {
		return verdict{}
	}
	s.record.add("for 3 s, job %s (%s) has had nothing running", id, state)
	for begun := time.Now(); time.Since(begun) < wait && !s.running(id); {
		time.Sleep(100 * time.Millisecond)
	}
	if s.running(id) {
		return verdict{fmt.Sprintf("LOST: %s after the end of the traffic job %s had nothing running for 3 s; it began %.1f s after the end of the traffic", finish, id, time.Since(traffic).Seconds())}
	}
	return verdict{fmt.Sprintf("LOST: %s after the end of the traffic job %s had nothing running for 3 s, nor %s later", finish, id, wait)}
}

// playHandOver: one of eight workers is lost for good, and the entries are restarted in turn, the
// planner first.
func playHandOver(s *system, trouble bool) (verdict, error) {
	var workers []workerSpec
	for i := range 8 {
		workers = append(workers, workerSpec{id: fmt.Sprintf("i-%d", i+1), service: "matcher", rack: fmt.Sprintf("r%d", i/3)})
	}
	if err := s.deploy([]queue{{"batch", "matcher", 1}}, workers, "batch"); err != nil {
		return verdict{}, err
	}
	const work = 20 * time.Second
	id, err := s.submit("batch", step{count: 1, gpus: 1, cpu: 1000, memMB: 1000, work: work, estimate: work})
	if err != nil {
		return verdict{}, err
	}
	for begun := time.Now(); !s.running(id); time.Sleep(50 * time.Millisecond) {
		if time.Since(begun) > 5*time.Second {
			return verdict{}, fmt.Errorf("job %s has not begun", id)
		}
	}
	time.Sleep(2 * time.Second)
	defer s.recordRuns(id)
	if trouble {
		s.runs(id)[0].worker.lose(s)
		time.Sleep(time.Second)
		first := s.planner()
		first.signal(syscall.SIGTERM)
		for _, e := range s.entries {
			if e != first {
				time.Sleep(2 * time.Second)
				e.signal(syscall.SIGTERM)
			}
		}
	}
	traffic := time.Now()
	s.record.add("end of the traffic")
	return s.checkFinish("batch", id, traffic, 20*time.Second), nil
}

// playServices: the jobs of one service fill its workers, and one of these is lost. A job of
// another service, whose only worker is idle, is not begun.
func playServices(s *system, trouble bool) (verdict, error) {
	workers := []workerSpec{{id: "i-0", service: "small", rack: "r9"}}
	for i := range 7 {
		workers = append(workers, workerSpec{id: fmt.Sprintf("i-%d", i+1), service: "large", rack: fmt.Sprintf("r%d", i/3)})
	}
	if err := s.deploy([]queue{{"small-batch", "small", 2}, {"large-batch", "large", 1}}, workers, "small-batch", "large-batch"); err != nil {
		return verdict{}, err
	}
	for range 6 {
		if _, err := s.submit("large-batch", step{count: 1, gpus: 8, cpu: 8000, memMB: 8000, work: 90 * time.Second, estimate: 90 * time.Second}); err != nil {
			return verdict{}, err
		}
	}
	time.Sleep(3 * time.Second)
	if trouble {
		for _, w := range s.workers[1:] {
			busy := false
			for _, r := range w.worker.History() {
				busy = busy || r.EndedAt.IsZero()
			}
			if !busy {
				w.lose(s)
				break
			}
		}
		time.Sleep(8 * time.Second)
	}
	id, err := s.submit("small-batch", step{count: 1, gpus: 1, cpu: 1000, memMB: 1000, work: 30 * time.Second, estimate: 30 * time.Second})
	if err != nil {
		return verdict{}, err
	}
	defer s.recordRuns(id)
	s.record.add("end of the traffic")
	return s.checkFinish("small-batch", id, time.Now(), 40*time.Second), nil
}

// playRack: the rack with a job's data has three workers. Two are busy, and the third is lost.
// The job is not begun on the six idle workers of the other racks.
func playRack(s *system, trouble bool) (verdict, error) {
	var workers []workerSpec
	for i := range 9 {
		workers = append(workers, workerSpec{id: fmt.Sprintf("i-%d", i+1), service: "matcher", rack: fmt.Sprintf("r%d", i/3)})
	}
	if err := s.deploy([]queue{{"batch", "matcher", 1}}, workers, "batch"); err != nil {
		return verdict{}, err
	}
	for range 2 {
		if _, err := s.submit("batch", step{count: 1, gpus: 8, cpu: 8000, memMB: 8000, work: 90 * time.Second, estimate: 90 * time.Second, affinity: "r0"}); err != nil {
			return verdict{}, err
		}
	}
	time.Sleep(3 * time.Second)
	if trouble {
		for _, w := range s.workers[:3] {
			busy := false
			for _, r := range w.worker.History() {
				busy = busy || r.EndedAt.IsZero()
			}
			if !busy {
				w.lose(s)
				break
			}
		}
		time.Sleep(8 * time.Second)
	}
	id, err := s.submit("batch", step{count: 1, gpus: 1, cpu: 1000, memMB: 1000, work: 40 * time.Second, estimate: 40 * time.Second, affinity: "r0"})
	if err != nil {
		return verdict{}, err
	}
	defer s.recordRuns(id)
	s.record.add("end of the traffic")
	return s.checkFinish("batch", id, time.Now(), 30*time.Second), nil
}

// playLongWork: each of six workers runs a work unit of half an hour. The planner is stopped, as in
// a rolling restart, and its successor stops all of them.
func playLongWork(s *system, trouble bool) (verdict, error) {
	var workers []workerSpec
	for i := range 6 {
		workers = append(workers, workerSpec{id: fmt.Sprintf("i-%d", i+1), service: "matcher", rack: fmt.Sprintf("r%d", i/3), stop: 5 * time.Millisecond})
	}
	if err := s.deploy([]queue{{"batch", "matcher", 1}}, workers, "batch"); err != nil {
		return verdict{}, err
	}
	const work = 30 * time.Minute
	var ids []string
	for range workers {
		id, err := s.submit("batch", step{count: 1, gpus: 5, cpu: 8000, memMB: 8000, work: work, estimate: work})
		if err != nil {
			return verdict{}, err
		}
		ids = append(ids, id)
	}
	traffic := time.Now()
	s.record.add("end of the traffic")
	time.Sleep(time.Until(traffic.Add(work/100 + 5*time.Second)))
	for _, id := range ids {
		if !s.running(id) {
			return verdict{}, fmt.Errorf("job %s does not run", id)
		}
		defer s.recordRuns(id)
	}
	if trouble {
		s.planner().signal(syscall.SIGTERM)
	}
	idleSince, longest := map[string]time.Time{}, map[string]time.Duration{}
	for begun := time.Now(); time.Since(begun) < 20*time.Second; time.Sleep(2 * time.Millisecond) {
		for _, id := range ids {
			if s.running(id) {
				delete(idleSince, id)
				continue
			}
			if idleSince[id].IsZero() {
				idleSince[id] = time.Now()
			}
			longest[id] = max(longest[id], time.Since(idleSince[id]))
		}
	}
	stopped, idle, worst := 0, 0, time.Duration(0)
	for _, id := range ids {
		s.record.add("job %s: the longest time with nothing running is %.3f s", id, longest[id].Seconds())
		if longest[id] > 0 {
			stopped++
		}
		if longest[id] > 3*time.Second {
			idle++
		}
		worst = max(worst, longest[id])
	}
	if idle == 0 {
		return verdict{}, nil
	}
	return verdict{fmt.Sprintf("LOST: later than %s after the end of the traffic the only run of %d of %d jobs was stopped on a sound worker; %d had nothing running for over 3 s, at most %.3f s, while all workers were idle", finish, stopped, len(ids), idle, worst.Seconds())}, nil
}

// playDeadly: a work unit crashes each worker that starts it. The machines of the workers are
// restarted in turn. When the job has been given up, another one like it is handed in.
func playDeadly(s *system, trouble bool) (verdict, error) {
	var workers []workerSpec
	for i := range 6 {
		workers = append(workers, workerSpec{id: fmt.Sprintf("i-%d", i+1), service: "matcher", rack: fmt.Sprintf("r%d", i/3)})
	}
	if err := s.deploy([]queue{{"batch", "matcher", 1}}, workers, "batch"); err != nil {
		return verdict{}, err
	}
	id, asked := "", time.Now()
	for begun := time.Now(); time.Since(begun) < 85*time.Second; {
		if id == "" {
			var err error
			if id, err = s.submit("batch", step{count: 1, gpus: 1, cpu: 1000, memMB: 1000, estimate: 5 * time.Second, spec: "crash 500"}); err != nil {
				return verdict{}, err
			}
			defer s.recordRuns(id)
		}
		for _, w := range s.workers {
			if trouble {
				w.signal(syscall.SIGTERM)
			}
			time.Sleep(time.Second)
		}
		if broken := s.checkBudget(id); broken != "" {
			return verdict{broken}, nil
		}
		if time.Since(asked) > 4*time.Second {
			asked = time.Now()
			if s.state("batch", id) == "failed" {
				id = ""
			}
		}
	}
	return verdict{}, nil
}

// checkBudget checks the rule BUDGET for a work unit that crashes its workers: it is not started
// three times more, by machines in touch, after three workers have crashed under it.
func (s *system) checkBudget(id string) string {
	runs := s.runs(id)
	slices.SortFunc(runs, func(a, b runRecord) int { return a.StartedAt.Compare(b.StartedAt) })
	var crashes []time.Time
	for _, r := range runs {
		if r.EndReason == "crashed" {
			crashes = append(crashes, r.EndedAt)
		}
	}
	if len(crashes) < 3 {
		return ""
	}
	inTouch := 0
	for _, r := range runs {
		if r.StartedAt.After(crashes[2]) && !r.worker.disturbedWithin(contact, r.StartedAt) {
			inTouch++
		}
	}
	if inTouch < 3 {
		return ""
	}
	return fmt.Sprintf("BUDGET: %s.0.0.0 was started %d times; after three workers had crashed under it, machines in touch have started it %d times more", id, len(runs), inTouch)
}

// playGangFails: both members of a gang fail in each run. In the first run the agent of one of
// them stands still from before the failure on, and the planner is killed after it.
func playGangFails(s *system, trouble bool) (verdict, error) {
	var workers []workerSpec
	for i := range 6 {
		workers = append(workers, workerSpec{id: fmt.Sprintf("i-%d", i+1), service: "matcher", rack: fmt.Sprintf("r%d", i/3)})
	}
	if err := s.deploy([]queue{{"batch", "matcher", 1}}, workers, "batch"); err != nil {
		return verdict{}, err
	}
	id, err := s.submit("batch", step{count: 2, gpus: 7, cpu: 1000, memMB: 1000, estimate: 5 * time.Second, spec: "fail 3000", gang: true})
	if err != nil {
		return verdict{}, err
	}
	defer s.recordRuns(id)
	for begun := time.Now(); len(s.runs(id)) < 2; time.Sleep(20 * time.Millisecond) {
		if time.Since(begun) > 5*time.Second {
			return verdict{}, fmt.Errorf("job %s has not begun", id)
		}
	}
	if trouble {
		time.Sleep(2 * time.Second)
		frozen := s.runs(id)[1].worker
		frozen.signal(syscall.SIGSTOP)
		time.Sleep(2 * time.Second)
		s.planner().signal(syscall.SIGKILL)
		time.Sleep(1500 * time.Millisecond)
		frozen.signal(syscall.SIGCONT)
	}
	for begun := time.Now(); time.Since(begun) < 30*time.Second; time.Sleep(500 * time.Millisecond) {
		if s.state("batch", id) != "failed" {
			continue
		}
		time.Sleep(time.Second)
		attempts := map[int]bool{}
		for _, r := range s.runs(id) {
			if r.EndReason == "failed" {
				attempts[r.Run] = true
			}
		}
		if len(attempts) < 3 {
			return verdict{fmt.Sprintf("LOST: job %s is shown as failed after %d failed runs of its gang; max_attempts is 3", id, len(attempts))}, nil
		}
		return verdict{}, nil
	}
	return verdict{}, fmt.Errorf("job %s has not failed", id)
}

// playCrashLoops: six work units that last fail some seconds after each start, each after another
// time. They may run on one worker only, which has room for eight.
func playCrashLoops(s *system, trouble bool) (verdict, error) {
	err := s.deploy([]queue{{"batch", "matcher", 1}}, []workerSpec{{id: "i-1", service: "matcher", rack: "r0"}, {id: "i-2", service: "matcher", rack: "r0"}, {id: "i-3", service: "matcher", rack: "r0"}, {id: "i-4", service: "matcher", rack: "r1"}}, "batch")
	if err != nil {
		return verdict{}, err
	}
	var ids []string
	for i := range 6 {
		spec := "run 300000"
		if trouble {
			spec = fmt.Sprintf("fail %d", 2000+1800*i)
		}
		id, err := s.submit("batch", step{count: 1, gpus: 1, cpu: 1000, memMB: 1000, estimate: time.Second, spec: spec, requirements: "r1", longRunning: true})
		if err != nil {
			return verdict{}, err
		}
		ids = append(ids, id)
		defer s.recordRuns(id)
	}
	// afterRun and idleTime are those of the rule.
	const afterRun, idleTime = 6 * time.Second, 3 * time.Second
	for begun := time.Now(); time.Since(begun) < 70*time.Second; time.Sleep(20 * time.Millisecond) {
		for _, id := range ids {
			var ended time.Time
			runs := s.runs(id)
			for _, r := range runs {
				if r.EndedAt.IsZero() {
					ended = time.Now()
				} else if r.EndedAt.After(ended) {
					ended = r.EndedAt
				}
			}
			if idle := time.Since(ended); len(runs) > 0 && idle > afterRun+idleTime {
				inUse := 0
				for _, other := range ids {
					if s.running(other) {
						inUse++
					}
				}
				return verdict{fmt.Sprintf("LOST: the work unit of job %s, which lasts, has had nothing running for %.1f s, with %d of 8 GPUs of its worker in use", id, idle.Seconds(), inUse)}, nil
			}
		}
	}
	return verdict{}, nil
}
