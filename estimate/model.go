// Package estimate predicts the run times of jobs from those of earlier jobs,
// because the run times that callers declare are often far off. A Model holds the
// newest observed run times of each class of jobs in bounded memory. The caller
// serializes access to it; it takes no lock.
package estimate

import (
	"cmp"
	"maps"
	"math/bits"
	"slices"
	"time"

	"celerypoint.example/celerypoint/job"
)

// ClassLabel is the key of the job label by which callers distinguish kinds of
// work with different run times.
const ClassLabel = "class"

// MaxClasses limits the number of classes in a Model. It is enough for five classes
// of each of 790 organisations. A class takes about 1.1 KB.
const MaxClasses = 4096

const (
	// sampleSize is the number of newest observations kept for each class. It is
	// small so that the estimates of a class follow a change in its run times within
	// 64 jobs.
	sampleSize = 64
	// minObservations is the minimum number of observations of a class for
	// predictions from them. If no class of a job has as many, ExpectedRun returns the
	// job's declared run time.
	minObservations = 5
	// stragglerFactor is the multiple of the predicted 90th percentile of the job's
	// run time beyond which a task is a straggler.
	stragglerFactor = 2
	// minStragglerTime is the run time up to which no task is a straggler. It
	// keeps delays of the scheduler from making short tasks stragglers.
	minStragglerTime = time.Second
)

// class identifies a group of jobs whose run times are observed together. There
// are three kinds: the jobs of an organisation with the same urgency, class label
// and taskBits; all jobs of an organisation with the same urgency; and all jobs
// with the same urgency. The fields that a kind does not distinguish are zero.
// Run times are predicted from the first two kinds; the third is for MeanRun.
type class struct {
	org     string
	label   string
	urgency job.Urgency
	// taskBits is the number of binary digits of the number of tasks, so that a
	// class has jobs with similar numbers of tasks.
	taskBits int
}

// observation is the run time of one job. ratio is the run time divided by the
// declared one, 0 if none was declared.
type observation struct {
	run   time.Duration
	ratio float64
}

// sample holds the newest observations of a class.
type sample struct {
	ring []observation
	// next is the index of the oldest observation once ring has sampleSize elements,
	// 0 before.
	next int
	// lastObserved is the value of Model.observationCount after the newest
	// observation.
	lastObserved uint64
}

// Model holds the observed run times. Create it with New.
type Model struct {
	samples map[class]*sample
	// observationCount counts the observations added to all samples. One job adds an
	// observation to the sample of each of its classes.
	observationCount uint64
}

// New returns a Model without observations.
func New() *Model { return &Model{samples: map[class]*sample{}} }

// classes lists the classes from which the job's run time is predicted, the most
// specific one first.
func classes(j job.Job) []class {
	general := class{org: j.Org, urgency: cmp.Or(j.Urgency, job.UrgencyNormal)}
	specific := general
	specific.label, specific.taskBits = j.Labels[ClassLabel], bits.Len(uint(j.Tasks))
	return []class{specific, general}
}

// Observe adds the run time of a job that ended with an answer. A run time below
// 1 ms counts as 1 ms. Callers leave out runs that failed or were stopped, because
// their duration does not show how long the job takes.
func (m *Model) Observe(j job.Job, run time.Duration) {
	o := observation{run: max(run, time.Millisecond)}
	if j.DeclaredRun > 0 {
		o.ratio = float64(o.run) / float64(j.DeclaredRun)
	}
	allOfUrgency := class{urgency: cmp.Or(j.Urgency, job.UrgencyNormal)}
	for _, c := range append(classes(j), allOfUrgency) {
		s, ok := m.samples[c]
		if !ok {
			s = &sample{}
			m.samples[c] = s
		}
		m.observationCount++
		s.lastObserved = m.observationCount
		s.add(o)
	}
	if len(m.samples) > MaxClasses {
		m.removeOldest()
	}
}

func (s *sample) add(o observation) {
	if len(s.ring) < sampleSize {
		s.ring = append(s.ring, o)
		return
	}
	s.ring[s.next] = o
	s.next = (s.next + 1) % sampleSize
}

// removeOldest removes about an eighth of the classes, those whose newest
// observation is the oldest. Removing one at a time would require a search through
// all classes each time.
func (m *Model) removeOldest() {
	lastObserved := make([]uint64, 0, len(m.samples))
	for _, s := range m.samples {
		lastObserved = append(lastObserved, s.lastObserved)
	}
	slices.Sort(lastObserved)
	limit := lastObserved[len(lastObserved)/8]
	maps.DeleteFunc(m.samples, func(_ class, s *sample) bool { return s.lastObserved <= limit })
}

// ExpectedRun estimates the job's run time from the median of the observations of
// similar jobs. With too few observations it returns the declared run time, which
// is 0 if none was declared.
func (m *Model) ExpectedRun(j job.Job) time.Duration {
	if run, ok := m.quantile(j, 0.5); ok {
		return run
	}
	return j.DeclaredRun
}

// MeanRun returns the mean run time of the newest jobs of an urgency, of all
// organisations, 0 if there are no observations. Unlike the median, the mean
// predicts how long a queue of such jobs takes.
func (m *Model) MeanRun(u job.Urgency) time.Duration {
	s, ok := m.samples[class{urgency: cmp.Or(u, job.UrgencyNormal)}]
	if !ok {
		return 0
	}
	var sum time.Duration
	for _, o := range s.ring {
		sum += o.run
	}
	return sum / time.Duration(len(s.ring))
}

// ExpectedEnd returns when a job that started at startedAt is expected to end,
// zero if its run time cannot be estimated.
func (m *Model) ExpectedEnd(j job.Job, startedAt time.Time) time.Time {
	run := m.ExpectedRun(j)
	if run <= 0 {
		return time.Time{}
	}
	return startedAt.Add(run)
}

// Straggler reports whether a task of the job that started at startedAt has been
// running much longer than similar jobs take. With too few observations of similar
// jobs it returns false.
func (m *Model) Straggler(j job.Job, startedAt, now time.Time) bool {
	run, ok := m.quantile(j, 0.9)
	return ok && now.Sub(startedAt) > max(minStragglerTime, stragglerFactor*run)
}

// quantile predicts the q-quantile of the job's run time from its most specific
// class with enough observations. It uses the observed run times or, if the job
// has a declared run time and the ratios of observed to declared run times vary
// less, these ratios. It reports false if no class has enough observations.
func (m *Model) quantile(j job.Job, q float64) (time.Duration, bool) {
	for _, c := range classes(j) {
		s, ok := m.samples[c]
		if !ok || len(s.ring) < minObservations {
			continue
		}
		var runs, ratios []float64
		for _, o := range s.ring {
			runs = append(runs, float64(o.run))
			if o.ratio > 0 {
				ratios = append(ratios, o.ratio)
			}
		}
		slices.Sort(runs)
		slices.Sort(ratios)
		if j.DeclaredRun > 0 && len(ratios) >= minObservations && relativeSpread(ratios) < relativeSpread(runs) {
			return time.Duration(valueAt(ratios, q) * float64(j.DeclaredRun)), true
		}
		return time.Duration(valueAt(runs, q)), true
	}
	return 0, false
}

// valueAt returns the q-quantile of the sorted values.
func valueAt(sorted []float64, q float64) float64 { return sorted[int(q*float64(len(sorted)-1)+0.5)] }

// relativeSpread returns the ratio of the 90th to the 10th percentile.
func relativeSpread(sorted []float64) float64 { return valueAt(sorted, 0.9) / valueAt(sorted, 0.1) }
