package siteproof

import (
	"fmt"
	"slices"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// maxCrashingStarts is the number of starts of a task that crashes its workers from which
// on the platform's bound is broken: three further starts after three crashes.
const maxCrashingStarts = 5

// TestTaskThatCrashesWorkersIsGivenUp guards against a task that is started without limit
// although it crashes every worker that starts it.
func TestTaskThatCrashesWorkersIsGivenUp(t *testing.T) {
	for _, test := range []struct {
		name  string
		spec  string
		gpus  int
		count int
		gang  bool
	}{
		{"atOnce", "crash 0", 1, 1, false},
		{"afterAWhile", "crash 400", 8, 1, false},
		{"gang", "crash 20", 8, 2, true},
		{"gangOnOneVM", "crash 20", 1, 4, true},
		{"severalTasks", "crash 20", 4, 3, false},
	} {
		t.Run(test.name, func(t *testing.T) {
			s := newSite(t, 1, 5)
			s.submit(s.entries[0], "normal", jobID(1), s.jobBody(jobID(1), test.spec, test.gpus, test.count, test.gang))
			s.awaitStateWithin(s.entries[0], "normal", jobID(1), "failed")
			time.Sleep(time.Second)
			s.checkCrashingStarts(jobID(1))
		})
	}
}

// TestCrashCountSurvivesPlanners guards against a count of crashes that ends with the
// planner, or that misses a crash while no entry plans.
func TestCrashCountSurvivesPlanners(t *testing.T) {
	s := newSite(t, 5, 6)
	s.submit(s.entries[0], "normal", jobID(1), s.jobBody(jobID(1), "crash 20", 8, 1, false))
	for n := 1; n <= 2; n++ {
		s.eventually(fmt.Sprintf("crash %d", n), func() bool { return len(s.starts(jobID(1))) >= n })
		if killed := s.planner(); killed != nil {
			killed.kill()
			s.entries = slices.DeleteFunc(s.entries, func(e *entryProcess) bool { return e == killed })
		}
	}
	s.awaitStateWithin(s.entries[0], "normal", jobID(1), "failed")
	time.Sleep(time.Second)
	s.checkCrashingStarts(jobID(1))
}

// TestRunsBesideCrashingTaskComplete guards against giving up work that only ran beside a
// task that crashes its workers.
func TestRunsBesideCrashingTaskComplete(t *testing.T) {
	s := newSite(t, 1, 6)
	const neighbours = 5
	for n := range neighbours {
		s.submit(s.entries[0], "batch", jobID(n+1), s.jobBody(jobID(n+1), "run 1200", 1, 6, false))
	}
	for n := range 3 {
		s.submit(s.entries[0], "normal", jobID(100+n), s.jobBody(jobID(100+n), "crash 30", 1, 1, false))
	}
	for n := range 3 {
		s.awaitStateWithin(s.entries[0], "normal", jobID(100+n), "failed")
		s.checkCrashingStarts(jobID(100 + n))
	}
	for n := range neighbours {
		s.awaitStateWithin(s.entries[0], "batch", jobID(n+1), "completed")
	}
	s.checkRuns()
}

// TestSuccessOfCrashedWorkerCounts guards against running a task again that had succeeded
// on a worker which crashed before a planner had stored the success.
func TestSuccessOfCrashedWorkerCounts(t *testing.T) {
	s := newSite(t, 1, 1)
	s.submit(s.entries[0], "normal", jobID(1), s.jobBody(jobID(1), "run 600", 1, 1, false))
	s.eventually("the task runs", func() bool { return len(s.starts(jobID(1))) == 1 })
	s.entries[0].kill()
	s.entries = nil
	s.eventually("the task has ended", func() bool { return s.starts(jobID(1))[0].EndReason == "done" })
	// The agent lists the end within one status call.
	time.Sleep(100 * time.Millisecond)
	s.crashWorker(s.agents[0])
	s.startEntry("127.0.0.1:0")
	s.awaitStateWithin(s.entries[0], "normal", jobID(1), "completed")
	s.c.Check(s.starts(jobID(1)), qt.HasLen, 1)
}

// checkCrashingStarts checks the number of starts of each task of a job that crashes its
// workers.
func (s *site) checkCrashingStarts(id string) {
	s.c.Helper()
	starts := map[string]int{}
	for _, r := range s.starts(id) {
		starts[r.Task]++
	}
	for task, n := range starts {
		s.c.Check(n <= maxCrashingStarts, qt.IsTrue, qt.Commentf("%s was started %d times", task, n))
	}
}

// awaitStateWithin waits for the state of a job for as long as its workers need to crash
// maxCrashingStarts times, and a new planner to follow.
func (s *site) awaitStateWithin(e *entryProcess, queue, id, want string) {
	s.c.Helper()
	state := ""
	for deadline := time.Now().Add(12 * time.Second); time.Now().Before(deadline); time.Sleep(20 * time.Millisecond) {
		if state = s.state(e, queue, id); state == want {
			return
		}
	}
	s.c.Errorf("job %s is %q, not %q", id, state, want)
}
