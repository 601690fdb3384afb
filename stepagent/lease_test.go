package stepagent

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"celerypoint.example/celerypoint/worker"
)

// TestLeaseAge guards against reports from which a planner takes a lease for expired that the agent has requested since, or may still pass on.
func TestLeaseAge(t *testing.T) {
	c := qt.New(t)
	d := newDaemon(Config{Name: "vm"})
	defer d.log.Close()
	defer d.pool.Close()
	d.table.vm = "10.0.0.1:7000"
	// An earlier process of the agent may have requested a lease until this one began.
	d.table.leaseRequestedAt = time.Now().Add(-3 * time.Second)
	report := d.buildReport()
	c.Check(report.VM, qt.Equals, "10.0.0.1:7000")
	c.Check(report.LeaseAgeMs/1000, qt.Equals, 3)

	identify(d.table, worker.Announcement{ID: "i", StartedAtUnixMs: 1, Service: "s"})
	report = d.requestLease()
	c.Check([]any{report.VM, report.LeaseAgeMs}, qt.DeepEquals, []any{"", 0})
	d.markUnhealthy(worker.ErrOutcomeUnknown)
	c.Check(d.buildReport().LeaseAgeMs < 1000, qt.IsTrue)

	// A report that tells that the worker cannot be reached requests no lease.
	requested := d.table.leaseRequestedAt
	time.Sleep(5 * time.Millisecond)
	report = d.requestLease()
	c.Check(d.table.leaseRequestedAt, qt.Equals, requested)
	c.Check(report.LeaseAgeMs >= 5, qt.IsTrue)
}
