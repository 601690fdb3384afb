package standinruntime

import (
	"errors"
	"io"
	"net/http"
	"strconv"
	"time"

	"celerypoint.example/celerypoint/httpserver"
	"celerypoint.example/celerypoint/wire"
)

// maxWait bounds a long poll.
const maxWait = 30 * time.Second

func (r *Runtime) routes() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /tasks", r.serveStart)
	mux.HandleFunc("GET /tasks", func(w http.ResponseWriter, _ *http.Request) { httpserver.JSON(w, http.StatusOK, r.listTasks()) })
	mux.HandleFunc("POST /tasks/{id}/lease", r.serveLease)
	mux.HandleFunc("POST /tasks/{id}/checkpoint", r.serveUpdate(r.checkpointTask))
	mux.HandleFunc("POST /tasks/{id}/throttle", r.serveUpdate(r.throttleTask))
	mux.HandleFunc("POST /tasks/{id}/resume", r.serveUpdate(r.resumeTask))
	mux.HandleFunc("POST /tasks/{id}/stop", r.serveUpdate(r.stopTask))
	mux.HandleFunc("GET /tasks/{id}/answer", r.serveAnswer)
	mux.HandleFunc("GET /events", r.serveEvents)
	mux.HandleFunc("GET /records", func(w http.ResponseWriter, _ *http.Request) {
		httpserver.JSON(w, http.StatusOK, wire.RuntimeRecords{Records: r.Records()})
	})
	return mux
}

func reply(w http.ResponseWriter, err error) {
	switch {
	case err == nil:
		httpserver.JSON(w, http.StatusOK, struct{}{})
	case errors.Is(err, errNoTask):
		httpserver.JSON(w, http.StatusNotFound, wire.ErrorResponse{Error: err.Error()})
	case errors.Is(err, errNoAccelerators), errors.Is(err, errIDUsed):
		httpserver.JSON(w, http.StatusConflict, wire.ErrorResponse{Error: err.Error()})
	default:
		httpserver.JSON(w, http.StatusBadRequest, wire.ErrorResponse{Error: err.Error()})
	}
}

func decodeBody(req *http.Request, v any) error {
	body, err := io.ReadAll(io.LimitReader(req.Body, httpserver.MaxBodyBytes))
	if err != nil {
		return err
	}
	return wire.Decode(body, v)
}

func (r *Runtime) serveStart(w http.ResponseWriter, req *http.Request) {
	var s wire.TaskStart
	if err := decodeBody(req, &s); err != nil {
		reply(w, err)
		return
	}
	payload, err := wire.Bytes("payload", s.Payload)
	if err != nil {
		reply(w, err)
		return
	}
	s.Payload = ""
	reply(w, r.startTask(s, payload))
}

func (r *Runtime) serveLease(w http.ResponseWriter, req *http.Request) {
	var l wire.TaskLease
	if err := decodeBody(req, &l); err != nil {
		reply(w, err)
		return
	}
	reply(w, r.updateTask(req.PathValue("id"), func(t *task, now time.Time) {
		// Renewals can arrive out of order. One with an earlier expiry does not
		// shorten the lease.
		if expiresAt := time.UnixMilli(int64(l.LeaseUntilUnixMs)); expiresAt.After(t.leaseExpiresAt) {
			t.leaseExpiresAt = expiresAt
		}
		t.leaseTimer.Reset(max(0, t.leaseExpiresAt.Sub(now)))
	}))
}

// serveUpdate returns a handler that runs f on the task of the request.
func (r *Runtime) serveUpdate(f func(*task, time.Time)) http.HandlerFunc {
	return func(w http.ResponseWriter, req *http.Request) { reply(w, r.updateTask(req.PathValue("id"), f)) }
}

// serveAnswer serves the answer, or the part of it that the parameters offset
// and max select.
func (r *Runtime) serveAnswer(w http.ResponseWriter, req *http.Request) {
	offset, err1 := queryNumber(req, "offset", 0)
	limit, err2 := queryNumber(req, "max", maxAnswerBytes)
	if err := errors.Join(err1, err2); err != nil {
		reply(w, err)
		return
	}
	r.mu.Lock()
	t, ok := r.tasks[req.PathValue("id")]
	ok = ok && t.hasAnswer
	r.mu.Unlock()
	if !ok {
		reply(w, errNoTask)
		return
	}
	answer := Answer(t.payload, t.start.Rank)
	offset = min(max(0, offset), len(answer))
	limit = min(max(0, limit), len(answer)-offset)
	httpserver.Reply(w, http.StatusOK, "application/octet-stream", answer[offset:offset+limit])
}

func (r *Runtime) serveEvents(w http.ResponseWriter, req *http.Request) {
	from, err1 := queryNumber(req, "from", 1)
	waitMs, err2 := queryNumber(req, "waitMs", 0)
	if err := errors.Join(err1, err2); err != nil {
		reply(w, err)
		return
	}
	timer := time.NewTimer(min(maxWait, time.Duration(waitMs)*time.Millisecond))
	defer timer.Stop()
	events, changed := r.eventsSince(from)
	if len(events.Events) == 0 {
		select {
		case <-changed:
			events, _ = r.eventsSince(events.Next)
		case <-timer.C:
		}
	}
	if events.Events == nil {
		events.Events = []wire.TaskEvent{}
	}
	httpserver.JSON(w, http.StatusOK, events)
}

// queryNumber returns a query parameter, or the default if it is missing.
func queryNumber(req *http.Request, name string, defaultValue int) (int, error) {
	text := req.URL.Query().Get(name)
	if text == "" {
		return defaultValue, nil
	}
	return strconv.Atoi(text)
}
