package load

import (
	"bytes"
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"time"

	"celerypoint.example/celerypoint/job"
	"celerypoint.example/celerypoint/outcome"
	"celerypoint.example/celerypoint/standinruntime"
	"celerypoint.example/celerypoint/wire"
)

// Target is an entry that takes requests, directly or over HTTP.
type Target interface {
	Submit(ctx context.Context, j job.Job) (job.View, error)
	Wait(ctx context.Context, id string) (job.View, bool, error)
	Answer(ctx context.Context, id string) ([]byte, outcome.Answer, error)
	Status(ctx context.Context) (wire.StatusView, error)
}

const (
	// sampleEvery is the interval of the samples of idle accelerators.
	sampleEvery = 100 * time.Millisecond
	// maxWaiting bounds the requests in progress.
	maxWaiting = 8192
	// endGrace is how long a run waits for the last answers.
	endGrace = 45 * time.Second
)

// record is one request and what became of it.
type record struct {
	request     Request
	sent, ended time.Time
	startDelay  time.Duration
	kind        outcome.Kind
	rule        string
	wrong       bool
	err         error
}

// Run is one run of a profile.
type Run struct {
	Profile Profile
	Seed    uint64

	mu      sync.Mutex
	records []record
	// waiting maps a gang that has not started to its accelerators.
	waiting map[int]int
	// idle is in accelerator-seconds: accelerators that were free while a gang
	// waited that would fit in their sum; total is all of them.
	idle, total float64
	began, over time.Time
}

// RunProfile sends the profile's requests to the targets in turn, waits for their
// ends, and compares each answer with what the request must give.
func RunProfile(ctx context.Context, p Profile, seed uint64, targets []Target) (*Run, error) {
	if len(targets) == 0 {
		return nil, fmt.Errorf("load: found no target, allowed: at least one")
	}
	run := &Run{Profile: p, Seed: seed, waiting: map[int]int{}, began: time.Now()}
	requests := p.Requests(rand.New(rand.NewPCG(seed, 0)))
	ctx, cancel := context.WithDeadline(ctx, run.began.Add(p.Duration+endGrace))
	defer cancel()
	sampling, stopSampling := context.WithCancel(ctx)
	var sampler, callers sync.WaitGroup
	sampler.Go(func() { run.sample(sampling, targets[0]) })
	places := make(chan struct{}, maxWaiting)
	for i, request := range requests {
		if !sleepUntil(ctx, run.began.Add(request.SendAfter)) {
			break
		}
		places <- struct{}{}
		callers.Go(func() {
			defer func() { <-places }()
			run.call(ctx, i, request, targets[i%len(targets)])
		})
	}
	callers.Wait()
	stopSampling()
	sampler.Wait()
	run.over = time.Now()
	return run, nil
}

func sleepUntil(ctx context.Context, at time.Time) bool {
	t := time.NewTimer(time.Until(at))
	defer t.Stop()
	select {
	case <-t.C:
		return true
	case <-ctx.Done():
		return false
	}
}

func (run *Run) call(ctx context.Context, i int, request Request, target Target) {
	r := record{request: request, sent: time.Now()}
	if request.Timeout > 0 {
		request.Job.Deadline = r.sent.Add(request.Timeout)
	}
	if request.Job.IsGang() {
		run.mu.Lock()
		run.waiting[i] = request.Job.Accelerators()
		run.mu.Unlock()
	}
	v, err := target.Submit(ctx, request.Job)
	for err == nil && v.Outcome == nil && ctx.Err() == nil {
		if v.Phase == job.PhaseRunning {
			run.started(i)
		}
		// A short wait, so that the start of a gang is seen soon.
		wait, cancel := context.WithTimeout(ctx, 2*sampleEvery)
		v, _, err = target.Wait(wait, v.ID)
		cancel()
	}
	r.ended = time.Now()
	run.started(i)
	r.err, r.kind = err, outcome.KindOf(v.Outcome)
	if notRun, ok := v.Outcome.(outcome.NotRun); ok {
		r.rule = notRun.Rule
	}
	if r.kind == outcome.KindAnswer {
		r.startDelay = v.StartedAt.Sub(r.sent)
		r.wrong = !run.rightAnswer(ctx, target, v.ID, request)
	}
	run.mu.Lock()
	run.records = append(run.records, r)
	run.mu.Unlock()
}

func (run *Run) started(i int) {
	run.mu.Lock()
	delete(run.waiting, i)
	run.mu.Unlock()
}

func (run *Run) rightAnswer(ctx context.Context, target Target, id string, request Request) bool {
	body, _, err := target.Answer(ctx, id)
	if err != nil {
		return false
	}
	var want []byte
	for rank := range request.Job.Tasks {
		want = append(want, standinruntime.Answer(request.Job.Payload, rank)...)
	}
	return bytes.Equal(body, want)
}

// sample adds up the accelerators that are free while a gang waits that would
// fit in their sum.
func (run *Run) sample(ctx context.Context, target Target) {
	ticker := time.NewTicker(sampleEvery)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		status, err := target.Status(ctx)
		if err != nil {
			continue
		}
		free, all := 0, 0
		for _, v := range status.VMs {
			if !v.Lost && !v.Draining {
				free += max(0, v.Free)
				all += v.Accelerators
			}
		}
		run.mu.Lock()
		run.total += float64(all) * sampleEvery.Seconds()
		for _, need := range run.waiting {
			if need <= free {
				run.idle += float64(free) * sampleEvery.Seconds()
				break
			}
		}
		run.mu.Unlock()
	}
}
