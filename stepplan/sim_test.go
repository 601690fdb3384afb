package stepplan

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"celerypoint.example/celerypoint/access"
	"celerypoint.example/celerypoint/lease"
	"celerypoint.example/celerypoint/stepfold"
	"celerypoint.example/celerypoint/steps"
	"celerypoint.example/celerypoint/worker"
)

// The simulation plays a board against workers with everything that can happen
// between them, and checks after each event what must always hold: no task runs
// twice at once or after its success was stored, no worker is over its
// capacity, and a job is completed only when all its tasks have succeeded.

const (
	simGrant    = 5 * time.Second
	simVMs      = 3
	simAttempts = 3
)

var simCapacity = steps.Resources{CPU: 8000, MemMB: 8000, GPUs: 8}

// simRun is a run on a worker.
type simRun struct {
	run   int
	gpus  int
	until time.Time
	fails bool
}

// simWorker is a worker and the agent beside it.
type simWorker struct {
	name     string
	life     int
	deadline time.Time
	running  map[string]simRun
	ends     []worker.Ended
	last     int64
	highest  map[string]int
	// cut says that the planner does not reach the agent.
	cut bool
	// session is the one that the agent follows, 0 for none.
	session int
	version int
	// unsettled are orders that may be carried out at a later time.
	unsettled []simOrder
	draining  bool
}

type simOrder struct {
	order StartOrder
	// deadline is the lease at the time of the order; a worker refuses an order
	// that it carries out later.
	deadline time.Time
}

type sim struct {
	t       *rapid.T
	now     time.Time
	board   *Scheduler
	workers []*simWorker
	stored  map[string]stepfold.Progress
	jobs    map[string]steps.Job
	// cancelled holds the jobs that were cancelled.
	cancelled map[string]bool
	// succeeded holds tasks of which a worker listed a success.
	succeeded map[string]bool
	session   int
}

func (w *simWorker) lifeName() string { return fmt.Sprintf("%s/%d", w.name, w.life) }

func newSim(t *rapid.T) *sim {
	s := &sim{t: t, now: time.Unix(1000, 0), stored: map[string]stepfold.Progress{}, jobs: map[string]steps.Job{}, cancelled: map[string]bool{}, succeeded: map[string]bool{}}
	for i := range simVMs {
		s.workers = append(s.workers, &simWorker{name: fmt.Sprintf("vm%d", i), running: map[string]simRun{}, highest: map[string]int{}})
	}
	s.board = s.newBoard()
	return s
}

func (s *sim) newBoard() *Scheduler {
	b := New(Timing{LeaseDuration: simGrant, KeepStatus: time.Minute, MaxStopTime: time.Second, MaxReclaimTime: 3 * time.Second, FarFactor: 3})
	b.Configure(access.Config{
		Queues: []access.Queue{
			{Name: "urgent", Service: "s", MaxAttempts: simAttempts, LatencyFactor: 1.5},
			{Name: "normal", Service: "s", Priority: 1, MaxAttempts: simAttempts, LatencyFactor: 3},
		},
		Orgs: []access.Org{{Name: "a", Guaranteed: steps.Resources{GPUs: 16}}, {Name: "b", Guaranteed: steps.Resources{GPUs: 8}}},
	})
	return b
}

// accept hands a job in.
func (s *sim) accept() {
	id := fmt.Sprintf("%016x", len(s.jobs))
	j := steps.Job{
		ID: id, Queue: rapid.SampledFrom([]string{"urgent", "normal"}).Draw(s.t, "queue"), Org: rapid.SampledFrom([]string{"a", "b"}).Draw(s.t, "org"),
		AcceptedAt: s.now,
	}
	n := rapid.IntRange(1, 2).Draw(s.t, "steps")
	for i := range n {
		step := steps.Step{
			Count: rapid.IntRange(1, 3).Draw(s.t, "count"), Needs: steps.Resources{CPU: 1000, MemMB: 1000, GPUs: rapid.SampledFrom([]int{1, 2, 4, 8}).Draw(s.t, "gpus")},
			Estimate: time.Second, Gang: rapid.Bool().Draw(s.t, "gang"), Checkpointing: rapid.Bool().Draw(s.t, "checkpointing"),
		}
		if i > 0 {
			step.After = []int{0}
		}
		j.Steps = append(j.Steps, step)
	}
	s.jobs[id] = j
	s.board.AddJob(j, s.now)
}

