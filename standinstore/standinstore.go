// Package standinstore is a small stand-in for the platform's metadata store:
// topics that keep the newest record of each key, fenced appends, reads that
// wait, and faults as switches. Tests and the demonstration use it.
//
// A Server owns its topics; one mutex guards them and is not held while a
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

// Faults are the switches of a Server. The zero value is a store without
// faults.
type Faults struct {
	// Down refuses every call with 503.
	Down bool
	// Unresponsive keeps calls without an answer until it is switched off.
	Unresponsive bool
	// LoseAnswers carries out that many appends without answering them.
	LoseAnswers int
	// ApplyLate carries out that many appends only after Late, without an
	// answer.
	ApplyLate  int
	ApplyDelay time.Duration
	// HideNewRecords keeps new records from reads of topics: they are answered as if
	// nothing had been appended.
	HideNewRecords bool
	// ResponseDelay is added to every answer.
	ResponseDelay time.Duration
}

// record is one stored record.
type record struct {
	key   string
	value []byte
	raw   []byte
}

// topic is one partition.
type topic struct {
	records []record
	// first is the oldest offset that is retained for reading.
	first int64
	// newest maps a key to the offset of its newest record.
	newest map[string]int64
	// producers holds the highest epoch and what was appended under it.
	producers map[string]*producer
	changed   chan struct{}
}

type producer struct {
	epoch int64
	// next is the sequence number that is expected, -1 for any.
	next int64
	// answers holds the offsets of the newest appends by sequence number.
	answers map[int64]int64
}

// repeats is how many appends of a producer are answered again.
const repeats = 5

// Server is a running stand-in.
type Server struct {
	http *httpserver.Server

	mu     sync.Mutex
	topics map[string]*topic
	faults Faults
	// Appends counts the appends that were carried out.
	appends int
}

// handlers bounds the requests that wait at once.
const handlers = 256

// New starts a stand-in at the TCP address.
func New(address string) (*Server, error) {
	s := &Server{topics: map[string]*topic{}}
	mux := http.NewServeMux()
	mux.HandleFunc("POST /api/log-append", s.append)
	mux.HandleFunc("GET /api/log-read", s.read)
	mux.HandleFunc("GET /api/log-newest", s.newest)
	h, err := httpserver.New(address, handlers, s.faulty(mux))
	if err != nil {
		return nil, fmt.Errorf("stand-in store: %w", err)
	}
	s.http = h
	return s, nil
}

// Address is the IP address and port.
func (s *Server) Address() string { return s.http.Address() }

// Close ends the stand-in.
func (s *Server) Close() { s.http.Close(100 * time.Millisecond) }

// SetFaults puts the faults in force.
func (s *Server) SetFaults(f Faults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = f
}

// Appends is the number of appends that were carried out.
func (s *Server) Appends() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.appends
}

// Compact drops the history of a topic; the newest record of each key stays.
func (s *Server) Compact(name string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	t := s.topic(name)
	t.first = int64(len(t.records))
}

// Put appends a record of the operator.
func (s *Server) Put(name, key string, value []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	raw := append([]byte{byte(len(key))}, key...)
	s.topic(name).add([]record{{key, value, append(raw, value...)}})
}

// Newest returns the newest value of a key, nil for none.
func (s *Server) Newest(name, key string) []byte {
	s.mu.Lock()
	defer s.mu.Unlock()
	t := s.topic(name)
	offset, found := t.newest[key]
	if !found {
		return nil
	}
	return t.records[offset].value
}

// topic finds or makes a topic. The caller holds the mutex.
func (s *Server) topic(name string) *topic {
	t := s.topics[name]
	if t == nil {
		t = &topic{newest: map[string]int64{}, producers: map[string]*producer{}, changed: make(chan struct{})}
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
			delete(t.newest, r.key)
		} else {
			t.newest[r.key] = offset
		}
	}
	close(t.changed)
	t.changed = make(chan struct{})
	return first
}

// faulty applies the faults that concern every call.
func (s *Server) faulty(h http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		s.mu.Lock()
		f := s.faults
		s.mu.Unlock()
		time.Sleep(f.ResponseDelay)
		switch {
		case f.Down:
			httpserver.JSON(w, http.StatusServiceUnavailable, struct{}{})
		case f.Unresponsive:
			s.hang(w)
		default:
			h.ServeHTTP(w, r)
		}
	})
}

// silence is how long a call without an answer is kept open; callers give up
// before.
const silence = 3 * time.Second

// hang keeps a request without an answer, and then ends its connection.
func (s *Server) hang(w http.ResponseWriter) {
	time.Sleep(silence)
	if hijacker, ok := w.(http.Hijacker); ok {
		if conn, _, err := hijacker.Hijack(); err == nil {
			_ = conn.Close()
		}
	}
}

