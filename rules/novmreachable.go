package rules

import "celerypoint.example/celerypoint/rule"

var noVMReachable = rule.Rule{
	Name:  "noVMReachable",
	Title: "No VM is reachable",
	Text: "The entry knows of no VM that takes work: none has announced itself, or all are lost. " +
		"Callers try again later. " +
		"Operators check that the agents run, and that their settings name the entries' addresses.",
	Since: "0.1",
}
