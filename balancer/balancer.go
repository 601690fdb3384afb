// Package balancer serves the platform's load balancer and its metrics
// collector: health, readiness and counters. It owns no state and takes no
// lock of its own.
package balancer

import (
	"fmt"
	"net/http"
	"slices"
	"strings"

	"github.com/rcrowley/go-metrics"

	"celerypoint.example/celerypoint/httpserver"
)

// Service says whether the process takes requests, and if not, why.
type Service interface{ Ready() (bool, string) }

// Handler serves /healthz, /readyz and /metrics.
type Handler struct {
	service  Service
	registry metrics.Registry
	mux      *http.ServeMux
}

// New makes the handler. The registry is read at each request for /metrics.
func New(s Service, registry metrics.Registry) *Handler {
	h := &Handler{service: s, registry: registry, mux: http.NewServeMux()}
	h.mux.HandleFunc("GET /healthz", h.health)
	h.mux.HandleFunc("GET /readyz", h.ready)
	h.mux.HandleFunc("GET /metrics", h.metrics)
	return h
}

// ServeHTTP serves one request.
func (h *Handler) ServeHTTP(w http.ResponseWriter, r *http.Request) { h.mux.ServeHTTP(w, r) }

func (h *Handler) health(w http.ResponseWriter, _ *http.Request) { text(w, http.StatusOK, "ok") }

func (h *Handler) ready(w http.ResponseWriter, _ *http.Request) {
	if ok, reason := h.service.Ready(); !ok {
		text(w, http.StatusServiceUnavailable, "not ready: "+reason)
		return
	}
	text(w, http.StatusOK, "ready")
}

func (h *Handler) metrics(w http.ResponseWriter, r *http.Request) { Metrics(h.registry)(w, r) }

// Metrics serves the registry as text, or as JSON with ?format=json.
func Metrics(registry metrics.Registry) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		switch format := r.URL.Query().Get("format"); format {
		case "json":
			httpserver.JSON(w, http.StatusOK, registry.GetAll())
		case "", "text":
			text(w, http.StatusOK, strings.Join(lines(registry), "\n"))
		default:
			text(w, http.StatusBadRequest, fmt.Sprintf("format: found %q, allowed: text, json", format))
		}
	}
}

// lines gives a line "name value" for each counter, and one for each value of
// a metric that has several.
func lines(registry metrics.Registry) []string {
	var all []string
	for name, values := range registry.GetAll() {
		for key, value := range values {
			if key != "count" && key != "value" {
				key = name + "." + key
			} else {
				key = name
			}
			all = append(all, fmt.Sprintf("%s %v", key, value))
		}
	}
	slices.Sort(all)
	return all
}

func text(w http.ResponseWriter, status int, line string) {
	httpserver.Reply(w, status, "text/plain; charset=utf-8", []byte(line+"\n"))
}
