package standinworker

import (
	"net/http"
	"sync"
	"time"

	"celerypoint.example/celerypoint/httpserver"
)

// listener serves the calls to the incarnations of a worker at one address.
type listener struct {
	mu sync.Mutex
	// address is also set while nothing listens. http is nil then.
	address string
	http    *httpserver.Server
	// worker is the incarnation that answers.
	worker *Worker
}

// Address is the IP address and port.
func (l *listener) Address() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.address
}

// open listens, unless the listener is open.
func (l *listener) open() error {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.http != nil {
		return nil
	}
	mux := http.NewServeMux()
	mux.HandleFunc("POST /api/run-start", func(rw http.ResponseWriter, r *http.Request) { l.newest().handleStart(rw, r) })
	mux.HandleFunc("POST /api/run-stop", func(rw http.ResponseWriter, r *http.Request) { l.newest().handleStop(rw, r) })
	mux.HandleFunc("POST /api/hold", func(rw http.ResponseWriter, r *http.Request) { l.newest().handleStatus(rw, r) })
	h, err := httpserver.New(l.address, maxConcurrentRequests, mux)
	if err != nil {
		return err
	}
	l.http, l.address = h, h.Address()
	return nil
}

// close closes the listener and its connections, unless the listener is closed.
func (l *listener) close() {
	l.mu.Lock()
	h := l.http
	l.http = nil
	l.mu.Unlock()
	if h != nil {
		h.Close(100 * time.Millisecond)
	}
}

func (l *listener) newest() *Worker {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.worker
}

func (l *listener) setWorker(w *Worker) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.worker = w
}
