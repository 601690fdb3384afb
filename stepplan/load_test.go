package stepplan

import (
	"container/heap"
	"flag"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"celerypoint.example/celerypoint/access"
	"celerypoint.example/celerypoint/stepfold"
	"celerypoint.example/celerypoint/steps"
	"celerypoint.example/celerypoint/worker"
)

var loadSeeds = flag.Int("stepplan.seeds", 2, "number of seeds that the load tests play")

// jobClass is a kind of job of a played load. Times are in seconds, and widths and
// durations are log-normal with the given mean and spread.
type jobClass struct {
	name            string
	priority        int
	perSecond       float64
	width, maxWidth float64
	duration        float64
	spread          float64
	gpus            []int
	needs           steps.Resources
	gang, sameRack  float64
	checkpointing   float64
	latencyFactor   float64
	allowance       time.Duration
	worth, late     float64
}

// burst multiplies the arrivals of a class for some time.
type burst struct {
	class          string
	factor         float64
	from, duration time.Duration
}

// largeSite is the load of the users' deployment of 240 workers, at its usual rate.
var largeSite = []jobClass{
	{name: "pigment", priority: 1, perSecond: 0.687, width: 25, maxWidth: 150, duration: 7.2, spread: 0.3, gpus: []int{1, 2, 4, 8, 8}, needs: steps.Resources{CPU: 13000, MemMB: 53000}, gang: 1, sameRack: 0.6, checkpointing: 0.45, latencyFactor: 3, allowance: time.Second, worth: 3, late: 1.5},
	{name: "check", priority: 0, perSecond: 4.7, width: 7.6, maxWidth: 46, duration: 2.1, spread: 0.5, gpus: []int{1, 2, 4, 8, 8}, needs: steps.Resources{CPU: 3700, MemMB: 20000}, gang: 1, sameRack: 0.8, latencyFactor: 1.5, allowance: 250 * time.Millisecond, worth: 4, late: 0.8},
	{name: "sheet", priority: 2, perSecond: 0.807, width: 78, maxWidth: 470, duration: 5.2, spread: 0.3, gpus: []int{1}, needs: steps.Resources{CPU: 2800, MemMB: 8200}, checkpointing: 0.45, latencyFactor: 3, allowance: 3 * time.Second, worth: 1, late: 0.5},
}

// simulatedRun is a run on a worker of a played load.
type simulatedRun struct {
	task      *simulatedTask
	order     StartOrder
	startedAt time.Time
	// doneAt is when the run succeeds, endsAt when it ends.
	doneAt, endsAt time.Time
	stopping       bool
}

type simulatedTask struct {
	job *simulatedJob
	// work is the run time on a VM of speed 1; saved is the part of it that a
	// checkpoint holds.
	work, saved float64
}

type simulatedJob struct {
	class     *jobClass
	spec      steps.Job
	tasks     []*simulatedTask
	arrivedAt time.Time
	endedAt   time.Time
	weight    float64
}

type simulatedVM struct {
	name      string
	rack      string
	speed     float64
	runs      map[steps.TaskID]*simulatedRun
	ended     []worker.Ended
	endNumber int64
	reportDue bool
	// faultyUntil is the time before which every run that begins here fails.
	faultyUntil time.Time
}

// event is something that happens at a time.
type event struct {
	at   time.Time
	what func()
}

type eventQueue []event

func (q eventQueue) Len() int           { return len(q) }
func (q eventQueue) Less(i, j int) bool { return q[i].at.Before(q[j].at) }
func (q eventQueue) Swap(i, j int)      { q[i], q[j] = q[j], q[i] }
func (q *eventQueue) Push(x any)        { *q = append(*q, x.(event)) }
func (q *eventQueue) Pop() any {
	last := (*q)[len(*q)-1]
	*q = (*q)[:len(*q)-1]
	return last
}

