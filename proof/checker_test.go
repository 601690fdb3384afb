package proof

import (
	"bytes"
	"encoding/json"
	"fmt"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"celerypoint.example/celerypoint/standinruntime"
	"celerypoint.example/celerypoint/wire"
)

// gangLease is the longest time for which part of a gang may run without the
// other tasks. It is the default of the setting gangLeaseMs. tolerance allows
// for scheduling delays on the test machine, which is shared and runs several
// processes.
const (
	gangLease = 4 * time.Second
	tolerance = 500 * time.Millisecond
)

// callLabel is the job label that holds the number of the call that submitted
// the job.
const callLabel = "call"

var callCount atomic.Int64

// call is one request of a caller and the responses to it.
type call struct {
	label   string
	request wire.SubmitRequest
	entry   string
	sentAt  time.Time
	toldAt  time.Time
	status  int
	view    wire.JobView
	err     error
	// answers are the copies of the answer that the caller received: the one in
	// the outcome, if any, and the one fetched separately.
	answers   [][]byte
	answerErr error
}

// outcomeKind returns the kind of outcome that the caller was told, or the
// empty string if it was told none.
func (k *call) outcomeKind() wire.OutcomeKind {
	if k.view.Outcome == nil {
		return ""
	}
	return k.view.Outcome.Kind
}

func (k *call) tasks() int { return max(1, k.request.Tasks) }

// payload returns the payload of a task that runs for runMs and whose answer
// has answerBytes bytes.
func payload(runMs, answerBytes, seed int) string {
	text, _ := json.Marshal(wire.StandinPayload{RunMs: runMs, AnswerBytes: answerBytes, Seed: seed})
	return string(text)
}

// submit sends a request and waits for the outcome for at most waitMs. It is
// safe for concurrent use. The response to a refused request names the rule
// that refused it and no job ID, so the checks find the job in the log by its
// label.
func (c *cluster) submit(e *entryNode, r wire.SubmitRequest, waitMs int) *call {
	k := &call{request: r, entry: e.id, sentAt: time.Now(), label: strconv.FormatInt(callCount.Add(1), 10)}
	r.Labels = map[string]string{callLabel: k.label}
	body, err := json.Marshal(r)
	if err == nil {
		var answer []byte
		k.status, answer, err = httpDo("POST", fmt.Sprintf("http://%s/v1/jobs?waitMs=%d", e.httpAddress, waitMs), body)
		if err == nil {
			err = k.decodeReply(answer)
		}
	}
	k.err, k.toldAt = err, time.Now()
	c.fetchAnswer(k, e)
	c.mu.Lock()
	c.calls = append(c.calls, k)
	c.mu.Unlock()
	return k
}

// decodeReply decodes the entry's response, which is a job or a refusal with
// the rule that refused the request.
func (k *call) decodeReply(answer []byte) error {
	var refused wire.ErrorResponse
	if err := json.Unmarshal(answer, &refused); err == nil && refused.Rule != "" {
		k.view.Outcome = &wire.Outcome{Kind: wire.OutcomeKindNotRun, Rule: refused.Rule, Reason: refused.Error}
		return nil
	}
	if err := json.Unmarshal(answer, &k.view); err != nil || k.view.ID == "" {
		return fmt.Errorf("status %d: %s", k.status, answer)
	}
	return nil
}

// await waits until any running entry reports that the job of the call has
// ended.
func (c *cluster) await(k *call, limit time.Duration) {
	c.Helper()
	c.Assert(k.err, qt.IsNil, qt.Commentf("%+v", k.request))
	if k.outcomeKind() != "" {
		return
	}
	c.eventually(limit, "job "+k.view.ID+" ends", func() error {
		var last error
		for _, e := range c.entries {
			if e.process.endsWithin(0) {
				continue
			}
			var v wire.JobView
			if last = getJSON("http://"+e.httpAddress+"/v1/jobs/"+k.view.ID, &v); last == nil {
				if v.Outcome != nil {
					k.view, k.toldAt = v, time.Now()
					c.fetchAnswer(k, e)
					return nil
				}
				last = fmt.Errorf("phase %s, waits for %q, on %v", v.Phase, v.WaitsFor, v.VMs)
			}
		}
		return last
	})
}

