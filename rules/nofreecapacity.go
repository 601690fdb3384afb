package rules

import "celerypoint.example/celerypoint/rule"

var noFreeCapacity = rule.Rule{
	Name:  "noFreeCapacity",
	Title: "Not enough accelerators or slots are free",
	Text: "The matching VMs are in use. " +
		"The job waits until work ends. " +
		"Callers may ask for fewer tasks or a wider selector; operators add VMs, or raise the organisation's guarantee so that it can reclaim what others borrow.",
	Since: "0.1",
}
