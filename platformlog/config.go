package platformlog

import (
	"encoding/json"
	"fmt"
	"maps"
	"slices"
	"strings"

	"celerypoint.example/celerypoint/codec"
	"celerypoint.example/celerypoint/configfold"
	"celerypoint.example/celerypoint/guarantee"
	"celerypoint.example/celerypoint/wire"
)

// ConfigBody encodes a record of the stream config. Its ID is not part of the
// body.
func ConfigBody(r configfold.Record) wire.ConfigRecord {
	w := wire.ConfigRecord{Object: configfold.ObjectOf(r.Change), BasedOn: int(r.BasedOn)}
	switch c := r.Change.(type) {
	case configfold.PutOrg:
		o := codec.EncodeOrg(c.Org)
		w.Kind, w.Org = wire.ConfigKindPutOrg, &o
	case configfold.DeleteOrg:
		w.Kind = wire.ConfigKindDeleteOrg
	case configfold.PutLabels:
		w.Kind, w.Labels = wire.ConfigKindPutLabels, c.Labels
	case configfold.SetDrain:
		w.Kind, w.Draining = wire.ConfigKindSetDrain, c.Draining
	case configfold.PutAssignment:
		a := assignmentTo(c.Assignment)
		w.Kind, w.Assignment = wire.ConfigKindPutAssignment, &a
	case configfold.Snapshot:
		s := EncodeConfigSnapshot(c.State)
		w.Kind, w.Snapshot = wire.ConfigKindSnapshot, &s
	}
	return w
}

// ParseConfig decodes and checks a record of the stream config. Every process
// skips a record that gives an error. The error names the stream, the offset,
// the field, what was found and what is allowed.
func ParseConfig(r wire.LogRecord) (configfold.Record, error) {
	var w wire.ConfigRecord
	err := decodeBody(r, &w)
	var c configfold.Change
	if err == nil {
		c, err = changeFrom(w)
	}
	switch {
	case err != nil:
	case w.BasedOn < 0:
		err = fmt.Errorf("basedOn: found %d, allowed: at least 0", w.BasedOn)
	case w.Object != configfold.ObjectOf(c):
		err = fmt.Errorf("object: found %q, allowed: %q", w.Object, configfold.ObjectOf(c))
	}
	if err != nil {
		return configfold.Record{}, recordError(StreamConfig, r, err)
	}
	return configfold.Record{ID: r.ID, BasedOn: int64(w.BasedOn), Change: c}, nil
}

func recordError(stream string, r wire.LogRecord, err error) error {
	return fmt.Errorf("log stream %s: offset %d: record %q: %w", stream, r.Offset, r.ID, err)
}

// decodeBody decodes by way of the generic JSON value, however the record
// arrived, so that every process accepts the same records.
func decodeBody(r wire.LogRecord, v any) error {
	if r.ID == "" || r.Offset < 1 {
		return fmt.Errorf("id and offset: found %q and %d, allowed: a text that is not empty and at least 1", r.ID, r.Offset)
	}
	text, err := json.Marshal(r.Body)
	if err != nil {
		return fmt.Errorf("body: %w", err)
	}
	return wire.Decode(text, v)
}

func changeFrom(w wire.ConfigRecord) (configfold.Change, error) {
	switch w.Kind {
	case wire.ConfigKindPutOrg:
		if w.Org == nil {
			return nil, fmt.Errorf("org: found none, allowed: an organisation")
		}
		o, err := codec.DecodeOrg(*w.Org)
		return configfold.PutOrg{Org: o}, err
	case wire.ConfigKindDeleteOrg:
		name, err := objectID(w.Object, "org/")
		return configfold.DeleteOrg{Name: name}, err
	case wire.ConfigKindPutLabels:
		id, err := objectID(w.Object, "vm/")
		return configfold.PutLabels{VM: id, Labels: codec.NilIfEmpty(w.Labels)}, err
	case wire.ConfigKindSetDrain:
		id, err := objectID(w.Object, "drain/")
		return configfold.SetDrain{VM: id, Draining: w.Draining}, err
	case wire.ConfigKindPutAssignment:
		a, err := assignmentFrom(w.Assignment)
		return configfold.PutAssignment{Assignment: a}, err
	case wire.ConfigKindSnapshot:
		if w.Snapshot == nil {
			return nil, fmt.Errorf("snapshot: found none, allowed: a snapshot")
		}
		s, err := DecodeConfigSnapshot(*w.Snapshot)
		return configfold.Snapshot{State: s}, err
	default:
		return nil, fmt.Errorf("kind: found %q, allowed: putOrg, deleteOrg, putLabels, setDrain, putAssignment, snapshot", w.Kind)
	}
}

func objectID(object, prefix string) (string, error) {
	id, ok := strings.CutPrefix(object, prefix)
	if !ok || id == "" {
		return "", fmt.Errorf("object: found %q, allowed: %q and a name", object, prefix)
	}
	return id, nil
}

