package jobfold

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"celerypoint.example/celerypoint/crashes"
	"celerypoint.example/celerypoint/job"
)

// TestCrashesAreCounted guards against a job that is given up after crashes which follow
// each other by chance, and one that is never given up.
func TestCrashesAreCounted(t *testing.T) {
	for _, test := range []struct {
		name   string
		ran    []time.Duration
		want   crashes.Record
		blamed bool
	}{
		{"atOnce", []time.Duration{0, 0, 0}, crashes.Record{Runs: [crashes.Limit]int{1, 2, 3}}, true},
		{"atTheSamePoint", []time.Duration{time.Hour, time.Hour, time.Hour + time.Minute}, crashes.Record{Runs: [crashes.Limit]int{1, 2, 3}}, true},
		{"outlived", []time.Duration{time.Minute, 30 * time.Second, time.Hour}, crashes.Record{Runs: [crashes.Limit]int{3}, ClearedThrough: 2}, false},
		{"timeNotKnown", []time.Duration{0, 0, time.Hour}, crashes.Record{Runs: [crashes.Limit]int{1, 2, 3}}, true},
	} {
		t.Run(test.name, func(t *testing.T) {
			s := New()
			offset := int64(0)
			apply := func(r Record) {
				offset++
				_, valid := s.Apply(offset, r).(Valid)
				qt.Assert(t, valid, qt.IsTrue)
			}
			apply(TermTaken{Region: "r", Entry: "e"})
			apply(Accepted{Job: job.Job{ID: "j", Org: "o", Tasks: 1, Idempotent: true}, Region: "r"})
			for i, ran := range test.ran {
				attempt := string(rune('a' + i))
				apply(Commit{JobID: "j", Attempt: attempt, Term: 1})
				apply(Abort{JobID: "j", Attempt: attempt, Term: 1, Crashed: true, Ran: ran})
			}
			qt.Check(t, s.Jobs["j"].Crashes, qt.Equals, test.want)
			qt.Check(t, s.Jobs["j"].Crashes.Blamed(), qt.Equals, test.blamed)
		})
	}
}

// TestUnansweredCrashesBlameLater guards against a job that is given up after a few crashes of runtimes that its start may not have reached, and one that is never given up.
func TestUnansweredCrashesBlameLater(t *testing.T) {
	unanswered, crashed := Abort{UnansweredCrash: true}, Abort{Crashed: true}
	for _, test := range []struct {
		name   string
		before []Abort
		last   Abort
		blamed bool
	}{
		{"four unanswered", []Abort{unanswered, unanswered, unanswered}, unanswered, false},
		{"five unanswered", []Abort{unanswered, unanswered, unanswered, unanswered}, unanswered, true},
		{"two crashes, two unanswered", []Abort{crashed, unanswered, crashed}, unanswered, false},
		{"two crashes, three unanswered", []Abort{crashed, unanswered, crashed, unanswered}, unanswered, true},
		{"three crashes", []Abort{crashed, crashed}, crashed, true},
		{"without a crash", []Abort{{}, {}, {}, {}, {}}, Abort{}, false},
	} {
		t.Run(test.name, func(t *testing.T) {
			e := JobState{}
			for i, r := range append(test.before, test.last) {
				e.CommitCount = i + 1
				if last := i == len(test.before); last || e.BlamedAfter(r) {
					qt.Check(t, e.BlamedAfter(r), qt.Equals, last && test.blamed)
				}
				e.Crashes, e.UnansweredCrashes = e.crashesAfter(r)
			}
		})
	}
}
