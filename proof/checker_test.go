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

// lease is the longest time that a part of a gang may run without the others:
// the gang lease of the design page. tolerance is for the scheduling of the
// machine, which is shared and runs several processes.
const (
	lease     = 4 * time.Second
	tolerance = 500 * time.Millisecond
)

// callLabel is the label of a job that numbers the call.
const callLabel = "call"

var callCount atomic.Int64

// call is one request of a caller and what the caller was told.
type call struct {
	label   string
	request wire.SubmitRequest
	entry   string
	sent    time.Time
	told    time.Time
	code    int
	view    wire.JobView
	err     error
	// answers are the copies of the answer that the caller got.
	answers   [][]byte
	answerErr error
}

// kind is the outcome that the caller was told, empty for none.
func (k *call) kind() wire.OutcomeKind {
	if k.view.Outcome == nil {
		return ""
	}
	return k.view.Outcome.Kind
}

func (k *call) tasks() int { return max(1, k.request.Tasks) }

// payload is the payload of a task that runs that long and answers that many
// bytes.
func payload(runMs, answerBytes, seed int) string {
	text, _ := json.Marshal(wire.StandinPayload{RunMs: runMs, AnswerBytes: answerBytes, Seed: seed})
	return string(text)
}

// submit sends a request and waits for the outcome for at most waitMs. It is
// safe for concurrent use. A refusal has a rule and no job; its label lets the
// checks find the job in the log.
func (c *cluster) submit(e *entryNode, r wire.SubmitRequest, waitMs int) *call {
	k := &call{request: r, entry: e.id, sent: time.Now(), label: strconv.FormatInt(callCount.Add(1), 10)}
	r.Labels = map[string]string{callLabel: k.label}
	body, err := json.Marshal(r)
	if err == nil {
		var answer []byte
		k.code, answer, err = httpDo("POST", fmt.Sprintf("http://%s/v1/jobs?waitMs=%d", e.http, waitMs), body)
		if err == nil {
			err = k.read(answer)
		}
	}
	k.err, k.told = err, time.Now()
	c.fetch(k, e)
	c.mu.Lock()
	c.calls = append(c.calls, k)
	c.mu.Unlock()
	return k
}

// read takes the entry's reply: a job, or a refusal with the rule that refused.
func (k *call) read(answer []byte) error {
	var refused wire.ErrorResponse
	if err := json.Unmarshal(answer, &refused); err == nil && refused.Rule != "" {
		k.view.Outcome = &wire.Outcome{Kind: wire.OutcomeKindNotRun, Rule: refused.Rule, Reason: refused.Error}
		return nil
	}
	if err := json.Unmarshal(answer, &k.view); err != nil || k.view.ID == "" {
		return fmt.Errorf("status %d: %s", k.code, answer)
	}
	return nil
}

