package clientlimits

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strings"
	"time"

	"celerypoint.example/celerypoint/rpc"
)

// request sends one request on a connection of its own and returns the status.
func request(method, address, path, body string) (int, error) {
	r, err := http.NewRequest(method, "http://"+address+path, strings.NewReader(body))
	if err != nil {
		return 0, err
	}
	r.Host = queueHost
	r.Header.Set("Authorization", "Token "+apiKey)
	transport := &http.Transport{}
	defer transport.CloseIdleConnections()
	response, err := (&http.Client{Transport: transport, Timeout: answerTimeout}).Do(r)
	if err != nil {
		return 0, err
	}
	defer response.Body.Close()
	if _, err := io.Copy(io.Discard, response.Body); err != nil {
		return 0, err
	}
	return response.StatusCode, nil
}

// expect sends one request and returns an error unless the status is 200.
func expect(method, address, path, body string) error {
	status, err := request(method, address, path, body)
	if err == nil && status != http.StatusOK {
		err = fmt.Errorf("%s %s: found status %d, allowed: 200", method, path, status)
	}
	return err
}

// submitJob submits job number n, which no worker can run, and reads its state.
func submitJob(address string, n int) error {
	path := fmt.Sprintf("/batch/%016x", 0x5c0e7a21d94b0000+n)
	if err := expect(http.MethodPost, address, path, `{"spec":"x","steps":[{"count":1,"cpu":1000,"mem_mb":64,"gpus":1,"estimate_ms":900}]}`); err != nil {
		return err
	}
	return expect(http.MethodGet, address, path, "")
}

// sendHeartbeat sends a heartbeat of a worker that has the ID of the stand-in.
func sendHeartbeat(address string) error {
	return expect(http.MethodPut, address, "/api/instances/i-0",
		`{"service":"paint","address":"127.0.0.1:9","zone":"a","version":"v1","slots":8,"state":"ready","cold_remaining_ms":0,"capacity":{"cpu":32000,"mem_mb":131072,"gpus":8},"labels":["a","r0"],"clock_ms":1,"sequence":0}`)
}

// callUnknown calls an RPC method that no process has. The error reply is the answer.
func callUnknown(address string) error {
	engine, err := rpc.New(func(*rpc.Request) {})
	if err != nil {
		return err
	}
	defer engine.Close()
	ctx, cancel := context.WithTimeout(context.Background(), answerTimeout)
	defer cancel()
	conn, err := engine.Dial(ctx, address)
	if err != nil {
		return err
	}
	defer conn.Close()
	err = conn.Call(ctx, "noSuchMethod", struct{}{}, nil)
	var refused *rpc.Error
	if errors.As(err, &refused) {
		return nil
	}
	return fmt.Errorf("call of an unknown method: found %v, allowed: an error reply", err)
}

// eventually repeats f until it succeeds, at most for the time of an ordinary request.
func eventually(f func() error) error {
	var err error
	for deadline := time.Now().Add(answerTimeout); time.Now().Before(deadline); time.Sleep(50 * time.Millisecond) {
		if err = f(); err == nil {
			return nil
		}
	}
	return err
}
