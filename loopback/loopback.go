// Package loopback gives tests the loopback addresses on which the processes that
// they start listen, also again after a restart.
//
// Each test process has a loopback IP address of its own, derived from its process
// ID. The kernel gives outgoing connections the source address 127.0.0.1, and no
// other test process uses the address, so that nobody can take a port between the
// call of Address and the start of the listener, or while a process restarts. The
// package owns the number of the last port; it is atomic, and there is no lock.
package loopback

import (
	"fmt"
	"os"
	"sync/atomic"
)

// The ports are below the range from which the kernel chooses ports for listeners
// that ask for any free one.
const firstPort, lastPort = 10_000, 32_000

var portsUsed atomic.Int64

// Address returns an address on which no process listens. It panics after it has
// returned all ports, which no test run comes near.
func Address() string {
	port := firstPort + int(portsUsed.Add(1))
	if port > lastPort {
		panic(fmt.Sprintf("loopback: all ports from %d to %d are used", firstPort, lastPort))
	}
	return fmt.Sprintf("%s:%d", ip(os.Getpid()), port)
}

// ip returns the loopback IP address of a process. A process ID has at most 22 bits.
// The second byte is at least 64, so that 127.0.0.1 is never returned.
func ip(pid int) string {
	return fmt.Sprintf("127.%d.%d.%d", 64+pid>>16&0x3f, pid>>8&0xff, pid&0xff)
}
