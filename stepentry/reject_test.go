package stepentry

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"celerypoint.example/celerypoint/codec"
	"celerypoint.example/celerypoint/platform"
	"celerypoint.example/celerypoint/recordlog"
	"celerypoint.example/celerypoint/standinstore"
	"celerypoint.example/celerypoint/stepfold"
	"celerypoint.example/celerypoint/stepplan"
	"celerypoint.example/celerypoint/steps"
)

// storedPhase returns the phase in the newest record of a job's progress, empty if there is
// none.
func storedPhase(c *qt.C, store *standinstore.Server, id string) stepfold.Phase {
	value := store.Newest("keyed.t", "advanced/"+id)
	if value == nil {
		return ""
	}
	record, err := codec.DecodeStepRecord(recordlog.Record{Key: "advanced/" + id, Value: value})
	c.Assert(err, qt.IsNil)
	return record.(stepfold.Progressed).Progress.Phase
}

// restoreRunning adds a job with running tasks whose progress has to be stored.
func restoreRunning(sc *stepplan.Scheduler, id string, tasks int, checkpoint string) {
	now := time.Now()
	progress := stepfold.Progress{Phase: stepfold.PhaseRunning, Begun: true, Tasks: map[steps.TaskID]stepfold.TaskProgress{}}
	for i := range tasks {
		progress.Tasks[steps.TaskID{Index: i}] = stepfold.TaskProgress{Run: 1, Agent: "vm", Worker: "w", Checkpoint: fmt.Sprint(i, checkpoint)}
	}
	job := steps.Job{ID: id, Queue: "q", Steps: []steps.Step{{Count: tasks}}, AcceptedAt: now}
	sc.EarlierLeasesUntil = now.Add(time.Hour)
	sc.RestoreJob(stepfold.JobState{Job: &job, Progress: progress}, now, now)
}

// startPlanner starts an entry that plans in term 1 without having claimed it. Its client of
// the store is wrapped.
func startPlanner(c *qt.C, wrap func(recordlog.Log) recordlog.Log) (*Daemon, *standinstore.Server) {
	store, err := standinstore.New("127.0.0.1:0")
	c.Assert(err, qt.IsNil)
	c.Cleanup(store.Close)
	d, err := New(Config{
		Name: "e", Listen: "127.0.0.1:0", Topic: "t", ConfigTopic: platform.TopicConfiguration, Log: wrap(platform.NewStore(store.Address())),
		DecodeOperator: platform.DecodeOperatorRecord,
	})
	c.Assert(err, qt.IsNil)
	c.Cleanup(d.Kill)
	d.planner.mu.Lock()
	defer d.planner.mu.Unlock()
	d.planner.scheduler, d.planner.cancel = stepplan.New(stepplan.Timing{}), func() {}
	d.planner.term, d.planner.fence = 1, recordlog.Fence{Producer: producer, Epoch: 1}
	return d, store
}

// TestTooLargeProgress guards against one job whose progress outgrows the largest record of
// the store and whose append the planner repeats for ever, while nothing starts for anybody.
func TestTooLargeProgress(t *testing.T) {
	c := qt.New(t)
	d, store := startPlanner(c, func(l recordlog.Log) recordlog.Log { return l })
	ctx, cancel := context.WithCancel(context.Background())
	scheduler := stepplan.New(stepplan.Timing{KeepStatus: time.Hour})
	restoreRunning(scheduler, "large", 4000, fmt.Sprintf("%0100d", 0))
	restoreRunning(scheduler, "small", 1, "")
	d.planner.mu.Lock()
	d.planner.scheduler, d.planner.cancel = scheduler, cancel
	d.planner.mu.Unlock()
	done := make(chan struct{})
	go func() {
		defer close(done)
		d.runPasses(ctx, stepfold.Planner{Entry: "e", Term: 1})
	}()
	defer func() {
		cancel()
		<-done
	}()
	for end := time.Now().Add(5 * time.Second); storedPhase(c, store, "large") == "" && time.Now().Before(end); {
		time.Sleep(20 * time.Millisecond)
	}
	c.Check(storedPhase(c, store, "small"), qt.Equals, stepfold.PhaseRunning)
	c.Check(storedPhase(c, store, "large"), qt.Equals, stepfold.PhaseFailed)
	c.Check(d.isPlanner(), qt.IsTrue)
}

// rejectingLog rejects each append of term 1 with a record for which rejects returns true. It
// counts the appends of the term, and refuses those of others.
type rejectingLog struct {
	recordlog.Log
	rejects func(recordlog.Record) bool
	appends int
	stored  []string
}

func (l *rejectingLog) Append(_ context.Context, _ string, fence *recordlog.Fence, records []recordlog.Record) (int64, error) {
	if fence == nil || fence.Epoch != 1 {
		return 0, recordlog.ErrNotAppended
	}
	l.appends++
	if slices.ContainsFunc(records, l.rejects) {
		return 0, errors.Join(recordlog.ErrNotAppended, recordlog.ErrRejected)
	}
	for _, r := range records {
		l.stored = append(l.stored, r.Key)
	}
	return 0, nil
}

// TestRejectedRecord guards against a planner that one record stops which the store refuses
// for another reason than its size, and against one that gives up jobs when it takes none.
func TestRejectedRecord(t *testing.T) {
	var records []recordlog.Record
	for i := range 40 {
		records = append(records, recordlog.Record{Key: fmt.Sprintf("advanced/%d", i), Value: []byte("large")})
	}
	records = append(records, recordlog.Record{Key: "accepted/gone"}, recordlog.Record{Key: "planner", Value: []byte("{}")})
	for _, test := range []struct {
		name    string
		rejects func(recordlog.Record) bool
		missing []string
		want    bool
	}{
		{"progress", func(r recordlog.Record) bool { return r.Key == "advanced/7" && string(r.Value) == "large" }, nil, true},
		{"deletion", func(r recordlog.Record) bool { return r.Key == "accepted/gone" }, []string{"accepted/gone"}, true},
		{"heartbeat", func(r recordlog.Record) bool { return r.Key == "planner" }, []string{"planner"}, false},
		{"every record", func(recordlog.Record) bool { return true }, nil, false},
	} {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			l := &rejectingLog{rejects: test.rejects}
			d, _ := startPlanner(c, func(store recordlog.Log) recordlog.Log {
				l.Log = store
				return l
			})
			ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
			defer cancel()
			c.Check(d.appendFenced(ctx, d.planner.fence, slices.Clone(records)), qt.Equals, test.want)
			c.Check(d.isPlanner(), qt.Equals, test.want)
			c.Check(l.appends < 25, qt.IsTrue, qt.Commentf("%d appends", l.appends))
			if test.name == "every record" {
				c.Check(l.stored, qt.HasLen, 0)
				return
			}
			for _, r := range records {
				c.Check(slices.Contains(l.stored, r.Key), qt.Equals, !slices.Contains(test.missing, r.Key), qt.Commentf(r.Key))
			}
		})
	}
}
