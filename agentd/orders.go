package agentd

import (
	"context"
	"errors"
	"fmt"
	"time"

	"celerypoint.example/celerypoint/agent"
	"celerypoint.example/celerypoint/codec"
	"celerypoint.example/celerypoint/job"
	"celerypoint.example/celerypoint/ledger"
	"celerypoint.example/celerypoint/rpc"
	"celerypoint.example/celerypoint/timeline"
	"celerypoint.example/celerypoint/wire"
	"celerypoint.example/celerypoint/workerruntime"
)

// maxAnswerPart bounds the bytes of an answer in one message.
const maxAnswerPart = 256 << 10

// handle takes an order from a connection and hands it to a worker.
func (d *Daemon) handle(r *rpc.Request) {
	if err := d.workers.Submit(func() { d.order(r) }); err != nil {
		d.count("orderShed")
		r.Fail(fmt.Errorf("%s: %w", r.Method, err))
	}
}

// order carries out one order. An order that waits, for a reclaim, a place or
// the runtime, is answered later and holds no worker.
func (d *Daemon) order(r *rpc.Request) {
	switch r.Method {
	case agent.MethodRun:
		serve(r, d.run)
	case agent.MethodReserve:
		serve(r, d.reserve)
	case agent.MethodStart:
		serve(r, d.start)
	case agent.MethodConfirm:
		serve(r, d.confirm)
	case agent.MethodRenew:
		serve(r, d.renew)
	case agent.MethodRelease:
		serve(r, d.release)
	case agent.MethodAnswer:
		serve(r, d.answer)
	case agent.MethodDrain:
		serve(r, d.drain)
	case agent.MethodEvents:
		serve(r, d.events)
	default:
		r.Fail(fmt.Errorf("method: found %q, allowed: the orders of package agent", r.Method))
	}
}

// serve decodes the parameters for f.
func serve[P any](r *rpc.Request, f func(*rpc.Request, P)) {
	var p P
	if err := r.Decode(&p); err != nil {
		r.Fail(err)
		return
	}
	f(r, p)
}

func (d *Daemon) reserve(r *rpc.Request, p wire.ReserveParams) {
	urgency, err := job.ParseUrgency(p.Urgency)
	if err == nil && (p.Tasks < 1 || p.AcceleratorsPerTask < 0 || p.HoldMs < 1 || p.Attempt == "" || p.Job == "" || p.Org == "") {
		err = fmt.Errorf("reserve: found job=%q org=%q attempt=%q tasks=%d acceleratorsPerTask=%d holdMs=%d, allowed: names, at least 1 task, at least 0 accelerators, at least 1 ms", p.Job, p.Org, p.Attempt, p.Tasks, p.AcceleratorsPerTask, p.HoldMs)
	}
	if err != nil {
		r.Fail(err)
		return
	}
	d.step(func(b *ledger.Ledger, now time.Time) []func() {
		d.take(b, p.Config)
		decision := b.Reserve(now, ledger.Request{
			JobID: p.Job, Attempt: p.Attempt, Org: p.Org, Term: int64(p.Term), Tasks: p.Tasks, AcceleratorsPerTask: p.AcceleratorsPerTask,
			Preemptible: p.Preemptible, Urgency: urgency, Hold: time.Duration(p.HoldMs) * time.Millisecond,
			Reclaim: p.Reclaim, ConfigOffset: int64(p.Config.Offset),
		})
		if _, refused := decision.(ledger.Refused); refused {
			result := d.grant(decision)
			return []func(){func() { r.Reply(result) }}
		}
		a := d.ledger.attempts[p.Attempt]
		if a == nil {
			a = &attempt{id: p.Attempt, job: p.Job, org: p.Org, accelerators: p.AcceleratorsPerTask, ranks: nil}
			d.ledger.attempts[a.id] = a
		}
		if reclaiming, ok := decision.(ledger.Reclaiming); ok {
			d.count("reserveReclaiming")
			d.ring.Add(a.event("reclaimStarted", d.config.VM.ID, fmt.Sprintf("evicts %v", reclaiming.Victims)))
			a.reserves = append(a.reserves, r)
			return nil
		}
		d.count("reserveGranted")
		d.ring.Add(a.event("memberReserved", d.config.VM.ID, fmt.Sprintf("%d tasks, %d accelerators", p.Tasks, p.Tasks*p.AcceleratorsPerTask)))
		result := d.grant(decision)
		return []func(){func() { r.Reply(result) }, d.announceNow}
	})
}

