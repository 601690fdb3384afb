package stepplan

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"celerypoint.example/celerypoint/access"
	"celerypoint.example/celerypoint/crashes"
	"celerypoint.example/celerypoint/lease"
	"celerypoint.example/celerypoint/stepfold"
	"celerypoint.example/celerypoint/steps"
	"celerypoint.example/celerypoint/worker"
)

// The simulation runs a Scheduler against simulated workers and injects faults
// between them. It checks these invariants: no task has two executing runs, no
// task starts after its success was stored or before the tasks that it depends on
// have succeeded, no worker exceeds its capacity, and a job is stored as
// completed only when all its tasks have succeeded. A task that crashes its workers is
// started at most maxCrashingStarts times, not counting starts whose agent stopped before
// it had reported the crash. A job is stored as failed only after failures of one of its
// tasks, or ends and long absences of the workers that had it.

const (
	simLeaseDuration = 5 * time.Second
	simVMs           = 3
	// simReportInterval is the time between two reports of an agent.
	simReportInterval = 400 * time.Millisecond
	simMaxAttempts    = 3
	// maxCrashingStarts is the platform's bound: less than three further starts after
	// three crashes.
	maxCrashingStarts = 5
)

var simCapacity = steps.Resources{CPU: 8000, MemMB: 8000, GPUs: 8}

// simRun is a run that executes on a worker.
type simRun struct {
	run    int
	gpus   int
	endsAt time.Time
	fails  bool
}

// simWorker is a worker together with the agent on its VM.
type simWorker struct {
	name string
	// restarts is the part of the incarnation's ID that changes with a restart.
	restarts int
	// deadline is the end of the worker's lease.
	deadline time.Time
	// running holds the runs in progress, by task name.
	running map[string]simRun
	// ends holds the ended runs that no EndsAck has covered yet.
	ends          []worker.Ended
	lastEndNumber int64
	// highestRun holds the highest run number of each task that ended or was
	// ordered to stop, by task name. The worker starts no run up to it.
	highestRun map[string]int
	// unreachable says that the planner cannot reach the agent.
	unreachable bool
	// session is the number of the agent's current session, 0 for none.
	session int
	// version is the agent's Report.Version.
	version int
	// unconfirmed holds start orders that the worker may still carry out.
	unconfirmed []simOrder
	draining    bool
	// lastSeen is the agent's newest report from before its calls to the worker began to
	// fail, nil while they are answered. The worker goes on meanwhile, or crashes unseen.
	lastSeen *Report
	// leaseRequestedAt is when the agent last requested a lease, or when its process began.
	leaseRequestedAt time.Time
	// lostAt is when the calls began to fail, and lostRuns holds the names of the tasks that
	// the worker had then.
	lostAt   time.Time
	lostRuns []string
	// former holds the incarnations whose crash the agent has noticed. The first reported
	// of them are known to the planner, and what follows from the first stored is stored.
	former           []FormerWorker
	reported, stored int
}

type simOrder struct {
	order StartOrder
	// deadline is the end of the worker's lease when the order was sent. The
	// worker refuses to carry out the order after it.
	deadline time.Time
}

type sim struct {
	t              *rapid.T
	now            time.Time
	scheduler      *Scheduler
	workers        []*simWorker
	storedProgress map[string]stepfold.Progress
	jobs           map[string]steps.Job
	// cancelled holds the IDs of the cancelled jobs.
	cancelled map[string]bool
	// succeeded holds the successKey of each task that has succeeded on a worker.
	// All members of a gang have the same key.
	succeeded map[string]bool
	session   int
	// earlierTermsGrantUntil is when a planner that was replaced grants no lease any more.
	// It goes on granting to the agents that have not attached to its successor, and to
	// those that have restarted since.
	earlierTermsGrantUntil time.Time
	// crashing holds the tasks that crash each worker that starts them, with the number
	// of starts that their agents may have reported.
	crashing map[string]int
	// causes counts what can fail a job, by the successKey of its task.
	causes map[string]int
	// allCrash says that the first task of each job is one of them, noFaults that no run
	// fails or crashes its worker.
	allCrash, noFaults bool
}

func (w *simWorker) incarnationID() string { return fmt.Sprintf("%s/%d", w.name, w.restarts) }

