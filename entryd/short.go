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
	"celerypoint.example/celerypoint/crashes"
	"celerypoint.example/celerypoint/job"
	"celerypoint.example/celerypoint/outcome"
	"celerypoint.example/celerypoint/rpc"
	"celerypoint.example/celerypoint/selector"
	"celerypoint.example/celerypoint/timeline"
	"celerypoint.example/celerypoint/vm"
	"celerypoint.example/celerypoint/wire"
)

const (
	// defaultShortTimeout is the time limit of a short request without a deadline.
	defaultShortTimeout = 10 * time.Minute
	// noVMRetryInterval is the pause before another try to find a VM for a short
	// request.
	noVMRetryInterval = 200 * time.Millisecond
	// noVMTimeout is the time after its acceptance from which on a short request
	// ends as not run when no VM can take it, unless an earlier try may have run.
	noVMTimeout = 5 * time.Second
	// maxTriesIfRefused is the number of tries, refused or not, from which on a
	// short request ends when a VM refuses it for lack of capacity.
	maxTriesIfRefused = 3
	// replyGrace is how long after the deadline the entry waits for the agent's
	// reply. An agent that has not started the request refuses it at the
	// deadline, and only this reply shows that the request was not run.
	replyGrace = time.Second
	// avoidDuration is how long a job is not placed on a VM that refused it or
	// where a try failed.
	avoidDuration = time.Second
)

// submitShort accepts a short request, which is not recorded in the log, and sends
// it to a VM.
func (d *Daemon) submitShort(j job.Job) job.View {
	r := &trackedJob{
		job: j, phase: job.PhaseWaiting, waitingSince: j.AcceptedAt,
		avoidUntil: map[string]time.Time{}, inFlight: map[string]string{}, done: make(chan struct{}),
	}
	d.jobs.mu.Lock()
	d.jobs.byID[j.ID] = r
	d.jobs.retryBudget.RecordRequest()
	d.jobs.mu.Unlock()
	d.pendingShorts.Add(1)
	d.ring.Add(timeline.Event{Kind: "jobAccepted", Job: j.ID, Org: j.Org, Detail: "short"})
	d.runOnPool(func() { d.tryShort(r) })
	v, _ := d.localView(j.ID)
	return v
}

// tryShort sends a short request to a VM, or ends it when it was cancelled or its
// deadline has passed. When no VM can take it now, tryShort runs again after
// noVMRetryInterval, unless hasUntriedVM finds no VM on which the request has not
// failed, or the request has waited for longer than noVMTimeout and no earlier try may
// have run. The request then ends.
func (d *Daemon) tryShort(r *trackedJob) {
	now := time.Now()
	deadline := r.deadline()
	if !now.Before(deadline) {
		d.endShort(r, d.expiredOutcome(r))
		return
	}
	d.jobs.mu.Lock()
	cancelled, avoidUntil := r.cancelRequested, r.avoidUntil
	failedOn := d.jobs.failures.FailedVMs(r.job.ID)
	mayHaveRun := r.mayHaveRun
	d.jobs.mu.Unlock()
	if cancelled {
		d.endShort(r, d.cancelledOutcome(r))
		return
	}
	if d.sendShort(r, avoidUntil, failedOn, deadline, now) {
		return
	}
	if len(failedOn) > 0 && !d.hasUntriedVM(r.job, failedOn, now) {
		d.endShort(r, outcome.Failed{Reason: "jobFailsEverywhere: it failed on every VM that matches its selector"})
		return
	}
	if now.Sub(r.job.AcceptedAt) > noVMTimeout && !mayHaveRun {
		d.endShort(r, outcome.NotRun{Rule: "noVMReachable", Reason: "no VM that matches the selector can be reached"})
		return
	}
	time.AfterFunc(noVMRetryInterval, func() { d.runOnPool(func() { d.tryShort(r) }) })
}

// sendShort sends a short request to the VM that chooseVM picks. It returns false
// when there is none.
func (d *Daemon) sendShort(r *trackedJob, avoidUntil map[string]time.Time, failedOn map[string]bool, deadline, now time.Time) bool {
	vmID, conn := d.chooseVM(r.job, avoidUntil, failedOn, now)
	if conn == nil {
		return false
	}
	d.jobs.mu.Lock()
	r.tries++
	attemptID := r.job.ID + "/" + strconv.Itoa(r.tries)
	r.inFlight[attemptID] = vmID
	r.phase, r.vms = job.PhaseStarting, []string{vmID}
	d.jobs.mu.Unlock()
	params := wire.RunParams{Job: codec.EncodeJob(r.job), Attempt: attemptID, QueueMs: int(deadline.Sub(now).Milliseconds()), Config: d.vmConfig(vmID)}
	d.count("shortSent")
	send(d, conn, agent.MethodRun, params, deadline.Add(replyGrace), func(result wire.RunResult, err error) {
		d.handleShortResult(r, vmID, attemptID, result, err)
	})
	return true
}

