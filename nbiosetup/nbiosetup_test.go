package nbiosetup_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"celerypoint.example/celerypoint/httpserver"
	"celerypoint.example/celerypoint/rpc"
)

// TestStopRightAfterStart guards against an engine of package rpc or httpserver
// that never stops, for example because it spins on its closed listener, when it
// is stopped immediately after its start.
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

// TestListenFails guards against rpc.New and httpserver.New never returning when
// listening on the address fails.
func TestListenFails(t *testing.T) {
	const unusable = "203.0.113.1:1" // no interface has this address, which is reserved for documentation
	done := make(chan struct{})
	go func() {
		defer close(done)
		for range 12 {
			_, err := rpc.New(func(*rpc.Request) {}, rpc.WithListen(unusable))
			qt.Check(t, err, qt.ErrorMatches, "rpc: listen on "+unusable+": .*")
			_, err = httpserver.New(unusable, 1, nil)
			qt.Check(t, err, qt.ErrorMatches, "http: listen on "+unusable+": .*")
		}
	}()
	select {
	case <-done:
	case <-time.After(20 * time.Second):
		t.Fatal("timeout: the failing starts did not return")
	}
}
