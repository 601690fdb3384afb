package entryd

import (
	"fmt"
	"maps"
	"slices"
	"time"

	"github.com/sirupsen/logrus"

	"celerypoint.example/celerypoint/codec"
	"celerypoint.example/celerypoint/configfold"
	"celerypoint.example/celerypoint/gang"
	"celerypoint.example/celerypoint/outcome"
	"celerypoint.example/celerypoint/rpc"
	"celerypoint.example/celerypoint/timeline"
	"celerypoint.example/celerypoint/vm"
	"celerypoint.example/celerypoint/wire"
)

// announced takes an agent's announcement.
func (d *Daemon) announced(conn *rpc.Conn, p wire.AnnounceParams) (wire.AnnounceResult, error) {
	machine, err := codec.VMFrom(p)
	if err != nil {
		return wire.AnnounceResult{}, err
	}
	holdings := make([]vm.Holding, 0, len(p.Holdings))
	for _, h := range p.Holdings {
		holdings = append(holdings, codec.HoldingFrom(h))
	}
	config := d.vmConfig(p.VM)
	d.learnEntries(p.Entries)
	d.vms.mu.Lock()
	t := d.vms.byID[p.VM]
	isNew := t == nil
	if isNew {
		t = &target{}
		d.vms.byID[p.VM] = t
	}
	rebooted := !isNew && t.vm.BootID != machine.BootID
	changed := isNew || rebooted || t.lost || t.leaving != p.Leaving || !slices.Equal(t.holdings, holdings)
	membersChanged := isNew || t.lost || t.leaving != p.Leaving
	t.vm, t.holdings, t.leaving, t.conn, t.lost, t.suspect = machine, holdings, p.Leaving, conn, false, false
	t.lostAt = time.Now().Add(d.c.VMLostTimeout)
	t.configOffset = int64(p.ConfigOffset)
	d.vms.mu.Unlock()
	if isNew || rebooted || membersChanged {
		d.logger.WithFields(logrus.Fields{"vm": p.VM, "bootID": machine.BootID, "leaving": p.Leaving}).Info("VM announced")
		d.ring.Add(timeline.Event{Kind: "vmAnnounced", VM: p.VM, Detail: fmt.Sprintf("leaving=%t", p.Leaving)})
		d.assignDue.Store(time.Now().Add(assignDelay).UnixMilli())
	}
	if rebooted {
		d.jobs.mu.Lock()
		d.jobs.faults.ForgetVM(p.VM)
		d.jobs.mu.Unlock()
		d.markMembersLost(p.VM, "the agent restarted")
	}
	if changed {
		d.kicked.Store(true)
	}
	return wire.AnnounceResult{Entries: d.knownEntries(), Config: config}, nil
}

// vmConfig is the part of the configuration that concerns a VM.
func (d *Daemon) vmConfig(id string) wire.VMConfig {
	d.config.mu.Lock()
	defer d.config.mu.Unlock()
	return vmConfigOf(d.config.state, id)
}

func vmConfigOf(s configfold.State, id string) wire.VMConfig {
	return wire.VMConfig{
		Offset: int(s.Offset), Labels: s.VMLabels[id], Draining: s.Draining[id], Shares: s.Assignment.SharesOnVM(id),
	}
}

// suspectAfter is the silence after which a VM gets no short requests and those
// that wait for it are sent to another VM as well. Agents announce themselves
// every second, and the deadlines of short requests are about two.
const suspectAfter = 1500 * time.Millisecond

// tickVMs marks the VMs as lost that did not announce themselves in time.
func (d *Daemon) tickVMs(now time.Time) {
	var lost, silent []string
	d.vms.mu.Lock()
	for id, t := range d.vms.byID {
		if !t.lost && !t.suspect && now.After(t.lostAt.Add(suspectAfter-d.c.VMLostTimeout)) {
			t.suspect = true
			silent = append(silent, id)
		}
		if !t.lost && now.After(t.lostAt) {
			t.lost = true
			lost = append(lost, id)
			// Calls in flight would wait for replies that cannot come when the
			// link is cut in one direction.
			t.conn.Close()
		}
	}
	d.vms.mu.Unlock()
	for _, id := range silent {
		d.count("vmSuspect")
		d.ring.Add(timeline.Event{Kind: "vmSuspect", VM: id})
		d.hedgeShorts(id, now)
	}
	for _, id := range lost {
		d.count("vmLost")
		d.logger.WithField("vm", id).Warn("VM lost")
		d.ring.Add(timeline.Event{Kind: "vmLost", VM: id})
		d.markMembersLost(id, "no announcement in time")
		d.assignDue.Store(now.Add(assignDelay).UnixMilli())
	}
}

// markMembersLost tells every attempt with a part on the VM that the part is lost.
func (d *Daemon) markMembersLost(id, reason string) {
	d.jobs.mu.Lock()
	var ids []string
	for attemptID, a := range d.jobs.attempts {
		if slices.ContainsFunc(a.Members, func(m gang.Member) bool { return m.VM == id }) {
			ids = append(ids, attemptID)
		}
	}
	d.jobs.mu.Unlock()
	for _, attemptID := range ids {
		d.ring.Add(timeline.Event{Kind: "memberLost", VM: id, Detail: attemptID + ": " + reason})
		d.step(attemptID, gang.Lost{VM: id})
	}
}

