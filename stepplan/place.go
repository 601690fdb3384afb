package stepplan

import (
	"cmp"
	"fmt"
	"slices"
	"time"

	"celerypoint.example/celerypoint/steps"
)

// maxReportAge is the maximum age of an agent's newest report for a start on its
// VM. Agents report several times within it.
const maxReportAge = 1500 * time.Millisecond

// pass is one planning pass. It places units, which are gangs and single tasks.
type pass struct {
	scheduler *Scheduler
	now       time.Time
	// usable holds the VMs on which tasks may start, some of them only if a unit fits on no
	// other, sorted by agent name.
	usable []*VM
	// orgsWithinGuarantee holds the organisations whose jobs of priority 0 need no
	// more accelerators than their guarantee.
	orgsWithinGuarantee map[string]bool
	// pools counts the accelerators of the usable VMs of each service, and under the empty
	// name those of all usable VMs. rackFreeGPUs is the sum of VM.free on each rack.
	pools        map[string]*pool
	rackFreeGPUs map[string]int
	// evictable holds what victims reads, for the VMs that it has been computed for.
	// membersToStop holds, for gangs, the number of runs that are stopped together.
	evictable     map[*VM][]candidate
	membersToStop map[*Step]int
	// heldBack says that a VM is kept from other work until it is empty.
	heldBack bool
	// quarantined holds the agents of the usable VMs in quarantine.
	quarantined map[string]bool
	// urgentPace is that of Scheduler.urgentPace if units are placed by pace, 0 if not.
	urgentPace float64
	// isolatedSince maps the agents of the isolated VMs to when their isolation began.
	isolatedSince map[string]time.Time
}

// pool counts the accelerators of some usable VMs.
type pool struct {
	// totalGPUs counts those of VMs that are not in quarantine, idleGPUs those of them that
	// are free. quarantinedGPUs and quarantinedIdleGPUs are the same for VMs in quarantine.
	totalGPUs, idleGPUs                  int
	quarantinedGPUs, quarantinedIdleGPUs int
}

// poolsOf returns the pools that the VM belongs to.
func (p *pass) poolsOf(vm *VM) []*pool {
	names := []string{"", vm.Service}
	if vm.Service == "" {
		names = names[:1]
	}
	all := make([]*pool, len(names))
	for i, name := range names {
		if p.pools[name] == nil {
			p.pools[name] = &pool{}
		}
		all[i] = p.pools[name]
	}
	return all
}

// poolOf returns the pool of the VMs whose service the unit requires.
func (p *pass) poolOf(u unit) pool {
	if found := p.pools[u.job.Queue.Service]; found != nil {
		return *found
	}
	return pool{}
}

// Plan starts the waiting gangs and single tasks that fit. It stops other runs
// where that makes room for a gang or task of a queue with priority 0.
func (sc *Scheduler) Plan(now time.Time) {
	sc.failUncheckedJobs(now)
	p := sc.newPass(now)
	for _, u := range p.waitingUnits() {
		if u.step.Spec.Gang {
			p.place(u)
		} else {
			p.placeSingles(u)
		}
	}
}

// newPass begins a pass with the VMs that are usable now.
func (sc *Scheduler) newPass(now time.Time) *pass {
	p := &pass{
		scheduler: sc, now: now, orgsWithinGuarantee: sc.orgsWithinGuarantee(), pools: map[string]*pool{}, rackFreeGPUs: map[string]int{},
		evictable: map[*VM][]candidate{}, membersToStop: map[*Step]int{}, isolatedSince: sc.isolatedVMs(), quarantined: map[string]bool{},
	}
	for _, vm := range sc.VMs {
		if vm.Attached && vm.Reported && vm.Worker != "" && !slices.Contains(vm.FormerWorkers, vm.Worker) && !vm.Draining && !vm.Leaving && !sc.Evacuated[vm.Zone] && vm.UnknownRuns == 0 &&
			now.Sub(vm.ReportedAt) < maxReportAge && now.Before(vm.LeaseUntil) &&
			!now.Before(vm.UnhealthyUntil) {
			p.quarantined[vm.Agent] = sc.Quarantine.QuarantinedUntil(vm.Agent).After(now)
			p.add(vm)
		}
	}
	slices.SortFunc(p.usable, func(x, y *VM) int { return cmp.Compare(x.Agent, y.Agent) })
	p.updatePaces()
	return p
}

