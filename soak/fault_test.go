package soak

import (
	"cmp"
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"syscall"
	"time"

	"celerypoint.example/celerypoint/faultproxy"
	"celerypoint.example/celerypoint/standinstore"
	"celerypoint.example/celerypoint/standinworker"
	"celerypoint.example/celerypoint/steps"
)

// fault is a fault that the test can inject. It is sealed: linkFault,
// signalFault, stopFault, storeFault, workerFault, drainFault, crashFault,
// compactFault, revokeFault, hangupFault, capacityFault, pathFault, foreignMessage,
// absenceFault, lateFault, silentFault, changeFault.
type fault interface{ fault() }

type (
	// linkFault delays, blocks, splits or cuts the traffic of one network link.
	linkFault struct {
		link   string
		proxy  *faultproxy.Proxy
		faults faultproxy.Faults
	}
	// signalFault kills a process, or pauses it for the duration of the fault.
	signalFault struct {
		process *process
		signal  syscall.Signal
	}
	// stopFault stops processes gracefully, one after the other.
	stopFault struct{ processes []*process }
	// storeFault makes the store misbehave for the duration of the fault.
	storeFault struct{ faults standinstore.Faults }
	// workerFault makes a worker misbehave for the duration of the fault.
	workerFault struct {
		agent  int
		faults standinworker.Faults
	}
	// drainFault makes a worker announce that it is draining. At the end of the
	// fault, the worker ends and a new incarnation starts.
	drainFault struct{ agent int }
	// crashFault crashes a worker, and starts a new incarnation at once.
	crashFault struct{ agent int }
	// compactFault makes the store drop the history of its topics. Only the newest
	// record of each key stays available.
	compactFault struct{}
	// revokeFault adds a new API key and revokes the one that was the newest.
	revokeFault struct{}
	// hangupFault sends SIGHUP to all processes.
	hangupFault struct{}
	// capacityFault reduces the capacity of a worker for the duration of the fault.
	capacityFault struct{ agent, gpus int }
)

func (linkFault) fault()     {}
func (signalFault) fault()   {}
func (stopFault) fault()     {}
func (storeFault) fault()    {}
func (workerFault) fault()   {}
func (drainFault) fault()    {}
func (crashFault) fault()    {}
func (compactFault) fault()  {}
func (revokeFault) fault()   {}
func (hangupFault) fault()   {}
func (capacityFault) fault() {}

// scheduledFault is a fault with its start time, measured from the start of the
// schedule, and its duration.
type scheduledFault struct {
	start, duration time.Duration
	fault           fault
}