// await waits until the job of the call has ended, at any live entry.
func (c *cluster) await(k *call, limit time.Duration) {
	c.Helper()
	c.Assert(k.err, qt.IsNil, qt.Commentf("%+v", k.request))
	if k.kind() != "" {
		return
	}
	c.eventually(limit, "job "+k.view.ID+" ends", func() error {
		var last error
		for _, e := range c.entries {
			if e.process.wait(0) {
				continue
			}
			var v wire.JobView
			if last = getJSON("http://"+e.http+"/v1/jobs/"+k.view.ID, &v); last == nil {
				if v.Outcome != nil {
					k.view, k.told = v, time.Now()
					c.fetch(k, e)
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
			if e.process.wait(0) {
				continue
			}
			if last = getJSON("http://"+e.http+"/v1/jobs/"+k.view.ID, &v); last == nil {
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
	if !v.died.IsZero() {
		return v.records
	}
	var r wire.RuntimeRecords
	c.Assert(getJSON("http://"+v.runtime+"/records", &r), qt.IsNil)
	return r.Records
}

// run is one task of an attempt as its runtime recorded it.
type run struct {
	vm, job, attempt string
	rank             int
	begun            time.Time
	// ended is zero while it runs; answered says that it ended with an answer.
	ended    time.Time
	answered bool
	// pauses are the times at which it was throttled and resumed, in turn.
	pauses []time.Time
}

// runs reads the records of every runtime.
func (c *cluster) runs() []*run {
	c.Helper()
	var runs []*run
	for _, v := range c.vms {
		open := map[string]*run{}
		for _, r := range c.runtimeRecords(v) {
			at := time.UnixMicro(int64(r.AtUnixUs))
			switch r.Kind {
			case wire.RuntimeRecordKindStarted:
				attempt := r.ID[:strings.LastIndexByte(r.ID, '/')]
				o := &run{vm: v.id, job: r.Job, attempt: attempt, rank: r.Rank, begun: at}
				open[r.ID] = o
				runs = append(runs, o)
			case wire.RuntimeRecordKindThrottled, wire.RuntimeRecordKindResumed:
				open[r.ID].pauses = append(open[r.ID].pauses, at)
			case wire.RuntimeRecordKindOverbooked:
				c.Errorf("VM %s was overbooked by task %s", v.id, r.ID)
			default:
				open[r.ID].ended = at
				open[r.ID].answered = r.Kind == wire.RuntimeRecordKindEnded
			}
		}
		for _, o := range open {
			if o.ended.IsZero() && !v.died.IsZero() {
				o.ended = v.died
			}
		}
	}
	return runs
}

// running reports whether the task runs at that time, and alive whether it
// runs or has ended with its answer.
func (r *run) running(at time.Time) bool {
	if at.Before(r.begun) || !r.ended.IsZero() && !at.Before(r.ended) {
		return false
	}
	paused := 0
	for _, p := range r.pauses {
		if !at.Before(p) {
			paused++
		}
	}
	return paused%2 == 0
}

func (r *run) alive(at time.Time) bool {
	return r.running(at) || r.answered && !at.Before(r.ended)
}

// check checks every invariant that the records show, and that nothing stays
// reserved. Jobs have to have ended.
func (c *cluster) check() {
	c.Helper()
	runs, jobs := c.runs(), c.accepted()
	c.checkOutcomes(jobs, runs)
	c.checkOnce(jobs, runs)
	c.checkGangs(jobs, runs)
	c.checkNothingHeld()
}

// checkOutcomes compares what callers were told with what ran.
func (c *cluster) checkOutcomes(jobs map[string]wire.Job, runs []*run) {
	c.Helper()
	// Runs of jobs that the log does not know belong to short requests.
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
		if k.kind() == wire.OutcomeKindAnswer {
			c.checkAnswer(k)
		}
		if k.err != nil {
			unanswered++
		}
		if k.kind() != wire.OutcomeKindNotRun {
			continue
		}
		for _, id := range []string{k.view.ID, recorded[k.label]} {
			if r := started[id]; r != nil {
				c.Errorf("job %s was refused as not run (%s: %s), but ran: %+v", id, k.view.Outcome.Rule, k.view.Outcome.Reason, *r)
			}
		}
	}
	for id, r := range started {
		if _, known := jobs[id]; !known && !told[id] {
			if unanswered--; unanswered < 0 {
				c.Errorf("job %s ran, and no caller was told of it, but of a refusal: %+v", id, *r)
			}
		}
	}
}

// fetch reads the answer of a job as soon as the caller is told of it: an entry
// keeps the answer of a short request in memory only. It is safe for
// concurrent use.
func (c *cluster) fetch(k *call, from *entryNode) {
	if k.kind() != wire.OutcomeKindAnswer {
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
		code, body, err := httpDo("GET", "http://"+e.http+"/v1/jobs/"+k.view.ID+"/answer", nil)
		if err == nil && code != http.StatusOK {
			err = fmt.Errorf("%s: status %d: %s", e.id, code, body)
		}
		if k.answerErr = err; err == nil {
			k.answers = append(k.answers, body)
			return
		}
	}
}

// checkAnswer compares the answer byte for byte.
func (c *cluster) checkAnswer(k *call) {
	c.Helper()
	var want []byte
	for rank := range k.tasks() {
		want = append(want, standinruntime.Answer([]byte(k.request.Payload), rank)...)
	}
	if len(k.answers) == 0 {
		c.Errorf("job %s: the caller was told of an answer of %d bytes and got none: %v", k.view.ID, len(want), k.answerErr)
	}
	for _, got := range k.answers {
		if !bytes.Equal(got, want) {
			c.Errorf("job %s: found an answer of %d bytes that is not the expected one of %d bytes", k.view.ID, len(got), len(want))
		}
	}
}

// jobRecords reads every record that the log ever took in the stream jobs.
func (c *cluster) jobRecords() []wire.JobRecord {
	c.Helper()
	var dump wire.ReadResponse
	c.Assert(getJSON("http://"+c.log+"/dump/jobs", &dump), qt.IsNil)
	var records []wire.JobRecord
	for _, r := range dump.Records {
		var record wire.JobRecord
		body, err := json.Marshal(r.Body)
		c.Assert(err, qt.IsNil)
		c.Assert(json.Unmarshal(body, &record), qt.IsNil)
		records = append(records, record)
	}
	return records
}

// accepted reads every job that the log ever accepted.
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

// checkOnce checks that each non-idempotent key started at most once, over all
// the jobs that were accepted for it.
func (c *cluster) checkOnce(jobs map[string]wire.Job, runs []*run) {
	c.Helper()
	keys := map[string]string{}
	for id, j := range jobs {
		if !j.Idempotent {
			keys[id] = j.Org + "/" + j.IdempotencyKey
		}
	}
	for _, fault := range startedAgain(keys, runs) {
		c.Errorf("%s", fault)
	}
}

// startedAgain lists the ranks of non-idempotent keys that started twice. Keys
// maps a job to its key.
func startedAgain(keys map[string]string, runs []*run) []string {
	type place struct {
		key  string
		rank int
	}
	first := map[place]*run{}
	var faults []string
	for _, r := range runs {
		key, recorded := keys[r.job]
		if !recorded {
			continue
		}
		p := place{key, r.rank}
		if before, again := first[p]; again {
			faults = append(faults, fmt.Sprintf("key %s: rank %d started as %s on %s and again as %s on %s", key, r.rank, before.attempt, before.vm, r.attempt, r.vm))
		}
		first[p] = r
	}
	return faults
}

// checkGangs checks that no task of a gang runs for longer than the lease
// after the last instant at which the whole gang was alive.
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

// partialRun says which task of an attempt ran for too long without the
// others, or nothing.
func partialRun(size int, members []*run, now time.Time) string {
	var times []time.Time
	for _, m := range members {
		times = append(times, m.begun)
		times = append(times, m.pauses...)
		if !m.ended.IsZero() {
			times = append(times, m.ended)
		}
	}
	slices.SortFunc(times, time.Time.Compare)
	var whole time.Time
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
			whole = next
			continue
		}
		for _, m := range members {
			since := m.begun
			if whole.After(since) {
				since = whole
			}
			if span := next.Sub(since); m.running(at) && span > lease+tolerance {
				return fmt.Sprintf("attempt %s: rank %d ran on %s for %s while %d of %d tasks were alive", m.attempt, m.rank, m.vm, span, alive, size)
			}
		}
	}
	return ""
}

// checkNothingHeld checks that every live agent holds nothing in the end.
func (c *cluster) checkNothingHeld() {
	c.Helper()
	for _, e := range c.entries {
		if e.process.wait(0) {
			continue
		}
		c.eventually(15*time.Second, "nothing is held, as "+e.id+" sees it", func() error {
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

// TestChecker guards against a checker that overlooks what it is there for.
func TestChecker(t *testing.T) {
	c := qt.New(t)
	at := func(ms int) time.Time { return time.UnixMilli(1_700_000_000_000 + int64(ms)) }
	task := func(rank, begun, ended int, answered bool, pauses ...int) *run {
		r := &run{vm: "v1", job: "j", attempt: "a", rank: rank, begun: at(begun), ended: at(ended), answered: answered}
		for _, p := range pauses {
			r.pauses = append(r.pauses, at(p))
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
	c.Assert(startedAgain(keys, []*run{task(0, 0, 1, true), task(1, 0, 1, true)}), qt.HasLen, 0)
	c.Assert(startedAgain(keys, []*run{task(0, 0, 1, true), other}), qt.HasLen, 1)
}
