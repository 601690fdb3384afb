package stepagent

import (
	"context"
	"fmt"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"celerypoint.example/celerypoint/agent"
	"celerypoint.example/celerypoint/rpc"
	"celerypoint.example/celerypoint/wire"
	"celerypoint.example/celerypoint/worker"
)

// livesSim plays a worker that restarts under its ID, and a planner that starts the tasks of
// lost runs elsewhere. It implements worker.Client.
type livesSim struct {
	unresponsiveWorker
	t      *rapid.T
	daemon *Daemon

	startedAt     int64
	token         int64
	running       []worker.Run
	ended         []worker.Ended
	lastEndNumber int64
	highest       map[string]int

	// entered signals that a status call has been made, which waits in statuses.
	entered  chan *simStatus
	statuses []*simStatus
	// late are orders that were not answered and may still be carried out.
	late  []worker.StartRequest
	tasks []*simTask
}

// simStatus is a status call in progress.
type simStatus struct {
	// incarnation is the one that the call is meant for.
	incarnation incarnation
	request     worker.StatusRequest
	// executed says that status and reply are set.
	executed bool
	status   worker.Status
	reply    worker.Reply
	err      error
	answered chan struct{}
	returned chan error
}

// simTask is what the planner knows about a task.
type simTask struct {
	key          worker.Run
	active, done bool
	// noted says that the worker was allowed to forget the end of the run, a success.
	noted            bool
	startedElsewhere bool
	excluded         bool
	worker           string
	conclusive       int
}

func (s *livesSim) announcement() worker.Announcement {
	return worker.Announcement{ID: "i", StartedAtUnixMs: s.startedAt, Service: "s"}
}

func (s *livesSim) Status(_ context.Context, _ string, r worker.StatusRequest) (worker.Status, worker.Reply, error) {
	call := &simStatus{request: r, answered: make(chan struct{}), returned: make(chan error, 1)}
	s.entered <- call
	<-call.answered
	return call.status, call.reply, call.err
}

func (s *livesSim) Start(_ context.Context, _ string, r worker.StartRequest) (worker.Reply, error) {
	switch rapid.IntRange(0, 3).Draw(s.t, "order") {
	case 0:
		s.late = append(s.late, r)
		return worker.Reply{}, worker.ErrOutcomeUnknown
	case 1:
		s.execute(r)
		return worker.Reply{}, worker.ErrOutcomeUnknown
	}
	return worker.Reply{Refusal: s.execute(r)}, nil
}

// execute carries out a start order.
func (s *livesSim) execute(r worker.StartRequest) worker.Refusal {
	if r.FencingToken < s.token {
		return worker.RefusalStaleToken
	}
	s.token = r.FencingToken
	switch {
	case slices.Contains(s.running, r.Run):
		return ""
	case r.Number <= s.highest[r.Task]:
		return worker.RefusalStaleRun
	}
	for _, t := range s.tasks {
		if t.key == r.Run && t.startedElsewhere && !t.excluded {
			s.t.Fatalf("%s starts after it was started elsewhere", r.Task)
		}
	}
	s.running = append(s.running, r.Run)
	return ""
}

// read carries out a status call.
func (s *livesSim) read(c *simStatus) {
	c.executed = true
	if c.request.FencingToken < s.token {
		c.reply.Refusal = worker.RefusalStaleToken
		return
	}
	s.token = c.request.FencingToken
	s.ended = slices.DeleteFunc(s.ended, func(e worker.Ended) bool {
		if e.EndNumber > c.request.AckThrough {
			return false
		}
		for _, t := range s.tasks {
			if t.key == e.Run {
				// An end of another incarnation was meant. Nothing tells the worker so.
				t.noted, t.excluded = true, t.excluded || c.incarnation.StartedAtUnixMs != s.startedAt
			}
		}
		return true
	})
	c.status = worker.Status{StartedAtUnixMs: s.startedAt, Ended: slices.Clone(s.ended), Complete: true}
	for _, r := range s.running {
		c.status.Running = append(c.status.Running, worker.Running{Run: r})
	}
}

// call begins a status call.
func (s *livesSim) call() {
	result := make(chan error, 1)
	go func() { result <- s.daemon.readStatus(context.Background(), 0) }()
	c := <-s.entered
	c.incarnation = s.daemon.table.current
	c.returned = result
	s.statuses = append(s.statuses, c)
}

// answer delivers the answer to a status call.
func (s *livesSim) answer(c *simStatus) {
	s.statuses = slices.DeleteFunc(s.statuses, func(other *simStatus) bool { return other == c })
	close(c.answered)
	if err := <-c.returned; err != nil && err != errStale && err != errSighted {
		s.daemon.markUnhealthy(err)
	}
	if c.status.StartedAtUnixMs != s.startedAt {
		s.excludeResolved()
	}
}

// start begins a run of a new task, as startRun does with one attempt.
func (s *livesSim) start() {
	d := s.daemon
	report := d.buildReport()
	if !report.Worker.Present {
		return
	}
	t := &simTask{key: worker.Run{Task: fmt.Sprintf("%d.0.0.0", len(s.tasks)), Number: 1}, active: true, worker: report.Worker.Boot, conclusive: -1}
	s.tasks = append(s.tasks, t)
	p := wire.StartRunParams{Term: 1, Session: 1, Worker: t.worker, Task: t.key.Task, Run: 1}
	result, done := d.registerRun(p, t.key)
	if !done {
		outcome, reason := d.sendStart(context.Background(), time.Second, p, t.key)
		switch outcome {
		case outcomeStarted:
			result = d.recordOutcome(t.key, true, "")
		case outcomeRefused:
			result = d.recordOutcome(t.key, false, reason)
		default:
			result = d.leaveUnconfirmed(t.key)
		}
	}
	switch {
	case result.Started || result.Reason == agent.ReasonOutcomeUnknown:
		t.conclusive = result.Version
	default:
		s.lose(t)
	}
}

