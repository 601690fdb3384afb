package stepentry

import (
	"context"
	"time"

	"celerypoint.example/celerypoint/agent"
	"celerypoint.example/celerypoint/boottime"
	"celerypoint.example/celerypoint/eventlog"
	"celerypoint.example/celerypoint/lease"
	"celerypoint.example/celerypoint/pause"
	"celerypoint.example/celerypoint/rpc"
	"celerypoint.example/celerypoint/stepfold"
	"celerypoint.example/celerypoint/stepplan"
	"celerypoint.example/celerypoint/steps"
	"celerypoint.example/celerypoint/wire"
	"celerypoint.example/celerypoint/worker"
)

// Timing of the sessions with agents.
const (
	// attachEvery is how often agents without a session are dialled.
	attachEvery = 250 * time.Millisecond
	// attachTimeout bounds a try; agents are a few milliseconds away.
	attachTimeout = 700 * time.Millisecond
	// silentAfter is when a session without a report is closed; agents report
	// every 0.4 s.
	silentAfter = 1500 * time.Millisecond
	// startTimeout bounds an order to start; the agent takes up to 2 s.
	startTimeout = 2500 * time.Millisecond
	stopTimeout  = 2500 * time.Millisecond
)

// link remembers where an agent listens. The caller holds the planner's mutex.
func (d *Daemon) link(name string, a stepfold.Agent) {
	l := d.planner.links[name]
	if l == nil {
		l = &agentLink{}
		d.planner.links[name] = l
	}
	l.address = a.Address
}

// attachAgents keeps a session with every agent until the term ends.
func (d *Daemon) attachAgents(ctx context.Context) {
	for ctx.Err() == nil {
		now := boottime.Now()
		d.planner.mu.Lock()
		if d.planner.board == nil {
			d.planner.mu.Unlock()
			return
		}
		for name, l := range d.planner.links {
			if vm := d.planner.board.VMs[name]; l.conn != nil && vm != nil && now.Sub(vm.ReportedAt) > silentAfter {
				d.closeSession(name, l, "no report")
			}
			if l.conn == nil && !l.dialing {
				l.dialing = true
				go d.attach(ctx, name, l.address)
			}
		}
		d.planner.mu.Unlock()
		pause.For(ctx, attachEvery)
	}
}

// closeSession ends a session. The caller holds the planner's mutex.
func (d *Daemon) closeSession(name string, l *agentLink, reason string) {
	if l.conn == nil {
		return
	}
	l.conn.Close()
	l.conn = nil
	if d.planner.board != nil {
		d.planner.board.AgentDetached(name, l.session)
	}
	d.counters.Count("agentLost")
	d.log.Add("agentLost", eventlog.Fields{"vm": name, "session": l.session, "reason": reason})
}

// attach begins a session with an agent.
func (d *Daemon) attach(ctx context.Context, name, address string) {
	bounded, cancel := context.WithTimeout(ctx, attachTimeout)
	defer cancel()
	d.planner.mu.Lock()
	d.planner.sessions++
	session, term := d.planner.sessions, d.planner.term
	d.planner.mu.Unlock()
	conn, err := d.rpc.Dial(bounded, address)
	var result wire.AttachResult
	if err == nil {
		// The first report may come before the reply.
		d.opened(name, conn, session)
		result, err = agent.Client{Conn: conn}.Attach(bounded, wire.AttachParams{Term: int(term), Session: session, Planner: d.c.Name, Address: d.address()})
	}
	d.planner.mu.Lock()
	defer d.planner.mu.Unlock()
	l := d.planner.links[name]
	if l == nil || ctx.Err() != nil {
		if conn != nil {
			conn.Close()
		}
		return
	}
	l.dialing = false
	switch {
	case err != nil:
		if l.conn == conn {
			d.closeSession(name, l, err.Error())
		}
	case result.Refused:
		if l.conn == conn {
			d.closeSession(name, l, "the agent follows a later term or session")
		}
		if int64(result.Term) > d.planner.term {
			d.endTerm("an agent follows a later term")
		}
	default:
		d.log.Add("agentAttached", eventlog.Fields{"vm": name, "session": session, "term": term})
	}
}

// opened enters a session before the agent knows of it.
func (d *Daemon) opened(name string, conn *rpc.Conn, session int) {
	d.planner.mu.Lock()
	defer d.planner.mu.Unlock()
	l := d.planner.links[name]
	if l == nil || d.planner.board == nil {
		return
	}
	l.conn, l.session = conn, session
	d.planner.board.AgentAttached(name, session)
	d.planner.board.VMs[name].ReportedAt = boottime.Now()
}

