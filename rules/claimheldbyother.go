package rules

import "celerypoint.example/celerypoint/rule"

var claimHeldByOther = rule.Rule{
	Name:  "claimHeldByOther",
	Title: "Another job uses the idempotency key",
	Text: "The organisation has already submitted a job with this idempotency key, and only one job can use a key. " +
		"Callers read the outcome of the first job, or use a new key for a different request. " +
		"Operators need to do nothing.",
	Since: "0.1",
}
