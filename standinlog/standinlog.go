// Package standinlog is a stand-in of the platform's log service for tests and
// demonstrations: append, long-poll reads, retention, a bounded rate of
// appends, and faults that are switched over HTTP. All records are kept in
// memory, including the expired ones, so that checkers can read what was ever
// appended.
//
// One mutex guards the streams, the faults and the rate. A read that waits for
// records sleeps on its stream's channel, which an append closes.
package standinlog

import (
	"fmt"
	"net/http"
	"sync"
	"time"

	"celerypoint.example/celerypoint/httpserver"
	"celerypoint.example/celerypoint/wire"
)

// handlers bounds the requests handled at once. Each long-poll read holds one.
const handlers = 512

// Log is a running stand-in. It is safe for concurrent use.
type Log struct {
	server *httpserver.Server
	// retainRecords and retainAge bound what a stream keeps; 0 is no bound.
	retainRecords int
	retainAge     time.Duration
	// appendsPerSecond bounds the appends to all streams together.
	appendsPerSecond int
	// stop is closed by Close.
	stop chan struct{}

	mu      sync.Mutex
	streams map[string]*stream
	faults  wire.LogFaults
	// second is the Unix second that appends were counted in.
	second  int64
	appends int
}

// Option changes how New sets the stand-in up.
type Option func(*Log)

// RetainRecords keeps the newest n records of each stream.
func RetainRecords(n int) Option { return func(l *Log) { l.retainRecords = n } }

// RetainAge keeps records that are younger than d.
func RetainAge(d time.Duration) Option { return func(l *Log) { l.retainAge = d } }

// AppendsPerSecond bounds the appends a second; further ones are refused with
// 429. The default is 400, the platform's "several hundred".
func AppendsPerSecond(n int) Option { return func(l *Log) { l.appendsPerSecond = n } }

// New listens on the TCP address and serves the log.
func New(address string, options ...Option) (*Log, error) {
	l := &Log{appendsPerSecond: 400, stop: make(chan struct{}), streams: map[string]*stream{}}
	for _, o := range options {
		o(l)
	}
	server, err := httpserver.New(address, handlers, l.handler())
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

// Close answers the reads that wait, stops listening and closes the
// connections. It is called once.
func (l *Log) Close() {
	close(l.stop)
	l.server.Close(time.Second)
}

// SetFaults replaces the faults.
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
	m.HandleFunc("POST /streams/{name}", l.append)
	m.HandleFunc("GET /streams/{name}", l.read)
	m.HandleFunc("GET /dump/{name}", l.dump)
	m.HandleFunc("GET /faults", l.getFaults)
	m.HandleFunc("POST /faults", l.postFaults)
	return m
}
