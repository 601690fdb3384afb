package rules

import "celerypoint.example/celerypoint/rule"

var entryLeaving = rule.Rule{
	Name:  "entryLeaving",
	Title: "The entry is stopping",
	Text: "The entry accepts no new requests because it is shutting down. " +
		"Callers send the request again, and the load balancer routes it to another entry. " +
		"Operators need to do nothing unless every entry refuses requests for this reason.",
	Since: "0.1",
}
