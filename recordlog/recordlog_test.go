package recordlog

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// scriptedLog answers each append with the next error of errs, or does not reply
// when the next element of lostReplies is true.
type scriptedLog struct {
	mu          sync.Mutex
	errs        []error
	lostReplies []bool
	attempts    int
}

func (s *scriptedLog) Append(ctx context.Context, _ string, _ *Fence, _ []Record) (int64, error) {
	s.mu.Lock()
	n := s.attempts
	s.attempts++
	s.mu.Unlock()
	if n < len(s.lostReplies) && s.lostReplies[n] {
		<-ctx.Done()
		return 0, ErrOutcomeUnknown
	}
	if n < len(s.errs) && s.errs[n] != nil {
		return 0, s.errs[n]
	}
	return int64(n), nil
}

func (s *scriptedLog) Read(context.Context, string, int64, time.Duration) (Page, error) {
	return Page{}, ErrUnavailable
}

func (s *scriptedLog) Newest(context.Context, string, string) (NewestPage, error) {
	return NewestPage{}, ErrUnavailable
}

func (s *scriptedLog) CloseIdleConnections() {}

// Guards against reporting a refusal although an attempt may still take effect,
// and against giving up although another attempt would give a certain outcome.
func TestAppendWithRetry(t *testing.T) {
	for _, test := range []struct {
		name        string
		errs        []error
		lostReplies []bool
		timeout     time.Duration
		refusalTime time.Duration
		want        error
	}{
		{"first attempt succeeds", nil, nil, time.Second, 0, nil},
		{"refused once", []error{ErrNotAppended}, nil, time.Second, 0, nil},
		{"reply lost once", nil, []bool{true}, time.Second, 0, nil},
		{"refused past the refusal deadline", []error{ErrNotAppended, ErrNotAppended, ErrNotAppended}, nil, 2 * time.Second, time.Millisecond, ErrNotAppended},
		{"refused until the time-out", []error{ErrNotAppended, ErrNotAppended, ErrNotAppended, ErrNotAppended, ErrNotAppended}, nil, 200 * time.Millisecond, 0, ErrNotAppended},
		{"reply lost, then refused", []error{nil, ErrNotAppended, ErrNotAppended, ErrNotAppended}, []bool{true}, 600 * time.Millisecond, time.Millisecond, ErrOutcomeUnknown},
		{"rejected", []error{errors.Join(ErrNotAppended, ErrRejected)}, nil, time.Second, 0, ErrRejected},
		{"refused, then rejected", []error{ErrNotAppended, errors.Join(ErrNotAppended, ErrRejected)}, nil, time.Second, 0, ErrRejected},
		{"reply lost, then rejected", []error{nil, errors.Join(ErrNotAppended, ErrRejected)}, []bool{true}, 4 * time.Second, 0, ErrOutcomeUnknown},
		{"fenced", []error{ErrFenced}, nil, time.Second, 0, ErrFenced},
	} {
		t.Run(test.name, func(t *testing.T) {
			ctx, cancel := context.WithTimeout(context.Background(), test.timeout)
			defer cancel()
			var options []Option
			if test.refusalTime > 0 {
				options = append(options, WithRefusalDeadline(time.Now().Add(test.refusalTime)))
			}
			_, err := AppendWithRetry(ctx, &scriptedLog{errs: test.errs, lostReplies: test.lostReplies}, "t", nil, []Record{{Key: "k"}}, options...)
			if !errors.Is(err, test.want) {
				t.Fatalf("found %v, want %v", err, test.want)
			}
		})
	}
}

// pagedLog is a topic to which records are appended while its pages are read. The
// first read at offset 5 finds that the records there have expired.
type pagedLog struct {
	scriptedLog
	mu      sync.Mutex
	expired bool
	reads   []int64
}

func (p *pagedLog) Newest(_ context.Context, _, after string) (NewestPage, error) {
	if after == "" {
		return NewestPage{Records: []StoredRecord{{Offset: 1, Record: Record{Key: "a"}}}, More: true, End: 3}, nil
	}
	return NewestPage{Records: []StoredRecord{{Offset: 4, Record: Record{Key: "b"}}}, End: 5}, nil
}

