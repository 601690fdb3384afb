package rules

import "celerypoint.example/celerypoint/rule"

var deadlineUnreachable = rule.Rule{
	Name:  "deadlineUnreachable",
	Title: "The answer cannot come before the deadline",
	Text: "The queue, the number of servers and the run time learned from earlier work say that the answer would come too late, so the request is refused at once and not after a useless wait. " +
		"Callers allow more time or send at a quieter hour; operators add VMs that match the selector.",
	Since: "0.1",
}
