// Package demo demonstrates an installation in one process on free loopback
// ports: a stand-in log, two entries, and three VMs with an agent and a stand-in
// runtime each. It submits jobs over HTTP as callers do and compares every answer
// byte by byte. It owns the parts that it starts and stops them in reverse order.
package demo

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math"
	"slices"
	"strings"
	"sync"
	"text/tabwriter"
	"time"

	"github.com/sirupsen/logrus"

	"celerypoint.example/celerypoint/agentd"
	"celerypoint.example/celerypoint/entryd"
	"celerypoint.example/celerypoint/entryhttp"
	"celerypoint.example/celerypoint/frontend"
	"celerypoint.example/celerypoint/standinlog"
	"celerypoint.example/celerypoint/standinruntime"
	"celerypoint.example/celerypoint/timeline"
	"celerypoint.example/celerypoint/vm"
	"celerypoint.example/celerypoint/wire"
)

// Report counts the jobs by their results. CorrectAnswers counts the answers that
// equal the expected ones.
type Report struct {
	JobsSubmitted   int     `json:"jobsAsked"`
	CorrectAnswers  int     `json:"wholeAnswers"`
	Refusals        int     `json:"refusals"`
	UnknownOutcomes int     `json:"unknownOutcomes"`
	Seconds         float64 `json:"seconds"`
}

const (
	loopback = "127.0.0.1:0"
	// readyTimeout bounds the start. It is long enough for a busy machine.
	readyTimeout = 30 * time.Second
	// jobTimeout bounds the wait for one job.
	jobTimeout = 30 * time.Second
	// stopTimeout bounds each graceful stop.
	stopTimeout = 15 * time.Second
	// seed makes the answers of the jobs and the agents' reconnect jitter
	// repeatable.
	seed = 7
	vms  = 3
	// accelerators is the number of accelerators on each VM.
	accelerators = 8
)

// installation holds the parts that the demonstration runs.
type installation struct {
	frontends  []*frontend.Frontend
	eventRings []*timeline.Ring
	// closers stop the parts; the part that was started last is stopped first.
	closers []func()
}

// close stops every part. The agents stop while the entries still run.
func (in *installation) close() {
	for _, f := range slices.Backward(in.closers) {
		f()
	}
}

// start starts every part. The caller closes the installation even after an
// error.
func (in *installation) start() error {
	log, err := standinlog.New(loopback)
	if err != nil {
		return err
	}
	in.closers = append(in.closers, log.Close)
	var seeds []string
	for _, id := range []string{"entry-a", "entry-b"} {
		c := entryd.DefaultConfig()
		c.ID, c.Zone, c.Region = id, strings.Replace(id, "entry", "zone", 1), "region-1"
		c.RPCAddress, c.HTTPAddress, c.Seeds, c.LogURL = loopback, loopback, seeds, log.URL()
		d, err := entryd.New(c)
		if err != nil {
			return err
		}
		f, err := frontend.New(c.HTTPAddress, d)
		if err != nil {
			d.Kill()
			return err
		}
		in.frontends = append(in.frontends, f)
		in.eventRings = append(in.eventRings, d.Ring())
		in.closers = append(in.closers, func() {
			ctx, cancel := context.WithTimeout(context.Background(), stopTimeout)
			defer cancel()
			_ = f.Stop(ctx)
		})
		seeds = append(seeds, d.RPCAddress())
	}
	quiet := logrus.New()
	quiet.SetOutput(io.Discard)
	for i := range vms {
		id := fmt.Sprintf("worker-%d", i+1)
		runtime, err := standinruntime.New(standinruntime.Config{Listen: loopback, VM: id, Accelerators: accelerators})
		if err != nil {
			return err
		}
		in.closers = append(in.closers, runtime.Close)
		a, err := agentd.New(agentd.Config{
			VM: vm.VM{
				ID: id, Zone: "zone-a", Rack: "rack-1", Region: "region-1",
				Accelerators: accelerators, Slots: 16, CPUs: 32, MemoryMB: 128 << 10,
			},
			AnnounceTo: seeds, RuntimeURL: "http://" + runtime.Address(), AnnounceInterval: 250 * time.Millisecond, Seed: seed,
		}, agentd.WithLogger(quiet))
		if err != nil {
			return err
		}
		in.eventRings = append(in.eventRings, a.Ring())
		in.closers = append(in.closers, func() {
			ctx, cancel := context.WithTimeout(context.Background(), stopTimeout)
			defer cancel()
			_ = a.Stop(ctx)
		})
	}
	return nil
}

