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
func newCluster(vms int, now time.Time) *Scheduler {
	b := New(Timing{LeaseDuration: 5 * time.Second, KeepStatus: time.Minute, MaxStopTime: time.Second, MaxReclaimTime: 3 * time.Second, FarFactor: 3})
	b.Configure(access.Config{
		Queues: []access.Queue{{Name: "urgent", MaxAttempts: 3, LatencyFactor: 1.5}, {Name: "normal", Priority: 1, MaxAttempts: 3, LatencyFactor: 3}},
		Orgs:   []access.Org{{Name: "a", Guaranteed: steps.Resources{GPUs: 8}}},
	})
	for i := range vms {
		name := fmt.Sprintf("vm%d", i)
		b.AgentAttached(name, i+1)
		b.HandleReport(Report{
			Agent: name, Session: i + 1, WorkerPresent: true, Worker: name, Rack: fmt.Sprintf("r%d", i/2),
			Capacity: steps.Resources{CPU: 32000, MemMB: 64000, GPUs: 8},
		}, now)
		b.LeaseGranted(name, now)
	}
	return b
}

func (b *Scheduler) placedAt(job string) map[string]int {
	at := map[string]int{}
	for _, vm := range b.VMs {
		for id := range vm.ActiveTasks {
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
func TestWideJobLeavesCapacity(t *testing.T) {
	c := qt.New(t)
	now := time.Unix(1000, 0)
	b := newCluster(4, now)
	b.AddJob(jobOf("wide", "urgent", now, steps.Step{Count: 20, Needs: steps.Resources{GPUs: 8}}), now)
	b.Plan(now)
	held := 0
	for _, n := range b.placedAt("wide") {
		held += n
	}
	c.Assert(held, qt.Equals, 2)
}

// Guards against tasks that are slower on several racks being spread over them
// one by one.
func TestSameRackTasksShareRack(t *testing.T) {
	c := qt.New(t)
	now := time.Unix(1000, 0)
	b := newCluster(6, now)
	b.AddJob(jobOf("near", "normal", now, steps.Step{Count: 5, Needs: steps.Resources{GPUs: 4}, SameRack: true}), now)
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
		b.AddJob(jobOf(fmt.Sprintf("n%d", i), "normal", now, steps.Step{Count: 1, Needs: steps.Resources{GPUs: 8}}), now)
	}
	b.Plan(now)
	open := 0
	for _, vm := range b.VMs {
		open += len(vm.ActiveTasks)
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
	b.AddJob(jobOf("gang", "urgent", now, steps.Step{Count: 4, Needs: steps.Resources{GPUs: 2}, Gang: true}), now)
	b.Plan(now)
	r := Report{Agent: "vm0", Session: 1, WorkerPresent: true, Worker: "vm0", Rack: "r0", Capacity: steps.Resources{CPU: 32000, MemMB: 64000, GPUs: 8}}
	for i := range 4 {
		r.Ended = append(r.Ended, worker.Ended{EndNumber: int64(i + 1), Run: worker.Run{Task: fmt.Sprintf("gang.0.0.%d", i), Number: 1}, Reason: worker.EndFailed})
	}
	b.HandleReport(r, now)
	c.Check(b.Jobs["gang"].Phase, qt.Equals, stepfold.PhaseRunning)
	for _, task := range b.Jobs["gang"].Occurrences[0][0].Tasks {
		c.Check(task.Failures, qt.Equals, 1)
	}
}

// Guards against a start on a VM whose agent has not reported in the session
// that was opened with it; it may be paused (soak seed 537077370).
func TestNoStartBeforeReport(t *testing.T) {
	c := qt.New(t)
	now := time.Unix(1000, 0)
	b := newCluster(1, now)
	b.AgentDetached("vm0", 1)
	b.AgentAttached("vm0", 2)
	b.AddJob(jobOf("job", "urgent", now, steps.Step{Count: 1, Needs: steps.Resources{GPUs: 1}}), now)
	b.Plan(now)
	c.Check(b.placedAt("job"), qt.HasLen, 0)
	b.HandleReport(Report{Agent: "vm0", Session: 2, WorkerPresent: true, Worker: "vm0", Rack: "r0", Capacity: steps.Resources{CPU: 32000, MemMB: 64000, GPUs: 8}}, now)
	b.Plan(now)
	c.Check(b.placedAt("job"), qt.HasLen, 1)
}
