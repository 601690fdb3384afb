package entryd

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"strconv"
	"time"

	"github.com/sirupsen/logrus"

	"celerypoint.example/celerypoint/agent"
	"celerypoint.example/celerypoint/codec"
	"celerypoint.example/celerypoint/job"
	"celerypoint.example/celerypoint/outcome"
	"celerypoint.example/celerypoint/rpc"
	"celerypoint.example/celerypoint/selector"
	"celerypoint.example/celerypoint/timeline"
	"celerypoint.example/celerypoint/vm"
	"celerypoint.example/celerypoint/wire"
)

const (
	// shortWait bounds a short request without a deadline.
	shortWait = 10 * time.Minute
	// noVMRetry is the pause while no VM can take a short request.
	noVMRetry = 200 * time.Millisecond
	// noVMWait bounds how long a short request waits for any VM.
	noVMWait = 5 * time.Second
	// maxRefusals is the number of VMs that may refuse a short request for want
	// of room before the caller is told.
	maxRefusals = 3
	// replyGrace is how long after the deadline an agent's reply may come. The
	// agent refuses at the deadline itself, and only its reply tells that the
	// request was not run.
	replyGrace = time.Second
	// avoidFor is how long a VM that refused a job is passed over for it.
	avoidFor = time.Second
)

// submitShort runs an urgent idempotent task without the log.
func (d *Daemon) submitShort(j job.Job) job.View {
	r := &running{
		job: j, phase: job.PhaseWaiting, waitSince: j.AcceptedAt,
		avoid: map[string]time.Time{}, sent: map[string]string{}, done: make(chan struct{}),
	}
	d.jobs.mu.Lock()
	d.jobs.byID[j.ID] = r
	d.jobs.budget.RecordRequest()
	d.jobs.mu.Unlock()
	d.shorts.Add(1)
	d.ring.Add(timeline.Event{Kind: "jobAccepted", Job: j.ID, Org: j.Org, Detail: "short"})
	d.submit(func() { d.tryShort(r) })
	v, _ := d.viewHere(j.ID)
	return v
}

// tryShort sends a short request to a VM.
func (d *Daemon) tryShort(r *running) {
	now := time.Now()
	deadline := r.deadline()
	if !now.Before(deadline) {
		d.endShort(r, d.expired(r))
		return
	}
	d.jobs.mu.Lock()
	cancelled, avoid := r.cancelAsked, r.avoid
	failedOn := d.jobs.faults.FailedVMs(r.job.ID)
	mayHaveRun := r.mayHaveRun
	d.jobs.mu.Unlock()
	if cancelled {
		d.endShort(r, d.cancelledShort(r))
		return
	}
	if d.sendShort(r, avoid, failedOn, deadline, now) {
		return
	}
	if len(failedOn) > 0 && !d.anotherVM(r.job, failedOn, now) {
		d.endShort(r, outcome.Failed{Reason: "jobFailsEverywhere: it failed on every VM that its selector allows"})
		return
	}
	if now.Sub(r.job.AcceptedAt) > noVMWait && !mayHaveRun {
		d.endShort(r, outcome.NotRun{Rule: "noVMReachable", Reason: "no VM that the selector allows can be reached"})
		return
	}
	time.AfterFunc(noVMRetry, func() { d.submit(func() { d.tryShort(r) }) })
}

// sendShort sends a short request to the best VM, and reports whether there is
// one.
func (d *Daemon) sendShort(r *running, avoid map[string]time.Time, failedOn map[string]bool, deadline, now time.Time) bool {
	id, conn := d.chooseVM(r.job, avoid, failedOn, now)
	if conn == nil {
		return false
	}
	d.jobs.mu.Lock()
	r.tries++
	attemptID := r.job.ID + "/" + strconv.Itoa(r.tries)
	r.sent[attemptID] = id
	r.phase, r.vms = job.PhaseStarting, []string{id}
	d.jobs.mu.Unlock()
	params := wire.RunParams{Job: codec.JobTo(r.job), Attempt: attemptID, QueueMs: int(deadline.Sub(now).Milliseconds()), Config: d.vmConfig(id)}
	d.count("shortSent")
	send(d, conn, agent.MethodRun, params, deadline.Add(replyGrace), func(result wire.RunResult, err error) {
		d.shortDone(r, id, attemptID, result, err)
	})
	return true
}

