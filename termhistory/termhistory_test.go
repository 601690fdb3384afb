package termhistory

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"celerypoint.example/celerypoint/lease"
	"celerypoint.example/celerypoint/stepfold"
)

const leaseDuration = 5 * time.Second

// process is a process of an entry that has claimed a term.
type process struct {
	planner stepfold.Planner
	// ended says that the process has ended, and endedTerm that it knows that its term has.
	ended, endedTerm bool
	// begun says that it has read its claim back and plans.
	begun                bool
	checked, heartbeatAt time.Time
}

// model has planners that follow each other in the store, and one entry that observes them.
type model struct {
	t         *rapid.T
	now       time.Time
	processes []*process
	records   []stepfold.Planner
	// read is the number of records that the entry has read.
	read    int
	history History
	// lastLease is the latest time at which a run ends that a granted lease keeps active.
	lastLease time.Time
	self      stepfold.Planner
	until     time.Time
}

func (m *model) newest() *process {
	if len(m.processes) == 0 || m.self.Term > 0 {
		return nil
	}
	return m.processes[len(m.processes)-1]
}

func (m *model) claim() {
	n := len(m.processes) + 1
	p := stepfold.Planner{Entry: fmt.Sprintf("entry-%d", n%3), BootID: fmt.Sprintf("boot-%d", n), Term: int64(n), Heartbeat: 1}
	m.processes = append(m.processes, &process{planner: p, checked: m.now})
	m.records = append(m.records, p)
}

// act lets a process begin its term, store a heartbeat, resign, grant a lease, learn of a later
// term or end, if it can.
func (m *model) act(p *process, action string) {
	newest := p == m.newest()
	switch {
	case p.ended || p.endedTerm:
	case action == "begin":
		p.begun = true
	case action == "heartbeat" && p.begun && newest && m.now.Sub(p.heartbeatAt) >= 500*time.Millisecond:
		p.planner.Heartbeat++
		p.checked, p.heartbeatAt = m.now, m.now
		m.records = append(m.records, p.planner)
	case action == "resign" && p.begun:
		p.endedTerm = true
		if newest {
			resigned := p.planner
			resigned.Resigned, resigned.Heartbeat = true, 0
			m.records = append(m.records, resigned)
		}
	case action == "grant" && p.begun && lease.MayGrant(p.checked, m.now):
		if end := lease.ExpiresBy(m.now, leaseDuration); end.After(m.lastLease) {
			m.lastLease = end
		}
	case action == "learn" && !newest:
		p.endedTerm = true
	case action == "end":
		p.ended = true
	}
}

// plan lets the newest process store heartbeats for a time.
func (m *model) plan(heartbeats int) {
	for i := range heartbeats {
		if i > 0 {
			m.now = m.now.Add(500 * time.Millisecond)
		}
		m.act(m.newest(), "heartbeat")
	}
}

// latestEnd is the latest time at which a run can end that a lease keeps active which a process
// has granted, or may yet grant.
func (m *model) latestEnd() time.Time {
	latest := m.lastLease
	for _, p := range m.processes {
		last := p.checked.Add(lease.TermValidity - time.Nanosecond)
		if end := lease.ExpiresBy(last, leaseDuration); !p.ended && !p.endedTerm && !m.now.After(last) && end.After(latest) {
			latest = end
		}
	}
	return latest
}

// readAll lets the entry read all records, or only the newest one if it has a gap.
func (m *model) readAll(gap bool) {
	if gap && m.read < len(m.records) {
		m.read = len(m.records) - 1
	}
	for ; m.read < len(m.records); m.read++ {
		m.history.Observe(m.records[m.read], m.now)
	}
	if gap {
		m.history.RecordLoad(m.now)
	}
}

// ask lets the entry ask the processes of the unresolved terms. Some do not answer.
func (m *model) ask() {
	for _, t := range m.history.Unresolved(m.now) {
		p := m.processes[t.Planner.Term-1]
		a := Answer{BootID: p.planner.BootID}
		switch {
		case p.ended:
			a.BootID = "next"
		case p.begun && !p.endedTerm:
			a.Term = p.planner.Term
		}
		if rapid.Bool().Draw(m.t, "answers") && t.ProvesOver(a) {
			m.history.RecordOver(t.Planner, m.now)
		}
	}
}

// TestBoundCoversLeasesOfAllTerms guards against a planner that takes the leases of earlier ones
// for expired while one that has lost its term without knowing it may still grant one.
func TestBoundCoversLeasesOfAllTerms(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		m := &model{t: rt, now: time.Unix(1000, 0)}
		for range rapid.IntRange(1, 60).Draw(rt, "actions") {
			m.now = m.now.Add(time.Duration(rapid.IntRange(0, 3000).Draw(rt, "ms")) * time.Millisecond)
			action := rapid.SampledFrom([]string{"claim", "own", "read", "gap", "ask", "begin", "heartbeat", "plan", "plan", "resign", "grant", "grant", "learn", "end"}).Draw(rt, "action")
			switch {
			case action == "claim" && m.self.Term == 0:
				m.claim()
			case action == "own" && m.self.Term == 0 && len(m.processes) > 0:
				m.self = stepfold.Planner{Entry: "self", BootID: "self", Term: int64(len(m.processes) + 1), Heartbeat: 1}
				m.records = append(m.records, m.self)
				m.now = m.now.Add(time.Duration(rapid.IntRange(0, 3000).Draw(rt, "readMs")) * time.Millisecond)
				m.readAll(false)
			case action == "read" || action == "gap":
				m.readAll(action == "gap")
			case action == "ask":
				m.ask()
			case action == "plan" && m.newest() != nil:
				m.plan(rapid.IntRange(1, 40).Draw(rt, "heartbeats"))
			case len(m.processes) > 0:
				m.act(rapid.SampledFrom(m.processes).Draw(rt, "process"), action)
			}
			if m.self.Term == 0 {
				continue
			}
			until := m.history.EarlierLeasesExpireBy(m.self, m.now, leaseDuration)
			if m.until.IsZero() || until.Before(m.until) {
				m.until = until
			}
			if end := m.latestEnd(); end.After(m.until) {
				rt.Fatalf("a run may end %s after the bound", end.Sub(m.until))
			}
		}
	})
}