// hedgeShorts sends the short requests whose only try without a result is at the
// given suspect VM to another VM as well, as far as the retry budget allows. This
// is safe because they are idempotent. The first answer ends the request.
func (d *Daemon) hedgeShorts(vmID string, now time.Time) {
	d.jobs.mu.Lock()
	var waiting []*trackedJob
	for _, r := range d.jobs.byID {
		if r.recorded || r.outcome != nil || r.cancelRequested || len(r.inFlight) != 1 {
			continue
		}
		for _, triedVM := range r.inFlight {
			if triedVM == vmID {
				waiting = append(waiting, r)
			}
		}
	}
	d.jobs.mu.Unlock()
	for _, r := range waiting {
		d.jobs.mu.Lock()
		allowed := d.jobs.retryBudget.AllowRetry(now)
		failedOn := d.jobs.failures.FailedVMs(r.job.ID)
		d.jobs.mu.Unlock()
		if !allowed {
			d.count("retryBudgetSpent")
			return
		}
		if d.sendShort(r, map[string]time.Time{vmID: now.Add(avoidDuration)}, failedOn, r.deadline(), now) {
			d.count("shortHedged")
			d.ring.Add(timeline.Event{Kind: "shortHedged", Job: r.job.ID, Org: r.job.Org, VM: vmID, Detail: "no announcement from the VM in time"})
		}
	}
}

// deadline returns the deadline that the caller gave a short request, or
// defaultShortTimeout after its acceptance. The request can end up to replyGrace
// later, when a try is in flight at the deadline.
func (r *trackedJob) deadline() time.Time {
	if r.job.Deadline.IsZero() {
		return r.job.AcceptedAt.Add(defaultShortTimeout)
	}
	return r.job.Deadline
}

// handleShortResult handles the result of one try of a short request. The request
// ends, is tried again, or waits for the result of another try.
func (d *Daemon) handleShortResult(r *trackedJob, vmID, attemptID string, result wire.RunResult, err error) {
	d.vms.mu.Lock()
	if t := d.vms.byID[vmID]; t != nil && t.shortInFlight > 0 {
		t.shortInFlight--
	}
	d.vms.mu.Unlock()
	d.jobs.mu.Lock()
	delete(r.inFlight, attemptID)
	r.mayHaveRun = r.mayHaveRun || err != nil || result.Status != wire.RunStatusRefused
	ended, others := r.outcome != nil, len(r.inFlight)
	d.jobs.mu.Unlock()
	if ended {
		return
	}
	if others > 0 && (err != nil || result.Status != wire.RunStatusAnswered) {
		// Another try is in flight, and its result decides.
		d.count("shortOtherTryDecides")
		return
	}
	if err != nil {
		d.count("shortRetriedUnreachable")
		d.retryShort(r, vmID, fmt.Sprintf("VM %s: %v", vmID, err))
		return
	}
	switch result.Status {
	case wire.RunStatusAnswered:
		d.handleShortAnswer(r, vmID, attemptID, result)
	case wire.RunStatusFailed:
		if d.recordFailure(r, vmID, result.Reason) {
			d.endShort(r, outcome.Failed{Reason: "jobFailsEverywhere: most recently on VM " + vmID + ": " + result.Reason})
			return
		}
		d.count("shortRetriedFailed")
		d.retryShort(r, vmID, result.Reason)
	case wire.RunStatusRefused:
		d.count("shortRefused." + result.Rule)
		if result.Rule == "queueFull" || result.Rule == "deadlineUnreachable" {
			d.handleShortRefusal(r, vmID, result)
			return
		}
		d.retryShort(r, vmID, result.Rule)
	case wire.RunStatusCrashed:
		d.jobs.mu.Lock()
		r.crashes = r.crashes.Add(r.tries)
		blamed := r.crashes.Blamed()
		d.jobs.mu.Unlock()
		if blamed {
			d.count(crashes.Rule)
			d.endShort(r, outcome.Failed{Reason: crashes.Rule + ": most recently on VM " + vmID + ": " + result.Reason})
			return
		}
		d.count("shortRetriedCrashed")
		d.retryShort(r, vmID, result.Reason)
	default:
		d.retryShort(r, vmID, result.Reason)
	}
}