// loadSimulation plays a load without faults against a Scheduler: workers of three
// speeds, stops that take up to Timing.MaxStopTime, estimates that are off, and jobs that
// are slower across racks.
type loadSimulation struct {
	scheduler *Scheduler
	random    *rand.Rand
	now       time.Time
	queue     eventQueue
	vms       map[string]*simulatedVM
	order     []*simulatedVM
	jobs      map[string]*simulatedJob
	version   int
	thrown    float64
	// failed counts the runs that failed.
	failed int
}

const simulatedTick = 20 * time.Millisecond

func newLoadSimulation(seed uint64, vms int, classes []jobClass) *loadSimulation {
	s := &loadSimulation{
		scheduler: New(Timing{LeaseDuration: 5500 * time.Millisecond, KeepStatus: time.Hour, MaxStopTime: 900 * time.Millisecond, MaxReclaimTime: 3400 * time.Millisecond, FarFactor: 3}),
		random:    rand.New(rand.NewPCG(seed, 1)), now: bootTime, vms: map[string]*simulatedVM{}, jobs: map[string]*simulatedJob{},
	}
	config := access.Config{Version: 1}
	for _, c := range classes {
		config.Queues = append(config.Queues, access.Queue{Name: c.name, Priority: c.priority, MaxAttempts: 4, LatencyFactor: c.latencyFactor, LatencyAllowance: c.allowance})
	}
	for i := range 24 {
		config.Orgs = append(config.Orgs, access.Org{Name: fmt.Sprintf("org%d", i), Guaranteed: steps.Resources{GPUs: 8 * vms / 48}})
	}
	s.scheduler.Configure(config)
	speeds := []float64{0.8, 1, 1.25}
	for i := range vms {
		vm := &simulatedVM{name: fmt.Sprintf("vm%03d", i), rack: fmt.Sprintf("r%02d", i/8), speed: speeds[s.random.IntN(len(speeds))], runs: map[steps.TaskID]*simulatedRun{}}
		s.vms[vm.name] = vm
		s.order = append(s.order, vm)
		s.scheduler.AgentAttached(vm.name, 1)
		s.report(vm)
	}
	return s
}

func (s *loadSimulation) after(d time.Duration, what func()) {
	heap.Push(&s.queue, event{s.now.Add(d), what})
}

func (s *loadSimulation) logNormal(mean, spread, most float64) float64 {
	return min(most, mean*math.Exp(spread*s.random.NormFloat64()-spread*spread/2))
}

func (s *loadSimulation) report(vm *simulatedVM) {
	s.version++
	r := Report{
		Agent: vm.name, Session: 1, Version: s.version, WorkerPresent: true, Worker: vm.name + "/1", Rack: vm.rack,
		Capacity: steps.Resources{CPU: 32000, MemMB: 131072, GPUs: 8}, Ended: slices.Clone(vm.ended),
	}
	for id, run := range vm.runs {
		progress := 0
		if s.now.After(run.startedAt) {
			progress = int(100 * s.now.Sub(run.startedAt).Seconds() / max(0.001, run.doneAt.Sub(run.startedAt).Seconds()))
		}
		r.Running = append(r.Running, RunningTask{Running: worker.Running{Run: worker.Run{Task: id.String(), Number: run.order.Run}, Progress: min(99, progress)}})
	}
	s.scheduler.HandleReport(r, s.now)
	s.scheduler.LeaseGranted(vm.name, s.now)
	vm.ended, vm.reportDue = nil, false
}

