package jobfold

import (
	"fmt"
	"slices"

	"celerypoint.example/celerypoint/crashes"
	"celerypoint.example/celerypoint/job"
)

// Apply applies the record at an offset. Offsets must increase. A gap between
// them may only hold records that cannot be decoded; Skip advances the state past
// such a record.
//
// A snapshot takes effect only if its state includes records that s does not. It
// replaces the whole state, so LastApplied becomes that of the snapshot, which is
// lower than the offset of the snapshot record itself. The records between the
// two offsets must be applied after the snapshot; platformlog.Client.Tail
// delivers them in that order.
func (s *State) Apply(offset int64, r Record) Result {
	if offset <= s.LastApplied {
		return Stale{}
	}
	if c, ok := r.(Snapshot); ok && !c.Partial && c.State.LastApplied > s.LastApplied {
		*s = *c.State.Clone()
		return Valid{}
	}
	s.advance(offset)
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
		return Void{Reason: "the snapshot is one part of several, or holds no record that the state lacks"}
	default:
		return Void{Reason: fmt.Sprintf("unknown record type %T", r)}
	}
}

// claimOf returns the claim of a job to its idempotency key. It reports false for
// an idempotent job, which has no claim.
func claimOf(j job.Job) (Claim, bool) {
	return Claim{Org: j.Org, Key: j.IdempotencyKey}, !j.Idempotent
}

func (s *State) accept(r Accepted) Result {
	if _, ok := s.Jobs[r.Job.ID]; ok {
		return Void{Reason: "the job was already accepted", ClaimHolder: r.Job.ID}
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
	e, void := s.activeJob(r.JobID)
	if e == nil {
		return void
	}
	if reason := s.commitVoidReason(e, r); reason != "" {
		// The attempt is remembered so that a second copy of this record stays
		// void, even if the job is waiting again by then.
		e.addTried(r.Attempt)
		return Void{Reason: reason}
	}
	e.addTried(e.Attempt)
	e.Phase, e.Attempt, e.CommitOffset, e.Members = PhaseCommitted, r.Attempt, offset, recordedMembers(r.Members)
	e.CommitCount++
	return Valid{}
}

// commitVoidReason returns why the commit is void, or an empty string if it is valid.
func (s *State) commitVoidReason(e *JobState, r Commit) string {
	switch newest := s.Terms[e.Region].Number; {
	case newest == 0 || r.Term != newest:
		return fmt.Sprintf("commit: found term %d, the region's newest term is %d", r.Term, newest)
	case e.Phase != PhaseWaiting:
		return "the job already has a committed attempt"
	case e.CancelRequested:
		return "the job was cancelled"
	case !e.Job.Idempotent && e.CommitCount > 0:
		return "the job is not idempotent and was already committed once"
	case r.Attempt == "" || r.Attempt == e.Attempt || slices.Contains(e.TriedAttempts, r.Attempt):
		return "the attempt ID is empty, or the attempt already had a commit record"
	default:
		return ""
	}
}

// addTried adds the attempt to TriedAttempts unless it is empty or already there.
// The oldest attempts are dropped beyond MaxTriedAttempts.
func (e *JobState) addTried(attempt string) {
	if attempt == "" || slices.Contains(e.TriedAttempts, attempt) {
		return
	}
	e.TriedAttempts = append(e.TriedAttempts, attempt)
	e.TriedAttempts = e.TriedAttempts[max(0, len(e.TriedAttempts)-MaxTriedAttempts):]
}

func (s *State) abort(r Abort) Result {
	e, void := s.activeJob(r.JobID)
	if e == nil {
		return void
	}
	// A planner process that was paused sees the leases of its attempts as
	// expired when it continues, and aborts the attempts. Such an abort must not
	// return a job to the waiting phase while the next planner keeps the attempt
	// running.
	if newest := s.Terms[e.Region].Number; r.Term != newest {
		return Void{Reason: fmt.Sprintf("abort: found term %d, the region's newest term is %d", r.Term, newest)}
	}
	if e.Phase != PhaseCommitted || r.Attempt != e.Attempt {
		return Void{Reason: "the attempt is not the committed attempt of the job"}
	}
	e.Phase = PhaseWaiting
	e.CheckpointMs = max(e.CheckpointMs, r.CheckpointMs)
	e.Crashes, e.UnansweredCrashes = e.crashesAfter(r)
	if r.Crashed {
		e.LongestLost = max(e.LongestLost, r.Ran)
	}
	return Valid{}
}

// crashesAfter returns the crashes if the newest committed attempt ends with the abort.
func (e *JobState) crashesAfter(r Abort) (counted crashes.Record, unanswered int) {
	switch {
	case r.Crashed && crashes.Outlives(r.Ran, e.LongestLost):
		return e.Crashes.Clear(e.CommitCount - 1).Add(e.CommitCount), 0
	case r.Crashed:
		return e.Crashes.Add(e.CommitCount), e.UnansweredCrashes
	case r.UnansweredCrash:
		return e.Crashes, e.UnansweredCrashes + 1
	}
	return e.Crashes, e.UnansweredCrashes
}

// BlamedAfter reports whether the job is to blame for its crashes if its newest committed
// attempt ends with the abort.
func (e *JobState) BlamedAfter(r Abort) bool {
	counted, unanswered := e.crashesAfter(r)
	return counted.Blamed() || counted.Count()+unanswered >= crashes.MaxLosses
}

func (s *State) cancel(r CancelRequested) Result {
	e, void := s.activeJob(r.JobID)
	if e == nil {
		return void
	}
	if e.CancelRequested {
		return Void{Reason: "the job was already cancelled"}
	}
	e.CancelRequested = true
	return Valid{}
}

func (s *State) end(offset int64, r Ended) Result {
	e, void := s.activeJob(r.JobID)
	if e == nil {
		return void
	}
	// The record must name the newest committed attempt, even if that was aborted.
	// For a job that was never committed, r.Attempt must be empty, as e.Attempt is.
	if r.Attempt != e.Attempt {
		return Void{Reason: fmt.Sprintf("ended: found attempt %q, the job's newest attempt is %q", r.Attempt, e.Attempt)}
	}
	if r.Outcome == nil {
		return Void{Reason: "ended: found no outcome"}
	}
	e.Phase, e.Outcome, e.EndedOffset = PhaseEnded, r.Outcome, offset
	// An ended job is never started again, and the payload is the largest part
	// of a job.
	e.Job.Payload = nil
	return Valid{}
}

// activeJob returns the state of a job that has not ended. If there is none, it
// returns nil and the reason.
func (s *State) activeJob(id string) (*JobState, Void) {
	e, ok := s.Jobs[id]
	if !ok {
		return nil, Void{Reason: "the job is unknown"}
	}
	if e.Phase == PhaseEnded {
		return nil, Void{Reason: "the job has ended"}
	}
	return e, Void{}
}
