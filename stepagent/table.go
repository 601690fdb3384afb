package stepagent

import (
	"errors"
	"math"
	"slices"
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
	// usage is that of worker.Running.
	usage int
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
	// vm identifies the VM in the names of incarnations; empty leaves it out. It is
	// constant.
	vm string

	mu sync.Mutex
	// current is the incarnation whose status was merged last. It changes only when the
	// worker itself answers as another, because an announcement can come from elsewhere
	// and a worker that does not answer can still run tasks.
	current incarnation
	// identifiedBy is the number of the status call that showed current. Readings of the
	// clock by earlier calls belong to an earlier incarnation.
	identifiedBy int64
	// sighted is an answer as another incarnation that is not confirmed yet, or nil. No
	// start order is sent meanwhile.
	sighted *sighting
	// announced is the newest announcement of the current incarnation. It has only an ID
	// until there is one.
	announced worker.Announcement
	// outdatedSequence is the number of the newest announcement with a lower one than
	// announced, 0 if none has come since.
	outdatedSequence int64
	// candidate is the newest announcement of another incarnation than the current one, or
	// nil. refuted is the last candidate that the worker has denied to be.
	candidate *candidate
	refuted   incarnation
	// announcementValidity is how long the capacity in an announcement can be relied on.
	// announcementUntil is when that of announced ends, on the boot-time clock, which also
	// counts the time for which the VM is suspended.
	announcementValidity time.Duration
	announcementUntil    time.Time
	// leaving is true after a message that the worker ends, until its next announcement.
	// The message can be late or come from elsewhere.
	leaving bool
	// unhealthy is set when a status call of poll returns an error, which it does not for
	// a refusal because of a stale token, and when the worker refuses any status call as
	// unhealthy. A merged status clears it. While it is set, calls extend no lease and
	// acknowledge no end, because another incarnation may receive them, and no start order
	// is sent.
	unhealthy bool
	// unansweredSince is when the first status call of poll failed since the current
	// incarnation last answered one, zero if none has. A refusal is an answer.
	unansweredSince time.Time
	runs            map[worker.Run]*run
	// endedRuns are the ended runs that the worker has listed and the planner
	// has not yet stored, ordered by EndNumber.
	endedRuns []worker.Ended
	// forgetThrough is the EndNumber of the last ended run that the worker may
	// forget, because the planner has stored all ended runs up to it.
	forgetThrough int64
	// ackDue says that the worker may not have forgotten all of these. Otherwise calls
	// acknowledge nothing, because the next incarnation numbers its ends from 1 again.
	ackDue bool
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
	// leaseRequestedAt is when the agent last requested a lease, or when its process began to
	// listen if it has requested none. No lease that the worker holds, or may still be
	// given, was requested later: the process before has ended by then.
	leaseRequestedAt time.Time
	// lastCall is the number of the newest call to the worker. lastMergedCall is
	// the highest number of a call whose status was merged; statuses of earlier
	// calls are ignored, because replies can arrive out of order.
	lastCall, lastMergedCall int64
	// version rises with every change of the table that is reported at once, and
	// with every registration and certain outcome of a start order.
	version int
	// former holds the incarnations that ended a short time ago, oldest first.
	former []formerWorker
	// onRetired is called with each incarnation that has ended, onBegun with each new one
	// and its announcement, and onRefuted with an announced incarnation that the worker
	// has denied to be. They do not wait.
	onRetired func(formerWorker)
	onBegun   func(incarnation, worker.Announcement)
	onRefuted func(incarnation)
	// reportDue is signalled when a report has to be sent at once, endsStored when the
	// planner has stored ends.
	reportDue, endsStored chan struct{}
}

