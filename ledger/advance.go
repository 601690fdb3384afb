package ledger

import (
	"cmp"
	"fmt"
	"slices"
	"time"
)

// reclaim evicts borrowers so that the request can be granted.
func (l *Ledger) reclaim(now time.Time, h *Holding) Decision {
	accelerators, slots := l.free()
	for _, o := range l.Holdings {
		if o.StopReason != "" {
			l.callLoans(now, o)
			accelerators += o.Accelerators() - o.loaned()
			slots += o.Tasks
		}
	}
	victims := l.victims(now, h, h.Accelerators()-accelerators, h.Tasks-slots)
	if victims == nil && (accelerators < h.Accelerators() || slots < h.Tasks) {
		return Refused{RuleNoFreePlace, "what is in use is no preemptible work beyond its organisation's share"}
	}
	d := Reclaiming{Deadline: now.Add(l.Timing.Reclaim)}
	for _, v := range victims {
		d.Victims = append(d.Victims, v.Attempt)
		if v.State == StateReserved {
			l.discard(v, RuleReservationExpired)
			continue
		}
		l.evict(now, v)
	}
	h.State, h.StopAt = StateWaiting, d.Deadline
	l.Reclaims = append(l.Reclaims, h)
	return d
}

// evict stops a borrower at the end of the time for checkpoints. A short task
// has that time to end by itself.
func (l *Ledger) evict(now time.Time, v *Holding) {
	spared := l.spared(now, v)
	v.StopReason, v.StopAt = StopReasonEvicted, now.Add(l.Timing.Checkpoint)
	switch {
	case v.Short:
	case spared:
		v.CheckpointAt = now.Add(l.Timing.CompletionGrace)
	default:
		v.CheckpointAt = now
	}
	l.callLoans(now, v)
}

// callLoans evicts the short tasks that hold accelerators of an attempt that
// is being stopped; they would keep what the reclaim needs.
func (l *Ledger) callLoans(now time.Time, lender *Holding) {
	for _, s := range l.Holdings {
		if s.Loans[lender.Attempt] > 0 && s.StopReason == "" {
			s.StopReason, s.StopAt = StopReasonEvicted, now.Add(l.Timing.Checkpoint)
		}
	}
}

// spared says that a borrower is expected to end soon enough to let it. A
// declared end that has passed predicts nothing.
func (l *Ledger) spared(now time.Time, h *Holding) bool {
	return h.EndsAt.After(now) && !h.EndsAt.After(now.Add(l.Timing.CompletionGrace))
}

// victims picks borrowers that cover the missing accelerators and slots, the
// cheapest first, or nil.
func (l *Ledger) victims(now time.Time, h *Holding, accelerators, slots int) []*Holding {
	var candidates []*Holding
	for _, v := range l.Holdings {
		if v.Org != h.Org && v.StopReason == "" && (v.Preemptible || v.Short) {
			candidates = append(candidates, v)
		}
	}
	slices.SortFunc(candidates, func(a, b *Holding) int {
		return cmp.Or(compareBool(a.Short, b.Short), cmp.Compare(l.cost(now, a), l.cost(now, b)), compareText(a.Attempt, b.Attempt))
	})
	use := map[string]int{}
	for _, v := range l.Holdings {
		use[v.Org] = l.used(v.Org)
	}
	var picked []*Holding
	for _, v := range candidates {
		if accelerators <= 0 && slots <= 0 {
			break
		}
		size := v.Accelerators() - v.loaned()
		withinShare := size > 0 && use[v.Org] <= l.Shares[v.Org]
		if withinShare || size == 0 && slots <= 0 {
			continue
		}
		use[v.Org] -= size
		accelerators -= size
		slots -= v.Tasks
		picked = append(picked, v)
	}
	if accelerators > 0 || slots > 0 {
		return nil
	}
	// A cheap victim that a later, larger one made superfluous runs on.
	return slices.DeleteFunc(picked, func(v *Holding) bool {
		size := v.Accelerators() - v.loaned()
		if accelerators+size > 0 || slots+v.Tasks > 0 {
			return false
		}
		accelerators += size
		slots += v.Tasks
		return true
	})
}

// cost is the progress that an eviction puts at risk, in accelerator time.
func (l *Ledger) cost(now time.Time, h *Holding) time.Duration {
	if h.State == StateReserved || l.spared(now, h) {
		return 0
	}
	from := h.StartedAt
	if h.SavedAt.After(from) {
		from = h.SavedAt
	}
	return now.Sub(from) * time.Duration(max(1, h.Accelerators()))
}

// Advance expires what is due, gives free places to what waits, and returns
// what is to be carried out. It is called before anything is answered, so that
// a process that was frozen drops lapsed attempts first, and after every
// operation.
func (l *Ledger) Advance(now time.Time) []Action {
	for _, attempt := range l.attempts() {
		l.expire(now, l.Holdings[attempt])
	}
	l.settle(now)
	for _, attempt := range l.attempts() {
		h := l.Holdings[attempt]
		if h.PausedAt.IsZero() || l.lent(attempt) > 0 {
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

func (l *Ledger) attempts() []string {
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
			l.discard(h, RuleReservationExpired)
		}
		return
	case StateStarting:
		// What is being started is stopped once the runtime has answered.
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

// settle admits waiting reclaims and short tasks that fit, and refuses those
// whose deadline has passed.
func (l *Ledger) settle(now time.Time) {
	for len(l.Reclaims) > 0 {
		h := l.Reclaims[0]
		l.Reclaims = l.Reclaims[1:]
		// Only the reclaims behind this one still count against it.
		accelerators, slots := l.room()
		switch {
		case h.Accelerators() <= accelerators && h.Tasks <= slots:
			h.State, h.ExpiresAt, h.StopAt = StateReserved, now.Add(h.Hold), time.Time{}
			l.hold(h)
			l.outbox = append(l.outbox, Admit{h.Attempt, Granted{}})
			continue
		case !now.Before(h.StopAt):
			l.refuse(h, RuleReclaimDeadline, "the borrowers did not end in time")
			continue
		}
		l.Reclaims = slices.Insert(l.Reclaims, 0, h)
		break
	}
	for _, h := range slices.Clone(l.Queue) {
		if !now.Before(h.WaitUntil) {
			l.unqueue(h)
			l.outbox = append(l.outbox, Admit{h.Attempt, Refused{RuleDeadlineUnreachable, fmt.Sprintf("no place was free by %s", h.WaitUntil.UTC().Format(time.RFC3339Nano))}})
		}
	}
	l.admitShort(now, "")
}

// room is what no holding uses.
func (l *Ledger) room() (accelerators, slots int) {
	accelerators, slots = l.free()
	for _, h := range l.Reclaims {
		accelerators += h.Accelerators()
		slots += h.Tasks
	}
	return accelerators, slots
}

// NextDeadline is when Advance has something to do, or zero.
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
