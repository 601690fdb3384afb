package stepplan

import (
	"cmp"
	"fmt"
	"slices"
	"time"

	"celerypoint.example/celerypoint/stepfold"
	"celerypoint.example/celerypoint/steps"
)

// Verdict is what would happen to a unit.
type Verdict string

const (
	// VerdictStarts means that the unit would start at once.
	VerdictStarts Verdict = "starts"
	// VerdictMakesRoom means that other runs would be stopped for it.
	VerdictMakesRoom Verdict = "makesRoom"
	VerdictWaits     Verdict = "waits"
)

// Exclusion is why a VM cannot run a unit now.
type Exclusion string

const (
	ExcludedUnattached   Exclusion = "noRecentReport"
	ExcludedLeaving      Exclusion = "leaving"
	ExcludedEvacuated    Exclusion = "zoneEvacuated"
	ExcludedUnhealthy    Exclusion = "unhealthy"
	ExcludedUnknownRuns  Exclusion = "unknownRuns"
	ExcludedNoLease      Exclusion = "noLease"
	ExcludedQuarantined  Exclusion = "quarantined"
	ExcludedRequirements Exclusion = "serviceOrLabel"
	ExcludedIsolated     Exclusion = "isolated"
	ExcludedNoRoom       Exclusion = "noRoom"
	ExcludedWithRoom     Exclusion = "hasRoom"
)

// PlannedTask is a task with the VM on which it would start.
type PlannedTask struct {
	Index    int
	VM, Rack string
	// Pace is the VM's pace, 0 if it is not known.
	Pace float64
}

// UnitExplanation tells what would happen to a gang or a single task.
type UnitExplanation struct {
	Step    int
	Verdict Verdict
	// Reason holds what decided, for people.
	Reason string
	// Tasks holds the tasks that would start, or the first that waits.
	Tasks []PlannedTask
	// Stopped holds the tasks whose runs would be stopped.
	Stopped []string
	// Excluded counts the VMs that cannot run a task of the unit now, by the first reason. It
	// is empty for a unit that starts.
	Excluded map[Exclusion]int
}

// explainedJob is the ID of the job in Explain. It is no valid ID of a job.
const explainedJob = "explained"

// Explain tells where the tasks of a job would go that is accepted now, as if no other work
// waited. Steps that depend on others are left out. Nothing is started, stopped or stored.
func (sc *Scheduler) Explain(spec steps.Job, now time.Time) []UnitExplanation {
	spec.ID, spec.OccurrenceCount = explainedJob, 0
	j := &Job{Spec: spec, Phase: stepfold.PhaseQueued, Occurrences: map[int][]*Step{}, AddedAt: now, OccurrenceStarts: map[int]time.Time{}}
	sc.resolveQueue(j)
	// The guarantee of the organisation counts the job's own needs.
	sc.Jobs[spec.ID] = j
	defer delete(sc.Jobs, spec.ID)
	sc.startOccurrence(j, 0, now)
	p := sc.newPass(now)
	var all []UnitExplanation
	units := p.waitingUnitsOf(j)
	slices.SortFunc(units, func(x, y unit) int { return compareTaskIDs(x.tasks[0].ID, y.tasks[0].ID) })
	for _, joined := range units {
		for _, u := range joined.parts() {
			e := p.explain(u)
			all = append(all, e)
			if e.Verdict == VerdictWaits {
				break
			}
		}
	}
	return all
}

// parts takes the single tasks of a unit apart. A gang is one part.
func (u unit) parts() []unit {
	if u.step.Spec.Gang {
		return []unit{u}
	}
	parts := make([]unit, len(u.tasks))
	for i := range u.tasks {
		parts[i] = u
		parts[i].tasks = u.tasks[i : i+1]
	}
	return parts
}

