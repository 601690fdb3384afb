package rules

import "celerypoint.example/celerypoint/rule"

var attemptReleased = rule.Rule{
	Name:  "attemptReleased",
	Title: "The attempt was released on this VM",
	Text: "The attempt was cancelled or released before this order arrived, and the agent will never start it. " +
		"Callers see the job wait again or end. " +
		"Operators need to do nothing.",
	Since: "0.1",
}
