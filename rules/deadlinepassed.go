package rules

import "celerypoint.example/celerypoint/rule"

var deadlinePassed = rule.Rule{
	Name:  "deadlinePassed",
	Title: "The deadline has passed",
	Text: "The job's deadline is not in the future, so the answer would be too late. " +
		"Callers set a later deadline, and check that their clock agrees with the entry's. " +
		"Operators check the clocks of the entry VMs if many callers are affected.",
	Since: "0.1",
}
