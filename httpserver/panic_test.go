package httpserver

import (
	"net/http"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// TestHandlerPanics guards against a process that one request ends.
func TestHandlerPanics(t *testing.T) {
	c := qt.New(t)
	recovered := make(chan any, 1)
	s, err := New("127.0.0.1:0", 4, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/panic" {
			panic("malformed")
		}
		Reply(w, http.StatusOK, "text/plain", nil)
	}), WithPanicHandler(func(_ *http.Request, v any, _ []byte) { recovered <- v }))
	c.Assert(err, qt.IsNil)
	defer s.Close(time.Second)
	for path, want := range map[string]int{"/panic": http.StatusInternalServerError, "/": http.StatusOK} {
		response, err := http.Get("http://" + s.Address() + path)
		c.Assert(err, qt.IsNil)
		c.Assert(response.Body.Close(), qt.IsNil)
		c.Check(response.StatusCode, qt.Equals, want)
	}
	c.Assert(<-recovered, qt.Equals, any("malformed"))
}
