package rules

import "celerypoint.example/celerypoint/rule"

var staleConfiguration = rule.Rule{
	Name:  "staleConfiguration",
	Title: "The order is based on an older configuration",
	Text: "The agent has already applied a newer configuration than the entry that sent the order. " +
		"The entry updates its configuration and sends the order again. " +
		"Callers do nothing; operators check the entry's access to the log if this lasts longer than 5 s.",
	Since: "0.1",
}
