package gang

import (
	"cmp"
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"celerypoint.example/celerypoint/lease"
	"celerypoint.example/celerypoint/outcome"
	"pgregory.net/rapid"
)

// The simulation runs in steps of stepMs. No faults are injected after
// faultsEndMs, and the job has to have ended by horizonMs. A call to an agent
// counts as unanswered after callTimeoutMs.
const (
	stepMs        = 10
	faultsEndMs   = 25_000
	horizonMs     = 80_000
	callTimeoutMs = 1_000
)

// scenario holds the random parameters of one simulation. taskError says that
// tasks fail with an error of the job itself, except on the VM v2. takeoverMs and
// cancelMs are the times of the takeover and of the cancellation, 0 for none.
type scenario struct {
	seed                                   uint64
	members, tasksPerMember, taskMs        int
	idempotent, taskError                  bool
	dropPercent, duplicatePercent, delayMs int
	restarts, pauses, evictions            int
	replacements                           int
	takeoverMs, cancelMs                   int
	killFirstPlanner                       bool
	// slowClocks makes each agent's clock up to lease.ClockDriftPercent slow, and lets
	// its runtime end tasks up to lease.Slack after the lease.
	slowClocks bool
}

// TestProtocolUnderFaults guards against a member that runs on for longer than
// Timing.Lease by its own clock while another member neither runs nor is done, a second start of a
// job that is not idempotent, the outcome NotRun for a job that ran, an incomplete
// answer, an attempt that is aborted, or ended without an answer, while a member
// still runs, reservations that never end, and a job that never ends. In the
// simulation messages are lost, delayed, duplicated and reordered, agents
// restart, agents of other machines take their names while the machines are cut off,
// clocks of agents are slow, planners pause, and a second planner takes over.
func TestProtocolUnderFaults(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := func(low, high int, name string) int { return rapid.IntRange(low, high).Draw(t, name) }
		s := scenario{
			seed: rapid.Uint64().Draw(t, "seed"), members: n(1, 4, "members"), tasksPerMember: n(1, 2, "tasksPer"),
			taskMs: n(1, 12, "taskHalfSeconds") * 500, idempotent: rapid.Bool().Draw(t, "idempotent"),
			taskError: n(0, 5, "ownError") == 0, dropPercent: n(0, 30, "drop"), duplicatePercent: n(0, 20, "dup"),
			delayMs: n(1, 1500, "delay"), restarts: n(0, 3, "restarts"), pauses: n(0, 2, "pauses"),
			evictions: n(0, 1, "evictions"), killFirstPlanner: rapid.Bool().Draw(t, "killFirst"),
			replacements: n(0, 2, "replacements"), slowClocks: rapid.Bool().Draw(t, "slowClocks"),
		}
		if rapid.Bool().Draw(t, "takeover") {
			s.takeoverMs = n(1, 800, "takeoverAt") * stepMs
		}
		if n(0, 3, "cancel") == 0 {
			s.cancelMs = n(1, 800, "cancelAt") * stepMs
		}
		w := newWorld(s)
		w.run()
		if w.violation != "" {
			t.Fatalf("%s\nscenario %+v\n%s", w.violation, s, w.history())
		}
	})
}

// action is a function that is called at a simulated time. Of actions with the
// same time, the one with the lower seq is called first.
type action struct {
	ms, seq int
	do      func()
}

type world struct {
	scenario scenario
	random   *rand.Rand
	ms, seq  int
	queue    []action
	agents   []*simAgent
	planners []*simPlanner
	log      simLog
	// lastAllRunning is when every member of an attempt last ran or was done, by
	// attempt ID. closed holds the attempts for which the newest planner has
	// ordered Abort, or End without an answer, and started those that started on
	// some VM.
	lastAllRunning map[string]int
	closed         map[string]bool
	started        map[string]bool
	violation      string
	lines          []string
}

// simLog is the state of the simulated log. committed is the ID of the newest
// committed attempt, or empty if that was aborted; members are the members of
// the newest committed attempt. commits counts the commits.
type simLog struct {
	term, commits, offset int
	committed             string
	members               []Member
	cancelled             bool
	outcome               outcome.Outcome
	failedVMs             map[string]bool
}

