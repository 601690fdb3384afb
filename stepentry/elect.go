package stepentry

import (
	"context"
	"math/rand/v2"
	"time"

	"celerypoint.example/celerypoint/access"
	"celerypoint.example/celerypoint/boottime"
	"celerypoint.example/celerypoint/codec"
	"celerypoint.example/celerypoint/eventlog"
	"celerypoint.example/celerypoint/lease"
	"celerypoint.example/celerypoint/pause"
	"celerypoint.example/celerypoint/recordlog"
	"celerypoint.example/celerypoint/stepfold"
	"celerypoint.example/celerypoint/stepplan"
)

// Election of the planner.
const (
	// electEvery is how often an entry looks at the planner's beats.
	electEvery = 150 * time.Millisecond
	// beatEvery is how often the planner writes a beat.
	beatEvery = 500 * time.Millisecond
	// beatLost is how long no beat is folded before another entry takes over.
	// A slow store takes up to half a second for an append, so that beats are
	// up to 1 s apart while the planner lives.
	beatLost = 1800 * time.Millisecond
	// pingEvery is how often the planner's process is asked whether it lives.
	pingEvery = 500 * time.Millisecond
	// pingTimeout bounds a ping; entries are a few milliseconds apart.
	pingTimeout = 400 * time.Millisecond
	// claimSpread is drawn from before a claim, so that entries that notice at
	// once do not all claim.
	claimSpread = 120 * time.Millisecond
	// claimTimeout bounds a claim.
	claimTimeout = 3 * time.Second
	// foldTimeout bounds the wait until a claim has been folded.
	foldTimeout = 3 * time.Second
	// termSpread leaves room between the terms of successive claims, so that
	// two entries that claim at once take different terms.
	termSpread = 1000
	// producer names the planners' appends to the store.
	producer = "planner"
)

// elect watches the planner and takes over when it is gone.
func (d *Daemon) elect(ctx context.Context) {
	var pinged time.Time
	health := healthUnknown
	for ctx.Err() == nil {
		pause.For(ctx, electEvery)
		if d.plans() || d.leaving.Load() {
			continue
		}
		now := boottime.Now()
		d.records.mu.Lock()
		p, fresh := d.records.state.Planner, d.fresh() && !d.records.steadySince.IsZero()
		quiet := now.Sub(later(d.records.beatAt, d.records.steadySince))
		d.records.mu.Unlock()
		if !fresh {
			continue
		}
		if now.Sub(pinged) >= pingEvery && p.Term > 0 {
			pinged = now
			health = d.ask(ctx, p)
		}
		reason := ""
		switch {
		case p.Term == 0:
			reason = "no planner yet"
		case p.Resigned:
			reason = "the planner resigned"
		case p.Entry == d.c.Name && p.BootID != d.boot:
			reason = "this entry planned before its restart"
		case health == healthGone:
			reason = "the planner's process is gone"
		case quiet > beatLost && health != healthPlans:
			reason = "no beat of the planner"
		default:
			continue
		}
		pause.For(ctx, rand.N(claimSpread))
		d.records.mu.Lock()
		same := d.records.state.Planner.Term == p.Term && d.records.state.Planner.Heartbeat == p.Heartbeat
		d.records.mu.Unlock()
		if same {
			d.claim(ctx, p, reason)
		}
		health = healthUnknown
	}
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

func (d *Daemon) plans() bool {
	d.planner.mu.Lock()
	defer d.planner.mu.Unlock()
	return d.planner.board != nil
}

// randomTerm chooses a term above an earlier one. The number behind it is left
// for a resignation.
func randomTerm(before int64) int64 {
	return (before/termSpread+1)*termSpread + rand.Int64N(termSpread-1)
}

// claim begins a term.
func (d *Daemon) claim(ctx context.Context, before stepfold.Planner, reason string) {
	term := d.drawTerm(before.Term)
	fence := recordlog.Fence{Producer: producer, Epoch: term}
	self := stepfold.Planner{Entry: d.c.Name, BootID: d.boot, Address: d.address(), Term: term, Heartbeat: 1}
	record, err := codec.EncodeStepRecord(stepfold.PlannerUpdated{Planner: self})
	if err != nil {
		d.log.Add("claimFailed", eventlog.Fields{"cause": err.Error()})
		return
	}
	begun := boottime.Now()
	bounded, cancel := context.WithTimeout(ctx, claimTimeout)
	defer cancel()
	offset, err := recordlog.AppendWithRetry(bounded, d.c.Log, d.c.Topic, &fence, []recordlog.Record{record})
	if err != nil {
		d.log.Add("claimFailed", eventlog.Fields{"term": term, "reason": reason, "cause": err.Error()})
		return
	}
	d.log.Add("claimStored", eventlog.Fields{"term": term, "reason": reason, "before": before.Entry, "offset": offset})
	if d.folded(ctx, offset) {
		fence.Sequence++
		d.begin(self, fence, begun)
	}
}

// folded waits until the records through the offset are folded.
func (d *Daemon) folded(ctx context.Context, offset int64) bool {
	bounded, cancel := context.WithTimeout(ctx, foldTimeout)
	defer cancel()
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
		case <-d.records.advanced:
		}
	}
}

