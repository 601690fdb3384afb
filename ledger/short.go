package ledger

import (
	"cmp"
	"fmt"
	"slices"
	"time"

	"celerypoint.example/celerypoint/job"
)

// RunShort admits one short task if capacity is free. If accelerators are
// missing and the task is urgent, it may admit the task with a loan from
// preemptible attempts, which the caller then pauses. Otherwise it queues or
// refuses the task.
func (l *Ledger) RunShort(now time.Time, r Request) Decision {
	if h := l.find(r.Attempt); h != nil {
		return Granted{Duplicate: true}
	}
	if t, ok := l.tombstones[r.Attempt]; ok {
		return Refused{t.rule, "the attempt has ended"}
	}
	// A request that was made under an older configuration is not refused: a
	// reclaim can evict a short task, so the task cannot keep other
	// organisations from their shares.
	if d, refused := l.refuseNewWork(l.ConfigOffset); refused {
		return d
	}
	if r.Accelerators() > l.Accelerators {
		return Refused{RuleNoFreePlace, fmt.Sprintf("asked for %d accelerators, the VM has %d", r.Accelerators(), l.Accelerators)}
	}
	if !r.Deadline.IsZero() && now.Add(r.DeclaredRun).After(r.Deadline) {
		return Refused{RuleDeadlineUnreachable, fmt.Sprintf("declared to run %v, the deadline is in %v", r.DeclaredRun, r.Deadline.Sub(now))}
	}
	h := &Holding{Request: r, State: StateWaiting, Short: true}
	l.Queue = append(l.Queue, h)
	slices.SortStableFunc(l.Queue, compareShort)
	if d := l.admitShort(now, r.Attempt); d != nil {
		return d
	}
	if !now.Before(r.WaitUntil) {
		l.removeWaiting(h)
		return Refused{RuleNoFreePlace, "no capacity is free and the task may not wait"}
	}
	if len(l.Queue) > l.MaxQueue {
		last := l.Queue[len(l.Queue)-1]
		l.removeWaiting(last)
		if last == h {
			return Refused{RuleQueueFull, fmt.Sprintf("%d short tasks are already waiting", l.MaxQueue)}
		}
		l.outbox = append(l.outbox, Admit{last.Attempt, Refused{RuleQueueFull, "displaced by short tasks that are more urgent or expire earlier"}})
	}
	return Queued{Until: r.WaitUntil}
}

// compareShort orders the queue by urgency, then by WaitUntil.
func compareShort(a, b *Holding) int {
	return cmp.Or(cmp.Compare(urgencyRank(a.Urgency), urgencyRank(b.Urgency)), a.WaitUntil.Compare(b.WaitUntil))
}

// admitShort admits the queued short tasks that fit, in order. A task that does
// not fit holds back tasks of lower urgency that need accelerators, so that small
// tasks do not starve it. Tasks of the same urgency may overtake it. The
// decision on newAttempt is returned, nil if it has to wait; the others go to
// the outbox.
func (l *Ledger) admitShort(now time.Time, newAttempt string) Decision {
	var decision Decision
	blockingRank := urgencyRank(job.UrgencyBatch)
	for _, h := range slices.Clone(l.Queue) {
		rank := urgencyRank(h.Urgency)
		if rank > blockingRank && h.AcceleratorsPerTask > 0 {
			continue
		}
		d := l.tryAdmitShort(now, h)
		if d == nil {
			blockingRank = min(blockingRank, rank)
			continue
		}
		if h.Attempt == newAttempt {
			decision = d
		} else {
			l.outbox = append(l.outbox, Admit{h.Attempt, d})
		}
	}
	return decision
}

