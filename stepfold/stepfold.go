// Package stepfold folds the records of jobs of steps: what was accepted, how
// far it is, what was cancelled, where agents listen and who plans. The newest
// record of each key counts, so that repeating a record changes nothing.
//
// A job's acceptance and its cancellation are written by any entry and never
// change; its progress is written by the planner alone, under its fence. Two
// writers thus never overwrite each other. The package uses no clock; State is
// not safe for concurrent use.
package stepfold

import (
	"strings"
	"time"

	"celerypoint.example/celerypoint/steps"
)

// Phase is where a job is.
type Phase string

// The phases of a job.
const (
	PhaseQueued    Phase = "queued"
	PhaseRunning   Phase = "running"
	PhaseCompleted Phase = "completed"
	PhaseFailed    Phase = "failed"
	PhaseCancelled Phase = "cancelled"
)

// Over reports whether the phase is final.
func (p Phase) Over() bool {
	return p == PhaseCompleted || p == PhaseFailed || p == PhaseCancelled
}

// TaskProgress is what lasts of one task.
type TaskProgress struct {
	// Run is the highest run that was ever ordered; it never falls.
	Run int
	// Done is never taken back.
	Done bool
	// Agent and Worker say where Run may be in progress; they are empty when it
	// is known not to be.
	Agent, Worker string
	// Failures counts the runs that ended as failed.
	Failures   int
	Checkpoint string
}

// Progress is how far a job is.
type Progress struct {
	Phase Phase
	// Begun says that some task was ordered to start.
	Begun bool
	// Tasks has no entry for a task that was never ordered. The job's ID is
	// left out of the keys.
	Tasks map[steps.TaskID]TaskProgress
	// EndedAt is on the planner's time of day; zero before the end.
	EndedAt time.Time
}

// Agent is where an agent listens.
type Agent struct {
	Address, Zone string
}

// Planner is the newest planner.
type Planner struct {
	Entry, BootID, Address string
	Term                   int64
	// Heartbeat rises while the planner is alive.
	Heartbeat int64
	// Resigned says that the planner has stopped planning on its own.
	Resigned bool
}

// Record is sealed: Accepted, Advanced, Cancelled, AgentSeen, PlannerSeen,
// Dropped.
type Record interface{ record() }

// Records.
type (
	// Accepted accepts a job.
	Accepted struct{ Job steps.Job }
	// Progressed is the job's newest progress.
	Progressed struct {
		ID       string
		Progress Progress
	}
	// Cancelled cancels a job unless it is over.
	Cancelled struct{ ID string }
	// AgentRegistered names an agent.
	AgentRegistered struct {
		Name  string
		Agent Agent
	}
	// PlannerUpdated names the planner.
	PlannerUpdated struct{ Planner Planner }
	// Deleted removes what was kept under the key.
	Deleted struct{ Key string }
)

func (Accepted) record()        {}
func (Progressed) record()      {}
func (Cancelled) record()       {}
func (AgentRegistered) record() {}
func (PlannerUpdated) record()  {}
func (Deleted) record()         {}

// Prefixes of the keys, and the key of the planner.
const (
	acceptedPrefix  = "accepted/"
	advancedPrefix  = "advanced/"
	cancelledPrefix = "cancelled/"
	agentPrefix     = "agent/"
	plannerKey      = "planner"
)

// Key is the key of a record.
func Key(r Record) string {
	switch r := r.(type) {
	case Accepted:
		return acceptedPrefix + r.Job.ID
	case Progressed:
		return advancedPrefix + r.ID
	case Cancelled:
		return cancelledPrefix + r.ID
	case AgentRegistered:
		return agentPrefix + r.Name
	case PlannerUpdated:
		return plannerKey
	case Deleted:
		return r.Key
	}
	panic("stepfold: a record of an unknown type")
}

// JobKeys are the keys that a job occupies.
func JobKeys(id string) []string {
	return []string{acceptedPrefix + id, advancedPrefix + id, cancelledPrefix + id}
}

// ParseKey says which record a key holds: one of the empty records, or nil. ID is
// the job's ID or the agent's name.
func ParseKey(key string) (kind Record, id string) {
	prefix, id, found := strings.Cut(key, "/")
	switch {
	case key == plannerKey:
		return PlannerUpdated{}, ""
	case !found:
		return nil, ""
	}
	switch prefix + "/" {
	case acceptedPrefix:
		return Accepted{}, id
	case advancedPrefix:
		return Progressed{}, id
	case cancelledPrefix:
		return Cancelled{}, id
	case agentPrefix:
		return AgentRegistered{}, id
	}
	return nil, ""
}

// JobState is what the records say of one job.
type JobState struct {
	// Job is nil until the acceptance is folded; progress of a job can come
	// first during a recovery.
	Job       *steps.Job
	Progress  Progress
	Cancelled bool
}

// Phase is the job's phase.
func (e JobState) Phase() Phase {
	switch {
	case e.Progress.Phase.Over():
		return e.Progress.Phase
	case e.Cancelled:
		return PhaseCancelled
	case e.Progress.Phase == "":
		return PhaseQueued
	}
	return e.Progress.Phase
}

// State is the fold.
type State struct {
	Jobs    map[string]*JobState
	Agents  map[string]Agent
	Planner Planner
	// offsets holds the offset of each key's newest folded record.
	offsets map[string]int64
	// LastApplied is the offset of the newest folded record, -1 for none.
	LastApplied int64
}

// New returns an empty fold.
func New() *State {
	return &State{Jobs: map[string]*JobState{}, Agents: map[string]Agent{}, offsets: map[string]int64{}, LastApplied: -1}
}

// ApplyOutOfOrder folds a stored record that was told outside the order of offsets. One
// that was read already, or may have been, changes nothing: its key can have
// been dropped since.
func (s *State) ApplyOutOfOrder(offset int64, r Record) bool {
	return offset > s.LastApplied && s.fold(offset, r)
}

// Apply folds one record and reports whether it is news: older records of a
// key change nothing.
func (s *State) Apply(offset int64, r Record) bool {
	s.LastApplied = max(s.LastApplied, offset)
	return s.fold(offset, r)
}

func (s *State) fold(offset int64, r Record) bool {
	key := Key(r)
	if old, found := s.offsets[key]; found && offset <= old {
		return false
	}
	s.offsets[key] = offset
	switch r := r.(type) {
	case Accepted:
		s.entry(r.Job.ID).Job = &r.Job
	case Progressed:
		s.entry(r.ID).Progress = r.Progress
	case Cancelled:
		s.entry(r.ID).Cancelled = true
	case AgentRegistered:
		s.Agents[r.Name] = r.Agent
	case PlannerUpdated:
		s.Planner = r.Planner
	case Deleted:
		s.drop(r.Key)
	}
	return true
}

func (s *State) entry(id string) *JobState {
	e := s.Jobs[id]
	if e == nil {
		e = &JobState{}
		s.Jobs[id] = e
	}
	return e
}

// drop forgets a key. A job is gone once its acceptance is.
func (s *State) drop(key string) {
	delete(s.offsets, key)
	switch kind, id := ParseKey(key); kind.(type) {
	case Accepted, Progressed, Cancelled:
		delete(s.Jobs, id)
	case AgentRegistered:
		delete(s.Agents, id)
	}
}
