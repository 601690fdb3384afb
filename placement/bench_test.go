package placement

import (
	"fmt"
	"testing"
	"time"

	"celerypoint.example/celerypoint/job"
	"celerypoint.example/celerypoint/vm"
)

// BenchmarkDecide measures one planning pass with a gang and an urgent job, at
// the size of today, at the design size and between. The gang has 512 tasks
// where the fleet is large enough.
func BenchmarkDecide(b *testing.B) {
	sizes := []struct{ vms, orgs, tasks int }{{11, 4, 60}, {100, 16, 800}, {1000, 160, 8000}, {4800, 790, 40000}}
	for _, s := range sizes {
		in := loaded(s.vms, s.orgs, s.tasks)
		gang := waiting("gang", "o1", min(512, s.vms/2), 1)
		urgent := waiting("urgent", "o2", 1, 1)
		urgent.Job.Urgency = job.UrgencyUrgent
		in.Waiting = []Waiting{gang, urgent}
		b.Run(fmt.Sprintf("placed/vms=%d", s.vms), func(b *testing.B) { decide(b, in) })

		full := in
		full.VMs = fill(in)
		b.Run(fmt.Sprintf("full/vms=%d", s.vms), func(b *testing.B) { decide(b, full) })
	}
}

// BenchmarkBurst measures a pass over a burst of small jobs of all
// organisations, most of which have to wait.
func BenchmarkBurst(b *testing.B) {
	for _, n := range []int{1000, 10000} {
		in := loaded(4800, 790, 40000)
		for i := range n {
			w := waiting(fmt.Sprintf("j%d", i), fmt.Sprintf("o%d", i%790), 1+i%4, 1)
			w.Job.Preemptible = i%2 == 0
			w.ExpectedRun = time.Duration(i%60) * time.Minute
			in.Waiting = append(in.Waiting, w)
		}
		b.Run(fmt.Sprintf("jobs=%d", n), func(b *testing.B) { decide(b, in) })
	}
}

func decide(b *testing.B, in Input) {
	var plan Plan
	for b.Loop() {
		plan = Decide(in)
	}
	b.ReportMetric(float64(len(plan.Placements)), "placed")
}

// fill gives all free accelerators to long tasks, so that the gang has to wait
// for a reservation.
func fill(in Input) []vm.View {
	vms := append([]vm.View{}, in.VMs...)
	for i := range vms {
		h := vm.Holding{Attempt: fmt.Sprintf("f%d", i), Org: "o0", Tasks: 1, Accelerators: vms[i].FreeAccelerators(), Running: true, Preemptible: true}
		vms[i].Holdings = append(append([]vm.Holding{}, vms[i].Holdings...), h)
		in.ExpectedEnds[h.Attempt] = now.Add(time.Duration(1+i) * time.Second)
	}
	return vms
}
