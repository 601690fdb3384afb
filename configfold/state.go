package configfold

import (
	"maps"
	"slices"

	"celerypoint.example/celerypoint/guarantee"
	"celerypoint.example/celerypoint/org"
)

// State is the configuration after the records up to LastApplied. It is not safe for
// concurrent use.
type State struct {
	// LastApplied is the offset of the newest record that was applied or skipped.
	LastApplied int64
	// Versions maps the name of an object to the offset of its newest accepted
	// change. The version of a deleted object is kept for at least
	// DeletedVersionRetention offsets.
	Versions map[string]int64
	Orgs     map[string]org.Org
	// VMLabels are the labels that operators have set, by VM ID. VMs without
	// labels have no element.
	VMLabels map[string]map[string]string
	// Draining has the value true for each VM that an operator drains, by VM ID.
	// Other VMs have no element.
	Draining   map[string]bool
	Assignment guarantee.Assignment
	// RecentResults holds the results of the newest MaxRecent changes by record
	// ID, so that a record that was appended twice is recognised. Each result is
	// Accepted or Conflict. Snapshots have none.
	RecentResults map[string]Result
	// RecentIDs holds the keys of RecentResults, the oldest first.
	RecentIDs []string
}

// MaxRecent is the maximum size of RecentResults. The second copy of a record is
// recognised if fewer than MaxRecent other changes come between the two copies. At
// 18,000 changes a day, MaxRecent changes take about 82 minutes.
const MaxRecent = 1024

// DeletedVersionRetention is the minimum number of offsets for which the version of
// a deleted organisation, or of a VM's labels or drain that are no longer set, is
// kept. It corresponds to two days at 18,000 changes a day. New VM IDs appear every
// day, so the state would grow without bound if all versions were kept.
const DeletedVersionRetention = 36000

// sweepInterval is the number of offsets between two searches for versions to drop.
// The searches happen at multiples of it, so every process drops the same versions.
const sweepInterval = 1024

// New returns the state before any record is applied.
func New() State {
	return State{
		Versions:      map[string]int64{},
		Orgs:          map[string]org.Org{},
		VMLabels:      map[string]map[string]string{},
		Draining:      map[string]bool{},
		RecentResults: map[string]Result{},
	}
}

// Clone returns a deep copy of the state.
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
