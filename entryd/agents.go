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

// handleAnnounce handles an announcement, the periodic message by which an agent
// reports its VM and the attempts on it. The reply carries the available entries
// and the part of the configuration that concerns the VM.
func (d *Daemon) handleAnnounce(conn *rpc.Conn, p wire.AnnounceParams) (wire.AnnounceResult, error) {
	machine, err := codec.DecodeVM(p)
	if err != nil {
		return wire.AnnounceResult{}, err
	}
	holdings := make([]vm.Holding, 0, len(p.Holdings))
	for _, h := range p.Holdings {
		holdings = append(holdings, codec.DecodeHolding(h))
	}
	config := d.vmConfig(p.VM)
	d.addEntries(p.Entries)
	d.vms.mu.Lock()
	t := d.vms.byID[p.VM]
	isNew := t == nil
	if isNew {
		t = &vmState{}
		d.vms.byID[p.VM] = t
	}
	agentRestarted := !isNew && t.vm.BootID != machine.BootID
	changed := isNew || agentRestarted || t.lost || t.leaving != p.Leaving || !slices.Equal(t.holdings, holdings)
	availabilityChanged := isNew || t.lost || t.leaving != p.Leaving
	t.vm, t.holdings, t.leaving, t.conn, t.lost, t.suspect = machine, holdings, p.Leaving, conn, false, false
	t.lostDeadline = time.Now().Add(d.cfg.VMLostTimeout)
	t.configOffset = int64(p.ConfigOffset)
	d.vms.mu.Unlock()
	if isNew || agentRestarted || availabilityChanged {
		d.logger.WithFields(logrus.Fields{"vm": p.VM, "bootID": machine.BootID, "leaving": p.Leaving}).Info("VM announced")
		d.ring.Add(timeline.Event{Kind: "vmAnnounced", VM: p.VM, Detail: fmt.Sprintf("leaving=%t", p.Leaving)})
		d.assignAt.Store(time.Now().Add(assignDebounce).UnixMilli())
	}
	if agentRestarted {
		d.jobs.mu.Lock()
		d.jobs.failures.ForgetVM(p.VM)
		d.jobs.mu.Unlock()
		d.markMembersLost(p.VM, "the agent restarted")
	}
	if changed {
		d.planRequested.Store(true)
	}
	return wire.AnnounceResult{Entries: d.availableEntries(), Config: config}, nil
}

// vmConfig returns the part of the configuration that concerns a VM.
func (d *Daemon) vmConfig(vmID string) wire.VMConfig {
	d.config.mu.Lock()
	defer d.config.mu.Unlock()
	return vmConfigOf(d.config.state, vmID)
}

func vmConfigOf(state configfold.State, vmID string) wire.VMConfig {
	return wire.VMConfig{
		Offset: int(state.LastApplied), Labels: state.VMLabels[vmID], Draining: state.Draining[vmID], Shares: state.Assignment.SharesOnVM(vmID),
	}
}

// suspectTimeout is the time without an announcement after which a VM gets no
// new short requests, and those in flight to it are also sent to another VM; see
// hedgeShorts. Agents announce themselves every second, and the usual deadline of
// a short request is about two seconds after its submission.
const suspectTimeout = 1500 * time.Millisecond

// tickVMs marks VMs as suspect or lost when their agents did not announce them
// in time.
func (d *Daemon) tickVMs(now time.Time) {
	var lost, silent []string
	d.vms.mu.Lock()
	for vmID, t := range d.vms.byID {
		if !t.lost && !t.suspect && now.After(t.lostDeadline.Add(suspectTimeout-d.cfg.VMLostTimeout)) {
			t.suspect = true
			silent = append(silent, vmID)
		}
		if !t.lost && now.After(t.lostDeadline) {
			t.lost = true
			lost = append(lost, vmID)
			// When the link is cut in one direction, the connection stays open
			// and calls in flight would wait for replies that cannot arrive.
			t.conn.Close()
		}
	}
	d.vms.mu.Unlock()
	for _, vmID := range silent {
		d.count("vmSuspect")
		d.ring.Add(timeline.Event{Kind: "vmSuspect", VM: vmID})
		d.hedgeShorts(vmID, now)
	}
	for _, vmID := range lost {
		d.count("vmLost")
		d.logger.WithField("vm", vmID).Warn("VM lost")
		d.ring.Add(timeline.Event{Kind: "vmLost", VM: vmID})
		d.markMembersLost(vmID, "no announcement in time")
		d.assignAt.Store(now.Add(assignDebounce).UnixMilli())
	}
}

// markMembersLost reports the loss of a VM to every attempt of this entry that has
// a member on the VM.
func (d *Daemon) markMembersLost(vmID, reason string) {
	d.jobs.mu.Lock()
	var ids []string
	for attemptID, a := range d.jobs.attempts {
		if slices.ContainsFunc(a.Members, func(m gang.Member) bool { return m.VM == vmID }) {
			ids = append(ids, attemptID)
		}
	}
	d.jobs.mu.Unlock()
	for _, attemptID := range ids {
		d.ring.Add(timeline.Event{Kind: "memberLost", VM: vmID, Detail: attemptID + ": " + reason})
		d.step(attemptID, gang.Lost{VM: vmID})
	}
}

