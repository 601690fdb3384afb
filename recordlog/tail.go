package recordlog

import (
	"context"
	"math/rand/v2"
	"time"

	"celerypoint.example/celerypoint/pause"
)

// Timing of the reads of Follow.
const (
	// readMargin is the time that a read may take in addition to its wait.
	readMargin = 900 * time.Millisecond
	// retryPause is the longest wait after a failed read. The wait is random
	// between half of it and all of it, so that processes do not retry at the
	// same time.
	retryPause = 250 * time.Millisecond
	// overdueDelay is how long after the end of its wait a read without a reply counts as
	// overdue. A slow store replies within 200 ms. The read is then sent again, because a
	// connection can stop transferring data without an error.
	overdueDelay = 250 * time.Millisecond
	// maxIncompletePause bounds the wait after a reply that lacks records, which doubles with
	// each one in a row.
	maxIncompletePause = time.Second
	// loadSettleTime is how long loads must lack the same records, which no read returns
	// either, until these count as deletions that are no longer retained. It is above the 3 s
	// by which replies of the platform's store may be behind.
	loadSettleTime = 4 * time.Second
)

// Handler is the set of functions that Follow calls.
type Handler struct {
	// OnRecords receives all records from an offset on, in the order of their
	// offsets.
	OnRecords func([]StoredRecord)
	// OnNewest receives the newest records of consecutive keys during a load, in the
	// order of the keys. Records of lower offsets may still be missing. OnNewest must
	// ignore a record that is older than the one that it already has for the key.
	OnNewest func([]StoredRecord)
	// OnLoaded is called at the end of a load, after which OnRecords gets the records
	// from Load.End on.
	OnLoaded func(Load)
	// OnUpToDate is called after a successful read when OnRecords and OnNewest have
	// received all records that were appended before begun, which is when the read
	// began, on CLOCK_BOOTTIME.
	OnUpToDate func(begun time.Time)
	// OnReadFailing is called when the first read or a read after a successful
	// one fails, and OnReadRecovered when the first read after that succeeds.
	OnReadFailing   func(error)
	OnReadRecovered func()
	// OnOverdue is called, unless it is nil, when a read has had no reply for overdueDelay
	// after the end of its wait.
	OnOverdue func(wait time.Duration)
	// OnIncomplete is called, unless it is nil, after a reply that lacks records: it leads
	// up to the offset next, and the store names the higher end.
	OnIncomplete func(next, end int64)
	// Wake makes Follow read at once, on a new connection, instead of waiting longer for new
	// records. It may be nil.
	Wake <-chan struct{}
	// Pace returns how Follow paces the next read. DefaultPace is used if it is nil.
	Pace func() Pace
}

// Load describes a completed load of the newest record of each key.
type Load struct {
	// Keys holds the keys that the topic had. A key that is not among them and whose
	// newest known record has an offset below End has been deleted; its tombstone may
	// no longer be retained.
	Keys map[string]bool
	// End is the offset up to which the load is known to be complete. It is at most the end
	// of the topic when the load began, and lower if the load lacks records below that.
	End int64
}

// Pace determines how often Follow reads. Every call to the store is billed, and all
// processes share the calls that the store accepts in a second.
type Pace struct {
	// Wait is how long the store delays its reply while there is no new record. It
	// bounds the time between calls of OnUpToDate while the store works normally and
	// there are no records.
	Wait time.Duration
	// Pause is the wait after a read that returned records, so that the next read
	// returns the records of several appends.
	Pause time.Duration
}

// DefaultPace is the pace of a reader to whom records matter as soon as they are
// stored.
var DefaultPace = Pace{Wait: 700 * time.Millisecond, Pause: 80 * time.Millisecond}

// Follow loads the newest record of each key of a topic, and then reads new
// records until ctx ends. A reply that lacks records below an end which the store has named
// does not count as up to date; the missing ones are read or loaded again.
func Follow(ctx context.Context, log Log, topic string, handler Handler) {
	reader := logReader{log: log, topic: topic, handler: handler, nextOffset: -1, incompletePause: retryPause}
	failing := false
	for ctx.Err() == nil {
		err := reader.readPage(ctx)
		switch {
		case ctx.Err() != nil:
			return
		case err == nil && failing:
			failing = false
			handler.OnReadRecovered()
		case err != nil && !failing:
			failing = true
			handler.OnReadFailing(err)
		}
		if err != nil {
			pause.For(ctx, retryPause/2+rand.N(retryPause/2))
		}
	}
}
