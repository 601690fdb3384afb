package recordlog

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"time"

	"celerypoint.example/celerypoint/boottime"
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
	// Pace returns how Follow paces the next read. DefaultPace is used if it is nil.
	Pace func() Pace
}

// Load describes a completed load of the newest record of each key.
type Load struct {
	// Keys holds the keys that the topic had. A key that is not among them and whose
	// newest known record has an offset below End has been deleted; its tombstone may
	// no longer be retained.
	Keys map[string]bool
	// End is the offset that the next record to be appended would have had when the
	// load began.
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
// records until ctx ends.
func Follow(ctx context.Context, log Log, topic string, handler Handler) {
	reader := logReader{log: log, topic: topic, handler: handler, nextOffset: -1}
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

// logReader is the read position of Follow.
type logReader struct {
	log     Log
	topic   string
	handler Handler
	// nextOffset is -1 until the newest records have been loaded.
	nextOffset int64
	// behind says that records are known to wait, so that the next read does not.
	behind bool
}

func (r *logReader) readPage(ctx context.Context) error {
	if r.nextOffset < 0 {
		return r.loadNewest(ctx)
	}
	pace := DefaultPace
	if r.handler.Pace != nil {
		pace = r.handler.Pace()
	}
	if r.behind {
		pace.Wait = 0
	}
	page, begun, err := r.read(ctx, pace.Wait)
	var expired ExpiredError
	if errors.As(err, &expired) {
		// Records expire, but the newest record of each key never does.
		return r.loadNewest(ctx)
	}
	if err != nil {
		return err
	}
	r.nextOffset = page.Next
	if len(page.Records) > 0 {
		r.handler.OnRecords(page.Records)
	} else {
		r.reportIncomplete(page.Next, page.End)
	}
	// A page without records is never limited by its size. The store can hide new
	// records for a while although its end includes them.
	if r.behind = len(page.Records) > 0 && page.Next < page.End; r.behind {
		return nil
	}
	r.handler.OnUpToDate(begun)
	if len(page.Records) > 0 {
		pause.For(ctx, pace.Pause)
	}
	return nil
}

// readResult is the outcome of one request of a read.
type readResult struct {
	page Page
	// begun is when the request was sent, on CLOCK_BOOTTIME.
	begun time.Time
	err   error
}

// read requests the page at nextOffset. If the reply is overdue, it sends a second request,
// without a wait, on a new connection. The first reply counts, and begun is when its request
// was sent.
func (r *logReader) read(ctx context.Context, wait time.Duration) (page Page, begun time.Time, err error) {
	bounded, cancel := context.WithTimeout(ctx, wait+readMargin)
	defer cancel()
	results := make(chan readResult, 2)
	from := r.nextOffset
	request := func(wait time.Duration) {
		begun := boottime.Now()
		go func() {
			page, err := r.log.Read(bounded, r.topic, from, wait)
			results <- readResult{page, begun, err}
		}()
	}
	request(wait)
	overdue := time.NewTimer(wait + overdueDelay)
	defer overdue.Stop()
	for pending := 1; ; {
		select {
		case <-overdue.C:
			if r.handler.OnOverdue != nil {
				r.handler.OnOverdue(wait)
			}
			r.log.CloseIdleConnections()
			request(0)
			pending++
		case result := <-results:
			pending--
			var expired ExpiredError
			if result.err == nil || pending == 0 || errors.As(result.err, &expired) {
				return result.page, result.begun, result.err
			}
		}
	}
}

func (r *logReader) reportIncomplete(next, end int64) {
	if next < end && r.handler.OnIncomplete != nil {
		r.handler.OnIncomplete(next, end)
	}
}

// loadNewest reads all pages of the newest records. Several pages are not a
// consistent snapshot, because records may be appended between them. Reading
// therefore continues from the topic's end as of the first page, and only then is
// the reader up to date.
func (r *logReader) loadNewest(ctx context.Context) error {
	load := Load{Keys: map[string]bool{}, End: -1}
	begun := boottime.Now()
	pages, after := 0, ""
	// through is one above the highest offset of the load.
	through := int64(0)
	for {
		bounded, cancel := context.WithTimeout(ctx, readMargin)
		page, err := r.log.Newest(bounded, r.topic, after)
		cancel()
		if err != nil {
			r.log.CloseIdleConnections()
			return err
		}
		if load.End < 0 {
			load.End = page.End
		}
		last := after
		if n := len(page.Records); n > 0 {
			last = page.Records[n-1].Key
		}
		switch {
		case load.End < 0:
			return fmt.Errorf("%w: newest of %s: end: found %d, allowed: at least 0", ErrUnavailable, r.topic, load.End)
		case page.More && last <= after:
			// The next page would be the same again.
			return fmt.Errorf("%w: newest of %s: last key: found %.64q, allowed: one beyond %.64q", ErrUnavailable, r.topic, last, after)
		}
		for _, record := range page.Records {
			load.Keys[record.Key] = true
			through = max(through, record.Offset+1)
		}
		r.handler.OnNewest(page.Records)
		pages++
		if !page.More {
			break
		}
		after = last
	}
	r.reportIncomplete(max(through, r.nextOffset), load.End)
	r.nextOffset = load.End
	r.handler.OnLoaded(load)
	if r.behind = pages > 1; !r.behind {
		r.handler.OnUpToDate(begun)
	}
	return nil
}
