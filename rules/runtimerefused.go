package rules

import "celerypoint.example/celerypoint/rule"

var runtimeRefused = rule.Rule{
	Name:  "runtimeRefused",
	Title: "The worker runtime refused the tasks",
	Text: "The VM's agent reserved the capacity, but the worker runtime on that VM refused every task, so nothing was started. " +
		"Callers need to do nothing, because the entry tries another VM. Operators check the runtime on the VM that the reason names.",
	Since: "0.1",
}
