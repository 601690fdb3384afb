package rules

import "celerypoint.example/celerypoint/rule"

var attemptReleased = rule.Rule{
	Name:  "attemptReleased",
	Title: "The attempt was already released on this VM",
	Text: "The attempt was cancelled or released before the order to start it arrived, so the agent will never start it. " +
		"Callers see that the job waits again or has ended. " +
		"Operators need to do nothing.",
	Since: "0.1",
}