// add makes the VM usable in the pass, with the capacity that its active runs leave
// free.
func (p *pass) add(vm *VM) {
	vm.free = vm.Capacity.Minus(vm.used)
	p.usable = append(p.usable, vm)
	for _, of := range p.poolsOf(vm) {
		if p.quarantined[vm.Agent] {
			of.quarantinedGPUs += vm.Capacity.GPUs
		} else {
			of.totalGPUs += vm.Capacity.GPUs
		}
	}
	p.addIdle(vm, max(0, vm.free.GPUs))
	p.rackFreeGPUs[vm.Rack] += vm.free.GPUs
}

// claim subtracts needs from the free capacity of the VM for the rest of the pass.
func (p *pass) claim(vm *VM, needs steps.Resources) {
	before := max(0, vm.free.GPUs)
	vm.free = vm.free.Minus(needs)
	p.addIdle(vm, max(0, vm.free.GPUs)-before)
	p.rackFreeGPUs[vm.Rack] -= needs.GPUs
}

// addIdle counts n more accelerators of the VM as free.
func (p *pass) addIdle(vm *VM, n int) {
	for _, of := range p.poolsOf(vm) {
		if p.quarantined[vm.Agent] {
			of.quarantinedIdleGPUs += n
		} else {
			of.idleGPUs += n
		}
	}
}

// orgsWithinGuarantee finds the organisations whose unfinished jobs of priority
// 0 together need no more accelerators than the organisation is guaranteed. The
// need of a job is that of its largest step.
func (sc *Scheduler) orgsWithinGuarantee() map[string]bool {
	used := map[string]int{}
	for _, j := range sc.Jobs {
		if !j.Phase.Over() && j.Queue.Priority == 0 {
			used[j.Spec.Org] += j.maxStepGPUs()
		}
	}
	within := map[string]bool{}
	for name, o := range sc.Orgs {
		within[name] = used[name] <= o.Guaranteed.GPUs
	}
	return within
}

// maxStepGPUs is the largest number of accelerators that all tasks of one step of
// the job need together.
func (j *Job) maxStepGPUs() int {
	most := 0
	for _, s := range j.Spec.Steps {
		most = max(most, s.Count*s.Needs.GPUs)
	}
	return most
}

// placement is what place has done for a unit.
type placement string

const (
	placementStarted placement = "started"
	// placementMakesRoom means that capacity is claimed for the unit, which runs that
	// are about to end will free.
	placementMakesRoom placement = "makesRoom"
	placementWaits     placement = "waits"
)

// decision is what to do for a unit. It is sealed; its implementations are startUnit,
// stopOthers, holdBack and wait.
type decision interface{ decision() }

type (
	// startUnit starts the unit's tasks on vms, one for each task. With isolate, the VMs
	// of tasks with more than one crash are kept from other units for a time.
	startUnit struct {
		vms     []*VM
		isolate bool
	}
	// stopOthers stops other runs to make room for the unit.
	stopOthers struct{ eviction *eviction }
	// holdBack keeps the free capacity of a VM from other units, so that it becomes
	// empty. vm is nil if there is none.
	holdBack struct{ vm *VM }
	// wait leaves the unit to a later pass.
	wait struct{}
)

func (startUnit) decision()  {}
func (stopOthers) decision() {}
func (holdBack) decision()   {}
func (wait) decision()       {}

// place decides about the unit and carries out the decision.
func (p *pass) place(u unit) placement {
	if u.job.SetAside {
		return placementWaits
	}
	var d decision
	if !p.scheduler.guard(u.job, func() { d = p.decide(u) }) {
		return placementWaits
	}
	switch d := d.(type) {
	case startUnit:
		p.start(u, d.vms)
		if d.isolate {
			p.isolate(u, d.vms)
		}
		return placementStarted
	case stopOthers:
		p.evict(u, d.eviction)
		return placementMakesRoom
	case holdBack:
		if d.vm != nil {
			p.heldBack = true
			p.claim(d.vm, d.vm.free)
		}
		return placementMakesRoom
	}
	return placementWaits
}