func newSim(t *rapid.T) *sim {
	s := &sim{t: t, now: time.Unix(1000, 0), storedProgress: map[string]stepfold.Progress{}, jobs: map[string]steps.Job{}, cancelled: map[string]bool{}, succeeded: map[string]bool{}, crashing: map[string]int{}, causes: map[string]int{}}
	for i := range simVMs {
		s.workers = append(s.workers, &simWorker{leaseRequestedAt: s.now, name: fmt.Sprintf("vm%d", i), running: map[string]simRun{}, highestRun: map[string]int{}})
	}
	s.scheduler = s.newScheduler()
	return s
}

func (s *sim) newScheduler() *Scheduler {
	sc := New(Timing{LeaseDuration: simLeaseDuration, KeepStatus: time.Minute, MaxStopTime: time.Second, MaxReclaimTime: 3 * time.Second, FarFactor: 3})
	sc.Configure(access.Config{
		Queues: []access.Queue{
			{Name: "urgent", Service: "s", MaxAttempts: simMaxAttempts, LatencyFactor: 1.5},
			{Name: "normal", Service: "s", Priority: 1, MaxAttempts: simMaxAttempts, LatencyFactor: 3},
		},
		Orgs: []access.Org{{Name: "a", Guaranteed: steps.Resources{GPUs: 16}}, {Name: "b", Guaranteed: steps.Resources{GPUs: 8}}},
	})
	return sc
}

// submitJob adds a random job.
func (s *sim) submitJob() {
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
	if s.allCrash || !s.noFaults && rapid.IntRange(0, 3).Draw(s.t, "crashing") == 0 {
		s.crashing[steps.TaskID{Job: id}.String()] = 0
	}
	s.jobs[id] = j
	s.scheduler.AddJob(j, s.now)
}

// runPass plans, stores the progress and sends the orders.
func (s *sim) runPass() {
	s.scheduler.ExpireLeases(s.now)
	s.scheduler.Plan(s.now)
	s.sendStops()
	o := s.scheduler.TakeOutput(s.now)
	for _, p := range o.Progress {
		s.store(p)
	}
	for _, w := range s.workers {
		w.stored = w.reported
	}
	for _, order := range o.Orders {
		switch order := order.(type) {
		case StartOrder:
			s.send(order)
		case EndsAck:
			w := s.worker(order.Agent)
			if !w.unreachable && w.lastSeen == nil && order.Worker == w.incarnationID() {
				w.ends = slices.DeleteFunc(w.ends, func(e worker.Ended) bool { return e.EndNumber <= order.LastNumber })
			}
		}
	}
}

// store stores the newest progress of a job, which is also the source of the
// phase that callers see. It checks that all tasks of a completed job have succeeded.
func (s *sim) store(p stepfold.Progressed) {
	s.storedProgress[p.ID] = p.Progress
	if p.Progress.Phase == stepfold.PhaseFailed {
		s.checkFailed(p.ID)
	}
	if p.Progress.Phase != stepfold.PhaseCompleted {
		return
	}
	for i, step := range s.jobs[p.ID].Steps {
		for k := range step.Count {
			id := steps.TaskID{Job: p.ID, Step: i, Index: k}
			if !s.succeeded[s.successKey(id)] {
				s.t.Fatalf("job %s is stored as completed, but %s never succeeded", p.ID, id)
			}
		}
	}
}

// checkFailed checks that a failed job has a task with as many failures and losses as the
// fewest that fail a job.
func (s *sim) checkFailed(job string) {
	most := 0
	for i, step := range s.jobs[job].Steps {
		for k := range step.Count {
			id := steps.TaskID{Job: job, Step: i, Index: k}
			n := s.causes[s.successKey(id)]
			for _, w := range s.workers {
				if w.lastSeen != nil && s.now.Sub(w.lostAt) >= maxAbsence && slices.Contains(w.lostRuns, id.String()) {
					n++
				}
			}
			most = max(most, n)
		}
	}
	if most < min(simMaxAttempts, crashes.Limit) {
		s.t.Fatalf("job %s is stored as failed after %d failures, crashes and long absences", job, most)
	}
}

