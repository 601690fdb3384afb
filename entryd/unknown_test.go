package entryd

import (
	"testing"

	qt "github.com/frankban/quicktest"

	"celerypoint.example/celerypoint/job"
	"celerypoint.example/celerypoint/shape"
)

// TestJobOfSilentEntry guards against denying a job whose entry cannot be reached.
func TestJobOfSilentEntry(t *testing.T) {
	s := startCluster(t, 2, 1)
	s.putOrg("paint", shape.Shape{})
	v, err := s.entries[0].Submit(s.context(), job.Job{Org: "paint", Tasks: 1, AcceleratorsPerTask: 1, Urgency: job.UrgencyUrgent, Idempotent: true, Payload: []byte(`{"runMs":60000}`)})
	qt.Assert(t, err, qt.IsNil)
	other := s.entries[1]
	_, found, err := other.Job(s.context(), v.ID)
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, found, qt.IsTrue)
	_, found, err = other.Job(s.context(), "zz~boot~e1")
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, found, qt.IsFalse)
	other.peers.mu.Lock()
	other.peers.byID["e1"].conn, other.peers.byID["e1"].dialing = nil, true
	other.peers.mu.Unlock()
	_, _, err = other.Job(s.context(), v.ID)
	qt.Assert(t, err, qt.ErrorIs, ErrUnavailable)
	_, _, err = other.Wait(s.context(), v.ID)
	qt.Assert(t, err, qt.ErrorIs, ErrUnavailable)
}

// TestJobBeforeLogIsRead guards against an entry that denies a job before it has read the log.
func TestJobBeforeLogIsRead(t *testing.T) {
	s := startCluster(t, 2, 1)
	s.waitFor("a planner", func() bool {
		term := 0
		for _, e := range s.entries {
			e.jobs.mu.Lock()
			term += int(e.jobs.term)
			e.jobs.mu.Unlock()
		}
		return term > 0
	})
	s.waitFor("a connection to the entry that has accepted the job", func() bool {
		peers := &s.entries[1].peers
		peers.mu.Lock()
		defer peers.mu.Unlock()
		p := peers.byID["e1"]
		return p != nil && p.conn != nil
	})
	for _, test := range []struct {
		id       string
		caughtUp bool
	}{{"zz~boot~e1", false}, {"zz~boot~e1", true}, {"no such job", true}} {
		s.entries[0].jobs.mu.Lock()
		s.entries[0].jobs.caughtUp = test.caughtUp
		s.entries[0].jobs.mu.Unlock()
		for _, e := range s.entries {
			_, found, err := e.Job(s.context(), test.id)
			qt.Check(t, found, qt.IsFalse)
			qt.Check(t, err == nil, qt.Equals, test.caughtUp, qt.Commentf("%s at %s: %v", test.id, e.cfg.ID, err))
		}
	}
}
