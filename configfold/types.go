package configfold

import (
	"celerypoint.example/celerypoint/guarantee"
	"celerypoint.example/celerypoint/org"
)

// Change is a sealed interface. Its implementations are PutOrg, DeleteOrg,
// PutLabels, SetDrain, PutAssignment and Snapshot.
type Change interface{ change() }

// The types of changes. ObjectOf returns the name of the object that a change
// modifies; the comments give it in quotes.
type (
	// PutOrg creates or replaces an organisation, "org/NAME".
	PutOrg struct{ Org org.Org }
	// DeleteOrg deletes an organisation, "org/NAME".
	DeleteOrg struct{ Name string }
	// PutLabels replaces the labels that operators have set on a VM, "vm/ID".
	PutLabels struct {
		VM     string
		Labels map[string]string
	}
	// SetDrain starts or ends the drain of a VM, "drain/ID". A draining VM takes
	// no new work.
	SetDrain struct {
		VM       string
		Draining bool
	}
	// PutAssignment replaces the assignment of accelerators to the organisations'
	// guarantees, "assignment".
	PutAssignment struct{ Assignment guarantee.Assignment }
	// Snapshot holds the whole state after the records up to State.LastApplied,
	// "snapshot". A process that starts from it needs no older record.
	Snapshot struct{ State State }
)

func (PutOrg) change()        {}
func (DeleteOrg) change()     {}
func (PutLabels) change()     {}
func (SetDrain) change()      {}
func (PutAssignment) change() {}
func (Snapshot) change()      {}

// Record is one record of the config stream.
type Record struct {
	// ID identifies the change. A second record with the same ID has no effect as
	// long as the result of the first is in State.RecentResults.
	ID string
	// BasedOn is the version of the object that the author of the change has
	// seen, or 0 if there was none. The change is accepted only if this is still
	// the object's version. A deleted object keeps a version for some time; see
	// State.Versions.
	BasedOn int64
	Change  Change
}

// Result is a sealed interface. Its implementations are Accepted, Conflict, Duplicate
// and Stale.
type Result interface{ result() }

// The results of Apply.
type (
	// Accepted means that the change took effect. Version, the new version of the
	// object, is the offset of the record.
	Accepted struct {
		Object  string
		Version int64
	}
	// Conflict means that the change had no effect, because BasedOn was not the
	// version of the object: usually because another change came first.
	Conflict struct {
		Object string
		// Version is the current version of the object.
		Version int64
	}
	// Duplicate means that the record had no effect, because a record with the same
	// ID was applied before. First is the result of that earlier record.
	Duplicate struct{ First Result }
	// Stale means that a record at this offset or a higher one was applied or
	// skipped before, or that the record is a snapshot that includes no record that
	// the state lacks.
	Stale struct{}
)

func (Accepted) result()  {}
func (Conflict) result()  {}
func (Duplicate) result() {}
func (Stale) result()     {}
