package main

import (
	"fmt"
	"net/http"
	"strings"
	"time"

	"celerypoint.example/celerypoint/review/standin"
)

const (
	key       = "key-1"
	otherKey  = "key-2"
	unitEnds  = 6 * time.Second
	unitWaits = 3 * time.Second
)

type object = map[string]any

func route(name, service string, priority int) object {
	return object{
		"name": name, "host": "site.example", "path_prefix": "/" + name + "/", "service": service, "timeout_ms": 3000,
		"priority": priority, "max_attempts": 3, "stretch": 3, "target_latency_ms": 1000,
	}
}

func config(version int, services []string, routes ...object) object {
	all := []object{}
	for _, s := range services {
		all = append(all, object{"name": s, "enforces_capacity": false})
	}
	return object{
		"version": version, "routes": routes, "services": all, "limits": object{},
		"tenants": []object{{"name": "tenant-1", "api_keys": []string{key}, "guaranteed": object{"gpus": 1}}, {"name": "tenant-2", "api_keys": []string{otherKey}, "guaranteed": object{"gpus": 1}}},
	}
}

var room = standin.Room{CPU: 128000, Mem: 262144, GPUs: 8}

// begin publishes the configuration, starts two entries and the workers, and waits until
// the entries are ready and the agents call their workers.
func begin(s *standin.Site, c object, workers ...*standin.Worker) error {
	s.Store.Operate("config", c)
	for range 2 {
		if err := s.AddEntry(); err != nil {
			return err
		}
	}
	for i, w := range workers {
		if w.ID = fmt.Sprintf("i-%d", i+1); w.Kind == "" {
			w.Kind = "a"
		}
		if w.Room == (standin.Room{}) {
			w.Room = room
		}
		if err := s.AddWorker(w); err != nil {
			return err
		}
	}
	for _, e := range s.Entries {
		if err := e.AwaitReady(); err != nil {
			return err
		}
	}
	for _, w := range workers {
		for end := time.Now().Add(10 * time.Second); ; time.Sleep(50 * time.Millisecond) {
			if calls, _ := w.Holds(); calls > 0 {
				break
			}
			if time.Now().After(end) {
				return fmt.Errorf("worker %s gets no calls", w.ID)
			}
		}
	}
	time.Sleep(3 * time.Second)
	return nil
}

// runningNow lists the work units of a job that are running, with the worker of each.
func runningNow(s *standin.Site, id string) map[string]string {
	units := map[string]string{}
	for _, w := range s.Workers {
		for _, r := range w.Runs() {
			if strings.HasPrefix(r.Task, id+".") && r.How == "" {
				units[r.Task] = w.ID
			}
		}
	}
	return units
}

// awaitRunning waits until the number of work units of a job run.
func awaitRunning(s *standin.Site, id string, n int, limit time.Duration) error {
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		if len(runningNow(s, id)) == n {
			return nil
		}
	}
	return fmt.Errorf("job %s: %d of %d work units run after %s", id, len(runningNow(s, id)), n, limit)
}

func workerOf(s *standin.Site, id string) *standin.Worker {
	for _, w := range s.Workers {
		if w.ID == id {
			return w
		}
	}
	return nil
}

// lastingMissing watches work units that last, for the time given. It returns what breaks
// the rule: from unitEnds after its last run a work unit has not run for unitWaits, while
// there is room for it twice over on the workers of the kind that are up.
func lastingMissing(s *standin.Site, id, kind string, units, gpus int, watch time.Duration) string {
	lastEnd := map[string]time.Duration{}
	broken := ""
	for end := s.Log.Now() + watch; s.Log.Now() < end; time.Sleep(50 * time.Millisecond) {
		now := s.Log.Now()
		running := runningNow(s, id)
		for i := range units {
			unit := fmt.Sprintf("%s.0.0.%d", id, i)
			if _, found := running[unit]; found {
				delete(lastEnd, unit)
				continue
			}
			if _, found := lastEnd[unit]; !found {
				lastEnd[unit] = now
			}
			if waited := now - lastEnd[unit]; waited > unitEnds+unitWaits && broken == "" {
				fits := fitting(s, kind, gpus)
				if fits >= 2 {
					broken = fmt.Sprintf("work unit %s lasts and has not run for %.1f s, while there is room for %d such work units", unit, waited.Seconds(), fits)
					s.Log.Add("check     %s", broken)
				}
			}
		}
	}
	if broken != "" {
		s.Log.Add("check     %d of %d work units of job %s run at the end of the watch", len(runningNow(s, id)), units, id)
	}
	return broken
}

