package standinlog

import (
	"encoding/json"
	"time"

	"celerypoint.example/celerypoint/wire"
)

// stream is a sequence of records. The mutex of its Log guards it.
type stream struct {
	// records are all records ever appended; the offset of records[i] is i+1.
	records []record
	// oldest is the offset of the oldest record that is not expired. It equals
	// next() when there is none.
	oldest int
	// appended is closed and replaced by each append.
	appended chan struct{}
}

type record struct {
	id         string
	body       json.RawMessage
	appendedAt time.Time
}

func newStream() *stream { return &stream{oldest: 1, appended: make(chan struct{})} }

// next is the offset that the next record gets.
func (s *stream) next() int { return len(s.records) + 1 }

func (s *stream) append(records []record) (first int) {
	first = s.next()
	s.records = append(s.records, records...)
	close(s.appended)
	s.appended = make(chan struct{})
	return first
}

// expireBelow expires the existing records with smaller offsets.
func (s *stream) expireBelow(offset int) {
	s.oldest = max(s.oldest, min(offset, s.next()))
}

// expire expires all but the newest keep records, and records that are at least as
// old as age. 0 means no bound.
func (s *stream) expire(keep int, age time.Duration, now time.Time) {
	if keep > 0 {
		s.expireBelow(s.next() - keep)
	}
	for age > 0 && s.oldest < s.next() && now.Sub(s.records[s.oldest-1].appendedAt) >= age {
		s.oldest++
	}
}

// page returns up to limit records from the offset from on, which must be between
// oldest and next(). It stops after the record with which the bodies reach
// maxPageBytes.
func (s *stream) page(from, limit int) wire.ReadResponse {
	p := wire.ReadResponse{Oldest: s.oldest, Next: from, Records: []wire.LogRecord{}}
	for size := 0; p.Next < s.next() && len(p.Records) < limit && size < maxPageBytes; p.Next++ {
		r := s.records[p.Next-1]
		p.Records = append(p.Records, wire.LogRecord{Offset: p.Next, ID: r.id, Body: r.body})
		size += len(r.body)
	}
	return p
}
