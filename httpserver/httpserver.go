// Package httpserver runs an http.Handler on an nbhttp server. The HTTP
// interfaces of the system and of the stand-ins for its peers share it, so that
// the same limits apply to all. A Server owns its listener and its connections.
package httpserver

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"runtime/debug"
	"strconv"
	"time"

	"github.com/lesismal/nbio/nbhttp"

	"celerypoint.example/celerypoint/nbiosetup"
)

// MaxBodyBytes bounds the body of a request unless WithMaxBody is given.
const MaxBodyBytes = 8 << 20

// maxHeadBytes bounds the request line and each line of the header.
const maxHeadBytes = 64 << 10

// Server is a running HTTP server.
type Server struct {
	engine  *nbhttp.Engine
	maxBody int
	onPanic func(r *http.Request, value any, stack []byte)
}

// Option configures a Server.
type Option func(*Server)

// WithPanicHandler sets a function that is called with the value and the stack when the
// handler of a request has panicked.
func WithPanicHandler(f func(r *http.Request, value any, stack []byte)) Option {
	return func(s *Server) { s.onPanic = f }
}

// WithMaxBody bounds the body of a request. The connection of a longer one is closed.
func WithMaxBody(bytes int) Option { return func(s *Server) { s.maxBody = bytes } }

// New listens on the TCP address and serves h. At most handlers requests are
// handled at the same time; further requests wait on their connections. A request whose
// handler panics is answered with status 500.
func New(address string, handlers int, h http.Handler, options ...Option) (*Server, error) {
	s := &Server{maxBody: MaxBodyBytes}
	for _, o := range options {
		o(s)
	}
	nbiosetup.ApplyLimits()
	listener, err := nbiosetup.Listen(address)
	if err != nil {
		return nil, fmt.Errorf("http: listen on %s: %w", address, err)
	}
	engine := nbhttp.NewEngine(nbhttp.Config{
		Network:                "tcp",
		Addrs:                  []string{listener.Addr().String()},
		Listen:                 listener.ListenFunc,
		Handler:                s.recoverPanics(leaveCloseToClient(h)),
		NPoller:                1,
		MessageHandlerPoolSize: handlers,
		MaxHTTPBodySize:        s.maxBody,
		// nbhttp buffers a body of known length before it checks its size.
		ReadLimit:      s.maxBody + maxHeadBytes,
		ReadBufferSize: 32 << 10,
	})
	if err := engine.Start(); err != nil {
		_ = listener.Close()
		return nil, fmt.Errorf("http: start on %s: %w", address, err)
	}
	listener.WaitAccepting()
	if err := nbiosetup.WaitPolling(engine.Engine); err != nil {
		return nil, fmt.Errorf("http: start on %s: %w", address, err)
	}
	s.engine = engine
	return s, nil
}

func (s *Server) recoverPanics(h http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		defer func() {
			v := recover()
			if v == nil {
				return
			}
			// After a part of the response, the status stays and the body is too short.
			Reply(w, http.StatusInternalServerError, "text/plain", []byte("unexpected error\n"))
			if s.onPanic != nil {
				s.onPanic(r, v, debug.Stack())
			}
		}()
		h.ServeHTTP(w, r)
	})
}

// leaveCloseToClient wraps a handler so that the server does not close a
// connection when the request has "Connection: close"; the client closes it.
// nbhttp would close the connection as soon as the handler returns, and the
// part of a large response that the kernel has not yet accepted would be lost.
// The responses that Reply writes have a Content-Length, so the client knows where
// they end.
func leaveCloseToClient(h http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		r.Close = false
		h.ServeHTTP(w, r)
	})
}

// Address returns the address that the server listens on.
func (s *Server) Address() string { return s.engine.Addrs[0] }

// Close stops listening and closes the connections within the timeout. It does
// not wait for requests in progress; callers that need them to finish wait
// before Close.
func (s *Server) Close(timeout time.Duration) {
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	_ = s.engine.Shutdown(ctx)
}

// Reply writes a response with a complete body and its Content-Length. All
// responses with a complete body are written by Reply, because nbhttp truncates
// a large body that is written in one piece without a Content-Length.
func Reply(w http.ResponseWriter, status int, contentType string, body []byte) {
	w.Header().Set("Content-Type", contentType)
	w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	w.WriteHeader(status)
	// If the write fails, the connection closes, which the client notices.
	_, _ = w.Write(body)
}

// JSON writes a response whose body is v encoded as JSON.
func JSON(w http.ResponseWriter, status int, v any) {
	body, err := json.Marshal(v)
	if err != nil {
		http.Error(w, fmt.Sprintf("encode %T: %v", v, err), http.StatusInternalServerError)
		return
	}
	Reply(w, status, "application/json", append(body, '\n'))
}
