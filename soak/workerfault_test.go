package soak

import (
	"bytes"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net/http"
	"slices"
	"strings"
	"sync"
	"syscall"
	"time"

	"celerypoint.example/celerypoint/faultproxy"
)

// workerPath is one of the two paths between an agent and its worker.
type workerPath string

const (
	pathCalls      workerPath = "agent to worker"
	pathHeartbeats workerPath = "worker to agent"
)

type (
	// pathFault disturbs a path between an agent and its worker for the duration of the
	// fault.
	pathFault struct {
		agent  int
		path   workerPath
		faults faultproxy.Faults
	}
	// foreignMessage sends a message to an agent that is not its worker's.
	foreignMessage struct {
		agent int
		kind  foreignKind
	}
	// absenceFault crashes a worker, which starts again at the end of the fault and has
	// its heartbeats refused for silence. newID gives it another ID.
	absenceFault struct {
		agent   int
		newID   bool
		silence time.Duration
	}
	// lateFault passes calls to a worker on late, which crashes meanwhile if crash is set
	// and starts again under its ID.
	lateFault struct {
		agent int
		calls lateCalls
		crash bool
	}
)

func (pathFault) fault()      {}
func (foreignMessage) fault() {}
func (absenceFault) fault()   {}
func (lateFault) fault()      {}

// workerPaths holds the fault proxies on the paths between an agent and its worker.
type workerPaths struct {
	calls, heartbeats *faultproxy.Proxy

	mu sync.Mutex
	// active are the faults that are in force, of which the newest of each path applies.
	active []*pathFault
	// delays are the times at which calls arrived late at the worker.
	delays []period
	// workerDown says that calls are refused, workerSilent that heartbeats are, in
	// addition to the faults.
	workerDown, workerSilent bool
}

// period is a time from a start to an end.
type period struct{ from, to time.Time }

// apply sets the faults of both proxies. The caller holds the mutex.
func (p *workerPaths) apply() error {
	faults := map[workerPath]faultproxy.Faults{}
	for _, f := range p.active {
		faults[f.path] = f.faults
	}
	calls, heartbeats := faults[pathCalls], faults[pathHeartbeats]
	calls.Refuse = calls.Refuse || p.workerDown
	heartbeats.Refuse = heartbeats.Refuse || p.workerSilent
	if err := p.calls.SetFaults(calls); err != nil {
		return err
	}
	return p.heartbeats.SetFaults(heartbeats)
}

func (p *workerPaths) setWorkerDown(down bool) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.workerDown = down
	return p.apply()
}

func (p *workerPaths) setWorkerSilent(silent bool) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.workerSilent = silent
	return p.apply()
}

func (p *workerPaths) start(f *pathFault) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.active = append(p.active, f)
	return p.apply()
}

func (p *workerPaths) end(f *pathFault) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.active = slices.DeleteFunc(p.active, func(other *pathFault) bool { return other == f })
	return p.apply()
}

// check records an error of a fault injection as a violation.
func (s *system) check(err error) {
	if err != nil {
		s.fail("fault injection: %v", err)
	}
}

func (s *system) startPathFault(f pathFault) (end func()) {
	paths, startedAt := &s.agents[f.agent].paths, time.Now()
	s.check(paths.start(&f))
	return func() {
		s.check(paths.end(&f))
		paths.recordDelay(f, startedAt)
	}
}

// deliveryTime is how long after the end of a fault the calls that it delayed still arrive.
const deliveryTime = time.Second

func (p *workerPaths) recordDelay(f pathFault, startedAt time.Time) {
	if up := f.faults.Up; f.path == pathCalls && (up.Block == faultproxy.BlockHold || up.DelayMs > 0) {
		p.addDelay(period{startedAt, time.Now().Add(deliveryTime)})
	}
}

func (p *workerPaths) addDelay(d period) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.delays = append(p.delays, d)
}

// callsDelayed reports whether a call that arrived at that time may have been delayed.
func (p *workerPaths) callsDelayed(at time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return slices.ContainsFunc(p.delays, func(d period) bool { return at.After(d.from) && at.Before(d.to) })
}

