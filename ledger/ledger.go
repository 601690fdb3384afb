package ledger

import (
	"fmt"
	"slices"
	"time"

	"celerypoint.example/celerypoint/job"
	"celerypoint.example/celerypoint/vm"
)

const (
	// maxTombstones bounds the number of tombstones. A late request can only be as
	// old as its connection keeps it in transit, which is seconds. At 100 attempts
	// a second 16,384 tombstones cover more than two minutes. With attempt names
	// of 30 bytes they took 5 MB of the 32 MB of memory of an agent.
	maxTombstones = 16384
	// maxRounds is the number of confirmations that an attempt keeps, so that a
	// renewal that arrives late can still refer to its confirmation.
	maxRounds = 4
)

// tombstone records an attempt that has ended or must never start, so that a
// late request does not start it. started says that its start was granted, and
// rule names the rule by which late requests are refused.
type tombstone struct {
	started bool
	rule    string
	job     string
}

// jobInfo is the newest planner term that acted on a job, and the number of the
// job's tombstones.
type jobInfo struct {
	newestTerm int64
	tombstones int
}

// Ledger is the state of one VM. Make it with New. Operations keep these
// invariants: the holdings never have more accelerators than Accelerators; the tasks
// that are not short never exceed Slots; and no short task is admitted that brings
// the number of all tasks above Slots plus ExtraSlots. Accelerators on loan are
// counted only for the attempt that lends them. Paused tasks are not counted when a
// short task with loans is admitted.
type Ledger struct {
	Accelerators int
	Slots        int
	// MaxQueue bounds the length of Queue.
	MaxQueue int
	Timing   Timing
	// ConfigOffset is the log offset of the configuration in use.
	ConfigOffset int64
	// Shares maps organisations to the accelerators of this VM that they are
	// guaranteed.
	Shares map[string]int
	// Draining says that an operator drains the VM, and Leaving that its agent
	// is stopping. Both make the ledger refuse new work.
	Draining bool
	Leaving  bool
	// Holdings are the attempts that have accelerators or slots, by attempt.
	Holdings map[string]*Holding
	// Reclaims are the requests that wait for borrowers to end, in the order of
	// their arrival.
	Reclaims []*Holding
	// Queue holds the waiting short tasks in the order in which compareShort
	// sorts them.
	Queue []*Holding

	round      int
	outbox     []Action
	tombstones map[string]tombstone
	// tombstoneOrder lists the keys of tombstones, oldest first.
	tombstoneOrder []string
	// jobs holds the jobs that have a tombstone or a holding that is not a short
	// task, by job ID.
	jobs map[string]jobInfo
}

// New returns the ledger of a VM without holdings.
func New(accelerators, slots, maxQueue int, t Timing) *Ledger {
	return &Ledger{
		Accelerators: accelerators, Slots: slots, MaxQueue: maxQueue, Timing: t,
		Holdings: map[string]*Holding{}, tombstones: map[string]tombstone{}, jobs: map[string]jobInfo{},
	}
}

// ExtraSlots is the number of urgent short tasks that may run beyond Slots, so
// that a VM full of long tasks still serves urgent work. Paused tasks do not
// count when a short task with loans is admitted; see unpausedTasks.
func (l *Ledger) ExtraSlots() int { return max(1, l.Slots/4) }

// Configure applies a configuration if it is newer than the one in use, and
// reports whether it was.
func (l *Ledger) Configure(offset int64, shares map[string]int, draining bool) bool {
	if offset <= l.ConfigOffset {
		return false
	}
	l.ConfigOffset, l.Shares, l.Draining = offset, shares, draining
	return true
}

// Drain starts or ends draining by a direct order of an entry, which also works
// while no newer configuration can be read. The offset is that of the
// configuration that the entry knew when it gave the order. If that is older
// than the one in use, Drain does nothing and reports false.
func (l *Ledger) Drain(offset int64, draining bool) bool {
	if offset < l.ConfigOffset {
		return false
	}
	l.Draining = draining
	return true
}

