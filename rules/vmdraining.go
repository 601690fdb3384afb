package rules

import "celerypoint.example/celerypoint/rule"

var vmDraining = rule.Rule{
	Name:  "vmDraining",
	Title: "The VM accepts no new work",
	Text: "An operator is draining the VM, or its agent is stopping, so the order was refused and nothing was started. " +
		"The job is placed on another VM. " +
		"Callers do nothing; operators end the drain when the VM should accept work again.",
	Since: "0.1",
}
