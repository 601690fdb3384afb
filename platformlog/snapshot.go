package platformlog

import (
	"maps"
	"slices"
	"time"

	"celerypoint.example/celerypoint/configfold"
	"celerypoint.example/celerypoint/wire"
)

// MaxRecordsAfterSnapshot is the number of records after which the next snapshot is
// due. It limits how many records a process that starts must apply after a snapshot.
const MaxRecordsAfterSnapshot = 4096

// SnapshotInput is the input of SnapshotDue.
type SnapshotInput struct {
	// LastApplied is the offset of the newest record that the process has applied.
	LastApplied int64
	// SnapshotLastApplied is the offset of the newest record that the newest
	// snapshot in the stream includes, or 0 if there is no snapshot. The caller
	// passes each record that it reads to the function of the same name, and keeps
	// the highest offset that this returns.
	SnapshotLastApplied int64
	// Oldest and Next are those of the newest Page that was read.
	Oldest, Next int64
	// RenewBy is the time at which the newest snapshot must be replaced even if few
	// records follow it. The caller sets it to at most half of the platform's
	// retention time after the snapshot was read. Zero means never.
	RenewBy time.Time
}

// SnapshotDue reports whether a snapshot must be appended now. A snapshot is usable
// until the first record that it does not include expires. The next snapshot is due
// when MaxRecordsAfterSnapshot records are not included in the newest one, when the
// first of these records is in the older half of the offsets that the log retains, or
// when RenewBy is reached.
func SnapshotDue(in SnapshotInput, now time.Time) bool {
	switch {
	case in.LastApplied == 0:
		return false
	case !in.RenewBy.IsZero() && !now.Before(in.RenewBy):
		return true
	case in.LastApplied-in.SnapshotLastApplied >= MaxRecordsAfterSnapshot:
		return true
	default:
		// Oldest is 1 until the first record expires.
		return in.Oldest > 1 && in.SnapshotLastApplied+1 < in.Oldest+(in.Next-in.Oldest)/2
	}
}

// SnapshotLastApplied returns the offset of the newest record that a snapshot includes,
// given the snapshot's record. ok is false for other records, for a snapshot that
// cannot be decoded, and for each part but the last of a snapshot with several records.
func SnapshotLastApplied(stream string, r wire.LogRecord) (lastApplied int64, ok bool) {
	s, ok := parseSnapshot(stream, r)
	if !ok || s.lastPart != nil && s.lastPart.Part != s.lastPart.Parts {
		return 0, false
	}
	return s.lastApplied, true
}

// snapshot is a snapshot of which at least one record was read. A snapshot of the jobs
// stream may be split into parts, one in each record.
type snapshot struct {
	// lastApplied is the offset of the newest record that the snapshot includes.
	lastApplied int64
	// lastRecord is the newest record of the snapshot that was read.
	lastRecord wire.LogRecord
	// lastPart is the part in lastRecord. It is nil for the config stream.
	lastPart *wire.JobsSnapshot
	// parts holds the parts that were read, by part number. It is nil for the config
	// stream, whose snapshots are not split.
	parts map[int]*wire.JobsSnapshot
}

func parseSnapshot(stream string, r wire.LogRecord) (*snapshot, bool) {
	if body, ok := r.Body.(map[string]any); !ok || body["kind"] != string(wire.ConfigKindSnapshot) {
		return nil, false
	}
	if stream == StreamConfig {
		c, err := ParseConfig(r)
		if err != nil {
			return nil, false
		}
		s, ok := c.Change.(configfold.Snapshot)
		return &snapshot{lastApplied: s.State.LastApplied, lastRecord: r}, ok
	}
	var w wire.JobRecord
	if _, err := ParseJob(r); err != nil || decodeBody(r, &w) != nil || w.Snapshot == nil {
		return nil, false
	}
	return &snapshot{
		lastApplied: int64(w.Snapshot.Through), lastRecord: r, lastPart: w.Snapshot,
		parts: map[int]*wire.JobsSnapshot{w.Snapshot.Part: w.Snapshot},
	}, true
}

// addParts adds the parts of earlier that s lacks, unless they are of a snapshot that
// was split into another number of parts.
func (s *snapshot) addParts(earlier *snapshot) {
	for n, p := range earlier.parts {
		if _, ok := s.parts[n]; !ok && p.Parts == s.lastPart.Parts {
			s.parts[n] = p
		}
	}
}

func (s *snapshot) complete() bool {
	return s.lastPart == nil || len(s.parts) == max(s.lastPart.Parts, 1)
}

// joinedRecord returns one record with all parts of the snapshot.
func (s *snapshot) joinedRecord() wire.LogRecord {
	if s.lastPart == nil {
		return s.lastRecord
	}
	joined := wire.JobsSnapshot{Through: s.lastPart.Through, Jobs: []wire.JobState{}, Terms: []wire.RegionTerm{}}
	for _, n := range slices.Sorted(maps.Keys(s.parts)) {
		joined.Jobs = append(joined.Jobs, s.parts[n].Jobs...)
		joined.Terms = append(joined.Terms, s.parts[n].Terms...)
	}
	r := s.lastRecord
	r.Body = wire.JobRecord{Kind: wire.JobRecordKindSnapshot, Snapshot: &joined}
	return r
}