// Leave makes the ledger refuse new work because the agent is stopping. Waiting
// requests are refused, and reservations of attempts that have not started are
// dropped.
func (l *Ledger) Leave() {
	l.Leaving = true
	for _, h := range slices.Concat(l.Reclaims, l.Queue) {
		l.refuseWaiting(h, RuleVMDraining, "the agent is stopping")
	}
	l.Reclaims, l.Queue = nil, nil
	for _, h := range l.Holdings {
		if h.State == StateReserved {
			l.removeHolding(h, RuleVMDraining)
		}
	}
}

// AnnouncedHoldings lists the holdings as the agent announces them to the
// entries.
func (l *Ledger) AnnouncedHoldings() []vm.Holding {
	holdings := make([]vm.Holding, 0, len(l.Holdings))
	for _, h := range l.Holdings {
		holdings = append(holdings, h.announced())
	}
	slices.SortFunc(holdings, func(a, b vm.Holding) int { return compareStrings(a.Attempt, b.Attempt) })
	return holdings
}

// Reserve grants accelerators and slots to an attempt for the time r.Hold,
// refuses the request, or evicts borrowers and lets Advance grant or refuse it
// later.
func (l *Ledger) Reserve(now time.Time, r Request) Decision {
	if d, done := l.answerKnown(now, r); done {
		return d
	}
	if r.Tasks > l.Slots || r.Accelerators() > l.Accelerators {
		return Refused{RuleNoFreePlace, fmt.Sprintf("asked for %d tasks and %d accelerators, the VM has %d and %d", r.Tasks, r.Accelerators(), l.Slots, l.Accelerators)}
	}
	l.supersede(r)
	if !r.Preemptible {
		if excess := l.excessOverShares(r); excess > 0 {
			return Refused{RuleOwnShareOnly, fmt.Sprintf("%d accelerators beyond the share of %s are guaranteed to other organisations", excess, r.Org)}
		}
	}
	h := &Holding{Request: r, State: StateReserved, ExpiresAt: now.Add(r.Hold)}
	accelerators, slots := l.freeCapacity()
	if r.Accelerators() <= accelerators && r.Tasks <= slots {
		l.addHolding(h)
		return Granted{}
	}
	if !r.Reclaim || l.orgUsage(r.Org)+r.Accelerators() > l.Shares[r.Org] {
		return Refused{RuleNoFreePlace, fmt.Sprintf("asked for %d tasks and %d accelerators, free are %d and %d", r.Tasks, r.Accelerators(), slots, accelerators)}
	}
	return l.reclaim(now, h)
}

// answerKnown decides a request whose attempt the ledger knows, whose term or
// configuration is too old, or that arrives while no new work may start. It
// reports false if none of these applies.
func (l *Ledger) answerKnown(now time.Time, r Request) (Decision, bool) {
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
		return Refused{t.rule, "the attempt has ended"}, true
	}
	if newest := l.jobs[r.JobID].newestTerm; r.Term < newest {
		return Refused{RuleStaleTerm, fmt.Sprintf("term %d, the newest of the job is %d", r.Term, newest)}, true
	}
	if d, refused := l.refuseNewWork(r.ConfigOffset); refused {
		return d, true
	}
	return nil, false
}

// refuseNewWork returns a refusal if new work may not start now, or not under the
// configuration at the offset.
func (l *Ledger) refuseNewWork(offset int64) (Refused, bool) {
	switch {
	case l.Leaving:
		return Refused{RuleVMDraining, "the agent is stopping"}, true
	case l.Draining:
		return Refused{RuleVMDraining, "the VM is being drained by an operator"}, true
	case offset < l.ConfigOffset:
		return Refused{RuleStaleConfiguration, fmt.Sprintf("configuration at offset %d, the VM uses the one at %d", offset, l.ConfigOffset)}, true
	default:
		return Refused{}, false
	}
}

