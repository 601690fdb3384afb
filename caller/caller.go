// Package caller serves the HTTP interface of callers: they submit jobs, wait
// for them, read answers and cancel. It translates between HTTP and Service
// and decides nothing about jobs. It owns the count of requests that wait and
// the pool of workers that carries out the requests of batches; it takes no
// lock during a call to Service.
package caller

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"

	"celerypoint.example/celerypoint/codec"
	"celerypoint.example/celerypoint/httpserver"
	"celerypoint.example/celerypoint/job"
	"celerypoint.example/celerypoint/outcome"
	"celerypoint.example/celerypoint/wire"
	"celerypoint.example/celerypoint/workpool"
)

// Service carries out the requests of callers. The second result of Job, Wait
// and Cancel says whether the job is known. An error leaves open whether the
// request took effect; a refusal is a View whose outcome is NotRun.
type Service interface {
	// Submit gives the job its ID and returns when it is accepted or ended.
	Submit(ctx context.Context, j job.Job) (job.View, error)
	Job(ctx context.Context, id string) (job.View, bool, error)
	// Wait returns when the job has ended or ctx is done, whichever is first.
	Wait(ctx context.Context, id string) (job.View, bool, error)
	Cancel(ctx context.Context, id string) (job.View, bool, error)
	// Answer reads the whole answer of a job that ended with one.
	Answer(ctx context.Context, id string) ([]byte, outcome.Answer, error)
}

// ErrNoAnswer says that the job is unknown or did not end with an answer.
var ErrNoAnswer = errors.New("the job has no answer")

// Names of rules that this package refuses by.
const (
	ruleQueueFull      = "queueFull"
	ruleEntryLeaving   = "entryLeaving"
	ruleInvalidRequest = "invalidRequest"
)

// retryAfter maps the rules that hold for a while only to the seconds after
// which a caller may try again. A leaving entry is gone after the load
// balancer's notice of 1 s.
var retryAfter = map[string]int{
	ruleQueueFull:            1,
	ruleEntryLeaving:         1,
	"shedByRank":             2,
	"deadlineUnreachable":    1,
	"retryBudgetSpent":       2,
	"logUnavailable":         5,
	"noVMReachable":          5,
	"matchingVMsUnavailable": 5,
}

const (
	// maxWait bounds ?waitMs=, below the idle timeouts of usual balancers.
	maxWait = 50 * time.Second
	// DefaultMaxWaiting bounds the requests that wait for a job at once; each
	// holds a handler of the HTTP server. It is the default bound of a lane, so
	// that a full lane refuses first and says so.
	DefaultMaxWaiting = 4096
	// defaultWorkers and defaultQueue size the pool of the batches.
	defaultWorkers = 128
	defaultQueue   = 4096
)

// Handler serves the paths under /v1/jobs and /v1/batch. See New.
type Handler struct {
	service    Service
	mux        *http.ServeMux
	pool       *workpool.Pool
	waiting    atomic.Int64
	maxWaiting int64
	workers    int
	queue      int
	leaving    func() bool
}

// Option changes a Handler while New makes it.
type Option func(*Handler)

// WithMaxWaiting bounds the requests that wait for a job at once.
func WithMaxWaiting(n int) Option { return func(h *Handler) { h.maxWaiting = int64(n) } }

// WithBatchPool sets the number of requests of batches that run at once, and
// how many more may wait for that.
func WithBatchPool(workers, queue int) Option {
	return func(h *Handler) { h.workers, h.queue = workers, queue }
}

// WithStopping gives the function that says whether the entry takes no new
// jobs. Jobs that it has taken can still be read, awaited and cancelled.
func WithStopping(f func() bool) Option { return func(h *Handler) { h.leaving = f } }

