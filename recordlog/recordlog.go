// Package recordlog keeps records by key in the platform's store. A topic is
// an ordered log that retains the newest record of each key for good.
//
// Log is the store's transport. Writer appends through it with one producer's
// fence until the outcome is certain. Tail folds a topic from its newest
// records on and says how fresh the fold is. The package owns the queue of a
// Writer; its mutex is never held during a call.
package recordlog

import (
	"context"
	"errors"
	"fmt"
	"time"
)

// Record is one record to append. A record without a value drops its key.
type Record struct {
	// Key has 1 to 255 bytes.
	Key   string
	Value []byte
}

// StoredRecord is a record with its place in the topic.
type StoredRecord struct {
	Offset int64
	Record
}

// Fence orders the appends of a producer: the store refuses a lower epoch than
// it has seen, and carries out each sequence number once.
type Fence struct {
	Producer string
	Epoch    int64
	Sequence int64
}

// Page is a run of records.
type Page struct {
	Records []StoredRecord
	// Next is the offset to read from next.
	Next int64
}

// NewestPage is a page of the newest records of keys, in the order of the keys.
type NewestPage struct {
	Records []StoredRecord
	// More says that keys after the last record follow.
	More bool
	// End is the topic's end at the time of the page.
	End int64
}

// Errors of a Log.
var (
	// ErrNotAppended says that nothing was appended and nothing will be.
	ErrNotAppended = errors.New("not appended to the store")
	// ErrOutcomeUnknown says that the records may be there, or may come later.
	ErrOutcomeUnknown = errors.New("unknown whether appended to the store")
	// ErrFenced says that a higher epoch has been seen; nothing was appended.
	ErrFenced = errors.New("fenced by a higher epoch in the store")
	// ErrOutOfOrderSequence says that the sequence number does not follow the last.
	ErrOutOfOrderSequence = errors.New("sequence number out of order in the store")
	// ErrUnavailable says that a read failed.
	ErrUnavailable = errors.New("the store cannot be read")
)

// ExpiredError says that records at the offset are no longer retained.
type ExpiredError struct{ First int64 }

func (e ExpiredError) Error() string {
	return fmt.Sprintf("records below offset %d have expired", e.First)
}

// Log is one client of the store. It is safe for concurrent use.
type Log interface {
	// Append appends the records adjacent to one another and returns the
	// offset of the first. fence may be nil. Without records it only sets the
	// fence's epoch. Errors are ErrNotAppended, ErrUnknown, ErrFenced and
	// ErrSequence.
	Append(ctx context.Context, topic string, fence *Fence, records []Record) (int64, error)
	// Read returns records from the offset on and waits for one at most for
	// wait. Errors are ErrExpired and ErrUnavailable.
	Read(ctx context.Context, topic string, from int64, wait time.Duration) (Page, error)
	// Newest returns the newest records of the keys after the key.
	Newest(ctx context.Context, topic, after string) (NewestPage, error)
}
