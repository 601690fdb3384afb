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

// TestApply guards against a later change that wins, and against a repeated
// append that is taken for a conflict with itself.
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
		{"same base loses", 5, Record{ID: "b", Change: org2}, Conflict{Object: "org/o", Version: 3}},
		{"repeated winner", 6, Record{ID: "a", Change: org1}, Duplicate{First: Accepted{Object: "org/o", Version: 3}}},
		{"repeated loser", 7, Record{ID: "b", Change: org2}, Duplicate{First: Conflict{Object: "org/o", Version: 3}}},
		{"offset again", 7, Record{ID: "c", BasedOn: 3, Change: org2}, Stale{}},
		{"newer base wins", 8, Record{ID: "c", BasedOn: 3, Change: org2}, Accepted{Object: "org/o", Version: 8}},
		{"deletion", 9, Record{ID: "d", BasedOn: 8, Change: DeleteOrg{Name: "o"}}, Accepted{Object: "org/o", Version: 9}},
		{"creation over a deletion", 10, Record{ID: "e", Change: org1}, Conflict{Object: "org/o", Version: 9}},
		{"older snapshot", 11, Record{ID: "f", Change: Snapshot{State: State{LastApplied: 10}}}, Stale{}},
		{"creation long after a deletion", 9 + DeletedVersionRetention + sweepEvery, Record{ID: "g", Change: org1}, Accepted{Object: "org/o", Version: 9 + DeletedVersionRetention + sweepEvery}},
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

// inUse reports whether the object of the change has a value.
func inUse(s State, c Change) bool {
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

// TestApplyInvariants guards against a version that goes back, a record that counts
// twice, and a process that differs after it started from a snapshot.
func TestApplyInvariants(t *testing.T) {
	type entry struct {
		offset int64
		record Record
	}
	rapid.Check(t, func(t *rapid.T) {
		const n = 40
		covered := rapid.IntRange(0, n-1).Draw(t, "covered")
		appended := rapid.IntRange(covered+1, n).Draw(t, "appended")
		live := New()
		var snapshot Record
		var log []entry
		first := map[string]Result{}
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
			if i == appended {
				r = snapshot
			}
			log = append(log, entry{offset, r})
			used := inUse(live, c)
			result := live.Apply(offset, r)
			dropped := r.BasedOn == 0 && before <= offset-DeletedVersionRetention && !used
			if _, ok := result.(Accepted); ok && r.BasedOn != before && !dropped {
				t.Fatalf("a change of %s based on %d won over version %d", object, r.BasedOn, before)
			}
			if after := live.Versions[object]; after != 0 && after < before {
				t.Fatalf("the version of %s went from %d to %d", object, before, after)
			}
			if seen, ok := first[r.ID]; ok && result != (Duplicate{First: seen}) {
				t.Fatalf("record %s gave %v, then %v", r.ID, seen, result)
			} else if !ok && i != appended {
				first[r.ID] = result
			}
			if i == covered {
				snapshot = Record{ID: "snapshot", Change: Snapshot{State: live.Clone()}}
			}
		}
		// A peer sends the records without those of snapshots.
		state := snapshot.Change.(Snapshot).State
		early, late := state.Clone(), New()
		late.Apply(log[appended].offset, snapshot)
		for i, e := range log[covered+1:] {
			early.Apply(e.offset, e.record)
			if covered+1+i == appended {
				continue
			}
			late.Apply(e.offset, e.record)
			if !reflect.DeepEqual(late, early) {
				t.Fatalf("from the snapshot: %+v\nwith its record: %+v", late, early)
			}
		}
		if !reflect.DeepEqual(early, live) {
			t.Fatalf("from the snapshot: %+v\nfrom the start: %+v", early, live)
		}
	})
}

// TestSweepPoint guards against processes that drop a version at different
// records, because only one of them folded the record of a snapshot.
func TestSweepPoint(t *testing.T) {
	const deleted, passed = 871, 871 + DeletedVersionRetention - 1
	early := New()
	early.Apply(deleted, Record{ID: "a", Change: DeleteOrg{Name: "o"}})
	snapshot := Record{ID: "b", Change: Snapshot{State: early.Clone()}}
	late := New()
	late.Apply(passed, snapshot)
	early.Apply(passed, snapshot)
	next := Record{ID: "c", Change: SetDrain{VM: "v", Draining: true}}
	late.Apply(passed+1, next)
	early.Apply(passed+1, next)
	qt.Assert(t, late, qt.DeepEquals, early)
}
