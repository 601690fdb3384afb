// Package pace learns how fast VMs run tasks, relative to each other, from the progress of
// runs. The run times that callers declare are far off, but the tasks of one step do about the
// same work, so that their progress on different VMs compares these VMs. The mean of the paces
// is 1.
//
// A Model owns the newest observations of each VM. It uses no clock and takes no lock; the
// caller serializes access to it.
package pace

import (
	"math"
	"slices"
	"time"

	"celerypoint.example/celerypoint/steps"
)

// Observation is the progress of one run.
type Observation struct {
	// VM is the name of the VM that the run is on.
	VM string
	// Task and Run identify the run. The tasks of one step of an occurrence do about the same
	// work.
	Task steps.TaskID
	Run  int
	// Elapsed is the time that the run has taken for Progress, which is in percent.
	Elapsed  time.Duration
	Progress int
}

const (
	// minElapsed is the run time below which progress says little, because reports of it
	// are up to 0.8 s old.
	minElapsed = 700 * time.Millisecond
	// reportError is the standard error of the time at which a progress was reached.
	reportError = 150 * time.Millisecond
	// progressError is the standard error of a progress in whole percent.
	progressError = 0.5
	// workSpread is the standard deviation of the logarithm of the work of one step's tasks,
	// paceSpread that of the paces of VMs.
	workSpread = 0.1
	paceSpread = 0.4
	// maxPerVM bounds the observations of a VM. The oldest is dropped, so that a change of
	// pace shows after as many runs.
	maxPerVM = 12
	// iterations is the number of rounds of an estimate, which begins with the paces of the
	// one before.
	iterations = 3
	// minOthersWeight is the weight below which nothing else is known of a step's work.
	minOthersWeight = 1e-6
	// minPrecision is the precision, which is the inverse of the variance, from which on a
	// pace counts as known.
	minPrecision = 25
	// MinPace and MaxPace bound what the model believes, so that odd progress keeps no VM
	// from being used.
	MinPace, MaxPace = 0.25, 4.0
)

// step is what is known of the work of a step's tasks.
type step struct {
	// samples counts the samples of the step on all VMs.
	samples int
	// weighted and weight are sums over its samples: of the estimates of the logarithm of the
	// work, times their weights, and of the weights.
	weighted, weight float64
}

// sample is an observation in the form that estimates use.
type sample struct {
	task steps.TaskID
	run  int
	step *step
	// logRate is the logarithm of the share of the task that is done in a second.
	logRate float64
	// weight is the inverse of the variance of logRate for a known pace and step.
	weight float64
}

// vm holds the newest samples of a VM, oldest first, and its estimated pace.
type vm struct {
	samples   []sample
	logPace   float64
	precision float64
}

// stepID identifies the step of the task.
func stepID(t steps.TaskID) steps.TaskID {
	t.Index = 0
	return t
}

// Model holds the observations and the paces estimated from them. Create it with New.
type Model struct {
	vms map[string]*vm
	// order holds the elements of vms in the order of their first observations, so that sums
	// over them do not depend on the iteration order of the map.
	order []*vm
	steps map[steps.TaskID]*step
}

// New returns a Model without observations.
func New() *Model { return &Model{vms: map[string]*vm{}, steps: map[steps.TaskID]*step{}} }

// Observe records the progress of a run. It replaces an earlier observation of the run.
// Progress that is too small to tell a pace from is ignored. The observation counts from
// the next call of Estimate on.
func (m *Model) Observe(o Observation) {
	if o.Elapsed < minElapsed || o.Progress <= 0 || o.Progress > 100 {
		return
	}
	v := m.vms[o.VM]
	if v == nil {
		v = &vm{}
		m.vms[o.VM] = v
		m.order = append(m.order, v)
	}
	timeError, roundingError := reportError.Seconds()/o.Elapsed.Seconds(), progressError/float64(o.Progress)
	logRate := math.Log(float64(o.Progress) / 100 / o.Elapsed.Seconds())
	weight := 1 / (timeError*timeError + roundingError*roundingError + workSpread*workSpread)
	if i := slices.IndexFunc(v.samples, func(x sample) bool { return x.task == o.Task && x.run == o.Run }); i >= 0 {
		v.samples[i].logRate, v.samples[i].weight = logRate, weight
		return
	}
	v.samples = append(v.samples, sample{task: o.Task, run: o.Run, step: m.stepOf(o), logRate: logRate, weight: weight})
	if len(v.samples) > maxPerVM {
		m.release(v.samples[0])
		v.samples = slices.Delete(v.samples, 0, 1)
	}
}

