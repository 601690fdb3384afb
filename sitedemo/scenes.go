package sitedemo

import (
	"context"
	"fmt"
	"net/http"
	"slices"
	"time"

	"celerypoint.example/celerypoint/standinworker"
	"celerypoint.example/celerypoint/steps"
)

// job is a job of the demonstration. gpus is the number of accelerators of each
// task, runMs the run time of each.
type job struct {
	id, queue, org string
	tasks, gpus    int
	gang           bool
	runMs          int
}

// runScenes waits until the deployment is ready and runs the scenes in order.
func (d *deployment) runScenes(ctx context.Context) error {
	if err := await(ctx, "a planner knows all VMs", func() error {
		for _, e := range d.entries {
			if e.daemon.Ready() && e.daemon.AttachedAgents() == vms {
				return nil
			}
		}
		return errNotReady
	}); err != nil {
		return err
	}
	d.printf("two entries, %d VMs with %d accelerators each; cairn is guaranteed 16 of them, stylus 8", vms, capacity.GPUs)
	for _, scene := range []func(context.Context) error{d.runGangBesideUrgentJob, d.runReclaim, d.runVMLoss, d.runRollingRestart} {
		if err := scene(ctx); err != nil {
			return err
		}
	}
	return nil
}

func (d *deployment) printf(format string, values ...any) { fmt.Fprintf(d.out, format+"\n", values...) }

// runGangBesideUrgentJob runs a gang on two VMs and an urgent job at the same
// time.
func (d *deployment) runGangBesideUrgentJob(ctx context.Context) error {
	started := time.Now()
	gang := job{id: "00000000000000a1", queue: "normal", org: "cairn", tasks: 2, gpus: 8, gang: true, runMs: 600}
	urgent := job{id: "00000000000000a2", queue: "urgent", org: "stylus", tasks: 1, gpus: 1, runMs: 50}
	if err := d.submit(ctx, 0, gang, urgent); err != nil {
		return err
	}
	if err := d.awaitCompleted(ctx, 1, urgent); err != nil {
		return err
	}
	d.printf("an urgent job beside a gang of 16 accelerators completed after %d ms", time.Since(started).Milliseconds())
	if err := d.awaitCompleted(ctx, 1, gang); err != nil {
		return err
	}
	d.printf("the gang completed after %d ms", time.Since(started).Milliseconds())
	return nil
}

// runReclaim lets stylus borrow accelerators that are guaranteed to cairn, and
// then checks that cairn gets them back in time.
func (d *deployment) runReclaim(ctx context.Context) error {
	borrower := job{id: "00000000000000b1", queue: "batch", org: "stylus", tasks: 24, gpus: 1, runMs: 4000}
	if err := d.submit(ctx, 0, borrower); err != nil {
		return err
	}
	// Beyond the guarantee of its organisation, a job whose tasks start one by one
	// gets at most half of all accelerators.
	if err := d.awaitRunning(ctx, borrower, vms*capacity.GPUs/2); err != nil {
		return err
	}
	owner := job{id: "00000000000000b2", queue: "urgent", org: "cairn", tasks: 2, gpus: 8, gang: true, runMs: 200}
	if err := d.submit(ctx, 1, owner); err != nil {
		return err
	}
	submitted := time.Now()
	if err := d.awaitRunning(ctx, owner, owner.tasks); err != nil {
		return err
	}
	took := time.Since(submitted)
	if took > maxReclaimTime {
		return fmt.Errorf("reclaim: found %s, allowed: %s", took, maxReclaimTime)
	}
	d.printf("cairn got 16 accelerators back %d ms after its job was accepted", took.Milliseconds())
	return d.awaitCompleted(ctx, 0, owner, borrower)
}

// runVMLoss crashes a worker and its agent while they run a task of a gang, and
// starts a new worker and a new agent at their addresses.
func (d *deployment) runVMLoss(ctx context.Context) error {
	gang := job{id: "00000000000000c1", queue: "normal", org: "cairn", tasks: 2, gpus: 8, gang: true, runMs: 1000}
	if err := d.submit(ctx, 0, gang); err != nil {
		return err
	}
	if err := d.awaitRunning(ctx, gang, gang.tasks); err != nil {
		return err
	}
	i := slices.IndexFunc(d.agents[:], func(a *agent) bool { return len(d.activeOrSucceededRuns(a.worker, gang.id)) > 0 })
	a := d.agents[i]
	a.worker.Close()
	d.lostWorkers = append(d.lostWorkers, a.worker)
	workerAddress := a.worker.Address()
	heartbeatAddress := a.http.Address()
	a.worker = nil
	a.http.Close(time.Second)
	a.daemon.Kill()
	if err := d.startAgent(i, heartbeatAddress, workerAddress); err != nil {
		return err
	}
	if err := d.awaitCompleted(ctx, 1, gang); err != nil {
		return err
	}
	d.printf("VM %d was lost in the middle of a gang, which started again as a whole and completed", i)
	return nil
}

