package ledger

import (
	"fmt"
	"slices"
	"time"

	"celerypoint.example/celerypoint/job"
	"celerypoint.example/celerypoint/vm"
)

const (
	// maxTombstones bounds the attempts that are remembered as over. An order
	// can only be late by as long as its connection holds it, which is seconds;
	// at 100 attempts a second 16,384 cover more than two minutes. With names
	// of 30 bytes they took 5 MB of an agent's 32 MB.
	maxTombstones = 16384
	// maxRounds covers confirmations whose renewals are still on their way.
	maxRounds = 4
)

// tombstone remembers an attempt that is over.
type tombstone struct {
	started bool
	rule    string
	job     string
}

// jobTerm is the newest planner term that acted on a job.
type jobTerm struct {
	newest     int64
	tombstones int
}

// Ledger is the state of one VM. Make it with New; operations keep the
// invariants: holdings never exceed Accelerators, tasks that are not short
// never exceed Slots, and short tasks that borrow nothing never bring the sum
// above Slots plus ExtraSlots; neither do those that borrow, paused tasks aside.
type Ledger struct {
	Accelerators int
	Slots        int
	// MaxQueue bounds the short tasks that wait.
	MaxQueue int
	Timing   Timing
	// ConfigOffset is the newest configuration that was acted on.
	ConfigOffset int64
	// Shares are the accelerators owed to each organisation.
	Shares map[string]int
	// Draining and Leaving refuse new work.
	Draining bool
	Leaving  bool
	// Holdings are the attempts that take a place, by attempt.
	Holdings map[string]*Holding
	// Reclaims wait for borrowers to end, in the order of their arrival.
	Reclaims []*Holding
	// Queue holds the waiting short tasks, the next one first.
	Queue []*Holding

	round      int
	outbox     []Action
	tombstones map[string]tombstone
	// tombstoneOrder lists the keys of tombstones, oldest first.
	tombstoneOrder []string
	// terms is the newest term of each job that is held or has a tombstone.
	terms map[string]jobTerm
}

// New makes the ledger of an empty VM.
func New(accelerators, slots, maxQueue int, t Timing) *Ledger {
	return &Ledger{
		Accelerators: accelerators, Slots: slots, MaxQueue: maxQueue, Timing: t,
		Holdings: map[string]*Holding{}, tombstones: map[string]tombstone{}, terms: map[string]jobTerm{},
	}
}

// ExtraSlots is the number of tasks that urgent short work may run beyond
// Slots, so that a VM full of long tasks still serves urgent work. Paused tasks
// do not count for a task that borrows; see runningBeside.
func (l *Ledger) ExtraSlots() int { return max(1, l.Slots/4) }

// Configure takes a configuration that is newer than the one acted on.
func (l *Ledger) Configure(offset int64, shares map[string]int, draining bool) bool {
	if offset <= l.ConfigOffset {
		return false
	}
	l.ConfigOffset, l.Shares, l.Draining = offset, shares, draining
	return true
}

// Drain starts or ends draining; it reports false for an older configuration.
func (l *Ledger) Drain(offset int64, draining bool) bool {
	if offset < l.ConfigOffset {
		return false
	}
	l.Draining = draining
	return true
}

// Leave refuses new work from now on: what waits is refused, and reservations
// that have not started are dropped.
func (l *Ledger) Leave() {
	l.Leaving = true
	for _, h := range slices.Concat(l.Reclaims, l.Queue) {
		l.refuse(h, RuleVMDraining, "the agent is leaving")
	}
	l.Reclaims, l.Queue = nil, nil
	for _, h := range l.Holdings {
		if h.State == StateReserved {
			l.discard(h, RuleVMDraining)
		}
	}
}

// AnnouncedHoldings lists the holdings as they are announced.
func (l *Ledger) AnnouncedHoldings() []vm.Holding {
	views := make([]vm.Holding, 0, len(l.Holdings))
	for _, h := range l.Holdings {
		views = append(views, h.view())
	}
	slices.SortFunc(views, func(a, b vm.Holding) int { return compareText(a.Attempt, b.Attempt) })
	return views
}

