package recordlog

import (
	"context"
	"errors"
	"math/rand/v2"
	"time"

	"celerypoint.example/celerypoint/boottime"
	"celerypoint.example/celerypoint/pause"
)

// Shape of the reads of Follow.
const (
	// readWait is how long the store holds a read without a record. It bounds
	// how old the newest proof of freshness gets while the store is well.
	readWait = 700 * time.Millisecond
	// readSlack is what a read may take beyond its wait; a connection can go
	// silent without any sign.
	readSlack = 900 * time.Millisecond
	// retryPause is the wait after a failed read, drawn between half and all
	// of it, so that processes do not return together.
	retryPause = 250 * time.Millisecond
	// joinPause is the wait after a read with records, so that the next one
	// brings those of several appends. Every call of the store is paid for, and
	// what is urgent is told directly.
	joinPause = 80 * time.Millisecond
)

// Handler takes what Follow reads. Fold gets records in the order of their
// offsets, but for those of the first recovery, where an older record may come
// behind a newer one of another key; it ignores a record that is older than
// what it holds of the key.
type Handler struct {
	OnRecords func([]StoredRecord)
	// OnUpToDate says that everything appended before begun, on the boot-time
	// clock, has been folded.
	OnUpToDate func(begun time.Time)
	// OnReadFailing is told once that reads fail, and Regained once that they work.
	OnReadFailing   func(error)
	OnReadRecovered func()
}

// Follow recovers the newest records of a topic, and then reads on until ctx
// ends.
func Follow(ctx context.Context, log Log, topic string, f Handler) {
	t := tail{log: log, topic: topic, f: f, from: -1}
	lost := false
	for ctx.Err() == nil {
		err := t.step(ctx)
		switch {
		case ctx.Err() != nil:
			return
		case err == nil && lost:
			lost = false
			f.OnReadRecovered()
		case err != nil && !lost:
			lost = true
			f.OnReadFailing(err)
		}
		if err != nil {
			pause.For(ctx, retryPause/2+rand.N(retryPause/2))
		}
	}
}

// tail is the position of Follow; from is -1 before the recovery.
type tail struct {
	log   Log
	topic string
	f     Handler
	from  int64
}

func (t *tail) step(ctx context.Context) error {
	if t.from < 0 {
		return t.recover(ctx)
	}
	begun := boottime.Now()
	bounded, cancel := context.WithTimeout(ctx, readWait+readSlack)
	defer cancel()
	page, err := t.log.Read(bounded, t.topic, t.from, readWait)
	var expired ExpiredError
	if errors.As(err, &expired) {
		// The newest record of each key outlives the history.
		return t.recover(ctx)
	}
	if err != nil {
		return err
	}
	t.from = page.Next
	if len(page.Records) == 0 {
		t.f.OnUpToDate(begun)
		return nil
	}
	t.f.OnRecords(page.Records)
	t.f.OnUpToDate(begun)
	pause.For(ctx, joinPause)
	return nil
}

// recover reads the pages of the newest records. They are no snapshot, so that
// reading goes on from the end before the first page.
func (t *tail) recover(ctx context.Context) error {
	begun := boottime.Now()
	from, after := int64(-1), ""
	for {
		bounded, cancel := context.WithTimeout(ctx, readSlack)
		page, err := t.log.Newest(bounded, t.topic, after)
		cancel()
		if err != nil {
			return err
		}
		if from < 0 {
			from = page.End
		}
		t.f.OnRecords(page.Records)
		if !page.More || len(page.Records) == 0 {
			break
		}
		after = page.Records[len(page.Records)-1].Key
	}
	t.from = from
	t.f.OnUpToDate(begun)
	return nil
}
