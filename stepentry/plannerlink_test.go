package stepentry

import (
	"testing"

	qt "github.com/frankban/quicktest"

	"celerypoint.example/celerypoint/codec"
	"celerypoint.example/celerypoint/counters"
	"celerypoint.example/celerypoint/recordlog"
	"celerypoint.example/celerypoint/stepfold"
	"celerypoint.example/celerypoint/stepplan"
	"celerypoint.example/celerypoint/steps"
)

func stored(c *qt.C, offset int64, r stepfold.Record) recordlog.StoredRecord {
	record, err := codec.EncodeStepRecord(r)
	c.Assert(err, qt.IsNil)
	return recordlog.StoredRecord{Offset: offset, Record: record}
}

// Guards against running a cancelled job. Each entry notifies the planner over
// its own connection, so a cancellation can arrive before the acceptance of the
// same job.
func TestCancelledBeforeAccepted(t *testing.T) {
	c := qt.New(t)
	d := &Daemon{counters: counters.New(), records: recordTable{state: stepfold.New()}}
	d.planner.scheduler = stepplan.New(stepplan.Timing{})
	d.planner.passRequested = make(chan struct{}, 1)
	job := steps.Job{ID: "00000000000000a1", Steps: []steps.Step{{Count: 1}}}
	d.applyOutOfOrder(stored(c, 6, stepfold.Cancelled{ID: job.ID}))
	d.applyRecords([]recordlog.StoredRecord{stored(c, 5, stepfold.Accepted{Job: job}), stored(c, 6, stepfold.Cancelled{ID: job.ID})})
	c.Assert(d.planner.scheduler.Jobs[job.ID], qt.IsNotNil)
	c.Check(d.planner.scheduler.Jobs[job.ID].Phase, qt.Equals, stepfold.PhaseCancelled)
}
