// Package entryhttp is the HTTP client for entries that the command line and
// tests use. It tries the next address when an entry cannot be reached or is
// stopping. A Client owns its idle connections; the package takes no lock.
package entryhttp

import (
	"bytes"
	"context"
	"crypto/rand"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"

	"celerypoint.example/celerypoint/httpbody"
	"celerypoint.example/celerypoint/wire"
)

// maxResponseHeaderBytes bounds the header of a response. net/http reads 10 MB by default,
// on each connection.
const maxResponseHeaderBytes = 64 << 10

const (
	// maxPollWait is the longest wait that one request asks the entry for. It is
	// below the entry's limit of 50 s.
	maxPollWait = 20 * time.Second
	// pollPause is the pause before the next request. It limits the request rate
	// when an entry responds early, as it does while it is stopping.
	pollPause = 200 * time.Millisecond
	// maxBodyBytes bounds the body of a response. It leaves room for the complete
	// answer of a gang, which is the combined output of its tasks.
	maxBodyBytes = 1 << 30
)

// Error is an error response of an entry.
type Error struct {
	Status int
	// Rule is the name of the rule by which the request was refused. It is empty
	// for other errors. A job that was refused by a rule was not run.
	Rule    string
	Message string
	// Version is set for a conflicting change of the configuration. It is the
	// object's version after the change that was accepted first.
	Version int
}

func (e *Error) Error() string {
	if e.Rule != "" {
		return fmt.Sprintf("%s (rule %s)", e.Message, e.Rule)
	}
	return e.Message
}

// Client sends requests to the entries at a list of addresses.
type Client struct {
	addresses []string
	http      *http.Client
}

// New returns a client for entries at the HTTP addresses. Each has the form
// host:port. At least one is required.
func New(addresses ...string) *Client {
	return &Client{addresses: addresses, http: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 64, MaxResponseHeaderBytes: maxResponseHeaderBytes}}}
}

// Close closes idle connections.
func (c *Client) Close() { c.http.CloseIdleConnections() }

// Submit submits a job and waits until it has ended, at most for the given
// time. It may send the request to several entries. That is harmless, because
// an idempotent job may run twice, and any other job has an idempotency key by
// which the entries recognise the duplicate.
func (c *Client) Submit(ctx context.Context, r wire.SubmitRequest, wait time.Duration) (wire.JobView, error) {
	deadline := time.Now().Add(wait)
	v, err := call[wire.JobView](ctx, c, http.MethodPost, "/v1/jobs?waitMs="+formatMillis(min(wait, maxPollWait)), r)
	if err != nil || v.Phase == wire.JobPhaseEnded || !time.Now().Before(deadline) {
		return v, err
	}
	return c.Wait(ctx, v.ID, time.Until(deadline))
}

// Job reads the state of a job.
func (c *Client) Job(ctx context.Context, id string) (wire.JobView, error) {
	return call[wire.JobView](ctx, c, http.MethodGet, "/v1/jobs/"+url.PathEscape(id), nil)
}

// Wait waits until a job has ended, at most for the given time, and returns its
// state.
func (c *Client) Wait(ctx context.Context, id string, wait time.Duration) (wire.JobView, error) {
	deadline := time.Now().Add(wait)
	for {
		left := max(0, time.Until(deadline))
		v, err := call[wire.JobView](ctx, c, http.MethodGet, "/v1/jobs/"+url.PathEscape(id)+"?waitMs="+formatMillis(min(left, maxPollWait)), nil)
		if err != nil || v.Phase == wire.JobPhaseEnded || !time.Now().Before(deadline) {
			return v, err
		}
		select {
		case <-time.After(pollPause):
		case <-ctx.Done():
			return v, ctx.Err()
		}
	}
}

// Cancel requests the cancellation of a job. The returned state tells whether
// it has ended yet.
func (c *Client) Cancel(ctx context.Context, id string) (wire.JobView, error) {
	return call[wire.JobView](ctx, c, http.MethodDelete, "/v1/jobs/"+url.PathEscape(id), nil)
}

// Answer returns the complete answer of a job whose outcome is an answer, after
// checking its length and checksum. It requests the answer from an entry only
// if it is not included in v.
func (c *Client) Answer(ctx context.Context, v wire.JobView) ([]byte, error) {
	if v.Outcome == nil || v.Outcome.Kind != wire.OutcomeKindAnswer {
		return nil, fmt.Errorf("job %s: found no answer, allowed: a job that ended with one", v.ID)
	}
	body, err := wire.Bytes("outcome.body", v.Outcome.Body)
	if err != nil {
		return nil, fmt.Errorf("job %s: %w", v.ID, err)
	}
	if len(body) == 0 && v.Outcome.Length > 0 {
		if body, err = c.send(ctx, http.MethodGet, "/v1/jobs/"+url.PathEscape(v.ID)+"/answer", nil); err != nil {
			return nil, err
		}
	}
	if sum := wire.Checksum(xxhash.Sum64(body)); len(body) != v.Outcome.Length || sum != v.Outcome.Checksum {
		return nil, fmt.Errorf("answer of job %s: found %d bytes with checksum %s, recorded: %d bytes with checksum %s", v.ID, len(body), sum, v.Outcome.Length, v.Outcome.Checksum)
	}
	return body, nil
}

