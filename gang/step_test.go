package gang

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"celerypoint.example/celerypoint/outcome"
)

var (
	testTiming = Timing{Reservation: 3 * time.Second, Lease: 4 * time.Second, ConfirmEvery: time.Second, Reclaim: 5 * time.Second}
	testStart  = time.Unix(1_700_000_000, 0)
)

// at is one event and when it happens, with the orders that have to follow.
type at struct {
	ms    int
	event Event
	want  []Order
}

func part(vm string, rank int) outcome.Part {
	return outcome.Part{VM: vm, Attempt: "a1", Rank: rank, Length: int64(10 + rank), Checksum: uint64(rank)}
}

// begin is a gang of two members that runs from 20 ms on; its first round of
// confirmations has number 1.
var begin = []at{
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

// TestStep guards against a wrong order in each way that an attempt can go.
func TestStep(t *testing.T) {
	reserved, committed, starting := begin[:3], begin[:4], begin[:5]
	tests := []struct {
		name       string
		idempotent bool
		events     []at
	}{
		{"whole answer in rank order", true, join(begin,
			at{30, TaskEnded{part("v2", 1)}, nil},
			at{31, TaskEnded{part("v2", 1)}, nil},
			at{40, TaskEnded{part("v1", 0)}, []Order{End{outcome.Answer{Length: 21, Parts: []outcome.Part{part("v1", 0), part("v2", 1)}}}}},
			at{50, TaskEnded{part("v1", 0)}, nil},
		)},
		{"renewal only when all confirmed, shorter by the time of the reply", true, join(begin,
			at{30, Confirmed{VM: "v1", AgentRound: 1, AttemptRound: 1}, nil},
			at{31, Confirmed{VM: "v1", AgentRound: 1, AttemptRound: 1}, nil},
			at{50, Confirmed{VM: "v2", AgentRound: 4, AttemptRound: 1}, []Order{
				Renew{VM: "v1", AgentRound: 1, Lease: 3990 * time.Millisecond},
				Renew{VM: "v2", AgentRound: 4, Lease: 3970 * time.Millisecond}}},
			at{1000, Tick{}, nil},
			at{1020, Tick{}, []Order{Confirm{VM: "v1", AttemptRound: 2}, Confirm{VM: "v2", AttemptRound: 2}}},
			at{1030, Confirmed{VM: "v1", AgentRound: 2, AttemptRound: 1}, nil},
			at{1040, Confirmed{VM: "v2", AgentRound: 5, AttemptRound: 2}, nil},
		)},
		{"a done member counts as alive", true, join(begin,
			at{30, TaskEnded{part("v1", 0)}, nil},
			at{40, Confirmed{VM: "v2", AgentRound: 1, AttemptRound: 1}, []Order{Renew{VM: "v2", AgentRound: 1, Lease: 3980 * time.Millisecond}}},
		)},
		{"refused reservation", true, []at{begin[0],
			{1, Refused{VM: "v1", Rule: "noRoom"}, releases(false, "v2")},
			{2, Reserved{VM: "v2"}, []Order{Release{VM: "v2"}}},
		}},
		{"reservations too late for a commit", false, []at{begin[0], begin[1],
			{1501, Tick{}, releases(false, "v1", "v2")},
		}},
		{"void commit", false, join(reserved,
			at{5, CommitVoid{Reason: "older term"}, releases(false, "v1", "v2")},
			at{6, Committed{Offset: 3}, nil},
		)},
		{"commit known after the reservations expired", false, join(reserved,
			at{3000, Committed{Offset: 3}, join[Order](releases(false, "v1", "v2"),
				End{outcome.NotRun{Rule: RuleCommittedNotStarted, Reason: "the reservations expired before the commit was known"}})},
		)},
		{"cancelled while the commit is unknown", false, join(reserved,
			at{5, Cancelled{}, nil},
			at{6, Committed{Offset: 3}, join[Order](releases(false, "v1", "v2"),
				End{outcome.NotRun{Rule: RuleCancelledBeforeStart, Reason: "cancelled"}})},
		)},
		{"all starts refused", false, join(committed,
			at{11, StartFailed{VM: "v1", Rule: "r", Reason: "x"}, releases(false, "v1", "v2")},
			at{12, StartFailed{VM: "v2", Rule: "r", Reason: "x"}, []Order{Release{VM: "v2"},
				End{outcome.NotRun{Rule: RuleCommittedNotStarted, Reason: "v1 refused the start: r: x"}}}},
		)},
		{"a restarted agent does not prove that nothing started", false, join(starting,
			at{30, Unreachable{VM: "v2"}, releases(false, "v1", "v2")},
			at{31, Released{VM: "v1", BootID: "b1", Started: true}, nil},
			at{32, Released{VM: "v2", BootID: "other"}, []Order{End{outcome.Unknown{Reason: "v2 did not answer the start"}}}},
		)},
		{"a lost member is waited for until its lease has expired", true, join(begin,
			at{100, Lost{VM: "v2"}, releases(true, "v1", "v2")},
			at{200, Released{VM: "v1", BootID: "b1", Started: true, CheckpointMs: 50}, nil},
			at{4019, Tick{}, []Order{Release{VM: "v2", Checkpoint: true}}},
			at{4020, Tick{}, []Order{Abort{Reason: "v2 is lost"}}},
		)},
		{"checkpoint is the least that all reported", true, join(begin,
			at{100, TaskStopped{VM: "v2", Reason: "evicted", Rank: 1, CheckpointMs: 40}, releases(true, "v1", "v2")},
			at{200, Released{VM: "v1", BootID: "b1", Started: true, CheckpointMs: 50}, nil},
			at{201, Released{VM: "v2", BootID: "b2", Started: true}, []Order{Abort{Reason: "v2 stopped a task: evicted", CheckpointMs: 40}}},
		)},
		{"the job's own error names the VM", true, join(begin,
			at{100, TaskFailed{VM: "v2", Reason: "bad needle"}, releases(false, "v1", "v2")},
			at{200, Released{VM: "v1", BootID: "b1", Started: true}, nil},
			at{201, Released{VM: "v2", BootID: "b2", Started: true}, []Order{Abort{Reason: "bad needle", FailedVM: "v2"}}},
		)},
		{"the job's own error ends a job that is not idempotent", false, join(begin,
			at{100, TaskFailed{VM: "v2", Reason: "bad needle"}, releases(false, "v1", "v2")},
			at{200, Released{VM: "v1", BootID: "b1", Started: true}, nil},
			at{201, Released{VM: "v2", BootID: "b2", Started: true}, []Order{End{outcome.Failed{Reason: "bad needle"}}}},
		)},
		{"cancelled after the start", true, join(begin,
			at{100, Cancelled{}, releases(false, "v1", "v2")},
			at{200, Released{VM: "v1", BootID: "b1", Started: true}, nil},
			at{201, Released{VM: "v2", BootID: "b2", Started: true}, []Order{End{outcome.Failed{Reason: "cancelled", Cancelled: true}}}},
		)},
		{"answers that arrive while aborting", false, join(begin,
			at{100, Lost{VM: "v2"}, releases(false, "v1", "v2")},
			at{200, TaskEnded{part("v1", 0)}, nil},
			at{201, TaskEnded{part("v2", 1)}, []Order{End{outcome.Answer{Length: 21, Parts: []outcome.Part{part("v1", 0), part("v2", 1)}}}}},
		)},
		{"no renewal in time", true, join(begin,
			at{1000, Unreachable{VM: "v2"}, nil},
			at{1020, Tick{}, []Order{Confirm{VM: "v1", AttemptRound: 2}, Confirm{VM: "v2", AttemptRound: 2}}},
			at{4020, Tick{}, releases(true, "v1", "v2")},
			at{4500, Released{VM: "v1", BootID: "b1", Started: true}, nil},
			at{5020, Tick{}, []Order{Abort{Reason: "the lease expired without a renewal"}}},
		)},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			c := qt.New(t)
			a := New("j1", "a1", 5, tt.idempotent, []Member{{VM: "v1", Tasks: 1}, {VM: "v2", Tasks: 1, FirstRank: 1}})
			for _, e := range tt.events {
				var orders []Order
				a, orders = Step(a, e.event, testStart.Add(time.Duration(e.ms)*time.Millisecond), testTiming)
				c.Assert(orders, qt.DeepEquals, e.want, qt.Commentf("after %T at %d ms", e.event, e.ms))
			}
		})
	}
}

