package entryd

import (
	"bytes"
	"context"
	"fmt"
	"slices"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"celerypoint.example/celerypoint/agentd"
	"celerypoint.example/celerypoint/configfold"
	"celerypoint.example/celerypoint/job"
	"celerypoint.example/celerypoint/org"
	"celerypoint.example/celerypoint/outcome"
	"celerypoint.example/celerypoint/shape"
	"celerypoint.example/celerypoint/standinlog"
	"celerypoint.example/celerypoint/standinruntime"
	"celerypoint.example/celerypoint/timeline"
	"celerypoint.example/celerypoint/vm"
)

const testTimeout = 20 * time.Second

// system is a log, entries and agents in one process, over real sockets.
type system struct {
	t       *testing.T
	log     *standinlog.Log
	entries []*Daemon
	agents  []*agentd.Daemon
}

func start(t *testing.T, entries, agents int) *system {
	t.Helper()
	l, err := standinlog.New("127.0.0.1:0")
	qt.Assert(t, err, qt.IsNil)
	t.Cleanup(l.Close)
	s := &system{t: t, log: l}
	t.Cleanup(func() {
		if t.Failed() {
			s.events()
		}
	})
	for i := range entries {
		s.addEntry(fmt.Sprintf("e%d", i+1))
	}
	for i := range agents {
		s.addAgent(fmt.Sprintf("v%d", i+1), fmt.Sprintf("r%d", i/3+1))
	}
	s.waitFor("every entry sees every VM and every entry", func() bool {
		for _, e := range s.entries {
			if ready, _ := e.Ready(); !ready || len(e.views()) != agents || len(e.knownEntries()) != entries {
				return false
			}
		}
		return true
	})
	return s
}

func (s *system) addEntry(id string) *Daemon {
	s.t.Helper()
	c := DefaultConfig()
	c.ID, c.Zone, c.Region, c.RPCAddress, c.LogURL = id, "a", "north", "127.0.0.1:0", s.log.URL()
	d, err := New(c)
	qt.Assert(s.t, err, qt.IsNil)
	s.t.Cleanup(d.Kill)
	s.entries = append(s.entries, d)
	return d
}

func (s *system) addAgent(id, rack string) *agentd.Daemon {
	s.t.Helper()
	r, err := standinruntime.New(standinruntime.Config{Listen: "127.0.0.1:0", VM: id, Accelerators: 8})
	qt.Assert(s.t, err, qt.IsNil)
	s.t.Cleanup(r.Close)
	var addresses []string
	for _, e := range s.entries {
		addresses = append(addresses, e.RPCAddress())
	}
	a, err := agentd.New(agentd.Config{
		VM:         vm.VM{ID: id, Zone: "a", Rack: rack, Region: "north", Accelerators: 8, Slots: 8, Connections: 64},
		AnnounceTo: addresses, RuntimeURL: "http://" + r.Address(),
	})
	qt.Assert(s.t, err, qt.IsNil)
	s.t.Cleanup(a.Kill)
	s.agents = append(s.agents, a)
	return a
}

func (s *system) waitFor(what string, f func() bool) {
	s.t.Helper()
	deadline := time.Now().Add(testTimeout)
	for !f() {
		if time.Now().After(deadline) {
			s.t.Fatalf("timeout: %s", what)
		}
		time.Sleep(20 * time.Millisecond)
	}
}

func (s *system) context() context.Context {
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	s.t.Cleanup(cancel)
	return ctx
}

func (s *system) putOrg(name string, guarantee shape.Shape) {
	s.t.Helper()
	r := configfold.Record{Change: configfold.PutOrg{Org: org.Org{Name: name, Guarantee: guarantee}}}
	result, err := s.entries[0].Change(s.context(), r)
	qt.Assert(s.t, err, qt.IsNil)
	_, ok := result.(configfold.Accepted)
	qt.Assert(s.t, ok, qt.IsTrue, qt.Commentf("%#v", result))
	s.waitFor("organisation "+name+" is known everywhere", func() bool {
		for _, e := range s.entries {
			state, _ := e.Config(s.context())
			if _, ok := state.Orgs[name]; !ok {
				return false
			}
		}
		return true
	})
}

// events prints what every process saw, for a failing test.
func (s *system) events() {
	var lists [][]timeline.Event
	for _, e := range s.entries {
		events, _ := e.ring.Since(1, eventsMax)
		lists = append(lists, events)
	}
	for _, a := range s.agents {
		events, _ := a.Ring().Since(1, eventsMax)
		lists = append(lists, events)
	}
	all := slices.Concat(lists...)
	slices.SortFunc(all, func(a, b timeline.Event) int { return a.At.Compare(b.At) })
	for _, e := range all {
		s.t.Logf("%s %s %s job=%s vm=%s %s", e.At.Format("05.000"), e.Process, e.Kind, e.Job, e.VM, e.Detail)
	}
}