func (s *Server) append(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		httpserver.JSON(w, http.StatusBadRequest, struct{}{})
		return
	}
	records, err := decode(body)
	if err != nil {
		httpserver.JSON(w, http.StatusBadRequest, map[string]string{"error": err.Error()})
		return
	}
	s.mu.Lock()
	late, lost := s.faults.ApplyLate > 0, s.faults.LoseAnswers > 0
	wait := s.faults.ApplyDelay
	switch {
	case late:
		s.faults.ApplyLate--
	case lost:
		s.faults.LoseAnswers--
	}
	s.mu.Unlock()
	// nbhttp uses the request again once it is answered.
	query := r.URL.Query()
	if late {
		time.AfterFunc(wait, func() { s.apply(query.Get, records) })
		s.hang(w)
		return
	}
	status, reply := s.apply(query.Get, records)
	if lost {
		s.hang(w)
		return
	}
	httpserver.JSON(w, status, reply)
}

// apply carries out an append.
func (s *Server) apply(query func(string) string, records []record) (int, map[string]any) {
	s.mu.Lock()
	defer s.mu.Unlock()
	t := s.topic(query("topic"))
	if name := query("producer"); name != "" {
		epoch, _ := strconv.ParseInt(query("epoch"), 10, 64)
		sequence, _ := strconv.ParseInt(query("sequence"), 10, 64)
		p := t.producers[name]
		if p == nil {
			p = &producer{epoch: epoch, next: -1, answers: map[int64]int64{}}
			t.producers[name] = p
		}
		switch {
		case epoch < p.epoch:
			return http.StatusConflict, map[string]any{"reason": "fenced"}
		case epoch > p.epoch:
			*p = producer{epoch: epoch, next: -1, answers: map[int64]int64{}}
		}
		if offset, found := p.answers[sequence]; found {
			return http.StatusOK, map[string]any{"offset": offset, "end_offset": len(t.records)}
		}
		if p.next >= 0 && sequence != p.next {
			return http.StatusConflict, map[string]any{"reason": "seq", "sequence": p.next}
		}
		if len(records) > 0 {
			p.next = sequence + 1
			p.answers[sequence] = int64(len(t.records))
			delete(p.answers, sequence-repeats)
		}
	}
	first := int64(len(t.records))
	if len(records) > 0 {
		s.appends++
		first = t.add(records)
	}
	return http.StatusOK, map[string]any{"offset": first, "end_offset": len(t.records)}
}

func decode(body []byte) ([]record, error) {
	var all []record
	for len(body) > 0 {
		if len(body) < 4 {
			return nil, fmt.Errorf("length: found %d bytes, allowed: 4", len(body))
		}
		size := int(binary.BigEndian.Uint32(body))
		if size < 1 || size > len(body)-4 || 1+int(body[4]) > size {
			return nil, fmt.Errorf("record: found a length of %d", size)
		}
		raw := slices.Clone(body[4 : 4+size])
		key := int(raw[0])
		all = append(all, record{key: string(raw[1 : 1+key]), value: raw[1+key:], raw: raw})
		body = body[4+size:]
	}
	return all, nil
}

func (s *Server) read(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	from, _ := strconv.ParseInt(query.Get("from"), 10, 64)
	wait, _ := strconv.Atoi(query.Get("wait_ms"))
	deadline := time.NewTimer(time.Duration(wait) * time.Millisecond)
	defer deadline.Stop()
	for {
		s.mu.Lock()
		t := s.topic(query.Get("topic"))
		end, first, changed := int64(len(t.records)), t.first, t.changed
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
			httpserver.Reply(w, http.StatusOK, "application/octet-stream", encode(end, first, page))
			return
		}
		select {
		case <-changed:
		case <-deadline.C:
			httpserver.Reply(w, http.StatusOK, "application/octet-stream", encode(end, first, nil))
			return
		}
	}
}

func encode(end, first int64, page []record) []byte {
	body := binary.BigEndian.AppendUint64(nil, uint64(end))
	body = binary.BigEndian.AppendUint64(body, uint64(first))
	for _, r := range page {
		body = binary.BigEndian.AppendUint32(body, uint32(len(r.raw)))
		body = append(body, r.raw...)
	}
	return body
}

// itemsPerPage is small, so that tests read several pages.
const itemsPerPage = 7

func (s *Server) newest(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	t := s.topic(r.URL.Query().Get("topic"))
	keys := make([]string, 0, len(t.newest))
	for key := range t.newest {
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
		offset := t.newest[key]
		items = append(items, map[string]any{"key": key, "value": base64.StdEncoding.EncodeToString(t.records[offset].value), "offset": offset})
	}
	body, err := json.Marshal(map[string]any{"items": items, "has_more": more, "end_offset": len(t.records)})
	if err != nil {
		httpserver.JSON(w, http.StatusInternalServerError, struct{}{})
		return
	}
	httpserver.Reply(w, http.StatusOK, "application/json", body)
}
