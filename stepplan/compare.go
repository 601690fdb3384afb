package stepplan

import (
	"cmp"

	"celerypoint.example/celerypoint/steps"
)

// compareIDs orders tasks, so that a board decides the same each time.
func compareIDs(a, b steps.TaskID) int {
	return cmp.Or(cmp.Compare(a.Job, b.Job), cmp.Compare(a.Occurrence, b.Occurrence), cmp.Compare(a.Step, b.Step), cmp.Compare(a.Index, b.Index))
}
