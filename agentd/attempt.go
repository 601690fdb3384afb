package agentd

import (
	"errors"
	"fmt"
	"strconv"
	"strings"
	"time"

	"celerypoint.example/celerypoint/ledger"
	"celerypoint.example/celerypoint/outcome"
	"celerypoint.example/celerypoint/rpc"
	"celerypoint.example/celerypoint/timeline"
	"celerypoint.example/celerypoint/wire"
	"celerypoint.example/celerypoint/workerruntime"
)

// attempt is what the daemon keeps of an attempt besides its holding. The
// ledger table's lock guards it.
type attempt struct {
	id, job, org string
	accelerators int
	firstRank    int
	// ranks has one element for each task, once the attempt starts.
	ranks []rank
	// payload is dropped once the tasks have started.
	payload      string
	resumeFromMs int
	// run is the order of a short task, nil for a reserved attempt.
	run *run
	// reserves wait for a reclaim, starts for the runtime, releases for the
	// end of every task.
	reserves, starts, releases []*rpc.Request
	// why is the reason of a stop, reason the error behind it.
	why    ledger.StopReason
	reason string
}

// run is the order of a short task. Its answer goes to every request that
// asked for it.
type run struct {
	requests []*rpc.Request
	received time.Time
	begun    time.Time
	result   wire.RunResult
}

// rank is one task.
type rank struct {
	ended    bool
	answered bool
	failed   bool
	// missing counts stops and renewals that the runtime knew no task for.
	missing int
	saved   bool
	savedMs int
}

// missingLimit is how often the runtime says that it knows no task before the
// task counts as ended. The first time its end event may still be on its way.
const missingLimit = 2

func taskID(attempt string, rank int) string { return attempt + "/" + strconv.Itoa(rank) }

// splitTaskID is the reverse of taskID.
func splitTaskID(id string) (attempt string, rank int, ok bool) {
	i := strings.LastIndexByte(id, '/')
	if i < 0 {
		return "", 0, false
	}
	rank, err := strconv.Atoi(id[i+1:])
	return id[:i], rank, err == nil
}

// live lists the identifiers of the tasks that have not ended.
func (a *attempt) live() []string {
	var ids []string
	for i, r := range a.ranks {
		if !r.ended {
			ids = append(ids, taskID(a.id, a.firstRank+i))
		}
	}
	return ids
}

// rank returns the task of that rank, or nil.
func (a *attempt) rank(number int) *rank {
	if number < a.firstRank || number >= a.firstRank+len(a.ranks) {
		return nil
	}
	return &a.ranks[number-a.firstRank]
}

func (a *attempt) all(f func(rank) bool) bool {
	for _, r := range a.ranks {
		if !f(r) {
			return false
		}
	}
	return true
}

func (a *attempt) event(kind, vm, detail string) timeline.Event {
	return timeline.Event{Kind: kind, Job: a.job, Org: a.org, VM: vm, Detail: detail}
}

// follow turns the ledger's actions into work that is done after the lock is
// released.
func (d *Daemon) follow(actions []ledger.Action) []func() {
	var work []func()
	for _, action := range actions {
		switch action := action.(type) {
		case ledger.Admit:
			work = append(work, d.admit(action))
		case ledger.Dropped:
			if a := d.ledger.attempts[action.Attempt]; a != nil {
				delete(d.ledger.attempts, action.Attempt)
				d.count("reservationDropped")
				d.ring.Add(a.event("reservationDropped", d.config.VM.ID, action.Attempt+" "+action.Rule))
				work = append(work, d.announceNow)
			}
		case ledger.Checkpoint:
			work = append(work, d.forTasks(action.Attempt, d.checkpointTask))
		case ledger.Stop:
			work = append(work, d.stopAttempt(action))
		case ledger.Resume:
			attempt := action.Attempt
			work = append(work, func() { d.pause(func() { d.resume(attempt) }) })
		case ledger.Extend:
			until := action.Until
			work = append(work, d.forTasks(action.Attempt, func(id string) { _ = d.extendTask(id, until) }))
		}
	}
	return work
}

