package stepagent

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"celerypoint.example/celerypoint/wire"
	"celerypoint.example/celerypoint/worker"
)

// TestFormerWorkers guards against reports that leave open how an incarnation of the
// worker ended, which runs it had, and which ended before it did.
func TestFormerWorkers(t *testing.T) {
	first := worker.Announcement{ID: "i", StartedAtUnixMs: 1, Service: "s"}
	second := worker.Announcement{ID: "i", StartedAtUnixMs: 2, Service: "s"}
	for _, test := range []struct {
		name     string
		draining bool
		end      func(t *workerTable)
		want     worker.IncarnationEnd
	}{
		{"restarted", false, func(t *workerTable) { t.applyAnnouncement(second) }, worker.IncarnationCrashed},
		{"refusesConnections", false, func(t *workerTable) { t.down = true; t.retire(signRefusedConnections, time.Now()) }, worker.IncarnationCrashed},
		{"refusesConnectionsThenRestarts", false, func(t *workerTable) { t.retire(signRefusedConnections, time.Now()); t.applyAnnouncement(second) }, worker.IncarnationCrashed},
		{"announcedItsEnd", false, func(t *workerTable) { t.markLeft("i") }, worker.IncarnationLeft},
		{"endedWhileDraining", true, func(t *workerTable) { t.retire(signRefusedConnections, time.Now()) }, worker.IncarnationLeft},
	} {
		t.Run(test.name, func(t *testing.T) {
			table := newWorkerTable(time.Minute)
			a := first
			a.Draining = test.draining
			table.applyAnnouncement(a)
			table.runs[worker.Run{Task: "a.0.0.0", Number: 3}] = &run{confirmed: true, startedAt: time.Now().Add(-time.Second)}
			table.runs[worker.Run{Task: "b.0.0.0", Number: 1}] = &run{starting: true, sent: true, startedAt: time.Now()}
			table.runs[worker.Run{Task: "c.0.0.0", Number: 1}] = &run{starting: true, absentAfter: notSent}
			table.endedRuns = []worker.Ended{{EndNumber: 7, Run: worker.Run{Task: "d.0.0.0", Number: 2}, Reason: worker.EndDone}}
			test.end(table)
			former := table.reportedFormer(time.Now())
			qt.Assert(t, former, qt.HasLen, 1)
			f := former[0]
			qt.Check(t, f.Boot, qt.Equals, "i/1")
			qt.Check(t, f.End, qt.Equals, string(test.want))
			qt.Assert(t, f.Running, qt.HasLen, 2)
			qt.Check(t, f.Running[0].Task, qt.Equals, "a.0.0.0")
			qt.Check(t, f.Running[0].AgeMs >= 1000, qt.IsTrue)
			qt.Check(t, f.Running[1].Task, qt.Equals, "b.0.0.0")
			qt.Check(t, f.Ended, qt.DeepEquals, []wire.EndedTask{{Number: 7, Task: "d.0.0.0", Run: 2, End: "done"}})
			qt.Check(t, table.runs, qt.HasLen, 0)
			qt.Check(t, table.reportedFormer(time.Now().Add(formerReportTime+time.Second)), qt.HasLen, 0)
		})
	}
}

// TestAnsweringWorkerIsNoFormerWorker guards against a worker that is reported as ended
// although it answers again.
func TestAnsweringWorkerIsNoFormerWorker(t *testing.T) {
	c := qt.New(t)
	table := newWorkerTable(time.Minute)
	table.applyAnnouncement(worker.Announcement{ID: "i", StartedAtUnixMs: 1, Service: "s"})
	table.down = true
	table.retire(signRefusedConnections, time.Now())
	c.Assert(table.reportedFormer(time.Now()), qt.HasLen, 1)
	c.Assert(table.merge(worker.Status{StartedAtUnixMs: 1, Complete: true}, 1, 1), qt.IsTrue)
	c.Check(table.reportedFormer(time.Now()), qt.HasLen, 0)
}

// TestUnansweredStartBeforeRestart guards against a run that is not reported among those
// that may have ended their worker, because a repetition of its start order met the
// worker's next incarnation.
func TestUnansweredStartBeforeRestart(t *testing.T) {
	c := qt.New(t)
	d := newDaemon(Config{Name: "vm"})
	defer d.log.Close()
	defer d.pool.Close()
	key := worker.Run{Task: "a.0.0.0", Number: 1}
	d.table.applyAnnouncement(worker.Announcement{ID: "i", StartedAtUnixMs: 1, Service: "s"})
	d.table.runs[key] = &run{starting: true, sent: true, doubtful: true, startedAt: time.Now()}
	d.recordOutcome(key, false, reasonOtherWorker)
	d.table.applyAnnouncement(worker.Announcement{ID: "j", StartedAtUnixMs: 2, Service: "s"})
	former := d.table.reportedFormer(time.Now())
	c.Assert(former, qt.HasLen, 1)
	c.Assert(former[0].Running, qt.HasLen, 1)
	c.Check(former[0].Running[0].Task, qt.Equals, "a.0.0.0")
}
