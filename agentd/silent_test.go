package agentd

import (
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"celerypoint.example/celerypoint/faultproxy"
	"celerypoint.example/celerypoint/wire"
)

// TestEndOverSilentConnections guards against the end of a task learnt half a minute late after connections go silent.
func TestEndOverSilentConnections(t *testing.T) {
	var proxy *faultproxy.Proxy
	h := newHarness(t, func(h *harness) {
		p, err := faultproxy.New("127.0.0.1:0", strings.TrimPrefix(h.runtimeURL, "http://"), 1)
		qt.Assert(t, err, qt.IsNil)
		t.Cleanup(p.Close)
		proxy, h.runtimeURL = p, "http://"+p.Address()
	})
	h.startAttempt(h.job("j1", `{"runMs":300,"echo":"done"}`, false), 1, 20_000)
	proxy.Silence()
	begun := time.Now()
	end := h.entry.waitForEnd(t, taskID("j1-a", 0))
	qt.Check(t, end.Result, qt.Equals, wire.TaskResultAnswered)
	qt.Check(t, time.Since(begun) < 5*time.Second, qt.IsTrue, qt.Commentf("after %v", time.Since(begun)))
}
