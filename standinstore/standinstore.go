// Package standinstore is an in-memory stand-in for the platform's metadata
// store, for tests and the platform demonstration. It offers topics that keep
// the newest record of each key, appends that are fenced by producer epoch,
// long-poll reads, and faults that can be switched on.
//
// A Server owns its topics. One mutex guards them and is not held while a
// request waits.
package standinstore

import (
	"encoding/base64"
	"encoding/binary"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"time"

	"celerypoint.example/celerypoint/httpserver"
)

// Faults are the faults that a Server injects. The zero value injects none.
type Faults struct {
	// Down refuses every call with 503.
	Down bool
	// Unresponsive answers no call: the connection of each call is closed after
	// unansweredDuration.
	Unresponsive bool
	// LoseAnswers is how many of the next appends are carried out but not
	// answered.
	LoseAnswers int
	// ApplyLate is how many of the next appends are carried out only after
	// ApplyDelay and are not answered. It takes precedence over LoseAnswers.
	ApplyLate  int
	ApplyDelay time.Duration
	// HideNewRecords makes reads from an offset return no records, as if nothing
	// had been appended there or later. Reads of the newest record of each key
	// are not affected.
	HideNewRecords bool
	// ResponseDelay delays the handling, and so the answer, of every call.
	ResponseDelay time.Duration
}

type record struct {
	key   string
	value []byte
	// encoded is the key and the value as they are sent to readers.
	encoded []byte
}

// topic is a topic with one partition.
type topic struct {
	records []record
	// firstOffset is the oldest offset that can still be read.
	firstOffset int64
	// newestOffsets maps a key to the offset of its newest record.
	newestOffsets map[string]int64
	// producers maps the name of a producer to its state.
	producers map[string]*producer
	// changed is closed and replaced by each append.
	changed chan struct{}
}

// producer is the state of the highest epoch of a producer.
type producer struct {
	epoch int64
	// nextSequence is the sequence number that the next append must have, or -1
	// when any is accepted.
	nextSequence int64
	// offsetBySequence maps the sequence numbers of the newest appends to the
	// offsets of their first records. A repeated append is answered from it.
	offsetBySequence map[int64]int64
}

// answersPerProducer is the number of newest appends of a producer whose
// repetition is recognised and answered as before.
const answersPerProducer = 5

// Server is a running stand-in.
type Server struct {
	http *httpserver.Server

	mu     sync.Mutex
	topics map[string]*topic
	faults Faults
	// appends counts the appends of clients that added records.
	appends int
}

// maxRecordBytes bounds the key and the value of a record, with the byte for the length of
// the key.
const maxRecordBytes = 262144

// maxConcurrentRequests bounds the requests in progress. Each long-poll read
// holds one.
const maxConcurrentRequests = 256

// New listens on the TCP address and serves the store.
func New(address string) (*Server, error) {
	s := &Server{topics: map[string]*topic{}}
	mux := http.NewServeMux()
	mux.HandleFunc("POST /api/log-append", s.handleAppend)
	mux.HandleFunc("GET /api/log-read", s.handleRead)
	mux.HandleFunc("GET /api/log-newest", s.handleNewest)
	h, err := httpserver.New(address, maxConcurrentRequests, s.injectFaults(mux))
	if err != nil {
		return nil, fmt.Errorf("stand-in store: %w", err)
	}
	s.http = h
	return s, nil
}

// Address is the IP address and port that the store listens on.
func (s *Server) Address() string { return s.http.Address() }

// Close stops listening and closes the connections.
func (s *Server) Close() { s.http.Close(100 * time.Millisecond) }

// SetFaults replaces the faults.
func (s *Server) SetFaults(f Faults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = f
}

// Appends is the number of appends of clients that added records.
func (s *Server) Appends() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.appends
}

// Compact makes the present records of a topic unreadable by offset. The newest
// record of each key stays available.
func (s *Server) Compact(name string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	t := s.topic(name)
	t.firstOffset = int64(len(t.records))
}

// Put appends a record without a fence, as an operator does. Appends does not
// count it.
func (s *Server) Put(name, key string, value []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	encoded := append([]byte{byte(len(key))}, key...)
	s.topic(name).add([]record{{key, value, append(encoded, value...)}})
}

