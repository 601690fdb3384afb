package stepplan

import (
	"cmp"
	"fmt"
	"slices"
	"time"

	"celerypoint.example/celerypoint/stepfold"
	"celerypoint.example/celerypoint/steps"
)

// reportFresh bounds the age of a report on which a start is based; agents
// report several times as often.
const reportFresh = 1500 * time.Millisecond

// pass is one planning pass.
type pass struct {
	b   *Scheduler
	now time.Time
	// usable are the VMs that may take new work, in the order of their names.
	usable []*VM
	// free is what no open run holds; it can be negative where a waiting unit
	// has claimed what is being freed.
	free map[*VM]steps.Resources
	// guaranteed holds the organisations whose jobs of priority 0 need no more
	// than their guarantee.
	guaranteed map[string]bool
	// total is the number of accelerators of the usable VMs, idle that of those
	// which are free, and held what each job holds of them.
	total, idle int
	held        map[string]int
}

// Plan starts what fits, and stops what has to make room.
func (b *Scheduler) Plan(now time.Time) {
	p := pass{b: b, now: now, free: map[*VM]steps.Resources{}, guaranteed: b.withinGuarantee(), held: map[string]int{}}
	for _, vm := range b.VMs {
		if vm.Attached && vm.Reported && vm.Worker != "" && !vm.Draining && !vm.Leaving && vm.UnknownRuns == 0 &&
			now.Sub(vm.ReportedAt) < reportFresh && now.Before(vm.LeaseUntil) &&
			!now.Before(vm.UnhealthyUntil) && !b.Quarantine.QuarantinedUntil(vm.Agent).After(now) {
			p.add(vm)
		}
	}
	slices.SortFunc(p.usable, func(x, y *VM) int { return cmp.Compare(x.Agent, y.Agent) })
	for _, u := range p.waiting() {
		p.place(u)
	}
}

// add takes a usable VM into the pass.
func (p *pass) add(vm *VM) {
	free := vm.Capacity
	for _, t := range vm.ActiveTasks {
		free = free.Minus(t.needs)
		p.held[t.ID.Job] += t.needs.GPUs
	}
	p.usable = append(p.usable, vm)
	p.free[vm] = free
	p.total += vm.Capacity.GPUs
	p.idle += max(0, free.GPUs)
}

// claim takes an amount of what is free on the VM.
func (p *pass) claim(vm *VM, needs steps.Resources) {
	before := max(0, p.free[vm].GPUs)
	p.free[vm] = p.free[vm].Minus(needs)
	p.idle += max(0, p.free[vm].GPUs) - before
}

// withinGuarantee finds the organisations whose jobs of priority 0 need no
// more than is guaranteed.
func (b *Scheduler) withinGuarantee() map[string]bool {
	used := map[string]int{}
	for _, j := range b.Jobs {
		if !j.Phase.Over() && j.Queue.Priority == 0 {
			used[j.Spec.Org] += j.mostGPUs()
		}
	}
	within := map[string]bool{}
	for name, o := range b.Orgs {
		within[name] = used[name] <= o.Guaranteed.GPUs
	}
	return within
}

// mostGPUs is the most that one step of the job needs at once.
func (j *Job) mostGPUs() int {
	most := 0
	for _, s := range j.Spec.Steps {
		most = max(most, s.Count*s.Needs.GPUs)
	}
	return most
}

// place starts the unit if it fits, or makes room for it if it may.
func (p *pass) place(u unit) {
	if p.defers(u) || p.crowds(u) {
		return
	}
	for _, set := range p.candidates(u) {
		if chosen := p.fit(u, set); chosen != nil {
			p.start(u, chosen)
			return
		}
	}
	if u.job.Queue.Priority == 0 {
		p.preempt(u)
	}
}

// Headroom for urgent units, which cannot wait until others have been stopped.
const (
	// headroomPercent is the part of all accelerators that is kept free.
	headroomPercent = 15
	// headroomSlack is the part of a unit's time, in percent of its estimate,
	// from which on it no longer waits for others.
	headroomSlack = 40
)

// crowdPercent is the part of all accelerators that one job holds at most with
// tasks that start one by one and are not owed to its organisation.
const crowdPercent = 50

// crowds reports whether the unit would give its job more than its part, so
// that one wide job of long tasks does not hold up all others.
func (p *pass) crowds(u unit) bool {
	if u.owed || u.step.Spec.Gang {
		return false
	}
	wants := u.step.Spec.Needs.GPUs
	held := p.held[u.job.Spec.ID]
	return held > 0 && held+wants > p.total*crowdPercent/100
}