// addCause counts a cause for which the job of the named task may fail.
func (s *sim) addCause(name string) {
	if id, err := steps.ParseTaskID(name); err == nil {
		s.causes[s.successKey(id)]++
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

// send delivers an order to its agent. The order or its answer may be delayed or
// lost.
func (s *sim) send(o StartOrder) {
	if !s.scheduler.StartWanted(o, s.now) {
		s.scheduler.StartWithdrawn(o, "given up", s.now)
		return
	}
	w := s.worker(o.Agent)
	if w.unreachable || w.session != o.Session {
		s.disconnect(w)
		return
	}
	if o.Worker != w.incarnationID() || w.lastSeen != nil {
		w.version++
		s.scheduler.StartRefused(o, "other worker or none that answers", s.now)
		return
	}
	switch rapid.IntRange(0, 5).Draw(s.t, "order") {
	case 0:
		// The worker does not answer in time, so the agent reports the start as
		// unconfirmed.
		w.unconfirmed = append(w.unconfirmed, simOrder{o, w.deadline})
		w.version++
		s.scheduler.StartAnswered(o, w.version, false)
	case 1:
		// The order is carried out, but the answer is lost with the session.
		s.start(w, o)
		s.disconnect(w)
	case 2:
		w.version++
		s.scheduler.StartRefused(o, "unhealthy", s.now)
	default:
		s.start(w, o)
		if o.Worker != w.incarnationID() {
			s.scheduler.StartRefused(o, "otherWorker", s.now)
			return
		}
		s.scheduler.StartAnswered(o, w.version, true)
	}
}

func (s *sim) disconnect(w *simWorker) {
	s.scheduler.AgentDetached(w.name, w.session)
	w.session = 0
}

// start carries out an order on the worker, unless the run number is too low, and
// checks the invariants on starts.
func (s *sim) start(w *simWorker, o StartOrder) {
	name := o.Task.String()
	if o.Run <= w.highestRun[name] {
		return
	}
	if s.storedProgress[o.Task.Job].Tasks[steps.TaskID{Step: o.Task.Step, Index: o.Task.Index}].Done {
		s.t.Fatalf("%s starts again after its success was stored", name)
	}
	for _, other := range s.workers {
		if r, found := other.running[name]; found {
			s.t.Fatalf("%s run %d starts on %s while run %d is still executing on %s", name, o.Run, w.name, r.run, other.name)
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
	work := time.Minute
	if !s.noFaults {
		work = time.Duration(rapid.IntRange(100, 3000).Draw(s.t, "workMs")) * time.Millisecond
	}
	w.running[name] = simRun{
		run: o.Run, gpus: step.Needs.GPUs, endsAt: s.now.Add(work),
		fails: !s.noFaults && rapid.IntRange(0, 5).Draw(s.t, "fails") == 0,
	}
	used := 0
	for _, r := range w.running {
		used += r.gpus
	}
	if used > simCapacity.GPUs {
		s.t.Fatalf("%s runs tasks that need %d accelerators, but it has %d", w.name, used, simCapacity.GPUs)
	}
	if n, found := s.crashing[name]; found {
		s.crashing[name] = n + 1
		if n+1 > maxCrashingStarts {
			s.t.Fatalf("%s is started %d times, and each start crashed a worker", name, n+1)
		}
		s.crash(w)
	}
}

func (s *sim) sendStops() {
	for _, o := range s.scheduler.TakeStops() {
		w := s.worker(o.Agent)
		if w.unreachable || w.lastSeen != nil || w.session != o.Session || o.Worker != w.incarnationID() || rapid.IntRange(0, 3).Draw(s.t, "stopLost") == 0 {
			continue
		}
		name := o.Task.String()
		w.highestRun[name] = max(w.highestRun[name], o.Run)
		if r, found := w.running[name]; found && r.run == o.Run {
			s.end(w, name, worker.EndStopped)
		}
	}
}

// end ends a run on the worker, which then reports the end.
func (s *sim) end(w *simWorker, name string, how worker.EndReason) {
	r := w.running[name]
	delete(w.running, name)
	w.highestRun[name] = max(w.highestRun[name], r.run)
	w.lastEndNumber++
	w.version++
	w.ends = append(w.ends, worker.Ended{EndNumber: w.lastEndNumber, Run: worker.Run{Task: name, Number: r.run}, Reason: how})
}

// advance lets time pass. Runs end when their work is done or when the worker's
// lease has expired.
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
			case !s.now.Before(r.endsAt) && r.fails:
				s.addCause(name)
				s.end(w, name, worker.EndFailed)
				s.breakGang(name, r.run)
			case !s.now.Before(r.endsAt):
				s.succeed(w, name, r.run)
			}
		}
	}
}

