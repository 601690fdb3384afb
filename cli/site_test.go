package cli

import (
	"bytes"
	"context"
	"fmt"
	"net/http"
	"net/netip"
	"os"
	"path/filepath"
	"runtime"
	"runtime/debug"
	"strings"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/rcrowley/go-metrics"

	"celerypoint.example/celerypoint/httpserver"
	"celerypoint.example/celerypoint/loopback"
)

// syncBuffer is an output that several goroutines write to.
type syncBuffer struct {
	mu   sync.Mutex
	text bytes.Buffer
}

func (b *syncBuffer) Write(p []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.text.Write(p)
}

func (b *syncBuffer) String() string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.text.String()
}

// TestSiteAgentRejectsOtherService guards against a site agent that ignores workerService or
// its change, and against a rejection that leaves no line and no counter.
func TestSiteAgentRejectsOtherService(t *testing.T) {
	c := qt.New(t)
	cores, memory := runtime.GOMAXPROCS(0), debug.SetMemoryLimit(-1)
	c.Cleanup(func() {
		runtime.GOMAXPROCS(cores)
		debug.SetMemoryLimit(memory)
	})
	rpcAddress, metricsAddress := netip.MustParseAddrPort(loopback.Address()), loopback.Address()
	heartbeatAddress := loopback.Address()
	path := filepath.Join(c.TempDir(), "agent.ini")
	write := func(service string) {
		text := fmt.Sprintf("[node]\nname = vm\nzone = z\nip = %s\nports = %d,%d\nstore = %s\nstopSeconds = 2\nmemoryMB = 256\n[agent]\nworkerAddress = %s\nheartbeatAddress = %s\nworkerService = %s\n",
			rpcAddress.Addr(), rpcAddress.Port(), rpcAddress.Port()+1, loopback.Address(), loopback.Address(), heartbeatAddress, service)
		c.Assert(os.WriteFile(path, []byte(text), 0o600), qt.IsNil)
	}
	write("paint")
	var output syncBuffer
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan int)
	go func() { ended <- Run(ctx, []string{"site", "agent", "--settings", path}, &output, &output) }()
	defer func() {
		cancel()
		<-ended
	}()
	put := func(service string) int {
		body := fmt.Sprintf(`{"service":%q,"address":"127.0.0.1:8080","zone":"z","state":"ready","capacity":{"cpu":1,"mem_mb":1,"gpus":0},"clock_ms":1,"sequence":1}`, service)
		request, err := http.NewRequest(http.MethodPut, "http://"+heartbeatAddress+"/api/instances/i-1", strings.NewReader(body))
		c.Assert(err, qt.IsNil)
		response, err := http.DefaultClient.Do(request)
		if err != nil {
			return 0
		}
		_ = response.Body.Close()
		return response.StatusCode
	}
	await := func(service string, status int) {
		for end := time.Now().Add(10 * time.Second); put(service) != status; time.Sleep(20 * time.Millisecond) {
			c.Assert(time.Now().Before(end), qt.IsTrue, qt.Commentf("%s", output.String()))
		}
	}
	await("paint", http.StatusOK)
	c.Assert(put("unnamed"), qt.Equals, http.StatusBadRequest)
	response, err := http.Get("http://" + metricsAddress + "/metrics")
	c.Assert(err, qt.IsNil)
	var text bytes.Buffer
	_, err = text.ReadFrom(response.Body)
	c.Assert(err, qt.IsNil)
	_ = response.Body.Close()
	c.Assert(text.String(), qt.Contains, "announcementRejected")
	c.Assert(output.String(), qt.Contains, `found \"unnamed\", allowed: \"paint\"`)
	write("other")
	await("other", http.StatusOK)
	c.Assert(put("paint"), qt.Equals, http.StatusBadRequest)
}

// TestSiteServerReportsPanics guards against an unexpected error in the handling of a
// client's or a worker's request that leaves no line and no counter.
func TestSiteServerReportsPanics(t *testing.T) {
	c := qt.New(t)
	var output syncBuffer
	var events eventSink
	registry := metrics.NewRegistry()
	events.start(&output, "vm", registry)
	servers, err := serveAll(&events, server{"clients", loopback.Address(), 1, probeBody, httpserver.DefaultLimits, http.HandlerFunc(func(http.ResponseWriter, *http.Request) { panic("malformed") })})
	c.Assert(err, qt.IsNil)
	response, err := http.Get("http://" + servers[0].Address() + "/a")
	c.Assert(err, qt.IsNil)
	_ = response.Body.Close()
	c.Check(response.StatusCode, qt.Equals, http.StatusInternalServerError)
	closeAll(servers)
	events.stop()
	c.Check(metrics.GetOrRegisterCounter("panicRecovered", registry).Count(), qt.Equals, int64(1))
	c.Check(output.String(), qt.Matches, `(?s).*"cause":"malformed","during":"GET \\"/a\\"".*`)
}
