package entryd

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"celerypoint.example/celerypoint/jobfold"
	"celerypoint.example/celerypoint/placement"
	"celerypoint.example/celerypoint/shape"
)

// TestNoAttemptWhileEnding guards against a job that starts although its end, such as a
// cancellation before its start, is being recorded.
func TestNoAttemptWhileEnding(t *testing.T) {
	s := startCluster(t, 1, 1)
	s.putOrg("paint", shape.Shape{})
	d := s.entries[0]
	_, err := d.Submit(s.context(), gangJob("paint", 2, 4, `{"runMs":60000}`))
	qt.Assert(t, err, qt.IsNil)
	s.waitFor("the gang runs", func() bool { return len(s.agents[0].Holdings()) > 0 && s.agents[0].Holdings()[0].Running })
	v, err := d.Submit(s.context(), gangJob("paint", 2, 4, `{"runMs":60000}`))
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, v.Outcome, qt.IsNil)
	d.jobs.mu.Lock()
	d.jobs.byID[v.ID].endPending = true
	d.jobs.mu.Unlock()
	d.propose(placement.Placement{JobID: v.ID, Members: []placement.Member{{VM: "v1", Tasks: 2}}}, time.Now())
	d.jobs.mu.Lock()
	defer d.jobs.mu.Unlock()
	qt.Assert(t, d.jobs.attemptByJob[v.ID], qt.Equals, "")
	qt.Assert(t, d.jobs.logState.Jobs[v.ID].Phase, qt.Equals, jobfold.PhaseWaiting)
}

// TestSnapshotWithFullQueue guards against an entry that stops for good because a snapshot
// is due while the queue of the pool is full: its function then runs at once, and needs
// the lock under which it was submitted.
func TestSnapshotWithFullQueue(t *testing.T) {
	s := startCluster(t, 1, 1)
	d := s.entries[0]
	release := make(chan struct{})
	for range logWorkers + queueDepth {
		if d.logPool.Submit(func() { <-release }) != nil {
			break
		}
	}
	d.jobs.mu.Lock()
	d.jobs.snapshotSchedule.input.RenewBy = time.Now().Add(-time.Hour)
	d.jobs.snapshotSchedule.retryAt = time.Time{}
	d.jobs.mu.Unlock()
	done := make(chan struct{})
	go func() {
		defer close(done)
		d.tickSnapshots(time.Now())
	}()
	select {
	case <-done:
	case <-time.After(testTimeout):
		t.Error("tickSnapshots holds its lock for good")
	}
	close(release)
}
