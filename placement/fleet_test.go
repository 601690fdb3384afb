package placement

import (
	"fmt"
	"time"

	"celerypoint.example/celerypoint/job"
	"celerypoint.example/celerypoint/shape"
	"celerypoint.example/celerypoint/vm"
)

var now = time.Date(2026, 12, 4, 6, 0, 0, 0, time.UTC)

// fleet returns n VMs, with 3 VMs in a rack, 12 racks in a zone and 3 zones in a
// region.
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

// waiting returns a preemptible, idempotent job of normal urgency that has
// waited for one second.
func waiting(id, org string, tasks, acceleratorsPerTask int) WaitingJob {
	return WaitingJob{WaitingSince: now.Add(-time.Second), Job: job.Job{
		ID: id, Org: org, Tasks: tasks, AcceleratorsPerTask: acceleratorsPerTask,
		Adjacency: shape.AdjacencyRegion, Urgency: job.UrgencyNormal, Preemptible: true, Idempotent: true,
	}}
}
