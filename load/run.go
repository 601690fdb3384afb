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

// Target is an entry that accepts requests, in the same process or over HTTP.
type Target interface {
	Submit(ctx context.Context, j job.Job) (job.View, error)
	Wait(ctx context.Context, id string) (job.View, bool, error)
	Answer(ctx context.Context, id string) ([]byte, outcome.Answer, error)
	Status(ctx context.Context) (wire.StatusView, error)
}

const (
	// sampleInterval is the interval at which the idle accelerators are sampled.
	sampleInterval = 100 * time.Millisecond
	// maxInFlight limits the number of requests in progress.
	maxInFlight = 8192
	// finishTimeout is how long a run waits for outstanding answers after the
	// profile's Duration.
	finishTimeout = 45 * time.Second
)

// record holds a request and its result.
type record struct {
	request         Request
	sentAt, endedAt time.Time
	startDelay      time.Duration
	kind            outcome.Kind
	rule            string
	wrongAnswer     bool
	err             error
}

// Run is one run of a profile.
type Run struct {
	Profile Profile
	Seed    uint64

	mu      sync.Mutex
	records []record
	// waitingGangs holds the number of accelerators of each gang that has not
	// started, by the index of its request.
	waitingGangs map[int]int
	// idleAcceleratorSeconds adds up the free accelerators over the time during
	// which a gang waited that needed no more than were free in total.
	// totalAcceleratorSeconds adds up all accelerators over the whole run.
	idleAcceleratorSeconds, totalAcceleratorSeconds float64
	startedAt, endedAt                              time.Time
}

// RunProfile sends the profile's requests to the targets in turn, waits for their
// outcomes, and compares each answer with the expected one.
func RunProfile(ctx context.Context, p Profile, seed uint64, targets []Target) (*Run, error) {
	if len(targets) == 0 {
		return nil, fmt.Errorf("load: found no target, allowed: at least one")
	}
	run := &Run{Profile: p, Seed: seed, waitingGangs: map[int]int{}, startedAt: time.Now()}
	requests := p.Requests(rand.New(rand.NewPCG(seed, 0)))
	ctx, cancel := context.WithDeadline(ctx, run.startedAt.Add(p.Duration+finishTimeout))
	defer cancel()
	sampling, stopSampling := context.WithCancel(ctx)
	var sampler, callers sync.WaitGroup
	sampler.Go(func() { run.sampleIdle(sampling, targets[0]) })
	inFlight := make(chan struct{}, maxInFlight)
	for i, request := range requests {
		if !sleepUntil(ctx, run.startedAt.Add(request.SendAfter)) {
			break
		}
		inFlight <- struct{}{}
		callers.Go(func() {
			defer func() { <-inFlight }()
			run.call(ctx, i, request, targets[i%len(targets)])
		})
	}
	callers.Wait()
	stopSampling()
	sampler.Wait()
	run.endedAt = time.Now()
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
	r := record{request: request, sentAt: time.Now()}
	if request.DeadlineAfter > 0 {
		request.Job.Deadline = r.sentAt.Add(request.DeadlineAfter)
	}
	if request.Job.IsGang() {
		run.mu.Lock()
		run.waitingGangs[i] = request.Job.Accelerators()
		run.mu.Unlock()
	}
	v, err := target.Submit(ctx, request.Job)
	for err == nil && v.Outcome == nil && ctx.Err() == nil {
		if v.Phase == job.PhaseRunning {
			run.markStarted(i)
		}
		// The wait is short so that the start of a gang is noticed early.
		wait, cancel := context.WithTimeout(ctx, 2*sampleInterval)
		v, _, err = target.Wait(wait, v.ID)
		cancel()
	}
	r.endedAt = time.Now()
	run.markStarted(i)
	r.err, r.kind = err, outcome.KindOf(v.Outcome)
	if notRun, ok := v.Outcome.(outcome.NotRun); ok {
		r.rule = notRun.Rule
	}
	if r.kind == outcome.KindAnswer {
		r.startDelay = v.StartedAt.Sub(r.sentAt)
		r.wrongAnswer = !run.answerIsRight(ctx, target, v.ID, request)
	}
	run.mu.Lock()
	run.records = append(run.records, r)
	run.mu.Unlock()
}

func (run *Run) markStarted(i int) {
	run.mu.Lock()
	delete(run.waitingGangs, i)
	run.mu.Unlock()
}

func (run *Run) answerIsRight(ctx context.Context, target Target, id string, request Request) bool {
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

// sampleIdle updates idleAcceleratorSeconds and totalAcceleratorSeconds at each
// sampleInterval until ctx ends.
func (run *Run) sampleIdle(ctx context.Context, target Target) {
	ticker := time.NewTicker(sampleInterval)
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
		run.totalAcceleratorSeconds += float64(all) * sampleInterval.Seconds()
		for _, need := range run.waitingGangs {
			if need <= free {
				run.idleAcceleratorSeconds += float64(free) * sampleInterval.Seconds()
				break
			}
		}
		run.mu.Unlock()
	}
}
