package guarantee_test

import (
	"fmt"

	"celerypoint.example/celerypoint/guarantee"
	"celerypoint.example/celerypoint/org"
	"celerypoint.example/celerypoint/shape"
	"celerypoint.example/celerypoint/vm"
)

// A VM with 8 accelerators holds the shape of the organisation paint, but not
// that of hikers in addition, which is reported as unmet.
func ExampleAssign() {
	vms := []vm.View{{VM: vm.VM{ID: "vm1", Zone: "a", Rack: "r1", Region: "north", Accelerators: 8, Slots: 8}}}
	orgs := []org.Org{
		{Name: "paint", Guarantee: shape.Shape{VMs: 1, AcceleratorsPerVM: 6, Adjacency: shape.AdjacencyVM}},
		{Name: "hikers", Guarantee: shape.Shape{VMs: 1, AcceleratorsPerVM: 4, Adjacency: shape.AdjacencyVM}},
	}
	assignment := guarantee.Assign(orgs, vms, guarantee.Assignment{})
	fmt.Println("paint", assignment.Shares["paint"], "unmet", assignment.Unmet)
	// Output:
	// paint map[vm1:6] unmet [hikers]
}
