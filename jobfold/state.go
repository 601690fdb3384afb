package jobfold

import (
	"maps"
	"slices"

	"celerypoint.example/celerypoint/gang"
)

// EndedJobRetention is the least number of offsets that an ended job stays, so that its
// caller finds the outcome: about two hours at 14,000 jobs a day with seven
// records each. It is counted in offsets, because the fold has no clock and
// every process has to drop the same jobs.
const EndedJobRetention = 8192

// ClaimRetention is the same for an ended job that holds a claim, so that a
// repeated key finds its result: about 16 hours.
const ClaimRetention = 65536

// MaxTriedAttempts bounds Entry.Tried. A repeated commit record comes within the time
// of one append, in which a job has far fewer attempts.
const MaxTriedAttempts = 16

// sweepEvery is how many offsets pass between two searches for ended jobs to
// drop. The points depend on offsets only, so every process drops alike.
const sweepEvery = 256

// New returns the state before the first record.
func New() *State {
	return &State{Jobs: map[string]*JobState{}, Claims: map[Claim]string{}, Terms: map[string]Term{}}
}

// Clone returns a copy that shares only what the fold never changes: labels
// and payloads of jobs, and outcomes.
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

// Skip passes over a record that cannot be read, as every process does.
func (s *State) Skip(offset int64) {
	if offset > s.LastApplied {
		s.moveTo(offset)
	}
}

// moveTo advances the state and drops what has been ended for long enough.
func (s *State) moveTo(offset int64) {
	sweep := s.LastApplied/sweepEvery != offset/sweepEvery
	s.LastApplied = offset
	if !sweep {
		return
	}
	// The bounds depend on the point, not on the record that passed it: a
	// process that starts from a snapshot may pass it with another record.
	point := offset / sweepEvery * sweepEvery
	maps.DeleteFunc(s.Jobs, func(id string, e *JobState) bool {
		if e.Phase != PhaseEnded {
			return false
		}
		c, claimed := claimOf(e.Job)
		if !claimed {
			return e.EndedOffset <= point-EndedJobRetention
		}
		if e.EndedOffset > point-ClaimRetention {
			return false
		}
		delete(s.Claims, c)
		return true
	})
}

// parts keeps of the members what a commit record says of them.
func parts(members []gang.Member) []gang.Member {
	var kept []gang.Member
	for _, m := range members {
		kept = append(kept, gang.Member{VM: m.VM, Tasks: m.Tasks, FirstRank: m.FirstRank, BootID: m.BootID})
	}
	return kept
}
