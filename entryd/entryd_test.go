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
	"celerypoint.example/celerypoint/rpc"
	"celerypoint.example/celerypoint/shape"
	"celerypoint.example/celerypoint/standinlog"
	"celerypoint.example/celerypoint/standinruntime"
	"celerypoint.example/celerypoint/timeline"
	"celerypoint.example/celerypoint/vm"
	"celerypoint.example/celerypoint/wire"
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
	t.Parallel()
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

func (s *system) plannerAndOther() (planner, other *Daemon) {
	s.t.Helper()
	name := s.entries[0].planner(time.Now())
	for _, e := range s.entries {
		if e.c.ID == name {
			planner = e
		} else {
			other = e
		}
	}
	return planner, other
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

// TestCancel guards against a cancelled job holding accelerators, and against
// "not run" being said of one that had started.
func TestCancel(t *testing.T) {
	s := start(t, 2, 1)
	s.putOrg("paint", shape.Shape{})
	first, err := s.entries[0].Submit(s.context(), gangJob("paint", 2, 4, `{"runMs":60000}`))
	qt.Assert(t, err, qt.IsNil)
	s.waitFor("the gang runs", func() bool { return len(s.agents[0].Holdings()) > 0 && s.agents[0].Holdings()[0].Running })
	second, err := s.entries[0].Submit(s.context(), gangJob("paint", 2, 4, `{"runMs":60000}`))
	qt.Assert(t, err, qt.IsNil)
	_, _, err = s.entries[1].Cancel(s.context(), second.ID)
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, s.wait(second.ID, 0).Outcome, qt.Equals, outcome.Outcome(outcome.NotRun{Rule: "cancelledBeforeStart", Reason: "the caller cancelled the job while it waited"}))
	_, _, err = s.entries[1].Cancel(s.context(), first.ID)
	qt.Assert(t, err, qt.IsNil)
	failed, ok := s.wait(first.ID, 0).Outcome.(outcome.Failed)
	qt.Assert(t, ok && failed.Cancelled, qt.IsTrue)
	s.waitFor("nothing stays reserved", func() bool { return len(s.agents[0].Holdings()) == 0 })
}

// TestLogDown guards against an outage of the log stopping short requests or
// running gangs, and against a refusal that is not true.
func TestLogDown(t *testing.T) {
	s := start(t, 2, 2)
	s.putOrg("paint", shape.Shape{})
	const payload = `{"runMs":6000,"answerBytes":100,"seed":1}`
	v, err := s.entries[0].Submit(s.context(), gangJob("paint", 2, 6, payload))
	qt.Assert(t, err, qt.IsNil)
	s.waitFor("the gang runs", func() bool { return len(s.agents[0].Holdings()) > 0 && s.agents[0].Holdings()[0].Running })
	s.log.SetFaults(wire.LogFaults{Down: true})
	refused, _ := s.run(gangJob("paint", 1, 1, `{"runMs":10}`), 0, 0)
	notRun, ok := refused.Outcome.(outcome.NotRun)
	qt.Assert(t, ok, qt.IsTrue, qt.Commentf("%#v", refused.Outcome))
	qt.Assert(t, notRun.Rule, qt.Equals, "logUnavailable")
	urgent := job.Job{Org: "paint", Tasks: 1, AcceleratorsPerTask: 1, Urgency: job.UrgencyUrgent, Idempotent: true, Payload: []byte(`{"runMs":10,"echo":"ok"}`)}
	_, body := s.run(urgent, 1, 1)
	qt.Assert(t, string(body), qt.Equals, "ok")
	time.Sleep(5 * time.Second)
	s.log.SetFaults(wire.LogFaults{})
	end := s.wait(v.ID, 1)
	qt.Assert(t, outcome.KindOf(end.Outcome), qt.Equals, outcome.KindAnswer, qt.Commentf("%#v", end.Outcome))
	qt.Assert(t, s.entries[0].jobs.fold.Jobs[v.ID].Commits, qt.Equals, 1)
}

// TestJobFailsEverywhere guards against a faulty job being tried for ever.
func TestJobFailsEverywhere(t *testing.T) {
	s := start(t, 1, 4)
	s.putOrg("paint", shape.Shape{})
	for _, urgency := range []job.Urgency{job.UrgencyNormal, job.UrgencyUrgent} {
		j := job.Job{Org: "paint", Tasks: 1, AcceleratorsPerTask: 1, Urgency: urgency, Idempotent: true, Payload: []byte(`{"runMs":10,"fail":"no such colour"}`)}
		end, _ := s.run(j, 0, 0)
		failed, ok := end.Outcome.(outcome.Failed)
		qt.Assert(t, ok, qt.IsTrue, qt.Commentf("%#v", end.Outcome))
		qt.Assert(t, failed.Reason, qt.Matches, "jobFailsEverywhere: .*no such colour")
	}
}

