// Package rules contains the documentation records of all rules that refuse a
// request or keep a job waiting, each in its own file. It owns no mutable state
// and takes no lock.
package rules

import "celerypoint.example/celerypoint/rule"

// All lists the rules, sorted by name.
var All = []rule.Rule{
	attemptReleased,
	behindQueueHead,
	cancelledBeforeStart,
	claimHeldByOther,
	committedNotStarted,
	deadlinePassed,
	deadlineUnreachable,
	disruptionBudget,
	entryLeaving,
	exceedsMatchingCapacity,
	invalidRequest,
	jobFailsEverywhere,
	logUnavailable,
	matchingVMsUnavailable,
	noFreeCapacity,
	noFreePlace,
	noVMReachable,
	orgUnknown,
	ownShareOnly,
	queueFull,
	reclaimDeadline,
	reservationExpired,
	reservedForGang,
	retryBudgetSpent,
	runtimeRefused,
	selectorMatchesNothing,
	shedByRank,
	staleConfiguration,
	staleTerm,
	taskCrashesWorkers,
	tooFragmented,
	vmDraining,
}

// Find returns the rule with the name.
func Find(name string) (rule.Rule, bool) {
	for _, r := range All {
		if r.Name == name {
			return r, true
		}
	}
	return rule.Rule{}, false
}
