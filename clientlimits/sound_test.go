package clientlimits

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"celerypoint.example/celerypoint/steps"
)

// TestSoundClients guards against limits that cut off clients within them: one that sends slowly
// in small pieces, one that sends many requests before it reads an answer, and one with the
// largest job, while a crowd holds unfinished input on the same port.
func TestSoundClients(t *testing.T) {
	p := startEntry(t, 0)
	for _, in := range httpInputs("/batch/5c0e7a21d94b0000", 1<<20) {
		if in.name == "unfinishedBody" {
			send(t, p.client, in)
		}
	}
	const get = "GET /batch/5c0e7a21d94b0000 HTTP/1.1\r\nHost: " + queueHost + "\r\nAuthorization: Token " + apiKey + "\r\n\r\n"
	post := func(n int, head, body string) string {
		return fmt.Sprintf("POST /batch/%016x HTTP/1.1\r\nHost: %s\r\nAuthorization: Token %s\r\n%s\r\n%s", 0x5c0e7a21d94c0000+n, queueHost, apiKey, head, body)
	}
	job := func(payload int) string {
		return `{"spec":"` + strings.Repeat("x", payload) + `","steps":[{"count":1,"cpu":1000,"mem_mb":64,"gpus":1,"estimate_ms":900}]}`
	}
	whole := func(body string) string { return fmt.Sprintf("Content-Length: %d\r\n", len(body)) }
	for _, tt := range []struct {
		name string
		// text is sent in pieces of the given size with a pause after each, and has the given
		// number of requests, each of which is answered with status 200.
		text     string
		piece    int
		pause    time.Duration
		requests int
	}{
		{"slow", post(1, whole(job(100)), job(100)), 4, 20 * time.Millisecond, 1},
		{"smallChunks", post(2, "Transfer-Encoding: chunked\r\n", chunks(job(3900))), 1 << 20, 0, 1},
		{"requestsAhead", strings.Repeat(get, 500), 1 << 20, 0, 500},
		{"mixedAhead", strings.Repeat(get, 50) + post(3, whole(job(4000)), job(4000)) + get, 100, 0, 52},
		{"largest", post(4, whole(largestJob()), largestJob()), 1 << 20, 0, 1},
	} {
		t.Run(tt.name, func(t *testing.T) {
			conn, err := net.DialTimeout("tcp", p.client, answerTimeout)
			if err != nil {
				t.Fatal(err)
			}
			defer conn.Close()
			for rest := tt.text; rest != ""; rest = rest[min(tt.piece, len(rest)):] {
				if _, err := io.WriteString(conn, rest[:min(tt.piece, len(rest))]); err != nil {
					t.Fatal(err)
				}
				time.Sleep(tt.pause)
			}
			_ = conn.SetReadDeadline(time.Now().Add(answerTimeout))
			for i, reader := 0, bufio.NewReader(conn); i < tt.requests; i++ {
				response, err := http.ReadResponse(reader, nil)
				if err != nil {
					t.Fatalf("answer %d of %d: %v", i+1, tt.requests, err)
				}
				body, err := io.ReadAll(response.Body)
				if err != nil || response.StatusCode != http.StatusOK {
					t.Fatalf("answer %d of %d: found status %d, %v, %s, allowed: 200", i+1, tt.requests, response.StatusCode, err, body)
				}
			}
		})
	}
	p.checkMemory(t)
}

// largestJob returns a job with as many steps as a job may have, and with long names.
func largestJob() string {
	name := strings.Repeat("n", 200)
	step := `{"count":1,"cpu":1000,"mem_mb":64,"gpus":1,"estimate_ms":900,"affinity":"` + name + `","image":"` + name + `","requirements":"` + name + `"}`
	return `{"spec":"` + strings.Repeat("x", 4000) + `","steps":[` + step + strings.Repeat(","+step, steps.MaxSteps-1) + `]}`
}

// chunks returns the body in chunks of one byte each.
func chunks(body string) string {
	var b strings.Builder
	for i := range len(body) {
		fmt.Fprintf(&b, "1\r\n%c\r\n", body[i])
	}
	return b.String() + "0\r\n\r\n"
}
