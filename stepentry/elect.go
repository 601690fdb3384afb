package stepentry

import (
	"context"
	"math/rand/v2"
	"time"

	"celerypoint.example/celerypoint/boottime"
	"celerypoint.example/celerypoint/codec"
	"celerypoint.example/celerypoint/eventlog"
	"celerypoint.example/celerypoint/pause"
	"celerypoint.example/celerypoint/recordlog"
	"celerypoint.example/celerypoint/stepfold"
	"celerypoint.example/celerypoint/stepplan"
)

// Timing and numbering of the election of the planner.
const (
	// electionInterval is how often an entry checks whether it has to take over
	// from the planner.
	electionInterval = 150 * time.Millisecond
	// heartbeatInterval is how often the planner stores a heartbeat record. Package
	// termhistory takes the number of heartbeats for a bound of a term's age, so that a
	// shorter interval has to be changed there first.
	heartbeatInterval = 500 * time.Millisecond
	// heartbeatTimeout is how long an entry that can read the store waits for a
	// heartbeat before it takes over, unless a ping shows that the planner still
	// appends. The wait begins with the last heartbeat that the entry read or,
	// if that is later, when the store became readable for it again. When the
	// store is slow, an append takes up to half a second, so the heartbeats of a
	// live planner are up to 1 s apart.
	heartbeatTimeout = 1800 * time.Millisecond
	// pingInterval is how often an entry pings the planner's process. It also pings
	// when its connection to the planner closes and when a heartbeat is overdue.
	pingInterval = time.Second
	// pingTimeout bounds a ping. The network delay between entries is a few
	// milliseconds.
	pingTimeout = 400 * time.Millisecond
	// claimJitter is the upper bound of the random wait before a claim. The wait
	// makes it unlikely that several entries claim at the same time after they
	// have noticed the loss of the planner together.
	claimJitter = 120 * time.Millisecond
	// plannerCPUShare is the share of a core that a planner needs for some hundred VMs.
	// An entry on a smaller VM waits longer before it claims, up to maxClaimHandicap,
	// so that a larger one becomes the planner if there is any.
	plannerCPUShare  = 0.4
	maxClaimHandicap = 250 * time.Millisecond
	// claimRetryPause is the longest wait after a failed read before a claim.
	claimRetryPause = 500 * time.Millisecond
	// slowStore is the time of a call from which on the store counts as slow for everybody.
	// Another planner, or an append by another entry, would then only add to its load.
	slowStore = 150 * time.Millisecond
	// preemptDelay is how long a new planner waits for the reports of its VMs before it
	// stops runs to make room. It is a fraction of the time in which a guarantee has to be
	// reclaimed, and several times that of attaching all agents.
	preemptDelay = 400 * time.Millisecond
	// claimTimeout bounds the append of a claim.
	claimTimeout = 3 * time.Second
	// applyTimeout bounds the wait until the claim's own record has been read
	// back and applied.
	applyTimeout = 3 * time.Second
	// termRange is the size of the block of numbers from which a claim chooses
	// its term at random. The random choice makes it unlikely that two entries
	// that claim at the same time choose the same term.
	termRange = 1000
	// producer is the producer name of all planners' appends to the store. They
	// share it, so that the store refuses the appends of earlier terms.
	producer = "planner"
)

// elect watches the planner. It claims a new term when there is no planner yet,
// when the planner has resigned, its process has ended or it cannot store records, or when
// neither heartbeats nor pings show that the planner is still working. It claims none
// while the records of this entry are out of date or this entry is stopping.
func (d *Daemon) elect(ctx context.Context) {
	var pinged time.Time
	health := healthUnknown
	for ctx.Err() == nil {
		pause.For(ctx, electionInterval)
		if d.isPlanner() || d.stopping.Load() {
			continue
		}
		now := boottime.Now()
		d.records.mu.Lock()
		p, readable := d.records.state.Planner, !d.records.readableSince.IsZero()
		fresh := readable && d.fresh()
		sinceHeartbeat := now.Sub(later(d.records.heartbeatAt, d.records.readableSince))
		d.records.mu.Unlock()
		// An entry that cannot read keeps its connection to the planner, which confirms or
		// sends the configuration and stores records for it.
		interval := pingInterval
		if !readable || d.configState().readFailing {
			interval = pingInterval / 2
		}
		if p.Term > 0 && (now.Sub(pinged) >= interval || fresh && sinceHeartbeat > heartbeatTimeout || d.plannerLinkClosed()) {
			pinged = now
			health = d.checkPlanner(ctx, p)
		}
		if !fresh {
			continue
		}
		reason, stuck := "", false
		switch {
		case p.Term == 0:
			reason = "no planner yet"
		case p.Resigned:
			reason = "the planner resigned"
		case d.isFormerProcess(p):
			reason = "this entry was the planner before its restart"
		case health == healthGone:
			reason = "the planner's process has ended"
		case d.plannerSaidStuck(p.Term):
			reason, stuck = "the planner cannot store records", true
		case sinceHeartbeat > heartbeatTimeout && health != healthPlanning:
			reason = "no heartbeat from the planner"
		default:
			continue
		}
		pause.For(ctx, claimHandicap(d.cfg.CPUShare)+rand.N(claimJitter))
		// Another entry may have claimed while this one waited. Only an entry that the
		// store serves now can take over.
		reading := boottime.Now()
		if err := d.catchUp(ctx); err != nil || stuck && boottime.Now().Sub(reading) > slowStore {
			d.counters.Count("claimWithoutRead")
			pause.For(ctx, claimRetryPause/2+rand.N(claimRetryPause/2))
			continue
		}
		if stuck && d.checkPlanner(ctx, p) == healthPlanning && d.plannerStoredWithin(stuckAfter) {
			d.clearStuck(p.Term)
			continue
		}
		if health == healthGone && d.checkPlanner(ctx, p) != healthGone {
			// The network refused connections to a process that lives.
			health = healthUnknown
			continue
		}
		d.records.mu.Lock()
		unchanged := d.records.state.Planner.Term == p.Term && d.records.state.Planner.Heartbeat == p.Heartbeat
		d.records.mu.Unlock()
		if unchanged {
			d.claimTerm(ctx, p, reason)
		}
		health = healthUnknown
	}
}

