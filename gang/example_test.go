package gang_test

import (
	"fmt"
	"time"

	"celerypoint.example/celerypoint/gang"
)

// A daemon keeps the attempt, carries out the orders, and feeds what happens
// back as events.
func ExampleStep() {
	now := time.Date(2026, 12, 4, 6, 0, 0, 0, time.UTC)
	timing := gang.Timing{Reservation: 3 * time.Second, Lease: 4 * time.Second, ConfirmEvery: time.Second}
	attempt := gang.New("job1", "job1/1", 1, true, []gang.Member{{VM: "vm1", Tasks: 8}, {VM: "vm2", Tasks: 8, FirstRank: 8}})
	var orders []gang.Order
	for _, event := range []gang.Event{
		gang.Proposed{},
		gang.Reserved{VM: "vm1", BootID: "b1"},
		gang.Reserved{VM: "vm2", BootID: "b2"},
		gang.Committed{Offset: 7},
	} {
		attempt, orders = gang.Step(attempt, event, now, timing)
		fmt.Printf("%T: %s", event, attempt.Phase)
		for _, o := range orders {
			fmt.Printf(", %T", o)
		}
		fmt.Println()
	}
	// Output:
	// gang.Proposed: reserving, gang.Reserve, gang.Reserve
	// gang.Reserved: reserving
	// gang.Reserved: committing, gang.Commit
	// gang.Committed: starting, gang.Start, gang.Start
}
