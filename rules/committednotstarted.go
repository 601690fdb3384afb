package rules

import "celerypoint.example/celerypoint/rule"

var committedNotStarted = rule.Rule{
	Name:  "committedNotStarted",
	Title: "The attempt was committed, but none of its tasks was started",
	Text: "After the attempt was committed, every VM confirmed that it has not started its tasks and never will. " +
		"A job that is not idempotent is committed at most once, so it ends with the outcome not run. " +
		"Callers may submit it again with a new idempotency key. " +
		"Operators see from the reason which VM or which delay prevented the start.",
	Since: "0.1",
}