// TestGracefulStopKeepsWork guards against a planned stop of the planner losing a
// gang or a request that waits at it.
func TestGracefulStopKeepsWork(t *testing.T) {
	s := start(t, 2, 2)
	s.putOrg("paint", shape.Shape{})
	const payload = `{"runMs":5000,"answerBytes":100,"seed":9}`
	stopping, other := 0, 1
	if s.entries[1].planner(time.Now()) == s.entries[1].c.ID {
		stopping, other = 1, 0
	}
	v, err := s.entries[stopping].Submit(s.context(), gangJob("paint", 2, 6, payload))
	qt.Assert(t, err, qt.IsNil)
	s.waitFor("the gang runs", func() bool { return len(s.agents[0].Holdings()) > 0 && s.agents[0].Holdings()[0].Running })
	urgent := job.Job{Org: "paint", Tasks: 1, AcceleratorsPerTask: 1, Urgency: job.UrgencyUrgent, Idempotent: true, Payload: []byte(`{"runMs":1500,"echo":"ok"}`)}
	answers := make(chan string, 1)
	go func() {
		_, body := s.run(urgent, stopping, stopping)
		answers <- string(body)
	}()
	time.Sleep(200 * time.Millisecond)
	qt.Assert(t, s.entries[stopping].Stop(s.context()), qt.IsNil)
	qt.Assert(t, <-answers, qt.Equals, "ok")
	end := s.wait(v.ID, other)
	qt.Assert(t, outcome.KindOf(end.Outcome), qt.Equals, outcome.KindAnswer, qt.Commentf("%#v", end.Outcome))
	qt.Assert(t, s.entries[other].jobs.fold.Jobs[v.ID].Commits, qt.Equals, 1)
}

// TestReclaim guards against a borrower that ignores its checkpoint keeping an
// organisation from its guaranteed shape.
func TestReclaim(t *testing.T) {
	s := start(t, 1, 2)
	s.putOrg("owner", shape.Shape{VMs: 2, AcceleratorsPerVM: 8, Adjacency: shape.AdjacencyRack})
	s.putOrg("borrower", shape.Shape{})
	s.waitFor("the guarantee is assigned", func() bool {
		state, _ := s.entries[0].Config(s.context())
		return len(state.Assignment.Shares["owner"]) == 2
	})
	for range 4 {
		j := gangJob("borrower", 1, 4, `{"runMs":60000,"ignoreCheckpoint":true}`)
		j.Preemptible = true
		_, err := s.entries[0].Submit(s.context(), j)
		qt.Assert(t, err, qt.IsNil)
	}
	s.waitFor("the borrowers run", func() bool { return len(s.agents[0].Holdings())+len(s.agents[1].Holdings()) == 4 })
	begin := time.Now()
	end, body := s.run(gangJob("owner", 2, 8, `{"runMs":50,"echo":"mine"}`), 0, 0)
	qt.Assert(t, string(body), qt.Equals, "minemine", qt.Commentf("%#v", end.Outcome))
	qt.Assert(t, time.Since(begin) < 8*time.Second, qt.IsTrue, qt.Commentf("took %s, the reclaim deadline is 5 s", time.Since(begin)))
}

// TestPlannerKilledAfterReport guards against a job running again because its
// answer was reported to a planner that died before it recorded the end.
func TestPlannerKilledAfterReport(t *testing.T) {
	s := start(t, 3, 2)
	s.putOrg("paint", shape.Shape{})
	const payload = `{"runMs":1500,"answerBytes":1000,"seed":3}`
	planner, other := s.plannerAndOther()
	v, err := other.Submit(s.context(), gangJob("paint", 2, 8, payload))
	qt.Assert(t, err, qt.IsNil)
	s.waitFor("the gang runs", func() bool { return len(s.agents[0].Holdings()) > 0 && s.agents[0].Holdings()[0].Running })
	// The planner hears of the answers and cannot record the end.
	s.log.SetFaults(wire.LogFaults{AppendDown: true})
	s.waitFor("the gang has ended", func() bool { return len(s.agents[0].Holdings())+len(s.agents[1].Holdings()) == 0 })
	time.Sleep(300 * time.Millisecond)
	planner.Kill()
	s.log.SetFaults(wire.LogFaults{})
	s.waitFor("the job ends", func() bool {
		v, _, err := other.Wait(s.context(), v.ID)
		qt.Assert(t, err, qt.IsNil)
		return v.Outcome != nil
	})
	body, _, err := other.Answer(s.context(), v.ID)
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, bytes.Equal(body, wantAnswer(payload, 2)), qt.IsTrue)
	other.jobs.mu.Lock()
	defer other.jobs.mu.Unlock()
	qt.Assert(t, other.jobs.fold.Jobs[v.ID].Commits, qt.Equals, 1)
}