// Reserve holds accelerators until a deadline.
func (l *Ledger) Reserve(now time.Time, r Request) Decision {
	if d, done := l.known(now, r); done {
		return d
	}
	if r.Tasks > l.Slots || r.Accelerators() > l.Accelerators {
		return Refused{RuleNoFreePlace, fmt.Sprintf("asked for %d tasks and %d accelerators, the VM has %d and %d", r.Tasks, r.Accelerators(), l.Slots, l.Accelerators)}
	}
	l.supersede(r)
	if !r.Preemptible {
		if over := l.beyondShares(r); over > 0 {
			return Refused{RuleOwnShareOnly, fmt.Sprintf("%d accelerators beyond the share of %s are owed to others", over, r.Org)}
		}
	}
	h := &Holding{Request: r, State: StateReserved, ExpiresAt: now.Add(r.Hold)}
	accelerators, slots := l.free()
	if r.Accelerators() <= accelerators && r.Tasks <= slots {
		l.hold(h)
		return Granted{}
	}
	if !r.Reclaim || l.used(r.Org)+r.Accelerators() > l.Shares[r.Org] {
		return Refused{RuleNoFreePlace, fmt.Sprintf("asked for %d tasks and %d accelerators, free are %d and %d", r.Tasks, r.Accelerators(), slots, accelerators)}
	}
	return l.reclaim(now, h)
}

// known answers a request for an attempt that the ledger knows, or that no
// new work may come of.
func (l *Ledger) known(now time.Time, r Request) (Decision, bool) {
	if h := l.find(r.Attempt); h != nil {
		if h.State == StateWaiting {
			return Reclaiming{Deadline: h.StopAt}, true
		}
		if h.State == StateReserved && !now.Before(h.ExpiresAt) {
			return Refused{RuleReservationExpired, "the reservation has expired"}, true
		}
		if h.StopReason != "" {
			return Refused{RuleAttemptReleased, "the attempt is being stopped"}, true
		}
		return Granted{Duplicate: true}, true
	}
	if t, ok := l.tombstones[r.Attempt]; ok {
		return Refused{t.rule, "the attempt is over"}, true
	}
	if newest := l.terms[r.JobID].newest; r.Term < newest {
		return Refused{RuleStaleTerm, fmt.Sprintf("term %d, the newest is %d", r.Term, newest)}, true
	}
	if d, refused := l.closed(r.ConfigOffset); refused {
		return d, true
	}
	return nil, false
}

// closed refuses when no new work may start.
func (l *Ledger) closed(offset int64) (Refused, bool) {
	switch {
	case l.Leaving:
		return Refused{RuleVMDraining, "the agent is leaving"}, true
	case l.Draining:
		return Refused{RuleVMDraining, "an operator drains the VM"}, true
	case offset < l.ConfigOffset:
		return Refused{RuleStaleConfiguration, fmt.Sprintf("configuration %d, the VM acted on %d", offset, l.ConfigOffset)}, true
	default:
		return Refused{}, false
	}
}

// supersede drops older reservations of the same job, and remembers the term.
func (l *Ledger) supersede(r Request) {
	for _, h := range l.Holdings {
		if h.JobID == r.JobID && h.Term < r.Term && h.State == StateReserved {
			l.discard(h, RuleStaleTerm)
		}
	}
	l.Reclaims = slices.DeleteFunc(l.Reclaims, func(h *Holding) bool {
		old := h.JobID == r.JobID && h.Term < r.Term
		if old {
			l.refuse(h, RuleStaleTerm, "a newer planner took the job")
		}
		return old
	})
}

