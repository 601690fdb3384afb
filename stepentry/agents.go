package stepentry

import (
	"cmp"
	"context"
	"slices"
	"time"

	"celerypoint.example/celerypoint/agent"
	"celerypoint.example/celerypoint/boottime"
	"celerypoint.example/celerypoint/eventlog"
	"celerypoint.example/celerypoint/lease"
	"celerypoint.example/celerypoint/rpc"
	"celerypoint.example/celerypoint/stepfold"
	"celerypoint.example/celerypoint/stepplan"
	"celerypoint.example/celerypoint/steps"
	"celerypoint.example/celerypoint/wire"
	"celerypoint.example/celerypoint/worker"
)

// Intervals and time-outs of the planner's sessions with agents.
const (
	// attachInterval is the time between attempts to dial agents without a
	// session, unless an attempt ends before. maxDialing bounds the attempts in
	// progress, so that each gets its replies within attachTimeout also on a slow VM.
	attachInterval = 250 * time.Millisecond
	maxDialing     = 48
	// wakeupDelay is how late the loop over the sessions may be woken up before the
	// process counts as short of processor time. Agents' reports may then wait unread.
	wakeupDelay = 150 * time.Millisecond
	// attachTimeout bounds dialling an agent and the attach call. The network
	// delay to an agent is a few milliseconds.
	attachTimeout = 700 * time.Millisecond
	// reportTimeout is how long after the last bytes from an agent, or after the start
	// of its session, the session is closed. Agents report at least every 0.8 s.
	reportTimeout = 1500 * time.Millisecond
	// startTimeout and stopTimeout bound the calls that send a start or stop order
	// to an agent. The agent itself tries for up to 2 s to carry an order out.
	startTimeout = 2500 * time.Millisecond
	stopTimeout  = 2500 * time.Millisecond
)

// setAgentAddress stores the address on which an agent listens for planners.
// The caller holds the planner's mutex.
func (d *Daemon) setAgentAddress(name string, a stepfold.Agent) {
	l := d.planner.links[name]
	if l == nil {
		l = &agentLink{}
		d.planner.links[name] = l
	}
	l.address, l.dialedAt, l.unreachableSince = a.Address, time.Time{}, time.Time{}
}

// attachAgents opens a session with every known agent that has none, and closes
// sessions on which nothing arrives, until the term ends.
func (d *Daemon) attachAgents(ctx context.Context) {
	due := boottime.Now()
	for ctx.Err() == nil {
		now := boottime.Now()
		d.planner.mu.Lock()
		if d.planner.scheduler == nil {
			d.planner.mu.Unlock()
			return
		}
		if now.Sub(due) < wakeupDelay {
			d.closeSilentSessions(now)
		} else {
			d.counters.Count("wakeupLate")
		}
		for _, name := range dialOrder(d.planner.links, d.planner.scheduler.VMs, now) {
			l := d.planner.links[name]
			l.dialing = true
			d.goroutines.Go(func() { d.attach(ctx, name, l.address) })
		}
		d.planner.mu.Unlock()
		due = now.Add(attachInterval)
		select {
		case <-ctx.Done():
		case <-time.After(attachInterval):
		case <-d.planner.dialed:
			due = boottime.Now()
		}
	}
}

// closeSilentSessions closes the sessions on which nothing has arrived within
// reportTimeout. Reports that have arrived and wait to be handled keep a session. The
// caller holds the planner's mutex.
func (d *Daemon) closeSilentSessions(now time.Time) {
	for name, l := range d.planner.links {
		if l.conn != nil && now.Sub(l.conn.ReceivedAt()) > reportTimeout {
			d.closeSession(name, l, "no report within the time-out")
		}
	}
}

// dialOrder lists the agents to dial now: those without a session and a recent attempt,
// as many as maxDialing allows. Agents with active runs come first, because the leases of
// these runs expire.
func dialOrder(links map[string]*agentLink, vms map[string]*stepplan.VM, now time.Time) []string {
	var names []string
	dialing := 0
	for name, l := range links {
		switch {
		case l.dialing:
			dialing++
		case l.conn == nil && now.Sub(l.dialedAt) >= l.dialPause():
			names = append(names, name)
		}
	}
	activeRuns := func(name string) int {
		if vm := vms[name]; vm != nil {
			return len(vm.ActiveTasks)
		}
		return 0
	}
	slices.SortFunc(names, func(x, y string) int {
		return cmp.Or(cmp.Compare(activeRuns(y), activeRuns(x)), links[x].dialedAt.Compare(links[y].dialedAt), cmp.Compare(x, y))
	})
	return names[:min(len(names), max(0, maxDialing-dialing))]
}

// dialPause is the wait before the agent is dialled again, which grows with the time for
// which attempts have failed. An agent that starts registers and is dialled at once, so that
// only a VM that was cut off for long is found late, and VMs that have left for good cost
// little.
func (l *agentLink) dialPause() time.Duration {
	failing := l.dialedAt.Sub(l.unreachableSince)
	switch {
	case l.unreachableSince.IsZero() || failing < 20*time.Second:
		return attachInterval
	case failing < 2*time.Minute:
		return time.Second
	}
	return 15 * time.Second
}

