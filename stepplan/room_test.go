package stepplan

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"celerypoint.example/celerypoint/stepfold"
	"celerypoint.example/celerypoint/steps"
	"celerypoint.example/celerypoint/worker"
)

const (
	// roomLimit is the platform's bound on the time that a task waits while there is room for
	// two of it, and behindUrgentLimit the one on a long-running task.
	roomLimit         = 3 * time.Second
	behindUrgentLimit = 9 * time.Second
	roomTick          = 100 * time.Millisecond
)

// roomTest plays a history of failures, crashes, refusals, lost VMs and changes of planner.
type roomTest struct {
	*crashTest
	t      *rapid.T
	jobs   []steps.Job
	lost   map[string]bool
	stored map[string]stepfold.Progress
	// refusals counts the next starts that are refused.
	refusals int
}

func (rt *roomTest) addJob() {
	step := steps.Step{
		Count: rapid.IntRange(1, 4).Draw(rt.t, "count"), Needs: steps.Resources{GPUs: rapid.IntRange(1, 8).Draw(rt.t, "gpus")},
		MaxPerVM: rapid.IntRange(0, 1).Draw(rt.t, "maxPerVM"), LongRunning: rapid.Bool().Draw(rt.t, "longRunning"),
	}
	step.Gang = !step.LongRunning && rapid.Bool().Draw(rt.t, "gang")
	step.SameRack = rapid.Bool().Draw(rt.t, "sameRack")
	step.PreferredRack = rapid.SampledFrom([]string{"", "r0"}).Draw(rt.t, "preferredRack")
	j := newJob(fmt.Sprintf("%016x", len(rt.jobs)), rapid.SampledFrom([]string{"urgent", "normal"}).Draw(rt.t, "queue"), rt.now, step)
	j.Steps[0].Estimate = rapid.SampledFrom([]time.Duration{2 * time.Second, time.Minute}).Draw(rt.t, "estimate")
	rt.jobs = append(rt.jobs, j)
	rt.scheduler.AddJob(j, rt.now)
}

// step lets time pass. Runs are done at 100 %, except long-running ones.
func (rt *roomTest) step(after time.Duration) {
	for i := range len(rt.sessions) {
		vm := fmt.Sprintf("vm%d", i)
		for _, r := range slices.Clone(rt.running[vm]) {
			id, err := steps.ParseTaskID(r.Task)
			if err != nil {
				rt.t.Fatal(err)
			}
			if _, s, _ := rt.scheduler.findTask(id); s != nil && !s.Spec.LongRunning && r.Progress >= 100 {
				rt.endRun(vm, r.Task, worker.EndDone)
			}
		}
	}
	rt.report(after)
	rt.scheduler.Plan(rt.now)
	out := rt.scheduler.TakeOutput(wallTime)
	for _, p := range out.Progress {
		rt.stored[p.ID] = p.Progress
	}
	for _, o := range out.Orders {
		start, ok := o.(StartOrder)
		switch {
		case !ok:
		case rt.refusals > 0:
			rt.refusals--
			rt.scheduler.StartRefused(start, "unhealthy", rt.now)
		default:
			rt.running[start.Agent] = append(rt.running[start.Agent], RunningTask{Running: worker.Running{Run: worker.Run{Task: start.Task.String(), Number: start.Run}}})
			rt.scheduler.StartAnswered(start, 1, true)
		}
	}
	for _, o := range rt.scheduler.TakeStops() {
		rt.endRun(o.Agent, o.Task.String(), worker.EndStopped)
	}
}

func (rt *roomTest) endRun(vm, task string, how worker.EndReason) {
	i := slices.IndexFunc(rt.running[vm], func(r RunningTask) bool { return r.Task == task })
	if i < 0 {
		return
	}
	r := rt.running[vm][i]
	rt.running[vm] = slices.Delete(slices.Clone(rt.running[vm]), i, i+1)
	rt.ended[vm] = append(rt.ended[vm], worker.Ended{EndNumber: int64(len(rt.ended[vm]) + 1), Run: r.Run, Reason: how})
}

// anyVM draws one of the VMs that are left.
func (rt *roomTest) anyVM() string {
	var left []string
	for i := range len(rt.sessions) {
		if vm := fmt.Sprintf("vm%d", i); !rt.lost[vm] {
			left = append(left, vm)
		}
	}
	return rapid.SampledFrom(left).Draw(rt.t, "vm")
}

func (rt *roomTest) endAny(how worker.EndReason) {
	vm := rt.anyVM()
	if len(rt.running[vm]) > 0 {
		rt.endRun(vm, rapid.SampledFrom(rt.running[vm]).Draw(rt.t, "run").Task, how)
	}
}

func (rt *roomTest) takeOver() {
	rt.scheduler = newCluster(0, rt.now)
	for i := range rt.jobs {
		rt.scheduler.RestoreJob(stepfold.JobState{Job: &rt.jobs[i], Progress: rt.stored[rt.jobs[i].ID]}, wallTime, rt.now)
	}
	for vm := range rt.sessions {
		if !rt.lost[vm] {
			rt.scheduler.AgentAttached(vm, rt.sessions[vm])
		}
	}
}

