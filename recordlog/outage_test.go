package recordlog

import (
	"context"
	"errors"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"
)

// unavailableLog refuses each append at once or, if it is silent, does not reply, and counts
// the attempts. It ends the call after limit attempts, so that one that sends them without a
// pause ends too.
type unavailableLog struct {
	scriptedLog
	silent bool
	count  atomic.Int64
	limit  int64
	end    context.CancelFunc
}

func (l *unavailableLog) Append(ctx context.Context, _ string, _ *Fence, _ []Record) (int64, error) {
	if l.count.Add(1) == l.limit {
		l.end()
	}
	if l.silent {
		<-ctx.Done()
		return 0, ErrOutcomeUnknown
	}
	return 0, ErrNotAppended
}

// TestAppendPausesDuringLongOutage guards against attempts without a pause after a long outage.
func TestAppendPausesDuringLongOutage(t *testing.T) {
	const outage = 10 * time.Minute
	for _, silent := range []bool{false, true} {
		synctest.Test(t, func(t *testing.T) {
			c := qt.New(t)
			ctx, cancel := context.WithTimeout(context.Background(), outage)
			defer cancel()
			const allowed = int64(outage/maxBackoff) + 10
			l := &unavailableLog{silent: silent, limit: 2 * allowed, end: cancel}
			started := time.Now()
			_, err := AppendWithRetry(ctx, l, "topic", nil, nil)
			took := time.Since(started)
			// Attempts go on after the call.
			time.Sleep(2 * attemptTimeout)
			c.Check(errors.Is(err, ErrNotAppended), qt.Equals, !silent, qt.Commentf("%v", err))
			c.Check(l.count.Load() <= allowed, qt.IsTrue, qt.Commentf("silent %t: %d attempts in %s", silent, l.count.Load(), took))
		})
	}
}
