package recordlog

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"time"

	"celerypoint.example/celerypoint/boottime"
	"celerypoint.example/celerypoint/hedge"
	"celerypoint.example/celerypoint/pause"
)

// logReader is the read position of Follow.
type logReader struct {
	log     Log
	topic   string
	handler Handler
	// nextOffset is -1 until the newest records have been loaded. All records with lower
	// offsets have been received, or were superseded by ones that have.
	nextOffset int64
	// end is the highest end of the topic that a reply has named.
	end int64
	// behind says that records are known to wait, so that the next read does not.
	behind bool
	// expired says that the newest read found that the records at nextOffset have expired.
	expired bool
	// incompleteSince is when the first of the present row of loads began that lack records
	// below the end, on CLOCK_BOOTTIME; zero if the newest load lacked none.
	incompleteSince time.Time
	// incompletePause is the longest wait after the next reply that lacks records.
	incompletePause time.Duration
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
	reply, err := r.read(ctx, pace.Wait)
	var expired ExpiredError
	if r.expired = errors.As(err, &expired); r.expired {
		// Records expire, but the newest record of each key never does.
		return r.loadNewest(ctx)
	}
	if err != nil {
		return err
	}
	page := reply.page
	r.nextOffset, r.end = page.Next, max(r.end, page.End)
	if len(page.Records) > 0 {
		r.handler.OnRecords(page.Records)
	}
	r.behind = r.nextOffset < r.end
	switch {
	case !r.behind:
		r.upToDate(reply.begun)
		if len(page.Records) > 0 {
			pause.For(ctx, pace.Pause)
		}
	case len(page.Records) == 0:
		// A page without records is never limited by its size. The store hides new records
		// for a while; loads may return them earlier.
		r.pauseIncomplete(ctx)
		return r.loadNewest(ctx)
	}
	return nil
}

func (r *logReader) upToDate(begun time.Time) {
	r.incompleteSince, r.incompletePause = time.Time{}, retryPause
	r.handler.OnUpToDate(begun)
}

// pauseIncomplete reports a reply that lacks records, and waits before the next request.
func (r *logReader) pauseIncomplete(ctx context.Context) {
	if r.handler.OnIncomplete != nil {
		r.handler.OnIncomplete(r.nextOffset, r.end)
	}
	pause.For(ctx, r.incompletePause/2+rand.N(r.incompletePause/2))
	r.incompletePause = min(2*r.incompletePause, maxIncompletePause)
}

// readReply is the reply to a request of read. begun is when the request was sent, on
// CLOCK_BOOTTIME.
type readReply struct {
	page  Page
	begun time.Time
}

// read requests the page at nextOffset. If the reply is overdue, or Handler.Wake asks for a
// reply at once, it sends a second request, without a wait, on a new connection.
func (r *logReader) read(ctx context.Context, wait time.Duration) (readReply, error) {
	bounded, cancel := context.WithTimeout(ctx, wait+readMargin)
	defer cancel()
	from := r.nextOffset
	return hedge.Request[readReply]{
		Overdue: wait + overdueDelay, Now: r.handler.Wake,
		IsReply: func(err error) bool { return errors.As(err, &ExpiredError{}) },
		OnOverdue: func() {
			if r.handler.OnOverdue != nil {
				r.handler.OnOverdue(wait)
			}
		},
		Send: func(ctx context.Context, again bool) (readReply, error) {
			requestWait := wait
			if again {
				requestWait = 0
				r.log.CloseIdleConnections()
			}
			begun := boottime.Now()
			page, err := r.log.Read(ctx, r.topic, from, requestWait)
			return readReply{page, begun}, err
		},
	}.Do(bounded)
}

// ReadNow returns the records from the offset on without waiting for new ones. If the reply is
// overdue, it sends a second request on a new connection. Errors are those of Log.Read.
func ReadNow(ctx context.Context, log Log, topic string, from int64) (Page, error) {
	return hedge.Request[Page]{
		Overdue: overdueDelay,
		IsReply: func(err error) bool { return errors.As(err, &ExpiredError{}) },
		Send: func(ctx context.Context, again bool) (Page, error) {
			if again {
				log.CloseIdleConnections()
			}
			return log.Read(ctx, topic, from, 0)
		},
	}.Do(ctx)
}

// loadNewest reads all pages of the newest records. Several pages are not a
// consistent snapshot, because records may be appended between them. Reading
// therefore continues from the topic's end as of the first page, and only then is
// the reader up to date.
func (r *logReader) loadNewest(ctx context.Context) error {
	begun := boottime.Now()
	load, pages, err := r.loadPages(ctx)
	if err != nil {
		r.log.CloseIdleConnections()
		return err
	}
	// The newest record of the topic is part of a complete load unless it is a deletion, so
	// that a load which does not lead up to the end may lack records.
	next := max(load.through, r.nextOffset)
	if next < r.end && r.incompleteSince.IsZero() {
		r.incompleteSince = begun
	}
	if next < r.end && begun.Sub(r.incompleteSince) >= loadSettleTime {
		switch {
		case next >= load.end:
			// The store no longer names the higher end.
			r.end = load.end
		case r.expired:
			load.through, next, r.end = load.end, load.end, load.end
		}
	}
	r.nextOffset = min(next, load.end)
	r.handler.OnLoaded(Load{Keys: load.keys, End: min(load.through, load.end)})
	r.behind = pages > 1 || r.nextOffset < r.end
	switch {
	case !r.behind:
		r.upToDate(begun)
	case next < load.end && r.expired:
		r.pauseIncomplete(ctx)
	}
	return nil
}

// loadedRecords describes what loadPages has received.
type loadedRecords struct {
	keys map[string]bool
	// through is one above the highest offset of the records.
	through int64
	// end is the end of the topic that the first page names.
	end int64
}

// loadPages passes the newest record of each key to OnNewest, and counts the pages.
func (r *logReader) loadPages(ctx context.Context) (load loadedRecords, pages int, err error) {
	load = loadedRecords{keys: map[string]bool{}}
	for after := ""; ; pages++ {
		bounded, cancel := context.WithTimeout(ctx, readMargin)
		page, err := r.log.Newest(bounded, r.topic, after)
		cancel()
		if err != nil {
			return loadedRecords{}, 0, err
		}
		last := after
		if n := len(page.Records); n > 0 {
			last = page.Records[n-1].Key
		}
		switch {
		case page.End < 0:
			return loadedRecords{}, 0, fmt.Errorf("%w: newest of %s: end: found %d, allowed: at least 0", ErrUnavailable, r.topic, page.End)
		case page.More && last <= after:
			// The next page would be the same again.
			return loadedRecords{}, 0, fmt.Errorf("%w: newest of %s: last key: found %.64q, allowed: one beyond %.64q", ErrUnavailable, r.topic, last, after)
		}
		if pages == 0 {
			load.end = page.End
		}
		r.end = max(r.end, page.End)
		for _, record := range page.Records {
			load.keys[record.Key] = true
			load.through = max(load.through, record.Offset+1)
		}
		r.handler.OnNewest(page.Records)
		if !page.More {
			return load, pages + 1, nil
		}
		after = last
	}
}
