package rules

import "celerypoint.example/celerypoint/rule"

var logUnavailable = rule.Rule{
	Name:  "logUnavailable",
	Title: "The log takes no appends",
	Text: "A job that is a gang, is not idempotent or is not urgent is accepted through the platform's log, which takes no appends now. " +
		"Callers try again later, or send a single idempotent task as urgent, which needs no record. " +
		"Operators look at the log service; its health is on the status page.",
	Since: "0.1",
}
