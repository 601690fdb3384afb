package ledger

import (
	"cmp"
	"fmt"
	"slices"
	"time"
)

// reclaim evicts borrowers so that the request h can be granted later, or
// refuses it if evicting all of them would not suffice. The capacity of attempts
// that are already being stopped counts as free.
func (l *Ledger) reclaim(now time.Time, h *Holding) Decision {
	accelerators, slots := l.freeCapacity()
	for _, o := range l.Holdings {
		if o.StopReason != "" {
			l.evictLoanHolders(now, o)
			accelerators += o.Accelerators() - o.loansTaken()
			slots += o.Tasks
		}
	}
	victims := l.chooseVictims(now, h, h.Accelerators()-accelerators, h.Tasks-slots)
	if victims == nil && (accelerators < h.Accelerators() || slots < h.Tasks) {
		return Refused{RuleNoFreePlace, "there is not enough preemptible work beyond its organisation's share to evict"}
	}
	d := Reclaiming{Deadline: now.Add(l.Timing.Reclaim)}
	for _, v := range victims {
		d.Victims = append(d.Victims, v.Attempt)
		if v.State == StateReserved {
			l.removeHolding(v, RuleReservationExpired)
			continue
		}
		l.evict(now, v)
	}
	h.State, h.StopAt = StateWaiting, d.Deadline
	l.Reclaims = append(l.Reclaims, h)
	return d
}

// evict schedules the stop of an attempt after Timing.Checkpoint, and a
// checkpoint before the stop: at once, or after Timing.CompletionGrace if the
// attempt is expected to end soon. A short task makes no checkpoint, but has
// Timing.Checkpoint to end by itself.
func (l *Ledger) evict(now time.Time, v *Holding) {
	spared := l.endsSoon(now, v)
	v.StopReason, v.StopAt = StopReasonEvicted, now.Add(l.Timing.Checkpoint)
	switch {
	case v.Short:
	case spared:
		v.CheckpointAt = now.Add(l.Timing.CompletionGrace)
	default:
		v.CheckpointAt = now
	}
	l.evictLoanHolders(now, v)
}

// evictLoanHolders evicts the short tasks that have loans from an attempt that is
// being stopped. Otherwise they would keep its accelerators in use after the stop.
func (l *Ledger) evictLoanHolders(now time.Time, lender *Holding) {
	for _, short := range l.Holdings {
		if short.Loans[lender.Attempt] > 0 && short.StopReason == "" {
			short.StopReason, short.StopAt = StopReasonEvicted, now.Add(l.Timing.Checkpoint)
		}
	}
}

// endsSoon reports whether an attempt is expected to end within
// Timing.CompletionGrace. It returns false if the expected end has already
// passed, because such an estimate predicts nothing.
func (l *Ledger) endsSoon(now time.Time, h *Holding) bool {
	return h.EndsAt.After(now) && !h.EndsAt.After(now.Add(l.Timing.CompletionGrace))
}

// chooseVictims picks the borrowers of other organisations to evict for h, which
// lacks the given accelerators and slots: those with the least evictionCost
// first and short tasks last. Attempts without accelerators are evicted for
// their slots whatever their organisation uses, because shares guarantee only
// accelerators. It returns nil if all candidates together do not suffice, or if
// none are needed.
func (l *Ledger) chooseVictims(now time.Time, h *Holding, accelerators, slots int) []*Holding {
	var candidates []*Holding
	for _, v := range l.Holdings {
		if v.Org != h.Org && v.StopReason == "" && (v.Preemptible || v.Short) {
			candidates = append(candidates, v)
		}
	}
	slices.SortFunc(candidates, func(a, b *Holding) int {
		return cmp.Or(compareBool(a.Short, b.Short), cmp.Compare(l.evictionCost(now, a), l.evictionCost(now, b)), compareStrings(a.Attempt, b.Attempt))
	})
	usage := map[string]int{}
	for _, v := range l.Holdings {
		usage[v.Org] = l.orgUsage(v.Org)
	}
	var picked []*Holding
	for _, v := range candidates {
		if accelerators <= 0 && slots <= 0 {
			break
		}
		size := v.Accelerators() - v.loansTaken()
		withinShare := size > 0 && usage[v.Org] <= l.Shares[v.Org]
		if withinShare || size == 0 && slots <= 0 {
			continue
		}
		usage[v.Org] -= size
		accelerators -= size
		slots -= v.Tasks
		picked = append(picked, v)
	}
	if accelerators > 0 || slots > 0 {
		return nil
	}
	// A cheap victim is spared if a larger one that was picked later made it
	// unnecessary.
	return slices.DeleteFunc(picked, func(v *Holding) bool {
		size := v.Accelerators() - v.loansTaken()
		if accelerators+size > 0 || slots+v.Tasks > 0 {
			return false
		}
		accelerators += size
		slots += v.Tasks
		return true
	})
}

// evictionCost is the progress that an eviction may lose: the time since the last
// checkpoint or the start, multiplied by the number of accelerators, or by 1 if it
// has none. It is 0 for a reservation and for an attempt that is expected to end
// soon.
func (l *Ledger) evictionCost(now time.Time, h *Holding) time.Duration {
	if h.State == StateReserved || l.endsSoon(now, h) {
		return 0
	}
	from := h.StartedAt
	if h.SavedAt.After(from) {
		from = h.SavedAt
	}
	return now.Sub(from) * time.Duration(max(1, h.Accelerators()))
}

