// Package standin holds small stand-ins for the platform that the cases of the
// review use: the metadata store in its form as a log, workers, and the calls of a
// client. They follow the users' pages and nothing else.
package standin

import (
	"encoding/base64"
	"encoding/binary"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"sort"
	"strconv"
	"sync"
	"time"
)

// Limits of the store, as in the settings of a small deployment.
const (
	keepRecords    = 20 * time.Second
	maxRecordBytes = 262144
	maxCallBytes   = 2097152
	answerTime     = 4 * time.Millisecond
	maxPageBytes   = 1 << 20
	maxItems       = 500
)

type storedRecord struct {
	key  string
	raw  []byte
	size int
	at   time.Time
}

type newestRecord struct {
	value  []byte
	offset int64
}

type producerState struct {
	epoch    int64
	next     int64
	answered map[int64]int64
}

type topicState struct {
	first     int64
	records   []storedRecord
	newest    map[string]newestRecord
	producers map[string]*producerState
	changed   chan struct{}
}

// Store is a stand-in for the platform's store.
type Store struct {
	Address string
	log     *Record
	server  *http.Server

	mu       sync.Mutex
	topics   map[string]*topicState
	tooLarge int
	largest  int
}

// NewStore starts a store on a free loopback port.
func NewStore(log *Record) (*Store, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	s := &Store{Address: listener.Addr().String(), log: log, topics: map[string]*topicState{}}
	mux := http.NewServeMux()
	mux.HandleFunc("POST /api/log-append", s.append)
	mux.HandleFunc("GET /api/log-read", s.read)
	mux.HandleFunc("GET /api/log-newest", s.readNewest)
	s.server = &http.Server{Handler: mux}
	go func() { _ = s.server.Serve(listener) }()
	return s, nil
}

// Close ends the store.
func (s *Store) Close() { _ = s.server.Close() }

// Refused returns how many appends were refused because a record was larger than the
// store takes, and the size of the largest record in them.
func (s *Store) Refused() (appends, largest int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.tooLarge, s.largest
}

// Operate writes a record of the operator.
func (s *Store) Operate(key string, body any) {
	value, err := json.Marshal(body)
	if err != nil {
		panic(err)
	}
	raw := append([]byte{byte(len(key))}, key...)
	s.mu.Lock()
	s.topic("keyed.op").add([]storedRecord{{key: key, raw: append(raw, value...), size: len(key) + len(value) + 1, at: time.Now()}})
	s.mu.Unlock()
	s.log.Add("operator  op/%s acked: %s", key, value)
}

func (s *Store) topic(name string) *topicState {
	t := s.topics[name]
	if t == nil {
		t = &topicState{newest: map[string]newestRecord{}, producers: map[string]*producerState{}, changed: make(chan struct{})}
		s.topics[name] = t
	}
	return t
}

func (t *topicState) end() int64 { return t.first + int64(len(t.records)) }

// add appends records and drops those that are older than the store keeps them.
func (t *topicState) add(records []storedRecord) int64 {
	first := t.end()
	for _, r := range records {
		value := r.raw[1+len(r.key):]
		if len(value) == 0 {
			delete(t.newest, r.key)
		} else {
			t.newest[r.key] = newestRecord{value, t.end()}
		}
		t.records = append(t.records, r)
	}
	old := 0
	for old < len(t.records) && time.Since(t.records[old].at) > keepRecords {
		old++
	}
	t.records, t.first = t.records[old:], t.first+int64(old)
	close(t.changed)
	t.changed = make(chan struct{})
	return first
}

func answer(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body)
}

