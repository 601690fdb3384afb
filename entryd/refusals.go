package entryd

import (
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"celerypoint.example/celerypoint/connlimit"
)

// refusalLogInterval is the least time between two log lines about the same kind of refusal.
const refusalLogInterval = 10 * time.Second

// refusalTable limits the log lines about what servers refuse because of their limits. Its mutex
// is taken alone.
type refusalTable struct {
	mu sync.Mutex
	// logAt is when the next line about a kind of refusal may be logged, by its counter.
	logAt map[string]time.Time
}

// mayLog reports whether a line about the kind of refusal may be logged now.
func (t *refusalTable) mayLog(counter string, now time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if now.Before(t.logAt[counter]) {
		return false
	}
	if t.logAt == nil {
		t.logAt = map[string]time.Time{}
	}
	t.logAt[counter] = now.Add(refusalLogInterval)
	return true
}

// ConnectionRefused counts what the server of the given name, "rpc" or "http", has refused, and
// logs the first refusal of each kind in refusalLogInterval.
func (d *Daemon) ConnectionRefused(server string, r connlimit.Refusal) {
	counter := "clientRefused." + server + "." + r.Reason
	d.count(counter)
	if d.refusals.mayLog(counter, time.Now()) {
		d.logger.WithFields(logrus.Fields{"server": server, "reason": r.Reason, "remote": r.Remote}).Warn("client refused because of a limit")
	}
}
