package rules

import "celerypoint.example/celerypoint/rule"

var reservationExpired = rule.Rule{
	Name:  "reservationExpired",
	Title: "The reservation expired before the start",
	Text: "The order to start arrived after the reservation had expired, or there was no reservation, so nothing was started. " +
		"The job waits and is placed again. " +
		"Callers do nothing; operators check the latency of the log and of the network if this happens repeatedly.",
	Since: "0.1",
}
