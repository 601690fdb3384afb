package caller

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"os"
	"strings"
	"testing"
	"time"

	"github.com/cespare/xxhash/v2"
	qt "github.com/frankban/quicktest"

	"celerypoint.example/celerypoint/httpserver"
	"celerypoint.example/celerypoint/job"
	"celerypoint.example/celerypoint/outcome"
	"celerypoint.example/celerypoint/rules"
	"celerypoint.example/celerypoint/wire"
)

// fakeService is a Service without a scheduler. The payload of a job is its ID
// and determines how it ends: "sleep MS", "bytes N", "refuse RULE", "cut" (its
// answer is shorter than recorded) or "wait" (it does not end). The job "none" is
// unknown.
type fakeService struct{}

func (fakeService) viewOf(id string) job.View {
	v := job.View{ID: id, Org: "org", Phase: job.PhaseEnded}
	var n int
	if _, err := fmt.Sscanf(id, "bytes %d", &n); err == nil {
		body := bytes.Repeat([]byte("x"), n)
		a := outcome.Answer{Length: int64(n), Checksum: xxhash.Sum64(body)}
		if n <= outcome.MaxInlineBytes {
			a.Body = body
		}
		v.Outcome = a
		return v
	}
	if rule, ok := strings.CutPrefix(id, "refuse "); ok {
		v.Outcome = outcome.NotRun{Rule: rule, Reason: "as asked"}
		return v
	}
	v.Outcome = outcome.Failed{Reason: "as asked"}
	return v
}

func (f fakeService) Submit(_ context.Context, j job.Job) (job.View, error) {
	id := string(j.Payload)
	if id == "wait" || strings.HasPrefix(id, "sleep") {
		return job.View{ID: id, Org: j.Org, Phase: job.PhaseWaiting}, nil
	}
	return f.viewOf(id), nil
}

func (f fakeService) Job(_ context.Context, id string) (job.View, bool, error) {
	return f.viewOf(id), id != "none", nil
}

func (f fakeService) Wait(ctx context.Context, id string) (job.View, bool, error) {
	var ms int
	if _, err := fmt.Sscanf(id, "sleep %d", &ms); err == nil {
		time.Sleep(time.Duration(ms) * time.Millisecond)
		return f.viewOf(id), true, nil
	}
	<-ctx.Done()
	return job.View{ID: id, Phase: job.PhaseWaiting}, true, nil
}

func (f fakeService) Cancel(ctx context.Context, id string) (job.View, bool, error) {
	return f.Job(ctx, id)
}

func (f fakeService) Answer(_ context.Context, id string) ([]byte, outcome.Answer, error) {
	var n int
	if _, err := fmt.Sscanf(id, "bytes %d", &n); err != nil && id != "cut" {
		return nil, outcome.Answer{}, ErrNoAnswer
	}
	body := bytes.Repeat([]byte("x"), n)
	a := outcome.Answer{Length: int64(n), Checksum: xxhash.Sum64(body)}
	if id == "cut" {
		a.Length = 3
	}
	return body, a, nil
}

// TestRequests guards against a wrong status code, a refusal that does not name
// its rule, and an error that does not name the field. The cases are in
// testdata/requests.txt.
func TestRequests(t *testing.T) {
	h := New(fakeService{})
	defer h.Close()
	text, err := os.ReadFile("testdata/requests.txt")
	qt.Assert(t, err, qt.IsNil)
	for line := range strings.Lines(string(text)) {
		fields := strings.Split(strings.TrimSpace(line), " | ")
		qt.Assert(t, fields, qt.HasLen, 4)
		t.Run(fields[0]+" "+fields[1], func(t *testing.T) {
			method, path, _ := strings.Cut(fields[0], " ")
			w := httptest.NewRecorder()
			h.ServeHTTP(w, httptest.NewRequest(method, path, strings.NewReader(fields[1])))
			qt.Check(t, fmt.Sprint(w.Code), qt.Equals, fields[2])
			qt.Check(t, strings.TrimSpace(w.Body.String()), qt.Matches, fields[3])
			qt.Check(t, w.Header().Get("Retry-After") != "", qt.Equals, w.Code == http.StatusServiceUnavailable)
		})
	}
}