// handleTaskEnded handles an agent's report that one task has ended. It returns
// an error when this entry does not manage the attempt, so that the agent reports
// to another entry. Such a report is accepted and ignored instead if the job has
// ended or a later attempt was committed.
func (d *Daemon) handleTaskEnded(_ *rpc.Conn, p wire.TaskEndedParams) (struct{}, error) {
	d.jobs.mu.Lock()
	_, planned := d.jobs.attempts[p.Attempt]
	e := d.jobs.logState.Jobs[p.Job]
	// This entry may not have read the commit of the attempt yet.
	obsolete := e != nil && (e.Outcome != nil || precedes(p.Attempt, e.Attempt))
	d.jobs.mu.Unlock()
	if !planned {
		if obsolete {
			return struct{}{}, nil
		}
		return struct{}{}, fmt.Errorf("attempt %s is not planned by entry %s", p.Attempt, d.cfg.ID)
	}
	event, err := taskEvent(p)
	if err != nil {
		return struct{}{}, err
	}
	d.ring.Add(timeline.Event{Kind: "taskEnded", Job: p.Job, VM: p.VM, Detail: fmt.Sprintf("rank %d %s %s", p.Rank, p.Result, p.Reason)})
	d.step(p.Attempt, event)
	return struct{}{}, nil
}

// taskEvent returns the event of an attempt that corresponds to the report of an
// ended task.
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
	case wire.TaskResultStopped, wire.TaskResultEvicted, wire.TaskResultLapsed, wire.TaskResultCrashed:
		return gang.TaskStopped{
			VM: p.VM, Rank: p.Rank, Reason: string(p.Result) + ": " + p.Reason, CheckpointMs: int64(p.CheckpointMs), Crashed: p.Result == wire.TaskResultCrashed,
		}, nil
	default:
		return nil, fmt.Errorf("result: found %q, allowed: answered, failed, stopped, evicted, lapsed, crashed", p.Result)
	}
}

// agentConn returns the connection to a VM's agent, or nil when the VM is lost
// or not connected.
func (d *Daemon) agentConn(vmID string) *rpc.Conn {
	conn, _ := d.agentProcess(vmID)
	return conn
}

// agentProcess returns the connection to a VM's agent, or nil when the VM is lost or not
// connected, and the boot ID that was announced on the connection.
func (d *Daemon) agentProcess(vmID string) (*rpc.Conn, string) {
	d.vms.mu.Lock()
	defer d.vms.mu.Unlock()
	t := d.vms.byID[vmID]
	if t == nil || t.lost || isClosed(t.conn) {
		return nil, ""
	}
	return t.conn, t.vm.BootID
}

// vmViews returns a copy of what is known of the VMs, sorted by ID. It includes
// the labels that operators set, and the parts of this entry's own attempts that
// the agents have not announced yet.
func (d *Daemon) vmViews() []vm.View {
	d.config.mu.Lock()
	state := d.config.state
	labels, draining := maps.Clone(state.VMLabels), maps.Clone(state.Draining)
	d.config.mu.Unlock()
	d.vms.mu.Lock()
	views := make([]vm.View, 0, len(d.vms.byID))
	for vmID, t := range d.vms.byID {
		views = append(views, vm.View{
			VM: t.vm, EffectiveLabels: effectiveLabels(t.vm, labels[vmID]),
			Holdings: slices.Clone(t.holdings), Draining: draining[vmID] || t.leaving, Lost: t.lost,
			LastSeen: t.lostDeadline.Add(-d.cfg.VMLostTimeout),
		})
	}
	d.vms.mu.Unlock()
	d.addPlannedHoldings(views)
	slices.SortFunc(views, func(a, b vm.View) int {
		if a.ID < b.ID {
			return -1
		}
		return 1
	})
	return views
}

// viewCacheTTL is the maximum age of the VM views by which requests are admitted
// and short requests are placed. At peak demand, a new copy for each request
// would cost more than the request itself.
const viewCacheTTL = 50 * time.Millisecond

// cachedViews is a result of vmViews and the time until which it may be used.
type cachedViews struct {
	until time.Time
	views []vm.View
}

// recentVMViews returns a result of vmViews that is at most viewCacheTTL old. The
// result is shared, so callers must not change it.
func (d *Daemon) recentVMViews(now time.Time) []vm.View {
	if c := d.viewCache.Load(); c != nil && now.Before(c.until) {
		return c.views
	}
	views := d.vmViews()
	d.viewCache.Store(&cachedViews{until: now.Add(viewCacheTTL), views: views})
	return views
}

// addPlannedHoldings adds the members of this entry's attempts to the holdings of
// their VMs, unless the agent has announced them or they no longer use the VM. It
// also sets until when each VM is quarantined.
func (d *Daemon) addPlannedHoldings(views []vm.View) {
	index := make(map[string]int, len(views))
	for i := range views {
		index[views[i].ID] = i
	}
	d.jobs.mu.Lock()
	defer d.jobs.mu.Unlock()
	for i := range views {
		views[i].QuarantinedUntil = d.jobs.failures.QuarantinedUntil(views[i].ID)
	}
	for attemptID, a := range d.jobs.attempts {
		for _, m := range a.Members {
			i, ok := index[m.VM]
			if !ok || m.State == gang.MemberReleased || m.State == gang.MemberLost || m.State == gang.MemberDone {
				continue
			}
			if slices.ContainsFunc(views[i].Holdings, func(h vm.Holding) bool { return h.Attempt == attemptID }) {
				continue
			}
			views[i].Holdings = append(views[i].Holdings, vm.Holding{
				JobID: a.JobID, Attempt: attemptID, Org: a.job.Org, Tasks: m.Tasks,
				Accelerators: m.Tasks * a.job.AcceleratorsPerTask, Preemptible: a.job.Preemptible,
			})
		}
	}
}

// effectiveLabels returns the labels that selectors match. The VM's own labels
// override those of its ID, zone, rack and region, and labels that operators set
// override both.
func effectiveLabels(m vm.VM, operator map[string]string) map[string]string {
	labels := map[string]string{"vm": m.ID, "zone": m.Zone, "rack": m.Rack, "region": m.Region}
	maps.Copy(labels, m.Labels)
	maps.Copy(labels, operator)
	return labels
}
