package stepagent

import (
	"fmt"
	"math"
	"sync"
	"time"

	"celerypoint.example/celerypoint/worker"
)

// run is one run as the agent knows it.
type run struct {
	// active says that the order is still being carried out, and may be sent
	// again; void says that the worker has fenced off what was sent so far.
	active, void bool
	// settled is false while an order to start it has no certain answer.
	settled    bool
	checkpoint string
	progress   int
	// since is the number of the newest call to the worker when the run was
	// settled; an answer to an earlier call may not list it yet. Of a run that
	// is not settled it is the token of the newest order, or unsent.
	since int64
}

// unsent marks a run whose order has not been sent.
const unsent = math.MaxInt64

// table is what the agent knows of its worker. Its mutex is the only lock of
// the package beside the session's, and is taken after it.
type table struct {
	mu sync.Mutex
	// announced is the newest announcement; known is false before the first,
	// and after the worker left.
	announced worker.Announcement
	known     bool
	// listed says that a status of the worker's present life was read.
	listed bool
	// down says that the worker's VM refuses connections.
	down      bool
	unhealthy bool
	runs      map[worker.Run]*run
	// ends are listed ends that the planner has not stored, in the order of
	// their numbers.
	ends []worker.Ended
	// forget is the number through which the worker may forget its ends.
	forget int64
	// token fences orders; it never falls within a life of the worker.
	token int64
	// clock is the worker's clock as read at clockAt on the steady clock,
	// which stands still while the VM is suspended and so never runs ahead.
	clock   time.Duration
	clockAt time.Time
	// lease is the deadline, on the worker's clock, that a planner granted.
	lease time.Duration
	// calls numbers the calls to the worker; merged is the highest whose status
	// was taken over, because answers can overtake each other.
	calls, merged int64
	// version numbers the states of the table that reports show.
	version int
	// changed is signalled when a report is due at once.
	changed chan struct{}
}

func newTable() *table {
	return &table{runs: map[worker.Run]*run{}, changed: make(chan struct{}, 1)}
}

// touch marks a change that the planner has to know at once. The caller holds
// the mutex.
func (t *table) touch() {
	t.version++
	select {
	case t.changed <- struct{}{}:
	default:
	}
}

func (t *table) key() string { return lifeName(t.announced) }

// lifeName names one life of a worker.
func lifeName(a worker.Announcement) string { return fmt.Sprintf("%s/%d", a.ID, a.Boot) }

// announce takes over an announcement. One of an earlier life, or an older one
// of the same life, changes nothing.
func (t *table) announce(a worker.Announcement) (newLife, nowDraining bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	sameLife := t.known && a.ID == t.announced.ID && a.Boot == t.announced.Boot
	switch {
	case t.announced.ID != "" && !sameLife && a.Boot < t.announced.Boot:
		return false, false
	case sameLife && a.Sequence < t.announced.Sequence:
		return false, false
	}
	nowDraining = a.Draining && (!sameLife || !t.announced.Draining)
	if !sameLife {
		t.newLife()
		newLife = true
	}
	changed := newLife || nowDraining || t.down
	t.announced, t.known, t.down = a, true, false
	t.readClock(a.Clock)
	if changed {
		t.touch()
	}
	return newLife, nowDraining
}

// newLife forgets what belongs to the worker's earlier life.
func (t *table) newLife() {
	t.runs, t.ends = map[worker.Run]*run{}, nil
	t.forget, t.token, t.lease = 0, 0, 0
	t.clock, t.listed, t.unhealthy = 0, false, false
}

// left says that the worker ends for good.
func (t *table) left(id string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.known && t.announced.ID == id {
		t.down = true
		t.runs, t.ends = map[worker.Run]*run{}, nil
		t.touch()
	}
}

// readClock takes over a reading of the worker's clock. The caller holds the
// mutex.
func (t *table) readClock(clock time.Duration) {
	if clock > t.clock {
		t.clock, t.clockAt = clock, time.Now()
	}
}

// clockRate is the slowest rate of a worker's clock, so that an estimate never
// runs ahead of it.
const clockRate = 0.98

// estimate is the least that the worker's clock shows now.
func (t *table) estimate() time.Duration {
	return t.clock + time.Duration(float64(time.Since(t.clockAt))*clockRate)
}

// raiseToken makes every order that was sent before void once the worker has
// seen the new token. The token follows the worker's own clock, so that it also
// rises when the agent starts anew.
func (t *table) raiseToken() int64 {
	t.token = max(t.token+1, t.clock.Milliseconds())
	return t.token
}

// call numbers a call to the worker and returns the token to use.
func (t *table) call() (number, token int64) {
	t.calls++
	if t.token == 0 {
		t.raiseToken()
	}
	return t.calls, t.token
}

// merge takes over a status that answers the call with the number and token.
// It reports false when the status belongs to another life.
func (t *table) merge(s worker.Status, number, token int64) bool {
	if s.Boot != 0 && s.Boot != t.announced.Boot {
		return false
	}
	t.readClock(s.Clock)
	if number < t.merged {
		return true
	}
	t.merged = number
	changed := !t.listed || t.unhealthy || t.down
	t.listed, t.unhealthy, t.down = true, false, false
	present := map[worker.Run]bool{}
	for _, r := range s.Running {
		present[r.Run] = true
		changed = t.running(r, number) || changed
	}
	last := t.forget
	if n := len(t.ends); n > 0 {
		last = t.ends[n-1].Number
	}
	for _, e := range s.Ended {
		present[e.Run] = true
		if e.Number > last {
			last = e.Number
			t.ends = append(t.ends, e)
			delete(t.runs, e.Run)
			changed = true
		}
	}
	for key, r := range t.runs {
		if present[key] || !s.Complete {
			continue
		}
		// The worker has seen a higher token than the order's, or the run was
		// settled before the status was asked for.
		switch {
		case !r.settled && r.active:
			r.void = r.void || r.since < token
		case r.settled && r.since < number, !r.settled && r.since < token:
			delete(t.runs, key)
			changed = true
		}
	}
	if changed {
		t.touch()
	}
	return true
}

// running takes over a listed run and reports whether it is news.
func (t *table) running(r worker.Running, number int64) bool {
	known := t.runs[r.Run]
	for _, e := range t.ends {
		if e.Run == r.Run {
			// The status is older than the end.
			return false
		}
	}
	if known == nil {
		known = &run{since: number}
		t.runs[r.Run] = known
	}
	news := !known.settled
	known.settled = true
	known.checkpoint, known.progress = r.Checkpoint, r.Progress
	return news
}

// stored lets the worker forget ends of the life.
func (t *table) stored(life string, through int64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if life != t.key() || through <= t.forget {
		return
	}
	t.forget = through
	for len(t.ends) > 0 && t.ends[0].Number <= through {
		t.ends = t.ends[1:]
	}
}
