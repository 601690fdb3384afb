package configfold

import (
	"maps"

	"celerypoint.example/celerypoint/org"
)

// Apply applies the record at an offset. Offsets must increase. A gap between them
// may only hold records that cannot be decoded; Skip advances the state past such a
// record. The state shares no data with the record that the caller may change
// afterwards.
//
// A snapshot takes effect only if its state includes records that s does not. It
// replaces the whole state, so LastApplied becomes that of the snapshot, which is
// lower than the offset of the snapshot record itself. The records between the two
// offsets must be applied after the snapshot; platformlog.Client.Tail delivers them
// in that order.
func (s *State) Apply(offset int64, r Record) Result {
	if offset <= s.LastApplied {
		return Stale{}
	}
	if c, ok := r.Change.(Snapshot); ok {
		if c.State.LastApplied <= s.LastApplied {
			s.advance(offset)
			return Stale{}
		}
		*s = c.State.Clone()
		return Accepted{Object: ObjectOf(c), Version: offset}
	}
	s.advance(offset)
	if first, ok := s.RecentResults[r.ID]; ok {
		return Duplicate{First: first}
	}
	result := s.applyChange(offset, r)
	s.storeResult(r.ID, result)
	return result
}

// Skip advances the state past a record that cannot be decoded. Every process must
// skip the same records.
func (s *State) Skip(offset int64) {
	if offset > s.LastApplied {
		s.advance(offset)
	}
}

// ObjectOf returns the name of the object that the change modifies: "org/NAME",
// "vm/ID", "drain/ID", "assignment" or "snapshot".
func ObjectOf(c Change) string {
	switch c := c.(type) {
	case PutOrg:
		return "org/" + c.Org.Name
	case DeleteOrg:
		return "org/" + c.Name
	case PutLabels:
		return "vm/" + c.VM
	case SetDrain:
		return "drain/" + c.VM
	case PutAssignment:
		return "assignment"
	case Snapshot:
		return "snapshot"
	default:
		return ""
	}
}

func (s *State) applyChange(offset int64, r Record) Result {
	object := ObjectOf(r.Change)
	if version := s.Versions[object]; r.BasedOn != version {
		return Conflict{Object: object, Version: version}
	}
	s.Versions[object] = offset
	switch c := r.Change.(type) {
	case PutOrg:
		o := c.Org
		o.Labels = maps.Clone(o.Labels)
		s.Orgs[o.Name] = o
	case DeleteOrg:
		delete(s.Orgs, c.Name)
	case PutLabels:
		delete(s.VMLabels, c.VM)
		if len(c.Labels) > 0 {
			s.VMLabels[c.VM] = maps.Clone(c.Labels)
		}
	case SetDrain:
		delete(s.Draining, c.VM)
		if c.Draining {
			s.Draining[c.VM] = true
		}
	case PutAssignment:
		s.Assignment = cloneAssignment(c.Assignment)
	}
	return Accepted{Object: object, Version: offset}
}

func (s *State) storeResult(id string, result Result) {
	s.RecentResults[id] = result
	s.RecentIDs = append(s.RecentIDs, id)
	if len(s.RecentIDs) > MaxRecent {
		delete(s.RecentResults, s.RecentIDs[0])
		s.RecentIDs = s.RecentIDs[1:]
	}
}

func (s *State) advance(offset int64) {
	crossed := s.LastApplied/sweepInterval != offset/sweepInterval
	s.LastApplied = offset
	if !crossed {
		return
	}
	inUse := map[string]bool{ObjectOf(PutAssignment{}): true}
	for name := range s.Orgs {
		inUse[ObjectOf(PutOrg{Org: org.Org{Name: name}})] = true
	}
	for id := range s.VMLabels {
		inUse[ObjectOf(PutLabels{VM: id})] = true
	}
	for id := range s.Draining {
		inUse[ObjectOf(SetDrain{VM: id})] = true
	}
	// dropThrough depends on the multiple of sweepInterval that was passed, not on
	// the offset of the record that passed it, because that record can differ
	// between processes. A snapshot that takes effect sets LastApplied below the
	// offset of its own record. A process for which the snapshot is stale advances
	// to that offset instead, and so may pass a multiple that the other process
	// passes only with a later record.
	dropThrough := offset/sweepInterval*sweepInterval - DeletedVersionRetention
	maps.DeleteFunc(s.Versions, func(object string, version int64) bool {
		return version <= dropThrough && !inUse[object]
	})
}
