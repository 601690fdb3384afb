// Package recordlog reads and writes records by key in the platform's store. A
// topic is an ordered log that always retains the newest record of each key.
//
// Log is the interface to the store. AppendWithRetry appends records, optionally
// under a producer's fencing token, until the outcome is certain. Follow loads
// the newest record of each key of a topic, then reads new records as they are
// appended, and reports when each successful read began. ReadNow reads once. A connection to
// the store can stop transferring data without an error, so that all three send a request
// without a reply again on another connection. The package keeps no state between calls and
// takes no lock.
package recordlog

import (
	"context"
	"errors"
	"fmt"
	"time"
)

// Record is one record to append. A record without a value deletes its key.
type Record struct {
	// Key has 1 to 255 bytes.
	Key   string
	Value []byte
}

// MaxRecordBytes is the largest Record.Size that the store takes.
const MaxRecordBytes = 256 << 10

// Size is the size of the record in the store: the length of the key in 1 byte, the key
// and the value.
func (r Record) Size() int { return 1 + len(r.Key) + len(r.Value) }

// StoredRecord is a record with its offset in the topic.
type StoredRecord struct {
	Offset int64
	Record
}

// Fence is the fencing token of a producer's append. The store refuses an append
// with a lower epoch than the highest that it has seen from the producer, and
// carries out each sequence number of an epoch at most once.
type Fence struct {
	Producer string
	Epoch    int64
	Sequence int64
}

// Page holds consecutive records of a topic.
type Page struct {
	Records []StoredRecord
	// Next is the offset to read from next.
	Next int64
	// End is the offset that the next record to be appended would have had when the
	// page was read. It is higher than Next if more records were waiting than the
	// store puts into one page, or while the store hides new records.
	End int64
}

// NewestPage holds the newest records of consecutive keys, ordered by key.
type NewestPage struct {
	Records []StoredRecord
	// More reports whether the topic has keys after that of the last record.
	More bool
	// End is the offset that the next record to be appended would have had when
	// the page was read.
	End int64
}

// Errors of a Log.
var (
	// ErrNotAppended means that nothing was appended and nothing will be.
	ErrNotAppended = errors.New("not appended to the store")
	// ErrRejected means that nothing was appended, and that repeating the append does not
	// help: the store does not take these records. It comes with ErrNotAppended.
	ErrRejected = errors.New("rejected by the store")
	// ErrOutcomeUnknown means that the records may have been appended, or may
	// still be appended later.
	ErrOutcomeUnknown = errors.New("unknown whether appended to the store")
	// ErrFenced means that the store has seen a higher epoch of the producer. The
	// refused append stored nothing.
	ErrFenced = errors.New("fenced by a higher epoch in the store")
	// ErrOutOfOrderSequence means that the sequence number does not follow the
	// producer's last one.
	ErrOutOfOrderSequence = errors.New("sequence number out of order in the store")
	// ErrUnavailable means that a read failed.
	ErrUnavailable = errors.New("the store cannot be read")
)

// ExpiredError means that the records at the offset of a read are no longer
// retained. First is the lowest offset that is still retained.
type ExpiredError struct{ First int64 }

func (e ExpiredError) Error() string {
	return fmt.Sprintf("records below offset %d have expired", e.First)
}

// Log is a client of the store. Implementations are safe for concurrent use.
type Log interface {
	// Append appends the records at consecutive offsets and returns the offset
	// of the first. fence may be nil. A call without records only raises the
	// producer's epoch to that of the fence. Errors are ErrNotAppended,
	// ErrRejected, ErrOutcomeUnknown, ErrFenced and ErrOutOfOrderSequence.
	Append(ctx context.Context, topic string, fence *Fence, records []Record) (int64, error)
	// Read returns the records from the offset on, as many as the store puts into
	// one page. If there are none, it waits for one for at most wait. Errors are
	// ExpiredError and ErrUnavailable.
	Read(ctx context.Context, topic string, from int64, wait time.Duration) (Page, error)
	// Newest returns a page of the newest records of the keys that are greater
	// than after, in the order of the keys. If after is empty, the page begins
	// with the first key. The error is ErrUnavailable.
	Newest(ctx context.Context, topic, after string) (NewestPage, error)
	// CloseIdleConnections closes the connections that no call uses, so that the next call
	// does not use one that has stopped transferring data.
	CloseIdleConnections()
}
