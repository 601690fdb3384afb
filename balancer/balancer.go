// Package balancer serves the health and readiness probes of a load balancer, and
// the metrics of a process for a metrics collector, over HTTP. It owns no state and
// takes no lock of its own.
package balancer

import (
	"fmt"
	"net/http"
	"slices"
	"strings"

	"github.com/rcrowley/go-metrics"

	"celerypoint.example/celerypoint/httpserver"
)

// Service is the process that is probed. Ready returns whether it takes requests,
// and if not, the reason.
type Service interface{ Ready() (bool, string) }

// Handler serves /healthz, which always succeeds, /readyz and /metrics.
type Handler struct {
	service  Service
	registry metrics.Registry
	mux      *http.ServeMux
}

// New returns the handler. It reads the registry at each request for /metrics.
func New(s Service, registry metrics.Registry) *Handler {
	h := &Handler{service: s, registry: registry, mux: http.NewServeMux()}
	h.mux.HandleFunc("GET /healthz", h.serveHealth)
	h.mux.HandleFunc("GET /readyz", h.serveReady)
	h.mux.HandleFunc("GET /metrics", h.serveMetrics)
	return h
}

// ServeHTTP implements http.Handler.
func (h *Handler) ServeHTTP(w http.ResponseWriter, r *http.Request) { h.mux.ServeHTTP(w, r) }

func (h *Handler) serveHealth(w http.ResponseWriter, _ *http.Request) {
	replyText(w, http.StatusOK, "ok")
}

func (h *Handler) serveReady(w http.ResponseWriter, _ *http.Request) {
	if ok, reason := h.service.Ready(); !ok {
		replyText(w, http.StatusServiceUnavailable, "not ready: "+reason)
		return
	}
	replyText(w, http.StatusOK, "ready")
}

func (h *Handler) serveMetrics(w http.ResponseWriter, r *http.Request) { Metrics(h.registry)(w, r) }

// Metrics returns a handler that serves the metrics of the registry as text, or as
// JSON with ?format=json.
func Metrics(registry metrics.Registry) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		switch format := r.URL.Query().Get("format"); format {
		case "json":
			httpserver.JSON(w, http.StatusOK, registry.GetAll())
		case "", "text":
			replyText(w, http.StatusOK, strings.Join(metricLines(registry), "\n"))
		default:
			replyText(w, http.StatusBadRequest, fmt.Sprintf("format: found %q, allowed: text, json", format))
		}
	}
}

// metricLines returns the sorted lines of all metrics. A value with the key "count"
// or "value", as of a counter or gauge, gives the line "name value". Any other value
// gives "name.key value".
func metricLines(registry metrics.Registry) []string {
	var lines []string
	for name, values := range registry.GetAll() {
		for key, value := range values {
			if key != "count" && key != "value" {
				key = name + "." + key
			} else {
				key = name
			}
			lines = append(lines, fmt.Sprintf("%s %v", key, value))
		}
	}
	slices.Sort(lines)
	return lines
}

func replyText(w http.ResponseWriter, status int, line string) {
	httpserver.Reply(w, status, "text/plain; charset=utf-8", []byte(line+"\n"))
}