// explain decides about the unit and claims what it would take for the rest of the pass.
func (p *pass) explain(u unit) UnitExplanation {
	e := UnitExplanation{Step: u.tasks[0].ID.Step, Verdict: VerdictWaits}
	planned := func(vms []*VM) {
		for i, vm := range vms {
			t := PlannedTask{Index: u.tasks[i].ID.Index, VM: vm.Agent, Rack: vm.Rack}
			if p.scheduler.paces != nil && vm.paceKnown {
				t.Pace = vm.pace
			}
			e.Tasks = append(e.Tasks, t)
		}
		p.claimAll(u, vms)
	}
	switch d := p.decide(u).(type) {
	case startUnit:
		e.Verdict = VerdictStarts
		e.Reason = p.placementReason(u, d.vms)
		planned(d.vms)
		return e
	case stopOthers:
		e.Verdict = VerdictMakesRoom
		e.Reason = fmt.Sprintf("runs are stopped that lose %.0f core-seconds of work", d.eviction.cost)
		for _, t := range d.eviction.victims {
			e.Stopped = append(e.Stopped, t.ID.String())
		}
		e.Excluded = p.exclusions(u)
		planned(d.eviction.chosen)
		return e
	}
	e.Tasks = []PlannedTask{{Index: u.tasks[0].ID.Index}}
	e.Reason = p.waitReason(u)
	e.Excluded = p.exclusions(u)
	return e
}

// claimAll claims what the unit would take on the VMs of its tasks for the rest of the pass.
func (p *pass) claimAll(u unit, vms []*VM) {
	for _, vm := range vms {
		p.claim(vm, countedNeeds(u.step.Spec))
		u.job.heldGPUs += u.step.Spec.Needs.GPUs
	}
}

// JobExplanation tells what a pass would do now with a job that has been accepted.
type JobExplanation struct {
	Phase stepfold.Phase
	// Running is the number of tasks that have a run.
	Running int
	// Units holds the units that wait for a start and depend on no unfinished step.
	Units []UnitExplanation
	// Ahead holds the first units of other jobs that are placed before the first of Units and
	// wait as well, at most maxAhead of the AheadCount. There are none without Units.
	Ahead      []WaitingUnit
	AheadCount int
}

// WaitingUnit is a unit that waits for a start.
type WaitingUnit struct {
	Job         string
	Step, Tasks int
	// GPUs is the number of accelerators that all its tasks need.
	GPUs int
}

const maxAhead = 10

// ExplainJob tells what a pass would do now with an accepted job, after the units that come
// before those of the job. It reports false if no job has the ID. Nothing is started, stopped
// or stored; a job before it about which deciding fails is set aside, as by a pass.
func (sc *Scheduler) ExplainJob(id string, now time.Time) (JobExplanation, bool) {
	j := sc.Jobs[id]
	if j == nil {
		return JobExplanation{}, false
	}
	all := JobExplanation{Phase: j.Phase}
	for _, occurrence := range j.Occurrences {
		for _, s := range occurrence {
			for _, t := range s.Tasks {
				if t.Active {
					all.Running++
				}
			}
		}
	}
	p := sc.newPass(now)
	units := p.waitingUnits()
	held := map[*Job]int{}
	for _, u := range units {
		held[u.job] = u.job.heldGPUs
	}
	defer func() {
		for j, gpus := range held {
			j.heldGPUs = gpus
		}
	}()
	for _, joined := range units {
		for _, u := range joined.parts() {
			if u.job != j {
				moves := false
				if sc.guard(u.job, func() { moves = p.anticipate(u) }) && moves {
					continue
				}
				if len(all.Units) == 0 {
					all.addAhead(joined)
				}
				break
			}
			e := p.explain(u)
			all.Units = append(all.Units, e)
			if e.Verdict == VerdictWaits {
				break
			}
		}
	}
	if len(all.Units) == 0 {
		all.Ahead, all.AheadCount = nil, 0
	}
	return all, true
}

func (e *JobExplanation) addAhead(u unit) {
	e.AheadCount++
	if len(e.Ahead) < maxAhead {
		e.Ahead = append(e.Ahead, WaitingUnit{Job: u.job.Spec.ID, Step: u.tasks[0].ID.Step, Tasks: len(u.tasks), GPUs: len(u.tasks) * u.step.Spec.Needs.GPUs})
	}
}

