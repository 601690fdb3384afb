package rules

import "celerypoint.example/celerypoint/rule"

var noFreePlace = rule.Rule{
	Name:  "noFreePlace",
	Title: "The VM has no room for the part",
	Text: "The agent has fewer free accelerators or slots than the order asks for, because its own ledger is newer than the plan. " +
		"Nothing was started, and the job is placed again. " +
		"Callers do nothing; operators look at the delay of announcements when this repeats.",
	Since: "0.1",
}
