package rules

import "celerypoint.example/celerypoint/rule"

var queueFull = rule.Rule{
	Name:  "queueFull",
	Title: "The queue is full",
	Text: "The urgent, normal and batch lanes of an entry have a bounded queue each, as has every agent, and this one has no place left. " +
		"Callers wait and send again with growing pauses; operators add VMs, or raise the limit in the settings when the callers can wait longer.",
	Since: "0.1",
}