// run submits a job to one entry, waits for it at another, and returns the end
// and the whole answer.
func (s *system) run(j job.Job, at, wait int) (job.View, []byte) {
	s.t.Helper()
	v, err := s.entries[at].Submit(s.context(), j)
	qt.Assert(s.t, err, qt.IsNil)
	if outcome.KindOf(v.Outcome) == outcome.KindNotRun {
		return v, nil
	}
	v = s.wait(v.ID, wait)
	if _, ok := v.Outcome.(outcome.Answer); !ok {
		return v, nil
	}
	body, _, err := s.entries[wait].Answer(s.context(), v.ID)
	qt.Assert(s.t, err, qt.IsNil)
	return v, body
}

func (s *system) wait(id string, at int) job.View {
	s.t.Helper()
	var v job.View
	s.waitFor("job "+id+" ends", func() bool {
		var ok bool
		var err error
		v, ok, err = s.entries[at].Wait(s.context(), id)
		qt.Assert(s.t, err, qt.IsNil)
		return ok && v.Outcome != nil
	})
	return v
}

func gangJob(org string, tasks, accelerators int, payload string) job.Job {
	return job.Job{
		Org: org, Tasks: tasks, AcceleratorsPerTask: accelerators, Adjacency: shape.AdjacencyZone, Urgency: job.UrgencyNormal,
		Idempotent: true, Payload: []byte(payload),
	}
}

func wantAnswer(payload string, tasks int) []byte {
	var want []byte
	for rank := range tasks {
		want = append(want, standinruntime.Answer([]byte(payload), rank)...)
	}
	return want
}

// TestGangAndUrgent guards against the whole path being broken anywhere: a gang
// over two VMs, with a large answer, and an urgent request beside it, each
// awaited at another entry than it was submitted to.
func TestGangAndUrgent(t *testing.T) {
	s := start(t, 2, 3)
	s.putOrg("paint", shape.Shape{VMs: 1, AcceleratorsPerVM: 8})
	const payload = `{"runMs":500,"answerBytes":100000,"seed":7}`
	done := make(chan job.View, 1)
	v, err := s.entries[0].Submit(s.context(), gangJob("paint", 2, 8, payload))
	qt.Assert(t, err, qt.IsNil)
	go func() { done <- s.wait(v.ID, 1) }()
	urgent := job.Job{Org: "paint", Tasks: 1, AcceleratorsPerTask: 1, Urgency: job.UrgencyUrgent, Idempotent: true, Payload: []byte(`{"runMs":10,"echo":"red 4012"}`)}
	end, body := s.run(urgent, 1, 0)
	qt.Assert(t, end.Outcome, qt.Not(qt.IsNil))
	qt.Assert(t, string(body), qt.Equals, "red 4012", qt.Commentf("%#v", end.Outcome))
	end = <-done
	qt.Assert(t, outcome.KindOf(end.Outcome), qt.Equals, outcome.KindAnswer, qt.Commentf("%#v", end.Outcome))
	body, _, err = s.entries[1].Answer(s.context(), v.ID)
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, bytes.Equal(body, wantAnswer(payload, 2)), qt.IsTrue)
	s.waitFor("nothing stays reserved", func() bool {
		for _, a := range s.agents {
			if len(a.Holdings()) > 0 {
				return false
			}
		}
		return true
	})
}

// TestIdempotencyKey guards against one non-idempotent request running twice
// when it is sent to two entries.
func TestIdempotencyKey(t *testing.T) {
	s := start(t, 2, 2)
	s.putOrg("paint", shape.Shape{})
	order := job.Job{Org: "paint", Tasks: 1, AcceleratorsPerTask: 1, Urgency: job.UrgencyNormal, IdempotencyKey: "batch 7", Payload: []byte(`{"runMs":50,"echo":"ordered"}`)}
	first, body := s.run(order, 0, 0)
	qt.Assert(t, string(body), qt.Equals, "ordered", qt.Commentf("%#v", first.Outcome))
	second, body := s.run(order, 1, 1)
	qt.Assert(t, second.ID, qt.Equals, first.ID)
	qt.Assert(t, string(body), qt.Equals, "ordered")
}

// TestPlannerKilled guards against a running gang being lost or run twice when
// the planner dies.
func TestPlannerKilled(t *testing.T) {
	s := start(t, 3, 2)
	s.putOrg("paint", shape.Shape{})
	const payload = `{"runMs":4000,"answerBytes":1000,"seed":3}`
	planner := s.entries[0].planner(time.Now())
	other := 0
	for i, e := range s.entries {
		if e.c.ID != planner {
			other = i
		}
	}
	v, err := s.entries[other].Submit(s.context(), gangJob("paint", 2, 8, payload))
	qt.Assert(t, err, qt.IsNil)
	s.waitFor("the gang runs", func() bool { return len(s.agents[0].Holdings()) > 0 && s.agents[0].Holdings()[0].Running })
	for _, e := range s.entries {
		if e.c.ID == planner {
			e.Kill()
		}
	}
	end := s.wait(v.ID, other)
	qt.Assert(t, outcome.KindOf(end.Outcome), qt.Equals, outcome.KindAnswer, qt.Commentf("%#v", end.Outcome))
	s.entries[other].jobs.mu.Lock()
	commits := s.entries[other].jobs.fold.Jobs[v.ID].Commits
	s.entries[other].jobs.mu.Unlock()
	qt.Assert(t, commits, qt.Equals, 1)
}
