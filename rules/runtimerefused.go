package rules

import "celerypoint.example/celerypoint/rule"

var runtimeRefused = rule.Rule{
	Name:  "runtimeRefused",
	Title: "The worker runtime took no task",
	Text: "The VM's agent granted the place, and the worker runtime beside it refused every task, so nothing was started. " +
		"Callers need do nothing: the entry tries another VM. Operators look at the runtime of the VM that the reason names.",
	Since: "0.1",
}
