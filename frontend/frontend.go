// Package frontend serves the HTTP interfaces of one entry on one address:
// callers, operators and the load balancer. It owns the HTTP server and the
// count of requests in progress, under one mutex that is held for the count
// only.
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
	"celerypoint.example/celerypoint/entryd"
	"celerypoint.example/celerypoint/httpserver"
	"celerypoint.example/celerypoint/operator"
	"celerypoint.example/celerypoint/outcome"
)

const (
	// handlers bounds the HTTP requests in progress. It is above the bound of
	// package caller on requests that wait, so that waits never hold up the
	// others. nbhttp starts a goroutine for each only when it is needed.
	handlers = caller.DefaultMaxWaiting + 512
	// closeTimeout bounds the closing of idle connections.
	closeTimeout = 2 * time.Second
)

// Frontend is a running HTTP server of an entry.
type Frontend struct {
	daemon  *entryd.Daemon
	callers *caller.Handler
	server  *httpserver.Server

	mu     sync.Mutex
	active int
	// idle is closed and replaced when active falls to 0.
	idle chan struct{}
	// closeOnce guards the end: a second Shutdown of an nbio engine panics.
	closeOnce sync.Once
}

// New serves the daemon on the TCP address.
func New(address string, d *entryd.Daemon) (*Frontend, error) {
	f := &Frontend{daemon: d, callers: caller.New(service{d}), idle: make(chan struct{})}
	operators, balancers := operator.New(service{d}), balancer.New(d, d.Metrics())
	mux := http.NewServeMux()
	mux.Handle("/v1/jobs", f.callers)
	mux.Handle("/v1/jobs/", f.callers)
	mux.Handle("/v1/batch", f.callers)
	mux.Handle("/v1/", operators)
	mux.Handle("/", balancers)
	metrics.NewRegisteredFunctionalGauge("callersWaiting", d.Metrics(), func() int64 { return int64(f.callers.Waiting()) })
	server, err := httpserver.New(address, handlers, f.counted(mux))
	if err != nil {
		f.callers.Close()
		return nil, fmt.Errorf("front end: %w", err)
	}
	f.server = server
	return f, nil
}

// Address is the address that the server listens on.
func (f *Frontend) Address() string { return f.server.Address() }

func (f *Frontend) counted(h http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		f.mu.Lock()
		f.active++
		f.mu.Unlock()
		defer func() {
			f.mu.Lock()
			defer f.mu.Unlock()
			if f.active--; f.active == 0 {
				close(f.idle)
				f.idle = make(chan struct{})
			}
		}()
		h.ServeHTTP(w, r)
	})
}

// Stop stops the daemon gracefully while its requests are still served, waits
// until they have ended, and closes the server. The error says what was left.
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
		active, idle := f.active, f.idle
		f.mu.Unlock()
		if active == 0 {
			return nil
		}
		select {
		case <-idle:
		case <-ctx.Done():
			return fmt.Errorf("front end: stopped with %d requests in progress: %w", active, ctx.Err())
		}
	}
}

// service translates the daemon's errors into those of the front ends.
type service struct{ *entryd.Daemon }

// Answer implements caller.Service.
func (s service) Answer(ctx context.Context, id string) ([]byte, outcome.Answer, error) {
	body, a, err := s.Daemon.Answer(ctx, id)
	if errors.Is(err, entryd.ErrNoAnswer) {
		err = caller.ErrNoAnswer
	}
	return body, a, err
}

// Change implements operator.Service.
func (s service) Change(ctx context.Context, r configfold.Record) (configfold.Result, error) {
	result, err := s.Daemon.Change(ctx, r)
	if errors.Is(err, entryd.ErrUnavailable) {
		err = operator.ErrStopping
	}
	return result, err
}
