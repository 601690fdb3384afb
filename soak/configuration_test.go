package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"slices"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"celerypoint.example/celerypoint/faultproxy"
)

type (
	// silentFault makes the connections that are open on some links transfer no more bytes,
	// for good. New connections work.
	silentFault struct {
		links   string
		proxies []*faultproxy.Proxy
	}
	// changeFault stores a new version of the configuration.
	changeFault struct{}
)

func (silentFault) fault() {}
func (changeFault) fault() {}

// drawSilentFaults chooses connections that go silent, and changes of the configuration at
// about the same time, with a random generator of their own. Some come in series.
func (s *system) drawSilentFaults(length time.Duration) []scheduledFault {
	r := rand.New(rand.NewPCG(s.seed, 7))
	var all []scheduledFault
	for at := milliseconds(r, 0, 2000); at < length; at += milliseconds(r, 500, 4000) {
		for range 1 + r.IntN(3) {
			all = append(all, scheduledFault{at, 0, s.drawSilentFault(r)})
			change := at + milliseconds(r, 0, 1500)
			if r.IntN(2) == 0 {
				change = at
			}
			all = append(all, scheduledFault{change, 0, changeFault{}})
			at += milliseconds(r, 100, 1500)
		}
	}
	return all
}

func (s *system) drawSilentFault(r *rand.Rand) silentFault {
	e, a := pick(r, s.entries), pick(r, s.agents)
	stores := silentFault{links: "all links to the store"}
	for _, e := range s.entries {
		stores.proxies = append(stores.proxies, e.storeProxy)
	}
	all := silentFault{links: "all links", proxies: slices.Clone(stores.proxies)}
	for _, e := range s.entries {
		all.proxies = append(all.proxies, e.clientProxy, e.peerProxy)
	}
	for _, a := range s.agents {
		all.proxies = append(all.proxies, a.peerProxy, a.storeProxy, a.paths.calls, a.paths.heartbeats)
	}
	return pick(r, []silentFault{
		stores, all, {e.name + " to store", []*faultproxy.Proxy{e.storeProxy}}, {"links of " + e.name, []*faultproxy.Proxy{e.clientProxy, e.peerProxy, e.storeProxy}},
		{"links of " + a.name, []*faultproxy.Proxy{a.peerProxy, a.storeProxy, a.paths.calls, a.paths.heartbeats}},
	})
}

// routeOf is the name of the queue that only the version of the configuration has.
func routeOf(version int) string { return fmt.Sprintf("version%d", version) }

// outdatedDecision describes a response that a version of the configuration must not give to
// a request for the queue of another one, or returns "". storedAt has the times at which the
// versions 1 to len(storedAt) were stored, sentAt is when the request was sent. newest is the
// newest version that may have been stored when the response arrived.
func outdatedDecision(requested, status int, storedAt []time.Time, sentAt time.Time, newest int) string {
	bound := configApplyMs * time.Millisecond
	switch {
	case status == http.StatusOK && requested < len(storedAt) && sentAt.Sub(storedAt[requested]) > bound:
		return fmt.Sprintf("serves the queue of version %d, %v after version %d was stored", requested, sentAt.Sub(storedAt[requested]), requested+1)
	case status == http.StatusNotFound && requested == newest && requested <= len(storedAt) && sentAt.Sub(storedAt[requested-1]) > bound:
		return fmt.Sprintf("denies the queue of version %d, %v after it was stored", requested, sentAt.Sub(storedAt[requested-1]))
	}
	return ""
}

// versions returns when the versions were stored, and the newest that may be stored by now.
func (s *system) versions() (storedAt []time.Time, newest int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.configStoredAt, s.configVersion
}

// probeVersions requests the queue of the newest version of the configuration, and of the
// one before, from an entry until ctx ends.
func (c *client) probeVersions(ctx context.Context, e *entryNode) {
	for ctx.Err() == nil {
		time.Sleep(50 * time.Millisecond)
		storedAt, _ := c.system.versions()
		for _, requested := range []int{len(storedAt), len(storedAt) - 1} {
			if requested < 1 {
				continue
			}
			sentAt := time.Now()
			status, _ := c.call(e, http.MethodGet, "/"+routeOf(requested)+"/", c.system.newestKey(), nil)
			_, newest := c.system.versions()
			if found := outdatedDecision(requested, status, storedAt, sentAt, newest); found != "" {
				c.system.fail("%s %s", e.name, found)
			}
		}
	}
}

// TestOutdatedDecision guards against a judge that misses a decision by an outdated version
// of the configuration or reports one that is allowed.
func TestOutdatedDecision(t *testing.T) {
	start := time.Unix(1000, 0)
	at := func(ms int) time.Time { return start.Add(time.Duration(ms) * time.Millisecond) }
	// Version 1 was stored at 0 s, version 2 at 10 s, version 3 at 20 s.
	stored := []time.Time{at(0), at(10_000), at(20_000)}
	for _, test := range []struct {
		name                               string
		requested, status, sentMs, through int
		wrong                              bool
	}{
		{"added queue is served", 3, http.StatusOK, 23_000, 3, false},
		{"added queue is denied in time", 3, http.StatusNotFound, 21_900, 3, false},
		{"added queue is denied late", 3, http.StatusNotFound, 22_100, 3, true},
		{"added queue is refused for now", 3, http.StatusServiceUnavailable, 25_000, 3, false},
		{"added queue may be removed again", 3, http.StatusNotFound, 22_100, 4, false},
		{"removed queue is denied", 2, http.StatusNotFound, 25_000, 3, false},
		{"removed queue is served in time", 2, http.StatusOK, 21_900, 3, false},
		{"removed queue is served late", 2, http.StatusOK, 22_100, 3, true},
		{"removed queue is served late, another change is under way", 2, http.StatusOK, 22_100, 4, true},
		{"no response", 2, 0, 25_000, 3, false},
	} {
		t.Run(test.name, func(t *testing.T) {
			found := outdatedDecision(test.requested, test.status, stored, at(test.sentMs), test.through)
			qt.Assert(t, found != "", qt.Equals, test.wrong, qt.Commentf("%s", found))
		})
	}
}
