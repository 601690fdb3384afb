// Package stepfold builds the state of jobs that consist of steps from the
// records in the store: accepted jobs, their progress, cancellations, the
// addresses of agents, and the current planner. Only the newest record of each
// key counts, so applying a record twice changes nothing.
//
// Any entry may write the record of a job's acceptance and that of its
// cancellation, and neither ever changes. Only the planner writes a job's
// progress, under a fencing token. Two writers therefore never overwrite each
// other's data. The package uses no clock and takes no lock. State is not safe
// for concurrent use.
package stepfold

import (
	"strings"
	"time"

	"celerypoint.example/celerypoint/crashes"
	"celerypoint.example/celerypoint/steps"
)

// Phase is a job's position in its life cycle.
type Phase string

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

// TaskProgress is the stored progress of one task.
type TaskProgress struct {
	// Run is the number of the newest run that was ordered. It never decreases.
	Run int
	// Done is true once a run has succeeded. It is never reset.
	Done bool
	// Agent and Worker name the agent and the worker incarnation where Run may
	// be in progress. An incarnation of a worker lasts from one start of its
	// process to the next. Both are empty when Run is known not to be in
	// progress.
	Agent, Worker string
	// Failures is the number of runs that ended in failure, without Run while it may be
	// in progress. A failure of a gang counts once for each run number and for all
	// members, for a member in progress once its own run has ended. So a member in
	// progress has fewer failures than one that has ended if and only if the failure of
	// their run is counted. A record that names the failed run would be rejected by
	// programs that do not know such a field, see wire.Decode.
	// Checkpoint is the task's newest known checkpoint. Both are dropped when Done
	// becomes true.
	Failures   int
	Checkpoint string
	// Crashes holds the runs that were lost in crashes of their workers. It is dropped
	// when Done becomes true.
	Crashes crashes.Record
}

// OccurrenceRange is a number of consecutive occurrences, at least one.
type OccurrenceRange struct{ First, Count int }

// Progress is the stored progress of a job.
type Progress struct {
	Phase Phase
	// Begun is true once a worker has started a task of the job. In records of programs
	// that set it with the first start order it may also be true without that.
	Begun bool
	// Tasks has no element for a task that has never been ordered to start, nor for those
	// of DoneOccurrences. The job's ID is left empty in the keys.
	Tasks map[steps.TaskID]TaskProgress
	// DoneOccurrences holds, in increasing order and without overlap, the occurrences
	// of a scheduled job whose tasks have all succeeded. It is empty once the job is over.
	DoneOccurrences []OccurrenceRange
	// EndedAt is the wall-clock time, taken on the planner, at which the job
	// ended. It is zero before that.
	EndedAt time.Time
}

// Agent is the address and the availability zone of an agent.
type Agent struct {
	Address, Zone string
}

// Planner is the entry process that holds or has resigned the newest term. A term
// is the time during which one process is the planner. Entry is the name of the
// entry, and BootID identifies its process.
type Planner struct {
	Entry, BootID, Address string
	Term                   int64
	// Heartbeat is a counter that the planner increases regularly while it is
	// alive.
	Heartbeat int64
	// Resigned is true when the planner has given up the term of its own accord.
	Resigned bool
}

// Record is a sealed interface. Its implementations are Accepted, Progressed,
// Cancelled, AgentRegistered, PlannerUpdated and Deleted.
type Record interface{ record() }

// A record replaces the earlier record with the same key; see Key.
type (
	// Accepted states that an entry has accepted a job.
	Accepted struct{ Job steps.Job }
	// Progressed holds the newest progress of a job.
	Progressed struct {
		ID       string
		Progress Progress
	}
	// Cancelled cancels a job. It has no effect on a job for which a final phase
	// is stored, be it before or after the cancellation.
	Cancelled struct{ ID string }
	// AgentRegistered states where the agent with the name listens.
	AgentRegistered struct {
		Name  string
		Agent Agent
	}
	// PlannerUpdated is written by a planner to claim a term, as a heartbeat,
	// and to resign.
	PlannerUpdated struct{ Planner Planner }
	// Deleted is a tombstone: it deletes the record of the key.
	Deleted struct{ Key string }
)

func (Accepted) record()        {}
func (Progressed) record()      {}
func (Cancelled) record()       {}
func (AgentRegistered) record() {}
func (PlannerUpdated) record()  {}
func (Deleted) record()         {}

// Prefixes of the records' keys, and the key of PlannerUpdated.
const (
	acceptedPrefix  = "accepted/"
	progressPrefix  = "advanced/"
	cancelledPrefix = "cancelled/"
	agentPrefix     = "agent/"
	plannerKey      = "planner"
)

// Key returns the key under which a record is stored.
func Key(r Record) string {
	switch r := r.(type) {
	case Accepted:
		return acceptedPrefix + r.Job.ID
	case Progressed:
		return progressPrefix + r.ID
	case Cancelled:
		return cancelledPrefix + r.ID
	case AgentRegistered:
		return agentPrefix + r.Name
	case PlannerUpdated:
		return plannerKey
	case Deleted:
		return r.Key
	}
	panic("stepfold: unknown record type")
}

