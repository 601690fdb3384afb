package agentd

import (
	"slices"
	"sync"
	"time"

	"celerypoint.example/celerypoint/wire"
)

// answerTable holds the answers of tasks and the reports of their ends. The bytes
// of answers stay at the worker runtime, so that the agent's memory does not grow
// with them.
type answerTable struct {
	sync.Mutex
	// answers describes the answers that entries can read, by task ID. Answers
	// that are sent with the reply to a run request are not in it.
	answers map[string]*answer
	// answeredAttempts is the set of attempts whose tasks all ended with answers.
	answeredAttempts map[string]bool
	// reports holds the reports that no entry has confirmed yet, by task ID.
	reports map[string]*report
	// endsByAttempt holds the reports of each attempt, including confirmed ones, for
	// a planner that takes over the job and may have missed them.
	endsByAttempt map[string][]wire.TaskEndedParams
	// expiries lists when the elements of answers, answeredAttempts and
	// endsByAttempt are dropped, the earliest first. The order holds because all
	// are kept for the same retention time.
	expiries []expiry
	// unsentReplies counts the attempts that removeIfEnded has removed and whose run
	// or release requests have not been replied to. An attempt without such a
	// request is counted for a moment as well.
	unsentReplies int
	// changed is closed and replaced when an answer is read, a report is
	// confirmed or unsentReplies changes.
	changed chan struct{}
}

// answer describes the answer of one task.
type answer struct {
	length   int
	checksum string
	// read says that an entry has read the last byte, or that there is none.
	read bool
}

// report is the report of one ended task.
type report struct {
	params    wire.TaskEndedParams
	expiresAt time.Time
	// states holds the state of the report on each link on which it was sent.
	states map[*link]reportState
}

// reportState is the state of a report that was sent on a link.
type reportState string

const (
	// reportPending means that the entry has not replied yet.
	reportPending reportState = "waits"
	// reportFailed means that the entry refused the report or that no reply
	// arrived. The value says "refused" for both.
	reportFailed reportState = "refused"
)

// maxReportBatch bounds the reports that one link sends at once.
const maxReportBatch = 64

// expiry says when the elements of an attempt in answeredAttempts and endsByAttempt
// are dropped, and, if id is not empty, the answer of the task with that ID.
type expiry struct {
	id, attempt string
	at          time.Time
}

func (t *answerTable) init() {
	t.answers, t.answeredAttempts, t.reports = map[string]*answer{}, map[string]bool{}, map[string]*report{}
	t.endsByAttempt = map[string][]wire.TaskEndedParams{}
	t.changed = make(chan struct{})
}

// notify wakes the goroutines that wait on changed. The caller holds the lock.
func (t *answerTable) notify() {
	close(t.changed)
	t.changed = make(chan struct{})
}

// add records the answer of task id until expiresAt.
func (t *answerTable) add(id, attempt string, length int, checksum string, expiresAt time.Time) {
	t.Lock()
	defer t.Unlock()
	t.answers[id] = &answer{length: length, checksum: checksum, read: length == 0}
	t.expiries = append(t.expiries, expiry{id, attempt, expiresAt})
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

// markRead marks the answer of task id as read. It is called when a reply that
// reaches the end of the answer has been handed to the connection.
func (t *answerTable) markRead(id string) {
	t.Lock()
	defer t.Unlock()
	if a, ok := t.answers[id]; ok && !a.read {
		a.read = true
		t.notify()
	}
}

// markAnswered records that all tasks of the attempt ended with answers.
func (t *answerTable) markAnswered(attempt string) {
	t.Lock()
	defer t.Unlock()
	t.answeredAttempts[attempt] = true
}

func (t *answerTable) isAnswered(attempt string) bool {
	t.Lock()
	defer t.Unlock()
	return t.answeredAttempts[attempt]
}

// addReport stores the report of the end of task id, to be sent on every link
// until an entry confirms it.
func (t *answerTable) addReport(id string, r report) {
	t.Lock()
	defer t.Unlock()
	r.states = map[*link]reportState{}
	t.reports[id] = &r
	t.endsByAttempt[r.params.Attempt] = append(t.endsByAttempt[r.params.Attempt], r.params)
	t.expiries = append(t.expiries, expiry{"", r.params.Attempt, r.expiresAt})
}

// endsOf returns the reports of the attempt's ended tasks.
func (t *answerTable) endsOf(attempt string) []wire.TaskEndedParams {
	t.Lock()
	defer t.Unlock()
	return slices.Clone(t.endsByAttempt[attempt])
}

// takeReports returns at most maxReportBatch reports to be sent on the link, and
// marks them as pending there. Reports that failed on the link are included only
// with retryFailed.
func (t *answerTable) takeReports(ln *link, retryFailed bool) map[string]wire.TaskEndedParams {
	t.Lock()
	defer t.Unlock()
	var batch map[string]wire.TaskEndedParams
	for id, r := range t.reports {
		state := r.states[ln]
		if state == reportPending || state == reportFailed && !retryFailed {
			continue
		}
		if batch == nil {
			batch = map[string]wire.TaskEndedParams{}
		}
		r.states[ln] = reportPending
		batch[id] = r.params
		if len(batch) == maxReportBatch {
			break
		}
	}
	return batch
}

// markFailed records that the link's entry refused the report or that no reply
// arrived. takeReports then leaves the report out on this link unless retryFailed is
// set.
func (t *answerTable) markFailed(id string, ln *link) {
	t.Lock()
	defer t.Unlock()
	if r := t.reports[id]; r != nil {
		r.states[ln] = reportFailed
	}
}

// markConfirmed removes the report, because an entry has taken it over.
func (t *answerTable) markConfirmed(id string) {
	t.Lock()
	defer t.Unlock()
	if t.reports[id] != nil {
		delete(t.reports, id)
		t.notify()
	}
}

// dropExpired drops everything whose retention time has passed. It returns the
// number of unconfirmed reports among it.
func (t *answerTable) dropExpired(now time.Time) int {
	t.Lock()
	defer t.Unlock()
	for len(t.expiries) > 0 && !now.Before(t.expiries[0].at) {
		delete(t.answers, t.expiries[0].id)
		delete(t.answeredAttempts, t.expiries[0].attempt)
		delete(t.endsByAttempt, t.expiries[0].attempt)
		t.expiries = t.expiries[1:]
	}
	dropped := 0
	for id, r := range t.reports {
		if !now.Before(r.expiresAt) {
			delete(t.reports, id)
			dropped++
		}
	}
	return dropped
}

// addUnsentReplies adds n, which is negative when replies have been sent, to the
// number of unsent replies.
func (t *answerTable) addUnsentReplies(n int) {
	t.Lock()
	defer t.Unlock()
	t.unsentReplies += n
	t.notify()
}

// pending returns the sum of unread answers, unconfirmed reports and unsent
// replies, and the channel that is closed at the next change.
func (t *answerTable) pending() (int, <-chan struct{}) {
	t.Lock()
	defer t.Unlock()
	n := len(t.reports) + t.unsentReplies
	for _, a := range t.answers {
		if !a.read {
			n++
		}
	}
	return n, t.changed
}