// succeed ends a run as done. The members of a gang end together, and only if all
// of them are running.
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
	s.forEachMember(id, run, func(*simWorker, string) { present++ })
	if present < s.jobs[id.Job].Steps[id.Step].Count {
		return
	}
	s.succeeded[s.successKey(id)] = true
	s.forEachMember(id, run, func(m *simWorker, member string) { s.end(m, member, worker.EndDone) })
}

// breakGang ends the runs with the given number of all members of a task's gang,
// after one of them has ended without success. It does nothing for a task outside
// a gang.
func (s *sim) breakGang(name string, run int) {
	id, err := steps.ParseTaskID(name)
	if err != nil || !s.jobs[id.Job].Steps[id.Step].Gang {
		return
	}
	s.forEachMember(id, run, func(m *simWorker, member string) { s.end(m, member, worker.EndGangMemberEnded) })
}

// forEachMember calls f for each member of the task's gang whose run with the given
// number is still in progress.
func (s *sim) forEachMember(id steps.TaskID, run int, f func(*simWorker, string)) {
	for k := range s.jobs[id.Job].Steps[id.Step].Count {
		id.Index = k
		for _, w := range s.workers {
			if r, found := w.running[id.String()]; found && r.run == run {
				f(w, id.String())
			}
		}
	}
}

// report makes an agent report, beginning a session if there is none, and extends
// its worker's lease.
func (s *sim) report(w *simWorker) {
	if w.unreachable {
		return
	}
	if w.session == 0 {
		s.session++
		w.session = s.session
		s.scheduler.AgentAttached(w.name, w.session)
	}
	// A real agent (package stepagent) lists a run whose start order the worker has
	// not answered as unconfirmed, until a status of the worker lists the run or the
	// worker has seen a higher fencing token. With a higher token the worker refuses
	// the order. In the simulation, too, the worker can carry out such an order only
	// while the agent reports it as unconfirmed.
	if w.lastSeen != nil {
		r := *w.lastSeen
		r.Session, r.Version, r.Unhealthy, r.Unreachable, r.LeaseAge = w.session, w.version, true, true, s.now.Sub(w.leaseRequestedAt)
		s.scheduler.HandleReport(r, s.now)
		s.sendStops()
		return
	}
	s.scheduler.HandleReport(w.buildReport(), s.now)
	w.reported = len(w.former)
	s.scheduler.LeaseGranted(w.name, s.now)
	w.extendLease(s.now)
	s.sendStops()
}

// extendLease grants a lease that the agent has requested now.
func (w *simWorker) extendLease(now time.Time) {
	w.leaseRequestedAt, w.deadline = now, now.Add(simLeaseDuration)
}

// reportToEarlierPlanner has an agent without a session request a lease from a planner that
// was replaced, if that may still grant one.
func (s *sim) reportToEarlierPlanner(w *simWorker) {
	if w.session != 0 || w.lastSeen != nil || !s.now.Before(s.earlierTermsGrantUntil) {
		return
	}
	w.extendLease(s.now)
}

// buildReport returns what the agent knows of a worker that answers its calls.
func (w *simWorker) buildReport() Report {
	r := Report{
		Agent: w.name, Session: w.session, Version: w.version, WorkerPresent: true, Worker: w.incarnationID(), Service: "s", Rack: w.name,
		Capacity: simCapacity, Draining: w.draining, RemainingMs: 5000, Ended: slices.Clone(w.ends), Former: slices.Clone(w.former),
	}
	for name, run := range w.running {
		r.Running = append(r.Running, RunningTask{Running: worker.Running{Run: worker.Run{Task: name, Number: run.run}}})
	}
	for _, o := range w.unconfirmed {
		if _, found := w.running[o.order.Task.String()]; !found {
			r.Running = append(r.Running, RunningTask{Running: worker.Running{Run: worker.Run{Task: o.order.Task.String(), Number: o.order.Run}}, StartUnconfirmed: true})
		}
	}
	return r
}

