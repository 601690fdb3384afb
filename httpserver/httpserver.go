// Package httpserver serves an http.Handler through nbhttp. Front ends and
// stand-ins use it, so that their limits are alike. It owns the listener and
// its connections.
package httpserver

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"strconv"
	"time"

	"github.com/lesismal/nbio/nbhttp"

	"celerypoint.example/celerypoint/nbiosetup"
)

// MaxBodyBytes bounds a request's body.
const MaxBodyBytes = 8 << 20

// Server is a running HTTP server.
type Server struct{ engine *nbhttp.Engine }

// New listens on the TCP address and serves the handler. At most handlers
// requests are handled at once; further ones wait in their connections.
func New(address string, handlers int, h http.Handler) (*Server, error) {
	nbiosetup.ApplyLimits()
	listener, err := nbiosetup.Listen(address)
	if err != nil {
		return nil, fmt.Errorf("http: listen on %s: %w", address, err)
	}
	engine := nbhttp.NewEngine(nbhttp.Config{
		Network:                "tcp",
		Addrs:                  []string{listener.Addr().String()},
		Listen:                 listener.ListenFunc,
		Handler:                clientCloses(h),
		NPoller:                1,
		MessageHandlerPoolSize: handlers,
		MaxHTTPBodySize:        MaxBodyBytes,
		ReadBufferSize:         32 << 10,
	})
	if err := engine.Start(); err != nil {
		_ = listener.Close()
		return nil, fmt.Errorf("http: start on %s: %w", address, err)
	}
	listener.WaitAccepting()
	if err := nbiosetup.WaitPolling(engine.Engine); err != nil {
		return nil, fmt.Errorf("http: start on %s: %w", address, err)
	}
	return &Server{engine: engine}, nil
}

// clientCloses leaves closing a connection to the client that asked for it with
// "Connection: close". nbhttp closes it as soon as the handler returns, and
// what the kernel has not taken yet of a large answer is lost. Every answer
// carries its length, so the client knows its end.
func clientCloses(h http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		r.Close = false
		h.ServeHTTP(w, r)
	})
}

// Address is the address that the server listens on.
func (s *Server) Address() string { return s.engine.Addrs[0] }

// Close stops listening and closes the connections within the timeout. A
// caller that has to finish requests waits for them before.
func (s *Server) Close(timeout time.Duration) {
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	_ = s.engine.Shutdown(ctx)
}

// Reply writes a whole body with its length. nbhttp cuts a large body that is
// written in one piece without a Content-Length, so every body goes through
// here.
func Reply(w http.ResponseWriter, status int, contentType string, body []byte) {
	w.Header().Set("Content-Type", contentType)
	w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	w.WriteHeader(status)
	// A failed write closes the connection, which the client sees.
	_, _ = w.Write(body)
}

// JSON writes v as the body.
func JSON(w http.ResponseWriter, status int, v any) {
	body, err := json.Marshal(v)
	if err != nil {
		http.Error(w, fmt.Sprintf("encode %T: %v", v, err), http.StatusInternalServerError)
		return
	}
	Reply(w, status, "application/json", append(body, '\n'))
}
