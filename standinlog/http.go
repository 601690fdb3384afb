package standinlog

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"time"

	"celerypoint.example/celerypoint/httpserver"
	"celerypoint.example/celerypoint/wire"
)

// Limits of one read.
const (
	maxPageRecords = 10000
	// maxPageBytes is the total size of record bodies at which a page ends.
	maxPageBytes = 4 << 20
	maxWait      = 30 * time.Second
)

func (l *Log) handleAppend(w http.ResponseWriter, r *http.Request) {
	text, err := io.ReadAll(r.Body)
	if err != nil {
		replyError(w, http.StatusBadRequest, "body: %v", err)
		return
	}
	if l.injectFaults(w, true) {
		return
	}
	var request wire.AppendRequest
	if err := wire.Decode(text, &request); err != nil {
		replyError(w, http.StatusBadRequest, "body: %v", err)
		return
	}
	records, err := encodeRecords(request, time.Now())
	if err != nil {
		replyError(w, http.StatusBadRequest, "%v", err)
		return
	}
	first, loseAnswer, ok := l.appendRecords(r.PathValue("name"), records)
	switch {
	case !ok:
		replyError(w, http.StatusTooManyRequests, "appends: found more than %d a second, allowed: %d", l.appendsPerSecond, l.appendsPerSecond)
	case loseAnswer:
		closeWithoutAnswer(w)
	default:
		httpserver.JSON(w, http.StatusOK, wire.AppendResponse{First: first})
	}
}

func encodeRecords(request wire.AppendRequest, now time.Time) ([]record, error) {
	if len(request.Records) == 0 {
		return nil, fmt.Errorf("records: found none, allowed: at least 1")
	}
	records := make([]record, len(request.Records))
	for i, r := range request.Records {
		if r.ID == "" {
			return nil, fmt.Errorf("records[%d].id: found an empty text, allowed: any other", i)
		}
		body, err := json.Marshal(r.Body)
		if err != nil {
			return nil, fmt.Errorf("records[%d].body: %w", i, err)
		}
		records[i] = record{id: r.ID, body: body, appendedAt: now}
	}
	return records, nil
}

// appendRecords appends the records and returns the offset of the first. ok is
// false if the limit on the rate of append requests is reached; nothing is then
// appended. loseAnswer says that the request must not be answered.
func (l *Log) appendRecords(name string, records []record) (first int, loseAnswer, ok bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if now := time.Now().Unix(); now != l.countedSecond {
		l.countedSecond, l.appends = now, 0
	}
	if l.appends >= l.appendsPerSecond {
		return 0, false, false
	}
	l.appends++
	s := l.stream(name)
	first = s.append(records)
	s.expire(l.retainRecords, l.retainAge, time.Now())
	if loseAnswer = l.faults.LoseAnswers > 0; loseAnswer {
		l.faults.LoseAnswers--
	}
	return first, loseAnswer, true
}

// stream returns a stream and creates it on first use. The caller holds the
// mutex.
func (l *Log) stream(name string) *stream {
	s, ok := l.streams[name]
	if !ok {
		s = newStream()
		l.streams[name] = s
	}
	return s
}

func (l *Log) handleRead(w http.ResponseWriter, r *http.Request) {
	if l.injectFaults(w, false) {
		return
	}
	q := r.URL.Query()
	from, err := parseNumber(q.Get("from"), "from", 1, 1, 1<<53)
	if err != nil {
		replyError(w, http.StatusBadRequest, "%v", err)
		return
	}
	limit, err := parseNumber(q.Get("max"), "max", 1000, 1, maxPageRecords)
	if err != nil {
		replyError(w, http.StatusBadRequest, "%v", err)
		return
	}
	wait, err := parseNumber(q.Get("waitMs"), "waitMs", 0, 0, int(maxWait.Milliseconds()))
	if err != nil {
		replyError(w, http.StatusBadRequest, "%v", err)
		return
	}
	timer := time.NewTimer(time.Duration(wait) * time.Millisecond)
	defer timer.Stop()
	for waitOver := wait == 0; ; {
		page, expired, appended := l.page(r.PathValue("name"), from, limit)
		if expired {
			httpserver.JSON(w, http.StatusGone, wire.ExpiredResponse{Oldest: page.Oldest})
			return
		}
		if len(page.Records) > 0 || waitOver {
			httpserver.JSON(w, http.StatusOK, page)
			return
		}
		select {
		case <-appended:
		case <-timer.C:
			waitOver = true
		case <-l.stop:
			waitOver = true
		}
	}
}

