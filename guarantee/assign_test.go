package guarantee

import (
	"fmt"
	"maps"
	"reflect"
	"slices"
	"testing"

	"celerypoint.example/celerypoint/org"
	"celerypoint.example/celerypoint/shape"
	"celerypoint.example/celerypoint/vm"
	"celerypoint.example/celerypoint/vmindex"
	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"
)

// fleet returns n VMs, with 3 VMs in a rack, 12 racks in a zone and 3 zones in a
// region.
func fleet(n int, accelerators func(i int) int) []vm.View {
	vms := make([]vm.View, n)
	for i := range vms {
		zone := fmt.Sprintf("z%d", i/36)
		vms[i] = vm.View{VM: vm.VM{
			ID: fmt.Sprintf("vm%05d", i), Rack: fmt.Sprintf("k%d", i/3), Zone: zone, Region: fmt.Sprintf("r%d", i/108),
			Accelerators: accelerators(i),
		}, EffectiveLabels: map[string]string{"zone": zone, "parity": fmt.Sprint(i % 2)}}
	}
	return vms
}

func eightAccelerators(int) int { return 8 }

func orgWithShape(name string, vms, each int, a shape.Adjacency, selector string) org.Org {
	return org.Org{Name: name, Selector: selector, Guarantee: shape.Shape{VMs: vms, AcceleratorsPerVM: each, Adjacency: a}}
}

// TestAssign guards against shapes that are assigned to the wrong VMs: parts too
// far apart, parts on separate VMs although they must be on one, and shares on
// VMs that a more constrained shape needs or on accelerators that could not be
// reclaimed.
func TestAssign(t *testing.T) {
	type shares = map[string]map[string]int
	// nonPreemptible is non-preemptible work that uses all accelerators of the
	// first VM.
	nonPreemptible := []vm.Holding{{Org: "b", Tasks: 1, Accelerators: 5}, {Org: "a", Tasks: 1, Accelerators: 3}}
	tests := []struct {
		name string
		vms  int
		// holdings run on the first VM.
		holdings []vm.Holding
		previous shares
		orgs     []org.Org
		want     shares
		unmet    []string
	}{
		{name: "a shape with adjacency VM is on one VM", vms: 3, orgs: []org.Org{orgWithShape("a", 2, 3, shape.AdjacencyVM, "")},
			want: shares{"a": {"vm00000": 6}}},
		{name: "an unmet shape gets the parts that fit", vms: 2, orgs: []org.Org{orgWithShape("a", 3, 5, shape.AdjacencyRack, "")},
			want: shares{"a": {"vm00000": 5, "vm00001": 5}}, unmet: []string{"a"}},
		{name: "parts are on the same VM if there is no other VM", vms: 2, orgs: []org.Org{orgWithShape("a", 4, 4, shape.AdjacencyZone, "")},
			want: shares{"a": {"vm00000": 8, "vm00001": 8}}},
		{name: "the large shape goes first", vms: 2, orgs: []org.Org{orgWithShape("a", 1, 1, "", ""), orgWithShape("b", 2, 8, shape.AdjacencyZone, "")},
			want: shares{"b": {"vm00000": 8, "vm00001": 8}}, unmet: []string{"a"}},
		{name: "shapes without a selector avoid VMs that a selector needs", vms: 2, orgs: []org.Org{orgWithShape("a", 1, 8, "", ""), orgWithShape("b", 1, 2, "", "parity=0")},
			want: shares{"a": {"vm00001": 8}, "b": {"vm00000": 2}}},
		{name: "a shape that asks for nothing is met", vms: 1, orgs: []org.Org{{Name: "a"}}, want: shares{}},
		{name: "a previous share moves if another shape needs its VM", vms: 2, previous: shares{"a": {"vm00000": 4}, "b": {"vm00001": 4}},
			orgs: []org.Org{orgWithShape("a", 1, 4, "", ""), orgWithShape("b", 1, 4, "", ""), orgWithShape("c", 1, 8, "", "")},
			want: shares{"a": {"vm00000": 4}, "b": {"vm00000": 4}, "c": {"vm00001": 8}}},
		{name: "a share avoids non-preemptible work of other organisations", vms: 2, holdings: nonPreemptible, orgs: []org.Org{orgWithShape("c", 1, 2, "", "")},
			want: shares{"c": {"vm00001": 2}}},
		{name: "a share covers non-preemptible work of its own organisation", vms: 2, holdings: nonPreemptible, orgs: []org.Org{orgWithShape("a", 1, 3, "", "")}, want: shares{"a": {"vm00000": 3}}},
		{name: "a share larger than its own organisation's non-preemptible work goes elsewhere", vms: 2, holdings: nonPreemptible, orgs: []org.Org{orgWithShape("a", 1, 4, "", "")}, want: shares{"a": {"vm00001": 4}}},
		{name: "a share is on non-preemptible work of others if it fits nowhere else", vms: 2, holdings: nonPreemptible, orgs: []org.Org{orgWithShape("c", 1, 8, "", "parity=0")},
			want: shares{"c": {"vm00000": 8}}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			vms := fleet(tt.vms, eightAccelerators)
			vms[0].Holdings = tt.holdings
			got := Assign(tt.orgs, vms, Assignment{Shares: tt.previous})
			qt.Assert(t, got, qt.DeepEquals, Assignment{Shares: tt.want, Unmet: tt.unmet})
		})
	}
}

