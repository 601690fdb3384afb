package rules

import "celerypoint.example/celerypoint/rule"

var ownShareOnly = rule.Rule{
	Name:  "ownShareOnly",
	Title: "The free accelerators are guaranteed to other organisations",
	Text: "A job that is not preemptible runs only on accelerators that are guaranteed to its own organisation or to none, because it could not be evicted if the owner needed them. " +
		"Callers mark the job as preemptible if it can be stopped and started again; operators raise the organisation's guarantee.",
	Since: "0.1",
}
