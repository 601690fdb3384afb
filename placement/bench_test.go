package placement

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"celerypoint.example/celerypoint/guarantee"
	"celerypoint.example/celerypoint/job"
	"celerypoint.example/celerypoint/org"
	"celerypoint.example/celerypoint/shape"
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
		in.Waiting = []WaitingJob{gang, urgent}
		b.Run(fmt.Sprintf("placed/vms=%d", s.vms), func(b *testing.B) { decide(b, in) })

		full := in
		full.VMs = fill(in)
		b.Run(fmt.Sprintf("full/vms=%d", s.vms), func(b *testing.B) { decide(b, full) })
	}
}

// BenchmarkBurst measures a pass over a burst of small jobs of all
// organisations: on a busy fleet, where most have to wait, and on an idle one of
// VMs with 8 accelerators, where all are placed.
func BenchmarkBurst(b *testing.B) {
	for _, n := range []int{1000, 10000} {
		in := loaded(4800, 790, 40000)
		for i := range n {
			w := waiting(fmt.Sprintf("j%d", i), fmt.Sprintf("o%d", i%790), 1+i%4, 1)
			w.Job.Preemptible = i%2 == 0
			w.ExpectedRun = time.Duration(i%60) * time.Minute
			in.Waiting = append(in.Waiting, w)
		}
		b.Run(fmt.Sprintf("busy/jobs=%d", n), func(b *testing.B) { decide(b, in) })
		in.VMs, in.ExpectedEnds = fleet(4800, func(int) int { return 8 }), nil
		b.Run(fmt.Sprintf("idle/jobs=%d", n), func(b *testing.B) { decide(b, in) })
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

// loaded makes a fleet in the proportions of the design size, 24 zones in 7
// regions, with guarantees and running work on half of the accelerators.
func loaded(vms, orgs, tasks int) Input {
	rd := rand.New(rand.NewPCG(1, uint64(vms)))
	in := Input{Now: now, Policy: PolicyAdjacent, ExpectedEnds: map[string]time.Time{}}
	// Four VMs of five have 2 accelerators and the fifth 1: 8,640 on 4,800.
	in.VMs = fleet(vms, func(i int) int { return 2 - btoi(i%5 == 4) })
	free := 0
	for i := range in.VMs {
		v := &in.VMs[i]
		v.Zone = fmt.Sprintf("z%d", i*max(3, 24*vms/4800)/vms)
		v.Region = fmt.Sprintf("r%d", i*max(1, 7*vms/4800)/vms)
		free += v.Accelerators
	}
	half := free / 2
	var all []org.Org
	for i := range orgs {
		s := shape.Shape{VMs: 1 + rd.IntN(8), AcceleratorsPerVM: 1 + rd.IntN(2), Adjacency: shape.AdjacencyZone}
		all = append(all, org.Org{Name: fmt.Sprintf("o%d", i), Guarantee: s})
	}
	in.Assignment = guarantee.Assign(all, in.VMs, guarantee.Assignment{})
	for i := range tasks {
		v := &in.VMs[rd.IntN(vms)]
		h := vm.Holding{
			JobID: fmt.Sprintf("j%d", i), Attempt: fmt.Sprintf("a%d", i), Org: fmt.Sprintf("o%d", rd.IntN(orgs)),
			Tasks: 1, Running: true, Preemptible: rd.IntN(2) == 0,
		}
		if v.FreeAccelerators() > 0 && free > half {
			h.Accelerators = 1
		}
		if v.FreeSlots() > 1 {
			free -= h.Accelerators
			v.Holdings = append(v.Holdings, h)
			in.ExpectedEnds[h.Attempt] = now.Add(time.Duration(1+rd.IntN(4*3600)) * time.Second)
		}
	}
	return in
}

func btoi(b bool) int {
	if b {
		return 1
	}
	return 0
}
