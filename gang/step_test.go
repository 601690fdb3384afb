package gang

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"celerypoint.example/celerypoint/outcome"
)

var (
	testTiming = Timing{Reservation: 3 * time.Second, Lease: 4 * time.Second, ConfirmEvery: time.Second, Reclaim: 5 * time.Second}
	startTime  = time.Unix(1_700_000_000, 0)
)

// timedEvent is one event, the time at which it is applied, and the orders that
// Step has to return.
type timedEvent struct {
	ms    int
	event Event
	want  []Order
}

func part(vm string, rank int) outcome.Part {
	return outcome.Part{VM: vm, Attempt: "a1", Rank: rank, Length: int64(10 + rank), Checksum: uint64(rank)}
}

// untilRunning brings an attempt of two members to PhaseRunning at 20 ms, when
// round 1 of the confirmations starts.
var untilRunning = []timedEvent{
	{0, Proposed{}, []Order{Reserve{VM: "v1", Hold: 3 * time.Second}, Reserve{VM: "v2", Hold: 3 * time.Second}}},
	{1, Reserved{VM: "v1", BootID: "b1"}, nil},
	{2, Reserved{VM: "v2", BootID: "b2"}, []Order{Commit{}}},
	{10, Committed{Offset: 7}, []Order{Start{VM: "v1"}, Start{VM: "v2"}}},
	{15, Started{VM: "v1"}, nil},
	{20, Started{VM: "v2"}, []Order{Confirm{VM: "v1", AttemptRound: 1}, Confirm{VM: "v2", AttemptRound: 1}}},
}

func releases(checkpoint bool, vms ...string) []Order {
	var orders []Order
	for _, vm := range vms {
		orders = append(orders, Release{VM: vm, Checkpoint: checkpoint})
	}
	return orders
}

