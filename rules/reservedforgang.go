package rules

import "celerypoint.example/celerypoint/rule"

var reservedForGang = rule.Rule{
	Name:  "reservedForGang",
	Title: "The free VMs are reserved for the oldest gang",
	Text: "The job fits now, but on VMs that are kept free for the gang that waits longest, and it is not expected to end before the gang can start. " +
		"Callers declare a run time, so that short work may pass; operators find the gang in the reason of the wait.",
	Since: "0.1",
}
