package configfold

import (
	"maps"

	"celerypoint.example/celerypoint/org"
)

// Apply folds one record. Offsets must rise; a gap between them holds records
// that cannot be read, which Skip passes over. The state keeps
// nothing of the record that the caller may change afterwards.
//
// A snapshot takes effect only in a state that it covers more than, and sets
// Offset to the offset that it covers, which is less than its own. The records
// in between have to be folded after it; platformlog.Client.Tail delivers them
// in that order.
func (s *State) Apply(offset int64, r Record) Result {
	if offset <= s.LastApplied {
		return Stale{}
	}
	if c, ok := r.Change.(Snapshot); ok {
		if c.State.LastApplied <= s.LastApplied {
			s.moveTo(offset)
			return Stale{}
		}
		*s = c.State.Clone()
		return Accepted{Object: ObjectOf(c), Version: offset}
	}
	s.moveTo(offset)
	if first, ok := s.RecentResults[r.ID]; ok {
		return Duplicate{First: first}
	}
	result := s.change(offset, r)
	s.remember(r.ID, result)
	return result
}

// Skip passes over a record that cannot be read, as every process does.
func (s *State) Skip(offset int64) {
	if offset > s.LastApplied {
		s.moveTo(offset)
	}
}

// ObjectOf names the object that the change is about: "org/NAME", "vm/ID",
// "drain/ID", "assignment" or "snapshot".
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

func (s *State) change(offset int64, r Record) Result {
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

func (s *State) remember(id string, result Result) {
	s.RecentResults[id] = result
	s.RecentIDs = append(s.RecentIDs, id)
	if len(s.RecentIDs) > MaxRecent {
		delete(s.RecentResults, s.RecentIDs[0])
		s.RecentIDs = s.RecentIDs[1:]
	}
}

func (s *State) moveTo(offset int64) {
	sweep := s.LastApplied/sweepEvery != offset/sweepEvery
	s.LastApplied = offset
	if !sweep {
		return
	}
	used := map[string]bool{ObjectOf(PutAssignment{}): true}
	for name := range s.Orgs {
		used[ObjectOf(PutOrg{Org: org.Org{Name: name}})] = true
	}
	for id := range s.VMLabels {
		used[ObjectOf(PutLabels{VM: id})] = true
	}
	for id := range s.Draining {
		used[ObjectOf(SetDrain{VM: id})] = true
	}
	// The bound depends on the point, not on the record that passed it: a
	// process that starts from a snapshot may pass it with another record.
	dropped := offset/sweepEvery*sweepEvery - DeletedVersionRetention
	maps.DeleteFunc(s.Versions, func(object string, version int64) bool {
		return version <= dropped && !used[object]
	})
}