// handleShortRefusal retries a request that a VM refused for lack of capacity. From
// maxTriesIfRefused tries on it ends the request, because further tries would only
// add load.
func (d *Daemon) handleShortRefusal(r *trackedJob, vmID string, result wire.RunResult) {
	d.jobs.mu.Lock()
	tries := r.tries
	d.jobs.mu.Unlock()
	if tries < maxTriesIfRefused {
		d.retryShort(r, vmID, result.Rule)
		return
	}
	d.jobs.mu.Lock()
	mayHaveRun := r.mayHaveRun
	d.jobs.mu.Unlock()
	if mayHaveRun {
		d.endShort(r, outcome.Unknown{Reason: "an earlier try may have run, the last one was refused: " + result.Rule})
		return
	}
	d.endShort(r, outcome.NotRun{Rule: result.Rule, Reason: result.Reason})
}

// retryShort tries a short request again if the retry budget allows it, and ends the
// request otherwise. For avoidDuration tryShort leaves out the given VM.
func (d *Daemon) retryShort(r *trackedJob, vmID, reason string) {
	d.ring.Add(timeline.Event{Kind: "shortRetried", Job: r.job.ID, Org: r.job.Org, VM: vmID, Detail: reason})
	now := time.Now()
	d.jobs.mu.Lock()
	if !d.jobs.retryBudget.AllowRetry(now) {
		mayHaveRun := r.mayHaveRun
		d.jobs.mu.Unlock()
		d.count("retryBudgetSpent")
		if mayHaveRun {
			d.endShort(r, outcome.Unknown{Reason: "the retry budget is spent, the last try ended with: " + reason})
		} else {
			d.endShort(r, outcome.NotRun{Rule: "retryBudgetSpent", Reason: "refused by VM " + vmID + ": " + reason})
		}
		return
	}
	avoidUntil := make(map[string]time.Time, len(r.avoidUntil)+1)
	for k, v := range r.avoidUntil {
		avoidUntil[k] = v
	}
	avoidUntil[vmID] = now.Add(avoidDuration)
	r.avoidUntil = avoidUntil
	d.jobs.mu.Unlock()
	d.tryShort(r)
}

// handleShortAnswer ends a short request with the answer of a try. If the reply does
// not contain the whole answer, the outcome names the VM that stores the answer.
func (d *Daemon) handleShortAnswer(r *trackedJob, vmID, attemptID string, result wire.RunResult) {
	sum, err := wire.ParseChecksum("checksum", result.Checksum)
	if err != nil {
		d.retryShort(r, vmID, err.Error())
		return
	}
	body, err := wire.Bytes("body", result.Body)
	if err != nil {
		d.retryShort(r, vmID, err.Error())
		return
	}
	a := outcome.Answer{Length: int64(result.Length), Checksum: sum, Body: body}
	if len(body) != result.Length {
		a.Body = nil
		a.Parts = []outcome.Part{{VM: vmID, Attempt: attemptID, Length: int64(result.Length), Checksum: sum}}
	}
	d.jobs.mu.Lock()
	d.jobs.failures.RecordSuccess(vmID)
	d.jobs.runTimes.Observe(r.job, time.Duration(result.RanMs)*time.Millisecond)
	r.startedAt = time.Now().Add(-time.Duration(result.RanMs) * time.Millisecond)
	d.jobs.mu.Unlock()
	d.endShort(r, a)
}

// expiredOutcome returns the outcome of a short request whose deadline passed. It is
// NotRun only when the request was never sent or every VM that received it refused
// it.
func (d *Daemon) expiredOutcome(r *trackedJob) outcome.Outcome {
	d.jobs.mu.Lock()
	defer d.jobs.mu.Unlock()
	if !r.mayHaveRun {
		return outcome.NotRun{Rule: "deadlinePassed", Reason: "no VM accepted the request before its deadline"}
	}
	return outcome.Unknown{Reason: fmt.Sprintf("the deadline passed after %d tries, at least one of which may have run", r.tries)}
}

// cancelledOutcome returns the outcome of a short request that the caller cancelled.
func (d *Daemon) cancelledOutcome(r *trackedJob) outcome.Outcome {
	d.jobs.mu.Lock()
	defer d.jobs.mu.Unlock()
	if !r.mayHaveRun {
		return outcome.NotRun{Rule: "cancelledBeforeStart", Reason: "the caller cancelled the request before any VM started it"}
	}
	return outcome.Failed{Reason: "cancelled by the caller", Cancelled: true}
}

