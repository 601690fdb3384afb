package rules

import "celerypoint.example/celerypoint/rule"

var orgUnknown = rule.Rule{
	Name:  "orgUnknown",
	Title: "The organisation is not in the configuration",
	Text: "The request names an organisation that the entry does not know. " +
		"Callers check the spelling of the name; operators add the organisation to the configuration, which takes effect on all entries within 5 s.",
	Since: "0.1",
}
