package stepentry

import (
	"context"
	"time"

	"celerypoint.example/celerypoint/entry"
	"celerypoint.example/celerypoint/eventlog"
	"celerypoint.example/celerypoint/rpc"
	"celerypoint.example/celerypoint/stepfold"
	"celerypoint.example/celerypoint/steps"
	"celerypoint.example/celerypoint/wire"
)

// askTimeout bounds a question to the planner's entry, which may read the store for its
// answer; see catchUpTimeout.
const askTimeout = catchUpTimeout + 100*time.Millisecond

// stateByPlanner returns the phase that the planner's entry gives for a job.
func (d *Daemon) stateByPlanner(ctx context.Context, id string) (stepfold.Phase, steps.Outcome) {
	conn := d.openPlannerConn()
	if conn == nil {
		return "", steps.OutcomeRefused
	}
	bounded, cancel := context.WithTimeout(ctx, askTimeout)
	defer cancel()
	result, err := entry.Client{Conn: conn}.JobPhase(bounded, wire.JobPhaseParams{ID: id})
	if err != nil {
		d.askFailed(conn, err)
		return "", steps.OutcomeRefused
	}
	d.counters.Count("phaseAsked." + string(result.Outcome))
	switch result.Outcome {
	case wire.JobPhaseResultOutcomeFound:
		return stepfold.Phase(result.Phase), steps.OutcomeOK
	case wire.JobPhaseResultOutcomeNotFound:
		return "", steps.OutcomeJobNotFound
	}
	return "", steps.OutcomeRefused
}

// pendingByPlanner returns the number that the planner's entry gives for a queue.
func (d *Daemon) pendingByPlanner(queue string) (int, steps.Outcome) {
	conn := d.openPlannerConn()
	if conn == nil {
		return 0, steps.OutcomeRefused
	}
	bounded, cancel := context.WithTimeout(d.ctx, pingTimeout)
	defer cancel()
	result, err := entry.Client{Conn: conn}.PendingJobs(bounded, wire.PendingJobsParams{Queue: queue})
	if err != nil {
		d.askFailed(conn, err)
		return 0, steps.OutcomeRefused
	}
	if !result.Known {
		d.counters.Count("pendingAsked.notKnown")
		return 0, steps.OutcomeRefused
	}
	d.counters.Count("pendingAsked.known")
	return result.Count, steps.OutcomeOK
}

func (d *Daemon) askFailed(conn *rpc.Conn, err error) {
	d.counters.Count("plannerAskFailed")
	d.log.Add("plannerAskFailed", eventlog.Fields{"peer": conn.Remote(), "cause": err.Error()})
}

// handleJobPhase answers stateByPlanner of another entry.
func (d *Daemon) handleJobPhase(r *rpc.Request) {
	var params wire.JobPhaseParams
	if err := r.Decode(&params); err != nil {
		r.Fail(err)
		return
	}
	ctx, cancel := context.WithTimeout(d.ctx, catchUpTimeout)
	defer cancel()
	result := wire.JobPhaseResult{Outcome: wire.JobPhaseResultOutcomeNotKnown}
	switch phase, outcome := d.ownState(ctx, params.ID); outcome {
	case steps.OutcomeOK:
		result = wire.JobPhaseResult{Outcome: wire.JobPhaseResultOutcomeFound, Phase: string(phase)}
	case steps.OutcomeJobNotFound:
		result.Outcome = wire.JobPhaseResultOutcomeNotFound
	}
	r.Reply(result)
}

// handlePendingJobs answers pendingByPlanner of another entry.
func (d *Daemon) handlePendingJobs(r *rpc.Request) {
	var params wire.PendingJobsParams
	if err := r.Decode(&params); err != nil {
		r.Fail(err)
		return
	}
	n, outcome := d.ownPending(params.Queue)
	r.Reply(wire.PendingJobsResult{Known: outcome == steps.OutcomeOK, Count: n})
}
