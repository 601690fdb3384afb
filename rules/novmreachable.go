package rules

import "celerypoint.example/celerypoint/rule"

var noVMReachable = rule.Rule{
	Name:  "noVMReachable",
	Title: "No VM is reachable",
	Text: "The entry knows no VM that accepts work, because none has announced itself or all are lost. " +
		"Callers try again later. " +
		"Operators check that the agents are running, and that their settings contain the addresses of the entries.",
	Since: "0.1",
}
