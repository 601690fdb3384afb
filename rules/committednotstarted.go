package rules

import "celerypoint.example/celerypoint/rule"

var committedNotStarted = rule.Rule{
	Name:  "committedNotStarted",
	Title: "The attempt was committed, but nothing of it was started",
	Text: "Every VM confirmed that it never started its part and never will, after the attempt was committed. " +
		"Work that is not idempotent is committed at most once, so it ends here as not run. " +
		"Callers may submit it again under a new idempotency key. " +
		"Operators see from the reason which VM or which delay prevented the start.",
	Since: "0.1",
}