// pass plans, stores and sends.
func (s *sim) pass() {
	s.board.ExpireLeases(s.now)
	s.board.Plan(s.now)
	s.sendStops()
	o := s.board.TakeOutput(s.now)
	for _, p := range o.Progress {
		s.store(p)
	}
	for _, order := range o.Orders {
		switch order := order.(type) {
		case StartOrder:
			s.send(order)
		case EndsAck:
			w := s.worker(order.Agent)
			if !w.cut && order.Worker == w.lifeName() {
				w.ends = slices.DeleteFunc(w.ends, func(e worker.Ended) bool { return e.EndNumber <= order.LastNumber })
			}
		}
	}
}

// store keeps the newest progress, which is also where a phase is shown from.
func (s *sim) store(p stepfold.Progressed) {
	s.stored[p.ID] = p.Progress
	if p.Progress.Phase != stepfold.PhaseCompleted {
		return
	}
	for i, step := range s.jobs[p.ID].Steps {
		for k := range step.Count {
			id := steps.TaskID{Job: p.ID, Step: i, Index: k}
			if !s.succeeded[s.successKey(id)] {
				s.t.Fatalf("job %s is shown as completed, but %s never succeeded", p.ID, id)
			}
		}
	}
}

// successKey is the same for all members of a gang, which succeed together.
func (s *sim) successKey(id steps.TaskID) string {
	if s.jobs[id.Job].Steps[id.Step].Gang {
		id.Index = 0
	}
	return id.String()
}

func (s *sim) worker(name string) *simWorker {
	return s.workers[slices.IndexFunc(s.workers, func(w *simWorker) bool { return w.name == name })]
}

// send carries an order to its agent, with or without an answer.
func (s *sim) send(o StartOrder) {
	if !s.board.StartWanted(o) {
		s.board.StartWithdrawn(o, "given up", s.now)
		return
	}
	w := s.worker(o.Agent)
	if w.cut || w.session != o.Session {
		s.lost(w)
		return
	}
	if o.Worker != w.lifeName() {
		w.version++
		s.board.StartRefused(o, "other worker", s.now)
		return
	}
	switch rapid.IntRange(0, 5).Draw(s.t, "order") {
	case 0:
		// The order is on its way for long; the agent reports it as unsettled.
		w.unsettled = append(w.unsettled, simOrder{o, w.deadline})
		w.version++
		s.board.StartAnswered(o, w.version, false)
	case 1:
		// The order is carried out, but the answer is lost with the session.
		s.start(w, o)
		s.lost(w)
	case 2:
		w.version++
		s.board.StartRefused(o, "unhealthy", s.now)
	default:
		s.start(w, o)
		s.board.StartAnswered(o, w.version, true)
	}
}

func (s *sim) lost(w *simWorker) {
	s.board.AgentDetached(w.name, w.session)
	w.session = 0
}

// start carries an order out, and checks what must always hold.
func (s *sim) start(w *simWorker, o StartOrder) {
	name := o.Task.String()
	if o.Run <= w.highest[name] {
		return
	}
	if s.stored[o.Task.Job].Tasks[steps.TaskID{Step: o.Task.Step, Index: o.Task.Index}].Done {
		s.t.Fatalf("%s starts again after its success was stored", name)
	}
	for _, other := range s.workers {
		if r, found := other.running[name]; found {
			s.t.Fatalf("%s run %d starts on %s while run %d goes on on %s", name, o.Run, w.name, r.run, other.name)
		}
	}
	step := s.jobs[o.Task.Job].Steps[o.Task.Step]
	for _, a := range step.After {
		for k := range s.jobs[o.Task.Job].Steps[a].Count {
			if id := (steps.TaskID{Job: o.Task.Job, Step: a, Index: k}); !s.succeeded[s.successKey(id)] {
				s.t.Fatalf("%s starts before %s", name, id)
			}
		}
	}
	w.version++
	w.running[name] = simRun{
		run: o.Run, gpus: step.Needs.GPUs, until: s.now.Add(time.Duration(rapid.IntRange(100, 3000).Draw(s.t, "workMs")) * time.Millisecond),
		fails: rapid.IntRange(0, 5).Draw(s.t, "fails") == 0,
	}
	used := 0
	for _, r := range w.running {
		used += r.gpus
	}
	if used > simCapacity.GPUs {
		s.t.Fatalf("%s runs tasks of %d accelerators, it has %d", w.name, used, simCapacity.GPUs)
	}
}

