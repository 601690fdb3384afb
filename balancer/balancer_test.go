package balancer

import (
	"net/http/httptest"
	"testing"

	qt "github.com/frankban/quicktest"
	"github.com/rcrowley/go-metrics"
)

type fakeService string

func (f fakeService) Ready() (bool, string) { return f == "", string(f) }

// TestPaths guards against an entry that is reported as ready although it is
// stopping, and against metrics that a collector cannot read.
func TestPaths(t *testing.T) {
	registry := metrics.NewRegistry()
	metrics.GetOrRegisterCounter("admissionRefused.queueFull", registry).Inc(3)
	for _, tt := range []struct {
		service    fakeService
		path, want string
		status     int
	}{
		{"", "/healthz", "ok\n", 200},
		{"", "/readyz", "ready\n", 200},
		{"stopping", "/readyz", "not ready: stopping\n", 503},
		{"stopping", "/healthz", "ok\n", 200},
		{"", "/metrics", "admissionRefused.queueFull 3\n", 200},
		{"", "/metrics?format=json", `{"admissionRefused.queueFull":{"count":3}}` + "\n", 200},
		{"", "/metrics?format=xml", "format: found \"xml\", allowed: text, json\n", 400},
	} {
		w := httptest.NewRecorder()
		New(tt.service, registry).ServeHTTP(w, httptest.NewRequest("GET", tt.path, nil))
		qt.Check(t, w.Code, qt.Equals, tt.status)
		qt.Check(t, w.Body.String(), qt.Equals, tt.want)
	}
}
