package placement

import (
	"fmt"
	"slices"
	"time"

	"celerypoint.example/celerypoint/shape"
)

// The rules that make a job wait; package rules describes them.
const (
	RuleSelectorMatchesNothing  = "selectorMatchesNothing"
	RuleExceedsMatchingCapacity = "exceedsMatchingCapacity"
	RuleDeadlinePassed          = "deadlinePassed"
	RuleNoVMReachable           = "noVMReachable"
	RuleMatchingVMsUnavailable  = "matchingVMsUnavailable"
	RuleBehindQueueHead         = "behindQueueHead"
	RuleReservedForGang         = "reservedForGang"
	RuleOwnShareOnly            = "ownShareOnly"
	RuleTooFragmented           = "tooFragmented"
	RuleNoFreeCapacity          = "noFreeCapacity"
)

type neverKey struct {
	selector  string
	size      int
	adjacency shape.Adjacency
}

type whyKey struct {
	class class
	tasks int
}

// refuse adds the wait of a request that no free capacity helps.
func (p *pass) refuse(r *request) bool {
	switch {
	case !r.Job.Deadline.IsZero() && !p.in.Now.Before(r.Job.Deadline):
		p.wait(r, RuleDeadlinePassed, false, "the deadline passed %v ago", p.in.Now.Sub(r.Job.Deadline))
	case len(p.index.VMs) == 0:
		p.wait(r, RuleNoVMReachable, false, "no VM is known")
	case len(r.matching) == 0:
		p.wait(r, RuleSelectorMatchesNothing, true, "selector %q matches none of %d VMs", r.Job.Selector, len(p.index.VMs))
	default:
		reason := p.neverReason(r)
		if reason == "" {
			return false
		}
		p.wait(r, RuleExceedsMatchingCapacity, true, "%s", reason)
	}
	return true
}

// neverReason says why the known VMs could not hold the request even if all
// were empty and in service, or is empty.
func (p *pass) neverReason(r *request) string {
	key := neverKey{r.Job.Selector, r.size, r.widest()}
	most, ok := p.never[key]
	if !ok {
		_, most = p.offers(r, r.matching, func(i int) int {
			v := &p.index.VMs[i]
			if r.size == 0 {
				return v.Slots
			}
			return min(v.Slots, v.Accelerators/r.size)
		})
		p.never[key] = most
	}
	if most >= r.Job.Tasks {
		return ""
	}
	return fmt.Sprintf("%d tasks with %d accelerators each within one %s: at most %d fit on the %d known VMs that match, even when they are empty",
		r.Job.Tasks, r.size, r.widest(), most, len(r.matching))
}

// offers sums the tasks that the VMs take, in all and in the best domain that
// meets the request's adjacency.
func (p *pass) offers(r *request, vms []int, tasks func(i int) int) (total, best int) {
	domains := p.index.Domains[r.widest()]
	sums := make([]int, p.index.DomainCounts[r.widest()])
	for _, i := range vms {
		n := tasks(i)
		total += n
		sums[domains[i]] += n
		best = max(best, sums[domains[i]])
	}
	return total, best
}

// explain adds the wait of a request that does not fit now.
func (p *pass) explain(r *request) {
	key := whyKey{p.class(r), r.Job.Tasks}
	w, ok := p.why[key]
	if !ok || len(r.avoid) > 0 {
		w = p.reason(r)
		if len(r.avoid) == 0 {
			p.why[key] = w
		}
	}
	w.JobID = r.Job.ID
	p.plan.Unplaced = append(p.plan.Unplaced, w)
}

func (p *pass) reason(r *request) UnplacedJob {
	usable, ok := p.usable[r.Job.Selector]
	if !ok {
		for _, i := range r.matching {
			if p.machines[i].usable {
				usable++
			}
		}
		p.usable[r.Job.Selector] = usable
	}
	for _, i := range r.avoid {
		if p.matchingSet(r)[i] && p.machines[i].usable {
			usable--
		}
	}
	if usable == 0 {
		return UnplacedJob{Rule: RuleMatchingVMsUnavailable, Reason: fmt.Sprintf(
			"all %d matching VMs are draining, lost, quarantined or avoided by this job", len(r.matching))}
	}
	free := func(i int) int {
		if slices.Contains(r.avoid, i) {
			return 0
		}
		return p.machines[i].tasks(r, p.machines[i].free)
	}
	own := func(i int) int {
		n, _ := p.machines[i].ownRoom(r)
		return min(free(i), p.machines[i].tasks(r, n))
	}
	open := p.candidates(r)
	total, best := p.offers(r, open, free)
	_, bestOwn := p.offers(r, open, own)
	needs := fmt.Sprintf("%d tasks with %d accelerators each", r.Job.Tasks, r.size)
	switch {
	case bestOwn >= r.Job.Tasks || best >= r.Job.Tasks && !r.firm && p.in.Policy != PolicyBaseline:
		return UnplacedJob{Rule: RuleReservedForGang, Reason: fmt.Sprintf(
			"%s fit now, but would delay the gang %s, which is expected to start by %s", needs, p.headID(), p.heldUntil.UTC().Format(time.RFC3339))}
	case best >= r.Job.Tasks:
		return UnplacedJob{Rule: RuleOwnShareOnly, Reason: fmt.Sprintf(
			"%s: %d fit on free accelerators, but only %d on those owed to organisation %s or to nobody", needs, best, bestOwn, r.Job.Org)}
	case total >= r.Job.Tasks:
		return UnplacedJob{Rule: RuleTooFragmented, Reason: fmt.Sprintf(
			"%s within one %s: %d fit in all, at most %d in one %s", needs, r.widest(), total, best, r.widest())}
	default:
		return UnplacedJob{Rule: RuleNoFreeCapacity, Reason: fmt.Sprintf("%s: %d fit now on %d usable VMs", needs, total, usable)}
	}
}

func (p *pass) headID() string {
	if p.head == nil {
		return ""
	}
	return p.head.Job.ID
}
