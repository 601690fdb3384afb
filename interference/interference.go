// Package interference learns which kinds of tasks slow each other down on one VM. Tasks share
// more than the capacity that they declare, for example the bandwidth of a VM's memory. A Model
// compares how slow runs of one kind were while a run of another kind was on the same VM with
// how slow they were without one. An operator's Override goes before what it has learned.
//
// A Model owns sums over the newest observations of each pair of kinds, and the overrides. It
// uses no clock and takes no lock; the caller serializes access to it.
package interference

import (
	"math"
	"slices"
	"time"
)

// Observation is a part of a run during which the same kinds of tasks ran beside it.
type Observation struct {
	// Kind is the kind of the run's task, Job the job that it belongs to, and VM the one
	// that it ran on.
	Kind, Job, VM string
	// At is when the observation was made.
	At time.Time
	// Beside holds the kinds of the other tasks on the VM, each once.
	Beside []string
	// Slowness is the logarithm of how many times as long as expected the run took for this
	// part, 0 for a run that is as fast as expected.
	Slowness float64
}

const (
	// MinSlowdown is the smallest factor by which a kind has to slow another down to be
	// reported. Smaller ones cost callers less than an unlucky choice of VM.
	MinSlowdown = 1.1
	// minSignificance is the difference of the two means in standard errors from which on it
	// is not taken for chance. Some hundred pairs are compared, again and again.
	minSignificance = 4
	// minJobs and minVMs are the numbers of jobs and of VMs that have to show a slowdown. One
	// job may be odd, and a VM may be slow for a reason of its own.
	minJobs = 3
	minVMs  = 2
	// memory is the number of newest observations that the sums of a pair cover: each new one
	// lessens the weight of the earlier ones by a share of 1/memory.
	memory = 64
	// maxKinds bounds the kinds. Beyond it, the kind is dropped that was not observed for the
	// longest time.
	maxKinds = 64
	// maxSlowness bounds the slowness of an observation, so that a run that stood still for
	// another reason does not decide alone.
	maxSlowness = 1.5
)

// sums describes a weighted sample.
type sums struct {
	weight, value, square float64
	// jobs holds the newest jobs in the sample, at most minJobs, and vms the newest VMs, at
	// most minVMs.
	jobs, vms []string
}

func (s *sums) add(o Observation) {
	x := max(-maxSlowness, min(maxSlowness, o.Slowness))
	s.weight, s.value, s.square = s.weight*(1-1.0/memory)+1, s.value*(1-1.0/memory)+x, s.square*(1-1.0/memory)+x*x
	s.jobs, s.vms = addNewest(s.jobs, o.Job, minJobs), addNewest(s.vms, o.VM, minVMs)
}

// addNewest adds the name unless the list has it, and drops the oldest beyond the limit.
func addNewest(all []string, name string, limit int) []string {
	if slices.Contains(all, name) {
		return all
	}
	all = append(all, name)
	return all[max(0, len(all)-limit):]
}

// sufficient reports whether the sample is from enough jobs and VMs.
func (s *sums) sufficient() bool { return len(s.jobs) >= minJobs && len(s.vms) >= minVMs }

func (s *sums) mean() float64 { return s.value / s.weight }

// squaredError is the square of the standard error of the mean.
func (s *sums) squaredError() float64 {
	m := s.mean()
	return max(0, s.square/s.weight-m*m) / s.weight
}

// pair identifies the effect of the kind other on the kind slowed.
type pair struct{ slowed, other string }

// comparison holds the samples of a pair: with a task of the other kind on the VM, and without.
type comparison struct{ with, without sums }

// Model holds the samples of all pairs. Create it with New.
type Model struct {
	// kinds has an element for each kind that was observed, as a run or beside one, with the
	// number of the newest such observation.
	kinds map[string]uint64
	// observations counts the observations.
	observations uint64
	pairs        map[pair]*comparison
	// slowed holds the pairs whose slowdown is known, with its factor, and since the times
	// from which on it has been known.
	slowed map[pair]float64
	since  map[pair]time.Time
	// overrides holds an operator's decisions by kinds in increasing order.
	overrides map[[2]string]Decision
}

// New returns a Model without observations.
func New() *Model {
	return &Model{kinds: map[string]uint64{}, pairs: map[pair]*comparison{}, slowed: map[pair]float64{}, since: map[pair]time.Time{}}
}

// Change says that the slowdown of one kind by another has become known, or no longer is.
type Change struct {
	Slowed, By string
	// Factor is the slowdown, 1 if it is no longer known.
	Factor float64
}

// Observe records an observation and returns what has changed by it.
func (m *Model) Observe(o Observation) []Change {
	if math.IsNaN(o.Slowness) {
		return nil
	}
	m.observations++
	m.kinds[o.Kind] = m.observations
	for _, k := range o.Beside {
		m.kinds[k] = m.observations
	}
	for len(m.kinds) > maxKinds {
		m.dropOldest()
	}
	var changes []Change
	for other := range m.kinds {
		p := pair{o.Kind, other}
		c := m.pairs[p]
		if c == nil {
			c = &comparison{}
			m.pairs[p] = c
		}
		if slices.Contains(o.Beside, other) {
			c.with.add(o)
		} else {
			c.without.add(o)
		}
		if change, changed := m.judge(p, c, o.At); changed {
			changes = append(changes, change)
		}
	}
	return changes
}

// dropOldest forgets the kind that was not observed for the longest time.
func (m *Model) dropOldest() {
	oldest, found := "", false
	for k, number := range m.kinds {
		if !found || number < m.kinds[oldest] || number == m.kinds[oldest] && k < oldest {
			oldest, found = k, true
		}
	}
	delete(m.kinds, oldest)
	for p := range m.pairs {
		if p.slowed == oldest || p.other == oldest {
			delete(m.pairs, p)
			m.forget(p)
		}
	}
}

// forget drops the knowledge that the pair's slowdown is known.
func (m *Model) forget(p pair) {
	delete(m.slowed, p)
	delete(m.since, p)
}

// judge decides anew whether the pair's slowdown is known. A slowdown that is known stays so
// until half of the difference is gone, so that it does not come and go with single runs.
func (m *Model) judge(p pair, c *comparison, now time.Time) (Change, bool) {
	before, known := m.slowed[p]
	if !c.with.sufficient() || !c.without.sufficient() {
		return Change{}, false
	}
	difference := c.with.mean() - c.without.mean()
	needed, significance := math.Log(MinSlowdown), float64(minSignificance)
	if known {
		needed, significance = needed/2, significance/2
	}
	if difference < needed || difference < significance*math.Sqrt(c.with.squaredError()+c.without.squaredError()) {
		m.forget(p)
		return Change{p.slowed, p.other, 1}, known
	}
	if !known {
		m.since[p] = now
	}
	m.slowed[p] = math.Exp(difference)
	return Change{p.slowed, p.other, m.slowed[p]}, before == 0
}

// Slowdown returns the factor by which a task of the kind other on the same VM makes tasks of
// the kind take longer, 1 if none is known.
func (m *Model) Slowdown(kind, other string) float64 {
	if f, known := m.slowed[pair{kind, other}]; known {
		return f
	}
	return 1
}

// Known counts the pairs whose slowdown is known.
func (m *Model) Known() int { return len(m.slowed) }