// defers reports whether the unit leaves what is free to urgent ones, because
// it has time.
func (p *pass) defers(u unit) bool {
	if u.job.Queue.Priority == 0 || u.late {
		return false
	}
	if u.latest.Sub(p.now) < u.step.Spec.Estimate*headroomSlack/100 {
		return false
	}
	return p.idle-len(u.tasks)*u.step.Spec.Needs.GPUs < p.total*headroomPercent/100
}

// candidates lists the sets of VMs to try in turn: those that are near first,
// all of them once the unit has waited for about what the distance costs.
func (p *pass) candidates(u unit) [][]*VM {
	allowed := p.careful(u)
	var sets [][]*VM
	spec := u.step.Spec
	switch {
	case spec.PreferredRack != "" && (!spec.SameRack || p.rackHolds(u, spec.PreferredRack)):
		sets = append(sets, inRack(allowed, spec.PreferredRack))
	case spec.SameRack && !spec.Gang:
		home := inRack(allowed, p.home(u, allowed))
		if !u.owed || p.now.Sub(u.since) < p.patience(u) {
			return [][]*VM{home}
		}
		sets = append(sets, home)
	case spec.SameRack:
		for _, rack := range p.racks(allowed) {
			if p.rackHolds(u, rack) {
				sets = append(sets, inRack(allowed, rack))
			}
		}
	}
	if len(sets) == 0 || p.now.Sub(u.since) >= p.patience(u) {
		sets = append(sets, allowed)
	}
	return sets
}

// home is the rack of a step whose tasks start one by one and are all slower
// once they run on more than one: that of its open runs, or else the one where
// the most of its tasks fit now, and the fullest among equals.
func (p *pass) home(u unit, vms []*VM) string {
	waiting := 0
	for _, t := range u.step.Tasks {
		switch {
		case t.Active:
			return p.b.VMs[t.Agent].Rack
		case !t.Done:
			waiting++
		}
	}
	best, most := "", -1
	for _, rack := range p.racks(vms) {
		room := 0
		for _, vm := range inRack(vms, rack) {
			room += tasksThatFit(p.free[vm], counted(u.step.Spec), u.step.Spec.MaxPerVM, waiting)
		}
		if room = min(room, waiting); room > most {
			best, most = rack, room
		}
	}
	return best
}

// patience is how long a unit waits for VMs that are near.
func (p *pass) patience(u unit) time.Duration {
	if u.owed {
		return p.b.Timing.MaxReclaimTime - p.b.Timing.MaxStopTime - reclaimMargin
	}
	return time.Duration(float64(u.step.Spec.Estimate) * (p.b.Timing.FarFactor - 1) / 2)
}

// reclaimMargin is left of the bound for reclaiming for the orders to stop and
// to start.
const reclaimMargin = 600 * time.Millisecond

// allows reports whether the unit's tasks may run on the VM.
func (p *pass) allows(u unit, vm *VM) bool {
	spec := u.step.Spec
	return (u.job.Queue.Service == "" || vm.Service == u.job.Queue.Service) && (spec.Label == "" || slices.Contains(vm.Labels, spec.Label))
}

// careful lists the allowed VMs. A task that failed avoids the VMs where it did;
// the last attempt of a unit avoids all VMs on which anything failed lately.
// Nothing is avoided unless the other VMs could hold the unit.
func (p *pass) careful(u unit) []*VM {
	failures := 0
	for _, t := range u.tasks {
		failures = max(failures, t.Failures)
	}
	last := failures > 0 && failures >= u.job.Queue.MaxAttempts-1
	var allowed, careful []*VM
	room := 0
	for _, vm := range p.usable {
		if !p.allows(u, vm) {
			continue
		}
		allowed = append(allowed, vm)
		failed := len(u.tasks) == 1 && slices.Contains(u.tasks[0].FailedOn, vm.Agent)
		if failed || last && len(p.b.Quarantine.VMs[vm.Agent].FailedJobs) > 0 {
			continue
		}
		careful = append(careful, vm)
		room += tasksThatFit(vm.Capacity, counted(u.step.Spec), u.step.Spec.MaxPerVM, len(u.tasks))
	}
	if room < len(u.tasks) {
		return allowed
	}
	return careful
}

