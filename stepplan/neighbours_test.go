package stepplan

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"celerypoint.example/celerypoint/access"
	"celerypoint.example/celerypoint/interference"
	"celerypoint.example/celerypoint/steps"
	"celerypoint.example/celerypoint/worker"
)

// neighbourFleet plays runs on VMs of one pace, where tasks of the image "scan" take twice as
// long beside one of the image "copy".
type neighbourFleet struct {
	scheduler *Scheduler
	now       time.Time
	version   int
	jobs      int
	// progress holds the progress of each active run in percent.
	progress map[steps.TaskID]float64
	ended    map[string][]worker.Ended
	lastEnd  int64
}

const neighbourVMs = 6

func newNeighbourFleet(p Policy) *neighbourFleet {
	f := &neighbourFleet{
		scheduler: New(Timing{LeaseDuration: 5 * time.Second, KeepStatus: time.Minute, MaxStopTime: time.Second, MaxReclaimTime: 3 * time.Second, FarFactor: 3}, WithPolicy(p)),
		now:       bootTime, progress: map[steps.TaskID]float64{}, ended: map[string][]worker.Ended{},
	}
	f.scheduler.Configure(access.Config{Version: 1, Queues: []access.Queue{{Name: "q", Priority: 1, MaxAttempts: 3, LatencyFactor: 3}}, Orgs: []access.Org{{Name: "o"}}})
	for i := range neighbourVMs {
		f.scheduler.AgentAttached(fmt.Sprintf("vm%d", i), 1)
	}
	f.report()
	return f
}

// submit adds a job of the image whose tasks need the given accelerators each.
func (f *neighbourFleet) submit(image string, count, gpus int) string {
	f.jobs++
	id := fmt.Sprintf("%016x", f.jobs)
	f.scheduler.AddJob(steps.Job{ID: id, Queue: "q", Org: "o", AcceptedAt: f.now, Steps: []steps.Step{
		{Count: count, Needs: steps.Resources{GPUs: gpus}, Image: image, Estimate: 6 * time.Second},
	}}, f.now)
	return id
}

func (f *neighbourFleet) image(t steps.TaskID) string {
	return f.scheduler.Jobs[t.Job].Spec.Steps[0].Image
}

// beside reports whether a task of the image is active on the VM.
func (f *neighbourFleet) beside(vm *VM, image string) bool {
	for id := range vm.ActiveTasks {
		if f.image(id) == image {
			return true
		}
	}
	return false
}

func (f *neighbourFleet) report() {
	f.version++
	for i := range neighbourVMs {
		name := fmt.Sprintf("vm%d", i)
		r := Report{Agent: name, Session: 1, Version: f.version, WorkerPresent: true, Worker: name, Rack: "r", Capacity: steps.Resources{CPU: 1000, GPUs: 8}, Ended: f.ended[name]}
		delete(f.ended, name)
		if vm := f.scheduler.VMs[name]; vm != nil {
			for id, t := range vm.ActiveTasks {
				if p, running := f.progress[id]; running {
					r.Running = append(r.Running, RunningTask{Running: worker.Running{Run: worker.Run{Task: id.String(), Number: t.Run}, Progress: int(p)}})
				}
			}
		}
		f.scheduler.HandleReport(r, f.now)
		f.scheduler.LeaseGranted(name, f.now)
	}
}

// play advances the time in steps of 0.1 s, with a report of each VM every 0.4 s.
func (f *neighbourFleet) play(length time.Duration) {
	const tick = 100 * time.Millisecond
	for end := f.now.Add(length); f.now.Before(end); f.now = f.now.Add(tick) {
		f.scheduler.Plan(f.now)
		for _, o := range f.scheduler.TakeOutput(f.now).Orders {
			if start, ok := o.(StartOrder); ok {
				f.progress[start.Task] = 0
				f.scheduler.StartAnswered(start, f.version, true)
			}
		}
		for id := range f.progress {
			vm := f.scheduler.VMs[f.scheduler.Jobs[id.Job].Occurrences[0][0].Tasks[id.Index].Agent]
			rate := 100 / 6.0 * tick.Seconds()
			if f.image(id) == "scan" && f.beside(vm, "copy") {
				rate /= 2
			}
			if f.progress[id] += rate; f.progress[id] >= 100 {
				f.lastEnd++
				f.ended[vm.Agent] = append(f.ended[vm.Agent], worker.Ended{EndNumber: f.lastEnd, Run: worker.Run{Task: id.String(), Number: 1}, Reason: worker.EndDone})
				delete(f.progress, id)
			}
		}
		if f.now.Sub(bootTime)%(400*time.Millisecond) == 0 {
			f.report()
		}
	}
}

// mixed counts the VMs with tasks of both images.
func (f *neighbourFleet) mixed() int {
	n := 0
	for _, vm := range f.scheduler.VMs {
		if f.beside(vm, "scan") && f.beside(vm, "copy") {
			n++
		}
	}
	return n
}

// learn plays jobs of both images on a fleet that is nearly full, where some tasks share a VM
// and others do not.
func (f *neighbourFleet) learn() {
	for i := range 40 {
		f.submit("scan", 5, 2)
		if i%3 != 0 {
			f.submit("copy", 3, 2)
		}
		f.play(4 * time.Second)
	}
	f.play(30 * time.Second)
}