func newWorkerTable(announcementValidity time.Duration) *workerTable {
	return &workerTable{announcementValidity: announcementValidity, runs: map[worker.Run]*run{}, reportDue: make(chan struct{}, 1), endsStored: make(chan struct{}, 1)}
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

// name is the name of the current incarnation in reports and orders. It also names the VM,
// because an agent of the same name on another VM tells nothing about this one. The caller
// holds the mutex.
func (t *workerTable) name() string {
	if t.vm == "" {
		return t.current.String()
	}
	return t.current.String() + worker.VMSeparator + t.vm
}

// announcementValid reports whether the capacity of the newest announcement can be
// relied on. The caller holds the mutex.
func (t *workerTable) announcementValid() bool { return boottime.Now().Before(t.announcementUntil) }

// markLeaving records a message that the worker with the ID ends for good.
func (t *workerTable) markLeaving(id string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.identified() && t.current.ID == id {
		t.leaving = true
		t.requestReport()
	}
}

// readClock records the reading of the worker's clock in the reply to the call with the
// number, unless the reading is not later than the last one or belongs to an earlier
// incarnation. The caller holds the mutex.
func (t *workerTable) readClock(clock time.Duration, number int64) {
	if clock > t.clock && number >= t.identifiedBy {
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

// raiseToken raises the fencing token. Once the worker has seen the new token, it
// refuses all orders that were sent with lower ones. The caller holds the mutex.
func (t *workerTable) raiseToken() {
	t.raiseTokenAbove(t.workerTime())
}

// workerTime is the start time of the worker plus the last reading of its clock, in ms.
// Before it is identified they are those of its announcement, which may be wrong, so that
// they count only up to the present.
func (t *workerTable) workerTime() int64 {
	if !t.identified() && t.candidate != nil {
		a := t.candidate.announcement
		return min(a.StartedAtUnixMs+max(a.Clock, t.clock).Milliseconds(), time.Now().UnixMilli())
	}
	return t.current.StartedAtUnixMs + t.clock.Milliseconds()
}

// raiseTokenAbove raises the fencing token, at least to the lower bound. Bounds that are
// workerTime make it rise across restarts of the agent and of the worker. The caller holds
// the mutex.
func (t *workerTable) raiseTokenAbove(bound int64) { t.token = max(t.token+1, bound) }

// maxSteppedToken bounds the tokens that raiseStaleToken reaches by more than one at a time.
// Up to it, each is the same number in every JSON decoder.
const maxSteppedToken = 1 << 53

// raiseStaleToken raises the fencing token after the worker has refused a call as stale,
// unless the token has been raised since. Each refusal in a row doubles the step, since the
// worker does not say which token it has seen. The caller holds the mutex.
func (t *workerTable) raiseStaleToken(refused int64) {
	if refused < t.token {
		return
	}
	if t.tokenStep = max(1, 2*t.tokenStep); t.tokenStep > maxSteppedToken-t.token {
		t.tokenStep = 1
	}
	t.raiseTokenAbove(max(t.token+t.tokenStep, t.workerTime()))
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

// errSighted means that the worker has answered as another incarnation than before, which
// the next call has to confirm.
var errSighted = errors.New("another incarnation of the worker answered")

// merge updates the table from the status that the worker returned for the call
// with the number, token and ID. It ignores the status of an earlier call than the
// last one merged. It returns errSighted if another incarnation has answered that is not
// confirmed yet. The caller holds the mutex.
func (t *workerTable) merge(s worker.Status, id string, number, token int64) error {
	if number < t.lastMergedCall {
		return nil
	}
	if !t.recognize(s, id, number, time.Now()) {
		return errSighted
	}
	t.lastMergedCall = number
	t.readClock(s.Clock, number)
	t.tokenStep = 0
	changed := t.unhealthy
	t.unhealthy, t.unansweredSince = false, time.Time{}
	present := map[worker.Run]bool{}
	for _, r := range s.Running {
		present[r.Run] = true
		changed = t.mergeRunning(r, number) || changed
	}
	lastEnd := t.forgetThrough
	if n := len(t.endedRuns); n > 0 {
		lastEnd = t.endedRuns[n-1].EndNumber
	}
	t.ackDue = false
	for _, e := range s.Ended {
		present[e.Run] = true
		t.ackDue = t.ackDue || e.EndNumber <= t.forgetThrough
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
	return nil
}

// mergeRunning updates the table from a run that the worker lists, and reports
// whether the run was unknown or unconfirmed before. It ignores a run that is known
// to have ended. number is the number of the status call.
func (t *workerTable) mergeRunning(r worker.Running, number int64) bool {
	known := t.runs[r.Run]
	if t.hasEnded(r.Run) {
		// The worker made this status before the run ended.
		return false
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
	known.checkpoint, known.progress, known.usage = r.Checkpoint, r.Progress, r.Usage
	return changed
}

// hasEnded reports whether the worker has listed an end of the run that the planner has not
// stored. The caller holds the mutex.
func (t *workerTable) hasEnded(key worker.Run) bool {
	return slices.ContainsFunc(t.endedRuns, func(e worker.Ended) bool { return e.Run == key })
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
	if incarnation != t.name() || through <= t.forgetThrough {
		return
	}
	t.forgetThrough, t.ackDue = through, true
	select {
	case t.endsStored <- struct{}{}:
	default:
	}
	for len(t.endedRuns) > 0 && t.endedRuns[0].EndNumber <= through {
		t.endedRuns = t.endedRuns[1:]
	}
}