// begin plans in the term: the fold holds everything that earlier planners
// stored, because the store has fenced them off.
func (d *Daemon) begin(self stepfold.Planner, fence recordlog.Fence, checked time.Time) {
	now := boottime.Now()
	d.config.mu.Lock()
	defer d.config.mu.Unlock()
	d.records.mu.Lock()
	defer d.records.mu.Unlock()
	// Another entry may have drawn the same term: the store takes the second
	// claim for a repetition of the first, whose record is the one that counts.
	if p := d.records.state.Planner; p.Term != self.Term || p.Entry != self.Entry || p.BootID != self.BootID || d.leaving.Load() {
		d.log.Add("claimLost", eventlog.Fields{"term": self.Term, "planner": p.Entry, "newest": p.Term})
		return
	}
	d.planner.mu.Lock()
	defer d.planner.mu.Unlock()
	timing := d.planner.timing
	board := stepplan.New(timing)
	if d.config.known {
		board.Configure(d.config.table)
	} else {
		board.Configure(access.Config{})
	}
	inherited := lease.EarlierTermsExpireBy(now, timing.LeaseDuration)
	for id, e := range d.records.state.Jobs {
		if e.Job == nil && e.Cancelled {
			board.Cancel(id, now)
			continue
		}
		board.RestoreJob(*e, inherited, now)
	}
	ctx, cancel := context.WithCancel(d.ctx)
	d.planner.board, d.planner.term, d.planner.fence = board, self.Term, fence
	d.planner.checkedAt, d.planner.cancel = checked, cancel
	for name, a := range d.records.state.Agents {
		d.link(name, a)
	}
	d.log.Add("termBegun", eventlog.Fields{"term": self.Term, "jobs": len(board.Jobs), "agents": len(d.planner.links)})
	d.done.Go(func() { d.plan(ctx, self) })
	d.done.Go(func() { d.attachAgents(ctx) })
}

// superseded ends the term when a later one has begun. The caller holds the
// records' mutex.
func (d *Daemon) superseded(p stepfold.Planner) {
	d.planner.mu.Lock()
	defer d.planner.mu.Unlock()
	if d.planner.board != nil && p.Term > d.planner.term {
		d.endTerm("a later term began")
	}
}

// endTerm stops planning. The caller holds the planner's mutex.
func (d *Daemon) endTerm(reason string) {
	if d.planner.board == nil {
		return
	}
	d.log.Add("termEnded", eventlog.Fields{"term": d.planner.term, "reason": reason})
	d.planner.cancel()
	d.planner.board = nil
	for _, l := range d.planner.links {
		if l.conn != nil {
			l.conn.Close()
		}
	}
	d.planner.links = map[string]*agentLink{}
	clear(d.planner.watchers)
}

// resignTimeout bounds the last append of a term.
const resignTimeout = 500 * time.Millisecond

// resign hands planning to another entry.
func (d *Daemon) resign(ctx context.Context) {
	d.planner.mu.Lock()
	if d.planner.board == nil {
		d.planner.mu.Unlock()
		return
	}
	self := stepfold.Planner{Entry: d.c.Name, BootID: d.boot, Address: d.address(), Term: d.planner.term, Resigned: true}
	d.endTerm("the entry stops")
	d.planner.mu.Unlock()
	record, err := codec.EncodeStepRecord(stepfold.PlannerUpdated{Planner: self})
	if err != nil {
		d.log.Add("resignFailed", eventlog.Fields{"cause": err.Error()})
		return
	}
	// A higher epoch of its own makes the planner's open appends void, so that
	// none is stored behind the resignation.
	fence := recordlog.Fence{Producer: producer, Epoch: self.Term + 1}
	bounded, cancel := context.WithTimeout(ctx, resignTimeout)
	defer cancel()
	if _, err := recordlog.AppendWithRetry(bounded, d.c.Log, d.c.Topic, &fence, []recordlog.Record{record}); err != nil {
		d.log.Add("resignFailed", eventlog.Fields{"cause": err.Error()})
	}
}
