package recordlog

import (
	"context"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"celerypoint.example/celerypoint/boottime"
)

// delayedLog is a store whose answers lack the records of the last lag, although the end
// that they name is true.
type delayedLog struct {
	scriptedLog
	mu      sync.Mutex
	records []StoredRecord
	added   []time.Time
	// first is the lowest offset that is retained.
	first int64
	// loadsDelayed says that loads lack records too.
	loadsDelayed bool
	lag          time.Duration
}

func (l *delayedLog) add(key string, added time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.records = append(l.records, StoredRecord{Offset: int64(len(l.records)), Record: Record{Key: key, Value: []byte("v")}})
	l.added = append(l.added, added)
}

func (l *delayedLog) visible(i int, delayed bool) bool {
	return !delayed || time.Since(l.added[i]) >= l.lag
}

func (l *delayedLog) Newest(context.Context, string, string) (NewestPage, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	page := NewestPage{End: int64(len(l.records))}
	newest := map[string]StoredRecord{}
	for i, r := range l.records {
		if l.visible(i, l.loadsDelayed) {
			newest[r.Key] = r
		}
	}
	for _, key := range []string{"a", "b"} {
		if r, found := newest[key]; found {
			page.Records = append(page.Records, r)
		}
	}
	return page, nil
}

func (l *delayedLog) Read(ctx context.Context, _ string, from int64, wait time.Duration) (Page, error) {
	for deadline := time.Now().Add(wait); ; time.Sleep(5 * time.Millisecond) {
		if page, err := l.page(from); err != nil || len(page.Records) > 0 || time.Now().After(deadline) || ctx.Err() != nil {
			return page, err
		}
	}
}

func (l *delayedLog) page(from int64) (Page, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if from < l.first {
		return Page{}, ExpiredError{First: l.first}
	}
	page := Page{Next: from, End: int64(len(l.records))}
	for page.Next < page.End && l.visible(int(page.Next), true) {
		page.Records = append(page.Records, l.records[page.Next])
		page.Next++
	}
	return page, nil
}

// follower is what a reader of a delayedLog has received.
type follower struct {
	mu          sync.Mutex
	received    int64
	upToDate    time.Time
	prematurely bool
}

// follow reads the log until the record at the offset was received and the reader counted as
// up to date after that, or until the time-out. appended is when that record was appended.
func follow(log Log, offset int64, appended time.Time, timeout time.Duration) *follower {
	f := &follower{received: -1}
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	receive := func(records []StoredRecord) {
		f.mu.Lock()
		defer f.mu.Unlock()
		for _, r := range records {
			f.received = max(f.received, r.Offset)
		}
	}
	Follow(ctx, log, "t", Handler{
		OnRecords: receive, OnNewest: receive, OnLoaded: func(Load) {},
		OnUpToDate: func(begun time.Time) {
			f.mu.Lock()
			defer f.mu.Unlock()
			switch {
			case f.received >= offset:
				f.upToDate = begun
				cancel()
			case begun.After(appended):
				f.prematurely = true
			}
		},
		OnReadFailing: func(error) {}, OnReadRecovered: func() {},
	})
	return f
}

// TestIncompleteAnswerIsNotUpToDate guards against a reader that is up to date without a record below a true end.
func TestIncompleteAnswerIsNotUpToDate(t *testing.T) {
	for _, test := range []struct {
		name         string
		loadsDelayed bool
		dropped      int64
	}{
		{"reads are delayed", false, 0},
		{"loads and reads are delayed", true, 0},
		{"loads and reads are delayed, history dropped", true, 2},
	} {
		t.Run(test.name, func(t *testing.T) {
			t.Parallel()
			c := qt.New(t)
			log := &delayedLog{lag: 1500 * time.Millisecond, loadsDelayed: test.loadsDelayed}
			log.add("a", time.Now().Add(-time.Minute))
			done := make(chan *follower, 1)
			var appended time.Time
			appendNewer := func() {
				log.add("b", time.Now())
				appended = boottime.Now()
				log.mu.Lock()
				log.first = test.dropped
				log.mu.Unlock()
			}
			if test.loadsDelayed {
				appendNewer()
				go func() { done <- follow(log, 1, appended, 6*time.Second) }()
			} else {
				// The record is appended while the reader waits for it.
				appended = boottime.Now().Add(300 * time.Millisecond)
				go func() { done <- follow(log, 1, appended, 6*time.Second) }()
				time.Sleep(300 * time.Millisecond)
				log.add("b", time.Now())
			}
			f := <-done
			c.Check(f.prematurely, qt.IsFalse)
			c.Check(f.received, qt.Equals, int64(1))
			c.Check(f.upToDate.IsZero(), qt.IsFalse)
		})
	}
}

// TestDeletedNewestRecordIsUpToDate guards against a reader that waits for a deletion which is no longer retained.
func TestDeletedNewestRecordIsUpToDate(t *testing.T) {
	c := qt.New(t)
	log := &delayedLog{}
	log.add("a", time.Now().Add(-time.Minute))
	log.add("deleted", time.Now().Add(-time.Minute))
	log.first = 2
	f := follow(log, 0, boottime.Now(), 8*time.Second)
	c.Check(f.upToDate.IsZero(), qt.IsFalse)
}

// wrongEndLog names a wrong end once.
type wrongEndLog struct {
	delayedLog
	named bool
}

func (l *wrongEndLog) Read(ctx context.Context, topic string, from int64, wait time.Duration) (Page, error) {
	page, err := l.delayedLog.Read(ctx, topic, from, wait)
	if !l.named {
		l.named, page.End = true, 1<<40
	}
	return page, err
}

// TestWrongEndIsForgotten guards against a reader that waits for good for an end which was named once.
func TestWrongEndIsForgotten(t *testing.T) {
	c := qt.New(t)
	log := &wrongEndLog{}
	log.add("a", time.Now().Add(-time.Minute))
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	upToDate := 0
	Follow(ctx, log, "t", Handler{
		OnRecords: func([]StoredRecord) {}, OnNewest: func([]StoredRecord) {}, OnLoaded: func(Load) {},
		OnUpToDate: func(time.Time) {
			if upToDate++; upToDate > 1 {
				cancel()
			}
		},
		OnReadFailing: func(error) {}, OnReadRecovered: func() {},
	})
	c.Check(upToDate, qt.Equals, 2)
}
