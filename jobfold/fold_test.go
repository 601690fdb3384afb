package jobfold

import (
	"fmt"
	"reflect"
	"testing"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"celerypoint.example/celerypoint/job"
	"celerypoint.example/celerypoint/outcome"
)

func newJob(id, key string) job.Job {
	return job.Job{ID: id, Org: "o", Idempotent: key == "", IdempotencyKey: key, Payload: []byte("p")}
}

// TestApply checks the result of each record. It guards against commit and abort
// records that take effect although their planner no longer has the newest term, a
// second run of a job that is not idempotent, and a second end.
func TestApply(t *testing.T) {
	end := outcome.Failed{Reason: "own error"}
	tests := []struct {
		name   string
		record Record
		valid  bool
	}{
		{"job", Accepted{Job: newJob("j", ""), Region: "r"}, true},
		{"same job again", Accepted{Job: newJob("j", ""), Region: "r"}, false},
		{"commit without a term", Commit{JobID: "j", Attempt: "x"}, false},
		{"first term, offset 4", TermTaken{Region: "r", Entry: "e1"}, true},
		{"term based on an old term", TermTaken{Region: "r", Entry: "e2"}, false},
		{"commit", Commit{JobID: "j", Attempt: "a1", Term: 4}, true},
		{"commit while committed", Commit{JobID: "j", Attempt: "a2", Term: 4}, false},
		{"next term, offset 8", TermTaken{Region: "r", Entry: "e2", BasedOn: 4}, true},
		{"abort in the old term", Abort{JobID: "j", Attempt: "a1", Term: 4}, false},
		{"abort of another attempt", Abort{JobID: "j", Attempt: "a2", Term: 8}, false},
		{"abort", Abort{JobID: "j", Attempt: "a1", Term: 8, CheckpointMs: 7}, true},
		{"commit in the old term", Commit{JobID: "j", Attempt: "a3", Term: 4}, false},
		{"second commit of the aborted attempt", Commit{JobID: "j", Attempt: "a1", Term: 8}, false},
		{"second commit of the void attempt", Commit{JobID: "j", Attempt: "a2", Term: 8}, false},
		{"commit of the next attempt", Commit{JobID: "j", Attempt: "a4", Term: 8}, true},
		{"end of an older attempt", Ended{JobID: "j", Attempt: "a1", Outcome: end}, false},
		{"end without an attempt of a committed job", Ended{JobID: "j", Outcome: end}, false},
		{"end", Ended{JobID: "j", Attempt: "a4", Outcome: end}, true},
		{"second end", Ended{JobID: "j", Attempt: "a4", Outcome: end}, false},
		{"cancel after the end", CancelRequested{JobID: "j"}, false},
		{"job with a claim", Accepted{Job: newJob("k", "key"), Region: "r"}, true},
		{"another job with the same claim", Accepted{Job: newJob("l", "key"), Region: "r"}, false},
		{"commit of the job with the claim", Commit{JobID: "k", Attempt: "b1", Term: 8}, true},
		{"abort of the job with the claim", Abort{JobID: "k", Attempt: "b1", Term: 8}, true},
		{"second commit of the job with the claim", Commit{JobID: "k", Attempt: "b2", Term: 8}, false},
		{"cancel", CancelRequested{JobID: "k"}, true},
		{"end of the job with the claim", Ended{JobID: "k", Attempt: "b1", Outcome: outcome.Unknown{}}, true},
		{"job to cancel", Accepted{Job: newJob("m", ""), Region: "r"}, true},
		{"cancel while waiting", CancelRequested{JobID: "m"}, true},
		{"commit after a cancel", Commit{JobID: "m", Attempt: "c1", Term: 8}, false},
		{"end of a job never committed", Ended{JobID: "m", Outcome: outcome.NotRun{}}, true},
	}
	s := New()
	for i, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			_, valid := s.Apply(int64(i+1), tt.record).(Valid)
			qt.Assert(t, valid, qt.Equals, tt.valid)
			qt.Assert(t, s.Apply(int64(i+1), tt.record), qt.Equals, Stale{})
		})
	}
	qt.Assert(t, s.Jobs["j"].CheckpointMs, qt.Equals, int64(7))
	qt.Assert(t, s.Apply(100, Accepted{Job: newJob("n", "key")}), qt.Equals,
		Void{Reason: "the idempotency key is claimed by another job", ClaimHolder: "k"})

	// Ended jobs are dropped, those with a claim later than the others.
	s.Skip(100 + EndedJobRetention + sweepInterval)
	qt.Assert(t, s.Jobs, qt.HasLen, 1)
	s.Skip(100 + ClaimRetention + sweepInterval)
	qt.Assert(t, s.Jobs, qt.HasLen, 0)
	qt.Assert(t, s.Claims, qt.HasLen, 0)
}

