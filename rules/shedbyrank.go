package rules

import "celerypoint.example/celerypoint/rule"

var shedByRank = rule.Rule{
	Name:  "shedByRank",
	Title: "Work of this rank is shed while the queue is nearly full",
	Text: "When the queue of a lane fills up, the organisations with the highest shed rank are refused first, so that places remain for the others. " +
		"Callers wait and send again; operators change the rank of the organisation or add VMs.",
	Since: "0.1",
}
