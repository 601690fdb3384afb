package entryhttp

import (
	"context"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/cespare/xxhash/v2"
	qt "github.com/frankban/quicktest"

	"celerypoint.example/celerypoint/httpserver"
	"celerypoint.example/celerypoint/loopback"
	"celerypoint.example/celerypoint/wire"
)

func serve(t *testing.T, h http.HandlerFunc) string {
	s := httptest.NewServer(h)
	t.Cleanup(s.Close)
	return strings.TrimPrefix(s.URL, "http://")
}

// TestNextEntry guards against a request that fails although another entry
// could serve it, and against sending a refused request again to another entry.
func TestNextEntry(t *testing.T) {
	// Nobody can take the port, unlike that of a server that was closed.
	unreachable := loopback.Address()
	stopping := serve(t, func(w http.ResponseWriter, _ *http.Request) {
		httpserver.JSON(w, http.StatusServiceUnavailable, wire.ErrorResponse{Error: "not run", Rule: "entryLeaving"})
	})
	queueFull := serve(t, func(w http.ResponseWriter, _ *http.Request) {
		httpserver.JSON(w, http.StatusServiceUnavailable, wire.ErrorResponse{Error: "not run", Rule: "queueFull"})
	})
	healthy := serve(t, func(w http.ResponseWriter, _ *http.Request) {
		httpserver.JSON(w, http.StatusOK, wire.JobView{ID: "j", Phase: wire.JobPhaseEnded})
	})
	for _, tt := range []struct {
		name      string
		addresses []string
		want      string
	}{
		{"unreachable", []string{unreachable, healthy}, ""},
		{"stopping", []string{stopping, healthy}, ""},
		{"refused", []string{queueFull, healthy}, `.*rule queueFull.*`},
		{"none left", []string{stopping, unreachable}, `.*connection refused`},
	} {
		t.Run(tt.name, func(t *testing.T) {
			_, err := New(tt.addresses...).Submit(context.Background(), wire.SubmitRequest{}, 0)
			if tt.want == "" {
				qt.Assert(t, err, qt.IsNil)
				return
			}
			qt.Assert(t, err, qt.ErrorMatches, tt.want)
		})
	}
}

// TestAnswerIsChecked guards against accepting a corrupt answer, whether it was
// included in the job's state or requested separately.
func TestAnswerIsChecked(t *testing.T) {
	address := serve(t, func(w http.ResponseWriter, r *http.Request) {
		httpserver.Reply(w, http.StatusOK, "application/octet-stream", []byte(strings.Split(r.URL.Path, "/")[3]))
	})
	for _, tt := range []struct{ name, id, inline, want string }{
		{"read", "tin", "", ""},
		{"read and changed", "tan", "", `answer of job tan: found 3 bytes .*`},
		{"inline", "none", "tin", ""},
		{"inline and truncated", "none", "ti", `answer of job none: found 2 bytes .*`},
	} {
		t.Run(tt.name, func(t *testing.T) {
			v := wire.JobView{ID: tt.id, Outcome: &wire.Outcome{
				Kind: wire.OutcomeKindAnswer, Length: 3, Checksum: wire.Checksum(xxhash.Sum64String("tin")), Body: wire.Text([]byte(tt.inline)),
			}}
			body, err := New(address).Answer(context.Background(), v)
			if tt.want != "" {
				qt.Assert(t, err, qt.ErrorMatches, tt.want)
				return
			}
			qt.Assert(t, err, qt.IsNil)
			qt.Assert(t, string(body), qt.Equals, "tin")
		})
	}
}