// Run runs the demonstration, describes it on out, and returns an error if a job
// had another result than expected.
func Run(ctx context.Context, out io.Writer) (Report, error) {
	var r Report
	started := time.Now()
	var in installation
	defer in.close()
	if err := in.start(); err != nil {
		return r, fmt.Errorf("demo: start: %w", err)
	}
	s := &demoRun{out: out, report: &r, anyEntry: entryhttp.New(in.frontends[0].Address(), in.frontends[1].Address()), secondEntry: entryhttp.New(in.frontends[1].Address())}
	defer s.anyEntry.Close()
	defer s.secondEntry.Close()
	fmt.Fprintf(out, "two entries at %s and %s, three VMs with 8 accelerators each, seed %d\n", in.frontends[0].Address(), in.frontends[1].Address(), seed)
	err := s.runScenes(ctx, &in)
	r.Seconds = time.Since(started).Seconds()
	return r, err
}

// demoRun is the state of one run of the demonstration.
type demoRun struct {
	out    io.Writer
	report *Report
	// anyEntry sends requests to entry-a, or to entry-b if entry-a cannot be
	// reached or is stopping. secondEntry sends them only to entry-b, which
	// checkGracefulStop stops.
	anyEntry, secondEntry *entryhttp.Client

	// mu guards out and report while jobs are submitted concurrently.
	mu sync.Mutex
}

func (s *demoRun) printf(format string, values ...any) {
	s.mu.Lock()
	defer s.mu.Unlock()
	fmt.Fprintf(s.out, format+"\n", values...)
}

func (s *demoRun) updateReport(f func(*Report)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	f(s.report)
}

func (s *demoRun) runScenes(ctx context.Context, in *installation) error {
	if err := s.awaitReady(ctx); err != nil {
		return fmt.Errorf("demo: not ready: %w", err)
	}
	for _, o := range []wire.Org{
		{Name: "cairn", Guarantee: wire.Shape{VMs: 2, AcceleratorsPerVM: accelerators, Adjacency: "rack"}},
		{Name: "stylus", Guarantee: wire.Shape{VMs: 1, AcceleratorsPerVM: accelerators, Adjacency: "vm"}},
	} {
		accepted, err := s.anyEntry.Change(ctx, wire.ConfigChange{Kind: wire.ConfigKindPutOrg, Object: "org/" + o.Name, Org: &o})
		if err != nil {
			return fmt.Errorf("demo: organisation %s: %w", o.Name, err)
		}
		s.printf("organisation %s: guaranteed %d VMs with %d accelerators each, version %d", o.Name, o.Guarantee.VMs, o.Guarantee.AcceleratorsPerVM, accepted.Version)
	}
	results := make(chan error, 2)
	go func() {
		results <- s.submitAndCheck(ctx, s.anyEntry, "gang of 16 accelerators", wire.SubmitRequest{
			Org: "cairn", Tasks: 16, AcceleratorsPerTask: 1, Adjacency: "rack", Idempotent: true,
		}, wire.StandinPayload{RunMs: 1500, AnswerBytes: 20_000, Seed: seed})
	}()
	go func() {
		results <- s.submitAndCheck(ctx, s.anyEntry, "urgent request", wire.SubmitRequest{
			Org: "stylus", AcceleratorsPerTask: 1, Urgency: "urgent", Idempotent: true,
		}, wire.StandinPayload{RunMs: 50, AnswerBytes: 1000, Seed: seed + 1})
	}()
	if err := errors.Join(<-results, <-results); err != nil {
		return err
	}
	if err := s.checkRefusal(ctx); err != nil {
		return err
	}
	if err := s.checkGracefulStop(ctx, in.frontends[1]); err != nil {
		return err
	}
	return in.printTimeline(s.out)
}

// awaitReady waits until both entries know every VM and each other.
func (s *demoRun) awaitReady(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, readyTimeout)
	defer cancel()
	for {
		last := "no status yet"
		ready := 0
		for _, c := range []*entryhttp.Client{s.anyEntry, s.secondEntry} {
			v, err := c.Status(ctx)
			if err != nil {
				last = err.Error()
			} else if last = fmt.Sprintf("entry %s sees %d of %d VMs and %d entries", v.Entry, len(v.VMs), vms, len(v.Entries)); len(v.VMs) == vms && len(v.Entries) == 2 {
				ready++
			}
		}
		if ready == 2 {
			return nil
		}
		select {
		case <-time.After(50 * time.Millisecond):
		case <-ctx.Done():
			return fmt.Errorf("%s: %w", last, ctx.Err())
		}
	}
}

