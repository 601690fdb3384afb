package rules

import "celerypoint.example/celerypoint/rule"

var noFreeCapacity = rule.Rule{
	Name:  "noFreeCapacity",
	Title: "Not enough accelerators or slots are free",
	Text: "The matching VMs are in use by other jobs. " +
		"The job waits until enough of them have ended. " +
		"Callers may request fewer tasks or use a selector that matches more VMs; operators add VMs, or raise the organisation's guarantee so that it can reclaim accelerators that others borrow.",
	Since: "0.1",
}
