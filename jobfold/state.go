package jobfold

import (
	"maps"
	"slices"

	"celerypoint.example/celerypoint/gang"
)

// EndedJobRetention is the minimum number of offsets for which an ended job stays
// in the state, so that its caller can read the outcome. It corresponds to about
// two hours at 14,000 jobs a day with seven records each. It is counted in
// offsets because every process must drop the same jobs, and the state is computed
// without a clock.
const EndedJobRetention = 8192

// ClaimRetention is the minimum number of offsets for which an ended job that
// holds a claim stays in the state, so that a request that repeats the idempotency
// key gets the job's result. At the same rate of records it corresponds to about
// 16 hours.
const ClaimRetention = 65536

// MaxTriedAttempts is the maximum length of JobState.TriedAttempts. A second copy of
// a commit record can only follow the first within the time that one append takes,
// and a job has far fewer attempts in that time.
const MaxTriedAttempts = 16

// sweepInterval is the number of offsets between two searches for ended jobs to
// drop. The searches happen at multiples of it, so every process drops the same
// jobs.
const sweepInterval = 256

// New returns the state before any record is applied.
func New() *State {
	return &State{Jobs: map[string]*JobState{}, Claims: map[Claim]string{}, Terms: map[string]Term{}}
}

// Clone returns a copy of the state. The copy shares only data that is never
// modified in place: the labels and payloads of jobs, and outcomes.
func (s *State) Clone() *State {
	c := &State{
		LastApplied: s.LastApplied,
		Jobs:        make(map[string]*JobState, len(s.Jobs)),
		Claims:      maps.Clone(s.Claims),
		Terms:       maps.Clone(s.Terms),
	}
	for id, e := range s.Jobs {
		copied := *e
		copied.Members = slices.Clone(e.Members)
		copied.TriedAttempts = slices.Clone(e.TriedAttempts)
		c.Jobs[id] = &copied
	}
	return c
}

// Skip advances the state past a record that cannot be decoded. Every process must
// skip the same records.
func (s *State) Skip(offset int64) {
	if offset > s.LastApplied {
		s.advance(offset)
	}
}

// advance sets LastApplied to the offset. When it passes a multiple of
// sweepInterval, it drops the jobs that ended at least EndedJobRetention offsets
// before that multiple. A job with a claim is dropped only after ClaimRetention
// offsets, together with its claim.
func (s *State) advance(offset int64) {
	crossed := s.LastApplied/sweepInterval != offset/sweepInterval
	s.LastApplied = offset
	if !crossed {
		return
	}
	// The retentions are counted back from the multiple that was passed, not from
	// the offset of the record that passed it, because that record can differ
	// between processes. A snapshot that takes effect sets LastApplied below the
	// offset of its own record. A process for which the snapshot is void advances
	// to that offset instead, and so may pass a multiple that the other process
	// passes only with a later record.
	sweepOffset := offset / sweepInterval * sweepInterval
	maps.DeleteFunc(s.Jobs, func(id string, e *JobState) bool {
		if e.Phase != PhaseEnded {
			return false
		}
		c, claimed := claimOf(e.Job)
		if !claimed {
			return e.EndedOffset <= sweepOffset-EndedJobRetention
		}
		if e.EndedOffset > sweepOffset-ClaimRetention {
			return false
		}
		delete(s.Claims, c)
		return true
	})
}

// recordedMembers returns the members with only the fields that a commit record
// contains.
func recordedMembers(members []gang.Member) []gang.Member {
	var kept []gang.Member
	for _, m := range members {
		kept = append(kept, gang.Member{VM: m.VM, Tasks: m.Tasks, FirstRank: m.FirstRank, BootID: m.BootID})
	}
	return kept
}
