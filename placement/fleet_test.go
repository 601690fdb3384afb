package placement

import (
	"fmt"
	"math/rand/v2"
	"time"

	"celerypoint.example/celerypoint/guarantee"
	"celerypoint.example/celerypoint/job"
	"celerypoint.example/celerypoint/org"
	"celerypoint.example/celerypoint/shape"
	"celerypoint.example/celerypoint/vm"
)

var now = time.Date(2026, 12, 4, 6, 0, 0, 0, time.UTC)

// fleet makes VMs of 3 to a rack, 12 racks to a zone and 3 zones to a region.
func fleet(n int, accelerators func(i int) int) []vm.View {
	vms := make([]vm.View, n)
	for i := range vms {
		zone := fmt.Sprintf("z%d", i/36)
		vms[i] = vm.View{VM: vm.VM{
			ID: fmt.Sprintf("vm%05d", i), Rack: fmt.Sprintf("k%d", i/3), Zone: zone, Region: fmt.Sprintf("r%d", i/108),
			Accelerators: accelerators(i), Slots: 16,
		}, EffectiveLabels: map[string]string{"zone": zone, "parity": fmt.Sprint(i % 2)}}
	}
	return vms
}

// loaded makes a fleet with guarantees and running work: about tasks tasks on
// fewer accelerators than exist.
func loaded(vms, orgs, tasks int) Input {
	rd := rand.New(rand.NewPCG(1, uint64(vms)))
	in := Input{Now: now, Policy: PolicyAdjacent, ExpectedEnds: map[string]time.Time{}}
	// Four VMs of five have 2 accelerators and the fifth 1: 8,640 on 4,800.
	in.VMs = fleet(vms, func(i int) int { return 2 - btoi(i%5 == 4) })
	var all []org.Org
	for i := range orgs {
		s := shape.Shape{VMs: 1 + rd.IntN(8), AcceleratorsPerVM: 1 + rd.IntN(2), Adjacency: shape.AdjacencyZone}
		all = append(all, org.Org{Name: fmt.Sprintf("o%d", i), Guarantee: s})
	}
	in.Shares = guarantee.Assign(all, in.VMs, guarantee.Assignment{})
	for i := range tasks {
		v := &in.VMs[rd.IntN(vms)]
		h := vm.Holding{
			JobID: fmt.Sprintf("j%d", i), Attempt: fmt.Sprintf("a%d", i), Org: fmt.Sprintf("o%d", rd.IntN(orgs)),
			Tasks: 1, Running: true, Preemptible: rd.IntN(2) == 0,
		}
		if v.FreeAccelerators() > 0 && rd.IntN(3) > 0 {
			h.Accelerators = 1
		}
		if v.FreeSlots() > 1 {
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

// waiting makes a preemptible normal job of one-accelerator tasks.
func waiting(id, org string, tasks, size int) Waiting {
	return Waiting{Since: now.Add(-time.Second), Job: job.Job{
		ID: id, Org: org, Tasks: tasks, AcceleratorsPerTask: size,
		Adjacency: shape.AdjacencyRegion, Urgency: job.UrgencyNormal, Preemptible: true, Idempotent: true,
	}}
}
