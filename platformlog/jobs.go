package platformlog

import (
	"encoding/json"
	"fmt"
	"maps"
	"slices"
	"time"

	"celerypoint.example/celerypoint/codec"
	"celerypoint.example/celerypoint/crashes"
	"celerypoint.example/celerypoint/gang"
	"celerypoint.example/celerypoint/job"
	"celerypoint.example/celerypoint/jobfold"
	"celerypoint.example/celerypoint/wire"
)

// JobBody encodes the body of a record of the jobs stream.
func JobBody(r jobfold.Record) wire.JobRecord {
	switch r := r.(type) {
	case jobfold.Accepted:
		j := codec.EncodeJob(r.Job)
		return wire.JobRecord{Kind: wire.JobRecordKindAccepted, Job: &j, Region: r.Region}
	case jobfold.TermTaken:
		return wire.JobRecord{Kind: wire.JobRecordKindTerm, Region: r.Region, Entry: r.Entry, Term: int(r.BasedOn)}
	case jobfold.Commit:
		return wire.JobRecord{Kind: wire.JobRecordKindCommit, JobID: r.JobID, Attempt: r.Attempt, Term: int(r.Term), Members: encodeMembers(r.Members)}
	case jobfold.Abort:
		return wire.JobRecord{Kind: wire.JobRecordKindAbort, JobID: r.JobID, Attempt: r.Attempt, Term: int(r.Term), Reason: r.Reason, CheckpointMs: int(r.CheckpointMs), Crashed: r.Crashed, RanMs: int(r.Ran.Milliseconds()), UnansweredCrash: r.UnansweredCrash}
	case jobfold.CancelRequested:
		return wire.JobRecord{Kind: wire.JobRecordKindCancel, JobID: r.JobID}
	case jobfold.Ended:
		return wire.JobRecord{Kind: wire.JobRecordKindEnded, JobID: r.JobID, Attempt: r.Attempt, Term: int(r.Term), Outcome: codec.EncodeOutcome(r.Outcome)}
	case jobfold.Snapshot:
		s := EncodeJobsSnapshot(r.State)
		return wire.JobRecord{Kind: wire.JobRecordKindSnapshot, Snapshot: &s}
	default:
		return wire.JobRecord{}
	}
}

// ParseJob decodes and validates a record of the jobs stream. Every process must skip a
// record for which it returns an error. The error names the stream, the offset, the
// field, the value found and the values allowed.
func ParseJob(r wire.LogRecord) (jobfold.Record, error) {
	var w wire.JobRecord
	err := decodeBody(r, &w)
	var j jobfold.Record
	if err == nil {
		j, err = decodeJobRecord(w)
	}
	if err != nil {
		return nil, recordError(StreamJobs, r, err)
	}
	return j, nil
}

