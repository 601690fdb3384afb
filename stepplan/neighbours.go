package stepplan

import (
	"fmt"
	"math"
	"slices"
	"time"

	"celerypoint.example/celerypoint/interference"
)

// Tasks of some kinds slow each other down on one VM although their declared needs fit. The
// load that this file answers is a fleet with room on several VMs, where such tasks would start
// beside each other only because the fullest VM is chosen first.

// segmentLength is the time over which the speed of a run beside the same neighbours is
// measured. Reports of progress are up to 0.8 s old.
const segmentLength = 2 * time.Second

// segment is a part of a run during which the same runs were active on its VM.
type segment struct {
	// from is when the segment began, zero if none has. progress is that of the run then.
	from     time.Time
	progress int
	// neighbourhood is that of the VM.
	neighbourhood int
}

// kind is what tasks that behave alike have in common: their image or, without one, the queue
// of their job.
func kind(j *Job, s *Step) string {
	if s.Spec.Image != "" {
		return "image " + s.Spec.Image
	}
	return "queue " + j.Spec.Queue
}

// segmentOf returns the run's segment and how long it has lasted. It begins a new one when the
// neighbours have changed, and after segmentLength.
func (sc *Scheduler) segmentOf(t *Task, now time.Time) (segment, time.Duration) {
	s := t.segment
	elapsed := now.Sub(s.from)
	current := s.neighbourhood == sc.VMs[t.Agent].neighbourhood && !s.from.IsZero()
	if !current || elapsed >= segmentLength {
		t.segment = segment{from: now, progress: t.Progress, neighbourhood: sc.VMs[t.Agent].neighbourhood}
	}
	if !current {
		return segment{}, 0
	}
	return s, elapsed
}

// observeProgressBeside compares the progress of a run in its segment with what is expected of
// its VM and its step.
func (sc *Scheduler) observeProgressBeside(t *Task, now time.Time) {
	s := sc.stepOf(t)
	if sc.interference == nil || s.Spec.LongRunning || sc.awayFromRack(t, s) {
		return
	}
	begun, elapsed := sc.segmentOf(t, now)
	expected, known := sc.paces.ExpectedRate(t.Agent, t.ID)
	if elapsed < segmentLength || !known || t.Progress >= 100 || t.Progress <= begun.progress {
		return
	}
	rate := float64(t.Progress-begun.progress) / 100 / elapsed.Seconds()
	sc.observeBeside(t, math.Log(expected/rate), now)
}

// observeLatencyBeside compares the tail latency of a task that serves requests with what its
// callers are to get.
func (sc *Scheduler) observeLatencyBeside(t *Task, latencyMs int, now time.Time) {
	target := sc.stepOf(t).Spec.TailLatencyMs
	if sc.interference == nil || target == 0 || latencyMs == 0 {
		return
	}
	if _, elapsed := sc.segmentOf(t, now); elapsed < segmentLength {
		return
	}
	sc.observeBeside(t, math.Log(float64(latencyMs)/float64(target)), now)
}

func (sc *Scheduler) observeBeside(t *Task, slowness float64, now time.Time) {
	j := sc.Jobs[t.ID.Job]
	o := interference.Observation{Kind: kind(j, sc.stepOf(t)), Job: t.ID.Job, VM: t.Agent, At: now, Slowness: slowness}
	for _, other := range sc.VMs[t.Agent].ActiveTasks {
		if k := kind(sc.Jobs[other.ID.Job], sc.stepOf(other)); other != t && !slices.Contains(o.Beside, k) {
			o.Beside = append(o.Beside, k)
		}
	}
	for _, c := range sc.interference.Observe(o) {
		event := Event{Kind: "interferenceFound", Reason: fmt.Sprintf("slowed=%q by=%q factor=%.2f", c.Slowed, c.By, c.Factor)}
		if c.Factor == 1 {
			event.Kind = "interferenceCleared"
		}
		sc.addEvent(event)
	}
}

// ranks ranks VMs for the unit. Of those with the same paceRanks, the ones without a task that
// the unit's tasks slow down, or are slowed down by, come first: the lowest bit of a rank says
// that there is one.
func (p *pass) ranks(u unit, vms []*VM, limit paceLimit) []int {
	ranks := p.paceRanks(u, vms, limit)
	for i, vm := range vms {
		ranks[i] *= 2
		if p.disturbs(u, vm) {
			ranks[i]++
		}
	}
	return ranks
}

// disturbs reports whether tasks of the unit are to be kept apart from one of the VM's runs.
func (p *pass) disturbs(u unit, vm *VM) bool {
	m := p.scheduler.interference
	if m == nil || m.SeparatesNothing() {
		return false
	}
	own := kind(u.job, u.step)
	for _, t := range vm.ActiveTasks {
		if m.Apart(own, kind(p.scheduler.Jobs[t.ID.Job], p.scheduler.stepOf(t))) {
			return true
		}
	}
	return false
}

// disturbItself reports whether tasks of the unit are to be kept apart from each other.
func (p *pass) disturbItself(u unit) bool {
	m := p.scheduler.interference
	return m != nil && m.Apart(kind(u.job, u.step), kind(u.job, u.step))
}

// overrideNeighbours applies an operator's decisions and logs those that have changed.
func (sc *Scheduler) overrideNeighbours(before, after []interference.Override) {
	sc.interference.SetOverrides(after)
	log := func(event string, all, others []interference.Override) {
		for _, o := range all {
			if !slices.Contains(others, o) {
				sc.addEvent(Event{Kind: event, Reason: fmt.Sprintf("kinds=%q,%q decision=%s", o.Kinds[0], o.Kinds[1], o.Decision)})
			}
		}
	}
	log("interferenceOverridden", after, before)
	log("interferenceOverrideEnded", before, after)
}

// Neighbours returns the known slowdowns and the overrides. It reports false if tasks are not
// kept apart.
func (sc *Scheduler) Neighbours() ([]interference.Finding, []interference.Override, bool) {
	if sc.interference == nil {
		return nil, nil, false
	}
	return sc.interference.Findings(), slices.Clone(sc.policy.NeighbourOverrides), true
}