type simAgent struct {
	vm       string
	boot     int
	up       bool
	maxTerm  int64
	attempts map[string]*simPart
	// running holds the parts that the worker runtime runs, by attempt ID. They
	// run on while the agent restarts, and are stopped once it is up again.
	running map[string]*simRun
	// cutOff holds the parts that run on a machine of this name which no planner
	// reaches any more, by attempt ID.
	cutOff map[string]*simRun
	// driftPercent is how slow the agent's clock is. endDelayMs is the time from the end
	// of a lease to the end of the tasks.
	driftPercent, endDelayMs int
}

// ms returns how long the duration takes by the agent's clock.
func (v *simAgent) ms(d time.Duration) int {
	return int((d + d*time.Duration(v.driftPercent)/100).Milliseconds())
}

// simPart is what the agent knows about its part of an attempt. round is the
// number of its newest confirmation, and confirmedAt maps the numbers to times.
type simPart struct {
	term         int64
	expiresAt    int
	dropped, ran bool
	done, failed bool
	round        int
	confirmedAt  map[int]int
}

// simRun is a part that runs in the worker runtime.
type simRun struct{ startedAt, leaseUntil, endAt int }

type simPlanner struct {
	term         int64
	attempt      Attempt
	active       bool
	dead         bool
	pausedUntil  int
	attemptCount int
}

func newWorld(s scenario) *world {
	w := &world{scenario: s, random: rand.New(rand.NewPCG(s.seed, 1)), lastAllRunning: map[string]int{}, closed: map[string]bool{}, started: map[string]bool{}}
	w.log.failedVMs = map[string]bool{}
	for i := range s.members + 1 {
		w.agents = append(w.agents, &simAgent{vm: fmt.Sprintf("v%d", i), up: true, attempts: map[string]*simPart{}, running: map[string]*simRun{}, cutOff: map[string]*simRun{}})
		if s.slowClocks {
			a := w.agents[i]
			a.driftPercent, a.endDelayMs = w.random.IntN(lease.ClockDriftPercent+1), w.random.IntN(int(lease.Slack.Milliseconds()))
		}
	}
	w.takeOver()
	if s.takeoverMs > 0 {
		w.schedule(s.takeoverMs, func() {
			if s.killFirstPlanner {
				w.planners[0].dead = true
			}
			w.takeOver()
		})
	}
	if s.cancelMs > 0 {
		w.schedule(s.cancelMs, func() {
			w.log.cancelled = true
			for _, p := range w.planners {
				w.afterDelay(func() { w.deliver(p, p.attempt.ID, Cancelled{}) })
			}
		})
	}
	for range s.restarts {
		a := w.agents[w.random.IntN(len(w.agents))]
		w.schedule(w.random.IntN(12_000), func() { w.restart(a) })
	}
	for range s.replacements {
		a := w.agents[w.random.IntN(len(w.agents))]
		w.schedule(w.random.IntN(12_000), func() { w.replace(a) })
	}
	for range s.pauses {
		w.schedule(w.random.IntN(12_000), func() {
			p := w.planners[w.random.IntN(len(w.planners))]
			p.pausedUntil = w.ms + w.random.IntN(8_000)
		})
	}
	for range s.evictions {
		a := w.agents[w.random.IntN(len(w.agents))]
		w.schedule(w.random.IntN(8_000), func() { w.evict(a) })
	}
	return w
}

func (w *world) record(format string, args ...any) {
	w.lines = append(w.lines, fmt.Sprintf("%6d ", w.ms)+fmt.Sprintf(format, args...))
}

func (w *world) history() string {
	text := ""
	for _, l := range w.lines[max(0, len(w.lines)-200):] {
		text += l + "\n"
	}
	return text
}

func (w *world) fail(format string, args ...any) {
	if w.violation == "" {
		w.violation = fmt.Sprintf("at %d ms: ", w.ms) + fmt.Sprintf(format, args...)
	}
}

func (w *world) schedule(ms int, do func()) {
	w.seq++
	w.queue = append(w.queue, action{ms, w.seq, do})
}

// afterDelay calls do after a random network delay.
func (w *world) afterDelay(do func()) {
	d := 1 + w.random.IntN(20)
	if w.faultsActive() && w.random.IntN(4) == 0 {
		d = 1 + w.random.IntN(w.scenario.delayMs)
	}
	w.schedule(w.ms+d, do)
}