// New makes the handler. Close ends its workers.
func New(s Service, options ...Option) *Handler {
	h := &Handler{
		service: s, mux: http.NewServeMux(), maxWaiting: DefaultMaxWaiting,
		workers: defaultWorkers, queue: defaultQueue, leaving: func() bool { return false },
	}
	for _, o := range options {
		o(h)
	}
	h.pool = workpool.New(h.workers, h.queue)
	h.mux.HandleFunc("POST /v1/jobs", h.submit)
	h.mux.HandleFunc("GET /v1/jobs/{id}", h.read)
	h.mux.HandleFunc("GET /v1/jobs/{id}/answer", h.answer)
	h.mux.HandleFunc("DELETE /v1/jobs/{id}", h.cancel)
	h.mux.HandleFunc("POST /v1/batch", h.batch)
	return h
}

// ServeHTTP serves one request.
func (h *Handler) ServeHTTP(w http.ResponseWriter, r *http.Request) { h.mux.ServeHTTP(w, r) }

// Close waits for the requests of batches and ends the workers.
func (h *Handler) Close() { h.pool.Close() }

func (h *Handler) submit(w http.ResponseWriter, r *http.Request) {
	wait, err := waitFrom(r)
	if err != nil {
		fail(w, http.StatusBadRequest, err)
		return
	}
	body, err := io.ReadAll(r.Body)
	if err != nil {
		fail(w, http.StatusBadRequest, fmt.Errorf("body: found a cut body (%v), allowed: a whole JSON object", err))
		return
	}
	j, requestID, err := jobFrom(body)
	if err != nil {
		fail(w, http.StatusBadRequest, err)
		return
	}
	v, err := h.run(r.Context(), j, wait)
	h.reply(w, v, requestID, true, err)
}

// run submits the job and waits for its end for at most the given time.
func (h *Handler) run(ctx context.Context, j job.Job, wait time.Duration) (job.View, error) {
	if h.leaving() {
		return refused(j.Org, ruleEntryLeaving, "the entry takes no new jobs"), nil
	}
	if wait > 0 {
		if !h.enter() {
			return refused(j.Org, ruleQueueFull, h.fullReason()), nil
		}
		defer h.leave()
	}
	return h.submitAndWait(ctx, j, wait)
}

func (h *Handler) submitAndWait(ctx context.Context, j job.Job, wait time.Duration) (job.View, error) {
	until := time.Now().Add(wait)
	v, err := h.service.Submit(ctx, j)
	if err != nil || wait <= 0 || v.Phase == job.PhaseEnded {
		return v, err
	}
	ctx, cancel := context.WithDeadline(ctx, until)
	defer cancel()
	// The job is accepted, so a failed wait must not hide its ID.
	if waited, known, err := h.service.Wait(ctx, v.ID); err == nil && known {
		return waited, nil
	}
	return v, nil
}

func (h *Handler) read(w http.ResponseWriter, r *http.Request) {
	wait, err := waitFrom(r)
	if err != nil {
		fail(w, http.StatusBadRequest, err)
		return
	}
	id := r.PathValue("id")
	if wait == 0 {
		v, known, err := h.service.Job(r.Context(), id)
		h.replyKnown(w, v, id, known, err)
		return
	}
	if !h.enter() {
		unavailable(w, ruleQueueFull, h.fullReason())
		return
	}
	defer h.leave()
	ctx, cancel := context.WithTimeout(r.Context(), wait)
	defer cancel()
	v, known, err := h.service.Wait(ctx, id)
	h.replyKnown(w, v, id, known, err)
}

func (h *Handler) cancel(w http.ResponseWriter, r *http.Request) {
	id := r.PathValue("id")
	v, known, err := h.service.Cancel(r.Context(), id)
	h.replyKnown(w, v, id, known, err)
}

func (h *Handler) answer(w http.ResponseWriter, r *http.Request) {
	id := r.PathValue("id")
	body, a, err := h.service.Answer(r.Context(), id)
	switch {
	case errors.Is(err, ErrNoAnswer):
		fail(w, http.StatusNotFound, fmt.Errorf("job %s: %w", id, err))
		return
	case err != nil:
		fail(w, http.StatusBadGateway, fmt.Errorf("job %s: read the answer: %w", id, err))
		return
	}
	if err := checkWhole(body, a); err != nil {
		fail(w, http.StatusBadGateway, fmt.Errorf("job %s: %w", id, err))
		return
	}
	w.Header().Set("Celerypoint-Length", strconv.FormatInt(a.Length, 10))
	w.Header().Set("Celerypoint-Checksum", wire.Checksum(a.Checksum))
	httpserver.Reply(w, http.StatusOK, "application/octet-stream", body)
}

