// Package estimate learns run times from observations, because the run times
// that callers declare are often far off. A Model holds the newest observations
// of each class of jobs in bounded memory. The caller serializes access to it;
// it takes no lock.
package estimate

import (
	"cmp"
	"maps"
	"math/bits"
	"slices"
	"time"

	"celerypoint.example/celerypoint/job"
)

// ClassLabel is the label by which callers tell kinds of work apart.
const ClassLabel = "class"

// MaxClasses bounds the classes that a model remembers. At 790 organisations
// it leaves five for each; a class takes about 1.1 KB.
const MaxClasses = 4096

const (
	// sampleSize is the number of newest observations kept for each class. It
	// is small, so that a change of the work shows within 64 jobs.
	sampleSize = 64
	// enough is the number of observations from which on they count more than
	// a declaration.
	enough = 5
	// stragglerFactor is how many times the 90th percentile a task may run.
	stragglerFactor = 2
	// minStraggler keeps short tasks from being called stragglers because of
	// delays of the scheduler itself.
	minStraggler = time.Second
)

// class groups jobs whose run times resemble each other.
type class struct {
	org     string
	label   string
	urgency job.Urgency
	// tasks is the number of binary digits of the number of tasks, 0 for the
	// class of all jobs of the organisation in the lane. The class of all jobs
	// of a lane has no organisation.
	tasks int
}

// observation is one run. Ratio is the run time divided by the declared one, 0
// when none was declared.
type observation struct {
	run   time.Duration
	ratio float64
}

// sample holds the newest observations of a class.
type sample struct {
	ring []observation
	next int
	// used orders the samples by their last observation.
	used uint64
}

// Model holds what was observed. Use New.
type Model struct {
	samples map[class]*sample
	clock   uint64
}

// New returns a model without observations.
func New() *Model { return &Model{samples: map[class]*sample{}} }

// classes lists the job's classes that predict its run time, the narrowest
// first.
func classes(j job.Job) []class {
	wide := class{org: j.Org, urgency: cmp.Or(j.Urgency, job.UrgencyNormal)}
	narrow := wide
	narrow.label, narrow.tasks = j.Labels[ClassLabel], bits.Len(uint(j.Tasks))
	return []class{narrow, wide}
}

// Observe adds a run that ended with an answer. Runs that failed or were
// stopped say nothing about how long the work takes.
func (m *Model) Observe(j job.Job, run time.Duration) {
	o := observation{run: max(run, time.Millisecond)}
	if j.DeclaredRun > 0 {
		o.ratio = float64(o.run) / float64(j.DeclaredRun)
	}
	lane := class{urgency: cmp.Or(j.Urgency, job.UrgencyNormal)}
	for _, c := range append(classes(j), lane) {
		s, ok := m.samples[c]
		if !ok {
			s = &sample{}
			m.samples[c] = s
		}
		m.clock++
		s.used = m.clock
		s.add(o)
	}
	if len(m.samples) > MaxClasses {
		m.forgetOldest()
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

// forgetOldest drops the eighth of the classes that was not observed for the
// longest time. Dropping one at a time would search all of them each time.
func (m *Model) forgetOldest() {
	used := make([]uint64, 0, len(m.samples))
	for _, s := range m.samples {
		used = append(used, s.used)
	}
	slices.Sort(used)
	limit := used[len(used)/8]
	maps.DeleteFunc(m.samples, func(_ class, s *sample) bool { return s.used <= limit })
}

// ExpectedRun estimates the job's run time: the median of what was observed, or
// what was declared, or 0 when nothing is known.
func (m *Model) ExpectedRun(j job.Job) time.Duration {
	if run, ok := m.quantile(j, 0.5); ok {
		return run
	}
	return j.DeclaredRun
}

// MeanRun is the mean run time of the newest jobs in a lane, 0 when nothing was
// observed. Unlike the median it tells how long a queue of them takes.
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

// ExpectedEnd is when a job that started at the time is expected to end; zero
// when nothing is known.
func (m *Model) ExpectedEnd(j job.Job, startedAt time.Time) time.Time {
	run := m.ExpectedRun(j)
	if run <= 0 {
		return time.Time{}
	}
	return startedAt.Add(run)
}

// Straggler reports whether a task that started at the time runs much longer
// than its like. Without observations nothing is a straggler.
func (m *Model) Straggler(j job.Job, startedAt, now time.Time) bool {
	run, ok := m.quantile(j, 0.9)
	return ok && now.Sub(startedAt) > max(minStraggler, stragglerFactor*run)
}

// quantile predicts the run time from the narrowest class with enough
// observations. It uses run times, or their ratios to the declared ones,
// whichever are spread less.
func (m *Model) quantile(j job.Job, q float64) (time.Duration, bool) {
	for _, c := range classes(j) {
		s, ok := m.samples[c]
		if !ok || len(s.ring) < enough {
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
		if j.DeclaredRun > 0 && len(ratios) >= enough && spread(ratios) < spread(runs) {
			return time.Duration(at(ratios, q) * float64(j.DeclaredRun)), true
		}
		return time.Duration(at(runs, q)), true
	}
	return 0, false
}

func at(sorted []float64, q float64) float64 { return sorted[int(q*float64(len(sorted)-1)+0.5)] }

func spread(sorted []float64) float64 { return at(sorted, 0.9) / at(sorted, 0.1) }
