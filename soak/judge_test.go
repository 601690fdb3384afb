package soak

import (
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"celerypoint.example/celerypoint/standinworker"
	"celerypoint.example/celerypoint/worker"
)

// runRecord is a run with the worker that recorded it.
type runRecord struct {
	standinworker.RunRecord
	agent *agentNode
	// incarnation names the worker and counts the incarnations at its address.
	incarnation string
	// acknowledgedAt is when the end was acknowledged, if a call that did so was answered.
	// leaseLapsed says that the worker's lease lapsed between the end and then.
	acknowledgedAt time.Time
	leaseLapsed    bool
}

// successFinal reports whether the run has succeeded and its task must not start again.
func (r runRecord) successFinal() bool {
	return r.EndReason == "done" && r.EndAcknowledged && !r.leaseLapsed
}

func (r runRecord) String() string { return fmt.Sprintf("run %d on %s", r.Run, r.incarnation) }

// duplicateStarts describes each pair of runs of one task that were in progress at the
// same time, and each run that started after a success that is final. The runs are in the
// order of their starts. A run that was killed with its worker has ended.
func duplicateStarts(runs []runRecord) []string {
	var found []string
	for i, b := range runs {
		for _, a := range runs[:i] {
			switch {
			case a.EndedAt.IsZero() || b.StartedAt.Before(a.EndedAt):
				found = append(found, fmt.Sprintf("%s: %s started while %s was in progress", b.Task, b, a))
			case a.successFinal():
				found = append(found, fmt.Sprintf("%s: %s started after %s had succeeded", b.Task, b, a))
			}
		}
	}
	return found
}

// runsByTask returns the runs on all workers by task, those of a task in the
// order in which they started.
func (s *system) runsByTask() map[string][]runRecord {
	all := map[string][]runRecord{}
	for _, a := range s.agents {
		a.mu.Lock()
		workers := append(slices.Clone(a.earlierWorkers), a.worker)
		a.mu.Unlock()
		for n, w := range workers {
			for _, b := range w.History() {
				r := runRecord{RunRecord: b, agent: a, incarnation: fmt.Sprintf("%s (%s, start %d)", w.id, a.name, n+1)}
				r.acknowledgedAt, r.leaseLapsed = w.calls.acknowledgement(worker.Run{Task: b.Task, Number: b.Run}, b.EndedAt)
				all[b.Task] = append(all[b.Task], r)
			}
		}
	}
	for _, runs := range all {
		slices.SortFunc(runs, func(x, y runRecord) int { return x.StartedAt.Compare(y.StartedAt) })
	}
	return all
}

// describeRuns lists all runs, a line for each.
func (s *system) describeRuns() string {
	var text strings.Builder
	at := func(t time.Time) string {
		if t.IsZero() {
			return "-"
		}
		return fmt.Sprintf("%.3f", t.Sub(s.startedAt).Seconds())
	}
	byTask := s.runsByTask()
	var tasks []string
	for task := range byTask {
		tasks = append(tasks, task)
	}
	slices.Sort(tasks)
	for _, task := range tasks {
		for _, r := range byTask[task] {
			fmt.Fprintf(&text, "%s %s: started %s ended %s %s, acknowledged %t at %s, lease lapsed before %t, spec %q\n",
				task, r, at(r.StartedAt), at(r.EndedAt), r.EndReason, r.EndAcknowledged, at(r.acknowledgedAt), r.leaseLapsed, r.Spec)
		}
	}
	return text.String()
}

