package timeline

import (
	"cmp"
	"slices"
)

// Filter selects events; an empty field selects all.
type Filter struct{ Job, Org, VM string }

func (f Filter) matches(e Event) bool {
	return (f.Job == "" || f.Job == e.Job) && (f.Org == "" || f.Org == e.Org) && (f.VM == "" || f.VM == e.VM)
}

// Merge puts the events of all lists that the filter selects into one order:
// by time, then process, then sequence. Clocks of VMs differ, so two processes
// may appear in the wrong order by that difference; the events of one process
// with the same time never do.
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
