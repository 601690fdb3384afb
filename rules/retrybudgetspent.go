package rules

import "celerypoint.example/celerypoint/rule"

var retryBudgetSpent = rule.Rule{
	Name:  "retryBudgetSpent",
	Title: "The retry limit of the entry is exhausted",
	Text: "A failed attempt is retried only while the average stays below 1.1 attempts per request, so that retries do not worsen an overload. " +
		"The request was not run. " +
		"Callers retry later with increasing delays; operators look for the zone or the VMs where attempts fail.",
	Since: "0.1",
}