func decodeJobRecord(w wire.JobRecord) (jobfold.Record, error) {
	if w.Term < 0 || w.CheckpointMs < 0 {
		return nil, fmt.Errorf("term and checkpointMs: found %d and %d, allowed: at least 0", w.Term, w.CheckpointMs)
	}
	switch w.Kind {
	case wire.JobRecordKindAccepted:
		if w.Job == nil || w.Region == "" {
			return nil, fmt.Errorf("job and region: found one of them empty, allowed: a job and a region")
		}
		j, err := codec.DecodeJob(*w.Job)
		if err != nil {
			return nil, fmt.Errorf("job.%w", err)
		}
		return jobfold.Accepted{Job: j, Region: w.Region}, nil
	case wire.JobRecordKindTerm:
		if w.Region == "" || w.Entry == "" {
			return nil, fmt.Errorf("region and entry: found one of them empty, allowed: a region and an entry")
		}
		return jobfold.TermTaken{Region: w.Region, Entry: w.Entry, BasedOn: int64(w.Term)}, nil
	case wire.JobRecordKindSnapshot:
		if w.Snapshot == nil {
			return nil, fmt.Errorf("snapshot: found none, allowed: a snapshot")
		}
		s, err := DecodeJobsSnapshot(*w.Snapshot)
		if err != nil {
			return nil, err
		}
		return jobfold.Snapshot{State: s, Partial: w.Snapshot.Parts > 1}, nil
	}
	if w.JobID == "" {
		return nil, fmt.Errorf("jobId: found none, allowed: a job identifier")
	}
	switch w.Kind {
	case wire.JobRecordKindCommit:
		if w.Attempt == "" {
			return nil, fmt.Errorf("attempt: found none, allowed: an attempt identifier")
		}
		members, err := decodeMembers(w.Members)
		return jobfold.Commit{JobID: w.JobID, Attempt: w.Attempt, Term: int64(w.Term), Members: members}, err
	case wire.JobRecordKindAbort:
		if w.RanMs < 0 {
			return nil, fmt.Errorf("ranMs: found %d, allowed: at least 0", w.RanMs)
		}
		return jobfold.Abort{JobID: w.JobID, Attempt: w.Attempt, Reason: w.Reason, Term: int64(w.Term), CheckpointMs: int64(w.CheckpointMs), Crashed: w.Crashed, Ran: time.Duration(w.RanMs) * time.Millisecond, UnansweredCrash: w.UnansweredCrash}, nil
	case wire.JobRecordKindCancel:
		return jobfold.CancelRequested{JobID: w.JobID}, nil
	case wire.JobRecordKindEnded:
		o, err := codec.DecodeOutcome(w.Outcome)
		if err == nil && o == nil {
			err = fmt.Errorf("outcome: found none, allowed: an outcome")
		}
		return jobfold.Ended{JobID: w.JobID, Attempt: w.Attempt, Term: int64(w.Term), Outcome: o}, err
	default:
		return nil, fmt.Errorf("kind: found %q, allowed: accepted, term, commit, abort, cancel, ended, snapshot", w.Kind)
	}
}

func encodeMembers(members []gang.Member) []wire.Member {
	var w []wire.Member
	for _, m := range members {
		w = append(w, wire.Member{VM: m.VM, Tasks: m.Tasks, FirstRank: m.FirstRank, BootID: m.BootID})
	}
	return w
}

func decodeMembers(w []wire.Member) ([]gang.Member, error) {
	var members []gang.Member
	for i, m := range w {
		if m.VM == "" || m.Tasks < 1 || m.Tasks > job.MaxTasks || m.FirstRank < 0 {
			return nil, fmt.Errorf("members[%d]: found vm=%q tasks=%d firstRank=%d, allowed: a VM, 1 to %d tasks, a first rank of at least 0", i, m.VM, m.Tasks, m.FirstRank, job.MaxTasks)
		}
		members = append(members, gang.Member{VM: m.VM, Tasks: m.Tasks, FirstRank: m.FirstRank, BootID: m.BootID})
	}
	return members, nil
}

// wirePhases maps the phases of package jobfold to the phases in a snapshot.
var wirePhases = map[jobfold.Phase]wire.JobPhase{
	jobfold.PhaseWaiting:   wire.JobPhaseWaiting,
	jobfold.PhaseCommitted: wire.JobPhaseRunning,
	jobfold.PhaseEnded:     wire.JobPhaseEnded,
}