// drawRecord draws a random record. Enough of them are valid to reach every phase.
func drawRecord(t *rapid.T, s *State) Record {
	n := rapid.IntRange(0, 3).Draw(t, "job")
	id := fmt.Sprint("j", n)
	attempt := fmt.Sprint(id, "/", rapid.IntRange(0, 7).Draw(t, "attempt"))
	newest := s.Terms["r"].Number
	term := rapid.SampledFrom([]int64{newest, newest, newest, 0, 1}).Draw(t, "term")
	current := ""
	if e := s.Jobs[id]; e != nil {
		current = e.Attempt
	}
	namedAttempt := rapid.SampledFrom([]string{current, current, attempt, ""}).Draw(t, "namedAttempt")
	switch rapid.IntRange(0, 15).Draw(t, "kind") {
	case 0, 1:
		// Two of the jobs have no claim; the other two compete for the same claim.
		return Accepted{Job: newJob(id, []string{"", "", "key", "key"}[n]), Region: "r"}
	case 2:
		return TermTaken{Region: "r", Entry: "e", BasedOn: term}
	case 3, 4, 5, 6, 7, 8:
		return Commit{JobID: id, Attempt: attempt, Term: term}
	case 9, 10, 11, 12, 13:
		return Abort{JobID: id, Attempt: namedAttempt, Term: term, CheckpointMs: newest}
	case 14:
		return Ended{JobID: id, Attempt: namedAttempt, Outcome: outcome.Unknown{Reason: attempt}}
	default:
		return CancelRequested{JobID: id}
	}
}

// TestApplyInvariants applies random records. It guards against a second run of a
// job that is not idempotent, two jobs that hold the same claim, an outcome that
// changes, a repeated record that takes effect twice, and a state that differs in
// a process that started from a snapshot.
func TestApplyInvariants(t *testing.T) {
	type entry struct {
		offset int64
		record Record
	}
	rapid.Check(t, func(t *rapid.T) {
		const n = 80
		snapshotTakenAt := rapid.IntRange(0, n-1).Draw(t, "snapshotTakenAt")
		snapshotAppendedAt := rapid.IntRange(snapshotTakenAt+1, n).Draw(t, "snapshotAppendedAt")
		live := New()
		var snapshot Record
		var log []entry
		var validRecords []Record
		commitCounts, outcomes := map[string]int{}, map[string]outcome.Outcome{}
		seenAttempts := map[string]bool{}
		for i := range n + 1 {
			// All offsets are below the retentions, so no job or claim is dropped.
			offset := live.LastApplied + rapid.SampledFrom([]int64{1, 1, 1, 2, 90}).Draw(t, "gap")
			r := drawRecord(t, live)
			repeated := len(validRecords) > 0 && rapid.IntRange(0, 4).Draw(t, "repeat") == 0
			if repeated {
				r = rapid.SampledFrom(validRecords).Draw(t, "repeated")
			}
			if i == snapshotAppendedAt {
				r = snapshot
			}
			log = append(log, entry{offset, r})
			_, valid := live.Apply(offset, r).(Valid)
			if c, ok := r.(Commit); ok && live.Jobs[c.JobID] != nil {
				if valid && seenAttempts[c.Attempt] {
					t.Fatalf("a second commit record of attempt %s is valid", c.Attempt)
				}
				seenAttempts[c.Attempt] = true
				if valid {
					commitCounts[c.JobID]++
				}
			}
			if valid && repeated {
				t.Fatalf("the repeated record %+v is valid", r)
			}
			if valid {
				validRecords = append(validRecords, r)
			}
			holders := map[Claim]string{}
			for id, e := range live.Jobs {
				c, claimed := claimOf(e.Job)
				switch {
				case claimed && (commitCounts[id] > 1 || holders[c] != "" || live.Claims[c] != id):
					t.Fatalf("job %s has %d commits; its claim is held by %q and %q", id, commitCounts[id], holders[c], live.Claims[c])
				case outcomes[id] != nil && outcomes[id] != e.Outcome:
					t.Fatalf("the outcome of job %s went from %v to %v", id, outcomes[id], e.Outcome)
				}
				if claimed {
					holders[c] = id
				}
				outcomes[id] = e.Outcome
			}
			if i == snapshotTakenAt {
				snapshot = Snapshot{State: live.Clone()}
			}
		}
		restored := New()
		restored.Apply(log[snapshotAppendedAt].offset, snapshot)
		for _, e := range log[snapshotTakenAt+1:] {
			restored.Apply(e.offset, e.record)
		}
		if !reflect.DeepEqual(restored, live) {
			t.Fatalf("from the snapshot: %+v\nfrom the start: %+v", restored, live)
		}
	})
}