// pathFaults are the faults of a single path. A path that is refused or cut several times
// in a row is drawn apart from them.
var pathFaults = []faultproxy.Faults{
	{Refuse: true},
	{Cut: true},
	{Up: faultproxy.DirectionFaults{Block: faultproxy.BlockHold}},
	{Down: faultproxy.DirectionFaults{Block: faultproxy.BlockHold}},
	{Up: faultproxy.DirectionFaults{Block: faultproxy.BlockDiscard}},
	{Down: faultproxy.DirectionFaults{Block: faultproxy.BlockDiscard}},
	{Up: faultproxy.DirectionFaults{Block: faultproxy.BlockDiscard}, Down: faultproxy.DirectionFaults{Block: faultproxy.BlockDiscard}},
	{Up: faultproxy.DirectionFaults{DelayMs: 100, JitterMs: 400}},
	{Down: faultproxy.DirectionFaults{DelayMs: 100, JitterMs: 400}},
}

func milliseconds(r *rand.Rand, least, most int) time.Duration {
	return time.Duration(least+r.IntN(most-least)) * time.Millisecond
}

// drawPathFaults chooses faults of the paths between agents and workers, with a random
// generator of their own. Some come in series, and some overlap with the end or a pause of
// the same agent.
func (s *system) drawPathFaults(length time.Duration) []scheduledFault {
	r := rand.New(rand.NewPCG(s.seed, 3))
	var all []scheduledFault
	for at := milliseconds(r, 0, 3000); at < length; at += milliseconds(r, 500, 3000) {
		f := pathFault{agent: r.IntN(len(s.agents)), path: pick(r, []workerPath{pathCalls, pathCalls, pathHeartbeats})}
		end := at
		if r.IntN(3) == 0 {
			f.faults = pick(r, []faultproxy.Faults{{Refuse: true}, {Refuse: true}, {Cut: true}})
			for range 2 + r.IntN(4) {
				duration := milliseconds(r, 50, 1000)
				all = append(all, scheduledFault{end, duration, f})
				end += duration + milliseconds(r, 50, 1500)
			}
		} else {
			f.faults = pick(r, pathFaults)
			duration := milliseconds(r, 100, 5000)
			all = append(all, scheduledFault{at, duration, f})
			end += duration
		}
		if r.IntN(3) == 0 {
			p := s.agents[f.agent].process
			all = append(all, scheduledFault{at + milliseconds(r, 0, int((end-at).Milliseconds())), milliseconds(r, 200, 3000), pick(r, []fault{
				signalFault{p, syscall.SIGKILL}, signalFault{p, syscall.SIGSTOP}, stopFault{[]*process{p}},
			})})
		}
	}
	return all
}

// foreignKind is a kind of message that another writer sends to an agent.
type foreignKind string

const (
	foreignUnnamedService foreignKind = "own ID, unnamed service"
	foreignLaterStart     foreignKind = "own ID, later start"
	foreignPort           foreignKind = "own ID, later start, port 70000"
	foreignState          foreignKind = "own ID, unnamed state"
	foreignFewFields      foreignKind = "own ID, few fields"
	foreignOtherID        foreignKind = "other ID, later start"
	foreignOtherUnnamed   foreignKind = "other ID, unnamed service, later start"
	foreignUnreadable     foreignKind = "unreadable"
	foreignNested         foreignKind = "deeply nested"
	foreignLargeNumber    foreignKind = "too large a number"
	foreignDelete         foreignKind = "deletion"
)

var foreignKinds = []foreignKind{
	foreignUnnamedService, foreignLaterStart, foreignPort, foreignState, foreignFewFields, foreignOtherID, foreignOtherUnnamed,
	foreignUnreadable, foreignNested, foreignLargeNumber, foreignDelete,
}

// drawForeignMessages chooses messages of other writers, with a random generator of their
// own.
func (s *system) drawForeignMessages(length time.Duration) []scheduledFault {
	r := rand.New(rand.NewPCG(s.seed, 4))
	var all []scheduledFault
	for at := milliseconds(r, 0, 2000); at < length; at += milliseconds(r, 500, 3500) {
		all = append(all, scheduledFault{at, 0, foreignMessage{r.IntN(len(s.agents)), pick(r, foreignKinds)}})
	}
	return all
}

