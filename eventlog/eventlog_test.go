package eventlog

import (
	"bytes"
	"encoding/json"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/rcrowley/go-metrics"
)

// gatedWriter blocks writes until it is opened.
type gatedWriter struct {
	gate chan struct{}
	mu   sync.Mutex
	text bytes.Buffer
}

func (w *gatedWriter) Write(b []byte) (int, error) {
	<-w.gate
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.text.Write(b)
}

// TestDroppedLinesAreCounted guards against lines that are dropped without a trace
// because the queue is full: the next line of the kind has to tell their number.
func TestDroppedLinesAreCounted(t *testing.T) {
	c := qt.New(t)
	out := &gatedWriter{gate: make(chan struct{})}
	l := New(out, "p", metrics.NewRegistry())
	// The writer takes one line. Lines of other kinds fill the queue, each kind within its
	// own rate.
	l.Add("first", nil)
	for len(l.queue) > 0 {
		time.Sleep(time.Millisecond)
	}
	for i := range maxQueuedLines {
		l.Add(string(rune('A'+i/100)), nil)
	}
	for range 3 {
		l.Add("decided", nil)
	}
	close(out.gate)
	l.queue <- l.logger.WithField("event", "drained")
	for len(l.queue) > 0 {
		time.Sleep(time.Millisecond)
	}
	l.Add("decided", nil)
	l.Close()
	var last map[string]any
	for _, line := range bytes.Split(bytes.TrimSpace(out.text.Bytes()), []byte("\n")) {
		last = nil
		c.Assert(json.Unmarshal(line, &last), qt.IsNil)
	}
	c.Assert(last["event"], qt.Equals, "decided")
	c.Assert(last[droppedField], qt.Equals, 3.0)
}

// TestLinesAfterCloseAreDropped guards against a panic in the handling of a request that a
// server of a stopping process still answers.
func TestLinesAfterCloseAreDropped(t *testing.T) {
	c := qt.New(t)
	registry := metrics.NewRegistry()
	l := New(&bytes.Buffer{}, "p", registry)
	var adders sync.WaitGroup
	for range 4 {
		adders.Go(func() {
			for range 50 {
				l.Add("kind", Fields{"a": 1})
				time.Sleep(10 * time.Microsecond)
			}
		})
	}
	l.Close()
	adders.Wait()
	before := metrics.GetOrRegisterCounter("logLinesLeftOut", registry).Count()
	l.Add("other", Fields{})
	c.Check(metrics.GetOrRegisterCounter("logLinesLeftOut", registry).Count(), qt.Equals, before+1)
}
