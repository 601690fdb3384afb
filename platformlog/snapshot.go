package platformlog

import (
	"maps"
	"slices"
	"time"

	"celerypoint.example/celerypoint/configfold"
	"celerypoint.example/celerypoint/wire"
)

// MaxRecordsAfterSnapshot is how many records a process folds at most after a snapshot
// when it starts.
const MaxRecordsAfterSnapshot = 4096

// SnapshotInput is what the decision about the next snapshot needs.
type SnapshotInput struct {
	// LastApplied is the newest offset that the process has folded.
	LastApplied int64
	// SnapshotLastApplied is the offset that the newest snapshot record in the stream
	// covers, 0 for none; see SnapshotThrough.
	SnapshotLastApplied int64
	// Oldest and Next are those of the newest page.
	Oldest, Next int64
	// RenewBy is when the newest snapshot is to be replaced at the latest,
	// half of the platform's retention time after it was read. Zero is never.
	RenewBy time.Time
}

// SnapshotDue reports whether a snapshot has to be appended now. A snapshot is
// usable until the record behind the offset that it covers expires. The next
// one is due when SnapshotEvery records follow, when that record has come into
// the older half of what the log retains, or when RenewBy has passed.
func SnapshotDue(v SnapshotInput, now time.Time) bool {
	switch {
	case v.LastApplied == 0:
		return false
	case !v.RenewBy.IsZero() && !now.Before(v.RenewBy):
		return true
	case v.LastApplied-v.SnapshotLastApplied >= MaxRecordsAfterSnapshot:
		return true
	default:
		// Oldest is 1 until the first record expires.
		return v.Oldest > 1 && v.SnapshotLastApplied+1 < v.Oldest+(v.Next-v.Oldest)/2
	}
}

// SnapshotLastApplied returns the offset that a snapshot record of the stream
// covers. Ok is false for other records, also for a snapshot that cannot be
// read and for a part that is not the last.
func SnapshotLastApplied(stream string, r wire.LogRecord) (through int64, ok bool) {
	s, ok := snapshotOf(stream, r)
	if !ok || s.jobs != nil && s.jobs.Part != s.jobs.Parts {
		return 0, false
	}
	return s.through, true
}

// snapshot is a snapshot of which some parts were read.
type snapshot struct {
	through int64
	// newest is the record of the part that was read last.
	newest wire.LogRecord
	// jobs is the part that was read last, nil in the stream config.
	jobs *wire.JobsSnapshot
	// parts are the parts by number. It has one in the stream config.
	parts map[int]*wire.JobsSnapshot
}

func snapshotOf(stream string, r wire.LogRecord) (*snapshot, bool) {
	if body, ok := r.Body.(map[string]any); !ok || body["kind"] != string(wire.ConfigKindSnapshot) {
		return nil, false
	}
	if stream == StreamConfig {
		c, err := ParseConfig(r)
		if err != nil {
			return nil, false
		}
		s, ok := c.Change.(configfold.Snapshot)
		return &snapshot{through: s.State.LastApplied, newest: r}, ok
	}
	var w wire.JobRecord
	if _, err := ParseJob(r); err != nil || decodeBody(r, &w) != nil || w.Snapshot == nil {
		return nil, false
	}
	return &snapshot{
		through: int64(w.Snapshot.Through), newest: r, jobs: w.Snapshot,
		parts: map[int]*wire.JobsSnapshot{w.Snapshot.Part: w.Snapshot},
	}, true
}

// join adds the parts that were read before, unless they are of a snapshot
// that was split differently.
func (s *snapshot) join(seen *snapshot) {
	for n, p := range seen.parts {
		if _, ok := s.parts[n]; !ok && p.Parts == s.jobs.Parts {
			s.parts[n] = p
		}
	}
}

func (s *snapshot) whole() bool {
	return s.jobs == nil || len(s.parts) == max(s.jobs.Parts, 1)
}

// record returns the whole snapshot as one record.
func (s *snapshot) record() wire.LogRecord {
	if s.jobs == nil {
		return s.newest
	}
	joined := wire.JobsSnapshot{Through: s.jobs.Through, Jobs: []wire.JobState{}, Terms: []wire.RegionTerm{}}
	for _, n := range slices.Sorted(maps.Keys(s.parts)) {
		joined.Jobs = append(joined.Jobs, s.parts[n].Jobs...)
		joined.Terms = append(joined.Terms, s.parts[n].Terms...)
	}
	r := s.newest
	r.Body = wire.JobRecord{Kind: wire.JobRecordKindSnapshot, Snapshot: &joined}
	return r
}