// arrive adds a job of the class.
func (s *loadSimulation) arrive(c *jobClass) {
	width := max(1, int(s.logNormal(c.width, 0.8, c.maxWidth)))
	spec := steps.Step{Count: width, Needs: c.needs, Gang: s.random.Float64() < c.gang, Checkpointing: s.random.Float64() < c.checkpointing}
	spec.Needs.GPUs = c.gpus[s.random.IntN(len(c.gpus))]
	spec.SameRack = s.random.Float64() < c.sameRack && width*spec.Needs.GPUs <= 64
	work := s.logNormal(c.duration, c.spread, 10*c.duration)
	if s.random.Float64() < 0.03 {
		work *= 7
	}
	spec.Estimate = time.Duration(work * math.Exp(0.5*s.random.NormFloat64()) * float64(time.Second))
	j := &simulatedJob{class: c, arrivedAt: s.now}
	j.spec = steps.Job{ID: fmt.Sprintf("%016x", len(s.jobs)+1), Queue: c.name, Org: fmt.Sprintf("org%d", s.random.IntN(24)), AcceptedAt: s.now, Steps: []steps.Step{spec}}
	longest := 0.0
	for range width {
		t := &simulatedTask{job: j, work: work * (1 - 0.15*s.random.Float64())}
		longest = max(longest, t.work)
		j.tasks = append(j.tasks, t)
	}
	j.weight = 0.3 + 0.7*min(4/0.7, work*float64(width)/(c.duration*c.width))
	s.jobs[j.spec.ID] = j
	s.scheduler.AddJob(j.spec, s.now)
}

// begin starts a run as a worker would.
func (s *loadSimulation) begin(o StartOrder) {
	if !s.scheduler.StartWanted(o, s.now) {
		s.scheduler.StartWithdrawn(o, "not wanted", s.now)
		return
	}
	vm, j := s.vms[o.Agent], s.jobs[o.Task.Job]
	t := j.tasks[o.Task.Index]
	run := &simulatedRun{task: t, order: o, startedAt: s.now}
	vm.runs[o.Task] = run
	run.doneAt = s.now.Add(time.Duration((t.work - t.saved) / vm.speed * float64(time.Second)))
	run.endsAt = run.doneAt
	s.scheduler.StartAnswered(o, s.version, true)
	if s.now.Before(vm.faultyUntil) {
		s.after(time.Duration((0.1+0.4*s.random.Float64())*float64(time.Second)), func() { s.fail(vm, run) })
	}
	if !j.spec.Steps[0].Gang {
		s.after(run.endsAt.Sub(s.now), func() { s.end(vm, run, worker.EndDone) })
	}
}

// beginGang sets the common end of a gang whose members have all started.
func (s *loadSimulation) beginGang(j *simulatedJob) {
	var runs []*simulatedRun
	racks := map[string]bool{}
	longest := 0.0
	for _, vm := range s.order {
		for _, r := range vm.runs {
			if r.task.job == j && r.startedAt.Equal(s.now) {
				runs = append(runs, r)
				racks[vm.rack] = true
				longest = max(longest, (r.task.work-r.task.saved)/vm.speed)
			}
		}
	}
	if j.spec.Steps[0].SameRack && len(racks) > 1 {
		longest *= s.scheduler.Timing.FarFactor
	}
	for _, r := range runs {
		r.doneAt = s.now.Add(time.Duration(longest * float64(time.Second)))
		r.endsAt = r.doneAt
		s.after(r.endsAt.Sub(s.now), func() { s.end(s.vms[r.order.Agent], r, worker.EndDone) })
	}
}

func (s *loadSimulation) end(vm *simulatedVM, run *simulatedRun, reason worker.EndReason) {
	if vm.runs[run.order.Task] != run || reason == worker.EndDone && run.stopping {
		return
	}
	delete(vm.runs, run.order.Task)
	vm.endNumber++
	vm.ended = append(vm.ended, worker.Ended{EndNumber: vm.endNumber, Run: worker.Run{Task: run.order.Task.String(), Number: run.order.Run}, Reason: reason})
	vm.reportDue = true
	if reason == worker.EndDone {
		run.task.saved = run.task.work
		return
	}
	spec := run.task.job.spec.Steps[0]
	ran := s.now.Sub(run.startedAt).Seconds()
	if spec.Checkpointing {
		run.task.saved = min(run.task.work, run.task.saved+max(0, ran*vm.speed-0.5))
		ran = min(ran, 0.5)
	}
	s.thrown += ran * coreEquivalents(spec.Needs)
}

