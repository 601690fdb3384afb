package soak

import (
	"fmt"
	"math/rand/v2"
	"syscall"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// failingPause is the least time between two jobs of a client with failing gangs.
const failingPause = 2 * time.Second

// drawRestarts chooses ends of agents, each followed by that of an entry, with a random
// generator of their own. A failure that an agent has not reported yet is then reported to
// another planner than that of the other members.
func (s *system) drawRestarts(length time.Duration) []scheduledFault {
	r := rand.New(rand.NewPCG(s.seed, 9))
	ends := func(p *process) fault {
		return pick(r, []fault{stopFault{[]*process{p}}, signalFault{p, syscall.SIGKILL}})
	}
	var all []scheduledFault
	for at := milliseconds(r, 1000, 3000); at < length; at += milliseconds(r, 1500, 4000) {
		all = append(all, scheduledFault{at, 0, ends(s.agents[r.IntN(len(s.agents))].process)})
		for _, i := range r.Perm(len(s.entries))[:1+r.IntN(2)] {
			all = append(all, scheduledFault{at + milliseconds(r, 100, 1500), 0, ends(s.entries[i].process)})
		}
	}
	return all
}

// startsBeyondAttempts describes each run that started after maxAttempts runs of its task had
// failed, if these ends were taken note of. The runs are those of one task, in the order of
// their starts.
func startsBeyondAttempts(runs []runRecord) []string {
	var found []string
	for i, b := range runs {
		failures := 0
		for _, a := range runs[:i] {
			if a.EndReason == "failed" && a.EndAcknowledged && !a.leaseLapsed && a.EndedAt.Before(b.StartedAt) {
				failures++
			}
		}
		if failures >= maxAttempts {
			found = append(found, fmt.Sprintf("%s: %s started after %d runs had failed, allowed: %d", b.Task, b, failures, maxAttempts))
		}
	}
	return found
}

// TestStartsBeyondAttempts guards against a judge that misses a start beyond the attempts or
// reports one that is allowed.
func TestStartsBeyondAttempts(t *testing.T) {
	at := func(s int) time.Time { return time.Unix(int64(s), 0) }
	runs := func(last func(*runRecord)) []runRecord {
		var all []runRecord
		for n := 1; n <= maxAttempts+1; n++ {
			r := runRecord{incarnation: "w"}
			r.Task, r.Run, r.StartedAt, r.EndedAt, r.EndReason, r.EndAcknowledged = "t", n, at(2*n), at(2*n+1), "failed", true
			all = append(all, r)
		}
		last(&all[maxAttempts-1])
		return all
	}
	for _, test := range []struct {
		name string
		last func(*runRecord)
		want []string
	}{
		{"failed", func(*runRecord) {}, []string{"t: run 5 on w started after 4 runs had failed, allowed: 4"}},
		{"not taken note of", func(r *runRecord) { r.EndAcknowledged = false }, nil},
		{"lease lapsed before", func(r *runRecord) { r.leaseLapsed = true }, nil},
		{"stopped", func(r *runRecord) { r.EndReason = "stopped" }, nil},
		{"failed after the start", func(r *runRecord) { r.EndedAt = at(100) }, nil},
	} {
		t.Run(test.name, func(t *testing.T) {
			qt.Assert(t, startsBeyondAttempts(runs(test.last)), qt.DeepEquals, test.want)
		})
	}
}