// Advance applies the deadlines that have passed, gives free capacity to waiting
// requests, resumes paused attempts whose loans have ended, and returns the
// actions to carry out. The caller has to call it before and after every
// operation. The call before an operation makes sure that a process that was
// suspended marks the running attempts whose leases have expired as being
// stopped before it answers any request.
func (l *Ledger) Advance(now time.Time) []Action {
	for _, attempt := range l.sortedAttempts() {
		l.expire(now, l.Holdings[attempt])
	}
	l.admitWaiting(now)
	for _, attempt := range l.sortedAttempts() {
		h := l.Holdings[attempt]
		if h.PausedAt.IsZero() || l.loansGiven(attempt) > 0 {
			continue
		}
		if !h.EndsAt.IsZero() {
			h.EndsAt = h.EndsAt.Add(now.Sub(h.PausedAt))
		}
		h.PausedAt = time.Time{}
		if h.State == StateRunning {
			l.outbox = append(l.outbox, Resume{attempt})
		}
	}
	actions := l.outbox
	l.outbox = nil
	return actions
}

func (l *Ledger) sortedAttempts() []string {
	attempts := make([]string, 0, len(l.Holdings))
	for a := range l.Holdings {
		attempts = append(attempts, a)
	}
	slices.Sort(attempts)
	return attempts
}

// expire applies the deadlines of one holding.
func (l *Ledger) expire(now time.Time, h *Holding) {
	switch h.State {
	case StateReserved:
		if !now.Before(h.ExpiresAt) {
			l.removeHolding(h, RuleReservationExpired)
		}
		return
	case StateStarting:
		// An attempt that is being started is only stopped after the runtime has
		// answered the start.
		return
	}
	if h.State == StateRunning {
		l.expireRunning(now, h)
	}
	if h.StopReason != "" && due(now, h.CheckpointAt) {
		h.CheckpointAt = time.Time{}
		l.outbox = append(l.outbox, Checkpoint{h.Attempt})
	}
	if h.StopReason != "" && due(now, h.StopAt) {
		h.State = StateStopping
		h.CheckpointAt, h.StopAt = time.Time{}, now.Add(l.Timing.StopRetryInterval)
		l.outbox = append(l.outbox, Stop{h.Attempt, h.StopReason})
	}
}

func (l *Ledger) expireRunning(now time.Time, h *Holding) {
	switch {
	case !now.Before(h.ExpiresAt):
		if h.StopReason != StopReasonReleased {
			h.StopReason = StopReasonLeaseExpired
		}
		h.StopAt = now
	case h.StopReason == "" && due(now, h.LoanUntil):
		l.scheduleStop(now, h, StopReasonLoanEnded, false)
	case h.Short && due(now, h.RenewAt) && !due(now, h.StopAt):
		h.ExpiresAt, h.RenewAt = now.Add(l.Timing.ShortLease), now.Add(l.Timing.RenewEvery)
		l.outbox = append(l.outbox, Extend{h.Attempt, h.ExpiresAt})
	}
}

func due(now, deadline time.Time) bool { return !deadline.IsZero() && !now.Before(deadline) }

// admitWaiting admits the waiting reclaims and short tasks that fit, and refuses
// those whose time to wait is over. Reclaims are handled in the order of their
// arrival: one that has to wait longer makes all later ones wait.
func (l *Ledger) admitWaiting(now time.Time) {
	for len(l.Reclaims) > 0 {
		h := l.Reclaims[0]
		l.Reclaims = l.Reclaims[1:]
		// The reclaims that wait behind this one do not count against it.
		accelerators, slots := l.unusedCapacity()
		switch {
		case h.Accelerators() <= accelerators && h.Tasks <= slots:
			h.State, h.ExpiresAt, h.StopAt = StateReserved, now.Add(h.Hold), time.Time{}
			l.addHolding(h)
			l.outbox = append(l.outbox, Admit{h.Attempt, Granted{}})
			continue
		case !now.Before(h.StopAt):
			l.refuseWaiting(h, RuleReclaimDeadline, "the evicted attempts did not end in time")
			continue
		}
		l.Reclaims = slices.Insert(l.Reclaims, 0, h)
		break
	}
	for _, h := range slices.Clone(l.Queue) {
		if !now.Before(h.WaitUntil) {
			l.removeWaiting(h)
			l.outbox = append(l.outbox, Admit{h.Attempt, Refused{RuleDeadlineUnreachable, fmt.Sprintf("no capacity was free by %s", h.WaitUntil.UTC().Format(time.RFC3339Nano))}})
		}
	}
	l.admitShort(now, "")
}

// unusedCapacity is the accelerators and slots that no holding uses, including
// those that waiting reclaims will take.
func (l *Ledger) unusedCapacity() (accelerators, slots int) {
	accelerators, slots = l.freeCapacity()
	for _, h := range l.Reclaims {
		accelerators += h.Accelerators()
		slots += h.Tasks
	}
	return accelerators, slots
}

// NextDeadline is the earliest deadline that Advance has to apply, or zero.
func (l *Ledger) NextDeadline() time.Time {
	var next time.Time
	earlier := func(t time.Time) {
		if !t.IsZero() && (next.IsZero() || t.Before(next)) {
			next = t
		}
	}
	for _, h := range l.Holdings {
		switch h.State {
		case StateReserved:
			earlier(h.ExpiresAt)
		case StateRunning:
			earlier(h.ExpiresAt)
			earlier(h.LoanUntil)
			if h.Short {
				earlier(h.RenewAt)
			}
			fallthrough
		case StateStopping:
			earlier(h.CheckpointAt)
			earlier(h.StopAt)
		}
	}
	for _, h := range l.Reclaims {
		earlier(h.StopAt)
	}
	for _, h := range l.Queue {
		earlier(h.WaitUntil)
	}
	return next
}
