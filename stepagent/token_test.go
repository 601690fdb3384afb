package stepagent

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"celerypoint.example/celerypoint/worker"
)

// TestTokensRiseAcrossIncarnations guards against an order for one incarnation that the
// next one carries out after it has answered calls of the agent.
func TestTokensRiseAcrossIncarnations(t *testing.T) {
	c := qt.New(t)
	table := newWorkerTable(time.Minute)
	identify(table, worker.Announcement{ID: "i", StartedAtUnixMs: 1000, Service: "s"})
	table.readClock(time.Hour, table.lastCall)
	table.raiseToken()
	_, before := table.nextCall()
	identify(table, worker.Announcement{ID: "i", StartedAtUnixMs: 2000, Service: "s"})
	table.raiseToken()
	_, after := table.nextCall()
	c.Check(after > before, qt.IsTrue, qt.Commentf("%d after %d", after, before))
}

// TestRefusedTokenIsReachedSoon guards against a worker that is not used because the agent
// counts up to the highest token that it has seen.
func TestRefusedTokenIsReachedSoon(t *testing.T) {
	table := newWorkerTable(time.Minute)
	identify(table, worker.Announcement{ID: "i", StartedAtUnixMs: 1, Service: "s"})
	const seen = 1_900_000_000_000
	calls := 0
	for ; calls < 100; calls++ {
		_, token := table.nextCall()
		if token >= seen {
			break
		}
		table.raiseStaleToken(token)
	}
	qt.Check(t, calls < 50, qt.IsTrue, qt.Commentf("%d calls", calls))
}

// TestTokenStaysInRange guards against a token that overflows while a worker refuses each call.
func TestTokenStaysInRange(t *testing.T) {
	c := qt.New(t)
	table := newWorkerTable(time.Minute)
	identify(table, worker.Announcement{ID: "i", StartedAtUnixMs: 1_900_000_000_000, Service: "s"})
	const calls = 10_000
	last := int64(0)
	for range calls {
		_, token := table.nextCall()
		c.Assert(token > last, qt.IsTrue, qt.Commentf("%d after %d", token, last))
		last = token
		table.raiseStaleToken(token)
	}
	c.Check(last <= maxSteppedToken+calls, qt.IsTrue, qt.Commentf("%d", last))
}

// TestRestartedAgentReadsTheClockFirst guards against an order of the agent's process before
// that is carried out after a status which seemed to rule that out.
func TestRestartedAgentReadsTheClockFirst(t *testing.T) {
	c := qt.New(t)
	table := newWorkerTable(time.Minute)
	a := worker.Announcement{ID: "i", StartedAtUnixMs: 1000, Service: "s", Clock: time.Second}
	table.applyAnnouncement(a)
	c.Assert(answer(table, a, worker.Status{Clock: 5 * time.Second}), qt.Equals, errSighted)
	_, token := table.nextCall()
	c.Check(token >= 6000, qt.IsTrue, qt.Commentf("token %d", token))
}

// TestFirstTokenIsAboveEarlierOnes guards against an order of the agent's process before that
// the worker's next incarnation carries out after it has answered a call of the new process.
func TestFirstTokenIsAboveEarlierOnes(t *testing.T) {
	table := newWorkerTable(time.Minute)
	table.applyAnnouncement(worker.Announcement{ID: "i", StartedAtUnixMs: 1000, Service: "s", Clock: 5 * time.Second})
	_, token := table.nextCall()
	qt.Check(t, token >= 6000, qt.IsTrue, qt.Commentf("token %d", token))
}
