// Package frontend serves all HTTP interfaces of an entry process on one
// address: those for callers, for operators and for the load balancer. It owns
// the HTTP server and the number of requests in progress. The number is
// protected by the package's only mutex, which is not held while a request is
// handled.
package frontend

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"sync"
	"time"

	"github.com/rcrowley/go-metrics"

	"celerypoint.example/celerypoint/balancer"
	"celerypoint.example/celerypoint/caller"
	"celerypoint.example/celerypoint/configfold"
	"celerypoint.example/celerypoint/connlimit"
	"celerypoint.example/celerypoint/entryd"
	"celerypoint.example/celerypoint/httpserver"
	"celerypoint.example/celerypoint/operator"
	"celerypoint.example/celerypoint/outcome"
)

const (
	// maxConcurrentRequests bounds the HTTP requests in progress. It exceeds the
	// maximum number of requests that wait for a job in package caller, so that
	// these never block other requests. nbhttp starts the goroutines that handle
	// requests on demand.
	maxConcurrentRequests = caller.DefaultMaxWaiting + 512
	// closeTimeout bounds how long Stop waits for the server's connections to
	// close.
	closeTimeout = 2 * time.Second
)

// Frontend is the running HTTP server of an entry.
type Frontend struct {
	daemon  *entryd.Daemon
	callers *caller.Handler
	limits  connlimit.Limits
	server  *httpserver.Server

	mu             sync.Mutex
	activeRequests int
	// idle is closed and replaced when activeRequests drops to 0.
	idle chan struct{}
	// closeOnce makes sure that the server is closed once: a second Shutdown of
	// an nbio engine panics.
	closeOnce sync.Once
}

// Option configures a Frontend.
type Option func(*Frontend)

// WithLimits bounds what the connections use together; without it,
// httpserver.DefaultLimits do.
func WithLimits(l connlimit.Limits) Option { return func(f *Frontend) { f.limits = l } }

// New starts a server for the daemon on the TCP address.
func New(address string, d *entryd.Daemon, options ...Option) (*Frontend, error) {
	f := &Frontend{daemon: d, callers: caller.New(serviceAdapter{d}), limits: httpserver.DefaultLimits, idle: make(chan struct{})}
	for _, o := range options {
		o(f)
	}
	operators, balancers := operator.New(serviceAdapter{d}), balancer.New(d, d.Metrics())
	mux := http.NewServeMux()
	mux.Handle("/v1/jobs", f.callers)
	mux.Handle("/v1/jobs/", f.callers)
	mux.Handle("/v1/batch", f.callers)
	mux.Handle("/v1/", operators)
	mux.Handle("/", balancers)
	metrics.NewRegisteredFunctionalGauge("callersWaiting", d.Metrics(), func() int64 { return int64(f.callers.Waiting()) })
	server, err := httpserver.New(address, maxConcurrentRequests, f.countRequests(mux), httpserver.WithLimits(f.limits),
		httpserver.WithRefusalHandler(func(r connlimit.Refusal) { d.ConnectionRefused("http", r) }))
	if err != nil {
		f.callers.Close()
		return nil, fmt.Errorf("front end: %w", err)
	}
	f.server = server
	return f, nil
}

// Address returns the address that the server listens on.
func (f *Frontend) Address() string { return f.server.Address() }

// countRequests wraps a handler so that activeRequests includes its requests.
func (f *Frontend) countRequests(h http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		f.mu.Lock()
		f.activeRequests++
		f.mu.Unlock()
		defer func() {
			f.mu.Lock()
			defer f.mu.Unlock()
			if f.activeRequests--; f.activeRequests == 0 {
				close(f.idle)
				f.idle = make(chan struct{})
			}
		}()
		h.ServeHTTP(w, r)
	})
}

// Stop stops the daemon gracefully. Requests are still served until the daemon
// has stopped and no request is in progress; then the server is closed. When
// the context ends first, the server is closed anyway, the error says what was
// still in progress, and the workers of batches are not stopped.
func (f *Frontend) Stop(ctx context.Context) error {
	err := errors.Join(f.daemon.Stop(ctx), f.waitIdle(ctx))
	f.closeOnce.Do(func() {
		f.server.Close(closeTimeout)
		if err == nil {
			f.callers.Close()
		}
	})
	return err
}

func (f *Frontend) waitIdle(ctx context.Context) error {
	for {
		f.mu.Lock()
		activeRequests, idle := f.activeRequests, f.idle
		f.mu.Unlock()
		if activeRequests == 0 {
			return nil
		}
		select {
		case <-idle:
		case <-ctx.Done():
			return fmt.Errorf("front end: stopped with %d requests in progress: %w", activeRequests, ctx.Err())
		}
	}
}

// serviceAdapter converts errors of the daemon to those that packages caller
// and operator expect.
type serviceAdapter struct{ *entryd.Daemon }

// Answer implements caller.Service.
func (s serviceAdapter) Answer(ctx context.Context, id string) ([]byte, outcome.Answer, error) {
	body, a, err := s.Daemon.Answer(ctx, id)
	if errors.Is(err, entryd.ErrNoAnswer) {
		err = caller.ErrNoAnswer
	}
	return body, a, err
}

// Change implements operator.Service.
func (s serviceAdapter) Change(ctx context.Context, r configfold.Record) (configfold.Result, error) {
	result, err := s.Daemon.Change(ctx, r)
	if errors.Is(err, entryd.ErrUnavailable) {
		err = operator.ErrStopping
	}
	return result, err
}
