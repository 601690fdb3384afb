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

// maxAnswerPart bounds the bytes of an answer in one reply.
const maxAnswerPart = 256 << 10

// handleRequest hands a request of an entry to a worker, and fails it if the queue
// of the pool is full.
func (d *Daemon) handleRequest(r *rpc.Request) {
	if err := d.pool.Submit(func() { d.dispatch(r) }); err != nil {
		d.count("orderShed")
		r.Fail(fmt.Errorf("%s: %w", r.Method, err))
	}
}

// dispatch calls the handler of the request's method. A request that has to wait
// for a reclaim, for free accelerators and slots, or for the end of tasks is
// answered later and occupies no worker meanwhile.
func (d *Daemon) dispatch(r *rpc.Request) {
	switch r.Method {
	case agent.MethodRun:
		decodeAndHandle(r, d.handleRun)
	case agent.MethodReserve:
		decodeAndHandle(r, d.handleReserve)
	case agent.MethodStart:
		decodeAndHandle(r, d.handleStart)
	case agent.MethodConfirm:
		decodeAndHandle(r, d.handleConfirm)
	case agent.MethodRenew:
		decodeAndHandle(r, d.handleRenew)
	case agent.MethodRelease:
		decodeAndHandle(r, d.handleRelease)
	case agent.MethodAnswer:
		decodeAndHandle(r, d.handleAnswer)
	case agent.MethodDrain:
		decodeAndHandle(r, d.handleDrain)
	case agent.MethodEvents:
		decodeAndHandle(r, d.handleEvents)
	default:
		r.Fail(fmt.Errorf("method: found %q, allowed: the methods of package agent", r.Method))
	}
}

// decodeAndHandle decodes the parameters and calls f, or fails the request.
func decodeAndHandle[P any](r *rpc.Request, f func(*rpc.Request, P)) {
	var p P
	if err := r.Decode(&p); err != nil {
		r.Fail(err)
		return
	}
	f(r, p)
}

func (d *Daemon) handleReserve(r *rpc.Request, p wire.ReserveParams) {
	urgency, err := job.ParseUrgency(p.Urgency)
	if err == nil && (p.Tasks < 1 || p.AcceleratorsPerTask < 0 || p.HoldMs < 1 || p.Attempt == "" || p.Job == "" || p.Org == "") {
		err = fmt.Errorf("reserve: found job=%q org=%q attempt=%q tasks=%d acceleratorsPerTask=%d holdMs=%d, allowed: names, at least 1 task, at least 0 accelerators, at least 1 ms", p.Job, p.Org, p.Attempt, p.Tasks, p.AcceleratorsPerTask, p.HoldMs)
	}
	if err != nil {
		r.Fail(err)
		return
	}
	d.updateLedger(func(l *ledger.Ledger, now time.Time) []func() {
		d.applyConfigLocked(l, p.Config)
		decision := l.Reserve(now, ledger.Request{
			JobID: p.Job, Attempt: p.Attempt, Org: p.Org, Term: int64(p.Term), Tasks: p.Tasks, AcceleratorsPerTask: p.AcceleratorsPerTask,
			Preemptible: p.Preemptible, Urgency: urgency, Hold: time.Duration(p.HoldMs) * time.Millisecond,
			Reclaim: p.Reclaim, ConfigOffset: int64(p.Config.Offset),
		})
		if _, refused := decision.(ledger.Refused); refused {
			result := d.grantResult(decision)
			return []func(){func() { r.Reply(result) }}
		}
		a := d.state.attempts[p.Attempt]
		if a == nil {
			a = &attempt{id: p.Attempt, job: p.Job, org: p.Org, acceleratorsPerTask: p.AcceleratorsPerTask, tasks: nil}
			d.state.attempts[a.id] = a
		}
		if reclaiming, ok := decision.(ledger.Reclaiming); ok {
			d.count("reserveReclaiming")
			d.ring.Add(a.event("reclaimStarted", d.cfg.VM.ID, fmt.Sprintf("evicts %v", reclaiming.Victims)))
			a.pendingReserves = append(a.pendingReserves, r)
			return nil
		}
		d.count("reserveGranted")
		d.ring.Add(a.event("memberReserved", d.cfg.VM.ID, fmt.Sprintf("%d tasks, %d accelerators", p.Tasks, p.Tasks*p.AcceleratorsPerTask)))
		result := d.grantResult(decision)
		return []func(){func() { r.Reply(result) }, d.announceNow}
	})
}

