// Package standinlog is an in-memory stand-in for the platform's log service,
// for tests and demonstrations. It offers appends, long-poll reads, retention, a
// limit on the rate of appends, and faults that are switched over HTTP. It keeps
// all records, including expired ones, so that checkers can read everything that
// was ever appended.
//
// One mutex guards the streams, the faults and the rate limit. A read that waits
// for records waits on its stream's channel, which the next append closes.
package standinlog

import (
	"fmt"
	"net/http"
	"sync"
	"time"

	"celerypoint.example/celerypoint/httpserver"
	"celerypoint.example/celerypoint/wire"
)

// maxConcurrentRequests bounds the requests in progress. Each long-poll read
// holds one.
const maxConcurrentRequests = 512

// Log is a running stand-in. It is safe for concurrent use.
type Log struct {
	server *httpserver.Server
	// retainRecords and retainAge bound the records that a stream serves; 0 means
	// no bound.
	retainRecords int
	retainAge     time.Duration
	// appendsPerSecond bounds the append requests per second to all streams
	// together. The number of records in a request does not matter.
	appendsPerSecond int
	// stop is closed by Close and ends waiting reads and injected delays.
	stop chan struct{}

	mu      sync.Mutex
	streams map[string]*stream
	faults  wire.LogFaults
	// appends counts the append requests in countedSecond, a Unix time in seconds.
	countedSecond int64
	appends       int
}

// Option configures a Log.
type Option func(*Log)

// RetainRecords expires all but the newest n records of each stream. 0, the
// default, keeps all.
func RetainRecords(n int) Option { return func(l *Log) { l.retainRecords = n } }

// RetainAge expires records that are at least as old as d. 0, the default, keeps
// all.
func RetainAge(d time.Duration) Option { return func(l *Log) { l.retainAge = d } }

// AppendsPerSecond bounds the append requests per second; further ones are refused
// with status 429. The default is 400, because the platform states its limit as
// "several hundred".
func AppendsPerSecond(n int) Option { return func(l *Log) { l.appendsPerSecond = n } }

// New listens on the TCP address and serves the log.
func New(address string, options ...Option) (*Log, error) {
	l := &Log{appendsPerSecond: 400, stop: make(chan struct{}), streams: map[string]*stream{}}
	for _, o := range options {
		o(l)
	}
	server, err := httpserver.New(address, maxConcurrentRequests, l.handler())
	if err != nil {
		return nil, fmt.Errorf("stand-in log: %w", err)
	}
	l.server = server
	return l, nil
}

// Address is the address that the stand-in listens on.
func (l *Log) Address() string { return l.server.Address() }

// URL is the base URL for clients.
func (l *Log) URL() string { return "http://" + l.Address() }

// Close answers the waiting reads, stops listening and closes the connections.
// It must be called only once.
func (l *Log) Close() {
	close(l.stop)
	l.server.Close(time.Second)
}

// SetFaults replaces the faults. If f.ExpireBelow is set, the existing records
// below that offset expire in every stream and stay expired.
func (l *Log) SetFaults(f wire.LogFaults) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.faults = f
	if f.ExpireBelow > 0 {
		for _, s := range l.streams {
			s.expireBelow(f.ExpireBelow)
		}
	}
}

func (l *Log) handler() http.Handler {
	m := http.NewServeMux()
	m.HandleFunc("POST /streams/{name}", l.handleAppend)
	m.HandleFunc("GET /streams/{name}", l.handleRead)
	m.HandleFunc("GET /dump/{name}", l.handleDump)
	m.HandleFunc("GET /faults", l.handleGetFaults)
	m.HandleFunc("POST /faults", l.handlePostFaults)
	return m
}
