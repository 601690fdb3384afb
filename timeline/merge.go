package timeline

import (
	"cmp"
	"slices"
)

// Filter selects events by job, organisation and VM. An empty field matches every
// event.
type Filter struct{ Job, Org, VM string }

func (f Filter) matches(e Event) bool {
	return (f.Job == "" || f.Job == e.Job) && (f.Org == "" || f.Org == e.Org) && (f.VM == "" || f.VM == e.VM)
}

// Merge returns the events of all lists that match the filter, sorted by time,
// then process, then sequence number. Because the clocks of VMs differ, events of
// two processes may be in the wrong order if their times differ by less than the
// clocks do. Events of one process with the same time are always in the right
// order.
func Merge(lists [][]Event, f Filter) []Event {
	var merged []Event
	for _, events := range lists {
		for _, e := range events {
			if f.matches(e) {
				merged = append(merged, e)
			}
		}
	}
	slices.SortStableFunc(merged, func(a, b Event) int {
		return cmp.Or(a.At.Compare(b.At), cmp.Compare(a.Process, b.Process), cmp.Compare(a.Sequence, b.Sequence))
	})
	return merged
}