// submit hands work to the workers. Work that the ledger repeats may be
// dropped when they are busy.
func (d *Daemon) submit(f func()) {
	if err := d.workers.Submit(f); err != nil {
		d.count("workDropped")
	}
}

// forTasks calls f on a worker for each live task of the attempt.
func (d *Daemon) forTasks(id string, f func(task string)) func() {
	a := d.ledger.attempts[id]
	if a == nil {
		return func() {}
	}
	tasks := a.live()
	return func() {
		d.submit(func() {
			for _, t := range tasks {
				f(t)
			}
		})
	}
}

// admit ends the wait of a request.
func (d *Daemon) admit(action ledger.Admit) func() {
	a := d.ledger.attempts[action.Attempt]
	if a == nil {
		return func() {}
	}
	if a.run != nil {
		return d.place(a, action.Decision)
	}
	requests := a.reserves
	a.reserves = nil
	result := d.grant(action.Decision)
	if _, refused := action.Decision.(ledger.Refused); refused {
		delete(d.ledger.attempts, a.id)
	}
	d.ring.Add(a.event("reclaimEnded", d.config.VM.ID, string(result.Status)+" "+result.Rule))
	return func() {
		for _, r := range requests {
			r.Reply(result)
		}
	}
}

// grant encodes the decision on a reserve or start, and counts it.
func (d *Daemon) grant(decision ledger.Decision) wire.GrantResult {
	result := wire.GrantResult{Status: wire.GrantStatusGranted, ConfigOffset: int(d.ledger.book.ConfigOffset)}
	if refused, ok := decision.(ledger.Refused); ok {
		d.countRefusal(refused.Rule)
		result.Status, result.Rule, result.Reason = wire.GrantStatusRefused, refused.Rule, refused.Reason
	}
	return result
}

func (d *Daemon) countRefusal(rule string) {
	d.count("agentRefused" + strings.ToUpper(rule[:1]) + rule[1:])
}

// taskOver takes the end of one task from a runtime event, or from a runtime
// that no longer knows the task.
func (d *Daemon) taskOver(e wire.TaskEvent) {
	name, number, ok := splitTaskID(e.ID)
	if !ok {
		return
	}
	d.step(func(b *ledger.Ledger, now time.Time) []func() {
		a := d.ledger.attempts[name]
		if a == nil {
			return nil
		}
		r := a.rank(number)
		if r == nil || r.ended {
			return nil
		}
		r.ended = true
		r.answered = e.Kind == wire.TaskEventKindEnded
		r.failed = e.Kind == wire.TaskEventKindFailed
		until := now.Add(d.config.AnswerRetention)
		// A short answer to a run goes out with the reply and is not kept, since
		// hundreds a second would outgrow the agent's memory.
		if r.answered && (a.run == nil || e.Length > outcome.MaxInlineBytes) {
			d.answers.keep(e.ID, a.id, e.Length, e.Checksum, until)
		}
		d.ring.Add(a.event("taskEnded", d.config.VM.ID, fmt.Sprintf("%s %s %s", e.ID, e.Kind, e.Reason)))
		if a.run != nil {
			a.run.result = runResult(a, e)
		} else if p, ok := d.endReport(a, number, *r, e); ok {
			d.answers.report(e.ID, report{params: p, until: until})
		}
		work := d.tryGone(b, now, a)
		if a.run == nil {
			work = append(work, d.reportNow, d.announceNow)
		}
		return work
	})
}