// decide starts the unit if it fits. If it does not fit, or would be late where it fits, and
// its queue has priority 0, other runs are stopped to make room for it. A unit that has to
// leave the headroom free or that exceeds its job's share waits.
func (p *pass) decide(u unit) decision {
	if p.mustLeaveHeadroom(u) || p.exceedsJobShare(u) {
		return wait{}
	}
	for _, limit := range p.paceLimits(u) {
		for _, allowed := range p.allowedInOrder(u) {
			for _, s := range p.separations(u) {
				for _, set := range p.localSets(u, allowed) {
					if vms := p.chooseVMs(u, limit.within(set), s, limit); vms != nil {
						return startUnit{vms: vms, isolate: s == separationAll}
					}
				}
			}
		}
		if limit.evict && !p.now.Before(p.scheduler.PreemptFrom) {
			if e := p.chooseFastEviction(u); e != nil {
				return stopOthers{e}
			}
		}
	}
	if p.waitsForEmptyVM(u) {
		return holdBack{p.nextEmptyVM(u)}
	}
	if u.job.Queue.Priority == 0 && !p.now.Before(p.scheduler.PreemptFrom) {
		if e := p.chooseEviction(u); e != nil {
			return stopOthers{e}
		}
	}
	return wait{}
}

// placeSingles places the tasks of a step, each as a unit. The tasks need the same,
// so that once one has to wait that may start on every VM, and has waited longest,
// the others have to wait too.
func (p *pass) placeSingles(joined unit) {
	for i, t := range joined.tasks {
		u := joined
		u.tasks, u.waitingSince = joined.tasks[i:i+1], t.WaitSince
		if p.place(u) == placementWaits && len(t.FailedOn) == 0 && len(t.Refusals) == 0 && !t.WaitSince.After(joined.waitingSince) {
			return
		}
	}
}

// Some accelerators, the headroom, are kept free for urgent units, which are those
// of queues with priority 0, so that these need not wait until other runs have been
// stopped.
const (
	// headroomPercent is the percentage of the accelerators of all usable VMs of a
	// service that is kept free.
	headroomPercent = 15
	// headroomSlackPercent is a percentage of a unit's estimated run time. A unit
	// that has less time than this until unit.latestStart may use the headroom.
	headroomSlackPercent = 40
)

// maxLongRunningWait is how long a long-running task waits for the share of its job, the
// headroom or the rack of its step while there is room. The runs that it waits for do not end, and the
// platform allows it 3 s.
const maxLongRunningWait = 2 * time.Second

// maxIdleRackWait is how long a unit of a job that has nothing running waits for the rack of its
// step while less than half of the accelerators are in use. The platform allows it 3 s.
const maxIdleRackWait = maxLongRunningWait

// maxJobSharePercent is the maximum percentage of the accelerators of all usable
// VMs of its service that one job occupies. It limits tasks that start one by one, which are
// those outside gangs, and are not covered by a guarantee.
const maxJobSharePercent = 50

// exceedsJobShare reports whether the job would exceed maxJobSharePercent with
// the unit. The limit keeps one job of many long tasks from delaying all others.
// It does not apply to a job that occupies no accelerators yet, nor to an overdue unit.
func (p *pass) exceedsJobShare(u unit) bool {
	if u.guaranteed || u.step.Spec.Gang || p.isOverdue(u) {
		return false
	}
	needed := u.step.Spec.Needs.GPUs
	held := u.job.heldGPUs
	return held > 0 && held+needed > p.poolOf(u).totalGPUs*maxJobSharePercent/100
}

// isOverdue reports whether the unit is long-running and has waited for maxLongRunningWait
// while there are accelerators for two of it.
func (p *pass) isOverdue(u unit) bool {
	return u.step.Spec.LongRunning && p.now.Sub(u.waitingSince) >= maxLongRunningWait && p.hasIdleForTwo(u)
}

// hasIdleForTwo reports whether there are free accelerators for two of the unit, with those
// in quarantine.
func (p *pass) hasIdleForTwo(u unit) bool {
	of := p.poolOf(u)
	return of.idleGPUs+of.quarantinedIdleGPUs >= 2*len(u.tasks)*u.step.Spec.Needs.GPUs
}

// mayIgnoreFailures reports whether the unit may start on VMs where it or others have failed
// if it fits nowhere else. It is then one that the platform does not allow to wait: there are accelerators for
// two of it, and it is long-running or less than half of the accelerators are in use.
func (p *pass) mayIgnoreFailures(u unit) bool {
	if p.now.Sub(u.waitingSince) < avoidanceWait || !p.hasIdleForTwo(u) {
		return false
	}
	of := p.poolOf(u)
	return u.step.Spec.LongRunning || 2*(of.idleGPUs+of.quarantinedIdleGPUs) > of.totalGPUs+of.quarantinedGPUs
}

