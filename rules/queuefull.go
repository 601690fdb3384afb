package rules

import "celerypoint.example/celerypoint/rule"

var queueFull = rule.Rule{
	Name:  "queueFull",
	Title: "The queue is full",
	Text: "An entry has a bounded queue for each urgency (urgent, normal, batch), and every agent has one for requests that wait for capacity on its VM. This queue has no room left. " +
		"Callers retry with increasing delays; operators add VMs, or raise the limit in the settings if callers can wait longer.",
	Since: "0.1",
}