// Start lets a reserved attempt start under a lease.
func (l *Ledger) Start(now time.Time, s StartRequest) Decision {
	h := l.Holdings[s.Attempt]
	if h == nil {
		return l.startUnknown(s)
	}
	if s.Term != h.Term {
		return Refused{RuleStaleTerm, fmt.Sprintf("term %d, the reservation has %d", s.Term, h.Term)}
	}
	if h.State != StateReserved {
		return Granted{Duplicate: true}
	}
	if !now.Before(h.ExpiresAt) {
		l.discard(h, RuleReservationExpired)
		return Refused{RuleReservationExpired, "the reservation has expired"}
	}
	if newest := l.terms[h.JobID].newest; s.Term < newest {
		l.discard(h, RuleStaleTerm)
		return Refused{RuleStaleTerm, fmt.Sprintf("term %d, the newest is %d", s.Term, newest)}
	}
	if d, refused := l.closed(s.ConfigOffset); refused {
		l.discard(h, d.Rule)
		return d
	}
	h.State, h.ExpiresAt, h.StartedAt, h.EndsAt = StateStarting, s.LeaseUntil, now, s.EndsAt
	return Granted{}
}

// startUnknown answers a start of an attempt that holds no place. A refusal
// has to stay true, so the attempt gets a tombstone and waits no longer.
func (l *Ledger) startUnknown(s StartRequest) Decision {
	if h := l.find(s.Attempt); h != nil {
		l.unqueue(h)
		l.refuse(h, RuleReservationExpired, "it was started before it was granted")
	}
	t, ok := l.tombstones[s.Attempt]
	switch {
	case ok && t.started:
		return Granted{Duplicate: true}
	case ok:
		return Refused{t.rule, "the attempt is over"}
	default:
		l.remember(s.Attempt, tombstone{rule: RuleReservationExpired, job: s.JobID}, s.Term)
		return Refused{RuleReservationExpired, "there is no reservation of this attempt"}
	}
}

// Started reports that the runtime runs every task of the attempt.
func (l *Ledger) Started(now time.Time, attempt string) {
	h := l.Holdings[attempt]
	if h == nil || h.State != StateStarting {
		return
	}
	h.State = StateRunning
	h.StartedAt = now
}

// StartFailed reports that not every task started. The attempt is stopped;
// unsure says that a start may still reach the runtime.
func (l *Ledger) StartFailed(now time.Time, attempt string, unsure bool) {
	h := l.Holdings[attempt]
	if h == nil || h.State != StateStarting {
		return
	}
	h.StartUncertain = unsure
	l.scheduleStop(now, h, StopReasonStartFailed, false)
	h.State = StateStopping
}

// Stopped reports that the runtime has confirmed that no task of the attempt
// runs. It reports whether the place is free now.
func (l *Ledger) Stopped(now time.Time, attempt string) bool {
	h := l.Holdings[attempt]
	if h == nil {
		return true
	}
	if h.StartUncertain && now.Before(h.ExpiresAt) {
		return false
	}
	l.discard(h, RuleAttemptReleased)
	return true
}

// Confirm answers whether the attempt runs, and in which round that was said.
func (l *Ledger) Confirm(now time.Time, attempt string) (round int, running bool) {
	h := l.Holdings[attempt]
	if h == nil || h.State != StateRunning || h.StopReason == StopReasonLeaseExpired || h.StopReason == StopReasonReleased || !now.Before(h.ExpiresAt) {
		return 0, false
	}
	l.round++
	if len(h.Rounds) == maxRounds {
		h.Rounds = h.Rounds[1:]
	}
	h.Rounds = append(h.Rounds, Round{l.round, now})
	return l.round, true
}

// Renew extends the lease so that it ends a lease after the confirmation of
// the round was answered. It returns the end of the lease, and false when the
// lease has expired or the round is not known.
func (l *Ledger) Renew(now time.Time, attempt string, round int, lease time.Duration) (time.Time, bool) {
	h := l.Holdings[attempt]
	if h == nil || h.State != StateRunning || h.StopReason == StopReasonLeaseExpired || h.StopReason == StopReasonReleased || !now.Before(h.ExpiresAt) {
		return time.Time{}, false
	}
	for _, r := range h.Rounds {
		if r.Number != round {
			continue
		}
		until := r.At.Add(lease)
		if !now.Before(until) {
			return time.Time{}, false
		}
		if until.After(h.ExpiresAt) {
			h.ExpiresAt = until
		}
		return h.ExpiresAt, true
	}
	return time.Time{}, false
}

