package clientlimits

import (
	"net"
	"net/http"
	"testing"
)

const (
	// descriptorLimit is the limit of the open files of a process.
	descriptorLimit = 256
	// idleConnections are opened on one port; they send nothing.
	idleConnections = 400
)

// TestDescriptors guards against connections that use up the descriptors of a process, so that
// it accepts no further ones and cannot reach its store.
func TestDescriptors(t *testing.T) {
	for _, port := range ports() {
		t.Run(port.name, func(t *testing.T) {
			p := port.start(t, descriptorLimit)
			for range idleConnections {
				conn, err := net.DialTimeout("tcp", port.address(p), answerTimeout)
				if err != nil {
					t.Logf("connect: %v", err)
					continue
				}
				defer conn.Close()
			}
			if err := eventually(func() error { return port.ordinary(p) }); err != nil {
				t.Errorf("ordinary request: %v", err)
			}
			if p.client != "" && port.name != "ownClient" && port.name != "ownRPC" {
				// A job is stored over connections to the store that the process may have to open.
				if err := eventually(func() error { return submitJob(p.client, 2) }); err != nil {
					t.Errorf("job: %v", err)
				}
			}
			if p.metrics != "" {
				if err := eventually(func() error { return expect(http.MethodGet, p.metrics, "/metrics", "") }); err != nil {
					t.Errorf("metrics: %v", err)
				}
			}
			p.checkAlive(t)
			if found := p.openDescriptors(t); found >= descriptorLimit-descriptorReserve {
				t.Errorf("found %d open descriptors, allowed: below %d", found, descriptorLimit-descriptorReserve)
			}
		})
	}
}

// descriptorReserve is the number of descriptors that are left for the store, peers and files.
const descriptorReserve = 32
