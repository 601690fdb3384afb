package ledger

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"celerypoint.example/celerypoint/job"
)

var start = time.Unix(1_800_000_000, 0)

func at(ms int) time.Time { return start.Add(time.Duration(ms) * time.Millisecond) }

func request(attempt, org string, tasks int) Request {
	return Request{JobID: "job of " + attempt, Attempt: attempt, Org: org, Term: 1, Tasks: tasks, AcceleratorsPerTask: 1, Hold: 3 * time.Second, ConfigOffset: 1}
}

// newLedger returns a ledger of 8 accelerators and 8 slots. The share of
// organisation norte is 4, the share of sur 2, and 2 accelerators are in no
// share.
func newLedger() *Ledger {
	l := New(8, 8, 4, DefaultTiming)
	l.Configure(1, map[string]int{"norte": 4, "sur": 2}, false)
	return l
}

func mustRun(t testing.TB, l *Ledger, now time.Time, r Request) {
	t.Helper()
	qt.Assert(t, l.Reserve(now, r), qt.Equals, Decision(Granted{}))
	s := StartRequest{Attempt: r.Attempt, JobID: r.JobID, Term: r.Term, ConfigOffset: r.ConfigOffset, LeaseUntil: now.Add(time.Minute)}
	if r.DeclaredRun > 0 {
		s.EndsAt = now.Add(r.DeclaredRun)
	}
	qt.Assert(t, l.Start(now, s), qt.Equals, Decision(Granted{}))
	l.Started(now, r.Attempt)
}

func ruleOrType(d Decision) string {
	if r, ok := d.(Refused); ok {
		return r.Rule
	}
	return fmt.Sprintf("%T", d)
}

// TestReserveRefuses guards against a reservation that is granted against a rule,
// or refused by the wrong rule.
func TestReserveRefuses(t *testing.T) {
	for name, test := range map[string]struct {
		before func(l *Ledger)
		change func(r *Request)
		want   string
	}{
		"granted":           {want: "ledger.Granted"},
		"beyond the share":  {change: func(r *Request) { r.Tasks = 7 }, want: RuleOwnShareOnly},
		"borrows":           {change: func(r *Request) { r.Tasks, r.Preemptible = 8, true }, want: "ledger.Granted"},
		"too large":         {change: func(r *Request) { r.Tasks = 9 }, want: RuleNoFreePlace},
		"old configuration": {change: func(r *Request) { r.ConfigOffset = 0 }, want: RuleStaleConfiguration},
		"draining":          {before: func(l *Ledger) { l.Drain(1, true) }, want: RuleVMDraining},
		"leaving":           {before: func(l *Ledger) { l.Leave() }, want: RuleVMDraining},
		"released before":   {before: func(l *Ledger) { l.Release(at(0), "job of a", "a", 1, false) }, want: RuleAttemptReleased},
		"being stopped": {before: func(l *Ledger) {
			mustRun(t, l, at(0), request("a", "sur", 2))
			l.Release(at(0), "job of a", "a", 1, true)
		}, want: RuleAttemptReleased},
		"older term":                                {before: func(l *Ledger) { l.Release(at(0), "job of a", "b", 2, false) }, want: RuleStaleTerm},
		"nothing to reclaim":                        {before: func(l *Ledger) { mustRun(t, l, at(0), request("b", "norte", 4)) }, change: func(r *Request) { r.Org, r.Reclaim, r.Tasks = "norte", true, 5 }, want: RuleOwnShareOnly},
		"reclaim beyond own share":                  {before: func(l *Ledger) { runBorrower(t, l, 8) }, change: func(r *Request) { r.Reclaim, r.Tasks = true, 3 }, want: RuleNoFreePlace},
		"reclaim within own share":                  {before: func(l *Ledger) { runBorrower(t, l, 8) }, change: func(r *Request) { r.Reclaim = true }, want: "ledger.Reclaiming"},
		"no reclaim requested":                      {before: func(l *Ledger) { runBorrower(t, l, 8) }, want: RuleNoFreePlace},
		"no unassigned accelerators left":           {before: func(l *Ledger) { mustRun(t, l, at(0), request("b", "este", 2)) }, change: func(r *Request) { r.Tasks = 3 }, want: RuleOwnShareOnly},
		"share kept for sur":                        {before: func(l *Ledger) { mustRun(t, l, at(0), request("b", "norte", 6)) }, want: "ledger.Granted"},
		"nothing kept for este, which has no share": {before: func(l *Ledger) { mustRun(t, l, at(0), request("b", "norte", 6)) }, change: func(r *Request) { r.Org = "este" }, want: RuleOwnShareOnly},
	} {
		t.Run(name, func(t *testing.T) {
			l := newLedger()
			if test.before != nil {
				test.before(l)
			}
			r := request("a", "sur", 2)
			if test.change != nil {
				test.change(&r)
			}
			qt.Assert(t, ruleOrType(l.Reserve(at(1), r)), qt.Equals, test.want)
		})
	}
}

