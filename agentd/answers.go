package agentd

import (
	"slices"
	"sync"
	"time"

	"celerypoint.example/celerypoint/wire"
)

// answerTable holds the ends of tasks. The bytes of answers stay at the
// runtime, so that the agent's memory does not grow with them.
type answerTable struct {
	sync.Mutex
	// answers by task identifier.
	answers map[string]*answer
	// complete holds the attempts whose tasks all ended with answers.
	complete map[string]bool
	// reports wait for an entry's confirmation, by task identifier.
	reports map[string]*report
	// ended holds the ends of an attempt's tasks, also the confirmed ones, for a
	// planner that takes over.
	ended map[string][]wire.TaskEndedParams
	// kept lists what is dropped at its deadline, the earliest first; each has
	// the same retention.
	kept []kept
	// owed counts orders whose attempt has ended and whose reply is not sent.
	owed int
	// changed is closed and replaced when an answer is read, a report is
	// confirmed or a reply is sent.
	changed chan struct{}
}

type answer struct {
	length   int
	checksum string
	read     bool
}

type report struct {
	params wire.TaskEndedParams
	until  time.Time
	// sent says how far the report is on each link.
	sent map[*link]reportState
}

// reportState is how far a report is on one link.
type reportState string

const (
	reportWaits   reportState = "waits"
	reportRefused reportState = "refused"
)

// maxReportsSent bounds the reports that one link sends at once.
const maxReportsSent = 64

type kept struct {
	id, attempt string
	until       time.Time
}

func (t *answerTable) init() {
	t.answers, t.complete, t.reports = map[string]*answer{}, map[string]bool{}, map[string]*report{}
	t.ended = map[string][]wire.TaskEndedParams{}
	t.changed = make(chan struct{})
}

func (t *answerTable) notify() {
	close(t.changed)
	t.changed = make(chan struct{})
}

// keep stores an answer until the time.
func (t *answerTable) keep(id, attempt string, length int, checksum string, until time.Time) {
	t.Lock()
	defer t.Unlock()
	t.answers[id] = &answer{length: length, checksum: checksum, read: length == 0}
	t.kept = append(t.kept, kept{id, attempt, until})
}

func (t *answerTable) find(id string) (answer, bool) {
	t.Lock()
	defer t.Unlock()
	a, ok := t.answers[id]
	if !ok {
		return answer{}, false
	}
	return *a, true
}

// markRead notes that the last byte of an answer was read.
func (t *answerTable) markRead(id string) {
	t.Lock()
	defer t.Unlock()
	if a, ok := t.answers[id]; ok && !a.read {
		a.read = true
		t.notify()
	}
}

func (t *answerTable) markComplete(attempt string) {
	t.Lock()
	defer t.Unlock()
	t.complete[attempt] = true
}

func (t *answerTable) isComplete(attempt string) bool {
	t.Lock()
	defer t.Unlock()
	return t.complete[attempt]
}

func (t *answerTable) report(id string, r report) {
	t.Lock()
	defer t.Unlock()
	r.sent = map[*link]reportState{}
	t.reports[id] = &r
	t.ended[r.params.Attempt] = append(t.ended[r.params.Attempt], r.params)
	t.kept = append(t.kept, kept{"", r.params.Attempt, r.until})
}

// endsOf lists the ends of an attempt's tasks.
func (t *answerTable) endsOf(attempt string) []wire.TaskEndedParams {
	t.Lock()
	defer t.Unlock()
	return slices.Clone(t.ended[attempt])
}

// due takes the reports that are to be sent on the link. Refused ones are sent
// again only with again.
func (t *answerTable) due(k *link, again bool) map[string]wire.TaskEndedParams {
	t.Lock()
	defer t.Unlock()
	var due map[string]wire.TaskEndedParams
	for id, r := range t.reports {
		state := r.sent[k]
		if state == reportWaits || state == reportRefused && !again {
			continue
		}
		if due == nil {
			due = map[string]wire.TaskEndedParams{}
		}
		r.sent[k] = reportWaits
		due[id] = r.params
		if len(due) == maxReportsSent {
			break
		}
	}
	return due
}

// refused notes that the link's entry did not take the report.
func (t *answerTable) refused(id string, k *link) {
	t.Lock()
	defer t.Unlock()
	if r := t.reports[id]; r != nil {
		r.sent[k] = reportRefused
	}
}

func (t *answerTable) confirmed(id string) {
	t.Lock()
	defer t.Unlock()
	if t.reports[id] != nil {
		delete(t.reports, id)
		t.notify()
	}
}

// drop forgets what is past its retention, and returns the number of reports
// that no entry has confirmed.
func (t *answerTable) drop(now time.Time) int {
	t.Lock()
	defer t.Unlock()
	for len(t.kept) > 0 && !now.Before(t.kept[0].until) {
		delete(t.answers, t.kept[0].id)
		delete(t.complete, t.kept[0].attempt)
		delete(t.ended, t.kept[0].attempt)
		t.kept = t.kept[1:]
	}
	lost := 0
	for id, r := range t.reports {
		if !now.Before(r.until) {
			delete(t.reports, id)
			lost++
		}
	}
	return lost
}

// owe notes n replies that are to be sent, or with a negative n were sent.
func (t *answerTable) owe(n int) {
	t.Lock()
	defer t.Unlock()
	t.owed += n
	t.notify()
}

// pending counts unread answers, unconfirmed reports and unsent replies.
func (t *answerTable) pending() (int, <-chan struct{}) {
	t.Lock()
	defer t.Unlock()
	n := len(t.reports) + t.owed
	for _, a := range t.answers {
		if !a.read {
			n++
		}
	}
	return n, t.changed
}
