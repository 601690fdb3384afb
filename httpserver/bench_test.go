package httpserver

import (
	"bytes"
	"io"
	"net/http"
	"testing"
	"time"
)

// BenchmarkRequest measures a request with a small body on one connection, from the client to its
// answer.
func BenchmarkRequest(b *testing.B) {
	s, err := New("127.0.0.1:0", 16, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.ReadAll(r.Body)
		Reply(w, http.StatusOK, "application/json", []byte(`{"state":"running"}`))
	}))
	if err != nil {
		b.Fatal(err)
	}
	defer s.Close(time.Second)
	body := bytes.Repeat([]byte("x"), 400)
	for b.Loop() {
		response, err := http.Post("http://"+s.Address(), "application/json", bytes.NewReader(body))
		if err != nil {
			b.Fatal(err)
		}
		_, _ = io.Copy(io.Discard, response.Body)
		_ = response.Body.Close()
	}
}