func assignmentTo(a guarantee.Assignment) wire.Assignment {
	w := wire.Assignment{Shares: a.Shares, Unmet: a.Unmet}
	if w.Shares == nil {
		w.Shares = map[string]map[string]int{}
	}
	return w
}

func assignmentFrom(w *wire.Assignment) (guarantee.Assignment, error) {
	if w == nil {
		return guarantee.Assignment{}, fmt.Errorf("assignment: found none, allowed: an assignment")
	}
	for name, vms := range w.Shares {
		for id, n := range vms {
			if n < 1 {
				return guarantee.Assignment{}, fmt.Errorf("assignment.shares: found %d for %s on %s, allowed: at least 1", n, name, id)
			}
		}
	}
	a := guarantee.Assignment{Unmet: w.Unmet}
	if len(w.Shares) > 0 {
		a.Shares = w.Shares
	}
	return a, nil
}

// EncodeConfigSnapshot encodes the whole state.
func EncodeConfigSnapshot(s configfold.State) wire.ConfigSnapshot {
	w := wire.ConfigSnapshot{Through: int(s.LastApplied), Objects: []wire.ConfigObject{}}
	for _, object := range slices.Sorted(maps.Keys(s.Versions)) {
		o := wire.ConfigObject{Object: object, Version: int(s.Versions[object])}
		kind, id, _ := strings.Cut(object, "/")
		switch kind {
		case "org":
			if v, ok := s.Orgs[id]; ok {
				encoded := codec.EncodeOrg(v)
				o.Org = &encoded
			}
		case "vm":
			o.Labels = s.VMLabels[id]
		case "drain":
			o.Draining = s.Draining[id]
		case "assignment":
			a := assignmentTo(s.Assignment)
			o.Assignment = &a
		}
		w.Objects = append(w.Objects, o)
	}
	for _, id := range s.RecentIDs {
		switch r := s.RecentResults[id].(type) {
		case configfold.Accepted:
			w.Recent = append(w.Recent, wire.RecentRecord{ID: id, Object: r.Object, Version: int(r.Version)})
		case configfold.Conflict:
			w.Recent = append(w.Recent, wire.RecentRecord{ID: id, Object: r.Object, Version: int(r.Version), Conflict: true})
		}
	}
	return w
}

// DecodeConfigSnapshot decodes and checks a state.
func DecodeConfigSnapshot(w wire.ConfigSnapshot) (configfold.State, error) {
	s := configfold.New()
	if w.Through < 1 {
		return s, fmt.Errorf("snapshot.through: found %d, allowed: at least 1", w.Through)
	}
	s.LastApplied = int64(w.Through)
	for _, o := range w.Objects {
		if _, twice := s.Versions[o.Object]; twice || o.Version < 1 || o.Version > w.Through {
			return s, fmt.Errorf("snapshot.objects: found %q with version %d, allowed: each object once, with a version of 1 to %d", o.Object, o.Version, w.Through)
		}
		s.Versions[o.Object] = int64(o.Version)
		if err := addObject(&s, o); err != nil {
			return s, fmt.Errorf("snapshot.objects: %q: %w", o.Object, err)
		}
	}
	for _, r := range w.Recent {
		if _, twice := s.RecentResults[r.ID]; twice || len(s.RecentIDs) == configfold.MaxRecent {
			return s, fmt.Errorf("snapshot.recent: found %q twice or more than %d, allowed: each once", r.ID, configfold.MaxRecent)
		}
		s.RecentIDs = append(s.RecentIDs, r.ID)
		if r.Conflict {
			s.RecentResults[r.ID] = configfold.Conflict{Object: r.Object, Version: int64(r.Version)}
		} else {
			s.RecentResults[r.ID] = configfold.Accepted{Object: r.Object, Version: int64(r.Version)}
		}
	}
	return s, nil
}

func addObject(s *configfold.State, o wire.ConfigObject) error {
	kind, id, _ := strings.Cut(o.Object, "/")
	if (id == "") != (o.Object == "assignment") {
		return fmt.Errorf("object: allowed: assignment, or org/, vm/ or drain/ and a name")
	}
	switch kind {
	case "org":
		if o.Org == nil {
			return nil
		}
		v, err := codec.DecodeOrg(*o.Org)
		if err != nil {
			return err
		}
		if v.Name != id {
			return fmt.Errorf("org.name: found %q, allowed: %q", v.Name, id)
		}
		s.Orgs[id] = v
	case "vm":
		if len(o.Labels) > 0 {
			s.VMLabels[id] = o.Labels
		}
	case "drain":
		if o.Draining {
			s.Draining[id] = true
		}
	case "assignment":
		a, err := assignmentFrom(o.Assignment)
		if err != nil {
			return err
		}
		s.Assignment = a
	default:
		return fmt.Errorf("object: allowed: assignment, or org/, vm/ or drain/ and a name")
	}
	return nil
}