// stepOf returns the step of a new sample.
func (m *Model) stepOf(o Observation) *step {
	id := stepID(o.Task)
	st := m.steps[id]
	if st == nil {
		st = &step{}
		m.steps[id] = st
	}
	st.samples++
	return st
}

// release forgets the step of a dropped sample if that was its last one.
func (m *Model) release(s sample) {
	if s.step.samples--; s.step.samples == 0 {
		delete(m.steps, stepID(s.task))
	}
}

// Forget drops what is known of a VM, whose worker may have been replaced by another one.
func (m *Model) Forget(name string) {
	if v := m.vms[name]; v != nil {
		for _, s := range v.samples {
			m.release(s)
		}
		delete(m.vms, name)
		m.order = slices.DeleteFunc(m.order, func(x *vm) bool { return x == v })
	}
}

// Of returns the VM's pace by the newest Estimate, 1 while it is not known, and whether it
// is known.
func (m *Model) Of(name string) (float64, bool) {
	v := m.vms[name]
	if v == nil || v.precision < minPrecision {
		return 1, false
	}
	return min(MaxPace, max(MinPace, math.Exp(v.logPace))), true
}

// CountBelow returns how many of the observed VMs are slower than the limit, by the newest
// Estimate, and how many are observed. VMs count by how likely it is that they are slower.
func (m *Model) CountBelow(limit float64) (slower float64, observed int) {
	for _, v := range m.order {
		if v.precision > 0 && len(v.samples) > 0 {
			slower += math.Erfc((v.logPace-math.Log(limit))*math.Sqrt(v.precision/2)) / 2
			observed++
		}
	}
	return slower, observed
}

// ExpectedRate returns the share of the task that a run of it on the VM does in a second, by
// the newest Estimate, and whether both the VM's pace and the step's work are known.
func (m *Model) ExpectedRate(name string, t steps.TaskID) (float64, bool) {
	v, st := m.vms[name], m.steps[stepID(t)]
	if v == nil || v.precision < minPrecision || st == nil || st.weight < minPrecision {
		return 0, false
	}
	return math.Exp(v.logPace - st.weighted/st.weight), true
}

// Estimate computes the paces from the observations. It alternates between the work of each
// step, given the paces of the VMs, and the pace of each VM, given the work of the steps.
func (m *Model) Estimate() {
	for range iterations {
		m.estimateWork()
		sum, observed := 0.0, 0.0
		for _, v := range m.order {
			v.estimatePace()
			if v.precision >= minPrecision {
				sum += v.logPace
				observed++
			}
		}
		for _, v := range m.order {
			v.logPace -= sum / max(1, observed)
		}
	}
	m.estimateWork()
}

func (m *Model) estimateWork() {
	for _, st := range m.steps {
		st.weighted, st.weight = 0, 0
	}
	for _, v := range m.order {
		for _, s := range v.samples {
			s.step.weighted += s.weight * (v.logPace - s.logRate)
			s.step.weight += s.weight
		}
	}
}

// estimatePace computes the VM's pace from what the samples on other VMs say of the work of its
// steps.
func (v *vm) estimatePace() {
	weighted, precision := 0.0, 1/(paceSpread*paceSpread)
	for i, first := range v.samples {
		if slices.ContainsFunc(v.samples[:i], func(x sample) bool { return x.step == first.step }) {
			continue
		}
		rate, weight := 0.0, 0.0
		for _, s := range v.samples[i:] {
			if s.step == first.step {
				rate, weight = rate+s.weight*s.logRate, weight+s.weight
			}
		}
		rate /= weight
		othersWeight := first.step.weight - weight
		if othersWeight < minOthersWeight {
			continue
		}
		work := (first.step.weighted - weight*(v.logPace-rate)) / othersWeight
		p := 1 / (1/weight + 1/othersWeight)
		weighted += p * (work + rate)
		precision += p
	}
	v.logPace, v.precision = weighted/precision, precision
}
