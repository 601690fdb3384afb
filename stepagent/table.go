package stepagent

import (
	"fmt"
	"math"
	"sync"
	"time"

	"celerypoint.example/celerypoint/boottime"
	"celerypoint.example/celerypoint/worker"
)

// run is what the agent knows about one run of a task.
type run struct {
	// starting is true while startRun is still executing and may send the start
	// order again. fencedOff is true when the worker does not have the run and
	// refuses the start orders sent so far, because it has seen a higher token.
	starting, fencedOff bool
	// sent is true once a start order was sent. startedAt is when the first was sent,
	// or when the agent first found the run.
	sent      bool
	startedAt time.Time
	// doubtful is true once a start order was not answered. The incarnation that it was
	// sent to may have carried it out.
	doubtful bool
	// confirmed is true once the worker has accepted the start order or has
	// listed the run.
	confirmed  bool
	checkpoint string
	// progress is in percent. progressAt is when it last increased, or when the run
	// was first listed.
	progress   int
	progressAt time.Time
	// absentAfter decides whether a complete status that does not list the run
	// proves that the worker does not run it. For an unconfirmed run it is the
	// token of the newest start order, or notSent: only a status requested with a
	// higher token is proof. For a confirmed run it is compared with the number
	// of the status call, because the status of an earlier call may not list the
	// run yet. It is then the number of the newest call when the worker's reply
	// confirmed the run, or of the status call that first listed it.
	absentAfter int64
}

// notSent is the value of absentAfter for a run whose start order has not been
// sent.
const notSent = math.MaxInt64

// workerTable is what the agent knows about its worker. Its mutex and that of the
// session are the only locks of the package; the session's is taken first.
type workerTable struct {
	mu sync.Mutex
	// announced is the newest announcement of the worker. known is false before
	// the first.
	announced worker.Announcement
	known     bool
	// announcementValidity is how long the capacity in an announcement can be relied on.
	// announcementUntil is when that of the newest one ends, on the boot-time clock,
	// which also counts the time for which the VM is suspended.
	announcementValidity time.Duration
	announcementUntil    time.Time
	// statusRead is true once a status of the worker's current incarnation has
	// been read.
	statusRead bool
	// down is true when the worker's address refuses connections, or when the
	// worker announced that it has ended for good, until the next announcement or
	// merged status. unhealthy is set when a status call of poll returns an error,
	// which it does not for a refusal because of a stale token, and when the worker
	// refuses any status call as unhealthy. A merged status or a new incarnation
	// clears it.
	down      bool
	unhealthy bool
	runs      map[worker.Run]*run
	// endedRuns are the ended runs that the worker has listed and the planner
	// has not yet stored, ordered by EndNumber.
	endedRuns []worker.Ended
	// forgetThrough is the EndNumber of the last ended run that the worker may
	// forget, because the planner has stored all ended runs up to it.
	forgetThrough int64
	// token is the fencing token of orders to the worker. It never decreases, because an
	// order for one incarnation can reach the next. tokenStep is by how much it rises
	// after a refusal as stale.
	token, tokenStep int64
	// clock is the worker's clock as read at the time clockAt. Time since
	// clockAt is measured on the agent's monotonic clock, which stops while the VM
	// is suspended, so that minClock never runs ahead of the worker's clock.
	clock   time.Duration
	clockAt time.Time
	// lease is the time, on the worker's clock, until which the planner has
	// allowed the worker to run tasks.
	lease time.Duration
	// lastCall is the number of the newest call to the worker. lastMergedCall is
	// the highest number of a call whose status was merged; statuses of earlier
	// calls are ignored, because replies can arrive out of order.
	lastCall, lastMergedCall int64
	// version rises with every change of the table that is reported at once, and
	// with every registration and certain outcome of a start order.
	version int
	// retired says that the current incarnation is known to have ended and is in former,
	// which holds the incarnations that ended a short time ago, oldest first. onRetired
	// is called with each, and onRevived with the name of one that has answered
	// afterwards. They do not wait.
	retired   bool
	former    []formerWorker
	onRetired func(formerWorker)
	onRevived func(incarnation string)
	// reportDue is signalled when a report has to be sent at once.
	reportDue chan struct{}
}

