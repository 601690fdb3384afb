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

// BenchmarkDecide measures one planning pass with a gang and an urgent job, from
// the size of today's fleet (11 VMs) up to the size that the scheduler is
// designed for (4,800 VMs). The gang has 512 tasks, or half as many as there are
// VMs if that is less. About half of the accelerators are free in the runs
// named "placed", and none in those named "full".
func BenchmarkDecide(b *testing.B) {
	sizes := []struct{ vms, orgs, tasks int }{{11, 4, 60}, {100, 16, 800}, {1000, 160, 8000}, {4800, 790, 40000}}
	for _, s := range sizes {
		in := busyInput(s.vms, s.orgs, s.tasks)
		gang := waiting("gang", "o1", min(512, s.vms/2), 1)
		urgent := waiting("urgent", "o2", 1, 1)
		urgent.Job.Urgency = job.UrgencyUrgent
		in.Waiting = []WaitingJob{gang, urgent}
		b.Run(fmt.Sprintf("placed/vms=%d", s.vms), func(b *testing.B) { benchmarkDecide(b, in) })

		full := in
		full.VMs = fillFleet(in)
		b.Run(fmt.Sprintf("full/vms=%d", s.vms), func(b *testing.B) { benchmarkDecide(b, full) })
	}
}

// BenchmarkBurst measures a pass over a burst of small jobs of all
// organisations: on a busy fleet, where most of 10,000 jobs have to wait, and on
// an idle fleet of VMs with 8 accelerators, where all are placed.
func BenchmarkBurst(b *testing.B) {
	for _, n := range []int{1000, 10000} {
		in := busyInput(4800, 790, 40000)
		for i := range n {
			w := waiting(fmt.Sprintf("j%d", i), fmt.Sprintf("o%d", i%790), 1+i%4, 1)
			w.Job.Preemptible = i%2 == 0
			w.ExpectedRun = time.Duration(i%60) * time.Minute
			in.Waiting = append(in.Waiting, w)
		}
		b.Run(fmt.Sprintf("busy/jobs=%d", n), func(b *testing.B) { benchmarkDecide(b, in) })
		in.VMs, in.ExpectedEnds = fleet(4800, func(int) int { return 8 }), nil
		b.Run(fmt.Sprintf("idle/jobs=%d", n), func(b *testing.B) { benchmarkDecide(b, in) })
	}
}

func benchmarkDecide(b *testing.B, in Input) {
	var plan Plan
	for b.Loop() {
		plan = Decide(in)
	}
	b.ReportMetric(float64(len(plan.Placements)), "placed")
}

// fillFleet returns the VMs of the input, each with one more running task, which
// uses all accelerators that are free there. BenchmarkDecide's gang then fits on
// no free accelerators, so Decide has to reclaim or to reserve VMs for it.
// fillFleet also adds the expected ends of these tasks to in.ExpectedEnds.
func fillFleet(in Input) []vm.View {
	vms := append([]vm.View{}, in.VMs...)
	for i := range vms {
		h := vm.Holding{Attempt: fmt.Sprintf("f%d", i), Org: "o0", Tasks: 1, Accelerators: vms[i].FreeAccelerators(), Running: true, Preemptible: true}
		vms[i].Holdings = append(append([]vm.Holding{}, vms[i].Holdings...), h)
		in.ExpectedEnds[h.Attempt] = now.Add(time.Duration(1+i) * time.Second)
	}
	return vms
}

// busyInput returns an input without waiting jobs, in which running work uses
// about half of the accelerators and every organisation has a guarantee. There
// are as many VMs per zone and per region as in the fleet that the scheduler is
// designed for (4,800 VMs in 24 zones and 7 regions), but at least 3 zones.
func busyInput(vms, orgs, tasks int) Input {
	rd := rand.New(rand.NewPCG(1, uint64(vms)))
	in := Input{Now: now, Policy: PolicyAdjacent, ExpectedEnds: map[string]time.Time{}}
	// Four of five VMs have 2 accelerators and the fifth has 1, which makes 8,640
	// accelerators on 4,800 VMs.
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
