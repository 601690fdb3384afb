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

// cluster runs a stand-in log service, entries and agents in one process. They
// communicate over real sockets.
type cluster struct {
	t       *testing.T
	log     *standinlog.Log
	entries []*Daemon
	agents  []*agentd.Daemon
	// runtimes are the worker runtimes of the agents.
	runtimes []*standinruntime.Runtime
}

// startCluster starts a cluster whose VMs have 8 accelerators and whose racks have 3
// VMs. It returns when every entry knows all entries and VMs.
func startCluster(t *testing.T, entries, agents int) *cluster {
	t.Helper()
	t.Parallel()
	l, err := standinlog.New("127.0.0.1:0")
	qt.Assert(t, err, qt.IsNil)
	t.Cleanup(l.Close)
	s := &cluster{t: t, log: l}
	t.Cleanup(func() {
		if t.Failed() {
			s.logEvents()
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
			if ready, _ := e.Ready(); !ready || len(e.vmViews()) != agents || len(e.availableEntries()) != entries {
				return false
			}
		}
		return true
	})
	return s
}

func (s *cluster) addEntry(id string) *Daemon {
	s.t.Helper()
	c := DefaultConfig()
	c.ID, c.Zone, c.Region, c.RPCAddress, c.LogURL = id, "a", "north", "127.0.0.1:0", s.log.URL()
	d, err := New(c)
	qt.Assert(s.t, err, qt.IsNil)
	s.t.Cleanup(d.Kill)
	s.entries = append(s.entries, d)
	return d
}

func (s *cluster) addAgent(id, rack string) *agentd.Daemon {
	s.t.Helper()
	r, err := standinruntime.New(standinruntime.Config{Listen: "127.0.0.1:0", VM: id, Accelerators: 8})
	qt.Assert(s.t, err, qt.IsNil)
	s.t.Cleanup(r.Close)
	s.runtimes = append(s.runtimes, r)
	return s.addAgentOf(id, rack, "http://"+r.Address())
}

// addAgentOf adds an agent whose runtime has the URL.
func (s *cluster) addAgentOf(id, rack, runtimeURL string) *agentd.Daemon {
	s.t.Helper()
	var addresses []string
	for _, e := range s.entries {
		addresses = append(addresses, e.RPCAddress())
	}
	a, err := agentd.New(agentd.Config{
		VM:         vm.VM{ID: id, Zone: "a", Rack: rack, Region: "north", Accelerators: 8, Slots: 8, Connections: 64},
		AnnounceTo: addresses, RuntimeURL: runtimeURL,
	})
	qt.Assert(s.t, err, qt.IsNil)
	s.t.Cleanup(a.Kill)
	s.agents = append(s.agents, a)
	return a
}

func (s *cluster) waitFor(what string, f func() bool) {
	s.t.Helper()
	s.waitWithin(testTimeout, what, f)
}

func (s *cluster) waitWithin(limit time.Duration, what string, f func() bool) {
	s.t.Helper()
	deadline := time.Now().Add(limit)
	for !f() {
		if time.Now().After(deadline) {
			s.t.Fatalf("timeout: %s", what)
		}
		time.Sleep(20 * time.Millisecond)
	}
}

func (s *cluster) context() context.Context {
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	s.t.Cleanup(cancel)
	return ctx
}