// TestStep guards against wrong or missing orders on each path of an attempt.
func TestStep(t *testing.T) {
	reserved, committed, starting := untilRunning[:3], untilRunning[:4], untilRunning[:5]
	tests := []struct {
		name       string
		idempotent bool
		events     []timedEvent
	}{
		{"whole answer in rank order", true, join(untilRunning,
			timedEvent{30, TaskEnded{part("v2", 1)}, nil},
			timedEvent{31, TaskEnded{part("v2", 1)}, nil},
			timedEvent{40, TaskEnded{part("v1", 0)}, []Order{End{outcome.Answer{Length: 21, Parts: []outcome.Part{part("v1", 0), part("v2", 1)}}}}},
			timedEvent{50, TaskEnded{part("v1", 0)}, nil},
		)},
		{"renewal only when all confirmed, shorter by the time of the reply", true, join(untilRunning,
			timedEvent{30, Confirmed{VM: "v1", AgentRound: 1, AttemptRound: 1}, nil},
			timedEvent{31, Confirmed{VM: "v1", AgentRound: 1, AttemptRound: 1}, nil},
			timedEvent{50, Confirmed{VM: "v2", AgentRound: 4, AttemptRound: 1}, []Order{
				Renew{VM: "v1", AgentRound: 1, Lease: 3990 * time.Millisecond},
				Renew{VM: "v2", AgentRound: 4, Lease: 3970 * time.Millisecond}}},
			timedEvent{1000, Tick{}, nil},
			timedEvent{1020, Tick{}, []Order{Confirm{VM: "v1", AttemptRound: 2}, Confirm{VM: "v2", AttemptRound: 2}}},
			timedEvent{1030, Confirmed{VM: "v1", AgentRound: 2, AttemptRound: 1}, nil},
			timedEvent{1040, Confirmed{VM: "v2", AgentRound: 5, AttemptRound: 2}, nil},
		)},
		{"a done member counts as alive", true, join(untilRunning,
			timedEvent{30, TaskEnded{part("v1", 0)}, nil},
			timedEvent{40, Confirmed{VM: "v2", AgentRound: 1, AttemptRound: 1}, []Order{Renew{VM: "v2", AgentRound: 1, Lease: 3980 * time.Millisecond}}},
		)},
		{"refused reservation", true, []timedEvent{untilRunning[0],
			{1, Refused{VM: "v1", Rule: "noRoom"}, releases(false, "v2")},
			{2, Reserved{VM: "v2"}, []Order{Release{VM: "v2"}}},
		}},
		{"reservations too late for a commit", false, []timedEvent{untilRunning[0], untilRunning[1],
			{1501, Tick{}, releases(false, "v1", "v2")},
		}},
		{"void commit", false, join(reserved,
			timedEvent{5, CommitVoid{Reason: "older term"}, releases(false, "v1", "v2")},
			timedEvent{6, Committed{Offset: 3}, nil},
		)},
		{"commit known after the reservations expired", false, join(reserved,
			timedEvent{3000, Committed{Offset: 3}, join[Order](releases(false, "v1", "v2"),
				End{outcome.NotRun{Rule: RuleCommittedNotStarted, Reason: "the reservations expired before the commit was known"}})},
		)},
		{"cancelled while the commit is unknown", false, join(reserved,
			timedEvent{5, Cancelled{}, nil},
			timedEvent{6, Committed{Offset: 3}, join[Order](releases(false, "v1", "v2"),
				End{outcome.NotRun{Rule: RuleCancelledBeforeStart, Reason: "cancelled"}})},
		)},
		{"all starts refused", false, join(committed,
			timedEvent{11, StartFailed{VM: "v1", Rule: "r", Reason: "x"}, releases(false, "v1", "v2")},
			timedEvent{12, StartFailed{VM: "v2", Rule: "r", Reason: "x"}, []Order{Release{VM: "v2"},
				End{outcome.NotRun{Rule: RuleCommittedNotStarted, Reason: "v1 refused the start: r: x"}}}},
		)},
		{"an agent with another boot ID does not prove that nothing started or runs", false, join(starting,
			timedEvent{30, Unreachable{VM: "v2"}, releases(false, "v1", "v2")},
			timedEvent{31, Released{VM: "v1", BootID: "b1", Started: true}, nil},
			timedEvent{32, Released{VM: "v2", BootID: "other"}, nil},
			timedEvent{7741, Tick{}, releases(false, "v2")},
			timedEvent{7742, Tick{}, []Order{End{outcome.Unknown{Reason: "v2 did not answer the start"}}}},
		)},
		{"a member whose agent was replaced is waited for until its lease has expired", true, join(untilRunning,
			timedEvent{100, Lost{VM: "v2"}, releases(true, "v1", "v2")},
			timedEvent{110, Released{VM: "v2", BootID: "other"}, nil},
			timedEvent{200, Released{VM: "v1", BootID: "b1", Started: true}, nil},
			timedEvent{4399, Tick{}, []Order{Release{VM: "v2", Checkpoint: true}}},
			timedEvent{4400, Tick{}, []Order{Abort{Reason: "v2 is lost"}}},
		)},
		{"a lost member is waited for until its lease has expired", true, join(untilRunning,
			timedEvent{100, Lost{VM: "v2"}, releases(true, "v1", "v2")},
			timedEvent{200, Released{VM: "v1", BootID: "b1", Started: true, CheckpointMs: 50}, nil},
			timedEvent{4399, Tick{}, []Order{Release{VM: "v2", Checkpoint: true}}},
			timedEvent{4400, Tick{}, []Order{Abort{Reason: "v2 is lost"}}},
		)},
		{"checkpoint is the least that all reported", true, join(untilRunning,
			timedEvent{100, TaskStopped{VM: "v2", Reason: "evicted", Rank: 1, CheckpointMs: 40}, releases(true, "v1", "v2")},
			timedEvent{200, Released{VM: "v1", BootID: "b1", Started: true, CheckpointMs: 50}, nil},
			timedEvent{201, Released{VM: "v2", BootID: "b2", Started: true}, []Order{Abort{Reason: "v2 stopped a task: evicted", CheckpointMs: 40}}},
		)},
		{"the job's own error names the VM", true, join(untilRunning,
			timedEvent{100, TaskFailed{VM: "v2", Reason: "bad payload"}, releases(false, "v1", "v2")},
			timedEvent{200, Released{VM: "v1", BootID: "b1", Started: true}, nil},
			timedEvent{201, Released{VM: "v2", BootID: "b2", Started: true}, []Order{Abort{Reason: "bad payload", FailedVM: "v2"}}},
		)},
		{"the job's own error ends a job that is not idempotent", false, join(untilRunning,
			timedEvent{100, TaskFailed{VM: "v2", Reason: "bad payload"}, releases(false, "v1", "v2")},
			timedEvent{200, Released{VM: "v1", BootID: "b1", Started: true}, nil},
			timedEvent{201, Released{VM: "v2", BootID: "b2", Started: true}, []Order{End{outcome.Failed{Reason: "bad payload"}}}},
		)},
		{"cancelled after the start", true, join(untilRunning,
			timedEvent{100, Cancelled{}, releases(false, "v1", "v2")},
			timedEvent{200, Released{VM: "v1", BootID: "b1", Started: true}, nil},
			timedEvent{201, Released{VM: "v2", BootID: "b2", Started: true}, []Order{End{outcome.Failed{Reason: "cancelled", Cancelled: true}}}},
		)},
		{"answers that arrive while aborting", false, join(untilRunning,
			timedEvent{100, Lost{VM: "v2"}, releases(false, "v1", "v2")},
			timedEvent{200, TaskEnded{part("v1", 0)}, nil},
			timedEvent{201, TaskEnded{part("v2", 1)}, []Order{End{outcome.Answer{Length: 21, Parts: []outcome.Part{part("v1", 0), part("v2", 1)}}}}},
		)},
		{"the crash of a runtime that had not answered the start is known after the lease", true, join(untilRunning,
			timedEvent{100, NotRunning{VM: "v2", Reason: "x"}, releases(true, "v1", "v2")},
			timedEvent{200, Released{VM: "v1", BootID: "b1", Started: true}, nil},
			timedEvent{4400, Tick{}, []Order{Release{VM: "v2", Checkpoint: true}}},
			timedEvent{4700, Released{VM: "v2", BootID: "b2", Started: true, UnansweredCrash: true}, []Order{Abort{Reason: "v2 does not run: x", UnansweredVM: "v2"}}},
		)},
		{"the reply after the lease is not awaited for long", true, join(untilRunning,
			timedEvent{100, NotRunning{VM: "v2", Reason: "x"}, releases(true, "v1", "v2")},
			timedEvent{200, Released{VM: "v1", BootID: "b1", Started: true}, nil},
			timedEvent{5399, Tick{}, []Order{Release{VM: "v2", Checkpoint: true}}},
			timedEvent{5400, Tick{}, []Order{Abort{Reason: "v2 does not run: x"}}},
		)},
		{"no renewal in time", true, join(untilRunning,
			timedEvent{1000, Unreachable{VM: "v2"}, nil},
			timedEvent{1020, Tick{}, []Order{Confirm{VM: "v1", AttemptRound: 2}, Confirm{VM: "v2", AttemptRound: 2}}},
			timedEvent{4400, Tick{}, releases(true, "v1", "v2")},
			timedEvent{4500, Released{VM: "v1", BootID: "b1", Started: true}, nil},
			timedEvent{5400, Tick{}, []Order{Abort{Reason: "the lease expired without a renewal"}}},
		)},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			c := qt.New(t)
			a := New("j1", "a1", 5, tt.idempotent, []Member{{VM: "v1", Tasks: 1}, {VM: "v2", Tasks: 1, FirstRank: 1}})
			for _, e := range tt.events {
				var orders []Order
				a, orders = Step(a, e.event, startTime.Add(time.Duration(e.ms)*time.Millisecond), testTiming)
				c.Assert(orders, qt.DeepEquals, e.want, qt.Commentf("after %T at %d ms", e.event, e.ms))
			}
		})
	}
}