// loseWorker makes all calls of the agent to its worker fail.
func (s *sim) loseWorker(w *simWorker) {
	if w.lastSeen == nil {
		w.version++
		r := w.buildReport()
		w.lastSeen, w.lostAt, w.lostRuns = &r, s.now, nil
		for _, run := range r.Running {
			w.lostRuns = append(w.lostRuns, run.Task)
		}
	}
}

// findWorker ends loseWorker.
func (s *sim) findWorker(w *simWorker) {
	if w.lastSeen == nil {
		return
	}
	if s.now.Sub(w.lostAt) >= maxAbsence {
		for _, name := range w.lostRuns {
			s.addCause(name)
		}
	}
	w.lastSeen = nil
	w.version++
}

// resolveUnconfirmed decides each order that the worker has not answered: it is
// either carried out now or never.
func (s *sim) resolveUnconfirmed(w *simWorker) {
	if w.lastSeen != nil {
		return
	}
	w.version++
	for _, o := range w.unconfirmed {
		if rapid.Bool().Draw(s.t, "carriedOut") && o.order.Worker == w.incarnationID() && !s.now.After(o.deadline) {
			s.start(w, o.order)
		}
	}
	w.unconfirmed = nil
}

// crash restarts a worker, which loses its runs. Its agent keeps what it had. An order that
// the worker has not answered may reach it after the restart.
func (s *sim) crash(w *simWorker) {
	unconfirmed := w.unconfirmed
	defer func() {
		for _, o := range unconfirmed {
			if _, crashes := s.crashing[o.order.Task.String()]; !crashes && rapid.Bool().Draw(s.t, "reachesNextIncarnation") && !s.now.After(o.deadline) {
				s.start(w, o.order)
				f := &w.former[len(w.former)-1]
				f.Running = slices.DeleteFunc(f.Running, func(r FormerRun) bool { return r.Task == o.order.Task.String() })
			}
		}
	}()
	f := FormerWorker{Worker: w.incarnationID(), End: worker.IncarnationCrashed, Ended: w.ends}
	for name, r := range w.running {
		f.Running = append(f.Running, FormerRun{Run: worker.Run{Task: name, Number: r.run}, Age: 100 * time.Millisecond})
	}
	for _, o := range w.unconfirmed {
		f.Running = append(f.Running, FormerRun{Run: worker.Run{Task: o.order.Task.String(), Number: o.order.Run}, Age: 100 * time.Millisecond, Unanswered: true})
	}
	w.former = append(w.former, f)
	for _, r := range f.Running {
		s.addCause(r.Task)
	}
	if w.lastSeen != nil {
		for _, name := range w.lostRuns {
			s.addCause(name)
		}
	}
	for name, r := range w.running {
		s.breakGang(name, r.run)
	}
	w.restarts++
	w.running, w.ends, w.lastEndNumber = map[string]simRun{}, nil, 0
	w.highestRun, w.unconfirmed, w.draining = map[string]int{}, nil, false
	w.version++
}

// restartAgent restarts a worker's agent, which forgets the incarnations that have ended.
func (s *sim) restartAgent(w *simWorker) {
	for _, f := range w.former[w.stored:] {
		for _, r := range f.Running {
			if _, found := s.crashing[r.Task]; found {
				s.crashing[r.Task]--
			}
		}
	}
	w.former, w.reported, w.stored = nil, 0, 0
	w.version, w.unconfirmed, w.leaseRequestedAt = 0, nil, s.now
	if w.lastSeen != nil {
		// An agent that has not found its worker reports none.
		w.lastSeen = &Report{Agent: w.name}
	}
	s.disconnect(w)
}

