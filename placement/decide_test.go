package placement

import (
	"fmt"
	"testing"
	"time"

	"celerypoint.example/celerypoint/guarantee"
	"celerypoint.example/celerypoint/job"
	"celerypoint.example/celerypoint/shape"
	"celerypoint.example/celerypoint/vm"
	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"
)

// holding returns a running task of the organisation. The ID of its attempt is
// the organisation's name.
func holding(org string, accelerators int, preemptible bool) vm.Holding {
	return vm.Holding{Attempt: org, Org: org, Tasks: 1, Accelerators: accelerators, Preemptible: preemptible, Running: true}
}

// TestDecide guards against a job that is placed on the wrong VMs, and against
// an unplaced job that names the wrong rule. Each VM has 4 accelerators, and a
// rack has 3 VMs.
func TestDecide(t *testing.T) {
	both := []Policy{PolicyBaseline, PolicyAdjacent}
	adjacentOnly := []Policy{PolicyAdjacent}
	nonPreemptible := func(w WaitingJob) WaitingJob { w.Job.Preemptible = false; return w }
	adjacent := func(a shape.Adjacency, w WaitingJob) WaitingJob { w.Job.Adjacency = a; return w }
	changed := func(w WaitingJob, change func(w *WaitingJob)) WaitingJob { change(&w); return w }
	waitedMinutes := func(minutes int, w WaitingJob) WaitingJob {
		w.WaitingSince = now.Add(-time.Duration(minutes) * time.Minute)
		return w
	}
	tests := []struct {
		name     string
		policies []Policy
		vms      int
		holdings map[int][]vm.Holding
		lost     map[int]bool
		shares   map[string]map[string]int
		waiting  []WaitingJob
		// want has a line for each placement, then one for each unplaced job;
		// see summary.
		want []string
	}{
		{name: "the tightest VM is chosen to keep a large free block", policies: adjacentOnly, vms: 2,
			holdings: map[int][]vm.Holding{1: {holding("b", 2, true)}},
			waiting:  []WaitingJob{waiting("j", "a", 2, 1)}, want: []string{"j vm00001:2"}},
		{name: "the first VM that fits is chosen", policies: []Policy{PolicyBaseline}, vms: 2,
			holdings: map[int][]vm.Holding{1: {holding("b", 2, true)}},
			waiting:  []WaitingJob{waiting("j", "a", 2, 1)}, want: []string{"j vm00000:2"}},
		{name: "a gang stays in the tightest rack that holds it", policies: adjacentOnly, vms: 9,
			holdings: map[int][]vm.Holding{0: {holding("b", 4, true)}, 6: {holding("b", 1, true)}},
			waiting:  []WaitingJob{adjacent("rack", waiting("j", "a", 8, 1))}, want: []string{"j vm00001:4 vm00002:4"}},
		{name: "a gang larger than a rack", policies: both, vms: 9,
			waiting: []WaitingJob{adjacent("rack", waiting("j", "a", 13, 1))}, want: []string{"j exceedsMatchingCapacity never"}},
		{name: "the free accelerators are spread over several racks", policies: both, vms: 4,
			holdings: map[int][]vm.Holding{0: {holding("b", 4, true)}, 1: {holding("b", 4, true)}},
			waiting:  []WaitingJob{adjacent("rack", waiting("j", "a", 8, 1))}, want: []string{"j tooFragmented"}},
		{name: "the selector matches no VM", policies: both, vms: 1,
			waiting: []WaitingJob{changed(waiting("j", "a", 1, 1), func(w *WaitingJob) { w.Job.Selector = "zone=none" })}, want: []string{"j selectorMatchesNothing never"}},
		{name: "no VM is known", policies: both, waiting: []WaitingJob{waiting("j", "a", 1, 1)}, want: []string{"j noVMReachable"}},
		{name: "the job failed on the only VM", policies: both, vms: 1,
			waiting: []WaitingJob{changed(waiting("j", "a", 1, 1), func(w *WaitingJob) { w.AvoidVMs = map[string]bool{"vm00000": true} })},
			want:    []string{"j matchingVMsUnavailable"}},
		{name: "the deadline has passed", policies: both, vms: 1,
			waiting: []WaitingJob{changed(waiting("j", "a", 1, 1), func(w *WaitingJob) { w.Job.Deadline = now })}, want: []string{"j deadlinePassed"}},
		{name: "a task without accelerators avoids VMs with free accelerators", policies: adjacentOnly, vms: 2,
			holdings: map[int][]vm.Holding{1: {holding("b", 4, true)}},
			waiting:  []WaitingJob{waiting("j", "a", 1, 0)}, want: []string{"j vm00001:1"}},
		{name: "the first job that does not fit blocks the queue", policies: []Policy{PolicyBaseline}, vms: 1,
			holdings: map[int][]vm.Holding{0: {holding("b", 1, true)}},
			waiting:  []WaitingJob{waitedMinutes(2, waiting("j", "a", 1, 4)), waiting("k", "a", 1, 1)}, want: []string{"j noFreeCapacity", "k behindQueueHead"}},
		{name: "only preemptible work borrows", policies: adjacentOnly, vms: 1,
			shares:  map[string]map[string]int{"b": {"vm00000": 4}},
			waiting: []WaitingJob{nonPreemptible(waiting("j", "a", 1, 1)), waiting("k", "a", 1, 1)}, want: []string{"k vm00000:1", "j ownShareOnly"}},
		{name: "the baseline does not borrow", policies: []Policy{PolicyBaseline}, vms: 1,
			shares:  map[string]map[string]int{"b": {"vm00000": 4}},
			waiting: []WaitingJob{waiting("k", "a", 1, 1)}, want: []string{"k ownShareOnly"}},
		{name: "an organisation reclaims its share", policies: adjacentOnly, vms: 1,
			holdings: map[int][]vm.Holding{0: {holding("b", 4, true)}}, shares: map[string]map[string]int{"a": {"vm00000": 2}},
			waiting: []WaitingJob{nonPreemptible(waiting("j", "a", 2, 1)), waiting("k", "a", 1, 1)}, want: []string{"j vm00000:2 reclaim", "k noFreeCapacity"}},
		{name: "work on a lost VM does not count against the guarantee", policies: adjacentOnly, vms: 2, lost: map[int]bool{0: true},
			holdings: map[int][]vm.Holding{0: {holding("a", 4, false)}, 1: {holding("b", 4, true)}},
			shares:   map[string]map[string]int{"a": {"vm00001": 4}},
			waiting:  []WaitingJob{nonPreemptible(waiting("j", "a", 4, 1))}, want: []string{"j vm00001:4 reclaim"}},
		{name: "an organisation reclaims slots for its share", policies: adjacentOnly, vms: 1,
			holdings: map[int][]vm.Holding{0: {{Attempt: "b", Org: "b", Tasks: 16, Preemptible: true}}}, shares: map[string]map[string]int{"a": {"vm00000": 2}},
			waiting: []WaitingJob{waiting("j", "a", 2, 1), waiting("k", "b", 1, 1)}, want: []string{"j vm00000:2 reclaim", "k noFreeCapacity"}},
		{name: "non-preemptible work is not reclaimed", policies: adjacentOnly, vms: 1,
			holdings: map[int][]vm.Holding{0: {holding("b", 4, false)}}, shares: map[string]map[string]int{"a": {"vm00000": 2}},
			waiting: []WaitingJob{waiting("j", "a", 2, 1)}, want: []string{"j noFreeCapacity"}},
		{name: "urgent first, then below the guarantee, then by arrival", policies: adjacentOnly, vms: 1,
			holdings: map[int][]vm.Holding{0: {holding("b", 1, true)}}, shares: map[string]map[string]int{"c": {"vm00000": 1}},
			waiting: []WaitingJob{waitedMinutes(3, waiting("j", "a", 1, 1)), waitedMinutes(2, waiting("k", "a", 1, 1)), waiting("l", "c", 1, 1),
				changed(waiting("m", "a", 1, 1), func(w *WaitingJob) { w.Job.Urgency = job.UrgencyUrgent })},
			want: []string{"m vm00000:1", "l vm00000:1", "j vm00000:1", "k noFreeCapacity"}},
		{name: "only jobs that end before the gang can start are backfilled", policies: adjacentOnly, vms: 1,
			holdings: map[int][]vm.Holding{0: {holding("b", 2, true)}},
			waiting: []WaitingJob{waitedMinutes(3, waiting("j", "a", 4, 1)), waitedMinutes(2, waiting("k", "a", 1, 1)),
				changed(waiting("l", "a", 1, 1), func(w *WaitingJob) { w.ExpectedRun = 20 * time.Minute })},
			want: []string{"l vm00000:1", "j noFreeCapacity", "k reservedForGang"}},
		{name: "a gang that waited longer than maxGangBypass goes before other urgencies", policies: adjacentOnly, vms: 1,
			waiting: []WaitingJob{changed(waitedMinutes(11, waiting("j", "a", 4, 1)), func(w *WaitingJob) { w.Job.Urgency = job.UrgencyBatch }),
				waitedMinutes(2, waiting("k", "a", 1, 1))},
			want: []string{"j vm00000:4", "k noFreeCapacity"}},
	}
	for _, tt := range tests {
		for _, policy := range tt.policies {
			t.Run(tt.name+"/"+string(policy), func(t *testing.T) {
				in := Input{Now: now, Policy: policy, VMs: fleet(tt.vms, func(int) int { return 4 }), Waiting: tt.waiting,
					Assignment: guarantee.Assignment{Shares: tt.shares}, ExpectedEnds: map[string]time.Time{"b": now.Add(30 * time.Minute)}}
				for i := range in.VMs {
					in.VMs[i].Holdings, in.VMs[i].Lost = tt.holdings[i], tt.lost[i]
				}
				qt.Assert(t, summary(Decide(in)), qt.DeepEquals, tt.want)
			})
		}
	}
}

