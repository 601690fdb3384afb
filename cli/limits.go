package cli

import (
	"fmt"
	"syscall"

	"celerypoint.example/celerypoint/connlimit"
	"celerypoint.example/celerypoint/nbiosetup"
)

// Parts of a process's memory and descriptors that its servers may use. All parts of the memory
// together are less than half of it: what is held takes up to twice its size, and the process
// needs the rest. A quarter of the descriptors is left for the store, the connections that the
// process opens itself, and files.
const (
	// clientHeldPart and clientActivePart of the memory are for the connections of clients,
	// peerPart for RPC connections, and probePart for each of the servers for readiness, metrics
	// and heartbeats. The peers' and the probes' parts hold for held and for active bytes.
	clientHeldPart, clientActivePart, peerPart, probePart = 16, 16, 16, 64
	// connectionBytes is the memory of an idle connection, with the goroutine of one for RPCs.
	connectionBytes = 8 << 10
	// clientConnectionPart, peerConnectionPart and probeConnectionPart of the descriptors are for
	// the connections of these servers.
	clientConnectionPart, peerConnectionPart, probeConnectionPart = 2, 8, 32
	// ownClientHeldPart and ownClientActivePart are the parts of an entry with the product's own
	// interface, whose answers may have megabytes.
	ownClientHeldPart, ownClientActivePart = 4, 8
)

// processLimits are the limits of the servers of a process on the platform.
type processLimits struct{ clients, peers, probes connlimit.Limits }

// limitsOf divides the memory and the descriptors of a process on the platform between its
// servers.
func limitsOf(memoryMiB, descriptors int) processLimits {
	memory := int64(memoryMiB) << 20
	return processLimits{
		clients: partOf(memory, clientHeldPart, clientActivePart, descriptors/clientConnectionPart),
		peers:   partOf(memory, peerPart, peerPart, descriptors/peerConnectionPart),
		probes:  partOf(memory, probePart, probePart, descriptors/probeConnectionPart),
	}
}

// ownLimitsOf does the same for an entry with the product's own interface.
func ownLimitsOf(memoryMiB, descriptors int) processLimits {
	l := limitsOf(memoryMiB, descriptors)
	l.clients = partOf(int64(memoryMiB)<<20, ownClientHeldPart, ownClientActivePart, descriptors/clientConnectionPart)
	return l
}

func partOf(memory, heldPart, activePart int64, connections int) connlimit.Limits {
	return connlimit.Limits{
		Connections: max(1, min(connections, int(memory/heldPart/connectionBytes))), HeldBytes: memory / heldPart, ActiveBytes: memory / activePart,
	}
}

// descriptorsOf returns the number of descriptors that the process may open: the configured
// number, the limit of the operating system, or what nbio can serve, whichever is lowest.
func descriptorsOf(configured int) (int, error) {
	var limit syscall.Rlimit
	if err := syscall.Getrlimit(syscall.RLIMIT_NOFILE, &limit); err != nil {
		return 0, fmt.Errorf("read the limit of open files: %w", err)
	}
	return min(configured, int(min(limit.Cur, nbiosetup.MaxOpenFiles))), nil
}
