package rules

import "celerypoint.example/celerypoint/rule"

var reservationExpired = rule.Rule{
	Name:  "reservationExpired",
	Title: "The reservation ended before the start",
	Text: "The start came after the reservation's deadline, or without a reservation, so nothing was started. " +
		"The job waits again and is placed anew. " +
		"Callers do nothing; operators check the delay of the log and of the network when this repeats.",
	Since: "0.1",
}