// runBorrower runs preemptible work of organisation este, which has no share.
func runBorrower(t testing.TB, l *Ledger, tasks int) {
	r := request("borrower", "este", tasks)
	r.Preemptible = true
	mustRun(t, l, at(0), r)
}

// TestStartRefuses guards against a start without a valid reservation, or by a
// planner that another one has replaced.
func TestStartRefuses(t *testing.T) {
	s := StartRequest{Attempt: "a", JobID: "job of a", Term: 1, ConfigOffset: 1, LeaseUntil: at(9000)}
	reserve := func(l *Ledger) { l.Reserve(at(0), request("a", "norte", 2)) }
	newer := request("b", "norte", 2)
	newer.JobID, newer.Term = "job of a", 2
	for name, test := range map[string]struct {
		before func(l *Ledger)
		ms     int
		want   string
	}{
		"in time":           {reserve, 2999, "ledger.Granted"},
		"late":              {reserve, 3000, RuleReservationExpired},
		"never reserved":    {func(*Ledger) {}, 1, RuleReservationExpired},
		"released":          {func(l *Ledger) { reserve(l); l.Release(at(1), "job of a", "a", 1, false) }, 2, RuleAttemptReleased},
		"newer planner":     {func(l *Ledger) { reserve(l); l.Reserve(at(1), newer) }, 2, RuleStaleTerm},
		"new configuration": {func(l *Ledger) { reserve(l); l.Configure(2, nil, false) }, 2, RuleStaleConfiguration},
		"draining":          {func(l *Ledger) { reserve(l); l.Drain(1, true) }, 2, RuleVMDraining},
	} {
		t.Run(name, func(t *testing.T) {
			l := newLedger()
			test.before(l)
			qt.Assert(t, ruleOrType(l.Start(at(test.ms), s)), qt.Equals, test.want)
			if test.want != "ledger.Granted" {
				// After a refused start the attempt can never start.
				qt.Assert(t, l.Holdings["a"], qt.IsNil)
				qt.Assert(t, ruleOrType(l.Reserve(at(test.ms), request("a", "norte", 2))), qt.Not(qt.Equals), "ledger.Granted")
			}
		})
	}
}

// TestReclaim guards against a share that cannot be reclaimed from borrowers,
// against unnecessary evictions, and against a borrower that is never stopped.
func TestReclaim(t *testing.T) {
	l := newLedger()
	for i, r := range []struct {
		org      string
		tasks    int
		declared time.Duration
	}{{"norte", 1, 0}, {"este", 2, 0}, {"este", 3, 0}, {"este", 2, 1200 * time.Millisecond}} {
		q := request(fmt.Sprint("p", i), r.org, r.tasks)
		q.Preemptible, q.DeclaredRun = true, r.declared
		mustRun(t, l, at(i*100), q)
	}
	now := at(1000)
	d := l.Reserve(now, Request{JobID: "j", Attempt: "a", Org: "norte", Term: 1, Tasks: 3, AcceleratorsPerTask: 1, Hold: time.Second, ConfigOffset: 1, Reclaim: true})
	// p3 is expected to end soon, so its eviction costs nothing. Of the others p1
	// has the least progress to lose: 0.9 s on 2 accelerators, against 0.8 s on 3
	// for p2. p0 belongs to norte itself and is not evicted.
	qt.Assert(t, d, qt.DeepEquals, Decision(Reclaiming{Victims: []string{"p3", "p1"}, Deadline: at(6000)}))
	qt.Assert(t, l.Advance(now), qt.DeepEquals, []Action{Checkpoint{"p1"}})
	qt.Assert(t, ruleOrType(l.Reserve(now, request("other", "sur", 1))), qt.Equals, RuleNoFreePlace)
	qt.Assert(t, l.Advance(at(2500)), qt.DeepEquals, []Action{Checkpoint{"p3"}})
	l.Checkpointed(at(2600), "p3")
	qt.Assert(t, l.Advance(at(2600)), qt.DeepEquals, []Action{Stop{"p3", StopReasonEvicted}})
	l.Stopped(at(2650), "p3")
	qt.Assert(t, l.Advance(at(2650)), qt.HasLen, 0)
	qt.Assert(t, ruleOrType(l.Reserve(at(2650), request("other", "sur", 1))), qt.Equals, RuleNoFreePlace)
	qt.Assert(t, l.NextDeadline(), qt.Equals, at(4000))
	qt.Assert(t, l.Advance(at(4000)), qt.DeepEquals, []Action{Stop{"p1", StopReasonEvicted}})
	l.Stopped(at(4010), "p1")
	qt.Assert(t, l.Advance(at(4010)), qt.DeepEquals, []Action{Admit{"a", Granted{}}})
	qt.Assert(t, l.Holdings["a"].ExpiresAt, qt.Equals, at(5010))
}

