// Package caller serves the HTTP interface for callers, the clients that submit
// jobs, wait for them, read their answers (the output of a job) and cancel
// them. It translates between HTTP and Service and makes no decisions about
// jobs. It owns the number of requests that wait for a job and the worker pool
// that carries out the requests of batches. It holds no lock during a call to
// Service.
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
// and Cancel reports whether the job is known. After an error it is unknown
// whether the request took effect. A refusal is not an error but a View whose
// outcome is NotRun.
type Service interface {
	// Submit assigns the job its ID and returns when the job has been accepted or
	// has ended.
	Submit(ctx context.Context, j job.Job) (job.View, error)
	Job(ctx context.Context, id string) (job.View, bool, error)
	// Wait returns when the job has ended or ctx is done, whichever is first.
	Wait(ctx context.Context, id string) (job.View, bool, error)
	Cancel(ctx context.Context, id string) (job.View, bool, error)
	// Answer reads the complete answer of a job whose outcome is an answer. It
	// returns ErrNoAnswer for other jobs.
	Answer(ctx context.Context, id string) ([]byte, outcome.Answer, error)
}

// ErrNoAnswer means that the job is unknown or has not ended with an answer.
var ErrNoAnswer = errors.New("the job has no answer")

// Names of the rules by which this package refuses requests.
const (
	ruleQueueFull      = "queueFull"
	ruleEntryLeaving   = "entryLeaving"
	ruleInvalidRequest = "invalidRequest"
)

// retryAfter maps each rule whose refusals are temporary to the number of
// seconds after which a caller may retry. A stopping entry gets no further
// requests after 1 s, because the load balancer has detected by then that it is
// not ready.
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
	// maxWait bounds the waitMs query parameter, and the time that a batch waits
	// for each of its jobs. It is below the idle timeouts of common load
	// balancers.
	maxWait = 50 * time.Second
	// DefaultMaxWaiting bounds the number of requests that wait for a job at the
	// same time; each occupies a handler of the HTTP server. It equals the default
	// maximum length of an entry's job queues, one per urgency, so that a full job
	// queue refuses a job before this limit does, and gives its own reason.
	DefaultMaxWaiting = 4096
	// defaultBatchWorkers and defaultBatchQueue are the number of workers and the
	// queue length of the worker pool for batches.
	defaultBatchWorkers = 128
	defaultBatchQueue   = 4096
)

// Handler serves /v1/jobs, the paths below it, and /v1/batch. New creates one.
type Handler struct {
	service    Service
	mux        *http.ServeMux
	pool       *workpool.Pool
	waiting    atomic.Int64
	maxWaiting int64
	workers    int
	queueDepth int
	stopping   func() bool
}

// Option configures a Handler.
type Option func(*Handler)

// WithMaxWaiting bounds the number of requests that wait for a job at the same
// time.
func WithMaxWaiting(n int) Option { return func(h *Handler) { h.maxWaiting = int64(n) } }

// WithBatchPool sets how many requests of batches are carried out at the same
// time, and how many more may be queued.
func WithBatchPool(workers, queue int) Option {
	return func(h *Handler) { h.workers, h.queueDepth = workers, queue }
}

// WithStopping sets a function that reports whether the entry is stopping and
// accepts no new jobs. Accepted jobs can still be read, waited for and
// cancelled.
func WithStopping(f func() bool) Option { return func(h *Handler) { h.stopping = f } }

// New returns a handler. Close stops its workers.
func New(s Service, options ...Option) *Handler {
	h := &Handler{
		service: s, mux: http.NewServeMux(), maxWaiting: DefaultMaxWaiting,
		workers: defaultBatchWorkers, queueDepth: defaultBatchQueue, stopping: func() bool { return false },
	}
	for _, o := range options {
		o(h)
	}
	h.pool = workpool.New(h.workers, h.queueDepth)
	h.mux.HandleFunc("POST /v1/jobs", h.submit)
	h.mux.HandleFunc("GET /v1/jobs/{id}", h.read)
	h.mux.HandleFunc("GET /v1/jobs/{id}/answer", h.answer)
	h.mux.HandleFunc("DELETE /v1/jobs/{id}", h.cancel)
	h.mux.HandleFunc("POST /v1/batch", h.batch)
	return h
}

// ServeHTTP serves one request.
func (h *Handler) ServeHTTP(w http.ResponseWriter, r *http.Request) { h.mux.ServeHTTP(w, r) }

// Close waits for the requests of batches and stops the workers.
func (h *Handler) Close() { h.pool.Close() }

func (h *Handler) submit(w http.ResponseWriter, r *http.Request) {
	wait, err := parseWait(r)
	if err != nil {
		replyError(w, http.StatusBadRequest, err)
		return
	}
	body, err := io.ReadAll(r.Body)
	if err != nil {
		replyError(w, http.StatusBadRequest, fmt.Errorf("body: found a truncated body (%v), allowed: a complete JSON object", err))
		return
	}
	j, requestID, err := decodeJob(body)
	if err != nil {
		replyError(w, http.StatusBadRequest, err)
		return
	}
	v, err := h.submitJob(r.Context(), j, wait)
	h.reply(w, v, requestID, true, err)
}

