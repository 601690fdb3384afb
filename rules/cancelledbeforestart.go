package rules

import "celerypoint.example/celerypoint/rule"

var cancelledBeforeStart = rule.Rule{
	Name:  "cancelledBeforeStart",
	Title: "The job was cancelled before it started",
	Text: "The caller cancelled the job and no part of it was started on any VM. " +
		"Callers submit a new job if they still need the answer. " +
		"Operators need to do nothing.",
	Since: "0.1",
}
