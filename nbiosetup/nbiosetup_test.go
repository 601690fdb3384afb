package nbiosetup_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"celerypoint.example/celerypoint/httpserver"
	"celerypoint.example/celerypoint/rpc"
)

// TestStopRightAfterStart guards against an engine that is stopped as soon as it has
// started and then never ends, or spins on its closed listener.
func TestStopRightAfterStart(t *testing.T) {
	done := make(chan struct{})
	go func() {
		defer close(done)
		for range 12 {
			e, err := rpc.New(func(*rpc.Request) {}, rpc.WithListen("127.0.0.1:0"))
			qt.Check(t, err, qt.IsNil)
			e.Close()
			s, err := httpserver.New("127.0.0.1:0", 1, nil)
			qt.Check(t, err, qt.IsNil)
			s.Close(time.Second)
		}
	}()
	select {
	case <-done:
	case <-time.After(20 * time.Second):
		t.Fatal("timeout: 12 engines of each kind did not stop")
	}
}

// TestListenFails guards against a start that never returns when the address
// cannot be listened on.
func TestListenFails(t *testing.T) {
	const taken = "203.0.113.1:1"
	done := make(chan struct{})
	go func() {
		defer close(done)
		for range 12 {
			_, err := rpc.New(func(*rpc.Request) {}, rpc.WithListen(taken))
			qt.Check(t, err, qt.ErrorMatches, "rpc: listen on "+taken+": .*")
			_, err = httpserver.New(taken, 1, nil)
			qt.Check(t, err, qt.ErrorMatches, "http: listen on "+taken+": .*")
		}
	}()
	select {
	case <-done:
	case <-time.After(20 * time.Second):
		t.Fatal("timeout: the failing starts did not return")
	}
}
