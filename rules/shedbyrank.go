package rules

import "celerypoint.example/celerypoint/rule"

var shedByRank = rule.Rule{
	Name:  "shedByRank",
	Title: "Requests of this shed rank are refused while the queue is nearly full",
	Text: "When the queue of an urgency fills up, requests of the organisations with the highest shed rank are refused first, so that room remains for the others. " +
		"Callers wait and send the request again; operators change the shed rank of the organisation or add VMs.",
	Since: "0.1",
}
