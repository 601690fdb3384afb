package rules

import "celerypoint.example/celerypoint/rule"

var tooFragmented = rule.Rule{
	Name:  "tooFragmented",
	Title: "The free capacity is too scattered",
	Text: "Enough accelerators and slots are free in total, but no single VM, rack, zone or region, according to the job's adjacency, has enough of them. " +
		"The job waits until other jobs have ended. " +
		"Callers may request a wider adjacency; operators may temporarily drain VMs of one rack or zone so that free capacity accumulates there.",
	Since: "0.1",
}
