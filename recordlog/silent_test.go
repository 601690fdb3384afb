package recordlog

import (
	"context"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// silentPoolLog never replies to a call while connections from before are open.
type silentPoolLog struct{ renewed atomic.Bool }

func (l *silentPoolLog) CloseIdleConnections() { l.renewed.Store(true) }

func (l *silentPoolLog) Append(ctx context.Context, _ string, _ *Fence, _ []Record) (int64, error) {
	if l.renewed.Load() {
		return 4, nil
	}
	<-ctx.Done()
	return 0, ErrOutcomeUnknown
}

func (l *silentPoolLog) Newest(context.Context, string, string) (NewestPage, error) {
	return NewestPage{}, nil
}

func (l *silentPoolLog) Read(ctx context.Context, _ string, from int64, _ time.Duration) (Page, error) {
	if l.renewed.Load() {
		return Page{Records: []StoredRecord{{Offset: from}}, Next: from + 1, End: from + 1}, nil
	}
	<-ctx.Done()
	return Page{}, ErrUnavailable
}

// TestOverdueRequestsUseNewConnections guards against a second request over a connection that is silent as well.
func TestOverdueRequestsUseNewConnections(t *testing.T) {
	c := qt.New(t)
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	begun := time.Now()
	overdue := 0
	Follow(ctx, &silentPoolLog{}, "t", Handler{
		OnRecords: func([]StoredRecord) { cancel() }, OnNewest: func([]StoredRecord) {}, OnLoaded: func(Load) {}, OnUpToDate: func(time.Time) {},
		OnReadFailing: func(error) {}, OnReadRecovered: func() {}, OnOverdue: func(time.Duration) { overdue++ },
		Pace: func() Pace { return Pace{Wait: 200 * time.Millisecond} },
	})
	c.Check(time.Since(begun) < 900*time.Millisecond, qt.IsTrue, qt.Commentf("after %v", time.Since(begun)))
	c.Check(overdue, qt.Equals, 1)

	reading, cancelRead := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancelRead()
	begun = time.Now()
	page, err := ReadNow(reading, &silentPoolLog{}, "t", 7)
	c.Assert(err, qt.IsNil)
	c.Check(page.Next, qt.Equals, int64(8))
	c.Check(time.Since(begun) < 800*time.Millisecond, qt.IsTrue, qt.Commentf("after %v", time.Since(begun)))

	appending, cancelAppend := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancelAppend()
	begun = time.Now()
	offset, err := AppendWithRetry(appending, &silentPoolLog{}, "t", nil, []Record{{Key: "k"}})
	c.Assert(err, qt.IsNil)
	c.Check(offset, qt.Equals, int64(4))
	c.Check(time.Since(begun) < time.Second, qt.IsTrue, qt.Commentf("after %v", time.Since(begun)))
}
