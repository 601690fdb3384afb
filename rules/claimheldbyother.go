package rules

import "celerypoint.example/celerypoint/rule"

var claimHeldByOther = rule.Rule{
	Name:  "claimHeldByOther",
	Title: "Another job holds the idempotency key",
	Text: "The organisation has already submitted a job under this idempotency key, and the job runs at most once. " +
		"Callers read the outcome of the first job, or choose a new key for a different request. " +
		"Operators need to do nothing.",
	Since: "0.1",
}
