package soak

import (
	"math/rand/v2"
	"syscall"
	"time"

	"celerypoint.example/celerypoint/faultproxy"
)

// longRunMs is the least duration of the runs of clients with long runs, in milliseconds.
// Such a run outlasts a lease, so that a cut-off can end it, or a second run overlap it.
const longRunMs = 6000

// drawHandOvers chooses interruptions of the calls to a worker that last about as long as a
// lease, during which planners stop, are killed or are paused and the worker's agent
// restarts, with a random generator of their own.
func (s *system) drawHandOvers(length time.Duration) []scheduledFault {
	r := rand.New(rand.NewPCG(s.seed, 8))
	var all []scheduledFault
	for at := milliseconds(r, 1000, 4000); at < length; at += milliseconds(r, 5000, 9000) {
		node := r.IntN(len(s.agents))
		cut := pathFault{agent: node, path: pathCalls, faults: pick(r, []faultproxy.Faults{
			{Refuse: true}, {Cut: true}, {Up: faultproxy.DirectionFaults{Block: faultproxy.BlockDiscard}, Down: faultproxy.DirectionFaults{Block: faultproxy.BlockDiscard}},
		})}
		all = append(all, scheduledFault{at, milliseconds(r, 3000, 9000), cut})
		change := at
		for range r.IntN(4) {
			change += milliseconds(r, 200, 2500)
			e := s.entries[r.IntN(len(s.entries))]
			all = append(all, scheduledFault{change, milliseconds(r, 1000, 6000), pick(r, []fault{
				signalFault{e.process, syscall.SIGSTOP}, signalFault{e.process, syscall.SIGKILL}, stopFault{[]*process{e.process}},
			})})
		}
		if r.IntN(3) == 0 {
			all = append(all, scheduledFault{at + milliseconds(r, 0, 5000), 0, signalFault{s.agents[node].process, syscall.SIGKILL}})
		}
	}
	return all
}