func (w *world) faultsActive() bool { return w.ms < faultsEndMs }

func (w *world) chance(percent int) bool { return w.faultsActive() && w.random.IntN(100) < percent }

func (w *world) now() time.Time { return startTime.Add(time.Duration(w.ms) * time.Millisecond) }

func (w *world) run() {
	for w.ms = 0; w.ms < horizonMs && w.violation == ""; w.ms += stepMs {
		var due []action
		w.queue = slices.DeleteFunc(w.queue, func(a action) bool {
			if a.ms <= w.ms {
				due = append(due, a)
			}
			return a.ms <= w.ms
		})
		slices.SortFunc(due, func(a, b action) int {
			if a.ms != b.ms {
				return a.ms - b.ms
			}
			return a.seq - b.seq
		})
		for _, a := range due {
			a.do()
		}
		for _, a := range w.agents {
			w.stepAgent(a)
		}
		if w.ms%100 == 0 {
			for _, p := range w.planners {
				if w.ms >= p.pausedUntil && !p.dead {
					w.tickPlanner(p)
				}
			}
		}
		w.check()
	}
	w.checkEnd()
}

// deliver passes an event to a planner, after the planner's pause if it is
// paused.
func (w *world) deliver(p *simPlanner, attempt string, e Event) {
	switch {
	case p.dead || p.attempt.ID != attempt:
	case w.ms < p.pausedUntil:
		w.schedule(p.pausedUntil, func() { w.deliver(p, attempt, e) })
	default:
		w.step(p, e)
		if w.chance(w.scenario.duplicatePercent) {
			w.afterDelay(func() { w.deliver(p, attempt, e) })
		}
	}
}

func (w *world) step(p *simPlanner, e Event) {
	var orders []Order
	if _, tick := e.(Tick); !tick {
		w.record("planner %d %s %s: %T%+v", p.term, p.attempt.ID, p.attempt.Phase, e, e)
	}
	p.attempt, orders = Step(p.attempt, e, w.now(), testTiming)
	for _, o := range orders {
		w.record("planner %d %s orders %T%+v", p.term, p.attempt.ID, o, o)
		w.carryOut(p, p.attempt, o)
	}
	if p.attempt.Phase == PhaseEnded && p.active {
		p.active = false
	}
}

// tickPlanner sends Tick to the planner's attempt, or makes a new attempt if the
// job waits for one.
func (w *world) tickPlanner(p *simPlanner) {
	if p.active {
		w.step(p, Tick{})
		return
	}
	if p.term != int64(w.log.term) || w.log.outcome != nil || w.log.committed != "" || w.ms%500 != 0 {
		return
	}
	if w.log.cancelled {
		// The entry process ends a cancelled job that has no attempt.
		w.log.outcome = outcome.Failed{Cancelled: true}
		return
	}
	p.attemptCount++
	var members []Member
	for i, a := range w.agents {
		if len(members) < w.scenario.members && a.up && !w.log.failedVMs[a.vm] {
			members = append(members, Member{VM: a.vm, Tasks: w.scenario.tasksPerMember, FirstRank: len(members) * w.scenario.tasksPerMember, Reclaim: i == 0 && w.scenario.seed%2 == 0})
		}
	}
	if len(members) < w.scenario.members {
		return
	}
	p.attempt = New("j", fmt.Sprintf("t%d-%d", p.term, p.attemptCount), p.term, w.scenario.idempotent, members)
	p.attempt.RanBefore = w.log.commits > 0
	p.active = true
	w.step(p, Proposed{})
}

func (w *world) takeOver() {
	w.log.offset++
	w.log.term = w.log.offset
	p := &simPlanner{term: int64(w.log.term)}
	w.planners = append(w.planners, p)
	if w.log.committed != "" && w.log.outcome == nil {
		p.attempt = TakeOver("j", w.log.committed, p.term, w.scenario.idempotent, w.log.members, int64(w.log.offset), w.now(), testTiming)
		p.attempt.RanBefore = w.log.commits > 1
		p.active = true
		if w.log.cancelled {
			w.step(p, Cancelled{})
		}
	}
	w.record("planner %d takes over, attempt %q", p.term, p.attempt.ID)
}

