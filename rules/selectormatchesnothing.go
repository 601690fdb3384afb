package rules

import "celerypoint.example/celerypoint/rule"

var selectorMatchesNothing = rule.Rule{
	Name:  "selectorMatchesNothing",
	Title: "The selector matches no VM",
	Text: "No VM that is known has the labels that the job's selector asks for. " +
		"Callers correct the selector; operators add the labels to VMs with a change of the configuration, or start VMs that have them.",
	Since: "0.1",
}