// TestLease guards against a late renewal that shortens a lease, extends it to
// more than one lease after the confirmation, or revives an expired one.
func TestLease(t *testing.T) {
	l := newLedger()
	mustRun(t, l, at(0), request("a", "norte", 2))
	l.Holdings["a"].ExpiresAt = at(1000)
	first, _ := l.Confirm(at(100), "a")
	second, _ := l.Confirm(at(500), "a")
	until, ok := l.Renew(at(900), "a", second, time.Second)
	qt.Assert(t, []any{until, ok}, qt.DeepEquals, []any{at(1500), true})
	until, ok = l.Renew(at(950), "a", first, time.Second)
	qt.Assert(t, []any{until, ok}, qt.DeepEquals, []any{at(1500), true})
	_, ok = l.Renew(at(950), "a", second+1, time.Second)
	qt.Assert(t, ok, qt.IsFalse)
	_, ok = l.Renew(at(1500), "a", second, time.Hour)
	qt.Assert(t, ok, qt.IsFalse)
	qt.Assert(t, l.Advance(at(1500)), qt.DeepEquals, []Action{Stop{"a", StopReasonLeaseExpired}})
	_, running := l.Confirm(at(1501), "a")
	qt.Assert(t, running, qt.IsFalse)
}

// TestShortQueue guards against short tasks that are not admitted in the order of
// urgency, an unbounded queue, and a task that waits beyond its time limit.
func TestShortQueue(t *testing.T) {
	l := newLedger()
	mustRun(t, l, at(0), request("fixed", "norte", 6))
	short := func(name string, urgency job.Urgency, accelerators, waitMs int) string {
		return ruleOrType(l.RunShort(at(1), Request{JobID: name, Attempt: name, Org: "sur", Tasks: 1, AcceleratorsPerTask: accelerators, Urgency: urgency, WaitUntil: at(waitMs)}))
	}
	qt.Assert(t, short("runs", job.UrgencyBatch, 2, 0), qt.Equals, "ledger.Granted")
	qt.Assert(t, short("mayNotWait", job.UrgencyUrgent, 1, 0), qt.Equals, RuleNoFreePlace)
	qt.Assert(t, short("batch", job.UrgencyBatch, 1, 900), qt.Equals, "ledger.Queued")
	qt.Assert(t, short("late", job.UrgencyNormal, 1, 900), qt.Equals, "ledger.Queued")
	qt.Assert(t, short("soon", job.UrgencyNormal, 1, 800), qt.Equals, "ledger.Queued")
	qt.Assert(t, short("wide", job.UrgencyUrgent, 2, 700), qt.Equals, "ledger.Queued")
	qt.Assert(t, short("batch2", job.UrgencyBatch, 1, 950), qt.Equals, RuleQueueFull)
	qt.Assert(t, short("urgent", job.UrgencyUrgent, 3, 500), qt.Equals, "ledger.Queued")
	qt.Assert(t, ruleOrType(l.Advance(at(1))[0].(Admit).Decision), qt.Equals, RuleQueueFull)
	l.Stopped(at(2), "runs")
	qt.Assert(t, l.Advance(at(2)), qt.DeepEquals, []Action{Admit{"wide", Granted{}}})
	qt.Assert(t, l.NextDeadline(), qt.Equals, at(500))
	refused := l.Advance(at(500))
	qt.Assert(t, refused, qt.HasLen, 1)
	qt.Assert(t, ruleOrType(refused[0].(Admit).Decision), qt.Equals, RuleDeadlineUnreachable)
	l.Started(at(501), "wide")
	l.Stopped(at(502), "wide")
	qt.Assert(t, l.Advance(at(502)), qt.DeepEquals, []Action{Admit{"soon", Granted{}}, Admit{"late", Granted{}}})
}

