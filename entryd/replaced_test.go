package entryd

import (
	"testing"

	qt "github.com/frankban/quicktest"

	"celerypoint.example/celerypoint/job"
	"celerypoint.example/celerypoint/shape"
	"celerypoint.example/celerypoint/standinruntime"
	"celerypoint.example/celerypoint/wire"
)

// recordOf returns the runtime's first record of the kind for the job.
func recordOf(r *standinruntime.Runtime, jobID string, kind wire.RuntimeRecordKind) (wire.RuntimeRecord, bool) {
	for _, record := range r.Records() {
		if record.Job == jobID && record.Kind == kind {
			return record, true
		}
	}
	return wire.RuntimeRecord{}, false
}

// TestReplacedMachine guards against a second start while the machine replaced by name runs on.
func TestReplacedMachine(t *testing.T) {
	s := startCluster(t, 1, 1)
	s.putOrg("paint", shape.Shape{})
	v, err := s.entries[0].Submit(s.context(), job.Job{Org: "paint", Tasks: 1, AcceleratorsPerTask: 1, Urgency: job.UrgencyNormal, Idempotent: true, Payload: []byte(`{"runMs":60000}`)})
	qt.Assert(t, err, qt.IsNil)
	s.waitFor("the job runs", func() bool {
		_, started := recordOf(s.runtimes[0], v.ID, wire.RuntimeRecordKindStarted)
		return started
	})
	s.agents[0].Kill()
	s.addAgent("v1", "r2")
	var second wire.RuntimeRecord
	s.waitFor("the job runs again", func() (ok bool) {
		second, ok = recordOf(s.runtimes[1], v.ID, wire.RuntimeRecordKindStarted)
		return ok
	})
	end, ended := recordOf(s.runtimes[0], v.ID, wire.RuntimeRecordKindLeaseLapsed)
	qt.Assert(t, ended, qt.IsTrue, qt.Commentf("the task runs on the first machine"))
	qt.Assert(t, end.AtUnixUs <= second.AtUnixUs, qt.IsTrue)
}
