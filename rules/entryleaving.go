package rules

import "celerypoint.example/celerypoint/rule"

var entryLeaving = rule.Rule{
	Name:  "entryLeaving",
	Title: "The entry is stopping",
	Text: "The entry takes no new request because it is shutting down. " +
		"Callers send the request again: the load balancer leads to another entry. " +
		"Operators need to do nothing unless every entry says so.",
	Since: "0.1",
}