// room counts the tasks of the step that fit beside what runs, and the accelerators that are
// in use and that there are.
func (rt *roomTest) room(j *Job, s *Step) (fitting, used, total int) {
	for i := range len(rt.sessions) {
		vm := fmt.Sprintf("vm%d", i)
		if rt.lost[vm] {
			continue
		}
		free, ofStep := 8, 0
		for _, r := range rt.running[vm] {
			id, err := steps.ParseTaskID(r.Task)
			if err != nil {
				rt.t.Fatal(err)
			}
			free -= rt.scheduler.Jobs[id.Job].Spec.Steps[id.Step].Needs.GPUs
			if id.Job == j.Spec.ID {
				ofStep++
			}
		}
		n := max(0, free) / s.Spec.Needs.GPUs
		if s.Spec.MaxPerVM > 0 {
			n = min(n, max(0, s.Spec.MaxPerVM-ofStep))
		}
		fitting, used, total = fitting+n, used+8-free, total+8
	}
	return fitting, used, total
}

// mustStart reports whether a waiting task of the step, or the gang, has to be started: there is
// room for two, and the step is long-running, or nothing of the job runs and less than half of the
// accelerators are in use.
func (rt *roomTest) mustStart(j *Job, s *Step) bool {
	fitting, used, total := rt.room(j, s)
	needed := 2
	if s.Spec.Gang {
		needed = 2 * len(s.Tasks)
	}
	return fitting >= needed && (s.Spec.LongRunning || s.ActiveCount == 0 && 2*used < total)
}

// limit is how long a task of the step may wait. An urgent unit that waits for runs to end
// may claim some of the room of a long-running task of another queue.
func (rt *roomTest) limit(j *Job, s *Step) time.Duration {
	if j.Queue.Priority == 0 || !s.Spec.LongRunning {
		return roomLimit
	}
	for _, other := range rt.scheduler.Jobs {
		step := other.Occurrences[0][0]
		if other.Queue.Priority == 0 && !other.Phase.Over() && step.ActiveCount+step.DoneCount < len(step.Tasks) {
			return behindUrgentLimit
		}
	}
	return roomLimit
}

// TestTasksStartWhereThereIsRoom guards against tasks that earlier failures, crashes and refusals,
// or a rack that is full, keep from running.
func TestTasksStartWhereThereIsRoom(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		rt := &roomTest{crashTest: newCrashTest(t, rapid.IntRange(2, 6).Draw(r, "vms")), t: r, lost: map[string]bool{}, stored: map[string]stepfold.Progress{}}
		for range rapid.IntRange(1, 40).Draw(r, "actions") {
			switch rapid.SampledFrom([]string{"add", "pass", "long", "fail", "done", "crash", "refuse", "lose", "takeOver"}).Draw(r, "action") {
			case "add":
				if len(rt.jobs) < 8 {
					rt.addJob()
				}
			case "pass":
				rt.step(time.Duration(rapid.IntRange(1, 9).Draw(r, "ticks")) * roomTick)
			case "long":
				for range rapid.IntRange(10, 60).Draw(r, "ticks") {
					rt.step(roomTick)
				}
			case "fail":
				rt.endAny(worker.EndFailed)
			case "done":
				rt.endAny(worker.EndDone)
			case "crash":
				rt.crash(rt.anyVM(), rapid.SampledFrom([]time.Duration{200 * time.Millisecond, 10 * time.Second, time.Hour}).Draw(r, "age"))
			case "refuse":
				rt.refusals++
			case "lose":
				if len(rt.lost) < len(rt.sessions)/3 {
					vm := rt.anyVM()
					rt.lost[vm] = true
					rt.lose(vm)
				}
			case "takeOver":
				rt.step(roomTick)
				rt.takeOver()
			}
		}
		rt.refusals = 0
		rt.step(roomTick)
		since := map[steps.TaskID]time.Time{}
		for end := rt.now.Add(behindUrgentLimit + 2*roomLimit); rt.now.Before(end); rt.step(roomTick) {
			for _, spec := range rt.jobs {
				j := rt.scheduler.Jobs[spec.ID]
				if j == nil || j.Phase.Over() {
					continue
				}
				s := j.Occurrences[0][0]
				must := rt.mustStart(j, s)
				for _, task := range s.Tasks {
					if task.Done || task.Active || !must {
						delete(since, task.ID)
						continue
					}
					if _, found := since[task.ID]; !found {
						since[task.ID] = rt.now
					}
					if waited := rt.now.Sub(since[task.ID]); waited > rt.limit(j, s) {
						r.Fatalf("%s waits for %s beside room for two: %+v, failed on %v, crashes %+v", task.ID, waited, *s.Spec, task.FailedOn, task.Crashes)
					}
				}
			}
		}
	})
}
