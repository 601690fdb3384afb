package rules

import "celerypoint.example/celerypoint/rule"

var matchingVMsUnavailable = rule.Rule{
	Name:  "matchingVMsUnavailable",
	Title: "Every matching VM is out of service",
	Text: "VMs match the selector, but each of them is draining, lost, quarantined, or excluded because this job failed or was refused there. " +
		"The job waits until one of them is available. " +
		"Callers may use a selector that matches more VMs; operators end drains that are no longer needed and check the quarantined VMs.",
	Since: "0.1",
}