// endShort sets the outcome of a short request unless it has one, and cancels the
// tries that are in flight.
func (d *Daemon) endShort(r *trackedJob, o outcome.Outcome) {
	d.jobs.mu.Lock()
	first := r.outcome == nil
	r.end(o)
	others := maps.Clone(r.inFlight)
	d.jobs.mu.Unlock()
	if !first {
		return
	}
	d.releaseShortTries(r.job.ID, others, "another try ended the request")
	d.pendingShorts.Add(-1)
	d.count("short." + string(outcome.KindOf(o)))
	d.ring.Add(timeline.Event{Kind: "jobEnded", Job: r.job.ID, Org: r.job.Org, Detail: describeOutcome(o)})
}

// releaseShortTries asks the agents to drop or stop tries of a short request. The
// map is from attempt ID to VM.
func (d *Daemon) releaseShortTries(jobID string, tries map[string]string, reason string) {
	for attemptID, vmID := range tries {
		if conn := d.agentConn(vmID); conn != nil {
			p := wire.ReleaseParams{Job: jobID, Attempt: attemptID, Reason: reason}
			send(d, conn, agent.MethodRelease, p, time.Now().Add(callTimeout), func(wire.ReleaseResult, error) {})
		}
	}
}

// chooseVM picks a VM for a short request and counts the request as in flight to it.
// It prefers VMs with free slots and accelerators, then those with the fewest short
// requests in flight from this entry. Ties are broken at random, so that the entries
// do not all choose the same VM. The connection is nil when no VM can take the
// request.
func (d *Daemon) chooseVM(j job.Job, avoidUntil map[string]time.Time, failedOn map[string]bool, now time.Time) (string, *rpc.Conn) {
	s, err := selector.Parse(j.Selector)
	if err != nil {
		return "", nil
	}
	best, bestFree, bestLoad := "", false, 0
	views := d.recentVMViews(now)
	d.vms.mu.Lock()
	defer d.vms.mu.Unlock()
	offset := rand.IntN(len(views) + 1)
	for i := range views {
		v := views[(i+offset)%len(views)]
		t := d.vms.byID[v.ID]
		if t == nil || isClosed(t.conn) || t.suspect || !v.Usable(now) || !s.Matches(v.EffectiveLabels) || v.Accelerators < j.AcceleratorsPerTask ||
			failedOn[v.ID] || now.Before(avoidUntil[v.ID]) || t.shortInFlight >= max(1, v.Connections) {
			continue
		}
		free := hasRoom(v, t.shortInFlight, j.AcceleratorsPerTask)
		if best == "" || free && !bestFree || free == bestFree && t.shortInFlight < bestLoad {
			best, bestFree, bestLoad = v.ID, free, t.shortInFlight
		}
	}
	if best == "" {
		return "", nil
	}
	d.vms.byID[best].shortInFlight++
	return best, d.vms.byID[best].conn
}

// recordFailure records that a job's task failed on a VM, which may quarantine the
// VM. It reports whether package quarantine considers the job itself faulty because it
// failed on too many VMs. The job then has to end as failed.
func (d *Daemon) recordFailure(r *trackedJob, vmID, reason string) bool {
	d.jobs.mu.Lock()
	verdict := d.jobs.failures.RecordFailure(vmID, r.job.ID, time.Now())
	d.jobs.mu.Unlock()
	d.ring.Add(timeline.Event{Kind: "taskFailed", Job: r.job.ID, Org: r.job.Org, VM: vmID, Detail: reason})
	if verdict.Quarantined {
		d.count("vmQuarantined")
		d.logger.WithFields(logrus.Fields{"vm": vmID, "until": verdict.QuarantinedUntil}).Warn("VM quarantined")
		d.ring.Add(timeline.Event{Kind: "vmQuarantined", VM: vmID, Detail: "until " + verdict.QuarantinedUntil.Format(time.RFC3339)})
	}
	if verdict.JobFaulty {
		d.count("jobFailsEverywhere")
	}
	return verdict.JobFaulty
}

// hasUntriedVM reports whether a VM matches the job's selector, is neither lost nor
// draining, and is not one on which the job has failed.
func (d *Daemon) hasUntriedVM(j job.Job, failedOn map[string]bool, now time.Time) bool {
	s, err := selector.Parse(j.Selector)
	if err != nil {
		return false
	}
	return slices.ContainsFunc(d.recentVMViews(now), func(v vm.View) bool {
		return !failedOn[v.ID] && !v.Lost && !v.Draining && s.Matches(v.EffectiveLabels)
	})
}

// hasRoom reports whether a VM has a free slot and free accelerators for one more
// short request with that number of accelerators, in addition to those in flight to
// it. Each of those is assumed to need as many accelerators as this one.
func hasRoom(v vm.View, inFlight, accelerators int) bool {
	return v.FreeSlots() > inFlight && v.FreeAccelerators() >= (inFlight+1)*accelerators
}