// TestLoan guards against accelerators on loan that are not returned, and against
// a loan that delays a reclaim.
func TestLoan(t *testing.T) {
	l := newLedger()
	runBorrower(t, l, 8)
	urgent := Request{JobID: "u", Attempt: "u", Org: "sur", Tasks: 1, AcceleratorsPerTask: 2, Urgency: job.UrgencyUrgent, WaitUntil: at(100)}
	qt.Assert(t, l.RunShort(at(10), urgent), qt.DeepEquals, Decision(Lending{Pause: []string{"borrower"}}))
	l.Started(at(11), "u")
	d := l.Reserve(at(20), Request{JobID: "j", Attempt: "a", Org: "norte", Term: 1, Tasks: 4, AcceleratorsPerTask: 1, Hold: time.Second, ConfigOffset: 1, Reclaim: true})
	qt.Assert(t, d, qt.DeepEquals, Decision(Reclaiming{Victims: []string{"borrower"}, Deadline: at(5020)}))
	l.Advance(at(20))
	qt.Assert(t, l.Advance(at(3020)), qt.DeepEquals, []Action{Stop{"borrower", StopReasonEvicted}, Stop{"u", StopReasonEvicted}})
	l.Stopped(at(3030), "borrower")
	qt.Assert(t, l.Advance(at(3030)), qt.DeepEquals, []Action{Admit{"a", Granted{}}})

	l = newLedger()
	l.Slots = 16
	runBorrower(t, l, 7)
	l.RunShort(at(10), urgent)
	for name, accelerators := range map[string]int{"one": 6, "more": 1} {
		more := urgent
		more.Attempt, more.JobID, more.AcceleratorsPerTask = name, name, accelerators
		l.RunShort(at(10), more)
	}
	l.Advance(at(10))
	qt.Assert(t, l.loansGiven("borrower") <= 7, qt.IsTrue)
	for _, name := range []string{"one", "more"} {
		l.Release(at(10), name, name, 0, false)
		l.Stopped(at(10), name)
	}
	other := request("other", "este", 1)
	other.Preemptible = true
	qt.Assert(t, ruleOrType(l.Reserve(at(10), other)), qt.Equals, RuleNoFreePlace)
	l.Started(at(11), "u")
	l.Advance(at(11))
	l.Stopped(at(50), "u")
	qt.Assert(t, l.Advance(at(50)), qt.DeepEquals, []Action{Resume{"borrower"}})
}

// model applies random operations to a ledger and records what the ledger has
// promised, to check it against later decisions.
type model struct {
	*rapid.T
	l   *Ledger
	now time.Time
	// refused holds the attempts that must never start after a refusal or release,
	// and expired holds those whose lease has expired.
	refused, expired map[string]bool
	// rounds holds the numbers that Confirm returned for each attempt.
	rounds map[string][]int
	// terms is the newest term that acted on each job.
	terms map[string]int64
}

var orgs = []string{"norte", "sur", "este"}

func (m *model) drawAttempt() string {
	return fmt.Sprint("a", rapid.IntRange(0, 30).Draw(m.T, "attempt"))
}

// jobOf returns the job of an attempt. Attempts whose names end with the same
// digit belong to the same job.
func jobOf(attempt string) string { return "job" + attempt[len(attempt)-1:] }