func (s *sim) sendStops() {
	for _, o := range s.board.TakeStops() {
		w := s.worker(o.Agent)
		if w.cut || w.session != o.Session || o.Worker != w.lifeName() || rapid.IntRange(0, 3).Draw(s.t, "stopLost") == 0 {
			continue
		}
		name := o.Task.String()
		w.highest[name] = max(w.highest[name], o.Run)
		if r, found := w.running[name]; found && r.run == o.Run {
			s.end(w, name, worker.EndStopped)
		}
	}
}

func (s *sim) end(w *simWorker, name string, how worker.EndReason) {
	r := w.running[name]
	delete(w.running, name)
	w.highest[name] = max(w.highest[name], r.run)
	w.last++
	w.version++
	w.ends = append(w.ends, worker.Ended{EndNumber: w.last, Run: worker.Run{Task: name, Number: r.run}, Reason: how})
}

// advance lets time pass: runs end, and lapse where no lease was extended.
func (s *sim) advance(d time.Duration) {
	s.now = s.now.Add(d)
	for _, w := range s.workers {
		names := make([]string, 0, len(w.running))
		for name := range w.running {
			names = append(names, name)
		}
		slices.Sort(names)
		for _, name := range names {
			r, found := w.running[name]
			switch {
			case !found:
			case s.now.After(w.deadline):
				s.end(w, name, worker.EndLeaseExpired)
			case !s.now.Before(r.until) && r.fails:
				s.end(w, name, worker.EndFailed)
				s.breakGang(name, r.run)
			case !s.now.Before(r.until):
				s.succeed(w, name, r.run)
			}
		}
	}
}

// succeed ends a run, and those of its gang with it.
func (s *sim) succeed(w *simWorker, name string, run int) {
	id, err := steps.ParseTaskID(name)
	if err != nil {
		s.t.Fatal(err)
	}
	if !s.jobs[id.Job].Steps[id.Step].Gang {
		s.succeeded[s.successKey(id)] = true
		s.end(w, name, worker.EndDone)
		return
	}
	present := 0
	s.members(id, run, func(*simWorker, string) { present++ })
	if present < s.jobs[id.Job].Steps[id.Step].Count {
		return
	}
	s.succeeded[s.successKey(id)] = true
	s.members(id, run, func(m *simWorker, member string) { s.end(m, member, worker.EndDone) })
}

func (s *sim) breakGang(name string, run int) {
	id, err := steps.ParseTaskID(name)
	if err != nil || !s.jobs[id.Job].Steps[id.Step].Gang {
		return
	}
	s.members(id, run, func(m *simWorker, member string) { s.end(m, member, worker.EndGangMemberEnded) })
}

func (s *sim) members(id steps.TaskID, run int, f func(*simWorker, string)) {
	for k := range s.jobs[id.Job].Steps[id.Step].Count {
		id.Index = k
		for _, w := range s.workers {
			if r, found := w.running[id.String()]; found && r.run == run {
				f(w, id.String())
			}
		}
	}
}