// supersede drops the reservations and refuses the waiting requests that
// planners of older terms than r's made for the same job.
func (l *Ledger) supersede(r Request) {
	for _, h := range l.Holdings {
		if h.JobID == r.JobID && h.Term < r.Term && h.State == StateReserved {
			l.removeHolding(h, RuleStaleTerm)
		}
	}
	l.Reclaims = slices.DeleteFunc(l.Reclaims, func(h *Holding) bool {
		old := h.JobID == r.JobID && h.Term < r.Term
		if old {
			l.refuseWaiting(h, RuleStaleTerm, "a newer planner has taken over the job")
		}
		return old
	})
}

// Start decides whether a reserved attempt may start, under a lease that ends at
// s.LeaseUntil.
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
		l.removeHolding(h, RuleReservationExpired)
		return Refused{RuleReservationExpired, "the reservation has expired"}
	}
	if newest := l.jobs[h.JobID].newestTerm; s.Term < newest {
		l.removeHolding(h, RuleStaleTerm)
		return Refused{RuleStaleTerm, fmt.Sprintf("term %d, the newest of the job is %d", s.Term, newest)}
	}
	if d, refused := l.refuseNewWork(s.ConfigOffset); refused {
		l.removeHolding(h, d.Rule)
		return d
	}
	h.State, h.ExpiresAt, h.StartedAt, h.EndsAt = StateStarting, s.LeaseUntil, now, s.EndsAt
	return Granted{}
}