// TestDuplicateStarts guards against a judge that misses a duplicate start or reports one
// that is allowed.
func TestDuplicateStarts(t *testing.T) {
	at := func(s int) time.Time { return time.Unix(int64(s), 0) }
	run := func(number, start, end int, reason string, acknowledged, lapsed bool) runRecord {
		r := runRecord{leaseLapsed: lapsed, incarnation: "w"}
		r.Task, r.Run, r.StartedAt, r.EndReason, r.EndAcknowledged = "t", number, at(start), reason, acknowledged
		if reason != "" {
			r.EndedAt = at(end)
		}
		return r
	}
	for _, test := range []struct {
		name string
		runs []runRecord
		want []string
	}{
		{"one run", []runRecord{run(1, 1, 2, "done", true, false)}, nil},
		{"after a failure", []runRecord{run(1, 1, 2, "failed", true, false), run(2, 3, 4, "done", true, false)}, nil},
		{"after a crash of the worker", []runRecord{run(1, 1, 2, "crashed", false, false), run(2, 2, 4, "done", true, false)}, nil},
		{"after a success that was not acknowledged", []runRecord{run(1, 1, 2, "done", false, false), run(2, 3, 4, "done", true, false)}, nil},
		{"after a success whose lease lapsed", []runRecord{run(1, 1, 2, "done", true, true), run(2, 3, 4, "done", true, false)}, nil},
		{
			"in progress", []runRecord{run(1, 1, 0, "", false, false), run(2, 2, 4, "done", true, false)},
			[]string{"t: run 2 on w started while run 1 on w was in progress"},
		},
		{
			"in progress until its lease lapsed", []runRecord{run(1, 1, 3, "lapsed", false, false), run(2, 2, 4, "done", true, false)},
			[]string{"t: run 2 on w started while run 1 on w was in progress"},
		},
		{
			"in progress until its worker crashed", []runRecord{run(1, 1, 3, "crashed", false, false), run(2, 2, 4, "done", true, false)},
			[]string{"t: run 2 on w started while run 1 on w was in progress"},
		},
		{
			"in progress until a success whose lease lapsed", []runRecord{run(1, 1, 3, "done", true, true), run(2, 2, 4, "done", true, false)},
			[]string{"t: run 2 on w started while run 1 on w was in progress"},
		},
		{
			"after a success", []runRecord{run(1, 1, 2, "done", true, false), run(2, 3, 4, "failed", true, false)},
			[]string{"t: run 2 on w started after run 1 on w had succeeded"},
		},
		{
			"a long run overlaps two later ones", []runRecord{run(1, 1, 9, "failed", true, false), run(2, 2, 3, "failed", true, false), run(3, 4, 5, "failed", true, false)},
			[]string{"t: run 2 on w started while run 1 on w was in progress", "t: run 3 on w started while run 1 on w was in progress"},
		},
		{
			"after a success and a failure", []runRecord{run(1, 1, 2, "done", true, false), run(2, 2, 3, "failed", true, false), run(3, 4, 5, "failed", true, false)},
			[]string{"t: run 2 on w started after run 1 on w had succeeded", "t: run 3 on w started after run 1 on w had succeeded"},
		},
		{
			"a success ends after a later run has started", []runRecord{run(1, 1, 0, "", false, false), run(2, 2, 3, "done", true, false), run(3, 4, 5, "done", true, false)},
			[]string{
				"t: run 2 on w started while run 1 on w was in progress",
				"t: run 3 on w started while run 1 on w was in progress", "t: run 3 on w started after run 2 on w had succeeded",
			},
		},
	} {
		t.Run(test.name, func(t *testing.T) {
			qt.Assert(t, duplicateStarts(test.runs), qt.DeepEquals, test.want)
		})
	}
}

// TestLeaseLapsedBeforeAcknowledgement guards against an excuse for a lease that lapsed
// before the end or after its acknowledgement, and against a missed excuse.
func TestLeaseLapsedBeforeAcknowledgement(t *testing.T) {
	run := worker.Run{Task: "t", Number: 1}
	for _, test := range []struct {
		name string
		// holds are the seconds at which calls extend the lease by 2 s, acknowledged
		// that of the one which acknowledges the end.
		holds               []int
		ended, acknowledged int
		want                bool
	}{
		{"none", []int{0, 1, 2, 3, 4}, 2, 4, false},
		{"between", []int{0, 1, 6}, 2, 6, true},
		{"before the end", []int{0, 4, 5, 6}, 5, 6, false},
		{"after the acknowledgement", []int{0, 1, 2, 8}, 1, 2, false},
		{"acknowledged a second time after the lapse", []int{0, 1, 2, 8, 9}, 1, 2, false},
	} {
		t.Run(test.name, func(t *testing.T) {
			c := newCallRecord()
			for _, hold := range test.holds {
				cursor := 0
				if hold >= test.acknowledged {
					cursor = 7
				}
				request := fmt.Sprintf(`{"deadline_ms":%d,"ack_cursor":%d}`, 1000*(hold+2), cursor)
				c.add(statusPath, c.startedAt.Add(time.Duration(hold)*time.Second), []byte(request), 200, []byte(`{"finished":[[7,"t",1,"done",""]]}`))
			}
			at, lapsed := c.acknowledgement(run, c.startedAt.Add(time.Duration(test.ended)*time.Second))
			qt.Assert(t, at, qt.Equals, c.startedAt.Add(time.Duration(test.acknowledged)*time.Second))
			qt.Assert(t, lapsed, qt.Equals, test.want)
		})
	}
}
