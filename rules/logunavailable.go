package rules

import "celerypoint.example/celerypoint/rule"

var logUnavailable = rule.Rule{
	Name:  "logUnavailable",
	Title: "The platform's log accepts no records",
	Text: "A job that has several tasks, is not idempotent or is not urgent must be recorded in the platform's log before it is accepted, and the log accepts no records at present. " +
		"Callers try again later, or submit a single idempotent task as urgent, which needs no record. " +
		"Operators check the log service; `celerypoint status` shows whether it is down.",
	Since: "0.1",
}