// TestDisturbingTasksAreKeptApart guards against starting tasks beside others that they are
// known to slow down, although there is room on other VMs. Without the policy they share VMs.
func TestDisturbingTasksAreKeptApart(t *testing.T) {
	c := qt.New(t)
	for _, policy := range []Policy{{}, {Neighbours: true}} {
		f := newNeighbourFleet(policy)
		f.learn()
		f.submit("copy", 3, 1)
		f.play(400 * time.Millisecond)
		f.submit("scan", 4, 1)
		f.play(400 * time.Millisecond)
		c.Assert(f.progress, qt.HasLen, 7)
		if policy.Neighbours {
			c.Check(f.mixed(), qt.Equals, 0, qt.Commentf("known pairs: %d", f.scheduler.interference.Known()))
		} else {
			c.Check(f.mixed(), qt.Not(qt.Equals), 0)
		}
	}
}

// TestOverriddenKinds guards against an operator's decision about two kinds that has no effect,
// and against one that makes tasks wait although there is room.
func TestOverriddenKinds(t *testing.T) {
	c := qt.New(t)
	override := func(d interference.Decision) Policy {
		return Policy{Neighbours: true, NeighbourOverrides: []interference.Override{interference.NewOverride("image scan", "image copy", d)}}
	}
	start := func(f *neighbourFleet, copies, gpus int) {
		for range copies {
			f.submit("copy", 3, gpus)
		}
		f.play(400 * time.Millisecond)
		f.submit("scan", 4, 1)
		f.play(400 * time.Millisecond)
		c.Assert(f.progress, qt.HasLen, 3*copies+4)
	}

	f := newNeighbourFleet(override(interference.KeepApart))
	start(f, 1, 1)
	c.Check(f.mixed(), qt.Equals, 0)
	f = newNeighbourFleet(override(interference.KeepApart))
	start(f, 2, 5)
	c.Check(f.mixed() > 0, qt.IsTrue)

	f = newNeighbourFleet(Policy{Neighbours: true})
	f.learn()
	c.Assert(f.scheduler.interference.Known() > 0, qt.IsTrue)
	f.scheduler.TakeOutput(f.now)
	f.scheduler.SetPolicy(override(interference.AllowTogether))
	events := f.scheduler.TakeOutput(f.now).Events
	c.Assert(events, qt.HasLen, 1)
	c.Check(events[0].Kind, qt.Equals, "interferenceOverridden")
	start(f, 1, 1)
	c.Check(f.mixed() > 0, qt.IsTrue)
	found, overrides, _ := f.scheduler.Neighbours()
	c.Check(found[0].Override, qt.Equals, interference.AllowTogether)
	c.Check(overrides, qt.HasLen, 1)
}

// TestDisturbingTasksDoNotWait guards against keeping work from running to keep it apart: when
// only VMs with disturbing tasks have room, tasks start there at once.
func TestDisturbingTasksDoNotWait(t *testing.T) {
	c := qt.New(t)
	f := newNeighbourFleet(Policy{Neighbours: true})
	f.learn()
	c.Assert(f.scheduler.interference.Known() > 0, qt.IsTrue)
	for range 2 {
		// One job may not hold more than half of the accelerators.
		f.submit("copy", neighbourVMs/2, 5)
	}
	f.play(400 * time.Millisecond)
	f.submit("scan", neighbourVMs, 1)
	f.play(400 * time.Millisecond)
	c.Check(f.progress, qt.HasLen, 2*neighbourVMs)
}

// TestLatencyShowsDisturbance guards against overlooking tasks that slow down a task that serves
// requests: it makes no progress, and only its tail latency shows it.
func TestLatencyShowsDisturbance(t *testing.T) {
	c := qt.New(t)
	f := newNeighbourFleet(Policy{Neighbours: true})
	for n := range 8 {
		if n == 4 {
			// The fullest VM is chosen, so that only this one would show the disturbance.
			f.scheduler.VMs["vm0"].UnhealthyUntil = f.now.Add(time.Hour)
		}
		f.jobs++
		f.scheduler.AddJob(steps.Job{ID: fmt.Sprintf("%016x", f.jobs), Queue: "q", Org: "o", AcceptedAt: f.now, Steps: []steps.Step{
			{Count: 3, Needs: steps.Resources{GPUs: 1}, Image: "serve", LongRunning: true, TailLatencyMs: 100, MaxPerVM: 1},
		}}, f.now)
		f.submit("fill", 4, 2)
		f.scheduler.Plan(f.now)
		f.scheduler.TakeOutput(f.now)
		for i := range 12 {
			f.now = f.now.Add(400 * time.Millisecond)
			f.version++
			for _, vm := range f.scheduler.VMs {
				r := Report{Agent: vm.Agent, Session: 1, Version: f.version, WorkerPresent: true, Worker: vm.Agent, Rack: "r", Capacity: steps.Resources{CPU: 1000, GPUs: 8}}
				for id, task := range vm.ActiveTasks {
					running := worker.Running{Run: worker.Run{Task: id.String(), Number: task.Run}, Progress: min(90, 10*i)}
					if f.image(id) == "serve" {
						running.Progress, running.Usage = 100, 60+i
						if f.beside(vm, "fill") {
							running.Usage *= 2
						}
					}
					r.Running = append(r.Running, RunningTask{Running: running})
				}
				f.scheduler.HandleReport(r, f.now)
				f.scheduler.LeaseGranted(vm.Agent, f.now)
			}
		}
		for id, j := range f.scheduler.Jobs {
			if j.Spec.Steps[0].Image == "fill" || n%2 == 1 {
				f.scheduler.Cancel(id, f.now)
			}
		}
		f.scheduler.TakeStops()
		for _, vm := range f.scheduler.VMs {
			for _, task := range f.scheduler.activeTasksOn(vm) {
				if f.scheduler.Jobs[task.ID.Job].Phase.Over() {
					f.scheduler.endRun(task, f.now)
				}
			}
		}
	}
	c.Check(f.scheduler.interference.Slowdown("image serve", "image fill") > 1.3, qt.IsTrue, qt.Commentf("%.2f", f.scheduler.interference.Slowdown("image serve", "image fill")))
}
