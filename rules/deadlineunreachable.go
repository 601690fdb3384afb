package rules

import "celerypoint.example/celerypoint/rule"

var deadlineUnreachable = rule.Rule{
	Name:  "deadlineUnreachable",
	Title: "The answer cannot come before the deadline",
	Text: "According to the length of the queue, the number of VMs and the run times of earlier work, the answer would come after the deadline, so the request is refused immediately. " +
		"Callers allow more time or send the request when the load is lower; operators add VMs that match the selector.",
	Since: "0.1",
}