// carryOut carries out an order as the entry process does. A call to an agent
// gives Unreachable if no reply arrives in time. A reply may be late or
// duplicated.
func (w *world) carryOut(p *simPlanner, a Attempt, o Order) {
	switch o := o.(type) {
	case Commit:
		w.afterDelay(func() {
			e := w.commit(p, a)
			w.afterDelay(func() { w.afterDelay(func() { w.deliver(p, a.ID, e) }) })
		})
	case Abort:
		w.markClosed(p, a.ID)
		w.afterDelay(func() { w.abort(p, a.ID, o) })
	case End:
		if _, isAnswer := o.Outcome.(outcome.Answer); !isAnswer {
			w.markClosed(p, a.ID)
		}
		w.afterDelay(func() { w.end(p, a, o) })
	case Reserve:
		w.call(p, a, o.VM, func(v *simAgent) Event { return w.reserve(v, a, o) })
	case Start:
		w.call(p, a, o.VM, func(v *simAgent) Event { return w.start(v, a) })
	case Confirm:
		w.call(p, a, o.VM, func(v *simAgent) Event { return w.confirm(v, a, o) })
	case Renew:
		w.call(p, a, o.VM, func(v *simAgent) Event { return w.renew(v, a, o) })
	case Release:
		w.call(p, a, o.VM, func(v *simAgent) Event { return w.release(v, a, p) })
	}
}

func (w *world) call(p *simPlanner, a Attempt, vm string, handle func(*simAgent) Event) {
	i := slices.IndexFunc(w.agents, func(v *simAgent) bool { return v.vm == vm })
	v, boot, replied := w.agents[i], w.agents[i].boot, false
	reply := func(e Event) {
		replied = true
		if e != nil {
			w.deliver(p, a.ID, e)
		}
	}
	w.schedule(w.ms+callTimeoutMs, func() {
		if !replied {
			w.deliver(p, a.ID, Unreachable{VM: vm})
		}
	})
	request := func() {
		// A restart closes the connection, so requests in transit are lost.
		if !v.up || v.boot != boot {
			return
		}
		e := handle(v)
		if !w.chance(w.scenario.dropPercent) {
			w.afterDelay(func() { reply(e) })
		}
	}
	if !w.chance(w.scenario.dropPercent) {
		w.afterDelay(request)
	}
	if w.chance(w.scenario.duplicatePercent) {
		w.afterDelay(request)
	}
}

func (w *world) commit(p *simPlanner, a Attempt) Event {
	w.log.offset++
	if p.term != int64(w.log.term) || w.log.committed != "" || w.log.outcome != nil || w.log.cancelled ||
		!w.scenario.idempotent && w.log.commits > 0 {
		return CommitVoid{Reason: "void"}
	}
	w.log.commits++
	w.log.committed = a.ID
	w.log.members = a.Members
	w.record("commit %s", a.ID)
	return Committed{Offset: int64(w.log.offset)}
}

func (w *world) abort(p *simPlanner, attempt string, o Abort) {
	if p.term == int64(w.log.term) && w.log.committed == attempt && w.log.outcome == nil {
		w.record("abort %s", attempt)
		w.log.committed = ""
		if o.FailedVM != "" {
			w.log.failedVMs[o.FailedVM] = true
			if len(w.log.failedVMs) == 3 || len(w.agents)-len(w.log.failedVMs) < w.scenario.members {
				w.log.outcome = outcome.Failed{Reason: o.Reason}
			}
		}
	}
}

func (w *world) end(p *simPlanner, a Attempt, o End) {
	if p.term != int64(w.log.term) || w.log.committed != a.ID && w.log.committed != "" || w.log.outcome != nil {
		return
	}
	w.record("end %T%+v", o.Outcome, o.Outcome)
	w.log.outcome = o.Outcome
	if answer, ok := o.Outcome.(outcome.Answer); ok {
		if len(answer.Parts) != w.scenario.members*w.scenario.tasksPerMember {
			w.fail("answer has %d parts", len(answer.Parts))
		}
		for i, p := range answer.Parts {
			if p.Rank != i || p.Attempt != a.ID {
				w.fail("part %d of the answer is %+v", i, p)
			}
		}
	}
}