// hasToStartSoon reports whether the unit may ignore failures and has waited for so long that
// it also starts on VMs that are isolated, or where something has just failed.
func (p *pass) hasToStartSoon(u unit) bool {
	return p.now.Sub(u.waitingSince) >= maxAvoidance && p.mayIgnoreFailures(u)
}

// mustLeaveHeadroom reports whether, with the unit running, fewer accelerators than
// the headroom for urgent units would be free although the unit has time to wait and is not
// overdue.
// A unit that needs no accelerators also has to wait while fewer are free.
func (p *pass) mustLeaveHeadroom(u unit) bool {
	if u.job.Queue.Priority == 0 || u.objectiveMissed || p.isOverdue(u) {
		return false
	}
	if u.latestStart.Sub(p.now) < u.step.Spec.Estimate*headroomSlackPercent/100 {
		return false
	}
	of := p.poolOf(u)
	idle, total := of.idleGPUs, of.totalGPUs
	if p.mayIgnoreFailures(u) {
		idle, total = idle+of.quarantinedIdleGPUs, total+of.quarantinedGPUs
	}
	return idle-len(u.tasks)*u.step.Spec.Needs.GPUs < total*headroomPercent/100
}

// candidateSets lists the sets of VMs on which the unit may start at once.
func (p *pass) candidateSets(u unit) [][]*VM { return p.localSets(u, p.allowedVMs(u)) }

// localSets lists the sets of the allowed VMs to try, in order. First come the VMs of the
// racks that suit the step, and all allowed VMs follow if there is no such rack, or
// once the unit has waited for maxLocalityWait. The step's PreferredRack suits it if it
// has any allowed VMs.
// For a SameRack step without a PreferredRack that can hold the unit, all racks
// that can hold it suit a gang, and only the rack of chooseRack suits a single
// task. No other VMs are tried for such a task, unless it has waited for maxLocalityWait and
// a guarantee covers it or it is long-running.
func (p *pass) localSets(u unit, allowed []*VM) [][]*VM {
	var sets [][]*VM
	spec := u.step.Spec
	preferred := vmsInRack(allowed, spec.PreferredRack)
	switch {
	case len(preferred) > 0 && (!spec.SameRack || canHold(u, vmsInRack(p.allowingVMs(u), spec.PreferredRack))):
		sets = append(sets, preferred)
	case spec.SameRack && !spec.Gang:
		rackVMs := vmsInRack(allowed, p.chooseRack(u, allowed))
		if !u.guaranteed && !spec.LongRunning || p.now.Sub(u.waitingSince) < p.maxLocalityWait(u) {
			return [][]*VM{rackVMs}
		}
		sets = append(sets, rackVMs)
	case spec.SameRack:
		for _, r := range racksByFreeGPUs(allowed) {
			if canHold(u, r.vms) {
				sets = append(sets, r.vms)
			}
		}
	}
	if len(sets) == 0 || p.now.Sub(u.waitingSince) >= p.maxLocalityWait(u) {
		sets = append(sets, allowed)
	}
	return sets
}

// chooseRack chooses the rack for a step whose tasks start one by one and all
// become slower once they run on more than one rack. It is the rack of the first
// of the step's tasks with an active run. Without any, it is the rack where most
// of the step's waiting tasks fit now and, among equals, the one with the fewest
// free accelerators.
func (p *pass) chooseRack(u unit, vms []*VM) string {
	waiting := 0
	for _, t := range u.step.Tasks {
		switch {
		case t.Active:
			return p.scheduler.VMs[t.Agent].Rack
		case !t.Done:
			waiting++
		}
	}
	best, most := "", -1
	for _, r := range racksByFreeGPUs(vms) {
		fitting := 0
		for _, vm := range r.vms {
			fitting += tasksThatFit(vm.free, countedNeeds(u.step.Spec), u.step.Spec.MaxPerVM, waiting)
		}
		if fitting = min(fitting, waiting); fitting > most {
			best, most = r.name, fitting
		}
	}
	return best
}

