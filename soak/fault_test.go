package soak

import (
	"fmt"
	"math/rand/v2"
	"syscall"
	"time"

	"celerypoint.example/celerypoint/faultproxy"
	"celerypoint.example/celerypoint/standinstore"
	"celerypoint.example/celerypoint/standinworker"
)

// fault is sealed: linkFault, signalFault, stopFault, storeFault, workerFault,
// leaveFault, crashFault, compactFault, revokeFault, hangupFault.
type fault interface{ fault() }

type (
	// linkFault disturbs one link.
	linkFault struct {
		link   string
		proxy  *faultproxy.Proxy
		faults faultproxy.Faults
	}
	// signalFault kills a process, or pauses it for the span.
	signalFault struct {
		process *process
		signal  syscall.Signal
	}
	// stopFault stops processes gracefully, one after the other.
	stopFault struct{ processes []*process }
	// storeFault misbehaves for the span.
	storeFault struct{ faults standinstore.Faults }
	// workerFault misbehaves for the span.
	workerFault struct {
		agent  int
		faults standinworker.Faults
	}
	// leaveFault makes a worker announce that it leaves; it is replaced after
	// the span.
	leaveFault struct{ agent int }
	// crashFault ends a worker; another life follows at once.
	crashFault struct{ agent int }
	// compactFault drops the store's history.
	compactFault struct{}
	// revokeFault takes the newest key away and adds another.
	revokeFault struct{}
	// hangupFault sends SIGHUP to all processes.
	hangupFault struct{}
)

func (linkFault) fault()    {}
func (signalFault) fault()  {}
func (stopFault) fault()    {}
func (storeFault) fault()   {}
func (workerFault) fault()  {}
func (leaveFault) fault()   {}
func (crashFault) fault()   {}
func (compactFault) fault() {}
func (revokeFault) fault()  {}
func (hangupFault) fault()  {}

// event is a fault at its time.
type event struct {
	at, span time.Duration
	fault    fault
}

func (e event) String() string {
	text := fmt.Sprintf("at %.1f s for %.1f s %T ", e.at.Seconds(), e.span.Seconds(), e.fault)
	switch f := e.fault.(type) {
	case linkFault:
		return text + fmt.Sprintf("%s %+v", f.link, f.faults)
	case signalFault:
		return text + fmt.Sprintf("%s %s", f.process.name, f.signal)
	case stopFault:
		for _, p := range f.processes {
			text += p.name + " "
		}
		return text
	}
	return text + fmt.Sprintf("%+v", e.fault)
}

// schedule draws the faults of a run, in the order of their times.
func (s *system) schedule(length time.Duration) []event {
	var all []event
	for at := time.Duration(0); at < length; at += time.Duration(300+s.random.IntN(2200)) * time.Millisecond {
		span := time.Duration(300+s.random.IntN(5000)) * time.Millisecond
		all = append(all, event{at, span, s.draw()})
		// Now and then faults strike together.
		if s.random.IntN(3) == 0 {
			all = append(all, event{at + time.Duration(s.random.IntN(100))*time.Millisecond, span, s.draw()})
		}
	}
	return all
}

func pick[T any](r *rand.Rand, all []T) T { return all[r.IntN(len(all))] }

