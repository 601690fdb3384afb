// Package eventlog writes structured log lines without ever blocking the work
// that they tell of. Each kind of line has a budget; what exceeds it, or finds
// the queue full, is counted and left out, and the next line of the kind says
// how many were.
//
// A Log owns its queue and the counts; one mutex guards the counts and is
// taken last.
package eventlog

import (
	"io"
	"sync"
	"time"

	"github.com/rcrowley/go-metrics"
	"github.com/sirupsen/logrus"
)

const (
	// linesPerSecond and burst bound the lines of one kind. A job of 50 tasks
	// fits in the burst.
	linesPerSecond = 20
	burst          = 120
	// queueLines bounds the lines that wait for the output.
	queueLines = 1024
	// leftOutField is the number of lines of the kind that were left out
	// since the last one.
	leftOutField = "leftOut"
	// kindField names the decision.
	kindField = "event"
)

// Fields are the inputs and the outcome of a decision.
type Fields = logrus.Fields

// budget is the credit of one kind.
type budget struct {
	credit  float64
	at      time.Time
	leftOut int
}

// Log writes lines. Use New.
type Log struct {
	logger  *logrus.Logger
	process string
	left    metrics.Counter
	queue   chan *logrus.Entry

	mu    sync.Mutex
	kinds map[string]*budget
	done  sync.WaitGroup
	once  sync.Once
}

// New starts a log of the process that writes JSON lines.
func New(out io.Writer, process string, registry metrics.Registry) *Log {
	logger := logrus.New()
	logger.SetOutput(out)
	logger.SetFormatter(&logrus.JSONFormatter{TimestampFormat: "2006-01-02T15:04:05.000Z07:00", DisableHTMLEscape: true})
	l := &Log{
		logger: logger, process: process, kinds: map[string]*budget{}, queue: make(chan *logrus.Entry, queueLines),
		left: metrics.GetOrRegisterCounter("logLinesLeftOut", registry),
	}
	l.done.Go(func() {
		for e := range l.queue {
			e.Info(e.Message)
		}
	})
	return l
}

// Add writes a line about an event of the kind unless its budget is used up.
func (l *Log) Add(kind string, fields Fields) {
	now := time.Now()
	l.mu.Lock()
	b := l.kinds[kind]
	if b == nil {
		b = &budget{credit: burst, at: now}
		l.kinds[kind] = b
	}
	b.credit = min(burst, b.credit+now.Sub(b.at).Seconds()*linesPerSecond)
	b.at = now
	if b.credit < 1 {
		b.leftOut++
		l.mu.Unlock()
		l.left.Inc(1)
		return
	}
	b.credit--
	leftOut := b.leftOut
	b.leftOut = 0
	l.mu.Unlock()
	all := Fields{kindField: kind, "process": l.process}
	for k, v := range fields {
		all[k] = v
	}
	if leftOut > 0 {
		all[leftOutField] = leftOut
	}
	entry := l.logger.WithFields(all).WithTime(now)
	entry.Message = kind
	select {
	case l.queue <- entry:
	default:
		l.left.Inc(1)
	}
}

// Close writes what is queued. No line may be added afterwards.
func (l *Log) Close() {
	l.once.Do(func() {
		close(l.queue)
		l.done.Wait()
	})
}