// gpusOf maps a job to the accelerators that each of its work units takes.
var gpusOf = map[string]int{}

// usedGPUs counts the accelerators that run on a worker.
func usedGPUs(w *standin.Worker) int {
	used := 0
	for _, r := range w.Runs() {
		if r.How == "" {
			used += gpusOf[strings.SplitN(r.Task, ".", 2)[0]]
		}
	}
	return used
}

// fitting counts the work units with the given number of accelerators for which there is
// room on the workers of a kind that are up.
func fitting(s *standin.Site, kind string, gpus int) int {
	n := 0
	for _, w := range s.Workers {
		if !w.Down() && w.Kind == kind {
			n += (w.Room.GPUs - usedGPUs(w)) / gpus
		}
	}
	return n
}

func submit(s *standin.Site, queue, id string, job standin.Job) error {
	gpusOf[id] = job.Steps[0].GPUs
	return s.NewClient(key).Submit("/"+queue+"/"+id, job)
}

// failedOn: a work unit of an ordinary job fails once.
func failedOn(s *standin.Site, trouble bool) (string, error) {
	var workers []*standin.Worker
	for i := range 4 {
		workers = append(workers, &standin.Worker{Service: "svc", Rack: fmt.Sprintf("r%d", i/2+1)})
	}
	if err := begin(s, config(1, []string{"svc"}, route("serving", "svc", 1), route("ordinary", "svc", 1)), workers...); err != nil {
		return "", err
	}
	const others, one = "00000000000000a1", "00000000000000a2"
	if err := submit(s, "serving", others, standin.Job{Spec: "last", Steps: []standin.Step{{Count: 3, CPU: 4000, Mem: 4000, GPUs: 5, LongRunning: true}}}); err != nil {
		return "", err
	}
	if err := awaitRunning(s, others, 3, 10*time.Second); err != nil {
		return "", err
	}
	if err := submit(s, "ordinary", one, standin.Job{Spec: "run 20000", Steps: []standin.Step{{Count: 1, CPU: 4000, Mem: 4000, GPUs: 4, Estimate: 20000}}}); err != nil {
		return "", err
	}
	if err := awaitRunning(s, one, 1, 10*time.Second); err != nil {
		return "", err
	}
	trafficEnd := s.Log.Now()
	time.Sleep(5 * time.Second)
	unit := one + ".0.0.0"
	if trouble && !workerOf(s, runningNow(s, one)[unit]).Fail(unit) {
		return "", fmt.Errorf("no run to fail")
	}
	return nothingRuns(s, s.NewClient(key), "/ordinary/", one, "a", trafficEnd, 55*time.Second), nil
}

// jobShare: a worker is lost for good on which work units that last are at work.
func jobShare(s *standin.Site, trouble bool) (string, error) {
	var workers []*standin.Worker
	for i := range 6 {
		workers = append(workers, &standin.Worker{Service: "svc", Rack: fmt.Sprintf("r%d", i/3+1)})
	}
	if err := begin(s, config(1, []string{"svc"}, route("serving", "svc", 1)), workers...); err != nil {
		return "", err
	}
	const id, units = "00000000000000b1", 8
	if err := submit(s, "serving", id, standin.Job{Spec: "last", Steps: []standin.Step{{Count: units, CPU: 4000, Mem: 4000, GPUs: 3, LongRunning: true}}}); err != nil {
		return "", err
	}
	if err := awaitRunning(s, id, units, 15*time.Second); err != nil {
		return "", err
	}
	time.Sleep(5 * time.Second)
	if trouble {
		w := workerOf(s, runningNow(s, id)[id+".0.0.0"])
		s.Log.Add("trouble   worker %s is lost for good", w.ID)
		w.Crash()
	}
	return lastingMissing(s, id, "a", units, 3, 60*time.Second), nil
}