// draw chooses a fault.
func (s *system) draw() fault {
	r := s.random
	e, a := pick(r, s.entries), r.IntN(len(s.agents))
	node := s.agents[a]
	any := pick(r, []*process{e.process, node.process})
	switch r.IntN(16) {
	case 0, 1, 2, 3:
		link := pick(r, []linkFault{
			{link: "clients to " + e.name, proxy: e.clients}, {link: "peers to " + e.name, proxy: e.peers}, {link: e.name + " to store", proxy: e.store},
			{link: "planner to " + node.name, proxy: node.peers}, {link: node.name + " to store", proxy: node.store},
		})
		link.faults = pick(r, []faultproxy.Faults{
			{Cut: true},
			{Up: faultproxy.DirectionFaults{Block: faultproxy.BlockHold}},
			{Down: faultproxy.DirectionFaults{Block: faultproxy.BlockHold}},
			{Up: faultproxy.DirectionFaults{Block: faultproxy.BlockDiscard}, Down: faultproxy.DirectionFaults{Block: faultproxy.BlockDiscard}},
			{Up: faultproxy.DirectionFaults{DelayMs: 200, JitterMs: 300}, Down: faultproxy.DirectionFaults{DelayMs: 100, JitterMs: 300}},
			{Up: faultproxy.DirectionFaults{PieceBytes: 7}, Down: faultproxy.DirectionFaults{PieceBytes: 11}},
		})
		return link
	case 4, 5:
		return signalFault{any, syscall.SIGKILL}
	case 6, 7:
		return signalFault{any, syscall.SIGSTOP}
	case 8:
		return stopFault{[]*process{any}}
	case 9:
		return stopFault{[]*process{s.entries[0].process, node.process, s.entries[1].process, s.entries[2].process}}
	case 10, 11:
		return storeFault{pick(r, []standinstore.Faults{
			{Down: true}, {Unresponsive: true}, {LoseAnswers: 4}, {ApplyLate: 3, ApplyDelay: 3 * time.Second}, {ResponseDelay: 300 * time.Millisecond}, {HideNewRecords: true},
		})}
	case 12:
		return workerFault{a, pick(r, []standinworker.Faults{
			{LoseAnswers: 2}, {ApplyLate: 2, ApplyDelay: 4 * time.Second}, {FailAll: true}, {Hang: true}, {Unresponsive: true},
		})}
	case 13:
		return pick(r, []fault{leaveFault{a}, crashFault{a}})
	case 14:
		return pick(r, []fault{compactFault{}, hangupFault{}})
	}
	return revokeFault{}
}

// inject begins a fault, and returns what ends it.
func (s *system) inject(f fault) (end func()) {
	end = func() {}
	switch f := f.(type) {
	case linkFault:
		if err := f.proxy.SetFaults(f.faults); err != nil {
			s.fail("fault of the soak: %v", err)
		}
		return func() {
			if err := f.proxy.SetFaults(faultproxy.Faults{}); err != nil {
				s.fail("fault of the soak: %v", err)
			}
		}
	case signalFault:
		f.process.signal(f.signal)
		if f.signal == syscall.SIGSTOP {
			return func() { f.process.signal(syscall.SIGCONT) }
		}
	case stopFault:
		for _, p := range f.processes {
			p.stop()
		}
	case storeFault:
		s.muted.Store(f.faults.HideNewRecords)
		s.store.SetFaults(f.faults)
		return func() {
			s.store.SetFaults(standinstore.Faults{})
			s.muted.Store(false)
		}
	case workerFault:
		s.setWorker(f.agent, f.faults)
		return func() { s.setWorker(f.agent, standinworker.Faults{}) }
	case leaveFault:
		a := s.agents[f.agent]
		a.mu.Lock()
		a.worker.Drain()
		a.mu.Unlock()
		return func() { s.replaceWorker(f.agent) }
	case crashFault:
		s.replaceWorker(f.agent)
	case compactFault:
		s.store.Compact("keyed.celerypoint")
		s.store.Compact("keyed.op")
	case revokeFault:
		s.revoke()
	case hangupFault:
		for _, e := range s.entries {
			e.signal(syscall.SIGHUP)
		}
		for _, a := range s.agents {
			a.signal(syscall.SIGHUP)
		}
	}
	return end
}

func (s *system) setWorker(i int, f standinworker.Faults) {
	a := s.agents[i]
	a.mu.Lock()
	defer a.mu.Unlock()
	a.worker.SetFaults(f)
}

// revoke takes the newest key away, and adds another before.
func (s *system) revoke() {
	s.mu.Lock()
	newest := len(s.keys) - 1
	s.keys[keyName(newest+1)] = time.Time{}
	s.mu.Unlock()
	s.configure()
	s.mu.Lock()
	s.keys[keyName(newest)] = time.Now().Add(time.Hour)
	s.mu.Unlock()
	s.configure()
	s.mu.Lock()
	s.keys[keyName(newest)] = time.Now()
	s.mu.Unlock()
}
