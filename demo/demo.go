// Package demo runs an installation in one process on free loopback ports: a
// stand-in log, two entries, and three VMs with an agent and a stand-in runtime
// each. It submits jobs over HTTP as callers do and checks every answer byte by
// byte. It owns the parts that it starts and stops them in reverse order.
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

// Report counts what became of the jobs.
type Report struct {
	JobsSubmitted   int     `json:"jobsAsked"`
	CorrectAnswers  int     `json:"wholeAnswers"`
	Refusals        int     `json:"refusals"`
	UnknownOutcomes int     `json:"unknownOutcomes"`
	Seconds         float64 `json:"seconds"`
}

const (
	local = "127.0.0.1:0"
	// readyTimeout bounds the start on a busy machine.
	readyTimeout = 30 * time.Second
	// jobTimeout bounds the wait for one job.
	jobTimeout = 30 * time.Second
	// stopTimeout bounds each graceful stop.
	stopTimeout = 15 * time.Second
	// seed makes the answers of the jobs repeatable.
	seed = 7
	vms  = 3
	// accelerators is the number on each VM.
	accelerators = 8
)

// installation is what the demonstration runs.
type installation struct {
	fronts []*frontend.Frontend
	rings  []*timeline.Ring
	// closers end the parts in reverse order.
	closers []func()
}

// close ends every part; agents stop while the entries still run.
func (in *installation) close() {
	for _, f := range slices.Backward(in.closers) {
		f()
	}
}

// start starts every part. The caller closes the installation in any case.
func (in *installation) start() error {
	log, err := standinlog.New(local)
	if err != nil {
		return err
	}
	in.closers = append(in.closers, log.Close)
	var seeds []string
	for _, id := range []string{"entry-a", "entry-b"} {
		c := entryd.DefaultConfig()
		c.ID, c.Zone, c.Region = id, strings.Replace(id, "entry", "zone", 1), "region-1"
		c.RPCAddress, c.HTTPAddress, c.Seeds, c.LogURL = local, local, seeds, log.URL()
		d, err := entryd.New(c)
		if err != nil {
			return err
		}
		f, err := frontend.New(c.HTTPAddress, d)
		if err != nil {
			d.Kill()
			return err
		}
		in.fronts = append(in.fronts, f)
		in.rings = append(in.rings, d.Ring())
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
		runtime, err := standinruntime.New(standinruntime.Config{Listen: local, VM: id, Accelerators: accelerators})
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
		in.rings = append(in.rings, a.Ring())
		in.closers = append(in.closers, func() {
			ctx, cancel := context.WithTimeout(context.Background(), stopTimeout)
			defer cancel()
			_ = a.Stop(ctx)
		})
	}
	return nil
}

// Run runs the demonstration, writes what happens to out, and returns an error
// when anything but the expected came back.
func Run(ctx context.Context, out io.Writer) (Report, error) {
	var r Report
	started := time.Now()
	var in installation
	defer in.close()
	if err := in.start(); err != nil {
		return r, fmt.Errorf("demo: start: %w", err)
	}
	s := &scene{out: out, report: &r, both: entryhttp.New(in.fronts[0].Address(), in.fronts[1].Address()), second: entryhttp.New(in.fronts[1].Address())}
	defer s.both.Close()
	defer s.second.Close()
	fmt.Fprintf(out, "two entries at %s and %s, three VMs with 8 accelerators each, seed %d\n", in.fronts[0].Address(), in.fronts[1].Address(), seed)
	err := s.play(ctx, &in)
	r.Seconds = time.Since(started).Seconds()
	return r, err
}

// scene is the state of a run.
type scene struct {
	out    io.Writer
	report *Report
	// both speaks to the first entry that takes a request, second to the entry
	// that is stopped.
	both, second *entryhttp.Client

	// mu guards out and report, which concurrent callers write.
	mu sync.Mutex
}

func (s *scene) say(format string, values ...any) {
	s.mu.Lock()
	defer s.mu.Unlock()
	fmt.Fprintf(s.out, format+"\n", values...)
}

func (s *scene) count(f func(*Report)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	f(s.report)
}

func (s *scene) play(ctx context.Context, in *installation) error {
	if err := s.ready(ctx); err != nil {
		return fmt.Errorf("demo: not ready: %w", err)
	}
	for _, o := range []wire.Org{
		{Name: "cairn", Guarantee: wire.Shape{VMs: 2, AcceleratorsPerVM: accelerators, Adjacency: "rack"}},
		{Name: "stylus", Guarantee: wire.Shape{VMs: 1, AcceleratorsPerVM: accelerators, Adjacency: "vm"}},
	} {
		accepted, err := s.both.Change(ctx, wire.ConfigChange{Kind: wire.ConfigKindPutOrg, Object: "org/" + o.Name, Org: &o})
		if err != nil {
			return fmt.Errorf("demo: organisation %s: %w", o.Name, err)
		}
		s.say("organisation %s: owed %d VMs with %d accelerators each, version %d", o.Name, o.Guarantee.VMs, o.Guarantee.AcceleratorsPerVM, accepted.Version)
	}
	results := make(chan error, 2)
	go func() {
		results <- s.ask(ctx, s.both, "gang of 16 accelerators", wire.SubmitRequest{
			Org: "cairn", Tasks: 16, AcceleratorsPerTask: 1, Adjacency: "rack", Idempotent: true,
		}, wire.StandinPayload{RunMs: 1500, AnswerBytes: 20_000, Seed: seed})
	}()
	go func() {
		results <- s.ask(ctx, s.both, "urgent request", wire.SubmitRequest{
			Org: "stylus", AcceleratorsPerTask: 1, Urgency: "urgent", Idempotent: true,
		}, wire.StandinPayload{RunMs: 50, AnswerBytes: 1000, Seed: seed + 1})
	}()
	if err := errors.Join(<-results, <-results); err != nil {
		return err
	}
	if err := s.refused(ctx); err != nil {
		return err
	}
	if err := s.stopEntry(ctx, in.fronts[1]); err != nil {
		return err
	}
	return in.timeline(s.out)
}

