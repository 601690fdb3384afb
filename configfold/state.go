package configfold

import (
	"maps"
	"slices"

	"celerypoint.example/celerypoint/guarantee"
	"celerypoint.example/celerypoint/org"
)

// State is the folded configuration. It is not safe for concurrent use.
type State struct {
	// LastApplied is the offset of the newest folded record.
	LastApplied int64
	// Versions maps an object to the offset of its newest accepted change. A
	// deleted object keeps its version for KeepDeleted offsets.
	Versions map[string]int64
	Orgs     map[string]org.Org
	// VMLabels are the operator's labels by VM ID. No entry is empty.
	VMLabels map[string]map[string]string
	// Draining holds the VMs that an operator drains. No entry is false.
	Draining   map[string]bool
	Assignment guarantee.Assignment
	// RecentResults holds the results of the newest records by ID, at most
	// MaxRecent, so that a repeated append is recognised. Each is Accepted or
	// Conflict.
	RecentResults map[string]Result
	// RecentIDs is the order in which Recent was filled.
	RecentIDs []string
}

// MaxRecent bounds Recent: an hour and a half of changes at 18,000 a day.
const MaxRecent = 1024

// DeletedVersionRetention is the least number of offsets that the version of a deleted
// organisation, or of a VM without labels or drain, is kept: two days of
// changes at 18,000 a day. VM IDs come and go every day, so keeping all of
// them would grow the state without bound.
const DeletedVersionRetention = 36000

// sweepEvery is how many offsets pass between two searches for versions to
// drop. The points depend on offsets only, so every process drops alike.
const sweepEvery = 1024

// New returns the state before the first record.
func New() State {
	return State{
		Versions:      map[string]int64{},
		Orgs:          map[string]org.Org{},
		VMLabels:      map[string]map[string]string{},
		Draining:      map[string]bool{},
		RecentResults: map[string]Result{},
	}
}

// Clone returns a copy that shares nothing with the state.
func (s *State) Clone() State {
	c := State{
		LastApplied:   s.LastApplied,
		Versions:      maps.Clone(s.Versions),
		Orgs:          make(map[string]org.Org, len(s.Orgs)),
		VMLabels:      make(map[string]map[string]string, len(s.VMLabels)),
		Draining:      maps.Clone(s.Draining),
		Assignment:    cloneAssignment(s.Assignment),
		RecentResults: maps.Clone(s.RecentResults),
		RecentIDs:     slices.Clone(s.RecentIDs),
	}
	for name, o := range s.Orgs {
		o.Labels = maps.Clone(o.Labels)
		c.Orgs[name] = o
	}
	for id, labels := range s.VMLabels {
		c.VMLabels[id] = maps.Clone(labels)
	}
	return c
}

func cloneAssignment(a guarantee.Assignment) guarantee.Assignment {
	c := guarantee.Assignment{Unmet: slices.Clone(a.Unmet)}
	if a.Shares != nil {
		c.Shares = make(map[string]map[string]int, len(a.Shares))
	}
	for name, vms := range a.Shares {
		c.Shares[name] = maps.Clone(vms)
	}
	return c
}