// hedgeShorts sends the short requests that wait for a suspect VM to another
// one as well, within the retry budget. They are idempotent, and the first
// whole answer counts.
func (d *Daemon) hedgeShorts(id string, now time.Time) {
	d.jobs.mu.Lock()
	var waiting []*running
	for _, r := range d.jobs.byID {
		if r.recorded || r.outcome != nil || r.cancelAsked || len(r.sent) != 1 {
			continue
		}
		for _, on := range r.sent {
			if on == id {
				waiting = append(waiting, r)
			}
		}
	}
	d.jobs.mu.Unlock()
	for _, r := range waiting {
		d.jobs.mu.Lock()
		allowed := d.jobs.budget.AllowRetry(now)
		failedOn := d.jobs.faults.FailedVMs(r.job.ID)
		d.jobs.mu.Unlock()
		if !allowed {
			d.count("retryBudgetSpent")
			return
		}
		if d.sendShort(r, map[string]time.Time{id: now.Add(avoidFor)}, failedOn, r.deadline(), now) {
			d.count("shortHedged")
			d.ring.Add(timeline.Event{Kind: "shortHedged", Job: r.job.ID, Org: r.job.Org, VM: id, Detail: "the VM is silent"})
		}
	}
}

// deadline is when the caller stops wanting the answer of a short request.
func (r *running) deadline() time.Time {
	if r.job.Deadline.IsZero() {
		return r.job.AcceptedAt.Add(shortWait)
	}
	return r.job.Deadline
}

// shortDone takes the end of one try.
func (d *Daemon) shortDone(r *running, id, attemptID string, result wire.RunResult, err error) {
	d.vms.mu.Lock()
	if t := d.vms.byID[id]; t != nil && t.short > 0 {
		t.short--
	}
	d.vms.mu.Unlock()
	d.jobs.mu.Lock()
	delete(r.sent, attemptID)
	r.mayHaveRun = r.mayHaveRun || err != nil || result.Status != wire.RunStatusRefused
	ended, others := r.outcome != nil, len(r.sent)
	d.jobs.mu.Unlock()
	if ended {
		return
	}
	if others > 0 && (err != nil || result.Status != wire.RunStatusAnswered) {
		// The end of the other try decides.
		d.count("shortOtherTryDecides")
		return
	}
	if err != nil {
		d.count("shortRetriedUnreachable")
		d.retryShort(r, id, fmt.Sprintf("VM %s: %v", id, err))
		return
	}
	switch result.Status {
	case wire.RunStatusAnswered:
		d.answerShort(r, id, attemptID, result)
	case wire.RunStatusFailed:
		if d.jobFailed(r, id, result.Reason) {
			d.endShort(r, outcome.Failed{Reason: "jobFailsEverywhere: lastly on VM " + id + ": " + result.Reason})
			return
		}
		d.count("shortRetriedFailed")
		d.retryShort(r, id, result.Reason)
	case wire.RunStatusRefused:
		d.count("shortRefused." + result.Rule)
		if result.Rule == "queueFull" || result.Rule == "deadlineUnreachable" {
			d.refusedShort(r, id, result)
			return
		}
		d.retryShort(r, id, result.Rule)
	default:
		d.retryShort(r, id, result.Reason)
	}
}