// maxLocalityWait is how long a unit waits for VMs on a rack that suits its step
// before localSets also lists the other allowed VMs. A unit covered by a
// guarantee stops waiting early enough to start elsewhere within
// Timing.MaxReclaimTime, even if runs have to be stopped first. A unit without a
// guarantee waits for half of the run time that another rack would add according to
// the caller's estimate, a long-running one at most for maxLongRunningWait, and one that
// has to start at most for maxIdleRackWait. However,
// another single task of a SameRack step without a guarantee waits without limit if no
// PreferredRack is set that can hold it.
func (p *pass) maxLocalityWait(u unit) time.Duration {
	if u.guaranteed {
		return p.latestReclaim()
	}
	if u.step.Spec.LongRunning && u.step.Spec.SameRack {
		return maxLongRunningWait
	}
	wait := time.Duration(float64(u.step.Spec.Estimate) * (p.scheduler.Timing.FarFactor - 1) / 2)
	switch {
	case u.step.Spec.LongRunning:
		return min(wait, maxLongRunningWait)
	case p.mayIgnoreFailures(u) && !u.job.hasActiveRuns():
		return min(wait, maxIdleRackWait)
	}
	return wait
}

// latestReclaim is how long a unit covered by a guarantee can wait before runs have to
// be stopped for it, so that it starts within Timing.MaxReclaimTime.
func (p *pass) latestReclaim() time.Duration {
	return p.scheduler.Timing.MaxReclaimTime - p.scheduler.Timing.MaxStopTime - reclaimMargin
}

// reclaimMargin is the part of Timing.MaxReclaimTime that is reserved for the
// delivery of the orders to stop and to start.
const reclaimMargin = 600 * time.Millisecond

// allows reports whether the VM has the service and the label that the unit's
// tasks require.
func (p *pass) allows(u unit, vm *VM) bool {
	spec := u.step.Spec
	return (u.job.Queue.Service == "" || vm.Service == u.job.Queue.Service) && (spec.Label == "" || slices.Contains(vm.Labels, spec.Label))
}

// avoidanceWait is how long a unit waits for other VMs before it may start on those
// that allowedVMs leaves out, with mayIgnoreFailures on those where something has failed. A
// task may wait 3 s for its start while there is capacity.
const avoidanceWait = 1200 * time.Millisecond

// maxAvoidance is how long a unit with mayIgnoreFailures waits at most, for whatever causes,
// before it may also start on isolated VMs and on those where something has just failed. It is
// below the 3 s by a pass and the delivery of the start order.
const maxAvoidance = 2500 * time.Millisecond

// minQuarantine is how long no unit starts on a quarantined VM after a failure there, unless it
// has to start soon.
const minQuarantine = 2 * time.Second

// allowedInOrder lists the sets of usable VMs that the unit may run on, in the order in
// which they are tried.
func (p *pass) allowedInOrder(u unit) [][]*VM {
	preferred := p.allowedVMs(u)
	if p.now.Sub(u.waitingSince) < avoidanceWait {
		return [][]*VM{preferred}
	}
	sets := [][]*VM{preferred}
	all := p.allowingVMs(u)
	if !p.mayIgnoreFailures(u) {
		all = slices.DeleteFunc(all, func(vm *VM) bool {
			_, isolated := p.isolatedSince[vm.Agent]
			return !isolated && !slices.Contains(preferred, vm)
		})
	}
	if len(all) > len(preferred) {
		sets = append(sets, all)
	}
	if p.mayIgnoreFailures(u) {
		sets = append(sets, p.quarantinedVMs(u))
	}
	return sets
}

// quarantinedVMs lists the VMs in quarantine that the unit may start on if it fits nowhere
// else: those on which nothing has failed for minQuarantine, and all once it has to start
// soon. Several tasks that fail again and again could otherwise keep each other waiting.
func (p *pass) quarantinedVMs(u unit) []*VM {
	var allowed []*VM
	startsSoon := p.hasToStartSoon(u)
	for _, vm := range p.usable {
		if p.quarantined[vm.Agent] && p.allows(u, vm) && (startsSoon || p.now.Sub(p.scheduler.Quarantine.VMs[vm.Agent].FailedAt) >= minQuarantine) {
			allowed = append(allowed, vm)
		}
	}
	return allowed
}