// EncodeJobsSnapshot encodes the whole state of the jobs. It leaves out the claims,
// which DecodeJobsSnapshot derives from the jobs.
func EncodeJobsSnapshot(s *jobfold.State) wire.JobsSnapshot {
	w := wire.JobsSnapshot{Through: int(s.LastApplied), Jobs: []wire.JobState{}, Terms: []wire.RegionTerm{}}
	for _, id := range slices.Sorted(maps.Keys(s.Jobs)) {
		e := s.Jobs[id]
		w.Jobs = append(w.Jobs, wire.JobState{
			Job: codec.EncodeJob(e.Job), Region: e.Region, Phase: wirePhases[e.Phase],
			Attempt: e.Attempt, Tried: e.TriedAttempts, CommitOffset: int(e.CommitOffset),
			Members: encodeMembers(e.Members), CheckpointMs: int(e.CheckpointMs),
			Tries: e.CommitCount, Outcome: codec.EncodeOutcome(e.Outcome),
			EndedAtOffset: int(e.EndedOffset), Cancelled: e.CancelRequested,
			Crashes: countedRuns(e.Crashes), CrashesCleared: e.Crashes.ClearedThrough, LongestLostMs: int(e.LongestLost.Milliseconds()), UnansweredCrashes: e.UnansweredCrashes,
		})
	}
	for _, region := range slices.Sorted(maps.Keys(s.Terms)) {
		t := s.Terms[region]
		w.Terms = append(w.Terms, wire.RegionTerm{Region: region, Term: int(t.Number), Entry: t.Entry})
	}
	return w
}

// countedRuns lists the runs that count in the record.
func countedRuns(r crashes.Record) []int {
	if n := r.Count(); n > 0 {
		return r.Runs[:n]
	}
	return nil
}

// maxPartBytes is the maximum size of the jobs in one record of a snapshot as JSON. It
// leaves room below MaxBatchBytes for the rest of the record. A snapshot of the size
// that the system is designed for, with thousands of jobs and their payloads, does not
// fit into one append.
const maxPartBytes = 4 << 20

// JobsSnapshotRecords encodes the whole state as one or more records, each small enough
// for one append. The caller appends them in order, each one after the append of the
// previous one has succeeded. Client.Tail joins them again. Equal states give equal
// bodies, so parts that two processes append for the same state are interchangeable.
func JobsSnapshotRecords(id string, s *jobfold.State) ([]Record, error) {
	return splitSnapshot(id, EncodeJobsSnapshot(s), maxPartBytes)
}

func splitSnapshot(id string, whole wire.JobsSnapshot, limit int) ([]Record, error) {
	parts := []*wire.JobsSnapshot{{Through: whole.Through, Jobs: []wire.JobState{}, Terms: whole.Terms}}
	size := 0
	for _, j := range whole.Jobs {
		text, err := json.Marshal(j)
		if err != nil {
			return nil, fmt.Errorf("snapshot.jobs: %q: %w", j.Job.ID, err)
		}
		if size += len(text); size > limit {
			size = len(text)
			parts = append(parts, &wire.JobsSnapshot{Through: whole.Through, Jobs: []wire.JobState{}, Terms: []wire.RegionTerm{}})
		}
		last := parts[len(parts)-1]
		last.Jobs = append(last.Jobs, j)
	}
	var records []Record
	for i, p := range parts {
		p.Part, p.Parts = i+1, len(parts)
		records = append(records, Record{ID: fmt.Sprintf("%s/%d", id, i+1), Body: wire.JobRecord{Kind: wire.JobRecordKindSnapshot, Snapshot: p}})
	}
	return records, nil
}

