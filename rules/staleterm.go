package rules

import "celerypoint.example/celerypoint/rule"

var staleTerm = rule.Rule{
	Name:  "staleTerm",
	Title: "The order comes from a planner that was replaced",
	Text: "The agent has seen a newer planner term of its region than the one in the order, so it did not act on the order. " +
		"The newer planner places the job again. " +
		"Callers do nothing; operators see an entry that was paused or cut off and check its VM when this repeats.",
	Since: "0.1",
}
