package rules

import (
	"regexp"
	"strings"
	"testing"

	"celerypoint.example/celerypoint/admission"
	"celerypoint.example/celerypoint/crashes"
	"celerypoint.example/celerypoint/disruption"
	"celerypoint.example/celerypoint/placement"
	qt "github.com/frankban/quicktest"
)

// TestRecords guards against records that are duplicated, out of order or
// incomplete, or that do not tell callers and operators what they can do.
func TestRecords(t *testing.T) {
	previous := ""
	for _, r := range All {
		t.Run(r.Name, func(t *testing.T) {
			qt.Check(t, regexp.MustCompile(`^[a-z][A-Za-z]+$`).MatchString(r.Name), qt.IsTrue)
			qt.Check(t, r.Name > previous, qt.IsTrue, qt.Commentf("out of order after %q, or duplicated", previous))
			qt.Check(t, r.Title, qt.Not(qt.Equals), "")
			qt.Check(t, strings.HasSuffix(r.Text, "."), qt.IsTrue)
			qt.Check(t, strings.Contains(r.Text, "Callers "), qt.IsTrue)
			qt.Check(t, strings.Contains(strings.ToLower(r.Text), "operators "), qt.IsTrue)
			qt.Check(t, r.Since, qt.Equals, "0.1")
			found, ok := Find(r.Name)
			qt.Check(t, ok, qt.IsTrue)
			qt.Check(t, found, qt.Equals, r)
			previous = r.Name
		})
	}
	_, ok := Find("no such rule")
	qt.Check(t, ok, qt.IsFalse)
}

// TestEveryRuleHasRecord guards against a rule that refuses a request or keeps a
// job waiting and that `celerypoint explain` does not know.
func TestEveryRuleHasRecord(t *testing.T) {
	names := []string{
		admission.RuleOrgUnknown, admission.RuleEntryLeaving, admission.RuleLogUnavailable,
		admission.RuleSelectorMatchesNothing, admission.RuleExceedsMatchingCapacity, admission.RuleDeadlinePassed,
		admission.RuleDeadlineUnreachable, admission.RuleQueueFull, admission.RuleShedByRank,
		placement.RuleSelectorMatchesNothing, placement.RuleExceedsMatchingCapacity, placement.RuleDeadlinePassed,
		placement.RuleNoVMReachable, placement.RuleMatchingVMsUnavailable, placement.RuleBehindQueueHead,
		placement.RuleReservedForGang, placement.RuleOwnShareOnly, placement.RuleTooFragmented, placement.RuleNoFreeCapacity,
		"staleTerm", "reservationExpired", "attemptReleased", "staleConfiguration", "vmDraining", "noFreePlace", "reclaimDeadline", "committedNotStarted",
		"cancelledBeforeStart", crashes.Rule, "jobFailsEverywhere", "retryBudgetSpent", "claimHeldByOther", disruption.Rule,
	}
	for _, n := range names {
		_, ok := Find(n)
		qt.Check(t, ok, qt.IsTrue, qt.Commentf("%s", n))
	}
}
