package placement

import (
	"fmt"
	"reflect"
	"testing"
	"time"

	"celerypoint.example/celerypoint/guarantee"
	"celerypoint.example/celerypoint/org"
	"celerypoint.example/celerypoint/shape"
	"celerypoint.example/celerypoint/vm"
	"celerypoint.example/celerypoint/vmindex"
	"pgregory.net/rapid"
)

var adjacencies = []shape.Adjacency{"", shape.AdjacencyVM, shape.AdjacencyRack, shape.AdjacencyZone, shape.AdjacencyRegion}

// drawInput draws a small fleet and waiting jobs. The running work does not
// overcommit a VM, and its non-preemptible part does not use the shares of other
// organisations.
func drawInput(t *rapid.T) Input {
	in := Input{Now: now, Policy: rapid.SampledFrom([]Policy{PolicyBaseline, PolicyAdjacent}).Draw(t, "policy"), ExpectedEnds: map[string]time.Time{}}
	names := []string{"a", "b", "c"}
	in.VMs = fleet(rapid.IntRange(0, 9).Draw(t, "vms"), func(int) int { return rapid.IntRange(0, 4).Draw(t, "accelerators") })
	var orgs []org.Org
	for _, n := range names {
		orgs = append(orgs, org.Org{Name: n, Guarantee: shape.Shape{
			VMs: rapid.IntRange(1, 3).Draw(t, "shape"), AcceleratorsPerVM: rapid.IntRange(1, 3).Draw(t, "each"),
			Adjacency: rapid.SampledFrom(adjacencies).Draw(t, "near"),
		}})
	}
	in.Assignment = guarantee.Assign(orgs, in.VMs, guarantee.Assignment{})
	for i := range in.VMs {
		v := &in.VMs[i]
		v.Slots = rapid.IntRange(1, 5).Draw(t, "slots")
		v.Draining = rapid.IntRange(0, 9).Draw(t, "draining") == 0
		for k := range rapid.IntRange(0, 3).Draw(t, "holdings") {
			h := vm.Holding{
				Attempt: fmt.Sprintf("a%d.%d", i, k), Org: rapid.SampledFrom(names).Draw(t, "holder"), Tasks: 1,
				Accelerators: rapid.IntRange(0, 2).Draw(t, "held"), Preemptible: rapid.Bool().Draw(t, "preemptible"),
				Running: true,
			}
			v.Holdings = append(v.Holdings, h)
			if v.FreeAccelerators() < 0 || v.FreeSlots() < 0 || beyondShares(in, *v, nonPreemptible) > 0 {
				v.Holdings = v.Holdings[:len(v.Holdings)-1]
			} else if rapid.Bool().Draw(t, "known") {
				in.ExpectedEnds[h.Attempt] = now.Add(time.Duration(rapid.IntRange(-5, 30).Draw(t, "end")) * time.Minute)
			}
		}
	}
	for i := range rapid.IntRange(0, 12).Draw(t, "waiting") {
		w := waiting(fmt.Sprintf("j%d", i), rapid.SampledFrom(names).Draw(t, "org"), rapid.IntRange(1, 6).Draw(t, "tasks"), rapid.IntRange(0, 2).Draw(t, "size"))
		w.Job.Adjacency = rapid.SampledFrom(adjacencies).Draw(t, "adjacency")
		w.Job.Preemptible = rapid.Bool().Draw(t, "stoppable")
		w.Job.Selector = rapid.SampledFrom([]string{"", "parity=0", "parity!=0", "none"}).Draw(t, "selector")
		w.WaitingSince = now.Add(-time.Duration(rapid.IntRange(0, 20).Draw(t, "since")) * time.Minute)
		w.ExpectedRun = time.Duration(rapid.IntRange(0, 20).Draw(t, "run")) * time.Minute
		if rapid.IntRange(0, 3).Draw(t, "avoid") == 0 {
			w.AvoidVMs = map[string]bool{"vm00000": true}
		}
		in.Waiting = append(in.Waiting, w)
	}
	return in
}

// beyondShares sums, over the organisations, the accelerators beyond the share that
// the holdings selected by include use, and subtracts the VM's unassigned
// accelerators. A positive result means that they use guaranteed accelerators of
// other organisations.
func beyondShares(in Input, v vm.View, include func(h vm.Holding) bool) int {
	used := map[string]int{}
	for _, h := range v.Holdings {
		if include(h) {
			used[h.Org] += h.Accelerators
		}
	}
	shares := in.Assignment.SharesOnVM(v.ID)
	n := -v.Accelerators
	for _, share := range shares {
		n += share
	}
	for o, use := range used {
		n += max(0, use-shares[o])
	}
	return n
}

func nonPreemptible(h vm.Holding) bool { return !h.Preemptible }

func anyHolding(vm.Holding) bool { return true }

