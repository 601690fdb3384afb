package clientlimits

import (
	"net/http"
	"testing"
)

// port is one port of a process that clients can reach.
type port struct {
	name    string
	start   func(t *testing.T, descriptors int) *process
	address func(*process) string
	// ordinary sends an ordinary request to the port.
	ordinary func(*process) error
	inputs   []input
}

func ports() []port {
	return []port{
		{"entryClient", startEntry, func(p *process) string { return p.client }, func(p *process) error { return submitJob(p.client, 1) }, append(httpInputs("/batch/5c0e7a21d94b0000", 1<<20), bodyInputs("POST /batch/5c0e7a21d94b0000 HTTP/1.1\r\nHost: "+queueHost+"\r\nAuthorization: Token "+apiKey+"\r\n", 500<<10)...)},
		{"entryReadiness", startEntry, func(p *process) string { return p.readiness }, func(p *process) error { return expect(http.MethodGet, p.readiness, "/api/ready", "") }, httpInputs("/api/ready", 4<<10)},
		{"entryMetrics", startEntry, func(p *process) string { return p.metrics }, func(p *process) error { return expect(http.MethodGet, p.metrics, "/metrics", "") }, httpInputs("/metrics", 1<<20)},
		{"entryRPC", startEntry, func(p *process) string { return p.rpc }, func(p *process) error { return callUnknown(p.rpc) }, rpcInputs()},
		{"agentHeartbeats", startAgent, func(p *process) string { return p.heartbeats }, func(p *process) error { return sendHeartbeat(p.heartbeats) }, append(httpInputs("/api/instances/i-0", 128<<10), bodyInputs("PUT /api/instances/i-0 HTTP/1.1\r\nHost: "+queueHost+"\r\n", 60<<10)...)},
		{"agentMetrics", startAgent, func(p *process) string { return p.metrics }, func(p *process) error { return expect(http.MethodGet, p.metrics, "/metrics", "") }, httpInputs("/metrics", 4<<10)},
		{"agentRPC", startAgent, func(p *process) string { return p.rpc }, func(p *process) error { return callUnknown(p.rpc) }, rpcInputs()},
		{"ownClient", startOwnEntry, func(p *process) string { return p.client }, func(p *process) error { return expect(http.MethodGet, p.client, "/healthz", "") }, append(httpInputs("/v1/jobs", 1<<20), bodyInputs("POST /v1/jobs HTTP/1.1\r\nHost: "+queueHost+"\r\n", 1000<<10)...)},
		{"ownRPC", startOwnEntry, func(p *process) string { return p.rpc }, func(p *process) error { return callUnknown(p.rpc) }, rpcInputs()},
	}
}

// TestMemory guards against a process whose memory grows beyond that of its VM, or that
// answers no ordinary request, while a crowd sends input that is over the limits, without
// end, unfinished, or ahead of unread answers.
func TestMemory(t *testing.T) {
	for _, port := range ports() {
		t.Run(port.name, func(t *testing.T) {
			for _, in := range port.inputs {
				t.Run(in.name, func(t *testing.T) {
					p := port.start(t, 0)
					send(t, port.address(p), in)
					awaitRead(t, port.address(p))
					if err := port.ordinary(p); err != nil {
						t.Errorf("ordinary request: %v", err)
					}
					p.checkMemory(t)
				})
			}
		})
	}
}

// TestMemoryOfAllPorts guards against limits that hold for each port and not for their sum.
func TestMemoryOfAllPorts(t *testing.T) {
	p := startEntry(t, 0)
	for _, port := range ports() {
		if port.name == "entryClient" || port.name == "entryReadiness" || port.name == "entryMetrics" || port.name == "entryRPC" {
			for _, in := range port.inputs {
				if in.name == "unfinishedBody" || in.name == "headerLines" || in.name == "unfinishedFrame" || in.name == "bodiesAhead" {
					send(t, port.address(p), in)
					awaitRead(t, port.address(p))
				}
			}
		}
	}
	for _, port := range ports()[:4] {
		if err := port.ordinary(p); err != nil {
			t.Errorf("%s: ordinary request: %v", port.name, err)
		}
	}
	p.checkMemory(t)
}
