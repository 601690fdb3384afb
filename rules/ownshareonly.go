package rules

import "celerypoint.example/celerypoint/rule"

var ownShareOnly = rule.Rule{
	Name:  "ownShareOnly",
	Title: "The free accelerators are owed to others",
	Text: "Work that is not preemptible runs only on its own organisation's share or on accelerators that are owed to nobody, because it could not be evicted when the owner needs them. " +
		"Callers mark the job preemptible if it can be stopped and started again; operators raise the organisation's guarantee.",
	Since: "0.1",
}
