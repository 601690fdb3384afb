package rules

import "celerypoint.example/celerypoint/rule"

var reservedForGang = rule.Rule{
	Name:  "reservedForGang",
	Title: "The free VMs are reserved for the gang that has waited longest",
	Text: "The job would fit now, but only on VMs that are kept free for the gang that has waited longest, and it is not expected to end before that gang can start. " +
		"Callers declare the run time, so that a job that ends early enough can run before the gang; operators find the gang in the reason for which the job waits.",
	Since: "0.1",
}