// submitJob submits a job and waits until it has ended, at most for the given
// time. It refuses the job if the entry is stopping or too many requests wait
// already.
func (h *Handler) submitJob(ctx context.Context, j job.Job, wait time.Duration) (job.View, error) {
	if h.stopping() {
		return refusedView(j.Org, ruleEntryLeaving, "the entry is stopping and accepts no new jobs"), nil
	}
	if wait > 0 {
		if !h.beginWait() {
			return refusedView(j.Org, ruleQueueFull, h.waitLimitReason()), nil
		}
		defer h.endWait()
	}
	return h.submitAndWait(ctx, j, wait)
}

func (h *Handler) submitAndWait(ctx context.Context, j job.Job, wait time.Duration) (job.View, error) {
	deadline := time.Now().Add(wait)
	v, err := h.service.Submit(ctx, j)
	if err != nil || wait <= 0 || v.Phase == job.PhaseEnded {
		return v, err
	}
	ctx, cancel := context.WithDeadline(ctx, deadline)
	defer cancel()
	// The job has been accepted. Even if waiting for it fails, the caller must
	// get its ID.
	if waited, known, err := h.service.Wait(ctx, v.ID); err == nil && known {
		return waited, nil
	}
	return v, nil
}

func (h *Handler) read(w http.ResponseWriter, r *http.Request) {
	wait, err := parseWait(r)
	if err != nil {
		replyError(w, http.StatusBadRequest, err)
		return
	}
	id := r.PathValue("id")
	if wait == 0 {
		v, known, err := h.service.Job(r.Context(), id)
		h.replyKnown(w, v, id, known, err)
		return
	}
	if !h.beginWait() {
		replyUnavailable(w, ruleQueueFull, h.waitLimitReason())
		return
	}
	defer h.endWait()
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
		replyError(w, http.StatusNotFound, fmt.Errorf("job %s: %w", id, err))
		return
	case err != nil:
		replyError(w, http.StatusBadGateway, fmt.Errorf("job %s: read the answer: %w", id, err))
		return
	}
	if err := verifyAnswer(body, a); err != nil {
		replyError(w, http.StatusBadGateway, fmt.Errorf("job %s: %w", id, err))
		return
	}
	w.Header().Set("Celerypoint-Length", strconv.FormatInt(a.Length, 10))
	w.Header().Set("Celerypoint-Checksum", wire.Checksum(a.Checksum))
	httpserver.Reply(w, http.StatusOK, "application/octet-stream", body)
}

// verifyAnswer checks that the body has the length and checksum that are
// recorded for the answer.
func verifyAnswer(body []byte, a outcome.Answer) error {
	if sum := xxhash.Sum64(body); int64(len(body)) != a.Length || sum != a.Checksum {
		return fmt.Errorf("the answer does not match its record: found %d bytes with checksum %s, recorded: %d bytes with checksum %s",
			len(body), wire.Checksum(sum), a.Length, wire.Checksum(a.Checksum))
	}
	return nil
}

// reply sends the state of a job. If the job was just submitted (created) and
// refused, the status is that of an error. A job that is only read gives 200,
// whatever its outcome is.
func (h *Handler) reply(w http.ResponseWriter, v job.View, requestID string, created bool, err error) {
	if err != nil {
		replyError(w, http.StatusInternalServerError, fmt.Errorf("the outcome is unknown: %w", err))
		return
	}
	if n, ok := v.Outcome.(outcome.NotRun); ok && created {
		replyRefusal(w, n)
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
		replyError(w, http.StatusNotFound, fmt.Errorf("job: found %q, allowed: a job that an entry has in memory or the log retains", id))
		return
	}
	h.reply(w, v, "", false, err)
}

// beginWait adds a request to those that wait for a job. It reports false if
// their number has reached the limit. After true the caller must call endWait.
func (h *Handler) beginWait() bool {
	if h.waiting.Add(1) > h.maxWaiting {
		h.waiting.Add(-1)
		return false
	}
	return true
}

func (h *Handler) endWait() { h.waiting.Add(-1) }

// Waiting returns the number of requests that wait for a job.
func (h *Handler) Waiting() int { return int(h.waiting.Load()) }

func (h *Handler) waitLimitReason() string {
	return fmt.Sprintf("%d requests wait for their jobs, allowed: %d", h.maxWaiting, h.maxWaiting)
}

func refusedView(org, rule, reason string) job.View {
	return job.View{Org: org, Phase: job.PhaseEnded, EndedAt: time.Now(), Outcome: outcome.NotRun{Rule: rule, Reason: reason}}
}

func replyRefusal(w http.ResponseWriter, n outcome.NotRun) {
	if _, ok := retryAfter[n.Rule]; ok {
		replyUnavailable(w, n.Rule, n.Reason)
		return
	}
	httpserver.JSON(w, http.StatusConflict, wire.ErrorResponse{Error: notRunMessage(n.Reason), Rule: n.Rule})
}

func replyUnavailable(w http.ResponseWriter, rule, reason string) {
	w.Header().Set("Retry-After", strconv.Itoa(retryAfter[rule]))
	httpserver.JSON(w, http.StatusServiceUnavailable, wire.ErrorResponse{Error: notRunMessage(reason), Rule: rule})
}

func notRunMessage(reason string) string { return "not run: " + reason }

func replyError(w http.ResponseWriter, status int, err error) {
	httpserver.JSON(w, status, wire.ErrorResponse{Error: err.Error()})
}

// parseWait returns the value of the waitMs query parameter, or 0 if it is
// missing.
func parseWait(r *http.Request) (time.Duration, error) {
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