func (s *Store) append(w http.ResponseWriter, r *http.Request) {
	time.Sleep(answerTime)
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	records, largest, err := decode(body)
	if err != nil {
		answer(w, http.StatusBadRequest, map[string]string{"reason": err.Error()})
		return
	}
	query := r.URL.Query()
	s.mu.Lock()
	defer s.mu.Unlock()
	if largest > maxRecordBytes || len(body) > maxCallBytes {
		s.tooLarge++
		s.largest = max(s.largest, largest)
		if s.tooLarge == 1 {
			s.log.Add("store     an append to %s is refused: a record has %d bytes, at most %d are taken", query.Get("topic"), largest, maxRecordBytes)
		}
		answer(w, http.StatusRequestEntityTooLarge, map[string]string{"reason": "size"})
		return
	}
	t := s.topic(query.Get("topic"))
	if at := query.Get("at"); at != "" && at != strconv.FormatInt(t.end(), 10) {
		answer(w, http.StatusPreconditionFailed, map[string]int64{"end_offset": t.end()})
		return
	}
	if name := query.Get("producer"); name != "" {
		epoch, _ := strconv.ParseInt(query.Get("epoch"), 10, 64)
		sequence, _ := strconv.ParseInt(query.Get("sequence"), 10, 64)
		p := t.producers[name]
		if p == nil || epoch > p.epoch {
			p = &producerState{epoch: epoch, next: -1, answered: map[int64]int64{}}
			t.producers[name] = p
		}
		if epoch < p.epoch {
			answer(w, http.StatusConflict, map[string]string{"reason": "fenced"})
			return
		}
		if offset, found := p.answered[sequence]; found {
			answer(w, http.StatusOK, map[string]int64{"offset": offset, "end_offset": t.end()})
			return
		}
		if len(records) > 0 {
			if p.next >= 0 && sequence != p.next {
				answer(w, http.StatusConflict, map[string]any{"reason": "seq", "sequence": p.next})
				return
			}
			p.next = sequence + 1
			p.answered[sequence] = t.end()
			delete(p.answered, sequence-5)
		}
	}
	first := t.end()
	if len(records) > 0 {
		first = t.add(records)
	}
	answer(w, http.StatusOK, map[string]int64{"offset": first, "end_offset": t.end()})
}

func decode(body []byte) (records []storedRecord, largest int, err error) {
	for len(body) > 0 {
		if len(body) < 4 {
			return nil, 0, fmt.Errorf("length")
		}
		size := int(binary.BigEndian.Uint32(body))
		if size < 1 || size > len(body)-4 || 1+int(body[4]) > size {
			return nil, 0, fmt.Errorf("record")
		}
		raw := append([]byte(nil), body[4:4+size]...)
		records = append(records, storedRecord{key: string(raw[1 : 1+int(raw[0])]), raw: raw, size: size, at: time.Now()})
		largest = max(largest, size)
		body = body[4+size:]
	}
	return records, largest, nil
}

func (s *Store) read(w http.ResponseWriter, r *http.Request) {
	time.Sleep(answerTime)
	query := r.URL.Query()
	from, _ := strconv.ParseInt(query.Get("from"), 10, 64)
	wait, _ := strconv.Atoi(query.Get("wait_ms"))
	deadline := time.After(time.Duration(wait) * time.Millisecond)
	for {
		s.mu.Lock()
		t := s.topic(query.Get("topic"))
		first, end, changed := t.first, t.end(), t.changed
		if from < first {
			s.mu.Unlock()
			answer(w, http.StatusGone, map[string]int64{"first_offset": first})
			return
		}
		body := binary.BigEndian.AppendUint64(nil, uint64(end))
		body = binary.BigEndian.AppendUint64(body, uint64(first))
		n := 0
		for o := from; o < end; o++ {
			record := t.records[o-first]
			if n > 0 && len(body)+len(record.raw) > maxPageBytes {
				break
			}
			body = binary.BigEndian.AppendUint32(body, uint32(len(record.raw)))
			body = append(body, record.raw...)
			n++
		}
		s.mu.Unlock()
		expired := false
		if n == 0 {
			select {
			case <-changed:
				continue
			case <-r.Context().Done():
				return
			case <-deadline:
				expired = true
			}
		}
		if n > 0 || expired {
			w.Header().Set("Content-Type", "application/octet-stream")
			_, _ = w.Write(body)
			return
		}
	}
}

func (s *Store) readNewest(w http.ResponseWriter, r *http.Request) {
	time.Sleep(answerTime)
	query := r.URL.Query()
	s.mu.Lock()
	defer s.mu.Unlock()
	t := s.topic(query.Get("topic"))
	var keys []string
	for key := range t.newest {
		if key > query.Get("after") {
			keys = append(keys, key)
		}
	}
	sort.Strings(keys)
	items, bytes, more := []any{}, 0, false
	for _, key := range keys {
		record := t.newest[key]
		if len(items) == maxItems || len(items) > 0 && bytes+len(record.value) > 1000000*3/4 {
			more = true
			break
		}
		bytes += len(record.value)
		items = append(items, map[string]any{"key": key, "value": base64.StdEncoding.EncodeToString(record.value), "offset": record.offset})
	}
	answer(w, http.StatusOK, map[string]any{"items": items, "has_more": more, "end_offset": t.end()})
}