// ready waits until the entry sees every VM.
func (s *scene) ready(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, readyTimeout)
	defer cancel()
	for {
		last := "no status yet"
		ready := 0
		for _, c := range []*entryhttp.Client{s.both, s.second} {
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

// ask submits a job, waits for it and compares its answer with the one that
// the payload determines.
func (s *scene) ask(ctx context.Context, c *entryhttp.Client, name string, r wire.SubmitRequest, p wire.StandinPayload) error {
	payload, err := json.Marshal(p)
	if err != nil {
		return fmt.Errorf("demo: %s: %w", name, err)
	}
	r.Payload = string(payload)
	s.count(func(r *Report) { r.JobsSubmitted++ })
	started := time.Now()
	v, err := c.Submit(ctx, r, jobTimeout)
	if err != nil {
		return fmt.Errorf("demo: %s: %w", name, err)
	}
	switch {
	case v.Outcome == nil:
		return fmt.Errorf("demo: %s: job %s has not ended after %s, waits for %q", name, v.ID, jobTimeout, v.WaitsFor)
	case v.Outcome.Kind == wire.OutcomeKindUnknown:
		s.count(func(r *Report) { r.UnknownOutcomes++ })
		fallthrough
	case v.Outcome.Kind != wire.OutcomeKindAnswer:
		return fmt.Errorf("demo: %s: job %s ended with %s: %s", name, v.ID, v.Outcome.Kind, v.Outcome.Reason)
	}
	body, err := s.both.Answer(ctx, v)
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
	s.count(func(r *Report) { r.CorrectAnswers++ })
	s.say("%s: whole answer of %d bytes, checksum %s, from %s after %d ms", name, len(body), v.Outcome.Checksum, strings.Join(v.VMs, ", "), time.Since(started).Milliseconds())
	return nil
}

// refused asks for more than there is.
func (s *scene) refused(ctx context.Context) error {
	s.count(func(r *Report) { r.JobsSubmitted++ })
	_, err := s.both.Submit(ctx, wire.SubmitRequest{Org: "cairn", Tasks: 4, AcceleratorsPerTask: accelerators, Idempotent: true}, 0)
	var refusal *entryhttp.Error
	if !errors.As(err, &refusal) || refusal.Rule == "" {
		return fmt.Errorf("demo: a job of 32 accelerators on 24: found %v, wanted: a refusal that names its rule", err)
	}
	s.count(func(r *Report) { r.Refusals++ })
	s.say("a job of 32 accelerators on 24: %v", refusal)
	return nil
}

// stopEntry stops an entry while a caller waits at it for an answer.
func (s *scene) stopEntry(ctx context.Context, f *frontend.Frontend) error {
	answered := make(chan error, 1)
	go func() {
		answered <- s.ask(ctx, s.second, "request at the entry that stops", wire.SubmitRequest{
			Org: "stylus", AcceleratorsPerTask: 1, Urgency: "urgent", Idempotent: true,
		}, wire.StandinPayload{RunMs: 1500, AnswerBytes: 3000, Seed: seed + 2})
	}()
	if err := s.running(ctx, "stylus"); err != nil {
		return err
	}
	stopping, cancel := context.WithTimeout(ctx, stopTimeout)
	defer cancel()
	if err := f.Stop(stopping); err != nil {
		return fmt.Errorf("demo: graceful stop of entry-b: %w", err)
	}
	s.say("entry-b has stopped gracefully")
	return <-answered
}

// running waits until a task of the organisation runs.
func (s *scene) running(ctx context.Context, org string) error {
	ctx, cancel := context.WithTimeout(ctx, jobTimeout)
	defer cancel()
	for {
		v, err := s.both.Status(ctx)
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

// timeline prints the events of every process, also of the one that has
// stopped, in one order.
func (in *installation) timeline(out io.Writer) error {
	var lists [][]timeline.Event
	for _, r := range in.rings {
		events, _ := r.Since(1, math.MaxInt)
		lists = append(lists, events)
	}
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	for _, e := range timeline.Merge(lists, timeline.Filter{}) {
		fmt.Fprintf(w, "%s\t%s\t%s\t%s\t%s\t%s\n", e.At.UTC().Format("15:04:05.000"), e.Process, e.Kind, e.VM, e.Job, e.Detail)
	}
	return w.Flush()
}