func (c *cluster) awaitPhase(k *call, phase wire.JobPhase, limit time.Duration) {
	c.Helper()
	c.Assert(k.err, qt.IsNil, qt.Commentf("%+v", k.request))
	c.eventually(limit, fmt.Sprintf("job %s is %s", k.view.ID, phase), func() error {
		var last error
		for _, e := range c.entries {
			var v wire.JobView
			if e.process.endsWithin(0) {
				continue
			}
			if last = getJSON("http://"+e.httpAddress+"/v1/jobs/"+k.view.ID, &v); last == nil {
				if k.view = v; v.Phase == phase {
					return nil
				}
				last = fmt.Errorf("phase %s, waits for %q, outcome %+v", v.Phase, v.WaitsFor, v.Outcome)
			}
		}
		return last
	})
}

func (c *cluster) runtimeRecords(v *vmNode) []wire.RuntimeRecord {
	c.Helper()
	if !v.killedAt.IsZero() {
		return v.records
	}
	var r wire.RuntimeRecords
	c.Assert(getJSON("http://"+v.runtimeAddress+"/records", &r), qt.IsNil)
	return r.Records
}

// run is one run of a task in an attempt, as the runtime recorded it.
type run struct {
	vm, job, attempt string
	rank             int
	startedAt        time.Time
	// endedAt is zero while the task runs. If it ran until killVM killed its VM,
	// endedAt is that time. answered reports whether it ended with an answer.
	endedAt  time.Time
	answered bool
	// pauseChanges are the times at which the task was throttled and resumed,
	// alternately.
	pauseChanges []time.Time
}

// runs returns the runs that the records of all runtimes show.
func (c *cluster) runs() []*run {
	c.Helper()
	var runs []*run
	for _, v := range c.vms {
		active := map[string]*run{}
		for _, r := range c.runtimeRecords(v) {
			at := time.UnixMicro(int64(r.AtUnixUs))
			switch r.Kind {
			case wire.RuntimeRecordKindStarted:
				attempt := r.ID[:strings.LastIndexByte(r.ID, '/')]
				o := &run{vm: v.id, job: r.Job, attempt: attempt, rank: r.Rank, startedAt: at}
				active[r.ID] = o
				runs = append(runs, o)
			case wire.RuntimeRecordKindThrottled, wire.RuntimeRecordKindResumed:
				active[r.ID].pauseChanges = append(active[r.ID].pauseChanges, at)
			case wire.RuntimeRecordKindOverbooked:
				c.Errorf("VM %s was overbooked by task %s", v.id, r.ID)
			default:
				active[r.ID].endedAt = at
				active[r.ID].answered = r.Kind == wire.RuntimeRecordKindEnded
			}
		}
		for _, o := range active {
			if o.endedAt.IsZero() && !v.killedAt.IsZero() {
				o.endedAt = v.killedAt
			}
		}
	}
	return runs
}

// running reports whether the task runs at the given time. A throttled task
// does not run.
func (r *run) running(at time.Time) bool {
	if at.Before(r.startedAt) || !r.endedAt.IsZero() && !at.Before(r.endedAt) {
		return false
	}
	paused := 0
	for _, p := range r.pauseChanges {
		if !at.Before(p) {
			paused++
		}
	}
	return paused%2 == 0
}

// alive reports whether the task runs at the given time, or has ended with an
// answer by then.
func (r *run) alive(at time.Time) bool {
	return r.running(at) || r.answered && !at.Before(r.endedAt)
}

// checkAll checks all invariants that the records can show, and that no VM
// except lost ones holds capacity for a job any more. All jobs must have ended.
func (c *cluster) checkAll() {
	c.Helper()
	runs, jobs := c.runs(), c.accepted()
	c.checkOutcomes(jobs, runs)
	c.checkOnce(jobs, runs)
	c.checkGangs(jobs, runs)
	c.checkNoHoldings()
}

// checkOutcomes checks the outcomes that callers were told against the runs. A
// job that ran must not be reported as not run. For each call that failed, one
// short request may have run whose job ID no caller was told.
func (c *cluster) checkOutcomes(jobs map[string]wire.Job, runs []*run) {
	c.Helper()
	// Jobs that ran but are not in the log belong to short requests, which are not
	// recorded there.
	started, told := map[string]*run{}, map[string]bool{}
	for _, r := range runs {
		started[r.job] = r
	}
	recorded := map[string]string{}
	for id, j := range jobs {
		recorded[j.Labels[callLabel]] = id
	}
	unanswered := 0
	for _, k := range c.calls {
		told[k.view.ID] = true
		if k.outcomeKind() == wire.OutcomeKindAnswer {
			c.checkAnswer(k)
		}
		if k.err != nil {
			unanswered++
		}
		if k.outcomeKind() != wire.OutcomeKindNotRun {
			continue
		}
		for _, id := range []string{k.view.ID, recorded[k.label]} {
			if r := started[id]; r != nil {
				c.Errorf("job %s was reported as not run (%s: %s), but ran: %+v", id, k.view.Outcome.Rule, k.view.Outcome.Reason, *r)
			}
		}
	}
	for id, r := range started {
		if _, known := jobs[id]; !known && !told[id] {
			if unanswered--; unanswered < 0 {
				c.Errorf("job %s ran, but no caller was told of it; its request was refused: %+v", id, *r)
			}
		}
	}
}