// takeOver replaces the planner by another that restores the stored progress.
func (s *sim) takeOver() {
	s.scheduler = s.newScheduler()
	grantUntil := s.now.Add(lease.TermValidity)
	if rapid.Bool().Draw(s.t, "ended") {
		// The successor knows that the process of the planner has ended.
		grantUntil = s.now
	}
	s.earlierTermsGrantUntil = later(s.earlierTermsGrantUntil, grantUntil)
	s.scheduler.EarlierLeasesUntil = lease.ExpiresBy(s.earlierTermsGrantUntil, simLeaseDuration)
	for id, j := range s.jobs {
		s.scheduler.RestoreJob(stepfold.JobState{Job: &j, Progress: s.storedProgress[id], Cancelled: s.cancelled[id]}, s.now, s.now)
	}
	for _, w := range s.workers {
		w.session, w.reported = 0, w.stored
	}
}

func (s *sim) anyWorker(rt *rapid.T) *simWorker {
	return s.workers[rapid.IntRange(0, simVMs-1).Draw(rt, "vm")]
}

// reportAndPass lets time pass, has all agents report and runs a planning pass.
func (s *sim) reportAndPass(after time.Duration) {
	s.advance(after)
	for _, w := range s.workers {
		s.report(w)
	}
	s.runPass()
}

// Guards against interleavings of lost orders and answers, late orders, lost
// connections, worker crashes and changes of planner in which a task runs twice
// at once, starts after its success, exceeds the capacity of a worker, or is
// counted as done without a success.
func TestSchedulerUnderFaults(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		s := newSim(rt)
		anyWorker := s.anyWorker
		rt.Repeat(map[string]func(*rapid.T){
			"accept": func(*rapid.T) {
				if len(s.jobs) < 12 {
					s.submitJob()
				}
			},
			"pass":  func(*rapid.T) { s.runPass() },
			"pass2": func(*rapid.T) { s.runPass() },
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
			"cut":    func(rt *rapid.T) { w := anyWorker(rt); w.unreachable = true; s.disconnect(w) },
			"heal":   func(rt *rapid.T) { anyWorker(rt).unreachable = false },
			"settle": func(rt *rapid.T) { s.resolveUnconfirmed(anyWorker(rt)) },
			"crash":  func(rt *rapid.T) { s.crash(anyWorker(rt)) },
			"lose":   func(rt *rapid.T) { s.loseWorker(anyWorker(rt)) },
			"find":   func(rt *rapid.T) { s.findWorker(anyWorker(rt)) },
			"drain":  func(rt *rapid.T) { anyWorker(rt).draining = true },
			"agent":  func(rt *rapid.T) { s.restartAgent(anyWorker(rt)) },
			"former": func(rt *rapid.T) { s.reportToEarlierPlanner(anyWorker(rt)) },
			"cancel": func(rt *rapid.T) {
				if len(s.jobs) > 0 {
					id := fmt.Sprintf("%016x", rapid.IntRange(0, len(s.jobs)-1).Draw(rt, "job"))
					s.cancelled[id] = true
					s.scheduler.Cancel(id, s.now)
				}
			},
			"takeOver": func(*rapid.T) { s.takeOver() },
			"":         func(*rapid.T) {},
		})
	})
}

// Guards against interleavings of crashes with lost answers, silent and restarted agents
// and changes of planner in which a task that crashes its workers is started again and
// again.
func TestCrashingTaskUnderFaults(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		s := newSim(rt)
		s.allCrash = true
		anyWorker := s.anyWorker
		reportAndPass := func(rt *rapid.T) {
			s.reportAndPass(time.Duration(rapid.IntRange(10, 900).Draw(rt, "ms")) * time.Millisecond)
		}
		rt.Repeat(map[string]func(*rapid.T){
			"accept": func(*rapid.T) {
				if len(s.jobs) < 2 {
					s.submitJob()
				}
			},
			"reportAndPass":  reportAndPass,
			"reportAndPass2": reportAndPass,
			"reportAndPass3": reportAndPass,
			"pass":           func(*rapid.T) { s.runPass() },
			"report":         func(rt *rapid.T) { s.report(anyWorker(rt)) },
			"advanceLong":    func(*rapid.T) { s.advance(10 * time.Second) },
			"cut":            func(rt *rapid.T) { w := anyWorker(rt); w.unreachable = true; s.disconnect(w) },
			"heal":           func(rt *rapid.T) { anyWorker(rt).unreachable = false },
			"settle":         func(rt *rapid.T) { s.resolveUnconfirmed(anyWorker(rt)) },
			"crash":          func(rt *rapid.T) { s.crash(anyWorker(rt)) },
			"lose":           func(rt *rapid.T) { s.loseWorker(anyWorker(rt)) },
			"find":           func(rt *rapid.T) { s.findWorker(anyWorker(rt)) },
			"agent":          func(rt *rapid.T) { s.restartAgent(anyWorker(rt)) },
			"former":         func(rt *rapid.T) { s.reportToEarlierPlanner(anyWorker(rt)) },
			"takeOver":       func(*rapid.T) { s.takeOver() },
			"":               func(*rapid.T) {},
		})
	})
}