// TestTakeOver guards against a planner that takes over an attempt and renews it,
// starts it again, or reports that it was not run, without asking the members
// what the earlier planner did.
func TestTakeOver(t *testing.T) {
	c := qt.New(t)
	members := []Member{{VM: "v1", Tasks: 1, BootID: "b1"}, {VM: "v2", Tasks: 1, FirstRank: 1, BootID: "b2"}}
	a := TakeOver("j1", "a1", 6, false, members, 7, startTime, testTiming)
	a, orders := Step(a, Tick{}, startTime, testTiming)
	c.Assert(orders, qt.DeepEquals, []Order{Confirm{VM: "v1", AttemptRound: 1}, Confirm{VM: "v2", AttemptRound: 1}})
	a, orders = Step(a, NotRunning{VM: "v1", Reason: "never started"}, startTime.Add(time.Second), testTiming)
	c.Assert(orders, qt.DeepEquals, releases(false, "v1", "v2"))
	a, _ = Step(a, Released{VM: "v1", BootID: "b1"}, startTime.Add(time.Second), testTiming)
	_, orders = Step(a, Released{VM: "v2", BootID: "b2"}, startTime.Add(time.Second), testTiming)
	c.Assert(orders, qt.DeepEquals, []Order{End{outcome.NotRun{Rule: RuleCommittedNotStarted, Reason: "v1 does not run: never started"}}})
}

// TestTakeOverWithoutBootID guards against reporting a job as not run although it
// ran: a planner takes over, and the agent restarted after the run and no longer
// knows about it. This happened when commit records had no boot IDs.
func TestTakeOverWithoutBootID(t *testing.T) {
	c := qt.New(t)
	a := TakeOver("j1", "a1", 6, false, []Member{{VM: "v1", Tasks: 1}}, 7, startTime, testTiming)
	a, _ = Step(a, NotRunning{VM: "v1", Reason: "its agent says so"}, startTime, testTiming)
	a, orders := Step(a, Released{VM: "v1", BootID: "new"}, startTime, testTiming)
	c.Assert(orders, qt.HasLen, 0)
	_, orders = Step(a, Tick{}, a.LeaseUntil, testTiming)
	c.Assert(orders, qt.DeepEquals, []Order{End{outcome.Unknown{Reason: "v1 does not run: its agent says so"}}})
}

func join[T any](head []T, tail ...T) []T { return append(head[:len(head):len(head)], tail...) }