// refusedShort gives up when several VMs had no room before the deadline: more
// tries would only add load.
func (d *Daemon) refusedShort(r *running, id string, result wire.RunResult) {
	d.jobs.mu.Lock()
	tries := r.tries
	d.jobs.mu.Unlock()
	if tries < maxRefusals {
		d.retryShort(r, id, result.Rule)
		return
	}
	d.jobs.mu.Lock()
	mayHaveRun := r.mayHaveRun
	d.jobs.mu.Unlock()
	if mayHaveRun {
		d.endShort(r, outcome.Unknown{Reason: "an earlier try may have run, the last was refused: " + result.Rule})
		return
	}
	d.endShort(r, outcome.NotRun{Rule: result.Rule, Reason: result.Reason})
}

func (d *Daemon) retryShort(r *running, id, reason string) {
	d.ring.Add(timeline.Event{Kind: "shortRetried", Job: r.job.ID, Org: r.job.Org, VM: id, Detail: reason})
	now := time.Now()
	d.jobs.mu.Lock()
	if !d.jobs.budget.AllowRetry(now) {
		mayHaveRun := r.mayHaveRun
		d.jobs.mu.Unlock()
		d.count("retryBudgetSpent")
		if mayHaveRun {
			d.endShort(r, outcome.Unknown{Reason: "no retry is left in the budget after: " + reason})
		} else {
			d.endShort(r, outcome.NotRun{Rule: "retryBudgetSpent", Reason: "refused by VM " + id + ": " + reason})
		}
		return
	}
	avoid := make(map[string]time.Time, len(r.avoid)+1)
	for k, v := range r.avoid {
		avoid[k] = v
	}
	avoid[id] = now.Add(avoidFor)
	r.avoid = avoid
	d.jobs.mu.Unlock()
	d.tryShort(r)
}

func (d *Daemon) answerShort(r *running, id, attemptID string, result wire.RunResult) {
	sum, err := wire.ParseChecksum("checksum", result.Checksum)
	if err != nil {
		d.retryShort(r, id, err.Error())
		return
	}
	body, err := wire.Bytes("body", result.Body)
	if err != nil {
		d.retryShort(r, id, err.Error())
		return
	}
	a := outcome.Answer{Length: int64(result.Length), Checksum: sum, Body: body}
	if len(body) != result.Length {
		a.Body = nil
		a.Parts = []outcome.Part{{VM: id, Attempt: attemptID, Length: int64(result.Length), Checksum: sum}}
	}
	d.jobs.mu.Lock()
	d.jobs.faults.RecordSuccess(id)
	d.jobs.model.Observe(r.job, time.Duration(result.RanMs)*time.Millisecond)
	r.startedAt = time.Now().Add(-time.Duration(result.RanMs) * time.Millisecond)
	d.jobs.mu.Unlock()
	d.endShort(r, a)
}

// expired is the outcome of a short request whose deadline passed. It is not
// run only when it was never sent, or every VM that got it refused it.
func (d *Daemon) expired(r *running) outcome.Outcome {
	d.jobs.mu.Lock()
	defer d.jobs.mu.Unlock()
	if !r.mayHaveRun {
		return outcome.NotRun{Rule: "deadlinePassed", Reason: "no VM took the request before its deadline"}
	}
	return outcome.Unknown{Reason: fmt.Sprintf("the deadline passed after %d tries, of which one may have run", r.tries)}
}

func (d *Daemon) cancelledShort(r *running) outcome.Outcome {
	d.jobs.mu.Lock()
	defer d.jobs.mu.Unlock()
	if !r.mayHaveRun {
		return outcome.NotRun{Rule: "cancelledBeforeStart", Reason: "the caller cancelled the request before any VM started it"}
	}
	return outcome.Failed{Reason: "cancelled by the caller", Cancelled: true}
}

func (d *Daemon) endShort(r *running, o outcome.Outcome) {
	d.jobs.mu.Lock()
	first := r.outcome == nil
	r.end(o)
	others := maps.Clone(r.sent)
	d.jobs.mu.Unlock()
	if !first {
		return
	}
	d.releaseShort(r.job.ID, others, "another try has ended the request")
	d.shorts.Add(-1)
	d.count("short." + string(outcome.KindOf(o)))
	d.ring.Add(timeline.Event{Kind: "jobEnded", Job: r.job.ID, Org: r.job.Org, Detail: describe(o)})
}

