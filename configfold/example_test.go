package configfold_test

import (
	"fmt"

	"celerypoint.example/celerypoint/configfold"
	"celerypoint.example/celerypoint/org"
)

// Two operators change an organisation, both based on the same version. The change
// that comes first in the log is accepted. The other is refused as a conflict,
// which gives the version to base a new change on.
func ExampleState_Apply() {
	state := configfold.New()
	change := func(id string, basedOn int64, rank int) configfold.Record {
		return configfold.Record{ID: id, BasedOn: basedOn, Change: configfold.PutOrg{Org: org.Org{Name: "paint", ShedRank: rank}}}
	}
	fmt.Printf("%#v\n", state.Apply(1, change("a", 0, 0)))
	fmt.Printf("%#v\n", state.Apply(2, change("b", 1, 2)))
	fmt.Printf("%#v\n", state.Apply(3, change("c", 1, 3)))
	fmt.Println("rank", state.Orgs["paint"].ShedRank)
	// Output:
	// configfold.Accepted{Object:"org/paint", Version:1}
	// configfold.Accepted{Object:"org/paint", Version:2}
	// configfold.Conflict{Object:"org/paint", Version:2}
	// rank 2
}
