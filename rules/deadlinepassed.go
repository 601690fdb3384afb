package rules

import "celerypoint.example/celerypoint/rule"

var deadlinePassed = rule.Rule{
	Name:  "deadlinePassed",
	Title: "The deadline has passed",
	Text: "The job's deadline is not in the future, so its caller no longer wants the answer. " +
		"Callers set a later deadline and compare their clock with the entry's. " +
		"Operators check the clocks of the entry VMs when many callers see this.",
	Since: "0.1",
}
