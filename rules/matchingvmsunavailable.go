package rules

import "celerypoint.example/celerypoint/rule"

var matchingVMsUnavailable = rule.Rule{
	Name:  "matchingVMsUnavailable",
	Title: "Every matching VM is out of service",
	Text: "VMs match the selector, but each of them is draining, lost, quarantined, or avoided because this job failed or was refused there. " +
		"The job waits until one returns. " +
		"Callers may widen the selector; operators end drains that are no longer needed and look at quarantined VMs.",
	Since: "0.1",
}