// report has an agent report and extend its worker's lease.
func (s *sim) report(w *simWorker) {
	if w.cut {
		return
	}
	if w.session == 0 {
		s.session++
		w.session = s.session
		s.board.AgentAttached(w.name, w.session)
	}
	// The agent raises its fence before it gives an order up, so that the
	// orders that it still names as unsettled may be carried out, others not.
	r := Report{
		Agent: w.name, Session: w.session, Version: w.version, WorkerPresent: true, Worker: w.lifeName(), Service: "s", Rack: w.name,
		Capacity: simCapacity, Draining: w.draining, RemainingMs: 5000, Ended: slices.Clone(w.ends),
	}
	for name, run := range w.running {
		r.Running = append(r.Running, RunningTask{Running: worker.Running{Run: worker.Run{Task: name, Number: run.run}}})
	}
	for _, o := range w.unsettled {
		if _, found := w.running[o.order.Task.String()]; !found {
			r.Running = append(r.Running, RunningTask{Running: worker.Running{Run: worker.Run{Task: o.order.Task.String(), Number: o.order.Run}}, StartUnconfirmed: true})
		}
	}
	s.board.HandleReport(r, s.now)
	s.board.LeaseGranted(w.name, s.now)
	w.deadline = s.now.Add(simGrant)
	s.sendStops()
}

// settle carries out, or fences off, the orders that a worker has not answered.
func (s *sim) settle(w *simWorker) {
	w.version++
	for _, o := range w.unsettled {
		if rapid.Bool().Draw(s.t, "carriedOut") && o.order.Worker == w.lifeName() && !s.now.After(o.deadline) {
			s.start(w, o.order)
		}
	}
	w.unsettled = nil
}

// crash begins a new life of a worker.
func (s *sim) crash(w *simWorker) {
	for name, r := range w.running {
		s.breakGang(name, r.run)
	}
	w.life++
	w.running, w.ends, w.last = map[string]simRun{}, nil, 0
	w.highest, w.unsettled, w.draining = map[string]int{}, nil, false
	w.version++
}

// takeOver lets another planner begin from what is stored.
func (s *sim) takeOver() {
	s.board = s.newBoard()
	inherited := lease.EarlierTermsExpireBy(s.now, simGrant)
	for id, j := range s.jobs {
		s.board.RestoreJob(stepfold.JobState{Job: &j, Progress: s.stored[id], Cancelled: s.cancelled[id]}, inherited, s.now)
	}
	for _, w := range s.workers {
		w.session = 0
	}
}

// Guards against every interleaving of lost orders and answers, late orders,
// cuts, crashes, restarts and takeovers that makes a task run twice, start
// after its success, overfill a worker, or be counted as done when it is not.
func TestBoardUnderFaults(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		s := newSim(rt)
		anyWorker := func(rt *rapid.T) *simWorker {
			return s.workers[rapid.IntRange(0, simVMs-1).Draw(rt, "vm")]
		}
		rt.Repeat(map[string]func(*rapid.T){
			"accept": func(*rapid.T) {
				if len(s.jobs) < 12 {
					s.accept()
				}
			},
			"pass":  func(*rapid.T) { s.pass() },
			"pass2": func(*rapid.T) { s.pass() },
			"advance": func(rt *rapid.T) {
				s.advance(time.Duration(rapid.IntRange(10, 900).Draw(rt, "ms")) * time.Millisecond)
			},
			"advanceLong": func(rt *rapid.T) {
				s.advance(time.Duration(rapid.IntRange(2, 20).Draw(rt, "s")) * time.Second)
			},
			"report": func(rt *rapid.T) { s.report(anyWorker(rt)) },
			"reportAll": func(*rapid.T) {
				for _, w := range s.workers {
					s.report(w)
				}
			},
			"cut":    func(rt *rapid.T) { w := anyWorker(rt); w.cut = true; s.lost(w) },
			"heal":   func(rt *rapid.T) { anyWorker(rt).cut = false },
			"settle": func(rt *rapid.T) { s.settle(anyWorker(rt)) },
			"crash":  func(rt *rapid.T) { s.crash(anyWorker(rt)) },
			"drain":  func(rt *rapid.T) { anyWorker(rt).draining = true },
			"cancel": func(rt *rapid.T) {
				if len(s.jobs) > 0 {
					id := fmt.Sprintf("%016x", rapid.IntRange(0, len(s.jobs)-1).Draw(rt, "job"))
					s.cancelled[id] = true
					s.board.Cancel(id, s.now)
				}
			},
			"takeOver": func(*rapid.T) { s.takeOver() },
			"":         func(*rapid.T) {},
		})
	})
}