// Newest returns the newest value of a key, or nil if it has none.
func (s *Server) Newest(name, key string) []byte {
	s.mu.Lock()
	defer s.mu.Unlock()
	t := s.topic(name)
	offset, found := t.newestOffsets[key]
	if !found {
		return nil
	}
	return t.records[offset].value
}

// topic returns a topic and creates it on first use. The caller holds the mutex.
func (s *Server) topic(name string) *topic {
	t := s.topics[name]
	if t == nil {
		t = &topic{newestOffsets: map[string]int64{}, producers: map[string]*producer{}, changed: make(chan struct{})}
		s.topics[name] = t
	}
	return t
}

func (t *topic) add(records []record) int64 {
	first := int64(len(t.records))
	for _, r := range records {
		offset := int64(len(t.records))
		t.records = append(t.records, r)
		if len(r.value) == 0 {
			delete(t.newestOffsets, r.key)
		} else {
			t.newestOffsets[r.key] = offset
		}
	}
	close(t.changed)
	t.changed = make(chan struct{})
	return first
}

// injectFaults wraps the handler with the faults that affect every call.
func (s *Server) injectFaults(h http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		s.mu.Lock()
		f := s.faults
		s.mu.Unlock()
		time.Sleep(f.ResponseDelay)
		switch {
		case f.Down:
			httpserver.JSON(w, http.StatusServiceUnavailable, struct{}{})
		case f.Unresponsive:
			s.leaveUnanswered(w)
		default:
			h.ServeHTTP(w, r)
		}
	})
}

// unansweredDuration is how long the connection of an unanswered call stays
// open. Callers time out earlier.
const unansweredDuration = 3 * time.Second

// leaveUnanswered waits for unansweredDuration and then closes the connection
// without an answer. A connection that cannot be hijacked is not closed.
func (s *Server) leaveUnanswered(w http.ResponseWriter) {
	time.Sleep(unansweredDuration)
	if hijacker, ok := w.(http.Hijacker); ok {
		if conn, _, err := hijacker.Hijack(); err == nil {
			_ = conn.Close()
		}
	}
}

func (s *Server) handleAppend(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		httpserver.JSON(w, http.StatusBadRequest, struct{}{})
		return
	}
	records, err := decodeRecords(body)
	if slices.ContainsFunc(records, func(r record) bool { return len(r.encoded) > maxRecordBytes }) {
		httpserver.JSON(w, http.StatusRequestEntityTooLarge, struct{}{})
		return
	}
	if err != nil {
		httpserver.JSON(w, http.StatusBadRequest, map[string]string{"error": err.Error()})
		return
	}
	s.mu.Lock()
	late, loseAnswer := s.faults.ApplyLate > 0, s.faults.LoseAnswers > 0
	wait := s.faults.ApplyDelay
	switch {
	case late:
		s.faults.ApplyLate--
	case loseAnswer:
		s.faults.LoseAnswers--
	}
	s.mu.Unlock()
	// nbhttp reuses the request once its handler returns, so a late append must
	// not read the query from it.
	query := r.URL.Query()
	if late {
		time.AfterFunc(wait, func() { s.applyAppend(query.Get, records) })
		s.leaveUnanswered(w)
		return
	}
	status, reply := s.applyAppend(query.Get, records)
	if loseAnswer {
		s.leaveUnanswered(w)
		return
	}
	httpserver.JSON(w, status, reply)
}

