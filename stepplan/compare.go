package stepplan

import (
	"cmp"

	"celerypoint.example/celerypoint/steps"
)

// compareTaskIDs defines the sort order of tasks, so that decisions do not
// depend on the iteration order of maps.
func compareTaskIDs(a, b steps.TaskID) int {
	return cmp.Or(cmp.Compare(a.Job, b.Job), cmp.Compare(a.Occurrence, b.Occurrence), cmp.Compare(a.Step, b.Step), cmp.Compare(a.Index, b.Index))
}