// DecodeJobsSnapshot decodes and validates the state of the jobs, or the part of it
// that one record of a snapshot contains.
func DecodeJobsSnapshot(w wire.JobsSnapshot) (*jobfold.State, error) {
	s := jobfold.New()
	if w.Through < 1 {
		return nil, fmt.Errorf("snapshot.through: found %d, allowed: at least 1", w.Through)
	}
	if w.Parts < 0 || w.Part < min(w.Parts, 1) || w.Part > w.Parts {
		return nil, fmt.Errorf("snapshot.part: found %d of %d, allowed: 1 to the number of parts, or both 0", w.Part, w.Parts)
	}
	s.LastApplied = int64(w.Through)
	for _, t := range w.Terms {
		if t.Region == "" || t.Term < 1 || t.Term > w.Through {
			return nil, fmt.Errorf("snapshot.terms: found region %q with term %d, allowed: a region, 1 to %d", t.Region, t.Term, w.Through)
		}
		s.Terms[t.Region] = jobfold.Term{Number: int64(t.Term), Entry: t.Entry}
	}
	for _, j := range w.Jobs {
		jobState, err := decodeJobState(j, w.Through)
		if err != nil {
			return nil, fmt.Errorf("snapshot.jobs: %q: %w", j.Job.ID, err)
		}
		if _, duplicate := s.Jobs[jobState.Job.ID]; duplicate {
			return nil, fmt.Errorf("snapshot.jobs: found %q twice, allowed: each job once", jobState.Job.ID)
		}
		s.Jobs[jobState.Job.ID] = jobState
		if jobState.Job.Idempotent {
			continue
		}
		c := jobfold.Claim{Org: jobState.Job.Org, Key: jobState.Job.IdempotencyKey}
		if other, duplicate := s.Claims[c]; duplicate {
			return nil, fmt.Errorf("snapshot.jobs: found %q and %q with the same idempotency key, allowed: one job for each key", other, jobState.Job.ID)
		}
		s.Claims[c] = jobState.Job.ID
	}
	return s, nil
}

func decodeJobState(w wire.JobState, snapshotLastApplied int) (*jobfold.JobState, error) {
	j, err := codec.DecodeJob(w.Job)
	if err != nil {
		return nil, err
	}
	o, err := codec.DecodeOutcome(w.Outcome)
	if err != nil {
		return nil, err
	}
	members, err := decodeMembers(w.Members)
	if err != nil {
		return nil, err
	}
	e := &jobfold.JobState{
		Job: j, Region: w.Region, Attempt: w.Attempt, TriedAttempts: w.Tried,
		CommitOffset: int64(w.CommitOffset), Members: members, CheckpointMs: int64(w.CheckpointMs),
		CommitCount: w.Tries, CancelRequested: w.Cancelled, Outcome: o, EndedOffset: int64(w.EndedAtOffset),
		Crashes: crashes.Record{}.Clear(w.CrashesCleared), LongestLost: time.Duration(w.LongestLostMs) * time.Millisecond, UnansweredCrashes: max(0, w.UnansweredCrashes),
	}
	for _, attempt := range w.Crashes {
		if attempt < 1 || attempt > w.Tries {
			return nil, fmt.Errorf("crashes: found attempt %d, allowed: 1 to %d", attempt, w.Tries)
		}
		e.Crashes = e.Crashes.Add(attempt)
	}
	for p, name := range wirePhases {
		if name == w.Phase {
			e.Phase = p
		}
	}
	ended := e.Phase == jobfold.PhaseEnded
	switch {
	case e.Phase == "":
		return nil, fmt.Errorf("phase: found %q, allowed: waiting, running, ended", w.Phase)
	case ended != (o != nil) || ended != (w.EndedAtOffset > 0):
		return nil, fmt.Errorf("outcome and endedAtOffset: found values that do not match phase %s, allowed: both in phase ended, neither in other phases", w.Phase)
	case (w.Tries > 0) != (w.Attempt != "") || (w.Tries > 0) != (w.CommitOffset > 0):
		return nil, fmt.Errorf("tries: found %d with attempt %q and commitOffset %d, allowed: all of them or none", w.Tries, w.Attempt, w.CommitOffset)
	case e.Phase == jobfold.PhaseCommitted && w.Tries == 0 || len(w.Tried) > jobfold.MaxTriedAttempts || !j.Idempotent && w.Tries > 1:
		return nil, fmt.Errorf("tries: found %d, and %d attempts in tried, allowed: at least 1 in phase running, at most 1 when not idempotent, and at most %d attempts in tried", w.Tries, len(w.Tried), jobfold.MaxTriedAttempts)
	case max(w.CommitOffset, w.EndedAtOffset) > snapshotLastApplied:
		return nil, fmt.Errorf("commitOffset and endedAtOffset: found %d and %d, allowed: at most %d", w.CommitOffset, w.EndedAtOffset, snapshotLastApplied)
	}
	return e, nil
}