// applyAppend handles an append and returns the status and the answer. query
// returns a parameter of the request. An append of a producer is refused if its
// epoch is lower than the producer's highest. It is not carried out again if its
// sequence number is that of one of the producer's newest appends in the epoch; the
// answer then has the offset of the earlier append. Otherwise it is refused unless
// its sequence number follows that of the previous append in the epoch. The first
// append in an epoch may have any sequence number.
func (s *Server) applyAppend(query func(string) string, records []record) (int, map[string]any) {
	s.mu.Lock()
	defer s.mu.Unlock()
	t := s.topic(query("topic"))
	if name := query("producer"); name != "" {
		epoch, _ := strconv.ParseInt(query("epoch"), 10, 64)
		sequence, _ := strconv.ParseInt(query("sequence"), 10, 64)
		p := t.producers[name]
		if p == nil {
			p = &producer{epoch: epoch, nextSequence: -1, offsetBySequence: map[int64]int64{}}
			t.producers[name] = p
		}
		switch {
		case epoch < p.epoch:
			return http.StatusConflict, map[string]any{"reason": "fenced"}
		case epoch > p.epoch:
			*p = producer{epoch: epoch, nextSequence: -1, offsetBySequence: map[int64]int64{}}
		}
		if offset, found := p.offsetBySequence[sequence]; found {
			return http.StatusOK, map[string]any{"offset": offset, "end_offset": len(t.records)}
		}
		if p.nextSequence >= 0 && sequence != p.nextSequence {
			return http.StatusConflict, map[string]any{"reason": "seq", "sequence": p.nextSequence}
		}
		if len(records) > 0 {
			p.nextSequence = sequence + 1
			p.offsetBySequence[sequence] = int64(len(t.records))
			delete(p.offsetBySequence, sequence-answersPerProducer)
		}
	}
	first := int64(len(t.records))
	if len(records) > 0 {
		s.appends++
		first = t.add(records)
	}
	return http.StatusOK, map[string]any{"offset": first, "end_offset": len(t.records)}
}

func decodeRecords(body []byte) ([]record, error) {
	var all []record
	for len(body) > 0 {
		if len(body) < 4 {
			return nil, fmt.Errorf("length: found %d bytes, allowed: 4", len(body))
		}
		size := int(binary.BigEndian.Uint32(body))
		if size < 1 || size > len(body)-4 || 1+int(body[4]) > size {
			return nil, fmt.Errorf("record: found a length of %d", size)
		}
		encoded := slices.Clone(body[4 : 4+size])
		key := int(encoded[0])
		all = append(all, record{key: string(encoded[1 : 1+key]), value: encoded[1+key:], encoded: encoded})
		body = body[4+size:]
	}
	return all, nil
}

func (s *Server) handleRead(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	from, _ := strconv.ParseInt(query.Get("from"), 10, 64)
	wait, _ := strconv.Atoi(query.Get("wait_ms"))
	deadline := time.NewTimer(time.Duration(wait) * time.Millisecond)
	defer deadline.Stop()
	for {
		s.mu.Lock()
		t := s.topic(query.Get("topic"))
		end, first, changed := int64(len(t.records)), t.firstOffset, t.changed
		var page []record
		if from >= first && from < end && !s.faults.HideNewRecords {
			page = slices.Clone(t.records[from:])
		}
		s.mu.Unlock()
		switch {
		case from < first:
			httpserver.JSON(w, http.StatusGone, map[string]int64{"first_offset": first})
			return
		case len(page) > 0:
			httpserver.Reply(w, http.StatusOK, "application/octet-stream", encodePage(end, first, page))
			return
		}
		select {
		case <-changed:
		case <-deadline.C:
			httpserver.Reply(w, http.StatusOK, "application/octet-stream", encodePage(end, first, nil))
			return
		}
	}
}

func encodePage(end, first int64, page []record) []byte {
	body := binary.BigEndian.AppendUint64(nil, uint64(end))
	body = binary.BigEndian.AppendUint64(body, uint64(first))
	for _, r := range page {
		body = binary.BigEndian.AppendUint32(body, uint32(len(r.encoded)))
		body = append(body, r.encoded...)
	}
	return body
}

// itemsPerPage is small so that tests read several pages.
const itemsPerPage = 7

func (s *Server) handleNewest(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	t := s.topic(r.URL.Query().Get("topic"))
	keys := make([]string, 0, len(t.newestOffsets))
	for key := range t.newestOffsets {
		if key > r.URL.Query().Get("after") {
			keys = append(keys, key)
		}
	}
	slices.Sort(keys)
	more := len(keys) > itemsPerPage
	if more {
		keys = keys[:itemsPerPage]
	}
	items := []map[string]any{}
	for _, key := range keys {
		offset := t.newestOffsets[key]
		items = append(items, map[string]any{"key": key, "value": base64.StdEncoding.EncodeToString(t.records[offset].value), "offset": offset})
	}
	body, err := json.Marshal(map[string]any{"items": items, "has_more": more, "end_offset": len(t.records)})
	if err != nil {
		httpserver.JSON(w, http.StatusInternalServerError, struct{}{})
		return
	}
	httpserver.Reply(w, http.StatusOK, "application/json", body)
}
