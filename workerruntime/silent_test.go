package workerruntime

import (
	"context"
	"net/http"
	"net/http/httptest"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"celerypoint.example/celerypoint/faultproxy"
)

// TestOneTimeoutAfterSilence guards against a time-out for each idle connection that has gone silent.
func TestOneTimeoutAfterSilence(t *testing.T) {
	c := qt.New(t)
	server := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) { time.Sleep(50 * time.Millisecond) }))
	defer server.Close()
	proxy, err := faultproxy.New("127.0.0.1:0", server.Listener.Addr().String(), 1)
	c.Assert(err, qt.IsNil)
	defer proxy.Close()
	client := New("http://" + proxy.Address())
	defer client.CloseIdleConnections()
	resume := func() error {
		ctx, cancel := context.WithTimeout(context.Background(), 300*time.Millisecond)
		defer cancel()
		return client.Resume(ctx, "t")
	}
	// Calls at the same time leave several idle connections.
	var calls sync.WaitGroup
	for range 6 {
		calls.Go(func() { c.Check(resume(), qt.IsNil) })
	}
	calls.Wait()
	proxy.Silence()
	c.Check(resume(), qt.ErrorIs, context.DeadlineExceeded)
	for range 6 {
		c.Check(resume(), qt.IsNil)
	}
}
