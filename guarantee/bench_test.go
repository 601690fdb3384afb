package guarantee

import (
	"fmt"
	"math/rand/v2"
	"testing"

	"celerypoint.example/celerypoint/org"
	"celerypoint.example/celerypoint/shape"
	"celerypoint.example/celerypoint/vm"
)

// BenchmarkAssign measures a first assignment and the one after a VM with shares
// is lost, from the size of today's fleet (11 VMs) up to the size that the
// scheduler is designed for (4,800 VMs). The shapes ask for about three quarters
// of the accelerators.
func BenchmarkAssign(b *testing.B) {
	for _, s := range []struct{ vms, orgs int }{{11, 4}, {100, 16}, {1000, 165}, {4800, 790}} {
		rd := rand.New(rand.NewPCG(1, 2))
		vms := fleet(s.vms, func(i int) int { return 1 + min(1, i%5) })
		for k := range 8 * len(vms) {
			v := &vms[k%len(vms)]
			h := vm.Holding{Org: fmt.Sprint(rd.IntN(s.orgs)), Tasks: 1, Accelerators: min(1, v.FreeAccelerators()), Preemptible: rd.IntN(4) > 0}
			v.Holdings = append(v.Holdings, h)
		}
		var orgs []org.Org
		for i := range s.orgs {
			adjacency := []shape.Adjacency{shape.AdjacencyRack, shape.AdjacencyZone, shape.AdjacencyRegion}[rd.IntN(3)]
			n := 1 + rd.IntN(8)
			if adjacency == shape.AdjacencyRack {
				n = 1 + rd.IntN(3)
			}
			selector := ""
			if rd.IntN(2) == 0 {
				selector = fmt.Sprintf("zone=z%d", rd.IntN(1+(s.vms-1)/36))
			}
			orgs = append(orgs, orgWithShape(fmt.Sprint(i), n, 1+rd.IntN(2), adjacency, selector))
		}
		first := Assign(orgs, vms, Assignment{})
		b.Run(fmt.Sprintf("first/vms=%d", s.vms), func(b *testing.B) {
			for b.Loop() {
				Assign(orgs, vms, Assignment{})
			}
			b.ReportMetric(float64(len(first.Unmet)), "unmet")
		})
		for i := range vms {
			if len(first.SharesOnVM(vms[i].ID)) > 0 {
				vms[i].Lost = true
				break
			}
		}
		b.Run(fmt.Sprintf("lost/vms=%d", s.vms), func(b *testing.B) {
			var a Assignment
			for b.Loop() {
				a = Assign(orgs, vms, first)
			}
			b.ReportMetric(float64(len(a.Unmet)), "unmet")
		})
	}
}
