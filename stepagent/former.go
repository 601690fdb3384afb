package stepagent

import (
	"cmp"
	"slices"
	"time"

	"celerypoint.example/celerypoint/eventlog"
	"celerypoint.example/celerypoint/wire"
	"celerypoint.example/celerypoint/worker"
)

const (
	// formerReportTime is how long the agent reports an incarnation that has ended. It
	// covers the time until a new planner has replaced one that stopped at that moment,
	// also if its first successor stops as well.
	formerReportTime = 30 * time.Second
	// maxFormer bounds the ended incarnations that are reported.
	maxFormer = 8
)

// formerRun is a run that may have been in progress when its incarnation ended.
type formerRun struct {
	worker.Run
	startedAt time.Time
	// unanswered says that the worker neither answered the start order nor listed the run.
	unanswered bool
}

// formerWorker is an incarnation of the worker that has ended.
type formerWorker struct {
	incarnation string
	end         worker.IncarnationEnd
	// endedAt is when the worker stopped to answer, and not when the next incarnation
	// answered, because the ages of the runs would include the time for which it was down.
	endedAt time.Time
	// running is sorted by task.
	running []formerRun
	// ended are the ends that the planner had not stored. The worker can no longer list
	// them.
	ended []worker.Ended
	// reportUntil is when the agent stops reporting the incarnation.
	reportUntil time.Time
}

// retire records that the current incarnation has ended, because the worker answers as
// another. The runs that are in the table ended with it. The caller holds the mutex.
func (t *workerTable) retire(now time.Time) {
	if !t.identified() {
		return
	}
	endedAt := now
	if !t.unansweredSince.IsZero() {
		endedAt = t.unansweredSince
	}
	f := formerWorker{incarnation: t.name(), end: worker.IncarnationCrashed, endedAt: endedAt, ended: t.endedRuns, reportUntil: now.Add(formerReportTime)}
	if t.leaving || t.announced.Draining {
		f.end = worker.IncarnationLeft
	}
	for key, r := range t.runs {
		// The worker cannot have carried out an order that was not sent.
		if r.confirmed || r.sent {
			f.running = append(f.running, formerRun{key, r.startedAt, !r.confirmed})
		}
	}
	slices.SortFunc(f.running, func(x, y formerRun) int { return cmp.Compare(x.Task, y.Task) })
	t.former = append(t.former, f)
	t.former = t.former[max(0, len(t.former)-maxFormer):]
	if t.onRetired != nil {
		t.onRetired(f)
	}
}

// reportedFormer lists the ended incarnations that are still reported. The caller holds
// the mutex.
func (t *workerTable) reportedFormer(now time.Time) []wire.FormerWorker {
	t.former = slices.DeleteFunc(t.former, func(f formerWorker) bool { return now.After(f.reportUntil) })
	var all []wire.FormerWorker
	for _, f := range t.former {
		w := wire.FormerWorker{Boot: f.incarnation, End: string(f.end), Ended: encodeEnds(f.ended)}
		for _, r := range f.running {
			w.Running = append(w.Running, wire.FormerRun{Task: r.Task, Run: r.Number, AgeMs: int(max(0, f.endedAt.Sub(r.startedAt)).Milliseconds()), Unanswered: r.unanswered})
		}
		all = append(all, w)
	}
	return all
}

func encodeEnds(ends []worker.Ended) []wire.EndedTask {
	var all []wire.EndedTask
	for _, e := range ends {
		all = append(all, wire.EndedTask{Number: int(e.EndNumber), Task: e.Task, Run: e.Run.Number, End: string(e.Reason), Checkpoint: e.Checkpoint})
	}
	return all
}

// logRetired logs and counts the end of an incarnation, with the runs that may have
// caused it or were lost with it.
func (d *Daemon) logRetired(f formerWorker) {
	running := make([]string, 0, len(f.running))
	for _, r := range f.running {
		running = append(running, r.Task)
	}
	d.counters.Count("workerEnded." + string(f.end))
	d.log.Add("workerEnded", eventlog.Fields{"worker": f.incarnation, "end": string(f.end), "running": running, "unstoredEnds": len(f.ended), "endedMsAgo": time.Since(f.endedAt).Milliseconds()})
}
