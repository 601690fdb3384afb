package stepplan

import (
	"fmt"
	"time"

	"celerypoint.example/celerypoint/pace"
)

// VMs differ in pace, and a gang ends with its slowest member, so that one slow VM makes an
// urgent gang miss its objective even if it starts at once. The load that this file answers is
// a fleet on which some VMs are too slow for urgent units: these start where they end in time,
// and other units, whose objectives leave more time, on the slow VMs first.

const (
	// paceInterval is the time between estimates of the paces of few VMs. It grows by as much
	// for every further paceIntervalVMs, so that estimates take less than 1 % of a core.
	paceInterval    = 300 * time.Millisecond
	paceIntervalVMs = 500
	// startDelay is the time from a decision until its runs have begun, and from their end
	// until it is stored.
	startDelay = 150 * time.Millisecond
	// paceMargin multiplies the pace that an urgent unit needs by its estimate. Paces are
	// known to within some 15 %, and a unit that is barely in time is late after any delay.
	paceMargin = 1.3
	// evictionPaceMargin is the same for VMs on which runs are stopped for the unit.
	evictionPaceMargin = 1.1
	// minSlowShare is the share of the VMs, and minSlowVMs the number, that have to be too
	// slow for urgent units before units are placed by pace, which ends below half of either. A
	// single VM may only seem slow because of a fault.
	minSlowShare = 0.08
	minSlowVMs   = 2
	// paceRankSteps is the number of ranks for a difference in pace of 1.
	paceRankSteps = 5
)

// observePace passes the progress of a run to the model. A run that is away from its rack is
// slower than its VM.
func (sc *Scheduler) observePace(t *Task, now time.Time) {
	s := sc.stepOf(t)
	if sc.paces == nil || s.Spec.LongRunning || sc.awayFromRack(t, s) {
		return
	}
	if t.paceFrom.IsZero() {
		t.paceFrom, t.paceFromProgress = now, t.Progress
		if t.resumed {
			return
		}
		t.paceFrom, t.paceFromProgress = t.StartedAt, 0
	}
	sc.paces.Observe(pace.Observation{
		VM: t.Agent, Task: t.ID, Run: t.Run,
		Elapsed: now.Sub(t.paceFrom), Progress: t.Progress - t.paceFromProgress,
	})
}

// awayFromRack reports whether the run takes longer because of the racks of its step's runs.
func (sc *Scheduler) awayFromRack(t *Task, s *Step) bool {
	rack := sc.VMs[t.Agent].Rack
	if s.Spec.PreferredRack != "" && s.Spec.PreferredRack != rack {
		return true
	}
	if !s.Spec.SameRack {
		return false
	}
	for _, other := range s.Tasks {
		if other.Active && sc.VMs[other.Agent].Rack != rack {
			return true
		}
	}
	return false
}

// urgentPace is the pace below which a VM is too slow for urgent units: a unit of the urgent
// queue with the strictest objective would take longer than that, apart from
// Queue.LatencyAllowance, although it starts at once. It is 0 if no urgent queue has an
// objective.
func (sc *Scheduler) urgentPace() float64 {
	slowest := 0.0
	for _, q := range sc.Queues {
		if q.Priority == 0 && q.LatencyFactor > 0 {
			slowest = max(slowest, 1/q.LatencyFactor)
		}
	}
	return slowest
}

// updatePaces sets the paces of the usable VMs, and pass.urgentPace if enough VMs are too slow
// for urgent units.
func (p *pass) updatePaces() {
	sc := p.scheduler
	if sc.paces == nil {
		return
	}
	if p.now.Sub(sc.pacesEstimatedAt) >= paceInterval*time.Duration(1+len(p.usable)/paceIntervalVMs) {
		for _, vm := range sc.VMs {
			if !vm.Attached && p.now.After(vm.LeaseUntil) {
				sc.paces.Forget(vm.Agent)
			}
		}
		sc.paces.Estimate()
		sc.pacesEstimatedAt = p.now
	}
	for _, vm := range p.usable {
		vm.pace, vm.paceKnown = sc.paces.Of(vm.Agent)
	}
	limit := sc.urgentPace()
	slow, observed := sc.paces.CountBelow(limit)
	needed := max(minSlowVMs, minSlowShare*float64(observed))
	if sc.placesByPace {
		needed /= 2
	}
	if byPace := sc.policy.Paces && limit > 0 && slow >= needed; byPace != sc.placesByPace {
		sc.placesByPace = byPace
		sc.addEvent(Event{Kind: "placementByPace", Reason: fmt.Sprintf("active=%t slow=%.1f observed=%d limit=%.2f usable=%d", byPace, slow, observed, limit, len(p.usable))})
	}
	if sc.placesByPace {
		p.urgentPace = limit
	}
}

