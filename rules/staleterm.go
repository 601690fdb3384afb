package rules

import "celerypoint.example/celerypoint/rule"

var staleTerm = rule.Rule{
	Name:  "staleTerm",
	Title: "The order comes from a planner that was replaced",
	Text: "The agent has received a newer planner term of its region than the one in the order, so it ignored the order. " +
		"The newer planner places the job again. " +
		"Callers do nothing; if this happens repeatedly, operators check the VM of the replaced planner, an entry that was suspended or disconnected.",
	Since: "0.1",
}
