// Package workerruntime speaks to the worker runtime beside an agent, which
// starts, pauses, checkpoints and stops tasks. It owns no state and takes no
// lock. Every request ends with its context.
package workerruntime

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"celerypoint.example/celerypoint/wire"
)

// ErrNoTask says that the runtime does not run a task of that identifier.
var ErrNoTask = errors.New("worker runtime: no such task")

// RefusedError says that the runtime read the request and did not act on it.
type RefusedError struct {
	Status  int
	Message string
}

func (e *RefusedError) Error() string {
	return fmt.Sprintf("worker runtime: refused with status %d: %s", e.Status, e.Message)
}

// maxReplyBytes bounds a reply; the longest is a part of an answer.
const maxReplyBytes = 8 << 20

// idleConnections covers the workers of an agent and the long poll.
const idleConnections = 8

// Client speaks to one runtime. It is safe for concurrent use. An error other
// than ErrNoTask and *RefusedError leaves open whether the runtime acted.
type Client struct {
	base string
	http *http.Client
}

// New makes a client; base is such as http://127.0.0.1:7000.
func New(base string) *Client {
	transport := &http.Transport{MaxIdleConnsPerHost: idleConnections, DisableCompression: true}
	return &Client{base: base, http: &http.Client{Transport: transport}}
}

// Close closes idle connections.
func (c *Client) Close() { c.http.CloseIdleConnections() }

// Start starts a task under a lease. Starting a task that runs is harmless.
func (c *Client) Start(ctx context.Context, t wire.TaskStart) error {
	return c.post(ctx, "/tasks", t)
}

// Renew sets the end of the lease; the runtime stops the task then.
func (c *Client) Renew(ctx context.Context, id string, until time.Time) error {
	return c.post(ctx, taskPath(id, "lease"), wire.TaskLease{LeaseUntilUnixMs: int(until.UnixMilli())})
}

// Checkpoint asks the task to save its progress. An event says when it has;
// a task may ignore the request.
func (c *Client) Checkpoint(ctx context.Context, id string) error {
	return c.post(ctx, taskPath(id, "checkpoint"), nil)
}

// Throttle pauses the task; its accelerators are free when it returns nil.
func (c *Client) Throttle(ctx context.Context, id string) error {
	return c.post(ctx, taskPath(id, "throttle"), nil)
}

// Resume continues a throttled task.
func (c *Client) Resume(ctx context.Context, id string) error {
	return c.post(ctx, taskPath(id, "resume"), nil)
}

// Stop ends the task at once. ErrNoTask says that it has ended before.
func (c *Client) Stop(ctx context.Context, id string) error {
	return c.post(ctx, taskPath(id, "stop"), nil)
}

// Answer reads at most limit bytes of a task's answer from the offset on.
func (c *Client) Answer(ctx context.Context, id string, offset, limit int) ([]byte, error) {
	query := url.Values{"offset": {strconv.Itoa(offset)}, "max": {strconv.Itoa(limit)}}
	return c.do(ctx, http.MethodGet, taskPath(id, "answer")+"?"+query.Encode(), nil)
}

// Tasks lists the tasks that have not ended. Their progress lags.
func (c *Client) Tasks(ctx context.Context) ([]wire.TaskInfo, error) {
	list, err := get[wire.TaskList](ctx, c, "/tasks")
	return list.Tasks, err
}

// Events returns the events from a sequence number on, and waits at most so
// long for the first.
func (c *Client) Events(ctx context.Context, from int, wait time.Duration) (wire.TaskEvents, error) {
	query := url.Values{"from": {strconv.Itoa(from)}, "waitMs": {strconv.FormatInt(wait.Milliseconds(), 10)}}
	return get[wire.TaskEvents](ctx, c, "/events?"+query.Encode())
}

func taskPath(id, verb string) string { return "/tasks/" + url.PathEscape(id) + "/" + verb }

func get[R any](ctx context.Context, c *Client, path string) (R, error) {
	var result R
	body, err := c.do(ctx, http.MethodGet, path, nil)
	if err != nil {
		return result, err
	}
	if err := wire.Decode(body, &result); err != nil {
		return result, fmt.Errorf("worker runtime: %w", err)
	}
	return result, nil
}

func (c *Client) post(ctx context.Context, path string, v any) error {
	var body []byte
	if v != nil {
		var err error
		if body, err = json.Marshal(v); err != nil {
			return fmt.Errorf("worker runtime: encode %T: %w", v, err)
		}
	}
	_, err := c.do(ctx, http.MethodPost, path, body)
	return err
}

func (c *Client) do(ctx context.Context, method, path string, body []byte) ([]byte, error) {
	request, err := http.NewRequestWithContext(ctx, method, c.base+path, bytes.NewReader(body))
	if err != nil {
		return nil, fmt.Errorf("worker runtime: %w", err)
	}
	response, err := c.http.Do(request)
	if err != nil {
		return nil, fmt.Errorf("worker runtime: %w", err)
	}
	defer response.Body.Close()
	reply, err := io.ReadAll(io.LimitReader(response.Body, maxReplyBytes))
	if err != nil {
		return nil, fmt.Errorf("worker runtime: %s %s: %w", method, path, err)
	}
	switch {
	case response.StatusCode == http.StatusNotFound:
		return nil, ErrNoTask
	case response.StatusCode >= 500:
		return nil, fmt.Errorf("worker runtime: %s %s: status %d", method, path, response.StatusCode)
	case response.StatusCode >= 400:
		return nil, &RefusedError{Status: response.StatusCode, Message: string(bytes.TrimSpace(reply))}
	default:
		return reply, nil
	}
}
