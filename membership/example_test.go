package membership_test

import (
	"fmt"

	"celerypoint.example/celerypoint/membership"
)

// Every process that sees the same peers picks the same owner. When the owner is
// lost, the second peer of Ranked becomes the owner.
func ExampleOwner() {
	peers := []string{"entry1", "entry2", "entry3"}
	ranked := membership.Ranked("planner/north", peers)
	fmt.Println(membership.Owner("planner/north", peers) == ranked[0])
	fmt.Println(membership.Owner("planner/north", ranked[1:]) == ranked[1])
	// Output:
	// true
	// true
}
