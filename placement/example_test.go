package placement_test

import (
	"fmt"
	"time"

	"celerypoint.example/celerypoint/job"
	"celerypoint.example/celerypoint/placement"
	"celerypoint.example/celerypoint/shape"
	"celerypoint.example/celerypoint/vm"
)

// A gang of two tasks with 8 accelerators each goes to the two free VMs of one
// rack; the VM in the other rack stays free.
func ExampleDecide() {
	now := time.Date(2026, 12, 4, 6, 0, 0, 0, time.UTC)
	var vms []vm.View
	for i, rack := range []string{"r1", "r2", "r2"} {
		vms = append(vms, vm.View{VM: vm.VM{ID: fmt.Sprintf("vm%d", i+1), Zone: "a", Rack: rack, Region: "north", Accelerators: 8, Slots: 8}})
	}
	plan := placement.Decide(placement.Input{
		Now: now, Policy: placement.PolicyAdjacent, VMs: vms,
		Waiting: []placement.WaitingJob{{WaitingSince: now, Job: job.Job{ID: "job1", Org: "paint", Tasks: 2, AcceleratorsPerTask: 8, Adjacency: shape.AdjacencyZone}}},
	})
	for _, p := range plan.Placements {
		for _, m := range p.Members {
			fmt.Println(p.JobID, m.VM, m.Tasks)
		}
	}
	// Output:
	// job1 vm2 1
	// job1 vm3 1
}
