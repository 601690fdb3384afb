// Package connreport counts and logs what the servers of a process refuse because of the limits
// of package connlimit, and registers gauges of what their connections use. It owns no state and
// takes no lock.
package connreport

import (
	"celerypoint.example/celerypoint/connlimit"
	"celerypoint.example/celerypoint/counters"
	"celerypoint.example/celerypoint/eventlog"
)

// Report is the counters and the log of a process.
type Report struct {
	Counters counters.Counters
	Log      *eventlog.Log
}

// Refused counts and logs what the server of the given name has refused.
func (p Report) Refused(server string, r connlimit.Refusal) {
	p.Counters.Count("clientRefused." + server + "." + r.Reason)
	p.Log.Add("clientRefused", eventlog.Fields{"server": server, "reason": r.Reason, "remote": r.Remote})
}

// AddGauges registers the gauges of a server. usage returns the number of open connections, the
// bytes that they hold, and the bytes of the requests in progress.
func (p Report) AddGauges(server string, usage func() (connections int, heldBytes, activeBytes int64)) {
	p.Counters.Gauge("connections."+server, func() int64 { n, _, _ := usage(); return int64(n) })
	p.Counters.Gauge("heldBytes."+server, func() int64 { _, held, _ := usage(); return held })
	p.Counters.Gauge("activeBytes."+server, func() int64 { _, _, active := usage(); return active })
}
