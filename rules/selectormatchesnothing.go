package rules

import "celerypoint.example/celerypoint/rule"

var selectorMatchesNothing = rule.Rule{
	Name:  "selectorMatchesNothing",
	Title: "The selector matches no VM",
	Text: "No VM known to the entry has labels that match the job's selector. " +
		"Callers correct the selector; operators add the labels to VMs in the configuration, or start VMs that have them.",
	Since: "0.1",
}
