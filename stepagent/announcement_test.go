package stepagent

import (
	"context"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"celerypoint.example/celerypoint/boottime"
	"celerypoint.example/celerypoint/rpc"
	"celerypoint.example/celerypoint/steps"
	"celerypoint.example/celerypoint/wire"
	"celerypoint.example/celerypoint/worker"
)

// TestCapacityChangeIsReportedAtOnce guards against starts that rely on capacity which a
// worker has not had since its last announcement.
func TestCapacityChangeIsReportedAtOnce(t *testing.T) {
	c := qt.New(t)
	table := newWorkerTable(time.Minute)
	a := worker.Announcement{ID: "i", StartedAtUnixMs: 1, Service: "s", Capacity: steps.Resources{GPUs: 8}}
	reported := func() bool {
		select {
		case <-table.reportDue:
			return true
		default:
			return false
		}
	}
	identify(table, a)
	c.Assert(reported(), qt.IsTrue)
	a.Sequence++
	table.applyAnnouncement(a)
	c.Assert(reported(), qt.IsFalse)
	a.Sequence++
	a.Capacity.GPUs = 2
	table.applyAnnouncement(a)
	c.Assert(reported(), qt.IsTrue)
}

// TestOldAnnouncementIsNoCapacity guards against starts that rely on an announcement of
// before a pause of the agent's process: the worker may have less capacity since.
func TestOldAnnouncementIsNoCapacity(t *testing.T) {
	c := qt.New(t)
	m := unresponsiveWorker{make(chan worker.StartRequest, 100)}
	d := newDaemon(Config{Name: "vm", Worker: m})
	defer d.log.Close()
	defer d.pool.Close()
	d.session.follow(1, 1, "planner", &rpc.Conn{})
	announce := func(sequence int64) {
		d.table.applyAnnouncement(worker.Announcement{ID: "i", StartedAtUnixMs: 1, Service: "s", Sequence: sequence, Capacity: steps.Resources{GPUs: 8}})
	}
	announce(1)
	identify(d.table, d.table.candidate.announcement)
	d.table.lease = time.Minute
	c.Assert(d.readStatus(context.Background(), 0), qt.IsNil)
	d.table.announcementUntil = boottime.Now().Add(-time.Millisecond)
	result := d.startRun(context.Background(), wire.StartRunParams{Term: 1, Session: 1, Worker: "i/1", Task: "a.0.0.0", Run: 1})
	c.Check(result, qt.DeepEquals, wire.StartRunResult{Reason: reasonOldAnnouncement, Version: result.Version})
	c.Check(m.starts, qt.HasLen, 0)
	c.Check(d.buildReport().Worker.Unhealthy, qt.IsTrue)
	announce(2)
	c.Check(d.buildReport().Worker.Unhealthy, qt.IsFalse)
	go d.startRun(context.Background(), wire.StartRunParams{Term: 1, Session: 1, Worker: "i/1", Task: "a.0.0.0", Run: 1})
	<-m.starts
	// The order is not sent again once the announcement is too old.
	d.table.mu.Lock()
	d.table.announcementUntil = boottime.Now().Add(-time.Millisecond)
	d.table.mu.Unlock()
	time.Sleep(2 * callTimeout)
	c.Check(m.starts, qt.HasLen, 0)
}

// TestHighSequenceHidesNoWorker guards against a worker that stays unused after an
// announcement of another writer with a high sequence number.
func TestHighSequenceHidesNoWorker(t *testing.T) {
	c := qt.New(t)
	table := newWorkerTable(time.Minute)
	a := worker.Announcement{ID: "i", StartedAtUnixMs: 1, Service: "s", Sequence: 5, Capacity: steps.Resources{GPUs: 8}}
	identify(table, a)
	foreign := a
	foreign.Sequence, foreign.Capacity.GPUs = 1<<40, 1
	c.Assert(table.applyAnnouncement(foreign), qt.Equals, appliedCurrent)
	announce := func() applied {
		a.Sequence++
		return table.applyAnnouncement(a)
	}
	c.Check(announce(), qt.Equals, appliedOutdated)
	c.Check(announce(), qt.Equals, appliedOutdated)
	table.announcementUntil = boottime.Now().Add(-time.Millisecond)
	c.Check(announce(), qt.Equals, appliedCurrent)
	c.Check(table.announced.Capacity.GPUs, qt.Equals, 8)
	// A single late announcement is no proof.
	table.announcementUntil = boottime.Now().Add(-time.Millisecond)
	late := a
	late.Sequence, late.Capacity.GPUs = 2, 4
	c.Check(table.applyAnnouncement(late), qt.Equals, appliedOutdated)
}