// reported takes over a report and grants a lease. received is when the report
// came, or earlier.
func (d *Daemon) reported(r *rpc.Request, received time.Time) {
	var w wire.WorkerReport
	if err := r.Decode(&w); err != nil {
		r.Fail(err)
		return
	}
	now := boottime.Now()
	d.planner.mu.Lock()
	defer d.planner.mu.Unlock()
	l := d.planner.links[w.Agent]
	if d.planner.board == nil || l == nil || l.conn != r.Conn || l.session != w.Session {
		r.Reply(wire.ReportReply{})
		return
	}
	reply := wire.ReportReply{Term: int(d.planner.term), StoredBoot: l.storedLife, StoredThrough: int(l.storedThrough)}
	d.planner.board.HandleReport(report(w), now)
	// The time of the lease's end is what the arithmetic bounds, so that it
	// counts from now, which is later than the agent's question.
	if lease.MayGrant(d.planner.checkedAt, now) {
		d.planner.board.LeaseGranted(w.Agent, now)
		reply.LeaseMs = int(d.planner.timing.LeaseDuration.Milliseconds())
	}
	r.Reply(reply)
	d.sendStops()
	d.planDue()
}

func report(w wire.WorkerReport) stepplan.Report {
	s := w.Worker
	r := stepplan.Report{
		Agent: w.Agent, Session: w.Session, Version: w.Version, WorkerPresent: s.Present, Worker: s.Boot, Service: s.Service, Zone: s.Zone,
		Rack: s.Rack, Labels: s.Labels, Capacity: steps.Resources{CPU: s.Cpu, MemMB: s.MemMB, GPUs: s.Gpus},
		Draining: s.Draining, RemainingMs: s.RemainingMs, Unhealthy: s.Unhealthy, Leaving: w.Leaving,
	}
	for _, t := range w.Running {
		r.Running = append(r.Running, stepplan.RunningTask{
			Running:          worker.Running{Run: worker.Run{Task: t.Task, Number: t.Run}, Checkpoint: t.Checkpoint, Progress: t.Progress},
			StartUnconfirmed: t.Unsettled,
		})
	}
	for _, e := range w.Ended {
		r.Ended = append(r.Ended, worker.Ended{Number: int64(e.Number), Run: worker.Run{Task: e.Task, Number: e.Run}, End: worker.End(e.End), Checkpoint: e.Checkpoint})
	}
	return r
}

// send sends orders whose records are stored.
func (d *Daemon) send(ctx context.Context, orders []stepplan.Order) {
	d.planner.mu.Lock()
	defer d.planner.mu.Unlock()
	for _, o := range orders {
		if d.planner.board == nil || ctx.Err() != nil {
			return
		}
		switch o := o.(type) {
		case stepplan.StartOrder:
			d.sendStart(o)
		case stepplan.EndsAck:
			if l := d.planner.links[o.Agent]; l != nil {
				l.storedLife, l.storedThrough = o.Worker, o.LastNumber
			}
		}
	}
}

// sendStops sends the stops that are due. The caller holds the planner's mutex.
func (d *Daemon) sendStops() {
	for _, o := range d.planner.board.TakeStops() {
		l := d.planner.links[o.Agent]
		if l == nil || l.conn == nil || l.session != o.Session {
			continue
		}
		d.counters.Count("stopSent")
		params := wire.StopRunParams{Term: int(d.planner.term), Session: o.Session, Worker: o.Worker, Task: o.Task.String(), Run: o.Run}
		l.conn.Send(agent.MethodStopRun, params, time.Now().Add(stopTimeout), func(_ []byte, err error) {
			if err != nil {
				// The stop is ordered again while the run is listed.
				d.counters.Count("stopFailed")
			}
		})
	}
}

// sendStart sends a start unless the run was given up since it was placed.
// The caller holds the planner's mutex.
func (d *Daemon) sendStart(o stepplan.StartOrder) {
	l := d.planner.links[o.Agent]
	switch {
	case !d.planner.board.StartWanted(o):
		d.planner.board.StartWithdrawn(o, "the run was given up", boottime.Now())
		return
	case l == nil || l.conn == nil || l.session != o.Session:
		d.planner.board.StartWithdrawn(o, "the session with the agent ended", boottime.Now())
		return
	}
	conn := l.conn
	sent := time.Now()
	d.counters.Count("startSent")
	params := wire.StartRunParams{
		Term: int(d.planner.term), Session: o.Session, Worker: o.Worker, Task: o.Task.String(), Run: o.Run, Payload: o.Payload, Checkpoint: o.Checkpoint,
	}
	conn.Send(agent.MethodStartRun, params, time.Now().Add(startTimeout), func(raw []byte, err error) {
		var result wire.StartRunResult
		d.counters.Observe("startAnswerMs", time.Since(sent))
		if err == nil {
			err = wire.Decode(raw, &result)
		}
		// Send may call back at once, under the caller's lock.
		go d.startAnswered(o, conn, result, err)
	})
}

func (d *Daemon) startAnswered(o stepplan.StartOrder, conn *rpc.Conn, result wire.StartRunResult, err error) {
	d.planner.mu.Lock()
	defer d.planner.mu.Unlock()
	b := d.planner.board
	if b == nil {
		return
	}
	switch {
	case err != nil:
		// A new session tells what became of the order.
		if l := d.planner.links[o.Agent]; l != nil && l.conn == conn {
			d.closeSession(o.Agent, l, "no answer to a start: "+err.Error())
		}
	case result.Started || result.Reason == agent.ReasonOutcomeUnknown:
		b.StartAnswered(o, result.Version, result.Started)
	default:
		b.StartRefused(o, result.Reason, boottime.Now())
	}
	d.sendStops()
	d.planDue()
}
