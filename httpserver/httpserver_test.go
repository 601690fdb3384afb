package httpserver

import (
	"bytes"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// TestHandlersMayBlock guards against slow requests that delay requests on
// other connections.
func TestHandlersMayBlock(t *testing.T) {
	release := make(chan struct{})
	s, err := New("127.0.0.1:0", 64, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/slow" {
			<-release
		}
		fmt.Fprint(w, r.URL.Path)
	}))
	qt.Assert(t, err, qt.IsNil)
	defer s.Close(time.Second)
	get := func(path string) string {
		res, err := http.Get("http://" + s.Address() + path)
		qt.Check(t, err, qt.IsNil)
		defer res.Body.Close()
		body, err := io.ReadAll(res.Body)
		qt.Check(t, err, qt.IsNil)
		return string(body)
	}
	var wg sync.WaitGroup
	for range 8 {
		wg.Go(func() { qt.Check(t, get("/slow"), qt.Equals, "/slow") })
	}
	for range 8 {
		qt.Assert(t, get("/fast"), qt.Equals, "/fast")
	}
	close(release)
	wg.Wait()
}

// TestLargeBody guards against a large response that arrives truncated. Without
// a Content-Length nbhttp v1.6.8 delivered 5,117,731 of these 6,291,456 bytes.
func TestLargeBody(t *testing.T) {
	want := bytes.Repeat([]byte("celery"), 1<<20)
	s, err := New("127.0.0.1:0", 8, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		Reply(w, http.StatusOK, "application/octet-stream", want)
	}))
	qt.Assert(t, err, qt.IsNil)
	defer s.Close(time.Second)
	res, err := http.Get("http://" + s.Address())
	qt.Assert(t, err, qt.IsNil)
	defer res.Body.Close()
	body, err := io.ReadAll(res.Body)
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, bytes.Equal(body, want), qt.IsTrue)
}

// TestConnectionsKeepTheirRequests guards against a response that goes to another
// connection than its request came from, a request that is never answered, and a
// connection whose close is not noticed, while many connections are opened at once.
func TestConnectionsKeepTheirRequests(t *testing.T) {
	c := qt.New(t)
	s, err := New("127.0.0.1:0", 16, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		body, err := io.ReadAll(r.Body)
		if err != nil {
			Reply(w, http.StatusBadRequest, "text/plain", []byte(err.Error()))
			return
		}
		Reply(w, http.StatusOK, "text/plain", append([]byte(r.URL.Path+" "), body...))
	}))
	c.Assert(err, qt.IsNil)
	defer s.Close(time.Second)
	var wg sync.WaitGroup
	for i := range 32 {
		wg.Go(func() {
			for k := range 16 {
				transport := &http.Transport{}
				client := http.Client{Transport: transport, Timeout: 10 * time.Second}
				for n := range 2 {
					path, body := fmt.Sprintf("/%d/%d/%d", i, k, n), strings.Repeat(fmt.Sprintf("%d-%d-%d,", i, k, n), 200)
					response, err := client.Post("http://"+s.Address()+path, "text/plain", strings.NewReader(body))
					if !qt.Check(t, err, qt.IsNil) {
						return
					}
					reply, err := io.ReadAll(response.Body)
					response.Body.Close()
					qt.Check(t, err, qt.IsNil)
					qt.Check(t, string(reply), qt.Equals, path+" "+body)
				}
				transport.CloseIdleConnections()
			}
		})
	}
	wg.Wait()
	for deadline := time.Now().Add(5 * time.Second); ; time.Sleep(10 * time.Millisecond) {
		connections, held, active := s.Usage()
		if connections == 0 && held == 0 && active == 0 {
			return
		}
		if time.Now().After(deadline) {
			t.Fatalf("%d connections are still open, with %d held and %d active bytes", connections, held, active)
		}
	}
}