// sameRack: a worker is lost for good on which one of the work units of a step with
// same_rack is at work.
func sameRack(s *standin.Site, trouble bool) (string, error) {
	var workers []*standin.Worker
	for i := range 6 {
		workers = append(workers, &standin.Worker{Service: "svc", Rack: fmt.Sprintf("r%d", i/2+1)})
	}
	if err := begin(s, config(1, []string{"svc"}, route("serving", "svc", 1)), workers...); err != nil {
		return "", err
	}
	const id, units = "00000000000000c1", 2
	if err := submit(s, "serving", id, standin.Job{Spec: "last", Steps: []standin.Step{{Count: units, CPU: 4000, Mem: 4000, GPUs: 6, LongRunning: true, SameRack: true}}}); err != nil {
		return "", err
	}
	if err := awaitRunning(s, id, units, 15*time.Second); err != nil {
		return "", err
	}
	time.Sleep(5 * time.Second)
	if trouble {
		w := workerOf(s, runningNow(s, id)[id+".0.0.0"])
		s.Log.Add("trouble   worker %s is lost for good", w.ID)
		w.Crash()
	}
	return lastingMissing(s, id, "a", units, 6, 60*time.Second), nil
}

// droppedRoute: a route is removed while an accepted job of it still has work, and the
// entries are then stopped and started in turn.
func droppedRoute(s *standin.Site, trouble bool) (string, error) {
	services := []string{"svc-a", "svc-b"}
	a := &standin.Worker{Service: "svc-a", Rack: "r1"}
	b := &standin.Worker{Service: "svc-b", Rack: "r2"}
	if err := begin(s, config(1, services, route("queue-a", "svc-a", 0), route("queue-b", "svc-b", 0)), b, a); err != nil {
		return "", err
	}
	const id, units = "00000000000000d1", 5
	if err := submit(s, "queue-a", id, standin.Job{Spec: "run 8000", Steps: []standin.Step{{Count: units, CPU: 4000, Mem: 4000, GPUs: 6, Estimate: 8000}}}); err != nil {
		return "", err
	}
	if err := awaitRunning(s, id, 1, 10*time.Second); err != nil {
		return "", err
	}
	s.Store.Operate("config", config(2, services, route("queue-b", "svc-b", 0)))
	time.Sleep(3 * time.Second)
	if trouble {
		for _, e := range s.Entries {
			if err := e.Restart(); err != nil {
				return "", err
			}
			time.Sleep(time.Second)
		}
	}
	broken := ""
	done := func() int {
		n := 0
		for _, w := range s.Workers {
			for _, r := range w.Runs() {
				if r.How == "done" {
					n++
				}
			}
		}
		return n
	}
	for end := time.Now().Add(55 * time.Second); time.Now().Before(end) && done() < units; time.Sleep(100 * time.Millisecond) {
		for _, r := range b.Runs() {
			if strings.HasPrefix(r.Task, id+".") && broken == "" {
				broken = fmt.Sprintf("run %d of %s is started on worker %s of service svc-b, to which no desired state sends queue-a", r.Number, r.Task, r.Worker)
				s.Log.Add("check     %s", broken)
			}
		}
	}
	if broken == "" && done() < units {
		return "", fmt.Errorf("%d of %d work units are done", done(), units)
	}
	return broken, nil
}

// largeProgress: a job with many times has run some thousand work units.
func largeProgress(s *standin.Site, trouble bool) (string, error) {
	var workers []*standin.Worker
	for i := range 4 {
		workers = append(workers, &standin.Worker{Service: "svc", Rack: fmt.Sprintf("r%d", i/2+1)})
	}
	if err := begin(s, config(1, []string{"svc"}, route("timed", "svc", 1), route("other", "svc", 0)), workers...); err != nil {
		return "", err
	}
	const timed, after = "00000000000000e1", "00000000000000e2"
	times := 2000
	if !trouble {
		times = 1000
	}
	job := standin.Job{Spec: "run 20", StartAt: time.Now().Add(time.Second).UnixMilli(), Interval: 30, Times: times, Steps: []standin.Step{
		{Count: 1, CPU: 1000, Mem: 1000, GPUs: 0, Estimate: 20},
		{Count: 1, CPU: 1000, Mem: 1000, GPUs: 0, Estimate: 20, After: []int{0}},
		{Count: 1, CPU: 1000, Mem: 1000, GPUs: 0, Estimate: 20, After: []int{1}},
	}}
	if err := submit(s, "timed", timed, job); err != nil {
		return "", err
	}
	time.Sleep(70 * time.Second)
	client := s.NewClient(otherKey)
	if err := client.Submit("/other/"+after, standin.Job{Spec: "run 1000", Steps: []standin.Step{{Count: 1, CPU: 1000, Mem: 1000, GPUs: 1, Estimate: 1000}}}); err != nil {
		return "", err
	}
	gpusOf[after] = 1
	broken := nothingRuns(s, client, "/other/", after, "a", s.Log.Now(), 25*time.Second)
	runs := 0
	for _, w := range s.Workers {
		runs += len(w.Runs())
	}
	refused, largest := s.Store.Refused()
	s.Log.Add("check     %d runs were started; the store refused %d appends, the largest record had %d bytes", runs, refused, largest)
	return broken, nil
}