// checkWhole compares an answer with the length and checksum of its record.
func checkWhole(body []byte, a outcome.Answer) error {
	if sum := xxhash.Sum64(body); int64(len(body)) != a.Length || sum != a.Checksum {
		return fmt.Errorf("the answer is not whole: found %d bytes with checksum %s, recorded: %d bytes with checksum %s",
			len(body), wire.Checksum(sum), a.Length, wire.Checksum(a.Checksum))
	}
	return nil
}

// reply sends a job. A refusal of a new request gets an error status; the
// status of a job that is only read is 200 whatever its outcome.
func (h *Handler) reply(w http.ResponseWriter, v job.View, requestID string, created bool, err error) {
	if err != nil {
		fail(w, http.StatusInternalServerError, fmt.Errorf("the outcome is unknown: %w", err))
		return
	}
	if n, ok := v.Outcome.(outcome.NotRun); ok && created {
		refuse(w, n)
		return
	}
	wv := codec.EncodeJobView(v)
	wv.RequestID = requestID
	status := http.StatusOK
	if created && v.Phase != job.PhaseEnded {
		status = http.StatusAccepted
	}
	httpserver.JSON(w, status, wv)
}

func (h *Handler) replyKnown(w http.ResponseWriter, v job.View, id string, known bool, err error) {
	if err == nil && !known {
		fail(w, http.StatusNotFound, fmt.Errorf("job: found %q, allowed: a job that an entry holds or the log keeps", id))
		return
	}
	h.reply(w, v, "", false, err)
}

// enter counts a request that waits; it reports whether the bound allows it.
func (h *Handler) enter() bool {
	if h.waiting.Add(1) > h.maxWaiting {
		h.waiting.Add(-1)
		return false
	}
	return true
}

func (h *Handler) leave() { h.waiting.Add(-1) }

// Waiting is the number of requests that wait for a job now.
func (h *Handler) Waiting() int { return int(h.waiting.Load()) }

func (h *Handler) fullReason() string {
	return fmt.Sprintf("%d requests wait for their jobs, allowed: %d", h.maxWaiting, h.maxWaiting)
}

func refused(org, rule, reason string) job.View {
	return job.View{Org: org, Phase: job.PhaseEnded, EndedAt: time.Now(), Outcome: outcome.NotRun{Rule: rule, Reason: reason}}
}

func refuse(w http.ResponseWriter, n outcome.NotRun) {
	if _, ok := retryAfter[n.Rule]; ok {
		unavailable(w, n.Rule, n.Reason)
		return
	}
	httpserver.JSON(w, http.StatusConflict, wire.ErrorResponse{Error: notRunText(n.Reason), Rule: n.Rule})
}

func unavailable(w http.ResponseWriter, rule, reason string) {
	w.Header().Set("Retry-After", strconv.Itoa(retryAfter[rule]))
	httpserver.JSON(w, http.StatusServiceUnavailable, wire.ErrorResponse{Error: notRunText(reason), Rule: rule})
}

func notRunText(reason string) string { return "not run: " + reason }

func fail(w http.ResponseWriter, status int, err error) {
	httpserver.JSON(w, status, wire.ErrorResponse{Error: err.Error()})
}

// waitFrom reads ?waitMs=; 0 when it is missing.
func waitFrom(r *http.Request) (time.Duration, error) {
	text := r.URL.Query().Get("waitMs")
	if text == "" {
		return 0, nil
	}
	ms, err := strconv.Atoi(text)
	if err != nil || ms < 0 || time.Duration(ms)*time.Millisecond > maxWait {
		return 0, fmt.Errorf("waitMs: found %q, allowed: 0 to %d", text, maxWait.Milliseconds())
	}
	return time.Duration(ms) * time.Millisecond, nil
}