// closeSession closes the session with an agent, if there is one, and logs the
// reason. The caller holds the planner's mutex.
func (d *Daemon) closeSession(name string, l *agentLink, reason string) {
	if l.conn == nil {
		return
	}
	l.conn.Close()
	l.conn = nil
	if d.planner.scheduler != nil {
		d.planner.scheduler.AgentDetached(name, l.session)
	}
	d.counters.Count("agentLost")
	d.log.Add("agentLost", eventlog.Fields{"vm": name, "session": l.session, "reason": reason})
}

// attach dials an agent and asks it to follow this entry as planner of the
// current term.
func (d *Daemon) attach(ctx context.Context, name, address string) {
	bounded, cancel := context.WithTimeout(ctx, attachTimeout)
	defer cancel()
	d.planner.mu.Lock()
	d.planner.lastSession++
	session, term := d.planner.lastSession, d.planner.term
	d.planner.mu.Unlock()
	conn, err := d.rpc.Dial(bounded, address)
	var result wire.AttachResult
	if err == nil {
		// The agent's first report may arrive before the reply to Attach.
		d.registerSession(name, conn, session)
		result, err = agent.Client{Conn: conn}.Attach(bounded, wire.AttachParams{Term: int(term), Session: session, Planner: d.cfg.Name, Address: d.address(), Agent: name})
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
	l.dialing, l.dialedAt = false, boottime.Now()
	switch {
	case err == nil:
		l.unreachableSince = time.Time{}
	case l.unreachableSince.IsZero():
		l.unreachableSince = l.dialedAt
	}
	select {
	case d.planner.dialed <- struct{}{}:
	default:
	}
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

// registerSession records a session, in the agent's link and in the scheduler,
// before the attach call is sent to the agent. reportTimeout counts from then on.
func (d *Daemon) registerSession(name string, conn *rpc.Conn, session int) {
	d.planner.mu.Lock()
	defer d.planner.mu.Unlock()
	l := d.planner.links[name]
	if l == nil || d.planner.scheduler == nil {
		return
	}
	l.conn, l.session = conn, session
	d.planner.scheduler.AgentAttached(name, session)
	d.planner.scheduler.VMs[name].ReportedAt = boottime.Now()
}

// handleReport passes an agent's report to the scheduler and grants the agent a
// lease if its worker answers and lease.MayGrant allows it.
func (d *Daemon) handleReport(r *rpc.Request) {
	var w wire.WorkerReport
	if err := r.Decode(&w); err != nil {
		r.Fail(err)
		return
	}
	d.planner.mu.Lock()
	defer d.planner.mu.Unlock()
	// Whether a lease may be granted is decided by the time after the wait for the mutex.
	now := boottime.Now()
	l := d.planner.links[w.Agent]
	if d.planner.scheduler == nil || l == nil || l.conn != r.Conn || l.session != w.Session {
		r.Reply(wire.ReportReply{})
		return
	}
	reply := wire.ReportReply{Term: int(d.planner.term), StoredBoot: l.storedIncarnation, StoredThrough: int(l.lastStoredEnd)}
	passNeeded := d.planner.scheduler.HandleReport(decodeReport(w), now)
	// The scheduler must know a time by which the lease has certainly expired on
	// the worker. That time is computed from now, which is later than the time at
	// which the agent sent the report; see package lease. A lease that the agent cannot
	// pass on would only delay the time from which lost runs may start elsewhere.
	if w.Worker.Present && !w.Worker.Unreachable && lease.MayGrant(d.planner.lastAppendAt, now) {
		d.planner.scheduler.LeaseGranted(w.Agent, now)
		reply.LeaseMs = int(d.planner.timing.LeaseDuration.Milliseconds())
	}
	r.Reply(reply)
	d.sendStops()
	if passNeeded {
		d.requestPass()
	}
}

func decodeReport(w wire.WorkerReport) stepplan.Report {
	s := w.Worker
	r := stepplan.Report{
		Agent: w.Agent, Session: w.Session, Version: w.Version, WorkerPresent: s.Present, Worker: s.Boot, Service: s.Service, Zone: s.Zone,
		Rack: s.Rack, Labels: s.Labels, Capacity: steps.Resources{CPU: s.Cpu, MemMB: s.MemMB, GPUs: s.Gpus},
		Draining: s.Draining, RemainingMs: s.RemainingMs, Unhealthy: s.Unhealthy, Unreachable: s.Unreachable, Leaving: w.Leaving,
		VM: w.VM, LeaseAge: time.Duration(w.LeaseAgeMs) * time.Millisecond,
	}
	for _, t := range w.Running {
		r.Running = append(r.Running, stepplan.RunningTask{
			Running:          worker.Running{Run: worker.Run{Task: t.Task, Number: t.Run}, Checkpoint: t.Checkpoint, Progress: t.Progress, Usage: t.Usage},
			StartUnconfirmed: t.Unsettled,
		})
	}
	r.Ended = decodeEnds(w.Ended)
	for _, f := range w.Former {
		former := stepplan.FormerWorker{Worker: f.Boot, End: worker.IncarnationEnd(f.End), Ended: decodeEnds(f.Ended)}
		for _, t := range f.Running {
			former.Running = append(former.Running, stepplan.FormerRun{Run: worker.Run{Task: t.Task, Number: t.Run}, Age: time.Duration(t.AgeMs) * time.Millisecond, Unanswered: t.Unanswered})
		}
		r.Former = append(r.Former, former)
	}
	return r
}

func decodeEnds(ends []wire.EndedTask) []worker.Ended {
	var all []worker.Ended
	for _, e := range ends {
		all = append(all, worker.Ended{EndNumber: int64(e.Number), Run: worker.Run{Task: e.Task, Number: e.Run}, Reason: worker.EndReason(e.End), Checkpoint: e.Checkpoint})
	}
	return all
}

// sendOrders sends start orders to agents and notes which ended runs agents may
// let their workers forget. The caller has already appended the records that the
// orders depend on to the store.
func (d *Daemon) sendOrders(ctx context.Context, orders []stepplan.Order) {
	d.planner.mu.Lock()
	defer d.planner.mu.Unlock()
	for _, o := range orders {
		if d.planner.scheduler == nil || ctx.Err() != nil {
			return
		}
		switch o := o.(type) {
		case stepplan.StartOrder:
			d.sendStart(o)
		case stepplan.EndsAck:
			if l := d.planner.links[o.Agent]; l != nil {
				l.storedIncarnation, l.lastStoredEnd = o.Worker, o.LastNumber
			}
		}
	}
}

// sendStops sends the stop orders that the scheduler has queued. The caller
// holds the planner's mutex.
func (d *Daemon) sendStops() {
	for _, o := range d.planner.scheduler.TakeStops() {
		l := d.planner.links[o.Agent]
		if l == nil || l.conn == nil || l.session != o.Session {
			continue
		}
		d.counters.Count("stopSent")
		params := wire.StopRunParams{Term: int(d.planner.term), Session: o.Session, Worker: o.Worker, Task: o.Task.String(), Run: o.Run}
		l.conn.CallAsync(agent.MethodStopRun, params, time.Now().Add(stopTimeout), func(_ []byte, err error) {
			if err != nil {
				// The scheduler orders the stop again while the agent's reports
				// list the run.
				d.counters.Count("stopFailed")
			}
		})
	}
}

// sendStart sends a start order, unless the scheduler no longer wants the run or
// the session with the agent has ended since the run was placed. The caller
// holds the planner's mutex.
func (d *Daemon) sendStart(o stepplan.StartOrder) {
	l := d.planner.links[o.Agent]
	switch {
	case !d.planner.scheduler.StartWanted(o, boottime.Now()):
		d.planner.scheduler.StartWithdrawn(o, "the run is no longer wanted", boottime.Now())
		return
	case l == nil || l.conn == nil || l.session != o.Session:
		d.planner.scheduler.StartWithdrawn(o, "the session with the agent ended", boottime.Now())
		return
	}
	conn := l.conn
	sent := time.Now()
	d.counters.Count("startSent")
	params := wire.StartRunParams{
		Term: int(d.planner.term), Session: o.Session, Worker: o.Worker, Task: o.Task.String(), Run: o.Run, Payload: o.Payload, Checkpoint: o.Checkpoint,
	}
	conn.CallAsync(agent.MethodStartRun, params, time.Now().Add(startTimeout), func(raw []byte, err error) {
		var result wire.StartRunResult
		d.counters.Observe("startAnswerMs", time.Since(sent))
		if err == nil {
			err = wire.Decode(raw, &result)
		}
		// handleStartResult locks the planner's mutex, which sendStart's caller
		// still holds if CallAsync invokes this callback before it returns.
		go d.handleStartResult(o, conn, result, err)
	})
}

func (d *Daemon) handleStartResult(o stepplan.StartOrder, conn *rpc.Conn, result wire.StartRunResult, err error) {
	d.planner.mu.Lock()
	defer d.planner.mu.Unlock()
	scheduler := d.planner.scheduler
	if scheduler == nil {
		return
	}
	switch {
	case err != nil:
		// The first report of a new session shows whether the run started.
		if l := d.planner.links[o.Agent]; l != nil && l.conn == conn {
			d.closeSession(o.Agent, l, "no reply to a start order: "+err.Error())
		}
	case result.Started || result.Reason == agent.ReasonOutcomeUnknown:
		scheduler.StartAnswered(o, result.Version, result.Started)
	default:
		scheduler.StartRefused(o, result.Reason, boottime.Now())
	}
	d.sendStops()
	d.requestPass()
}
