package ledger

import (
	"cmp"
	"fmt"
	"slices"
	"time"

	"celerypoint.example/celerypoint/job"
)

// RunShort finds a place for one short task: a free one, else one lent by paused
// work when the task is urgent, else a place in the queue.
func (l *Ledger) RunShort(now time.Time, r Request) Decision {
	if h := l.find(r.Attempt); h != nil {
		return Granted{Duplicate: true}
	}
	if t, ok := l.tombstones[r.Attempt]; ok {
		return Refused{t.rule, "the attempt is over"}
	}
	// A short task takes nobody's share, so an older configuration is no
	// reason to refuse it.
	if d, refused := l.closed(l.ConfigOffset); refused {
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
		l.unqueue(h)
		return Refused{RuleNoFreePlace, "no place is free and the task may not wait"}
	}
	if len(l.Queue) > l.MaxQueue {
		last := l.Queue[len(l.Queue)-1]
		l.unqueue(last)
		if last == h {
			return Refused{RuleQueueFull, fmt.Sprintf("%d short tasks wait", l.MaxQueue)}
		}
		l.outbox = append(l.outbox, Admit{last.Attempt, Refused{RuleQueueFull, "more urgent short tasks wait"}})
	}
	return Queued{Until: r.WaitUntil}
}

// compareShort orders the queue: by lane, then the earliest deadline.
func compareShort(a, b *Holding) int {
	return cmp.Or(cmp.Compare(laneRank(a.Urgency), laneRank(b.Urgency)), a.WaitUntil.Compare(b.WaitUntil))
}

// admitShort admits what fits, in order. A task that needs accelerators and
// does not fit holds back lower lanes, so that small tasks do not starve it;
// tasks of its own lane may pass it. The decision of the attempt own is
// returned; the others go to the outbox.
func (l *Ledger) admitShort(now time.Time, own string) Decision {
	var decision Decision
	held := laneRank(job.UrgencyBatch)
	for _, h := range slices.Clone(l.Queue) {
		rank := laneRank(h.Urgency)
		if rank > held && h.AcceleratorsPerTask > 0 {
			continue
		}
		d := l.place(now, h)
		if d == nil {
			held = min(held, rank)
			continue
		}
		if h.Attempt == own {
			decision = d
		} else {
			l.outbox = append(l.outbox, Admit{h.Attempt, d})
		}
	}
	return decision
}

// place gives a waiting short task a place, or returns nil.
func (l *Ledger) place(now time.Time, h *Holding) Decision {
	accelerators, slots := l.free()
	urgent := h.Urgency == job.UrgencyUrgent
	missing := h.Accelerators() - max(0, accelerators)
	switch {
	case missing <= 0 && urgent:
		slots += l.ExtraSlots()
	case missing > 0 && urgent:
		loans := l.lenders(h, missing)
		if loans == nil {
			return nil
		}
		h.Loans, h.LoanUntil = loans, now.Add(l.Timing.MaxLoan)
		slots = l.Slots + l.ExtraSlots() - l.runningBeside(loans)
	case missing > 0:
		return nil
	}
	if slots < h.Tasks {
		h.Loans, h.LoanUntil = nil, time.Time{}
		return nil
	}
	l.unqueue(h)
	h.State, h.StartedAt = StateStarting, now
	h.ExpiresAt, h.RenewAt = now.Add(l.Timing.ShortLease), now.Add(l.Timing.RenewEvery)
	l.hold(h)
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

// runningBeside counts the tasks that run while the lenders of the loans are
// paused. A paused task does not run, so the slot of a task that borrows from
// it is free: otherwise a VM full of long tasks would serve only ExtraSlots
// urgent tasks at once, whatever its accelerators.
func (l *Ledger) runningBeside(loans map[string]int) int {
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

// lenders picks preemptible running attempts whose accelerators cover what is
// missing: those already paused first, then the organisation's own, then
// borrowers beyond their share, and within each the smallest that suffices.
func (l *Ledger) lenders(h *Holding, missing int) map[string]int {
	type candidate struct {
		attempt   string
		spare     int
		class     int
		tooLittle bool
	}
	var candidates []candidate
	for _, t := range l.Holdings {
		if !t.Preemptible || t.Short || t.State != StateRunning || t.StopReason != "" {
			continue
		}
		c := candidate{attempt: t.Attempt, spare: t.Accelerators() - l.lent(t.Attempt), class: 3}
		switch {
		case !t.PausedAt.IsZero():
			c.class = 0
		case t.Org == h.Org:
			c.class = 1
		case l.used(t.Org) > l.Shares[t.Org]:
			c.class = 2
		}
		c.tooLittle = c.spare < missing
		if c.spare > 0 {
			candidates = append(candidates, c)
		}
	}
	slices.SortFunc(candidates, func(a, b candidate) int {
		bySize := cmp.Compare(a.spare, b.spare)
		if a.tooLittle && b.tooLittle {
			bySize = -bySize
		}
		return cmp.Or(cmp.Compare(a.class, b.class), compareBool(a.tooLittle, b.tooLittle), bySize, compareText(a.attempt, b.attempt))
	})
	loans := map[string]int{}
	for _, c := range candidates {
		if missing == 0 {
			break
		}
		loans[c.attempt] = min(missing, c.spare)
		missing -= loans[c.attempt]
	}
	if missing > 0 {
		return nil
	}
	return loans
}

// lent is the number of accelerators that the attempt lends.
func (l *Ledger) lent(attempt string) int {
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