// allowedVMs lists the usable VMs that the unit may run on at once. It leaves out isolated
// and quarantined VMs and, unless the unit would not fit on the others even when these are
// empty, for a single task the VMs in Task.FailedOn and those in Task.Refusals that are to be
// avoided, and for the last attempt of a unit all VMs on which a job failed since the VM's last
// success.
func (p *pass) allowedVMs(u unit) []*VM {
	failures := 0
	for _, t := range u.tasks {
		failures = max(failures, t.Failures)
	}
	lastAttempt := failures > 0 && failures >= u.job.Queue.MaxAttempts-1
	var allowed, preferred []*VM
	capacity := 0
	for _, vm := range p.usable {
		if _, isolated := p.isolatedSince[vm.Agent]; isolated || p.quarantined[vm.Agent] || !p.allows(u, vm) {
			continue
		}
		allowed = append(allowed, vm)
		avoided := len(u.tasks) == 1 && u.tasks[0].avoids(vm, p.now)
		if avoided || lastAttempt && len(p.scheduler.Quarantine.VMs[vm.Agent].FailedJobs) > 0 {
			continue
		}
		preferred = append(preferred, vm)
		capacity += tasksThatFit(vm.Capacity, countedNeeds(u.step.Spec), u.step.Spec.MaxPerVM, len(u.tasks))
	}
	if capacity < len(u.tasks) {
		return allowed
	}
	return preferred
}

// avoids reports whether the task starts on other VMs than this one if they could hold it.
func (t *Task) avoids(vm *VM, now time.Time) bool {
	return slices.Contains(t.FailedOn, vm.Agent) || now.Before(t.Refusals[vm.Agent].AvoidUntil)
}

// allowingVMs lists the usable VMs that have the service and the label that the unit's
// tasks require, except those that are quarantined or have been isolated for less than
// maxIsolation. A unit that has to start soon does not wait for the end of an isolation: it
// may have waited for something else before, and isolations of one VM follow each other.
func (p *pass) allowingVMs(u unit) []*VM {
	var allowed []*VM
	startsSoon := p.hasToStartSoon(u)
	for _, vm := range p.usable {
		since, isolated := p.isolatedSince[vm.Agent]
		if p.allows(u, vm) && !p.quarantined[vm.Agent] && !(isolated && p.now.Sub(since) < maxIsolation && !startsSoon) {
			allowed = append(allowed, vm)
		}
	}
	return allowed
}

// rack is a rack with some of its VMs.
type rack struct {
	name     string
	vms      []*VM
	freeGPUs int
}

// racksByFreeGPUs groups the VMs by rack. Racks with few free accelerators come first,
// which leaves the others for larger gangs.
func racksByFreeGPUs(vms []*VM) []*rack {
	var racks []*rack
	byName := map[string]*rack{}
	for _, vm := range vms {
		r := byName[vm.Rack]
		if r == nil {
			r = &rack{name: vm.Rack}
			byName[vm.Rack] = r
			racks = append(racks, r)
		}
		r.vms = append(r.vms, vm)
		r.freeGPUs += vm.free.GPUs
	}
	slices.SortStableFunc(racks, func(x, y *rack) int { return cmp.Compare(x.freeGPUs, y.freeGPUs) })
	return racks
}

func vmsInRack(vms []*VM, rack string) []*VM {
	var inRack []*VM
	for _, vm := range vms {
		if vm.Rack == rack {
			inRack = append(inRack, vm)
		}
	}
	return inRack
}

// canHold reports whether the unit would fit on the VMs if nothing else ran there.
func canHold(u unit, vms []*VM) bool {
	need := countedNeeds(u.step.Spec)
	capacity := 0
	for _, vm := range vms {
		capacity += tasksThatFit(vm.Capacity, need, u.step.Spec.MaxPerVM, len(u.tasks))
	}
	return capacity >= len(u.tasks)
}

// tasksThatFit counts how many tasks with the given need fit into the free
// capacity, at most limit and at most perVM. 0 for perVM means no such limit.
func tasksThatFit(free, need steps.Resources, perVM, limit int) int {
	n := limit
	if perVM > 0 {
		n = min(n, perVM)
	}
	for _, r := range [...]struct{ free, need int }{{free.CPU, need.CPU}, {free.MemMB, need.MemMB}, {free.GPUs, need.GPUs}} {
		switch {
		case r.free < r.need:
			return 0
		case r.need > 0:
			n = min(n, r.free/r.need)
		}
	}
	return n
}