func (p *pass) racks(vms []*VM) []string {
	var racks []string
	for _, vm := range vms {
		if !slices.Contains(racks, vm.Rack) {
			racks = append(racks, vm.Rack)
		}
	}
	// The rack with the least room that suffices leaves others for larger
	// gangs.
	room := func(rack string) int {
		n := 0
		for _, vm := range inRack(vms, rack) {
			n += p.free[vm].GPUs
		}
		return n
	}
	slices.SortStableFunc(racks, func(x, y string) int { return cmp.Compare(room(x), room(y)) })
	return racks
}

func inRack(vms []*VM, rack string) []*VM {
	return slices.DeleteFunc(slices.Clone(vms), func(vm *VM) bool { return vm.Rack != rack })
}

// rackHolds reports whether the empty rack would hold the unit.
func (p *pass) rackHolds(u unit, rack string) bool {
	need := counted(u.step.Spec)
	room := 0
	for _, vm := range p.usable {
		if vm.Rack == rack && p.allows(u, vm) {
			room += tasksThatFit(vm.Capacity, need, u.step.Spec.MaxPerVM, len(u.tasks))
		}
	}
	return room >= len(u.tasks)
}

func tasksThatFit(room, need steps.Resources, perVM, most int) int {
	n := 0
	for n < most && (perVM == 0 || n < perVM) && room.Holds(need) {
		room = room.Minus(need)
		n++
	}
	return n
}

// fit chooses a VM for each task, or nil. The fullest VM that still holds the
// task is taken, of the fullest rack among equals, so that empty VMs and racks
// are left for large gangs.
func (p *pass) fit(u unit, vms []*VM) []*VM {
	need := counted(u.step.Spec)
	vms = slices.Clone(vms)
	rackFree := map[string]int{}
	for _, vm := range p.usable {
		rackFree[vm.Rack] += p.free[vm].GPUs
	}
	slices.SortStableFunc(vms, func(x, y *VM) int { return cmp.Compare(rackFree[x.Rack], rackFree[y.Rack]) })
	left := map[*VM]steps.Resources{}
	placed := map[*VM]int{}
	for _, vm := range vms {
		left[vm] = p.free[vm]
		placed[vm] = u.step.openOn(vm)
	}
	chosen := make([]*VM, 0, len(u.tasks))
	for range u.tasks {
		var best *VM
		for _, vm := range vms {
			if !left[vm].Holds(need) || u.step.Spec.MaxPerVM > 0 && placed[vm] >= u.step.Spec.MaxPerVM {
				continue
			}
			if best == nil || tighter(left[vm], left[best]) {
				best = vm
			}
		}
		if best == nil {
			return nil
		}
		left[best] = left[best].Minus(need)
		placed[best]++
		chosen = append(chosen, best)
	}
	return chosen
}

func tighter(a, b steps.Resources) bool {
	return cmp.Or(cmp.Compare(a.GPUs, b.GPUs), cmp.Compare(a.MemMB, b.MemMB), cmp.Compare(a.CPU, b.CPU)) < 0
}

// openOn counts the step's open runs on a VM.
func (s *Step) openOn(vm *VM) int {
	n := 0
	for _, t := range s.Tasks {
		if t.Active && t.Agent == vm.Agent {
			n++
		}
	}
	return n
}

// start opens a run of each task of the unit.
func (p *pass) start(u unit, chosen []*VM) {
	run := 0
	for _, t := range u.tasks {
		run = max(run, t.Run+1)
	}
	checkpoint := ""
	if u.step.Spec.Checkpointing {
		checkpoint = u.tasks[0].Checkpoint
	}
	if !u.job.Phase.Over() {
		u.job.Phase = stepfold.PhaseRunning
	}
	u.job.Begun = true
	for i, t := range u.tasks {
		vm := chosen[i]
		t.Run = run
		t.needs = counted(u.step.Spec)
		p.b.openRun(t, vm, vm.Worker, p.now)
		p.claim(vm, t.needs)
		p.held[t.ID.Job] += t.needs.GPUs
		p.b.output.Orders = append(p.b.output.Orders, StartOrder{
			Agent: vm.Agent, Worker: vm.Worker, Session: vm.Session, Task: t.ID, Run: run, Payload: u.job.Spec.Payload, Checkpoint: checkpoint,
		})
		p.b.event(Event{
			Kind: "taskPlaced", Job: t.ID.Job, Task: t.ID.String(), Run: run, VM: vm.Agent,
			Reason: fmt.Sprintf("rack=%s freeGPUs=%d waitedMs=%d", vm.Rack, p.free[vm].GPUs, p.now.Sub(u.since).Milliseconds()),
		})
	}
}
