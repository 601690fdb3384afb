package admission

import (
	"testing"
	"time"

	"celerypoint.example/celerypoint/job"
	"celerypoint.example/celerypoint/shape"
	qt "github.com/frankban/quicktest"
)

// TestDecide guards against a request that is accepted although a rule refuses
// it, a refusal without a reason, and a wrong rule name.
func TestDecide(t *testing.T) {
	now := time.Date(2026, 12, 4, 6, 0, 0, 0, time.UTC)
	tests := []struct {
		name   string
		change func(in *Input)
		want   string
	}{
		{"no rule refuses", func(in *Input) {}, ""},
		{"unknown organisation", func(in *Input) { in.OrgKnown = false }, RuleOrgUnknown},
		{"entry shutting down", func(in *Input) { in.Leaving = true }, RuleEntryLeaving},
		{"log down, recorded job", func(in *Input) { in.LogDown, in.Job.Tasks = true, 2 }, RuleLogUnavailable},
		{"log down, short request", func(in *Input) { in.LogDown = true }, ""},
		{"no VM matches", func(in *Input) { in.MatchingVMs = 0 }, RuleSelectorMatchesNothing},
		{"task larger than a VM", func(in *Input) { in.Job.AcceleratorsPerTask = 9 }, RuleExceedsMatchingCapacity},
		{"job larger than the VM it asks for", func(in *Input) {
			in.Job.Tasks, in.Job.AcceleratorsPerTask, in.Job.Adjacency = 3, 4, shape.AdjacencyVM
		}, RuleExceedsMatchingCapacity},
		{"job larger than all VMs", func(in *Input) { in.Job.Tasks, in.Job.AcceleratorsPerTask = 5, 8 }, RuleExceedsMatchingCapacity},
		{"job as large as all VMs", func(in *Input) { in.Job.Tasks, in.Job.AcceleratorsPerTask = 4, 8 }, ""},
		{"deadline now", func(in *Input) { in.Job.Deadline = now }, RuleDeadlinePassed},
		{"queue too long for the deadline", func(in *Input) { in.Queued, in.ExpectedRun = 40, 300*time.Millisecond }, RuleDeadlineUnreachable},
		{"queue short enough", func(in *Input) { in.Queued, in.ExpectedRun = 15, 300*time.Millisecond }, ""},
		{"long run behind short ones", func(in *Input) {
			in.Queued, in.ExpectedRun, in.QueuedRun = 40, 800*time.Millisecond, 30*time.Millisecond
		}, ""},
		{"short run behind long ones", func(in *Input) {
			in.Queued, in.ExpectedRun, in.QueuedRun = 40, 30*time.Millisecond, 300*time.Millisecond
		}, RuleDeadlineUnreachable},
		{"own run too long", func(in *Input) { in.ExpectedRun = 2 * time.Second }, RuleDeadlineUnreachable},
		{"slow log, recorded job", func(in *Input) { in.LogDelay, in.Job.Tasks = 2*time.Second, 2 }, RuleDeadlineUnreachable},
		{"slow log, short request", func(in *Input) { in.LogDelay = 2 * time.Second }, ""},
		{"queue full", func(in *Input) { in.Queued = 100 }, RuleQueueFull},
		{"rank 0 uses the whole queue", func(in *Input) { in.Queued = 99 }, ""},
		{"rank 1 below its shed limit", func(in *Input) { in.Queued, in.ShedRank = 89, 1 }, ""},
		{"rank 1 at its shed limit", func(in *Input) { in.Queued, in.ShedRank = 90, 1 }, RuleShedByRank},
		{"rank 9 at its shed limit", func(in *Input) { in.Queued, in.ShedRank = 50, 9 }, RuleShedByRank},
		{"no rank is shed below half", func(in *Input) { in.Queued, in.ShedRank = 49, 9 }, ""},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			in := Input{
				Now: now, OrgKnown: true, QueueLimit: 100, Concurrency: 8,
				MatchingVMs: 4, MatchingAccelerators: 32, LargestVM: 8,
				Job: job.Job{Org: "a", Tasks: 1, Idempotent: true, Urgency: job.UrgencyUrgent, Deadline: now.Add(time.Second)},
			}
			tt.change(&in)
			d, refused := Decide(in).(Refuse)
			qt.Assert(t, refused, qt.Equals, tt.want != "")
			qt.Assert(t, d.Rule, qt.Equals, tt.want)
			qt.Assert(t, d.Reason != "", qt.Equals, refused)
		})
	}
}