// fail ends a run in failure, and those of its gang as broken.
func (s *loadSimulation) fail(vm *simulatedVM, run *simulatedRun) {
	if vm.runs[run.order.Task] != run || run.stopping {
		return
	}
	s.failed++
	s.end(vm, run, worker.EndFailed)
	if !run.task.job.spec.Steps[0].Gang {
		return
	}
	for _, other := range s.order {
		for _, r := range other.runs {
			if r.task.job == run.task.job && r.order.Run == run.order.Run {
				s.end(other, r, worker.EndReason("broken"))
			}
		}
	}
}

// makeFaulty makes a share of the workers fail all that they start for some time.
func (s *loadSimulation) makeFaulty(share float64, from, duration time.Duration) {
	s.after(from, func() {
		for _, vm := range s.order {
			if s.random.Float64() < share {
				vm.faultyUntil = s.now.Add(duration)
			}
		}
	})
}

func (s *loadSimulation) stop(o StopOrder) {
	vm := s.vms[o.Agent]
	run := vm.runs[o.Task]
	if run == nil || run.order.Run != o.Run || run.stopping {
		return
	}
	run.stopping = true
	takes := time.Duration((0.3 + 0.7*s.random.Float64()) * float64(s.scheduler.Timing.MaxStopTime))
	s.after(takes, func() { s.end(vm, run, worker.EndStopped) })
}

// play runs the load for the time, and then without arrivals until the jobs have ended.
func (s *loadSimulation) play(classes []jobClass, bursts []burst, length time.Duration) {
	for tick := 0; ; tick++ {
		elapsed := s.now.Sub(bootTime)
		if elapsed > length && s.idle() || elapsed > 3*length {
			return
		}
		if elapsed <= length {
			for i := range classes {
				rate := classes[i].perSecond
				for _, b := range bursts {
					if b.class == classes[i].name && elapsed >= b.from && elapsed < b.from+b.duration {
						rate *= b.factor
					}
				}
				for range s.poisson(rate * simulatedTick.Seconds()) {
					s.arrive(&classes[i])
				}
			}
		}
		for len(s.queue) > 0 && !s.queue[0].at.After(s.now) {
			heap.Pop(&s.queue).(event).what()
		}
		for i, vm := range s.order {
			if vm.reportDue || (tick+i)%40 == 0 {
				s.report(vm)
			}
		}
		s.step()
		s.now = s.now.Add(simulatedTick)
	}
}

func (s *loadSimulation) step() {
	s.scheduler.Plan(s.now)
	for _, o := range s.scheduler.TakeStops() {
		s.stop(o)
	}
	output := s.scheduler.TakeOutput(s.now)
	gangs := map[string]bool{}
	for _, o := range output.Orders {
		if start, ok := o.(StartOrder); ok {
			s.begin(start)
			if s.jobs[start.Task.Job].spec.Steps[0].Gang {
				gangs[start.Task.Job] = true
			}
		}
	}
	for id := range gangs {
		s.beginGang(s.jobs[id])
	}
	for _, p := range output.Progress {
		if j := s.jobs[p.ID]; p.Progress.Phase == stepfold.PhaseCompleted && j.endedAt.IsZero() {
			j.endedAt = s.now
		}
	}
}

func (s *loadSimulation) idle() bool {
	for _, j := range s.jobs {
		if j.endedAt.IsZero() {
			return false
		}
	}
	return true
}

func (s *loadSimulation) poisson(mean float64) int {
	n, p, limit := 0, s.random.Float64(), math.Exp(-mean)
	for p > limit {
		n++
		p *= s.random.Float64()
	}
	return n
}

// classResult is what the callers of one class got.
type classResult struct {
	jobs, inTime, late int
	// earned and owed are credits: a job is worth more if it is larger.
	earned, owed float64
}

