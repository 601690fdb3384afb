package siteproof

import (
	"encoding/json"
	"fmt"
	"net/http"
	"slices"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"celerypoint.example/celerypoint/faultproxy"
	"celerypoint.example/celerypoint/stepentry"
	"celerypoint.example/celerypoint/steps"
)

// configApply is the time after which a stored version of the configuration must be in
// force everywhere, and platformKeyGrace the entries' KeyGrace, as on the platform.
const (
	configApply      = 2 * time.Second
	platformKeyGrace = 4 * time.Second
)

func withPlatformKeyGrace(c *stepentry.Config) { c.KeyGrace = platformKeyGrace }

// replaceRoute stores a version of the configuration that has the route of its own number
// instead of that of the version before, and returns when the store had it.
func (s *site) replaceRoute(version int) time.Time {
	route := func(name string) map[string]any {
		return map[string]any{"name": name, "host": host, "path_prefix": "/" + name + "/", "service": "paint", "max_attempts": 3}
	}
	body, err := json.Marshal(map[string]any{
		"version": version, "routes": []any{route("normal"), route(routeOf(version))},
		"tenants": []any{map[string]any{"name": "crew", "api_keys": []string{key}}},
	})
	s.c.Assert(err, qt.IsNil)
	s.store.Put("keyed.op", "config", body)
	return time.Now()
}

func routeOf(version int) string { return fmt.Sprintf("version%d", version) }

// requestRoute asks an entry for the pending jobs of the route of a version.
func (s *site) requestRoute(e *entryProcess, version int) int {
	status, _ := s.request(e, http.MethodGet, "/"+routeOf(version)+"/", key, nil)
	return status
}

// checkDecisions requests the routes of a version, stored at the given time, and of the
// version before from each entry, and reports requests that were sent later than
// configApply after that time and decided by the version before. It returns, for each entry,
// how long after that time the new version was first seen in force.
func (s *site) checkDecisions(version int, stored time.Time, duration time.Duration) []time.Duration {
	inForce := make([]time.Duration, len(s.entries))
	var probes sync.WaitGroup
	for i, e := range s.entries {
		probes.Go(func() {
			outdated := time.Duration(0)
			for time.Since(stored) < duration {
				for _, probe := range []struct{ version, outdatedStatus int }{{version, http.StatusNotFound}, {version - 1, http.StatusOK}} {
					sent := time.Since(stored)
					status := s.requestRoute(e, probe.version)
					if sent > configApply && status == probe.outdatedStatus {
						outdated = sent
					}
					if probe.version == version && status == http.StatusOK && inForce[i] == 0 {
						inForce[i] = time.Since(stored)
					}
				}
				time.Sleep(20 * time.Millisecond)
			}
			s.c.Check(outdated, qt.Equals, time.Duration(0), qt.Commentf("entry %d decided by the version before so long after version %d was stored", i+1, version))
		})
	}
	probes.Wait()
	return inForce
}

// TestChangeInForceOverSilentConnections guards against a version in force too late after connections to the store go silent.
func TestChangeInForceOverSilentConnections(t *testing.T) {
	s := newSite(t, 3, 1, withPlatformKeyGrace)
	s.replaceRoute(2)
	// Appends at the same time leave several idle connections to the store.
	var jobs sync.WaitGroup
	for n := range 30 {
		jobs.Go(func() {
			s.submit(s.entries[n%3], "normal", jobID(n+1), s.jobBody(jobID(n+1), "run 10", 1, 1, false))
		})
	}
	jobs.Wait()
	time.Sleep(1500 * time.Millisecond)
	for version := 3; version <= 6; version++ {
		for _, e := range s.entries {
			e.storeProxy.Silence()
		}
		stored := s.replaceRoute(version)
		inForce := s.checkDecisions(version, stored, 6*time.Second)
		t.Logf("version %d was in force after %v", version, inForce)
		for i, after := range inForce {
			s.c.Check(after > 0 && after < configApply, qt.IsTrue, qt.Commentf("entry %d: version %d was in force after %v", i+1, version, after))
		}
	}
}

// TestOutdatedVersionDecidesNothing guards against decisions by a replaced version while the store cannot be read.
func TestOutdatedVersionDecidesNothing(t *testing.T) {
	s := newSite(t, 2, 1, withPlatformKeyGrace)
	s.replaceRoute(2)
	cut := s.entries[0]
	s.eventually("version 2 is in force", func() bool { return s.requestRoute(cut, 2) == http.StatusOK })
	s.c.Assert(cut.storeProxy.SetFaults(silent), qt.IsNil)
	s.checkDecisions(3, s.replaceRoute(3), 6*time.Second)
}

// TestConfigurationFromPlanner guards against refusals and old versions at an entry that only the planner serves.
func TestConfigurationFromPlanner(t *testing.T) {
	for name, faults := range map[string]faultproxy.Faults{"silent": silent, "refused": refusing} {
		t.Run(name, func(t *testing.T) {
			s := newSite(t, 2, 1, withPlatformKeyGrace)
			s.replaceRoute(2)
			planner := s.planner()
			other := s.entries[1-slices.Index(s.entries, planner)]
			s.eventually("version 2 is in force", func() bool { return s.requestRoute(other, 2) == http.StatusOK })
			s.c.Assert(other.storeProxy.SetFaults(faults), qt.IsNil)
			for version := 3; version <= 6; version++ {
				stored := s.replaceRoute(version)
				time.Sleep(configApply - time.Since(stored))
				for range 20 {
					// The entry may refuse to count pending jobs, because it cannot read records.
					_, reply := s.request(other, http.MethodGet, "/"+routeOf(version)+"/", key, nil)
					s.c.Check(reply["error"] == nil || reply["error"] == string(steps.OutcomeRefused), qt.IsTrue, qt.Commentf("version %d: %v", version, reply))
					s.c.Check(s.requestRoute(other, version-1), qt.Equals, http.StatusNotFound)
					time.Sleep(50 * time.Millisecond)
				}
			}
		})
	}
}