// foreignBody returns the worker's ID in the path and the body of a heartbeat.
func foreignBody(kind foreignKind, id, address string) (pathID string, body []byte) {
	switch kind {
	case foreignUnreadable:
		return id, []byte("\x00\xff{\"service\":\xc3\x28")
	case foreignNested:
		return id, []byte(`{"service":` + strings.Repeat("[", 100_000) + strings.Repeat("]", 100_000) + `}`)
	case foreignLargeNumber:
		return id, []byte(`{"service":"paint","state":"ready","sequence":18446744073709551616,"born":1e400}`)
	case foreignFewFields:
		return id, fmt.Appendf(nil, `{"service":"paint","state":"ready","born":%d}`, time.Now().UnixMilli())
	}
	fields := map[string]any{
		"service": "paint", "address": address, "zone": "a", "version": "v1", "slots": 8, "state": "ready", "cold_remaining_ms": 0,
		"capacity": map[string]int{"cpu": capacity.CPU, "mem_mb": capacity.MemMB, "gpus": capacity.GPUs},
		"labels":   []string{"a", "r0"}, "clock_ms": 100, "sequence": 1, "born": time.Now().UnixMilli(),
	}
	switch kind {
	case foreignUnnamedService:
		fields["service"] = "nobody"
	case foreignPort:
		fields["address"] = "127.0.0.1:70000"
	case foreignState:
		fields["state"] = "resting"
	case foreignOtherID:
		id = "i-foreign"
	case foreignOtherUnnamed:
		id, fields["service"] = "i-foreign", "nobody"
	}
	body, err := json.Marshal(fields)
	if err != nil {
		panic(err)
	}
	return id, body
}

// sendForeign sends the message to the agent. The agent may not be running.
func (s *system) sendForeign(f foreignMessage) {
	a := s.agents[f.agent]
	a.mu.Lock()
	id := a.workerID
	a.mu.Unlock()
	method, body := http.MethodDelete, []byte(nil)
	if f.kind != foreignDelete {
		method = http.MethodPut
		id, body = foreignBody(f.kind, id, a.paths.calls.Address())
	}
	r, err := http.NewRequest(method, "http://"+a.heartbeatAddress+"/api/instances/"+id, bytes.NewReader(body))
	if err != nil {
		s.check(err)
		return
	}
	client := http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	if response, err := client.Do(r); err == nil {
		_ = response.Body.Close()
	}
}

// drawAbsences chooses crashes after which a worker stays away for a while, with a random
// generator of their own.
func (s *system) drawAbsences(length time.Duration) []scheduledFault {
	r := rand.New(rand.NewPCG(s.seed, 5))
	var all []scheduledFault
	for at := milliseconds(r, 0, 6000); at < length; at += milliseconds(r, 2000, 10_000) {
		all = append(all, scheduledFault{at, milliseconds(r, 0, 9000), absenceFault{r.IntN(len(s.agents)), r.IntN(2) == 0, milliseconds(r, 0, 2000)}})
	}
	return all
}

// startAbsence does nothing if the worker is already absent.
func (s *system) startAbsence(f absenceFault) (end func()) {
	a := s.agents[f.agent]
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.absent {
		return func() {}
	}
	a.absent = true
	s.closeWorker(a)
	return func() {
		s.endAbsence(a, f)
		time.Sleep(f.silence)
		s.check(a.paths.setWorkerSilent(false))
	}
}

func (s *system) endAbsence(a *agentNode, f absenceFault) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.absent = false
	if f.newID {
		a.newIDs++
		a.workerID = fmt.Sprintf("i-%d-%d", f.agent, a.newIDs)
	}
	s.check(a.paths.setWorkerSilent(f.silence > 0))
	s.startNextWorker(a, f.agent)
}

// drawLateCalls chooses calls that are passed on late, with a random generator of their
// own.
func (s *system) drawLateCalls(length time.Duration) []scheduledFault {
	r := rand.New(rand.NewPCG(s.seed, 6))
	var all []scheduledFault
	for at := milliseconds(r, 0, 5000); at < length; at += milliseconds(r, 1000, 7000) {
		calls := lateCalls{1 + r.IntN(3), r.IntN(3) > 0, milliseconds(r, 100, 4000)}
		all = append(all, scheduledFault{at, milliseconds(r, 500, 3000), lateFault{r.IntN(len(s.agents)), calls, r.IntN(2) == 0}})
	}
	return all
}

// startLate delays calls for the duration of the fault. Delayed calls may arrive after it.
func (s *system) startLate(f lateFault) (end func()) {
	a, startedAt := s.agents[f.agent], time.Now()
	a.forwarder.setLate(f.calls)
	return func() {
		if f.crash {
			s.replaceWorker(f.agent)
		}
		a.forwarder.setLate(lateCalls{})
		a.paths.addDelay(period{startedAt, time.Now().Add(f.calls.delay + deliveryTime)})
	}
}
