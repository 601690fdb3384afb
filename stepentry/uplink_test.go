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

// Guards against a job that runs although it is cancelled: entries notify the
// planner on connections of their own, so that a cancellation can come before
// the acceptance.
func TestCancelledBeforeAccepted(t *testing.T) {
	c := qt.New(t)
	d := &Daemon{counters: counters.New(), records: recordTable{state: stepfold.New()}}
	d.planner.board = stepplan.New(stepplan.Timing{})
	d.planner.due = make(chan struct{}, 1)
	job := steps.Job{ID: "00000000000000a1", Steps: []steps.Step{{Count: 1}}}
	d.learn(stored(c, 6, stepfold.Cancelled{ID: job.ID}))
	d.foldRecords([]recordlog.StoredRecord{stored(c, 5, stepfold.Accepted{Job: job}), stored(c, 6, stepfold.Cancelled{ID: job.ID})})
	c.Assert(d.planner.board.Jobs[job.ID], qt.IsNotNil)
	c.Check(d.planner.board.Jobs[job.ID].Phase, qt.Equals, stepfold.PhaseCancelled)
}
