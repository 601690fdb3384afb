package recordlog

import (
	"context"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// slowLog answers the first append only after a second attempt has begun, and lets that one read its fence later.
type slowLog struct {
	Log
	mu       sync.Mutex
	attempts int
	second   chan struct{}
	release  chan struct{}
	sequence chan int64
}

func (l *slowLog) CloseIdleConnections() {}

func (l *slowLog) Append(_ context.Context, _ string, fence *Fence, _ []Record) (int64, error) {
	l.mu.Lock()
	l.attempts++
	first := l.attempts == 1
	l.mu.Unlock()
	if first {
		<-l.second
		return 7, nil
	}
	close(l.second)
	<-l.release
	l.sequence <- fence.Sequence
	return 7, nil
}

// TestLateAttemptKeepsItsSequence guards against an attempt that takes the place of the caller's next append, whose records are then never stored.
func TestLateAttemptKeepsItsSequence(t *testing.T) {
	c := qt.New(t)
	log := &slowLog{second: make(chan struct{}), release: make(chan struct{}), sequence: make(chan int64, 1)}
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	fence := Fence{Producer: "p", Epoch: 1, Sequence: 4}
	offset, err := AppendWithRetry(ctx, log, "topic", &fence, nil)
	c.Assert(err, qt.IsNil)
	c.Assert(offset, qt.Equals, int64(7))
	fence.Sequence++
	close(log.release)
	c.Check(<-log.sequence, qt.Equals, int64(4))
}
