package placement

import (
	"fmt"
	"time"

	"celerypoint.example/celerypoint/job"
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

// waiting makes a preemptible normal job of one-accelerator tasks.
func waiting(id, org string, tasks, size int) WaitingJob {
	return WaitingJob{WaitingSince: now.Add(-time.Second), Job: job.Job{
		ID: id, Org: org, Tasks: tasks, AcceleratorsPerTask: size,
		Adjacency: shape.AdjacencyRegion, Urgency: job.UrgencyNormal, Preemptible: true, Idempotent: true,
	}}
}