// Release drops the attempt, or has Advance stop it, and refuses it from then
// on. With checkpoint the attempt may first save its progress.
func (l *Ledger) Release(now time.Time, jobID, attempt string, term int64, checkpoint bool) Decision {
	h := l.find(attempt)
	if h == nil {
		t, ok := l.tombstones[attempt]
		if !ok {
			l.remember(attempt, tombstone{rule: RuleAttemptReleased, job: jobID}, term)
		}
		return Released{Started: t.started}
	}
	if term < h.Term {
		return Refused{RuleStaleTerm, fmt.Sprintf("term %d, the attempt has %d", term, h.Term)}
	}
	switch h.State {
	case StateWaiting:
		l.unqueue(h)
		l.refuse(h, RuleAttemptReleased, "released while it waited")
		return Released{}
	case StateReserved:
		l.discard(h, RuleAttemptReleased)
		return Released{}
	}
	l.scheduleStop(now, h, StopReasonReleased, checkpoint)
	return Stopping{}
}

// Checkpointed reports that every task of the attempt has saved its progress.
func (l *Ledger) Checkpointed(now time.Time, attempt string) {
	h := l.Holdings[attempt]
	if h == nil {
		return
	}
	h.SavedAt = now
	if h.StopReason != "" && h.State == StateRunning && h.CheckpointAt.IsZero() {
		h.StopAt = now
	}
}

// Evict has Advance checkpoint and then stop every preemptible attempt, for an
// agent that leaves before they end. What is nearly finished is spared as in a
// reclaim.
func (l *Ledger) Evict(now time.Time) {
	for _, h := range l.Holdings {
		if h.Preemptible && h.StopReason == "" && h.State != StateReserved {
			l.evict(now, h)
		}
	}
}

// scheduleStop sets the deadlines of a stop; deadlines that are earlier stay.
func (l *Ledger) scheduleStop(now time.Time, h *Holding, why StopReason, checkpoint bool) {
	stop := now
	switch {
	case !checkpoint || h.Short:
		h.CheckpointAt = time.Time{}
	default:
		stop = now.Add(l.Timing.Checkpoint)
		if h.StopReason == "" {
			h.CheckpointAt = now
		}
	}
	if h.StopAt.IsZero() || stop.Before(h.StopAt) {
		h.StopAt = stop
	}
	h.StopReason = why
}

// find returns the holding or the waiting request of the attempt, or nil.
func (l *Ledger) find(attempt string) *Holding {
	if h := l.Holdings[attempt]; h != nil {
		return h
	}
	for _, h := range l.Reclaims {
		if h.Attempt == attempt {
			return h
		}
	}
	for _, h := range l.Queue {
		if h.Attempt == attempt {
			return h
		}
	}
	return nil
}

func (l *Ledger) unqueue(h *Holding) {
	same := func(o *Holding) bool { return o == h }
	l.Reclaims = slices.DeleteFunc(l.Reclaims, same)
	l.Queue = slices.DeleteFunc(l.Queue, same)
}

func (l *Ledger) hold(h *Holding) {
	l.Holdings[h.Attempt] = h
	if !h.Short {
		j := l.terms[h.JobID]
		l.terms[h.JobID] = jobTerm{newest: max(j.newest, h.Term), tombstones: j.tombstones}
	}
}

// refuse ends the wait of a request that took no place.
func (l *Ledger) refuse(h *Holding, rule, reason string) {
	l.outbox = append(l.outbox, Admit{h.Attempt, Refused{rule, reason}})
	if !h.Short || rule == RuleAttemptReleased {
		l.remember(h.Attempt, tombstone{rule: rule, job: h.JobID}, h.Term)
	}
}