func (s *loadSimulation) results() map[string]*classResult {
	results := map[string]*classResult{}
	for _, j := range s.jobs {
		c := j.class
		r := results[c.name]
		if r == nil {
			r = &classResult{}
			results[c.name] = r
		}
		longest := 0.0
		for _, t := range j.tasks {
			longest = max(longest, t.work)
		}
		objective := time.Duration(c.latencyFactor*longest*float64(time.Second)) + c.allowance
		r.jobs++
		r.owed += j.weight * c.worth
		switch took := j.endedAt.Sub(j.arrivedAt); {
		case j.endedAt.IsZero() || took > 3*objective:
		case took > objective:
			r.late++
			r.earned += j.weight * c.late
		default:
			r.inTime++
			r.earned += j.weight * c.worth
		}
	}
	return results
}

// pricePerCoreSecond is the users' price of work thrown away on the large site, in shares
// of what a day owes.
const pricePerCoreSecond = 1.34e-6

// served is the share of the owed credit that was earned, less the price of work thrown
// away.
func (s *loadSimulation) served() float64 {
	earned, owed := 0.0, 0.0
	for _, r := range s.results() {
		earned += r.earned
		owed += r.owed
	}
	return earned/owed - s.thrown*pricePerCoreSecond
}

// playLarge plays the first 30 s of a day of the large site with both of its usual bursts.
func playLarge(seed uint64) *loadSimulation {
	s := newLoadSimulation(seed, 240, largeSite)
	s.play(largeSite, []burst{
		{"check", 2.2, 4 * time.Second, 6 * time.Second}, {"sheet", 2.6, 5 * time.Second, 3500 * time.Millisecond}, {"pigment", 2.6, 15 * time.Second, 4 * time.Second},
	}, 30*time.Second)
	return s
}

// TestLargeSiteUnderBursts plays the load of the users' deployment of 240 workers without
// faults, at its usual rate and with bursts of each kind of job. The bound is the users'
// target for days with trouble there.
func TestLargeSiteUnderBursts(t *testing.T) {
	c := qt.New(t)
	total := 0.0
	for seed := range *loadSeeds {
		s := playLarge(uint64(seed))
		results := s.results()
		for _, class := range largeSite {
			r := results[class.name]
			t.Logf("seed %d: %-8s jobs %3d, in time %3d, late %3d, earned %.3f", seed, class.name, r.jobs, r.inTime, r.late, r.earned/r.owed)
		}
		t.Logf("seed %d: served %.3f, thrown away %.0f core-seconds", seed, s.served(), s.thrown)
		total += s.served()
	}
	c.Assert(total/float64(*loadSeeds) >= 0.56, qt.IsTrue, qt.Commentf("mean %.3f", total/float64(*loadSeeds)))
}

// TestFaultyWorkers plays the same load while one worker in twelve fails all that it
// starts for 6.5 s. Gangs must not find these workers one after the other: a gang of 25
// tasks that is placed without regard to failures has one chance in eight to miss them
// all. The bound is the users' target for days with trouble.
func TestFaultyWorkers(t *testing.T) {
	c := qt.New(t)
	total := 0.0
	for seed := range *loadSeeds {
		s := newLoadSimulation(uint64(seed), 240, largeSite)
		s.makeFaulty(0.085, 8*time.Second, 6500*time.Millisecond)
		s.play(largeSite, []burst{{"check", 2.2, 6 * time.Second, 6 * time.Second}}, 25*time.Second)
		given := 0
		for _, j := range s.jobs {
			if j.endedAt.IsZero() {
				given++
			}
		}
		t.Logf("seed %d: served %.3f, thrown away %.0f core-seconds, %d runs failed, %d of %d jobs not completed", seed, s.served(), s.thrown, s.failed, given, len(s.jobs))
		total += s.served()
	}
	c.Assert(total/float64(*loadSeeds) >= 0.56, qt.IsTrue, qt.Commentf("mean %.3f", total/float64(*loadSeeds)))
}
