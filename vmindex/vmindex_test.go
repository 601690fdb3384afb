package vmindex

import (
	"slices"
	"testing"

	"celerypoint.example/celerypoint/selector"
	"celerypoint.example/celerypoint/shape"
	"celerypoint.example/celerypoint/vm"
	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"
)

// TestMatching guards against Matching, which looks VMs up by label, returning
// other VMs than the selector matches.
func TestMatching(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var vms []vm.View
		for i := range rapid.IntRange(0, 8).Draw(t, "vms") {
			vms = append(vms, vm.View{VM: vm.VM{ID: string(rune('h' - i))}, EffectiveLabels: map[string]string{
				"a": rapid.SampledFrom([]string{"0", "1"}).Draw(t, "a"), "b": rapid.SampledFrom([]string{"0", "1"}).Draw(t, "b"),
			}})
		}
		x := New(vms)
		text := rapid.SampledFrom([]string{"", "a=0", "b!=1,a=1", "c=0", "!c", "a", "b in (0|1),b=1"}).Draw(t, "selector")
		s, err := selector.Parse(text)
		if err != nil {
			t.Fatalf("%v", err)
		}
		want := []int{}
		for i := range x.VMs {
			if s.Matches(x.VMs[i].EffectiveLabels) {
				want = append(want, i)
			}
		}
		if got := x.Matching(text); !slices.Equal(got, want) {
			t.Fatalf("Matching(%q) = %v, want %v", text, got, want)
		}
	})
}

// TestDomains guards against racks of the same name in different zones, or zones
// of the same name in different regions, being treated as one, against an invalid
// selector that matches VMs, and against Find returning a wrong VM.
func TestDomains(t *testing.T) {
	newVM := func(id, region, zone, rack string) vm.View {
		return vm.View{VM: vm.VM{ID: id, Region: region, Zone: zone, Rack: rack}}
	}
	x := New([]vm.View{newVM("d", "r", "z2", "k1"), newVM("a", "r", "z1", "k1"), newVM("b", "r", "z1", "k1"), newVM("c", "r", "z1", "k2"), newVM("e", "s", "z1", "k1")})
	qt.Assert(t, x.Domains[shape.AdjacencyRack], qt.DeepEquals, []int{0, 0, 1, 2, 3})
	qt.Assert(t, x.Domains[shape.AdjacencyZone], qt.DeepEquals, []int{0, 0, 0, 1, 2})
	qt.Assert(t, x.Domains[shape.AdjacencyRegion], qt.DeepEquals, []int{0, 0, 0, 0, 1})
	qt.Assert(t, x.Matching("="), qt.HasLen, 0)
	i, ok := x.Find("c")
	qt.Assert(t, ok && x.VMs[i].ID == "c", qt.IsTrue)
	_, ok = x.Find("x")
	qt.Assert(t, ok, qt.IsFalse)
}