// requiredPace is the pace that a VM needs for the unit to end in time after the delay. It is
// 0 if the unit cannot end in time.
func (p *pass) requiredPace(u unit, delay time.Duration) float64 {
	left := u.latestEnd.Sub(p.now) - delay
	estimate := u.step.Spec.Estimate
	if left <= 0 || estimate.Seconds() > pace.MaxPace*left.Seconds() {
		return 0
	}
	return estimate.Seconds() / left.Seconds()
}

// paceLimit leaves VMs out for a unit. The zero value leaves none out.
type paceLimit struct {
	// slowest is the pace below which VMs are left out.
	slowest float64
	// known leaves out VMs whose pace is not known.
	known bool
	// evict says that runs are stopped for the unit if it does not fit.
	evict bool
}

// paceLimits lists the limits to try for the unit, in order. An urgent unit that can end in
// time starts on VMs that are fast enough or, for want of these, makes room there, before it
// starts where it may be late. The zero paceLimit is always the last.
func (p *pass) paceLimits(u unit) []paceLimit {
	if p.urgentPace == 0 || u.job.Queue.Priority > 0 {
		return []paceLimit{{}}
	}
	required := p.requiredPace(u, startDelay)
	if required == 0 {
		return []paceLimit{{}}
	}
	return []paceLimit{
		{slowest: required * paceMargin, known: true},
		{slowest: required * paceMargin, evict: true},
		{slowest: required},
		{},
	}
}

// within lists the VMs that the limit does not leave out.
func (l paceLimit) within(vms []*VM) []*VM {
	if l.slowest == 0 {
		return vms
	}
	var fast []*VM
	for _, vm := range vms {
		if vm.pace >= l.slowest && (vm.paceKnown || !l.known) {
			fast = append(fast, vm)
		}
	}
	return fast
}

// chooseFastEviction chooses runs to stop so that an urgent unit ends in time that fits only
// on VMs that are too slow. No more work is lost than the unit has, also if its organisation
// is within its guarantee, which does not extend to the pace of VMs.
func (p *pass) chooseFastEviction(u unit) *eviction {
	required := p.requiredPace(u, startDelay+p.scheduler.Timing.MaxStopTime)
	if required == 0 {
		return nil
	}
	e := p.cheapestEviction(u, paceLimit{slowest: required * evictionPaceMargin})
	if e == nil || e.cost > p.estimatedWork(u) {
		return nil
	}
	return e
}

// paceRanks ranks VMs for the unit: those with the lowest number are preferred, whatever
// their free capacity. A less urgent unit takes VMs that are too slow for urgent units or of
// unknown pace first, which makes the pace known, and last those that are too slow for itself.
// An urgent one takes the fastest where it fits on none that is fast enough.
func (p *pass) paceRanks(u unit, vms []*VM, limit paceLimit) []int {
	ranks := make([]int, len(vms))
	if p.urgentPace == 0 || u.job.Queue.Priority == 0 && limit.slowest > 0 {
		return ranks
	}
	required := p.requiredPace(u, startDelay)
	for i, vm := range vms {
		switch {
		case u.job.Queue.Priority == 0:
			ranks[i] = -int(vm.pace * paceRankSteps)
		case vm.pace < required:
			ranks[i] = 2
		case vm.paceKnown && vm.pace >= p.urgentPace*paceMargin:
			ranks[i] = 1
		}
	}
	return ranks
}