// TestBoundCoversUnseenTerm guards against a bound that leaves out a term which the entry never
// observed, because it takes the term that it found first for older than that is.
func TestBoundCoversUnseenTerm(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		m := &model{t: rt, now: time.Unix(1000, 0)}
		wait := func(label string) {
			m.now = m.now.Add(time.Duration(rapid.IntRange(0, 600).Draw(rt, label)) * time.Millisecond)
		}
		for _, heartbeats := range []string{"unseen", "seen"} {
			m.claim()
			wait("claimed")
			m.act(m.newest(), "begin")
			m.plan(rapid.IntRange(0, 20).Draw(rt, heartbeats))
			wait("planned")
		}
		m.readAll(true)
		m.act(m.newest(), "end")
		wait("ended")
		m.self = stepfold.Planner{Entry: "self", BootID: "self", Term: 3, Heartbeat: 1}
		m.records = append(m.records, m.self)
		m.readAll(false)
		m.history.RecordOver(m.processes[1].planner, m.now)
		if until, end := m.history.EarlierLeasesExpireBy(m.self, m.now, leaseDuration), m.latestEnd(); end.After(until) {
			rt.Fatalf("a run may end %s after the bound", end.Sub(until))
		}
	})
}

// TestBoundIsShortOnceEarlierTermsAreOver guards against a wait of 18 s for runs of a VM that is
// gone, after a change of the planner by which no earlier one is left.
func TestBoundIsShortOnceEarlierTermsAreOver(t *testing.T) {
	at := func(s int) time.Time { return time.Unix(1000+int64(s), 0) }
	first := stepfold.Planner{Entry: "a", BootID: "a1", Term: 1, Heartbeat: 1}
	self := stepfold.Planner{Entry: "b", BootID: "b1", Term: 2, Heartbeat: 1}
	follow := func(since int) *History {
		h := &History{}
		h.RecordGap(at(since))
		h.Observe(first, at(since))
		return h
	}
	for _, test := range []struct {
		name  string
		play  func() *History
		until time.Time
	}{
		{"not known to be over", func() *History { return follow(-100) }, lease.EarlierTermsExpireBy(at(0), leaseDuration)},
		{"another process answers", func() *History {
			h := follow(-100)
			h.Observe(self, at(0))
			h.RecordOver(first, at(1))
			return h
		}, lease.ExpiresBy(at(1), leaseDuration)},
		{"resigned", func() *History {
			h := follow(-100)
			resigned := first
			resigned.Resigned = true
			h.Observe(resigned, at(-1))
			return h
		}, lease.ExpiresBy(at(-1), leaseDuration)},
		{"over, but followed for a second only", func() *History {
			h := follow(-1)
			h.RecordOver(first, at(0))
			return h
		}, lease.EarlierTermsExpireBy(at(-1), leaseDuration)},
		{"over, followed for a second, but it had lasted for long", func() *History {
			h := &History{}
			old := first
			old.Heartbeat = 102
			h.Observe(old, at(-1))
			h.RecordLoad(at(-1))
			h.RecordOver(first, at(0))
			return h
		}, lease.ExpiresBy(at(0), leaseDuration)},
		{"the record of a later planner cannot be read", func() *History {
			h := &History{}
			old := first
			old.Heartbeat = 102
			h.Observe(old, at(-3))
			h.RecordGap(at(-2))
			h.RecordLoad(at(-1))
			h.RecordOver(first, at(0))
			return h
		}, lease.EarlierTermsExpireBy(at(-1), leaseDuration)},
		{"nothing followed", func() *History { return &History{} }, lease.EarlierTermsExpireBy(at(0), leaseDuration)},
	} {
		t.Run(test.name, func(t *testing.T) {
			h := test.play()
			h.Observe(self, at(0))
			qt.Assert(t, h.EarlierLeasesExpireBy(self, at(0), leaseDuration), qt.Equals, test.until)
		})
	}
}

// TestProvesOver guards against an answer that is taken for the end of a term whose planner may
// still begin it or goes on in it.
func TestProvesOver(t *testing.T) {
	claimed := Term{Planner: stepfold.Planner{BootID: "b1", Term: 5}}
	begun := Term{Planner: stepfold.Planner{BootID: "b1", Term: 5}, Begun: true}
	qt.Check(t, claimed.ProvesOver(Answer{BootID: "b1"}), qt.IsFalse)
	qt.Check(t, begun.ProvesOver(Answer{BootID: "b1"}), qt.IsTrue)
	qt.Check(t, begun.ProvesOver(Answer{BootID: "b1", Term: 5}), qt.IsFalse)
	qt.Check(t, claimed.ProvesOver(Answer{BootID: "b2"}), qt.IsTrue)
}

// TestHistoryIsBounded guards against a history that grows with each change of the planner.
func TestHistoryIsBounded(t *testing.T) {
	var h History
	for n := range 1000 {
		h.Observe(stepfold.Planner{Term: int64(n + 1)}, time.Unix(int64(n/200), 0))
		qt.Assert(t, len(h.Terms) <= maxTerms, qt.IsTrue)
	}
	h.Observe(stepfold.Planner{Term: 2000}, time.Unix(1000, 0))
	qt.Assert(t, len(h.Terms) <= 2, qt.IsTrue)
}
