package rules

import "celerypoint.example/celerypoint/rule"

var invalidRequest = rule.Rule{
	Name:  "invalidRequest",
	Title: "The request is not valid",
	Text: "A line of a batch is not a valid request: a field is missing, unknown or out of range. Nothing of it was run or recorded. " +
		"The reason names the field, its value and the allowed values. Callers correct the line and send it again. Operators need to do nothing.",
	Since: "0.1",
}
