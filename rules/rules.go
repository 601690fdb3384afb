// Package rules holds the documentation record of every rule that refuses a
// request or keeps a job waiting: one file for each rule. It owns no state that
// changes and takes no lock.
package rules

import "celerypoint.example/celerypoint/rule"

// All lists the rules in the order of their names.
var All = []rule.Rule{
	attemptReleased,
	behindQueueHead,
	cancelledBeforeStart,
	claimHeldByOther,
	committedNotStarted,
	deadlinePassed,
	deadlineUnreachable,
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
