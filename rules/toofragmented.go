package rules

import "celerypoint.example/celerypoint/rule"

var tooFragmented = rule.Rule{
	Name:  "tooFragmented",
	Title: "The free capacity is not near enough together",
	Text: "Enough accelerators and slots are free in all, but no single domain of the job's adjacency has them. " +
		"The job waits until work there ends. " +
		"Callers may ask for a wider adjacency; operators may drain and return VMs of one rack or zone to gather free capacity.",
	Since: "0.1",
}
