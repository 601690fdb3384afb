package httpserver

import (
	"bytes"
	"fmt"
	"io"
	"net/http"
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