// TestVMLostUnderShortRequests guards against short requests ending as unknown
// because a VM died soon after the entry started, when the retry budget had
// earned nothing yet.
func TestVMLostUnderShortRequests(t *testing.T) {
	s := start(t, 1, 2)
	s.putOrg("paint", shape.Shape{})
	const requests = 12
	kinds := make(chan outcome.Outcome, requests)
	for range requests {
		j := job.Job{Org: "paint", Tasks: 1, AcceleratorsPerTask: 1, Urgency: job.UrgencyUrgent, Idempotent: true, Payload: []byte(`{"runMs":800,"echo":"ok"}`)}
		v, err := s.entries[0].Submit(s.context(), j)
		qt.Assert(t, err, qt.IsNil)
		go func() { kinds <- s.wait(v.ID, 0).Outcome }()
	}
	time.Sleep(300 * time.Millisecond)
	s.agents[0].Kill()
	for range requests {
		o := <-kinds
		qt.Check(t, outcome.KindOf(o), qt.Equals, outcome.KindAnswer, qt.Commentf("%#v", o))
	}
}

// TestSilentVM guards against short requests missing their deadline because
// their VM is silent and not yet lost.
func TestSilentVM(t *testing.T) {
	s := start(t, 1, 2)
	s.putOrg("paint", shape.Shape{})
	d := s.entries[0]
	// An agent that answers nothing: its orders go to a peer that ignores them.
	silent, err := rpc.New(func(*rpc.Request) {}, rpc.WithListen("127.0.0.1:0"))
	qt.Assert(t, err, qt.IsNil)
	t.Cleanup(silent.Close)
	conn, err := d.rpc.Dial(s.context(), silent.Address())
	qt.Assert(t, err, qt.IsNil)
	_, err = d.announced(conn, wire.AnnounceParams{VM: "v9", BootID: "b", Zone: "a", Rack: "r9", Region: "north", Accelerators: 8, Slots: 8, Connections: 64})
	qt.Assert(t, err, qt.IsNil)
	const requests = 12
	ends := make(chan outcome.Outcome, requests)
	for range requests {
		j := job.Job{Org: "paint", Tasks: 1, AcceleratorsPerTask: 1, Urgency: job.UrgencyUrgent, Idempotent: true, Deadline: time.Now().Add(3 * time.Second), Payload: []byte(`{"runMs":50,"echo":"ok"}`)}
		v, err := d.Submit(s.context(), j)
		qt.Assert(t, err, qt.IsNil)
		go func() { ends <- s.wait(v.ID, 0).Outcome }()
	}
	for range requests {
		o := <-ends
		qt.Check(t, outcome.KindOf(o), qt.Equals, outcome.KindAnswer, qt.Commentf("%#v", o))
	}
}

// TestStopHandsOverAnswers guards against the answer of a short job being lost
// with a planned stop of the entry that ran it.
func TestStopHandsOverAnswers(t *testing.T) {
	s := start(t, 3, 1)
	s.putOrg("paint", shape.Shape{})
	var ids []string
	for _, payload := range []string{`{"runMs":10,"echo":"ok"}`, `{"runMs":10,"answerBytes":200000,"seed":4}`} {
		j := job.Job{Org: "paint", Tasks: 1, AcceleratorsPerTask: 1, Urgency: job.UrgencyUrgent, Idempotent: true, Payload: []byte(payload)}
		v, err := s.entries[0].Submit(s.context(), j)
		qt.Assert(t, err, qt.IsNil)
		ids = append(ids, v.ID)
	}
	qt.Assert(t, s.entries[0].Stop(s.context()), qt.IsNil)
	for _, e := range s.entries[1:] {
		body, _, err := e.Answer(s.context(), ids[0])
		qt.Assert(t, err, qt.IsNil)
		qt.Assert(t, string(body), qt.Equals, "ok")
		body, _, err = e.Answer(s.context(), ids[1])
		qt.Assert(t, err, qt.IsNil)
		qt.Assert(t, bytes.Equal(body, wantAnswer(`{"runMs":10,"answerBytes":200000,"seed":4}`, 1)), qt.IsTrue)
	}
}

// TestChangeKeepsPlanner guards against the planner changing, and voiding the
// commits in progress, whenever a configuration change reaches another entry a
// moment earlier.
func TestChangeKeepsPlanner(t *testing.T) {
	s := start(t, 1, 1)
	d := s.entries[0]
	d.updatePeer(nil, wire.PeerHello{ID: "e9", Address: "127.0.0.1:1", Region: "south", ConfigOffset: 1 << 30}, false)
	ready, reason := d.Ready()
	qt.Assert(t, ready, qt.IsFalse)
	qt.Assert(t, reason, qt.Matches, "configuration at offset .*")
	qt.Assert(t, d.planner(time.Now()), qt.Equals, d.c.ID)
}