func (d *Daemon) start(r *rpc.Request, p wire.StartParams) {
	j, err := codec.DecodeJob(p.Job)
	if err == nil && (p.LeaseMs < 1 || p.Attempt == "") {
		err = fmt.Errorf("start: found attempt=%q leaseMs=%d, allowed: a name, at least 1 ms", p.Attempt, p.LeaseMs)
	}
	if err != nil {
		r.Fail(err)
		return
	}
	var starting *attempt
	var until time.Time
	d.step(func(b *ledger.Ledger, now time.Time) []func() {
		d.take(b, p.Config)
		until = now.Add(time.Duration(p.LeaseMs) * time.Millisecond)
		var ends time.Time
		if j.DeclaredRun > 0 {
			ends = now.Add(j.DeclaredRun - time.Duration(p.ResumeFromMs)*time.Millisecond)
		}
		decision := b.Start(now, ledger.StartRequest{
			Attempt: p.Attempt, JobID: j.ID, Term: int64(p.Term), ConfigOffset: int64(p.Config.Offset), LeaseUntil: until, EndsAt: ends,
		})
		a := d.ledger.attempts[p.Attempt]
		granted, ok := decision.(ledger.Granted)
		if ok && granted.Duplicate && a != nil && b.Holdings[p.Attempt].State == ledger.StateStarting {
			a.starts = append(a.starts, r)
			return nil
		}
		result := d.grant(decision)
		if !ok || granted.Duplicate || a == nil {
			return []func(){func() { r.Reply(result) }}
		}
		h := b.Holdings[p.Attempt]
		a.firstRank, a.ranks, a.payload, a.resumeFromMs = p.FirstRank, make([]rank, h.Tasks), p.Job.Payload, p.ResumeFromMs
		for i := range a.ranks {
			// A task that resumes can always resume from there again.
			a.ranks[i].savedMs = p.ResumeFromMs
		}
		a.starts = append(a.starts, r)
		starting = a
		return nil
	})
	if starting != nil {
		d.startAttempt(starting, until)
	}
}

// startAttempt starts the tasks at the runtime and answers the order. Only
// when none can have started, the answer is a refusal; otherwise what started
// is stopped and reported.
func (d *Daemon) startAttempt(a *attempt, until time.Time) {
	started, err := d.startTasks(a, until)
	d.step(func(b *ledger.Ledger, now time.Time) []func() {
		requests := a.starts
		a.starts, a.payload = nil, ""
		result := wire.GrantResult{Status: wire.GrantStatusGranted, ConfigOffset: int(b.ConfigOffset)}
		work := []func(){func() {
			for _, r := range requests {
				r.Reply(result)
			}
		}, d.announceNow}
		var refused *workerruntime.RefusedError
		definite := errors.As(err, &refused)
		switch {
		case err == nil:
			d.count("startGranted")
			d.ring.Add(a.event("memberStarted", d.config.VM.ID, fmt.Sprintf("%d tasks", len(a.ranks))))
			b.Started(now, a.id)
		case definite && started == 0:
			d.countRefusal(ruleRuntimeRefused)
			result.Status, result.Rule, result.Reason = wire.GrantStatusRefused, ruleRuntimeRefused, refused.Error()
			for i := range a.ranks {
				a.ranks[i].ended = true
			}
			work = append(work, d.tryGone(b, now, a)...)
		default:
			a.reason = err.Error()
			b.StartFailed(now, a.id, !definite)
		}
		return work
	})
}

func (d *Daemon) confirm(r *rpc.Request, p wire.ConfirmParams) {
	var result wire.ConfirmResult
	d.step(func(b *ledger.Ledger, now time.Time) []func() {
		a := d.ledger.attempts[p.Attempt]
		if a != nil && a.all(func(r rank) bool { return !r.ended || r.answered }) {
			result.Round, result.Running = b.Confirm(now, p.Attempt)
		}
		return nil
	})
	// What ended with answers keeps the other members of its gang running.
	result.Running = result.Running || d.answers.isComplete(p.Attempt)
	result.Ended = d.answers.endsOf(p.Attempt)
	r.Reply(result)
}

func (d *Daemon) renew(r *rpc.Request, p wire.RenewParams) {
	var tasks []string
	var until time.Time
	result := wire.RenewResult{Renewed: d.answers.isComplete(p.Attempt)}
	d.step(func(b *ledger.Ledger, now time.Time) []func() {
		a := d.ledger.attempts[p.Attempt]
		if a == nil {
			return nil
		}
		end, ok := b.Renew(now, p.Attempt, p.Round, time.Duration(p.LeaseMs)*time.Millisecond)
		if ok {
			result.Renewed, until, tasks = true, end, a.live()
		}
		return nil
	})
	if !result.Renewed {
		d.count("renewRefused")
	}
	for _, id := range tasks {
		if err := d.extendTask(id, until); err != nil {
			result.Renewed = false
		}
	}
	r.Reply(result)
}