// TestWaitingIsBounded guards against waiting callers that occupy all handlers
// of the server.
func TestWaitingIsBounded(t *testing.T) {
	h := New(fakeService{}, WithMaxWaiting(1))
	defer h.Close()
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		h.ServeHTTP(httptest.NewRecorder(), httptest.NewRequestWithContext(ctx, "GET", "/v1/jobs/wait?waitMs=50000", nil))
	}()
	for h.Waiting() == 0 {
		time.Sleep(time.Millisecond)
	}
	w := httptest.NewRecorder()
	h.ServeHTTP(w, httptest.NewRequest("GET", "/v1/jobs/wait?waitMs=1", nil))
	qt.Check(t, w.Code, qt.Equals, http.StatusServiceUnavailable)
	cancel()
	<-done
}

// TestBatch guards against an answer that is lost, truncated or assigned to
// another request when several share a connection, and against a fast request
// that is delayed by a slow one. It uses a real nbhttp server, because nbhttp
// truncated streamed bodies that were written in pieces larger than
// maxWriteBytes.
func TestBatch(t *testing.T) {
	h := New(fakeService{})
	defer h.Close()
	server, err := httpserver.New("127.0.0.1:0", 4, h)
	qt.Assert(t, err, qt.IsNil)
	defer server.Close(time.Second)
	payloads := []string{"sleep 300", "bytes 10", "bytes 65536", "refuse queueFull", "bytes 1000000", "sleep 1"}
	for i := range 60 {
		payloads = append(payloads, fmt.Sprintf("bytes %d", 65500-i*37))
	}
	var body strings.Builder
	for _, p := range payloads {
		fmt.Fprintf(&body, "{\"org\":\"org\",\"idempotent\":true,\"requestId\":%q,\"payload\":%q}\n", "for "+p, p)
	}
	body.WriteString("{\"org\":\"org\",\"task\":1}\n")
	res, err := http.Post("http://"+server.Address()+"/v1/batch", "application/x-ndjson", strings.NewReader(body.String()))
	qt.Assert(t, err, qt.IsNil)
	defer res.Body.Close()
	responses := map[string]wire.JobView{}
	var last string
	lines := bufio.NewReader(res.Body)
	for {
		line, err := lines.ReadBytes('\n')
		if err == io.EOF {
			break
		}
		qt.Assert(t, err, qt.IsNil)
		var v wire.JobView
		qt.Assert(t, json.Unmarshal(line, &v), qt.IsNil)
		responses[v.RequestID], last = v, v.RequestID
	}
	qt.Assert(t, responses, qt.HasLen, len(payloads)+1)
	qt.Check(t, last, qt.Equals, "for sleep 300")
	qt.Check(t, responses[""].Outcome.Reason, qt.Matches, `line 67: task: found an unknown field, allowed: .*`)
	for _, p := range payloads {
		o := responses["for "+p].Outcome
		var n int
		if _, err := fmt.Sscanf(p, "bytes %d", &n); err != nil {
			continue
		}
		inline, err := wire.Bytes("body", o.Body)
		qt.Assert(t, err, qt.IsNil)
		qt.Check(t, o.Length, qt.Equals, n)
		if n <= outcome.MaxInlineBytes {
			qt.Check(t, wire.Checksum(xxhash.Sum64(inline)), qt.Equals, o.Checksum)
		}
	}
}

// TestAnswerHeaders guards against an answer without the length and checksum by
// which a caller verifies it.
func TestAnswerHeaders(t *testing.T) {
	h := New(fakeService{})
	defer h.Close()
	w := httptest.NewRecorder()
	h.ServeHTTP(w, httptest.NewRequest("GET", "/v1/jobs/bytes%205/answer", nil))
	qt.Check(t, w.Body.String(), qt.Equals, "xxxxx")
	qt.Check(t, w.Header().Get("Celerypoint-Length"), qt.Equals, "5")
	qt.Check(t, w.Header().Get("Celerypoint-Checksum"), qt.Equals, wire.Checksum(xxhash.Sum64String("xxxxx")))
}

// TestRetryAfterRules guards against a misspelt rule name in retryAfter.
// Callers would be told that such a refusal is permanent, although a retry may
// succeed.
func TestRetryAfterRules(t *testing.T) {
	for name := range retryAfter {
		_, ok := rules.Find(name)
		qt.Check(t, ok, qt.IsTrue, qt.Commentf("no rule %s", name))
	}
}
