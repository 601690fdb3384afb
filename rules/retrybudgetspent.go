package rules

import "celerypoint.example/celerypoint/rule"

var retryBudgetSpent = rule.Rule{
	Name:  "retryBudgetSpent",
	Title: "Too many retries are under way",
	Text: "A failed try is repeated only while all tries stay below 1.1 for each request, so that retries do not add to an overload. " +
		"The request was not run. " +
		"Callers send it again later with growing pauses; operators look for the zone or the VMs where tries fail.",
	Since: "0.1",
}
