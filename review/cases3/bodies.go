package main

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"
)

const (
	oversizedClients = 12
	oversizedBytes   = 500_000
	bodiesRounds     = 2
)

// runBodies lets clients send bodies far over the limit, beside an ordinary client. Each
// body is a list of empty steps.
func runBodies(s *system, trouble bool) (bool, error) {
	if err := s.configure(1); err != nil {
		return false, err
	}
	if err := s.startEntry("edge-a-1"); err != nil {
		return false, err
	}
	if err := s.awaitReady(0); err != nil {
		return false, err
	}
	e := s.entries[0]
	now, peak := e.memoryMB()
	s.note("before: %d MiB resident, at most %d MiB so far; allowed: %d", now, peak, entryMemoryMB)
	steps := oversizedBytes / len("{},")
	if !trouble {
		steps = 1
	}
	body := `{"spec":"a","steps":[` + strings.Repeat("{},", steps-1) + `{}]}`
	request := fmt.Sprintf("POST /normal/%016x HTTP/1.1\r\nHost: %s\r\nAuthorization: Token %s\r\nContent-Type: application/json\r\nContent-Length: %d\r\n\r\n%s", 0xabc, queueHost, apiKey, len(body), body)
	broken := false
	for round := range bodiesRounds {
		statuses := map[string]int{}
		var mu sync.Mutex
		var wg sync.WaitGroup
		for range oversizedClients {
			wg.Go(func() {
				status := send(e.client, request)
				mu.Lock()
				defer mu.Unlock()
				statuses[status]++
			})
		}
		done := make(chan struct{})
		go func() {
			wg.Wait()
			close(done)
		}()
		ordinary := 0
		for sending := true; sending; {
			begun := time.Now()
			if status, _, err := e.call(http.MethodGet, "/normal/", nil, 3*time.Second); err != nil || status != http.StatusOK {
				s.note("an ordinary request was answered %d after %d ms (%v)", status, time.Since(begun).Milliseconds(), err)
			} else {
				ordinary++
			}
			select {
			case <-done:
				sending = false
			case <-time.After(20 * time.Millisecond):
			}
		}
		now, peak := e.memoryMB()
		s.note("round %d: %d clients sent a body of %d bytes: %v; %d ordinary requests answered; %d MiB resident, peak %d MiB", round+1, oversizedClients, len(body), statuses, ordinary, now, peak)
		select {
		case <-e.exited:
			s.note("the entry has ended: %s", s.spawner.exitError(e.pid))
			return true, nil
		default:
		}
		broken = broken || peak > entryMemoryMB
	}
	return broken, nil
}

// send sends a request over a connection of its own and returns the status line.
func send(address, request string) string {
	conn, err := net.DialTimeout("tcp", address, 5*time.Second)
	if err != nil {
		return "no connection"
	}
	defer conn.Close()
	_ = conn.SetDeadline(time.Now().Add(20 * time.Second))
	if _, err := conn.Write([]byte(request)); err != nil {
		return "not sent"
	}
	line, err := bufio.NewReader(conn).ReadString('\n')
	if err != nil {
		return "no answer"
	}
	return strings.TrimSpace(line)
}
