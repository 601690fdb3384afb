package placement

import (
	"fmt"
	"slices"
	"time"

	"celerypoint.example/celerypoint/shape"
)

// The rules by which a plan leaves a job unplaced. Package rules describes them.
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

// capacityKey holds what determines how many tasks fit on the known VMs if all
// of them are empty.
type capacityKey struct {
	selector            string
	acceleratorsPerTask int
	adjacency           shape.Adjacency
}

// notFittingKey holds what determines why a request does not fit now, unless
// the request has VMs to avoid.
type notFittingKey struct {
	class requestClass
	tasks int
}

// refuseImpossible adds the request to the unplaced jobs if more free capacity
// could not help it, and reports whether it did so.
func (p *pass) refuseImpossible(r *request) bool {
	switch {
	case !r.Job.Deadline.IsZero() && !p.in.Now.Before(r.Job.Deadline):
		p.addUnplaced(r, RuleDeadlinePassed, false, "the deadline passed %v ago", p.in.Now.Sub(r.Job.Deadline))
	case len(p.index.VMs) == 0:
		p.addUnplaced(r, RuleNoVMReachable, false, "no VM is known")
	case len(r.matching) == 0:
		p.addUnplaced(r, RuleSelectorMatchesNothing, true, "selector %q matches none of %d VMs", r.Job.Selector, len(p.index.VMs))
	default:
		reason := p.unsatisfiableReason(r)
		if reason == "" {
			return false
		}
		p.addUnplaced(r, RuleExceedsMatchingCapacity, true, "%s", reason)
	}
	return true
}

// unsatisfiableReason returns why the known VMs could not hold the request even
// if all of them were empty and usable, or "" if they could.
func (p *pass) unsatisfiableReason(r *request) string {
	key := capacityKey{r.Job.Selector, r.acceleratorsPerTask, r.adjacency()}
	maxFit, ok := p.maxTasks[key]
	if !ok {
		_, maxFit = p.sumOffers(r, r.matching, func(i int) int {
			v := &p.index.VMs[i]
			if r.acceleratorsPerTask == 0 {
				return v.Slots
			}
			return min(v.Slots, v.Accelerators/r.acceleratorsPerTask)
		})
		p.maxTasks[key] = maxFit
	}
	if maxFit >= r.Job.Tasks {
		return ""
	}
	return fmt.Sprintf("%d tasks with %d accelerators each within one %s: at most %d fit on the %d known VMs that match, even when they are empty",
		r.Job.Tasks, r.acceleratorsPerTask, r.adjacency(), maxFit, len(r.matching))
}

// sumOffers returns how many tasks of the request the VMs at the positions can
// take: total in all, and best in the domain of the request's adjacency that can
// take the most. The function tasks returns the number for one VM.
func (p *pass) sumOffers(r *request, positions []int, tasks func(i int) int) (total, best int) {
	domains := p.index.Domains[r.adjacency()]
	byDomain := make([]int, p.index.DomainCounts[r.adjacency()])
	for _, i := range positions {
		n := tasks(i)
		total += n
		byDomain[domains[i]] += n
		best = max(best, byDomain[domains[i]])
	}
	return total, best
}

// addNotFitting adds the request to the unplaced jobs, with the reason why it
// does not fit now.
func (p *pass) addNotFitting(r *request) {
	key := notFittingKey{p.classOf(r), r.Job.Tasks}
	w, ok := p.notFittingReasons[key]
	if !ok || len(r.avoided) > 0 {
		w = p.notFittingReason(r)
		if len(r.avoided) == 0 {
			p.notFittingReasons[key] = w
		}
	}
	w.JobID = r.Job.ID
	p.plan.Unplaced = append(p.plan.Unplaced, w)
}

func (p *pass) notFittingReason(r *request) UnplacedJob {
	usable, ok := p.usableCounts[r.Job.Selector]
	if !ok {
		for _, i := range r.matching {
			if p.vms[i].usable {
				usable++
			}
		}
		p.usableCounts[r.Job.Selector] = usable
	}
	for _, i := range r.avoided {
		if p.matchingSet(r)[i] && p.vms[i].usable {
			usable--
		}
	}
	if usable == 0 {
		return UnplacedJob{Rule: RuleMatchingVMsUnavailable, Reason: fmt.Sprintf(
			"all %d matching VMs are draining, lost, quarantined or avoided by this job", len(r.matching))}
	}
	free := func(i int) int {
		if slices.Contains(r.avoided, i) {
			return 0
		}
		return p.vms[i].tasks(r, p.vms[i].free)
	}
	own := func(i int) int {
		n, _ := p.vms[i].roomWithoutBorrowing(r)
		return min(free(i), p.vms[i].tasks(r, n))
	}
	candidates := p.candidates(r)
	total, best := p.sumOffers(r, candidates, free)
	_, bestOwn := p.sumOffers(r, candidates, own)
	needs := fmt.Sprintf("%d tasks with %d accelerators each", r.Job.Tasks, r.acceleratorsPerTask)
	switch {
	case bestOwn >= r.Job.Tasks || best >= r.Job.Tasks && !r.nonPreemptible && p.in.Policy != PolicyBaseline:
		return UnplacedJob{Rule: RuleReservedForGang, Reason: fmt.Sprintf(
			"%s fit now, but would delay the gang %s, which is expected to start by %s", needs, p.reservedGangID(), p.reservedStart.UTC().Format(time.RFC3339))}
	case best >= r.Job.Tasks:
		return UnplacedJob{Rule: RuleOwnShareOnly, Reason: fmt.Sprintf(
			"%s: %d fit on free accelerators, but only %d without accelerators that are guaranteed to organisations other than %s", needs, best, bestOwn, r.Job.Org)}
	case total >= r.Job.Tasks:
		return UnplacedJob{Rule: RuleTooFragmented, Reason: fmt.Sprintf(
			"%s within one %s: %d fit in all, at most %d in one %s", needs, r.adjacency(), total, best, r.adjacency())}
	default:
		return UnplacedJob{Rule: RuleNoFreeCapacity, Reason: fmt.Sprintf("%s: %d fit now on %d usable VMs", needs, total, usable)}
	}
}

func (p *pass) reservedGangID() string {
	if p.reservedGang == nil {
		return ""
	}
	return p.reservedGang.Job.ID
}
