// Package workerruntime is the HTTP client of the worker runtime, the process that
// runs tasks on the VM of an agent: it starts, pauses, checkpoints and stops them.
// The package owns no state and takes no lock. Every request ends with its
// context.
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

// maxResponseHeaderBytes bounds the header of a response. net/http reads 10 MB by default,
// on each connection.
const maxResponseHeaderBytes = 64 << 10

// ErrNoTask says that the runtime knows no task with that ID, or that the task has
// ended and the request needs one that has not.
var ErrNoTask = errors.New("worker runtime: no such task")

// RefusedError says that the runtime has read the request and did not act on it.
type RefusedError struct {
	Status  int
	Message string
}

func (e *RefusedError) Error() string {
	return fmt.Sprintf("worker runtime: refused with status %d: %s", e.Status, e.Message)
}

// maxReplyBytes is the largest reply that is read. The longest replies are parts of answers, which are the outputs of tasks.
const maxReplyBytes = 8 << 20

// maxIdleConnections is enough for the workers of an agent, 4 by default, the
// worker that pauses and resumes tasks, and the long poll for events.
const maxIdleConnections = 8

// Client sends requests to one runtime. It is safe for concurrent use. After an
// error other than ErrNoTask and *RefusedError it is unknown whether the runtime
// acted.
type Client struct {
	baseURL string
	http    *http.Client
}

// New returns a client of the runtime at baseURL, such as http://127.0.0.1:7000.
func New(baseURL string) *Client {
	transport := &http.Transport{MaxIdleConnsPerHost: maxIdleConnections, DisableCompression: true, MaxResponseHeaderBytes: maxResponseHeaderBytes}
	return &Client{baseURL: baseURL, http: &http.Client{Transport: transport}}
}

// CloseIdleConnections closes the connections that no request uses.
func (c *Client) CloseIdleConnections() { c.http.CloseIdleConnections() }

// Start starts a task under a lease. Starting a task that runs already changes
// nothing.
func (c *Client) Start(ctx context.Context, t wire.TaskStart) error {
	return c.post(ctx, "/tasks", t)
}

// Renew sets the end of the lease, at which the runtime stops the task.
func (c *Client) Renew(ctx context.Context, id string, leaseUntil time.Time) error {
	return c.post(ctx, taskPath(id, "lease"), wire.TaskLease{LeaseUntilUnixMs: int(leaseUntil.UnixMilli())})
}

// Checkpoint asks the task to save its progress. An event follows when it has done
// so. A task may ignore the request.
func (c *Client) Checkpoint(ctx context.Context, id string) error {
	return c.post(ctx, taskPath(id, "checkpoint"), nil)
}

// Throttle pauses the task. When it returns nil, the task uses no accelerators any
// more.
func (c *Client) Throttle(ctx context.Context, id string) error {
	return c.post(ctx, taskPath(id, "throttle"), nil)
}

// Resume continues a task that Throttle has paused.
func (c *Client) Resume(ctx context.Context, id string) error {
	return c.post(ctx, taskPath(id, "resume"), nil)
}

// Stop ends the task at once. It returns ErrNoTask if the task has ended before.
func (c *Client) Stop(ctx context.Context, id string) error {
	return c.post(ctx, taskPath(id, "stop"), nil)
}

// Answer reads at most limit bytes of a task's answer, from the offset on.
func (c *Client) Answer(ctx context.Context, id string, offset, limit int) ([]byte, error) {
	query := url.Values{"offset": {strconv.Itoa(offset)}, "max": {strconv.Itoa(limit)}}
	return c.do(ctx, http.MethodGet, taskPath(id, "answer")+"?"+query.Encode(), nil)
}

// Tasks lists the tasks that have not ended. The listed progress can be out of
// date.
func (c *Client) Tasks(ctx context.Context) ([]wire.TaskInfo, error) {
	list, err := get[wire.TaskList](ctx, c, "/tasks")
	return list.Tasks, err
}

// Events returns the events from a sequence number on. If there is none yet, the
// runtime waits for the first, for at most wait.
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
	request, err := http.NewRequestWithContext(ctx, method, c.baseURL+path, bytes.NewReader(body))
	if err != nil {
		return nil, fmt.Errorf("worker runtime: %w", err)
	}
	response, err := c.http.Do(request)
	if errors.Is(err, context.DeadlineExceeded) {
		// Idle connections may have stopped transferring data together with this one.
		c.http.CloseIdleConnections()
	}
	if err != nil {
		return nil, fmt.Errorf("worker runtime: %w", err)
	}
	defer response.Body.Close()
	reply, err := io.ReadAll(io.LimitReader(response.Body, maxReplyBytes+1))
	if err == nil && len(reply) > maxReplyBytes {
		err = fmt.Errorf("reply of more than %d bytes", maxReplyBytes)
	}
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
