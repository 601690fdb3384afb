package jobfold

import (
	"fmt"
	"slices"

	"celerypoint.example/celerypoint/job"
)

// Apply folds one record. Offsets must rise; a gap between them holds records
// that cannot be read, which Skip passes over.
//
// A snapshot takes effect only in a state that it covers more than, and sets
// Through to the offset that it covers, which is less than its own. The
// records in between have to be folded after it; platformlog.Client.Tail
// delivers them in that order.
func (s *State) Apply(offset int64, r Record) Result {
	if offset <= s.LastApplied {
		return Stale{}
	}
	if c, ok := r.(Snapshot); ok && !c.Partial && c.State.LastApplied > s.LastApplied {
		*s = *c.State.Clone()
		return Valid{}
	}
	s.moveTo(offset)
	switch r := r.(type) {
	case Accepted:
		return s.accept(r)
	case TermTaken:
		return s.takeTerm(offset, r)
	case Commit:
		return s.commit(offset, r)
	case Abort:
		return s.abort(r)
	case CancelRequested:
		return s.cancel(r)
	case Ended:
		return s.end(offset, r)
	case Snapshot:
		return Void{Reason: "the snapshot is partial, or the state covers as much"}
	default:
		return Void{Reason: fmt.Sprintf("found a record of type %T, which the fold does not know", r)}
	}
}

// claimOf returns the claim of a job that is not idempotent.
func claimOf(j job.Job) (Claim, bool) {
	return Claim{Org: j.Org, Key: j.IdempotencyKey}, !j.Idempotent
}

func (s *State) accept(r Accepted) Result {
	if _, ok := s.Jobs[r.Job.ID]; ok {
		return Void{Reason: "the job was accepted before", ClaimHolder: r.Job.ID}
	}
	if c, ok := claimOf(r.Job); ok {
		if winner, taken := s.Claims[c]; taken {
			return Void{Reason: "the idempotency key is claimed by another job", ClaimHolder: winner}
		}
		s.Claims[c] = r.Job.ID
	}
	s.Jobs[r.Job.ID] = &JobState{Job: r.Job, Region: r.Region, Phase: PhaseWaiting}
	return Valid{}
}

func (s *State) takeTerm(offset int64, r TermTaken) Result {
	if n := s.Terms[r.Region].Number; n != r.BasedOn {
		return Void{Reason: fmt.Sprintf("term: found basedOn %d, the region's newest term is %d", r.BasedOn, n)}
	}
	s.Terms[r.Region] = Term{Number: offset, Entry: r.Entry}
	return Valid{}
}

func (s *State) commit(offset int64, r Commit) Result {
	e, void := s.open(r.JobID)
	if e == nil {
		return void
	}
	if reason := s.refusal(e, r); reason != "" {
		// A second copy of the record must not find the job waiting again.
		e.try(r.Attempt)
		return Void{Reason: reason}
	}
	e.try(e.Attempt)
	e.Phase, e.Attempt, e.CommitOffset, e.Members = PhaseCommitted, r.Attempt, offset, parts(r.Members)
	e.CommitCount++
	return Valid{}
}

// refusal says why the commit is void, or is empty.
func (s *State) refusal(e *JobState, r Commit) string {
	switch newest := s.Terms[e.Region].Number; {
	case newest == 0 || r.Term != newest:
		return fmt.Sprintf("commit: found term %d, the region's newest term is %d", r.Term, newest)
	case e.Phase != PhaseWaiting:
		return "the job has a committed attempt"
	case e.CancelRequested:
		return "the job was cancelled"
	case !e.Job.Idempotent && e.CommitCount > 0:
		return "the job is not idempotent and was committed before"
	case r.Attempt == "" || r.Attempt == e.Attempt || slices.Contains(e.TriedAttempts, r.Attempt):
		return "the attempt is empty or had a commit before"
	default:
		return ""
	}
}

// try notes the attempt in Tried, unless it is noted already.
func (e *JobState) try(attempt string) {
	if attempt == "" || slices.Contains(e.TriedAttempts, attempt) {
		return
	}
	e.TriedAttempts = append(e.TriedAttempts, attempt)
	e.TriedAttempts = e.TriedAttempts[max(0, len(e.TriedAttempts)-MaxTriedAttempts):]
}

func (s *State) abort(r Abort) Result {
	e, void := s.open(r.JobID)
	if e == nil {
		return void
	}
	// A paused planner believes that its leases expired. Its abort must not
	// set a job waiting whose attempt the next planner keeps running.
	if newest := s.Terms[e.Region].Number; r.Term != newest {
		return Void{Reason: fmt.Sprintf("abort: found term %d, the region's newest term is %d", r.Term, newest)}
	}
	if e.Phase != PhaseCommitted || r.Attempt != e.Attempt {
		return Void{Reason: "the attempt is not the job's committed one"}
	}
	e.Phase = PhaseWaiting
	e.CheckpointMs = max(e.CheckpointMs, r.CheckpointMs)
	return Valid{}
}

func (s *State) cancel(r CancelRequested) Result {
	e, void := s.open(r.JobID)
	if e == nil {
		return void
	}
	if e.CancelRequested {
		return Void{Reason: "the job was cancelled before"}
	}
	e.CancelRequested = true
	return Valid{}
}

func (s *State) end(offset int64, r Ended) Result {
	e, void := s.open(r.JobID)
	if e == nil {
		return void
	}
	// Attempt is empty exactly when the job was never committed.
	if r.Attempt != e.Attempt {
		return Void{Reason: fmt.Sprintf("ended: found attempt %q, the job's newest attempt is %q", r.Attempt, e.Attempt)}
	}
	if r.Outcome == nil {
		return Void{Reason: "ended: found no outcome"}
	}
	e.Phase, e.Outcome, e.EndedOffset = PhaseEnded, r.Outcome, offset
	// Nothing starts the job again, and a payload is the largest part of it.
	e.Job.Payload = nil
	return Valid{}
}

// open returns the entry of a job that has not ended, or nil and why not.
func (s *State) open(id string) (*JobState, Void) {
	e, ok := s.Jobs[id]
	if !ok {
		return nil, Void{Reason: "the job is not known"}
	}
	if e.Phase == PhaseEnded {
		return nil, Void{Reason: "the job has ended"}
	}
	return e, Void{}
}
