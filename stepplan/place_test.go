package stepplan

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"celerypoint.example/celerypoint/access"
	"celerypoint.example/celerypoint/stepfold"
	"celerypoint.example/celerypoint/steps"
	"celerypoint.example/celerypoint/worker"
)

// newCluster makes a board with idle VMs of 8 accelerators, two to a rack.
func newCluster(vms int, now time.Time) *Board {
	b := New(Timing{Grant: 5 * time.Second, KeepStatus: time.Minute, StopTime: time.Second, Reclaim: 3 * time.Second, FarFactor: 3})
	b.Configure(access.Table{
		Queues: []access.Queue{{Name: "urgent", MaxAttempts: 3, Stretch: 1.5}, {Name: "normal", Priority: 1, MaxAttempts: 3, Stretch: 3}},
		Orgs:   []access.Org{{Name: "a", Guaranteed: steps.Resources{GPUs: 8}}},
	})
	for i := range vms {
		name := fmt.Sprintf("vm%d", i)
		b.Attached(name, i+1)
		b.Report(Report{
			Agent: name, Session: i + 1, Present: true, Worker: name, Rack: fmt.Sprintf("r%d", i/2),
			Capacity: steps.Resources{CPU: 32000, MemMB: 64000, GPUs: 8},
		}, now)
		b.Granted(name, now)
	}
	return b
}

func (b *Board) placedAt(job string) map[string]int {
	at := map[string]int{}
	for _, vm := range b.VMs {
		for id := range vm.Open {
			if id.Job == job {
				at[vm.Rack]++
			}
		}
	}
	return at
}

func jobOf(id, queue string, now time.Time, step steps.Step) steps.Job {
	step.Estimate = 2 * time.Second
	return steps.Job{ID: id, Queue: queue, Org: "a", AcceptedAt: now, Steps: []steps.Step{step}}
}

// Guards against one wide urgent job that is not owed and holds all VMs, so that
// others starve (vordulit, fresh-4dca).
func TestWideJobLeavesRoom(t *testing.T) {
	c := qt.New(t)
	now := time.Unix(1000, 0)
	b := newCluster(4, now)
	b.Accept(jobOf("wide", "urgent", now, steps.Step{Count: 20, Needs: steps.Resources{GPUs: 8}}), now)
	b.Plan(now)
	held := 0
	for _, n := range b.placedAt("wide") {
		held += n
	}
	c.Assert(held, qt.Equals, 2)
}

// Guards against tasks that are slower on several racks being spread over them
// one by one.
func TestHomeRack(t *testing.T) {
	c := qt.New(t)
	now := time.Unix(1000, 0)
	b := newCluster(6, now)
	b.Accept(jobOf("near", "normal", now, steps.Step{Count: 5, Needs: steps.Resources{GPUs: 4}, SameRack: true}), now)
	b.Plan(now)
	c.Assert(b.placedAt("near"), qt.HasLen, 1)
}

// Guards against less urgent work taking what urgent gangs need at once, while
// it has time itself.
func TestHeadroom(t *testing.T) {
	c := qt.New(t)
	now := time.Unix(1000, 0)
	b := newCluster(4, now)
	for i := range 4 {
		b.Accept(jobOf(fmt.Sprintf("n%d", i), "normal", now, steps.Step{Count: 1, Needs: steps.Resources{GPUs: 8}}), now)
	}
	b.Plan(now)
	open := 0
	for _, vm := range b.VMs {
		open += len(vm.Open)
	}
	c.Assert(open, qt.Equals, 3)
}

// Guards against a gang whose members all fail in one run being counted as
// failed once for each of them (soak seed 512476121: a worker that fails all
// that it starts).
func TestGangFailsOnce(t *testing.T) {
	c := qt.New(t)
	now := time.Unix(1000, 0)
	b := newCluster(1, now)
	b.Accept(jobOf("gang", "urgent", now, steps.Step{Count: 4, Needs: steps.Resources{GPUs: 2}, Gang: true}), now)
	b.Plan(now)
	r := Report{Agent: "vm0", Session: 1, Present: true, Worker: "vm0", Rack: "r0", Capacity: steps.Resources{CPU: 32000, MemMB: 64000, GPUs: 8}}
	for i := range 4 {
		r.Ended = append(r.Ended, worker.Ended{EndNumber: int64(i + 1), Run: worker.Run{Task: fmt.Sprintf("gang.0.0.%d", i), Number: 1}, Reason: worker.EndFailed})
	}
	b.Report(r, now)
	c.Check(b.Jobs["gang"].Phase, qt.Equals, stepfold.PhaseRunning)
	for _, task := range b.Jobs["gang"].Occurrences[0][0].Tasks {
		c.Check(task.Failures, qt.Equals, 1)
	}
}

// Guards against a start on a VM whose agent has not reported in the session
// that was opened with it; it may be paused (soak seed 537077370).
func TestSessionWithoutReport(t *testing.T) {
	c := qt.New(t)
	now := time.Unix(1000, 0)
	b := newCluster(1, now)
	b.Detached("vm0", 1)
	b.Attached("vm0", 2)
	b.Accept(jobOf("job", "urgent", now, steps.Step{Count: 1, Needs: steps.Resources{GPUs: 1}}), now)
	b.Plan(now)
	c.Check(b.placedAt("job"), qt.HasLen, 0)
	b.Report(Report{Agent: "vm0", Session: 2, Present: true, Worker: "vm0", Rack: "r0", Capacity: steps.Resources{CPU: 32000, MemMB: 64000, GPUs: 8}}, now)
	b.Plan(now)
	c.Check(b.placedAt("job"), qt.HasLen, 1)
}
