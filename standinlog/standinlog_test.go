package standinlog

import (
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// TestProtocol guards against a stand-in that deviates from the protocol of the
// platform's log service. Tests that use it would then prove nothing.
func TestProtocol(t *testing.T) {
	l, err := New("127.0.0.1:0", RetainRecords(3), AppendsPerSecond(1000))
	qt.Assert(t, err, qt.IsNil)
	defer l.Close()
	tests := []struct {
		path, body string
		status     int
		want       string
	}{
		{"/streams/s?from=1", "", 200, `{"next":1,"oldest":1,"records":[]}`},
		{"/streams/s", `{"records":[{"id":"a","body":{"n":1}},{"id":"b","body":2}]}`, 200, `{"first":1}`},
		{"/streams/s?from=2&max=9", "", 200, `{"next":3,"oldest":1,"records":[{"body":2,"id":"b","offset":2}]}`},
		{"/streams/s?from=1&max=1", "", 200, `{"next":2,"oldest":1,"records":[{"body":{"n":1},"id":"a","offset":1}]}`},
		{"/streams/s", `{"records":[{"id":"c","body":3},{"id":"d","body":4}]}`, 200, `{"first":3}`},
		{"/streams/s?from=1", "", 410, `{"oldest":2}`},
		{"/streams/s", `{"records":[]}`, 400, `{"error":"records: found none, allowed: at least 1"}`},
		{"/streams/s", `{"records":[{"id":"","body":1}]}`, 400, `{"error":"records[0].id: found an empty text, allowed: any other"}`},
		{"/streams/s?from=x", "", 400, `{"error":"from: found \"x\", allowed: 1 to 9007199254740992"}`},
		{"/faults", `{"appendDown":true,"expireBelow":4}`, 200, `{"appendDown":true,"expireBelow":4}`},
		{"/faults", "", 200, `{"appendDown":true,"expireBelow":4}`},
		{"/streams/s", `{"records":[{"id":"e","body":5}]}`, 503, `{"error":"the log is down"}`},
		{"/streams/s?from=4", "", 200, `{"next":5,"oldest":4,"records":[{"body":4,"id":"d","offset":4}]}`},
		{"/faults", `{"loseAnswers":1}`, 200, `{"loseAnswers":1}`},
		{"/streams/s", `{"records":[{"id":"e","body":5}]}`, 0, ``},
		{"/faults", "", 200, `{}`},
		{"/faults", `{"up":true}`, 400, `{"error":"faults: decode *wire.LogFaults: json: unknown field \"up\""}`},
		{"/dump/s", "", 200, `{"next":6,"oldest":4,"records":[{"body":{"n":1},"id":"a","offset":1},{"body":2,"id":"b","offset":2},{"body":3,"id":"c","offset":3},{"body":4,"id":"d","offset":4},{"body":5,"id":"e","offset":5}]}`},
	}
	for i, tt := range tests {
		t.Run(fmt.Sprint(i, tt.path), func(t *testing.T) {
			status, body := request(l, tt.path, tt.body)
			qt.Assert(t, strings.TrimSpace(body), qt.Equals, tt.want)
			qt.Assert(t, status, qt.Equals, tt.status)
		})
	}
}

// request sends the body with POST, or sends a GET when the body is empty. The
// status is 0 when there was no answer.
func request(l *Log, path, body string) (status int, text string) {
	method := http.MethodPost
	if body == "" {
		method = http.MethodGet
	}
	r, err := http.NewRequest(method, l.URL()+path, strings.NewReader(body))
	if err != nil {
		return 0, err.Error()
	}
	response, err := http.DefaultClient.Do(r)
	if err != nil {
		return 0, ""
	}
	defer response.Body.Close()
	answer, err := io.ReadAll(response.Body)
	if err != nil {
		return 0, err.Error()
	}
	return response.StatusCode, string(answer)
}

// TestBounds guards against appends beyond the rate limit, records that do not
// expire by age, and long-poll reads that do not return at an append or at Close.
func TestBounds(t *testing.T) {
	const age = 300 * time.Millisecond
	l, err := New("127.0.0.1:0", AppendsPerSecond(1), RetainAge(age))
	qt.Assert(t, err, qt.IsNil)
	texts := make(chan string, 2)
	wait := func(from int) {
		_, text := request(l, fmt.Sprintf("/streams/s?from=%d&waitMs=20000", from), "")
		texts <- text
	}
	go wait(1)
	const body = `{"records":[{"id":"a","body":1}]}`
	refused := 0
	for range 3 {
		status, _ := request(l, "/streams/s", body)
		if status == http.StatusTooManyRequests {
			refused++
		}
	}
	// Two of the three appends can succeed if a new second begins between them.
	qt.Assert(t, refused >= 1, qt.IsTrue)
	qt.Assert(t, <-texts, qt.Contains, `"id":"a"`)
	time.Sleep(age)
	status, _ := request(l, "/streams/s?from=1", "")
	qt.Assert(t, status, qt.Equals, http.StatusGone)
	go wait(9)
	time.Sleep(20 * time.Millisecond)
	l.Close()
	<-texts
}