// fetchAnswer reads the answer of a job as soon as the caller is told that
// there is one, because an entry keeps the answer of a short request in memory
// only. It tries the given entry first. It is safe for concurrent use.
func (c *cluster) fetchAnswer(k *call, from *entryNode) {
	if k.outcomeKind() != wire.OutcomeKindAnswer {
		return
	}
	if k.view.Outcome.Body != "" {
		body, err := wire.Bytes("body", k.view.Outcome.Body)
		if err != nil {
			k.answerErr = err
			return
		}
		k.answers = append(k.answers, body)
	}
	for _, e := range append([]*entryNode{from}, c.entries...) {
		code, body, err := httpDo("GET", "http://"+e.httpAddress+"/v1/jobs/"+k.view.ID+"/answer", nil)
		if err == nil && code != http.StatusOK {
			err = fmt.Errorf("%s: status %d: %s", e.id, code, body)
		}
		if k.answerErr = err; err == nil {
			k.answers = append(k.answers, body)
			return
		}
	}
}

// checkAnswer compares the answer with the expected one byte for byte.
func (c *cluster) checkAnswer(k *call) {
	c.Helper()
	var want []byte
	for rank := range k.tasks() {
		want = append(want, standinruntime.Answer([]byte(k.request.Payload), rank)...)
	}
	if len(k.answers) == 0 {
		c.Errorf("job %s: the caller was told that there is an answer, but received none; expected %d bytes: %v", k.view.ID, len(want), k.answerErr)
	}
	for _, got := range k.answers {
		if !bytes.Equal(got, want) {
			c.Errorf("job %s: found a wrong answer of %d bytes, expected one of %d bytes", k.view.ID, len(got), len(want))
		}
	}
}

// storedJobRecord is a record of the jobs stream with its offset.
type storedJobRecord struct {
	wire.JobRecord
	offset int
}

// jobRecords reads every record that was ever appended to the log's stream of
// jobs.
func (c *cluster) jobRecords() []storedJobRecord {
	c.Helper()
	var dump wire.ReadResponse
	c.Assert(getJSON("http://"+c.logAddress+"/dump/jobs", &dump), qt.IsNil)
	var records []storedJobRecord
	for _, r := range dump.Records {
		record := storedJobRecord{offset: r.Offset}
		body, err := json.Marshal(r.Body)
		c.Assert(err, qt.IsNil)
		c.Assert(json.Unmarshal(body, &record.JobRecord), qt.IsNil)
		records = append(records, record)
	}
	return records
}

// accepted returns every job that was ever recorded in the log as accepted.
func (c *cluster) accepted() map[string]wire.Job {
	c.Helper()
	jobs := map[string]wire.Job{}
	for _, r := range c.jobRecords() {
		if r.Job != nil {
			jobs[r.Job.ID] = *r.Job
		}
	}
	return jobs
}

// checkOnce checks that each task of a non-idempotent job started at most once,
// over all the jobs of an organisation that were accepted with the same
// idempotency key.
func (c *cluster) checkOnce(jobs map[string]wire.Job, runs []*run) {
	c.Helper()
	keys := map[string]string{}
	for id, j := range jobs {
		if !j.Idempotent {
			keys[id] = j.Org + "/" + j.IdempotencyKey
		}
	}
	for _, fault := range duplicateStarts(keys, runs) {
		c.Errorf("%s", fault)
	}
}

// duplicateStarts lists the ranks that started more than once for the same
// idempotency key. keys maps the ID of a non-idempotent job to the name of its
// organisation and its key; runs of other jobs are ignored.
func duplicateStarts(keys map[string]string, runs []*run) []string {
	type keyRank struct {
		key  string
		rank int
	}
	first := map[keyRank]*run{}
	var faults []string
	for _, r := range runs {
		key, recorded := keys[r.job]
		if !recorded {
			continue
		}
		p := keyRank{key, r.rank}
		if previous, again := first[p]; again {
			faults = append(faults, fmt.Sprintf("key %s: rank %d started as %s on %s and again as %s on %s", key, r.rank, previous.attempt, previous.vm, r.attempt, r.vm))
		}
		first[p] = r
	}
	return faults
}

