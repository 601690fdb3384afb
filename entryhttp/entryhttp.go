// Package entryhttp is the HTTP client of an entry that the command line and
// tests use. It tries the next address when an entry cannot be reached or is
// leaving. It owns its idle connections and takes no lock.
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

const (
	// pollWait is one wait at the entry, below the entry's bound of 50 s.
	pollWait = 20 * time.Second
	// repoll is the pause after a wait that an entry ended early, as it does
	// when it is stopping.
	repoll = 200 * time.Millisecond
	// maxBodyBytes bounds a reply: a gang's whole answer fits.
	maxBodyBytes = 1 << 30
)

// Error is a reply of an entry that says the request was not carried out.
type Error struct {
	Status int
	// Rule is the rule that refused; it is empty for other errors. A refusal
	// with a rule was not run.
	Rule    string
	Message string
	// Version is the version of the winner of a conflict.
	Version int
}

func (e *Error) Error() string {
	if e.Rule != "" {
		return fmt.Sprintf("%s (rule %s)", e.Message, e.Rule)
	}
	return e.Message
}

// Client speaks to the entries at some addresses.
type Client struct {
	addresses []string
	http      *http.Client
}

// New makes a client of the HTTP addresses, host:port each, at least one.
func New(addresses ...string) *Client {
	return &Client{addresses: addresses, http: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 64}}}
}

// Close closes idle connections.
func (c *Client) Close() { c.http.CloseIdleConnections() }

// Submit submits a job and waits for at most the given time for its end. It
// may send the request to several entries, which is harmless: an idempotent job
// may run twice, and any other has a key that makes it one job.
func (c *Client) Submit(ctx context.Context, r wire.SubmitRequest, wait time.Duration) (wire.JobView, error) {
	until := time.Now().Add(wait)
	v, err := get[wire.JobView](ctx, c, http.MethodPost, "/v1/jobs?waitMs="+millis(min(wait, pollWait)), r)
	if err != nil || v.Phase == wire.JobPhaseEnded || !time.Now().Before(until) {
		return v, err
	}
	return c.Wait(ctx, v.ID, time.Until(until))
}

// Job reads a job.
func (c *Client) Job(ctx context.Context, id string) (wire.JobView, error) {
	return get[wire.JobView](ctx, c, http.MethodGet, "/v1/jobs/"+url.PathEscape(id), nil)
}

// Wait reads a job once it has ended, or when the time is over.
func (c *Client) Wait(ctx context.Context, id string, wait time.Duration) (wire.JobView, error) {
	until := time.Now().Add(wait)
	for {
		left := max(0, time.Until(until))
		v, err := get[wire.JobView](ctx, c, http.MethodGet, "/v1/jobs/"+url.PathEscape(id)+"?waitMs="+millis(min(left, pollWait)), nil)
		if err != nil || v.Phase == wire.JobPhaseEnded || !time.Now().Before(until) {
			return v, err
		}
		select {
		case <-time.After(repoll):
		case <-ctx.Done():
			return v, ctx.Err()
		}
	}
}

// Cancel asks to end a job; the view says how far that is.
func (c *Client) Cancel(ctx context.Context, id string) (wire.JobView, error) {
	return get[wire.JobView](ctx, c, http.MethodDelete, "/v1/jobs/"+url.PathEscape(id), nil)
}

// Answer returns the whole answer of a job that ended with one, and checks its
// length and checksum. It reads it from an entry only when the view does not
// hold it.
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

// Config reads the configuration, with its history when from is at least 0.
func (c *Client) Config(ctx context.Context, from int64) (wire.ConfigView, error) {
	path := "/v1/config"
	if from >= 0 {
		path += "?from=" + strconv.FormatInt(from, 10)
	}
	return get[wire.ConfigView](ctx, c, http.MethodGet, path, nil)
}

// Change makes one change. It sets an empty ID, so that a change that reaches
// two entries is folded once.
func (c *Client) Change(ctx context.Context, change wire.ConfigChange) (wire.ConfigAccepted, error) {
	if change.ID == "" {
		change.ID = "operator-" + rand.Text()
	}
	return get[wire.ConfigAccepted](ctx, c, http.MethodPost, "/v1/config", change)
}

// Status reads the status screen.
func (c *Client) Status(ctx context.Context) (wire.StatusView, error) {
	return get[wire.StatusView](ctx, c, http.MethodGet, "/v1/status", nil)
}

// Timeline reads the merged events; empty filters select all.
func (c *Client) Timeline(ctx context.Context, job, org, vm string) (wire.EventsResult, error) {
	q := url.Values{}
	for key, value := range map[string]string{"job": job, "org": org, "vm": vm} {
		if value != "" {
			q.Set(key, value)
		}
	}
	return get[wire.EventsResult](ctx, c, http.MethodGet, "/v1/timeline?"+q.Encode(), nil)
}

// Drain sets whether a VM takes new work.
func (c *Client) Drain(ctx context.Context, vmID string, draining bool) error {
	_, err := c.send(ctx, http.MethodPost, "/v1/drain/"+url.PathEscape(vmID)+"?draining="+strconv.FormatBool(draining), nil)
	return err
}

func millis(d time.Duration) string { return strconv.FormatInt(max(0, d.Milliseconds()), 10) }

func get[R any](ctx context.Context, c *Client, method, path string, body any) (R, error) {
	var r R
	data, err := c.send(ctx, method, path, body)
	if err != nil {
		return r, err
	}
	if err := httpbody.Decode(data, &r); err != nil {
		return r, fmt.Errorf("%s %s: reply: %w", method, path, err)
	}
	return r, nil
}

// send tries the addresses in order until an entry takes the request.
func (c *Client) send(ctx context.Context, method, path string, body any) ([]byte, error) {
	var data []byte
	if body != nil {
		var err error
		if data, err = json.Marshal(body); err != nil {
			return nil, fmt.Errorf("%s %s: %w", method, path, err)
		}
	}
	last := errors.New("no entry address is given")
	for _, a := range c.addresses {
		reply, err := c.sendTo(ctx, a, method, path, data)
		if err == nil {
			return reply, nil
		}
		last = err
		var refused *Error
		if errors.As(err, &refused) && refused.Rule != "entryLeaving" || ctx.Err() != nil {
			break
		}
	}
	return nil, last
}

func (c *Client) sendTo(ctx context.Context, address, method, path string, data []byte) ([]byte, error) {
	r, err := http.NewRequestWithContext(ctx, method, "http://"+address+path, bytes.NewReader(data))
	if err != nil {
		return nil, fmt.Errorf("entry %s: %w", address, err)
	}
	res, err := c.http.Do(r)
	if err != nil {
		return nil, fmt.Errorf("entry %s: %w", address, withoutURL(err))
	}
	defer res.Body.Close()
	reply, err := io.ReadAll(io.LimitReader(res.Body, maxBodyBytes))
	if err != nil {
		return nil, fmt.Errorf("entry %s: %s %s: cut reply: %w", address, method, path, err)
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

// withoutURL keeps the cause of a failed request, which names the address.
func withoutURL(err error) error {
	var op *net.OpError
	if errors.As(err, &op) {
		return op
	}
	return err
}