func (s *cluster) putOrg(name string, guarantee shape.Shape) {
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

// logEvents logs the timeline events of all processes when a test has failed.
func (s *cluster) logEvents() {
	var lists [][]timeline.Event
	for _, e := range s.entries {
		events, _ := e.ring.Since(1, maxEvents)
		lists = append(lists, events)
	}
	for _, a := range s.agents {
		events, _ := a.Ring().Since(1, maxEvents)
		lists = append(lists, events)
	}
	all := slices.Concat(lists...)
	slices.SortFunc(all, func(a, b timeline.Event) int { return a.At.Compare(b.At) })
	for _, e := range all {
		s.t.Logf("%s %s %s job=%s vm=%s %s", e.At.Format("05.000"), e.Process, e.Kind, e.Job, e.VM, e.Detail)
	}
}

// runJob submits a job to the entry with the index submitAt, waits for its end at the
// entry with the index waitAt, and returns the ended job and its whole answer. It
// returns at once if the job is refused. The answer is nil if there is none.
func (s *cluster) runJob(j job.Job, submitAt, waitAt int) (job.View, []byte) {
	s.t.Helper()
	v, err := s.entries[submitAt].Submit(s.context(), j)
	qt.Assert(s.t, err, qt.IsNil)
	if outcome.KindOf(v.Outcome) == outcome.KindNotRun {
		return v, nil
	}
	v = s.wait(v.ID, waitAt)
	if _, ok := v.Outcome.(outcome.Answer); !ok {
		return v, nil
	}
	body, _, err := s.entries[waitAt].Answer(s.context(), v.ID)
	qt.Assert(s.t, err, qt.IsNil)
	return v, body
}

func (s *cluster) wait(id string, at int) job.View {
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

// TestGangAndUrgent guards against a break anywhere on the path from the caller to
// the VMs and back. It runs a gang over two VMs with a large answer, and a short
// request at the same time. Each is awaited at another entry than the one to which
// it was submitted.
func TestGangAndUrgent(t *testing.T) {
	s := startCluster(t, 2, 3)
	s.putOrg("paint", shape.Shape{VMs: 1, AcceleratorsPerVM: 8})
	const payload = `{"runMs":500,"answerBytes":100000,"seed":7}`
	done := make(chan job.View, 1)
	v, err := s.entries[0].Submit(s.context(), gangJob("paint", 2, 8, payload))
	qt.Assert(t, err, qt.IsNil)
	go func() { done <- s.wait(v.ID, 1) }()
	urgent := job.Job{Org: "paint", Tasks: 1, AcceleratorsPerTask: 1, Urgency: job.UrgencyUrgent, Idempotent: true, Payload: []byte(`{"runMs":10,"echo":"red 4012"}`)}
	end, body := s.runJob(urgent, 1, 0)
	qt.Assert(t, end.Outcome, qt.Not(qt.IsNil))
	qt.Assert(t, string(body), qt.Equals, "red 4012", qt.Commentf("%#v", end.Outcome))
	end = <-done
	qt.Assert(t, outcome.KindOf(end.Outcome), qt.Equals, outcome.KindAnswer, qt.Commentf("%#v", end.Outcome))
	body, _, err = s.entries[1].Answer(s.context(), v.ID)
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, bytes.Equal(body, wantAnswer(payload, 2)), qt.IsTrue)
	s.waitFor("no VM holds a reservation", func() bool {
		for _, a := range s.agents {
			if len(a.Holdings()) > 0 {
				return false
			}
		}
		return true
	})
}

// TestIdempotencyKey guards against a non-idempotent job that runs twice because it
// was submitted to two entries.
func TestIdempotencyKey(t *testing.T) {
	s := startCluster(t, 2, 2)
	s.putOrg("paint", shape.Shape{})
	request := job.Job{Org: "paint", Tasks: 1, AcceleratorsPerTask: 1, Urgency: job.UrgencyNormal, IdempotencyKey: "batch 7", Payload: []byte(`{"runMs":50,"echo":"ordered"}`)}
	first, body := s.runJob(request, 0, 0)
	qt.Assert(t, string(body), qt.Equals, "ordered", qt.Commentf("%#v", first.Outcome))
	second, body := s.runJob(request, 1, 1)
	qt.Assert(t, second.ID, qt.Equals, first.ID)
	qt.Assert(t, string(body), qt.Equals, "ordered")
}

// plannerAndOther returns the planner, according to the first entry, and one of the
// other entries.
func (s *cluster) plannerAndOther() (planner, other *Daemon) {
	s.t.Helper()
	name := s.entries[0].planner(time.Now())
	for _, e := range s.entries {
		if e.cfg.ID == name {
			planner = e
		} else {
			other = e
		}
	}
	return planner, other
}

// TestPlannerKilled guards against a running gang that is lost or run twice when the
// planner crashes.
func TestPlannerKilled(t *testing.T) {
	s := startCluster(t, 3, 2)
	s.putOrg("paint", shape.Shape{})
	const payload = `{"runMs":4000,"answerBytes":1000,"seed":3}`
	planner := s.entries[0].planner(time.Now())
	other := 0
	for i, e := range s.entries {
		if e.cfg.ID != planner {
			other = i
		}
	}
	v, err := s.entries[other].Submit(s.context(), gangJob("paint", 2, 8, payload))
	qt.Assert(t, err, qt.IsNil)
	s.waitFor("the gang runs", func() bool { return len(s.agents[0].Holdings()) > 0 && s.agents[0].Holdings()[0].Running })
	for _, e := range s.entries {
		if e.cfg.ID == planner {
			e.Kill()
		}
	}
	end := s.wait(v.ID, other)
	qt.Assert(t, outcome.KindOf(end.Outcome), qt.Equals, outcome.KindAnswer, qt.Commentf("%#v", end.Outcome))
	s.entries[other].jobs.mu.Lock()
	commits := s.entries[other].jobs.logState.Jobs[v.ID].CommitCount
	s.entries[other].jobs.mu.Unlock()
	qt.Assert(t, commits, qt.Equals, 1)
}

// TestCancel guards against a cancelled job that keeps its accelerators, and against
// the outcome NotRun for a job that had started.
func TestCancel(t *testing.T) {
	s := startCluster(t, 2, 1)
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
	s.waitFor("no VM holds a reservation", func() bool { return len(s.agents[0].Holdings()) == 0 })
}

// TestCancelWithoutOwner guards against a cancellation that is told as success and
// dropped. It reaches an entry that has not read the job's acceptance yet and has no
// connection to the entry that accepted it, while another peer knows the job.
func TestCancelWithoutOwner(t *testing.T) {
	s := startCluster(t, 3, 1)
	s.putOrg("paint", shape.Shape{})
	v, err := s.entries[0].Submit(s.context(), gangJob("paint", 1, 8, `{"runMs":60000}`))
	qt.Assert(t, err, qt.IsNil)
	late := s.entries[2]
	s.waitFor("the last entry knows the job", func() bool { _, ok := late.localView(v.ID); return ok })
	late.peers.mu.Lock()
	late.peers.byID["e1"].conn, late.peers.byID["e1"].dialing = nil, true
	late.peers.mu.Unlock()
	late.jobs.mu.Lock()
	delete(late.jobs.byID, v.ID)
	late.jobs.mu.Unlock()
	_, found, err := late.Cancel(s.context(), v.ID)
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, found, qt.IsTrue)
	end := s.wait(v.ID, 0)
	failed, isFailed := end.Outcome.(outcome.Failed)
	notRun, isNotRun := end.Outcome.(outcome.NotRun)
	qt.Assert(t, isFailed && failed.Cancelled || isNotRun && notRun.Rule == "cancelledBeforeStart", qt.IsTrue, qt.Commentf("%#v", end.Outcome))
}

