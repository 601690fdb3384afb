package entryd

import (
	"testing"

	qt "github.com/frankban/quicktest"

	"celerypoint.example/celerypoint/job"
	"celerypoint.example/celerypoint/shape"
)

// TestJobOfSilentEntry guards against a job that a caller is told does not exist, because
// the entry that accepted it cannot be reached.
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