// page returns up to limit records from the offset from on, and a channel that
// is closed at the next append to the stream. If the record at from has expired,
// it returns only the oldest offset that is left, and expired is true.
func (l *Log) page(name string, from, limit int) (p wire.ReadResponse, expired bool, appended chan struct{}) {
	l.mu.Lock()
	defer l.mu.Unlock()
	s := l.stream(name)
	s.expire(l.retainRecords, l.retainAge, time.Now())
	if from < s.oldest {
		return wire.ReadResponse{Oldest: s.oldest}, true, nil
	}
	return s.page(min(from, s.next()), limit), false, s.appended
}

// handleDump serves all records ever appended to the stream, including expired
// ones. Faults and limits on the length of a page do not apply.
func (l *Log) handleDump(w http.ResponseWriter, r *http.Request) {
	l.mu.Lock()
	s := l.stream(r.PathValue("name"))
	page := wire.ReadResponse{Oldest: s.oldest, Next: s.next(), Records: []wire.LogRecord{}}
	for i, r := range s.records {
		page.Records = append(page.Records, wire.LogRecord{Offset: i + 1, ID: r.id, Body: r.body})
	}
	l.mu.Unlock()
	httpserver.JSON(w, http.StatusOK, page)
}

func (l *Log) handleGetFaults(w http.ResponseWriter, r *http.Request) {
	l.mu.Lock()
	f := l.faults
	l.mu.Unlock()
	httpserver.JSON(w, http.StatusOK, f)
}

func (l *Log) handlePostFaults(w http.ResponseWriter, r *http.Request) {
	text, err := io.ReadAll(r.Body)
	var f wire.LogFaults
	if err == nil {
		err = wire.Decode(text, &f)
	}
	if err != nil {
		replyError(w, http.StatusBadRequest, "faults: %v", err)
		return
	}
	l.SetFaults(f)
	httpserver.JSON(w, http.StatusOK, f)
}

// injectFaults delays or refuses a request as the faults demand, before the
// request takes effect. It reports whether it has refused the request.
func (l *Log) injectFaults(w http.ResponseWriter, isAppend bool) bool {
	l.mu.Lock()
	delay := time.Duration(l.faults.DelayMs) * time.Millisecond
	l.mu.Unlock()
	if delay > 0 {
		select {
		case <-time.After(delay):
		case <-l.stop:
		}
	}
	l.mu.Lock()
	down := l.faults.Down || isAppend && l.faults.AppendDown
	l.mu.Unlock()
	if down {
		replyError(w, http.StatusServiceUnavailable, "the log is down")
	}
	return down
}

// closeWithoutAnswer closes the connection, so that the client cannot tell whether
// the append took effect.
func closeWithoutAnswer(w http.ResponseWriter) {
	if h, ok := w.(http.Hijacker); ok {
		if c, _, err := h.Hijack(); err == nil {
			_ = c.Close()
		}
	}
}

func replyError(w http.ResponseWriter, status int, format string, args ...any) {
	httpserver.JSON(w, status, wire.ErrorResponse{Error: fmt.Sprintf(format, args...)})
}

// parseNumber parses the query parameter name, whose value is text. The default
// applies when text is empty; low and high are the least and the greatest value.
func parseNumber(text, name string, defaultValue, low, high int) (int, error) {
	if text == "" {
		return defaultValue, nil
	}
	n, err := strconv.Atoi(text)
	if err != nil || n < low || n > high {
		return 0, fmt.Errorf("%s: found %q, allowed: %d to %d", name, text, low, high)
	}
	return n, nil
}
