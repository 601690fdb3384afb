package rules

import "celerypoint.example/celerypoint/rule"

var exceedsMatchingCapacity = rule.Rule{
	Name:  "exceedsMatchingCapacity",
	Title: "No set of matching VMs could ever hold the job",
	Text: "Even if every matching VM were idle, the tasks would not fit within the adjacency that the job requests. " +
		"Callers request fewer tasks, fewer accelerators for each task, a wider adjacency or a selector that matches more VMs; operators add VMs or labels.",
	Since: "0.1",
}
