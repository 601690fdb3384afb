package configfold

import (
	"celerypoint.example/celerypoint/guarantee"
	"celerypoint.example/celerypoint/org"
)

// State is the folded configuration. It is not safe for concurrent use.
type State struct {
	// Offset is the offset of the newest folded record.
	Offset int64
	// Versions maps an object to the offset of its newest accepted change. A
	// deleted object keeps its version.
	Versions map[string]int64
	Orgs     map[string]org.Org
	// VMLabels are the operator's labels by VM ID.
	VMLabels map[string]map[string]string
	// Draining holds the VMs that an operator drains.
	Draining   map[string]bool
	Assignment guarantee.Assignment
	// Recent holds the results of the newest records by ID, at most
	// MaxRecent, so that a repeated append is recognised.
	Recent map[string]Result
	// RecentOrder is the order in which Recent was filled.
	RecentOrder []string
}

// MaxRecent bounds Recent: several minutes of changes at 18,000 a day.
const MaxRecent = 1024
