// Package eventlog writes structured log lines about events without blocking
// the goroutine that reports the event. The lines of each kind are rate-limited.
// A line that exceeds the rate, or that finds the queue full, is dropped and
// counted. The next line of the same kind that is written tells how many lines were
// dropped before it.
//
// A Log owns its queue and the rate limiters. One mutex guards the rate limiters
// and is taken last.
package eventlog

import (
	"io"
	"sync"
	"time"

	"github.com/rcrowley/go-metrics"
	"github.com/sirupsen/logrus"
)

const (
	// linesPerSecond limits the average rate of lines of one kind, and burst the
	// number that are written at once. The burst has room for the lines about a
	// job of 50 tasks.
	linesPerSecond = 20
	burst          = 120
	// maxQueuedLines limits the number of lines that wait to be written.
	maxQueuedLines = 1024
	// droppedField is the field with the number of lines of the same kind that
	// were dropped since the previous line of that kind.
	droppedField = "leftOut"
	// kindField is the field with the kind of the event.
	kindField = "event"
)

// Fields are the fields of an event, such as the inputs and the outcome of a
// decision.
type Fields = logrus.Fields

// rateLimiter is the token bucket of one kind of line. dropped counts the lines
// dropped since the previous line of the kind that was queued.
type rateLimiter struct {
	tokens    float64
	updatedAt time.Time
	dropped   int
}

// Log writes log lines. Use New to create one.
type Log struct {
	logger       *logrus.Logger
	process      string
	droppedLines metrics.Counter
	queue        chan *logrus.Entry

	// mu guards limiters and closed. It is held while the queue is closed or a line is put
	// into it, which does not block.
	mu        sync.Mutex
	limiters  map[string]*rateLimiter
	closed    bool
	writer    sync.WaitGroup
	closeOnce sync.Once
}

// New starts a log that writes the process's events to out as JSON lines. It
// registers a counter of the lines dropped for either reason.
func New(out io.Writer, process string, registry metrics.Registry) *Log {
	logger := logrus.New()
	logger.SetOutput(out)
	logger.SetFormatter(&logrus.JSONFormatter{TimestampFormat: "2006-01-02T15:04:05.000Z07:00", DisableHTMLEscape: true})
	l := &Log{
		logger: logger, process: process, limiters: map[string]*rateLimiter{}, queue: make(chan *logrus.Entry, maxQueuedLines),
		droppedLines: metrics.GetOrRegisterCounter("logLinesLeftOut", registry),
	}
	l.writer.Go(func() {
		for e := range l.queue {
			e.Info(e.Message)
		}
	})
	return l
}

// Add queues a line about an event of the given kind. It drops the line if the
// kind exceeds its rate or the queue is full.
func (l *Log) Add(kind string, fields Fields) {
	now := time.Now()
	l.mu.Lock()
	b := l.limiters[kind]
	if b == nil {
		b = &rateLimiter{tokens: burst, updatedAt: now}
		l.limiters[kind] = b
	}
	b.tokens = min(burst, b.tokens+now.Sub(b.updatedAt).Seconds()*linesPerSecond)
	b.updatedAt = now
	if b.tokens < 1 {
		b.dropped++
		l.mu.Unlock()
		l.droppedLines.Inc(1)
		return
	}
	b.tokens--
	dropped := b.dropped
	b.dropped = 0
	l.mu.Unlock()
	merged := Fields{kindField: kind, "process": l.process}
	for k, v := range fields {
		merged[k] = v
	}
	if dropped > 0 {
		merged[droppedField] = dropped
	}
	entry := l.logger.WithFields(merged).WithTime(now)
	entry.Message = kind
	if !l.enqueue(entry) {
		l.droppedLines.Inc(1)
		l.mu.Lock()
		b.dropped += dropped + 1
		l.mu.Unlock()
	}
}

// enqueue queues a line. It returns false if the queue is full or the log is closed.
func (l *Log) enqueue(entry *logrus.Entry) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.closed {
		return false
	}
	select {
	case l.queue <- entry:
		return true
	default:
		return false
	}
}

// Close writes the queued lines and stops the log. Lines that are added later are dropped:
// the servers of a stopping process may still answer requests.
func (l *Log) Close() {
	l.closeOnce.Do(func() {
		l.mu.Lock()
		l.closed = true
		close(l.queue)
		l.mu.Unlock()
		l.writer.Wait()
	})
}