// markClosed records that the planner of the newest term considers the attempt
// stopped, so that no member may run it from now on.
func (w *world) markClosed(p *simPlanner, attempt string) {
	if p.term == int64(w.log.term) {
		w.closed[attempt] = true
	}
}

func (w *world) reserve(v *simAgent, a Attempt, o Reserve) Event {
	part := v.attempts[a.ID]
	switch {
	case part == nil && a.Term >= v.maxTerm:
		v.maxTerm = a.Term
		v.attempts[a.ID] = &simPart{term: a.Term, expiresAt: w.ms + v.ms(o.Hold), confirmedAt: map[int]int{}}
	case part == nil || part.dropped:
		return Refused{VM: v.vm, Rule: "dropped"}
	}
	return Reserved{VM: v.vm, BootID: fmt.Sprint(v.boot)}
}

func (w *world) start(v *simAgent, a Attempt) Event {
	part := v.attempts[a.ID]
	switch {
	case part == nil || part.dropped || part.term != a.Term:
		return StartFailed{VM: v.vm, Rule: "noReservation"}
	case !part.ran && w.ms >= part.expiresAt:
		part.dropped = true
		return StartFailed{VM: v.vm, Rule: "expired"}
	case !part.ran:
		part.ran = true
		w.record("%s starts %s", v.vm, a.ID)
		v.running[a.ID] = &simRun{startedAt: w.ms, leaseUntil: w.ms + v.ms(testTiming.Lease), endAt: w.ms + w.scenario.taskMs + w.random.IntN(1000)}
		w.started[a.ID] = true
		if !w.scenario.idempotent && len(w.started) > 1 {
			w.fail("a job that is not idempotent started twice: %v", w.started)
		}
		if w.closed[a.ID] {
			w.fail("%s started %s after it was closed", v.vm, a.ID)
		}
	}
	return Started{VM: v.vm}
}

func (w *world) confirm(v *simAgent, a Attempt, o Confirm) Event {
	part := v.attempts[a.ID]
	if part == nil || part.dropped || !part.ran || part.failed || !part.done && v.running[a.ID] == nil {
		return NotRunning{VM: v.vm, Reason: "not running"}
	}
	if part.done {
		w.reportAnswers(v, a.ID)
	}
	part.round++
	part.confirmedAt[part.round] = w.ms
	return Confirmed{VM: v.vm, AgentRound: part.round, AttemptRound: o.AttemptRound}
}

func (w *world) renew(v *simAgent, a Attempt, o Renew) Event {
	if part, run := v.attempts[a.ID], v.running[a.ID]; part != nil && run != nil {
		run.leaseUntil = max(run.leaseUntil, part.confirmedAt[o.AgentRound]+v.ms(o.Lease))
	}
	return nil
}

func (w *world) release(v *simAgent, a Attempt, p *simPlanner) Event {
	part := v.attempts[a.ID]
	if part == nil {
		part = &simPart{}
		v.attempts[a.ID] = part
	}
	v.maxTerm = max(v.maxTerm, p.term)
	part.dropped = true
	delete(v.running, a.ID)
	return Released{VM: v.vm, BootID: fmt.Sprint(v.boot), Started: part.ran}
}

func (w *world) restart(v *simAgent) {
	if !v.up {
		return
	}
	w.record("%s restarts", v.vm)
	v.up = false
	v.boot++
	v.attempts = map[string]*simPart{}
	down := w.random.IntN(8_000)
	lost := func() {
		for _, p := range w.planners {
			w.afterDelay(func() { w.deliver(p, p.attempt.ID, Lost{VM: v.vm}) })
		}
	}
	if down > 4_000 {
		w.schedule(w.ms+4_000, lost)
	}
	w.schedule(w.ms+down, func() {
		v.up = true
		clear(v.running)
		w.afterDelay(lost)
	})
}

// replace lets an agent on another machine take the name of v. The machine before is
// only cut off, so its runtime goes on until the leases expire.
func (w *world) replace(v *simAgent) {
	if !v.up {
		return
	}
	w.record("%s is replaced", v.vm)
	v.boot++
	v.attempts = map[string]*simPart{}
	maps.Copy(v.cutOff, v.running)
	clear(v.running)
	for _, p := range w.planners {
		w.afterDelay(func() { w.deliver(p, p.attempt.ID, Lost{VM: v.vm}) })
	}
}

