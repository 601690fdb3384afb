package load

import (
	"cmp"
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"celerypoint.example/celerypoint/outcome"
)

// Report summarises what the callers observed in one run. Times are in
// milliseconds unless a name tells another unit.
type Report struct {
	Profile string         `json:"profile"`
	Policy  string         `json:"policy"`
	Seed    uint64         `json:"seed"`
	Seconds float64        `json:"seconds"`
	Classes []ClassSummary `json:"classes"`
	Idle    IdleTime       `json:"idleWhileGangWaits"`
}

// IdleTime is the capacity that was free while a gang waited that needed no more
// accelerators than were free in total. Share is its part of the total capacity
// over the run.
type IdleTime struct {
	AcceleratorSeconds float64 `json:"acceleratorSeconds"`
	Share              float64 `json:"share"`
}

// ClassSummary summarises the requests of one kind of work from one organisation.
// Org is empty for the summary over all organisations.
type ClassSummary struct {
	Org   string `json:"org"`
	Class string `json:"class"`
	// Requests is the sum of the five counts that follow it. Unfinished counts
	// requests without an outcome at the end of the run. WrongAnswers counts those
	// of Answers that differ from the expected answer.
	Requests     int            `json:"requests"`
	Answers      int            `json:"answers"`
	Failed       int            `json:"failed"`
	NotRun       int            `json:"notRun"`
	Unknown      int            `json:"unknown"`
	Unfinished   int            `json:"open"`
	WrongAnswers int            `json:"wrongAnswers"`
	Rules        map[string]int `json:"rules,omitempty"`
	// WithinDeadline is the share of all requests that were answered within
	// their timeouts. An answer to a request without a timeout counts.
	WithinDeadline float64      `json:"withinDeadline"`
	CompletionMs   Distribution `json:"completionMs"`
	// StartDelayMs is the time from the submission to the start on a VM.
	StartDelayMs Distribution `json:"startDelayMs"`
	// SlowdownPercent is the completion time as a percentage of the declared run
	// time.
	SlowdownPercent Distribution `json:"slowdownPercent"`
}

// Distribution describes a distribution of values by percentiles, maximum and mean.
type Distribution struct {
	P50  int64   `json:"p50"`
	P95  int64   `json:"p95"`
	P99  int64   `json:"p99"`
	Max  int64   `json:"max"`
	Mean float64 `json:"mean"`
}

// histogramMax is the largest value that a histogram records, in milliseconds or
// percent.
const histogramMax = 100_000_000

func newHistogram() *hdrhistogram.Histogram { return hdrhistogram.New(1, histogramMax, 3) }

func newDistribution(h *hdrhistogram.Histogram) Distribution {
	if h.TotalCount() == 0 {
		return Distribution{}
	}
	return Distribution{P50: h.ValueAtQuantile(50), P95: h.ValueAtQuantile(95), P99: h.ValueAtQuantile(99), Max: h.Max(), Mean: h.Mean()}
}

func recordValue(h *hdrhistogram.Histogram, value int64) {
	// The value is clamped to the histogram's range, so this never fails.
	_ = h.RecordValue(min(max(value, 1), histogramMax))
}

type classKey struct{ org, class string }

type classSums struct {
	ClassSummary
	completion, startDelay, slowdown *hdrhistogram.Histogram
	answeredInTime                   int
}

// Report summarises the run. policy is the name of the placement policy to show.
func (run *Run) Report(policy string) Report {
	run.mu.Lock()
	defer run.mu.Unlock()
	byKey := map[classKey]*classSums{}
	for _, r := range run.records {
		for _, k := range []classKey{{"", r.request.Class}, {r.request.Job.Org, r.request.Class}} {
			s := byKey[k]
			if s == nil {
				s = &classSums{ClassSummary: ClassSummary{Org: k.org, Class: k.class, Rules: map[string]int{}}, completion: newHistogram(), startDelay: newHistogram(), slowdown: newHistogram()}
				byKey[k] = s
			}
			s.add(r)
		}
	}
	report := Report{Profile: run.Profile.Name, Policy: policy, Seed: run.Seed, Seconds: run.endedAt.Sub(run.startedAt).Seconds(), Idle: IdleTime{AcceleratorSeconds: run.idleAcceleratorSeconds}}
	if run.totalAcceleratorSeconds > 0 {
		report.Idle.Share = run.idleAcceleratorSeconds / run.totalAcceleratorSeconds
	}
	for _, s := range byKey {
		s.WithinDeadline = float64(s.answeredInTime) / float64(s.Requests)
		s.CompletionMs, s.StartDelayMs, s.SlowdownPercent = newDistribution(s.completion), newDistribution(s.startDelay), newDistribution(s.slowdown)
		report.Classes = append(report.Classes, s.ClassSummary)
	}
	slices.SortFunc(report.Classes, func(a, b ClassSummary) int {
		return cmp.Or(strings.Compare(a.Class, b.Class), strings.Compare(a.Org, b.Org))
	})
	return report
}

func (s *classSums) add(r record) {
	s.Requests++
	took := r.endedAt.Sub(r.sentAt)
	switch r.kind {
	case outcome.KindAnswer:
		s.Answers++
		recordValue(s.completion, took.Milliseconds())
		recordValue(s.startDelay, r.startDelay.Milliseconds())
		if run := r.request.Job.DeclaredRun; run > 0 {
			recordValue(s.slowdown, int64(100*took/run))
		}
		if r.request.DeadlineAfter == 0 || took <= r.request.DeadlineAfter {
			s.answeredInTime++
		}
	case outcome.KindFailed:
		s.Failed++
	case outcome.KindNotRun:
		s.NotRun++
		s.Rules[r.rule]++
	case outcome.KindUnknown:
		s.Unknown++
	default:
		s.Unfinished++
	}
	if r.wrongAnswer {
		s.WrongAnswers++
	}
}

// WrongAnswers returns the number of answers that differ from the expected answers
// to their requests.
func (r Report) WrongAnswers() int {
	n := 0
	for _, c := range r.Classes {
		if c.Org == "" {
			n += c.WrongAnswers
		}
	}
	return n
}

// Text returns the report as a text table.
func (r Report) Text() string {
	var b strings.Builder
	fmt.Fprintf(&b, "profile %s, policy %s, seed %d, %.1f s; idle while a gang waits: %.1f accelerator-seconds (%.1f%%)\n",
		r.Profile, r.Policy, r.Seed, r.Seconds, r.Idle.AcceleratorSeconds, 100*r.Idle.Share)
	fmt.Fprintf(&b, "%-18s %-8s %8s %8s %6s %6s %6s %8s %8s %8s %8s %10s\n", "class", "org", "requests", "answers", "failed", "notRun", "unkn.", "in time", "p50 ms", "p95 ms", "p99 ms", "start p99")
	for _, c := range r.Classes {
		fmt.Fprintf(&b, "%-18s %-8s %8d %8d %6d %6d %6d %7.1f%% %8d %8d %8d %10d\n", c.Class, cmp.Or(c.Org, "all"), c.Requests, c.Answers, c.Failed, c.NotRun, c.Unknown,
			100*c.WithinDeadline, c.CompletionMs.P50, c.CompletionMs.P95, c.CompletionMs.P99, c.StartDelayMs.P99)
	}
	return b.String()
}

// Timeout returns the longest time that one run of the profile takes.
func (p Profile) Timeout() time.Duration { return p.Duration + finishTimeout }