func (d *Daemon) handleStart(r *rpc.Request, p wire.StartParams) {
	j, err := codec.DecodeJob(p.Job)
	if err == nil && (p.LeaseMs < 1 || p.Attempt == "") {
		err = fmt.Errorf("start: found attempt=%q leaseMs=%d, allowed: a name, at least 1 ms", p.Attempt, p.LeaseMs)
	}
	if err != nil {
		r.Fail(err)
		return
	}
	var starting *attempt
	var leaseUntil time.Time
	d.updateLedger(func(l *ledger.Ledger, now time.Time) []func() {
		d.applyConfigLocked(l, p.Config)
		leaseUntil = now.Add(time.Duration(p.LeaseMs) * time.Millisecond)
		var endsAt time.Time
		if j.DeclaredRun > 0 {
			endsAt = now.Add(j.DeclaredRun - time.Duration(p.ResumeFromMs)*time.Millisecond)
		}
		decision := l.Start(now, ledger.StartRequest{
			Attempt: p.Attempt, JobID: j.ID, Term: int64(p.Term), ConfigOffset: int64(p.Config.Offset), LeaseUntil: leaseUntil, EndsAt: endsAt,
		})
		a := d.state.attempts[p.Attempt]
		granted, ok := decision.(ledger.Granted)
		if ok && granted.Duplicate && a != nil && l.Holdings[p.Attempt].State == ledger.StateStarting {
			a.pendingStarts = append(a.pendingStarts, r)
			return nil
		}
		result := d.grantResult(decision)
		if !ok || granted.Duplicate || a == nil {
			return []func(){func() { r.Reply(result) }}
		}
		h := l.Holdings[p.Attempt]
		a.firstRank, a.tasks, a.payload, a.resumeFromMs = p.FirstRank, make([]task, h.Tasks), p.Job.Payload, p.ResumeFromMs
		for i := range a.tasks {
			// A task that starts from the checkpoint of an earlier attempt can be
			// started from it again until it saves a later one.
			a.tasks[i].checkpointMs = p.ResumeFromMs
		}
		a.pendingStarts = append(a.pendingStarts, r)
		starting = a
		return nil
	})
	if starting != nil {
		d.startAttempt(starting, leaseUntil)
	}
}

// startAttempt starts the tasks at the runtime and replies to the start requests.
// The reply is a refusal only if no task can have started. If a task failed to
// start and that task or another one may run, the reply says granted, the attempt
// is stopped, and the ends of its tasks are reported.
func (d *Daemon) startAttempt(a *attempt, leaseUntil time.Time) {
	started, err := d.startTasks(a, leaseUntil)
	d.updateLedger(func(l *ledger.Ledger, now time.Time) []func() {
		requests := a.pendingStarts
		a.pendingStarts, a.payload = nil, ""
		result := wire.GrantResult{Status: wire.GrantStatusGranted, ConfigOffset: int(l.ConfigOffset)}
		work := []func(){func() {
			for _, r := range requests {
				r.Reply(result)
			}
		}, d.announceNow}
		var refused *workerruntime.RefusedError
		isRefusal := errors.As(err, &refused)
		switch {
		case err == nil:
			d.count("startGranted")
			d.ring.Add(a.event("memberStarted", d.cfg.VM.ID, fmt.Sprintf("%d tasks", len(a.tasks))))
			l.Started(now, a.id)
		case isRefusal && started == 0:
			d.countRefusal(ruleRuntimeRefused)
			result.Status, result.Rule, result.Reason = wire.GrantStatusRefused, ruleRuntimeRefused, refused.Error()
			for i := range a.tasks {
				a.tasks[i].ended = true
			}
			work = append(work, d.removeIfEnded(l, now, a)...)
		default:
			a.startError = err.Error()
			l.StartFailed(now, a.id, !isRefusal)
		}
		return work
	})
}

func (d *Daemon) handleConfirm(r *rpc.Request, p wire.ConfirmParams) {
	var result wire.ConfirmResult
	d.updateLedger(func(l *ledger.Ledger, now time.Time) []func() {
		a := d.state.attempts[p.Attempt]
		if a != nil && a.all(func(t task) bool { return !t.ended || t.answered }) {
			result.Round, result.Running = l.Confirm(now, p.Attempt)
		}
		return nil
	})
	// An attempt whose tasks here all ended with answers counts as running.
	// Otherwise the planner would abort the gang, although its tasks on other VMs
	// may still run.
	result.Running = result.Running || d.answers.isAnswered(p.Attempt)
	result.Ended = d.answers.endsOf(p.Attempt)
	r.Reply(result)
}

