package recordlog

import (
	"context"
	"errors"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// scripted answers each append with the next of its answers; nil means that
// the answer is lost.
type scripted struct {
	mu      sync.Mutex
	answers []error
	lost    []bool
	appends int
}

func (s *scripted) Append(ctx context.Context, _ string, _ *Fence, _ []Record) (int64, error) {
	s.mu.Lock()
	n := s.appends
	s.appends++
	s.mu.Unlock()
	if n < len(s.lost) && s.lost[n] {
		<-ctx.Done()
		return 0, ErrOutcomeUnknown
	}
	if n < len(s.answers) && s.answers[n] != nil {
		return 0, s.answers[n]
	}
	return int64(n), nil
}

func (s *scripted) Read(context.Context, string, int64, time.Duration) (Page, error) {
	return Page{}, ErrUnavailable
}

func (s *scripted) Newest(context.Context, string, string) (NewestPage, error) {
	return NewestPage{}, ErrUnavailable
}

// Guards against a refusal that is told although a try may still take effect,
// and against an outcome that is given up although another try would tell it.
func TestAppendWithRetry(t *testing.T) {
	for _, test := range []struct {
		about   string
		answers []error
		lost    []bool
		limit   time.Duration
		refused time.Duration
		want    error
	}{
		{"at once", nil, nil, time.Second, 0, nil},
		{"after a refusal", []error{ErrNotAppended}, nil, time.Second, 0, nil},
		{"after a lost answer", nil, []bool{true}, time.Second, 0, nil},
		{"refused for good", []error{ErrNotAppended, ErrNotAppended, ErrNotAppended}, nil, 2 * time.Second, time.Millisecond, ErrNotAppended},
		{"refused until the end", []error{ErrNotAppended, ErrNotAppended, ErrNotAppended, ErrNotAppended, ErrNotAppended}, nil, 200 * time.Millisecond, 0, ErrNotAppended},
		{"lost, then refused", []error{nil, ErrNotAppended, ErrNotAppended, ErrNotAppended}, []bool{true}, 600 * time.Millisecond, time.Millisecond, ErrOutcomeUnknown},
		{"fenced", []error{ErrFenced}, nil, time.Second, 0, ErrFenced},
	} {
		t.Run(test.about, func(t *testing.T) {
			ctx, cancel := context.WithTimeout(context.Background(), test.limit)
			defer cancel()
			var options []Option
			if test.refused > 0 {
				options = append(options, WithRefusalDeadline(time.Now().Add(test.refused)))
			}
			_, err := AppendWithRetry(ctx, &scripted{answers: test.answers, lost: test.lost}, "t", nil, []Record{{Key: "k"}}, options...)
			if !errors.Is(err, test.want) {
				t.Fatalf("found %v, want %v", err, test.want)
			}
		})
	}
}

// paged is a topic whose pages change while they are read, and whose history is
// dropped once.
type paged struct {
	scripted
	mu      sync.Mutex
	expired bool
	reads   []int64
}

func (p *paged) Newest(_ context.Context, _, after string) (NewestPage, error) {
	if after == "" {
		return NewestPage{Records: []StoredRecord{{Offset: 1, Record: Record{Key: "a"}}}, More: true, End: 3}, nil
	}
	return NewestPage{Records: []StoredRecord{{Offset: 4, Record: Record{Key: "b"}}}, End: 5}, nil
}

func (p *paged) Read(_ context.Context, _ string, from int64, _ time.Duration) (Page, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.reads = append(p.reads, from)
	if from == 5 && !p.expired {
		p.expired = true
		return Page{}, ExpiredError{First: 9}
	}
	return Page{Next: from + 2}, nil
}

// Guards against records that are missed between the pages of a recovery and
// the reads behind them, and against a history that was dropped.
func TestFollow(t *testing.T) {
	c := qt.New(t)
	ctx, cancel := context.WithCancel(context.Background())
	p := &paged{}
	recoveries := 0
	Follow(ctx, p, "t", Handler{
		OnRecords: func(r []StoredRecord) {
			if r[0].Key == "a" {
				recoveries++
			}
		},
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
	c.Assert(recoveries, qt.Equals, 2)
	// Reading goes on from the end before the first page.
	c.Assert(p.reads, qt.DeepEquals, []int64{3, 5, 3, 5})
}
