package rules

import (
	"celerypoint.example/celerypoint/disruption"
	"celerypoint.example/celerypoint/rule"
)

var disruptionBudget = rule.Rule{
	Name:  disruption.Rule,
	Title: "The run is not stopped, because too many tasks of its step are unavailable",
	Text: "The step limits how many of its long-running tasks may be unavailable at the same time. " +
		"Urgent work that would need the run's capacity stops other runs or waits. " +
		"Callers who set the limit raise it if urgent work has to wait too often; operators check why tasks of the step are unavailable.",
	Since: "0.1",
}