// strangeHeartbeat: a heartbeat of another writer arrives.
func strangeHeartbeat(s *standin.Site, trouble bool) (string, error) {
	var workers []*standin.Worker
	for i := range 3 {
		workers = append(workers, &standin.Worker{Service: "svc", Rack: fmt.Sprintf("r%d", i+1)})
	}
	if err := begin(s, config(1, []string{"svc"}, route("queue", "svc", 0)), workers...); err != nil {
		return "", err
	}
	const id = "00000000000000f1"
	if err := submit(s, "queue", id, standin.Job{Spec: "run 12000", Steps: []standin.Step{{Count: 1, CPU: 4000, Mem: 4000, GPUs: 4, Estimate: 12000}}}); err != nil {
		return "", err
	}
	if err := awaitRunning(s, id, 1, 10*time.Second); err != nil {
		return "", err
	}
	time.Sleep(2 * time.Second)
	if trouble {
		w := workerOf(s, runningNow(s, id)[id+".0.0.0"])
		status, err := standin.Beat(&http.Client{Timeout: time.Second}, w.Agent, "i-other", object{
			"service": "unnamed", "address": "127.0.0.1:1", "zone": "zone-a", "version": "v1", "slots": 8, "state": "ready", "cold_remaining_ms": 0,
			"capacity": room, "labels": []string{"a", "r1"}, "clock_ms": 1000, "sequence": 1, "born": time.Now().UnixMilli(),
		})
		s.Log.Add("trouble   a heartbeat of i-other, of a service that is not named anywhere, is sent to the address of the heartbeats of %s: %d %v", w.ID, status, err)
	}
	broken := ""
	for end := time.Now().Add(25 * time.Second); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		live := []string{}
		for _, w := range s.Workers {
			for _, r := range w.Runs() {
				if r.How == "" && r.Task == id+".0.0.0" {
					live = append(live, fmt.Sprintf("run %d on %s", r.Number, w.ID))
				}
			}
		}
		if len(live) > 1 && broken == "" {
			broken = "two runs of one work unit at the same time: " + strings.Join(live, ", ")
			s.Log.Add("check     %s", broken)
		}
	}
	return broken, nil
}

// crashedTwice: the only worker with a label crashes and comes back, twice, while it runs
// a work unit that lasts.
func crashedTwice(s *standin.Site, trouble bool) (string, error) {
	var workers []*standin.Worker
	for i := range 8 {
		workers = append(workers, &standin.Worker{Service: "svc", Rack: fmt.Sprintf("r%d", i/3+1)})
	}
	workers[0].Kind = "b"
	if err := begin(s, config(1, []string{"svc"}, route("serving", "svc", 1), route("other", "svc", 0)), workers...); err != nil {
		return "", err
	}
	const lasting, after = "00000000000000a3", "00000000000000a4"
	if err := submit(s, "serving", lasting, standin.Job{Spec: "last", Steps: []standin.Step{{Count: 1, CPU: 4000, Mem: 4000, GPUs: 1, LongRunning: true, Requirements: "b"}}}); err != nil {
		return "", err
	}
	if err := awaitRunning(s, lasting, 1, 15*time.Second); err != nil {
		return "", err
	}
	for range 2 {
		time.Sleep(8 * time.Second)
		if !trouble {
			continue
		}
		w := workerOf(s, runningNow(s, lasting)[lasting+".0.0.0"])
		s.Log.Add("trouble   worker %s crashes", w.ID)
		if _, err := s.Crash(w, 4*time.Second, false, 0); err != nil {
			return "", err
		}
		if err := awaitRunning(s, lasting, 1, 20*time.Second); err != nil {
			return "", err
		}
	}
	time.Sleep(10 * time.Second)
	client := s.NewClient(otherKey)
	if err := client.Submit("/other/"+after, standin.Job{Spec: "run 1000", Steps: []standin.Step{{Count: 1, CPU: 1000, Mem: 1000, GPUs: 1, Estimate: 1000, Requirements: "b"}}}); err != nil {
		return "", err
	}
	gpusOf[after] = 1
	return nothingRuns(s, client, "/other/", after, "b", s.Log.Now(), 40*time.Second), nil
}

