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

// job is one job of the demonstration.
type job struct {
	id, queue, org string
	tasks, gpus    int
	gang           bool
	runMs          int
}

// play shows one thing after the other.
func (d *deployment) play(ctx context.Context) error {
	if err := await(ctx, "a planner knows all VMs", func() error {
		for _, e := range d.entries {
			if e.daemon.Ready() && e.daemon.AttachedAgents() == vms {
				return nil
			}
		}
		return errNotYet
	}); err != nil {
		return err
	}
	d.say("two entries, %d VMs with %d accelerators each; cairn is owed 16 of them, stylus 8", vms, capacity.GPUs)
	for _, scene := range []func(context.Context) error{d.together, d.reclaimed, d.lost, d.rolled} {
		if err := scene(ctx); err != nil {
			return err
		}
	}
	return nil
}

func (d *deployment) say(format string, values ...any) { fmt.Fprintf(d.out, format+"\n", values...) }

// together runs a gang over two VMs beside an urgent job.
func (d *deployment) together(ctx context.Context) error {
	begun := time.Now()
	gang := job{id: "00000000000000a1", queue: "normal", org: "cairn", tasks: 2, gpus: 8, gang: true, runMs: 600}
	urgent := job{id: "00000000000000a2", queue: "urgent", org: "stylus", tasks: 1, gpus: 1, runMs: 50}
	if err := d.submit(ctx, 0, gang, urgent); err != nil {
		return err
	}
	if err := d.completed(ctx, 1, urgent); err != nil {
		return err
	}
	d.say("an urgent job beside a gang of 16 accelerators completed after %d ms", time.Since(begun).Milliseconds())
	if err := d.completed(ctx, 1, gang); err != nil {
		return err
	}
	d.say("the gang completed after %d ms", time.Since(begun).Milliseconds())
	return nil
}

// reclaimed lets stylus borrow everything, and takes back what cairn is owed.
func (d *deployment) reclaimed(ctx context.Context) error {
	borrower := job{id: "00000000000000b1", queue: "batch", org: "stylus", tasks: 24, gpus: 1, runMs: 4000}
	if err := d.submit(ctx, 0, borrower); err != nil {
		return err
	}
	// One job holds at most half of the accelerators.
	if err := d.running(ctx, borrower, vms*capacity.GPUs/2); err != nil {
		return err
	}
	owner := job{id: "00000000000000b2", queue: "urgent", org: "cairn", tasks: 2, gpus: 8, gang: true, runMs: 200}
	if err := d.submit(ctx, 1, owner); err != nil {
		return err
	}
	begun := time.Now()
	if err := d.running(ctx, owner, owner.tasks); err != nil {
		return err
	}
	took := time.Since(begun)
	if took > reclaim {
		return fmt.Errorf("reclaim: found %s, allowed: %s", took, reclaim)
	}
	d.say("cairn got 16 accelerators back %d ms after its job was accepted", took.Milliseconds())
	return d.completed(ctx, 0, owner, borrower)
}

// lost ends a worker in the middle of a gang.
func (d *deployment) lost(ctx context.Context) error {
	gang := job{id: "00000000000000c1", queue: "normal", org: "cairn", tasks: 2, gpus: 8, gang: true, runMs: 1000}
	if err := d.submit(ctx, 0, gang); err != nil {
		return err
	}
	if err := d.running(ctx, gang, gang.tasks); err != nil {
		return err
	}
	i := slices.IndexFunc(d.agents[:], func(a *agent) bool { return len(d.runs(a.worker, gang.id)) > 0 })
	a := d.agents[i]
	a.worker.Close()
	d.past = append(d.past, a.worker)
	calls := a.worker.Address()
	heartbeats := a.http.Address()
	a.worker = nil
	a.http.Close(time.Second)
	a.daemon.Kill()
	if err := d.startAgent(i, heartbeats, calls); err != nil {
		return err
	}
	if err := d.completed(ctx, 1, gang); err != nil {
		return err
	}
	d.say("VM %d was lost in the middle of a gang, which started again as a whole and completed", i)
	return nil
}

// rolled stops every entry and agent, one after the other, while a job runs.
func (d *deployment) rolled(ctx context.Context) error {
	long := job{id: "00000000000000d1", queue: "normal", org: "cairn", tasks: 2, gpus: 4, gang: true, runMs: 8000}
	if err := d.submit(ctx, 0, long); err != nil {
		return err
	}
	if err := d.running(ctx, long, long.tasks); err != nil {
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
		heartbeats := a.http.Address()
		a.http.Close(time.Second)
		if err := d.startAgent(i, heartbeats, a.worker.Address()); err != nil {
			return err
		}
	}
	if err := d.completed(ctx, 0, long); err != nil {
		return err
	}
	starts := 0
	for _, a := range d.agents {
		starts += len(d.runs(a.worker, long.id))
	}
	if starts != long.tasks {
		return fmt.Errorf("rolling stop: found %d starts of %d tasks, allowed: one each", starts, long.tasks)
	}
	d.say("every entry and agent was stopped and started again while a gang ran; no task of it started twice")
	return nil
}

// submit hands jobs in at an entry until they are accepted.
func (d *deployment) submit(ctx context.Context, at int, jobs ...job) error {
	for _, j := range jobs {
		d.mu.Lock()
		d.needs[j.id] = steps.Resources{CPU: 1000, MemMB: 1024, GPUs: j.gpus}
		d.mu.Unlock()
		d.report.JobsSubmitted++
		body := map[string]any{"spec": fmt.Sprintf("run %d", j.runMs), "steps": []any{map[string]any{
			"count": j.tasks, "cpu": 1000, "mem_mb": 1024, "gpus": j.gpus, "estimate_ms": j.runMs, "gang": j.gang,
		}}}
		if err := await(ctx, "job "+j.id+" is accepted", func() error {
			status, _, err := d.call(ctx, d.entries[at], http.MethodPost, "/"+j.queue+"/"+j.id, j.org, body)
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

// completed waits until an entry shows the jobs as completed.
func (d *deployment) completed(ctx context.Context, at int, jobs ...job) error {
	for _, j := range jobs {
		if err := await(ctx, "job "+j.id+" completes", func() error {
			status, reply, err := d.call(ctx, d.entries[at], http.MethodGet, "/"+j.queue+"/"+j.id, j.org, nil)
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

// running waits until that many tasks of the job run at once.
func (d *deployment) running(ctx context.Context, j job, tasks int) error {
	return await(ctx, "job "+j.id+" runs", func() error {
		n := 0
		for _, a := range d.agents {
			n += len(d.runs(a.worker, j.id))
		}
		if n < tasks {
			return fmt.Errorf("%d of %d tasks run", n, tasks)
		}
		return nil
	})
}

// runs lists the runs of a job on a worker that go on or have succeeded.
func (d *deployment) runs(w *standinworker.Worker, id string) []standinworker.RunRecord {
	return slices.DeleteFunc(w.History(), func(b standinworker.RunRecord) bool {
		return b.Task[:len(id)] != id || !b.EndedAt.IsZero() && b.EndReason != "done"
	})
}
