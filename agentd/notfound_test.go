package agentd

import (
	"io"
	"log"
	"net/http"
	"net/http/httptest"
	"net/http/httputil"
	"net/url"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"celerypoint.example/celerypoint/standinruntime"
	"celerypoint.example/celerypoint/wire"
)

// runtimeProxy forwards the agent's requests to the worker runtime.
type runtimeProxy struct {
	// stallPolls delays the replies to long polls for events. foreign answers every
	// request like a server of another kind that has taken the runtime's address.
	stallPolls, foreign atomic.Bool
}

// newProxyHarness returns a harness whose agent reaches the runtime by the proxy.
func newProxyHarness(t *testing.T) (*harness, *runtimeProxy) {
	t.Helper()
	p := &runtimeProxy{}
	h := newHarness(t, func(h *harness) {
		target, err := url.Parse(h.runtimeURL)
		qt.Assert(t, err, qt.IsNil)
		forward := httputil.NewSingleHostReverseProxy(target)
		forward.ErrorLog = log.New(io.Discard, "", 0)
		server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			if p.foreign.Load() {
				http.NotFound(w, r)
				return
			}
			poll := r.URL.Path == "/events" && r.URL.Query().Get("waitMs") != "0"
			for poll && p.stallPolls.Load() && r.Context().Err() == nil {
				time.Sleep(5 * time.Millisecond)
			}
			forward.ServeHTTP(w, r)
		}))
		t.Cleanup(server.Close)
		t.Cleanup(server.CloseClientConnections)
		h.runtimeURL = server.URL
	})
	return h, p
}

// renewOften renews the lease of the attempt more often than calls may fail before
// its tasks count as ended.
func (h *harness) renewOften(attempt string) {
	h.Helper()
	for range 2 * maxNotFound {
		confirmed, err := h.Confirm(h.ctx, wire.ConfirmParams{Attempt: attempt})
		qt.Assert(h, err, qt.IsNil)
		_, err = h.Renew(h.ctx, wire.RenewParams{Attempt: attempt, Round: confirmed.Round, LeaseMs: 10_000})
		qt.Assert(h, err, qt.IsNil)
	}
}

// TestEndWithLateEvent guards against a task that answered and is reported as crashed.
func TestEndWithLateEvent(t *testing.T) {
	h, proxy := newProxyHarness(t)
	proxy.stallPolls.Store(true)
	h.startAttempt(h.job("j1", `{"runMs":50,"echo":"done"}`, false), 1, 10_000)
	for deadline := time.Now().Add(testTimeout); ; time.Sleep(5 * time.Millisecond) {
		records := h.runtime.Records()
		if records[len(records)-1].Kind == wire.RuntimeRecordKindEnded {
			break
		}
		qt.Assert(t, time.Now().Before(deadline), qt.IsTrue)
	}
	h.renewOften("j1-a")
	qt.Assert(t, h.entry.waitForEnd(t, "j1-a/0").Result, qt.Equals, wire.TaskResultAnswered)
}

// TestForeignAnswers guards against the 404 of another server that ends a task which runs.
func TestForeignAnswers(t *testing.T) {
	h, proxy := newProxyHarness(t)
	h.startAttempt(h.job("j1", `{"runMs":60000}`, false), 1, 10_000)
	proxy.foreign.Store(true)
	h.renewOften("j1-a")
	qt.Assert(t, h.daemon.Holdings(), qt.HasLen, 1)
	proxy.foreign.Store(false)
	confirmed, err := h.Confirm(h.ctx, wire.ConfirmParams{Attempt: "j1-a"})
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, confirmed.Running, qt.IsTrue)
}

// TestCrashOfRuntime guards against a crash of the runtime that is reported as a stop.
func TestCrashOfRuntime(t *testing.T) {
	h, _ := newProxyHarness(t)
	h.startAttempt(h.job("j1", `{"runMs":60000}`, false), 1, 10_000)
	h.runtime.Close()
	runtime, err := standinruntime.New(standinruntime.Config{Listen: h.runtime.Address(), VM: "vm1", Accelerators: 8})
	qt.Assert(t, err, qt.IsNil)
	t.Cleanup(runtime.Close)
	h.renewOften("j1-a")
	qt.Assert(t, h.entry.waitForEnd(t, "j1-a/0").Result, qt.Equals, wire.TaskResultCrashed)
}