func (d *Daemon) handleRenew(r *rpc.Request, p wire.RenewParams) {
	var tasks []string
	var leaseUntil time.Time
	result := wire.RenewResult{Renewed: d.answers.isAnswered(p.Attempt)}
	d.updateLedger(func(l *ledger.Ledger, now time.Time) []func() {
		a := d.state.attempts[p.Attempt]
		if a == nil {
			return nil
		}
		end, ok := l.Renew(now, p.Attempt, p.Round, time.Duration(p.LeaseMs)*time.Millisecond)
		if ok {
			result.Renewed, leaseUntil, tasks = true, end, a.liveTaskIDs()
		}
		return nil
	})
	if !result.Renewed {
		d.count("renewRefused")
	}
	for _, id := range tasks {
		if err := d.extendLease(id, leaseUntil); err != nil {
			result.Renewed = false
		}
	}
	r.Reply(result)
}

func (d *Daemon) handleRelease(r *rpc.Request, p wire.ReleaseParams) {
	d.updateLedger(func(l *ledger.Ledger, now time.Time) []func() {
		decision := l.Release(now, p.Job, p.Attempt, int64(p.Term), p.Checkpoint)
		a := d.state.attempts[p.Attempt]
		switch decision := decision.(type) {
		case ledger.Refused:
			d.countRefusal(decision.Rule)
			return []func(){func() { r.Fail(fmt.Errorf("%s: %s", decision.Rule, decision.Reason)) }}
		case ledger.Stopping:
			d.count("releaseStopping")
			a.pendingReleases = append(a.pendingReleases, r)
			a.stopReason = ledger.StopReasonReleased
			return nil
		default:
			d.count("releaseDropped")
			released, _ := decision.(ledger.Released)
			d.ring.Add(timeline.Event{Kind: "memberReleased", Job: p.Job, VM: d.cfg.VM.ID, Detail: p.Attempt + " " + p.Reason})
			return []func(){func() { r.Reply(wire.ReleaseResult{Started: released.Started}) }, d.announceNow}
		}
	})
}

func (d *Daemon) handleRun(r *rpc.Request, p wire.RunParams) {
	j, err := codec.DecodeJob(p.Job)
	if err == nil && (p.Attempt == "" || !j.Idempotent || j.IsGang()) {
		err = fmt.Errorf("run: found attempt=%q idempotent=%v tasks=%d, allowed: a name, an idempotent job of one task", p.Attempt, j.Idempotent, j.Tasks)
	}
	if err != nil {
		r.Fail(err)
		return
	}
	d.updateLedger(func(l *ledger.Ledger, now time.Time) []func() {
		d.applyConfigLocked(l, p.Config)
		a := d.state.attempts[p.Attempt]
		if a != nil && a.short != nil {
			a.short.requests = append(a.short.requests, r)
			return nil
		}
		a = &attempt{
			id: p.Attempt, job: j.ID, org: j.Org, acceleratorsPerTask: j.AcceleratorsPerTask, tasks: make([]task, 1), payload: p.Job.Payload,
			short: &shortRun{requests: []*rpc.Request{r}, receivedAt: now},
		}
		d.state.attempts[a.id] = a
		decision := l.RunShort(now, ledger.Request{
			JobID: j.ID, Attempt: p.Attempt, Org: j.Org, Tasks: 1, AcceleratorsPerTask: j.AcceleratorsPerTask, Preemptible: j.Preemptible,
			Urgency: j.Urgency, ConfigOffset: int64(p.Config.Offset), WaitUntil: now.Add(time.Duration(p.QueueMs) * time.Millisecond),
			Deadline: j.Deadline, DeclaredRun: j.DeclaredRun,
		})
		return []func(){d.applyRunDecision(a, decision)}
	})
}

func (d *Daemon) handleAnswer(r *rpc.Request, p wire.AnswerParams) {
	id := taskID(p.Attempt, p.Rank)
	a, ok := d.answers.find(id)
	if !ok {
		r.Fail(fmt.Errorf("answer: no answer of task %s is stored", id))
		return
	}
	limit := min(max(0, p.Max), maxAnswerPart, max(0, a.length-p.Offset))
	var data []byte
	if limit > 0 && p.Offset >= 0 {
		err := d.callRuntime(func(ctx context.Context) (err error) {
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

func (d *Daemon) handleDrain(r *rpc.Request, p wire.DrainParams) {
	d.updateLedger(func(l *ledger.Ledger, _ time.Time) []func() {
		if !l.Drain(int64(p.ConfigOffset), p.Draining) {
			d.countRefusal(ledger.RuleStaleConfiguration)
			err := fmt.Errorf("%s: configuration %d, the VM acted on %d", ledger.RuleStaleConfiguration, p.ConfigOffset, l.ConfigOffset)
			return []func(){func() { r.Fail(err) }}
		}
		d.count("drainTaken")
		result := wire.DrainResult{Draining: l.Draining, Holdings: len(l.Holdings)}
		return []func(){func() { r.Reply(result) }, d.announceNow}
	})
}

func (d *Daemon) handleEvents(r *rpc.Request, p wire.EventsParams) {
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