func (m *model) reserve() {
	a := m.drawAttempt()
	r := request(a, rapid.SampledFrom(orgs).Draw(m.T, "org"), rapid.IntRange(1, 4).Draw(m.T, "tasks"))
	r.JobID, r.Preemptible, r.Reclaim = jobOf(a), rapid.Bool().Draw(m.T, "preemptible"), rapid.Bool().Draw(m.T, "reclaim")
	r.AcceleratorsPerTask = rapid.IntRange(0, 2).Draw(m.T, "accelerators")
	r.Term = int64(rapid.IntRange(1, 3).Draw(m.T, "term"))
	r.ConfigOffset = m.l.ConfigOffset - int64(rapid.IntRange(0, 1).Draw(m.T, "behind"))
	known := m.l.find(a) != nil
	d := m.l.Reserve(m.now, r)
	if _, ok := d.(Granted); ok && !known {
		if m.refused[a] {
			m.Fatalf("%s was refused for good, then granted", a)
		}
		if r.ConfigOffset < m.l.ConfigOffset || r.Term < m.terms[r.JobID] {
			m.Fatalf("%s: granted under configuration %d and term %d; in force %d and %d", a, r.ConfigOffset, r.Term, m.l.ConfigOffset, m.terms[r.JobID])
		}
		if excess := m.l.excessOverShares(Request{Org: r.Org}); excess > 0 && !r.Preemptible {
			m.Fatalf("%s: granted %d accelerators that are guaranteed to other organisations", a, excess)
		}
		m.terms[r.JobID] = r.Term
	}
	refused, ok := d.(Refused)
	within := m.l.orgUsage(r.Org)+r.Accelerators() <= m.l.Shares[r.Org]
	if ok && refused.Rule == RuleNoFreePlace && r.Reclaim && within && r.AcceleratorsPerTask > 0 && !m.lacksSlots(r.Tasks) {
		m.Fatalf("%s of %s is within its share and was refused: %s", a, r.Org, refused.Reason)
	}
}

// lacksSlots reports whether too few slots are free for the tasks. A request within
// its share may then be refused, because shares guarantee only accelerators.
func (m *model) lacksSlots(tasks int) bool {
	for _, h := range m.l.Holdings {
		tasks += h.Tasks
	}
	for _, h := range m.l.Reclaims {
		tasks += h.Tasks
	}
	return tasks > m.l.Slots
}

func (m *model) start() {
	a := m.drawAttempt()
	h := m.l.Holdings[a]
	s := StartRequest{
		Attempt: a, JobID: jobOf(a), Term: int64(rapid.IntRange(1, 3).Draw(m.T, "term")),
		ConfigOffset: m.l.ConfigOffset - int64(rapid.IntRange(0, 1).Draw(m.T, "behind")), LeaseUntil: m.now.Add(4 * time.Second),
	}
	d := m.l.Start(m.now, s)
	if d == Decision(Granted{}) && (m.refused[a] || h == nil || s.Term != h.Term || s.ConfigOffset < m.l.ConfigOffset || s.Term < m.terms[s.JobID]) {
		m.Fatalf("%s started against the rules: %+v", a, s)
	}
	if r, ok := d.(Refused); ok && r.Rule != RuleStaleTerm {
		m.refused[a] = true
	}
}

// startAll starts all reserved attempts and reports those being started as
// started, so that the test often has many running attempts.
func (m *model) startAll() {
	for _, a := range m.l.sortedAttempts() {
		if h := m.l.Holdings[a]; h.State == StateReserved {
			m.l.Start(m.now, StartRequest{Attempt: a, JobID: h.JobID, Term: h.Term, ConfigOffset: m.l.ConfigOffset, LeaseUntil: m.now.Add(4 * time.Second)})
		}
		m.l.Started(m.now, a)
	}
}

func (m *model) run() {
	a := "s" + m.drawAttempt()
	m.l.RunShort(m.now, Request{
		JobID: a, Attempt: a, Org: rapid.SampledFrom(orgs).Draw(m.T, "org"), Tasks: 1, AcceleratorsPerTask: rapid.IntRange(0, 3).Draw(m.T, "accelerators"),
		Urgency: rapid.SampledFrom([]job.Urgency{job.UrgencyUrgent, job.UrgencyNormal, job.UrgencyBatch}).Draw(m.T, "urgency"), WaitUntil: m.now.Add(time.Second),
	})
}