// TestAssignProperties guards against shares that exceed the accelerators of a
// VM, shares on VMs that are lost or draining or that the selector does not
// match, shapes that are wrongly reported as met or unmet, and results that
// depend on the order of the input or change although the input did not.
func TestAssignProperties(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		vms := fleet(rapid.IntRange(0, 12).Draw(t, "vms"), func(int) int { return rapid.IntRange(0, 8).Draw(t, "accelerators") })
		for i := range vms {
			vms[i].Holdings = []vm.Holding{{Org: rapid.SampledFrom([]string{"0", "1", "x"}).Draw(t, "holder"), Tasks: 1, Accelerators: rapid.IntRange(0, vms[i].Accelerators).Draw(t, "held")}}
		}
		var orgs []org.Org
		for i := range rapid.IntRange(0, 6).Draw(t, "orgs") {
			orgs = append(orgs, orgWithShape(fmt.Sprint(i), rapid.IntRange(1, 5).Draw(t, "n"), rapid.IntRange(1, 8).Draw(t, "k"),
				rapid.SampledFrom([]shape.Adjacency{"", "vm", "rack", "zone", "region"}).Draw(t, "adjacency"),
				rapid.SampledFrom([]string{"", "", "parity=0", "parity!=0"}).Draw(t, "selector")))
		}
		first := Assign(orgs, vms, Assignment{})
		checkAssignment(t, orgs, vms, first)
		if again := Assign(orgs, vms, first); !reflect.DeepEqual(again, first) {
			t.Fatalf("the assignment changed without a change of the input: %v, before %v", again, first)
		}
		for i := range vms {
			vms[i].Lost = rapid.IntRange(0, 5).Draw(t, "lost") == 0
			vms[i].Draining = rapid.IntRange(0, 5).Draw(t, "draining") == 0
		}
		second := Assign(orgs, vms, first)
		checkAssignment(t, orgs, vms, second)
		slices.Reverse(vms)
		slices.Reverse(orgs)
		if other := Assign(orgs, vms, first); !reflect.DeepEqual(other, second) {
			t.Fatalf("with the input in reverse order: %v, want %v", other, second)
		}
	})
}

func checkAssignment(t *rapid.T, orgs []org.Org, vms []vm.View, a Assignment) {
	x := vmindex.New(vms)
	for i := range x.VMs {
		sum := 0
		for _, n := range a.SharesOnVM(x.VMs[i].ID) {
			sum += n
		}
		if v := x.VMs[i]; sum > v.Accelerators || sum > 0 && (v.Lost || v.Draining) {
			t.Fatalf("shares of %d accelerators on %+v", sum, v)
		}
	}
	for _, o := range orgs {
		levels := vmindex.LevelsWithin(o.Guarantee.Adjacency)
		domains := map[int]bool{}
		parts := 0
		for id, n := range a.Shares[o.Name] {
			i, ok := x.Find(id)
			if !ok || !slices.Contains(x.Matching(o.Selector), i) || n%o.Guarantee.AcceleratorsPerVM != 0 || n == 0 {
				t.Fatalf("organisation %+v must not have a share of %d accelerators on %s", o, n, id)
			}
			domains[x.Domains[levels[len(levels)-1]][i]] = true
			parts += n / o.Guarantee.AcceleratorsPerVM
		}
		if met := parts == o.Guarantee.VMs; len(domains) > 1 || met == slices.Contains(a.Unmet, o.Name) {
			t.Fatalf("organisation %+v has the shares %v, unmet %v", o, a.Shares[o.Name], a.Unmet)
		}
	}
}

// TestAssignKeepsUnaffectedShares guards against the loss of a VM moving the shares
// of organisations that had no share on that VM.
func TestAssignKeepsUnaffectedShares(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		vms := fleet(60, eightAccelerators)
		var orgs []org.Org
		for i := range 12 {
			orgs = append(orgs, orgWithShape(fmt.Sprint(i), rapid.IntRange(1, 4).Draw(t, "n"), rapid.IntRange(1, 4).Draw(t, "k"), shape.AdjacencyZone, ""))
		}
		before := Assign(orgs, vms, Assignment{})
		lost := rapid.IntRange(0, len(vms)-1).Draw(t, "lost")
		vms[lost].Lost = true
		after := Assign(orgs, vms, before)
		for o, shares := range before.Shares {
			if shares[vms[lost].ID] == 0 && !maps.Equal(shares, after.Shares[o]) {
				t.Fatalf("the shares of organisation %s moved from %v to %v", o, shares, after.Shares[o])
			}
		}
	})
}
