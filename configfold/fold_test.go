package configfold

import (
	"fmt"
	"reflect"
	"testing"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"celerypoint.example/celerypoint/guarantee"
	"celerypoint.example/celerypoint/org"
)

// TestApply guards against accepting the later of two changes with the same base
// version, and against reporting a repeated record as a conflict with itself.
func TestApply(t *testing.T) {
	org1 := PutOrg{Org: org.Org{Name: "o", ShedRank: 1}}
	org2 := PutOrg{Org: org.Org{Name: "o", ShedRank: 2}}
	tests := []struct {
		name   string
		offset int64
		record Record
		want   Result
	}{
		{"creation", 3, Record{ID: "a", Change: org1}, Accepted{Object: "org/o", Version: 3}},
		{"second change with the same base", 5, Record{ID: "b", Change: org2}, Conflict{Object: "org/o", Version: 3}},
		{"accepted record repeated", 6, Record{ID: "a", Change: org1}, Duplicate{First: Accepted{Object: "org/o", Version: 3}}},
		{"conflicting record repeated", 7, Record{ID: "b", Change: org2}, Duplicate{First: Conflict{Object: "org/o", Version: 3}}},
		{"same offset again", 7, Record{ID: "c", BasedOn: 3, Change: org2}, Stale{}},
		{"change based on the current version", 8, Record{ID: "c", BasedOn: 3, Change: org2}, Accepted{Object: "org/o", Version: 8}},
		{"deletion", 9, Record{ID: "d", BasedOn: 8, Change: DeleteOrg{Name: "o"}}, Accepted{Object: "org/o", Version: 9}},
		{"creation soon after the deletion", 10, Record{ID: "e", Change: org1}, Conflict{Object: "org/o", Version: 9}},
		{"older snapshot", 11, Record{ID: "f", Change: Snapshot{State: State{LastApplied: 10}}}, Stale{}},
		{"creation after the retention of the deleted version", 9 + DeletedVersionRetention + sweepInterval, Record{ID: "g", Change: org1}, Accepted{Object: "org/o", Version: 9 + DeletedVersionRetention + sweepInterval}},
	}
	s := New()
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			qt.Assert(t, s.Apply(tt.offset, tt.record), qt.Equals, tt.want)
		})
	}
}

func drawChange(t *rapid.T) Change {
	name := rapid.SampledFrom([]string{"a", "b"}).Draw(t, "name")
	n := rapid.IntRange(0, 2).Draw(t, "value")
	switch rapid.IntRange(0, 4).Draw(t, "kind") {
	case 0:
		return PutOrg{Org: org.Org{Name: name, ShedRank: n}}
	case 1:
		return DeleteOrg{Name: name}
	case 2:
		return PutLabels{VM: name, Labels: map[string]string{"k": fmt.Sprint(n)}}
	case 3:
		return SetDrain{VM: name, Draining: n > 0}
	default:
		return PutAssignment{Assignment: guarantee.Assignment{Unmet: []string{name}}}
	}
}

// hasValue reports whether the object of the change is set in the state. It is always
// true for the assignment, whose version is never dropped.
func hasValue(s State, c Change) bool {
	switch c := c.(type) {
	case PutOrg:
		return s.Orgs[c.Org.Name].Name != ""
	case DeleteOrg:
		return s.Orgs[c.Name].Name != ""
	case PutLabels:
		return len(s.VMLabels[c.VM]) > 0
	case SetDrain:
		return s.Draining[c.VM]
	default:
		return true
	}
}

// TestApplyInvariants applies random records. It guards against an object whose
// version decreases, a change that is accepted over a newer one, a record that takes
// effect twice, and a state that differs in a process that started from a snapshot.
func TestApplyInvariants(t *testing.T) {
	type entry struct {
		offset int64
		record Record
	}
	rapid.Check(t, func(t *rapid.T) {
		const n = 40
		snapshotTakenAt := rapid.IntRange(0, n-1).Draw(t, "snapshotTakenAt")
		snapshotAppendedAt := rapid.IntRange(snapshotTakenAt+1, n).Draw(t, "snapshotAppendedAt")
		live := New()
		var snapshot Record
		var log []entry
		firstResults := map[string]Result{}
		for i := range n + 1 {
			offset := live.LastApplied + rapid.SampledFrom([]int64{1, 1, 2, 600, 600, DeletedVersionRetention - 1200}).Draw(t, "gap")
			c := drawChange(t)
			object := ObjectOf(c)
			before := live.Versions[object]
			r := Record{
				ID:      fmt.Sprint(rapid.IntRange(0, n).Draw(t, "id")),
				BasedOn: rapid.SampledFrom([]int64{before, before, 0, offset}).Draw(t, "basedOn"),
				Change:  c,
			}
			if i == snapshotAppendedAt {
				r = snapshot
			}
			log = append(log, entry{offset, r})
			hadValue := hasValue(live, c)
			result := live.Apply(offset, r)
			versionDropped := r.BasedOn == 0 && before <= offset-DeletedVersionRetention && !hadValue
			if _, ok := result.(Accepted); ok && r.BasedOn != before && !versionDropped {
				t.Fatalf("a change of %s based on %d was accepted over version %d", object, r.BasedOn, before)
			}
			if after := live.Versions[object]; after != 0 && after < before {
				t.Fatalf("the version of %s went from %d to %d", object, before, after)
			}
			if seen, ok := firstResults[r.ID]; ok && result != (Duplicate{First: seen}) {
				t.Fatalf("record %s gave %v, then %v", r.ID, seen, result)
			} else if !ok && i != snapshotAppendedAt {
				firstResults[r.ID] = result
			}
			if i == snapshotTakenAt {
				snapshot = Record{ID: "snapshot", Change: Snapshot{State: live.Clone()}}
			}
		}
		// restored starts from the snapshot and does not apply the snapshot's record
		// again at its own offset, like a process that gets the record only once.
		// continued starts from the state in the snapshot and applies the record.
		state := snapshot.Change.(Snapshot).State
		continued, restored := state.Clone(), New()
		restored.Apply(log[snapshotAppendedAt].offset, snapshot)
		for i, e := range log[snapshotTakenAt+1:] {
			continued.Apply(e.offset, e.record)
			if snapshotTakenAt+1+i == snapshotAppendedAt {
				continue
			}
			restored.Apply(e.offset, e.record)
			if !reflect.DeepEqual(restored, continued) {
				t.Fatalf("from the snapshot: %+v\nwith its record: %+v", restored, continued)
			}
		}
		if !reflect.DeepEqual(continued, live) {
			t.Fatalf("from the snapshot: %+v\nfrom the start: %+v", continued, live)
		}
	})
}

// TestSweepPoint guards against a difference between two states of which only one
// advanced past the offset of a snapshot's record. They pass the multiple of
// sweepInterval with different records, and must still drop the same versions.
func TestSweepPoint(t *testing.T) {
	const deletedAt, snapshotAppendedAt = 871, 871 + DeletedVersionRetention - 1
	continued := New()
	continued.Apply(deletedAt, Record{ID: "a", Change: DeleteOrg{Name: "o"}})
	snapshot := Record{ID: "b", Change: Snapshot{State: continued.Clone()}}
	restored := New()
	restored.Apply(snapshotAppendedAt, snapshot)
	continued.Apply(snapshotAppendedAt, snapshot)
	next := Record{ID: "c", Change: SetDrain{VM: "v", Draining: true}}
	restored.Apply(snapshotAppendedAt+1, next)
	continued.Apply(snapshotAppendedAt+1, next)
	qt.Assert(t, restored, qt.DeepEquals, continued)
}