func (p *pagedLog) Read(_ context.Context, _ string, from int64, _ time.Duration) (Page, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.reads = append(p.reads, from)
	if from == 5 && !p.expired {
		p.expired = true
		return Page{}, ExpiredError{First: 9}
	}
	return Page{Next: from + 2, End: from + 2}, nil
}

// TestFollow guards against missing records that are appended between the pages of
// the load and the reads that follow it, and against not loading again after records
// have expired.
func TestFollow(t *testing.T) {
	c := qt.New(t)
	ctx, cancel := context.WithCancel(context.Background())
	p := &pagedLog{}
	var loads []Load
	Follow(ctx, p, "t", Handler{
		OnRecords: func([]StoredRecord) {},
		OnNewest:  func([]StoredRecord) {},
		OnLoaded:  func(l Load) { loads = append(loads, l) },
		OnUpToDate: func(time.Time) {
			p.mu.Lock()
			defer p.mu.Unlock()
			if len(p.reads) >= 4 {
				cancel()
			}
		},
		OnReadFailing:   func(error) {},
		OnReadRecovered: func() {},
	})
	want := Load{Keys: map[string]bool{"a": true, "b": true}, End: 3}
	c.Assert(loads, qt.DeepEquals, []Load{want, want})
	// Reading continues from the topic's end as of the first page.
	c.Assert(p.reads, qt.DeepEquals, []int64{3, 5, 3, 5})
}

// limitedLog returns one record a page, of which it has three.
type limitedLog struct {
	scriptedLog
	log *[]string
}

func (l *limitedLog) Newest(_ context.Context, _, after string) (NewestPage, error) {
	*l.log = append(*l.log, "newest")
	return NewestPage{Records: []StoredRecord{{Record: Record{Key: "k"}}}, More: after == ""}, nil
}

func (l *limitedLog) Read(_ context.Context, _ string, from int64, _ time.Duration) (Page, error) {
	return Page{Records: []StoredRecord{{Offset: from}}, Next: from + 1, End: 3}, nil
}

// TestFollowSizeLimitedPage guards against a reader that counts as up to date although
// the store put only a part of the waiting records into the page.
func TestFollowSizeLimitedPage(t *testing.T) {
	c := qt.New(t)
	ctx, cancel := context.WithCancel(context.Background())
	var events []string
	Follow(ctx, &limitedLog{log: &events}, "t", Handler{
		OnRecords:  func(r []StoredRecord) { events = append(events, fmt.Sprint("record ", r[0].Offset)) },
		OnNewest:   func([]StoredRecord) {},
		OnLoaded:   func(Load) { events = append(events, "loaded") },
		OnUpToDate: func(time.Time) { events = append(events, "up to date"); cancel() },
	})
	c.Assert(events, qt.DeepEquals, []string{"newest", "newest", "loaded", "record 0", "record 1", "record 2", "up to date"})
}

// pagesLog serves the same page of newest records again and again.
type pagesLog struct {
	scriptedLog
	page  NewestPage
	calls int
}

func (l *pagesLog) Newest(ctx context.Context, _, _ string) (NewestPage, error) {
	l.calls++
	return l.page, ctx.Err()
}

// TestNewestWithoutProgress guards against a reader that asks for the same page without a
// pause because the page's last key is empty or not beyond the one before.
func TestNewestWithoutProgress(t *testing.T) {
	c := qt.New(t)
	for _, page := range []NewestPage{
		{Records: []StoredRecord{{Record: Record{Key: ""}}}, More: true},
		{Records: []StoredRecord{{Record: Record{Key: "a"}}}, More: true},
		{End: -3},
	} {
		log := &pagesLog{page: page}
		ctx, cancel := context.WithTimeout(context.Background(), 300*time.Millisecond)
		failures := 0
		Follow(ctx, log, "t", Handler{
			OnRecords: func([]StoredRecord) {}, OnNewest: func([]StoredRecord) {}, OnLoaded: func(Load) {}, OnUpToDate: func(time.Time) {},
			OnReadFailing: func(error) { failures++ }, OnReadRecovered: func() {},
		})
		cancel()
		c.Check(log.calls < 10, qt.IsTrue, qt.Commentf("%d calls in 0.3 s", log.calls))
		c.Check(failures, qt.Equals, 1)
	}
}