// isFormerProcess reports whether the planner is an earlier process of this entry. This one
// listens at its address, so it has ended. A process of the same name at another address
// may live on another machine.
func (d *Daemon) isFormerProcess(p stepfold.Planner) bool {
	return p.Entry == d.cfg.Name && p.BootID != d.bootID && p.Address == d.address()
}

// claimHandicap is how much longer an entry with the share of a core waits before a
// claim than one with at least plannerCPUShare.
func claimHandicap(cpuShare float64) time.Duration {
	if cpuShare <= 0 || cpuShare >= plannerCPUShare {
		return 0
	}
	return min(maxClaimHandicap, time.Duration((plannerCPUShare/cpuShare-1)*float64(maxClaimHandicap)))
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

func (d *Daemon) isPlanner() bool {
	d.planner.mu.Lock()
	defer d.planner.mu.Unlock()
	return d.planner.scheduler != nil
}

// randomTerm returns a random term from the block of termRange numbers that
// follows the block of the term before. It never returns the last number of a
// block, so that term+1, the epoch of a resignation, is below all terms of the
// next block.
func randomTerm(before int64) int64 {
	return (before/termRange+1)*termRange + rand.Int64N(termRange-1)
}

// claimTerm stores a claim to a new term, waits until the claim has been read
// back, and then begins the term.
func (d *Daemon) claimTerm(ctx context.Context, before stepfold.Planner, reason string) {
	term := d.chooseTerm(before.Term)
	fence := recordlog.Fence{Producer: producer, Epoch: term}
	self := stepfold.Planner{Entry: d.cfg.Name, BootID: d.bootID, Address: d.address(), Term: term, Heartbeat: 1}
	record, err := codec.EncodeStepRecord(stepfold.PlannerUpdated{Planner: self})
	if err != nil {
		d.log.Add("claimFailed", eventlog.Fields{"cause": err.Error()})
		return
	}
	begun := boottime.Now()
	bounded, cancel := context.WithTimeout(ctx, claimTimeout)
	defer cancel()
	offset, err := recordlog.AppendWithRetry(bounded, d.cfg.Log, d.cfg.Topic, &fence, []recordlog.Record{record})
	if err != nil {
		d.log.Add("claimFailed", eventlog.Fields{"term": term, "reason": reason, "cause": err.Error()})
		return
	}
	d.log.Add("claimStored", eventlog.Fields{"term": term, "reason": reason, "before": before.Entry, "offset": offset})
	if d.waitApplied(ctx, offset) {
		fence.Sequence++
		d.beginTerm(self, fence, begun)
	}
}

// waitApplied reads and applies records until those up to the offset have been
// applied. It reports false when that takes longer than applyTimeout or ctx ends.
func (d *Daemon) waitApplied(ctx context.Context, offset int64) bool {
	bounded, cancel := context.WithTimeout(ctx, applyTimeout)
	defer cancel()
	if err := d.catchUp(bounded); err != nil {
		// followRecords goes on reading.
		d.counters.Count("catchUpFailed")
	}
	for {
		d.records.mu.Lock()
		through := d.records.state.LastApplied
		d.records.mu.Unlock()
		if through >= offset {
			return true
		}
		select {
		case <-bounded.Done():
			return false
		case <-d.records.applied:
		}
	}
}

// beginTerm makes this entry the planner, unless another process is the planner
// according to the newest record or this entry is stopping. The claim has been
// read back, so the record table includes everything that earlier planners
// stored: since the claim the store refuses their appends. claimedAt is when the
// append of the claim began.
func (d *Daemon) beginTerm(self stepfold.Planner, fence recordlog.Fence, claimedAt time.Time) {
	now := boottime.Now()
	d.config.mu.Lock()
	defer d.config.mu.Unlock()
	d.records.mu.Lock()
	defer d.records.mu.Unlock()
	// Another entry may have claimed the same term. The store then treats the
	// second claim as a repetition of the first, and only the first claim's
	// record is stored.
	if p := d.records.state.Planner; p.Term != self.Term || p.Entry != self.Entry || p.BootID != self.BootID || d.stopping.Load() {
		d.log.Add("claimLost", eventlog.Fields{"term": self.Term, "planner": p.Entry, "newest": p.Term})
		return
	}
	d.planner.mu.Lock()
	defer d.planner.mu.Unlock()
	timing := d.planner.timing
	scheduler := stepplan.New(timing, stepplan.WithPolicy(d.planner.policy))
	if d.config.known {
		scheduler.Configure(d.config.current)
	}
	scheduler.Evacuated, scheduler.PreemptFrom = d.config.evacuatedZones(), now.Add(preemptDelay)
	d.resolveOwnTerms(now)
	scheduler.EarlierLeasesUntil = d.records.terms.EarlierLeasesExpireBy(self, now, timing.LeaseDuration)
	wall := time.Now()
	for id, e := range d.records.state.Jobs {
		if e.Job == nil && e.Cancelled {
			scheduler.Cancel(id, now)
			continue
		}
		scheduler.RestoreJob(*e, wall, now)
	}
	ctx, cancel := context.WithCancel(d.ctx)
	d.planner.scheduler, d.planner.term, d.planner.fence = scheduler, self.Term, fence
	d.planner.lastAppendAt, d.planner.lastAppendTook, d.planner.cancel = claimedAt, 0, cancel
	for name, a := range d.records.state.Agents {
		d.setAgentAddress(name, a)
	}
	d.log.Add("termBegun", eventlog.Fields{
		"term": self.Term, "jobs": len(scheduler.Jobs), "agents": len(d.planner.links), "earlierLeasesMs": scheduler.EarlierLeasesUntil.Sub(now).Milliseconds(),
	})
	d.goroutines.Go(func() { d.runPasses(ctx, self) })
	d.goroutines.Go(func() { d.attachAgents(ctx) })
	d.goroutines.Go(func() { d.resolveEarlierTerms(ctx, self) })
}

// endTermIfSuperseded ends this entry's term when a later term has been claimed.
// The caller holds the records' mutex.
func (d *Daemon) endTermIfSuperseded(p stepfold.Planner) {
	d.planner.mu.Lock()
	defer d.planner.mu.Unlock()
	if d.planner.scheduler != nil && p.Term > d.planner.term {
		d.endTerm("a later term began")
	}
}

// endTerm stops planning and closes the sessions with all agents. The caller
// holds the planner's mutex.
func (d *Daemon) endTerm(reason string) {
	if d.planner.scheduler == nil {
		return
	}
	d.log.Add("termEnded", eventlog.Fields{"term": d.planner.term, "reason": reason})
	d.planner.cancel()
	d.planner.scheduler = nil
	for _, l := range d.planner.links {
		if l.conn != nil {
			l.conn.Close()
		}
	}
	d.planner.links = map[string]*agentLink{}
	clear(d.planner.watchers)
}

// resignTimeout bounds the append of a resignation.
const resignTimeout = 500 * time.Millisecond

// resignTerm ends the term, if this entry is the planner, and stores that it has
// resigned, so that another entry claims a new term at once.
func (d *Daemon) resignTerm(ctx context.Context) {
	d.planner.mu.Lock()
	if d.planner.scheduler == nil {
		d.planner.mu.Unlock()
		return
	}
	self := stepfold.Planner{Entry: d.cfg.Name, BootID: d.bootID, Address: d.address(), Term: d.planner.term, Resigned: true}
	d.endTerm("the entry stops")
	d.planner.mu.Unlock()
	record, err := codec.EncodeStepRecord(stepfold.PlannerUpdated{Planner: self})
	if err != nil {
		d.log.Add("resignFailed", eventlog.Fields{"cause": err.Error()})
		return
	}
	// The resignation has a higher epoch than the term's other appends, so that
	// the store refuses those still in flight and stores none of them after the
	// resignation.
	fence := recordlog.Fence{Producer: producer, Epoch: self.Term + 1}
	bounded, cancel := context.WithTimeout(ctx, resignTimeout)
	defer cancel()
	if _, err := recordlog.AppendWithRetry(bounded, d.cfg.Log, d.cfg.Topic, &fence, []recordlog.Record{record}); err != nil {
		d.log.Add("resignFailed", eventlog.Fields{"cause": err.Error()})
	}
}