// tryAdmitShort admits a waiting short task if it fits, or returns nil.
func (l *Ledger) tryAdmitShort(now time.Time, h *Holding) Decision {
	accelerators, slots := l.freeCapacity()
	urgent := h.Urgency == job.UrgencyUrgent
	missing := h.Accelerators() - max(0, accelerators)
	switch {
	case missing <= 0 && urgent:
		slots += l.ExtraSlots()
	case missing > 0 && urgent:
		loans := l.chooseLoans(h, missing)
		if loans == nil {
			return nil
		}
		h.Loans, h.LoanUntil = loans, now.Add(l.Timing.MaxLoan)
		slots = l.Slots + l.ExtraSlots() - l.unpausedTasks(loans)
	case missing > 0:
		return nil
	}
	if slots < h.Tasks {
		h.Loans, h.LoanUntil = nil, time.Time{}
		return nil
	}
	l.removeWaiting(h)
	h.State, h.StartedAt = StateStarting, now
	h.ExpiresAt, h.RenewAt = now.Add(l.Timing.ShortLease), now.Add(l.Timing.RenewEvery)
	l.addHolding(h)
	if len(h.Loans) == 0 {
		return Granted{}
	}
	var pause []string
	for attempt := range h.Loans {
		lender := l.Holdings[attempt]
		if lender.PausedAt.IsZero() {
			lender.PausedAt = now
		}
		pause = append(pause, attempt)
	}
	slices.Sort(pause)
	return Lending{Pause: pause}
}

// unpausedTasks counts the tasks of all holdings, whatever their state, and of the
// requests that wait for a reclaim. It leaves out paused attempts and those that
// would be paused for the given loans. A paused task does not run, so a short task
// with loans can take its slot. If paused tasks counted, a VM full of long tasks
// would serve only ExtraSlots urgent tasks at once, however many accelerators it
// has.
func (l *Ledger) unpausedTasks(loans map[string]int) int {
	n := 0
	for attempt, t := range l.Holdings {
		if _, lends := loans[attempt]; !lends && t.PausedAt.IsZero() {
			n += t.Tasks
		}
	}
	for _, t := range l.Reclaims {
		n += t.Tasks
	}
	return n
}

// chooseLoans picks preemptible running attempts, other than short tasks and those
// being stopped, to lend the missing accelerators: first those already paused,
// then those of the same organisation, then those of organisations that use more
// than their share, then the others. Within each of these groups the attempts
// that can lend all missing accelerators alone come first, those with the fewest
// to lend in front, and then the others, those with the most in front. It
// returns nil if all of them together do not suffice.
func (l *Ledger) chooseLoans(h *Holding, missing int) map[string]int {
	type candidate struct {
		attempt      string
		available    int
		preference   int
		insufficient bool
	}
	var candidates []candidate
	for _, t := range l.Holdings {
		if !t.Preemptible || t.Short || t.State != StateRunning || t.StopReason != "" {
			continue
		}
		c := candidate{attempt: t.Attempt, available: t.Accelerators() - l.loansGiven(t.Attempt), preference: 3}
		switch {
		case !t.PausedAt.IsZero():
			c.preference = 0
		case t.Org == h.Org:
			c.preference = 1
		case l.orgUsage(t.Org) > l.Shares[t.Org]:
			c.preference = 2
		}
		c.insufficient = c.available < missing
		if c.available > 0 {
			candidates = append(candidates, c)
		}
	}
	slices.SortFunc(candidates, func(a, b candidate) int {
		bySize := cmp.Compare(a.available, b.available)
		if a.insufficient && b.insufficient {
			bySize = -bySize
		}
		return cmp.Or(cmp.Compare(a.preference, b.preference), compareBool(a.insufficient, b.insufficient), bySize, compareStrings(a.attempt, b.attempt))
	})
	loans := map[string]int{}
	for _, c := range candidates {
		if missing == 0 {
			break
		}
		loans[c.attempt] = min(missing, c.available)
		missing -= loans[c.attempt]
	}
	if missing > 0 {
		return nil
	}
	return loans
}

// loansGiven is the number of the attempt's accelerators that short tasks use on loan.
func (l *Ledger) loansGiven(attempt string) int {
	n := 0
	for _, h := range l.Holdings {
		n += h.Loans[attempt]
	}
	return n
}

func compareBool(a, b bool) int {
	switch {
	case a == b:
		return 0
	case b:
		return -1
	default:
		return 1
	}
}
