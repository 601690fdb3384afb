// Package platformlog talks to the platform's log service: batched appends,
// appends whose answer was lost, reading, tailing, and the translation of
// record bodies. The log is the system's only durable store.
//
// A process recovers with Client.Tail from offset 1, or from the offset behind
// the newest that it has folded, and folds what Tail delivers in that order.
// When the records from there on have expired, Tail begins with the newest
// snapshot whose following records are all retained, which replaces the folded
// state. A snapshot record needs no older record. SnapshotDue says when to
// append the next one.
//
// A Client owns the queues of records that wait to be appended. One mutex
// guards them and the health of the log; it is never held during a request.
package platformlog

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"
)

// The streams.
const (
	StreamConfig = "config"
	StreamJobs   = "jobs"
)

// ErrNotAppended says that none of the records is in the log, and none ever
// will be from this call.
var ErrNotAppended = errors.New("not appended to the log")

// ErrOutcomeUnknown says that the records may be in the log, or may come into it
// later.
var ErrOutcomeUnknown = errors.New("unknown whether appended to the log")

// ExpiredError says that records at the offset read from are no longer retained.
type ExpiredError struct {
	Stream string
	// Oldest is the offset of the oldest retained record.
	Oldest int64
}

func (e ExpiredError) Error() string {
	return fmt.Sprintf("log stream %s: records below offset %d have expired", e.Stream, e.Oldest)
}

// downFor is how long the log counts as down after a failed request. Then one
// request may find out whether it is up again.
const downFor = time.Second

// Client talks to one log service. It is safe for concurrent use.
type Client struct {
	base string
	http *http.Client
	// timeout bounds each request, without the wait of a long poll.
	timeout time.Duration
	// spacing is the least time between two appends to a stream.
	spacing time.Duration
	seed    uint64

	mu     sync.Mutex
	random *rand.Rand
	queues map[string]*queue
	// appendsDownUntil and readsDownUntil are zero after a success.
	appendsDownUntil, readsDownUntil time.Time
	// delay is the moving average of the time from Append to the answer, and
	// delayAt when the newest answer came.
	delay   time.Duration
	delayAt time.Time
}

// Option changes how New sets a Client up.
type Option func(*Client)

// WithTimeout bounds each request, without the wait of a long poll; the
// default is 5 s.
func WithTimeout(d time.Duration) Option { return func(c *Client) { c.timeout = d } }

// WithMinAppendInterval sets the least time between two appends to one stream; records
// that come in between are joined into the next append. The default of 20 ms
// is at most 50 appends a second for each process and stream, so that four
// entries with two streams stay within several hundred.
func WithMinAppendInterval(d time.Duration) Option { return func(c *Client) { c.spacing = d } }

// WithSeed seeds the jitter of retries; the default is a random seed.
func WithSeed(seed uint64) Option { return func(c *Client) { c.seed = seed } }

// New returns a client of the log service at the base URL.
func New(baseURL string, options ...Option) *Client {
	c := &Client{
		base:    baseURL,
		timeout: 5 * time.Second,
		spacing: 20 * time.Millisecond,
		seed:    rand.Uint64(),
		queues:  map[string]*queue{},
	}
	for _, o := range options {
		o(c)
	}
	transport := http.DefaultTransport.(*http.Transport).Clone()
	transport.Proxy = nil
	transport.MaxIdleConnsPerHost = 8
	c.http = &http.Client{Transport: transport}
	c.random = rand.New(rand.NewPCG(c.seed, 0))
	return c
}

// Seed is the seed of the jitter.
func (c *Client) Seed() uint64 { return c.seed }

// Down reports that the newest append or read failed less than a second ago
// and none has succeeded since. Admission then refuses what needs the log.
func (c *Client) Down() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := time.Now()
	return now.Before(c.appendsDownUntil) || now.Before(c.readsDownUntil)
}

// delayFor is how long the average delay counts after the newest answer.
// Otherwise jobs that are refused because of the delay would keep it up.
const delayFor = 5 * time.Second

// AppendDelay is the average time from a call of Append to its answer, 0 when the
// newest answer is more than 5 s old. While an append takes longer than the
// average, it is that append's time so far.
func (c *Client) AppendDelay() time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	delay := time.Duration(0)
	if time.Since(c.delayAt) < delayFor {
		delay = c.delay
	}
	for _, q := range c.queues {
		if !q.sentAt.IsZero() {
			delay = max(delay, time.Since(q.sentAt))
		}
	}
	return delay
}

// note records the result of an append or a read.
func (c *Client) note(downUntil *time.Time, err error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	*downUntil = time.Time{}
	if err != nil {
		*downUntil = time.Now().Add(downFor)
	}
}

// backoff is the wait before try n, from 0 on: doubling from 100 ms to 2 s,
// then half of it up to all of it, so that processes do not return together.
func (c *Client) backoff(n int) time.Duration {
	d := min(100*time.Millisecond<<min(n, 10), 2*time.Second)
	c.mu.Lock()
	defer c.mu.Unlock()
	return d/2 + time.Duration(c.random.Int64N(int64(d/2)))
}
