package rules

import "celerypoint.example/celerypoint/rule"

var noFreePlace = rule.Rule{
	Name:  "noFreePlace",
	Title: "The VM has no free capacity for its part of the job",
	Text: "The agent has fewer free accelerators or slots than the order requires, because its state has changed since the planner learned of it. " +
		"Nothing was started, and the job is placed again. " +
		"Callers do nothing; operators check the delay of the agents' announcements if this happens repeatedly.",
	Since: "0.1",
}