func (m *model) release() {
	a := m.drawAttempt()
	d := m.l.Release(m.now, jobOf(a), a, 3, rapid.Bool().Draw(m.T, "checkpoint"))
	if _, ok := d.(Refused); !ok {
		m.refused[a] = true
		m.terms[jobOf(a)] = max(m.terms[jobOf(a)], m.l.jobs[jobOf(a)].newestTerm)
	}
}

func (m *model) drawHolding() string {
	attempts := m.l.sortedAttempts()
	if len(attempts) == 0 {
		return ""
	}
	return rapid.SampledFrom(attempts).Draw(m.T, "holding")
}

func (m *model) renew() {
	a := m.drawHolding()
	if n, running := m.l.Confirm(m.now, a); running {
		m.rounds[a] = append(m.rounds[a], n)
	}
	if len(m.rounds[a]) == 0 {
		return
	}
	before := m.l.Holdings[a].ExpiresAt
	_, ok := m.l.Renew(m.now, a, rapid.SampledFrom(m.rounds[a]).Draw(m.T, "round"), 4*time.Second)
	if until := m.l.Holdings[a].ExpiresAt; until.Before(before) || ok && (m.expired[a] || !m.now.Before(before)) || until.After(m.now.Add(4*time.Second)) {
		m.Fatalf("%s: renewed=%v from %v to %v at %v, expired=%v", a, ok, before, until, m.now, m.expired[a])
	}
}

// check checks the capacity invariants in the doc comment of Ledger and the length of
// the queue, and records the attempts whose leases have expired.
func (m *model) check() {
	held, inUse, tasks, unpaused, notShort := 0, 0, 0, 0, 0
	for _, h := range m.l.Holdings {
		held += h.Accelerators() - h.loansTaken()
		tasks += h.Tasks
		if h.PausedAt.IsZero() {
			inUse += h.Accelerators()
			unpaused += h.Tasks
		}
		if !h.Short {
			notShort += h.Tasks
		}
		if h.State == StateRunning && !m.now.Before(h.ExpiresAt) {
			m.expired[h.Attempt] = true
		}
	}
	if held > m.l.Accelerators || inUse > m.l.Accelerators || notShort > m.l.Slots || unpaused > m.l.Slots+m.l.ExtraSlots() || tasks > 2*m.l.Slots+m.l.ExtraSlots() || len(m.l.Queue) > m.l.MaxQueue {
		m.Fatalf("overbooked: accelerators %d held, %d in use; tasks %d, %d not paused, %d not short; %d wait", held, inUse, tasks, unpaused, notShort, len(m.l.Queue))
	}
}

// TestLedgerInvariants guards against overbooked accelerators or slots, shares
// that cannot be reclaimed, attempts that start after a refusal, expired leases
// that are renewed, and requests of an older term or configuration that are
// granted.
func TestLedgerInvariants(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := &model{T: t, l: newLedger(), now: start, refused: map[string]bool{}, expired: map[string]bool{}, rounds: map[string][]int{}, terms: map[string]int64{}}
		step := func(f func()) func(*rapid.T) {
			return func(*rapid.T) {
				m.l.Advance(m.now)
				f()
				m.l.Advance(m.now)
			}
		}
		t.Repeat(map[string]func(*rapid.T){
			"reserve": step(m.reserve),
			"start":   step(m.start),
			"run":     step(m.run),
			"release": step(m.release),
			"renew":   step(m.renew),
			"started": step(func() { m.l.Started(m.now, m.drawHolding()) }),
			"begin":   step(m.startAll),
			"failed":  step(func() { m.l.StartFailed(m.now, m.drawHolding(), true) }),
			"saved":   step(func() { m.l.Checkpointed(m.now, m.drawHolding()) }),
			"gone": step(func() {
				if h := m.l.Holdings[m.drawHolding()]; h != nil && h.State != StateReserved {
					m.l.Stopped(m.now, h.Attempt)
				}
			}),
			"configure": step(func() { m.l.Configure(m.l.ConfigOffset+1, m.l.Shares, false) }),
			"wait":      step(func() { m.now = m.now.Add(time.Duration(rapid.IntRange(1, 2000).Draw(t, "ms")) * time.Millisecond) }),
			"":          func(*rapid.T) { m.check() },
		})
	})
}
