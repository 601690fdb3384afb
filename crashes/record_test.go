package crashes

import (
	"testing"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"
)

// TestRecord guards against crashes that are counted twice, because agents report them
// repeatedly, or not at all, because reports arrive in another order than the crashes.
func TestRecord(t *testing.T) {
	for _, test := range []struct {
		name    string
		runs    []int
		cleared int
		want    Record
		blamed  bool
	}{
		{"none", nil, 0, Record{}, false},
		{"repeated", []int{2, 2, 2}, 0, Record{Runs: [Limit]int{2}}, false},
		{"outOfOrder", []int{5, 1, 3}, 0, Record{Runs: [Limit]int{1, 3, 5}}, true},
		{"moreThanLimit", []int{5, 1, 3, 2}, 0, Record{Runs: [Limit]int{1, 2, 3}}, true},
		{"cleared", []int{1, 2}, 3, Record{ClearedThrough: 3}, false},
		{"clearedInBetween", []int{1, 4}, 3, Record{Runs: [Limit]int{4}, ClearedThrough: 3}, false},
	} {
		t.Run(test.name, func(t *testing.T) {
			var r Record
			for _, run := range test.runs {
				r = r.Add(run)
			}
			if test.cleared > 0 {
				r = r.Clear(test.cleared)
			}
			qt.Check(t, r, qt.Equals, test.want)
			qt.Check(t, r.Blamed(), qt.Equals, test.blamed)
			qt.Check(t, r.Suspect(), qt.Equals, test.want.Runs[0] > 0)
		})
	}
}

// TestRecordOrder guards against records that depend on the order in which crashes and
// the proof of innocence are learned.
func TestRecordOrder(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		runs := rapid.SliceOfNDistinct(rapid.IntRange(1, 6), 0, Limit, rapid.ID[int]).Draw(rt, "runs")
		cleared := rapid.IntRange(0, 6).Draw(rt, "cleared")
		before, after := Record{}.Clear(cleared), Record{}
		for i := range runs {
			before, after = before.Add(runs[len(runs)-1-i]), after.Add(runs[i])
		}
		if after = after.Clear(cleared); before != after {
			rt.Fatalf("runs %v, cleared through %d: %+v and %+v", runs, cleared, before, after)
		}
	})
}