// releaseShort tells agents to drop or stop tries of a short request.
func (d *Daemon) releaseShort(jobID string, sent map[string]string, reason string) {
	for attemptID, id := range sent {
		if conn := d.agentOf(id); conn != nil {
			p := wire.ReleaseParams{Job: jobID, Attempt: attemptID, Reason: reason}
			send(d, conn, agent.MethodRelease, p, time.Now().Add(orderTimeout), func(wire.ReleaseResult, error) {})
		}
	}
}

// chooseVM picks the VM with the most room for a short task: one with free
// accelerators if there is one, then the fewest short requests in flight from
// this entry, ties broken at random so that entries spread their choices.
func (d *Daemon) chooseVM(j job.Job, avoid map[string]time.Time, failedOn map[string]bool, now time.Time) (string, *rpc.Conn) {
	s, err := selector.Parse(j.Selector)
	if err != nil {
		return "", nil
	}
	best, bestFree, bestLoad := "", false, 0
	views := d.recentViews(now)
	d.vms.mu.Lock()
	defer d.vms.mu.Unlock()
	offset := rand.IntN(len(views) + 1)
	for i := range views {
		v := views[(i+offset)%len(views)]
		t := d.vms.byID[v.ID]
		if t == nil || closed(t.conn) || t.suspect || !v.Usable(now) || !s.Matches(v.EffectiveLabels) || v.Accelerators < j.AcceleratorsPerTask ||
			failedOn[v.ID] || now.Before(avoid[v.ID]) || t.short >= max(1, v.Connections) {
			continue
		}
		free := hasRoom(v, t.short, j.AcceleratorsPerTask)
		if best == "" || free && !bestFree || free == bestFree && t.short < bestLoad {
			best, bestFree, bestLoad = v.ID, free, t.short
		}
	}
	if best == "" {
		return "", nil
	}
	d.vms.byID[best].short++
	return best, d.vms.byID[best].conn
}

// jobFailed takes the failure of a job's task on a VM, and reports whether the
// job is at fault and ends with its own error.
func (d *Daemon) jobFailed(r *running, id, reason string) bool {
	d.jobs.mu.Lock()
	verdict := d.jobs.faults.RecordFailure(id, r.job.ID, time.Now())
	d.jobs.mu.Unlock()
	d.ring.Add(timeline.Event{Kind: "taskFailed", Job: r.job.ID, Org: r.job.Org, VM: id, Detail: reason})
	if verdict.Quarantined {
		d.count("vmQuarantined")
		d.logger.WithFields(logrus.Fields{"vm": id, "until": verdict.QuarantinedUntil}).Warn("VM quarantined")
		d.ring.Add(timeline.Event{Kind: "vmQuarantined", VM: id, Detail: "until " + verdict.QuarantinedUntil.Format(time.RFC3339)})
	}
	if verdict.JobFaulty {
		d.count("jobFailsEverywhere")
	}
	return verdict.JobFaulty
}

// anotherVM reports whether a usable VM that the selector allows is left on
// which the job has not failed.
func (d *Daemon) anotherVM(j job.Job, failedOn map[string]bool, now time.Time) bool {
	s, err := selector.Parse(j.Selector)
	if err != nil {
		return false
	}
	return slices.ContainsFunc(d.recentViews(now), func(v vm.View) bool {
		return !failedOn[v.ID] && !v.Lost && !v.Draining && s.Matches(v.EffectiveLabels)
	})
}

// hasRoom reports whether a VM has free accelerators and slots beyond the short
// requests that are on their way to it.
func hasRoom(v vm.View, short, accelerators int) bool {
	return v.FreeSlots() > short && v.FreeAccelerators() >= (short+1)*accelerators
}
