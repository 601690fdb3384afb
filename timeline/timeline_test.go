package timeline

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// TestMerge guards against events of one process in the wrong order, and
// against events in a filtered timeline that do not match the filter.
func TestMerge(t *testing.T) {
	at := time.UnixMicro
	lists := [][]Event{
		{{At: at(2), Process: "e1", Sequence: 1, Job: "j", VM: "v1"}, {At: at(2), Process: "e1", Sequence: 2, Org: "o"}},
		{{At: at(2), Process: "a1", Sequence: 9, Job: "j"}, {At: at(1), Process: "a1", Sequence: 8, Job: "k", VM: "v1"}},
	}
	for _, tt := range []struct {
		name   string
		filter Filter
		want   []int64
	}{
		{"all", Filter{}, []int64{8, 9, 1, 2}},
		{"job", Filter{Job: "j"}, []int64{9, 1}},
		{"organisation", Filter{Org: "o"}, []int64{2}},
		{"VM and job", Filter{VM: "v1", Job: "k"}, []int64{8}},
		{"none", Filter{Job: "x"}, nil},
	} {
		t.Run(tt.name, func(t *testing.T) {
			var got []int64
			for _, e := range Merge(lists, tt.filter) {
				got = append(got, e.Sequence)
			}
			qt.Assert(t, got, qt.DeepEquals, tt.want)
		})
	}
}

// TestRingKeepsNewest guards against a full ring that loses new events or
// returns old ones twice.
func TestRingKeepsNewest(t *testing.T) {
	r := NewRing("e1")
	for range maxEvents + 10 {
		r.Add(Event{Kind: "k"})
	}
	events, next := r.Since(1, 5)
	qt.Assert(t, events[0].Sequence, qt.Equals, int64(11))
	qt.Assert(t, next, qt.Equals, int64(16))
	events, next = r.Since(maxEvents+9, 100)
	qt.Assert(t, events, qt.HasLen, 2)
	qt.Assert(t, next, qt.Equals, int64(maxEvents+11))
}