// startUnknown decides a start of an attempt without a holding. It refuses the
// start, unless a start was granted before and the attempt has ended since. An
// attempt must never start after a refusal, so it gets a tombstone, and a
// request of the attempt that still waits is refused, too.
func (l *Ledger) startUnknown(s StartRequest) Decision {
	if h := l.find(s.Attempt); h != nil {
		l.removeWaiting(h)
		l.refuseWaiting(h, RuleReservationExpired, "the start arrived before the reservation was granted")
	}
	t, ok := l.tombstones[s.Attempt]
	switch {
	case ok && t.started:
		return Granted{Duplicate: true}
	case ok:
		return Refused{t.rule, "the attempt has ended"}
	default:
		l.addTombstone(s.Attempt, tombstone{rule: RuleReservationExpired, job: s.JobID}, s.Term)
		return Refused{RuleReservationExpired, "there is no reservation for this attempt"}
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

// StartFailed reports that not every task of the attempt started. The ledger then
// stops the attempt. The parameter startUncertain says that a start may still
// reach the runtime.
func (l *Ledger) StartFailed(now time.Time, attempt string, startUncertain bool) {
	h := l.Holdings[attempt]
	if h == nil || h.State != StateStarting {
		return
	}
	h.StartUncertain = startUncertain
	l.scheduleStop(now, h, StopReasonStartFailed, false)
	h.State = StateStopping
}

// Stopped reports to the ledger that the runtime has confirmed that no task of
// the attempt runs. It returns whether the attempt's accelerators and slots are
// free now. They are not while a start may still reach the runtime and the lease
// has not expired.
func (l *Ledger) Stopped(now time.Time, attempt string) bool {
	h := l.Holdings[attempt]
	if h == nil {
		return true
	}
	if h.StartUncertain && now.Before(h.ExpiresAt) {
		return false
	}
	l.removeHolding(h, RuleAttemptReleased)
	return true
}

// Confirm returns whether the attempt runs, and if so the number of this
// confirmation, with which Renew extends the lease. An attempt that was released
// or whose lease has expired counts as not running. One that is being evicted
// runs until Advance returns its Stop.
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

// Renew extends the attempt's lease to the given length, counted from the time at
// which Confirm returned the round. It never shortens a lease. It returns the
// end of the lease, or false if the attempt does not run in the sense of
// Confirm, if the round is not known, or if a lease of that length would already
// have ended.
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

// Release drops the attempt if its start was not granted. Otherwise it schedules
// the stop of the attempt, before which the tasks may save their progress if
// checkpoint is set. From then on the ledger refuses to reserve or start the
// attempt, but a repeated Start of a granted one is still answered as a duplicate.
// Release refuses a term older than the attempt's and then changes nothing.
func (l *Ledger) Release(now time.Time, jobID, attempt string, term int64, checkpoint bool) Decision {
	h := l.find(attempt)
	if h == nil {
		t, ok := l.tombstones[attempt]
		if !ok {
			l.addTombstone(attempt, tombstone{rule: RuleAttemptReleased, job: jobID}, term)
		}
		return Released{Started: t.started}
	}
	if term < h.Term {
		return Refused{RuleStaleTerm, fmt.Sprintf("term %d, the attempt has %d", term, h.Term)}
	}
	switch h.State {
	case StateWaiting:
		l.removeWaiting(h)
		l.refuseWaiting(h, RuleAttemptReleased, "the attempt was released while it waited")
		return Released{}
	case StateReserved:
		l.removeHolding(h, RuleAttemptReleased)
		return Released{}
	}
	l.scheduleStop(now, h, StopReasonReleased, checkpoint)
	return Stopping{}
}

// Checkpointed reports that every task of the attempt has saved its progress. If
// the attempt was asked for the checkpoint because it is to be stopped, the next
// call of Advance stops it.
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

// Evict schedules a checkpoint and the stop of every preemptible attempt whose
// start was granted and that is not being stopped yet. An agent that is stopping
// calls it when it cannot wait longer for these attempts to end. Those that are
// expected to end soon get Timing.CompletionGrace, as in a reclaim.
func (l *Ledger) Evict(now time.Time) {
	for _, h := range l.Holdings {
		if h.Preemptible && h.StopReason == "" && h.State != StateReserved {
			l.evict(now, h)
		}
	}
}

// scheduleStop sets the reason and the time of the stop, and the time of the
// checkpoint. It never moves a scheduled stop to a later time. If the attempt is
// already being stopped, a scheduled checkpoint keeps its time. The checkpoint is
// dropped if the parameter checkpoint is false or the attempt is a short task.
func (l *Ledger) scheduleStop(now time.Time, h *Holding, reason StopReason, checkpoint bool) {
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
	h.StopReason = reason
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

func (l *Ledger) removeWaiting(h *Holding) {
	same := func(o *Holding) bool { return o == h }
	l.Reclaims = slices.DeleteFunc(l.Reclaims, same)
	l.Queue = slices.DeleteFunc(l.Queue, same)
}

func (l *Ledger) addHolding(h *Holding) {
	l.Holdings[h.Attempt] = h
	if !h.Short {
		j := l.jobs[h.JobID]
		l.jobs[h.JobID] = jobInfo{newestTerm: max(j.newestTerm, h.Term), tombstones: j.tombstones}
	}
}

// refuseWaiting reports, as an Admit action, that a request in Reclaims or Queue
// is refused, and gives the attempt a tombstone. A short task gets one only if
// it was released. The caller removes the request from Reclaims or Queue.
func (l *Ledger) refuseWaiting(h *Holding, rule, reason string) {
	l.outbox = append(l.outbox, Admit{h.Attempt, Refused{rule, reason}})
	if !h.Short || rule == RuleAttemptReleased {
		l.addTombstone(h.Attempt, tombstone{rule: rule, job: h.JobID}, h.Term)
	}
}

// removeHolding removes an attempt and frees its accelerators and slots. A
// tombstone keeps the attempt from being granted again.
func (l *Ledger) removeHolding(h *Holding, rule string) {
	delete(l.Holdings, h.Attempt)
	if h.State == StateReserved {
		l.outbox = append(l.outbox, Dropped{h.Attempt, rule})
	}
	// A short task is idempotent, so it needs a tombstone only if it was released.
	if !h.Short || h.StopReason == StopReasonReleased {
		l.addTombstone(h.Attempt, tombstone{started: h.State != StateReserved, rule: rule, job: h.JobID}, h.Term)
	}
	for _, short := range l.Holdings {
		delete(short.Loans, h.Attempt)
		if len(short.Loans) == 0 {
			short.LoanUntil = time.Time{}
		}
	}
}

func (l *Ledger) addTombstone(attempt string, t tombstone, term int64) {
	if _, ok := l.tombstones[attempt]; ok {
		return
	}
	if len(l.tombstoneOrder) >= maxTombstones {
		l.dropOldestTombstone()
	}
	l.tombstones[attempt] = t
	l.tombstoneOrder = append(l.tombstoneOrder, attempt)
	j := l.jobs[t.job]
	l.jobs[t.job] = jobInfo{newestTerm: max(j.newestTerm, term), tombstones: j.tombstones + 1}
}

// dropOldestTombstone drops the oldest tombstone. If it was the last one of its
// job and the job has no holding, it also drops the job from jobs.
func (l *Ledger) dropOldestTombstone() {
	attempt := l.tombstoneOrder[0]
	l.tombstoneOrder = l.tombstoneOrder[1:]
	jobID := l.tombstones[attempt].job
	delete(l.tombstones, attempt)
	j := l.jobs[jobID]
	j.tombstones--
	l.jobs[jobID] = j
	for _, h := range l.Holdings {
		if h.JobID == jobID {
			return
		}
	}
	if j.tombstones == 0 {
		delete(l.jobs, jobID)
	}
}

// freeCapacity is what a new holding may take: the accelerators and slots that no
// holding uses and no reclaim waits for.
func (l *Ledger) freeCapacity() (accelerators, slots int) {
	accelerators, slots = l.Accelerators, l.Slots
	for _, h := range l.Holdings {
		accelerators -= h.Accelerators() - h.loansTaken()
		slots -= h.Tasks
	}
	for _, h := range l.Reclaims {
		accelerators -= h.Accelerators()
		slots -= h.Tasks
	}
	return accelerators, slots
}

// orgUsage is the number of accelerators that an organisation holds or waits to
// reclaim, without those that it uses on loan and those of attempts that are being
// stopped.
func (l *Ledger) orgUsage(org string) int {
	n := 0
	for _, h := range l.Holdings {
		if h.Org == org && h.StopReason == "" {
			n += h.Accelerators() - h.loansTaken()
		}
	}
	for _, h := range l.Reclaims {
		if h.Org == org {
			n += h.Accelerators()
		}
	}
	return n
}

// excessOverShares is the number of accelerators by which non-preemptible work
// would exceed the organisations' own shares and the accelerators that belong to
// no share, if r were granted. It is 0 if r's organisation stays within its
// share. Short tasks are idempotent, so they count as preemptible.
func (l *Ledger) excessOverShares(r Request) int {
	nonPreemptible := map[string]int{r.Org: r.Accelerators()}
	add := func(h *Holding) {
		if !h.Preemptible && !h.Short {
			nonPreemptible[h.Org] += h.Accelerators()
		}
	}
	for _, h := range l.Holdings {
		add(h)
	}
	for _, h := range l.Reclaims {
		add(h)
	}
	if nonPreemptible[r.Org] <= l.Shares[r.Org] {
		return 0
	}
	unassigned := l.Accelerators
	for _, n := range l.Shares {
		unassigned -= n
	}
	excess := 0
	for org, n := range nonPreemptible {
		excess += max(0, n-l.Shares[org])
	}
	return max(0, excess-max(0, unassigned))
}

func compareStrings(a, b string) int {
	switch {
	case a < b:
		return -1
	case a > b:
		return 1
	default:
		return 0
	}
}

// urgencyRank orders urgencies, the most urgent first.
func urgencyRank(u job.Urgency) int {
	switch u {
	case job.UrgencyUrgent:
		return 0
	case job.UrgencyNormal:
		return 1
	default:
		return 2
	}
}