// lose starts the task of a lost run elsewhere.
func (s *livesSim) lose(t *simTask) {
	t.active = false
	if t.done {
		return
	}
	t.startedElsewhere = true
	if t.noted && !t.excluded {
		s.t.Fatalf("%s is started elsewhere after its success was acknowledged", t.key.Task)
	}
	if slices.Contains(s.running, t.key) && !t.excluded {
		s.t.Fatalf("%s is started elsewhere while it runs", t.key.Task)
	}
}

// report applies a report to the planner, which stores ends at once.
func (s *livesSim) report() {
	r := s.daemon.buildReport()
	listed := map[string]bool{}
	for _, run := range r.Running {
		listed[run.Task] = true
	}
	ended := func(task string) {
		for _, t := range s.tasks {
			if t.key.Task == task {
				t.done, t.active = true, false
			}
		}
	}
	last := 0
	for _, e := range r.Ended {
		ended(e.Task)
		last = e.Number
	}
	for _, f := range r.Former {
		for _, e := range f.Ended {
			ended(e.Task)
		}
	}
	for _, t := range s.tasks {
		switch {
		case !t.active || !r.Worker.Present:
		case listed[t.key.Task]:
			t.worker = r.Worker.Boot
		case t.worker != r.Worker.Boot, t.conclusive >= 0 && r.Version >= t.conclusive:
			s.lose(t)
		}
	}
	s.daemon.table.applyEndsAck(r.Worker.Boot, int64(last))
}

// excludeResolved excludes the tasks whose order an incarnation that has ended would have
// refused. The next one has seen no token, and nothing rules out that it carries the order out.
func (s *livesSim) excludeResolved() {
	for _, t := range s.tasks {
		t.excluded = t.excluded || s.daemon.table.runs[t.key] == nil
	}
}

// restart ends the incarnation.
func (s *livesSim) restart() {
	s.startedAt += 1000
	s.token, s.running, s.ended, s.lastEndNumber, s.highest = 0, nil, nil, 0, map[string]int{}
	s.excludeResolved()
}

// TestRestartsUnderOneID guards against interleavings of restarts, late orders and answers in
// which a run counts as lost although the worker runs it or runs it later.
func TestRestartsUnderOneID(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		s := &livesSim{t: rt, startedAt: 1000, highest: map[string]int{}, entered: make(chan *simStatus)}
		s.daemon = newDaemon(Config{Name: "vm", Worker: s})
		s.daemon.session.follow(1, 1, "planner", &rpc.Conn{})
		defer func() {
			for len(s.statuses) > 0 {
				s.statuses[0].err = worker.ErrOutcomeUnknown
				s.answer(s.statuses[0])
			}
			s.daemon.log.Close()
			s.daemon.pool.Close()
		}()
		identify(s.daemon.table, s.announcement())
		table := s.daemon.table
		anyStatus := func(rt *rapid.T) *simStatus {
			if len(s.statuses) == 0 {
				rt.Skip()
			}
			return s.statuses[rapid.IntRange(0, len(s.statuses)-1).Draw(rt, "status")]
		}
		exchange := func(*rapid.T) {
			s.call()
			c := s.statuses[len(s.statuses)-1]
			s.read(c)
			s.answer(c)
		}
		rt.Repeat(map[string]func(*rapid.T){
			"announce":  func(*rapid.T) { table.applyAnnouncement(s.announcement()); table.lease = time.Minute },
			"exchange":  exchange,
			"exchange2": exchange,
			"call": func(rt *rapid.T) {
				if len(s.statuses) > 3 {
					rt.Skip()
				}
				s.call()
			},
			"read": func(rt *rapid.T) {
				if c := anyStatus(rt); !c.executed {
					s.read(c)
				}
			},
			"answer": func(rt *rapid.T) {
				c := anyStatus(rt)
				if !c.executed {
					rt.Skip()
				}
				s.answer(c)
			},
			"fail": func(rt *rapid.T) {
				c := anyStatus(rt)
				c.status, c.reply, c.err = worker.Status{}, worker.Reply{}, worker.ErrOutcomeUnknown
				s.answer(c)
			},
			"start":  func(*rapid.T) { s.start() },
			"start2": func(*rapid.T) { s.start() },
			"late": func(rt *rapid.T) {
				if len(s.late) == 0 {
					rt.Skip()
				}
				n := rapid.IntRange(0, len(s.late)-1).Draw(rt, "late")
				r := s.late[n]
				s.late = slices.Delete(s.late, n, n+1)
				s.execute(r)
			},
			"end": func(rt *rapid.T) {
				if len(s.running) == 0 {
					rt.Skip()
				}
				r := s.running[0]
				s.running = s.running[1:]
				s.lastEndNumber++
				s.highest[r.Task] = r.Number
				s.ended = append(s.ended, worker.Ended{EndNumber: s.lastEndNumber, Run: r, Reason: worker.EndDone})
			},
			"report":  func(*rapid.T) { s.report() },
			"restart": func(*rapid.T) { s.restart() },
		})
	})
}