// TestResume guards against a planner that takes over and renews, restarts or
// reports not run without knowing what the earlier planner did.
func TestResume(t *testing.T) {
	c := qt.New(t)
	members := []Member{{VM: "v1", Tasks: 1, BootID: "b1"}, {VM: "v2", Tasks: 1, FirstRank: 1, BootID: "b2"}}
	a := Resume("j1", "a1", 6, false, members, 7, testStart, testTiming)
	a, orders := Step(a, Tick{}, testStart, testTiming)
	c.Assert(orders, qt.DeepEquals, []Order{Confirm{VM: "v1", AttemptRound: 1}, Confirm{VM: "v2", AttemptRound: 1}})
	a, orders = Step(a, NotRunning{VM: "v1", Reason: "never started"}, testStart.Add(time.Second), testTiming)
	c.Assert(orders, qt.DeepEquals, releases(false, "v1", "v2"))
	a, _ = Step(a, Released{VM: "v1", BootID: "b1"}, testStart.Add(time.Second), testTiming)
	_, orders = Step(a, Released{VM: "v2", BootID: "b2"}, testStart.Add(time.Second), testTiming)
	c.Assert(orders, qt.DeepEquals, []Order{End{outcome.NotRun{Rule: RuleCommittedNotStarted, Reason: "v1 does not run: never started"}}})
}

// TestResumeWithoutBoot guards against a planner that takes over, and tells a
// caller that the job was not run because an agent that restarted after the
// run knows nothing of it. It happened when commit records had no boot IDs.
func TestResumeWithoutBoot(t *testing.T) {
	c := qt.New(t)
	a := Resume("j1", "a1", 6, false, []Member{{VM: "v1", Tasks: 1}}, 7, testStart, testTiming)
	a, _ = Step(a, NotRunning{VM: "v1", Reason: "its agent says so"}, testStart, testTiming)
	_, orders := Step(a, Released{VM: "v1", BootID: "new"}, testStart, testTiming)
	c.Assert(orders, qt.DeepEquals, []Order{End{outcome.Unknown{Reason: "v1 does not run: its agent says so"}}})
}

func join[T any](head []T, tail ...T) []T { return append(head[:len(head):len(head)], tail...) }