// TestCancelUnconfirmed guards against a cancellation that is told as success although
// it is in no log and no entry that could carry it out has it.
func TestCancelUnconfirmed(t *testing.T) {
	s := startCluster(t, 2, 1)
	_, _, err := s.entries[1].Cancel(s.context(), "1~boot~gone")
	qt.Assert(t, err, qt.ErrorIs, ErrCancelUnconfirmed)
	_, found, err := s.entries[1].Cancel(s.context(), "no such job")
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, found, qt.IsFalse)
	s.log.SetFaults(wire.LogFaults{Down: true})
	_, _, err = s.entries[1].Cancel(s.context(), "1~boot~e1")
	qt.Assert(t, err, qt.ErrorIs, ErrCancelUnconfirmed)
}

// TestLogDown guards against a log outage that stops short requests or running
// gangs, and against refusing a job that must be recorded in the log with another rule
// than logUnavailable.
func TestLogDown(t *testing.T) {
	s := startCluster(t, 2, 2)
	s.putOrg("paint", shape.Shape{})
	const payload = `{"runMs":6000,"answerBytes":100,"seed":1}`
	v, err := s.entries[0].Submit(s.context(), gangJob("paint", 2, 6, payload))
	qt.Assert(t, err, qt.IsNil)
	s.waitFor("the gang runs", func() bool { return len(s.agents[0].Holdings()) > 0 && s.agents[0].Holdings()[0].Running })
	s.log.SetFaults(wire.LogFaults{Down: true})
	refused, _ := s.runJob(gangJob("paint", 1, 1, `{"runMs":10}`), 0, 0)
	notRun, ok := refused.Outcome.(outcome.NotRun)
	qt.Assert(t, ok, qt.IsTrue, qt.Commentf("%#v", refused.Outcome))
	qt.Assert(t, notRun.Rule, qt.Equals, "logUnavailable")
	urgent := job.Job{Org: "paint", Tasks: 1, AcceleratorsPerTask: 1, Urgency: job.UrgencyUrgent, Idempotent: true, Payload: []byte(`{"runMs":10,"echo":"ok"}`)}
	_, body := s.runJob(urgent, 1, 1)
	qt.Assert(t, string(body), qt.Equals, "ok")
	time.Sleep(5 * time.Second)
	s.log.SetFaults(wire.LogFaults{})
	end := s.wait(v.ID, 1)
	qt.Assert(t, outcome.KindOf(end.Outcome), qt.Equals, outcome.KindAnswer, qt.Commentf("%#v", end.Outcome))
	qt.Assert(t, s.entries[0].jobs.logState.Jobs[v.ID].CommitCount, qt.Equals, 1)
}

