package recordlog

import (
	"context"
	"errors"
	"math/rand/v2"
	"time"

	"celerypoint.example/celerypoint/boottime"
	"celerypoint.example/celerypoint/pause"
)

// Timing of the reads of Follow.
const (
	// readWait is how long the store delays its reply while there is no new
	// record. It bounds the time between calls of OnUpToDate while the store
	// works normally.
	readWait = 700 * time.Millisecond
	// readMargin is the time that a read may take in addition to its wait. The
	// bound is needed because a connection can stop delivering data without an
	// error.
	readMargin = 900 * time.Millisecond
	// retryPause is the longest wait after a failed read. The wait is random
	// between half of it and all of it, so that processes do not retry at the
	// same time.
	retryPause = 250 * time.Millisecond
	// batchPause is the wait after a read that returned records, so that the
	// next read returns the records of several appends. Every call to the store
	// is billed, and entries (package stepentry) send urgent records to each other
	// directly.
	batchPause = 80 * time.Millisecond
)

// Handler is the set of functions that Follow calls.
type Handler struct {
	// OnRecords receives records in the order of their offsets. The exception is
	// the load of the newest records, where an older record may follow a newer
	// one of another key. OnRecords must ignore a record that is older than the
	// one that it already has for the same key.
	OnRecords func([]StoredRecord)
	// OnUpToDate is called after each successful read, once its records have been
	// passed to OnRecords. begun, on CLOCK_BOOTTIME, is when the read began.
	// OnRecords has then received all records appended before begun, except when
	// more of them were waiting than the store puts into one page.
	OnUpToDate func(begun time.Time)
	// OnReadFailing is called when the first read or a read after a successful
	// one fails, and OnReadRecovered when the first read after that succeeds.
	OnReadFailing   func(error)
	OnReadRecovered func()
}

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

// logReader is the read position of Follow. nextOffset is -1 until the newest
// records have been loaded.
type logReader struct {
	log        Log
	topic      string
	handler    Handler
	nextOffset int64
}

func (r *logReader) readPage(ctx context.Context) error {
	if r.nextOffset < 0 {
		return r.loadNewest(ctx)
	}
	begun := boottime.Now()
	bounded, cancel := context.WithTimeout(ctx, readWait+readMargin)
	defer cancel()
	page, err := r.log.Read(bounded, r.topic, r.nextOffset, readWait)
	var expired ExpiredError
	if errors.As(err, &expired) {
		// Records expire, but the newest record of each key never does.
		return r.loadNewest(ctx)
	}
	if err != nil {
		return err
	}
	r.nextOffset = page.Next
	if len(page.Records) == 0 {
		r.handler.OnUpToDate(begun)
		return nil
	}
	r.handler.OnRecords(page.Records)
	r.handler.OnUpToDate(begun)
	pause.For(ctx, batchPause)
	return nil
}

// loadNewest reads all pages of the newest records. The pages are not a
// consistent snapshot, because records may be appended between them. Reading
// therefore continues from the topic's end as of the first page.
func (r *logReader) loadNewest(ctx context.Context) error {
	begun := boottime.Now()
	next, after := int64(-1), ""
	for {
		bounded, cancel := context.WithTimeout(ctx, readMargin)
		page, err := r.log.Newest(bounded, r.topic, after)
		cancel()
		if err != nil {
			return err
		}
		if next < 0 {
			next = page.End
		}
		r.handler.OnRecords(page.Records)
		if !page.More || len(page.Records) == 0 {
			break
		}
		after = page.Records[len(page.Records)-1].Key
	}
	r.nextOffset = next
	r.handler.OnUpToDate(begun)
	return nil
}
