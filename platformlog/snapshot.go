package platformlog

import (
	"time"

	"celerypoint.example/celerypoint/configfold"
	"celerypoint.example/celerypoint/jobfold"
	"celerypoint.example/celerypoint/wire"
)

// SnapshotEvery is how many records a process folds at most after a snapshot
// when it starts.
const SnapshotEvery = 4096

// SnapshotView is what the decision about the next snapshot needs.
type SnapshotView struct {
	// Through is the newest offset that the process has folded.
	Through int64
	// Covered is the offset that the newest snapshot record in the stream
	// covers, 0 for none; see SnapshotThrough.
	Covered int64
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
func SnapshotDue(v SnapshotView, now time.Time) bool {
	switch {
	case v.Through == 0:
		return false
	case !v.RenewBy.IsZero() && !now.Before(v.RenewBy):
		return true
	case v.Through-v.Covered >= SnapshotEvery:
		return true
	default:
		// Oldest is 1 until the first record expires.
		return v.Oldest > 1 && v.Covered+1 < v.Oldest+(v.Next-v.Oldest)/2
	}
}

// SnapshotThrough returns the offset that a snapshot record of the stream
// covers. Ok is false for other records, also for a snapshot that cannot be
// read.
func SnapshotThrough(stream string, r wire.LogRecord) (through int64, ok bool) {
	if body, ok := r.Body.(map[string]any); !ok || body["kind"] != string(wire.ConfigKindSnapshot) {
		return 0, false
	}
	if stream == StreamConfig {
		c, err := ParseConfig(r)
		if err != nil {
			return 0, false
		}
		s, ok := c.Change.(configfold.Snapshot)
		return s.State.Offset, ok
	}
	j, err := ParseJob(r)
	if err != nil {
		return 0, false
	}
	s, ok := j.(jobfold.Snapshot)
	if !ok {
		return 0, false
	}
	return s.State.Through, true
}