// discard frees the place of an attempt, which never comes back.
func (l *Ledger) discard(h *Holding, rule string) {
	delete(l.Holdings, h.Attempt)
	if h.State == StateReserved {
		l.outbox = append(l.outbox, Dropped{h.Attempt, rule})
	}
	// A short task is idempotent, so only its release is worth a tombstone.
	if !h.Short || h.StopReason == StopReasonReleased {
		l.remember(h.Attempt, tombstone{started: h.State != StateReserved, rule: rule, job: h.JobID}, h.Term)
	}
	for _, s := range l.Holdings {
		delete(s.Loans, h.Attempt)
		if len(s.Loans) == 0 {
			s.LoanUntil = time.Time{}
		}
	}
}

func (l *Ledger) remember(attempt string, t tombstone, term int64) {
	if _, ok := l.tombstones[attempt]; ok {
		return
	}
	if len(l.tombstoneOrder) >= maxTombstones {
		l.forgetOldest()
	}
	l.tombstones[attempt] = t
	l.tombstoneOrder = append(l.tombstoneOrder, attempt)
	j := l.terms[t.job]
	l.terms[t.job] = jobTerm{newest: max(j.newest, term), tombstones: j.tombstones + 1}
}

// forgetOldest drops the oldest tombstone, and its job's term with the last
// tombstone of the job.
func (l *Ledger) forgetOldest() {
	attempt := l.tombstoneOrder[0]
	l.tombstoneOrder = l.tombstoneOrder[1:]
	name := l.tombstones[attempt].job
	delete(l.tombstones, attempt)
	j := l.terms[name]
	j.tombstones--
	l.terms[name] = j
	for _, h := range l.Holdings {
		if h.JobID == name {
			return
		}
	}
	if j.tombstones == 0 {
		delete(l.terms, name)
	}
}

// free is what a new holding may take: accelerators and slots that nothing
// holds and no reclaim waits for.
func (l *Ledger) free() (accelerators, slots int) {
	accelerators, slots = l.Accelerators, l.Slots
	for _, h := range l.Holdings {
		accelerators -= h.Accelerators() - h.loaned()
		slots -= h.Tasks
	}
	for _, h := range l.Reclaims {
		accelerators -= h.Accelerators()
		slots -= h.Tasks
	}
	return accelerators, slots
}

// used is what an organisation holds or waits to reclaim, without what is
// being evicted.
func (l *Ledger) used(org string) int {
	n := 0
	for _, h := range l.Holdings {
		if h.Org == org && h.StopReason == "" {
			n += h.Accelerators() - h.loaned()
		}
	}
	for _, h := range l.Reclaims {
		if h.Org == org {
			n += h.Accelerators()
		}
	}
	return n
}

// beyondShares is by how many accelerators non-preemptible work would exceed
// the organisations' own shares and what is owed to nobody, if r were granted.
// Short tasks are idempotent, so they count as preemptible.
func (l *Ledger) beyondShares(r Request) int {
	fixed := map[string]int{r.Org: r.Accelerators()}
	add := func(h *Holding) {
		if !h.Preemptible && !h.Short {
			fixed[h.Org] += h.Accelerators()
		}
	}
	for _, h := range l.Holdings {
		add(h)
	}
	for _, h := range l.Reclaims {
		add(h)
	}
	if fixed[r.Org] <= l.Shares[r.Org] {
		return 0
	}
	unowed := l.Accelerators
	for _, n := range l.Shares {
		unowed -= n
	}
	beyond := 0
	for org, n := range fixed {
		beyond += max(0, n-l.Shares[org])
	}
	return max(0, beyond-max(0, unowed))
}

func compareText(a, b string) int {
	switch {
	case a < b:
		return -1
	case a > b:
		return 1
	default:
		return 0
	}
}

// laneRank orders the lanes.
func laneRank(u job.Urgency) int {
	switch u {
	case job.UrgencyUrgent:
		return 0
	case job.UrgencyNormal:
		return 1
	default:
		return 2
	}
}