// TestJobFailsEverywhere guards against a faulty job that is retried forever.
func TestJobFailsEverywhere(t *testing.T) {
	s := startCluster(t, 1, 4)
	s.putOrg("paint", shape.Shape{})
	for _, urgency := range []job.Urgency{job.UrgencyNormal, job.UrgencyUrgent} {
		j := job.Job{Org: "paint", Tasks: 1, AcceleratorsPerTask: 1, Urgency: urgency, Idempotent: true, Payload: []byte(`{"runMs":10,"fail":"no such colour"}`)}
		end, _ := s.runJob(j, 0, 0)
		failed, ok := end.Outcome.(outcome.Failed)
		qt.Assert(t, ok, qt.IsTrue, qt.Commentf("%#v", end.Outcome))
		qt.Assert(t, failed.Reason, qt.Matches, "jobFailsEverywhere: .*no such colour")
	}
}

// TestGracefulStopKeepsWork guards against a graceful stop of the planner that loses
// a running gang or a pending short request.
func TestGracefulStopKeepsWork(t *testing.T) {
	s := startCluster(t, 2, 2)
	s.putOrg("paint", shape.Shape{})
	const payload = `{"runMs":5000,"answerBytes":100,"seed":9}`
	stopping, other := 0, 1
	if s.entries[1].planner(time.Now()) == s.entries[1].cfg.ID {
		stopping, other = 1, 0
	}
	v, err := s.entries[stopping].Submit(s.context(), gangJob("paint", 2, 6, payload))
	qt.Assert(t, err, qt.IsNil)
	s.waitFor("the gang runs", func() bool { return len(s.agents[0].Holdings()) > 0 && s.agents[0].Holdings()[0].Running })
	urgent := job.Job{Org: "paint", Tasks: 1, AcceleratorsPerTask: 1, Urgency: job.UrgencyUrgent, Idempotent: true, Payload: []byte(`{"runMs":1500,"echo":"ok"}`)}
	answers := make(chan string, 1)
	go func() {
		_, body := s.runJob(urgent, stopping, stopping)
		answers <- string(body)
	}()
	time.Sleep(200 * time.Millisecond)
	qt.Assert(t, s.entries[stopping].Stop(s.context()), qt.IsNil)
	qt.Assert(t, <-answers, qt.Equals, "ok")
	end := s.wait(v.ID, other)
	qt.Assert(t, outcome.KindOf(end.Outcome), qt.Equals, outcome.KindAnswer, qt.Commentf("%#v", end.Outcome))
	qt.Assert(t, s.entries[other].jobs.logState.Jobs[v.ID].CommitCount, qt.Equals, 1)
}

// TestReclaim guards against preemptible jobs of another organisation that borrow the
// accelerators guaranteed to an organisation, and keep them because they ignore the
// request to save a checkpoint.
func TestReclaim(t *testing.T) {
	s := startCluster(t, 1, 2)
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
	end, body := s.runJob(gangJob("owner", 2, 8, `{"runMs":50,"echo":"mine"}`), 0, 0)
	qt.Assert(t, string(body), qt.Equals, "minemine", qt.Commentf("%#v", end.Outcome))
	qt.Assert(t, time.Since(begin) < 8*time.Second, qt.IsTrue, qt.Commentf("took %s, the reclaim deadline is 5 s", time.Since(begin)))
}