// TestPlanKeepsRules guards against overcommitted VMs, non-preemptible work on
// the shares of other organisations, reclaims beyond an organisation's own share,
// gangs that are placed in part or violate their adjacency, and jobs that a plan
// omits or lists twice.
func TestPlanKeepsRules(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		in := drawInput(t)
		plan := Decide(in)
		if again := Decide(in); !reflect.DeepEqual(plan, again) {
			t.Fatalf("two different plans for one input: %v and %v", plan, again)
		}
		jobs := map[string]WaitingJob{}
		for _, w := range in.Waiting {
			jobs[w.Job.ID] = w
		}
		vms := map[string]*vm.View{}
		for i := range in.VMs {
			v := in.VMs[i]
			v.Holdings = append([]vm.Holding{}, v.Holdings...)
			vms[v.ID] = &v
		}
		for _, w := range plan.Unplaced {
			if _, ok := jobs[w.JobID]; !ok || w.Rule == "" || w.Reason == "" {
				t.Fatalf("unplaced job %+v is listed twice, unknown or incomplete", w)
			}
			delete(jobs, w.JobID)
		}
		for _, p := range plan.Placements {
			w, ok := jobs[p.JobID]
			if !ok {
				t.Fatalf("job %s is placed, but unknown or already listed", p.JobID)
			}
			delete(jobs, p.JobID)
			checkMembers(t, in, w, p, vms)
		}
		if len(jobs) > 0 {
			t.Fatalf("jobs that are neither placed nor unplaced: %v", jobs)
		}
	})
}

func checkMembers(t *rapid.T, in Input, w WaitingJob, p Placement, vms map[string]*vm.View) {
	x := vmindex.New(in.VMs)
	levels := vmindex.LevelsWithin(w.Job.Adjacency)
	domains := map[int]bool{}
	tasks := 0
	for _, m := range p.Members {
		v := vms[m.VM]
		at, _ := x.Find(m.VM)
		domains[x.Domains[levels[len(levels)-1]][at]] = true
		tasks += m.Tasks
		if m.Tasks < 1 || !v.Usable(now) || w.AvoidVMs[m.VM] || beyondShares(in, *v, nonPreemptible) > 0 {
			t.Fatalf("job %+v must not be placed on %+v", w, *v)
		}
		need := m.Tasks * w.Job.AcceleratorsPerTask
		if m.Reclaim {
			evictBorrowers(t, in, v, w.Job.Org, need, m.Tasks)
		}
		v.Holdings = append(v.Holdings, vm.Holding{Attempt: w.Job.ID, Org: w.Job.Org, Tasks: m.Tasks, Accelerators: need, Preemptible: w.Job.Preemptible})
		if v.FreeAccelerators() < 0 || v.FreeSlots() < 0 {
			t.Fatalf("job %+v overcommits %+v", w, *v)
		}
		if beyondShares(in, *v, nonPreemptible) > 0 {
			t.Fatalf("job %+v uses shares of other organisations on %+v", w, *v)
		}
		if m.Reclaim && usedBy(v, w.Job.Org) > in.Assignment.SharesOnVM(m.VM)[w.Job.Org] {
			t.Fatalf("job %+v reclaims beyond its organisation's share on %+v", w, *v)
		}
		if in.Policy == PolicyBaseline && need > 0 && usedBy(v, w.Job.Org) > in.Assignment.SharesOnVM(m.VM)[w.Job.Org] && beyondShares(in, *v, anyHolding) > 0 {
			t.Fatalf("job %+v borrows on %+v", w, *v)
		}
	}
	if len(domains) > 1 || tasks != w.Job.Tasks {
		t.Fatalf("job %+v is spread over several domains or not placed in whole: %+v", w, p)
	}
}

func usedBy(v *vm.View, org string) int {
	n := 0
	for _, h := range v.Holdings {
		if h.Org == org {
			n += h.Accelerators
		}
	}
	return n
}

// evictBorrowers does what the agent does on a reclaim: it removes whole
// preemptible holdings of other organisations until the VM has room. A holding
// with accelerators is removed only if its organisation uses more than its share,
// and one without only if slots are missing. Holdings that the plan has placed,
// for which Running is false, stay.
func evictBorrowers(t *rapid.T, in Input, v *vm.View, org string, accelerators, slots int) {
	shares := in.Assignment.SharesOnVM(v.ID)
	fits := func() bool { return v.FreeAccelerators() >= accelerators && v.FreeSlots() >= slots }
	for i := 0; i < len(v.Holdings) && !fits(); i++ {
		h := v.Holdings[i]
		evictable := usedBy(v, h.Org) > shares[h.Org]
		if h.Accelerators == 0 {
			evictable = v.FreeSlots() < slots
		}
		if h.Running && h.Preemptible && h.Org != org && evictable {
			v.Holdings = append(v.Holdings[:i:i], v.Holdings[i+1:]...)
			i--
		}
	}
	if !fits() {
		t.Fatalf("evicting borrowers does not free %d accelerators and %d slots on %+v", accelerators, slots, *v)
	}
}