// endReport says how the task ended, for entries. What an entry itself
// released is answered there.
func (d *Daemon) endReport(a *attempt, number int, r rank, e wire.TaskEvent) (wire.TaskEndedParams, bool) {
	p := wire.TaskEndedParams{
		VM: d.config.VM.ID, Job: a.job, Attempt: a.id, Rank: number, Reason: e.Reason,
		Length: e.Length, Checksum: e.Checksum, RanMs: e.RanMs, CheckpointMs: r.savedMs,
	}
	switch {
	case r.answered:
		p.Result = wire.TaskResultAnswered
	case r.failed:
		p.Result = wire.TaskResultFailed
	case a.why == ledger.StopReasonReleased:
		return p, false
	case a.why == ledger.StopReasonEvicted:
		p.Result = wire.TaskResultEvicted
	case a.why == ledger.StopReasonLeaseExpired || e.Kind == wire.TaskEventKindLeaseLapsed:
		p.Result = wire.TaskResultLapsed
	default:
		p.Result = wire.TaskResultStopped
	}
	if !r.answered && !r.failed {
		p.Reason = stopReason(a, e)
	}
	d.count("taskEnded" + strings.ToUpper(string(p.Result[:1])) + string(p.Result[1:]))
	return p, true
}

// tryGone frees the place of an attempt whose tasks have all ended; the
// ledger's lock is held.
func (d *Daemon) tryGone(b *ledger.Ledger, now time.Time, a *attempt) []func() {
	if !a.all(func(r rank) bool { return r.ended }) || !b.Stopped(now, a.id) {
		return nil
	}
	delete(d.ledger.attempts, a.id)
	close(d.ledger.changed)
	d.ledger.changed = make(chan struct{})
	if a.all(func(r rank) bool { return r.answered }) && a.run == nil {
		d.answers.markComplete(a.id)
	}
	releases, result := a.releases, wire.ReleaseResult{Started: true, CheckpointMs: a.savedMs()}
	d.answers.owe(1)
	return []func(){func() {
		for _, r := range releases {
			r.Reply(result)
		}
		if a.run == nil {
			d.answers.owe(-1)
			return
		}
		d.answerRun(a)
	}}
}

// savedMs is the least progress that every task has saved, 0 when one has not.
func (a *attempt) savedMs() int {
	if len(a.ranks) == 0 {
		return 0
	}
	least := a.ranks[0].savedMs
	for _, r := range a.ranks {
		least = min(least, r.savedMs)
	}
	return least
}

// taskSaved takes a checkpoint from a runtime event.
func (d *Daemon) taskSaved(e wire.TaskEvent) {
	name, number, ok := splitTaskID(e.ID)
	if !ok {
		return
	}
	d.step(func(b *ledger.Ledger, now time.Time) []func() {
		a := d.ledger.attempts[name]
		if a == nil {
			return nil
		}
		if r := a.rank(number); r != nil {
			r.saved, r.savedMs = true, e.CheckpointMs
		}
		if a.all(func(r rank) bool { return r.saved || r.ended }) {
			b.Checkpointed(now, a.id)
		}
		return nil
	})
}

// missing notes that the runtime knows no such task.
func (d *Daemon) missing(id string) {
	name, number, ok := splitTaskID(id)
	if !ok {
		return
	}
	over := false
	d.step(func(b *ledger.Ledger, now time.Time) []func() {
		a, h := d.ledger.attempts[name], b.Holdings[name]
		if a == nil || h == nil || h.StartUncertain && now.Before(h.ExpiresAt) {
			return nil
		}
		if r := a.rank(number); r != nil {
			r.missing++
			over = r.missing >= missingLimit
		}
		return nil
	})
	if over {
		d.taskOver(wire.TaskEvent{ID: id, Kind: wire.TaskEventKindStopped, Reason: "the worker runtime does not know the task"})
	}
}

// noTask passes an unknown task on to missing, and reports other errors.
func (d *Daemon) noTask(id string, err error) error {
	if errors.Is(err, workerruntime.ErrNoTask) {
		d.missing(id)
		return nil
	}
	if err != nil {
		d.count("runtimeRequestFailed")
	}
	return err
}
