package rules

import "celerypoint.example/celerypoint/rule"

var exceedsMatchingCapacity = rule.Rule{
	Name:  "exceedsMatchingCapacity",
	Title: "No set of matching VMs could ever hold the job",
	Text: "Even if every matching VM were empty, the tasks would not fit as near to each other as the adjacency asks. " +
		"Callers ask for fewer tasks, fewer accelerators on each, a wider adjacency or a wider selector; operators add VMs or labels.",
	Since: "0.1",
}