func newWorkerTable(announcementValidity time.Duration) *workerTable {
	return &workerTable{announcementValidity: announcementValidity, runs: map[worker.Run]*run{}, reportDue: make(chan struct{}, 1)}
}

// requestReport counts a change of the table and has it reported to the planner
// at once. The caller holds the mutex.
func (t *workerTable) requestReport() {
	t.version++
	select {
	case t.reportDue <- struct{}{}:
	default:
	}
}

func (t *workerTable) incarnation() string { return incarnationOf(t.announced) }

// incarnationOf returns the name of one incarnation of a worker, which is its
// lifetime from one start of its process to the next.
func incarnationOf(a worker.Announcement) string {
	return fmt.Sprintf("%s/%d", a.ID, a.StartedAtUnixMs)
}

// applyAnnouncement records an announcement of the worker. It ignores one of an
// earlier incarnation and an older one of the same incarnation. It reports whether
// the announcement is the first of its incarnation, and whether it is the first of
// the incarnation to say that the worker is draining.
func (t *workerTable) applyAnnouncement(a worker.Announcement) (newIncarnation, nowDraining bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	sameIncarnation := t.known && a.ID == t.announced.ID && a.StartedAtUnixMs == t.announced.StartedAtUnixMs
	switch {
	case t.announced.ID != "" && !sameIncarnation && a.StartedAtUnixMs < t.announced.StartedAtUnixMs:
		return false, false
	case sameIncarnation && a.Sequence < t.announced.Sequence:
		return false, false
	}
	nowDraining = a.Draining && (!sameIncarnation || !t.announced.Draining)
	if !sameIncarnation {
		t.retire(signOtherAnnouncement, time.Now())
		t.resetIncarnation()
		newIncarnation = true
	}
	changed := newIncarnation || nowDraining || t.down || a.Capacity != t.announced.Capacity || !t.announcementValid()
	t.announced, t.known, t.down = a, true, false
	t.announcementUntil = boottime.Now().Add(t.announcementValidity)
	t.readClock(a.Clock)
	if changed {
		t.requestReport()
	}
	return newIncarnation, nowDraining
}

// announcementValid reports whether the capacity of the newest announcement can be
// relied on. The caller holds the mutex.
func (t *workerTable) announcementValid() bool { return boottime.Now().Before(t.announcementUntil) }

// resetIncarnation discards everything that belongs to the worker's earlier
// incarnation.
func (t *workerTable) resetIncarnation() {
	t.runs, t.endedRuns = map[worker.Run]*run{}, nil
	t.forgetThrough, t.lease = 0, 0
	t.clock, t.statusRead, t.unhealthy, t.retired = 0, false, false, false
}

// markLeft records that the worker has announced that it ends for good.
func (t *workerTable) markLeft(id string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.known && t.announced.ID == id {
		t.down = true
		t.retire(signAnnouncedEnd, time.Now())
		t.requestReport()
	}
}

// readClock records a reading of the worker's clock, unless the reading is not
// later than the last one. The caller holds the mutex.
func (t *workerTable) readClock(clock time.Duration) {
	if clock > t.clock {
		t.clock, t.clockAt = clock, time.Now()
	}
}

// minClockRate is the slowest rate at which a worker's clock runs relative to the
// agent's. Estimates use it so that they never run ahead of the worker's clock.
const minClockRate = 0.98

// minClock returns a lower bound of the worker's clock at this moment. The caller
// holds the mutex.
func (t *workerTable) minClock() time.Duration {
	return t.clock + time.Duration(float64(time.Since(t.clockAt))*minClockRate)
}

// raiseToken raises the fencing token, at least to workerTime. Once the worker has seen the
// new token, it refuses all orders that were sent with lower ones. The caller holds the
// mutex.
func (t *workerTable) raiseToken() { t.token = max(t.token+1, t.workerTime()) }

// workerTime is the start time of the worker plus the last reading of its clock, in ms. It
// rises across restarts of the agent and of the worker. The caller holds the mutex.
func (t *workerTable) workerTime() int64 {
	return t.announced.StartedAtUnixMs + t.clock.Milliseconds()
}