// Config reads the configuration. If from is at least 0, the result includes
// the history of changes from that log offset on.
func (c *Client) Config(ctx context.Context, from int64) (wire.ConfigView, error) {
	path := "/v1/config"
	if from >= 0 {
		path += "?from=" + strconv.FormatInt(from, 10)
	}
	return call[wire.ConfigView](ctx, c, http.MethodGet, path, nil)
}

// Change submits one change of the configuration. It assigns an ID if there is
// none, so that a change that reaches two entries is applied once.
func (c *Client) Change(ctx context.Context, change wire.ConfigChange) (wire.ConfigAccepted, error) {
	if change.ID == "" {
		change.ID = "operator-" + rand.Text()
	}
	return call[wire.ConfigAccepted](ctx, c, http.MethodPost, "/v1/config", change)
}

// Status reads the status of the system.
func (c *Client) Status(ctx context.Context) (wire.StatusView, error) {
	return call[wire.StatusView](ctx, c, http.MethodGet, "/v1/status", nil)
}

// Timeline reads the merged events of all processes. An empty filter matches
// every event.
func (c *Client) Timeline(ctx context.Context, job, org, vm string) (wire.EventsResult, error) {
	q := url.Values{}
	for key, value := range map[string]string{"job": job, "org": org, "vm": vm} {
		if value != "" {
			q.Set(key, value)
		}
	}
	return call[wire.EventsResult](ctx, c, http.MethodGet, "/v1/timeline?"+q.Encode(), nil)
}

// Drain sets whether a VM is draining, which means that it gets no new tasks.
func (c *Client) Drain(ctx context.Context, vmID string, draining bool) error {
	_, err := c.send(ctx, http.MethodPost, "/v1/drain/"+url.PathEscape(vmID)+"?draining="+strconv.FormatBool(draining), nil)
	return err
}

func formatMillis(d time.Duration) string { return strconv.FormatInt(max(0, d.Milliseconds()), 10) }

func call[R any](ctx context.Context, c *Client, method, path string, body any) (R, error) {
	var r R
	data, err := c.send(ctx, method, path, body)
	if err != nil {
		return r, err
	}
	if err := httpbody.Decode(data, &r); err != nil {
		return r, fmt.Errorf("%s %s: response: %w", method, path, err)
	}
	return r, nil
}

// send sends a request to the addresses in order until an entry responds with
// success, or with an error other than that it is stopping. It returns the body
// of the response, or the last error.
func (c *Client) send(ctx context.Context, method, path string, body any) ([]byte, error) {
	var data []byte
	if body != nil {
		var err error
		if data, err = json.Marshal(body); err != nil {
			return nil, fmt.Errorf("%s %s: %w", method, path, err)
		}
	}
	lastErr := errors.New("no entry address is given")
	for _, address := range c.addresses {
		reply, err := c.sendTo(ctx, address, method, path, data)
		if err == nil {
			return reply, nil
		}
		lastErr = err
		var refused *Error
		if errors.As(err, &refused) && refused.Rule != "entryLeaving" || ctx.Err() != nil {
			break
		}
	}
	return nil, lastErr
}

func (c *Client) sendTo(ctx context.Context, address, method, path string, data []byte) ([]byte, error) {
	r, err := http.NewRequestWithContext(ctx, method, "http://"+address+path, bytes.NewReader(data))
	if err != nil {
		return nil, fmt.Errorf("entry %s: %w", address, err)
	}
	res, err := c.http.Do(r)
	if err != nil {
		return nil, fmt.Errorf("entry %s: %w", address, unwrapNetError(err))
	}
	defer res.Body.Close()
	reply, err := io.ReadAll(io.LimitReader(res.Body, maxBodyBytes))
	if err != nil {
		return nil, fmt.Errorf("entry %s: %s %s: truncated response: %w", address, method, path, err)
	}
	if res.StatusCode < 300 {
		return reply, nil
	}
	var e wire.ErrorResponse
	if err := httpbody.Decode(reply, &e); err != nil {
		return nil, &Error{Status: res.StatusCode, Message: fmt.Sprintf("entry %s: %s %s: status %s", address, method, path, res.Status)}
	}
	return nil, &Error{Status: res.StatusCode, Rule: e.Rule, Message: e.Error, Version: e.Version}
}

// unwrapNetError reduces the error of a failed request to its network error,
// which already names the address.
func unwrapNetError(err error) error {
	var op *net.OpError
	if errors.As(err, &op) {
		return op
	}
	return err
}