// checkGangs checks that no task of a gang runs for longer than gangLease, plus
// tolerance, after the last instant at which all tasks of its attempt were
// alive, or after its own start if they have not been alive together since.
func (c *cluster) checkGangs(jobs map[string]wire.Job, runs []*run) {
	c.Helper()
	attempts := map[string][]*run{}
	for _, r := range runs {
		attempts[r.attempt] = append(attempts[r.attempt], r)
	}
	for _, members := range attempts {
		if size := jobs[members[0].job].Tasks; size > 1 {
			if fault := partialRun(size, members, time.Now()); fault != "" {
				c.Errorf("%s", fault)
			}
		}
	}
}

// partialRun describes a task of an attempt that ran for too long without the
// others, or returns the empty string.
func partialRun(size int, members []*run, now time.Time) string {
	var times []time.Time
	for _, m := range members {
		times = append(times, m.startedAt)
		times = append(times, m.pauseChanges...)
		if !m.endedAt.IsZero() {
			times = append(times, m.endedAt)
		}
	}
	slices.SortFunc(times, time.Time.Compare)
	var completeUntil time.Time
	for i, at := range times {
		next := now
		if i+1 < len(times) {
			next = times[i+1]
		}
		alive := 0
		for _, m := range members {
			if m.alive(at) {
				alive++
			}
		}
		if alive == size {
			completeUntil = next
			continue
		}
		for _, m := range members {
			since := m.startedAt
			if completeUntil.After(since) {
				since = completeUntil
			}
			if duration := next.Sub(since); m.running(at) && duration > gangLease+tolerance {
				return fmt.Sprintf("attempt %s: rank %d ran on %s for %s while %d of %d tasks were alive", m.attempt, m.rank, m.vm, duration, alive, size)
			}
		}
	}
	return ""
}

// checkNoHoldings waits until, according to every running entry, no VM except
// lost ones holds capacity for a job. It fails the test if that takes too long.
func (c *cluster) checkNoHoldings() {
	c.Helper()
	for _, e := range c.entries {
		if e.process.endsWithin(0) {
			continue
		}
		c.eventually(15*time.Second, "no VM has holdings, as "+e.id+" sees it", func() error {
			status, err := c.status(e)
			if err != nil {
				return err
			}
			for _, v := range status.VMs {
				if !v.Lost && len(v.Holdings) > 0 {
					return fmt.Errorf("VM %s holds %+v", v.ID, v.Holdings)
				}
			}
			return nil
		})
	}
}

// TestChecker guards against checks that do not detect partial runs of a gang
// and duplicate starts.
func TestChecker(t *testing.T) {
	c := qt.New(t)
	at := func(ms int) time.Time { return time.UnixMilli(1_700_000_000_000 + int64(ms)) }
	task := func(rank, begun, ended int, answered bool, pauses ...int) *run {
		r := &run{vm: "v1", job: "j", attempt: "a", rank: rank, startedAt: at(begun), endedAt: at(ended), answered: answered}
		for _, p := range pauses {
			r.pauseChanges = append(r.pauseChanges, at(p))
		}
		return r
	}
	partial := func(members ...*run) bool { return partialRun(2, members, at(100_000)) != "" }
	c.Assert(partial(task(0, 0, 9000, true), task(1, 10, 9000, true)), qt.IsFalse)
	c.Assert(partial(task(0, 0, 9000, true), task(1, 10, 3000, true)), qt.IsFalse, qt.Commentf("a task that answered is alive"))
	c.Assert(partial(task(0, 0, 7000, false), task(1, 10, 3000, false)), qt.IsFalse, qt.Commentf("within the lease"))
	c.Assert(partial(task(0, 0, 9000, false), task(1, 10, 3000, false)), qt.IsTrue, qt.Commentf("the other stopped"))
	c.Assert(partial(task(0, 0, 5000, true)), qt.IsTrue, qt.Commentf("the other never started"))
	c.Assert(partial(task(0, 0, 9000, true), task(1, 10, 9000, true, 1000, 8000)), qt.IsTrue, qt.Commentf("the other was paused"))
	keys := map[string]string{"j": "org/key", "k": "org/key"}
	other := task(0, 5, 6, true)
	other.job = "k"
	c.Assert(duplicateStarts(keys, []*run{task(0, 0, 1, true), task(1, 0, 1, true)}), qt.HasLen, 0)
	c.Assert(duplicateStarts(keys, []*run{task(0, 0, 1, true), other}), qt.HasLen, 1)
}