// raiseStaleToken raises the fencing token after the worker has refused a call as stale,
// unless the token has been raised since. Each refusal in a row doubles the step, since the
// worker does not say which token it has seen. The caller holds the mutex.
func (t *workerTable) raiseStaleToken(refused int64) {
	if refused < t.token {
		return
	}
	t.tokenStep = max(1, 2*t.tokenStep)
	t.token = max(t.token+t.tokenStep, t.workerTime())
}

// nextCall returns the number and the token for a new call to the worker. The
// caller holds the mutex.
func (t *workerTable) nextCall() (number, token int64) {
	t.lastCall++
	if t.token == 0 {
		t.raiseToken()
	}
	return t.lastCall, t.token
}

// merge updates the table from the status that the worker returned for the call
// with the number and token. It ignores the status of an earlier call than the
// last one merged. It reports false when the status belongs to another incarnation
// of the worker. The caller holds the mutex.
func (t *workerTable) merge(s worker.Status, number, token int64) bool {
	if s.StartedAtUnixMs != 0 && s.StartedAtUnixMs != t.announced.StartedAtUnixMs {
		return false
	}
	t.readClock(s.Clock)
	if number < t.lastMergedCall {
		return true
	}
	t.lastMergedCall, t.tokenStep = number, 0
	t.revive()
	changed := !t.statusRead || t.unhealthy || t.down
	t.statusRead, t.unhealthy, t.down = true, false, false
	present := map[worker.Run]bool{}
	for _, r := range s.Running {
		present[r.Run] = true
		changed = t.mergeRunning(r, number) || changed
	}
	lastEnd := t.forgetThrough
	if n := len(t.endedRuns); n > 0 {
		lastEnd = t.endedRuns[n-1].EndNumber
	}
	for _, e := range s.Ended {
		present[e.Run] = true
		if e.EndNumber > lastEnd {
			lastEnd = e.EndNumber
			t.endedRuns = append(t.endedRuns, e)
			delete(t.runs, e.Run)
			changed = true
		}
	}
	for key, r := range t.runs {
		if present[key] || !s.Complete {
			continue
		}
		// A complete status that lacks the run proves that the worker does not
		// run it if the run was confirmed before the status was requested, or
		// if the status was requested with a higher token than the start order.
		switch {
		case !r.confirmed && r.starting:
			r.fencedOff = r.fencedOff || r.absentAfter < token
		case r.confirmed && r.absentAfter < number, !r.confirmed && r.absentAfter < token:
			delete(t.runs, key)
			changed = true
		}
	}
	if changed {
		t.requestReport()
	}
	return true
}

// mergeRunning updates the table from a run that the worker lists, and reports
// whether the run was unknown or unconfirmed before. It ignores a run that is known
// to have ended. number is the number of the status call.
func (t *workerTable) mergeRunning(r worker.Running, number int64) bool {
	known := t.runs[r.Run]
	for _, e := range t.endedRuns {
		if e.Run == r.Run {
			// The worker made this status before the run ended.
			return false
		}
	}
	if known == nil {
		known = &run{absentAfter: number, startedAt: time.Now()}
		t.runs[r.Run] = known
	}
	changed := !known.confirmed
	if changed {
		known.confirmed, known.absentAfter = true, number
	}
	if changed || r.Progress > known.progress {
		known.progressAt = time.Now()
	}
	known.checkpoint, known.progress = r.Checkpoint, r.Progress
	return changed
}

// mayStall reports whether a run that the worker has listed has made no progress for
// two statuses.
func (t *workerTable) mayStall(now time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, r := range t.runs {
		if r.confirmed && now.Sub(r.progressAt) > 2*statusWait {
			return true
		}
	}
	return false
}

// applyEndsAck applies the planner's acknowledgement that it has stored the ended
// runs of the incarnation whose EndNumber is at most through: the agent no longer
// reports them, and its next status call allows the worker to forget them.
func (t *workerTable) applyEndsAck(incarnation string, through int64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if incarnation != t.incarnation() || through <= t.forgetThrough {
		return
	}
	t.forgetThrough = through
	for len(t.endedRuns) > 0 && t.endedRuns[0].EndNumber <= through {
		t.endedRuns = t.endedRuns[1:]
	}
}
