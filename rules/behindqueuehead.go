package rules

import "celerypoint.example/celerypoint/rule"

var behindQueueHead = rule.Rule{
	Name:  "behindQueueHead",
	Title: "An earlier job blocks the queue",
	Text: "The baseline policy places jobs strictly in the order of arrival, and an earlier job does not fit yet. " +
		"Callers wait; operators can choose the adjacent policy, which places a later job first if that delays no earlier job.",
	Since: "0.1",
}