// finish is the time after the end of the traffic from which on jobs are asked for.
const finish = 14 * time.Second

// nothingRuns watches an accepted job of one work unit, the last that was handed in, and
// returns what breaks the rule: from finish after the end of the traffic on, for unitWaits
// on end, nothing of the job runs although the work unit isn't done, there is room for it
// twice over on workers of the kind, and under half of the service's capacity is in use.
func nothingRuns(s *standin.Site, client *standin.Client, prefix, id, kind string, trafficEnd, watch time.Duration) string {
	unit, broken := id+".0.0.0", ""
	var since time.Duration
	for end := trafficEnd + watch; s.Log.Now() < end; time.Sleep(50 * time.Millisecond) {
		now := s.Log.Now()
		fits, used, total, done := fitting(s, kind, gpusOf[id]), 0, 0, false
		for _, w := range s.Workers {
			if !w.Down() {
				used, total = used+usedGPUs(w), total+w.Room.GPUs
			}
			for _, r := range w.Runs() {
				done = done || r.Task == unit && r.How == "done"
			}
		}
		if done {
			break
		}
		if now < trafficEnd+finish || len(runningNow(s, id)) > 0 || fits < 2 || 2*used >= total {
			since = 0
			continue
		}
		if since == 0 {
			since = now
		}
		if broken == "" && now-since > unitWaits {
			broken = fmt.Sprintf("nothing of job %s has run for %.1f s, %.1f s after the end of the traffic, while there is room for %d such work units and %d of %d accelerators are in use", id, (now - since).Seconds(), (now - trafficEnd).Seconds(), fits, used, total)
			s.Log.Add("check     %s", broken)
		}
	}
	_, state := client.Call(http.MethodGet, prefix+id, nil)
	runs := 0
	for _, w := range s.Workers {
		for _, r := range w.Runs() {
			if r.Task == unit {
				runs++
			}
		}
	}
	s.Log.Add("check     at the end of the watch job %s has had %d runs, %d are running, and it is shown as %s", id, runs, len(runningNow(s, id)), state)
	return broken
}

// sameID: a worker that has been up for three days crashes and is back under its id.
func sameID(s *standin.Site, trouble bool) (string, error) {
	var workers []*standin.Worker
	for i := range 8 {
		workers = append(workers, &standin.Worker{Service: "svc", Rack: fmt.Sprintf("r%d", i/3+1), Up: 72 * time.Hour})
	}
	workers[0].Kind = "b"
	if err := begin(s, config(1, []string{"svc"}, route("serving", "svc", 1)), workers...); err != nil {
		return "", err
	}
	const lasting = "00000000000000a5"
	if err := submit(s, "serving", lasting, standin.Job{Spec: "last", Steps: []standin.Step{{Count: 1, CPU: 4000, Mem: 4000, GPUs: 2, LongRunning: true, Requirements: "b"}}}); err != nil {
		return "", err
	}
	if err := awaitRunning(s, lasting, 1, 15*time.Second); err != nil {
		return "", err
	}
	time.Sleep(8 * time.Second)
	if !trouble {
		return lastingMissing(s, lasting, "b", 1, 2, 60*time.Second), nil
	}
	s.Log.Add("trouble   worker %s crashes", workers[0].ID)
	again, err := s.Crash(workers[0], 4*time.Second, true, 700*time.Millisecond)
	if err != nil {
		return "", err
	}
	// The time after the impairment that has to be calm is left out.
	time.Sleep(5 * time.Second)
	broken := lastingMissing(s, lasting, "b", 1, 2, 70*time.Second)
	calls, fenced := again.Holds()
	s.Log.Add("check     the new life of worker %s got %d holds and answered %d of them with 409 fence", again.ID, calls, fenced)
	return broken, nil
}
