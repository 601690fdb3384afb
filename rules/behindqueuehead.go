package rules

import "celerypoint.example/celerypoint/rule"

var behindQueueHead = rule.Rule{
	Name:  "behindQueueHead",
	Title: "An earlier job blocks the queue",
	Text: "The baseline policy serves jobs strictly in the order of arrival, and an earlier job does not fit yet. " +
		"Callers wait; operators choose the adjacent policy, which lets later jobs pass when they delay nobody.",
	Since: "0.1",
}