// JobKeys returns the keys of all records of a job.
func JobKeys(id string) []string {
	return []string{acceptedPrefix + id, progressPrefix + id, cancelledPrefix + id}
}

// ParseKey returns the zero value of the type of record that is stored under a
// key, and the job's ID or the agent's name that the key contains. zero is nil for
// an unknown key.
func ParseKey(key string) (zero Record, id string) {
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
	case progressPrefix:
		return Progressed{}, id
	case cancelledPrefix:
		return Cancelled{}, id
	case agentPrefix:
		return AgentRegistered{}, id
	}
	return nil, ""
}

// JobState is the state of one job according to its records.
type JobState struct {
	// Job is nil until the job's acceptance has been applied. Other records of
	// the job can be applied earlier: records of different keys may be read in
	// another order than they were stored, and another entry may send a
	// cancellation ahead of the acceptance.
	Job       *steps.Job
	Progress  Progress
	Cancelled bool
}

// Phase returns the job's phase. A phase that the planner stored as final takes
// precedence over a cancellation.
func (j JobState) Phase() Phase {
	switch {
	case j.Progress.Phase.Over():
		return j.Progress.Phase
	case j.Cancelled:
		return PhaseCancelled
	case j.Progress.Phase == "":
		return PhaseQueued
	}
	return j.Progress.Phase
}

// State is the state built from all records applied so far. Jobs is indexed by
// the job's ID and Agents by the agent's name. Planner is zero before the first
// claim of a term.
type State struct {
	Jobs    map[string]*JobState
	Agents  map[string]Agent
	Planner Planner
	// offsets holds the offset of the newest applied record of each key.
	offsets map[string]int64
	// LastApplied is the highest offset up to which all records have been applied, or
	// are superseded by applied ones, or -1. Apply and FinishLoad raise it;
	// ApplyOutOfOrder and ApplyNewest do not.
	LastApplied int64
}

// New returns a state without any records.
func New() *State {
	return &State{Jobs: map[string]*JobState{}, Agents: map[string]Agent{}, offsets: map[string]int64{}, LastApplied: -1}
}

// ApplyOutOfOrder applies a stored record that arrived ahead of the records with
// lower offsets. It reports false for a record that it ignores: one that is not
// newer than the last one applied for the same key, or whose offset is at most
// LastApplied. The latter may already have been applied and its key deleted since.
func (s *State) ApplyOutOfOrder(offset int64, r Record) bool {
	return offset > s.LastApplied && s.applyIfNewer(offset, r)
}

// ApplyNewest applies the newest record of a key during a load of all keys. Records
// of other keys with lower offsets may still be missing. It reports false for a record
// that it ignores, because it is not newer than the last one applied for the same key.
func (s *State) ApplyNewest(offset int64, r Record) bool { return s.applyIfNewer(offset, r) }

// FinishLoad ends a load of all keys. keys holds the keys that were loaded, and end is
// the offset that the next record would have had when the load began. A key that was
// not loaded, and whose newest applied record is older than that, has been deleted
// while this process did not read.
func (s *State) FinishLoad(keys map[string]bool, end int64) {
	for key, offset := range s.offsets {
		if offset < end && !keys[key] {
			s.deleteKey(key)
		}
	}
	s.LastApplied = max(s.LastApplied, end-1)
}

// Apply applies one record, which follows all records up to LastApplied or repeats one
// of them. It reports false for a record that it ignores, because it is not newer than
// the last one applied for the same key.
func (s *State) Apply(offset int64, r Record) bool {
	s.LastApplied = max(s.LastApplied, offset)
	return s.applyIfNewer(offset, r)
}

func (s *State) applyIfNewer(offset int64, r Record) bool {
	key := Key(r)
	if old, found := s.offsets[key]; found && offset <= old {
		return false
	}
	s.offsets[key] = offset
	switch r := r.(type) {
	case Accepted:
		s.job(r.Job.ID).Job = &r.Job
	case Progressed:
		s.job(r.ID).Progress = r.Progress
	case Cancelled:
		s.job(r.ID).Cancelled = true
	case AgentRegistered:
		s.Agents[r.Name] = r.Agent
	case PlannerUpdated:
		s.Planner = r.Planner
	case Deleted:
		s.deleteKey(r.Key)
	}
	return true
}

func (s *State) job(id string) *JobState {
	j := s.Jobs[id]
	if j == nil {
		j = &JobState{}
		s.Jobs[id] = j
	}
	return j
}

// deleteKey removes a key and forgets its newest offset. Deleting any one of a
// job's keys removes the whole job from Jobs.
func (s *State) deleteKey(key string) {
	delete(s.offsets, key)
	switch zero, id := ParseKey(key); zero.(type) {
	case Accepted, Progressed, Cancelled:
		delete(s.Jobs, id)
	case AgentRegistered:
		delete(s.Agents, id)
	}
}