// chooseVMs chooses a VM for each task of the unit, or returns nil if they do not all fit. Each
// task gets, of the VMs with the best of pass.ranks, the one with the least free capacity on
// which it still fits and, among equals, one on the rack with the fewest free accelerators.
// This leaves empty VMs and racks for large gangs. Suspects, which need the separation, come
// first.
func (p *pass) chooseVMs(u unit, vms []*VM, separation separation, limit paceLimit) []*VM {
	need := countedNeeds(u.step.Spec)
	vms = slices.Clone(vms)
	slices.SortStableFunc(vms, func(x, y *VM) int { return cmp.Compare(p.rackFreeGPUs[x.Rack], p.rackFreeGPUs[y.Rack]) })
	remaining := make([]steps.Resources, len(vms))
	for i, vm := range vms {
		remaining[i] = vm.free
	}
	ranks := p.ranks(u, vms, limit)
	disturbItself := p.disturbItself(u)
	placed := u.step.activePerVM(vms)
	chosen := make([]*VM, len(u.tasks))
	for _, k := range u.placementOrder(separation) {
		best := -1
		for i := range vms {
			if !remaining[i].Holds(need) || u.step.Spec.MaxPerVM > 0 && placed[i] >= u.step.Spec.MaxPerVM || !p.permits(u, u.tasks[k], vms[i], separation) {
				continue
			}
			if best < 0 || ranks[i] < ranks[best] || ranks[i] == ranks[best] && hasLessFree(remaining[i], remaining[best]) {
				best = i
			}
		}
		if best < 0 {
			return nil
		}
		remaining[best] = remaining[best].Minus(need)
		placed[best]++
		if disturbItself {
			// The next task of the unit would disturb this one; see pass.ranks.
			ranks[best] |= 1
		}
		chosen[k] = vms[best]
	}
	return chosen
}

// placementOrder lists the indexes of the unit's tasks in the order in which VMs are
// chosen for them.
func (u unit) placementOrder(s separation) []int {
	order := make([]int, len(u.tasks))
	for k := range order {
		order[k] = k
	}
	if s != separationNone {
		slices.SortStableFunc(order, func(x, y int) int { return cmp.Compare(u.tasks[y].crashCount(), u.tasks[x].crashCount()) })
	}
	return order
}

func hasLessFree(a, b steps.Resources) bool {
	return cmp.Or(cmp.Compare(a.GPUs, b.GPUs), cmp.Compare(a.MemMB, b.MemMB), cmp.Compare(a.CPU, b.CPU)) < 0
}

// activePerVM counts the step's active runs on each of the VMs. It counts none for a
// step without Step.MaxPerVM, for which they do not matter.
func (s *Step) activePerVM(vms []*VM) []int {
	counts := make([]int, len(vms))
	if s.Spec.MaxPerVM == 0 || s.ActiveCount == 0 {
		return counts
	}
	byAgent := map[string]int{}
	for _, t := range s.Tasks {
		if t.Active {
			byAgent[t.Agent]++
		}
	}
	for i, vm := range vms {
		counts[i] = byAgent[vm.Agent]
	}
	return counts
}

// start begins a run of each task of the unit, all with the same run number, and
// issues the start orders.
func (p *pass) start(u unit, chosen []*VM) {
	run := 0
	for _, t := range u.tasks {
		run = max(run, t.Run+1)
	}
	checkpoint := ""
	if u.step.Spec.Checkpointing {
		checkpoint = u.tasks[0].Checkpoint
	}
	for i, t := range u.tasks {
		vm := chosen[i]
		t.Run = run
		t.needs = countedNeeds(u.step.Spec)
		p.scheduler.beginRun(t, vm, vm.Worker, p.now)
		p.claim(vm, t.needs)
		p.scheduler.output.Orders = append(p.scheduler.output.Orders, StartOrder{
			Agent: vm.Agent, Worker: vm.Worker, Session: vm.Session, Task: t.ID, Run: run, Payload: u.job.Spec.Payload, Checkpoint: checkpoint,
		})
		p.scheduler.addEvent(Event{
			Kind: "taskPlaced", Job: t.ID.Job, Task: t.ID.String(), Run: run, VM: vm.Agent,
			Reason: fmt.Sprintf("rack=%s freeGPUs=%d waitedMs=%d", vm.Rack, vm.free.GPUs, p.now.Sub(u.waitingSince).Milliseconds()),
		})
	}
}
