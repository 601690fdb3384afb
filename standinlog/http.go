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

// Bounds of one read.
const (
	maxPageRecords = 10000
	// maxPageBytes is the size of the bodies at which a page ends.
	maxPageBytes = 4 << 20
	maxWait      = 30 * time.Second
)

func (l *Log) append(w http.ResponseWriter, r *http.Request) {
	text, err := io.ReadAll(r.Body)
	if err != nil {
		refuse(w, http.StatusBadRequest, "body: %v", err)
		return
	}
	if l.disturb(w, true) {
		return
	}
	var request wire.AppendRequest
	if err := wire.Decode(text, &request); err != nil {
		refuse(w, http.StatusBadRequest, "body: %v", err)
		return
	}
	records, err := encode(request, time.Now())
	if err != nil {
		refuse(w, http.StatusBadRequest, "%v", err)
		return
	}
	first, lost, ok := l.add(r.PathValue("name"), records)
	switch {
	case !ok:
		refuse(w, http.StatusTooManyRequests, "appends: found more than %d a second, allowed: %d", l.appendsPerSecond, l.appendsPerSecond)
	case lost:
		cut(w)
	default:
		httpserver.JSON(w, http.StatusOK, wire.AppendResponse{First: first})
	}
}

func encode(request wire.AppendRequest, now time.Time) ([]record, error) {
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
		records[i] = record{id: r.ID, body: body, at: now}
	}
	return records, nil
}

// add appends unless the rate is used up. Lost says that the answer is to be
// lost.
func (l *Log) add(name string, records []record) (first int, lost, ok bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if now := time.Now().Unix(); now != l.second {
		l.second, l.appends = now, 0
	}
	if l.appends >= l.appendsPerSecond {
		return 0, false, false
	}
	l.appends++
	s := l.stream(name)
	first = s.append(records)
	s.expire(l.retainRecords, l.retainAge, time.Now())
	if lost = l.faults.LoseAnswers > 0; lost {
		l.faults.LoseAnswers--
	}
	return first, lost, true
}

// stream returns the stream, which exists from its first use on.
func (l *Log) stream(name string) *stream {
	s, ok := l.streams[name]
	if !ok {
		s = newStream()
		l.streams[name] = s
	}
	return s
}

func (l *Log) read(w http.ResponseWriter, r *http.Request) {
	if l.disturb(w, false) {
		return
	}
	q := r.URL.Query()
	from, err := number(q.Get("from"), "from", 1, 1, 1<<53)
	if err != nil {
		refuse(w, http.StatusBadRequest, "%v", err)
		return
	}
	limit, err := number(q.Get("max"), "max", 1000, 1, maxPageRecords)
	if err != nil {
		refuse(w, http.StatusBadRequest, "%v", err)
		return
	}
	wait, err := number(q.Get("waitMs"), "waitMs", 0, 0, int(maxWait.Milliseconds()))
	if err != nil {
		refuse(w, http.StatusBadRequest, "%v", err)
		return
	}
	timer := time.NewTimer(time.Duration(wait) * time.Millisecond)
	defer timer.Stop()
	for over := wait == 0; ; {
		page, expired, grown := l.page(r.PathValue("name"), from, limit)
		if expired {
			httpserver.JSON(w, http.StatusGone, wire.ExpiredResponse{Oldest: page.Oldest})
			return
		}
		if len(page.Records) > 0 || over {
			httpserver.JSON(w, http.StatusOK, page)
			return
		}
		select {
		case <-grown:
		case <-timer.C:
			over = true
		case <-l.stop:
			over = true
		}
	}
}

// page returns a page, and the channel that is closed when there is more.
func (l *Log) page(name string, from, limit int) (p wire.ReadResponse, expired bool, grown chan struct{}) {
	l.mu.Lock()
	defer l.mu.Unlock()
	s := l.stream(name)
	s.expire(l.retainRecords, l.retainAge, time.Now())
	if from < s.oldest {
		return wire.ReadResponse{Oldest: s.oldest}, true, nil
	}
	return s.page(min(from, s.next()), limit), false, s.grown
}

// dump writes all records ever appended to the stream.
func (l *Log) dump(w http.ResponseWriter, r *http.Request) {
	l.mu.Lock()
	s := l.stream(r.PathValue("name"))
	page := wire.ReadResponse{Oldest: s.oldest, Next: s.next(), Records: []wire.LogRecord{}}
	for i, r := range s.records {
		page.Records = append(page.Records, wire.LogRecord{Offset: i + 1, ID: r.id, Body: r.body})
	}
	l.mu.Unlock()
	httpserver.JSON(w, http.StatusOK, page)
}

func (l *Log) getFaults(w http.ResponseWriter, r *http.Request) {
	l.mu.Lock()
	f := l.faults
	l.mu.Unlock()
	httpserver.JSON(w, http.StatusOK, f)
}

func (l *Log) postFaults(w http.ResponseWriter, r *http.Request) {
	text, err := io.ReadAll(r.Body)
	var f wire.LogFaults
	if err == nil {
		err = wire.Decode(text, &f)
	}
	if err != nil {
		refuse(w, http.StatusBadRequest, "faults: %v", err)
		return
	}
	l.SetFaults(f)
	httpserver.JSON(w, http.StatusOK, f)
}

// disturb applies the faults that come before a request takes effect, and
// reports whether the request was refused.
func (l *Log) disturb(w http.ResponseWriter, isAppend bool) bool {
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
		refuse(w, http.StatusServiceUnavailable, "the log is down")
	}
	return down
}

// cut closes the connection without an answer.
func cut(w http.ResponseWriter) {
	if h, ok := w.(http.Hijacker); ok {
		if c, _, err := h.Hijack(); err == nil {
			_ = c.Close()
		}
	}
}

func refuse(w http.ResponseWriter, status int, format string, args ...any) {
	httpserver.JSON(w, status, wire.ErrorResponse{Error: fmt.Sprintf(format, args...)})
}

func number(text, name string, absent, low, high int) (int, error) {
	if text == "" {
		return absent, nil
	}
	n, err := strconv.Atoi(text)
	if err != nil || n < low || n > high {
		return 0, fmt.Errorf("%s: found %q, allowed: %d to %d", name, text, low, high)
	}
	return n, nil
}
