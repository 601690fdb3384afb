package rules

import "celerypoint.example/celerypoint/rule"

var reclaimDeadline = rule.Rule{
	Name:  "reclaimDeadline",
	Title: "The borrowing jobs did not end in time",
	Text: "The agent evicted jobs that borrowed guaranteed accelerators, and they did not end before the reclaim deadline, so the reservation was refused and nothing was started. " +
		"The job is placed again. " +
		"Callers do nothing; operators check the worker runtime of the VM, which did not stop its tasks.",
	Since: "0.1",
}