// taskEnded takes the end of one task. An error makes the agent try another
// entry, because this one does not plan the attempt.
func (d *Daemon) taskEnded(_ *rpc.Conn, p wire.TaskEndedParams) (struct{}, error) {
	d.jobs.mu.Lock()
	_, planned := d.jobs.attempts[p.Attempt]
	e := d.jobs.fold.Jobs[p.Job]
	over := e != nil && (e.Outcome != nil || e.Attempt != p.Attempt)
	d.jobs.mu.Unlock()
	if !planned {
		if over {
			return struct{}{}, nil
		}
		return struct{}{}, fmt.Errorf("attempt %s is not planned by entry %s", p.Attempt, d.c.ID)
	}
	event, err := taskEvent(p)
	if err != nil {
		return struct{}{}, err
	}
	d.ring.Add(timeline.Event{Kind: "taskEnded", Job: p.Job, VM: p.VM, Detail: fmt.Sprintf("rank %d %s %s", p.Rank, p.Result, p.Reason)})
	d.step(p.Attempt, event)
	return struct{}{}, nil
}

func taskEvent(p wire.TaskEndedParams) (gang.Event, error) {
	switch p.Result {
	case wire.TaskResultAnswered:
		sum, err := wire.ParseChecksum("checksum", p.Checksum)
		if err != nil {
			return nil, err
		}
		return gang.TaskEnded{Part: outcome.Part{VM: p.VM, Attempt: p.Attempt, Rank: p.Rank, Length: int64(p.Length), Checksum: sum}}, nil
	case wire.TaskResultFailed:
		return gang.TaskFailed{VM: p.VM, Reason: p.Reason}, nil
	case wire.TaskResultStopped, wire.TaskResultEvicted, wire.TaskResultLapsed:
		return gang.TaskStopped{VM: p.VM, Rank: p.Rank, Reason: string(p.Result) + ": " + p.Reason, CheckpointMs: int64(p.CheckpointMs)}, nil
	default:
		return nil, fmt.Errorf("result: found %q, allowed: answered, failed, stopped, evicted, lapsed", p.Result)
	}
}

// agentOf returns the connection to a VM's agent, or nil.
func (d *Daemon) agentOf(id string) *rpc.Conn {
	d.vms.mu.Lock()
	defer d.vms.mu.Unlock()
	t := d.vms.byID[id]
	if t == nil || t.lost {
		return nil
	}
	select {
	case <-t.conn.Done():
		return nil
	default:
		return t.conn
	}
}

// views copies what is known of the VMs, with the operator's labels and with
// the parts of this entry's own attempts that no announcement shows yet.
func (d *Daemon) views() []vm.View {
	d.config.mu.Lock()
	state := d.config.state
	labels, draining := maps.Clone(state.VMLabels), maps.Clone(state.Draining)
	d.config.mu.Unlock()
	d.vms.mu.Lock()
	views := make([]vm.View, 0, len(d.vms.byID))
	for id, t := range d.vms.byID {
		views = append(views, vm.View{
			VM: t.vm, EffectiveLabels: effectiveLabels(t.vm, labels[id]),
			Holdings: slices.Clone(t.holdings), Draining: draining[id] || t.leaving, Lost: t.lost,
			LastSeen: t.lostAt.Add(-d.c.VMLostTimeout),
		})
	}
	d.vms.mu.Unlock()
	d.addPlanned(views)
	slices.SortFunc(views, func(a, b vm.View) int {
		if a.ID < b.ID {
			return -1
		}
		return 1
	})
	return views
}

// viewsFresh is how old the views may be that requests are judged by. At peak
// demand a copy for each request would cost more than the request.
const viewsFresh = 50 * time.Millisecond

type cachedViews struct {
	until time.Time
	views []vm.View
}

// recentViews is views, at most viewsFresh old. The result is shared: callers
// must not change it.
func (d *Daemon) recentViews(now time.Time) []vm.View {
	if c := d.viewCache.Load(); c != nil && now.Before(c.until) {
		return c.views
	}
	views := d.views()
	d.viewCache.Store(&cachedViews{until: now.Add(viewsFresh), views: views})
	return views
}

// addPlanned adds the members of this entry's attempts to the holdings, and
// until when each VM is quarantined.
func (d *Daemon) addPlanned(views []vm.View) {
	index := make(map[string]int, len(views))
	for i := range views {
		index[views[i].ID] = i
	}
	d.jobs.mu.Lock()
	defer d.jobs.mu.Unlock()
	for i := range views {
		views[i].QuarantinedUntil = d.jobs.faults.QuarantinedUntil(views[i].ID)
	}
	for id, a := range d.jobs.attempts {
		for _, m := range a.Members {
			i, ok := index[m.VM]
			if !ok || m.State == gang.MemberReleased || m.State == gang.MemberLost || m.State == gang.MemberDone {
				continue
			}
			if slices.ContainsFunc(views[i].Holdings, func(h vm.Holding) bool { return h.Attempt == id }) {
				continue
			}
			views[i].Holdings = append(views[i].Holdings, vm.Holding{
				JobID: a.JobID, Attempt: id, Org: a.job.Org, Tasks: m.Tasks,
				Accelerators: m.Tasks * a.job.AcceleratorsPerTask, Preemptible: a.job.Preemptible,
			})
		}
	}
}

// effectiveLabels are the VM's own labels, its place, and on top the labels
// that operators wrote.
func effectiveLabels(m vm.VM, operator map[string]string) map[string]string {
	labels := map[string]string{"vm": m.ID, "zone": m.Zone, "rack": m.Rack, "region": m.Region}
	maps.Copy(labels, m.Labels)
	maps.Copy(labels, operator)
	return labels
}