// summary describes each placement and each unplaced job of a plan in one line.
// The word "never" marks an unplaced job that is Unsatisfiable.
func summary(p Plan) []string {
	var all []string
	for _, pl := range p.Placements {
		line := pl.JobID
		for _, m := range pl.Members {
			line += fmt.Sprintf(" %s:%d", m.VM, m.Tasks)
			if m.Reclaim {
				line += " reclaim"
			}
		}
		all = append(all, line)
	}
	for _, w := range p.Unplaced {
		line := w.JobID + " " + w.Rule
		if w.Unsatisfiable {
			line += " never"
		}
		all = append(all, line)
	}
	return all
}

// TestQuarantineProbe guards against an urgent job, a gang or more than one task
// being placed on a VM whose quarantine period has ended and that needs a probe.
func TestQuarantineProbe(t *testing.T) {
	in := Input{Now: now, Policy: PolicyAdjacent, VMs: fleet(1, func(int) int { return 4 })}
	in.VMs[0].QuarantinedUntil = now
	urgent := waiting("a", "a", 1, 1)
	urgent.Job.Urgency = job.UrgencyUrgent
	in.Waiting = []WaitingJob{urgent, waiting("b", "a", 2, 1), waiting("c", "a", 1, 1), waiting("d", "a", 1, 1)}
	plan := Decide(in)
	qt.Assert(t, plan.Placements, qt.HasLen, 1)
	qt.Assert(t, plan.Placements[0].JobID, qt.Equals, "c")
}

// TestBackfillKeepsReservation guards against backfilled jobs that make the
// reserved gang start later than its expected start, reservedStart.
func TestBackfillKeepsReservation(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		in := drawInput(t)
		p := newPass(in)
		var requests []*request
		for i := range in.Waiting {
			requests = append(requests, p.request(&in.Waiting[i]))
		}
		p.adjacent(requests)
		if p.reservedStart.IsZero() {
			return
		}
		if p.stateAfter(p.allocations(), p.reservedStart.UnixNano()).fit(p.reservedGang) == nil {
			t.Fatalf("the gang %+v does not fit at %v: %+v", p.reservedGang.Job, p.reservedStart, p.plan)
		}
	})
}