func (e scheduledFault) String() string {
	text := fmt.Sprintf("at %.1f s for %.1f s %T ", e.start.Seconds(), e.duration.Seconds(), e.fault)
	switch f := e.fault.(type) {
	case linkFault:
		return text + fmt.Sprintf("%s %+v", f.link, f.faults)
	case silentFault:
		return text + f.links
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

// drawSchedules chooses the faults of a run, those of the families that -soak.faults
// names, in the order of their start times. Each family has a random generator of its own.
func (s *system) drawSchedules(length time.Duration) []scheduledFault {
	var all []scheduledFault
	for family := range strings.SplitSeq(*families, ",") {
		switch family {
		case "general":
			all = append(all, s.drawSchedule(length)...)
		case "capacity":
			all = append(all, s.drawCapacityFaults(length)...)
		case "path":
			all = append(all, s.drawPathFaults(length)...)
		case "foreign":
			all = append(all, s.drawForeignMessages(length)...)
		case "absence":
			all = append(all, s.drawAbsences(length)...)
		case "late":
			all = append(all, s.drawLateCalls(length)...)
		case "silent":
			all = append(all, s.drawSilentFaults(length)...)
		case "handover":
			all = append(all, s.drawHandOvers(length)...)
		case "attempts":
			all = append(all, s.drawRestarts(length)...)
		case "refusal":
			all = append(all, s.drawRefusals(length)...)
		default:
			s.fail("-soak.faults: found %q, allowed: general, capacity, path, foreign, absence, late, silent, handover, attempts, refusal", family)
		}
	}
	slices.SortStableFunc(all, func(x, y scheduledFault) int { return cmp.Compare(x.start, y.start) })
	return all
}

// drawSchedule chooses the faults of a run with the seeded random generator, in
// the order of their start times.
func (s *system) drawSchedule(length time.Duration) []scheduledFault {
	var all []scheduledFault
	for at := time.Duration(0); at < length; at += time.Duration(300+s.random.IntN(2200)) * time.Millisecond {
		duration := time.Duration(300+s.random.IntN(5000)) * time.Millisecond
		all = append(all, scheduledFault{at, duration, s.drawFault()})
		// Some faults start almost together with a second one.
		if s.random.IntN(3) == 0 {
			all = append(all, scheduledFault{at + time.Duration(s.random.IntN(100))*time.Millisecond, duration, s.drawFault()})
		}
	}
	return all
}

// drawCapacityFaults chooses reductions of capacity, with a random generator of their own.
func (s *system) drawCapacityFaults(length time.Duration) []scheduledFault {
	r := rand.New(rand.NewPCG(s.seed, 2))
	var all []scheduledFault
	for at := time.Duration(r.IntN(4000)) * time.Millisecond; at < length; at += time.Duration(3000+r.IntN(6000)) * time.Millisecond {
		all = append(all, scheduledFault{at, time.Duration(1000+r.IntN(8000)) * time.Millisecond, capacityFault{r.IntN(len(s.agents)), r.IntN(capacity.GPUs)}})
	}
	return all
}

func pick[T any](r *rand.Rand, all []T) T { return all[r.IntN(len(all))] }

// drawFault chooses a fault with the seeded random generator.
func (s *system) drawFault() fault {
	r := s.random
	e, a := pick(r, s.entries), r.IntN(len(s.agents))
	node := s.agents[a]
	proc := pick(r, []*process{e.process, node.process})
	switch r.IntN(16) {
	case 0, 1, 2, 3:
		link := pick(r, []linkFault{
			{link: "clients to " + e.name, proxy: e.clientProxy}, {link: "peers to " + e.name, proxy: e.peerProxy}, {link: e.name + " to store", proxy: e.storeProxy},
			{link: "planner to " + node.name, proxy: node.peerProxy}, {link: node.name + " to store", proxy: node.storeProxy},
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
		return signalFault{proc, syscall.SIGKILL}
	case 6, 7:
		return signalFault{proc, syscall.SIGSTOP}
	case 8:
		return stopFault{[]*process{proc}}
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
		return pick(r, []fault{drainFault{a}, crashFault{a}})
	case 14:
		return pick(r, []fault{compactFault{}, hangupFault{}})
	}
	return revokeFault{}
}

// startFault starts a fault and returns a function that ends it. For the faults
// that have no end of their own, such as crashFault, the function does nothing.
// For a stopFault, startFault returns once the processes have stopped or were
// killed.
func (s *system) startFault(f fault) (end func()) {
	end = func() {}
	switch f := f.(type) {
	case linkFault:
		if err := f.proxy.SetFaults(f.faults); err != nil {
			s.fail("fault injection: %v", err)
		}
		return func() {
			if err := f.proxy.SetFaults(faultproxy.Faults{}); err != nil {
				s.fail("fault injection: %v", err)
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
		s.store.SetFaults(f.faults)
		return func() { s.store.SetFaults(standinstore.Faults{}) }
	case workerFault:
		s.setWorker(f.agent, f.faults)
		return func() { s.setWorker(f.agent, standinworker.Faults{}) }
	case drainFault:
		a := s.agents[f.agent]
		a.mu.Lock()
		a.worker.Drain()
		a.mu.Unlock()
		return func() { s.replaceWorker(f.agent) }
	case crashFault:
		s.replaceWorker(f.agent)
	case capacityFault:
		reduced := capacity
		reduced.GPUs = f.gpus
		s.setCapacity(f.agent, reduced)
		return func() { s.setCapacity(f.agent, capacity) }
	case pathFault:
		return s.startPathFault(f)
	case foreignMessage:
		s.sendForeign(f)
	case absenceFault:
		return s.startAbsence(f)
	case lateFault:
		return s.startLate(f)
	case compactFault:
		s.store.Compact("keyed.celerypoint")
		s.store.Compact("keyed.op")
	case revokeFault:
		s.revoke()
	case changeFault:
		s.configure()
	case silentFault:
		for _, p := range f.proxies {
			p.Silence()
		}
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

func (s *system) setCapacity(i int, c steps.Resources) {
	a := s.agents[i]
	a.mu.Lock()
	defer a.mu.Unlock()
	a.worker.SetCapacity(c)
}

// revoke adds a new API key, and then revokes the one that was the newest. Until
// the configuration without the old key is stored, its time of revocation is an
// hour ahead: configure already leaves the key out, but probeRevokedKeys does
// not use it yet. Then revoke sets the time to now.
func (s *system) revoke() {
	s.mu.Lock()
	newest := len(s.keyRevokedAt) - 1
	s.keyRevokedAt[apiKeyName(newest+1)] = time.Time{}
	s.mu.Unlock()
	s.configure()
	s.mu.Lock()
	s.keyRevokedAt[apiKeyName(newest)] = time.Now().Add(time.Hour)
	s.mu.Unlock()
	s.configure()
	s.mu.Lock()
	s.keyRevokedAt[apiKeyName(newest)] = time.Now()
	s.mu.Unlock()
}
