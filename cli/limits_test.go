package cli

import (
	"testing"

	qt "github.com/frankban/quicktest"
)

// TestLimitsFitIntoTheProcess guards against parts of the servers that together are more than the
// memory and the descriptors of the process allow, and against a part that serves nobody.
func TestLimitsFitIntoTheProcess(t *testing.T) {
	c := qt.New(t)
	for _, memoryMiB := range []int{16, 144, 152, 284, 536, 1 << 14} {
		for _, descriptors := range []int{128, 3075, 4100, 1 << 15} {
			l := limitsOf(memoryMiB, descriptors)
			memory, connections := int64(0), 0
			// An entry has a server for clients, one for peers and two for probes.
			for _, part := range []struct {
				held, active int64
				connections  int
			}{
				{l.clients.HeldBytes, l.clients.ActiveBytes, l.clients.Connections}, {l.peers.HeldBytes, l.peers.ActiveBytes, l.peers.Connections},
				{l.probes.HeldBytes, l.probes.ActiveBytes, l.probes.Connections}, {l.probes.HeldBytes, l.probes.ActiveBytes, l.probes.Connections},
			} {
				memory += part.held + part.active
				connections += part.connections
				c.Check(part.connections >= 4, qt.IsTrue)
			}
			comment := qt.Commentf("%d MiB, %d descriptors", memoryMiB, descriptors)
			c.Check(memory < int64(memoryMiB)<<20/2, qt.IsTrue, comment)
			c.Check(connections <= descriptors*3/4, qt.IsTrue, comment)
			own := ownLimitsOf(memoryMiB, descriptors)
			c.Check(own.clients.HeldBytes+own.clients.ActiveBytes+own.peers.HeldBytes+own.peers.ActiveBytes <= int64(memoryMiB)<<20/2, qt.IsTrue, comment)
		}
	}
	_, err := descriptorsOf(0)
	c.Check(err, qt.IsNil)
	n, err := descriptorsOf(200)
	c.Assert(err, qt.IsNil)
	c.Check(n, qt.Equals, 200)
}