func (d *Daemon) release(r *rpc.Request, p wire.ReleaseParams) {
	d.step(func(b *ledger.Ledger, now time.Time) []func() {
		decision := b.Release(now, p.Job, p.Attempt, int64(p.Term), p.Checkpoint)
		a := d.ledger.attempts[p.Attempt]
		switch decision := decision.(type) {
		case ledger.Refused:
			d.countRefusal(decision.Rule)
			return []func(){func() { r.Fail(fmt.Errorf("%s: %s", decision.Rule, decision.Reason)) }}
		case ledger.Stopping:
			d.count("releaseStopping")
			a.releases = append(a.releases, r)
			a.why = ledger.StopReasonReleased
			return nil
		default:
			d.count("releaseDropped")
			released, _ := decision.(ledger.Released)
			d.ring.Add(timeline.Event{Kind: "memberReleased", Job: p.Job, VM: d.config.VM.ID, Detail: p.Attempt + " " + p.Reason})
			return []func(){func() { r.Reply(wire.ReleaseResult{Started: released.Started}) }, d.announceNow}
		}
	})
}

func (d *Daemon) run(r *rpc.Request, p wire.RunParams) {
	j, err := codec.DecodeJob(p.Job)
	if err == nil && (p.Attempt == "" || !j.Idempotent || j.IsGang()) {
		err = fmt.Errorf("run: found attempt=%q idempotent=%v tasks=%d, allowed: a name, an idempotent job of one task", p.Attempt, j.Idempotent, j.Tasks)
	}
	if err != nil {
		r.Fail(err)
		return
	}
	d.step(func(b *ledger.Ledger, now time.Time) []func() {
		d.take(b, p.Config)
		a := d.ledger.attempts[p.Attempt]
		if a != nil && a.run != nil {
			a.run.requests = append(a.run.requests, r)
			return nil
		}
		a = &attempt{
			id: p.Attempt, job: j.ID, org: j.Org, accelerators: j.AcceleratorsPerTask, ranks: make([]rank, 1), payload: p.Job.Payload,
			run: &run{requests: []*rpc.Request{r}, received: now},
		}
		d.ledger.attempts[a.id] = a
		decision := b.RunShort(now, ledger.Request{
			JobID: j.ID, Attempt: p.Attempt, Org: j.Org, Tasks: 1, AcceleratorsPerTask: j.AcceleratorsPerTask, Preemptible: j.Preemptible,
			Urgency: j.Urgency, ConfigOffset: int64(p.Config.Offset), WaitUntil: now.Add(time.Duration(p.QueueMs) * time.Millisecond),
			Deadline: j.Deadline, DeclaredRun: j.DeclaredRun,
		})
		return []func(){d.place(a, decision)}
	})
}

func (d *Daemon) answer(r *rpc.Request, p wire.AnswerParams) {
	id := taskID(p.Attempt, p.Rank)
	a, ok := d.answers.find(id)
	if !ok {
		r.Fail(fmt.Errorf("answer: no answer of task %s is kept", id))
		return
	}
	limit := min(max(0, p.Max), maxAnswerPart, max(0, a.length-p.Offset))
	var data []byte
	if limit > 0 && p.Offset >= 0 {
		err := d.runtimeCall(func(ctx context.Context) (err error) {
			data, err = d.runtime.Answer(ctx, id, p.Offset, limit)
			return err
		})
		if err != nil {
			r.Fail(fmt.Errorf("answer: %w", err))
			return
		}
	}
	r.Reply(wire.AnswerResult{Data: wire.Text(data), Length: a.length, Checksum: a.checksum})
	if p.Offset+len(data) >= a.length {
		d.answers.markRead(id)
	}
}

func (d *Daemon) drain(r *rpc.Request, p wire.DrainParams) {
	d.step(func(b *ledger.Ledger, _ time.Time) []func() {
		if !b.Drain(int64(p.ConfigOffset), p.Draining) {
			d.countRefusal(ledger.RuleStaleConfiguration)
			err := fmt.Errorf("%s: configuration %d, the VM acted on %d", ledger.RuleStaleConfiguration, p.ConfigOffset, b.ConfigOffset)
			return []func(){func() { r.Fail(err) }}
		}
		d.count("drainTaken")
		result := wire.DrainResult{Draining: b.Draining, Holdings: len(b.Holdings)}
		return []func(){func() { r.Reply(result) }, d.announceNow}
	})
}

func (d *Daemon) events(r *rpc.Request, p wire.EventsParams) {
	events, next := d.ring.Since(int64(p.From), p.Max)
	result := wire.EventsResult{Events: []wire.Event{}, Next: int(next)}
	for _, e := range events {
		result.Events = append(result.Events, wire.Event{
			AtUnixUs: int(e.At.UnixMicro()), Process: e.Process, Kind: e.Kind, Job: e.Job, Org: e.Org, VM: e.VM,
			Offset: int(e.Offset), Detail: e.Detail, Sequence: int(e.Sequence),
		})
	}
	r.Reply(result)
}
