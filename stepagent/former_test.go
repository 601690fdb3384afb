package stepagent

import (
	"context"
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
	other := worker.Announcement{ID: "j", StartedAtUnixMs: 2, Service: "s"}
	for _, test := range []struct {
		name     string
		draining bool
		end      func(t *workerTable)
		want     worker.IncarnationEnd
	}{
		{"restarted", false, func(t *workerTable) { identify(t, second) }, worker.IncarnationCrashed},
		{"restartedUnderAnotherID", false, func(t *workerTable) { identify(t, other) }, worker.IncarnationCrashed},
		{"didNotAnswerThenRestarted", false, func(t *workerTable) { t.unhealthy = true; identify(t, second) }, worker.IncarnationCrashed},
		{"announcedItsEnd", false, func(t *workerTable) { t.markLeaving("i"); identify(t, second) }, worker.IncarnationLeft},
		{"endedWhileDraining", true, func(t *workerTable) { identify(t, second) }, worker.IncarnationLeft},
	} {
		t.Run(test.name, func(t *testing.T) {
			table := newWorkerTable(time.Minute)
			a := first
			a.Draining = test.draining
			identify(table, a)
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

// TestNothingButAnAnswerEndsAnIncarnation guards against runs that start elsewhere because
// of a sign that a living worker or another process can cause.
func TestNothingButAnAnswerEndsAnIncarnation(t *testing.T) {
	first := worker.Announcement{ID: "i", StartedAtUnixMs: 1, Service: "s"}
	second := worker.Announcement{ID: "i", StartedAtUnixMs: 2, Service: "s"}
	for _, test := range []struct {
		name string
		sign func(d *Daemon)
	}{
		{"callsFail", func(d *Daemon) { d.markUnhealthy(worker.ErrOutcomeUnknown) }},
		{"announcementOfAnotherID", func(d *Daemon) {
			d.table.applyAnnouncement(worker.Announcement{ID: "stranger", StartedAtUnixMs: 9, Service: "t"})
			d.table.refute("stranger")
		}},
		{"laterAnnouncementOfItsID", func(d *Daemon) { d.table.applyAnnouncement(second) }},
		{"messageThatItEnds", func(d *Daemon) { d.table.markLeaving("i") }},
		{"firstAnswerOfAnother", func(d *Daemon) { _ = answer(d.table, second, worker.Status{}) }},
		{"answersInAnotherOrder", func(d *Daemon) {
			earlier, token := d.table.nextCall()
			_ = answer(d.table, second, worker.Status{})
			_ = d.table.merge(worker.Status{StartedAtUnixMs: 2, Complete: true}, "i", earlier, token)
		}},
	} {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			d := newDaemon(Config{Name: "vm"})
			defer d.log.Close()
			defer d.pool.Close()
			identify(d.table, first)
			key := worker.Run{Task: "a.0.0.0", Number: 1}
			d.table.runs[key] = &run{confirmed: true, sent: true, absentAfter: d.table.lastCall, startedAt: time.Now()}
			test.sign(d)
			report := d.buildReport()
			c.Check(report.Former, qt.HasLen, 0)
			c.Check(report.Worker.Boot, qt.Equals, "i/1")
			c.Assert(report.Running, qt.HasLen, 1)
			c.Assert(answer(d.table, first, worker.Status{Running: []worker.Running{{Run: key}}}), qt.IsNil)
			c.Check(d.buildReport().Running, qt.HasLen, 1)
			c.Check(d.buildReport().Worker.Unreachable, qt.IsFalse)
		})
	}
}

// TestRunsOfNextIncarnationAreKept guards against runs that count as lost with an
// incarnation although the next one has carried out their order.
func TestRunsOfNextIncarnationAreKept(t *testing.T) {
	c := qt.New(t)
	first := worker.Announcement{ID: "i", StartedAtUnixMs: 1, Service: "s"}
	second := worker.Announcement{ID: "i", StartedAtUnixMs: 2, Service: "s"}
	table := newWorkerTable(time.Minute)
	identify(table, first)
	lost, kept, ended := worker.Run{Task: "a.0.0.0", Number: 1}, worker.Run{Task: "b.0.0.0", Number: 1}, worker.Run{Task: "c.0.0.0", Number: 1}
	for _, key := range []worker.Run{lost, kept, ended} {
		table.runs[key] = &run{confirmed: true, sent: true, absentAfter: table.lastCall, startedAt: time.Now()}
	}
	s := worker.Status{Running: []worker.Running{{Run: kept}}, Ended: []worker.Ended{{EndNumber: 1, Run: ended, Reason: worker.EndDone}}}
	c.Assert(answer(table, second, s), qt.Equals, errSighted)
	c.Assert(answer(table, second, s), qt.IsNil)
	former := table.reportedFormer(time.Now())
	c.Assert(former, qt.HasLen, 1)
	c.Assert(former[0].Running, qt.HasLen, 1)
	c.Check(former[0].Running[0].Task, qt.Equals, lost.Task)
	c.Check(table.runs, qt.HasLen, 1)
	c.Check(table.runs[kept], qt.Not(qt.IsNil))
	c.Check(table.endedRuns, qt.HasLen, 1)
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
	identify(d.table, worker.Announcement{ID: "i", StartedAtUnixMs: 1, Service: "s"})
	d.table.runs[key] = &run{starting: true, sent: true, doubtful: true, startedAt: time.Now()}
	d.recordOutcome(key, false, reasonOtherWorker)
	identify(d.table, worker.Announcement{ID: "j", StartedAtUnixMs: 2, Service: "s"})
	former := d.table.reportedFormer(time.Now())
	c.Assert(former, qt.HasLen, 1)
	c.Assert(former[0].Running, qt.HasLen, 1)
	c.Check(former[0].Running[0].Task, qt.Equals, "a.0.0.0")
	c.Check(former[0].Running[0].Unanswered, qt.IsTrue)
}

// restartingWorker answers as its second incarnation after backAt. Until then its calls
// fail, or are refused.
type restartingWorker struct {
	unresponsiveWorker
	backAt  time.Time
	refuses bool
}

func (w restartingWorker) Status(context.Context, string, worker.StatusRequest) (worker.Status, worker.Reply, error) {
	switch {
	case !time.Now().Before(w.backAt):
		return worker.Status{StartedAtUnixMs: 2, Clock: time.Millisecond, Complete: true}, worker.Reply{Clock: time.Millisecond}, nil
	case w.refuses:
		return worker.Status{}, worker.Reply{Refusal: worker.RefusalUnhealthy}, nil
	}
	return worker.Status{}, worker.Reply{}, worker.ErrOutcomeUnknown
}

// TestAgesExcludeDownTime guards against blaming a task that has outlived its lost runs,
// because their ages include the time until their worker was back.
func TestAgesExcludeDownTime(t *testing.T) {
	const (
		downTime = 800 * time.Millisecond
		age      = time.Second
	)
	for _, test := range []struct {
		name    string
		refuses bool
		want    time.Duration
	}{
		{"callsFail", false, age},
		{"callsAreRefused", true, age + downTime},
	} {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			d := newDaemon(Config{Name: "vm", Worker: restartingWorker{backAt: time.Now().Add(downTime), refuses: test.refuses}})
			defer d.log.Close()
			defer d.pool.Close()
			identify(d.table, worker.Announcement{ID: "i", StartedAtUnixMs: 1, Service: "s"})
			d.table.runs[worker.Run{Task: "a.0.0.0", Number: 1}] = &run{confirmed: true, sent: true, startedAt: time.Now().Add(-age)}
			ctx, cancel := context.WithTimeout(context.Background(), downTime+500*time.Millisecond)
			defer cancel()
			d.poll(ctx)
			former := d.table.reportedFormer(time.Now())
			c.Assert(former, qt.HasLen, 1)
			c.Assert(former[0].Running, qt.HasLen, 1)
			reported := time.Duration(former[0].Running[0].AgeMs) * time.Millisecond
			c.Check(reported >= test.want && reported < test.want+400*time.Millisecond, qt.IsTrue, qt.Commentf("age %s, want %s", reported, test.want))
		})
	}
}
