package stepagent

import (
	"fmt"
	"time"

	"celerypoint.example/celerypoint/boottime"
	"celerypoint.example/celerypoint/worker"
)

// incarnation identifies the lifetime of a worker from one start of its process to the
// next. The zero value identifies none.
type incarnation struct {
	ID              string
	StartedAtUnixMs int64
}

// String is the name of the incarnation in reports and logs.
func (i incarnation) String() string { return fmt.Sprintf("%s/%d", i.ID, i.StartedAtUnixMs) }

func incarnationOf(a worker.Announcement) incarnation {
	return incarnation{a.ID, a.StartedAtUnixMs}
}

// sighting is an answer of the worker as another incarnation than the current one. Only an
// answer to a later call confirms it, because the replies to two calls can arrive in
// another order than that of the incarnations that sent them.
type sighting struct {
	incarnation incarnation
	// lastCall is the newest call that had been sent when the answer arrived.
	lastCall int64
}

// candidate is an announcement of an incarnation that the worker has not answered as.
// Until it does, nothing shows whether the announcement is the worker's, and whether the
// current incarnation has ended.
type candidate struct {
	announcement worker.Announcement
	validUntil   time.Time
}

// applied tells what became of an announcement.
type applied string

const (
	// appliedCurrent means that it describes the current incarnation.
	appliedCurrent applied = "current"
	// appliedDraining means the same, and that it is the first to say that the
	// incarnation drains.
	appliedDraining applied = "draining"
	// appliedCandidate means that the worker is asked whether it is that incarnation.
	appliedCandidate applied = "candidate"
	// appliedRepeated means the same, and that the worker is being asked already, or has
	// denied it.
	appliedRepeated applied = "repeated"
	// appliedOutdated means that a newer announcement of the incarnation is known.
	appliedOutdated applied = "outdated"
)

// applyAnnouncement records an announcement. One of another incarnation than the current
// one changes nothing but the candidate.
func (t *workerTable) applyAnnouncement(a worker.Announcement) applied {
	t.mu.Lock()
	defer t.mu.Unlock()
	validUntil := boottime.Now().Add(t.announcementValidity)
	if t.identified() && incarnationOf(a) == t.current {
		return t.applyCurrent(a, validUntil)
	}
	repeated := incarnationOf(a) == t.refuted
	if c := t.candidate; c != nil && incarnationOf(a) == incarnationOf(c.announcement) {
		if a.Sequence < c.announcement.Sequence {
			return appliedOutdated
		}
		repeated = true
	}
	t.candidate = &candidate{a, validUntil}
	if repeated {
		return appliedRepeated
	}
	return appliedCandidate
}

// applyCurrent records an announcement of the current incarnation. The caller holds the
// mutex.
func (t *workerTable) applyCurrent(a worker.Announcement, validUntil time.Time) applied {
	if a.Sequence < t.announced.Sequence {
		// While nothing newer comes, two in order show that the high number was not the
		// worker's.
		followed := t.outdatedSequence > 0 && a.Sequence > t.outdatedSequence
		t.outdatedSequence = a.Sequence
		if t.announcementValid() || !followed {
			return appliedOutdated
		}
	}
	t.outdatedSequence = 0
	draining := a.Draining && !t.announced.Draining
	changed := draining || t.leaving || a.Capacity != t.announced.Capacity || !t.announcementValid()
	t.announced, t.announcementUntil, t.leaving = a, validUntil, false
	if changed {
		t.requestReport()
	}
	if draining {
		return appliedDraining
	}
	return appliedCurrent
}

// identified reports whether the worker has answered a status call. The caller holds the
// mutex.
func (t *workerTable) identified() bool { return t.current != incarnation{} }

// candidateID is the ID to ask the worker for that is not the current one, empty if there
// is none. The caller holds the mutex.
func (t *workerTable) candidateID() string {
	if t.candidate == nil || t.candidate.announcement.ID == t.current.ID {
		return ""
	}
	return t.candidate.announcement.ID
}

// refute drops the candidate with the ID, which the worker has said not to be. The caller
// holds the mutex.
func (t *workerTable) refute(id string) {
	if t.candidateID() != id {
		return
	}
	refuted := incarnationOf(t.candidate.announcement)
	t.candidate = nil
	if t.refuted != refuted && t.onRefuted != nil {
		t.onRefuted(refuted)
	}
	t.refuted = refuted
}

// recognize decides which incarnation has answered the status call with the number and
// the ID. It reports whether that is the current one, which it changes if an earlier
// answer showed the same. The caller holds the mutex and holds a complete status s.
func (t *workerTable) recognize(s worker.Status, id string, number int64, now time.Time) bool {
	answered := incarnation{id, s.StartedAtUnixMs}
	if s.StartedAtUnixMs == 0 {
		// Without a start time of its own the worker is known by its ID.
		switch {
		case id == t.current.ID:
			answered = t.current
		case t.candidate != nil && id == t.candidate.announcement.ID:
			answered = incarnationOf(t.candidate.announcement)
		}
	}
	switch {
	case answered == t.current:
		if t.sighted != nil && number > t.sighted.lastCall {
			t.sighted = nil
		}
		return true
	case t.sighted == nil || t.sighted.incarnation != answered:
		t.sighted = &sighting{answered, t.lastCall}
		// The call that confirms the sighting has a higher token than all orders before
		// it, so that its status shows which of them this incarnation has carried out.
		t.raiseTokenAbove(answered.StartedAtUnixMs + s.Clock.Milliseconds())
		return false
	case number <= t.sighted.lastCall:
		return false
	}
	t.begin(answered, s, number, now)
	return true
}

// begin makes an incarnation the current one. Runs of the one before that it lists are
// its own: their orders reached the worker after its restart. The caller holds the mutex.
func (t *workerTable) begin(i incarnation, s worker.Status, number int64, now time.Time) {
	listed := map[worker.Run]bool{}
	for _, r := range s.Running {
		listed[r.Run] = true
	}
	for _, e := range s.Ended {
		listed[e.Run] = true
	}
	kept := map[worker.Run]*run{}
	for key, r := range t.runs {
		if listed[key] {
			kept[key] = r
			delete(t.runs, key)
		}
	}
	t.retire(now)
	t.current, t.identifiedBy, t.sighted = i, number, nil
	t.runs, t.endedRuns = kept, nil
	t.forgetThrough, t.lease, t.clock = 0, 0, 0
	t.announced, t.announcementUntil, t.leaving, t.unhealthy = worker.Announcement{ID: i.ID}, time.Time{}, false, true
	if c := t.candidate; c != nil && incarnationOf(c.announcement) == i {
		t.announced, t.announcementUntil, t.candidate = c.announcement, c.validUntil, nil
	}
	if t.onBegun != nil {
		t.onBegun(i, t.announced)
	}
}