func (w *world) evict(v *simAgent) {
	for id, run := range v.running {
		if part := v.attempts[id]; part != nil && v.up {
			part.dropped = true
			delete(v.running, id)
			w.report(v, id, func() Event {
				return TaskStopped{VM: v.vm, Reason: "evicted", CheckpointMs: int64(w.ms - run.startedAt)}
			})
		}
	}
}

// report sends an event to every planner and repeats it until it is delivered or
// the agent restarts.
func (w *world) report(v *simAgent, id string, event func() Event) {
	boot := v.boot
	for _, p := range w.planners {
		var send func()
		send = func() {
			if v.boot != boot || !v.up {
				return
			}
			if w.chance(w.scenario.dropPercent) {
				w.schedule(w.ms+500, send)
				return
			}
			w.afterDelay(func() { w.deliver(p, id, event()) })
		}
		send()
	}
}

func (w *world) stepAgent(v *simAgent) {
	for id, run := range v.running {
		part := v.attempts[id]
		if w.ms >= run.leaseUntil+v.endDelayMs {
			delete(v.running, id)
			w.record("%s: lease of %s expired", v.vm, id)
			if part != nil {
				part.dropped = true
			}
			continue
		}
		if w.ms < run.endAt {
			continue
		}
		delete(v.running, id)
		if part == nil {
			continue
		}
		w.record("%s: %s ended", v.vm, id)
		if w.scenario.taskError && v.vm != "v2" {
			part.failed = true
			w.report(v, id, func() Event { return TaskFailed{VM: v.vm, Reason: "own error"} })
			continue
		}
		part.done = true
		w.reportAnswers(v, id)
	}
	maps.DeleteFunc(v.cutOff, func(_ string, r *simRun) bool { return w.ms >= min(r.leaseUntil+v.endDelayMs, r.endAt) })
	for id, part := range v.attempts {
		if !part.ran && !part.dropped && w.ms >= part.expiresAt {
			part.dropped = true
			w.record("%s: reservation of %s expired", v.vm, id)
		}
	}
}

func (w *world) reportAnswers(v *simAgent, id string) {
	first := 0
	for _, m := range w.log.members {
		if m.VM == v.vm {
			first = m.FirstRank
		}
	}
	for rank := first; rank < first+w.scenario.tasksPerMember; rank++ {
		w.report(v, id, func() Event {
			return TaskEnded{outcome.Part{VM: v.vm, Attempt: id, Rank: rank, Length: 1}}
		})
	}
}

func (w *world) check() {
	for id := range w.started {
		allRunning := w.log.members != nil
		for _, m := range w.log.members {
			v := w.agents[slices.IndexFunc(w.agents, func(v *simAgent) bool { return v.vm == m.VM })]
			part := v.attempts[id]
			allRunning = allRunning && (v.running[id] != nil || v.cutOff[id] != nil || part != nil && part.done)
		}
		if allRunning {
			w.lastAllRunning[id] = w.ms
		}
		for _, v := range w.agents {
			run := cmp.Or(v.running[id], v.cutOff[id])
			if run == nil {
				continue
			}
			if since := max(run.startedAt, w.lastAllRunning[id]); w.ms-since > v.ms(testTiming.Lease)+v.endDelayMs+stepMs {
				w.fail("%s has run %s for %d ms without the other members", v.vm, id, w.ms-since)
			}
			if w.closed[id] {
				w.fail("%s runs %s after it was closed", v.vm, id)
			}
		}
	}
}

func (w *world) checkEnd() {
	if w.violation != "" {
		return
	}
	if w.log.outcome == nil {
		w.fail("the job has not ended")
	}
	for _, v := range w.agents {
		if len(v.running) > 0 {
			w.fail("%s still runs %v", v.vm, v.running)
		}
		for id, part := range v.attempts {
			if !part.dropped && !part.done && !part.failed {
				w.fail("%s still holds %s", v.vm, id)
			}
		}
	}
	if o, ok := w.log.outcome.(outcome.NotRun); ok && len(w.started) > 0 {
		w.fail("%+v, but %v started", o, w.started)
	}
}
