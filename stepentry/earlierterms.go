package stepentry

import (
	"context"
	"time"

	"celerypoint.example/celerypoint/boottime"
	"celerypoint.example/celerypoint/entry"
	"celerypoint.example/celerypoint/eventlog"
	"celerypoint.example/celerypoint/pause"
	"celerypoint.example/celerypoint/stepfold"
	"celerypoint.example/celerypoint/termhistory"
	"celerypoint.example/celerypoint/wire"
)

// resolveInterval is how often a planner asks the processes of earlier planners whether they may
// still grant leases.
const resolveInterval = 300 * time.Millisecond

// resolveOwnTerms records that the earlier terms of this process, and of former processes of
// this entry, are over. This process plans in no term when it begins one. The caller holds the
// records' mutex.
func (d *Daemon) resolveOwnTerms(now time.Time) {
	for _, t := range d.records.terms.Unresolved(now) {
		if t.Planner.Entry == d.cfg.Name && t.Planner.BootID == d.bootID || d.isFormerProcess(t.Planner) {
			d.records.terms.RecordOver(t.Planner, now)
		}
	}
}

// resolveEarlierTerms asks the processes of earlier planners, until none is left that may still
// grant leases or the term ends. With each that proves to be over, runs on VMs without an agent
// may count as ended sooner.
func (d *Daemon) resolveEarlierTerms(ctx context.Context, self stepfold.Planner) {
	for ctx.Err() == nil {
		d.records.mu.Lock()
		unresolved := d.records.terms.Unresolved(boottime.Now())
		d.records.mu.Unlock()
		if len(unresolved) == 0 {
			return
		}
		for _, t := range unresolved {
			if a, err := d.askPlannerProcess(ctx, t.Planner); err == nil && t.ProvesOver(a) {
				d.recordTermOver(ctx, self, t.Planner)
			}
		}
		pause.For(ctx, resolveInterval)
	}
}

// askPlannerProcess asks the process at the address of a planner who it is, over a connection of
// its own.
func (d *Daemon) askPlannerProcess(ctx context.Context, p stepfold.Planner) (termhistory.Answer, error) {
	bounded, cancel := context.WithTimeout(ctx, pingTimeout)
	defer cancel()
	conn, err := d.rpc.Dial(bounded, p.Address)
	if err != nil {
		return termhistory.Answer{}, err
	}
	defer conn.Close()
	pong, err := entry.Client{Conn: conn}.PingPlanner(bounded, wire.PlannerPing{Term: int(p.Term)})
	return termhistory.Answer{BootID: pong.Boot, Term: int64(pong.Term)}, err
}

// recordTermOver records that an earlier term is over, and passes the bound that follows from it
// to the scheduler.
func (d *Daemon) recordTermOver(ctx context.Context, self, over stepfold.Planner) {
	d.records.mu.Lock()
	defer d.records.mu.Unlock()
	now := boottime.Now()
	d.records.terms.RecordOver(over, now)
	d.planner.mu.Lock()
	defer d.planner.mu.Unlock()
	if d.planner.scheduler == nil || ctx.Err() != nil {
		return
	}
	until := d.records.terms.EarlierLeasesExpireBy(self, now, d.planner.timing.LeaseDuration)
	if until.Before(d.planner.scheduler.EarlierLeasesUntil) {
		d.planner.scheduler.EarlierLeasesUntil = until
	}
	d.counters.Count("earlierTermOver")
	d.log.Add("earlierTermOver", eventlog.Fields{"term": over.Term, "planner": over.Entry, "earlierLeasesMs": d.planner.scheduler.EarlierLeasesUntil.Sub(now).Milliseconds()})
}