// runRollingRestart stops and restarts every entry and agent, one after the
// other, while a gang runs, and checks that no task of it starts twice.
func (d *deployment) runRollingRestart(ctx context.Context) error {
	long := job{id: "00000000000000d1", queue: "normal", org: "cairn", tasks: 2, gpus: 4, gang: true, runMs: 8000}
	if err := d.submit(ctx, 0, long); err != nil {
		return err
	}
	if err := d.awaitRunning(ctx, long, long.tasks); err != nil {
		return err
	}
	for i, e := range d.entries {
		stopping, cancel := context.WithTimeout(ctx, stopTimeout)
		err := e.daemon.Stop(stopping)
		cancel()
		if err != nil {
			return err
		}
		e.http.Close(time.Second)
		if err := d.startEntry(i); err != nil {
			return err
		}
	}
	for i, a := range d.agents {
		stopping, cancel := context.WithTimeout(ctx, stopTimeout)
		err := a.daemon.Stop(stopping)
		cancel()
		if err != nil {
			return err
		}
		heartbeatAddress := a.http.Address()
		a.http.Close(time.Second)
		if err := d.startAgent(i, heartbeatAddress, a.worker.Address()); err != nil {
			return err
		}
	}
	if err := d.awaitCompleted(ctx, 0, long); err != nil {
		return err
	}
	starts := 0
	for _, a := range d.agents {
		starts += len(d.activeOrSucceededRuns(a.worker, long.id))
	}
	if starts != long.tasks {
		return fmt.Errorf("rolling restart: found %d starts of %d tasks, allowed: one each", starts, long.tasks)
	}
	d.printf("every entry and agent was stopped and started again while a gang ran; no task of it started twice")
	return nil
}

// submit sends each job to an entry, and repeats this until it is accepted.
func (d *deployment) submit(ctx context.Context, entryIndex int, jobs ...job) error {
	for _, j := range jobs {
		d.mu.Lock()
		d.taskResources[j.id] = steps.Resources{CPU: 1000, MemMB: 1024, GPUs: j.gpus}
		d.mu.Unlock()
		d.report.JobsSubmitted++
		body := map[string]any{"spec": fmt.Sprintf("run %d", j.runMs), "steps": []any{map[string]any{
			"count": j.tasks, "cpu": 1000, "mem_mb": 1024, "gpus": j.gpus, "estimate_ms": j.runMs, "gang": j.gang,
		}}}
		if err := await(ctx, "job "+j.id+" is accepted", func() error {
			status, _, err := d.call(ctx, d.entries[entryIndex], http.MethodPost, "/"+j.queue+"/"+j.id, j.org, body)
			if err == nil && status != http.StatusOK {
				err = fmt.Errorf("status %d", status)
			}
			return err
		}); err != nil {
			return err
		}
	}
	return nil
}

// awaitCompleted waits until an entry reports the jobs as completed.
func (d *deployment) awaitCompleted(ctx context.Context, entryIndex int, jobs ...job) error {
	for _, j := range jobs {
		if err := await(ctx, "job "+j.id+" completes", func() error {
			status, reply, err := d.call(ctx, d.entries[entryIndex], http.MethodGet, "/"+j.queue+"/"+j.id, j.org, nil)
			if err == nil && reply["state"] != "completed" {
				err = fmt.Errorf("status %d, state %v", status, reply["state"])
			}
			return err
		}); err != nil {
			return err
		}
		d.report.JobsCompleted++
	}
	return nil
}

// awaitRunning waits until at least that many tasks of the job run or have
// succeeded.
func (d *deployment) awaitRunning(ctx context.Context, j job, tasks int) error {
	return await(ctx, "job "+j.id+" runs", func() error {
		n := 0
		for _, a := range d.agents {
			n += len(d.activeOrSucceededRuns(a.worker, j.id))
		}
		if n < tasks {
			return fmt.Errorf("%d of %d tasks run", n, tasks)
		}
		return nil
	})
}

// activeOrSucceededRuns lists the runs of a job on a worker that are in progress
// or have succeeded.
func (d *deployment) activeOrSucceededRuns(w *standinworker.Worker, id string) []standinworker.RunRecord {
	return slices.DeleteFunc(w.History(), func(r standinworker.RunRecord) bool {
		return r.Task[:len(id)] != id || !r.EndedAt.IsZero() && r.EndReason != "done"
	})
}