// anticipate claims what a pass would give to the unit, and reports whether it would start or
// make room for it.
func (p *pass) anticipate(u unit) bool {
	switch d := p.decide(u).(type) {
	case startUnit:
		p.claimAll(u, d.vms)
		return true
	case stopOthers:
		p.claimAll(u, d.eviction.chosen)
		return true
	case holdBack:
		if d.vm != nil {
			p.heldBack = true
			p.claim(d.vm, d.vm.free)
		}
		return true
	}
	return false
}

// placementReason tells by what the VMs of a unit that starts were chosen.
func (p *pass) placementReason(u unit, vms []*VM) string {
	reason := "the fullest VMs that hold it"
	if p.urgentPace > 0 && u.job.Queue.Priority == 0 {
		slowest := slices.MinFunc(vms, func(x, y *VM) int { return cmp.Compare(x.pace, y.pace) })
		return fmt.Sprintf("the fullest VMs that are fast enough: needed pace %.2f, slowest %.2f", p.requiredPace(u, startDelay), slowest.pace)
	}
	if p.urgentPace > 0 {
		reason += ", VMs too slow for urgent work first"
	}
	if slices.ContainsFunc(vms, func(vm *VM) bool { return p.disturbs(u, vm) }) {
		reason += "; no room away from tasks that it slows down or that slow it down"
	}
	return reason
}

// waitReason tells why the unit waits.
func (p *pass) waitReason(u unit) string {
	switch {
	case u.job.SetAside:
		return "the job has been set aside after an unexpected error"
	case !u.job.QueueKnown:
		return "the configuration has no such queue"
	case p.mustLeaveHeadroom(u):
		of := p.poolOf(u)
		return fmt.Sprintf("it has time to wait, and %d of %d accelerators are free, of which %d %% are kept for urgent work", of.idleGPUs, of.totalGPUs, headroomPercent)
	case p.exceedsJobShare(u):
		return fmt.Sprintf("the job would hold more than %d %% of the accelerators", maxJobSharePercent)
	case u.job.Queue.Priority == 0 && p.now.Before(p.scheduler.PreemptFrom):
		return "it does not fit, and the planner has just begun and stops no runs yet"
	case u.job.Queue.Priority == 0:
		return "it does not fit, and no runs may be stopped that would make room and lose less work than it has"
	}
	return "it does not fit"
}

// exclusions counts the VMs that cannot run a task of the unit, by the first reason.
func (p *pass) exclusions(u unit) map[Exclusion]int {
	counts := map[Exclusion]int{}
	for _, vm := range p.scheduler.VMs {
		counts[p.exclusion(u, vm)]++
	}
	return counts
}

func (p *pass) exclusion(u unit, vm *VM) Exclusion {
	_, isolated := p.isolatedSince[vm.Agent]
	switch {
	case !vm.Attached || !vm.Reported || vm.Worker == "" || p.now.Sub(vm.ReportedAt) >= maxReportAge:
		return ExcludedUnattached
	case vm.Draining || vm.Leaving || slices.Contains(vm.FormerWorkers, vm.Worker):
		return ExcludedLeaving
	case p.scheduler.Evacuated[vm.Zone]:
		return ExcludedEvacuated
	case vm.UnknownRuns > 0:
		return ExcludedUnknownRuns
	case !p.now.Before(vm.LeaseUntil):
		return ExcludedNoLease
	case p.now.Before(vm.UnhealthyUntil):
		return ExcludedUnhealthy
	case !p.allows(u, vm):
		return ExcludedRequirements
	case p.quarantined[vm.Agent]:
		return ExcludedQuarantined
	case isolated:
		return ExcludedIsolated
	case !vm.free.Holds(countedNeeds(u.step.Spec)):
		return ExcludedNoRoom
	}
	return ExcludedWithRoom
}