// Guards against interleavings of cut-offs of workers with restarts of agents and changes of
// planner in which a job fails although no run fails and no worker crashes.
func TestCutOffsUnderFaults(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		s := newSim(rt)
		s.noFaults = true
		anyWorker := s.anyWorker
		reportAndPass := func(*rapid.T) { s.reportAndPass(simReportInterval) }
		rt.Repeat(map[string]func(*rapid.T){
			"accept": func(*rapid.T) {
				if len(s.jobs) < 2 {
					s.submitJob()
				}
			},
			"reportAndPass":  reportAndPass,
			"reportAndPass2": reportAndPass,
			"cutOffs": func(rt *rapid.T) {
				for _, w := range s.workers {
					s.findWorker(w)
				}
				for range 4 {
					reportAndPass(rt)
				}
				for _, w := range s.workers {
					if rapid.IntRange(0, 3).Draw(rt, "cutOff") > 0 {
						s.loseWorker(w)
					}
				}
				for range 20 {
					reportAndPass(rt)
				}
			},
			"lose":  func(rt *rapid.T) { s.loseWorker(anyWorker(rt)) },
			"find":  func(rt *rapid.T) { s.findWorker(anyWorker(rt)) },
			"agent": func(rt *rapid.T) { s.restartAgent(anyWorker(rt)) },
			"takeOver": func(rt *rapid.T) {
				if rapid.IntRange(0, 4).Draw(rt, "takeOver") == 0 {
					s.takeOver()
				}
			},
			"": func(*rapid.T) {},
		})
	})
}

// Guards against hand-overs in which a run starts while an earlier planner, which was only
// paused or cut off, keeps an earlier run active through an agent that still follows it.
func TestHandOverUnderFaults(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		s := newSim(rt)
		s.noFaults = true
		reportAndPass := func() { s.reportAndPass(simReportInterval) }
		handOver := func(*rapid.T) {
			for _, w := range s.workers {
				w.unreachable = rapid.Bool().Draw(rt, "unreachable")
			}
			s.takeOver()
			for range rapid.SampledFrom([]int{1, 5, 15, 25}).Draw(rt, "rounds") {
				reportAndPass()
				for _, w := range s.workers {
					switch event := rapid.IntRange(0, 19).Draw(rt, "event"); {
					case event == 19:
						// A restarted agent may follow the earlier planner again.
						w.unreachable = true
						s.restartAgent(w)
						s.findWorker(w)
					case event == 18 && !w.unreachable:
						s.loseWorker(w)
					case w.unreachable:
						s.reportToEarlierPlanner(w)
					}
				}
			}
			for _, w := range s.workers {
				w.unreachable = false
				if rapid.Bool().Draw(rt, "lose") {
					s.loseWorker(w)
				}
				if rapid.Bool().Draw(rt, "restart") {
					s.restartAgent(w)
				}
			}
		}
		rt.Repeat(map[string]func(*rapid.T){
			"accept": func(*rapid.T) {
				if len(s.jobs) < 4 {
					s.submitJob()
				}
			},
			"calm": func(*rapid.T) {
				for _, w := range s.workers {
					s.findWorker(w)
				}
				for range 5 {
					reportAndPass()
				}
			},
			"reportAndPass": func(*rapid.T) { reportAndPass() },
			"handOver":      handOver,
			"handOver2":     handOver,
			"agent":         func(*rapid.T) { s.restartAgent(s.anyWorker(rt)) },
			"":              func(*rapid.T) {},
		})
	})
}
