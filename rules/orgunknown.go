package rules

import "celerypoint.example/celerypoint/rule"

var orgUnknown = rule.Rule{
	Name:  "orgUnknown",
	Title: "The organisation is not in the configuration",
	Text: "The request names an organisation that the entry does not know. " +
		"Callers check the name for a typing error; operators create the organisation with a change of the configuration, which is in force everywhere within 5 s.",
	Since: "0.1",
}