// submitAndCheck submits a job, waits for it and compares its answer with the
// one that the payload determines.
func (s *demoRun) submitAndCheck(ctx context.Context, c *entryhttp.Client, name string, r wire.SubmitRequest, p wire.StandinPayload) error {
	payload, err := json.Marshal(p)
	if err != nil {
		return fmt.Errorf("demo: %s: %w", name, err)
	}
	r.Payload = string(payload)
	s.updateReport(func(r *Report) { r.JobsSubmitted++ })
	started := time.Now()
	v, err := c.Submit(ctx, r, jobTimeout)
	if err != nil {
		return fmt.Errorf("demo: %s: %w", name, err)
	}
	switch {
	case v.Outcome == nil:
		return fmt.Errorf("demo: %s: job %s has not ended after %s, waiting for %q", name, v.ID, jobTimeout, v.WaitsFor)
	case v.Outcome.Kind == wire.OutcomeKindUnknown:
		s.updateReport(func(r *Report) { r.UnknownOutcomes++ })
		fallthrough
	case v.Outcome.Kind != wire.OutcomeKindAnswer:
		return fmt.Errorf("demo: %s: job %s ended with %s: %s", name, v.ID, v.Outcome.Kind, v.Outcome.Reason)
	}
	body, err := s.anyEntry.Answer(ctx, v)
	if err != nil {
		return fmt.Errorf("demo: %s: %w", name, err)
	}
	var want []byte
	for rank := range max(1, r.Tasks) {
		want = append(want, standinruntime.Answer(payload, rank)...)
	}
	if !bytes.Equal(body, want) {
		return fmt.Errorf("demo: %s: the answer of %d bytes differs from the %d bytes that the payload determines", name, len(body), len(want))
	}
	s.updateReport(func(r *Report) { r.CorrectAnswers++ })
	s.printf("%s: correct answer of %d bytes, checksum %s, from %s after %d ms", name, len(body), v.Outcome.Checksum, strings.Join(v.VMs, ", "), time.Since(started).Milliseconds())
	return nil
}

// checkRefusal submits a job that needs more accelerators than the installation
// has, and checks that it is refused.
func (s *demoRun) checkRefusal(ctx context.Context) error {
	s.updateReport(func(r *Report) { r.JobsSubmitted++ })
	_, err := s.anyEntry.Submit(ctx, wire.SubmitRequest{Org: "cairn", Tasks: 4, AcceleratorsPerTask: accelerators, Idempotent: true}, 0)
	var refusal *entryhttp.Error
	if !errors.As(err, &refusal) || refusal.Rule == "" {
		return fmt.Errorf("demo: job for 32 accelerators on VMs with 24: found %v, allowed: a refusal that names its rule", err)
	}
	s.updateReport(func(r *Report) { r.Refusals++ })
	s.printf("job for 32 accelerators on VMs with 24: %v", refusal)
	return nil
}

// checkGracefulStop stops entry-b while a caller waits for an answer from it, and
// checks that the caller gets the answer.
func (s *demoRun) checkGracefulStop(ctx context.Context, f *frontend.Frontend) error {
	answered := make(chan error, 1)
	go func() {
		answered <- s.submitAndCheck(ctx, s.secondEntry, "request at the entry that stops", wire.SubmitRequest{
			Org: "stylus", AcceleratorsPerTask: 1, Urgency: "urgent", Idempotent: true,
		}, wire.StandinPayload{RunMs: 1500, AnswerBytes: 3000, Seed: seed + 2})
	}()
	if err := s.awaitRunning(ctx, "stylus"); err != nil {
		return err
	}
	stopping, cancel := context.WithTimeout(ctx, stopTimeout)
	defer cancel()
	if err := f.Stop(stopping); err != nil {
		return fmt.Errorf("demo: graceful stop of entry-b: %w", err)
	}
	s.printf("entry-b has stopped gracefully")
	return <-answered
}

// awaitRunning waits until a task of the organisation runs.
func (s *demoRun) awaitRunning(ctx context.Context, org string) error {
	ctx, cancel := context.WithTimeout(ctx, jobTimeout)
	defer cancel()
	for {
		v, err := s.anyEntry.Status(ctx)
		if err != nil {
			return fmt.Errorf("demo: status: %w", err)
		}
		for _, o := range v.Orgs {
			if o.Name == org && o.Used > 0 {
				return nil
			}
		}
		select {
		case <-time.After(20 * time.Millisecond):
		case <-ctx.Done():
			return fmt.Errorf("demo: no task of %s runs: %w", org, ctx.Err())
		}
	}
}

// printTimeline prints the events of all entries and agents, merged into one
// list. It includes the events of entry-b, which checkGracefulStop has stopped.
func (in *installation) printTimeline(out io.Writer) error {
	var lists [][]timeline.Event
	for _, r := range in.eventRings {
		events, _ := r.Since(1, math.MaxInt)
		lists = append(lists, events)
	}
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	for _, e := range timeline.Merge(lists, timeline.Filter{}) {
		fmt.Fprintf(w, "%s\t%s\t%s\t%s\t%s\t%s\n", e.At.UTC().Format("15:04:05.000"), e.Process, e.Kind, e.VM, e.Job, e.Detail)
	}
	return w.Flush()
}