// TestPlannerKilledAfterReport guards against a job that runs again because its
// answers were reported to a planner that crashed before it recorded the end.
func TestPlannerKilledAfterReport(t *testing.T) {
	s := startCluster(t, 3, 2)
	s.putOrg("paint", shape.Shape{})
	const payload = `{"runMs":1500,"answerBytes":1000,"seed":3}`
	planner, other := s.plannerAndOther()
	v, err := other.Submit(s.context(), gangJob("paint", 2, 8, payload))
	qt.Assert(t, err, qt.IsNil)
	s.waitFor("the gang runs", func() bool { return len(s.agents[0].Holdings()) > 0 && s.agents[0].Holdings()[0].Running })
	// The planner receives the answers and cannot append the end record.
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
	qt.Assert(t, other.jobs.logState.Jobs[v.ID].CommitCount, qt.Equals, 1)
}

// TestVMLostUnderShortRequests guards against short requests that end as unknown when
// a VM is lost soon after the start of the entry. A retry budget that
// starts empty would not allow them to be sent to another VM, because too few
// requests have added credit to it.
func TestVMLostUnderShortRequests(t *testing.T) {
	s := startCluster(t, 1, 2)
	s.putOrg("paint", shape.Shape{})
	const requests = 12
	outcomes := make(chan outcome.Outcome, requests)
	for range requests {
		j := job.Job{Org: "paint", Tasks: 1, AcceleratorsPerTask: 1, Urgency: job.UrgencyUrgent, Idempotent: true, Payload: []byte(`{"runMs":800,"echo":"ok"}`)}
		v, err := s.entries[0].Submit(s.context(), j)
		qt.Assert(t, err, qt.IsNil)
		go func() { outcomes <- s.wait(v.ID, 0).Outcome }()
	}
	time.Sleep(300 * time.Millisecond)
	s.agents[0].Kill()
	for range requests {
		o := <-outcomes
		qt.Check(t, outcome.KindOf(o), qt.Equals, outcome.KindAnswer, qt.Commentf("%#v", o))
	}
}

// TestSilentVM guards against short requests that miss their deadline because their
// VM does not answer and does not count as lost yet.
func TestSilentVM(t *testing.T) {
	s := startCluster(t, 1, 2)
	s.putOrg("paint", shape.Shape{})
	d := s.entries[0]
	// The VM v9 is announced on a connection to a server that ignores all
	// requests.
	silent, err := rpc.New(func(*rpc.Request) {}, rpc.WithListen("127.0.0.1:0"))
	qt.Assert(t, err, qt.IsNil)
	t.Cleanup(silent.Close)
	conn, err := d.rpc.Dial(s.context(), silent.Address())
	qt.Assert(t, err, qt.IsNil)
	_, err = d.handleAnnounce(conn, wire.AnnounceParams{VM: "v9", BootID: "b", Zone: "a", Rack: "r9", Region: "north", Accelerators: 8, Slots: 8, Connections: 64})
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

// TestStopHandsOverAnswers guards against answers of short requests that are lost
// when the entry that accepted them stops gracefully.
func TestStopHandsOverAnswers(t *testing.T) {
	s := startCluster(t, 3, 1)
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

// TestChangeKeepsPlanner guards against a change of the planner whenever another
// entry reads a configuration change a moment earlier. Each change of the planner makes
// the commits in progress void.
func TestChangeKeepsPlanner(t *testing.T) {
	s := startCluster(t, 1, 1)
	d := s.entries[0]
	d.updatePeer(nil, wire.PeerHello{ID: "e9", Address: "127.0.0.1:1", Region: "south", ConfigOffset: 1 << 30}, false)
	ready, reason := d.Ready()
	qt.Assert(t, ready, qt.IsFalse)
	qt.Assert(t, reason, qt.Matches, "configuration at offset .*")
	qt.Assert(t, d.planner(time.Now()), qt.Equals, d.cfg.ID)
}
