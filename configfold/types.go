package configfold

import (
	"celerypoint.example/celerypoint/guarantee"
	"celerypoint.example/celerypoint/org"
)

// Change is sealed: PutOrg, DeleteOrg, PutLabels, SetDrain, PutAssignment,
// Snapshot.
type Change interface{ change() }

// Changes. Each names the object that it changes by its Object method.
type (
	// PutOrg creates or replaces the organisation "org/NAME".
	PutOrg struct{ Org org.Org }
	// DeleteOrg removes the organisation "org/NAME".
	DeleteOrg struct{ Name string }
	// PutLabels replaces the operator's labels of the VM "vm/ID".
	PutLabels struct {
		VM     string
		Labels map[string]string
	}
	// SetDrain sets whether the VM takes new work, "drain/ID".
	SetDrain struct {
		VM       string
		Draining bool
	}
	// PutAssignment replaces the guarantee assignment, "assignment".
	PutAssignment struct{ Assignment guarantee.Assignment }
	// Snapshot holds the whole state through an offset, so that a process
	// that starts needs no older record.
	Snapshot struct{ State State }
)

func (PutOrg) change()        {}
func (DeleteOrg) change()     {}
func (PutLabels) change()     {}
func (SetDrain) change()      {}
func (PutAssignment) change() {}
func (Snapshot) change()      {}

// Record is one record of the stream.
type Record struct {
	// ID is unique; a second record with one ID changes nothing.
	ID string
	// BasedOn is the version of the object that the change was made from, 0
	// for an object that did not exist.
	BasedOn int64
	Change  Change
}

// Result is sealed: Accepted, Conflict, Duplicate, Stale.
type Result interface{ result() }

// Results.
type (
	// Accepted says that the change is in force; its version is its offset.
	Accepted struct {
		Object  string
		Version int64
	}
	// Conflict says that another change of the object came first.
	Conflict struct {
		Object string
		// Version is the version of the winner.
		Version int64
	}
	// Duplicate says that a record with the same ID was folded before.
	Duplicate struct{ First Result }
	// Stale says that the state has already folded this offset.
	Stale struct{}
)

func (Accepted) result()  {}
func (Conflict) result()  {}
func (Duplicate) result() {}
func (Stale) result()     {}
