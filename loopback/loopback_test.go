package loopback

import (
	"net"
	"sync"
	"testing"

	qt "github.com/frankban/quicktest"
)

// TestAddress guards against an address that is handed out twice, that another
// listener for any free port can take, or that outgoing connections use.
func TestAddress(t *testing.T) {
	var mu sync.Mutex
	var wg sync.WaitGroup
	seen := map[string]bool{}
	for range 50 {
		wg.Go(func() {
			address := Address()
			l, err := net.Listen("tcp", address)
			qt.Check(t, err, qt.IsNil)
			defer l.Close()
			conn, err := net.Dial("tcp", address)
			qt.Check(t, err, qt.IsNil)
			defer conn.Close()
			local, _, err := net.SplitHostPort(conn.LocalAddr().String())
			qt.Check(t, err, qt.IsNil)
			qt.Check(t, local, qt.Equals, "127.0.0.1")
			mu.Lock()
			defer mu.Unlock()
			qt.Check(t, seen[address], qt.IsFalse)
			seen[address] = true
		})
	}
	wg.Wait()
}

func TestIP(t *testing.T) {
	for pid, want := range map[int]string{1: "127.64.0.1", 256: "127.64.1.0", 4194303: "127.127.255.255"} {
		qt.Check(t, ip(pid), qt.Equals, want)
	}
}
